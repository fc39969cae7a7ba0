"""When a writer writes, syncs, rotates, deletes, and tries a failed disk again. Does no I/O, reads no clock.

Times are seconds of the instance's clock, sizes bytes.
"""

from collections.abc import Iterable
from typing import NamedTuple

BLOCK_RECORDS = 4096  # records; larger blocks save little space and are slower to seek in
MAX_BLOCK_AGE = 5.0  # s; what a crash may lose
SYNC_INTERVAL = 10.0  # s
FIRST_RETRY_AFTER = 1.0  # s from a disk's failure
MAX_RETRY_AFTER = 300.0  # s
RETRY_GROWTH = 2.0  # factor from one wait to the next


class Limits(NamedTuple):
    """What traces may take. The file being written may exceed `max_total_bytes`."""

    max_file_bytes: int = 64 << 20
    max_file_age: float = 3600.0  # s
    max_total_bytes: int = 1 << 30  # of all files of the instance
    max_queued_records: int = 20 * BLOCK_RECORDS


class WriteSchedule:
    """When a block is due, a sync, a new file."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.last_block_at = 0.0
        self.last_sync_at = 0.0
        self.opened_at = 0.0

    def file_opened(self, now: float) -> None:
        """Count from now, as a new file was opened."""
        self.opened_at = self.last_sync_at = self.last_block_at = now

    def block_due(self, now: float, queued: int) -> bool:
        """Whether to write a block: `queued` records fill one, or the oldest may have waited long enough."""
        return queued >= BLOCK_RECORDS or queued > 0 and now - self.last_block_at >= MAX_BLOCK_AGE

    def sync_due(self, now: float) -> bool:
        """Whether to have the disk keep what was written."""
        return now - self.last_sync_at >= SYNC_INTERVAL

    def rotation_due(self, now: float, size: int) -> bool:
        """Whether to end the file, of `size` bytes by now, and begin another."""
        return size >= self.limits.max_file_bytes or now - self.opened_at >= self.limits.max_file_age


class StoredFile(NamedTuple):
    """A trace file of the instance; `in_use`: being written or read."""

    name: str
    size: int
    in_use: bool


def files_to_delete(files: Iterable[StoredFile], max_total_bytes: int) -> list[str]:
    """The names of the files to delete so that the rest keeps to `max_total_bytes`.

    The oldest go first, those in use never. Names sort by age.

    >>> files_to_delete([StoredFile(name, 4, name == "b") for name in "abcd"], 9)
    ['a', 'c']
    """
    ordered = sorted(files)
    total = sum(file.size for file in ordered)
    names = []
    for file in ordered:
        if total <= max_total_bytes:
            break
        if not file.in_use:
            names.append(file.name)
            total -= file.size
    return names


class DiskBackoff:
    """When a disk that failed is tried again, and which changes are worth a log line."""

    def __init__(self) -> None:
        self.retry_at = 0.0
        self.retry_after = FIRST_RETRY_AFTER
        self.failing = False

    def may_use_disk(self, now: float) -> bool:
        """Whether the disk may be used."""
        return now >= self.retry_at

    def failed(self, now: float, reason: str) -> str | None:
        """Note a failure; returns the line to log if it is the first one in a row."""
        wait = self.retry_after
        self.retry_at = now + wait
        self.retry_after = min(MAX_RETRY_AFTER, wait * RETRY_GROWTH)
        if self.failing:
            return None
        self.failing = True
        return f"tracing is off: {reason}; tried again in {self.retry_at - now:g} s, then less often"

    def succeeded(self) -> str | None:
        """Note a success; returns the line to log if the disk had failed."""
        self.retry_after = FIRST_RETRY_AFTER
        if not self.failing:
            return None
        self.failing = False
        return "tracing is on again"
