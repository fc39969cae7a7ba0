"""The log: plain lines on standard error, so many of a kind in a span and no more.

Whoever reads the log may stop or be gone: a line that cannot be written at once is left out.
"""

import os
import select
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import TextIO

LINES_MOST, LINES_OVER = 5, 10.0  # lines of one kind, in so many s: a storm of one must not bury the rest
LINE_BYTES_MOST = select.PIPE_BUF  # a pipe with any room takes so much without waiting


def _write_at_once(descriptor: int, line: str) -> bool:
    """Whether it was written; never waits, and a reader that is gone is no error."""
    data = line.encode(errors="replace")[: LINE_BYTES_MOST - 1] + b"\n"
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    with suppress(OSError):
        return bool(poll.poll(0)) and os.write(descriptor, data) > 0
    return False


class Log:
    """
    >>> log = Log(lambda: 3.0, sys.stdout, most=1)
    >>> log.say("probe", "node 4 is silent"); log.say("probe", "node 5 is silent")
    probe: node 4 is silent
    """

    def __init__(
        self, clock: Callable[[], float], out: TextIO | None = sys.stderr, most: int = LINES_MOST
    ) -> None:
        self.clock, self.out, self.most = clock, out, most
        self.spans: dict[str, list] = {}  # by kind: when its span began, lines said, lines left out

    def say(self, kind: str, text: str) -> None:
        now = self.clock()
        span = self.spans.setdefault(kind, [now, 0, 0])
        if now - span[0] >= LINES_OVER:
            if span[2]:
                self._write(f"{kind}: {span[2]} more lines left out")
            span[:] = now, 0, 0
        span[1] += 1
        if span[1] > self.most or not self._write(f"{kind}: {text}"):
            span[2] += 1

    def _write(self, line: str) -> bool:
        """Whether the line went out."""
        if self.out is None:  # started with standard error closed
            return False
        try:
            descriptor = self.out.fileno()
        except (OSError, ValueError):  # kept in memory
            self.out.write(line + "\n")
            return True
        return _write_at_once(descriptor, line)
