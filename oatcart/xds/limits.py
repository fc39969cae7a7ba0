"""Limits of what the xDS front accepts, and whose push goes first when the push budget is short.

Free of I/O and clock. A push takes one from a budget that refills evenly. A withdrawal may put the budget in
debt, so that it never waits behind a queue. When all clients return at once, connected clients go first, then
those that hold versions of an earlier stream, then new ones.
"""

from collections.abc import Iterable, Sequence
from enum import IntEnum

BURST = 0.25  # s; the pushes of this time may be sent at once
URGENT_DEBT = 2.0  # s; urgent pushes may borrow the pushes of this time
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
        self.advanced_at: float | None = None  # s

    def advance(self, now: float) -> None:
        """Refill for the time since the last call. `now`: s."""
        if self.advanced_at is not None:
            refill = max(0.0, now - self.advanced_at) * self.pushes_per_second
            self.available = min(self.burst, self.available + refill)
        self.advanced_at = now

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
            "RESOURCE_EXHAUSTED", f"{self.clients} clients are served, no more", retry_after
        )

    def check_name_count(self, names: int) -> None:
        """Raise RequestRejectedError if one stream subscribes to too many names."""
        if names > self.names:
            raise RequestRejectedError(
                "RESOURCE_EXHAUSTED", f"{names} names on one stream, {self.names} are served"
            )

    def superseded(self, streams: Sequence) -> list:
        """Of one client's streams, oldest first, those over the limit.

        They are closed for newer ones, as a client that lost its connection may leave streams whose end
        nobody sees.
        """
        return list(streams[: max(0, len(streams) - self.streams)])


def check_names(names: Iterable[str]) -> None:
    """Raise RequestRejectedError for a name that no resource can have.

    >>> check_names(["lookup", "*"])
    >>> check_names(["a\\nb"])
    Traceback (most recent call last):
    oatcart.xds.limits.RequestRejectedError: 'a\\nb' is no resource's name
    """
    for name in names:
        valid_length = 0 < len(name) <= NAME_LENGTH_MAX
        if not valid_length or not name.isprintable() or name != name.strip():
            quoted = name[:QUOTED_LENGTH_MAX]
            raise RequestRejectedError("INVALID_ARGUMENT", f"{quoted!r} is no resource's name")


class PushPriority(IntEnum):
    """Whose push goes first when the budget is short; the lowest value first."""

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
