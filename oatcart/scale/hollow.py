"""Hollow controllers: hundreds in one process, with the real decisions, rounds, codec and list watcher.

All share one `net.loop.Loop`. Every task and every round of a controller runs under its own `Meter`; what the
loop and the hollow proxies need is in no meter. How much less that is than the processor time of a real
controller is measured in `agreement.py`.

The process (`python -m oatcart.scale.hollow`) takes commands as in `children.py`.
"""

import os
import sys
import time
from collections.abc import Generator, Mapping
from dataclasses import asdict
from typing import NamedTuple, TextIO

from oatcart.net.loop import READABLE, Loop, Wait
from oatcart.scale.children import Child, CommandReader, ignore_interrupts, own_usage
from oatcart.scale.discovery import Usage
from oatcart.scale.hollow_controller import HollowController
from oatcart.scale.peers import TICK_S, ControllerPeers, PeerSettings, PeerTraffic

START_SPREAD_S = 0.25  # over which controllers start, so that their rounds do not coincide


class HollowFigures(NamedTuple):
    """One hollow controller's figures since its start; `applied_revisions`: see `HollowController`."""

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
    applied_revisions: list[list[float]]


class HollowFleet:
    """All hollow controllers of the process on one loop; methods without an underscore are commands."""

    def __init__(self, log_stream: TextIO) -> None:
        self.loop = Loop(time.monotonic, self._failed)
        self.controllers: list[HollowController] = []
        self.due: dict[HollowController, None] = {}  # controllers that may have a round due
        self.log_stream = log_stream
        self.failures: list[str] = []
        self.failing: list[str] = []
        self.late_s = 0.0  # the most by which a tick was late since the last reading
        self.reading = True

    def start(
        self, settings: dict, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> dict:
        """Starts a controller for each of discovery's ports, spread over some seconds."""
        for index, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            after = spread_s * index / len(ports)
            self.loop.call_at(
                self.loop.clock() + after, lambda port=port, seed=seed: self._start(settings, seed, port)
            )
        return {}

    def join(self, peers: list[dict], keep_orders: bool) -> dict:
        """Lets the proxies of every controller join; from then on they report at every tick."""
        for index, (controller, fields) in enumerate(zip(self.controllers, peers, strict=True)):
            controller_peers = ControllerPeers(peer_settings(fields), keep_orders)
            first = self.loop.clock() + TICK_S * index / len(peers)
            self.loop.call_at(
                first,
                lambda controller=controller, controller_peers=controller_peers: self._join(
                    controller, controller_peers
                ),
            )
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
        figures = [self._figures(controller) for controller in self.controllers]
        for controller in self.controllers:
            controller.meter.longest_s = 0.0
        late_s, self.late_s = self.late_s, 0.0
        return {"usage": own_usage(), "conductors": figures, "failures": self.failures, "late_s": late_s}

    def orders(self) -> dict:
        """Of every controller its known endpoints and what its proxies hold."""
        return {
            "conductors": [
                {"known": controller.known_endpoints(), "tables": encoded_tables(controller.peers)}
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
            HollowController(self.loop, settings, seed, port, self.log_stream, self._may_be_due)
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
        controller.receive(controller.peers.tick())
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
            [list(one) for one in controller.applied_revisions],
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


def peer_settings(fields: Mapping) -> PeerSettings:
    """Peer settings as they came with a command, where tuples are lists."""
    return PeerSettings(
        **{**fields, "routes": tuple(fields["routes"]), "endpoints": tuple(fields["endpoints"])}
    )


def encoded_tables(peers: ControllerPeers | None) -> dict:
    """What each proxy of a controller holds, by its number as text; nothing before they join."""
    if peers is None:
        return {}
    return {
        str(number): {"weights": one.weights, "levels": one.admitted_shares, "shut_out": sorted(one.ejected)}
        for number, one in peers.tables.items()
    }


class ControllerTables(NamedTuple):
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


class HollowControllers(Child):
    """The parent's side of a process of hollow controllers."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.hollow")

    def start_controllers(
        self, settings: Mapping, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> None:
        """Starts a controller for each port of discovery, spread over some seconds."""
        self.ask("start", settings=settings, ports=ports, seeds=seeds, spread_s=spread_s)

    def join_peers(self, peers: list[PeerSettings], keep_tables: bool = False) -> None:
        """Lets the proxies of every controller join and report from then on."""
        self.ask("join", peers=[asdict(one) for one in peers], keep_orders=keep_tables)

    def fail(self, endpoints: list[str]) -> None:
        """From now on these endpoints, and no others, fail every request."""
        self.ask("fail", endpoints=endpoints)

    def figures(self) -> HollowReading:
        """One reading of all controllers; the longest stretch and the lateness start anew."""
        answer = self.ask("figures")
        controllers = [HollowFigures(*one) for one in answer["conductors"]]
        usage = Usage(**answer["usage"])
        return HollowReading(usage, controllers, answer["failures"], answer["late_s"])

    def tables(self) -> list[ControllerTables]:
        """Of each controller what its proxies hold; its peers must have joined with `keep_tables`."""
        return [ControllerTables(**one) for one in self.ask("orders")["conductors"]]


if __name__ == "__main__":
    ignore_interrupts()
    with open(os.devnull, "w", encoding="utf-8") as null_stream:
        HollowFleet(null_stream).run()
