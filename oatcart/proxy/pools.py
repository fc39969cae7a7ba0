"""Connections to nodes: which is used again, when one is dialled, who waits and for how long. Free of I/O and
clock.

A connection that a node closes while a req is on its way costs a try, so those that were idle for long, were
used often, or have a twin that just broke are not used again. Waiting is bounded by what is left of the req's
own time.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

# s; nodes close idle connections after some tens, and the loser of that race pays with a try
IDLE_MOST = 10.0
USES_MOST = 1000  # reqs on one connection, so that load moves to where new ones go
DIALS_MOST = 4  # to one node at a time: a node that comes up is not met by a storm of handshakes
SUSPECT_FOR = 1.0  # s after one connection broke in which none is dialled ahead of need
WAIT_PART = 0.5  # of a req's remaining time that it may wait for a connection; the rest is for its work
REUSE, DIAL, WAIT, REFUSE = "reuse", "dial", "wait", "refuse"


class Answer(NamedTuple):
    """What to do for a req: with which connection, or until when it may wait."""

    do: str
    connection: int = 0
    until: float = 0.0


@dataclass(slots=True)
class Connection:
    uses: int = 0
    idle_since: float | None = None  # None: a req is on it


@dataclass(slots=True)
class Pool:
    """The connections to one node. `most`: at a time; `queue_most`: reqs that wait. Connections are small
    numbers.
    """

    most: int
    queue_most: int
    connections: dict[int, Connection] = field(default_factory=dict)
    dialling: int = 0
    waiting: deque = field(default_factory=deque)  # (req, until), oldest first
    # reqs that waited as long as they may and were not handed back yet
    late: list = field(default_factory=list)
    broke_at: float = -SUSPECT_FOR
    count: int = 0
    draining: bool = False

    def ask(self, now: float, req: int, deadline: float) -> Answer:
        """A req wants a connection."""
        if self.draining:
            return Answer(REFUSE)
        place = self._idle(now)
        if place is not None:
            self._use(place)
            return Answer(REUSE, place)
        until = now + WAIT_PART * (deadline - now)
        self._expire(now)
        if until <= now or len(self.waiting) >= self.queue_most:
            return Answer(REFUSE)
        self.waiting.append((req, until))
        if self._may_dial() and len(self.waiting) > self.dialling:
            self.dialling += 1
            return Answer(DIAL, until=until)
        return Answer(WAIT, until=until)

    def dialled(self, now: float, up: bool) -> tuple[int, int] | list[int]:
        """A dial has ended: the req that gets the connection and the connection, an idle one's as req 0;
        where it failed, the reqs that are refused as nothing else is on its way to them."""
        self.dialling -= 1
        if not up:
            self.broke_at = now
            if self.dialling or self.connections:
                return []
            refused = [req for req, _ in self.waiting]
            self.waiting.clear()
            return refused
        self.count += 1
        self.connections[self.count] = Connection(idle_since=now)
        return self._hand_on(now, self.count)

    def done(self, now: float, place: int, usable: bool) -> tuple[int, int]:
        """A req's answer is whole, or its connection is not `usable` any more: (req, connection) of who is
        next, zeros where nobody is, connection 0 where it was closed."""
        one = self.connections.get(place)
        if one is None:
            return 0, 0
        if not usable or one.uses >= USES_MOST or self.draining:
            del self.connections[place]
            return 0, 0
        one.idle_since = now
        return self._hand_on(now, place)

    def broke(self, now: float, place: int) -> None:
        """A connection ended otherwise than by our will: its idle twins are suspect."""
        self.connections.pop(place, None)
        self.broke_at = now

    def close(self, now: float) -> list[int]:
        """Idle connections to close now: too old, older than a break, or of a node that drains."""
        spare = sorted(
            place
            for place, one in self.connections.items()
            if one.idle_since is not None
            and (self.draining or now - one.idle_since >= IDLE_MOST or one.idle_since <= self.broke_at)
        )
        for place in spare:
            del self.connections[place]
        return spare

    def dials(self, now: float) -> bool:
        """Whether to dial for those who wait, which counts as a dial: asked after a connection has gone,
        since who waits for it would wait in vain."""
        self._expire(now)
        if self.draining or len(self.waiting) <= self.dialling or not self._may_dial():
            return False
        self.dialling += 1
        return True

    def warms(self, now: float) -> bool:
        """Whether to dial ahead of need, which counts as a dial: the node is in use, nothing is idle, and it
        has not just broken a connection."""
        used = any(one.idle_since is None for one in self.connections.values())
        if (
            self.draining
            or not used
            or self.dialling
            or self._idle(now) is not None
            or not self._may_dial()
            or now - self.broke_at < SUSPECT_FOR
        ):
            return False
        self.dialling += 1
        return True

    def drain(self) -> list[int]:
        """The node is to get nothing new: who waits for it is handed back, to be chosen another."""
        self.draining, back = True, [req for req, _ in self.waiting]
        self.waiting.clear()
        return back

    def expired(self, now: float) -> list[int]:
        """Reqs that waited as long as they may; each is to be answered at once."""
        self._expire(now)
        late, self.late = self.late, []
        return late

    def _expire(self, now: float) -> None:
        self.late += [req for req, until in self.waiting if until <= now]
        self.waiting = deque((req, until) for req, until in self.waiting if until > now)

    def _idle(self, now: float) -> int | None:
        """The idle connection used last, if one is to be believed."""
        found = [
            (one.idle_since, place)
            for place, one in self.connections.items()
            if one.idle_since is not None
            and now - one.idle_since < IDLE_MOST
            and one.idle_since > self.broke_at
        ]
        return max(found)[1] if found else None

    def _use(self, place: int) -> None:
        self.connections[place].uses += 1
        self.connections[place].idle_since = None

    def _may_dial(self) -> bool:
        return self.dialling < DIALS_MOST and len(self.connections) + self.dialling < self.most

    def _hand_on(self, now: float, place: int) -> tuple[int, int]:
        self._expire(now)
        if not self.waiting:
            return 0, place
        req, _ = self.waiting.popleft()
        self._use(place)
        return req, place
