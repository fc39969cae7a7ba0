"""The front's decisions, one at a time: no I/O, a clock that is handed in."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sim import GRACE, STEP, Peer, Stage

from oatcart.events import EndpointLoadReported, ProxyLoadReported, UpdateAcknowledged
from oatcart.model import EndpointState, RetryPolicy
from oatcart.xds import view
from oatcart.xds.client_load_reports import ClusterLoadReport, LoadReportReader, RequestCounts
from oatcart.xds.limits import RequestRejectedError
from oatcart.xds.push import Rejection
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, ROUTE
from oatcart.xds.subscription import TOLD_ABSENT, Subscription

SHAPES = [(False, view.WHOLE), (True, view.WHOLE), (True, view.EACH), (False, view.SPREAD)]


def stage_of(nodes=4, **more):
    stage = Stage(**more)
    stage.list = {place: (place % 2, 0.0, EndpointState.READY) for place in range(nodes)}
    stage.listed()
    return stage


def peer_of(stage, name="p", delta=False, shape=view.WHOLE, zone=0):
    peer = stage.peers[name] = Peer(stage, name, zone, delta, shape)
    peer.names[ENDPOINTS] = {"lookup": None, "fee": None}
    peer.names[ROUTE] = {"lookup": None, "fee": None}
    peer.connect()
    return peer


def turns(stage, seconds):
    for _ in range(round(seconds / STEP)):
        stage.turn()


def turned(stage, node, state, started=None):
    zone, began, _ = stage.list[node]
    stage.list[node] = (zone, began if started is None else started, state)
    stage.listed()


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_drain_overtakes_a_push_in_flight(delta, shape):
    stage = stage_of()
    peer = peer_of(stage, delta=delta, shape=shape)
    turns(stage, 2)
    peer.late = True
    stage.list[7] = (1, stage.now, EndpointState.READY)
    stage.listed()
    turns(stage, 2)
    assert "n7" in peer.view("lookup") and peer.answers  # it is in flight: sent, taken, not answered
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, GRACE)
    assert peer.view("lookup")["n0"][1] == view.DRAINING
    peer.late = False
    turns(stage, 2)
    assert peer.view("lookup") == stage.view(0, 0)


def test_an_endpoint_is_not_sent_before_its_cluster_is_taken():
    stage = stage_of()
    peer = peer_of(stage)
    peer.late = True
    turns(stage, 3)
    assert peer.held[CLUSTER] and not peer.held[ENDPOINTS] and not peer.held[ROUTE]
    peer.late = False
    turns(stage, 1)
    assert peer.view("lookup") == stage.view(0, 0)


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_returning_client_that_answers_nothing_sees_the_drain(delta, shape):
    """A client that holds endpoints of an earlier stream gets the list of now without accepting its clusters
    first; found by the machine.
    """
    stage = stage_of()
    peer = peer_of(stage, delta=delta, shape=shape)
    turns(stage, 2)
    peer.late = True
    peer.drop()
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 1)
    peer.connect()
    turns(stage, GRACE)
    assert peer.answers and peer.view("lookup")["n0"][1] == view.DRAINING


def test_an_incremental_client_that_returns_with_other_clusters_sees_the_drain():
    """The same where the clusters it holds differ from those of now, as after an upgrade."""
    stage = stage_of()
    peer = peer_of(stage, delta=True)
    turns(stage, 2)
    peer.late = True
    peer.drop()
    peer.held[CLUSTER] = {name: ("old", body) for name, (_, body) in peer.held[CLUSTER].items()}
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 1)
    peer.connect()
    turns(stage, GRACE)
    assert peer.answers and peer.view("lookup")["n0"][1] == view.DRAINING


def test_a_cluster_goes_after_what_builds_on_it():
    """Incremental: endpoints of a kind that is no more are taken back first, then its cluster."""
    stage = stage_of()
    peer = peer_of(stage, delta=True)
    turns(stage, 2)
    front, order = stage.front, []
    take = peer.take
    peer.take = lambda kind, push: (order.extend((kind, name) for name in push.removed), take(kind, push))
    peer.late = True
    caches = [
        front.caches[CLUSTER, view.WHOLE],
        front.caches[ENDPOINTS, 0, view.WHOLE],
        front.caches[ROUTE, 0],
    ]
    for cache in caches:
        cache.remove(stage.now, "fee")
    front.dirty[peer.stream] = None
    deliver(stage, peer)
    assert (CLUSTER, "fee") not in order
    peer.late = False
    for _ in range(4):
        deliver(stage, peer)
    assert order.index((ROUTE, "fee")) < order.index((ENDPOINTS, "fee")) < order.index((CLUSTER, "fee"))


def deliver(stage, peer):
    for stream, pushes in stage.front.dispatch(stage.now):
        stage.peers_by_stream[stream].inbox.append(pushes)
    peer.turn()


@pytest.mark.parametrize("delta, shape", SHAPES)
def test_a_drain_is_not_merged_with_the_return(delta, shape):
    """Failure: a client that read nothing meanwhile would never learn that the node's former life is over."""
    stage = stage_of()
    peer = peer_of(stage, delta=delta, shape=shape)
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
    turns(stage, 2)
    assert not seen
    peer.stalled = False
    turns(stage, 3)
    assert view.DRAINING in seen and seen[-1] == view.HEALTHY


