"""A scripted management server, which sends the endpoints of one cluster and keeps the rejections."""

import asyncio

import grpc
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from oatcart.xds.encode import TYPE_URLS
from oatcart.xds.resource_types import ENDPOINTS

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"


class ScriptedManagementServer:
    """`publish` sends a list to all streams; a new stream is sent the last one unless `silent` is set.

    With `empty_first`, a response without the cluster comes before it.
    """

    def __init__(self, cluster: str) -> None:
        self.cluster, self.silent, self.empty_first, self.response_count = cluster, False, False, 0
        self.endpoints: list[tuple] | None = None  # None: nothing to send yet
        self.outgoing_queues: list[asyncio.Queue] = []  # responses to write; None ends the stream
        self.opened_streams, self.rejections = 0, []
        self.changed = asyncio.Event()

    async def start(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE,
                    {"StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(self._serve_stream)},
                ),
            )
        )
        self.port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()
        return self.port

    async def stop(self) -> None:
        """End all streams and stop listening."""
        self.close_streams()
        await self.server.stop(0.1)

    def response(self) -> bytes:
        """Return a serialized response with the present endpoints."""
        message = self._next_message()
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=self.cluster)
        for name, host, port, zone, health, weight in self.endpoints or ():
            lb_endpoint = assignment.endpoints.add().lb_endpoints.add()
            assignment.endpoints[-1].locality.zone = zone
            lb_endpoint.endpoint.hostname, lb_endpoint.health_status = (
                name,
                health_check_pb2.HealthStatus.Value(health),
            )
            lb_endpoint.endpoint.address.socket_address.address = host
            lb_endpoint.endpoint.address.socket_address.port_value = port
            lb_endpoint.load_balancing_weight.value = weight
        message.resources.add().Pack(assignment)
        return message.SerializeToString()

    def _next_message(self) -> discovery_pb2.DiscoveryResponse:
        """Return a response without resources, with the next nonce and version."""
        self.response_count += 1
        number = str(self.response_count)
        return discovery_pb2.DiscoveryResponse(
            type_url=TYPE_URLS[ENDPOINTS], nonce=number, version_info=number
        )

    def publish(self, endpoints: list[tuple]) -> None:
        """Send endpoints to all streams, as (name, host, port, zone, health, weight)."""
        self.endpoints = endpoints
        for outgoing in self.outgoing_queues:
            outgoing.put_nowait(self.response())

    def close_streams(self) -> None:
        """End all streams."""
        for outgoing in self.outgoing_queues:
            outgoing.put_nowait(None)

    async def _serve_stream(self, requests: object, context: grpc.aio.ServicerContext) -> None:
        self.opened_streams += 1
        outgoing: asyncio.Queue = asyncio.Queue()
        self.outgoing_queues.append(outgoing)
        reader = asyncio.ensure_future(self._read(context, outgoing))
        if self.empty_first:
            outgoing.put_nowait(self._next_message().SerializeToString())
        if not self.silent and self.endpoints is not None:
            outgoing.put_nowait(self.response())
        try:
            while (response := await outgoing.get()) is not None:
                await context.write(response)
            context.set_code(grpc.StatusCode.UNAVAILABLE)
        finally:
            reader.cancel()
            self.outgoing_queues.remove(outgoing)

    async def _read(self, context: grpc.aio.ServicerContext, outgoing: asyncio.Queue) -> None:
        while (data := await context.read()) is not grpc.aio.EOF:
            request = discovery_pb2.DiscoveryRequest.FromString(data)
            if request.HasField("error_detail"):
                self.rejections.append(request.error_detail.message)
            self.changed.set()
        outgoing.put_nowait(None)
