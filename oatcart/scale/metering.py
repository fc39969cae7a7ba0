"""Measures the processor time of each controller where several share an event loop in one process."""

import time

from oatcart.net.loop import Coroutine, Loop, Task


class Meter:
    """A reentrant context manager that measures the processor time of the calling thread.

    `core_s` is the total in processor seconds; `longest_s` is the longest time from an outermost entry to its
    exit.
    """

    __slots__ = ("_began", "_depth", "core_s", "longest_s")

    def __init__(self) -> None:
        self.core_s = self.longest_s = self._began = 0.0
        self._depth = 0

    def __enter__(self) -> None:
        if not self._depth:
            self._began = time.thread_time()
        self._depth += 1

    def __exit__(self, *error: object) -> None:
        self._depth -= 1
        if not self._depth:
            took = time.thread_time() - self._began
            self.core_s += took
            self.longest_s = max(self.longest_s, took)


def metered(coroutine: Coroutine, meter: Meter) -> Coroutine:
    """Wraps a task so that the meter counts each of its steps."""
    ready = None
    try:
        while True:
            try:
                with meter:
                    wait = coroutine.send(ready)
            except StopIteration:
                return
            ready = yield wait
    finally:
        coroutine.close()


class MeteredLoop:
    """A controller's interface to a shared loop: meters its tasks and sets no connection limit."""

    def __init__(self, shared: Loop, meter: Meter) -> None:
        self._shared, self._meter = shared, meter
        self.clock, self.call_at, self.unregister = shared.clock, shared.call_at, shared.unregister
        self.cancel, self.expire = shared.cancel, shared.expire
        self.registered: dict[int, int] = {}  # read only by the log
        self.connections, self.connection_limit = 0, float("inf")

    @property
    def now(self) -> float:
        """The time of the shared loop's current turn, in seconds."""
        return self._shared.now

    def spawn(self, coroutine: Coroutine) -> Task:
        """Starts a task whose processor time is metered."""
        return self._shared.spawn(metered(coroutine, self._meter))
