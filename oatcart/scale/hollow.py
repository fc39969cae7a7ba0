"""Hollow conductors: hundreds in one process, with the real decision module, order writer, codec and
watcher.

Real in a hollow conductor: `policy.Controller`, `net.rounds.Rounds` with its tables, `net.codec.Codec`,
and `net.endpoint_list.EndpointListWatcher` with its HTTP calls on loopback. Left out: the acceptor and the
proxies' sockets; its proxies stand in the same process, their lines are read by the real codec and the
orders' bytes are counted.

All share one `net.loop.Loop`. Every task and every round of a conductor runs under its own `Meter`, which
counts the thread's processor time; what the loop and the hollow proxies need is in no meter. How much less
that is than the processor time of a real conductor is measured in `agreement.py`.

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
from oatcart.scale.peers import TICK_S, ConductorPeers, PeerMessage, PeerSettings, PeerTraffic
from oatcart.settings import read_seconds, read_socket_controller_settings

START_SPREAD_S = (
    0.25  # conductors start spread over the module's time between two looks, as a real fleet has them
)


class Meter:
    """Processor seconds of one conductor and the longest single stretch of them; calls may nest."""

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
    """The same task, each of its coroutine under the meter."""
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


class ConductorLoop:
    """What one conductor sees of the shared loop: its tasks are metered, its connections are its own."""

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
    """Rounds that tell the fleet when one may be due, so that no turn of the loop asks every conductor."""

    def __init__(
        self,
        loop: ConductorLoop,
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

    def __init__(self, peers: ConductorPeers, proxy: int) -> None:
        self.peers, self.proxy = peers, proxy

    def write(self, data: bytes) -> None:
        self.peers.take(self.proxy, data)


class HollowConductor:
    """One conductor of the fleet, assembled as `net.assembly.assemble` does but for the acceptor."""

    def __init__(
        self,
        shared: Loop,
        settings: Mapping,
        seed: int,
        discovery_port: int,
        log_to: TextIO,
        may_be_due: Callable[["HollowConductor"], None],
    ) -> None:
        self.started_at = shared.clock()
        self.meter = Meter()
        self.may_be_due = lambda: may_be_due(self)
        with self.meter:
            self._assemble(ConductorLoop(shared, self.meter), settings, seed, discovery_port, log_to)
        self.peers: ConductorPeers | None = None
        self.taken: list[tuple[float, int]] = []  # when a round had run on each newer revision
        self.revision = 0  # the last of them
        self.ready_after_s = self.ready_core_s = 0.0
        self.may_be_due()

    def _assemble(
        self, loop: ConductorLoop, settings: Mapping, seed: int, discovery_port: int, log_to: TextIO
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

    def join(self, peers: ConductorPeers) -> None:
        """All its proxies join at once."""
        self.peers = peers
        self.hear(peers.joins())

    def hear(self, messages: list[PeerMessage]) -> None:
        """Reads the lines of its peers as the acceptor's tasks would; what a real one skips is skipped."""
        with self.meter:
            for message in messages:
                try:
                    arrival = self.rounds.codec.decode_message(memoryview(message.line))
                except InvalidMessageError:  # a node that is not listed
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

    def known_nodes(self) -> list[str]:
        """The ids of all nodes that have a number at this conductor."""
        return list(self.rounds.codec.endpoint_numbers)


class HollowFigures(NamedTuple):
    """One hollow conductor's figures since its start; `taken` tells when rounds had run on which revision."""

    core_s: float
    longest_s: float
    ready_after_s: float
    ready_core_s: float
    known_nodes: int
    revision: int
    peer_bytes_in: int
    peer_bytes_out: int
    peer_messages_in: int
    peer_messages_out: int
    taken: list[list[float]]


