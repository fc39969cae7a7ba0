"""How much the front takes on, and who goes first when there is not enough for all. Free of I/O and clock.

A push costs one from a budget that refills evenly; what takes a node out may use the part that is kept back
and go into debt, so that it is never behind a queue. A return of all clients at once is taken in an order:
those that are joined, then those that bring versions of an earlier stream, then new ones.
"""

from collections.abc import Iterable, Sequence

BURST = 0.25  # s of the budget that may be spent at once
URGENT_DEBT = 2.0  # s of the budget that urgent pushes may borrow: a drain to all clients at any usual limit
NAME_MOST = 512  # letters of a name; xdstp names of collections are long
RETRY_LEAST, RETRY_MOST = 0.25, 10.0  # s; hints when to come back

URGENT, JOINED, RETURNING, NEW = range(4)  # ranks, the first served first


class Refused(Exception):
    """A request or a client that is not taken. `code`: a gRPC status's name; `after`: s, when to come back;
    0: as it stands it will be refused again."""

    def __init__(self, code: str, words: str, after: float = 0.0) -> None:
        super().__init__(words)
        self.code, self.words, self.after = code, words, after


class Budget:
    """So many pushes a second.

    >>> one = Budget(8.0)
    >>> one.turn(5.0); [one.take(False) for _ in range(4)], one.take(True), one.wait()
    ([True, True, False, False], True, 0.25)
    """

    def __init__(self, a_second: float) -> None:
        self.a_second, self.left, self.at = a_second, max(1.0, a_second * BURST), None

    def turn(self, now: float) -> None:
        if self.at is not None:
            most = max(1.0, self.a_second * BURST)
            self.left = min(most, self.left + max(0.0, now - self.at) * self.a_second)
        self.at = now

    def take(self, urgent: bool) -> bool:
        if self.left - 1.0 < (-self.a_second * URGENT_DEBT if urgent else 0.0):
            return False
        self.left -= 1.0
        return True

    def give(self) -> None:
        """What was taken was not needed."""
        self.left += 1.0

    def wait(self) -> float:
        """Seconds until an ordinary push has its turn."""
        return max(0.0, (1.0 - self.left) / self.a_second)


class Gate:
    """Who may come in: clients, streams of one client, names on one stream."""

    def __init__(self, clients: int, streams: int, names: int, a_second: float) -> None:
        self.clients, self.streams, self.names, self.a_second = clients, streams, names, a_second

    def client(self, known: int, waiting: int) -> None:
        """A client that is not known yet asks; refused with a hint that spreads the returns."""
        if known >= self.clients:
            after = min(RETRY_MOST, max(RETRY_LEAST, waiting / self.a_second) + RETRY_LEAST)
            raise Refused("RESOURCE_EXHAUSTED", f"{self.clients} clients are served, no more", after)

    def wanted(self, names: int) -> None:
        if names > self.names:
            raise Refused("RESOURCE_EXHAUSTED", f"{names} names on one stream, {self.names} are served")

    def makes_way(self, streams: Sequence) -> list:
        """Of one client's streams, oldest first, those that end for a newer one: a client that lost its
        connection may leave streams behind whose end nobody sees."""
        return list(streams[: max(0, len(streams) - self.streams)])


def check_names(names: Iterable[str]) -> None:
    """
    >>> check_names(["lookup", "*"])
    >>> check_names(["a\\nb"])
    Traceback (most recent call last):
    oatcart.xds.limits.Refused: 'a\\nb' is no resource's name
    """
    for name in names:
        if not 0 < len(name) <= NAME_MOST or not name.isprintable() or name != name.strip():
            raise Refused("INVALID_ARGUMENT", f"{name[:80]!r} is no resource's name")


def rank(urgent: bool, joined: bool, returning: bool) -> int:
    """
    >>> rank(True, True, False), rank(False, True, False), rank(False, False, True), rank(False, False, False)
    (0, 1, 2, 3)
    """
    return URGENT if urgent else JOINED if joined else RETURNING if returning else NEW
