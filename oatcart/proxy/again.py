"""Whether a req that failed is tried again. Free of I/O and clock.

A req whose effect may have taken place runs again only where that does no harm. Proof that the first try
never ran is decided from how its connection ended and what had been sent on it: nothing of the req left this
process, or the node said in so many words that it did not begin. A reset after the first byte proves nothing.
"""

from dataclasses import dataclass
from typing import NamedTuple

from oatcart.errors import CloseReason
from oatcart.model import Idempotency, RetryPolicy

NEVER_UP = (
    CloseReason.REFUSED,
    CloseReason.UNREACHABLE,
    CloseReason.OUT_OF_RESOURCES,
)  # no connection, so no byte was ever read
BUDGET_PART, BUDGET_LEAST = 0.2, 3.0  # of first tries that may be tried again; a second, where there are few
BUDGET_OVER = 10.0  # s over which both are counted
WORTH = 1.5  # times a usual try that must be left of a req's time, else another is waste


class Try(NamedTuple):
    """A try that failed. `sent`: bytes of the req that were handed to the connection; `unbegun`: the node
    answered that it did not begin (503 with the header that says so); `answered`: bytes of an answer had
    come; `site`: where it ran."""

    reason: CloseReason
    sent: int
    unbegun: bool = False
    answered: int = 0
    site: str = ""


@dataclass(slots=True)
class Req:
    """What is known of a req: its repeat rule, its site-bound key's window, when it began and must have
    ended.
    """

    repeat: int
    began: float
    deadline: float
    window: float = 0.0  # s from its first try within which a node knows its key again; 0: no key
    tries: int = 0


def never_ran(one: Try) -> bool:
    """
    >>> never_ran(Try(CloseReason.REFUSED, 0)), never_ran(Try(CloseReason.RESET_BY_PEER, 0))
    (True, True)
    >>> never_ran(Try(CloseReason.RESET_BY_PEER, 1))
    False
    """
    return one.unbegun or not one.answered and (one.reason in NEVER_UP or one.sent == 0)


class Budget:
    """Tries beyond the first never exceed a part of first tries, counted over some seconds: a storm feeds
    itself else.
    """

    def __init__(self, part: float = BUDGET_PART, least: float = BUDGET_LEAST) -> None:
        self.part, self.least = part, least
        self.firsts = self.again = self.at = 0.0

    def _turn(self, now: float) -> None:
        keep = max(0.0, 1.0 - max(0.0, now - self.at) / BUDGET_OVER)
        self.firsts, self.again, self.at = self.firsts * keep, self.again * keep, now

    def first(self, now: float) -> None:
        self._turn(now)
        self.firsts += 1.0

    def take(self, now: float) -> bool:
        self._turn(now)
        if self.again + 1.0 > max(self.least, self.part * self.firsts):
            return False
        self.again += 1.0
        return True


def allowed(req: Req, failed: Try, way: int) -> bool:
    """Whether the way of trying again and the req's own rule let it run once more; time and budget aside."""
    most = {RetryPolicy.NEVER: 0, RetryPolicy.TWICE_ON_FAILURE: 2}.get(way, 1)
    if req.tries > most or failed.answered:
        return False
    if never_ran(failed):
        return way != RetryPolicy.NEVER
    return (
        way in (RetryPolicy.ON_FAILURE, RetryPolicy.TWICE_ON_FAILURE)
        and req.repeat != Idempotency.NOT_IDEMPOTENT
    )


def decide(now: float, req: Req, failed: Try, way: int, usual: float, budget: Budget) -> tuple[bool, str]:
    """Whether to try again, and the site it has to stay at, if any. `usual`: s that a try takes."""
    if not allowed(req, failed, way) or req.deadline - now < WORTH * usual:
        return False, ""
    site = ""
    if req.repeat == Idempotency.KEYED and not never_ran(failed):
        if now - req.began >= req.window or now + usual - req.began >= req.window:
            return False, ""  # the key may be forgotten by the time it gets there
        site = failed.site
        if not site:
            return False, ""
    return budget.take(now), site
