"""A stand-in discovery on loopback that counts the bytes and messages of each client.

It speaks the protocol of real discovery: `GET /v1/servers` returns the complete list, with `since` and
`timeout_ms` it is a watch. Every client has a port of its own, so that bytes and messages are counted for
each client without any identification. Each entry is encoded once, and each answer once for all watches from
the same revision.

A client has acknowledged a revision once it requests the changes after it: a controller does so right after
it has read an answer. The stand-in runs in a process of its own (`python -m oatcart.scale.discovery`), so
that its processor time can be measured, and takes commands as described in `children.py`. It may serve
several named lists: one of all services, or one for each service.
"""

import asyncio
import socket
import time
from bisect import bisect_right
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import orjson

from oatcart.net.codec import ENDPOINT_LIST_PATH
from oatcart.scale.children import Child, answer_commands, ignore_interrupts, own_usage

LOOPBACK = "127.0.0.1"
DELETED = "DELETED"
MAIN_LIST = "all"  # the name of the list that holds every endpoint
END_OF_HEAD = b"\r\n\r\n"
BACKLOG = 128
MAX_WATCH_WAIT_S = 60.0  # set by the protocol
OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class EndpointList:
    """A list of endpoints with its revisions; an entry is encoded once, when it is set."""

    def __init__(self) -> None:
        self.revision = 0
        self._current: dict[str, bytes] = {}  # encoded entries of the listed endpoints, by id
        self._log_revisions: list[int] = []  # ascending, one for each entry of _log
        self._log: list[tuple[str, bytes]] = []  # every change since the start: id and encoded entry
        # The answers of this revision by `since`; None is the complete list.
        self._encoded: dict[int | None, bytes] = {}

    def change(self, entries: Iterable[Mapping]) -> int:
        """Sets entries in a new revision and returns it; an entry whose phase is DELETED is removed."""
        self.revision += 1
        self._encoded.clear()
        for entry in entries:
            encoded = orjson.dumps(entry)
            self._log.append((entry["id"], encoded))
            self._log_revisions.append(self.revision)
            if entry.get("phase") == DELETED:
                self._current.pop(entry["id"], None)
            else:
                self._current[entry["id"]] = encoded
        return self.revision

    def complete_list(self) -> bytes:
        """Returns the encoded answer with every listed endpoint."""
        if None not in self._encoded:
            self._encoded[None] = self._answer(True, self._current.values())
        return self._encoded[None]

    def changes_since(self, since: int) -> bytes:
        """Returns the encoded answer with the entries changed after a revision; for 0 the complete list."""
        if since <= 0:
            return self.complete_list()
        if since not in self._encoded:
            first = bisect_right(self._log_revisions, since)
            changed = dict(self._log[first:])  # keeps the last change of each endpoint
            self._encoded[since] = self._answer(False, changed.values())
        return self._encoded[since]

    def _answer(self, complete: bool, entries: Collection[bytes]) -> bytes:
        head = b'{"revision":%d,"complete":%s,"members":[' % (
            self.revision,
            b"true" if complete else b"false",
        )
        return head + b",".join(entries) + b"]}"


class AcknowledgedRevision(NamedTuple):
    """A revision that a client acknowledged, the time (monotonic seconds), and the bytes sent until then."""

    at: float
    revision: int
    bytes_sent: int


@dataclass
class ClientAccount:
    """The bytes and HTTP messages exchanged with one client, and the revisions that it acknowledged."""

    list_name: str
    bytes_received: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    messages_sent: int = 0
    acknowledged: list[AcknowledgedRevision] = field(default_factory=list)


class ClientConnection(asyncio.Protocol):
    """One connection of a client; requests are answered in the order in which they arrive."""

    def __init__(self, service: "DiscoveryService", account: ClientAccount) -> None:
        self.service, self.account = service, account
        self.endpoints = service.lists[account.list_name]
        self.unread = b""
        self.since: int | None = None  # revision of the waiting watch
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection, or resets it during an outage."""
        self.transport = transport
        self.service.connections.add(self)
        if self.service.down:
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection and its watch."""
        self.service.connections.discard(self)
        self._end_wait()

    def data_received(self, data: bytes) -> None:
        """Counts the bytes and answers each complete request."""
        self.account.bytes_received += len(data)
        self.unread += data
        while END_OF_HEAD in self.unread:
            head, _, self.unread = self.unread.partition(END_OF_HEAD)
            self.account.messages_received += 1
            self._call(head.split(b" ", 2)[1].decode())

    def _call(self, target: str) -> None:
        url = urlsplit(target)
        if url.path != ENDPOINT_LIST_PATH:
            self._send(NOT_FOUND)
            return
        query = parse_qs(url.query)
        if "since" not in query:
            self._answer(self.endpoints.complete_list())
            return
        since, wait_s = int(query["since"][0]), float(query.get("timeout_ms", ["0"])[0]) / 1000
        self.account.acknowledged.append(
            AcknowledgedRevision(time.monotonic(), since, self.account.bytes_sent)
        )
        if self.endpoints.revision > since or wait_s <= 0:
            self._answer(self.endpoints.changes_since(since))
            return
        self.since = since
        self.timer = self.service.loop.call_later(min(wait_s, MAX_WATCH_WAIT_S), self.answer_watch)
        self.service.waiting_watches[self.account.list_name][self] = None

    def answer_watch(self) -> None:
        """Answers the waiting watch with the changes after its revision; with no entries if it timed out."""
        since = self.since
        self._end_wait()
        self._answer(self.endpoints.changes_since(since) if since else self.endpoints.complete_list())

    def _end_wait(self) -> None:
        self.service.waiting_watches[self.account.list_name].pop(self, None)
        self.since = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _answer(self, body: bytes) -> None:
        self._send(OK_HEAD % len(body) + body)

    def _send(self, data: bytes) -> None:
        self.account.bytes_sent += len(data)
        self.account.messages_sent += 1
        self.transport.write(data)


