"""Hollow controllers: hundreds in one process, with the real decision module, order writer, codec and
watcher.

Real in a hollow controller: `policy.Controller`, `net.rounds.Rounds` with its tables, `net.codec.Codec`,
and `net.endpoint_list.EndpointListWatcher` with its HTTP calls on loopback. Left out: the acceptor and the
proxies' sockets; its proxies stand in the same process, their lines are read by the real codec and the
orders' bytes are counted.

All share one `net.loop.Loop`. Every task and every round of a controller runs under its own `Meter`, which
counts the thread's processor time; what the loop and the hollow proxies need is in no meter. How much less
that is than the processor time of a real controller is measured in `agreement.py`.

The process (`python -m oatcart.scale.hollow`) takes commands as in `children.py`.
"""

import os
import sys
import time
from collections.abc import Callable, Generator, Mapping
from dataclasses import asdict
from typing import NamedTuple, TextIO

from oatcart.errors import InvalidMessageError
from oatcart.events import ProxyJoined, UpdateAcknowledged
from oatcart.net.assembly import DEFAULT_HEALTH_CHECK_TIMEOUT_S, DEFAULT_POLL_WITHIN_S, WATCH_WAIT_FRACTION
from oatcart.net.codec import Codec
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Coroutine, Loop, Task, Wait
from oatcart.net.rounds import Rounds
from oatcart.policy import Controller
from oatcart.scale.children import Child, CommandReader, ignore_interrupts, own_usage
from oatcart.scale.discovery import LOOPBACK, Usage
from oatcart.scale.peers import TICK_S, ControllerPeers, PeerMessage, PeerSettings, PeerTraffic
from oatcart.settings import read_seconds, read_socket_controller_settings

START_SPREAD_S = (
    0.25  # controllers start spread over the module's time between two looks, as a real fleet has them
)


class Meter:
    """Processor seconds of one controller and the longest single stretch of them; calls may nest."""

    __slots__ = ("_began", "_depth", "core_s", "longest_s")

    def __init__(self) -> None:
        self.core_s = self.longest_s = self._began = 0.0
        self._depth = 0

    def __enter__(self) -> None:
        if not self._depth:
            self._began = time.thread_time()
        self._depth += 1

    def __exit__(self, *error: object) -> None:
        self._depth -= 1
        if not self._depth:
            took = time.thread_time() - self._began
            self.core_s += took
            self.longest_s = max(self.longest_s, took)


def metered(coroutine: Coroutine, meter: Meter) -> Coroutine:
    """The same task, each of its steps under the meter."""
    ready = None
    try:
        while True:
            try:
                with meter:
                    wait = coroutine.send(ready)
            except StopIteration:
                return
            ready = yield wait
    finally:
        coroutine.close()


class ControllerLoop:
    """What one controller sees of the shared loop: its tasks are metered, its connections are its own."""

    def __init__(self, shared: Loop, meter: Meter) -> None:
        self._shared, self._meter = shared, meter
        self.clock, self.call_at, self.unregister = shared.clock, shared.call_at, shared.unregister
        self.cancel, self.expire = shared.cancel, shared.expire
        self.registered: dict[int, int] = {}  # only looked at for the log
        self.connections, self.connection_limit = 0, float("inf")

    @property
    def now(self) -> float:
        return self._shared.now

    def spawn(self, coroutine: Coroutine) -> Task:
        return self._shared.spawn(metered(coroutine, self._meter))


class HollowRounds(Rounds):
    """Rounds that tell the fleet when one may be due, so that no turn of the loop asks every controller."""

    def __init__(
        self,
        loop: ControllerLoop,
        log: Log,
        codec: Codec,
        least_gap: float,
        unix: float,
        may_be_due: Callable[[], None],
    ) -> None:
        self.may_be_due = may_be_due
        super().__init__(loop, log, codec, least_gap, unix)

    def add_event(self, arrival: tuple) -> None:
        super().add_event(arrival)
        self.may_be_due()

    def _on_scheduled(self) -> None:
        super()._on_scheduled()
        self.may_be_due()

    def _on_gap_over(self) -> None:
        super()._on_gap_over()
        self.may_be_due()


class HollowStream:
    """A proxy's stream inside the process: hands the bytes of orders to the proxies and never breaks."""

    def __init__(self, peers: ControllerPeers, proxy: int) -> None:
        self.peers, self.proxy = peers, proxy

    def write(self, data: bytes) -> None:
        self.peers.take(self.proxy, data)


