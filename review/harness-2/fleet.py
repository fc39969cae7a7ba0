"""Stand-ins for a small deployment: discovery, endpoints, proxies, collectors; and the controllers.

All of them follow the operators' pages (`kit/real/PROTOCOL.md`, `kit/real/DEPLOY.md`). The controllers are
separate processes, started with the command `run` of `deploy/balancer.toml`; the stand-ins share one process.
Every address is on loopback. `Fleet.record` has a line for all that is sent, answered and run.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from math import inf
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
COLLECTOR_LATE_S = 0.6  # reports reach a controller so late


class CouldNotRunError(Exception):
    """The case can't be played on this machine; the script ends with 2."""


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return time.monotonic() - self.started

    def write(self, who: str, text: str) -> None:
        """Write a line with the time, who acted and what happened."""
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


class Call(NamedTuple):
    """A call to discovery that has ended: by its answer, or without one."""

    who: str
    path: str
    at: float
    ended_at: float
    revision: int  # of the answer; -1: none was written


class Discovery:
    """Discovery: the list of endpoints by revision, complete lists and watches.

    Each controller has an address of its own for it. `list_call_s`: how long a call for the complete
    list takes.
    """

    def __init__(self, record: Record, list_call_s: float = 0.0) -> None:
        self.record, self.list_call_s = record, list_call_s
        self.revision = 1
        self.members: dict[str, dict] = {}
        self.changes: list[tuple[int, str]] = []  # (revision, id)
        self.gone: dict[str, dict] = {}
        self.changed = asyncio.Event()
        self.calls: list[Call] = []  # that have ended, in this order
        self.watches: dict[asyncio.StreamWriter, tuple[str, float]] = {}  # open ones: caller and start
        self.lists_begun: dict[str, int] = {}  # calls for the complete list that were begun, by caller
        self.on_list_call = lambda who: None  # called when the answering of a complete list begins
        self.servers: list[asyncio.Server] = []

    async def listen(self, who: str) -> int:
        """Listen on a free port for a controller, and return the port."""
        server = await asyncio.start_server(lambda *ends: self._serve(who, *ends), "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def set_member(self, member: dict) -> int:
        """Add or change an entry; phase DELETED removes it. Returns the new revision."""
        self.revision += 1
        key = member["id"]
        if member["phase"] == "DELETED":
            self.members.pop(key, None)
            self.gone[key] = member
        else:
            self.gone.pop(key, None)
            self.members[key] = member
        self.changes.append((self.revision, key))
        self.record.write("discovery", f"revision {self.revision}: {key} is {member['phase']}")
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def complete(self) -> dict:
        """Return the complete list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def since(self, revision: int) -> dict:
        """Return the changes after a revision, each entry once."""
        keys = dict.fromkeys(key for at, key in self.changes if at > revision)
        members = [self.members.get(key) or self.gone[key] for key in keys]
        return {"revision": self.revision, "complete": False, "members": members}

    def reset_watch(self, who: str) -> None:
        """Reset the connection of a controller's open watch, as the network may do."""
        for writer in [writer for writer, (caller, _) in self.watches.items() if caller == who]:
            self.record.write("network", f"the connection of the watch of {who} is reset")
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def told_at(self, who: str, revision: int, listed_at: float, ask_within: float, now: float) -> float:
        """Return when a controller was told of a revision, or counts as told, by the rule of `askWithin`.

        It was told once discovery had written the revision to it. It counts as told of what was listed
        `ask_within` ago once it has neither watched nor asked for so long; four times so long after a failed
        call. Infinite: neither has happened until `now`.
        """
        calls = [call for call in self.calls if call.who == who]
        calls += [Call(who, "watch", at, inf, -1) for caller, at in self.watches.values() if caller == who]
        written = min((call.ended_at for call in calls if call.revision >= revision), default=inf)
        # a watch or a call counts from its start to its end; a renewed watch has gaps below 200 ms
        latest = sorted((call.ended_at, call.revision) for call in calls if call.at <= listed_at)[-1]
        silent_from = listed_at
        while True:
            around = [
                call for call in calls if call.at <= silent_from + ask_within and call.ended_at > silent_from
            ]
            if not around:
                break
            last = max(around, key=lambda call: call.ended_at)
            if last.ended_at == inf:
                return written
            silent_from, latest = last.ended_at, (last.ended_at, last.revision)
        wait = ask_within if latest[1] >= 0 else 4 * ask_within
        counts_at = silent_from + wait
        return min(written, counts_at if counts_at <= now else inf)

    async def _serve(self, who: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                at, revision = self.record.now(), -1
                self.record.write("discovery", f"call from {who}: GET {path}")
                try:
                    revision = await self._answer(who, path, reader, writer)
                finally:
                    self.watches.pop(writer, None)
                    self.calls.append(Call(who, path, at, self.record.now(), revision))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, who: str, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
        if "?" not in path:
            self.lists_begun[who] = self.lists_begun.get(who, 0) + 1
            self.on_list_call(who)
            await asyncio.sleep(self.list_call_s)
            answer = self.complete()
        else:
            query = dict(part.split("=") for part in path.split("?")[1].split("&"))
            since, wait = int(query["since"]), min(60.0, float(query["timeout_ms"]) / 1000)
            self.watches[writer] = who, self.record.now()
            await self._wait_for_change(since, wait, reader)
            answer = self.since(since) if since <= self.revision else self.complete()
        if reader.at_eof() or writer.is_closing():
            self.record.write("discovery", f"the connection of {who} has ended, no answer to GET {path}")
            raise ConnectionResetError
        body = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        changed = [f"{one['id']}={one['phase']}" for one in answer["members"]]
        what = f"{len(changed)} entries" if answer["complete"] else (", ".join(changed) or "no change")
        self.record.write("discovery", f"answer to {who}: revision {answer['revision']}, {what}")
        return answer["revision"]

    async def _wait_for_change(self, since: int, wait: float, reader: asyncio.StreamReader) -> None:
        """Wait until the list is newer than a revision, the time has passed or the connection has ended."""
        ends = time.monotonic() + wait
        while self.revision <= since and (left := ends - time.monotonic()) > 0 and not _has_ended(reader):
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left, 0.05))


