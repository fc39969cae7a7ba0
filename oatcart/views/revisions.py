"""Revisions of views: numbers that grow, and that two control roles do not share.

A conductor says which revision it holds. One that it got from another control role, or from this one's former
life, must not be taken for one of ours: what has changed since could not be told. So a revision is the Unix
time in seconds, shifted, plus a chance part, and a history answers changes for the exact revisions that it
has issued, the whole list for all others.
"""

from collections.abc import Callable
from random import Random

SECOND = 4096  # revisions of a second; with Unix time up to the year 2047 below what a conductor reads (1e13)
STRIDE_MOST = 64  # between two revisions of one second


class Revisions:
    """`unix`: the time in seconds; `chance`: not seeded but in tests."""

    def __init__(self, unix: Callable[[], float], chance: Random) -> None:
        self.unix, self.chance, self.last = unix, chance, 0

    def next(self) -> int:
        """A revision above all earlier ones, also where the clock has stepped back."""
        by_clock = int(self.unix()) * SECOND
        self.last = max(self.last, by_clock) + self.chance.randint(1, STRIDE_MOST)
        return self.last