def test_a_node_that_restarts_cold_in_mid_push_falls_at_once():
    """Rule 4: the fall of its weight waits for nobody's answer, and is the sidecar's too."""
    stage = stage_of(6)
    peer = peer_of(stage)
    turns(stage, 2)
    before = peer.view("lookup")["n0"][0]
    peer.late = True
    stage.list[7] = (1, stage.now, EndpointState.READY)
    stage.listed()
    turns(stage, 1)
    turned(stage, 0, EndpointState.READY, stage.now)
    turns(stage, 1)
    now = peer.view("lookup").get("n0", (0, ""))[0]
    assert now < before / 2 and now == stage.sidecar_view(0).get("n0", 0)


def test_nothing_of_tables_is_sent_before_the_module_has_bound_the_client():
    stage = Stage()  # no list: there is nothing to bind to
    peer = peer_of(stage)
    turns(stage, 3)
    assert peer.held[CLUSTER] and not peer.held[ENDPOINTS]
    stage.list = {0: (0, 0.0, EndpointState.READY)}
    stage.listed()
    turns(stage, 2)
    assert peer.view("lookup") == {"n0": (50, view.HEALTHY)}


def test_a_mark_is_applied_once_all_streams_hold_it():
    stage = stage_of()
    peer = peer_of(stage)
    turns(stage, 2)
    number = next(iter(stage.front.clients.values())).proxy
    peer.late, told = True, []
    arrive = stage.host.add_event
    stage.host.add_event = lambda arrival: (told.append(arrival), arrive(arrival))
    stage.list[7] = (1, stage.now, EndpointState.READY)
    stage.listed()
    turns(stage, 2)
    assert not [one for one in told if isinstance(one, UpdateAcknowledged) and one.proxy == number]
    peer.late = False
    turns(stage, 0.5)
    marks = [one for one in told if isinstance(one, UpdateAcknowledged) and one.proxy == number]
    assert marks and marks[0].duration > 1.0


def test_who_goes_first_when_all_come_back():
    """A budget for a few: a joined client's drain, then those who return, then new ones."""
    stage = stage_of(4, pushes=8.0)
    here = peer_of(stage, "here")
    away = [peer_of(stage, f"away{at}", True) for at in range(3)]
    turns(stage, 12)
    for peer in away:
        assert peer.view("lookup")
        peer.drop()
    order = []
    peers = [*(peer_of(stage, f"new{at}", True) for at in range(3)), *away]
    for peer in away:
        peer.connect()
    for peer in [*peers, here]:
        take = peer.take
        peer.take = lambda kind, push, peer=peer, take=take: (order.append((peer.id, kind)), take(kind, push))
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, 20)
    first = {name: order.index((name, kind)) for name, kind in reversed(order) if kind == ENDPOINTS}
    assert first["here"] == min(first.values())
    assert max(first[f"away{at}"] for at in range(3)) < min(first[f"new{at}"] for at in range(3))
    assert all(peer.view("lookup")["n0"][1] == view.DRAINING for peer in [*peers, here])


def test_an_urgent_push_may_borrow_from_the_budget():
    stage = stage_of(4, pushes=8.0)
    peers = [peer_of(stage, f"p{at}") for at in range(10)]
    turns(stage, 20)
    turned(stage, 1, EndpointState.DRAINING)
    turns(stage, 2 * STEP)
    assert all(peer.view("lookup")["n1"][1] == view.DRAINING for peer in peers)