def _has_ended(reader: asyncio.StreamReader) -> bool:
    return reader.at_eof() or reader.exception() is not None


class Endpoint:
    """A server: answers requests after `work_s`, health checks at once."""

    def __init__(self, record: Record, name: str, work_s: float = 0.03) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self.in_flight = 0
        self.requests: list[tuple[float, int]] = []  # when, and from which proxy
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, zone: str, phase: str = "SERVING", up_since_ms: int = 0) -> dict:
        """Return its entry in the list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": zone,
            "flavor": "full-speed",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    def load(self) -> dict:
        """Return its load report."""
        return {"inflight": self.in_flight}

    def end(self) -> None:
        """End the process that it stands for: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                if path.startswith("/request/"):
                    proxy = int(path.split("/")[2])
                    self.requests.append((self.record.now(), proxy))
                    self.record.write(self.name, f"request from proxy {proxy}")
                    self.in_flight += 1
                    try:
                        await asyncio.sleep(self.work_s)
                    finally:
                        self.in_flight -= 1
                body = json.dumps(self.load()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.record.write(self.name, f"answer to GET {path}")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Channel:
    """A controller's channel: messages leave it one after the other, `line_rate` lines a second."""

    def __init__(self, settings: dict) -> None:
        specifics = settings["specifics"]
        self.line_rate, self.envelope = specifics["pushRate"], specifics["envelope"]
        self.travel_s, self.travel_most_s = specifics["pushDelay"] / 1000, specifics["pushDelayMax"] / 1000
        self.free_at = 0.0  # when all that has entered it will have left

    def pass_on(self, parts: list[dict], chance: random.Random) -> float:
        """Take in a message and return when it reaches the proxy (monotonic time)."""
        lines = self.envelope + sum(map(self._lines, parts))
        self.free_at = max(self.free_at, time.monotonic()) + lines / self.line_rate
        return self.free_at + min(self.travel_most_s, chance.expovariate(1 / self.travel_s))

    def _lines(self, part: dict) -> int:
        listed = sum(len(part.get(field, ())) for field in ("endpoints", "eject", "restore"))
        return listed + ("full" in part) + ("admit" in part) + ("nonce_out" in part)


class Proxy:
    """A proxy: keeps the tables that it is ordered, and sends requests by them, `rate` a second."""

    def __init__(self, fleet: "Fleet", number: int, zone: str, rate: float) -> None:
        self.fleet, self.number, self.zone, self.rate = fleet, number, zone, rate
        self.random = random.Random(number)
        self.tables: dict[str, dict[str, float]] = {}  # by request kind: weights by endpoint
        self.admit: dict[str, float] = {}
        self.shut_out: set[str] = set()
        self.standing = True  # it holds no table that was ordered
        self.sent: list[tuple[float, str]] = []  # when a request was sent, and to which endpoint
        self.met: dict[str, list[float]] = {}  # durations at each endpoint since the last report, -1: failed
        self.came: dict[str, int] = {}
        self.out: dict[str, int] = {}  # own requests that are out, by endpoint
        self.writer: asyncio.StreamWriter | None = None
        self.joined_at = float("inf")
        self.empty_since: dict[str, float] = {}  # by request kind, while no line is left to pick
        self.longest_empty = (0.0, "", 0.0)  # seconds, kind, when it ended
        self.orders: asyncio.Queue = asyncio.Queue()

    def draw_standing(self, members: list[dict]) -> None:
        """Draw the standing table, from the list, in its zone if three are there."""
        ready = [one for one in members if one["phase"] == "SERVING"]
        own = [one["id"] for one in ready if one["locality"] == self.zone]
        names = own if len(own) >= 3 else [one["id"] for one in ready]
        drawn = self.random.sample(names, min(self.fleet.standing, len(names)))
        self.tables = {kind: dict.fromkeys(drawn, 1.0) for kind in self.fleet.kinds}

    async def run(self, controller: "Controller") -> None:
        """Hold a stream to the controller; dial again after a break."""
        while True:
            try:
                await self._stream(controller)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.fleet.record.write(f"proxy {self.number}", f"stream ended: {type(error).__name__}")
            self.joined_at = float("inf")
            await asyncio.sleep(self.random.uniform(*self.fleet.redial_s))

    async def _stream(self, controller: "Controller") -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", controller.port, limit=2**21)
        orders = asyncio.create_task(self._apply_orders(self.writer))
        try:
            await asyncio.sleep(0)
            self._send(
                msg="joined", sidecar=self.number, az=self.zone, share=self.rate, standing=self.standing
            )
            self.joined_at = self.fleet.record.now()
            self.fleet.record.write(f"proxy {self.number}", f"joined {controller.name}, {self.standing=}")
            parts: list[dict] = []
            reaches_at = 0.0  # messages arrive in order
            while True:
                line = await reader.readuntil(b"\n")
                parts.append(json.loads(line))
                if not parts[-1].get("continued"):
                    reaches_at = max(reaches_at, controller.channel.pass_on(parts, self.random))
                    self.orders.put_nowait((reaches_at, parts))
                    parts = []
        finally:
            orders.cancel()
            self.orders = asyncio.Queue()  # what travels is lost when the stream breaks
            self.writer.close()

    def _send(self, **message: object) -> None:
        self.writer.write(json.dumps(message).encode() + b"\n")

    async def _apply_orders(self, writer: asyncio.StreamWriter) -> None:
        while True:
            due, parts = await self.orders.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            for part in parts:
                self._apply(part)
            self.fleet.record.write(f"proxy {self.number}", f"applied {json.dumps(parts)}")
            self.note_empty()
            for part in parts:
                if "nonce_out" in part:
                    message = {"sidecar": self.number, "version": part["nonce_out"], "lag_ms": 300.0}
                    writer.write(json.dumps({"msg": "applied", **message}).encode() + b"\n")

    def _apply(self, part: dict) -> None:
        for kind in part.get("routes") or self.fleet.kinds:
            if part.get("full"):
                self.tables[kind] = {}
                self.admit.pop(kind, None)
                self.standing = False
            for name, weight in part.get("endpoints", ()):
                if weight:
                    self.tables[kind][name] = weight
                else:
                    self.tables[kind].pop(name, None)
            if "admit" in part:
                self.admit[kind] = part["admit"]
        self.shut_out |= set(part.get("eject", ()))
        self.shut_out -= set(part.get("restore", ()))

    def lines(self, kind: str) -> dict[str, float]:
        """Return the lines that it may pick for a kind of request."""
        return {name: weight for name, weight in self.tables[kind].items() if name not in self.shut_out}

    def note_empty(self) -> None:
        """Note for which kinds there is no line to pick, and since when."""
        now = self.fleet.record.now()
        for kind in self.fleet.kinds:
            if not self.lines(kind):
                self.empty_since.setdefault(kind, now)
            else:
                self.empty_since.pop(kind, None)

    async def send_requests(self) -> None:
        """Send requests at random times, each in a task of its own."""
        kinds, shares = list(self.fleet.kinds), list(self.fleet.kinds.values())
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            kind = self.random.choices(kinds, shares)[0]
            self.came[kind] = self.came.get(kind, 0) + 1
            lines = self.lines(kind)
            if self.random.random() < self.admit.get(kind, 1.0) and lines:
                self.fleet.spawn(self._send_request(self._pick(lines)))

    def _pick(self, lines: dict[str, float]) -> str:
        drawn = self.random.choices(list(lines), list(lines.values()), k=2)
        return min(drawn, key=lambda name: self.out.get(name, 0))

    async def _send_request(self, name: str) -> None:
        started = time.monotonic()
        self.sent.append((self.fleet.record.now(), name))
        self.out[name] = self.out.get(name, 0) + 1
        took = -1.0
        try:
            async with asyncio.timeout(1.2):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.fleet.endpoints[name].port)
                try:
                    writer.write(b"GET /request/%d HTTP/1.1\r\nHost: x\r\n\r\n" % self.number)
                    await reader.readuntil(b"}")
                    took = time.monotonic() - started
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            self.out[name] -= 1
            self.met.setdefault(name, []).append(took)

    def report_usage(self, window: float) -> None:
        """Send what came since the last report on its stream."""
        if self.writer is None or self.writer.is_closing() or self.joined_at == float("inf"):
            return
        for kind, count in self.came.items():
            self._send(msg="usage", sidecar=self.number, kind=kind, n=count, bad=0, window=window * 1000)
        self.came = {}


