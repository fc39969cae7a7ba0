"""What is believed of discovery's answers: drains at once, a list that drops too much only when it says so
twice."""

import orjson
import pytest

from oatcart.views.entries import MalformedAnswerError, parse_answer
from oatcart.views.list_guard import AcceptedList, ListGuard, RejectedAnswerError

GUARD = ListGuard(max_removed_share=0.25, mass_removal_count=2, confirmation_delay=10.0, min_endpoints=2)


def node(name, phase="SERVING", **more):
    return {"id": name, "host_port": "127.0.0.1:5", "locality": "a", "phase": phase} | more


def answer(endpoints, revision=1, complete=True):
    return parse_answer(orjson.dumps({"revision": revision, "complete": complete, "members": endpoints}))


def names(count):
    return [f"s-{number}" for number in range(count)]


def standing(count=20, guard=GUARD):
    accepted = AcceptedList(guard)
    accepted.accept(0.0, answer([node(name) for name in names(count)]))
    return accepted


def whole(accepted, now, left, **phases):
    return accepted.accept(now, answer([node(name, phases.get(name, "SERVING")) for name in left]))


def test_what_is_within_the_share_goes_at_once():
    accepted = standing()
    changes = whole(accepted, 1.0, names(15))
    assert changes.removed == set(names(20)[15:]) and changes.unconfirmed == 0 and len(accepted.entries) == 15


def test_what_is_beyond_the_share_stays_and_goes_once_a_list_after_the_hold_says_so_too():
    accepted = standing()
    changes = whole(accepted, 1.0, names(14))
    assert (changes.removed, changes.unconfirmed, accepted.refetch_at()) == (frozenset(), 6, 11.0)
    assert whole(accepted, 5.0, names(14)).removed == frozenset() and accepted.refetch_at() == 11.0
    assert whole(accepted, 11.0, names(14)).removed == set(names(20)[14:])
    assert len(accepted.entries) == 14 and accepted.refetch_at() > 1e9


def test_who_is_back_within_the_hold_was_never_gone():
    accepted = standing()
    whole(accepted, 1.0, names(2))
    changes = whole(accepted, 11.0, names(20))
    assert changes == ({}, frozenset(), 0) and len(accepted.entries) == 20 and not accepted.unconfirmed_since


def test_while_some_are_doubted_all_else_is_believed():
    accepted = standing()
    changes = whole(accepted, 1.0, [*names(10), "new"], **{"s-3": "DRAINING"})
    assert set(changes.changed) == {"new", "s-3"} and changes.unconfirmed == 10
    assert accepted.entries["s-3"].phase == "DRAINING"


@pytest.mark.parametrize("count", [0, 1])
def test_a_list_with_fewer_nodes_than_the_least_is_refused_and_nothing_goes(count):
    accepted = standing()
    with pytest.raises(RejectedAnswerError, match=f"{count} nodes, fewer than 2"):
        whole(accepted, 1.0, names(count))
    assert len(accepted.entries) == 20
    with pytest.raises(RejectedAnswerError):
        whole(accepted, 100.0, names(count))


def test_nodes_that_were_draining_may_all_go():
    accepted = standing()
    drained = dict.fromkeys(names(18), "DRAINING")
    assert len(whole(accepted, 1.0, names(20), **drained).changed) == 18
    assert len(whole(accepted, 2.0, names(20)[18:]).removed) == 18


def test_deletions_among_changes_are_doubted_like_gaps_in_a_list():
    accepted = standing()
    gone = [node(name, "DELETED") for name in names(8)]
    changes = accepted.accept(1.0, answer(gone, 2, complete=False))
    assert (changes.removed, changes.unconfirmed) == (frozenset(), 8)
    again = accepted.accept(20.0, answer(gone, 3, complete=False))
    assert again.unconfirmed == 8, "only a whole list confirms"
    assert len(whole(accepted, 21.0, names(20)[8:]).removed) == 8


def test_a_few_deletions_among_changes_are_believed():
    accepted = standing()
    changes = accepted.accept(
        1.0, answer([node("s-0", "DELETED"), node("never", "DELETED")], 2, complete=False)
    )
    assert changes.removed == {"s-0"} and not changes.changed


def test_a_small_fleet_may_lose_what_the_least_allows():
    accepted = standing(4)
    assert whole(accepted, 1.0, names(2)).removed == {"s-2", "s-3"}


def test_a_node_whose_entry_is_spoilt_stays_as_it_was():
    accepted = standing()
    endpoints = [node(name) for name in names(20)]
    endpoints[4]["phase"] = "SPOILT"
    endpoints[5]["host_port"] = "nowhere"
    endpoints[6]["up_since_ms"] = -1
    told = answer(endpoints)
    changes = accepted.accept(1.0, told)
    assert told.is_complete and len(told.invalid_entries) == 3 and changes == ({}, frozenset(), 0)
    assert accepted.entries["s-4"].phase == "SERVING"


def test_a_doubted_node_whose_entry_is_spoilt_is_there():
    accepted = standing()
    whole(accepted, 1.0, names(10))
    accepted.accept(11.0, answer([*map(node, names(10)), *(node(name, "SPOILT") for name in names(20)[10:])]))
    assert len(accepted.entries) == 20 and not accepted.unconfirmed_since


@pytest.mark.parametrize("spoilt", [7, None, {}, {"id": ""}, {"id": 5}, {"id": "x" * 257}])
def test_a_list_with_an_entry_that_may_be_anyones_leaves_out_nobody(spoilt):
    accepted = standing()
    told = answer([spoilt, *map(node, names(18))])
    assert not told.is_complete and accepted.accept(1.0, told).removed == frozenset()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"what?",
        b"[]",
        b'{"revision":1}',
        b'{"revision":1,"members":{}}',
        b'{"members":[]}',
        b'{"revision":"1","members":[]}',
        b'{"revision":-1,"members":[]}',
        b'{"revision":1,"complete":true,"members":[{"id',
    ],
)
def test_an_answer_that_is_no_list_is_told_apart(body):
    with pytest.raises(MalformedAnswerError):
        parse_answer(body)


def test_entries_are_passed_on_as_they_came():
    fields = node("s-1", flavor="m2", cell=3, size=1.5, up_since_ms=1700000000123, other={"a": [1, None]})
    entry = answer([fields]).entries["s-1"]
    assert orjson.loads(entry.encoded) == fields
    assert orjson.loads(entry.deleted) == fields | {"phase": "DELETED"}
