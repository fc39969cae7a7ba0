"""The stage of the socket scenarios: the net code on loopback, with scripted decisions.

The clock is handed in and moves only by `at`; what travels on loopback is waited for by turning the loop.
"""

import io
import json
import socket
import struct
from enum import IntEnum

from oatcart.errors import InvalidConfigurationError
from oatcart.events import (
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.net import codec as wire
from oatcart.net.acceptor import RESERVED_DESCRIPTORS, Acceptor
from oatcart.net.configuration_reload import reload_on_signal
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds

TURNS, TURN = 400, 0.005  # turns of the loop until something must have come, s each; a met want ends them
QUIET = 6  # turns after which nothing more is under way on loopback


EVENT_WORDS = {
    EndpointListReceived: "listed",
    EndpointListFailed: "unlisted",
    HealthCheckCompleted: "probed",
    ProxyJoined: "joined",
    ProxyLeft: "left",
    UpdateAcknowledged: "applied",
    EndpointLoadReported: "met",
    ProxyLoadReported: "came",
}


def plain(field):
    """A field as scenarios write it: tuples and numbers in place of named tuples and enums."""
    if isinstance(field, tuple):
        return tuple(plain(one) for one in field)
    if isinstance(field, list):
        return [plain(one) for one in field]
    return int(field) if isinstance(field, IntEnum) else field


def value(word):
    try:
        return json.loads(word)
    except ValueError:
        return word


def raw(text):
    """Bytes as a scenario writes them: `\\r`, `\\n`, `\\xc3`."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def fields(words):
    """`sidecar=5 az=a` as a table."""
    return {name: value(text) for name, _, text in (word.partition("=") for word in words)}


class Stage:
    def __init__(self, cfg):
        self.now, self.said, self.ordered, self.failing = 100.0, [], [], False
        self.out, self.ends, self.read = io.StringIO(), {}, {}
        self.open_desk()
        self.calls = []
        desk = self.desk.getsockname()
        self.loop = Loop(lambda: self.now, self.failed)
        log = Log(self.loop.clock, self.out, max_lines=int(cfg.get("log_most", 100)))
        self.codec = wire.Codec(["lookup", "order"], ["a", "b"], 64)
        self.rounds = Rounds(self.loop, log, self.codec, cfg.get("gap", 0), 1000.0)
        watcher = EndpointListWatcher(self.loop, self.codec, log, desk, 5.0, self.rounds.add_event)
        prober = HealthChecker(
            self.loop, bool(cfg.get("reports", 1)), 0.25, watcher.addresses, self.rounds.add_event
        )
        self.rounds.start(self.round, watcher, prober)
        self.acceptor = Acceptor(
            self.loop, log, self.codec, self.rounds, int(RESERVED_DESCRIPTORS + cfg.get("room", 100))
        )
        self.listener = self.acceptor.listen(("127.0.0.1", 0))
        self.woken, self.waker = socket.socketpair()
        self.woken.setblocking(False)
        self.discovery, self.closed = desk, []
        self.loop.spawn(reload_on_signal(self.loop, log, self.woken, self.reload))

    def open_desk(self):
        self.desk = socket.create_server(("127.0.0.1", 0))  # discovery and all nodes in one
        self.desk.setblocking(False)

    def reload(self):
        """What a new configuration brings here: an address of discovery, or none that can be used."""
        if self.discovery is None:
            raise InvalidConfigurationError.of_field("discovery", "no address")
        self.rounds.watcher.set_discovery(self.discovery)
        return "taken in"

    def failed(self, error):
        raise error

    def round(self, now, arrivals, orders):
        """The scripted module: notes what comes, writes what the scenario orders."""
        self.said += [] if self.rounds.events else ["woke"]
        for arrival in arrivals:
            if self.failing and isinstance(arrival, UpdateAcknowledged):
                raise ArithmeticError("a mistake")
            self.said.append(
                " ".join([EVENT_WORDS[type(arrival)], *(str(plain(field)) for field in arrival)])
            )
        for name, args in self.ordered:
            getattr(orders, name)(*args)
        self.ordered = []

    def turn(self, longest=0.0):
        self.loop.turn(longest)
        self.rounds.run_if_due()

    def until(self, met, what):
        for _ in range(TURNS):
            if found := met():
                return found
            self.turn(TURN)
        raise AssertionError(f"at {self.now}: {what}; came {self.said}; log {self.out.getvalue()}")

    def quiet(self):
        for _ in range(QUIET):
            self.turn(TURN)

    def close(self):
        for task in set(self.loop.waiting.values()):
            self.loop.cancel(task)
        for sock in (
            *self.ends.values(),
            *self.calls,
            *self.closed,
            self.desk,
            self.listener,
            self.woken,
            self.waker,
            self.loop.epoll,
        ):
            sock.close()

    def line_from(self, name):
        """The next message that the conductor wrote to an end; None while it is not whole."""
        try:
            while b"\n" not in self.read[name] and (data := self.ends[name].recv(65536)):
                self.read[name] += data
        except BlockingIOError:
            pass
        line, end, rest = self.read[name].partition(b"\n")
        if end:
            self.read[name] = rest
        return json.loads(line) if end else None

    def has_ended(self, name):
        try:
            return not self.ends[name].recv(65536)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True

    def call(self):
        """The next call at the desk, as its first line."""
        try:
            while True:
                sock, _ = self.desk.accept()
                sock.setblocking(False)
                self.calls.append(sock)
        except BlockingIOError:
            pass
        for sock in [*self.calls]:
            try:
                data = sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            self.calls.remove(sock)
            if data:
                self.calls.append(sock)
                return data.split(b"\r\n")[0].decode()
            sock.close()  # the conductor has left it
        return None

    def flood(self, end, left):
        """So many bytes as fast as they are taken, or until the connection is over."""
        while left > 0:
            try:
                left -= end.send(b"x" * min(left, 65536))
            except BlockingIOError:
                self.turn()
            except ConnectionError:
                return

    def play(self, line):
        words = line.split()
        do, name, rest = words[0], (words[1:2] or [""])[0], words[2:]
        text = line.split(maxsplit=2)[-1]
        if do == "at":
            self.now = float(name)
            self.quiet()
        elif do == "dial":
            self.ends[name] = socket.create_connection(self.listener.getsockname())
            self.ends[name].setblocking(False)
            self.read[name] = b""
            self.quiet()
        elif do == "dials":  # with no turn of the loop in between, or after
            for name in words[1:]:
                self.ends[name] = socket.create_connection(self.listener.getsockname())
                self.ends[name].setblocking(False)
                self.read[name] = b""
        elif do == "say":
            self.ends[name].sendall(json.dumps({"msg": rest[0]} | fields(rest[1:])).encode() + b"\n")
        elif do == "raw":
            self.ends[name].sendall(raw(text))
            self.quiet()
        elif do == "flood":
            self.flood(self.ends[name], int(rest[0]))
        elif do == "shut":
            self.ends[name].shutdown(socket.SHUT_WR)
        elif do == "close":
            self.ends[name].close()
        elif do == "reset":
            self.ends[name].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.ends[name].close()
        elif do == "ended":
            self.until(lambda: self.has_ended(name), line)
        elif do == "hears":
            found = self.until(lambda: self.line_from(name), line)
            assert found == {"msg": rest[0]} | fields(rest[1:]), f"{line}: {found}"
        elif do == "silence":
            self.quiet()
            assert (found := self.line_from(name)) is None, f"{line}: {found}"
        elif do == "told":
            wanted = " ".join(words[1:])
            self.until(lambda: self.said and (wanted in self.said), line)
            self.said = self.said[self.said.index(wanted) + 1 :]
        elif do == "untold":
            self.quiet()
            assert not [one for one in self.said if one.startswith(" ".join(words[1:]))], (
                f"{line}: {self.said}"
            )
        elif do == "order":
            self.ordered.append((name, [value(word) for word in rest]))
            self.rounds.is_due = True
        elif do == "failing":
            self.failing = bool(int(name))
        elif do == "roll":
            self.rounds.watcher.receive(self.codec.decode_endpoint_list(self.listed(fields(words[1:]))))
        elif do == "moved":
            self.closed.append(self.desk)
            self.open_desk()
            self.discovery = self.desk.getsockname()
        elif do == "spoilt":
            self.discovery = None
        elif do == "hup":
            self.waker.send(b"\x01")
        elif do == "asked":
            found = self.until(self.call, line)
            assert found == f"GET {name} HTTP/1.1", f"{line}: {found}"
        elif do == "answer":
            body = (
                json.dumps(self.listed(fields(rest))).encode()
                if "=" in "".join(rest)
                else " ".join(rest).encode()
            )
            self.calls[-1].sendall(
                b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n" % (name.encode(), len(body)) + body
            )
        elif do == "babble":
            self.calls[-1].sendall(b"what?\r\n\r\n")
        elif do == "reply":
            self.calls[-1].sendall(raw(line.split(maxsplit=1)[1]))
        # an answer of that revision and length, head and all, then another one behind it
        elif do == "longreply":
            empty = json.dumps({"revision": int(name), "complete": False, "members": [], "pad": ""}).encode()
            head = b"HTTP/1.1 200 X\r\nContent-Length: %4d\r\n\r\n"
            pad = b"x" * (int(rest[0]) - len(head % 0) - len(empty))
            body, other = empty.replace(b'""', b'"%s"' % pad), line.split(maxsplit=3)[3].encode()
            self.calls[-1].sendall(head % len(body) + body + head % len(other) + other)
        elif do == "older":
            self.calls.append(self.calls.pop(-2))
        elif do == "unasked":
            self.quiet()
            assert (found := self.call()) is None, f"{line}: {found}"
        elif do == "hang":
            self.calls.pop().close()
        elif do == "cut":
            self.calls[-1].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.calls.pop().close()
        elif do == "logged":
            self.until(lambda: " ".join(words[1:]) in self.out.getvalue(), line)
            said = self.out.getvalue()
            self.out.truncate(self.out.seek(0))
            self.out.write(said.partition(" ".join(words[1:]))[2])
        else:
            raise ValueError(line)

    def listed(self, table):
        """A roll; members are written as `["id", zone, phase, started]` and stand at the desk."""
        if not isinstance(table.get("members"), list):
            return table
        at = "{}:{}".format(*self.desk.getsockname())
        return table | {
            "members": [
                {"id": one[0], "host_port": at, "locality": one[1], "phase": one[2], "up_since_ms": one[3]}
                if isinstance(one, list)
                else one
                for one in table["members"]
            ]
        }


def play(text):
    """Play a scenario on sockets; the first line that is not met fails."""
    lines = [
        line for part in text.splitlines() for line in (one.strip() for one in part.split("#")[0].split(";"))
    ]
    cfg = {line.split()[1]: float(line.split()[2]) for line in lines if line.startswith("set ")}
    stage = Stage(cfg)
    try:
        for line in lines:
            if line and not line.startswith("set "):
                stage.play(line)
    finally:
        stage.close()
