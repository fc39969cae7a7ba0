"""Decides when to write, sync, rotate, delete and retry a failed disk. Does no I/O and reads no clock.

Times are in seconds of the instance's clock, sizes in bytes.
"""

from collections.abc import Iterable
from typing import NamedTuple

BLOCK_RECORDS = 4096  # larger blocks save little space and make seeking slower
MAX_BLOCK_AGE = 5.0  # s; a crash loses at most this much
SYNC_INTERVAL = 10.0  # s
FIRST_RETRY_AFTER = 1.0  # s after the first failure
MAX_RETRY_AFTER = 300.0  # s
RETRY_GROWTH = 2.0  # factor from one delay to the next


class Limits(NamedTuple):
    """Limits of trace files and of the queue. The file being written may exceed `max_total_bytes`."""

    max_file_bytes: int = 64 << 20
    max_file_age: float = 3600.0  # s
    max_total_bytes: int = 1 << 30  # of all files of the instance
    max_queued_records: int = 20 * BLOCK_RECORDS


class WriteSchedule:
    """Tells when a block, a sync or a new file is due."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.last_block_at = 0.0
        self.last_sync_at = 0.0
        self.opened_at = 0.0

    def file_opened(self, now: float) -> None:
        """Restart all intervals, as a new file was opened."""
        self.opened_at = self.last_sync_at = self.last_block_at = now

    def block_due(self, now: float, queued: int) -> bool:
        """Return whether `queued` records fill a block, or some are queued and the last block is too old."""
        return queued >= BLOCK_RECORDS or queued > 0 and now - self.last_block_at >= MAX_BLOCK_AGE

    def sync_due(self, now: float) -> bool:
        """Return whether to sync the file to disk."""
        return now - self.last_sync_at >= SYNC_INTERVAL

    def rotation_due(self, now: float, size: int) -> bool:
        """Return whether to finish the file, which has `size` bytes, and open another one."""
        return size >= self.limits.max_file_bytes or now - self.opened_at >= self.limits.max_file_age


class StoredFile(NamedTuple):
    """A trace file of the instance; `in_use` means that it is being written or read."""

    name: str
    size: int
    in_use: bool


def files_to_delete(files: Iterable[StoredFile], max_total_bytes: int) -> list[str]:
    """Return the names of the files to delete so that the rest does not exceed `max_total_bytes`.

    The oldest files are deleted first, files in use never. Sorting by name sorts by age.

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
    """Tells when to retry a disk that failed, and which changes to log."""

    def __init__(self) -> None:
        self.retry_at = 0.0
        self.retry_after = FIRST_RETRY_AFTER
        self.failing = False

    def may_use_disk(self, now: float) -> bool:
        """Return whether the disk may be used now."""
        return now >= self.retry_at

    def failed(self, now: float, reason: str) -> str | None:
        """Register a failure; return the line to log if it is the first one in a row."""
        wait = self.retry_after
        self.retry_at = now + wait
        self.retry_after = min(MAX_RETRY_AFTER, wait * RETRY_GROWTH)
        if self.failing:
            return None
        self.failing = True
        return f"tracing is off: {reason}; next attempt in {self.retry_at - now:g} s, then less often"

    def succeeded(self) -> str | None:
        """Register a success; return the line to log if the disk had failed."""
        self.retry_after = FIRST_RETRY_AFTER
        if not self.failing:
            return None
        self.failing = False
        return "tracing is on again"
