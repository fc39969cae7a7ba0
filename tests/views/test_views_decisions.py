"""Decisions in their own thread: what is told while one is under way, and what an error in one does."""

from collections.abc import Iterator
from threading import Event

import pytest
from views_stage import Stage, controller, endpoint_entry, ids, phases

from oatcart.views.decisions import RecordChanges, ViewDecider
from oatcart.views.records import Controller, Endpoint, TooManyServicesError, ViewLimits
from oatcart.views.role import ControlRole


@pytest.fixture
def stage():
    one = Stage([controller("c0")])
    one.discovery.put(*(endpoint_entry(f"s-{number}") for number in range(4)))
    one.ready()
    yield one
    one.close()


def endpoint(name, service="x"):
    return Endpoint(name, "r", "a", service, 1.0, True)


def hold_back(stage):
    """From now on nothing is decided; hands back what would have been, to be put later."""
    held = []
    stage.role.publisher.decide = held.append
    return held


def test_drains_and_ends_are_served_while_a_decision_is_under_way(stage):
    """Failure: the loss of a zone takes seconds to decide, and a drain behind it would come too late."""
    revision = stage.get("c0")["revision"]
    held = hold_back(stage)
    stage.discovery.drain("s-0")
    stage.discovery.drop("s-1")
    stage.discovery.put(endpoint_entry("new"))
    stage.until(lambda: len(held) >= 1 and "new" in stage.role.publisher.entries, "all of it heard")
    stage.until(lambda: len(stage.get("c0")["members"]) == 3, "the end told")
    told = stage.get("c0", f"?since={revision}")
    assert phases(told) == {"s-0": "DRAINING", "s-1": "DELETED"}
    for update in held:
        stage.role.decisions.submit(update)
    stage.until(lambda: "new" in ids(stage.get("c0")), "what was decided")


def long_decision(has_begun: Event, may_end: Event) -> RecordChanges:
    """Changes that keep the deciding thread busy until `may_end` is set, and change nothing."""

    def removed_endpoints() -> Iterator[str]:
        has_begun.set()
        assert may_end.wait(30.0)
        yield from ()

    return RecordChanges(removed_endpoints=removed_endpoints())


def test_an_endpoint_that_goes_and_comes_back_during_one_decision_is_served_both_times(stage):
    """Failure: its removal was served before it was decided; decided together with its return it left the
    view as it was, so nothing was published, and the endpoint was missing until the view's next change."""
    revision, has_begun, may_end = stage.get("c0")["revision"], Event(), Event()
    stage.role.decisions.submit(long_decision(has_begun, may_end))
    try:
        stage.until(has_begun.is_set, "the decision that later changes wait for")
        stage.discovery.drop("s-0")
        gone = stage.get("c0", f"?since={revision}&timeout_ms=4000")
        stage.discovery.put(endpoint_entry("s-0", up_since_ms=9))
        stage.until(lambda: stage.role.decisions.changes.qsize() == 2, "both changes wait to be decided")
    finally:
        may_end.set()
    back = stage.get("c0", f"?since={gone['revision']}&timeout_ms=4000")
    assert phases(gone) == {"s-0": "DELETED"} and phases(back) == {"s-0": "SERVING"}
    assert back["members"][0]["up_since_ms"] == 9 and not gone["complete"] and not back["complete"]
    assert ids(stage.get("c0")) == ["s-0", "s-1", "s-2", "s-3"]


def test_a_view_is_never_served_before_a_decision_on_the_first_list():
    """Failure: decided without a list, every view is empty, and a controller that receives it loses its
    own."""
    stage = Stage([controller("c0")])
    try:
        held = hold_back(stage)
        stage.discovery.put(endpoint_entry("s-0"))
        stage.until(lambda: stage.role.publisher.entries, "the list")
        address = stage.role.address_of("c0")
        refused = stage.call(address, "/v1/servers")
        stage.until(lambda: refused.over, "an answer")
        assert "status 503" in str(refused.ended) and len(held) == 1
        stage.role.decisions.submit(held[0])
        assert ids(stage.get("c0")) == ["s-0"]
    finally:
        stage.close()


def test_an_unforeseen_error_in_a_decision_ends_the_process_not_the_views(stage):
    before = stage.get("c0")
    stage.role.decisions.submit(RecordChanges(endpoints=[None]))
    stage.until(lambda: stage.role.decisions.failure, "the error")
    assert stage.get("c0") == before
    with pytest.raises(RuntimeError, match="a decision has failed"):
        stage.role.turn(0.0)
    assert isinstance(stage.role, ControlRole)


def test_an_unforeseen_error_in_publishing_ends_the_process_too(stage):
    failures = []
    stage.loop.on_error = failures.append
    stage.role.publisher.publish = None
    stage.get("c0")
    stage.discovery.drain("s-0")
    stage.until(lambda: failures, "the error")
    with pytest.raises(RuntimeError, match="views cannot be published"):
        stage.role.turn(0.0)


def test_updates_that_wait_are_decided_together_and_only_what_changed_comes_back():
    decider = ViewDecider()
    everyone = [Controller("c0", "r", "a", ("x",)), Controller("c1", "r", "a", ("y",))]
    first = RecordChanges(
        [endpoint("x0"), endpoint("y0", "y")], controllers=everyone, limits=ViewLimits(), seed=3
    )
    assert decider.decide([first]) == {"c0": ("x0",), "c1": ("y0",)}
    assert decider.decide([RecordChanges([endpoint("x1")]), RecordChanges(removed_endpoints=["x0"])]) == {
        "c0": ("x1",)
    }
    assert (
        decider.decide([RecordChanges(removed_controllers=["c1"]), RecordChanges([endpoint("y1", "y")])])
        == {}
    )


def test_a_removal_and_a_return_decided_together_bring_back_the_views_that_have_the_endpoint():
    decider = ViewDecider()
    everyone = [Controller("c0", "r", "a", ("x",)), Controller("c1", "r", "a", ("y",))]
    first = RecordChanges(
        [endpoint("x0"), endpoint("y0", "y")], controllers=everyone, limits=ViewLimits(), seed=3
    )
    decider.decide([first])
    removal, restoration = RecordChanges(removed_endpoints=["x0"]), RecordChanges([endpoint("x0")])
    assert decider.decide([removal, restoration]) == {"c0": ("x0",)}
    assert decider.decide([restoration]) == {}


def test_a_view_that_cannot_be_decided_comes_back_as_the_reason():
    decider = ViewDecider()
    services = [RecordChanges([endpoint(f"{one}{number}", one) for one in "xyz" for number in range(2)])]
    views = decider.decide(
        [RecordChanges(controllers=[Controller("c0", "r", "a", ())], limits=ViewLimits(3)), *services]
    )
    assert isinstance(views["c0"], TooManyServicesError) and "needs 6 endpoints" in str(views["c0"])


def test_entries_longer_than_the_file_tells_are_logged(stage):
    stage.discovery.put(endpoint_entry("long", pad="x" * 200))
    stage.until(lambda: stage.logged("more than views.most_entry_bytes 145"), "a log line")
