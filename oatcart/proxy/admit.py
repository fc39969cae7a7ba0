"""What is let in: a share or a rate by request kind; who is turned away hears so at once. Free of I/O and
clock.
"""

from collections.abc import Callable
from typing import NamedTuple

OVERLOADED, TOO_MANY = 503, 429  # statuses: a share is a sign of load, a rate is a limit
RETRY_LEAST, RETRY_MOST = 1, 30  # s, whole ones as the header has them
BURST = 1.0  # s of a rate that may come at once


class Denied(NamedTuple):
    """Turned away: the status and the seconds after which to come back."""

    status: int
    retry_after: int


class Admission:
    """`uniform(a, b)` is the seeded chance, for shares and for spreading returns."""

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self.uniform = uniform
        # by kind: reqs that may come now, and when that was
        self.buckets: dict[str, tuple[float, float]] = {}

    def by_share(self, level: float) -> Denied | None:
        if level >= 1.0 or self.uniform(0.0, 1.0) < level:
            return None
        # the less is let in, the longer the way back, and not all at once
        return Denied(OVERLOADED, self._after(RETRY_LEAST / max(level, RETRY_LEAST / RETRY_MOST)))

    def by_rate(self, now: float, kind: str, rate: float) -> Denied | None:
        left, at = self.buckets.get(kind, (max(1.0, rate * BURST), now))
        left = min(max(1.0, rate * BURST), left + max(0.0, now - at) * rate)
        if left < 1.0:
            self.buckets[kind] = left, now
            return Denied(TOO_MANY, self._after((1.0 - left) / rate if rate > 0 else RETRY_MOST))
        self.buckets[kind] = left - 1.0, now
        return None

    def _after(self, seconds: float) -> int:
        return round(min(RETRY_MOST, max(RETRY_LEAST, seconds * self.uniform(1.0, 1.5))))
