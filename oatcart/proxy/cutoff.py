"""What a proxy without a conductor may still do on the table it has. Free of I/O and clock.

Lines stay good for long, as nodes change seldom; what the table says of load does not. So it goes on serving,
lets nobody back in whom it was told to shut out, opens its level to what it knows of itself, and takes its
own evidence for a node that refuses. What ends it is the grace: past it, a node that refuses is left out
until it answers a probe of its own.
"""

from dataclasses import dataclass, field

REFUSALS = 3  # in a row, of connections: a node that is gone refuses all of them
BACK_AFTER, BACK_MOST = 2.0, 30.0  # s; waits until such a node is tried again, doubled each time


@dataclass(slots=True)
class Doubt:
    refused: int = 0
    until: float = 0.0
    wait: float = BACK_AFTER


@dataclass(slots=True)
class CutOff:
    """`level_good_for`: s after which a level below 1 is no longer believed, as nobody would lift it."""

    level_good_for: float
    since: float | None = None  # when the last stream was lost; None: a conductor is there
    doubts: dict[str, Doubt] = field(default_factory=dict)

    def lost(self, now: float) -> None:
        if self.since is None:
            self.since = now

    def found(self) -> None:
        """A conductor has told of its table: its word replaces our doubts."""
        self.since = None
        self.doubts.clear()

    def refused(self, now: float, node: str) -> None:
        doubt = self.doubts.setdefault(node, Doubt())
        doubt.refused += 1
        if self.since is not None and doubt.refused >= REFUSALS and now >= doubt.until:
            doubt.until, doubt.wait = now + doubt.wait, min(BACK_MOST, doubt.wait * 2)

    def answered(self, node: str) -> None:
        self.doubts.pop(node, None)

    def lines(self, now: float, lines: dict[str, float]) -> dict[str, float]:
        """The lines that may be used now; where all are in doubt, all of them: some may be back, and none is
        better.
        """
        if self.since is None:
            return lines
        kept = {
            node: weight
            for node, weight in lines.items()
            if node not in self.doubts or now >= self.doubts[node].until
        }
        return kept or lines

    def level(self, now: float, level: float, usual: float) -> float:
        """The level in force: as told while a conductor is there and for a while after, then slowly open to
        `usual`.
        """
        if self.since is None or now - self.since <= self.level_good_for:
            return level
        over = (now - self.since - self.level_good_for) / self.level_good_for
        return min(usual, level + (usual - level) * min(1.0, over)) if level < usual else level
