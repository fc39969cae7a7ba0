"""A client that had an endpoint keeps one while there is one (rule 1), even with pushes in flight."""

import pytest
from test_decisions import SHAPES, add_peer, make_harness, run_for, set_state

from oatcart.model import EndpointState
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.sent_endpoints import SentEndpoints
from oatcart.xds.subscription import Subscription

COLLECTION = "xdstp://o/T/east/lookup/west/"


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_late_client_without_an_endpoint_gets_the_one_that_returns(delta, shape):
    # Guards against a client that answers late and waits without an endpoint for one that is back.
    harness = make_harness(2)
    peer = add_peer(harness, delta=delta, shape=shape)
    run_for(harness, 2)
    peer.late = True
    set_state(harness, 0, EndpointState.GONE)
    set_state(harness, 1, EndpointState.GONE)
    run_for(harness, 1)
    assert not any(health == "HEALTHY" for _, health in peer.view("lookup").values())
    set_state(harness, 0, EndpointState.READY, harness.now)
    run_for(harness, 1)
    assert harness.proxy_view(0) and peer.view("lookup")["n0"][1] == "HEALTHY"


def test_a_withdrawal_of_the_last_endpoint_of_one_group_brings_that_groups_replacement_alone():
    # Guards against a count over all groups, which another request class's endpoints would keep above zero.
    cache, subscription = ResourceCache(), Subscription(True, False, "l")
    other = COLLECTION.replace("lookup", "fee")
    cache.put(0.0, COLLECTION + "n1", "a", {"n1"})
    cache.put(0.0, other + "n1", "a", {"n1"})
    subscription.request_changes([COLLECTION + "*", other + "*"], [], {}, "", None)
    subscription.next_push(cache)  # stays in flight
    cache.put(1.0, COLLECTION + "n2", "b", {"n2"})
    cache.put(1.0, other + "n2", "b", {"n2"})
    assert subscription.next_push(cache) is None
    cache.remove(2.0, COLLECTION + "n1")
    push = subscription.next_push(cache)
    assert push.removed == (COLLECTION + "n1",)
    assert [name for name, _ in push.items] == [COLLECTION + "n2"]


def test_a_resource_that_the_client_gave_up_needs_no_replacement():
    sent = SentEndpoints()
    sent.record("lookup", frozenset({"n1"}))
    sent.forget("lookup")
    assert not sent.empty_groups and not sent.emptied_by({})
