"""A client that subscribes again to resources that it has (incremental protocol)."""

import pytest
from sim import DRAIN_DEADLINE, TURN_DURATION
from test_decisions import SHAPES, add_peer, make_harness, run_for, set_state

from oatcart.model import EndpointState
from oatcart.xds import view
from oatcart.xds.resource_types import ENDPOINTS, MEMBER

INCREMENTAL = [shape for delta, shape in SHAPES if delta]


def subscribe_again(peer):
    resource_type = MEMBER if peer.shape == view.EACH else ENDPOINTS
    peer.request(resource_type, list(peer.subscribed[resource_type]))


@pytest.mark.parametrize("shape", INCREMENTAL)
def test_a_drain_is_sent_in_time_though_the_client_subscribed_again_and_the_budget_is_spent(shape):
    # Guards against a subscription that forgets what it sent when the client subscribes again.
    harness = make_harness(8, pushes=8.0)
    peer = add_peer(harness, "p", True, shape)
    run_for(harness, 4)
    while harness.front.budget.take(True):
        pass
    subscribe_again(peer)
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 2 * TURN_DURATION)
    assert peer.view("lookup")["n0"][1] == view.DRAINING


@pytest.mark.parametrize("shape", INCREMENTAL)
def test_a_withdrawal_is_not_merged_with_the_return_though_the_client_subscribed_again(shape):
    # Guards against a client that takes an endpoint's new incarnation for the one it knew.
    harness = make_harness(4)
    peer = add_peer(harness, "p", True, shape)
    run_for(harness, 2)
    seen = []
    receive = peer.receive
    peer.receive = lambda resource_type, push: (
        receive(resource_type, push),
        seen.append((peer.view("lookup") or {}).get("n0", ("", "gone"))[1]),
    )
    peer.stalled = True
    harness.endpoint_list[7] = (1, 0.0, EndpointState.READY)  # a push that is written and not read
    harness.publish_list()
    run_for(harness, 1.5)
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 1)
    set_state(harness, 0, EndpointState.READY, harness.now)
    run_for(harness, 1)
    subscribe_again(peer)
    peer.stalled = False
    run_for(harness, DRAIN_DEADLINE)
    assert view.DRAINING in seen and seen[-1] == view.HEALTHY
