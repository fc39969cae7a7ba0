"""Signal handling that cannot lose an interrupt: a signal raises Interrupted at once, and is recorded.

Python ignores exceptions that a signal handler raises within a hook that runs after a fork, such as that of
`logging`. A signal that arrives while a process is started would be lost there, so the recorded signal can be
raised again later.
"""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from oatcart.scale.children import Interrupted


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


@contextmanager
def recorded_interrupts() -> Iterator[InterruptRecord]:
    """Records SIGINT and SIGTERM and raises Interrupted for them within the block.

    Does nothing outside the main thread, as only that can handle signals.
    """
    record = InterruptRecord()
    if threading.current_thread() is not threading.main_thread():
        yield record
        return
    before = {number: signal.signal(number, record.handle) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield record
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
