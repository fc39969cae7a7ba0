"""The xDS services over gRPC: streams in, pushes out. What is sent when is decided in `front.py`.

Requests and responses pass as bytes, so that a response made once is never copied into messages again. All of
it runs on one asyncio loop, in one thread with the conductor's own (`nested.py`).
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from oatcart.xds import decode
from oatcart.xds.client_load_reports import LoadReportReader
from oatcart.xds.client_state import Ask, Stream
from oatcart.xds.encode import Encoder
from oatcart.xds.front import Front
from oatcart.xds.limits import RequestRejectedError
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

REQUEST_MOST = 1024 * 1024  # bytes of a request: what a client may bring of versions, as long as names may be
FIRST_WITHIN = 5.0  # s from a stream's start until it has said what it wants
END_WITHIN = 0.2  # s for streams to end in an orderly way
RETRY_PUSHBACK = "grpc-retry-pushback-ms"  # gRFC A6: when to come back
DISCOVERY = "envoy.service.discovery.v3."
STREAMS = {  # method: (incremental, the one type it is for)
    DISCOVERY + "AggregatedDiscoveryService": {
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
LOADS = "envoy.service.load_stats.v3.LoadReportingService"


class Live:
    """A stream as the transport holds it: what is still to be written, and whether it has to end."""

    def __init__(self) -> None:
        self.pushes: list[tuple[str, object]] = []
        self.wake = asyncio.Event()
        self.over: RequestRejectedError | None = None

    def end(self, rejected: RequestRejectedError) -> None:
        self.over = self.over or rejected
        self.wake.set()


class Server:
    """`unread_for`: s that a client may leave a push unread; `report_every`: s between load reports; `kick`:
    called when the module was told something."""

    def __init__(
        self,
        front: Front,
        encoder: Encoder,
        clock: Callable[[], float],
        unread_for: float,
        report_every: float,
        streams_most: int,
        place: Callable[[object], int | None],
        say: Callable[[str, str], None],
        kick: Callable[[], None],
    ) -> None:
        self.front, self.encoder, self.clock, self.unread_for = front, encoder, clock, unread_for
        self.report_every, self.streams_most, self.place, self.say = report_every, streams_most, place, say
        self.kick = kick
        self.lives: dict[Stream, Live] = {}
        self.reporting = 0
        self.sent_bytes = self.sent = 0
        self.asked = False
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> int:
        """Listen there; hands back the port."""
        self.loop = asyncio.get_running_loop()
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", REQUEST_MOST),
                ("grpc.so_reuseport", 0),
                ("grpc.max_concurrent_streams", self.streams_most),
                ("grpc.keepalive_time_ms", 20_000),
                ("grpc.keepalive_timeout_ms", 5_000),
                ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
                ("grpc.keepalive_permit_without_calls", 1),
            ]
        )
        for service, methods in STREAMS.items():
            self.server.add_generic_rpc_handlers(
                (
                    grpc.method_handlers_generic_handler(
                        service,
                        {
                            method: grpc.stream_stream_rpc_method_handler(self._serving(delta, only))
                            for method, (delta, only) in methods.items()
                        },
                    ),
                )
            )
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    LOADS, {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._reports)}
                ),
            )
        )
        port = self.server.add_insecure_port(address)
        await self.server.start()
        return port

    async def stop(self) -> None:
        for live in self.lives.values():
            live.end(RequestRejectedError("UNAVAILABLE", "this conductor ends"))
        await self.server.stop(END_WITHIN)

    def soon(self) -> None:
        """Dispatch in this turn of the loop, once, whatever asks for it."""
        if not self.asked:
            self.asked = True
            self.loop.call_soon(self.dispatch)

    def dispatch(self) -> None:
        self.asked = False
        for stream, pushes in self.front.dispatch(self.clock()):
            live = self.lives[stream]
            live.pushes += pushes
            live.wake.set()
        if self.front.more:
            self.soon()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.front.again_in is not None:
            self.timer = self.loop.call_later(self.front.again_in, self.dispatch)

    def _serving(self, delta: bool, only: str | None) -> Callable[..., Awaitable[None]]:
        async def serve(requests: object, context: grpc.aio.ServicerContext) -> None:
            await self._life(delta, only, context)

        return serve

    async def _life(self, delta: bool, only: str | None, context: grpc.aio.ServicerContext) -> None:
        """The life of a stream: requests are taken as they come, pushes written as they are decided."""
        stream, live = self.front.open(delta, only), Live()
        self.lives[stream] = live
        reader = asyncio.ensure_future(self._read(stream, live, context))
        try:
            while live.over is None:
                if not live.pushes:
                    live.wake.clear()
                    await live.wake.wait()
                    continue
                data = [self.encoder.push(delta, kind, push) for kind, push in live.pushes]
                live.pushes = []
                try:
                    async with asyncio.timeout(self.unread_for):
                        for one in data:
                            self.sent_bytes, self.sent = self.sent_bytes + len(one), self.sent + 1
                            await context.write(one)
                except TimeoutError:
                    raise RequestRejectedError(
                        "RESOURCE_EXHAUSTED",
                        f"a push was left unread for {self.unread_for:g} s",
                        self.unread_for,
                    ) from None
                self.front.written(stream)
                self.soon()
            raise live.over
        except RequestRejectedError as rejected:
            if rejected.message:
                who = stream.client.id if stream.client else "a client"
                self.say("xds", f"{who}'s stream ends: {rejected.message}")
            if rejected.retry_after:
                context.set_trailing_metadata(((RETRY_PUSHBACK, str(round(rejected.retry_after * 1000))),))
            context.set_code(grpc.StatusCode[rejected.code])
            context.set_details(rejected.message)
        finally:
            reader.cancel()
            del self.lives[stream]
            self.front.close(self.clock(), stream)
            self.kick()

    async def _read(self, stream: Stream, live: Live, context: grpc.aio.ServicerContext) -> None:
        try:
            first = True
            while True:
                try:
                    async with asyncio.timeout(FIRST_WITHIN if first else None):
                        data = await context.read()
                except TimeoutError:
                    raise RequestRejectedError(
                        "DEADLINE_EXCEEDED", f"no request within {FIRST_WITHIN:g} s"
                    ) from None
                if data is grpc.aio.EOF:
                    raise RequestRejectedError("OK", "")
                self._take(stream, decode.request(stream.delta, data, stream.only))
                first = False
        except RequestRejectedError as rejected:
            live.end(rejected)
        except Exception as error:  # the connection is gone, or a request over the limit
            live.end(RequestRejectedError("UNAVAILABLE", f"its connection ended: {type(error).__name__}"))

    def _take(self, stream: Stream, ask: Ask) -> None:
        for older in self.front.ask(self.clock(), stream, ask):
            self.lives[older].end(
                RequestRejectedError("ABORTED", "a newer stream of this client takes its place")
            )
        self.soon()
        self.kick()

    async def _reports(self, requests: object, context: grpc.aio.ServicerContext) -> None:
        """The life of a stream of load reports: the first says who it is, then each is taken or costs itself
        alone.
        """
        reader, node = LoadReportReader(), None
        if self.reporting >= self.streams_most:
            context.set_code(grpc.StatusCode.RESOURCE_EXHAUSTED)
            return context.set_details(f"{self.streams_most} streams of load reports are read, no more")
        self.reporting += 1
        try:
            with suppress(asyncio.CancelledError, grpc.aio.AbortError):
                while (data := await context.read()) is not grpc.aio.EOF:
                    try:
                        told, reports = decode.report(data)
                    except RequestRejectedError as rejected:
                        self.say("odd", rejected.message)
                        continue
                    if node is None and told is not None:
                        node = told
                        answer = lrs_pb2.LoadStatsResponse(
                            clusters=[name for name, _ in self.front.kinds], report_endpoint_granularity=True
                        )
                        answer.load_reporting_interval.FromNanoseconds(int(self.report_every * 1e9))
                        await context.write(answer.SerializeToString())
                    if node is None:
                        context.set_code(grpc.StatusCode.INVALID_ARGUMENT)
                        return context.set_details(
                            "node.id: the first report of a stream has to say who sends it"
                        )
                    self.front.report(node.id, reader, reports, self.place, lambda odd: self.say("odd", odd))
                    self.kick()
        finally:
            self.reporting -= 1
