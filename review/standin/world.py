"""Stand-ins for everything around a controller: discovery, servers, proxies, collectors and the platform.

They follow the operators' protocol page and use the standard library only. All addresses are on loopback.
Controllers are started with `run` of deploy/balancer.toml. Every event is written to the record.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
PERIOD_S = 0.2  # between revisions of the list, at least: the site file's [discovery] period_ms
SLACK_S = 0.3  # the protocol page adds it to the time limits of the rules
ZONES = ["ikeja", "yaba", "apapa", "lekki"]


def settings(proxies: int, controllers: int, **changes) -> dict:
    """Settings of a small deployment, with the names of the wire page; `changes` are in `specifics`."""
    return {
        "balancers": controllers,
        "domainType": "control",
        "grades": [
            {
                "name": "list-lookup",
                "aim": 500.0,
                "deadline": 1200.0,
                "group": "all",
                "idempotency": "idempotent",
                "lateShare": 0.2,
                "repeatWindow": 5000.0,
                "worth": 1.0,
            },
            {
                "name": "slot-update",
                "aim": 1000.0,
                "deadline": 3000.0,
                "group": "zone",
                "idempotency": "deduplicated",
                "lateShare": 0.1,
                "repeatWindow": 3000.0,
                "worth": 3.0,
            },
            {
                "name": "fee-charge",
                "aim": 1000.0,
                "deadline": 3000.0,
                "group": "all",
                "idempotency": "at_most_once",
                "lateShare": 0.1,
                "repeatWindow": 5000.0,
                "worth": 5.0,
            },
        ],
        "membershipMode": "subscribe",
        "models": ["full-speed", "slower"],
        "myZone": 0,
        "penalties": {
            "connection": 0.02,
            "crossZone": 0.12,
            "handshake": 0.04,
            "lateFail": 0.05,
            "probe": 0.02,
            "waste": 0.03,
            "peer": 0.01,
        },
        "policyLimits": {
            "connIdle": 15000.0,
            "connectTimeout": 250.0,
            "cpuUsPerS": 250000,
            "mayTell": False,
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
            "stopSendingWithin": 3000.0,
            "tipMultiple": 4.0,
        },
        "selfIndex": 0,
        "specifics": {
            "admit": "fraction",
            "baseMode": 1,
            "choice": "p2c",
            "connsLeast": 270.0,
            "ejects": 0,
            "emptyFor": 7200.0,
            "envelope": 4.0,
            "hold": 300.0,
            "ingestRate": 120.0,
            "localFirst": True,
            "messagesMost": 12,
            "mutating": [False, True, True],
            "partitionsN": 0,
            "period": 1000.0,
            "proxyCount": proxies,
            "pushDelay": 157.0,
            "pushDelayMax": 392.5,
            "pushPrice": 0.02,
            "pushRate": 3400.0,
            "queueCap": 5100.0,
            "soleOwner": False,
            "standing": 6,
            "tryAims": 0.8,
            "updateWindow": 10000.0,
            "warmKeys": False,
            "zoneBound": [False, False, False],
        }
        | changes,
        "weights": "off",
        "worthBy": "request",
        "zones": ZONES,
    }


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.began

    def write(self, kind: str, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {kind:10} {text}\n")
        self.file.flush()


class Server:
    """A server: answers `POST /work` after its service time, `GET /healthz` and `GET /load` at once."""

    def __init__(self, world: "World", name: str, zone: str, up_since_ms: float) -> None:
        self.world, self.name, self.zone, self.up_since_ms = world, name, zone, up_since_ms
        self.phase, self.inflight, self.served, self.changed_at = "SERVING", 0, 0, 0
        self.listener, self.connections, self.port = None, set(), 0

    async def start(self) -> None:
        """Start it."""
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """The process ends: connections are reset, new ones are refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.connections):
            writer.transport.abort()

    @property
    def up(self) -> bool:
        """Return whether the process runs."""
        return self.listener is not None

    async def serve(self, reader, writer) -> None:
        """Serve a connection until its end."""
        self.connections.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                path = head.split(b" ", 2)[1]
                if path.startswith(b"/work"):
                    self.inflight += 1
                    try:
                        await asyncio.sleep(self.world.service_time(path.rpartition(b"/")[2].decode()))
                    finally:
                        self.inflight -= 1
                    self.served += 1
                body = json.dumps({"inflight": self.inflight}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def entry(self) -> dict:
        """Return the server's entry in the list."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": self.zone,
            "flavor": "full-speed",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }


class Discovery:
    """Discovery, with an address of its own for each controller: it is known whom it has told what."""

    def __init__(self, world: "World") -> None:
        self.world, self.revision = world, 1
        self.pending: list[tuple[Server, str]] = []
        self.changed_at = 0.0
        self.changed = asyncio.Condition()
        self.members: dict[str, Server] = {}
        self.gone: dict[str, dict] = {}  # entries of removed servers, with the revision of their removal

    async def listen(self, controller: str) -> int:
        """Open the address for a controller; returns its port."""
        listener = await asyncio.start_server(
            lambda reader, writer: self.serve(controller, reader, writer), LOOPBACK, 0
        )
        return listener.sockets[0].getsockname()[1]

    async def change(self, *changes: tuple[Server, str]) -> None:
        """List servers with a new phase, in one revision, at least PERIOD_S after the last revision."""
        self.pending += changes
        if len(self.pending) == len(changes):  # else a task waits already, and takes these along
            await asyncio.sleep(max(0.0, self.changed_at + PERIOD_S - time.monotonic()))
            async with self.changed:
                self.publish()
                self.changed.notify_all()

    def publish(self) -> None:
        """Make a revision of all pending changes."""
        self.changed_at = time.monotonic()
        self.revision += 1
        for server, phase in self.pending:
            server.phase, server.changed_at = phase, self.revision
            if phase == "DELETED":
                self.members.pop(server.name, None)
                self.gone[server.name] = {"entry": server.entry(), "revision": self.revision}
            else:
                self.members[server.name] = server
            self.world.record.write("listed", f"revision {self.revision}: {server.name} {phase}")
        self.pending = []

    def full_list(self) -> dict:
        """Return the complete list."""
        return {
            "revision": self.revision,
            "complete": True,
            "members": [server.entry() for server in self.members.values()],
        }

    def changes(self, since: int) -> dict:
        """Return what has changed since a revision."""
        members = [server.entry() for server in self.members.values() if server.changed_at > since]
        members += [gone["entry"] for gone in self.gone.values() if gone["revision"] > since]
        return {"revision": self.revision, "complete": False, "members": members}

    async def serve(self, controller: str, reader, writer) -> None:
        """Serve a connection until its end."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                url = urlsplit(head.split(b" ", 2)[1].decode())
                query = {name: int(values[0]) for name, values in parse_qs(url.query).items()}
                if "since" in query:
                    answer = await self.watch(query["since"], query.get("timeout_ms", 0) / 1000)
                else:
                    answer = self.full_list()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                self.world.note_told(controller, answer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, since: int, wait: float) -> dict:
        """Wait for a newer revision, then return the changes."""
        async with self.changed:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(lambda: self.revision > since), max(0.001, wait))
            return self.changes(since)