class HollowController:
    """One controller of the fleet, assembled as `net.assembly.assemble` does but for the acceptor."""

    def __init__(
        self,
        shared: Loop,
        settings: Mapping,
        seed: int,
        discovery_port: int,
        log_to: TextIO,
        may_be_due: Callable[["HollowController"], None],
    ) -> None:
        self.started_at = shared.clock()
        self.meter = Meter()
        self.may_be_due = lambda: may_be_due(self)
        with self.meter:
            self._assemble(ControllerLoop(shared, self.meter), settings, seed, discovery_port, log_to)
        self.peers: ControllerPeers | None = None
        self.taken: list[tuple[float, int]] = []  # when a round had run on each newer revision
        self.revision = 0  # the last of them
        self.ready_after_s = self.ready_core_s = 0.0
        self.may_be_due()

    def _assemble(
        self, loop: ControllerLoop, settings: Mapping, seed: int, discovery_port: int, log_to: TextIO
    ) -> None:
        log = Log(loop.clock, log_to)
        codec = Codec(
            [grade["name"] for grade in settings["grades"]],
            settings["zones"],
            settings["specifics"]["proxyCount"],
        )
        quantum = read_seconds(settings, "quantum")
        self.rounds = HollowRounds(loop, log, codec, quantum, time.time(), self.may_be_due)
        poll_within = read_seconds(settings.get("rules") or {}, "askWithin", DEFAULT_POLL_WITHIN_S)
        wait = WATCH_WAIT_FRACTION * poll_within
        self.watcher = EndpointListWatcher(
            loop, codec, log, (LOOPBACK, discovery_port), wait, self.rounds.add_event
        )
        allowed, reports = settings.get("policyLimits") or {}, settings.get("report") or {}
        prober = HealthChecker(
            loop,
            reports.get("how", "off") != "off",
            read_seconds(allowed, "connectTimeout", DEFAULT_HEALTH_CHECK_TIMEOUT_S),
            self.watcher.addresses,
            self.rounds.add_event,
        )
        module = Controller(read_socket_controller_settings(settings), seed)
        self.rounds.start(module.round, self.watcher, prober)
        self.rounds.is_due = True

    def turn(self) -> None:
        """A round, if one is due."""
        with self.meter:
            self.rounds.run_if_due()
        if self.watcher.revision > self.revision and not self.rounds.events:
            self._note_taken(self.rounds.loop.clock())

    def _note_taken(self, now: float) -> None:
        if not self.taken:
            self.ready_after_s, self.ready_core_s = now - self.started_at, self.meter.core_s
        self.revision = self.watcher.revision
        self.taken.append((now, self.revision))

    def join(self, peers: ControllerPeers) -> None:
        """All its proxies join at once."""
        self.peers = peers
        self.hear(peers.joins())

    def hear(self, messages: list[PeerMessage]) -> None:
        """Reads the lines of its peers as the acceptor's tasks would; what a real one skips is skipped."""
        with self.meter:
            for message in messages:
                try:
                    arrival = self.rounds.codec.decode_message(memoryview(message.line))
                except InvalidMessageError:  # an endpoint that is not listed
                    continue
                if isinstance(arrival, ProxyJoined):
                    self.rounds.join(
                        message.proxy, arrival.unconfigured, HollowStream(self.peers, message.proxy)
                    )
                elif isinstance(arrival, UpdateAcknowledged) and not self.rounds.was_sent(
                    message.proxy, arrival.nonce
                ):
                    continue
                self.rounds.add_event(arrival)

    def known_endpoints(self) -> list[str]:
        """The ids of all endpoints that have a number at this controller."""
        return list(self.rounds.codec.endpoint_numbers)


class HollowFigures(NamedTuple):
    """One hollow controller's figures since its start; `taken`: when a round had run on which revision."""

    core_s: float
    longest_s: float
    ready_after_s: float
    ready_core_s: float
    known_endpoints: int
    revision: int
    peer_bytes_in: int
    peer_bytes_out: int
    peer_messages_in: int
    peer_messages_out: int
    taken: list[list[float]]


