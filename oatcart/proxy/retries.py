"""Whether a req that failed is tried again. Free of I/O and clock.

A req whose effect may have taken place runs again only where that does no harm. Proof that the first try
never ran is decided from how its connection ended and what had been sent on it: nothing of the req left this
process, or the node said in so many words that it did not begin. A reset after the first byte proves nothing.
"""

from dataclasses import dataclass
from typing import NamedTuple

from oatcart import interface as our
from oatcart.net.ending import Ending

ENDINGS_WITHOUT_CONNECTION = (
    Ending.REFUSED,
    Ending.UNREACHED,
    Ending.CROWDED,
)  # no connection, so no byte was ever read
RETRY_BUDGET_RATIO, RETRY_BUDGET_MIN = (
    0.2,
    3.0,
)  # of first tries that may be tried again; a second, where there are few
RETRY_BUDGET_WINDOW_SECONDS = 10.0  # s over which both are counted
MIN_ATTEMPTS_LEFT = 1.5  # times a usual try that must be left of a req's time, else another is waste


class FailedAttempt(NamedTuple):
    """A try that failed. `sent`: bytes of the req that were handed to the connection; `unbegun`: the node
    answered that it did not begin (503 with the header that says so); `answered`: bytes of an answer had
    come; `site`: where it ran."""

    ending: Ending
    bytes_sent: int
    not_started: bool = False
    response_bytes: int = 0
    group: str = ""


@dataclass(slots=True)
class Request:
    """What is known of a req: its repeat rule, its site-bound key's window, when it began and must have
    ended.
    """

    idempotency: int
    started_at: float
    deadline: float
    key_lifetime: float = 0.0  # s from its first try within which a node knows its key again; 0: no key
    attempts: int = 0


def never_processed(failed: FailedAttempt) -> bool:
    """
    >>> never_processed(FailedAttempt(Ending.REFUSED, 0)), never_processed(FailedAttempt(Ending.RESET, 0))
    (True, True)
    >>> never_processed(FailedAttempt(Ending.RESET, 1))
    False
    """
    return (
        failed.not_started
        or not failed.response_bytes
        and (failed.ending in ENDINGS_WITHOUT_CONNECTION or failed.bytes_sent == 0)
    )


class RetryBudget:
    """Tries beyond the first never exceed a part of first tries, counted over some seconds: a storm feeds
    itself else.
    """

    def __init__(self, ratio: float = RETRY_BUDGET_RATIO, minimum: float = RETRY_BUDGET_MIN) -> None:
        self.ratio, self.minimum = ratio, minimum
        self.first_attempts = self.retries = self.decayed_at = 0.0

    def _decay(self, now: float) -> None:
        keep = max(0.0, 1.0 - max(0.0, now - self.decayed_at) / RETRY_BUDGET_WINDOW_SECONDS)
        self.first_attempts, self.retries, self.decayed_at = (
            self.first_attempts * keep,
            self.retries * keep,
            now,
        )

    def record_first_attempt(self, now: float) -> None:
        self._decay(now)
        self.first_attempts += 1.0

    def try_spend(self, now: float) -> bool:
        self._decay(now)
        if self.retries + 1.0 > max(self.minimum, self.ratio * self.first_attempts):
            return False
        self.retries += 1.0
        return True


def retry_allowed(request: Request, failed: FailedAttempt, policy: int) -> bool:
    """Whether the way of trying again and the req's own rule let it run once more; time and budget aside."""
    max_retries = {our.NO_TRY: 0, our.TWO_AFTER_ANY: 2}.get(policy, 1)
    if request.attempts > max_retries or failed.response_bytes:
        return False
    if never_processed(failed):
        return policy != our.NO_TRY
    return policy in (our.AFTER_ANY, our.TWO_AFTER_ANY) and request.idempotency != our.NON_REPLAYABLE


def decide_retry(
    now: float,
    request: Request,
    failed: FailedAttempt,
    policy: int,
    usual_duration: float,
    budget: RetryBudget,
) -> tuple[bool, str]:
    """Whether to try again, and the site it has to stay at, if any. `usual`: s that a try takes."""
    if (
        not retry_allowed(request, failed, policy)
        or request.deadline - now < MIN_ATTEMPTS_LEFT * usual_duration
    ):
        return False, ""
    group = ""
    if request.idempotency == our.UNIQUED and not never_processed(failed):
        if (
            now - request.started_at >= request.key_lifetime
            or now + usual_duration - request.started_at >= request.key_lifetime
        ):
            return False, ""  # the key may be forgotten by the time it gets there
        group = failed.group
        if not group:
            return False, ""
    return budget.try_spend(now), group
