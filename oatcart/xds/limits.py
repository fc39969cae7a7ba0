"""Limits of what the xDS front accepts, and the order of pushes when the push budget is short.

Free of I/O and clock. A push takes one from a budget that refills evenly. A withdrawal may put the budget in
debt, so that it never waits behind a queue. A client that returns with resources of an earlier stream may
hold endpoints that were withdrawn meanwhile: its first pushes are paid in advance, from a separate account,
so that they neither wait nor use up what withdrawals may borrow. Where that account is used up the client is
rejected with the time of its next attempt.
"""

from collections.abc import Iterable, Sequence
from enum import IntEnum

BURST = 0.25  # s; the pushes of this time may be sent at once
URGENT_DEBT = 2.0  # s; urgent pushes may borrow the pushes of this time
RETURN_DEBT = 3.0  # s; first pushes of returning clients may be paid with the pushes of this time
RETURN_REFILL_SHARE = 0.5  # of the refill, while connected clients have pushes that may wait
FIRST_PUSHES_MAX = 3  # of a returning client: clusters, endpoints, and endpoints as resources of their own
NAME_LENGTH_MAX = 512  # characters; the xdstp names of collections are long
QUOTED_LENGTH_MAX = 80  # characters of a client's value that an error quotes
RETRY_AFTER_MIN = 0.25  # s
RETRY_AFTER_MAX = 10.0  # s


class RequestRejectedError(Exception):
    """A request or a client that is not served; it ends the stream.

    `code`: name of a gRPC status. `retry_after`: s; 0 where the same request would be rejected again.
    """

    def __init__(self, code: str, message: str, retry_after: float = 0.0) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after = retry_after


class PushBudget:
    """Limits the pushes to all clients to so many per second.

    >>> budget = PushBudget(8.0)
    >>> budget.advance(5.0)
    >>> [budget.take(False) for _ in range(4)], budget.take(True), budget.wait()
    ([True, True, False, False], True, 0.25)
    """

    def __init__(self, pushes_per_second: float) -> None:
        self.pushes_per_second = pushes_per_second
        self.burst = max(1.0, pushes_per_second * BURST)  # pushes
        self.available = self.burst  # pushes; below 0 in debt
        self.returning_debt = 0.0  # pushes that were paid in advance and are to be repaid
        self.returning_debt_max = max(FIRST_PUSHES_MAX, pushes_per_second * RETURN_DEBT)
        self.advanced_at: float | None = None  # s

    def advance(self, now: float) -> None:
        """Refill for the time since the last call. `now`: s."""
        if self.advanced_at is not None:
            self._refill(max(0.0, now - self.advanced_at) * self.pushes_per_second)
        self.advanced_at = now

    def _refill(self, pushes: float) -> None:
        """Repay what withdrawals borrowed first, so that returning clients delay no withdrawal."""
        borrowed = min(pushes, max(0.0, -self.available))
        self.available += borrowed
        pushes -= borrowed
        share = 1.0 if self.available >= self.burst else RETURN_REFILL_SHARE
        repaid = min(self.returning_debt, pushes * share)
        self.returning_debt -= repaid
        self.available = min(self.burst, self.available + pushes - repaid)

    def prepay(self, pushes: int) -> bool:
        """Pay the first pushes of a returning client in advance, if the account allows it."""
        if self.returning_debt + pushes > self.returning_debt_max:
            return False
        self.returning_debt += pushes
        return True

    def refund(self, pushes: int) -> None:
        """Return pushes that were paid in advance and not sent."""
        self.returning_debt = max(0.0, self.returning_debt - pushes)

    def prepay_wait(self, pushes: int) -> float:
        """The least time until so many pushes can be paid in advance, s."""
        missing = self.returning_debt + pushes - self.returning_debt_max
        return max(0.0, missing) / self.pushes_per_second

    def take(self, urgent: bool) -> bool:
        """Take one push, if there is one; an urgent push may put the budget in debt."""
        if self.available - 1.0 < self._lowest(urgent):
            return False
        self.available -= 1.0
        return True

    def give_back(self) -> None:
        """Return a push that was taken and not sent."""
        self.available += 1.0

    def wait(self, urgent: bool = False) -> float:
        """The time until one more push may be sent, s."""
        return max(0.0, (1.0 + self._lowest(urgent) - self.available) / self.pushes_per_second)

    def _lowest(self, urgent: bool) -> float:
        return -self.pushes_per_second * URGENT_DEBT if urgent else 0.0


