"""Which parts of discovery's responses are accepted: draining at once, a mass removal only after a later list
confirms it."""

import orjson
import pytest

from oatcart.views.entries import MalformedResponseError, parse_response
from oatcart.views.list_guard import AcceptedList, ListGuard, RejectedResponseError

GUARD = ListGuard(max_removed_share=0.25, mass_removal_count=2, confirmation_delay=10.0, min_endpoints=2)


def endpoint_entry(name, phase="SERVING", **more):
    return {"id": name, "host_port": "127.0.0.1:5", "locality": "a", "phase": phase} | more


def response(endpoints, revision=1, complete=True):
    return parse_response(orjson.dumps({"revision": revision, "complete": complete, "members": endpoints}))


def names(count):
    return [f"s-{number}" for number in range(count)]


def accepted_list(count=20, guard=GUARD):
    accepted = AcceptedList(guard)
    accepted.accept(0.0, response([endpoint_entry(name) for name in names(count)]))
    return accepted


def accept_complete(accepted, now, listed, **phases):
    return accepted.accept(
        now, response([endpoint_entry(name, phases.get(name, "SERVING")) for name in listed])
    )


def test_removals_within_the_share_are_accepted_at_once():
    accepted = accepted_list()
    changes = accept_complete(accepted, 1.0, names(15))
    assert changes.removed == set(names(20)[15:]) and changes.unconfirmed == 0 and len(accepted.entries) == 15


def test_a_mass_removal_stays_unconfirmed_until_a_list_after_the_delay_confirms_it():
    accepted = accepted_list()
    changes = accept_complete(accepted, 1.0, names(14))
    assert (changes.removed, changes.unconfirmed, accepted.refetch_at()) == (frozenset(), 6, 11.0)
    assert accept_complete(accepted, 5.0, names(14)).removed == frozenset() and accepted.refetch_at() == 11.0
    assert accept_complete(accepted, 11.0, names(14)).removed == set(names(20)[14:])
    assert len(accepted.entries) == 14 and accepted.refetch_at() > 1e9


def test_an_endpoint_listed_again_within_the_delay_is_not_removed():
    accepted = accepted_list()
    accept_complete(accepted, 1.0, names(2))
    changes = accept_complete(accepted, 11.0, names(20))
    assert changes == ({}, frozenset(), 0) and len(accepted.entries) == 20 and not accepted.unconfirmed_since


def test_other_changes_are_accepted_while_removals_are_unconfirmed():
    accepted = accepted_list()
    changes = accept_complete(accepted, 1.0, [*names(10), "new"], **{"s-3": "DRAINING"})
    assert set(changes.changed) == {"new", "s-3"} and changes.unconfirmed == 10
    assert accepted.entries["s-3"].phase == "DRAINING"


@pytest.mark.parametrize("count", [0, 1])
def test_a_list_with_fewer_endpoints_than_the_minimum_is_rejected_and_removes_nothing(count):
    accepted = accepted_list()
    with pytest.raises(RejectedResponseError, match=f"{count} endpoints, fewer than 2"):
        accept_complete(accepted, 1.0, names(count))
    assert len(accepted.entries) == 20
    with pytest.raises(RejectedResponseError):
        accept_complete(accepted, 100.0, names(count))


def test_draining_endpoints_may_all_be_removed():
    accepted = accepted_list()
    drained = dict.fromkeys(names(18), "DRAINING")
    assert len(accept_complete(accepted, 1.0, names(20), **drained).changed) == 18
    assert len(accept_complete(accepted, 2.0, names(20)[18:]).removed) == 18


def test_many_deletions_among_changes_are_unconfirmed_like_those_by_a_complete_list():
    accepted = accepted_list()
    deletions = [endpoint_entry(name, "DELETED") for name in names(8)]
    changes = accepted.accept(1.0, response(deletions, 2, complete=False))
    assert (changes.removed, changes.unconfirmed) == (frozenset(), 8)
    repeated = accepted.accept(20.0, response(deletions, 3, complete=False))
    assert repeated.unconfirmed == 8, "only a complete list confirms"
    assert len(accept_complete(accepted, 21.0, names(20)[8:]).removed) == 8


def test_a_few_deletions_among_changes_are_accepted():
    accepted = accepted_list()
    changes = accepted.accept(
        1.0,
        response([endpoint_entry("s-0", "DELETED"), endpoint_entry("never", "DELETED")], 2, complete=False),
    )
    assert changes.removed == {"s-0"} and not changes.changed


def test_in_a_small_fleet_removals_up_to_the_count_are_accepted():
    accepted = accepted_list(4)
    assert accept_complete(accepted, 1.0, names(2)).removed == {"s-2", "s-3"}


def test_an_endpoint_whose_entry_is_malformed_is_kept_unchanged():
    accepted = accepted_list()
    endpoints = [endpoint_entry(name) for name in names(20)]
    endpoints[4]["phase"] = "SPOILT"
    endpoints[5]["host_port"] = "nowhere"
    endpoints[6]["up_since_ms"] = -1
    received = response(endpoints)
    changes = accepted.accept(1.0, received)
    assert received.is_complete and len(received.invalid_entries) == 3 and changes == ({}, frozenset(), 0)
    assert accepted.entries["s-4"].phase == "SERVING"


def test_an_unconfirmed_endpoint_with_a_malformed_entry_counts_as_listed():
    accepted = accepted_list()
    accept_complete(accepted, 1.0, names(10))
    accepted.accept(
        11.0,
        response(
            [*map(endpoint_entry, names(10)), *(endpoint_entry(name, "SPOILT") for name in names(20)[10:])]
        ),
    )
    assert len(accepted.entries) == 20 and not accepted.unconfirmed_since


@pytest.mark.parametrize("entry", [7, None, {}, {"id": ""}, {"id": 5}, {"id": "x" * 257}])
def test_a_list_with_an_entry_without_a_valid_id_removes_no_endpoint(entry):
    accepted = accepted_list()
    received = response([entry, *map(endpoint_entry, names(18))])
    assert not received.is_complete and accepted.accept(1.0, received).removed == frozenset()


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
def test_an_answer_that_is_not_a_list_is_malformed(body):
    with pytest.raises(MalformedResponseError):
        parse_response(body)


def test_entries_are_passed_on_as_received():
    fields = endpoint_entry(
        "s-1", flavor="m2", cell=3, size=1.5, up_since_ms=1700000000123, other={"a": [1, None]}
    )
    entry = response([fields]).entries["s-1"]
    assert orjson.loads(entry.encoded) == fields
    assert orjson.loads(entry.deleted) == fields | {"phase": "DELETED"}
