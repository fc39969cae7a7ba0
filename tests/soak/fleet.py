"""The endpoints of a run: their entries in the endpoint list, and their health over HTTP."""

import asyncio
import time
from dataclasses import dataclass, field

from soak.plan import ENDPOINTS, MIN_READY_PER_ZONE

ZONES = ["east", "west"]
READY, DRAINING, GONE = "SERVING", "DRAINING", "DELETED"


@dataclass(slots=True)
class Endpoint:
    """An endpoint as the list has it.

    `started_ms`: Unix time, 0: long ago. `revision` and `changed_at` (monotonic s): of the last change of its
    state or start.
    """

    number: int
    port: int = 0
    state: str = READY
    started_ms: float = 0.0
    revision: int = 1
    changed_at: float = 0.0
    is_healthy: bool = True

    @property
    def name(self) -> str:
        """The id of the endpoint in the list."""
        return f"s-{self.number}"

    @property
    def zone(self) -> int:
        """The number of its zone."""
        return self.number % len(ZONES)

    def entry(self) -> dict:
        """Return its entry as discovery and the configuration write it."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": ZONES[self.zone],
            "phase": self.state,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }


@dataclass(slots=True)
class Fleet:
    """All endpoints and the revision of their list."""

    endpoints: list[Endpoint] = field(
        default_factory=lambda: [Endpoint(number) for number in range(ENDPOINTS)]
    )
    revision: int = 1
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    servers: list[asyncio.Server] = field(default_factory=list)

    async def start(self) -> None:
        """Serve the health of each endpoint."""
        for endpoint in self.endpoints:

            async def serve(reader, writer, endpoint=endpoint):
                await answer_health(endpoint, reader, writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            endpoint.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)

    async def stop(self) -> None:
        """Stop serving."""
        for server in self.servers:
            server.close()

    def may_leave(self, endpoint: Endpoint) -> bool:
        """Return whether enough other endpoints of its zone are ready and warmed up."""
        others = [
            other
            for other in self.endpoints
            if other is not endpoint
            and other.zone == endpoint.zone
            and other.state == READY
            and not other.started_ms
        ]
        return len(others) >= MIN_READY_PER_ZONE

    async def change(self, endpoint: Endpoint, state: str, started: bool = False) -> None:
        """Set an endpoint's state, and its start to now if `started`, and notify all watches."""
        async with self.changed:
            self.revision += 1
            endpoint.state, endpoint.revision, endpoint.changed_at = state, self.revision, time.monotonic()
            if started:
                endpoint.started_ms = time.time() * 1000
            self.changed.notify_all()

    def complete_list(self) -> dict:
        """Return the complete list as discovery answers it."""
        members = [endpoint.entry() for endpoint in self.endpoints if endpoint.state != GONE]
        return {"revision": self.revision, "complete": True, "members": members}

    def changes(self, since: int) -> dict:
        """Return what changed since a revision, as discovery answers it."""
        members = [endpoint.entry() for endpoint in self.endpoints if endpoint.revision > since]
        return {"revision": self.revision, "complete": False, "members": members}


async def answer_health(endpoint: Endpoint, reader, writer) -> None:
    """Answer health checks on one connection."""
    try:
        while await reader.readuntil(b"\r\n\r\n"):
            body = b'{"inflight":2,"queue":0,"util":0.4}' if endpoint.is_healthy else b""
            status = b"200 OK" if endpoint.is_healthy else b"503 Service Unavailable"
            writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
            await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
        pass
    finally:
        writer.close()
