"""A counting relay on loopback between many controllers and the control role, which counts nothing itself.

Every controller has a port of its own, which the relay connects to its address at the control role. Bytes are
forwarded unchanged; requests and answers are also parsed, to find out which endpoints each controller was
sent and when. A controller has acknowledged an answer once it sends another request on the same connection,
or closes it.

The process (`python -m oatcart.scale.view_relay`) takes commands as described in `children.py`; its processor
time is not part of any measurement.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import orjson

from oatcart.scale.children import Child, answer_commands, ignore_interrupts, own_usage
from oatcart.scale.discovery import (
    BACKLOG,
    DELETED,
    END_OF_HEAD,
    LOOPBACK,
    AcknowledgedRevision,
    ClientAccount,
    ClientFigures,
)

CONTENT_LENGTH = b"content-length:"


class AnswerReader:
    """Finds the bodies of HTTP answers in a stream of bytes; every answer has its length in its head."""

    def __init__(self, on_body: Callable[[bytes], None]) -> None:
        self._on_body = on_body
        self._unread = bytearray()

    def read(self, data: bytes) -> None:
        """Parses the next bytes; calls `on_body` with each complete body."""
        self._unread += data
        while (end := self._unread.find(END_OF_HEAD)) >= 0:
            start = end + len(END_OF_HEAD)
            length = content_length(bytes(self._unread[:end]))
            if len(self._unread) < start + length:
                return
            self._on_body(bytes(self._unread[start : start + length]))
            del self._unread[: start + length]


def content_length(head: bytes) -> int:
    """Returns the content length in the head of an answer; 0 if there is none.

    >>> content_length(b"HTTP/1.1 200 OK\\r\\nContent-Length: 12")
    12
    """
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return int(line[len(CONTENT_LENGTH) :])
    return 0


class RelayedClient:
    """A controller behind the relay.

    Its traffic, the endpoints of its list, and when it acknowledged answers with tracked endpoints.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.account = ClientAccount("")
        self.members: set[str] = set()
        self.acknowledged_endpoints: list[tuple[float, str]] = []

    def record_answer(self, body: bytes, tracked: set[str]) -> list[str]:
        """Records an answer and returns the tracked endpoints that it has or removes.

        A body that is not an endpoint list is ignored.
        """
        try:
            answer = orjson.loads(body)
            entries = {entry["id"]: entry["phase"] for entry in answer["members"]}
        except (KeyError, TypeError, orjson.JSONDecodeError):
            return []
        gone = self.members - entries.keys() if answer["complete"] else set()
        deleted = {endpoint for endpoint, phase in entries.items() if phase == DELETED}
        self.members = (self.members | entries.keys()) - gone - deleted
        return sorted(tracked & (entries.keys() | gone))


class ControllerSide(asyncio.Protocol):
    """A connection that a controller has made."""

    def __init__(self, service: "RelayService", client: RelayedClient) -> None:
        self.service, self.client = service, client
        self.control: ControlSide | None = None
        self.unsent = bytearray()  # received before the connection to the control role is open
        self.unread = b""
        self.unacknowledged: list[str] = []  # tracked endpoints in answers since the last request

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts to connect to the control role."""
        self.transport = transport
        self.service.open_upstream(self)

    def data_received(self, data: bytes) -> None:
        """Counts and forwards the bytes of a controller, and parses its requests."""
        self._acknowledge_answers()
        self.client.account.bytes_received += len(data)
        if self.control is None:
            self.unsent += data
        else:
            self.control.transport.write(data)
        self.unread += data
        while END_OF_HEAD in self.unread:
            head, _, self.unread = self.unread.partition(END_OF_HEAD)
            self._request(head.split(b" ", 2)[1].decode())

    def connection_lost(self, error: Exception | None) -> None:
        """Resets the connection to the control role."""
        self._acknowledge_answers()
        if self.control is not None:
            self.control.transport.abort()

    def on_connected(self, control: "ControlSide") -> None:
        """Keeps the open connection to the control role and forwards the bytes received meanwhile."""
        self.control = control
        control.transport.write(bytes(self.unsent))

    def _request(self, target: str) -> None:
        account = self.client.account
        account.messages_received += 1
        since = parse_qs(urlsplit(target).query).get("since")
        if since:
            account.acknowledged.append(
                AcknowledgedRevision(time.monotonic(), int(since[0]), account.bytes_sent)
            )

    def _acknowledge_answers(self) -> None:
        now = time.monotonic()
        self.client.acknowledged_endpoints += [(now, endpoint) for endpoint in self.unacknowledged]
        self.unacknowledged.clear()


class ControlSide(asyncio.Protocol):
    """The connection to the control role that belongs to a connection of a controller."""

    def __init__(self, service: "RelayService", controller: ControllerSide) -> None:
        self.service, self.controller = service, controller
        self.answers = AnswerReader(self._answer)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Lets the controller's side forward the bytes that it received meanwhile."""
        self.transport = transport
        self.controller.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Counts and forwards the bytes of the control role, and parses its answers."""
        self.controller.client.account.bytes_sent += len(data)
        self.controller.transport.write(data)
        self.answers.read(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Closes the controller's connection."""
        self.controller.transport.close()

    def _answer(self, body: bytes) -> None:
        self.controller.client.account.messages_sent += 1
        self.controller.unacknowledged += self.controller.client.record_answer(body, self.service.tracked)


