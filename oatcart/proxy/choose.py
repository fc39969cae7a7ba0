"""Which node gets a req: of two drawn by weight, the one with less of this proxy's own work out. No I/O."""

from bisect import bisect
from collections.abc import Callable, Collection, Mapping
from itertools import accumulate


class Chooser:
    """`uniform()` is the seeded chance, from 0 up to 1. `busy`: reqs of this proxy at each node."""

    def __init__(self, uniform: Callable[[], float]) -> None:
        self.uniform = uniform
        self.busy: dict[str, int] = {}

    def choose(self, lines: Mapping[str, float], tried: Collection[str] = ()) -> str | None:
        """A node of these lines; None where there is none. Nodes already tried are left out while there are
        others: a second try at the node that just failed is worth least, and better than none where the
        caller asks for it."""
        fresh = {node: weight for node, weight in lines.items() if node not in tried}
        lines = fresh or lines
        if not lines:
            return None
        first = self._draw(lines)
        second = (
            self._draw({node: weight for node, weight in lines.items() if node != first})
            if len(lines) > 1
            else first
        )
        return second if self.busy.get(second, 0) < self.busy.get(first, 0) else first

    def _draw(self, lines: Mapping[str, float]) -> str:
        nodes, sums = list(lines), list(accumulate(lines.values()))
        return nodes[min(bisect(sums, self.uniform() * sums[-1]), len(nodes) - 1)]

    def began(self, node: str) -> None:
        self.busy[node] = self.busy.get(node, 0) + 1

    def ended(self, node: str) -> None:
        left = self.busy.get(node, 0) - 1
        if left > 0:
            self.busy[node] = left
        else:
            self.busy.pop(node, None)


def odds(lines: Mapping[str, float]) -> dict[str, float]:
    """How often each node is picked where all are equally busy: it is the first of the two drawn.

    >>> odds({"a": 1.0, "b": 3.0})
    {'a': 0.25, 'b': 0.75}
    """
    whole = sum(lines.values())
    return {node: weight / whole for node, weight in lines.items()}


def odds_idle(lines: Mapping[str, float], idle: str) -> float:
    """How often one idle node is picked where all others are busy: it is drawn first, or second after
    another.

    >>> round(odds_idle({"a": 1.0, "b": 1.0, "c": 2.0}, "a"), 4)
    0.5833
    """
    whole, mine = sum(lines.values()), lines[idle]
    return mine / whole + sum(
        weight / whole * mine / (whole - weight) for node, weight in lines.items() if node != idle
    )