class Controller:
    """A controller process, started with `run` of the deploy file."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number = world, number
        self.name, self.port = f"n{number}", free_port()
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.process, self.discovery_port = None, 0
        self.answered_at = float("inf")

    def write_configuration(self, known: dict) -> None:
        """Write the configuration file."""
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{LOOPBACK}:{self.port}",
                    "discovery": f"{LOOPBACK}:{self.discovery_port}",
                    "seed": f"{self.world.rng.getrandbits(64):x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "peers": [],
                    "known": known,
                    "settings": self.world.settings | {"selfIndex": self.number},
                }
            )
        )

    async def start(self, known: dict) -> None:
        """Start the process and wait until it has answered a ping."""
        self.discovery_port = self.discovery_port or await self.world.discovery.listen(self.name)
        self.write_configuration(known)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        environment = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{LOOPBACK}:{self.port}",
            "TMPDIR": str(scratch),
            "EDGE_DISCOVERY": f"{LOOPBACK}:{self.discovery_port}",
            "EDGE_CONFIG": str(self.folder / "config.json"),
        }
        self.log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.world.record.write("started", f"{self.name}, process {self.process.pid}, port {self.port}")
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b'{"msg":"ping"}\n')
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b"pong" in line:
                    self.answered_at = self.world.record.now()
                    self.world.record.write("ready", self.name)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not answer a ping")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.world.record.write("signal", f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """End all processes."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)


