"""Retries of failed requests by a proxy.

A request that may have taken effect is retried only if that is safe. An attempt was certainly not processed
if no byte of the request was handed to its connection, no connection was made, or the endpoint answered that
it did not start. A reset after the first byte proves nothing.

Times are seconds of the caller's clock.
"""

from dataclasses import dataclass
from typing import NamedTuple

from oatcart.errors import CloseReason
from oatcart.model import Idempotency, RetryPolicy

REASONS_WITHOUT_CONNECTION = frozenset(
    {CloseReason.REFUSED, CloseReason.UNREACHABLE, CloseReason.OUT_OF_RESOURCES}
)
RETRY_BUDGET_RATIO = 0.2  # retries for each first attempt
RETRY_BUDGET_MIN = 3.0  # retries within the window that are always permitted
RETRY_BUDGET_WINDOW_SECONDS = 10.0  # over which retries and first attempts are counted
MIN_TIME_LEFT = 1.5  # until the deadline, as a multiple of the usual duration of an attempt
MAX_RETRIES = {
    RetryPolicy.NEVER: 0,
    RetryPolicy.IF_NOT_PROCESSED: 1,
    RetryPolicy.ON_FAILURE: 1,
    RetryPolicy.TWICE_ON_FAILURE: 2,
}


class FailedAttempt(NamedTuple):
    """A failed attempt and how it ended."""

    reason: CloseReason  # of its connection
    bytes_sent: int  # of the request, handed to the connection
    not_started: bool = False  # the endpoint answered so: 503 with the header for it
    response_bytes: int = 0  # received before it failed
    deduplication_group: str = ""  # of its endpoint; "" if that is in none


@dataclass(slots=True)
class Request:
    """A request with the limits on its retries."""

    idempotency: Idempotency
    started_at: float
    deadline: float
    key_lifetime: float = 0.0  # s from its first attempt that endpoints keep its idempotency key; 0: no key
    attempts: int = 0


class RetryDecision(NamedTuple):
    """Whether to retry; `deduplication_group`: the group that it has to go to, "" for any endpoint."""

    retry: bool
    deduplication_group: str = ""


NO_RETRY = RetryDecision(False)


def never_processed(failed: FailedAttempt) -> bool:
    """Return whether the endpoint certainly processed nothing of an attempt.

    >>> never_processed(FailedAttempt(CloseReason.REFUSED, 0))
    True
    >>> never_processed(FailedAttempt(CloseReason.RESET_BY_PEER, 0))
    True
    >>> never_processed(FailedAttempt(CloseReason.RESET_BY_PEER, 1))
    False
    """
    if failed.not_started:
        return True
    if failed.response_bytes:
        return False
    return failed.reason in REASONS_WITHOUT_CONNECTION or failed.bytes_sent == 0


class RetryBudget:
    """Limits retries to a ratio of first attempts, so that they do not add to the overload that causes them.

    `ratio`: retries for each first attempt; `minimum`: retries that are always permitted. Both counts decay
    over RETRY_BUDGET_WINDOW_SECONDS.
    """

    def __init__(self, ratio: float = RETRY_BUDGET_RATIO, minimum: float = RETRY_BUDGET_MIN) -> None:
        self._ratio = ratio
        self._minimum = minimum
        self._first_attempts = 0.0
        self._retries = 0.0
        self._decayed_at = 0.0  # s

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._decay(now)
        self._first_attempts += 1.0

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True, or return False if the budget is spent."""
        self._decay(now)
        if self._retries + 1.0 > max(self._minimum, self._ratio * self._first_attempts):
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._decayed_at)
        kept = max(0.0, 1.0 - elapsed / RETRY_BUDGET_WINDOW_SECONDS)
        self._first_attempts *= kept
        self._retries *= kept
        self._decayed_at = now


def retry_permitted(request: Request, failed: FailedAttempt, policy: RetryPolicy) -> bool:
    """Return whether the table's retry policy and the request's idempotency permit a retry.

    Remaining time and budget are not checked here. No retry is permitted after bytes of a response.
    """
    if request.attempts > MAX_RETRIES[policy] or failed.response_bytes:
        return False
    if never_processed(failed):
        return policy != RetryPolicy.NEVER
    if request.idempotency == Idempotency.NOT_IDEMPOTENT:
        return False
    return policy in (RetryPolicy.ON_FAILURE, RetryPolicy.TWICE_ON_FAILURE)


def decide_retry(
    now: float,
    request: Request,
    failed: FailedAttempt,
    policy: RetryPolicy,
    usual_duration: float,
    budget: RetryBudget,
) -> RetryDecision:
    """Decide whether to retry after `failed`, the last attempt; a retry is taken from the budget.

    `usual_duration`: s that an attempt takes. If a keyed request may have been processed, its retry goes to
    the endpoints that keep its idempotency key, and has to end before they drop it.
    """
    if not retry_permitted(request, failed, policy):
        return NO_RETRY
    if request.deadline - now < MIN_TIME_LEFT * usual_duration:
        return NO_RETRY
    group = ""
    if request.idempotency == Idempotency.KEYED and not never_processed(failed):
        group = failed.deduplication_group
        if not group or not _key_is_kept_until_end(request, now, usual_duration):
            return NO_RETRY
    return RetryDecision(budget.try_spend(now), group)


def _key_is_kept_until_end(request: Request, now: float, duration: float) -> bool:
    """Return whether endpoints still keep the request's key after an attempt of `duration` (s)."""
    return now + duration - request.started_at < request.key_lifetime
