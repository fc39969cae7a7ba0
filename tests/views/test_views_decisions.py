"""Decisions in their own thread: what is served during a decision, and what an error in a decision causes."""

from collections.abc import Iterator
from threading import Event

import pytest
from views_harness import Harness, endpoint_entry, ids, phases, served_controller

from oatcart.views.decisions import RecordChanges, ViewDecider
from oatcart.views.records import Controller, Endpoint, TooManyServicesError, ViewLimits
from oatcart.views.role import ControlRole


@pytest.fixture
def harness():
    instance = Harness([served_controller("c0")])
    instance.discovery.put(*(endpoint_entry(f"s-{number}") for number in range(4)))
    instance.wait_ready()
    yield instance
    instance.close()


def endpoint(name, service="x"):
    return Endpoint(name, "r", "a", service, 1.0, True)


def defer_decisions(harness):
    """Defers all decisions from now on; returns the list that collects the changes to submit later."""
    deferred = []
    harness.role.publisher.decide = deferred.append
    return deferred


def test_drains_and_removals_are_served_during_a_decision(harness):
    """Failure: the loss of a zone takes seconds to decide, and a drain that waits for it is served too
    late."""
    revision = harness.get_view("c0")["revision"]
    deferred = defer_decisions(harness)
    harness.discovery.drain("s-0")
    harness.discovery.remove("s-1")
    harness.discovery.put(endpoint_entry("new"))
    harness.wait_until(
        lambda: len(deferred) >= 1 and "new" in harness.role.publisher.entries, "all changes received"
    )
    harness.wait_until(lambda: len(harness.get_view("c0")["members"]) == 3, "the removal served")
    changes = harness.get_view("c0", f"?since={revision}")
    assert phases(changes) == {"s-0": "DRAINING", "s-1": "DELETED"}
    for update in deferred:
        harness.role.decisions.submit(update)
    harness.wait_until(lambda: "new" in ids(harness.get_view("c0")), "the decided view")


def long_decision(has_begun: Event, may_end: Event) -> RecordChanges:
    """Changes that keep the deciding thread busy until `may_end` is set, and change nothing."""

    def removed_endpoints() -> Iterator[str]:
        has_begun.set()
        assert may_end.wait(30.0)
        yield from ()

    return RecordChanges(removed_endpoints=removed_endpoints())


def test_the_removal_and_the_return_of_an_endpoint_during_one_decision_are_both_served(harness):
    """Failure: the removal is served before it is decided. Decided together with the return it leaves the
    view unchanged, so nothing is published, and the endpoint is missing until the view's next change."""
    revision, has_begun, may_end = harness.get_view("c0")["revision"], Event(), Event()
    harness.role.decisions.submit(long_decision(has_begun, may_end))
    try:
        harness.wait_until(has_begun.is_set, "the decision that later changes wait for")
        harness.discovery.remove("s-0")
        after_removal = harness.get_view("c0", f"?since={revision}&timeout_ms=4000")
        harness.discovery.put(endpoint_entry("s-0", up_since_ms=9))
        harness.wait_until(
            lambda: harness.role.decisions.changes.qsize() == 2, "both changes wait to be decided"
        )
    finally:
        may_end.set()
    after_return = harness.get_view("c0", f"?since={after_removal['revision']}&timeout_ms=4000")
    assert phases(after_removal) == {"s-0": "DELETED"} and phases(after_return) == {"s-0": "SERVING"}
    assert (
        after_return["members"][0]["up_since_ms"] == 9
        and not after_removal["complete"]
        and not after_return["complete"]
    )
    assert ids(harness.get_view("c0")) == ["s-0", "s-1", "s-2", "s-3"]


def test_a_view_is_never_served_before_a_decision_on_the_first_list():
    """Failure: without an endpoint list every decided view is empty, and a controller that receives it drops
    the list it has."""
    harness = Harness([served_controller("c0")])
    try:
        deferred = defer_decisions(harness)
        harness.discovery.put(endpoint_entry("s-0"))
        harness.wait_until(lambda: harness.role.publisher.entries, "the list")
        address = harness.role.address_of("c0")
        rejected_call = harness.call(address, "/v1/servers")
        harness.wait_until(lambda: rejected_call.is_done, "a response")
        assert "status 503" in str(rejected_call.error) and len(deferred) == 1
        harness.role.decisions.submit(deferred[0])
        assert ids(harness.get_view("c0")) == ["s-0"]
    finally:
        harness.close()


def test_an_unexpected_error_in_a_decision_ends_the_process_and_keeps_the_views(harness):
    before = harness.get_view("c0")
    harness.role.decisions.submit(RecordChanges(endpoints=[None]))
    harness.wait_until(lambda: harness.role.decisions.failure, "the error")
    assert harness.get_view("c0") == before
    with pytest.raises(RuntimeError, match="a decision has failed"):
        harness.role.turn(0.0)
    assert isinstance(harness.role, ControlRole)


def test_an_unexpected_error_in_publishing_ends_the_process(harness):
    failures = []
    harness.loop.on_error = failures.append
    harness.role.publisher.publish = None
    harness.get_view("c0")
    harness.discovery.drain("s-0")
    harness.wait_until(lambda: failures, "the error")
    with pytest.raises(RuntimeError, match="views cannot be published"):
        harness.role.turn(0.0)


def test_queued_changes_are_decided_together_and_only_changed_views_are_returned():
    decider = ViewDecider()
    controllers = [Controller("c0", "r", "a", ("x",)), Controller("c1", "r", "a", ("y",))]
    first = RecordChanges(
        [endpoint("x0"), endpoint("y0", "y")], controllers=controllers, limits=ViewLimits(), seed=3
    )
    assert decider.decide([first]) == {"c0": ("x0",), "c1": ("y0",)}
    assert decider.decide([RecordChanges([endpoint("x1")]), RecordChanges(removed_endpoints=["x0"])]) == {
        "c0": ("x1",)
    }
    assert (
        decider.decide([RecordChanges(removed_controllers=["c1"]), RecordChanges([endpoint("y1", "y")])])
        == {}
    )


def test_a_removal_and_a_return_decided_together_return_the_views_that_have_the_endpoint():
    decider = ViewDecider()
    controllers = [Controller("c0", "r", "a", ("x",)), Controller("c1", "r", "a", ("y",))]
    first = RecordChanges(
        [endpoint("x0"), endpoint("y0", "y")], controllers=controllers, limits=ViewLimits(), seed=3
    )
    decider.decide([first])
    removal, restoration = RecordChanges(removed_endpoints=["x0"]), RecordChanges([endpoint("x0")])
    assert decider.decide([removal, restoration]) == {"c0": ("x0",)}
    assert decider.decide([restoration]) == {}


def test_a_view_that_cannot_be_decided_is_returned_as_the_reason():
    decider = ViewDecider()
    services = [RecordChanges([endpoint(f"{one}{number}", one) for one in "xyz" for number in range(2)])]
    views = decider.decide(
        [RecordChanges(controllers=[Controller("c0", "r", "a", ())], limits=ViewLimits(3)), *services]
    )
    assert isinstance(views["c0"], TooManyServicesError) and "needs 6 endpoints" in str(views["c0"])


def test_entries_longer_than_configured_are_logged(harness):
    harness.discovery.put(endpoint_entry("long", pad="x" * 200))
    harness.wait_until(lambda: harness.has_logged("more than views.most_entry_bytes 145"), "a log line")