class HollowFleet:
    """All hollow conductors of the process on one loop; methods without an underscore are commands."""

    def __init__(self, log_to: TextIO) -> None:
        self.loop = Loop(time.monotonic, self._failed)
        self.conductors: list[HollowConductor] = []
        self.due: dict[HollowConductor, None] = {}  # conductors that may have a round due
        self.log_to = log_to
        self.failures: list[str] = []
        self.failing: list[str] = []
        self.late_s = 0.0  # the most by which a tick was late since the last reading
        self.reading = True

    def start(
        self, settings: dict, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> dict:
        """Starts a conductor for each of discovery's ports, spread over some seconds."""
        for place, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            after = spread_s * place / len(ports)
            self.loop.call_at(
                self.loop.clock() + after, lambda port=port, seed=seed: self._start(settings, seed, port)
            )
        return {}

    def join(self, peers: list[dict], keep_orders: bool) -> dict:
        """Lets the proxies of every conductor join; from then on they report at every tick."""
        for place, (conductor, told) in enumerate(zip(self.conductors, peers, strict=True)):
            one = ConductorPeers(peer_settings(told), keep_orders)
            first = self.loop.clock() + TICK_S * place / len(peers)
            self.loop.call_at(first, lambda conductor=conductor, one=one: self._join(conductor, one))
        return {}

    def fail(self, nodes: list[str]) -> dict:
        """From now on these nodes fail every request of all conductors' proxies."""
        self.failing = nodes
        for conductor in self.conductors:
            if conductor.peers is not None:
                conductor.peers.fail(nodes)
        return {}

    def figures(self) -> dict:
        """Of every conductor its figures; the longest stretch and the lateness start anew."""
        told = [self._figures(conductor) for conductor in self.conductors]
        for conductor in self.conductors:
            conductor.meter.longest_s = 0.0
        late_s, self.late_s = self.late_s, 0.0
        return {"usage": own_usage(), "conductors": told, "failures": self.failures, "late_s": late_s}

    def orders(self) -> dict:
        """Of every conductor its known nodes and what its proxies hold."""
        return {
            "conductors": [
                {"known": conductor.known_nodes(), "tables": held_tables(conductor.peers)}
                for conductor in self.conductors
            ]
        }

    def run(self) -> None:
        """The life of the process: until its input ends."""
        self.loop.spawn(self._read_commands())
        while self.reading:
            self.loop.turn()
            due, self.due = self.due, {}
            for conductor in due:
                conductor.turn()

    def _start(self, settings: dict, seed: int, port: int) -> None:
        self.conductors.append(
            HollowConductor(self.loop, settings, seed, port, self.log_to, self._may_be_due)
        )

    def _may_be_due(self, conductor: HollowConductor) -> None:
        self.due[conductor] = None

    def _join(self, conductor: HollowConductor, peers: ConductorPeers) -> None:
        peers.fail(self.failing)
        conductor.join(peers)
        self._tick_after(conductor, self.loop.clock() + TICK_S)

    def _tick_after(self, conductor: HollowConductor, when: float) -> None:
        self.loop.call_at(when, lambda: self._tick(conductor, when))

    def _tick(self, conductor: HollowConductor, when: float) -> None:
        self.late_s = max(self.late_s, self.loop.clock() - when)
        conductor.hear(conductor.peers.tick())
        self._tick_after(conductor, when + TICK_S)

    def _figures(self, conductor: HollowConductor) -> HollowFigures:
        traffic = conductor.peers.traffic if conductor.peers else PeerTraffic()
        return HollowFigures(
            conductor.meter.core_s,
            conductor.meter.longest_s,
            conductor.ready_after_s,
            conductor.ready_core_s,
            len(conductor.rounds.codec.endpoint_numbers),
            conductor.watcher.revision,
            traffic.bytes_in,
            traffic.bytes_out,
            traffic.messages_in,
            traffic.messages_out,
            [list(one) for one in conductor.taken],
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
    return PeerSettings(**{**told, "routes": tuple(told["routes"]), "nodes": tuple(told["nodes"])})


def held_tables(peers: ConductorPeers | None) -> dict:
    """What each proxy of a conductor holds, by its number as text; nothing before they join."""
    if peers is None:
        return {}
    return {
        str(number): {"weights": one.weights, "levels": one.levels, "shut_out": sorted(one.shut_out)}
        for number, one in peers.tables.items()
    }


class HeldTables(NamedTuple):
    """What the proxies of one conductor hold, by number as text, and the nodes that the conductor knows."""

    tables: dict[str, dict]
    known: list[str] | None


class HollowReading(NamedTuple):
    """One reading of a hollow fleet: the process's usage and the figures of each conductor.

    `late_s` is the most by which a conductor's peers were late with their reports since the last reading:
    where the process has no time for all its conductors, their rounds are late too.
    """

    usage: Usage
    conductors: list[HollowFigures]
    failures: list[str]
    late_s: float


class Hollows(Child):
    """The parent's side of a process of hollow conductors."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.hollow")

    def start_conductors(
        self, settings: Mapping, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> None:
        """Starts a conductor for each port of discovery, spread over some seconds."""
        self.ask("start", settings=settings, ports=ports, seeds=seeds, spread_s=spread_s)

    def join_peers(self, peers: list[PeerSettings], keep_orders: bool = False) -> None:
        """Lets the proxies of every conductor join and report from then on."""
        self.ask("join", peers=[asdict(one) for one in peers], keep_orders=keep_orders)

    def fail(self, nodes: list[str]) -> None:
        """From now on these nodes, and no others, fail every request."""
        self.ask("fail", nodes=nodes)

    def figures(self) -> HollowReading:
        told = self.ask("figures")
        conductors = [HollowFigures(*one) for one in told["conductors"]]
        usage = Usage(**told["usage"])
        return HollowReading(usage, conductors, told["failures"], told["late_s"])

    def orders(self) -> list[HeldTables]:
        """Of each conductor what its proxies hold; its peers must have joined with `keep_orders`."""
        return [HeldTables(**one) for one in self.ask("orders")["conductors"]]


if __name__ == "__main__":
    ignore_interrupts()
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        HollowFleet(nowhere).run()
