"""Revisions of views: each incarnation of a publisher issues an interval of its own, so a revision tells who
issued it.

A controller names the revision that it holds. It may have it from another control role, or from an earlier
incarnation of this one, and what has changed since such a revision is not known here. So an incarnation
begins at a revision drawn once from 2^42 and counts up by one: no clock enters, and within an incarnation no
revision is issued twice. A history answers changes for at most 501 revisions, so a given foreign revision is
among them with a probability of at most 501 / 2^42, less than 1.2e-10; two incarnations that have issued a
million revisions each share one with a probability of 5e-7.

Revisions of different incarnations have no order. A reader needs none: the first answer of another issuer is
a complete list, which a controller accepts whatever its revision.
"""

from random import Random

# More than half of what a controller reads (1e13) is left to count in: 17 years at 10,000 revisions/s.
FIRST_REVISION_RANGE = 2**42  # revisions that an incarnation may begin with, from 1 on


class RevisionSequence:
    """The revisions of one incarnation. `random` draws the first one; not seeded except in tests."""

    def __init__(self, random: Random) -> None:
        self._last = random.randrange(FIRST_REVISION_RANGE)

    def next(self) -> int:
        """Issues a revision, one above the last."""
        self._last += 1
        return self._last
