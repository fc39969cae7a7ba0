"""One adapter process runs many instances, which share no state."""

import json

from oatcart.simhost.adapter import Adapter
from oatcart.simhost.frames import Batch, EntryFields, Record, RecordCode

SETTINGS = {
    1: {
        "membershipMode": "automatic",
        "zones": ["a", "b"],
        "penalties": {"crossZone": 0.12},
        "balancers": 2,
        "grades": [
            {"name": "x", "aim": 500.0, "worth": 1.0, "idempotency": "idempotent"},
            {"name": "y", "aim": 900.0, "worth": 5.0, "idempotency": "at_most_once"},
        ],
        "rules": {"cold": 17000.0, "coldShare": 0.2, "tipMultiple": 4.0, "stopSendingWithin": 3000.0},
        "specifics": {
            "pushRate": 300.0,
            "envelope": 4.0,
            "queueCap": 450.0,
            "messagesMost": 12,
            "updateWindow": 10000.0,
            "admit": "fraction",
            "period": 1000.0,
            "proxyCount": 6,
            "zoneBound": [False, True],
        },
    },
    2: {
        "membershipMode": "subscribe",
        "zones": ["c", "d", "e"],
        "weights": "on",
        "balancers": 1,
        "grades": [{"name": "z", "aim": 2000.0, "worth": 2.0, "idempotency": "deduplicated"}],
        "rules": {"stopSendingWithin": 9000.0},
        "report": {"fields": ["load_share"]},
        "policyLimits": {"probes": True},
        "specifics": {
            "pushRate": 4000.0,
            "envelope": 1.0,
            "queueCap": 9000.0,
            "admit": "per_second",
            "period": 250.0,
            "proxyCount": 90,
        },
    },
}


def entries(instance, turn):
    """Returns the entries of an endpoint list; endpoint 4 drains from turn 21 on."""
    return [
        EntryFields(
            endpoint_id=endpoint,
            zone=endpoint % 2,
            started_ms=0.0 if endpoint % 3 else 3000.0,
            state=2 if turn > 20 and endpoint == 4 else 1,
            machine_kind=0,
            nominal_weight=1.0 + instance,
            cell=0,
        )
        for endpoint in range(6)
    ]


def records_of(instance, turn):
    """Returns the records of a batch: joins, lists, load reports, acknowledgements, a lost stream."""
    records = []
    if turn % 7 == 0:
        records.append(Record(RecordCode.ENDPOINT_LIST, instance, (2, 0, entries(instance, turn))))
    if turn < 6:
        fields = (turn % 2, turn, turn % 2, 12.0 * instance)
        records.append(Record(RecordCode.PROXY_JOINED, instance, fields))
    if turn % 2:
        for endpoint in range(6):
            duration_ms = 40.0 + 90.0 * endpoint * instance
            errors = (turn + endpoint) % 4 * instance
            fields = (1000.0, duration_ms, errors, 12, endpoint, endpoint % 2, (0.3 * endpoint,))
            records.append(Record(RecordCode.ENDPOINT_LOAD, instance, fields))
    records.append(Record(RecordCode.PROXY_LOAD, instance, (turn % 6, 0, 30 * turn, 0, 1000.0)))
    records.append(Record(RecordCode.UPDATE_ACKNOWLEDGED, instance, (turn % 6, turn // 2, 100.0)))
    if turn == 30:
        records.append(Record(RecordCode.PROXY_LEFT, instance, (3,)))
    return records


def play(*instances):
    """Returns the replies of an adapter that runs these instances."""
    adapter, replies = Adapter(), []
    starts = [
        Record(RecordCode.START, instance, (7, json.dumps(SETTINGS[instance]).encode()))
        for instance in instances
    ]
    for turn in range(60):
        records = [record for instance in instances for record in records_of(instance, turn)]
        replies.append(adapter.answer(Batch(250.0 * turn, (starts if not turn else []) + records)))
    return replies


def test_instances_with_different_settings_decide_as_if_alone():
    both, first, second = play(1, 2), play(1), play(2)
    assert len(both) == len(first) == len(second) == 60
    assert both == [
        (one.record_count + other.record_count, one.body + other.body)
        for one, other in zip(first, second, strict=True)
    ]
    for alone in (first, second):
        assert sum(reply.record_count for reply in alone) > 80
        assert b"Error" not in b"".join(reply.body for reply in alone)
