"""Admission control of a proxy: quotas as a share of requests or as a rate.

A rejected request is answered at once, with a Retry-After that is longer the less is admitted, and random
within a range, so that rejected clients do not return together.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

RETRY_AFTER_MIN_SECONDS = 1
RETRY_AFTER_MAX_SECONDS = 30
RETRY_AFTER_SPREAD = 1.5  # the longest Retry-After as a multiple of the shortest
BURST_SECONDS = 1.0  # a token bucket holds what its rate admits in this time


class Rejection(NamedTuple):
    """Answer to a request that is not admitted."""

    status: (
        HTTPStatus  # 503 where a share is admitted, as that is a sign of load; 429 where a rate is exceeded
    )
    retry_after: int  # whole seconds, as in the header


@dataclass(slots=True)
class TokenBucket:
    """The requests of one class that may be admitted without waiting."""

    tokens: float  # requests
    refilled_at: float  # s of the caller's clock

    def refill(self, now: float, rate: float) -> None:
        """Add what `rate` (requests/s) admits in the time since the last refill, up to the bucket's size."""
        refilled = self.tokens + max(0.0, now - self.refilled_at) * rate
        self.tokens = min(bucket_size(rate), refilled)
        self.refilled_at = now


def bucket_size(rate: float) -> float:
    """Return the requests that a rate (requests/s) admits at once: at least one."""
    return max(1.0, rate * BURST_SECONDS)


class AdmissionControl:
    """Admits or rejects requests by the quota of their class.

    `uniform(a, b)` is the source of random numbers, for shares and for the spread of Retry-After.
    """

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self._uniform = uniform
        self._buckets: dict[str, TokenBucket] = {}  # by request class

    def check_share(self, admitted_share: float) -> Rejection | None:
        """Admit a request with the probability `admitted_share` (0 to 1); return None if it is admitted."""
        if admitted_share >= 1.0 or self._uniform(0.0, 1.0) < admitted_share:
            return None
        smallest_share = RETRY_AFTER_MIN_SECONDS / RETRY_AFTER_MAX_SECONDS
        shortest_wait = RETRY_AFTER_MIN_SECONDS / max(admitted_share, smallest_share)
        return Rejection(HTTPStatus.SERVICE_UNAVAILABLE, self._retry_after(shortest_wait))

    def check_rate(self, now: float, request_class: str, rate: float) -> Rejection | None:
        """Admit a request of a class up to `rate` (requests/s); return None if it is admitted."""
        bucket = self._buckets.setdefault(request_class, TokenBucket(bucket_size(rate), now))
        bucket.refill(now, rate)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        until_next_token = (1.0 - bucket.tokens) / rate if rate > 0 else RETRY_AFTER_MAX_SECONDS
        return Rejection(HTTPStatus.TOO_MANY_REQUESTS, self._retry_after(until_next_token))

    def _retry_after(self, shortest_wait: float) -> int:
        """Return Retry-After in whole seconds: a wait (s) times 1 to the spread, within the bounds."""
        wait = shortest_wait * self._uniform(1.0, RETRY_AFTER_SPREAD)
        return round(min(RETRY_AFTER_MAX_SECONDS, max(RETRY_AFTER_MIN_SECONDS, wait)))
