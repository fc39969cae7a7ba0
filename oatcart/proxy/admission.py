"""What is let in: a share or a rate by request kind; who is turned away hears so at once. Free of I/O and
clock.
"""

from collections.abc import Callable
from typing import NamedTuple

STATUS_OVERLOADED, STATUS_RATE_LIMITED = 503, 429  # statuses: a share is a sign of load, a rate is a limit
RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS = 1, 30  # s, whole ones as the header has them
BURST_SECONDS = 1.0  # s of a rate that may come at once


class Rejection(NamedTuple):
    """Turned away: the status and the seconds after which to come back."""

    status: int
    retry_after: int


class AdmissionControl:
    """`uniform(a, b)` is the seeded chance, for shares and for spreading returns."""

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self.uniform = uniform
        # by kind: reqs that may come now, and when that was
        self.buckets: dict[str, tuple[float, float]] = {}

    def check_share(self, admitted_share: float) -> Rejection | None:
        if admitted_share >= 1.0 or self.uniform(0.0, 1.0) < admitted_share:
            return None
        # the less is let in, the longer the way back, and not all at once
        return Rejection(
            STATUS_OVERLOADED,
            self._spread_retry_after(
                RETRY_AFTER_MIN_SECONDS
                / max(admitted_share, RETRY_AFTER_MIN_SECONDS / RETRY_AFTER_MAX_SECONDS)
            ),
        )

    def check_rate(self, now: float, request_class: str, rate: float) -> Rejection | None:
        tokens, refilled_at = self.buckets.get(request_class, (max(1.0, rate * BURST_SECONDS), now))
        tokens = min(max(1.0, rate * BURST_SECONDS), tokens + max(0.0, now - refilled_at) * rate)
        if tokens < 1.0:
            self.buckets[request_class] = tokens, now
            return Rejection(
                STATUS_RATE_LIMITED,
                self._spread_retry_after((1.0 - tokens) / rate if rate > 0 else RETRY_AFTER_MAX_SECONDS),
            )
        self.buckets[request_class] = tokens - 1.0, now
        return None

    def _spread_retry_after(self, seconds: float) -> int:
        return round(
            min(RETRY_AFTER_MAX_SECONDS, max(RETRY_AFTER_MIN_SECONDS, seconds * self.uniform(1.0, 1.5)))
        )
