"""xDS clients of a run, in both protocol variants; each keeps its resources when it reconnects."""

import asyncio
import time

import grpc

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE
from oatcart.xds.standin.client import Client
from soak.controller import Controller
from soak.fleet import ZONES
from soak.sidecar import REQUEST_CLASSES

# Whether delta, and how the client gets endpoints: as whole lists, or each as a resource of its own.
PROTOCOL_VARIANTS = [(False, "whole"), (True, "whole"), (True, "each")]
RECONNECT_DELAY_S = 0.2
READY = grpc.ChannelConnectivity.READY
PUSHBACK_KEY = "grpc-retry-pushback-ms"


class XdsClient:
    """An xDS client of one controller; `since`: monotonic s; its channel has been connected."""

    def __init__(self, number: int, controller: Controller) -> None:
        delta, self.shape = PROTOCOL_VARIANTS[number % len(PROTOCOL_VARIANTS)]
        self.controller, self.name = controller, f"x{number}"
        self.client = Client(
            f"127.0.0.1:{controller.xds_port}", self.name, ZONES[number % len(ZONES)], delta, self.shape
        )
        self.since: float | None = None
        self.incarnation = 0
        self.is_cut = False
        self.connections = 0
        self.failures: list[str] = []

    async def run(self) -> None:
        """Connect, and reconnect after the server's retry pushback when the stream ends, until cancelled."""
        while True:
            await self._connect()
            while self.client.status is None and not self.is_cut:
                await asyncio.sleep(0.02)
                if self.since is None and not self.is_cut and self.client.channel.get_state() == READY:
                    self.since = time.monotonic()
                self._subscribe_members()
            self.since = None
            await self.client.disconnect()
            pushback = 0 if self.is_cut else self.client.status[2].get(PUSHBACK_KEY, 0)
            await asyncio.sleep(max(RECONNECT_DELAY_S, int(pushback) / 1000))

    async def _connect(self) -> None:
        while self.controller.ready_at == float("inf"):
            await asyncio.sleep(0.02)
        self.is_cut = False
        self.client.connect()
        self.connections += 1
        self.client.received.clear()
        self.incarnation = self.controller.incarnation
        self.client.request(CLUSTER)
        self.client.request(ENDPOINTS, REQUEST_CLASSES)
        if self.client.subscribed[MEMBER]:
            self.client.request(MEMBER, list(self.client.subscribed[MEMBER]))
        self.client.request(ROUTE, REQUEST_CLASSES)

    def _subscribe_members(self) -> None:
        if self.shape != "each":
            return
        wanted = [name for name in self.client.collections() if name not in self.client.subscribed[MEMBER]]
        if wanted:
            self.client.request(MEMBER, wanted)

    def reconnect(self) -> None:
        """Cut the stream."""
        self.since, self.is_cut = None, True

    def healthy_weights(self, name: str) -> dict[str, float]:
        """Return the weights of the endpoints that it may send requests of a class to."""
        endpoints = self.client.endpoints(name)
        return {endpoint: weight for endpoint, (weight, health) in endpoints.items() if health == "HEALTHY"}

    def check_routes(self) -> None:
        """Check rule 2: the routes of a non-idempotent class have no retries."""
        if (resource := self.client.resources[ROUTE].get("order")) is None:
            return
        for virtual_host in resource[1].virtual_hosts:
            for route in virtual_host.routes:
                if route.route.retry_policy.num_retries.value:
                    self.failures.append("rule 2: a route of a non-idempotent class has retries")
