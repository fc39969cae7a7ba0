"""What rounds cost by themselves: the decision module, its tables and the codec, with no socket.

For lists that exceed the protocol's 1 MiB, which controllers on sockets refuse. Time is virtual: the module
is handed ticks of its fleet's time as fast as it takes them, so a fleet that would need more than a core
can be measured. The process (`python -m oatcart.scale.module_rounds`) takes one command as in
`children.py`.
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


class CountingOrders(RoutingTables):
    """An order writer that encodes every message and hands its bytes to the hollow proxies."""

    def __init__(self, codec: Codec, peers: ControllerPeers) -> None:
        super().__init__(len(codec.request_class_names))
        self.codec, self.peers = codec, peers

    def tell(self) -> None:
        """Tells the round's orders, each distinct message encoded once."""
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
        """Does nothing: a round follows at every tick."""

    def log(self, text: str) -> None:
        """Discards a line of the log."""


class ModuleFigures(NamedTuple):
    """Processor seconds for each second of the fleet's time, the longest round, and what the start took."""

    core_share: float
    longest_s: float
    resident_mb: float
    ready_core_s: float
    list_bytes: int


def rounds(
    settings: Mapping, entries: list[dict], peers: PeerSettings, settle_s: float, quiet_s: float, seed: int
) -> ModuleFigures:
    """Reads a whole list, lets all proxies join, settles, measures quiet rounds; virtual seconds."""
    body = orjson.dumps({"revision": 1, "complete": True, "members": entries})
    before_mb = resident_megabytes(os.getpid())
    hollow_peers = ControllerPeers(peers)
    codec = Codec(peers.routes, settings["zones"], settings["specifics"]["proxyCount"])
    orders = CountingOrders(codec, hollow_peers)
    module = Controller(read_socket_controller_settings(settings), seed)

    def one_round(now: float, messages: list[PeerMessage], first: list[Event]) -> float:
        began = time.process_time()
        arrivals = [*first, *(codec.decode_message(memoryview(message.line)) for message in messages)]
        for arrival in arrivals:
            if isinstance(arrival, ProxyJoined):
                orders.add_proxy(arrival.proxy, arrival.unconfigured)
        module.round(now, arrivals, orders)
        orders.tell()
        return time.process_time() - began

    began = time.process_time()
    endpoint_list = codec.decode_endpoint_list(parse_object(memoryview(body)))
    ready_core_s = time.process_time() - began
    received = EndpointListReceived(endpoint_list.complete, endpoint_list.entries)
    ready_core_s += one_round(START_S, hollow_peers.joins(), [received])
    ticks, settling = round((settle_s + quiet_s) / TICK_S), round(settle_s / TICK_S)
    took = [one_round(START_S + TICK_S * tick, hollow_peers.tick(), []) for tick in range(1, ticks + 1)][
        settling:
    ]
    resident_mb = resident_megabytes(os.getpid()) - before_mb
    return ModuleFigures(sum(took) / quiet_s, max(took), resident_mb, ready_core_s, len(body))


def measure(
    settings: dict, entries: list[dict], peers: dict, settle_s: float, quiet_s: float, seed: int
) -> dict:
    """The command of the process."""
    return rounds(settings, entries, peer_settings(peers), settle_s, quiet_s, seed)._asdict()


def module_figures(
    settings: Mapping, entries: list[dict], peers: PeerSettings, settle_s: float, quiet_s: float, seed: int
) -> ModuleFigures:
    """`rounds` in a process of its own, so that its memory is its own; raises ChildError."""
    with Child("oatcart.scale.module_rounds") as child:
        return ModuleFigures(
            **child.ask(
                "measure",
                settings=settings,
                entries=entries,
                peers=asdict(peers),
                settle_s=settle_s,
                quiet_s=quiet_s,
                seed=seed,
            )
        )


def main() -> None:
    """Answers commands until the input ends."""
    ignore_interrupts()
    reader = CommandReader({"measure": measure})
    while reader.read():
        pass


if __name__ == "__main__":
    sys.exit(main())