class DiscoveryService:
    """All lists and clients of the stand-in; the methods without an underscore are commands."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.lists: dict[str, EndpointList] = {}
        self.accounts: dict[str, ClientAccount] = {}
        self.connections: set[ClientConnection] = set()
        self.waiting_watches: dict[str, dict[ClientConnection, None]] = {}  # watches by list, oldest first
        # By list: when each revision was made, from revision 1 on.
        self.changed_at: dict[str, list[float]] = {}
        self.down = False
        self.listener_tasks: list[asyncio.Task] = []  # the loop keeps only weak references to tasks

    def change(self, entries: list[dict], list_name: str = MAIN_LIST) -> dict:
        """Makes a new revision of a list and answers all its waiting watches."""
        endpoints = self.lists.setdefault(list_name, EndpointList())
        waiting_watches = self.waiting_watches.setdefault(list_name, {})
        revision = endpoints.change(entries)
        for connection in list(waiting_watches):
            connection.answer_watch()
        return {"revision": revision}

    def outage(self, down: bool) -> dict:
        """Begins or ends an outage, during which all connections are reset; lists and revisions stay."""
        self.down = down
        for connection in list(self.connections) if down else ():
            connection.transport.abort()
        return {}

    def figures(self) -> dict:
        """Returns the usage of the process, and the bytes and messages of every client."""
        return {
            "usage": own_usage(),
            "clients": {
                name: [one.bytes_received, one.bytes_sent, one.messages_received, one.messages_sent]
                for name, one in self.accounts.items()
            },
        }

    def held(self) -> dict:
        """Returns the revisions that each client acknowledged."""
        return {"clients": {name: one.acknowledged for name, one in self.accounts.items()}}

    def open(self, clients: list[str], list_name: str) -> dict:
        """Opens a port for each client of a list."""
        self.lists.setdefault(list_name, EndpointList())
        self.waiting_watches.setdefault(list_name, {})
        return {"ports": {client: self._open(client, list_name) for client in clients}}

    def _open(self, client: str, list_name: str) -> int:
        account = self.accounts.setdefault(client, ClientAccount(list_name))
        listener = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)  # accepts connections from now on
        serving = self.loop.create_server(lambda: ClientConnection(self, account), sock=listener)
        self.listener_tasks.append(self.loop.create_task(serving))
        return listener.getsockname()[1]


class ClientFigures(NamedTuple):
    """Bytes and messages between one client and discovery; `in` and `out` as the client sees them."""

    bytes_out: int
    bytes_in: int
    messages_out: int
    messages_in: int


class Usage(NamedTuple):
    """The processor seconds of a process since its start, and its resident megabytes."""

    core_s: float
    resident_mb: float


class DiscoveryFigures(NamedTuple):
    """One reading of the stand-in: the usage of its process and the traffic of each client."""

    usage: Usage
    clients: dict[str, ClientFigures]


class Discovery(Child):
    """The stand-in process, as its parent sees it."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.discovery")

    def change(self, entries: list[dict], list_name: str = MAIN_LIST) -> int:
        """Makes one revision of a list and returns its number."""
        return self.ask("change", entries=entries, list_name=list_name)["revision"]

    def open(self, clients: list[str], list_name: str = MAIN_LIST) -> dict[str, int]:
        """Opens a port for each client; the list must have been set by `change`."""
        return self.ask("open", clients=clients, list_name=list_name)["ports"]

    def outage(self, down: bool) -> None:
        """Begins or ends an outage, during which all connections are reset."""
        self.ask("outage", down=down)

    def figures(self) -> DiscoveryFigures:
        """Returns a reading of the process and of all clients."""
        answer = self.ask("figures")
        clients = {name: ClientFigures(*figures) for name, figures in answer["clients"].items()}
        return DiscoveryFigures(Usage(**answer["usage"]), clients)

    def acknowledged_revisions(self) -> dict[str, list[AcknowledgedRevision]]:
        """Returns the revisions that each client acknowledged."""
        clients = self.ask("held")["clients"]
        return {
            name: [AcknowledgedRevision(*one) for one in revisions] for name, revisions in clients.items()
        }


async def serve() -> None:
    """Answers commands until the input of the process ends."""
    loop = asyncio.get_running_loop()
    service = DiscoveryService(loop)
    commands = {
        "change": service.change,
        "open": service.open,
        "outage": service.outage,
        "figures": service.figures,
        "held": service.held,
    }
    await answer_commands(commands)


if __name__ == "__main__":
    ignore_interrupts()
    asyncio.run(serve())
