"""The stage of the control role's tests: a stand-in for discovery and callers, all on the role's own loop."""

import io
import time
from urllib.parse import parse_qs

import h11
import orjson

from oatcart.errors import ConnectionClosedError
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Wait
from oatcart.net.stream import Stream, connect
from oatcart.views.configuration import Configuration, DiscoverySettings, ServedController, ServerBounds
from oatcart.views.list_guard import ListGuard
from oatcart.views.records import Controller
from oatcart.views.role import ControlRole
from oatcart.views.server import Server

WITHIN = 8.0  # s of real time until something must have come; a met want ends the wait
ANY_PORT = ("127.0.0.1", 0)
BOUNDS, GUARD = ServerBounds(batching_delay=0.02, undecided_timeout=0.3), ListGuard(confirmation_delay=0.3)
SOON = DiscoverySettings(watch_timeout=1.0, fetch_timeout=1.0, max_backoff=0.1, refetch_interval=60.0)


def endpoint_entry(name, zone="a", phase="SERVING", port=5000, **more):
    """An entry of the list."""
    told = {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "flavor": "m2", "cell": 3}
    return told | {"phase": phase, "size": 1.0, "up_since_ms": 0} | more


def controller(name, services=(), zone="a", address=ANY_PORT):
    return ServedController(Controller(name, "default", zone, tuple(services)), address)


