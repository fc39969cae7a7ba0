"""The test harness of the control role: a fake discovery and clients, all on its event loop."""

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

MAX_WAIT = 8.0  # s of real time that `Harness.wait_until` waits at most
ANY_PORT = ("127.0.0.1", 0)
BOUNDS, GUARD = ServerBounds(batching_delay=0.02, undecided_timeout=0.3), ListGuard(confirmation_delay=0.3)
FAST_SOURCE = DiscoverySettings(watch_timeout=1.0, fetch_timeout=1.0, max_backoff=0.1, refetch_interval=60.0)


def endpoint_entry(name, zone="a", phase="SERVING", port=5000, **more):
    """An entry of the endpoint list."""
    fields = {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "flavor": "m2", "cell": 3}
    return fields | {"phase": phase, "size": 1.0, "up_since_ms": 0} | more


def served_controller(name, services=(), zone="a", address=ANY_PORT):
    return ServedController(Controller(name, "default", zone, tuple(services)), address)


class FakeDiscovery:
    """A discovery server that follows the protocol and can also misbehave: `body_override` replaces every
    response body, `truncates_responses` closes connections in the middle of a response, `status` is sent as
    the status code."""

    def __init__(self, loop):
        self.loop, self.entries, self.revision, self.change_log = loop, {}, 1, []
        self.body_override, self.truncates_responses, self.status = None, False, 200
        self.calls, self.streams = [], []
        self.address, self.listener = ANY_PORT, None
        self.start()

    def start(self):
        self.server = Server(self.loop, None, None, None, None)
        self.server._admit = self._admit
        self.listener = self.server.listen(self.address)
        self.address = self.listener.address

    def stop(self):
        """Closes all connections and stops listening."""
        self.loop.cancel(self.listener.accept_task)
        self.loop.unregister(self.listener.sock.fileno())
        self.listener.sock.close()
        for task, stream in self.streams:
            if not task.done:
                self.loop.cancel(task)
            stream.close()
        self.streams = []

    def put(self, *entries):
        """Adds or replaces endpoints, in one revision."""
        self.revision += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.change_log.append((self.revision, entry))
        self.wake_watches()

    def remove(self, *names):
        self.revision += 1
        for name in names:
            self.change_log.append((self.revision, self.entries.pop(name) | {"phase": "DELETED"}))
        self.wake_watches()

    def drain(self, *names):
        self.put(*(self.entries[name] | {"phase": "DRAINING"} for name in names))

    def restart(self, entries, revision=1):
        """Restarts as a new incarnation, which does not know the revisions of the old one."""
        self.stop()
        self.entries, self.revision, self.change_log = {entry["id"]: entry for entry in entries}, revision, []
        self.start()

    def wake_watches(self):
        for task, _ in self.streams:
            if not task.done and task.wait.fd == -1:
                self.loop.expire(task)

    def _admit(self, sock, listener):
        stream = Stream(self.loop, sock)
        self.streams.append((self.loop.spawn(self._serve(stream)), stream))

    def _serve(self, stream):
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = yield from stream.read_available()
                    if not data:
                        return
                    http.receive_data(data)
                elif isinstance(event, h11.Request):
                    target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.calls.append(target)
                    body = yield from self._body(target)
                    headers = [("Content-Length", str(len(body)))]
                    response = http.send(h11.Response(status_code=self.status, headers=headers)) + http.send(
                        h11.Data(body)
                    )
                    if self.truncates_responses:
                        stream.write(response[: -len(body) // 2])
                        return
                    stream.write(response + http.send(h11.EndOfMessage()))
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
        while (
            since == self.revision
            and self.loop.now < until
            and self.body_override is None
            and self.status == 200
        ):
            yield Wait(deadline=until)
        if self.body_override is not None:
            return self.body_override
        if since is None:
            response = {"revision": self.revision, "complete": True, "members": [*self.entries.values()]}
        else:
            changed = {entry["id"]: entry for at, entry in self.change_log if at > since}
            response = {"revision": self.revision, "complete": False, "members": [*changed.values()]}
        return orjson.dumps(response)


class Harness:
    """A control role and its fake discovery."""

    def __init__(self, controllers, bounds=BOUNDS, guard=GUARD, **more):
        self.log_output = io.StringIO()
        self.loop = Loop(time.monotonic, self.on_error)
        self.discovery = FakeDiscovery(self.loop)
        source = FAST_SOURCE._replace(address=self.discovery.address)
        self.configuration = Configuration(
            listen=ANY_PORT, source=source, guard=guard, bounds=bounds, controllers=tuple(controllers), **more
        )
        self.role = self.start_role(self.configuration)

    def on_error(self, error):
        raise error

    def start_role(self, configuration):
        """Starts a control role on the same loop, with the same discovery."""
        role = ControlRole(configuration, self.loop, Log(lambda: 0.0, self.log_output, max_lines=1000))
        role.start()
        return role

    def close(self):
        """Stops the control role, all tasks and discovery."""
        self.role.stop()
        for task in set(self.loop.waiting.values()):
            self.loop.cancel(task)
        self.discovery.stop()
        self.loop.epoll.close()

    def wait_until(self, condition, description="that"):
        """Runs the loop until `condition` returns a true value, and returns that value."""
        last = self.loop.clock() + MAX_WAIT
        while self.loop.clock() < last:
            if value := condition():
                return value
            self.loop.turn(0.01)
        raise AssertionError(f"not within {MAX_WAIT} s: {description}; log: {self.log_output.getvalue()}")

    def run_for(self, seconds):
        last = self.loop.clock() + seconds
        while self.loop.clock() < last:
            self.loop.turn(0.01)

    def has_logged(self, text):
        return text in self.log_output.getvalue()

    def wait_ready(self, count=None):
        """Waits until so many endpoints (by default all of discovery) are known and all views are decided."""
        expected = len(self.discovery.entries) if count is None else count
        publisher = self.role.publisher
        self.wait_until(lambda: len(publisher.entries) == expected, f"{expected} endpoints known")
        self.wait_until(lambda: publisher.views.keys() == publisher.controllers.keys(), "all views decided")

    def call(self, address, path, timeout=5.0):
        """Starts a call."""
        return Call(self.loop, address, path, timeout)

    def get_view(self, name, query=""):
        """The response from a controller's own address, as parsed JSON, once its view is decided."""
        self.wait_until(lambda: name in self.role.publisher.views, f"a decision on {name}")
        return self.call(self.role.address_of(name), "/v1/servers" + query).result(self)

    def exchange(self, address, request):
        """Sends these bytes and returns all received bytes, until the server closes or sends nothing for 1
        s."""
        exchange = Exchange(self.loop, address, request)
        self.wait_until(lambda: exchange.is_done, f"the end of {request}")
        return exchange.data


class Call:
    """A call in progress. Once it is done, `body` is the parsed response, or `error` is why it failed."""

    def __init__(self, loop, address, path, timeout=5.0, client=None):
        self.loop, self.body, self.error, self.finished_at = loop, None, None, None
        self.client = client or HttpClient(loop, address)
        loop.spawn(self._run(path, loop.clock() + timeout))

    @property
    def is_done(self):
        return self.body is not None or self.error is not None

    def _run(self, path, until):
        try:
            self.body = orjson.loads((yield from self.client.get(path, until)))
        except ConnectionClosedError as error:
            self.error = error
        self.finished_at = self.loop.now

    def result(self, harness):
        harness.wait_until(lambda: self.is_done, "a response")
        assert self.error is None, self.error
        return self.body

    def next_call(self, path, timeout=5.0):
        """Starts another call on the same connection."""
        return Call(self.loop, None, path, timeout, self.client)


class Exchange:
    """Sends raw bytes and collects the received bytes in `data`. `reads`: whether it reads at all."""

    def __init__(self, loop, address, request, reads=True):
        self.loop, self.data, self.is_done, self.reads, self.stream = loop, b"", False, reads, None
        loop.spawn(self._run(address, request))

    def _run(self, address, request):
        self.stream = yield from connect(self.loop, address, self.loop.clock() + 5.0)
        self.stream.write(request)
        try:
            while self.reads and (received := (yield from self.stream.read_available(self.loop.now + 1.0))):
                self.data += bytes(received)
        except ConnectionClosedError:
            pass
        self.is_done = True
        if self.reads:
            self.stream.close()
        else:
            yield Wait(self.stream.fd, READABLE)


def ids(response):
    return sorted(entry["id"] for entry in response["members"])


def phases(response):
    return {entry["id"]: entry["phase"] for entry in response["members"]}
