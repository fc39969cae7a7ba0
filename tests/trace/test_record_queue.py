"""Tests of which records a full queue sheds."""

from oatcart.trace.record_queue import RecordQueue
from oatcart.trace.records import RecordKind as Kind


def test_a_full_queue_sheds_the_least_important_records_first():
    queue = RecordQueue(3)
    kinds = [Kind.REQUEST, Kind.ATTEMPT, Kind.ROUND, Kind.START, Kind.ROUND, Kind.ROUND, Kind.REQUEST]
    for at, kind in enumerate(kinds):
        queue.put((kind, float(at)))
    taken = [record[0] for record in queue.take(9.0, 10)]
    assert taken == [Kind.SHED, Kind.SHED, Kind.SHED, Kind.ROUND, Kind.START, Kind.ROUND]
