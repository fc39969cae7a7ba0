"""Child processes of a measured run, which their parent controls through pipes.

A child reads commands as JSON lines from its standard input and answers each with one JSON line. It ends
when its input ends, so it outlives neither its parent nor an interrupted run. Each role of the run is a
process of its own, so that its processor time and memory can be read from /proc.
"""

import asyncio
import ctypes
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from types import TracebackType

import orjson

from oatcart.errors import OatcartError
from oatcart.scale.interrupts import Interrupted, check_interrupted

ANSWER_TIMEOUT_S = 60.0  # for one command; the slowest one sets up thousands of endpoints
TERMINATE_TIMEOUT_S = 3.0  # between SIGTERM and SIGKILL
MAX_ERROR_TEXT_LENGTH = 2000  # characters of a child's standard error in an error message
MEGABYTE = 1e6
NANOSECONDS = 1e9  # in a second
_USER_TICKS, _SYSTEM_TICKS = 11, 12  # indexes of the fields that follow the program's name in /proc/PID/stat
_SET_PARENT_DEATH_SIGNAL = 1  # prctl's PR_SET_PDEATHSIG
_LIBC = ctypes.CDLL(None, use_errno=True)


class ChildError(OatcartError):
    """Raised when a child process ended early, answered with an error or did not answer in time."""


def core_seconds(pid: int) -> float:
    """Returns the processor seconds that a process has used; raises OSError when it has ended.

    The scheduler counts in nanoseconds, but only for threads that still run. The count of the process
    includes ended threads, in ticks of a hundredth of a second. The larger count is returned.
    """
    live_threads_s = sum(_thread_core_ns(path) for path in Path(f"/proc/{pid}/task").iterdir()) / NANOSECONDS
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return max(live_threads_s, ticks / os.sysconf("SC_CLK_TCK"))


def _thread_core_ns(task: Path) -> int:
    try:
        return int((task / "schedstat").read_text().split()[0])
    except (FileNotFoundError, ProcessLookupError):
        return 0  # the thread has just ended


