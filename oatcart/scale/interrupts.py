"""Signal handling that cannot lose an interrupt: a signal raises Interrupted at once, and is recorded.

Python ignores exceptions that a signal handler raises within a hook that runs after a fork, such as that of
`logging`, and within a finalizer. A signal that arrives there would be lost, so a recorded signal is raised
again once a process was started, and before each sleep of a run.
"""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager


class Interrupted(BaseException):
    """Raised when SIGINT or SIGTERM arrives during a run.

    Like KeyboardInterrupt it is not an Exception, so that only clean-up code handles it.
    """


class InterruptRecord:
    """Records the last signal received, if any."""

    def __init__(self) -> None:
        self.number: int | None = None

    def handle(self, number: int, frame: object) -> None:
        """Handles a signal: records it and raises Interrupted."""
        self.number = number
        self.check()

    def check(self) -> None:
        """Raises Interrupted if a signal has been received."""
        if self.number is not None:
            raise Interrupted(f"signal {self.number}")

    def sleep(self, seconds: float) -> None:
        """Sleeps; raises Interrupted instead if a signal has been received."""
        self.check()
        time.sleep(seconds)


_current = InterruptRecord()  # of the block of `recorded_interrupts` that runs, if any


def check_interrupted() -> None:
    """Raises Interrupted if a signal has been received in the block of `recorded_interrupts` that runs."""
    _current.check()


def sleep(seconds: float) -> None:
    """Sleeps; raises Interrupted instead if a signal has been received, as `check_interrupted` does."""
    _current.sleep(seconds)


@contextmanager
def recorded_interrupts() -> Iterator[InterruptRecord]:
    """Records SIGINT and SIGTERM and raises Interrupted for them within the block.

    Does nothing outside the main thread, as only that can handle signals.
    """
    global _current
    record = InterruptRecord()
    if threading.current_thread() is not threading.main_thread():
        yield record
        return
    handlers = {number: signal.signal(number, record.handle) for number in (signal.SIGINT, signal.SIGTERM)}
    outer, _current = _current, record
    try:
        yield record
    finally:
        _current = outer
        for number, handler in handlers.items():
            signal.signal(number, handler)
