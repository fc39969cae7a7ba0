"""Pool of a proxy's connections to one endpoint.

If an endpoint closes a connection while a request is on its way, the attempt fails. So a connection is not
reused after a long idle time, after many requests, or if it was idle while another one to the same endpoint
failed. A request waits for a connection only for a fraction of its remaining time.

Requests and connections are small integers; the caller numbers the requests, the pool the connections. Times
are seconds of the caller's clock.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

MAX_IDLE_SECONDS = 10.0  # below the idle timeout of endpoints, which is some tens of seconds
MAX_REQUESTS_PER_CONNECTION = 1000  # so that load moves to the endpoints of new connections
MAX_CONCURRENT_DIALS = 4  # limits the handshakes at an endpoint that starts
DIAL_AHEAD_PAUSE_SECONDS = 1.0  # after a connection failed
MAX_WAIT_SHARE = 0.5  # of a request's remaining time; the rest is left for the request itself


class PoolAction(Enum):
    """What the caller does for a request that needs a connection."""

    REUSE = "reuse"  # send it on the given connection
    DIAL = "dial"  # dial a connection; the request is queued meanwhile
    WAIT = "wait"  # the request is queued
    REJECT = "reject"  # choose another endpoint, or answer the request at once


class PoolDecision(NamedTuple):
    """Answer to a request for a connection."""

    action: PoolAction
    connection_id: int | None = None  # with REUSE
    wait_until: float | None = None  # s; with DIAL and WAIT


class Assignment(NamedTuple):
    """The new use of a connection: assigned to a queued request, idle (no request), or closed (neither)."""

    request_id: int | None = None
    connection_id: int | None = None


class QueuedRequest(NamedTuple):
    """A request that waits for a connection."""

    request_id: int
    wait_until: float  # s


@dataclass(slots=True)
class PooledConnection:
    """An open connection."""

    requests_served: int = 0
    idle_since: float | None = None  # s; None while a request is on it

    @property
    def idle(self) -> bool:
        """Return whether no request is on it."""
        return self.idle_since is not None


@dataclass(slots=True)
class ConnectionPool:
    """The open connections to one endpoint, those being dialed, and the requests that wait for one.

    `max_connections` limits open and dialed ones together, `max_queued` the requests that wait.
    """

    max_connections: int
    max_queued: int
    connections: dict[int, PooledConnection] = field(default_factory=dict)
    dialing: int = 0
    queued: deque[QueuedRequest] = field(default_factory=deque)  # oldest first
    timed_out: list[int] = field(default_factory=list)  # requests that have timed out, until `take_timed_out`
    failed_at: float = -DIAL_AHEAD_PAUSE_SECONDS  # s; when a connection or a dial last failed
    last_connection_id: int = 0
    draining: bool = False

    def acquire(self, now: float, request_id: int, deadline: float) -> PoolDecision:
        """Find a connection for a request that has to be answered by `deadline` (s)."""
        if self.draining:
            return PoolDecision(PoolAction.REJECT)
        connection_id = self._most_recently_used(now)
        if connection_id is not None:
            self._occupy(connection_id)
            return PoolDecision(PoolAction.REUSE, connection_id)
        wait_until = now + MAX_WAIT_SHARE * (deadline - now)
        self._expire_waits(now)
        if wait_until <= now or len(self.queued) >= self.max_queued:
            return PoolDecision(PoolAction.REJECT)
        self.queued.append(QueuedRequest(request_id, wait_until))
        if self._dial_is_needed():
            self.dialing += 1
            return PoolDecision(PoolAction.DIAL, wait_until=wait_until)
        return PoolDecision(PoolAction.WAIT, wait_until=wait_until)

    def dial_succeeded(self, now: float) -> Assignment:
        """Add the dialed connection and assign it to the first queued request, if there is one."""
        self.dialing -= 1
        self.last_connection_id += 1
        self.connections[self.last_connection_id] = PooledConnection(idle_since=now)
        return self._assign_to_queued(now, self.last_connection_id)

    def dial_failed(self, now: float) -> list[int]:
        """Return the queued requests to reject: all of them if no connection is open or being dialed."""
        self.dialing -= 1
        self.failed_at = now
        if self.dialing or self.connections:
            return []
        return self._clear_queue()

    def release(self, now: float, connection_id: int, usable: bool) -> Assignment:
        """Take back the connection of a request that has ended, and assign it to the next one.

        It is closed instead if it is not `usable`, has served MAX_REQUESTS_PER_CONNECTION, or the endpoint is
        draining.
        """
        connection = self.connections.get(connection_id)
        if connection is None:
            return Assignment()
        if not usable or connection.requests_served >= MAX_REQUESTS_PER_CONNECTION or self.draining:
            del self.connections[connection_id]
            return Assignment()
        connection.idle_since = now
        return self._assign_to_queued(now, connection_id)

    def connection_failed(self, now: float, connection_id: int) -> None:
        """Remove a connection that the endpoint or the network closed; those idle now are not reused."""
        self.connections.pop(connection_id, None)
        self.failed_at = now

    def evict_idle(self, now: float) -> list[int]:
        """Remove and return the idle connections to close: not reusable, or of a draining endpoint."""
        evicted = sorted(
            connection_id
            for connection_id, connection in self.connections.items()
            if connection.idle and (self.draining or not self._is_reusable(now, connection))
        )
        for connection_id in evicted:
            del self.connections[connection_id]
        return evicted

    def dial_for_queued(self, now: float) -> bool:
        """Return whether to dial for queued requests; True counts as a dial.

        Called after a connection was closed, as a request that waits for it would time out.
        """
        self._expire_waits(now)
        if self.draining or not self._dial_is_needed():
            return False
        self.dialing += 1
        return True

    def dial_ahead(self, now: float) -> bool:
        """Return whether to dial before a request needs it; True counts as a dial.

        Only if the endpoint is in use, no connection is idle, and none failed in DIAL_AHEAD_PAUSE_SECONDS.
        """
        in_use = any(not connection.idle for connection in self.connections.values())
        if self.draining or not in_use or self.dialing or not self._may_dial():
            return False
        if self._most_recently_used(now) is not None or now - self.failed_at < DIAL_AHEAD_PAUSE_SECONDS:
            return False
        self.dialing += 1
        return True

    def drain(self) -> list[int]:
        """Accept no further requests; return the queued ones, which need another endpoint."""
        self.draining = True
        return self._clear_queue()

    def take_timed_out(self, now: float) -> list[int]:
        """Return the queued requests that have timed out, each once; the caller answers them."""
        self._expire_waits(now)
        timed_out, self.timed_out = self.timed_out, []
        return timed_out

    def _clear_queue(self) -> list[int]:
        requests = [queued.request_id for queued in self.queued]
        self.queued.clear()
        return requests

    def _expire_waits(self, now: float) -> None:
        self.timed_out += [queued.request_id for queued in self.queued if queued.wait_until <= now]
        self.queued = deque(queued for queued in self.queued if queued.wait_until > now)

    def _is_reusable(self, now: float, idle: PooledConnection) -> bool:
        """Return whether a connection has been idle neither too long nor since before another one failed."""
        return now - idle.idle_since < MAX_IDLE_SECONDS and idle.idle_since > self.failed_at

    def _most_recently_used(self, now: float) -> int | None:
        """Return the reusable idle connection that was used last; the newest of equals."""
        candidates = [
            (connection.idle_since, connection_id)
            for connection_id, connection in self.connections.items()
            if connection.idle and self._is_reusable(now, connection)
        ]
        return max(candidates)[1] if candidates else None

    def _occupy(self, connection_id: int) -> None:
        connection = self.connections[connection_id]
        connection.requests_served += 1
        connection.idle_since = None

    def _may_dial(self) -> bool:
        pool_size = len(self.connections) + self.dialing
        return self.dialing < MAX_CONCURRENT_DIALS and pool_size < self.max_connections

    def _dial_is_needed(self) -> bool:
        """Return whether there are more queued requests than dials, and another dial is permitted."""
        return len(self.queued) > self.dialing and self._may_dial()

    def _assign_to_queued(self, now: float, connection_id: int) -> Assignment:
        self._expire_waits(now)
        if not self.queued:
            return Assignment(connection_id=connection_id)
        request_id = self.queued.popleft().request_id
        self._occupy(connection_id)
        return Assignment(request_id, connection_id)
