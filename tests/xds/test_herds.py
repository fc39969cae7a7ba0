"""Many clients that return at once on a short push budget, with an endpoint drained meanwhile."""

import pytest
from sim import GRACE, STEP
from test_decisions import SHAPES, peer_of, stage_of, turned, turns

from oatcart.model import EndpointState
from oatcart.xds import view
from oatcart.xds.limits import RETURN_DEBT, RETURN_REFILL_SHARE, URGENT_DEBT
from oatcart.xds.resource_types import ENDPOINTS, ROUTE

PUSHES = 8.0  # a second
PUSHES_OF_A_RETURN_MAX = 4  # clusters, endpoints, endpoints as resources of their own, routes


def herd_of(stage, count, delta=False, shape=view.WHOLE, name="p"):
    peers = [peer_of(stage, f"{name}{at}", delta, shape) for at in range(count)]
    turns(stage, 4 + count * PUSHES_OF_A_RETURN_MAX / PUSHES)
    assert all(peer.view("lookup") for peer in peers)
    return peers


def still_healthy(peers, node):
    """Those connected for longer than the drain deadline that hold a drained endpoint as healthy."""
    return [
        peer.id
        for peer in peers
        if peer.stream is not None
        and peer.stage.now - peer.since > GRACE
        and (peer.view("lookup") or {}).get(node, ("", "gone"))[1] == view.HEALTHY
    ]


@pytest.mark.parametrize("elsewhere", [False, True])
@pytest.mark.parametrize("delta, shape", SHAPES)
@pytest.mark.parametrize("count", [6, 20, 40])
def test_who_is_connected_past_the_drain_deadline_holds_no_drained_endpoint(count, delta, shape, elsewhere):
    # Guards against a herd of returns that is let in faster than it can be sent its endpoints.
    stage = stage_of(8, pushes=PUSHES)
    peers = herd_of(stage, count, delta, shape)
    for peer in peers:
        peer.drop()
    turned(stage, 0, EndpointState.DRAINING)
    if elsewhere:  # a controller that knows none of them
        stage.restart()
    turns(stage, 1)
    for peer in peers:
        peer.come()
    all_here = 4 + count * PUSHES_OF_A_RETURN_MAX / (PUSHES * RETURN_REFILL_SHARE)
    for _ in range(round(all_here / STEP)):
        stage.turn()
        assert not still_healthy(peers, "n0")
    turns(stage, GRACE)
    assert all(peer.stream is not None for peer in peers)
    assert all(peer.view("lookup") == stage.view(0, 0) for peer in peers)
    assert stage.view(0, 0).get("n0", ("", ""))[1] != view.HEALTHY


@pytest.mark.parametrize("delta, shape", SHAPES)
@pytest.mark.parametrize("others", [10, 30])
def test_a_herd_of_returns_delays_no_drain_of_connected_clients(others, delta, shape):
    # Guards against returns that use up what withdrawals may borrow.
    stage = stage_of(8, pushes=PUSHES)
    here = herd_of(stage, 5, delta, shape, "here")
    away = herd_of(stage, others, delta, shape, "away")
    for peer in away:
        peer.drop()
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 4)
    for peer in away:
        peer.come()
    for node in 1, 2:  # ten pushes, within what withdrawals may borrow
        turned(stage, node, EndpointState.DRAINING)
        turns(stage, 2 * STEP)
        assert all(peer.view("lookup")[f"n{node}"][1] == view.DRAINING for peer in here)


@pytest.mark.parametrize("count", [10, 30])
def test_one_drain_reaches_all_connected_clients_in_time(count):
    stage = stage_of(8, pushes=PUSHES)
    peers = herd_of(stage, count)
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, GRACE)
    assert all(peer.view("lookup")["n0"][1] == view.DRAINING for peer in peers)


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_herd_costs_no_more_pushes_than_the_budget_and_what_may_be_borrowed(delta, shape):
    stage = stage_of(8, pushes=PUSHES)
    peers = herd_of(stage, 40, delta, shape)
    for peer in peers:
        peer.drop()
        peer.pushed.clear()
    stage.restart()
    began = stage.now
    for peer in peers:
        peer.come()
    turned(stage, 0, EndpointState.DRAINING)
    for _ in range(round(8 / STEP)):
        stage.turn()
        sent = sum(len(peer.pushed) for peer in peers)
        burst = stage.front.budget.burst
        assert sent <= burst + PUSHES * (stage.now - began + URGENT_DEBT + RETURN_DEBT)


def test_a_client_that_returns_with_the_current_version_borrows_nothing():
    # Guards against returns with nothing to miss that turn away those that miss a withdrawal.
    stage = stage_of(8, pushes=PUSHES)
    peers = herd_of(stage, 6, True)
    turns(stage, 10)
    for _ in range(10):
        for peer in peers:
            peer.drop()
            peer.come()
        turns(stage, 1)
        assert all(peer.stream is not None for peer in peers)


def test_pushes_that_a_lost_client_did_not_get_are_paid_back():
    stage = stage_of(8, pushes=PUSHES)
    peer = herd_of(stage, 1)[0]
    for _ in range(100):
        peer.drop()
        peer.come()
        assert peer.stream is not None


def test_types_that_a_drain_does_not_depend_on_wait_for_the_budget():
    # Guards against routes that are paid with what withdrawals may borrow.
    stage = stage_of(8, pushes=PUSHES)
    peer = herd_of(stage, 1)[0]
    peer.drop()
    while stage.front.budget.take(True):
        pass
    turned(stage, 0, EndpointState.DRAINING)
    peer.pushed.clear()
    peer.come()
    turns(stage, 2 * STEP)
    kinds = [kind for _, kind in peer.pushed]
    assert ENDPOINTS in kinds and ROUTE not in kinds


def test_clients_that_are_turned_away_together_are_told_different_times():
    stage = stage_of(8, pushes=PUSHES)
    peers = herd_of(stage, 30)
    for peer in peers:
        peer.drop()
    for peer in peers:
        peer.come()
    times = [peer.come_back_at for peer in peers if peer.come_back_at is not None]
    assert times and times == sorted(times) and len(set(times)) > len(times) / 2


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_new_client_that_accepts_what_it_is_sent_is_not_one_that_returns(delta, shape):
    # Guards against new clients that are turned away with their first answer, which bears a version.
    stage = stage_of(8, pushes=PUSHES)
    while stage.front.budget.prepay(1):
        pass
    stage.front.budget.pushes_per_second = 0.5 * PUSHES  # what is repaid meanwhile is not enough for a return
    peer = peer_of(stage, "new", delta, shape)
    turns(stage, 2)
    assert peer.view("lookup") == stage.view(0, 0) and stage.front.budget.returning_debt > 0
