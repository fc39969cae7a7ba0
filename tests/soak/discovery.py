"""A discovery service for one controller, at two addresses, whose answers a run can make faulty."""

import asyncio
import json
import time
from contextlib import suppress
from enum import Enum, auto
from urllib.parse import parse_qs, urlsplit

from soak.fleet import Fleet

LATE_ANSWER_S = 0.4  # by which answers are late
PIECE_BYTES = 7
ADDRESS_COUNT = 2


class Fault(Enum):
    """What is wrong with the answers of the discovery service."""

    NONE = auto()
    LATE = auto()
    PIECES = auto()  # sent in small pieces
    MALFORMED = auto()  # no JSON
    CUT = auto()  # the connection is closed in the middle of an answer


class Discovery:
    """Answers one controller and notes when it sent each revision, in monotonic s."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.fault = Fault.NONE
        # revision and time of each answer to the current incarnation of the controller
        self.sent_revisions: list[tuple[int, float]] = []
        self.last_request_at = [0.0] * ADDRESS_COUNT
        self.servers: list[asyncio.Server] = []
        self.ports: list[int] = []

    async def start(self) -> None:
        """Listen at all addresses."""
        for address in range(ADDRESS_COUNT):

            async def serve(reader, writer, address=address):
                await self._serve(address, reader, writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    def notified_at(self, revision: int, changed_at: float, max_delay: float) -> float:
        """Return when the controller counts as notified of a revision, in monotonic s.

        That is `max_delay` s after the change at the latest.
        """
        times = [sent_at for sent, sent_at in self.sent_revisions if sent >= revision]
        return min([*times, changed_at + max_delay])

    async def _serve(self, address: int, reader, writer) -> None:
        try:
            while True:
                header = await reader.readuntil(b"\r\n\r\n")
                self.last_request_at[address] = time.monotonic()
                path = header.split(b" ", 2)[1].decode()
                await self._answer(parse_qs(urlsplit(path).query), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, query: dict[str, list[str]], writer) -> None:
        since = int(query["since"][0]) if "since" in query else None
        wait = int(query.get("timeout_ms", ["0"])[0]) / 1000
        if since is not None and wait:
            await self._wait_for_change(since, wait)
        if self.fault == Fault.LATE:
            await asyncio.sleep(LATE_ANSWER_S)
        answer = self.fleet.complete_list() if since is None else self.fleet.changes(since)
        body = json.dumps(answer).encode()
        if self.fault == Fault.MALFORMED:
            body = b"}" + body[1:]
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.fault == Fault.CUT:
            writer.write(data[: len(data) // 2])
            raise ConnectionResetError
        size = PIECE_BYTES if self.fault == Fault.PIECES else len(data)
        malformed = self.fault == Fault.MALFORMED
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if size == PIECE_BYTES:
                await asyncio.sleep(0)
        if not malformed:
            self.sent_revisions.append((answer["revision"], time.monotonic()))

    async def _wait_for_change(self, since: int, wait: float) -> None:
        async def until_changed() -> None:
            async with self.fleet.changed:
                await self.fleet.changed.wait_for(lambda: self.fleet.revision > since)

        with suppress(TimeoutError):
            await asyncio.wait_for(until_changed(), wait)
