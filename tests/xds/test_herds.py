"""Many clients that return at once on a short push budget, with an endpoint drained meanwhile."""

import pytest
from sim import DRAIN_DEADLINE, TURN_DURATION
from test_decisions import SHAPES, add_peer, make_harness, run_for, set_state

from oatcart.model import EndpointState
from oatcart.xds import view
from oatcart.xds.limits import RETURN_DEBT, RETURN_REFILL_SHARE, URGENT_DEBT
from oatcart.xds.resource_types import ENDPOINTS, ROUTE

PUSHES = 8.0  # a second
PUSHES_OF_A_RETURN_MAX = 4  # clusters, endpoints, endpoints as resources of their own, routes


def connect_peers(harness, count, delta=False, shape=view.WHOLE, name="p"):
    peers = [add_peer(harness, f"{name}{at}", delta, shape) for at in range(count)]
    run_for(harness, 4 + count * PUSHES_OF_A_RETURN_MAX / PUSHES)
    assert all(peer.view("lookup") for peer in peers)
    return peers


def still_healthy(peers, endpoint):
    """Peers connected for longer than the drain deadline for which a drained endpoint is healthy."""
    return [
        peer.id
        for peer in peers
        if peer.stream is not None
        and peer.harness.now - peer.connected_since > DRAIN_DEADLINE
        and (peer.view("lookup") or {}).get(endpoint, ("", "gone"))[1] == view.HEALTHY
    ]


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("delta, shape", SHAPES)
@pytest.mark.parametrize("count", [6, 20, 40])
def test_no_client_connected_past_the_drain_deadline_has_a_drained_endpoint(count, delta, shape, restarted):
    # Guards against returning clients that are admitted faster than they can be sent their endpoints.
    harness = make_harness(8, pushes=PUSHES)
    peers = connect_peers(harness, count, delta, shape)
    for peer in peers:
        peer.disconnect()
    set_state(harness, 0, EndpointState.DRAINING)
    if restarted:  # the new controller knows none of them
        harness.restart()
    run_for(harness, 1)
    for peer in peers:
        peer.connect_if_admitted()
    all_here = 4 + count * PUSHES_OF_A_RETURN_MAX / (PUSHES * RETURN_REFILL_SHARE)
    for _ in range(round(all_here / TURN_DURATION)):
        harness.turn()
        assert not still_healthy(peers, "n0")
    run_for(harness, DRAIN_DEADLINE)
    assert all(peer.stream is not None for peer in peers)
    assert all(peer.view("lookup") == harness.view(0, 0) for peer in peers)
    assert harness.view(0, 0).get("n0", ("", ""))[1] != view.HEALTHY


@pytest.mark.parametrize("delta, shape", SHAPES)
@pytest.mark.parametrize("others", [10, 30])
def test_a_herd_of_returns_delays_no_drain_of_connected_clients(others, delta, shape):
    # Guards against returns that use up what withdrawals may borrow.
    harness = make_harness(8, pushes=PUSHES)
    connected = connect_peers(harness, 5, delta, shape, "here")
    returning = connect_peers(harness, others, delta, shape, "away")
    for peer in returning:
        peer.disconnect()
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 4)
    for peer in returning:
        peer.connect_if_admitted()
    for endpoint in 1, 2:  # ten pushes, within what withdrawals may borrow
        set_state(harness, endpoint, EndpointState.DRAINING)
        run_for(harness, 2 * TURN_DURATION)
        assert all(peer.view("lookup")[f"n{endpoint}"][1] == view.DRAINING for peer in connected)


@pytest.mark.parametrize("count", [10, 30])
def test_one_drain_reaches_all_connected_clients_in_time(count):
    harness = make_harness(8, pushes=PUSHES)
    peers = connect_peers(harness, count)
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, DRAIN_DEADLINE)
    assert all(peer.view("lookup")["n0"][1] == view.DRAINING for peer in peers)


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_herd_costs_no_more_pushes_than_the_budget_and_what_may_be_borrowed(delta, shape):
    harness = make_harness(8, pushes=PUSHES)
    peers = connect_peers(harness, 40, delta, shape)
    for peer in peers:
        peer.disconnect()
        peer.recent_pushes.clear()
    harness.restart()
    began = harness.now
    for peer in peers:
        peer.connect_if_admitted()
    set_state(harness, 0, EndpointState.DRAINING)
    for _ in range(round(8 / TURN_DURATION)):
        harness.turn()
        sent = sum(len(peer.recent_pushes) for peer in peers)
        burst = harness.front.budget.burst
        assert sent <= burst + PUSHES * (harness.now - began + URGENT_DEBT + RETURN_DEBT)


def test_a_client_that_returns_with_the_current_version_borrows_nothing():
    # Guards against clients that miss nothing and use up the account of those that miss a withdrawal.
    harness = make_harness(8, pushes=PUSHES)
    peers = connect_peers(harness, 6, True)
    run_for(harness, 10)
    for _ in range(10):
        for peer in peers:
            peer.disconnect()
            peer.connect_if_admitted()
        run_for(harness, 1)
        assert all(peer.stream is not None for peer in peers)


def test_pushes_that_a_lost_client_did_not_get_are_refunded():
    harness = make_harness(8, pushes=PUSHES)
    peer = connect_peers(harness, 1)[0]
    for _ in range(100):
        peer.disconnect()
        peer.connect_if_admitted()
        assert peer.stream is not None


def test_types_that_a_drain_does_not_depend_on_wait_for_the_budget():
    # Guards against routes that are paid with what withdrawals may borrow.
    harness = make_harness(8, pushes=PUSHES)
    peer = connect_peers(harness, 1)[0]
    peer.disconnect()
    while harness.front.budget.take(True):
        pass
    set_state(harness, 0, EndpointState.DRAINING)
    peer.recent_pushes.clear()
    peer.connect_if_admitted()
    run_for(harness, 2 * TURN_DURATION)
    types = [resource_type for _, resource_type in peer.recent_pushes]
    assert ENDPOINTS in types and ROUTE not in types


def test_clients_rejected_together_get_different_retry_times():
    harness = make_harness(8, pushes=PUSHES)
    peers = connect_peers(harness, 30)
    for peer in peers:
        peer.disconnect()
    for peer in peers:
        peer.connect_if_admitted()
    times = [peer.retry_at for peer in peers if peer.retry_at is not None]
    assert times and times == sorted(times) and len(set(times)) > len(times) / 2


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_new_client_that_acknowledges_is_not_taken_for_a_returning_one(delta, shape):
    # Guards against new clients that are rejected at their first answer, which carries a version.
    harness = make_harness(8, pushes=PUSHES)
    while harness.front.budget.prepay(1):
        pass
    harness.front.budget.pushes_per_second = (
        0.5 * PUSHES
    )  # what is repaid meanwhile is not enough for a return
    peer = add_peer(harness, "new", delta, shape)
    run_for(harness, 2)
    assert peer.view("lookup") == harness.view(0, 0) and harness.front.budget.returning_debt > 0
