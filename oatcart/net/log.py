"""The log: lines on standard error, with a limit per kind, so that many lines of one kind hide no other.

The reader of the log may be slow or gone: a line that cannot be written without blocking is left out.
"""

import os
import select
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TextIO

MAX_LINES_PER_PERIOD = 5  # of one kind
PERIOD_S = 10.0
MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that is writable takes this much without blocking


def _write_without_waiting(descriptor: int, line: str) -> bool:
    """Write a line if that does not block; return whether it was written. A closed pipe is not an error."""
    data = line.encode(errors="replace")[: MAX_LINE_BYTES - 1] + b"\n"
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    with suppress(OSError):
        return bool(poll.poll(0)) and os.write(descriptor, data) > 0
    return False


@dataclass(slots=True)
class _Period:
    """The lines of one kind since `began`, in seconds of the log's clock."""

    began: float
    lines: int = 0
    left_out: int = 0


class Log:
    """Writes lines as `KIND: TEXT`; those over the limit are counted, and their number is logged later.

    `clock`: seconds. `out`: None where the process was started with standard error closed.

    >>> log = Log(lambda: 3.0, sys.stdout, max_lines=1)
    >>> log.write("health", "endpoint 4 timed out"); log.write("health", "endpoint 5 timed out")
    health: endpoint 4 timed out
    """

    def __init__(
        self,
        clock: Callable[[], float],
        out: TextIO | None = sys.stderr,
        max_lines: int = MAX_LINES_PER_PERIOD,
    ) -> None:
        self.clock, self.out, self.max_lines = clock, out, max_lines
        self.periods: dict[str, _Period] = {}  # by kind

    def write(self, kind: str, text: str) -> None:
        """Log a line of a kind, unless there were too many of that kind in this period."""
        now = self.clock()
        period = self.periods.setdefault(kind, _Period(now))
        if now - period.began >= PERIOD_S:
            if period.left_out:
                self._write_line(f"{kind}: {period.left_out} more lines left out")
            period = self.periods[kind] = _Period(now)
        period.lines += 1
        if period.lines > self.max_lines or not self._write_line(f"{kind}: {text}"):
            period.left_out += 1

    def _write_line(self, line: str) -> bool:
        """Write a line without blocking; return whether it was written."""
        if self.out is None:
            return False
        try:
            descriptor = self.out.fileno()
        except (OSError, ValueError):  # a buffer in memory
            self.out.write(line + "\n")
            return True
        return _write_without_waiting(descriptor, line)
