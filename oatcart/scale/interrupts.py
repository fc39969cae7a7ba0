"""Interrupts that cannot get lost: one is raised where it comes, and noted to be raised again.

Python ignores what a signal's handler raises within a hook that runs after a fork, such as that of `logging`;
a signal that comes while a process is started would be lost there.
"""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from oatcart.scale.children import Interrupted


class InterruptRecord:
    """The signal that came, if any."""

    def __init__(self) -> None:
        self.number: int | None = None

    def handle(self, number: int, frame: object) -> None:
        """A handler of signals; raises Interrupted."""
        self.number = number
        self.check()

    def check(self) -> None:
        """Raises Interrupted if a signal has come."""
        if self.number is not None:
            raise Interrupted(f"signal {self.number}")

    def sleep(self, seconds: float) -> None:
        """Sleeps, unless a signal has come."""
        self.check()
        time.sleep(seconds)


@contextmanager
def recorded_interrupts() -> Iterator[InterruptRecord]:
    """Within the block SIGINT and SIGTERM are noted and raise Interrupted; signals are the main thread's."""
    note = InterruptRecord()
    if threading.current_thread() is not threading.main_thread():
        yield note
        return
    before = {number: signal.signal(number, note.handle) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield note
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