class HollowFleet:
    """All hollow controllers of the process on one loop; methods without an underscore are commands."""

    def __init__(self, log_to: TextIO) -> None:
        self.loop = Loop(time.monotonic, self._failed)
        self.controllers: list[HollowController] = []
        self.due: dict[HollowController, None] = {}  # controllers that may have a round due
        self.log_to = log_to
        self.failures: list[str] = []
        self.failing: list[str] = []
        self.late_s = 0.0  # the most by which a tick was late since the last reading
        self.reading = True

    def start(
        self, settings: dict, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> dict:
        """Starts a controller for each of discovery's ports, spread over some seconds."""
        for place, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            after = spread_s * place / len(ports)
            self.loop.call_at(
                self.loop.clock() + after, lambda port=port, seed=seed: self._start(settings, seed, port)
            )
        return {}

    def join(self, peers: list[dict], keep_orders: bool) -> dict:
        """Lets the proxies of every controller join; from then on they report at every tick."""
        for place, (controller, told) in enumerate(zip(self.controllers, peers, strict=True)):
            one = ControllerPeers(peer_settings(told), keep_orders)
            first = self.loop.clock() + TICK_S * place / len(peers)
            self.loop.call_at(first, lambda controller=controller, one=one: self._join(controller, one))
        return {}

    def fail(self, endpoints: list[str]) -> dict:
        """From now on these endpoints fail every request of all controllers' proxies."""
        self.failing = endpoints
        for controller in self.controllers:
            if controller.peers is not None:
                controller.peers.fail(endpoints)
        return {}

    def figures(self) -> dict:
        """Of every controller its figures; the longest stretch and the lateness start anew."""
        told = [self._figures(controller) for controller in self.controllers]
        for controller in self.controllers:
            controller.meter.longest_s = 0.0
        late_s, self.late_s = self.late_s, 0.0
        return {"usage": own_usage(), "conductors": told, "failures": self.failures, "late_s": late_s}

    def orders(self) -> dict:
        """Of every controller its known endpoints and what its proxies hold."""
        return {
            "conductors": [
                {"known": controller.known_endpoints(), "tables": held_tables(controller.peers)}
                for controller in self.controllers
            ]
        }

    def run(self) -> None:
        """The life of the process: until its input ends."""
        self.loop.spawn(self._read_commands())
        while self.reading:
            self.loop.turn()
            due, self.due = self.due, {}
            for controller in due:
                controller.turn()

    def _start(self, settings: dict, seed: int, port: int) -> None:
        self.controllers.append(
            HollowController(self.loop, settings, seed, port, self.log_to, self._may_be_due)
        )

    def _may_be_due(self, controller: HollowController) -> None:
        self.due[controller] = None

    def _join(self, controller: HollowController, peers: ControllerPeers) -> None:
        peers.fail(self.failing)
        controller.join(peers)
        self._tick_after(controller, self.loop.clock() + TICK_S)

    def _tick_after(self, controller: HollowController, when: float) -> None:
        self.loop.call_at(when, lambda: self._tick(controller, when))

    def _tick(self, controller: HollowController, when: float) -> None:
        self.late_s = max(self.late_s, self.loop.clock() - when)
        controller.hear(controller.peers.tick())
        self._tick_after(controller, when + TICK_S)

    def _figures(self, controller: HollowController) -> HollowFigures:
        traffic = controller.peers.traffic if controller.peers else PeerTraffic()
        return HollowFigures(
            controller.meter.core_s,
            controller.meter.longest_s,
            controller.ready_after_s,
            controller.ready_core_s,
            len(controller.rounds.codec.endpoint_numbers),
            controller.watcher.revision,
            traffic.bytes_in,
            traffic.bytes_out,
            traffic.messages_in,
            traffic.messages_out,
            [list(one) for one in controller.taken],
        )

    def _failed(self, error: BaseException) -> None:
        self.failures.append(repr(error))

    def _read_commands(self) -> Generator[Wait, bool, None]:
        reader = CommandReader(
            {
                "start": self.start,
                "join": self.join,
                "fail": self.fail,
                "figures": self.figures,
                "orders": self.orders,
            }
        )
        while self.reading:
            yield Wait(sys.stdin.fileno(), READABLE)
            self.reading = reader.read()


def peer_settings(told: Mapping) -> PeerSettings:
    """Peer settings as they came with a command, where tuples are lists."""
    return PeerSettings(**{**told, "routes": tuple(told["routes"]), "endpoints": tuple(told["endpoints"])})


def held_tables(peers: ControllerPeers | None) -> dict:
    """What each proxy of a controller holds, by its number as text; nothing before they join."""
    if peers is None:
        return {}
    return {
        str(number): {"weights": one.weights, "levels": one.levels, "shut_out": sorted(one.shut_out)}
        for number, one in peers.tables.items()
    }


class HeldTables(NamedTuple):
    """What the proxies of one controller hold, by number as text, and the endpoints that it knows."""

    tables: dict[str, dict]
    known: list[str] | None


class HollowReading(NamedTuple):
    """One reading of a hollow fleet: the process's usage and the figures of each controller.

    `late_s` is the most by which a controller's peers were late with their reports since the last reading:
    where the process has no time for all its controllers, their rounds are late too.
    """

    usage: Usage
    controllers: list[HollowFigures]
    failures: list[str]
    late_s: float


class Hollows(Child):
    """The parent's side of a process of hollow controllers."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.hollow")

    def start_controllers(
        self, settings: Mapping, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> None:
        """Starts a controller for each port of discovery, spread over some seconds."""
        self.ask("start", settings=settings, ports=ports, seeds=seeds, spread_s=spread_s)

    def join_peers(self, peers: list[PeerSettings], keep_orders: bool = False) -> None:
        """Lets the proxies of every controller join and report from then on."""
        self.ask("join", peers=[asdict(one) for one in peers], keep_orders=keep_orders)

    def fail(self, endpoints: list[str]) -> None:
        """From now on these endpoints, and no others, fail every request."""
        self.ask("fail", endpoints=endpoints)

    def figures(self) -> HollowReading:
        told = self.ask("figures")
        controllers = [HollowFigures(*one) for one in told["conductors"]]
        usage = Usage(**told["usage"])
        return HollowReading(usage, controllers, told["failures"], told["late_s"])

    def orders(self) -> list[HeldTables]:
        """Of each controller what its proxies hold; its peers must have joined with `keep_orders`."""
        return [HeldTables(**one) for one in self.ask("orders")["conductors"]]


if __name__ == "__main__":
    ignore_interrupts()
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        HollowFleet(nowhere).run()
