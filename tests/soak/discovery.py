"""Discovery for one controller, at two addresses, late, in pieces, garbled or cut where a run asks for it."""

import asyncio
import json
import time
from contextlib import suppress
from enum import Enum, auto
from urllib.parse import parse_qs, urlsplit

from soak.fleet import Fleet

LATE_S = 0.4
PIECE_BYTES = 7
ADDRESSES = 2


class Fault(Enum):
    """What is wrong with its answers."""

    NONE = auto()
    LATE = auto()
    PIECES = auto()
    GARBLED = auto()
    CUT = auto()


class Discovery:
    """Answers one controller and notes when it was told of each revision, in monotonic s."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.fault = Fault.NONE
        self.told_at: list[tuple[int, float]] = []  # revision and time, of this incarnation of the controller
        self.last_asked_at = [0.0] * ADDRESSES
        self.servers: list[asyncio.Server] = []
        self.ports: list[int] = []

    async def start(self) -> None:
        """Listen at all addresses."""
        for address in range(ADDRESSES):

            async def serve(reader, writer, address=address):
                await self._serve(address, reader, writer)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    def told_of(self, revision: int, changed_at: float, told_after: float) -> float:
        """When the controller counts as told of a revision: at the latest `told_after` s after the change."""
        times = [at for told, at in self.told_at if told >= revision]
        return min([*times, changed_at + told_after])

    async def _serve(self, address: int, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.last_asked_at[address] = time.monotonic()
                path = head.split(b" ", 2)[1].decode()
                await self._answer(parse_qs(urlsplit(path).query), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, query: dict[str, list[str]], writer) -> None:
        since = int(query["since"][0]) if "since" in query else None
        wait = int(query.get("timeout_ms", ["0"])[0]) / 1000
        if since is not None and wait:
            await self._wait_for_news(since, wait)
        if self.fault == Fault.LATE:
            await asyncio.sleep(LATE_S)
        answer = self.fleet.complete_list() if since is None else self.fleet.changes(since)
        body = json.dumps(answer).encode()
        if self.fault == Fault.GARBLED:
            body = b"}" + body[1:]
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.fault == Fault.CUT:
            writer.write(data[: len(data) // 2])
            raise ConnectionResetError
        size = PIECE_BYTES if self.fault == Fault.PIECES else len(data)
        garbled = self.fault == Fault.GARBLED
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if size == PIECE_BYTES:
                await asyncio.sleep(0)
        if not garbled:
            self.told_at.append((answer["revision"], time.monotonic()))

    async def _wait_for_news(self, since: int, wait: float) -> None:
        async def news() -> None:
            async with self.fleet.changed:
                await self.fleet.changed.wait_for(lambda: self.fleet.revision > since)

        with suppress(TimeoutError):
            await asyncio.wait_for(news(), wait)
