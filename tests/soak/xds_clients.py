"""xDS clients of a run, in both protocols; each keeps what it holds and comes back when told to."""

import asyncio
import time

import grpc

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE
from oatcart.xds.standin.client import Client
from soak.controller import Controller
from soak.fleet import ZONES
from soak.sidecar import CLASSES

WAYS = [(False, "whole"), (True, "whole"), (True, "each")]
REDIAL_S = 0.2
READY = grpc.ChannelConnectivity.READY
PUSHBACK = "grpc-retry-pushback-ms"


class XdsClient:
    """`since`: s; its stream has been open."""

    def __init__(self, number: int, controller: Controller) -> None:
        delta, self.shape = WAYS[number % len(WAYS)]
        self.controller, self.name = controller, f"x{number}"
        self.client = Client(
            f"127.0.0.1:{controller.xds_port}", self.name, ZONES[number % len(ZONES)], delta, self.shape
        )
        self.since: float | None = None
        self.incarnation = 0
        self.is_cut = False
        self.connections = 0
        self.faults: list[str] = []

    async def run(self) -> None:
        """Connect, and connect again when the stream ends, until cancelled."""
        while True:
            await self._connect()
            while self.client.status is None and not self.is_cut:
                await asyncio.sleep(0.02)
                if self.since is None and not self.is_cut and self.client.channel.get_state() == READY:
                    self.since = time.monotonic()
                self._subscribe_members()
            self.since = None
            await self.client.disconnect()
            pushback = 0 if self.is_cut else self.client.status[2].get(PUSHBACK, 0)
            await asyncio.sleep(max(REDIAL_S, int(pushback) / 1000))

    async def _connect(self) -> None:
        while self.controller.ready_at == float("inf"):
            await asyncio.sleep(0.02)
        self.is_cut = False
        self.client.connect()
        self.connections += 1
        self.client.received.clear()
        self.incarnation = self.controller.incarnation
        self.client.request(CLUSTER)
        self.client.request(ENDPOINTS, CLASSES)
        if self.client.subscribed[MEMBER]:
            self.client.request(MEMBER, list(self.client.subscribed[MEMBER]))
        self.client.request(ROUTE, CLASSES)

    def _subscribe_members(self) -> None:
        if self.shape != "each":
            return
        wanted = [name for name in self.client.collections() if name not in self.client.subscribed[MEMBER]]
        if wanted:
            self.client.request(MEMBER, wanted)

    def reconnect(self) -> None:
        """Cut the stream."""
        self.since, self.is_cut = None, True

    def healthy(self, name: str) -> dict[str, float]:
        """The endpoints that it may send requests of a class to, with their weights."""
        seen = self.client.endpoints(name)
        return {one: weight for one, (weight, health) in seen.items() if health == "HEALTHY"}

    def check_routes(self) -> None:
        """Rule 2: a class that must not run twice is offered no retry."""
        if (held := self.client.resources[ROUTE].get("order")) is None:
            return
        for host in held[1].virtual_hosts:
            for route in host.routes:
                if route.route.retry_policy.num_retries.value:
                    self.faults.append("rule 2: a route with retries for a class that must not run twice")
