"""Writing a trace: records are put from where they arise, and written elsewhere; nothing here raises into
serving.
"""

import fcntl
import os
import threading
import time
from collections.abc import Callable
from pathlib import Path

from oatcart.trace import file_format
from oatcart.trace.reader import repair_footer
from oatcart.trace.write_policy import (
    BLOCK_RECORDS,
    DiskBackoff,
    RecordQueue,
    StoredFile,
    WriteSchedule,
    files_to_delete,
)

SUFFIX = ".oatrace"
POLL_INTERVAL = 0.2  # s between looks of the thread


class FileStore:
    """What a writer asks of a disk; tests hand in one that fails."""

    def open(self, path: Path) -> int:
        fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600)
        fcntl.flock(fd, fcntl.LOCK_SH)  # whoever deletes asks for it alone
        return fd

    def write(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def sync(self, fd: int) -> None:
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)


def in_use(path: Path) -> bool:
    """Whether somebody has the file open to write or read it."""
    try:
        fd = os.open(path, os.O_RDONLY)
    except OSError:
        return True
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return False
    except OSError:
        return True
    finally:
        os.close(fd)


class Writer:
    """`facts` go into each file's header; `clock` is the instance's. `max_queued`: records that may wait."""

    def __init__(
        self,
        folder: Path,
        instance: str,
        facts: dict,
        clock: Callable[[], float],
        say: Callable[[str, str], None],
        max_file_bytes: int = 64 << 20,
        max_file_age: float = 3600.0,
        budget: int = 1 << 30,
        max_queued: int = 20 * BLOCK_RECORDS,
        store: FileStore | None = None,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.folder, self.instance, self.metadata, self.clock, self.say = (
            Path(folder),
            instance,
            facts,
            clock,
            say,
        )
        self.unix = unix
        self.budget, self.store = budget, store or FileStore()
        self.queue, self.schedule, self.backoff = (
            RecordQueue(max_queued),
            WriteSchedule(max_file_bytes, max_file_age),
            DiskBackoff(),
        )
        self.lock, self.stopping = threading.RLock(), threading.Event()
        self.fd: int | None = None
        self.index: list[tuple] = []
        self.size = self.number = self.files = 0
        self.start_records: list[tuple] = []  # records that begin every file, so that each can be read alone
        self.thread: threading.Thread | None = None

    def put(self, record: tuple) -> None:
        """Take a record; never waits for the disk."""
        with self.lock:
            self.queue.put(record)

    def start(self) -> None:
        self._repair_old()
        self.thread = threading.Thread(target=self._run, name="trace", daemon=True)
        self.thread.start()

    def stop(self, within: float | None = None) -> None:
        """Write what waits and end the file; where the thread does not end in time, recovery does it."""
        self.stopping.set()
        if self.thread is not None:
            self.thread.join(within)
            if self.thread.is_alive():
                return
        self.write_due(final=True)

    def _run(self) -> None:
        while not self.stopping.wait(POLL_INTERVAL):
            self.write_due()

    def _repair_old(self) -> None:
        """Files of a life that ended without a footer get theirs."""
        for path in sorted(self.folder.glob(f"{self.instance}-*{SUFFIX}")):
            try:
                if not in_use(path) and (what := repair_footer(path)):
                    self.say("trace", f"{path.name}: {what}")
            except (OSError, file_format.CorruptTraceError) as error:
                self.say("trace", f"{path.name} is left as it is: {error}")

    def write_due(self, final: bool = False) -> None:
        """Write what is due."""
        now = self.clock()
        if not self.backoff.may_try(now) and not final:
            return
        while True:
            with self.lock:
                due = (
                    self.schedule.block_due(now, self.queue.size)
                    or final
                    and (self.queue.size or self.queue.losses)
                )
                records = self.queue.take(now, BLOCK_RECORDS) if due else []
            if not records:
                break
            if not self._write(now, records):
                return
        if self.fd is not None and (final or self.schedule.rotation_due(now, self.size)):
            self._end()
        elif self.fd is not None and self.schedule.sync_due(now):
            self._try(now, lambda: self.store.sync(self.fd))
            self.schedule.synced_at = now

    def _write(self, now: float, records: list[tuple]) -> bool:
        def block() -> None:
            if self.fd is None:
                self._begin(now)
            data = file_format.encode_block(self.number, records)
            self.store.write(self.fd, data)
            head = file_format.decode_block_header(data)
            self.index.append((self.size, len(data), head.count, head.first, head.last))
            self.size, self.number = self.size + len(data), self.number + 1

        if not self._try(now, block):
            with self.lock:
                self.queue.shed_unwritten(records, "disk")
            return False
        self.schedule.block_at = now
        if line := self.backoff.succeeded():
            self.say("trace", line)
        return True

    def _try(self, now: float, do: Callable[[], None]) -> bool:
        """A disk that fails costs the file at hand, which is read as a cut one."""
        try:
            do()
            return True
        except OSError as error:
            if line := self.backoff.failed(now, error.strerror or type(error).__name__):
                self.say("trace", line)
            self._close()
            return False

    def _begin(self, now: float) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._retain()
        self.files += 1
        path = self.folder / f"{self.instance}-{int(now * 1000):016}-{self.files:06}{SUFFIX}"
        self.fd, self.index, self.size, self.number = self.store.open(path), [], 0, 0
        self.schedule.opened(now)
        data = file_format.encode_header(
            self.metadata | {"instance": self.instance, "opened": now, "unix": self.unix()}
        )
        self.store.write(self.fd, data)
        self.size = len(data)
        if self.start_records:
            data = file_format.encode_block(0, self.start_records)
            self.store.write(self.fd, data)
            self.index.append(
                (self.size, len(data), len(self.start_records), *file_format.decode_block_header(data)[2:4])
            )
            self.size, self.number = self.size + len(data), 1

    def _retain(self) -> None:
        files = [
            StoredFile(path.name, path.stat().st_size, in_use(path))
            for path in self.folder.glob(f"{self.instance}-*{SUFFIX}")
        ]
        for name in files_to_delete(files, self.budget):
            (self.folder / name).unlink(missing_ok=True)

    def _end(self) -> None:
        self._try(
            self.clock(),
            lambda: (
                self.store.write(self.fd, file_format.encode_footer(self.index)),
                self.store.sync(self.fd),
            ),
        )
        self._close()

    def _close(self) -> None:
        fd, self.fd = self.fd, None
        if fd is not None:
            try:
                self.store.close(fd)
            except OSError as error:
                self.say("trace", f"a file cannot be closed: {error.strerror}")