class Controller:
    """A controller under test: a process of its own, started with `run` of the deploy file."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.port = free_port()
        self.discovery_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, settings: dict, known: dict, zone_index: int = 0) -> None:
        """Write its configuration, start it and wait until it answers a ping."""
        self.configuration = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings | {"selfIndex": int(self.name[1:]), "myZone": zone_index},
        }
        path = self.tmp / "config.json"
        path.write_text(json.dumps(self.configuration))
        environment = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.configuration["listen"],
            "EDGE_DISCOVERY": self.configuration["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.tmp),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy_command("run"),
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.channel = Channel(settings)  # what waited in that of a former process is lost
        self.fleet.record.write(self.name, "started with `run` of deploy/balancer.toml")
        self.fleet.spawn(self._copy_log(self.process))
        for _ in range(150):
            if await self._answers_ping():
                self.fleet.record.write(self.name, "answered a ping: in use")
                return
            if self.process.returncode is not None:
                raise CouldNotRunError(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} did not answer a ping")

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b'{"msg":"ping"}\n')
            answer = await asyncio.wait_for(reader.readuntil(b"\n"), 1.0)
            writer.close()
            return b"pong" in answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def terminate(self) -> None:
        """Send SIGTERM to the process and wait for its end."""
        self.fleet.record.write(self.name, "SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        self.fleet.record.write(self.name, f"has ended with {self.process.returncode}")

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        async for line in process.stdout:
            self.fleet.record.write(f"{self.name} log", line.decode(errors="replace").rstrip())

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


class Fleet:
    """All stand-ins and controllers of a case. `record`: the file of what was sent, answered, run."""

    def __init__(self, record: Path, kinds: dict[str, float], zones: list[str], standing: int = 6) -> None:
        self.record = Record(record)
        self.kinds, self.zones, self.standing = kinds, zones, standing
        self.redial_s = (0.53, 2.4)  # time to the next dialling after a break
        self.endpoints: dict[str, Endpoint] = {}
        self.proxies: list[Proxy] = []
        self.controllers: list[Controller] = []
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: object) -> asyncio.Task:
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_endpoints(self, discovery: Discovery, count: int) -> None:
        """Start endpoints, dealt over the zones, and list them."""
        for number in range(count):
            endpoint = Endpoint(self.record, f"s-{number:02}")
            await endpoint.start()
            self.endpoints[endpoint.name] = endpoint
            discovery.set_member(endpoint.member(self.zones[number % len(self.zones)]))

    async def start_controller(self, discovery: Discovery, settings: dict, number: int) -> Controller:
        """Start a controller with the present list, in the zone of its number."""
        controller = Controller(self, f"n{number}")
        controller.discovery_port = await discovery.listen(controller.name)
        self.controllers.append(controller)
        await controller.start(settings, discovery.complete(), number)
        return controller

    def start_proxies(self, discovery: Discovery, count: int, rate: float) -> None:
        """Start proxies, dealt over the zones and the controllers, and the collectors."""
        for number in range(count):
            proxy = Proxy(self, number, self.zones[number % len(self.zones)], rate)
            proxy.draw_standing(discovery.complete()["members"])
            self.proxies.append(proxy)
            self.spawn(proxy.run(self.controllers[number % len(self.controllers)]))
            self.spawn(proxy.send_requests())
        for at, controller in enumerate(self.controllers):
            for zone in self.zones:
                own = [
                    one
                    for one in self.proxies
                    if one.number % len(self.controllers) == at and one.zone == zone
                ]
                if own:
                    self.spawn(self.collect(controller, zone, own))

    async def collect(self, controller: Controller, zone: str, proxies: list[Proxy]) -> None:
        """Be a zone's collector for a controller: each second the sums of its proxies, a little late."""
        writer = None
        while True:
            await asyncio.sleep(1.0)
            sums: dict[str, list[float]] = {}
            for proxy in proxies:
                for name, durations in proxy.met.items():
                    sums.setdefault(name, []).extend(durations)
                proxy.met = {}
                proxy.report_usage(1.0)
            await asyncio.sleep(COLLECTOR_LATE_S)
            try:
                if writer is None:
                    _, writer = await asyncio.open_connection("127.0.0.1", controller.port)
                    writer.write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
                for name, durations in sums.items():
                    good = [one for one in durations if one >= 0]
                    report = {
                        "msg": "heard",
                        "az": zone,
                        "host": name,
                        "n": len(durations),
                        "bad": len(durations) - len(good),
                        "avg": 1000 * sum(good) / max(1, len(good)),
                        "window": 1000.0 * (1.0 + COLLECTOR_LATE_S),
                        "report": self.endpoints[name].load(),
                    }
                    writer.write(json.dumps(report).encode() + b"\n")
                await writer.drain()
                self.record.write(f"collector {zone}", f"{len(sums)} reports to {controller.name}")
            except OSError:
                writer = None

    async def end(self) -> None:
        """End all tasks and processes."""
        for task in list(self.tasks):
            task.cancel()
        for controller in self.controllers:
            await controller.end()


