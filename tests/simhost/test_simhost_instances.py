"""One adapter process hosts many instances of the simulator: nothing of one turns up in another."""

import json

from oatcart.simhost.adapter import Adapter

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


def records_of(instance, turn):
    """What comes to an instance in one batch: joins, a list with a node that fails, sums, marks, an end."""
    entries = [
        (
            endpoint,
            endpoint % 2,
            0.0 if endpoint % 3 else 3000.0,
            1 + (turn > 20 and endpoint == 4),
            0,
            1.0 + instance,
            0,
        )
        for endpoint in range(6)
    ]
    records = [("listed", instance, 2, 0, entries)] if turn % 7 == 0 else []
    records += [
        ("joined", instance, proxy % 2, proxy, proxy % 2, 12.0 * instance)
        for proxy in range(6)
        if turn == proxy
    ]
    records += [
        (
            "met",
            instance,
            1000.0,
            40.0 + 90.0 * endpoint * instance,
            (turn + endpoint) % 4 * instance,
            12,
            endpoint,
            endpoint % 2,
            (0.3 * endpoint,),
        )
        for endpoint in range(6)
        if turn % 2
    ]
    records += [
        ("came", instance, turn % 6, 0, 30 * turn, 0, 1000.0),
        ("applied", instance, turn % 6, turn // 2, 100.0),
    ]
    return records + ([("left", instance, 3)] if turn == 30 else [])


def play(*instances):
    adapter, replies = Adapter(), []
    start = [("start", instance, 7, json.dumps(SETTINGS[instance]).encode()) for instance in instances]
    for turn in range(60):
        records = [record for instance in instances for record in records_of(instance, turn)]
        replies.append(adapter.answer(250.0 * turn, (start if not turn else []) + records))
    return replies


def test_instances_with_other_settings_decide_as_each_alone():
    both, one, two = play(1, 2), play(1), play(2)
    assert [(n + m, here + there) for (n, here), (m, there) in zip(one, two, strict=False)] == both
    assert all(
        sum(n for n, _ in alone) > 80 and b"Error" not in b"".join(orders for _, orders in alone)
        for alone in (one, two)
    )
