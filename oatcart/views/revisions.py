"""Revisions of views: each incarnation of a control role issues revisions from an interval of its own.

A controller's request has the revision of its list, which may come from another control role or from an
earlier incarnation of this one. The changes since such a foreign revision are not known here, so it must be
recognized. Therefore an incarnation starts at a revision drawn at random from 2^42 and counts up by one. This
does not depend on a clock, and no revision is issued twice within an incarnation. A history answers changes
for at most 501 revisions, so a given foreign revision is among them with a probability of at most 501 / 2^42,
less than 1.2e-10; two incarnations that have issued a million revisions each share one with a probability of
5e-7.

Revisions of different incarnations have no order, and none is needed: the first response of another
incarnation is a complete list, which a controller accepts regardless of its revision.
"""

from random import Random

# Leaves more than half of the range that a controller accepts (1e13): 17 years at 10,000 revisions/s.
FIRST_REVISION_RANGE = 2**42  # number of possible first revisions, from 1


class RevisionSequence:
    """The revisions of one incarnation. `random` draws the first one and must not be seeded, except in
    tests."""

    def __init__(self, random: Random) -> None:
        self._last = random.randrange(FIRST_REVISION_RANGE)

    def next(self) -> int:
        """Returns the next revision."""
        self._last += 1
        return self._last