def test_a_returning_client_sees_the_drain_though_others_spent_the_budget():
    """Found by the machine. Three drains to six clients leave the budget in debt; a client that was away
    meanwhile still holds the drained endpoint as healthy when it returns.
    """
    stage = stage_of(8, pushes=8.0)
    peers = [peer_of(stage, f"p{at}") for at in range(6)]
    turns(stage, 12)
    for node in 1, 2, 3:
        turned(stage, node, EndpointState.DRAINING)
        turns(stage, STEP)
    peers[-1].drop()
    turned(stage, 0, EndpointState.DRAINING)
    turns(stage, STEP)
    peers[-1].connect()
    turns(stage, GRACE)
    assert [peer.view("lookup")["n0"][1] for peer in peers] == [view.DRAINING] * 6


def cache_of(**bodies):
    cache = ResourceCache()
    for name, body in bodies.items():
        cache.put(0.0, name, body, body)
    return cache


def test_of_two_refused_together_each_is_tried_alone():
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


def test_who_is_named_in_a_refusal_is_refused_and_the_rest_is_held():
    cache, subscription = cache_of(lookup="ab", fee="ab"), Subscription(True, False, "l")
    subscription.request_changes(["lookup", "fee"], [], {}, "", None)
    push = subscription.next_push(cache)
    assert subscription.request_changes([], [], {}, push.nonce, "fee: no such thing").rejected == ("fee",)
    assert (
        subscription.next_push(cache) is None
        and "lookup" in subscription.acknowledged
        and "fee" not in subscription.acknowledged
    )


def test_stale_answers_say_nothing():
    cache, subscription = cache_of(x="a"), Subscription(False, False, "l", wildcard_allowed=False)
    subscription.request_names(["x"], "", None)
    first = subscription.next_push(cache)
    cache.put(1.0, "x", "b", "b", urgent=True)
    second = subscription.next_push(cache)  # took a out, so it did not wait
    assert subscription.request_names(["x", "y"], "l.0", None) is False and "y" not in subscription.subscribed
    # the answer, not yet the names
    assert (
        subscription.request_names(["x", "y"], first.nonce, None) is None
        and "y" not in subscription.subscribed
    )
    assert subscription.acknowledged["x"] == first.items[0][1].sequence
    subscription.request_names(["x", "y"], second.nonce, "no")
    assert "y" in subscription.subscribed and subscription.acknowledged["x"] == first.items[0][1].sequence
    assert subscription.next_push(cache) is None


def test_a_whole_push_that_was_refused_waits_for_other_contents():
    cache, subscription = cache_of(x="a", y="a"), Subscription(False, True, "l")
    subscription.request_names([], "", None)
    push = subscription.next_push(cache)
    assert subscription.request_names([], push.nonce, "no").rejected == ("x", "y")
    assert subscription.next_push(cache) is None
    cache.put(1.0, "y", "b", "b")
    assert {name for name, _ in subscription.next_push(cache).items} == {"x", "y"}


def test_versions_of_an_earlier_stream_are_gone_on_from():
    cache, subscription = cache_of(x="a", y="a"), Subscription(True, False, "l")
    subscription.request_changes(
        ["x", "y", "z"], [], {"x": cache.resources["x"].current.version, "y": "old", "z": "old"}, "", None
    )
    push = subscription.next_push(cache)
    assert [name for name, _ in push.items] == ["y"] and push.removed == ("z",)
    assert (
        subscription.sent["z"] == TOLD_ABSENT
        and subscription.acknowledged["x"] == cache.resources["x"].current.sequence
    )


def test_a_long_way_behind_all_is_looked_at():
    cache, subscription = cache_of(x="a"), Subscription(True, True, "l")
    subscription.request_changes(["*"], [], {}, "", None)
    subscription.request_changes([], [], {}, subscription.next_push(cache).nonce, None)
    for at in range(20_000):
        cache.put(1.0, "x" if at % 2 else "y", str(at), "a")
    assert {name for name, _ in subscription.next_push(cache).items} == {"x", "y"}


@given(st.lists(st.floats(0.01, 1e6), min_size=1, max_size=50))
def test_rounding_keeps_ratios_to_a_hundredth(weights):
    found = view.whole_numbers(dict(enumerate(weights)))
    assert all(weight >= 1 for weight in found.values()) and sum(found.values()) <= view.WEIGHTS_MOST
    scale = sum(found.values()) / sum(weights)
    if min(weights) * scale >= view.FINE / 2:
        assert all(abs(found[at] / (weight * scale) - 1) <= 0.021 for at, weight in enumerate(weights))


