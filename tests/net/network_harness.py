"""The network code of a controller on loopback, with scripted decisions and a scripted discovery service.

The clock is injected and moves only when a test sets it; the loop is turned until loopback traffic arrives.
"""

import io
import json
import socket
from collections.abc import Callable
from enum import IntEnum
from typing import Any, TypeVar

from oatcart.commands import CommandWriter
from oatcart.errors import InvalidConfigurationError
from oatcart.events import Event, UpdateAcknowledged
from oatcart.net.acceptor import RESERVED_DESCRIPTORS, Acceptor
from oatcart.net.codec import Codec
from oatcart.net.configuration_reload import reload_on_signal
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds

MAX_TURNS = 400  # turns of the loop before a wait fails
MAX_TURN_WAIT_S = 0.005  # longest wait of one turn
SETTLE_TURNS = 6  # turns after which all data on loopback has been handled
START_TIME = 100.0  # s, of the injected clock
READ_BYTES = 65536
EMPTY_ROUND = "empty_round"  # recorded for a round without events

Found = TypeVar("Found")


def plain(field: Any) -> Any:
    """Returns a field as scenarios write it: tuples and numbers in place of named tuples and enums."""
    if isinstance(field, tuple):
        return tuple(plain(item) for item in field)
    if isinstance(field, list):
        return [plain(item) for item in field]
    return int(field) if isinstance(field, IntEnum) else field


class NetworkHarness:
    """The modules of `oatcart.net`, connected as in a controller process, with recorded events.

    `settings`: `connection_limit` (besides reserved descriptors), `round_interval` (s), `load_reports` (0 or
    1), `max_log_lines`.
    """

    def __init__(self, settings: dict[str, float]) -> None:
        self.now = START_TIME
        self.events_seen: list[str] = []
        self.pending_commands: list[tuple[str, list[Any]]] = []  # written in the next round
        self.decisions_fail = False
        self.log_output = io.StringIO()
        self.connections: dict[str, socket.socket] = {}  # the other ends, by their name in the scenario
        self.received: dict[str, bytes] = {}  # not yet a complete message, by connection
        self.requests: list[socket.socket] = []  # open at the discovery service, the current one last
        self.former_servers: list[socket.socket] = []
        self.open_discovery_server()
        self.configured_discovery: tuple[str, int] | None = self.discovery_server.getsockname()
        self._start_controller(settings)

    def _start_controller(self, settings: dict[str, float]) -> None:
        self.loop = Loop(lambda: self.now, self._raise)
        log = Log(self.loop.clock, self.log_output, max_lines=int(settings.get("max_log_lines", 100)))
        self.codec = Codec(["lookup", "order"], ["a", "b"], 64)
        self.rounds = Rounds(self.loop, log, self.codec, settings.get("round_interval", 0), 1000.0)
        watcher = EndpointListWatcher(
            self.loop, self.codec, log, self.configured_discovery, 5.0, self.rounds.add_event
        )
        health_checker = HealthChecker(
            self.loop, bool(settings.get("load_reports", 1)), 0.25, watcher.addresses, self.rounds.add_event
        )
        self.rounds.start(self.decide, watcher, health_checker)
        connection_limit = int(RESERVED_DESCRIPTORS + settings.get("connection_limit", 100))
        self.acceptor = Acceptor(self.loop, log, self.codec, self.rounds, connection_limit)
        self.listener = self.acceptor.listen(("127.0.0.1", 0))
        self.signal_reader, self.signal_writer = socket.socketpair()
        self.signal_reader.setblocking(False)
        self.loop.spawn(reload_on_signal(self.loop, log, self.signal_reader, self._reload))

    def open_discovery_server(self) -> None:
        """Opens the socket that stands for the discovery service and for all endpoints."""
        self.discovery_server = socket.create_server(("127.0.0.1", 0))
        self.discovery_server.setblocking(False)

    def _reload(self) -> str:
        """Applies the configured discovery address; raises InvalidConfigurationError if there is none."""
        if self.configured_discovery is None:
            raise InvalidConfigurationError.of_field("discovery", "no address")
        self.rounds.watcher.set_discovery(self.configured_discovery)
        return "configuration applied"

    def _raise(self, error: Exception) -> None:
        raise error

    def decide(self, now: float, events: list[Event], commands: CommandWriter) -> None:
        """Runs the scripted decisions: records the events, writes the pending commands."""
        if not self.rounds.events:
            self.events_seen.append(EMPTY_ROUND)
        for event in events:
            if self.decisions_fail and isinstance(event, UpdateAcknowledged):
                raise ArithmeticError("a mistake")
            self.events_seen.append(" ".join([type(event).__name__, *(str(plain(field)) for field in event)]))
        for command, arguments in self.pending_commands:
            getattr(commands, command)(*arguments)
        self.pending_commands = []

    def turn(self, max_wait: float = 0.0) -> None:
        """Turns the loop once, waiting at most `max_wait` s, and runs a round if one is due."""
        self.loop.turn(max_wait)
        self.rounds.run_if_due()

    def wait_until(self, find: Callable[[], Found], expectation: str) -> Found:
        """Turns the loop until `find` returns something true; raises AssertionError after MAX_TURNS."""
        for _ in range(MAX_TURNS):
            if found := find():
                return found
            self.turn(MAX_TURN_WAIT_S)
        raise AssertionError(
            f"at {self.now}: {expectation}; events {self.events_seen}; log {self.log_output.getvalue()}"
        )

    def settle(self) -> None:
        """Turns the loop until all data on loopback has been handled."""
        for _ in range(SETTLE_TURNS):
            self.turn(MAX_TURN_WAIT_S)

    def close(self) -> None:
        """Cancels all tasks and closes all sockets."""
        for task in set(self.loop.waiting.values()):
            self.loop.cancel(task)
        for closable in (
            *self.connections.values(),
            *self.requests,
            *self.former_servers,
            self.discovery_server,
            self.listener,
            self.signal_reader,
            self.signal_writer,
            self.loop.epoll,
        ):
            closable.close()

    def connect(self, name: str) -> None:
        """Opens a connection to the acceptor, without a turn of the loop."""
        self.connections[name] = socket.create_connection(self.listener.getsockname())
        self.connections[name].setblocking(False)
        self.received[name] = b""

    def next_message(self, name: str) -> Any:
        """Returns the next message to a connection; None while it is incomplete."""
        try:
            while b"\n" not in self.received[name] and (data := self.connections[name].recv(READ_BYTES)):
                self.received[name] += data
        except BlockingIOError:
            pass
        line, end, rest = self.received[name].partition(b"\n")
        if end:
            self.received[name] = rest
        return json.loads(line) if end else None

    def is_closed(self, name: str) -> bool:
        """Returns whether the controller has closed a connection; drops the data received before."""
        try:
            return not self.connections[name].recv(READ_BYTES)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def next_request(self) -> str | None:
        """Returns the first line of the next request at the discovery server; None if there is none.

        Its connection becomes the last of `requests`; connections that the controller has closed are closed
        here too.
        """
        self._accept_requests()
        for connection in [*self.requests]:
            try:
                data = connection.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            self.requests.remove(connection)
            if data:
                self.requests.append(connection)
                return data.split(b"\r\n")[0].decode()
            connection.close()
        return None

    def _accept_requests(self) -> None:
        try:
            while True:
                connection, _ = self.discovery_server.accept()
                connection.setblocking(False)
                self.requests.append(connection)
        except BlockingIOError:
            pass
