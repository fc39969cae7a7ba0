"""The log: plain lines on standard error, so many of a kind in a span and no more."""

import sys
from collections.abc import Callable
from typing import TextIO

LINES_MOST, LINES_OVER = 5, 10.0  # lines of one kind, in so many s: a storm of one must not bury the rest


class Log:
    """
    >>> log = Log(lambda: 3.0, sys.stdout, most=1)
    >>> log.say("probe", "node 4 is silent"); log.say("probe", "node 5 is silent")
    probe: node 4 is silent
    """

    def __init__(self, clock: Callable[[], float], out: TextIO = sys.stderr, most: int = LINES_MOST) -> None:
        self.clock, self.out, self.most = clock, out, most
        self.spans: dict[str, list] = {}  # by kind: when its span began, lines said, lines left out

    def say(self, kind: str, text: str) -> None:
        now = self.clock()
        span = self.spans.setdefault(kind, [now, 0, 0])
        if now - span[0] >= LINES_OVER:
            if span[2]:
                print(f"{kind}: {span[2]} more lines left out", file=self.out, flush=True)
            span[:] = now, 0, 0
        span[1] += 1
        if span[1] > self.most:
            span[2] += 1
        else:
            print(f"{kind}: {text}", file=self.out, flush=True)
