"""Selection of the endpoint for a request: power of two choices.

Two endpoints are drawn by weight; the one with fewer requests of this proxy in flight gets the request.
Weights are those of a routing table, in points.
"""

from bisect import bisect
from collections.abc import Callable, Collection, Mapping
from itertools import accumulate


class EndpointSelector:
    """Selects endpoints and counts the requests that this proxy has in flight at each.

    `random()` is the source of random numbers, uniform from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.in_flight: dict[str, int] = {}  # requests by endpoint; endpoints without any are left out

    def select(self, weights: Mapping[str, float], attempted: Collection[str] = ()) -> str | None:
        """Return the endpoint for an attempt; None if the table has none.

        Endpoints already attempted are avoided while there are others, as a retry at the endpoint that just
        failed is the least likely to succeed.
        """
        candidates = {name: weight for name, weight in weights.items() if name not in attempted} or weights
        if not candidates:
            return None
        first = self._draw(candidates)
        others = {name: weight for name, weight in candidates.items() if name != first}
        if not others:
            return first
        second = self._draw(others)
        return second if self.in_flight.get(second, 0) < self.in_flight.get(first, 0) else first

    def _draw(self, weights: Mapping[str, float]) -> str:
        """Return one endpoint, with a probability in proportion to its weight."""
        endpoints = list(weights)
        cumulative = list(accumulate(weights.values()))
        index = bisect(cumulative, self._random() * cumulative[-1])
        return endpoints[min(index, len(endpoints) - 1)]

    def attempt_started(self, endpoint: str) -> None:
        """Count one more request in flight at an endpoint."""
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def attempt_ended(self, endpoint: str) -> None:
        """Count one request less in flight at an endpoint; no effect if none is counted."""
        remaining = self.in_flight.get(endpoint, 0) - 1
        if remaining > 0:
            self.in_flight[endpoint] = remaining
        else:
            self.in_flight.pop(endpoint, None)


def selection_probabilities(weights: Mapping[str, float]) -> dict[str, float]:
    """Return the probability of each endpoint if all have equally many requests in flight.

    Then the first of the two drawn is selected.

    >>> selection_probabilities({"a": 1.0, "b": 3.0})
    {'a': 0.25, 'b': 0.75}
    """
    total = sum(weights.values())
    return {endpoint: weight / total for endpoint, weight in weights.items()}


def idle_selection_probability(weights: Mapping[str, float], idle: str) -> float:
    """Return the probability of the only idle endpoint: it is drawn first, or second after another.

    >>> round(idle_selection_probability({"a": 1.0, "b": 1.0, "c": 2.0}, "a"), 4)
    0.5833
    """
    total = sum(weights.values())
    idle_weight = weights[idle]
    drawn_second = (
        weight / total * idle_weight / (total - weight)
        for endpoint, weight in weights.items()
        if endpoint != idle
    )
    return idle_weight / total + sum(drawn_second)
