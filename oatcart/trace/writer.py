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
from oatcart.trace.plan import BLOCK_RECORDS, Disk, Keeper, Pace, Stored, over
from oatcart.trace.reader import repair

SUFFIX = ".oatrace"
WAIT = 0.2  # s between looks of the thread


class Store:
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


def busy(path: Path) -> bool:
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
    """`facts` go into each file's header; `clock` is the instance's. `room`: records that may wait."""

    def __init__(
        self,
        folder: Path,
        instance: str,
        facts: dict,
        clock: Callable[[], float],
        say: Callable[[str, str], None],
        file_bytes: int = 64 << 20,
        file_for: float = 3600.0,
        budget: int = 1 << 30,
        room: int = 20 * BLOCK_RECORDS,
        store: Store | None = None,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.folder, self.instance, self.facts, self.clock, self.say = (
            Path(folder),
            instance,
            facts,
            clock,
            say,
        )
        self.unix = unix
        self.budget, self.store = budget, store or Store()
        self.keeper, self.pace, self.disk = Keeper(room), Pace(file_bytes, file_for), Disk()
        self.lock, self.stopping = threading.RLock(), threading.Event()
        self.fd: int | None = None
        self.index: list[tuple] = []
        self.size = self.number = self.files = 0
        self.starts: list[tuple] = []  # records that begin every file, so that each can be read alone
        self.thread: threading.Thread | None = None

    def put(self, record: tuple) -> None:
        """Take a record; never waits for the disk."""
        with self.lock:
            self.keeper.put(record)

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
        self.work(last=True)

    def _run(self) -> None:
        while not self.stopping.wait(WAIT):
            self.work()

    def _repair_old(self) -> None:
        """Files of a life that ended without a footer get theirs."""
        for path in sorted(self.folder.glob(f"{self.instance}-*{SUFFIX}")):
            try:
                if not busy(path) and (what := repair(path)):
                    self.say("trace", f"{path.name}: {what}")
            except (OSError, file_format.CorruptTraceError) as error:
                self.say("trace", f"{path.name} is left as it is: {error}")

    def work(self, last: bool = False) -> None:
        """Write what is due."""
        now = self.clock()
        if not self.disk.may(now) and not last:
            return
        while True:
            with self.lock:
                due = (
                    self.pace.block_due(now, self.keeper.size)
                    or last
                    and (self.keeper.size or self.keeper.losses)
                )
                records = self.keeper.take(now, BLOCK_RECORDS) if due else []
            if not records:
                break
            if not self._write(now, records):
                return
        if self.fd is not None and (last or self.pace.turn_due(now, self.size)):
            self._end()
        elif self.fd is not None and self.pace.sync_due(now):
            self._try(now, lambda: self.store.sync(self.fd))
            self.pace.synced_at = now

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
                self.keeper.give_up(records, "disk")
            return False
        self.pace.block_at = now
        if line := self.disk.worked():
            self.say("trace", line)
        return True

    def _try(self, now: float, do: Callable[[], None]) -> bool:
        """A disk that fails costs the file at hand, which is read as a cut one."""
        try:
            do()
            return True
        except OSError as error:
            if line := self.disk.failed(now, error.strerror or type(error).__name__):
                self.say("trace", line)
            self._close()
            return False

    def _begin(self, now: float) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._retain()
        self.files += 1
        path = self.folder / f"{self.instance}-{int(now * 1000):016}-{self.files:06}{SUFFIX}"
        self.fd, self.index, self.size, self.number = self.store.open(path), [], 0, 0
        self.pace.opened(now)
        data = file_format.encode_header(
            self.facts | {"instance": self.instance, "opened": now, "unix": self.unix()}
        )
        self.store.write(self.fd, data)
        self.size = len(data)
        if self.starts:
            data = file_format.encode_block(0, self.starts)
            self.store.write(self.fd, data)
            self.index.append(
                (self.size, len(data), len(self.starts), *file_format.decode_block_header(data)[2:4])
            )
            self.size, self.number = self.size + len(data), 1

    def _retain(self) -> None:
        files = [
            Stored(path.name, path.stat().st_size, busy(path))
            for path in self.folder.glob(f"{self.instance}-*{SUFFIX}")
        ]
        for name in over(files, self.budget):
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
