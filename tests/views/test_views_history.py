"""A view's history: whoever has watched since whichever revision ends with the view as it stands."""

from random import Random
from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.load_reports import MAX_AMOUNT
from oatcart.views.entries import DELETED, parse_entry
from oatcart.views.history import MAX_LOGGED_IDS, ViewHistory
from oatcart.views.revisions import FIRST_REVISION_RANGE, RevisionSequence

NODES = [f"s-{number}" for number in range(6)]
PHASES = "SERVING", "DRAINING"
BUSY_DECADE = 10 * 366 * 86_400 * 10_000  # revisions of ten years at 10,000 a second
VIEWS = st.dictionaries(st.sampled_from(NODES), st.tuples(st.sampled_from(PHASES), st.integers(0, 2)))


def entries(view):
    """Entries of endpoints by id; a view is told as {id: (phase, start)}."""
    return {
        node: parse_entry({"id": node, "locality": "a", "phase": phase, "up_since_ms": started})
        for node, (phase, started) in view.items()
    }


class Watcher:
    """What a controller makes of the answers that it gets."""

    def __init__(self):
        self.revision, self.held = 0, {}

    def take(self, body):
        answer = orjson.loads(body)
        assert answer["revision"] >= self.revision
        if answer["complete"]:
            self.held = {}
        for entry in answer["members"]:
            self.held[entry["id"]] = entry
            if entry["phase"] == DELETED:
                del self.held[entry["id"]]
        self.revision = answer["revision"]
        return answer

    def ask(self, history):
        body = history.changes_since(self.revision)
        return None if body is None else self.take(body)


def fields(view):
    return {node: entry.fields for node, entry in entries(view).items()}


@settings(max_examples=150, deadline=None)
@given(views=st.lists(VIEWS, min_size=1, max_size=12), data=st.data(), most=st.sampled_from([1, 3, 8, 1000]))
def test_any_watcher_since_any_revision_ends_at_the_view(views, data, most):
    """Each watcher asks at some of the revisions; whatever it skipped, in the end it holds just the view."""
    history = ViewHistory(10, entries(views[0]), most)
    watchers = [Watcher() for _ in range(3)]
    for revision, view in enumerate(views[1:], 11):
        asking = data.draw(st.sets(st.integers(0, 2)))
        for number in asking:
            watchers[number].ask(history)
        history.replace(entries(view), revision)
        assert (
            history.logged_ids <= most
            and len(history.removed_entries) <= most
            and len(history.last_changed) <= most
        )
    for watcher in watchers:
        watcher.ask(history)
        assert watcher.held == fields(views[-1]) and watcher.revision == history.revision
        assert watcher.ask(history) is None


def test_changes_have_each_endpoint_once_as_it_stands():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0), "s-2": ("SERVING", 0)}))
    history.replace(entries({"s-0": ("DRAINING", 0), "s-1": ("SERVING", 0), "s-2": ("SERVING", 0)}), 2)
    history.replace(entries({"s-1": ("SERVING", 5), "s-2": ("SERVING", 0)}), 3)
    told = orjson.loads(history.changes_since(1))
    assert told["complete"] is False and told["revision"] == 3
    assert {entry["id"]: (entry["phase"], entry["up_since_ms"]) for entry in told["members"]} == {
        "s-0": ("DELETED", 0),
        "s-1": ("SERVING", 5),
    }


def test_a_view_that_stays_the_same_gets_no_revision():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}))
    assert not history.replace(entries({"s-0": ("SERVING", 0)}), 2)
    assert history.revision == 1 and history.changes_since(1) is None
    assert orjson.loads(history.no_changes()) == {"revision": 1, "complete": False, "members": []}


def test_a_revision_must_grow():
    history = ViewHistory(5, {})
    with pytest.raises(ValueError, match="revision 5 is not above the current one, 5"):
        history.replace(entries({"s-0": ("SERVING", 0)}), 5)


@pytest.mark.parametrize("foreign", [0, 9, 11, 15, 21, 10**12])
def test_a_revision_that_was_never_issued_gets_the_complete_view(foreign):
    """Failure: a revision of another control role that lies among ours would be told changes that it cannot
    use."""
    history = ViewHistory(10, entries({"s-0": ("SERVING", 0)}))
    history.replace(entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0)}), 14)
    history.replace(entries({"s-1": ("SERVING", 0)}), 20)
    told = orjson.loads(history.changes_since(foreign))
    assert told["complete"] is True and [entry["id"] for entry in told["members"]] == ["s-1"]


def test_whoever_is_too_far_behind_gets_the_complete_view_and_the_log_stays_bounded():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}), max_logged_ids=3)
    for revision in range(2, 50):
        history.replace(entries({"s-0": ("SERVING", revision)}), revision)
    assert (history.logged_ids, len(history.changes), history.oldest_revision) == (3, 3, 46)
    assert orjson.loads(history.changes_since(45))["complete"] is True
    assert orjson.loads(history.changes_since(46))["complete"] is False


def test_a_change_larger_than_the_log_leaves_a_history_that_still_answers():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}), max_logged_ids=2)
    history.replace(entries(dict.fromkeys(NODES, ("SERVING", 0))), 2)
    assert history.logged_ids == 0 and history.changes_since(2) is None
    assert orjson.loads(history.changes_since(1))["complete"] is True


def test_a_view_that_has_become_empty_is_served_as_deletions_not_as_an_empty_list():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0)}))
    history.replace({}, 2)
    told = orjson.loads(history.changes_since(1))
    assert told["complete"] is False and {entry["phase"] for entry in told["members"]} == {"DELETED"}


def first_draw(number):
    """A source of random numbers whose first draw is this one."""
    return SimpleNamespace(randrange=lambda count: min(number, count - 1))


def test_revisions_grow_while_the_clock_steps_back_and_stay_readable_for_a_controller(monkeypatch):
    times = iter([2.0e9, 2.0e9, 1.9e9, 2.0e9 + 1])
    monkeypatch.setattr("time.time", lambda: next(times))
    revisions = RevisionSequence(Random(1))
    issued = [revisions.next() for _ in range(4)]
    assert issued == sorted(set(issued)) and issued[0] > 0 and issued[-1] < MAX_AMOUNT
    highest = RevisionSequence(first_draw(FIRST_REVISION_RANGE)).next()
    assert highest + BUSY_DECADE < MAX_AMOUNT
    assert RevisionSequence(first_draw(0)).next() > 0


@given(
    draws=st.lists(st.integers(0, FIRST_REVISION_RANGE - 1), min_size=2, max_size=2),
    count=st.integers(1, 50),
)
def test_two_incarnations_share_a_revision_only_where_they_begin_closer_than_they_count(draws, count):
    first, second = (RevisionSequence(first_draw(draw)) for draw in draws)
    shared = {first.next() for _ in range(count)} & {second.next() for _ in range(count)}
    assert len(shared) == max(0, count - abs(draws[0] - draws[1]))


def test_a_history_answers_changes_for_so_few_revisions_that_a_foreign_one_is_hardly_among_them():
    history = ViewHistory(1, {}, MAX_LOGGED_IDS)
    for revision in range(2, 2 * MAX_LOGGED_IDS):
        history.replace(entries({"s-0": ("SERVING", revision)}), revision)
    answered = [
        revision
        for revision in range(2 * MAX_LOGGED_IDS + 10)
        if history.changes_since(revision) is None
        or not orjson.loads(history.changes_since(revision))["complete"]
    ]
    assert len(answered) == MAX_LOGGED_IDS + 1 and len(answered) / FIRST_REVISION_RANGE < 1.2e-10