class Discovery:
    """Discovery as the protocol has it, and as it must not be: `spoil` is a body that is answered in place of
    any, `cut` ends calls in the middle of an answer, `status` answers them with that."""

    def __init__(self, loop):
        self.loop, self.entries, self.revision, self.log = loop, {}, 1, []
        self.spoil, self.cut, self.status = None, False, 200
        self.calls, self.streams = [], []
        self.address, self.listener = ANY_PORT, None
        self.start()

    def start(self):
        self.serving = Server(self.loop, None, None, None, None)
        self.serving._admit = self._admit
        self.listener = self.serving.listen(self.address)
        self.address = self.listener.address

    def die(self):
        """Its connections are reset, new ones are rejected."""
        self.loop.cancel(self.listener.accept_task)
        self.loop.unregister(self.listener.sock.fileno())
        self.listener.sock.close()
        for task, stream in self.streams:
            if not task.done:
                self.loop.cancel(task)
            stream.close()
        self.streams = []

    def put(self, *entries):
        """Endpoints that come or change, in one revision."""
        self.revision += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.log.append((self.revision, entry))
        self.wake()

    def drop(self, *names):
        self.revision += 1
        for name in names:
            self.log.append((self.revision, self.entries.pop(name) | {"phase": "DELETED"}))
        self.wake()

    def drain(self, *names):
        self.put(*(self.entries[name] | {"phase": "DRAINING"} for name in names))

    def start_over(self, entries, revision=1):
        """A new life that knows nothing of the old one's revisions."""
        self.die()
        self.entries, self.revision, self.log = {entry["id"]: entry for entry in entries}, revision, []
        self.start()

    def wake(self):
        for task, _ in self.streams:
            if not task.done and task.wait.fd == -1:
                self.loop.expire(task)

    def _admit(self, sock, listener):
        stream = Stream(self.loop, sock)
        self.streams.append((self.loop.spawn(self._life(stream)), stream))

    def _life(self, stream):
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    part = yield from stream.read_available()
                    if not part:
                        return
                    http.receive_data(part)
                elif isinstance(event, h11.Request):
                    target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.calls.append(target)
                    body = yield from self._body(target)
                    headers = [("Content-Length", str(len(body)))]
                    data = http.send(h11.Response(status_code=self.status, headers=headers)) + http.send(
                        h11.Data(body)
                    )
                    if self.cut:
                        stream.write(data[: -len(body) // 2])
                        return
                    stream.write(data + http.send(h11.EndOfMessage()))
                    http.start_next_cycle()
                else:
                    return
        except ConnectionClosedError:
            pass
        finally:
            stream.close()

    def _body(self, target):
        query = parse_qs(target.partition("?")[2])
        since = int(query["since"][0]) if "since" in query else None
        until = self.loop.now + int(query.get("timeout_ms", ["0"])[0]) / 1000
        while since == self.revision and self.loop.now < until and self.spoil is None and self.status == 200:
            yield Wait(deadline=until)
        if self.spoil is not None:
            return self.spoil
        if since is None:
            told = {"revision": self.revision, "complete": True, "members": [*self.entries.values()]}
        else:
            changed = {entry["id"]: entry for at, entry in self.log if at > since}
            told = {"revision": self.revision, "complete": False, "members": [*changed.values()]}
        return orjson.dumps(told)


class Stage:
    """A control role and its discovery."""

    def __init__(self, controllers, bounds=BOUNDS, guard=GUARD, **more):
        self.out = io.StringIO()
        self.loop = Loop(time.monotonic, self.failed)
        self.discovery = Discovery(self.loop)
        source = SOON._replace(address=self.discovery.address)
        self.configuration = Configuration(
            listen=ANY_PORT, source=source, guard=guard, bounds=bounds, controllers=tuple(controllers), **more
        )
        self.role = self.start(self.configuration)

    def failed(self, error):
        raise error

    def start(self, configuration):
        """One more control role, on the same loop and before the same discovery."""
        role = ControlRole(configuration, self.loop, Log(lambda: 0.0, self.out, max_lines=1000))
        role.start()
        return role

    def close(self):
        """Whatever still waits ends, and what it holds is closed."""
        self.role.stop()
        for task in set(self.loop.waiting.values()):
            self.loop.cancel(task)
        self.discovery.die()
        self.loop.epoll.close()

    def until(self, met, what="that"):
        """Turn the loop until `met` hands back something true; hands it back."""
        last = self.loop.clock() + WITHIN
        while self.loop.clock() < last:
            if found := met():
                return found
            self.loop.turn(0.01)
        raise AssertionError(f"not within {WITHIN} s: {what}; the log: {self.out.getvalue()}")

    def for_(self, seconds):
        last = self.loop.clock() + seconds
        while self.loop.clock() < last:
            self.loop.turn(0.01)

    def logged(self, text):
        return text in self.out.getvalue()

    def ready(self, count=None):
        """So many endpoints are known and all views decided."""
        wanted = len(self.discovery.entries) if count is None else count
        publisher = self.role.publisher
        self.until(lambda: len(publisher.entries) == wanted, f"{wanted} nodes known")
        self.until(lambda: publisher.views.keys() == publisher.controllers.keys(), "all views decided")

    def call(self, address, path, within=5.0):
        """A call under way: its `body`, or the `ended` that it met, once it is over."""
        return Call(self.loop, address, path, within)

    def get(self, name, query=""):
        """The answer at a controller's own address, as JSON, once its view is decided."""
        self.until(lambda: name in self.role.publisher.views, f"a decision on {name}")
        return self.call(self.role.address_of(name), "/v1/servers" + query).result(self)

    def asked(self, address, request):
        """Whatever comes back for these bytes, until the other side closes or nothing more comes."""
        exchange = Exchange(self.loop, address, request)
        self.until(lambda: exchange.over, f"an end of {request}")
        return exchange.data


class Call:
    """One call over a client that may be kept."""

    def __init__(self, loop, address, path, within=5.0, client=None):
        self.loop, self.body, self.ended, self.at = loop, None, None, None
        self.client = client or HttpClient(loop, address)
        loop.spawn(self._run(path, loop.clock() + within))

    @property
    def over(self):
        return self.body is not None or self.ended is not None

    def _run(self, path, until):
        try:
            self.body = orjson.loads((yield from self.client.get(path, until)))
        except ConnectionClosedError as ended:
            self.ended = ended
        self.at = self.loop.now

    def result(self, stage):
        stage.until(lambda: self.over, "an answer")
        assert self.ended is None, self.ended
        return self.body

    def again(self, path, within=5.0):
        """The next call on the same connection."""
        return Call(self.loop, None, path, within, self.client)


class Exchange:
    """Bytes as they stand, sent and received; `reads`: whether it ever reads."""

    def __init__(self, loop, address, request, reads=True):
        self.loop, self.data, self.over, self.reads, self.stream = loop, b"", False, reads, None
        loop.spawn(self._run(address, request))

    def _run(self, address, request):
        self.stream = yield from connect(self.loop, address, self.loop.clock() + 5.0)
        self.stream.write(request)
        try:
            while self.reads and (part := (yield from self.stream.read_available(self.loop.now + 1.0))):
                self.data += bytes(part)
        except ConnectionClosedError:
            pass
        self.over = True
        if self.reads:
            self.stream.close()
        else:
            yield Wait(self.stream.fd, READABLE)


def ids(answer):
    return sorted(entry["id"] for entry in answer["members"])


def phases(answer):
    return {entry["id"]: entry["phase"] for entry in answer["members"]}
