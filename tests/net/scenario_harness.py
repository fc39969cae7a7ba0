"""Plays the socket scenarios: `tests/net/scenarios/*.txt`, in the notation of `tests/README.md`."""

import json
import socket
import struct
from typing import Any

from network_harness import EMPTY_ROUND, READ_BYTES, NetworkHarness

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close() sends RST
PADDED_HEAD = b"HTTP/1.1 200 X\r\nContent-Length: %4d\r\n\r\n"


def parsed(token: str) -> Any:
    """Returns a token's JSON value, or the token itself if it is not JSON."""
    try:
        return json.loads(token)
    except ValueError:
        return token


def unescaped(text: str) -> bytes:
    r"""Returns the bytes of a text with escapes such as `\r`, `\n`, `\xc3`."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def fields(tokens: list[str]) -> dict[str, Any]:
    """Returns `sidecar=5 az=a` as a table."""
    return {name: parsed(text) for name, _, text in (token.partition("=") for token in tokens)}


def message(tokens: list[str]) -> dict[str, Any]:
    """Returns `joined sidecar=5 az=a` as a message of that type."""
    return {"msg": tokens[0]} | fields(tokens[1:])


def reset(connection: socket.socket) -> None:
    """Closes a connection with RST."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


class ScenarioHarness(NetworkHarness):
    """A network harness that plays the steps of a scenario; method `step_x` plays step `x`.

    The methods take the step's arguments as text. A check that fails raises AssertionError with the step.
    """

    def play(self, step: str) -> None:
        """Plays one step; raises ValueError if there is no such step."""
        name, _, arguments = step.partition(" ")
        method = getattr(self, f"step_{name}", None)
        if method is None:
            raise ValueError(f"unknown step: {step}")
        self._step = step
        method(arguments)

    # the clock, the configuration and the decisions

    def step_at(self, time: str) -> None:
        """Moves the clock to a time in s."""
        self.now = float(time)
        self.settle()

    def step_discovery_moves(self, _: str) -> None:
        """Configures a new address of the discovery service, which takes effect with `sighup`."""
        self.former_servers.append(self.discovery_server)
        self.open_discovery_server()
        self.configured_discovery = self.discovery_server.getsockname()

    def step_invalid_configuration(self, _: str) -> None:
        """Makes the configuration invalid until `discovery_moves`."""
        self.configured_discovery = None

    def step_sighup(self, _: str) -> None:
        """Signals the controller to reload its configuration."""
        self.signal_writer.send(b"\x01")

    def step_known_list(self, text: str) -> None:
        """Gives the watcher an endpoint list, as if discovery had answered with it."""
        listed = self._endpoint_list(fields(text.split()))
        self.rounds.watcher.receive(self.codec.decode_endpoint_list(listed))

    def step_command(self, text: str) -> None:
        """Makes a round due in which the decisions write a command."""
        name, *arguments = text.split()
        self.pending_commands.append((name, [parsed(token) for token in arguments]))
        self.rounds.is_due = True

    def step_decisions_fail(self, fail: str) -> None:
        """Makes the decisions raise on acknowledgements, or stops that."""
        self.decisions_fail = parsed(fail)

    def step_expect_event(self, expected: str) -> None:
        """Expects an event after the one that was expected last."""
        self.wait_until(lambda: expected in self.events_seen, self._step)
        self.events_seen = self.events_seen[self.events_seen.index(expected) + 1 :]

    def step_expect_no_event(self, prefix: str) -> None:
        """Expects no event with this prefix after the one that was expected last."""
        self.settle()
        found = [event for event in self.events_seen if event.startswith(prefix)]
        assert not found, f"{self._step}: {self.events_seen}"

    def step_expect_empty_round(self, _: str) -> None:
        """Expects a round without events."""
        self.step_expect_event(EMPTY_ROUND)

    def step_expect_no_empty_round(self, _: str) -> None:
        """Expects no round without events."""
        self.step_expect_no_event(EMPTY_ROUND)

    def step_expect_log(self, expected: str) -> None:
        """Expects a text in the log, after the one that was expected last."""
        self.wait_until(lambda: expected in self.log_output.getvalue(), self._step)
        _, _, rest = self.log_output.getvalue().partition(expected)
        self.log_output.truncate(self.log_output.seek(0))
        self.log_output.write(rest)

    # connections of proxies, collectors and others

    def step_connect(self, name: str) -> None:
        """Opens a connection and lets the controller accept it."""
        self.connect(name)
        self.settle()

    def step_connect_at_once(self, names: str) -> None:
        """Opens connections without a turn of the loop in between or after."""
        for name in names.split():
            self.connect(name)

    def step_send(self, text: str) -> None:
        """Sends a message."""
        name, *tokens = text.split()
        self.connections[name].sendall(json.dumps(message(tokens)).encode() + b"\n")

    def step_send_bytes(self, text: str) -> None:
        """Sends bytes as they are written."""
        name, data = text.split(maxsplit=1)
        self.connections[name].sendall(unescaped(data))
        self.settle()

    def step_flood(self, text: str) -> None:
        """Sends a number of bytes as fast as they are read, or until the connection is closed."""
        name, size = text.split()
        left = int(size)
        while left > 0:
            try:
                left -= self.connections[name].send(b"x" * min(left, READ_BYTES))
            except BlockingIOError:
                self.turn()
            except ConnectionError:
                return

    def step_half_close(self, name: str) -> None:
        """Closes the sending side of a connection."""
        self.connections[name].shutdown(socket.SHUT_WR)

    def step_close(self, name: str) -> None:
        """Closes a connection."""
        self.connections[name].close()

    def step_reset(self, name: str) -> None:
        """Resets a connection."""
        reset(self.connections[name])

    def step_expect_closed(self, name: str) -> None:
        """Expects the controller to close a connection."""
        self.wait_until(lambda: self.is_closed(name), self._step)

    def step_expect_message(self, text: str) -> None:
        """Expects the next message to a connection, with exactly these fields."""
        name, *tokens = text.split()
        found = self.wait_until(lambda: self.next_message(name), self._step)
        assert found == message(tokens), f"{self._step}: {found}"

    def step_expect_silence(self, name: str) -> None:
        """Expects no further message to a connection."""
        self.settle()
        assert (found := self.next_message(name)) is None, f"{self._step}: {found}"

    # requests at the discovery service and at endpoints

    def step_expect_request(self, path: str) -> None:
        """Expects the next request; the steps after it respond to it."""
        found = self.wait_until(self.next_request, self._step)
        assert found == f"GET {path} HTTP/1.1", f"{self._step}: {found}"

    def step_expect_no_request(self, _: str) -> None:
        """Expects no further request."""
        self.settle()
        assert (found := self.next_request()) is None, f"{self._step}: {found}"

    def step_respond(self, text: str) -> None:
        """Responds with a status and a body: fields as JSON, other words as they are."""
        status, *tokens = text.split()
        if "=" in text:
            body = json.dumps(self._endpoint_list(fields(tokens))).encode()
        else:
            body = " ".join(tokens).encode()
        head = b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n" % (status.encode(), len(body))
        self.requests[-1].sendall(head + body)

    def step_respond_garbage(self, _: str) -> None:
        """Responds with data that is not HTTP."""
        self.requests[-1].sendall(b"what?\r\n\r\n")

    def step_respond_bytes(self, text: str) -> None:
        """Responds with bytes as they are written."""
        self.requests[-1].sendall(unescaped(text))

    def step_respond_padded(self, text: str) -> None:
        """Responds with a list of a revision, padded to a size including its head, and a second response."""
        revision, size, second = text.split(maxsplit=2)
        table = {"revision": int(revision), "complete": False, "members": [], "pad": ""}
        empty = json.dumps(table).encode()
        padding = b"x" * (int(size) - len(PADDED_HEAD % 0) - len(empty))
        bodies = empty.replace(b'""', b'"%s"' % padding), second.encode()
        self.requests[-1].sendall(b"".join(PADDED_HEAD % len(body) + body for body in bodies))

    def step_previous_request(self, _: str) -> None:
        """Makes the request before the current one the current one."""
        self.requests.append(self.requests.pop(-2))

    def step_close_request(self, _: str) -> None:
        """Closes the current request's connection."""
        self.requests.pop().close()

    def step_reset_request(self, _: str) -> None:
        """Resets the current request's connection."""
        reset(self.requests.pop())

    def _endpoint_list(self, listed: dict[str, Any]) -> dict[str, Any]:
        """Returns a list with its members `["id", zone, phase, started]` written as full entries."""
        if not isinstance(listed.get("members"), list):
            return listed
        return listed | {"members": [self._member(member) for member in listed["members"]]}

    def _member(self, member: Any) -> Any:
        if not isinstance(member, list):
            return member
        address = "{}:{}".format(*self.discovery_server.getsockname())
        endpoint, zone, phase, started = member
        return {
            "id": endpoint,
            "host_port": address,
            "locality": zone,
            "phase": phase,
            "up_since_ms": started,
        }


def play(text: str) -> None:
    """Plays a scenario, one step per line; the first check that fails raises AssertionError."""
    steps = [step for line in text.splitlines() if (step := line.split("#")[0].strip())]
    settings = {step.split()[1]: float(step.split()[2]) for step in steps if step.startswith("set ")}
    harness = ScenarioHarness(settings)
    try:
        for step in steps:
            if not step.startswith("set "):
                harness.play(step)
    finally:
        harness.close()
