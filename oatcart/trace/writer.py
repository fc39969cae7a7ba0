"""Writes trace files in a thread of its own, so that a caller that puts a record never waits for a disk.

Disk failures are not raised: tracing stops, logs the failure, and is retried later.
"""

import fcntl
import os
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from oatcart.trace import file_format
from oatcart.trace.reader import repair_footer
from oatcart.trace.record_queue import RecordQueue
from oatcart.trace.write_policy import (
    BLOCK_RECORDS,
    DiskBackoff,
    Limits,
    StoredFile,
    WriteSchedule,
    files_to_delete,
)

SUFFIX = ".oatrace"
POLL_INTERVAL = 0.2  # s between two checks by the thread for due operations
LOG_TOPIC = "trace"


class FileStore:
    """The disk operations of a writer; all raise OSError. Tests use a subclass whose operations fail."""

    def open(self, path: Path) -> int:
        """Create a file that only its owner may read; return its descriptor, with a shared lock."""
        descriptor = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600)
        fcntl.flock(descriptor, fcntl.LOCK_SH)  # `in_use` finds this lock, so that the file is not deleted
        return descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def sync(self, descriptor: int) -> None:
        """Flush the written data to disk."""
        os.fdatasync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)


def in_use(path: Path) -> bool:
    """Return whether a process writes or reads the file; True also if the file cannot be opened."""
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except OSError:
        return True
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return False
    except OSError:
        return True
    finally:
        os.close(descriptor)


class _OpenFile:
    """The file being written, and the index of its blocks; all methods raise OSError."""

    def __init__(self, store: FileStore, path: Path) -> None:
        self._store = store
        self._descriptor = store.open(path)
        self._index: list[file_format.IndexEntry] = []
        self.size = 0  # bytes

    def _append(self, data: bytes) -> None:
        """Append data to the file."""
        self._store.write(self._descriptor, data)
        self.size += len(data)

    def append_header(self, metadata: dict) -> None:
        """Write the header, which comes first in the file."""
        self._append(file_format.encode_header(metadata))

    def append_block(self, records: Sequence[tuple]) -> None:
        """Write records as one block and index it."""
        block = file_format.encode_block(len(self._index), records)
        entry = file_format.index_entry(self.size, block)
        self._append(block)
        self._index.append(entry)

    def sync(self) -> None:
        """Flush the written data to disk."""
        self._store.sync(self._descriptor)

    def append_footer(self) -> None:
        """Write the footer, which holds the index, and sync."""
        self._append(file_format.encode_footer(self._index))
        self.sync()

    def close(self) -> None:
        """Close the file."""
        self._store.close(self._descriptor)


