"""A scripted management server: it serves one cluster's endpoints as told, and notes how it is answered."""

import asyncio

import grpc
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from oatcart.xds.encode import TYPES
from oatcart.xds.resource_types import ENDPOINTS

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"


class Management:
    """`says` sends a list to all streams; a new stream gets the last one unless `silent`."""

    def __init__(self, cluster: str) -> None:
        self.cluster, self.silent, self.count = cluster, False, 0
        self.now: list[tuple] | None = None  # nothing to tell yet
        self.streams: list[asyncio.Queue] = []  # what is to be written; None ends the stream
        self.opened, self.refused = 0, []
        self.news = asyncio.Event()

    async def start(self, port: int = 0) -> int:
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE, {"StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(self._life)}
                ),
            )
        )
        self.port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()
        return self.port

    async def stop(self) -> None:
        self.cut()
        await self.server.stop(0.1)

    def message(self) -> bytes:
        made = endpoint_pb2.ClusterLoadAssignment(cluster_name=self.cluster)
        for name, host, port, zone, health, weight in self.now or ():
            one = made.endpoints.add().lb_endpoints.add()
            made.endpoints[-1].locality.zone = zone
            one.endpoint.hostname, one.health_status = name, health_check_pb2.HealthStatus.Value(health)
            one.endpoint.address.socket_address.address = host
            one.endpoint.address.socket_address.port_value = port
            one.load_balancing_weight.value = weight
        self.count += 1
        response = discovery_pb2.DiscoveryResponse(
            type_url=TYPES[ENDPOINTS], nonce=str(self.count), version_info=str(self.count)
        )
        response.resources.add().Pack(made)
        return response.SerializeToString()

    def says(self, endpoints: list[tuple]) -> None:
        """Endpoints as (name, host, port, zone, health, weight)."""
        self.now = endpoints
        for out in self.streams:
            out.put_nowait(self.message())

    def cut(self) -> None:
        """All streams end."""
        for out in self.streams:
            out.put_nowait(None)

    async def _life(self, requests: object, context: grpc.aio.ServicerContext) -> None:
        self.opened += 1
        out: asyncio.Queue = asyncio.Queue()
        self.streams.append(out)
        reader = asyncio.ensure_future(self._read(context, out))
        if not self.silent and self.now is not None:
            out.put_nowait(self.message())
        try:
            while (message := await out.get()) is not None:
                await context.write(message)
            context.set_code(grpc.StatusCode.UNAVAILABLE)
        finally:
            reader.cancel()
            self.streams.remove(out)

    async def _read(self, context: grpc.aio.ServicerContext, out: asyncio.Queue) -> None:
        while (data := await context.read()) is not grpc.aio.EOF:
            request = discovery_pb2.DiscoveryRequest.FromString(data)
            if request.HasField("error_detail"):
                self.refused.append(request.error_detail.message)
            self.news.set()
        out.put_nowait(None)
