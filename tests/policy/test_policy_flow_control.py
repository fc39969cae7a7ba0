"""Reservations of the update channel, and how acknowledgements release them."""

import pytest

from oatcart.model import ChannelLimits
from oatcart.policy.flow_control import OVERDUE_SHARE, URGENT_SHARE, WEIGHTS_SHARE, UpdateChannel
from oatcart.policy.state import Proxy

LIMITS = ChannelLimits(line_rate=100.0, message_overhead=4.0, max_queue=200.0)


def two_proxies():
    return {number: Proxy(0, False, 0.0, [1.0]) for number in range(2)}


def started_channel(limits=LIMITS):
    channel = UpdateChannel(limits)
    channel.begin_round(100.0)
    return channel


def test_each_message_costs_its_overhead_once_a_round():
    channel, proxies = started_channel(), two_proxies()
    assert channel.reserve(proxies, 10, WEIGHTS_SHARE) == 10
    assert channel.queued == 30.0  # 2 * 10 lines, 2 * (4 + 1) for messages with a nonce
    assert channel.reserve(proxies, 1, WEIGHTS_SHARE, notices=[2]) == 1
    assert channel.queued == 34.0  # 2 lines and 2 notices


def test_lines_that_do_not_fit_are_reserved_in_part_or_not_at_all():
    channel, proxies = started_channel(), two_proxies()
    assert channel.reserve(proxies, 46, WEIGHTS_SHARE) == 0  # 102 of 0.5 * 200
    assert channel.reserve(proxies, 46, WEIGHTS_SHARE, minimum=46) == 0
    assert channel.reserve(proxies, 46, WEIGHTS_SHARE, minimum=4) == 45
    assert channel.reserve(proxies, 50, URGENT_SHARE, minimum=4) == 40  # up to 0.9 * 200
    assert channel.queued == 180.0


@pytest.mark.parametrize("nonces, queued", [([], 80.0), ([7], 80.0), ([1], 0.0), ([1, 1], 0.0)])
def test_unacknowledged_lines_stay_queued(nonces, queued):
    channel = started_channel()
    channel.reserve(two_proxies(), 85, URGENT_SHARE)  # 180 lines, 90 for each acknowledgement
    channel.end_round(1)
    for nonce in nonces:
        channel.acknowledge(nonce)
    channel.begin_round(102.0)
    assert channel.queued == queued  # without the lines of the second that acknowledgements take
    assert channel.is_idle == (not queued)


def test_a_share_of_the_message_cap_may_be_used_and_its_last_message_never():
    channel = started_channel(ChannelLimits(max_messages=4, message_window=10.0))
    proxies = two_proxies()
    reserved = []
    for now, share in [
        (101, WEIGHTS_SHARE),
        (102, WEIGHTS_SHARE),
        (103, OVERDUE_SHARE),
        (104, OVERDUE_SHARE),
    ]:
        channel.begin_round(now)
        reserved.append(channel.reserve(proxies, 1, share))
    assert reserved == [1, 0, 1, 1]
    channel.begin_round(105.0)
    assert channel.reserve(proxies, 1, OVERDUE_SHARE) == 0
    channel.begin_round(111.5)  # the first one has left the window
    assert channel.reserve(proxies, 1, OVERDUE_SHARE) == 1


@pytest.mark.parametrize("max_messages", [0, 12])
def test_the_times_of_sent_messages_take_bounded_memory(max_messages):
    # Failure: without a message cap, each proxy kept the times of all messages of its stream.
    limits = ChannelLimits(max_messages=max_messages, message_window=10.0)
    channel, proxies = UpdateChannel(limits), two_proxies()
    for second in range(1000):
        channel.begin_round(float(second))
        channel.reserve(proxies, 1, WEIGHTS_SHARE)
    assert all(0 < len(proxy.message_times) <= max(1, max_messages) for proxy in proxies.values())