class ReturnAdmission:
    """Lets clients return no faster than their first pushes can be sent within the drain deadline.

    >>> budget = PushBudget(1.0)
    >>> admission = ReturnAdmission(budget)
    >>> admission.admit(0.0, 3)
    >>> admission.admit(0.0, 3)
    Traceback (most recent call last):
    oatcart.xds.limits.RequestRejectedError: more clients return than can be sent their endpoints in time
    """

    def __init__(self, budget: PushBudget) -> None:
        self.budget = budget
        self.next_at = 0.0  # s; the time of the next attempt that a rejected client is given

    def admit(self, now: float, pushes: int) -> None:
        """Pay a client's first pushes, or raise RequestRejectedError. `now`: s.

        Clients that are rejected together are given times one after another.
        """
        if self.budget.prepay(pushes):
            return
        earliest = now + self.budget.prepay_wait(pushes)
        one_client = pushes / self.budget.pushes_per_second
        self.next_at = min(max(earliest, self.next_at + one_client), now + RETRY_AFTER_MAX)
        raise RequestRejectedError(
            "RESOURCE_EXHAUSTED",
            "more clients return than can be sent their endpoints in time",
            max(RETRY_AFTER_MIN, self.next_at - now),
        )


class ClientLimits:
    """The most clients, streams of one client, and names that one stream subscribes to."""

    def __init__(self, clients: int, streams: int, names: int, pushes_per_second: float) -> None:
        self.clients = clients
        self.streams = streams
        self.names = names
        self.pushes_per_second = pushes_per_second

    def check_new_client(self, connected: int, unassigned: int) -> None:
        """Raise RequestRejectedError if one more client is too many.

        Its `retry_after` grows with the `unassigned` clients, which have no routing table yet, so that the
        returns are spread.
        """
        if connected < self.clients:
            return
        spread = max(RETRY_AFTER_MIN, unassigned / self.pushes_per_second) + RETRY_AFTER_MIN
        retry_after = min(RETRY_AFTER_MAX, spread)
        raise RequestRejectedError(
            "RESOURCE_EXHAUSTED", f"clients: the limit of {self.clients} clients is reached", retry_after
        )

    def check_name_count(self, names: int) -> None:
        """Raise RequestRejectedError if one stream subscribes to too many names."""
        if names > self.names:
            raise RequestRejectedError(
                "RESOURCE_EXHAUSTED",
                f"resource names: {names} names on one stream, expected at most {self.names}",
            )

    def superseded(self, streams: Sequence) -> list:
        """Of one client's streams, oldest first, those over the limit.

        They are closed for newer ones, as a client that lost its connection may leave streams whose end is
        not noticed.
        """
        return list(streams[: max(0, len(streams) - self.streams)])


def check_names(names: Iterable[str]) -> None:
    """Raise RequestRejectedError for a name that no resource can have.

    >>> check_names(["lookup", "*"])
    >>> check_names(["a\\nb"])
    Traceback (most recent call last):
    oatcart.xds.limits.RequestRejectedError: resource names: expected a resource name, got 'a\\nb'
    """
    for name in names:
        valid_length = 0 < len(name) <= NAME_LENGTH_MAX
        if not valid_length or not name.isprintable() or name != name.strip():
            quoted = name[:QUOTED_LENGTH_MAX]
            raise RequestRejectedError(
                "INVALID_ARGUMENT", f"resource names: expected a resource name, got {quoted!r}"
            )


class PushPriority(IntEnum):
    """The order of pushes when the budget is short; the lowest value first."""

    URGENT = 0
    CONNECTED = 1
    RETURNING = 2
    NEW = 3


def push_priority(urgent: bool, connected: bool, returning: bool) -> PushPriority:
    """The priority of a stream.

    `urgent`: a withdrawal may be due; `connected`: endpoints were sent on it already; `returning`: its client
    holds versions of an earlier stream.

    >>> push_priority(True, True, False), push_priority(False, True, False)
    (<PushPriority.URGENT: 0>, <PushPriority.CONNECTED: 1>)
    >>> push_priority(False, False, True), push_priority(False, False, False)
    (<PushPriority.RETURNING: 2>, <PushPriority.NEW: 3>)
    """
    if urgent:
        return PushPriority.URGENT
    if connected:
        return PushPriority.CONNECTED
    return PushPriority.RETURNING if returning else PushPriority.NEW
