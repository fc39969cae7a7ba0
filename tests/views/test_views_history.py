"""A view's history: a watcher from any revision ends up with the current view."""

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

ENDPOINT_IDS = [f"s-{number}" for number in range(6)]
PHASES = "SERVING", "DRAINING"
REVISIONS_OF_TEN_YEARS = 10 * 366 * 86_400 * 10_000  # at 10,000 a second
VIEWS = st.dictionaries(st.sampled_from(ENDPOINT_IDS), st.tuples(st.sampled_from(PHASES), st.integers(0, 2)))


def entries(view):
    """Entries of endpoints by id, for a view given as {id: (phase, start)}."""
    return {
        endpoint_id: parse_entry({"id": endpoint_id, "locality": "a", "phase": phase, "up_since_ms": started})
        for endpoint_id, (phase, started) in view.items()
    }


class Watcher:
    """Applies responses as a controller does."""

    def __init__(self):
        self.revision, self.entries = 0, {}

    def apply(self, body):
        response = orjson.loads(body)
        assert response["revision"] >= self.revision
        if response["complete"]:
            self.entries = {}
        for entry in response["members"]:
            self.entries[entry["id"]] = entry
            if entry["phase"] == DELETED:
                del self.entries[entry["id"]]
        self.revision = response["revision"]
        return response

    def watch(self, history):
        body = history.changes_since(self.revision)
        return None if body is None else self.apply(body)


def fields(view):
    return {endpoint_id: entry.fields for endpoint_id, entry in entries(view).items()}


@settings(max_examples=150, deadline=None)
@given(
    views=st.lists(VIEWS, min_size=1, max_size=12), data=st.data(), max_ids=st.sampled_from([1, 3, 8, 1000])
)
def test_a_watcher_from_any_revision_ends_up_with_the_current_view(views, data, max_ids):
    """Each watcher requests changes at some of the revisions and in the end has exactly the current view."""
    history = ViewHistory(10, entries(views[0]), max_ids)
    watchers = [Watcher() for _ in range(3)]
    for revision, view in enumerate(views[1:], 11):
        requesting = data.draw(st.sets(st.integers(0, 2)))
        for number in requesting:
            watchers[number].watch(history)
        history.replace(entries(view), revision)
        assert (
            history.logged_ids <= max_ids
            and len(history.removed_entries) <= max_ids
            and len(history.last_changed) <= max_ids
        )
    for watcher in watchers:
        watcher.watch(history)
        assert watcher.entries == fields(views[-1]) and watcher.revision == history.revision
        assert watcher.watch(history) is None


def test_changes_have_each_endpoint_once_with_its_current_entry():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0), "s-2": ("SERVING", 0)}))
    history.replace(entries({"s-0": ("DRAINING", 0), "s-1": ("SERVING", 0), "s-2": ("SERVING", 0)}), 2)
    history.replace(entries({"s-1": ("SERVING", 5), "s-2": ("SERVING", 0)}), 3)
    response = orjson.loads(history.changes_since(1))
    assert response["complete"] is False and response["revision"] == 3
    assert {entry["id"]: (entry["phase"], entry["up_since_ms"]) for entry in response["members"]} == {
        "s-0": ("DELETED", 0),
        "s-1": ("SERVING", 5),
    }


def test_a_view_that_stays_the_same_gets_no_revision():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}))
    assert not history.replace(entries({"s-0": ("SERVING", 0)}), 2)
    assert history.revision == 1 and history.changes_since(1) is None
    assert orjson.loads(history.no_changes()) == {"revision": 1, "complete": False, "members": []}


def test_a_revision_must_be_above_the_current_one():
    history = ViewHistory(5, {})
    with pytest.raises(ValueError, match="revision 5 is not above the current one, 5"):
        history.replace(entries({"s-0": ("SERVING", 0)}), 5)


@pytest.mark.parametrize("foreign", [0, 9, 11, 15, 21, 10**12])
def test_a_revision_that_was_never_issued_gets_the_complete_view(foreign):
    """Failure: a revision of another control role that lies between revisions of this one would get changes
    that do not apply to it."""
    history = ViewHistory(10, entries({"s-0": ("SERVING", 0)}))
    history.replace(entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0)}), 14)
    history.replace(entries({"s-1": ("SERVING", 0)}), 20)
    response = orjson.loads(history.changes_since(foreign))
    assert response["complete"] is True and [entry["id"] for entry in response["members"]] == ["s-1"]


def test_a_revision_before_the_log_gets_the_complete_view_and_the_log_stays_bounded():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}), max_logged_ids=3)
    for revision in range(2, 50):
        history.replace(entries({"s-0": ("SERVING", revision)}), revision)
    assert (history.logged_ids, len(history.changes), history.oldest_revision) == (3, 3, 46)
    assert orjson.loads(history.changes_since(45))["complete"] is True
    assert orjson.loads(history.changes_since(46))["complete"] is False


def test_after_a_change_larger_than_the_log_the_complete_view_is_served():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0)}), max_logged_ids=2)
    history.replace(entries(dict.fromkeys(ENDPOINT_IDS, ("SERVING", 0))), 2)
    assert history.logged_ids == 0 and history.changes_since(2) is None
    assert orjson.loads(history.changes_since(1))["complete"] is True


def test_a_view_that_has_become_empty_is_served_as_deletions_not_as_an_empty_list():
    history = ViewHistory(1, entries({"s-0": ("SERVING", 0), "s-1": ("SERVING", 0)}))
    history.replace({}, 2)
    response = orjson.loads(history.changes_since(1))
    assert response["complete"] is False and {entry["phase"] for entry in response["members"]} == {"DELETED"}


def first_draw(number):
    """A source of random numbers that returns this number."""
    return SimpleNamespace(randrange=lambda count: min(number, count - 1))


def test_revisions_increase_while_the_clock_steps_back_and_stay_in_the_range_of_a_controller(monkeypatch):
    times = iter([2.0e9, 2.0e9, 1.9e9, 2.0e9 + 1])
    monkeypatch.setattr("time.time", lambda: next(times))
    revisions = RevisionSequence(Random(1))
    issued = [revisions.next() for _ in range(4)]
    assert issued == sorted(set(issued)) and issued[0] > 0 and issued[-1] < MAX_AMOUNT
    highest = RevisionSequence(first_draw(FIRST_REVISION_RANGE)).next()
    assert highest + REVISIONS_OF_TEN_YEARS < MAX_AMOUNT
    assert RevisionSequence(first_draw(0)).next() > 0


@given(
    draws=st.lists(st.integers(0, FIRST_REVISION_RANGE - 1), min_size=2, max_size=2),
    count=st.integers(1, 50),
)
def test_two_incarnations_share_revisions_only_if_their_intervals_overlap(draws, count):
    first, second = (RevisionSequence(first_draw(draw)) for draw in draws)
    shared = {first.next() for _ in range(count)} & {second.next() for _ in range(count)}
    assert len(shared) == max(0, count - abs(draws[0] - draws[1]))


def test_a_history_covers_so_few_revisions_that_a_foreign_one_is_unlikely_among_them():
    history = ViewHistory(1, {}, MAX_LOGGED_IDS)
    for revision in range(2, 2 * MAX_LOGGED_IDS):
        history.replace(entries({"s-0": ("SERVING", revision)}), revision)
    covered = [
        revision
        for revision in range(2 * MAX_LOGGED_IDS + 10)
        if history.changes_since(revision) is None
        or not orjson.loads(history.changes_since(revision))["complete"]
    ]
    assert len(covered) == MAX_LOGGED_IDS + 1 and len(covered) / FIRST_REVISION_RANGE < 1.2e-10
