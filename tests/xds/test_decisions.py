"""Decisions of the xDS front one by one, without I/O and with a simulated clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sim import DRAIN_DEADLINE, TURN_DURATION, Harness, Peer

from oatcart.events import EndpointLoadReported, ProxyLoadReported, UpdateAcknowledged
from oatcart.model import EndpointState, RetryPolicy
from oatcart.xds import view
from oatcart.xds.client_load_reports import ClusterLoadReport, LoadReportReader, RequestCounts
from oatcart.xds.limits import RequestRejectedError
from oatcart.xds.push import Rejection
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, ROUTE
from oatcart.xds.subscription import SENT_ABSENT, Subscription

SHAPES = [(False, view.WHOLE), (True, view.WHOLE), (True, view.EACH), (False, view.SPREAD)]


def make_harness(endpoints=4, **more):
    harness = Harness(**more)
    harness.endpoint_list = {number: (number % 2, 0.0, EndpointState.READY) for number in range(endpoints)}
    harness.publish_list()
    return harness


def add_peer(harness, name="p", delta=False, shape=view.WHOLE, zone=0):
    peer = harness.peers[name] = Peer(harness, name, zone, delta, shape)
    peer.subscribed[ENDPOINTS] = {"lookup": None, "fee": None}
    peer.subscribed[ROUTE] = {"lookup": None, "fee": None}
    peer.connect()
    return peer


def run_for(harness, seconds):
    for _ in range(round(seconds / TURN_DURATION)):
        harness.turn()


def set_state(harness, endpoint, state, started=None):
    zone, began, _ = harness.endpoint_list[endpoint]
    harness.endpoint_list[endpoint] = (zone, began if started is None else started, state)
    harness.publish_list()


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_drain_overtakes_a_push_in_flight(delta, shape):
    harness = make_harness()
    peer = add_peer(harness, delta=delta, shape=shape)
    run_for(harness, 2)
    peer.late = True
    harness.endpoint_list[7] = (1, harness.now, EndpointState.READY)
    harness.publish_list()
    run_for(harness, 2)
    assert "n7" in peer.view("lookup") and peer.answers  # in flight: sent, received, not answered
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, DRAIN_DEADLINE)
    assert peer.view("lookup")["n0"][1] == view.DRAINING
    peer.late = False
    run_for(harness, 2)
    assert peer.view("lookup") == harness.view(0, 0)


def test_endpoints_are_not_sent_before_their_cluster_is_acknowledged():
    harness = make_harness()
    peer = add_peer(harness)
    peer.late = True
    run_for(harness, 3)
    assert peer.resources[CLUSTER] and not peer.resources[ENDPOINTS] and not peer.resources[ROUTE]
    peer.late = False
    run_for(harness, 1)
    assert peer.view("lookup") == harness.view(0, 0)


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_returning_client_that_answers_nothing_sees_the_drain(delta, shape):
    """Guards against a client that returns with endpoints of an earlier stream and is sent the present ones
    only after it acknowledged its clusters. Found by the state machine.
    """
    harness = make_harness()
    peer = add_peer(harness, delta=delta, shape=shape)
    run_for(harness, 2)
    peer.late = True
    peer.disconnect()
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 1)
    peer.connect()
    run_for(harness, DRAIN_DEADLINE)
    assert peer.answers and peer.view("lookup")["n0"][1] == view.DRAINING


def test_an_incremental_client_that_returns_with_other_clusters_sees_the_drain():
    """The same where its clusters differ from the present ones, as after an upgrade."""
    harness = make_harness()
    peer = add_peer(harness, delta=True)
    run_for(harness, 2)
    peer.late = True
    peer.disconnect()
    peer.resources[CLUSTER] = {name: ("old", body) for name, (_, body) in peer.resources[CLUSTER].items()}
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 1)
    peer.connect()
    run_for(harness, DRAIN_DEADLINE)
    assert peer.answers and peer.view("lookup")["n0"][1] == view.DRAINING


def test_a_cluster_is_removed_after_the_resources_that_refer_to_it():
    """Incremental protocol: the endpoints of a removed request class are removed first, then its cluster."""
    harness = make_harness()
    peer = add_peer(harness, delta=True)
    run_for(harness, 2)
    front, order = harness.front, []
    receive = peer.receive
    peer.receive = lambda resource_type, push: (
        order.extend((resource_type, name) for name in push.removed),
        receive(resource_type, push),
    )
    peer.late = True
    caches = [
        front.caches[CLUSTER, view.WHOLE],
        front.caches[ENDPOINTS, 0, view.WHOLE],
        front.caches[ROUTE, 0],
    ]
    for cache in caches:
        cache.remove(harness.now, "fee")
    front.pending_streams[peer.stream] = None
    deliver(harness, peer)
    assert (CLUSTER, "fee") not in order
    peer.late = False
    for _ in range(4):
        deliver(harness, peer)
    assert order.index((ROUTE, "fee")) < order.index((ENDPOINTS, "fee")) < order.index((CLUSTER, "fee"))


def deliver(harness, peer):
    for stream, pushes in harness.front.dispatch(harness.now):
        harness.peers_by_stream[stream].inbox.append(pushes)
    peer.turn()


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_drain_is_not_merged_with_the_return(delta, shape):
    """Guards against a client that reads nothing for a while and takes the new incarnation for the old."""
    harness = make_harness()
    peer = add_peer(harness, delta=delta, shape=shape)
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
    run_for(harness, 2)
    assert not seen
    peer.stalled = False
    run_for(harness, 3)
    assert view.DRAINING in seen and seen[-1] == view.HEALTHY


def test_the_weight_of_a_restarted_endpoint_falls_at_once_during_a_push():
    """Rule 4: the fall of the weight does not wait for an answer, and equals that at the proxy."""
    harness = make_harness(6)
    peer = add_peer(harness)
    run_for(harness, 2)
    before = peer.view("lookup")["n0"][0]
    peer.late = True
    harness.endpoint_list[7] = (1, harness.now, EndpointState.READY)
    harness.publish_list()
    run_for(harness, 1)
    set_state(harness, 0, EndpointState.READY, harness.now)
    run_for(harness, 1)
    now = peer.view("lookup").get("n0", (0, ""))[0]
    assert now < before / 2 and now == harness.proxy_view(0).get("n0", 0)


def test_no_endpoints_are_sent_before_the_client_is_assigned_a_table():
    harness = Harness()  # no endpoint list, so no table is assigned
    peer = add_peer(harness)
    run_for(harness, 3)
    assert peer.resources[CLUSTER] and not peer.resources[ENDPOINTS]
    harness.endpoint_list = {0: (0, 0.0, EndpointState.READY)}
    harness.publish_list()
    run_for(harness, 2)
    assert peer.view("lookup") == {"n0": (50, view.HEALTHY)}


def test_a_nonce_is_acknowledged_once_all_streams_have_acknowledged_its_pushes():
    harness = make_harness()
    peer = add_peer(harness)
    run_for(harness, 2)
    number = next(iter(harness.front.clients.values())).proxy
    peer.late, events = True, []
    add_event = harness.rounds.add_event
    harness.rounds.add_event = lambda event: (events.append(event), add_event(event))
    harness.endpoint_list[7] = (1, harness.now, EndpointState.READY)
    harness.publish_list()
    run_for(harness, 2)
    assert not [one for one in events if isinstance(one, UpdateAcknowledged) and one.proxy == number]
    peer.late = False
    run_for(harness, 0.5)
    acknowledgements = [one for one in events if isinstance(one, UpdateAcknowledged) and one.proxy == number]
    assert acknowledgements and acknowledgements[0].duration > 1.0


def test_order_of_pushes_when_all_clients_return():
    """With a short budget: a drain to a connected client, then returning clients, then new ones."""
    harness = make_harness(4, pushes=8.0)
    connected = add_peer(harness, "here")
    returning = [add_peer(harness, f"away{at}", True) for at in range(3)]
    run_for(harness, 12)
    for peer in returning:
        assert peer.view("lookup")
        peer.disconnect()
    order = []
    peers = [*(add_peer(harness, f"new{at}", True) for at in range(3)), *returning]
    for peer in returning:
        peer.connect()
    for peer in [*peers, connected]:
        receive = peer.receive
        peer.receive = lambda resource_type, push, peer=peer, receive=receive: (
            order.append((peer.id, resource_type)),
            receive(resource_type, push),
        )
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, 20)
    first = {
        name: order.index((name, resource_type))
        for name, resource_type in reversed(order)
        if resource_type == ENDPOINTS
    }
    assert first["here"] == min(first.values())
    assert max(first[f"away{at}"] for at in range(3)) < min(first[f"new{at}"] for at in range(3))
    assert all(peer.view("lookup")["n0"][1] == view.DRAINING for peer in [*peers, connected])


def test_an_urgent_push_may_borrow_from_the_budget():
    harness = make_harness(4, pushes=8.0)
    peers = [add_peer(harness, f"p{at}") for at in range(10)]
    run_for(harness, 20)
    set_state(harness, 1, EndpointState.DRAINING)
    run_for(harness, 2 * TURN_DURATION)
    assert all(peer.view("lookup")["n1"][1] == view.DRAINING for peer in peers)


def test_a_returning_client_sees_the_drain_though_others_spent_the_budget():
    """Found by the state machine. Three drains to six clients leave the budget in debt; a client that was
    away meanwhile still has the drained endpoint as healthy when it returns.
    """
    harness = make_harness(8, pushes=8.0)
    peers = [add_peer(harness, f"p{at}") for at in range(6)]
    run_for(harness, 12)
    for endpoint in 1, 2, 3:
        set_state(harness, endpoint, EndpointState.DRAINING)
        run_for(harness, TURN_DURATION)
    peers[-1].disconnect()
    set_state(harness, 0, EndpointState.DRAINING)
    run_for(harness, TURN_DURATION)
    peers[-1].connect()
    run_for(harness, DRAIN_DEADLINE)
    assert [peer.view("lookup")["n0"][1] for peer in peers] == [view.DRAINING] * 6


def cache_of(**bodies):
    cache = ResourceCache()
    for name, body in bodies.items():
        cache.put(0.0, name, body, body)
    return cache


def test_resources_rejected_together_are_retried_one_by_one():
    cache, subscription = cache_of(x="ab", y="ab"), Subscription(True, False, "l")
    subscription.request_changes(["x", "y"], [], {}, "", None)
    push = subscription.next_push(cache)
    assert {name for name, _ in push.items} == {"x", "y"}
    assert subscription.request_changes([], [], {}, push.nonce, "something is wrong") == Rejection(
        "something is wrong", (), ("x", "y")
    )
    alone = subscription.next_push(cache)
    assert len(alone.items) == 1
    name, other = alone.items[0][0], {"x": "y", "y": "x"}[alone.items[0][0]]
    assert subscription.request_changes([], [], {}, alone.nonce, "wrong again").rejected == (name,)
    last = subscription.next_push(cache)
    assert [one for one, _ in last.items] == [other]
    subscription.request_changes([], [], {}, last.nonce, None)
    assert subscription.next_push(cache) is None and subscription.acknowledged == {
        other: cache.resources[other].current.sequence
    }
    cache.put(1.0, name, "other", "o")
    assert [one for one, _ in subscription.next_push(cache).items] == [name]


def test_a_resource_named_in_a_rejection_is_rejected_and_the_rest_acknowledged():
    cache, subscription = cache_of(lookup="ab", fee="ab"), Subscription(True, False, "l")
    subscription.request_changes(["lookup", "fee"], [], {}, "", None)
    push = subscription.next_push(cache)
    assert subscription.request_changes([], [], {}, push.nonce, "fee: no such thing").rejected == ("fee",)
    assert (
        subscription.next_push(cache) is None
        and "lookup" in subscription.acknowledged
        and "fee" not in subscription.acknowledged
    )


def test_stale_answers_are_ignored():
    cache, subscription = cache_of(x="a"), Subscription(False, False, "l", wildcard_allowed=False)
    subscription.request_names(["x"], "", None)
    first = subscription.next_push(cache)
    cache.put(1.0, "x", "b", "b", urgent=True)
    second = subscription.next_push(cache)  # it withdraws `a`, so it does not wait
    assert subscription.request_names(["x", "y"], "l.0", None) is False and "y" not in subscription.subscribed
    # only the answer is taken; the names are old
    assert (
        subscription.request_names(["x", "y"], first.nonce, None) is None
        and "y" not in subscription.subscribed
    )
    assert subscription.acknowledged["x"] == first.items[0][1].sequence
    subscription.request_names(["x", "y"], second.nonce, "no")
    assert "y" in subscription.subscribed and subscription.acknowledged["x"] == first.items[0][1].sequence
    assert subscription.next_push(cache) is None


def test_a_rejected_complete_push_is_not_repeated_until_its_content_changes():
    cache, subscription = cache_of(x="a", y="a"), Subscription(False, True, "l")
    subscription.request_names([], "", None)
    push = subscription.next_push(cache)
    assert subscription.request_names([], push.nonce, "no").rejected == ("x", "y")
    assert subscription.next_push(cache) is None
    cache.put(1.0, "y", "b", "b")
    assert {name for name, _ in subscription.next_push(cache).items} == {"x", "y"}


def test_current_versions_of_an_earlier_stream_are_not_sent_again():
    cache, subscription = cache_of(x="a", y="a"), Subscription(True, False, "l")
    subscription.request_changes(
        ["x", "y", "z"], [], {"x": cache.resources["x"].current.version, "y": "old", "z": "old"}, "", None
    )
    push = subscription.next_push(cache)
    assert [name for name, _ in push.items] == ["y"] and push.removed == ("z",)
    assert (
        subscription.sent["z"] == SENT_ABSENT
        and subscription.acknowledged["x"] == cache.resources["x"].current.sequence
    )


def test_a_client_behind_the_change_log_is_compared_with_all_resources():
    cache, subscription = cache_of(x="a"), Subscription(True, True, "l")
    subscription.request_changes(["*"], [], {}, "", None)
    subscription.request_changes([], [], {}, subscription.next_push(cache).nonce, None)
    for at in range(20_000):
        cache.put(1.0, "x" if at % 2 else "y", str(at), "a")
    assert {name for name, _ in subscription.next_push(cache).items} == {"x", "y"}


@given(st.lists(st.floats(0.01, 1e6), min_size=1, max_size=50))
def test_rounding_keeps_ratios_to_a_hundredth(weights):
    found = view.integer_weights(dict(enumerate(weights)))
    assert all(weight >= 1 for weight in found.values()) and sum(found.values()) <= view.WEIGHT_SUM_MAX
    scale = sum(found.values()) / sum(weights)
    if min(weights) * scale >= view.SCALED_WEIGHT_MIN / 2:
        assert all(abs(found[at] / (weight * scale) - 1) <= 0.021 for at, weight in enumerate(weights))


def test_a_rejected_client_gets_retry_after_and_leaves_no_record():
    harness = make_harness()
    harness.front.limits.clients = 1
    add_peer(harness, "one")
    with pytest.raises(RequestRejectedError) as rejected:
        add_peer(harness, "two")
    assert rejected.value.code == "RESOURCE_EXHAUSTED" and rejected.value.retry_after > 0
    assert list(harness.front.clients) == ["one"]


def test_only_the_invalid_part_of_a_load_report_is_left_out():
    problems, reader = [], LoadReportReader()
    endpoint_number = {"n0": 0, ("127.0.0.1", 9001): 1}.get
    counts = RequestCounts(8, 2, 10, 3, {"cpu_utilization": (10, 4.0)})

    def read(*reports):
        problems.clear()
        return reader.read(reports, 9, 1, {"lookup": 0}, endpoint_number, problems.append)

    events = read(
        ClusterLoadReport("nobody", 1.0, [("n0", counts)], [counts], 0),
        ClusterLoadReport(
            "lookup", 2.0, [("n0", counts), ("n9", counts), (("127.0.0.1", 9001), counts)], [counts], 5
        ),
    )
    assert [(type(one), one[0]) for one in events] == [
        (EndpointLoadReported, 0),
        (EndpointLoadReported, 1),
        (ProxyLoadReported, 9),
    ] and len(problems) == 2
    assert events[0] == EndpointLoadReported(0, 1, 2.0, 3 * 2.0 / 10, 2, 10, (None, 0.4, None)) and events[
        2
    ] == (
        9,
        0,
        15,
        2,
        2.0,
    )
    inconsistent = counts._replace(
        succeeded=500
    )  # of 3 in flight and 10 issued: a counter that ran backwards
    events = read(
        ClusterLoadReport("lookup", 2.0, [("n0", inconsistent), (("127.0.0.1", 9001), counts)], [counts], 0)
    )
    assert [(type(one), one[0]) for one in events] == [
        (EndpointLoadReported, 1),
        (ProxyLoadReported, 9),
    ] and "500" not in problems[0][:10]
    assert (
        not read(ClusterLoadReport("lookup", -1.0, [("n0", counts)], [counts], 0))
        and "interval of -1.0 s" in problems[0]
    )
    events = read(ClusterLoadReport("lookup", 1.0, [("n0", counts._replace(failed=2**63))], [counts], 2**60))
    assert events == [] and len(problems) == 2
    assert (
        read(ClusterLoadReport("lookup", 1.0, [("n0", counts)], [counts], 0))[0].__class__
        is EndpointLoadReported
    )


def test_an_ejected_endpoint_is_unhealthy_until_it_is_restored():
    """Load reports of xDS clients eject a failing endpoint at clients and at proxies."""
    harness = make_harness(6)
    peer = add_peer(harness)
    run_for(harness, 2)
    for _ in range(12):
        for number in range(6):
            counts = RequestCounts(0 if number == 2 else 20, 20 if number == 2 else 0, 20, 0, {})
            report = ClusterLoadReport("lookup", TURN_DURATION, [(f"n{number}", counts)], [counts], 0)
            harness.front.handle_load_report(
                "p", LoadReportReader(), [report], lambda name: int(name[1:]), lambda problem: None
            )
        harness.turn()
    assert peer.view("lookup")["n2"][1] == view.UNHEALTHY and "n2" not in harness.proxy_view(0)
    run_for(harness, 12)
    assert peer.view("lookup")["n2"][1] == view.HEALTHY and "n2" in harness.proxy_view(0)


def test_the_client_drops_what_is_not_admitted():
    harness = make_harness()
    peer = add_peer(harness)
    run_for(harness, 2)
    table = harness.front.tables_by_zone[0][0]
    harness.rounds.set_admission(table, 1, 0.4, RetryPolicy.NEVER)
    run_for(harness, 1)
    body = peer.resources[ENDPOINTS]["lookup"][1]
    assert body.drop == 600_000 and peer.resources[ENDPOINTS]["fee"][1].drop == 0
    assert peer.resources[ROUTE]["lookup"][1].retries == 0


def test_a_removal_is_sent_before_the_resource_that_returned():
    """Found by the state machine: a resource that was removed and returned had lost its withdrawals."""
    cache, subscription = cache_of(x="a"), Subscription(True, False, "l")
    subscription.request_changes(["x"], [], {}, "", None)
    subscription.request_changes([], [], {}, subscription.next_push(cache).nonce, None)
    cache.remove(1.0, "x")
    cache.put(1.5, "x", "b", "a")
    removal = subscription.next_push(cache)
    assert removal.removed == ("x",) and not removal.items
    subscription.request_changes([], [], {}, removal.nonce, None)
    assert [name for name, _ in subscription.next_push(cache).items] == ["x"]
