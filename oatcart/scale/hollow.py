"""Hollow controllers: hundreds in one process, with the real decisions, rounds, codec and list watcher.

They share one `net.loop.Loop`. Every task and every round of a controller runs under the controller's own
`Meter`, which leaves out the processor time of the loop and of the hollow proxies. `agreement.py` measures
how much less that is than the processor time of a real controller.

The process (`python -m oatcart.scale.hollow`) takes commands as described in `children.py`.
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

START_SPREAD_S = 0.25  # controllers start spread over this span, so that their rounds do not coincide


class HollowFigures(NamedTuple):
    """One hollow controller's figures since its start.

    `longest_s`: the longest metered stretch since the last reading. `ready_after_s`, `ready_core_s`: the time
    and processor seconds from the start to the first round on a list. `applied_revisions`: pairs of the time
    (s) at which a round had run on a revision, and the revision.
    """

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
    """All hollow controllers of the process on one loop; the methods without an underscore are commands."""

    def __init__(self, log_stream: TextIO) -> None:
        self.loop = Loop(time.monotonic, self._failed)
        self.controllers: list[HollowController] = []
        self.due: dict[HollowController, None] = {}  # controllers that may have a round due
        self.log_stream = log_stream
        self.failures: list[str] = []
        self.failing: list[str] = []
        self.late_s = 0.0  # the longest by which a tick was late since the last reading
        self.reading = True

    def start(
        self, settings: dict, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> dict:
        """Starts a controller for each of discovery's ports, spread over `spread_s` seconds."""
        for index, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            after = spread_s * index / len(ports)
            self.loop.call_at(
                self.loop.clock() + after, lambda port=port, seed=seed: self._start(settings, seed, port)
            )
        return {}

    def join(self, peers: list[dict], keep_orders: bool) -> dict:
        """Lets the proxies of every controller join; they report at every tick afterwards."""
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
        """Makes these endpoints, and no others, fail every request of the proxies of all controllers."""
        self.failing = endpoints
        for controller in self.controllers:
            if controller.peers is not None:
                controller.peers.fail(endpoints)
        return {}

    def figures(self) -> dict:
        """Returns the figures of every controller; resets the longest stretch and the lateness."""
        figures = [self._figures(controller) for controller in self.controllers]
        for controller in self.controllers:
            controller.meter.longest_s = 0.0
        late_s, self.late_s = self.late_s, 0.0
        return {"usage": own_usage(), "conductors": figures, "failures": self.failures, "late_s": late_s}

    def orders(self) -> dict:
        """Returns the known endpoints of every controller and the tables of its proxies."""
        return {
            "conductors": [
                {"known": controller.known_endpoints(), "tables": encoded_tables(controller.peers)}
                for controller in self.controllers
            ]
        }

    def run(self) -> None:
        """Runs all controllers until the input of the process ends."""
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
    """Returns peer settings from the fields of a command, in which tuples are lists."""
    return PeerSettings(
        **{**fields, "routes": tuple(fields["routes"]), "endpoints": tuple(fields["endpoints"])}
    )


def encoded_tables(peers: ControllerPeers | None) -> dict:
    """Returns the tables of each proxy of a controller, by its number as text; empty before they join."""
    if peers is None:
        return {}
    return {
        str(number): {"weights": one.weights, "levels": one.admitted_shares, "shut_out": sorted(one.ejected)}
        for number, one in peers.tables.items()
    }


class ControllerTables(NamedTuple):
    """The tables of one controller's proxies, by number as text, and the endpoints that it knows."""

    tables: dict[str, dict]
    known: list[str] | None


class HollowReading(NamedTuple):
    """One reading of a hollow fleet: the usage of the process and the figures of each controller.

    `late_s` is the longest by which a controller's peers sent their reports late since the last reading: if
    the process is too busy for all its controllers, their rounds are late too.
    """

    usage: Usage
    controllers: list[HollowFigures]
    failures: list[str]
    late_s: float


class HollowControllers(Child):
    """A process of hollow controllers, as its parent sees it."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.hollow")

    def start_controllers(
        self, settings: Mapping, ports: list[int], seeds: list[int], spread_s: float = START_SPREAD_S
    ) -> None:
        """Starts a controller for each port of discovery, spread over `spread_s` seconds."""
        self.ask("start", settings=settings, ports=ports, seeds=seeds, spread_s=spread_s)

    def join_peers(self, peers: list[PeerSettings], keep_tables: bool = False) -> None:
        """Lets the proxies of every controller join; they report at every tick afterwards."""
        self.ask("join", peers=[asdict(one) for one in peers], keep_orders=keep_tables)

    def fail(self, endpoints: list[str]) -> None:
        """Makes these endpoints, and no others, fail every request."""
        self.ask("fail", endpoints=endpoints)

    def figures(self) -> HollowReading:
        """Returns a reading of all controllers; resets the longest stretch and the lateness."""
        answer = self.ask("figures")
        controllers = [HollowFigures(*one) for one in answer["conductors"]]
        usage = Usage(**answer["usage"])
        return HollowReading(usage, controllers, answer["failures"], answer["late_s"])

    def tables(self) -> list[ControllerTables]:
        """Returns the tables of each controller's proxies, which must have joined with `keep_tables`."""
        return [ControllerTables(**one) for one in self.ask("orders")["conductors"]]


if __name__ == "__main__":
    ignore_interrupts()
    with open(os.devnull, "w", encoding="utf-8") as null_stream:
        HollowFleet(null_stream).run()
