"""Proxies that join while endpoints drain stop using them in time."""

from dataclasses import replace
from random import Random

import pytest
from fleet_model import FleetModel
from scenario_player import DEFAULT_SETTINGS

from oatcart.model import ChannelLimits, Idempotency, RequestClass

ENDPOINTS = 31
PROXIES = 41
DRAIN_DEADLINE_S = 4.0
TRAVEL_TIME_S = 1.0  # the longest of a message
SETTINGS = replace(
    DEFAULT_SETTINGS,
    request_classes=(
        RequestClass(1, 1, Idempotency.IDEMPOTENT),
        RequestClass(3, 1, Idempotency.KEYED, own_zone_only=True),
    ),
    channel=ChannelLimits(
        line_rate=1200.0, message_overhead=3.0, max_queue=7400.0, max_messages=20, message_window=10.0
    ),
    drain_deadline=DRAIN_DEADLINE_S,
    expected_proxies=PROXIES,
    single_proxy_ejections=True,
)


@pytest.mark.parametrize("drained_before", [1, 6, 12])
@pytest.mark.parametrize("seed", range(4))
def test_proxies_that_join_a_restarted_controller_leave_endpoints_that_drained_before(drained_before, seed):
    # Failure (review/5): what drained before a proxy joined was told with its tables alone, which wait for
    # the channel behind the ejections and new entries of the rest of a release.
    fleet = FleetModel(SETTINGS, ENDPOINTS, seed, TRAVEL_TIME_S)
    random = Random(seed)
    fleet.run(0.5)
    joins = sorted((random.uniform(1.1, 2.4), proxy) for proxy in range(PROXIES))
    for number in range(drained_before):
        fleet.replace(number, ENDPOINTS + number)
    for number in range(drained_before, 15):
        fleet.run(0.4)
        fleet.replace(number, ENDPOINTS + number)
        while joins and joins[0][0] <= 0.4 * (number - drained_before + 1):
            fleet.join_configured(joins.pop(0)[1])
    for _, proxy in joins:
        fleet.join_configured(proxy)
    fleet.run(15)
    assert len(fleet.proxies) == PROXIES
    assert not fleet.controller.routing.has_subsets
    assert fleet.longest_use <= DRAIN_DEADLINE_S
    assert fleet.most_messages < SETTINGS.channel.max_messages


def test_proxies_that_got_their_tables_at_once_are_not_sent_ejections_by_themselves():
    channel = SETTINGS.channel._replace(line_rate=20000.0, max_queue=1e5)
    fleet = FleetModel(replace(SETTINGS, channel=channel), ENDPOINTS, 1, TRAVEL_TIME_S)
    sent = []
    fleet.commands.send_ejections = sent.append
    for number in range(8):
        fleet.replace(number, ENDPOINTS + number)
    fleet.run(0.5)
    for proxy in range(PROXIES):
        fleet.join_configured(proxy)
    fleet.run(5)
    assert sent == []
    assert fleet.longest_use <= DRAIN_DEADLINE_S
