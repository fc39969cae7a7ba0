"""Waits between attempts to connect: exponential backoff, capped and jittered. Free of I/O and clock."""

from collections.abc import Callable

FIRST_WAIT = 0.25  # s
GROWTH = 2.0  # factor from one wait to the next
JITTER = 0.25  # part of a wait, up or down, so that controllers do not connect at the same time


class Backoff:
    """The next wait after each failure. `max_wait`: s; `uniform` draws a number between two bounds."""

    def __init__(self, max_wait: float, uniform: Callable[[float, float], float]) -> None:
        self.max_wait = max_wait
        self.uniform = uniform
        self.wait = FIRST_WAIT  # s, before jitter

    def next(self) -> float:
        """The wait after a failure, s."""
        wait = self.wait
        self.wait = min(self.max_wait, wait * GROWTH)
        jittered = wait * self.uniform(1.0 - JITTER, 1.0 + JITTER)
        return min(self.max_wait, jittered)

    def answered(self) -> None:
        """The server has answered: the next failure waits as the first did."""
        self.wait = FIRST_WAIT
