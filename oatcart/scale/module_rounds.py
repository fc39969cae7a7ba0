"""Measures the cost of rounds alone: the decision module, its routing tables and the codec, without sockets.

This works for lists over the protocol's limit of 1 MiB, which controllers with sockets reject. Time is
virtual: the ticks of the fleet's time follow each other as fast as the module processes them, so a fleet that
would need more than one core can be measured. The process (`python -m oatcart.scale.module_rounds`) takes one
command, in the format of `children.py`.
"""

import os
import sys
import time
from collections.abc import Mapping
from dataclasses import asdict
from typing import NamedTuple

import orjson

from oatcart.events import EndpointListReceived, Event, ProxyJoined
from oatcart.net.codec import Codec, parse_object
from oatcart.policy import Controller
from oatcart.routing_tables import RoutingTables
from oatcart.scale.children import Child, CommandReader, ignore_interrupts, resident_megabytes
from oatcart.scale.hollow import peer_settings
from oatcart.scale.peers import TICK_S, ControllerPeers, PeerMessage, PeerSettings
from oatcart.settings import read_socket_controller_settings

START_S = 100.0  # virtual time at the start


class EncodingCommandWriter(RoutingTables):
    """A command writer that encodes every update and passes its bytes to the hollow proxies."""

    def __init__(self, codec: Codec, peers: ControllerPeers) -> None:
        super().__init__(len(codec.request_class_names))
        self.codec, self.peers = codec, peers

    def send_updates(self) -> None:
        """Sends the round's updates; each distinct update is encoded once."""
        encoded: dict[tuple, bytes] = {}
        for proxy, parts in self.updates():
            if parts not in encoded:
                encoded[parts] = self.codec.encode_update(parts)
            self.peers.receive_data(proxy, encoded[parts])

    def check_health(self, endpoint: int) -> None:
        """Does nothing: health checks are off."""

    def watch_endpoints(self, on: bool) -> None:
        """Does nothing: the list does not change."""

    def fetch_endpoints(self) -> None:
        """Does nothing: the list does not change."""

    def schedule_round(self, after: float) -> None:
        """Does nothing: there is a round at every tick."""

    def log(self, text: str) -> None:
        """Discards the log line."""


class ModuleFigures(NamedTuple):
    """The costs of the decision module in virtual time.

    `core_share` is in processor seconds per second of the fleet's time, `longest_s` is the longest round, and
    `ready_core_s` is the processor time for reading the list and the first round, both in processor seconds.
    """

    core_share: float
    longest_s: float
    resident_mb: float
    ready_core_s: float
    list_bytes: int


def run_rounds(
    settings: Mapping, entries: list[dict], peers: PeerSettings, settle_s: float, measure_s: float, seed: int
) -> ModuleFigures:
    """Runs rounds in virtual time and returns their costs.

    Reads a complete list, lets all proxies join, runs rounds for `settle_s` and then measures rounds for
    `measure_s` (virtual seconds); the list does not change.
    """
    body = orjson.dumps({"revision": 1, "complete": True, "members": entries})
    before_mb = resident_megabytes(os.getpid())
    hollow_peers = ControllerPeers(peers)
    codec = Codec(peers.routes, settings["zones"], settings["specifics"]["proxyCount"])
    writer = EncodingCommandWriter(codec, hollow_peers)
    module = Controller(read_socket_controller_settings(settings), seed)

    def run_round(now: float, messages: list[PeerMessage], first_events: list[Event]) -> float:
        began = time.process_time()
        events = [*first_events, *(codec.decode_message(memoryview(message.line)) for message in messages)]
        for event in events:
            if isinstance(event, ProxyJoined):
                writer.add_proxy(event.proxy, event.unconfigured)
        module.round(now, events, writer)
        writer.send_updates()
        return time.process_time() - began

    began = time.process_time()
    endpoint_list = codec.decode_endpoint_list(parse_object(memoryview(body)))
    ready_core_s = time.process_time() - began
    received = EndpointListReceived(endpoint_list.complete, endpoint_list.entries)
    ready_core_s += run_round(START_S, hollow_peers.joins(), [received])
    ticks, settling_ticks = round((settle_s + measure_s) / TICK_S), round(settle_s / TICK_S)
    durations = [run_round(START_S + TICK_S * tick, hollow_peers.tick(), []) for tick in range(1, ticks + 1)][
        settling_ticks:
    ]
    resident_mb = resident_megabytes(os.getpid()) - before_mb
    return ModuleFigures(sum(durations) / measure_s, max(durations), resident_mb, ready_core_s, len(body))


def measure(
    settings: dict, entries: list[dict], peers: dict, settle_s: float, quiet_s: float, seed: int
) -> dict:
    """Runs the process's `measure` command; the measured rounds last `quiet_s` virtual seconds."""
    return run_rounds(settings, entries, peer_settings(peers), settle_s, quiet_s, seed)._asdict()


def module_figures(
    settings: Mapping, entries: list[dict], peers: PeerSettings, settle_s: float, measure_s: float, seed: int
) -> ModuleFigures:
    """Calls `run_rounds` in a process of its own, so that other memory is not counted; raises ChildError."""
    with Child("oatcart.scale.module_rounds") as child:
        return ModuleFigures(
            **child.ask(
                "measure",
                settings=settings,
                entries=entries,
                peers=asdict(peers),
                settle_s=settle_s,
                quiet_s=measure_s,
                seed=seed,
            )
        )


def main() -> None:
    """Answers commands until the end of the input."""
    ignore_interrupts()
    reader = CommandReader({"measure": measure})
    while reader.read():
        pass


if __name__ == "__main__":
    sys.exit(main())