def lagos_settings() -> dict:
    """Return the settings of a small day of `kit/sites/lagos-lists.toml`, in the form of the wire page."""
    return {
        "balancers": 2,
        "domainType": "control",
        "grades": [
            _grade("list-lookup", 500.0, 1200.0, "idempotent", 1.0, 5000.0, "all"),
            _grade("slot-update", 1000.0, 3000.0, "deduplicated", 3.0, 3000.0, "zone"),
            _grade("fee-charge", 1000.0, 3000.0, "at_most_once", 5.0, 5000.0, "all"),
        ],
        "membershipMode": "subscribe",
        "models": ["full-speed", "slower"],
        "myZone": 0,
        "penalties": {"connection": 0.02, "crossZone": 0.12, "handshake": 0.04, "probe": 0.02, "waste": 0.03},
        "policyLimits": {
            "connIdle": 15000.0,
            "connectTimeout": 250.0,
            "cpuUsPerS": 250000,
            "mayTell": True,
            "probes": True,
            "streamsPerConn": 32,
        },
        "quantum": 2.0,
        "report": {"fields": ["concurrent"], "how": "inline"},
        "rules": {
            "askWithin": 10000.0,
            "cold": 17000.0,
            "coldShare": 0.19,
            "fall": 3000.0,
            "stopSendingWithin": 3400.0,
            "tipMultiple": 4.0,
        },
        "selfIndex": 0,
        "specifics": {
            "admit": "fraction",
            "baseMode": 1,
            "choice": "p2c",
            "connsLeast": 370.0,
            "ejects": 0,
            "emptyFor": 7200.0,
            "envelope": 4.0,
            "ingestRate": 120.0,
            "localFirst": True,
            "messagesMost": 12,
            "mutating": [False, True, True],
            "partitionsN": 0,
            "period": 1000.0,
            "proxyCount": 16,
            "pushDelay": 157.0,
            "pushDelayMax": 392.5,
            "pushRate": 3700.0,
            "queueCap": 5600.0,
            "soleOwner": False,
            "standing": 6,
            "tryAims": 0.8,
            "updateWindow": 10000.0,
            "warmKeys": False,
            "zoneBound": [False, False, False],
        },
        "weights": "off",
        "worthBy": "request",
        "zones": ["ikeja", "yaba", "apapa", "lekki"],
    }


