"""The peers of real controllers over sockets: streams of hollow proxies, and a collector connection each.

The process (`python -m oatcart.scale.peer_sockets`) takes commands as described in `children.py`. Its
messages come from `peers.ControllerPeers`, as do those to hollow controllers.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import asdict, astuple

from oatcart.scale.children import Child, answer_commands, ignore_interrupts, own_usage
from oatcart.scale.discovery import LOOPBACK, Usage
from oatcart.scale.hollow import ControllerTables, encoded_tables, peer_settings
from oatcart.scale.peers import (
    TICK_S,
    ControllerPeers,
    PeerMessage,
    PeerSettings,
    PeerTraffic,
    collector_line,
)


class ProxyStream(asyncio.Protocol):
    """A proxy's stream: passes the bytes received to the peers."""

    def __init__(self, peers: ControllerPeers, proxy: int) -> None:
        self.peers, self.proxy = peers, proxy

    def data_received(self, data: bytes) -> None:
        """Passes encoded updates to the proxy."""
        self.peers.receive_data(self.proxy, data)


class ControllerConnections:
    """All connections of one controller's peers; they are not opened again when the controller ends."""

    def __init__(self, peers: ControllerPeers, port: int) -> None:
        self.peers, self.port = peers, port
        self.streams: dict[int, asyncio.WriteTransport] = {}
        self.collector: asyncio.WriteTransport | None = None

    async def join_and_report(self, first_after_s: float) -> None:
        """Waits, connects, lets all proxies join, then reports at every tick."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(first_after_s)
        self.collector, _ = await loop.create_connection(asyncio.Protocol, LOOPBACK, self.port)
        self.collector.write(collector_line(self.peers.settings.zone))
        for number in self.peers.tables:
            stream = ProxyStream(self.peers, number)
            self.streams[number], _ = await loop.create_connection(
                lambda one=stream: one, LOOPBACK, self.port
            )
        self._send(self.peers.joins())
        when = loop.time()
        while True:
            when += TICK_S
            await asyncio.sleep(when - loop.time())
            self._send(self.peers.tick())

    def _send(self, messages: list[PeerMessage]) -> None:
        """Writes to each connection once, as a proxy or collector that bundles its lines does."""
        bundles: dict[int | None, bytearray] = {}
        for message in messages:
            bundles.setdefault(message.proxy, bytearray()).extend(message.line)
        for proxy, bundle in bundles.items():
            (self.collector if proxy is None else self.streams[proxy]).write(bundle)


class PeerService:
    """The peers of all real controllers; the methods without an underscore are commands."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: list[ControllerConnections] = []
        self.tasks: list[asyncio.Task] = []
        self.failures: list[str] = []

    def join(self, ports: list[int], peers: list[dict], keep_orders: bool) -> dict:
        """Lets the proxies of every controller join, spread over a tick; they report afterwards."""
        for index, (port, fields) in enumerate(zip(ports, peers, strict=True)):
            one = ControllerConnections(ControllerPeers(peer_settings(fields), keep_orders), port)
            self.connections.append(one)
            self.tasks.append(
                self.loop.create_task(self._run(one.join_and_report(TICK_S * index / len(ports))))
            )
        return {}

    def fail(self, endpoints: list[str]) -> dict:
        """Makes these endpoints, and no others, fail every request of the proxies of all controllers."""
        for one in self.connections:
            one.peers.fail(endpoints)
        return {}

    def figures(self) -> dict:
        """Returns the usage of the process, and each controller's traffic with its peers."""
        return {
            "usage": own_usage(),
            "failures": self.failures,
            "conductors": [astuple(one.peers.traffic) for one in self.connections],
        }

    def orders(self) -> dict:
        """Returns the tables of the proxies of each controller."""
        return {"conductors": [encoded_tables(one.peers) for one in self.connections]}

    async def _run(self, steps: Coroutine) -> None:
        try:
            await steps
        except OSError as error:
            self.failures.append(repr(error))


class PeerSockets(Child):
    """The process with the peers of real controllers, as its parent sees it."""

    def __init__(self) -> None:
        super().__init__("oatcart.scale.peer_sockets")

    def join(self, ports: list[int], peers: list[PeerSettings], keep_tables: bool = False) -> None:
        """Lets the proxies of the controllers at these ports join; they report afterwards."""
        self.ask("join", ports=ports, peers=[asdict(one) for one in peers], keep_orders=keep_tables)

    def fail(self, endpoints: list[str]) -> None:
        """Makes these endpoints, and no others, fail every request."""
        self.ask("fail", endpoints=endpoints)

    def figures(self) -> tuple[Usage, list[PeerTraffic]]:
        """Returns the usage of the process, and each controller's traffic with its peers."""
        answer = self.ask("figures")
        return Usage(**answer["usage"]), [PeerTraffic(*one) for one in answer["conductors"]]

    def tables(self) -> list[ControllerTables]:
        """Returns the tables of each controller's proxies; what endpoints a real one knows cannot be read."""
        return [ControllerTables(tables, None) for tables in self.ask("orders")["conductors"]]


async def serve() -> None:
    """Answers commands until the input of the process ends."""
    service = PeerService(asyncio.get_running_loop())
    await answer_commands(
        {"join": service.join, "fail": service.fail, "figures": service.figures, "orders": service.orders}
    )


if __name__ == "__main__":
    ignore_interrupts()
    asyncio.run(serve())
