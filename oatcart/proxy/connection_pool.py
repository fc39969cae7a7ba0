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
MAX_IDLE_SECONDS = 10.0
MAX_REQUESTS_PER_CONNECTION = 1000  # reqs on one connection, so that load moves to where new ones go
MAX_CONCURRENT_DIALS = 4  # to one node at a time: a node that comes up is not met by a storm of handshakes
DIAL_AHEAD_PAUSE_SECONDS = 1.0  # s after one connection broke in which none is dialled ahead of need
MAX_WAIT_RATIO = 0.5  # of a req's remaining time that it may wait for a connection; the rest is for its work
REUSE, DIAL, WAIT, REFUSE = "reuse", "dial", "wait", "refuse"


class PoolDecision(NamedTuple):
    """What to do for a req: with which connection, or until when it may wait."""

    action: str
    connection: int = 0
    wait_until: float = 0.0


@dataclass(slots=True)
class PooledConnection:
    requests_served: int = 0
    idle_since: float | None = None  # None: a req is on it


@dataclass(slots=True)
class ConnectionPool:
    """The connections to one node. `most`: at a time; `queue_most`: reqs that wait. Connections are small
    numbers.
    """

    max_connections: int
    max_queued: int
    connections: dict[int, PooledConnection] = field(default_factory=dict)
    dialing: int = 0
    queued: deque = field(default_factory=deque)  # (req, until), oldest first
    # reqs that waited as long as they may and were not handed back yet
    timed_out: list = field(default_factory=list)
    failed_at: float = -DIAL_AHEAD_PAUSE_SECONDS
    last_connection_id: int = 0
    draining: bool = False

    def acquire(self, now: float, request: int, deadline: float) -> PoolDecision:
        """A req wants a connection."""
        if self.draining:
            return PoolDecision(REFUSE)
        connection_id = self._idle(now)
        if connection_id is not None:
            self._assign(connection_id)
            return PoolDecision(REUSE, connection_id)
        wait_until = now + MAX_WAIT_RATIO * (deadline - now)
        self._expire(now)
        if wait_until <= now or len(self.queued) >= self.max_queued:
            return PoolDecision(REFUSE)
        self.queued.append((request, wait_until))
        if self._may_dial() and len(self.queued) > self.dialing:
            self.dialing += 1
            return PoolDecision(DIAL, wait_until=wait_until)
        return PoolDecision(WAIT, wait_until=wait_until)

    def dial_completed(self, now: float, up: bool) -> tuple[int, int] | list[int]:
        """A dial has ended: the req that gets the connection and the connection, an idle one's as req 0;
        where it failed, the reqs that are refused as nothing else is on its way to them."""
        self.dialing -= 1
        if not up:
            self.failed_at = now
            if self.dialing or self.connections:
                return []
            refused = [request for request, _ in self.queued]
            self.queued.clear()
            return refused
        self.last_connection_id += 1
        self.connections[self.last_connection_id] = PooledConnection(idle_since=now)
        return self._assign_next(now, self.last_connection_id)

    def release(self, now: float, connection_id: int, usable: bool) -> tuple[int, int]:
        """A req's answer is whole, or its connection is not `usable` any more: (req, connection) of who is
        next, zeros where nobody is, connection 0 where it was closed."""
        one = self.connections.get(connection_id)
        if one is None:
            return 0, 0
        if not usable or one.requests_served >= MAX_REQUESTS_PER_CONNECTION or self.draining:
            del self.connections[connection_id]
            return 0, 0
        one.idle_since = now
        return self._assign_next(now, connection_id)

    def connection_failed(self, now: float, connection_id: int) -> None:
        """A connection ended otherwise than by our will: its idle twins are suspect."""
        self.connections.pop(connection_id, None)
        self.failed_at = now

    def evict_idle(self, now: float) -> list[int]:
        """Idle connections to close now: too old, older than a break, or of a node that drains."""
        evicted = sorted(
            connection_id
            for connection_id, one in self.connections.items()
            if one.idle_since is not None
            and (
                self.draining or now - one.idle_since >= MAX_IDLE_SECONDS or one.idle_since <= self.failed_at
            )
        )
        for connection_id in evicted:
            del self.connections[connection_id]
        return evicted

    def dial_for_queued(self, now: float) -> bool:
        """Whether to dial for those who wait, which counts as a dial: asked after a connection has gone,
        since who waits for it would wait in vain."""
        self._expire(now)
        if self.draining or len(self.queued) <= self.dialing or not self._may_dial():
            return False
        self.dialing += 1
        return True

    def dial_ahead(self, now: float) -> bool:
        """Whether to dial ahead of need, which counts as a dial: the node is in use, nothing is idle, and it
        has not just broken a connection."""
        used = any(one.idle_since is None for one in self.connections.values())
        if (
            self.draining
            or not used
            or self.dialing
            or self._idle(now) is not None
            or not self._may_dial()
            or now - self.failed_at < DIAL_AHEAD_PAUSE_SECONDS
        ):
            return False
        self.dialing += 1
        return True

    def drain(self) -> list[int]:
        """The node is to get nothing new: who waits for it is handed back, to be chosen another."""
        self.draining, returned = True, [request for request, _ in self.queued]
        self.queued.clear()
        return returned

    def take_timed_out(self, now: float) -> list[int]:
        """Reqs that waited as long as they may; each is to be answered at once."""
        self._expire(now)
        timed_out, self.timed_out = self.timed_out, []
        return timed_out

    def _expire(self, now: float) -> None:
        self.timed_out += [request for request, wait_until in self.queued if wait_until <= now]
        self.queued = deque((request, wait_until) for request, wait_until in self.queued if wait_until > now)

    def _idle(self, now: float) -> int | None:
        """The idle connection used last, if one is to be believed."""
        found = [
            (one.idle_since, connection_id)
            for connection_id, one in self.connections.items()
            if one.idle_since is not None
            and now - one.idle_since < MAX_IDLE_SECONDS
            and one.idle_since > self.failed_at
        ]
        return max(found)[1] if found else None

    def _assign(self, connection_id: int) -> None:
        self.connections[connection_id].requests_served += 1
        self.connections[connection_id].idle_since = None

    def _may_dial(self) -> bool:
        return (
            self.dialing < MAX_CONCURRENT_DIALS
            and len(self.connections) + self.dialing < self.max_connections
        )

    def _assign_next(self, now: float, connection_id: int) -> tuple[int, int]:
        self._expire(now)
        if not self.queued:
            return 0, connection_id
        request, _ = self.queued.popleft()
        self._assign(connection_id)
        return request, connection_id