def test_gate_refuses_with_a_hint_and_keeps_no_record():
    stage = stage_of()
    stage.front.limits.clients = 1
    peer_of(stage, "one")
    with pytest.raises(RequestRejectedError) as refused:
        peer_of(stage, "two")
    assert refused.value.code == "RESOURCE_EXHAUSTED" and refused.value.retry_after > 0
    assert list(stage.front.clients) == ["one"]


def test_a_report_that_does_not_fit_costs_itself_alone():
    odd, reader = [], LoadReportReader()
    place = {"n0": 0, ("127.0.0.1", 9001): 1}.get
    good = RequestCounts(8, 2, 10, 3, {"cpu_utilization": (10, 4.0)})

    def read(*reports):
        odd.clear()
        return reader.read(reports, 9, 1, {"lookup": 0}, place, odd.append)

    told = read(
        ClusterLoadReport("nobody", 1.0, [("n0", good)], [good], 0),
        ClusterLoadReport(
            "lookup", 2.0, [("n0", good), ("n9", good), (("127.0.0.1", 9001), good)], [good], 5
        ),
    )
    assert [(type(one), one[0]) for one in told] == [
        (EndpointLoadReported, 0),
        (EndpointLoadReported, 1),
        (ProxyLoadReported, 9),
    ] and len(odd) == 2
    assert told[0] == EndpointLoadReported(0, 1, 2.0, 3 * 2.0 / 10, 2, 10, (None, 0.4, None)) and told[2] == (
        9,
        0,
        15,
        2,
        2.0,
    )
    back = good._replace(succeeded=500)  # of 3 under way and 10 issued: a sum that ran backwards
    told = read(ClusterLoadReport("lookup", 2.0, [("n0", back), (("127.0.0.1", 9001), good)], [good], 0))
    assert [(type(one), one[0]) for one in told] == [
        (EndpointLoadReported, 1),
        (ProxyLoadReported, 9),
    ] and "500" not in odd[0][:10]
    assert not read(ClusterLoadReport("lookup", -1.0, [("n0", good)], [good], 0)) and "over -1.0 s" in odd[0]
    told = read(ClusterLoadReport("lookup", 1.0, [("n0", good._replace(failed=2**63))], [good], 2**60))
    assert told == [] and len(odd) == 2
    assert (
        read(ClusterLoadReport("lookup", 1.0, [("n0", good)], [good], 0))[0].__class__ is EndpointLoadReported
    )


def test_withdrawn_is_unhealthy_and_comes_back():
    """Evidence against a node shows on both sides; reports of xDS clients are evidence like any other."""
    stage = stage_of(6)
    peer = peer_of(stage)
    turns(stage, 2)
    for _ in range(12):
        for place in range(6):
            tally = RequestCounts(0 if place == 2 else 20, 20 if place == 2 else 0, 20, 0, {})
            report = ClusterLoadReport("lookup", STEP, [(f"n{place}", tally)], [tally], 0)
            stage.front.report(
                "p", LoadReportReader(), [report], lambda name: int(name[1:]), lambda odd: None
            )
        stage.turn()
    assert peer.view("lookup")["n2"][1] == view.UNHEALTHY and "n2" not in stage.sidecar_view(0)
    turns(stage, 12)
    assert peer.view("lookup")["n2"][1] == view.HEALTHY and "n2" in stage.sidecar_view(0)


def test_what_the_module_turns_away_is_dropped_by_the_client():
    stage = stage_of()
    peer = peer_of(stage)
    turns(stage, 2)
    table = stage.front.maps[0][0]
    stage.host.set_admission(table, 1, 0.4, RetryPolicy.NEVER)
    turns(stage, 1)
    body = peer.held[ENDPOINTS]["lookup"][1]
    assert body.drop == 600_000 and peer.held[ENDPOINTS]["fee"][1].drop == 0
    assert peer.held[ROUTE]["lookup"][1].retries == 0


def test_an_endpoint_that_was_gone_for_a_while_is_told_gone_before_it_is_told_back():
    """Found by the machine: a resource that was dropped and came back had lost what nobody may skip."""
    cache, subscription = cache_of(x="a"), Subscription(True, False, "l")
    subscription.request_changes(["x"], [], {}, "", None)
    subscription.request_changes([], [], {}, subscription.next_push(cache).nonce, None)
    cache.remove(1.0, "x")
    cache.put(1.5, "x", "b", "a")
    gone = subscription.next_push(cache)
    assert gone.removed == ("x",) and not gone.items
    subscription.request_changes([], [], {}, gone.nonce, None)
    assert [name for name, _ in subscription.next_push(cache).items] == ["x"]
