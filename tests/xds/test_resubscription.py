"""A client that subscribes once more to what it holds (incremental protocol)."""

import pytest
from sim import GRACE, STEP
from test_decisions import SHAPES, peer_of, stage_of, turned, turns

from oatcart.model import EndpointState
from oatcart.xds import view
from oatcart.xds.resource_types import ENDPOINTS, MEMBER

INCREMENTAL = [shape for delta, shape in SHAPES if delta]


def ask_again(peer):
    kind = MEMBER if peer.shape == view.EACH else ENDPOINTS
    peer.ask(kind, list(peer.names[kind]))


@pytest.mark.parametrize("shape", INCREMENTAL)
def test_a_drain_is_sent_in_time_though_the_client_asked_again_and_the_budget_is_spent(shape):
    # Guards against a subscription that takes what it sent for forgotten when the client asks again.
    stage = stage_of(8, pushes=8.0)
    peer = peer_of(stage, "p", True, shape)
    turns(stage, 4)
    while stage.front.budget.take(True):
        pass
    ask_again(peer)
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 2 * STEP)
    assert peer.view("lookup")["n0"][1] == view.DRAINING


@pytest.mark.parametrize("shape", INCREMENTAL)
def test_a_withdrawal_is_not_merged_with_the_return_though_the_client_asked_again(shape):
    # Guards against a client that takes an endpoint's new incarnation for the one it knew.
    stage = stage_of(4)
    peer = peer_of(stage, "p", True, shape)
    turns(stage, 2)
    seen = []
    take = peer.take
    peer.take = lambda kind, push: (
        take(kind, push),
        seen.append((peer.view("lookup") or {}).get("n0", ("", "gone"))[1]),
    )
    peer.stalled = True
    stage.list[7] = (1, 0.0, EndpointState.READY)  # something that is written and not read
    stage.listed()
    turns(stage, 1.5)
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 1)
    turned(stage, 0, EndpointState.READY, stage.now)
    turns(stage, 1)
    ask_again(peer)
    peer.stalled = False
    turns(stage, GRACE)
    assert view.DRAINING in seen and seen[-1] == view.HEALTHY
