"""The xDS services over gRPC. `front.py` decides what is sent and when.

Requests and responses are handled as bytes, so that a cached response is not parsed into messages again. All
of it runs on one asyncio loop, in the thread of the controller's epoll loop (`nested.py`).
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from oatcart.xds import decode
from oatcart.xds.client_load_reports import LoadReportReader
from oatcart.xds.client_state import ClientRequest, Stream
from oatcart.xds.encode import Encoder
from oatcart.xds.front import Front
from oatcart.xds.limits import RequestRejectedError
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

REQUEST_BYTES_MAX = 1024 * 1024  # includes the initial versions of all resources, with the longest names
FIRST_REQUEST_TIMEOUT = 5.0  # s from the start of a stream to its first request
SHUTDOWN_TIMEOUT = 0.2  # s for streams to end before they are cancelled
RETRY_PUSHBACK = "grpc-retry-pushback-ms"  # gRFC A6: ms until a retry
DISCOVERY_PACKAGE = "envoy.service.discovery.v3."
SERVICES = {  # by service and method: (incremental, the resource type of a stream for one type)
    DISCOVERY_PACKAGE + "AggregatedDiscoveryService": {
        "StreamAggregatedResources": (False, None),
        "DeltaAggregatedResources": (True, None),
    },
    "envoy.service.cluster.v3.ClusterDiscoveryService": {
        "StreamClusters": (False, CLUSTER),
        "DeltaClusters": (True, CLUSTER),
    },
    "envoy.service.endpoint.v3.EndpointDiscoveryService": {
        "StreamEndpoints": (False, ENDPOINTS),
        "DeltaEndpoints": (True, ENDPOINTS),
    },
    "envoy.service.endpoint.v3.LocalityEndpointDiscoveryService": {"DeltaLocalityEndpoints": (True, MEMBER)},
    "envoy.service.listener.v3.ListenerDiscoveryService": {
        "StreamListeners": (False, LISTENER),
        "DeltaListeners": (True, LISTENER),
    },
    "envoy.service.route.v3.RouteDiscoveryService": {
        "StreamRoutes": (False, ROUTE),
        "DeltaRoutes": (True, ROUTE),
    },
}
LOAD_REPORTING_SERVICE = "envoy.service.load_stats.v3.LoadReportingService"


class TransportStream:
    """Pushes that are still to be written to a stream, and why it has to end, if it has to."""

    def __init__(self) -> None:
        self.pushes: list[tuple[str, object]] = []
        self.wake = asyncio.Event()
        self.end_reason: RequestRejectedError | None = None

    def end(self, rejected: RequestRejectedError) -> None:
        """End the stream; the first reason stays."""
        self.end_reason = self.end_reason or rejected
        self.wake.set()


class Server:
    """Serves the front's streams and the load reports of clients.

    `unread_for`: s that a client may leave a push unread; `report_every`: s between load reports;
    `endpoint_number`: of an endpoint by its id or its (host, port); `wake_loop`: called after new events.
    """

    def __init__(
        self,
        front: Front,
        encoder: Encoder,
        clock: Callable[[], float],
        unread_for: float,
        report_every: float,
        max_streams: int,
        endpoint_number: Callable[[object], int | None],
        log: Callable[[str, str], None],
        wake_loop: Callable[[], None],
    ) -> None:
        self.front, self.encoder, self.clock, self.unread_for = front, encoder, clock, unread_for
        self.report_every, self.max_streams, self.endpoint_number, self.log = (
            report_every,
            max_streams,
            endpoint_number,
            log,
        )
        self.wake_loop = wake_loop
        self.transport_streams: dict[Stream, TransportStream] = {}
        self.report_streams = 0
        self.sent_bytes = self.sent_pushes = 0
        self.dispatch_scheduled = False
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> int:
        """Listen at an address; returns the port."""
        self.loop = asyncio.get_running_loop()
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", REQUEST_BYTES_MAX),
                ("grpc.so_reuseport", 0),
                ("grpc.max_concurrent_streams", self.max_streams),
                ("grpc.keepalive_time_ms", 20_000),
                ("grpc.keepalive_timeout_ms", 5_000),
                ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
                ("grpc.keepalive_permit_without_calls", 1),
            ]
        )
        for service, methods in SERVICES.items():
            self.server.add_generic_rpc_handlers(
                (
                    grpc.method_handlers_generic_handler(
                        service,
                        {
                            method: grpc.stream_stream_rpc_method_handler(self._handler_of(delta, only_type))
                            for method, (delta, only_type) in methods.items()
                        },
                    ),
                )
            )
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    LOAD_REPORTING_SERVICE,
                    {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._serve_load_reports)},
                ),
            )
        )
        port = self.server.add_insecure_port(address)
        await self.server.start()
        return port

    async def stop(self) -> None:
        """End all streams and stop listening."""
        for transport in self.transport_streams.values():
            transport.end(RequestRejectedError("UNAVAILABLE", "this controller stops"))
        await self.server.stop(SHUTDOWN_TIMEOUT)

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch; repeated calls schedule one."""
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            self.loop.call_soon(self.dispatch)

    def dispatch(self) -> None:
        """Hand the pushes that are due to their streams, and schedule the next dispatch if work is left."""
        self.dispatch_scheduled = False
        for stream, pushes in self.front.dispatch(self.clock()):
            transport = self.transport_streams[stream]
            transport.pushes += pushes
            transport.wake.set()
        if self.front.has_more:
            self.schedule_dispatch()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.front.next_dispatch_in is not None:
            self.timer = self.loop.call_later(self.front.next_dispatch_in, self.dispatch)

    def _handler_of(self, delta: bool, only_type: str | None) -> Callable[..., Awaitable[None]]:
        async def serve(requests: object, context: grpc.aio.ServicerContext) -> None:
            await self._serve_stream(delta, only_type, context)

        return serve

    async def _serve_stream(
        self, delta: bool, only_type: str | None, context: grpc.aio.ServicerContext
    ) -> None:
        """Serve a stream until it ends; requests are handled as they arrive, pushes written when due."""
        stream, transport = self.front.open_stream(delta, only_type), TransportStream()
        self.transport_streams[stream] = transport
        reader = asyncio.ensure_future(self._read(stream, transport, context))
        try:
            while transport.end_reason is None:
                if not transport.pushes:
                    transport.wake.clear()
                    await transport.wake.wait()
                    continue
                data = [
                    self.encoder.push(delta, resource_type, push) for resource_type, push in transport.pushes
                ]
                transport.pushes = []
                try:
                    async with asyncio.timeout(self.unread_for):
                        for message in data:
                            self.sent_bytes, self.sent_pushes = (
                                self.sent_bytes + len(message),
                                self.sent_pushes + 1,
                            )
                            await context.write(message)
                except TimeoutError:
                    raise RequestRejectedError(
                        "RESOURCE_EXHAUSTED",
                        f"a push was left unread for {self.unread_for:g} s",
                        self.unread_for,
                    ) from None
                self.front.on_written(stream)
                self.schedule_dispatch()
            raise transport.end_reason
        except RequestRejectedError as rejected:
            if rejected.message:
                client_id = stream.client.id if stream.client else "a client"
                self.log("xds", f"stream of {client_id} ended: {rejected.message}")
            if rejected.retry_after:
                context.set_trailing_metadata(((RETRY_PUSHBACK, str(round(rejected.retry_after * 1000))),))
            context.set_code(grpc.StatusCode[rejected.code])
            context.set_details(rejected.message)
        finally:
            reader.cancel()
            del self.transport_streams[stream]
            self.front.close_stream(self.clock(), stream)
            self.wake_loop()

    async def _read(
        self, stream: Stream, transport: TransportStream, context: grpc.aio.ServicerContext
    ) -> None:
        try:
            first = True
            while True:
                try:
                    async with asyncio.timeout(FIRST_REQUEST_TIMEOUT if first else None):
                        data = await context.read()
                except TimeoutError:
                    raise RequestRejectedError(
                        "DEADLINE_EXCEEDED",
                        f"no request within {FIRST_REQUEST_TIMEOUT:g} s of the start of the stream",
                    ) from None
                if data is grpc.aio.EOF:
                    raise RequestRejectedError("OK", "")
                self._handle_request(stream, decode.decode_request(stream.delta, data, stream.only_type))
                first = False
        except RequestRejectedError as rejected:
            transport.end(rejected)
        except Exception as error:  # the connection is closed, or a request is too large
            transport.end(RequestRejectedError("UNAVAILABLE", f"connection closed: {type(error).__name__}"))

    def _handle_request(self, stream: Stream, request: ClientRequest) -> None:
        for older in self.front.handle_request(self.clock(), stream, request):
            self.transport_streams[older].end(
                RequestRejectedError("ABORTED", "replaced by a newer stream of this client")
            )
        self.schedule_dispatch()
        self.wake_loop()

    async def _serve_load_reports(self, requests: object, context: grpc.aio.ServicerContext) -> None:
        """Serve a stream of load reports; the first identifies the client, and an invalid one is left out."""
        reader, client = LoadReportReader(), None
        if self.report_streams >= self.max_streams:
            context.set_code(grpc.StatusCode.RESOURCE_EXHAUSTED)
            return context.set_details(f"load reports: all {self.max_streams} streams are in use")
        self.report_streams += 1
        try:
            with suppress(asyncio.CancelledError, grpc.aio.AbortError):
                while (data := await context.read()) is not grpc.aio.EOF:
                    try:
                        identity, reports = decode.decode_load_report(data)
                    except RequestRejectedError as rejected:
                        self.log("odd", rejected.message)
                        continue
                    if client is None and identity is not None:
                        client = identity
                        answer = lrs_pb2.LoadStatsResponse(
                            clusters=[name for name, _ in self.front.request_classes],
                            report_endpoint_granularity=True,
                        )
                        answer.load_reporting_interval.FromNanoseconds(int(self.report_every * 1e9))
                        await context.write(answer.SerializeToString())
                    if client is None:
                        context.set_code(grpc.StatusCode.INVALID_ARGUMENT)
                        return context.set_details(
                            "node: expected the client's identity in the first report of a stream"
                        )
                    self.front.handle_load_report(
                        client.id,
                        reader,
                        reports,
                        self.endpoint_number,
                        lambda problem: self.log("odd", problem),
                    )
                    self.wake_loop()
        finally:
            self.report_streams -= 1