def resident_megabytes(pid: int) -> float:
    """Returns the resident memory of a process in megabytes (10^6 bytes); raises OSError if it has ended."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def end_with_parent() -> None:
    """Makes the kernel send SIGTERM to this process when its parent dies, for whatever reason.

    A new process calls it before it executes its program.
    """
    _LIBC.prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGTERM)


class ChildProcess:
    """A process that is ended when its `with` block is left.

    Its standard error goes to a temporary file, because a pipe that is not read would fill up and block it.
    """

    def __init__(
        self, command: Sequence[str], environment: Mapping[str, str] | None = None, pipes: bool = False
    ) -> None:
        self.started_at = time.monotonic()
        self.errors = tempfile.TemporaryFile()  # noqa: SIM115 - closed by `end`
        pipe = subprocess.PIPE if pipes else subprocess.DEVNULL
        self.process = subprocess.Popen(
            command,
            stdin=pipe,
            stdout=pipe,
            stderr=self.errors,
            preexec_fn=end_with_parent,
            start_new_session=True,
            env={**os.environ, **(environment or {})},
        )
        try:
            check_interrupted()
        except Interrupted:
            self.end()
            raise

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.poll() is None

    def error_text(self) -> str:
        """Returns what the process has written to its standard error so far."""
        with open(f"/proc/self/fd/{self.errors.fileno()}", "rb") as file:  # it has its own file offset
            return file.read().decode(errors="replace")

    def core_seconds(self) -> float:
        """Returns the processor seconds used since its start; raises OSError once it has ended."""
        return core_seconds(self.pid)

    def resident_megabytes(self) -> float:
        """Returns the resident memory in megabytes (10^6 bytes); raises OSError once it has ended."""
        return resident_megabytes(self.pid)

    def end(self) -> None:
        """Ends the process with SIGTERM, then with SIGKILL; a second call does nothing."""
        if self.running:
            self.process.terminate()
            try:
                self.process.wait(TERMINATE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
        self.process.wait()
        for pipe in self.process.stdin, self.process.stdout:
            if pipe is not None:
                with suppress(BrokenPipeError):  # the child died with a command unread
                    pipe.close()
        self.errors.close()

    def __enter__(self) -> "ChildProcess":
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.end()


class Child(ChildProcess):
    """A process that runs a module of this package and answers commands."""

    def __init__(self, module: str, *arguments: str) -> None:
        super().__init__([sys.executable, "-m", module, *arguments], pipes=True)
        self.module = module
        self._unread = bytearray()

    def ask(self, command: str, **fields: object) -> dict:
        """Sends a command and returns its answer; raises ChildError."""
        self.send(command, **fields)
        return self.receive()

    def send(self, command: str, **fields: object) -> None:
        """Sends a command, whose answer `receive` returns; raises ChildError."""
        try:
            self.process.stdin.write(orjson.dumps({"command": command, **fields}) + b"\n")
            self.process.stdin.flush()
        except BrokenPipeError:
            raise self._child_error("has ended") from None

    def receive(self, timeout_s: float = ANSWER_TIMEOUT_S) -> dict:
        """Returns the oldest unread answer; raises ChildError."""
        deadline = time.monotonic() + timeout_s
        descriptor = self.process.stdout.fileno()
        while b"\n" not in self._unread:
            ready, _, _ = select.select([descriptor], [], [], max(0.0, deadline - time.monotonic()))
            if not ready:
                raise self._child_error(f"did not answer within {timeout_s:.0f} s")
            received = os.read(descriptor, 1 << 20)
            if not received:
                raise self._child_error("has ended")
            self._unread += received
        line, _, rest = self._unread.partition(b"\n")
        self._unread = bytearray(rest)
        answer = orjson.loads(line)
        if "error" in answer:
            raise self._child_error(answer["error"])
        return answer

    def _child_error(self, problem: str) -> ChildError:
        return ChildError(f"{self.module} {problem}\n{self.error_text()[-MAX_ERROR_TEXT_LENGTH:]}")


Commands = Mapping[str, Callable[..., dict | None]]


def answer(line: bytes, commands: Commands) -> bytes:
    """In a child: runs one command and returns its encoded answer; an exception becomes an error answer."""
    try:
        fields = orjson.loads(line)
        result = commands[fields.pop("command")](**fields)
        return orjson.dumps(result or {}, default=tuple) + b"\n"  # encodes a NamedTuple as an array
    except Exception as error:
        return orjson.dumps({"error": repr(error)}) + b"\n"


class CommandReader:
    """In a child: answers the commands that arrive on standard input."""

    def __init__(self, commands: Commands) -> None:
        self.commands = commands
        self._unread = bytearray()

    def read(self) -> bool:
        """Answers the commands that have arrived; returns False at the end of the input."""
        received = os.read(sys.stdin.fileno(), 1 << 20)
        self._unread += received
        while b"\n" in self._unread:
            line, _, rest = self._unread.partition(b"\n")
            self._unread = bytearray(rest)
            write_all(sys.stdout.fileno(), answer(bytes(line), self.commands))
        return bool(received)


async def answer_commands(commands: Commands) -> None:
    """In a child that uses asyncio: answers commands until the end of its input."""
    ended = asyncio.Event()
    reader = CommandReader(commands)

    def read_commands() -> None:
        if not reader.read():
            ended.set()

    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), read_commands)
    await ended.wait()


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all of the data to a blocking descriptor."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def own_usage() -> dict:
    """In a child: returns the processor seconds and resident megabytes of this process."""
    return {"core_s": core_seconds(os.getpid()), "resident_mb": resident_megabytes(os.getpid())}


def ignore_interrupts() -> None:
    """In a child: ignores SIGINT, as the parent reads the last figures before it ends the child."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