def main_campus_settings() -> dict:
    """Return the settings of a day of `kit/next/2/main-campus-later.toml`, with one controller."""
    settings = lagos_settings()
    settings |= {
        "balancers": 1,
        "membershipMode": "automatic",
        "grades": [
            _grade("look", 800.0, 2000.0, "idempotent", 1.0, 5000.0, "all"),
            _grade("book", 1000.0, 2500.0, "deduplicated", 3.0, 2500.0, "cell"),
        ],
        "models": ["big-box", "small-box"],
        "penalties": {"connection": 0.02, "crossZone": 0.04, "handshake": 0.04, "probe": 0.02, "waste": 0.05},
        "zones": ["hall-a", "hall-b", "hall-c"],
    }
    settings["rules"] |= {"cold": 16000.0, "coldShare": 0.16, "stopSendingWithin": 4000.0}
    del settings["rules"]["askWithin"]  # only where the list has to be asked for
    settings["specifics"] |= {
        "baseMode": 0,
        "envelope": 3.0,
        "ingestRate": 60.0,
        "messagesMost": 20,
        "mutating": [False, True],
        "proxyCount": 41,
        "pushDelay": 400.0,
        "pushDelayMax": 1000.0,
        "pushRate": 1200.0,
        "queueCap": 7400.0,
        "standing": 5,
        "zoneBound": [False, True],
    }
    return settings


def _grade(
    name: str, aim: float, deadline: float, effect: str, worth: float, window: float, group: str
) -> dict:
    return {
        "name": name,
        "aim": aim,
        "deadline": deadline,
        "idempotency": effect,
        "worth": worth,
        "repeatWindow": window,
        "group": group,
        "lateShare": 0.1,
    }


def play(case: object) -> None:
    """Run a case to its end, print its verdict and exit with 0, 1 or 2."""

    async def run() -> int:
        fleet = None
        try:
            async with asyncio.timeout(115):
                fleet = case.make()
                return await case.run(fleet)
        except (CouldNotRunError, TimeoutError, OSError) as error:
            print(f"could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
        finally:
            if fleet is not None:
                await fleet.end()

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001 - a fault of the test is no verdict
        print(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    sys.exit(code)