class RelayService:
    """All controllers behind the relay.

    The methods without an underscore are commands, except `open_upstream`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clients: dict[str, RelayedClient] = {}
        self.tracked: set[str] = set()
        self.tasks: set[asyncio.Task] = set()

    def open(self, targets: dict[str, int]) -> dict:
        """Opens a port for each controller; `targets` are the ports that they are connected to."""
        return {"ports": {name: self._open(name, port) for name, port in targets.items()}}

    def track(self, endpoint: str) -> dict:
        """Starts to track an endpoint and returns the controllers whose list has it now."""
        self.tracked.add(endpoint)
        return {"holders": [name for name, one in self.clients.items() if endpoint in one.members]}

    def members(self, name: str) -> dict:
        """Returns the endpoints that a controller's list has now."""
        return {"nodes": sorted(self.clients[name].members)}

    def figures(self) -> dict:
        """Returns the usage of the process, and the bytes and messages of every controller."""
        return {
            "usage": own_usage(),
            "clients": {
                name: [
                    one.account.bytes_received,
                    one.account.bytes_sent,
                    one.account.messages_received,
                    one.account.messages_sent,
                ]
                for name, one in self.clients.items()
            },
        }

    def held(self) -> dict:
        """Returns the revisions that each controller acknowledged, and when it did tracked endpoints."""
        return {
            "held": {name: one.account.acknowledged for name, one in self.clients.items()},
            "told": {name: one.acknowledged_endpoints for name, one in self.clients.items()},
        }

    def open_upstream(self, controller: ControllerSide) -> None:
        """Connects to the control role for a controller; resets the controller's connection if that fails."""
        self._start_task(self._connect(controller))

    def _open(self, name: str, target_port: int) -> int:
        client = self.clients.setdefault(name, RelayedClient(target_port))
        listener = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)
        self._start_task(self.loop.create_server(lambda: ControllerSide(self, client), sock=listener))
        return listener.getsockname()[1]

    async def _connect(self, controller: ControllerSide) -> None:
        try:
            await self.loop.create_connection(
                lambda: ControlSide(self, controller), LOOPBACK, controller.client.target_port
            )
        except OSError:
            controller.transport.abort()

    def _start_task(self, coroutine: Coroutine) -> None:
        """Starts a task and keeps it, because the loop has only weak references to tasks."""
        self.tasks.add(self.loop.create_task(coroutine))


class RelayAcknowledgements(NamedTuple):
    """The revisions that each controller acknowledged, and when it acknowledged tracked endpoints."""

    revisions: dict[str, list[AcknowledgedRevision]]
    endpoints: dict[str, list[tuple[float, str]]]


class ViewRelay(Child):
    """The relay process, as its parent sees it."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.view_relay")

    def open(self, targets: dict[str, int]) -> dict[str, int]:
        """Opens a port for each controller, in front of its port at the control role."""
        return self.ask("open", targets=targets)["ports"]

    def track(self, endpoint: str) -> list[str]:
        """Starts to track an endpoint and returns the controllers whose list has it now."""
        return self.ask("track", endpoint=endpoint)["holders"]

    def members(self, name: str) -> list[str]:
        """Returns the endpoints that a controller's list has now."""
        return self.ask("members", name=name)["nodes"]

    def clients(self) -> dict[str, ClientFigures]:
        """Returns the traffic of each controller."""
        return {name: ClientFigures(*figures) for name, figures in self.ask("figures")["clients"].items()}

    def acknowledgements(self) -> RelayAcknowledgements:
        """Returns what each controller acknowledged, and when."""
        answer = self.ask("held")
        revisions = {
            name: [AcknowledgedRevision(*one) for one in items] for name, items in answer["held"].items()
        }
        endpoints = {
            name: [(at, endpoint) for at, endpoint in items] for name, items in answer["told"].items()
        }
        return RelayAcknowledgements(revisions, endpoints)


async def serve() -> None:
    """Answers commands until the input of the process ends."""
    service = RelayService(asyncio.get_running_loop())
    await answer_commands(
        {
            "open": service.open,
            "track": service.track,
            "members": service.members,
            "figures": service.figures,
            "held": service.held,
        }
    )


if __name__ == "__main__":
    ignore_interrupts()
    asyncio.run(serve())
