"""Which node gets a req: of two drawn by weight, the one with less of this proxy's own work out. No I/O."""

from bisect import bisect
from collections.abc import Callable, Collection, Mapping
from itertools import accumulate


class EndpointSelector:
    """`uniform()` is the seeded chance, from 0 up to 1. `busy`: reqs of this proxy at each node."""

    def __init__(self, random: Callable[[], float]) -> None:
        self.random = random
        self.in_flight: dict[str, int] = {}

    def select(self, weights: Mapping[str, float], attempted: Collection[str] = ()) -> str | None:
        """A node of these lines; None where there is none. Nodes already tried are left out while there are
        others: a second try at the node that just failed is worth least, and better than none where the
        caller asks for it."""
        not_attempted = {
            endpoint: weight for endpoint, weight in weights.items() if endpoint not in attempted
        }
        weights = not_attempted or weights
        if not weights:
            return None
        first = self._draw(weights)
        second = (
            self._draw({endpoint: weight for endpoint, weight in weights.items() if endpoint != first})
            if len(weights) > 1
            else first
        )
        return second if self.in_flight.get(second, 0) < self.in_flight.get(first, 0) else first

    def _draw(self, weights: Mapping[str, float]) -> str:
        endpoints, cumulative = list(weights), list(accumulate(weights.values()))
        return endpoints[min(bisect(cumulative, self.random() * cumulative[-1]), len(endpoints) - 1)]

    def request_started(self, endpoint: str) -> None:
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def request_ended(self, endpoint: str) -> None:
        left = self.in_flight.get(endpoint, 0) - 1
        if left > 0:
            self.in_flight[endpoint] = left
        else:
            self.in_flight.pop(endpoint, None)


def selection_probabilities(weights: Mapping[str, float]) -> dict[str, float]:
    """How often each node is picked where all are equally busy: it is the first of the two drawn.

    >>> selection_probabilities({"a": 1.0, "b": 3.0})
    {'a': 0.25, 'b': 0.75}
    """
    total = sum(weights.values())
    return {endpoint: weight / total for endpoint, weight in weights.items()}


def idle_selection_probability(weights: Mapping[str, float], idle: str) -> float:
    """How often one idle node is picked where all others are busy: it is drawn first, or second after
    another.

    >>> round(idle_selection_probability({"a": 1.0, "b": 1.0, "c": 2.0}, "a"), 4)
    0.5833
    """
    total, idle_weight = sum(weights.values()), weights[idle]
    return idle_weight / total + sum(
        weight / total * idle_weight / (total - weight)
        for endpoint, weight in weights.items()
        if endpoint != idle
    )