class Writer:
    """Writes the records of one instance.

    `folder` and `limits` come from the settings. `metadata` is written to each file's header. `clock` returns
    the instance's time and `unix_clock` Unix time, both in seconds. `log` takes a topic and a line. Each file
    begins with `start_records`, so that it can be read alone.
    """

    def __init__(
        self,
        folder: Path | str,
        instance: str,
        metadata: dict,
        clock: Callable[[], float],
        log: Callable[[str, str], None],
        limits: Limits = Limits(),  # noqa: B008 - immutable
        store: FileStore | None = None,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self.folder = Path(folder)
        self.instance = instance
        self.metadata = metadata
        self.clock = clock
        self.unix_clock = unix_clock
        self.log = log
        self.limits = limits
        self.store = store or FileStore()
        self.queue = RecordQueue(limits.max_queued_records)
        self.schedule = WriteSchedule(limits)
        self.backoff = DiskBackoff()
        self.start_records: list[tuple] = []
        self._lock = threading.RLock()  # re-entrant, as a signal handler may call `stop` during `put`
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._file: _OpenFile | None = None
        self._files_opened = 0

    def put(self, record: tuple) -> None:
        """Queue a record; never waits for the disk."""
        with self._lock:
            self.queue.put(record)

    def start(self) -> None:
        """Repair files that an earlier incarnation did not finish, and start the thread."""
        self._repair_old_files()
        self._thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self._thread.start()

    def stop(self, timeout: float | None = None) -> None:
        """Write all queued records and finish the file.

        If the thread does not end within `timeout` seconds, the file is left unfinished and is repaired at
        the next start.
        """
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(timeout)
            if self._thread.is_alive():
                return
        self.write_due(final=True)

    def _run(self) -> None:
        """Write what is due until the writer is stopped; runs in the thread."""
        while not self._stopping.wait(POLL_INTERVAL):
            self.write_due()

    def _files(self) -> list[Path]:
        """Return the instance's trace files, the oldest first."""
        return sorted(self.folder.glob(f"{self.instance}-*{SUFFIX}"))

    def _repair_old_files(self) -> None:
        """Write the missing footers of unfinished files, except of files that a process writes or reads."""
        for path in self._files():
            try:
                if not in_use(path) and (result := repair_footer(path)):
                    self.log(LOG_TOPIC, f"{path.name}: {result}")
            except (OSError, file_format.CorruptTraceError) as error:
                self.log(LOG_TOPIC, f"{path.name} was not repaired: {error}")

    def write_due(self, final: bool = False) -> None:
        """Write, sync and rotate if due; with `final`, write all queued records and finish the file."""
        now = self.clock()
        if not self.backoff.may_use_disk(now) and not final:
            return
        while records := self._take_due_records(now, final):
            if not self._write_block(now, records):
                return
        if self._file is None:
            return
        if final or self.schedule.rotation_due(now, self._file.size):
            self._end_file()
        elif self.schedule.sync_due(now):
            self._run_disk_operation(now, self._file.sync)
            self.schedule.last_sync_at = now

    def _take_due_records(self, now: float, final: bool) -> list[tuple]:
        """Return the records of the next block, if one is due."""
        with self._lock:
            due = self.schedule.block_due(now, self.queue.size)
            if due or final and (self.queue.size or self.queue.shed):
                return self.queue.take(now, BLOCK_RECORDS)
            return []

    def _write_block(self, now: float, records: list[tuple]) -> bool:
        """Write a block and return whether that succeeded; records that cannot be written count as shed."""

        def append() -> None:
            if self._file is None:
                self._open_file(now)
            self._file.append_block(records)

        if not self._run_disk_operation(now, append):
            with self._lock:
                self.queue.shed_unwritten(records)
            return False
        self.schedule.last_block_at = now
        if line := self.backoff.succeeded():
            self.log(LOG_TOPIC, line)
        return True

    def _run_disk_operation(self, now: float, operation: Callable[[], None]) -> bool:
        """Run a disk operation; return whether it succeeded. A failure closes the file without a footer."""
        try:
            operation()
            return True
        except OSError as error:
            if line := self.backoff.failed(now, error.strerror or type(error).__name__):
                self.log(LOG_TOPIC, line)
            self._close_file()
            return False

    def _open_file(self, now: float) -> None:
        """Delete old files and open a new one; raises OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._delete_old_files()
        self._files_opened += 1
        milliseconds = int(now * 1000)
        name = f"{self.instance}-{milliseconds:016}-{self._files_opened:06}{SUFFIX}"
        self._file = _OpenFile(self.store, self.folder / name)
        self.schedule.file_opened(now)
        opened = {"instance": self.instance, "opened": now, "unix": self.unix_clock()}
        self._file.append_header(self.metadata | opened)
        if self.start_records:
            self._file.append_block(self.start_records)

    def _delete_old_files(self) -> None:
        """Delete the oldest files beyond the size limit; raises OSError."""
        files = [StoredFile(path.name, path.stat().st_size, in_use(path)) for path in self._files()]
        for name in files_to_delete(files, self.limits.max_total_bytes):
            (self.folder / name).unlink(missing_ok=True)

    def _end_file(self) -> None:
        """Write the footer and close the file."""
        self._run_disk_operation(self.clock(), self._file.append_footer)
        self._close_file()

    def _close_file(self) -> None:
        """Close the file, if one is open; a failure is logged."""
        file, self._file = self._file, None
        if file is None:
            return
        try:
            file.close()
        except OSError as error:
            self.log(LOG_TOPIC, f"cannot close a trace file: {error.strerror}")
