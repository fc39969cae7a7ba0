"""Queues records to be written, and sheds some when the queue is full. Does no I/O and reads no clock.

Tracing must not delay serving, so the queue is bounded. Shed records are counted, and the counts are written
as records themselves.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oatcart.trace.records import RecordKind, make_record

# When the queue is full, records with the highest number are shed first: a replay needs every round, other
# records cannot be interpreted without starts, clocks and names, and requests are only samples
SHED_ORDER: Mapping[str, int] = {
    RecordKind.SHED: 0,
    RecordKind.START: 0,
    RecordKind.CLOCK: 0,
    RecordKind.ENDPOINT_NAME: 0,
    RecordKind.ROUND: 1,
    RecordKind.MESSAGE_SENT: 2,
    RecordKind.MESSAGE_RECEIVED: 2,
    RecordKind.ATTEMPT: 3,
    RecordKind.REQUEST: 4,
}
SHED_FIRST = max(SHED_ORDER.values())
# Stored reasons for which records were shed
QUEUE_FULL = "no room"
DISK_FAILED = "disk"


@dataclass(slots=True)
class ShedRecords:
    """Shed records of one kind: their number, least and greatest time in seconds, and the reason."""

    count: int
    since: float
    until: float
    reason: str


class RecordQueue:
    """Records waiting to be written, and counts of those shed since the last `take`."""

    def __init__(self, max_records: int) -> None:
        """Create a queue of at most `max_records`."""
        self.max_records = max_records
        self.size = 0
        self.shed: dict[str, ShedRecords] = {}  # by record kind
        self._waiting: dict[int, deque] = {rank: deque() for rank in range(SHED_FIRST + 1)}
        self._accepted = 0  # total number, which orders the records

    def put(self, record: tuple) -> None:
        """Queue a record. A full queue sheds the newest record of the highest rank, which may be this one."""
        rank = SHED_ORDER.get(record[0], SHED_FIRST)
        if self.size >= self.max_records:
            shed_rank = max(rank for rank, queue in self._waiting.items() if queue)
            if shed_rank <= rank:
                self._count_shed(record, QUEUE_FULL)
                return
            _, removed = self._waiting[shed_rank].pop()
            self._count_shed(removed, QUEUE_FULL)
            self.size -= 1
        self._accepted += 1
        self._waiting[rank].append((self._accepted, record))
        self.size += 1

    def _count_shed(self, record: tuple, reason: str) -> None:
        """Count a record that will not be written."""
        kind, at = record[0], record[1]
        shed = self.shed.get(kind)
        if shed is None:
            self.shed[kind] = ShedRecords(1, at, at, reason)
        else:
            shed.count += 1
            shed.since = min(shed.since, at)
            shed.until = max(shed.until, at)

    def take(self, now: float, limit: int) -> list[tuple]:
        """Remove and return up to `limit` records; those returned are in the order in which they were put.

        Records that count what was shed since the last call, at the time `now` in seconds, come first and do
        not count towards the limit.
        """
        shed = [
            make_record(
                RecordKind.SHED,
                at=now,
                kind=kind,
                count=shed.count,
                since=shed.since,
                until=shed.until,
                why=shed.reason,
            )
            for kind, shed in self.shed.items()
        ]
        self.shed = {}
        taken: list[tuple[int, tuple]] = []
        for queue in self._waiting.values():
            while queue and len(taken) < limit:
                taken.append(queue.popleft())
        self.size -= len(taken)
        taken.sort(key=lambda entry: entry[0])
        return shed + [record for _, record in taken]

    def shed_unwritten(self, records: Iterable[tuple]) -> None:
        """Count records that were taken but could not be written; add the counts that are among them."""
        for record in records:
            if record[0] != RecordKind.SHED:
                self._count_shed(record, DISK_FAILED)
                continue
            _, _, kind, count, since, until, reason = record
            if kind in self.shed:
                shed = self.shed[kind]
                shed.count += count
                shed.since = min(shed.since, since)
            else:
                self.shed[kind] = ShedRecords(count, since, until, reason)
