"""What a writer keeps, sheds, syncs, rotates and deletes, and when it gives a disk up. Free of I/O and clock.

Serving comes first: records wait in bounded room, and where there is none the least wanted go, which is
itself recorded.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from oatcart.trace.records import PRIORITIES, SHED, make

# of a block: 8 s of 500 reqs a second; larger ones shrink by little and are slower to seek in
BLOCK_RECORDS = 4096
MAX_BLOCK_AGE = 5.0  # s; what a crash may lose
SYNC_INTERVAL = 10.0  # s between syncs; each may take some tens of ms, of the writer's time alone
FIRST_RETRY_AFTER, MAX_RETRY_AFTER, RETRY_GROWTH = 1.0, 300.0, 2.0  # s, s, factor: waits after a failing disk
LOWEST_PRIORITY = max(PRIORITIES.values())


@dataclass(slots=True)
class ShedRecords:
    """Records of a kind that were shed."""

    count: int
    since: float
    until: float
    why: str


class RecordQueue:
    """Records that wait to be written, `most` of them at most."""

    def __init__(self, most: int) -> None:
        self.most, self.size = most, 0
        self.waiting: dict[int, deque] = {rank: deque() for rank in range(LOWEST_PRIORITY + 1)}
        self.count = 0  # of all taken in: their order
        self.losses: dict[str, ShedRecords] = {}

    def put(self, record: tuple) -> None:
        """Take a record in, or shed one: of the least wanted that wait, the newest."""
        rank = PRIORITIES.get(record[0], LOWEST_PRIORITY)
        if self.size >= self.most:
            worst = max(at for at, queue in self.waiting.items() if queue)
            if worst <= rank:
                return self._lose(record, "no room")
            self._lose(self.waiting[worst].pop()[1], "no room")
            self.size -= 1
        self.count += 1
        self.waiting[rank].append((self.count, record))
        self.size += 1

    def _lose(self, record: tuple, why: str) -> None:
        loss = self.losses.get(record[0])
        if loss is None:
            self.losses[record[0]] = ShedRecords(1, record[1], record[1], why)
        else:
            loss.count += 1
            loss.since, loss.until = min(loss.since, record[1]), max(loss.until, record[1])

    def take(self, now: float, most: int) -> list[tuple]:
        """The next records to be written, in the order in which they came; first what was shed since the
        last.
        """
        out = [
            make(SHED, now, kind, loss.count, loss.since, loss.until, loss.why)
            for kind, loss in self.losses.items()
        ]
        self.losses = {}
        found = []
        for queue in self.waiting.values():
            while queue and len(found) < most:
                found.append(queue.popleft())
            if len(found) >= most:
                break
        self.size -= len(found)
        return out + [record for _, record in sorted(found, key=lambda one: one[0])]

    def shed_unwritten(self, records: Iterable[tuple], why: str) -> None:
        """Records that were taken and could not be written."""
        for record in records:
            if record[0] != SHED:
                self._lose(record, why)
            elif record[2] in self.losses:  # what it told of is told again
                loss = self.losses[record[2]]
                loss.count, loss.since = loss.count + record[3], min(loss.since, record[4])
            else:
                self.losses[record[2]] = ShedRecords(*record[3:7])


class WriteSchedule:
    """When a block is due, a sync, another file."""

    def __init__(self, max_file_bytes: int, max_file_age: float) -> None:
        self.max_file_bytes, self.max_file_age = max_file_bytes, max_file_age
        self.block_at = self.synced_at = self.opened_at = 0.0

    def opened(self, now: float) -> None:
        self.opened_at = self.synced_at = self.block_at = now

    def block_due(self, now: float, waiting: int) -> bool:
        return waiting >= BLOCK_RECORDS or waiting > 0 and now - self.block_at >= MAX_BLOCK_AGE

    def sync_due(self, now: float) -> bool:
        return now - self.synced_at >= SYNC_INTERVAL

    def rotation_due(self, now: float, size: int) -> bool:
        """Whether the file is to end and another to begin."""
        return size >= self.max_file_bytes or now - self.opened_at >= self.max_file_age


class StoredFile(NamedTuple):
    """A file of the folder. `in_use`: being written, read or cut."""

    name: str
    size: int
    in_use: bool


def files_to_delete(files: Iterable[StoredFile], budget: int) -> list[str]:
    """Whole files to delete, oldest first, so that the rest keeps to the budget; never one in use.
    Names sort by age.

    >>> files_to_delete([StoredFile(name, 4, name == "b") for name in "abcd"], 9)
    ['a', 'c']
    """
    files, out = sorted(files), []
    total = sum(one.size for one in files)
    for one in files:
        if total <= budget:
            break
        if not one.in_use:
            out.append(one.name)
            total -= one.size
    return out


class DiskBackoff:
    """Whether a disk that failed is tried again."""

    def __init__(self) -> None:
        self.off_until, self.wait, self.off = 0.0, FIRST_RETRY_AFTER, False

    def may_try(self, now: float) -> bool:
        return now >= self.off_until

    def failed(self, now: float, why: str) -> str | None:
        """The line for the log, the first time."""
        self.off_until, self.wait = now + self.wait, min(MAX_RETRY_AFTER, self.wait * RETRY_GROWTH)
        first, self.off = not self.off, True
        return (
            f"tracing is off: {why}; tried again in {self.off_until - now:g} s, then less often"
            if first
            else None
        )

    def succeeded(self) -> str | None:
        """The line for the log, where it had failed."""
        was, self.off, self.wait = self.off, False, FIRST_RETRY_AFTER
        return "tracing is on again" if was else None