class Proxy:
    """A proxy: one stream, tables by class, picks the better of two drawn by weight, sends real requests."""

    def __init__(self, world: "World", number: int, zone: str, rate: float) -> None:
        self.world, self.number, self.zone, self.rate = world, number, zone, rate
        self.classes = [grade["name"] for grade in world.settings["grades"]]
        self.tables: dict[str, dict[str, float]] = {name: {} for name in self.classes}
        self.admit = dict.fromkeys(self.classes, 1.0)
        self.policy = dict.fromkeys(self.classes, world.settings["specifics"]["baseMode"])
        self.ejected: set[str] = set()
        self.standing = True
        self.joined_at: float | None = None  # None: not joined
        self.controller: Controller | None = None
        self.writer = None
        self.pending: list[dict] = []
        self.outstanding: dict[str, int] = {}
        self.pool: dict[str, list] = {}
        self.counts: dict[str, list[int]] = {}  # usage by class: came, not served
        self.met: dict[str, list] = {}  # by server: tries, bad, seconds of the good, report
        self.message_times: deque[float] = deque()
        self.most_messages = 0

    def take_standing_table(self, servers: list[Server]) -> None:
        """A standing table: up to `standing` listed servers, of its zone if three are there."""
        own = [server for server in servers if server.zone == self.zone]
        candidates = own if len(own) >= 3 else servers
        most = self.world.settings["specifics"]["standing"]
        drawn = self.world.rng.sample(candidates, min(most, len(candidates)))
        for name in self.classes:
            self.tables[name] = {server.name: 1.0 for server in drawn}

    async def live(self, choose) -> None:
        """Hold a stream to a controller, and dial again after a break. `choose` returns a controller."""
        while True:
            controller = choose(self)
            if controller is None:
                await asyncio.sleep(0.05)
                continue
            with suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
                await self.stream(controller)
            if self.joined_at is not None:
                self.world.record.write("left", f"proxy {self.number} lost its stream to {controller.name}")
            self.joined_at, self.controller, self.writer = None, None, None
            await asyncio.sleep(self.world.rng.uniform(0.53, 2.4))

    async def stream(self, controller: Controller) -> None:
        """Join, then apply messages until the stream ends."""
        reader, writer = await asyncio.open_connection(LOOPBACK, controller.port, limit=1 << 20)
        try:
            self.writer, self.pending = writer, []
            self.send("joined", sidecar=self.number, az=self.zone, share=self.rate, standing=self.standing)
            self.controller, self.joined_at = controller, self.world.record.now()
            self.message_times.clear()
            shown = "with no ordered table" if self.standing else "with ordered tables"
            self.world.record.write("joined", f"proxy {self.number} at {controller.name}, {shown}")
            while line := await reader.readline():
                self.receive(json.loads(line))
        finally:
            writer.close()

    def send(self, message: str, **fields) -> None:
        """Send a message on the stream, if there is one."""
        if self.writer is not None:
            self.writer.write(json.dumps({"msg": message} | fields).encode() + b"\n")

    def receive(self, message: dict) -> None:
        """Apply a message once all of its parts are there."""
        if message["msg"] != "update":
            return
        self.pending.append(message)
        if message.get("continued"):
            return
        now = self.world.record.now()
        self.message_times.append(now)
        while self.message_times[0] < now - self.world.settings["specifics"]["updateWindow"] / 1000:
            self.message_times.popleft()
        self.most_messages = max(self.most_messages, len(self.message_times))
        parts, self.pending = self.pending, []
        for part in parts:
            self.apply(part)
        nonce = parts[-1].get("nonce_out")
        shown = json.dumps(parts, separators=(",", ":"))
        if self.number in self.world.shown_proxies:
            self.world.record.write(
                "update", f"proxy {self.number}, {len(self.message_times)} in 10 s: {shown}"
            )
        if nonce is not None:
            self.send("applied", sidecar=self.number, version=nonce, lag_ms=1.0)

    def apply(self, part: dict) -> None:
        """Apply one part of an update."""
        for name in part.get("routes", self.classes):
            table = self.tables[name]
            if part.get("full"):
                table.clear()
                self.admit[name], self.standing = 1.0, False
                self.policy[name] = self.world.settings["specifics"]["baseMode"]
            for server, weight in part.get("endpoints", ()):
                if weight > 0:
                    table[server] = weight
                else:
                    table.pop(server, None)
            self.admit[name] = part.get("admit", self.admit[name])
            self.policy[name] = part.get("policy", self.policy[name])
        self.ejected |= set(part.get("eject", ()))
        self.ejected -= set(part.get("restore", ()))

    def usable(self, name: str) -> dict[str, float]:
        """Return the weights of the servers that may be picked."""
        return {server: weight for server, weight in self.tables[name].items() if server not in self.ejected}

    def pick(self, name: str, without: str | None = None) -> str | None:
        """Return the server for a request, None if there is none."""
        usable = self.usable(name)
        usable.pop(without, None)
        if not usable:
            return None
        rng = self.world.rng
        first = rng.choices(list(usable), list(usable.values()))[0]
        rest = {server: weight for server, weight in usable.items() if server != first}
        if not rest:
            return first
        second = rng.choices(list(rest), list(rest.values()))[0]
        return min(first, second, key=lambda server: self.outstanding.get(server, 0))

    async def traffic(self) -> None:
        """Send requests at the proxy's rate until cancelled."""
        rng, number = self.world.rng, 0
        while True:
            await asyncio.sleep(rng.expovariate(self.rate))
            number += 1
            name = rng.choices(self.classes, (0.54, 0.26, 0.2))[0]
            self.world.spawn(self.request(f"{self.number}-{number}", name))

    async def request(self, request: str, name: str) -> None:
        """Take in a request: try it, and once more if the policy allows it."""
        counts = self.counts.setdefault(name, [0, 0])
        counts[0] += 1
        if self.admit[name] < 1 and self.world.rng.random() >= self.admit[name]:
            self.world.totals["refused by level"] += 1
            return
        server = self.pick(name)
        if server is None:
            counts[1] += 1
            self.world.totals["refused, no server to pick"] += 1
            self.world.no_server(self, name)
            return
        outcome = await self.attempt(request, name, server)
        if outcome == "refused" and self.policy[name] >= 1 and (other := self.pick(name, server)):
            outcome = await self.attempt(request, name, other)
        if outcome != "ok":
            counts[1] += 1
        self.world.totals["served" if outcome == "ok" else "not served"] += 1

    async def attempt(self, request: str, name: str, server: str) -> str:
        """Send a request to a server; returns the outcome."""
        began = self.world.record.now()
        self.world.sent(self, request, name, server)
        met = self.met.setdefault(server, [0, 0, 0.0, None])
        self.outstanding[server] = self.outstanding.get(server, 0) + 1
        try:
            outcome, report = await asyncio.wait_for(self.call(name, server), 1.2)
        except TimeoutError:
            outcome, report = "timeout", None
        finally:
            self.outstanding[server] -= 1
        met[0] += 1
        if outcome == "ok":
            met[2] += self.world.record.now() - began
            met[3] = report or met[3]
        else:
            met[1] += 1
        self.world.ended(self, request, name, server, outcome)
        return outcome

    async def call(self, name: str, server: str) -> tuple[str, dict | None]:
        """One try on a kept or new connection: ok, refused (proof that it never ran) or reset."""
        kept = self.pool.setdefault(server, [])
        connection = kept.pop() if kept else None
        if connection is None or connection[1].is_closing():
            try:
                connection = await asyncio.open_connection(LOOPBACK, self.world.servers[server].port)
            except OSError:
                return "refused", None
        reader, writer = connection
        try:
            writer.write(
                f"POST /work/{name} HTTP/1.1\r\nHost: {server}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return "reset", None
        except asyncio.CancelledError:
            writer.close()
            raise
        kept.append(connection)
        return "ok", json.loads(body)

    def report_usage(self) -> None:
        """Send the usage of the last second."""
        for name, (came, bad) in self.counts.items():
            self.send("usage", sidecar=self.number, kind=name, n=came, bad=bad, window=1000.0)
        self.counts = {}


class CannotRunError(Exception):
    """The case could not run."""


def free_port() -> int:
    """Return a port that is free now, below the ports that outgoing connections get."""
    while True:
        port = random.SystemRandom().randrange(15000, 30000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port


class World:
    """A small deployment and its record."""

    def __init__(
        self, record: Path, servers: int, proxies: int, controllers: int, rate: float, seed: int, **specifics
    ) -> None:
        self.record = Record(record)
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.settings = settings(proxies, controllers, **specifics)
        self.grace_s = self.settings["rules"]["stopSendingWithin"] / 1000
        # By controller, server and phase: when discovery first wrote the entry to that controller
        self.told: dict[tuple[str, str, str], float] = {}
        self.servers: dict[str, Server] = {}
        self.discovery = Discovery(self)
        self.controllers = [Controller(self, number) for number in range(controllers)]
        self.proxies = [Proxy(self, number, ZONES[number % len(ZONES)], rate) for number in range(proxies)]
        self.server_count, self.tasks = servers, set()
        self.shown_proxies = {0, 1}  # whose updates are recorded
        self.totals = dict.fromkeys(
            ("served", "not served", "refused by level", "refused, no server to pick"), 0
        )
        self.violations: list[str] = []

    def service_time(self, name: str) -> float:
        """Return the seconds that a request takes, as the site's brief has it."""
        return self.rng.uniform(0.067, 0.09) if name == "list-lookup" else self.rng.uniform(0.17, 0.23)

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task) -> None:
        """Record a stand-in that failed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.write("error", f"in a stand-in: {task.exception()!r}")
            self.failed = task.exception()

    failed: BaseException | None = None

    async def new_server(self, name: str, zone: str, up_since_ms: float = 0) -> Server:
        """Start a server that is not listed yet."""
        server = self.servers[name] = Server(self, name, zone, up_since_ms)
        await server.start()
        return server

    async def start(self) -> None:
        """Start servers, discovery and controllers, then proxies and collectors."""
        for number in range(self.server_count):
            server = await self.new_server(f"s-{number:02}", ZONES[number % len(ZONES)])
            server.changed_at = 1
            self.discovery.members[server.name] = server
        for controller in self.controllers:
            await controller.start(self.discovery.full_list())
        for proxy in self.proxies:
            proxy.take_standing_table(list(self.servers.values()))
            self.spawn(proxy.live(self.controller_for))
            self.spawn(proxy.traffic())
        self.spawn(self.collect())

    def controller_for(self, proxy: Proxy) -> Controller | None:
        """The proxy's usual controller if it is up, else another one."""
        up = [one for one in self.controllers if one.process is not None and one.process.returncode is None]
        usual = self.controllers[proxy.number % len(self.controllers)]
        return usual if usual in up else (self.rng.choice(up) if up else None)

    async def collect(self) -> None:
        """The collectors of all zones: sums of one second, half a second late, at most 120 lines a second."""
        writers: dict[tuple[str, str], asyncio.StreamWriter] = {}
        queues: dict[str, deque[bytes]] = {one.name: deque() for one in self.controllers}
        while True:
            await asyncio.sleep(1.0)
            for proxy in self.proxies:
                proxy.report_usage()
            for controller in self.controllers:
                queue = queues[controller.name]
                for zone in ZONES:
                    queue += [(zone, line) for line in self.heard(controller, zone)]
                self.spawn(
                    self.forward(controller, [queue.popleft() for _ in range(min(120, len(queue)))], writers)
                )

    def heard(self, controller: Controller, zone: str) -> list[dict]:
        """Return the sums of a zone's proxies."""
        sums: dict[str, list] = {}
        for proxy in self.proxies:
            if proxy.zone != zone or proxy.controller is not controller:
                continue
            for server, (tries, bad, seconds, report) in proxy.met.items():
                one = sums.setdefault(server, [0, 0, 0.0, None])
                one[0], one[1], one[2], one[3] = (
                    one[0] + tries,
                    one[1] + bad,
                    one[2] + seconds,
                    report or one[3],
                )
            proxy.met = {}
        return [
            {
                "msg": "heard",
                "az": zone,
                "host": server,
                "n": tries,
                "bad": bad,
                "avg": 1000 * seconds / max(1, tries - bad),
                "window": 1000.0,
            }
            | ({"report": report} if report else {})
            for server, (tries, bad, seconds, report) in sums.items()
            if tries
        ]

    async def forward(self, controller: Controller, lines: list, writers: dict) -> None:
        """Send sums to a controller, half a second late."""
        await asyncio.sleep(0.5)
        for zone, line in lines:
            key = controller.name, zone
            try:
                if key not in writers or writers[key].is_closing():
                    _, writers[key] = await asyncio.open_connection(LOOPBACK, controller.port)
                    writers[key].write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
                writers[key].write(json.dumps(line).encode() + b"\n")
            except OSError:
                writers.pop(key, None)

    def note_told(self, controller: str, answer: dict) -> None:
        """Record what a controller was told."""
        for entry in answer["members"]:
            key = controller, entry["id"], entry["phase"]
            if key not in self.told:
                self.told[key] = self.record.now()
                if entry["phase"] != "SERVING":
                    self.record.write("told", f"{controller}: {entry['id']} {entry['phase']}")

    def sent(self, proxy: Proxy, request: str, name: str, server: str) -> None:
        """A request leaves a proxy; overridden by cases."""

    def ended(self, proxy: Proxy, request: str, name: str, server: str, outcome: str) -> None:
        """A request ended at a proxy; overridden by cases."""

    def no_server(self, proxy: Proxy, name: str) -> None:
        """A request found no server to pick; overridden by cases."""

    def crashed(self) -> list[str]:
        """Return the names of controllers that have ended."""
        return [
            one.name
            for one in self.controllers
            if one.process is not None and one.process.returncode is not None
        ]

    def stop(self) -> None:
        """End all processes."""
        for controller in self.controllers:
            controller.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, limit_s: float = 115) -> int:
    """Run a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `case` is called with whether the disruption is wanted; it returns a world and the coroutine to run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world, play = case(trouble)
        this_task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends its processes too
            asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
        try:
            world.record.write("case", f"disruption: {'yes' if trouble else 'no'}")
            await asyncio.wait_for(play, limit_s)
            if world.failed is not None:
                return 2
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            world.record.write("error", f"the case could not run: {error!r}")
            return 2
        finally:
            for task in list(world.tasks):
                task.cancel()
            world.stop()
        world.record.write("totals", json.dumps(world.totals))
        for text in world.violations[:40]:
            world.record.write("broken", text)
        world.record.write(
            "verdict",
            f"the rule was broken {len(world.violations)} times" if world.violations else "the rule held",
        )
        return 1 if world.violations else 0

    code = asyncio.run(run())
    print(f"exit code {code}; see record.txt", file=sys.stderr)
    return code
