"""An xDS client that takes endpoints from a management server; `verified_endpoints.py` says which count."""

import asyncio
from collections.abc import Callable
from math import inf, isfinite

import grpc
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from oatcart.load_reports import MAX_AMOUNT
from oatcart.model import EndpointState
from oatcart.net.codec import MAX_ID_LENGTH, Codec, parse_address
from oatcart.net.stream import Address
from oatcart.xds.backoff import Backoff
from oatcart.xds.encode import TYPES
from oatcart.xds.resource_types import ENDPOINTS
from oatcart.xds.verified_endpoints import ReportedEndpoint, VerifiedEndpoints

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
ANSWER_MOST = 16 * 1024 * 1024  # bytes of an answer: a hundred thousand endpoints
NODES_MOST = 100_000  # in one answer
HEALTH = health_check_pb2.HealthStatus
STATES = {
    HEALTH.UNKNOWN: EndpointState.READY,
    HEALTH.HEALTHY: EndpointState.READY,
    HEALTH.DEGRADED: EndpointState.READY,
    HEALTH.DRAINING: EndpointState.DRAINING,
}  # all others are left out, like nodes that are missing
KEY = "oatcart"  # of an endpoint's metadata, where `started` may stand, s of Unix time


class Unfit(ValueError):
    """An answer that cannot be used; names the field."""


def endpoints(
    message: endpoint_pb2.ClusterLoadAssignment, zones: dict[str, int]
) -> dict[str, tuple[ReportedEndpoint, Address]]:
    """The endpoints of an assignment by name; raises Unfit."""
    found: dict[str, tuple[ReportedEndpoint, Address]] = {}
    taken: dict[Address, str] = {}
    for at, part in enumerate(message.endpoints):
        where = f"endpoints[{at}]"
        if part.locality.zone not in zones:
            raise Unfit(f"{where}.locality.zone: {part.locality.zone[:80]!r} is none of {', '.join(zones)}")
        for place, one in enumerate(part.lb_endpoints):
            field, socket = f"{where}.lb_endpoints[{place}]", one.endpoint.address.socket_address
            try:
                known = parse_address(f"{socket.address}:{socket.port_value}")
                if not known[1]:
                    raise ValueError
            except ValueError:
                raise Unfit(
                    f"{field}.endpoint.address: {socket.address[:80]}:{socket.port_value} is no numeric "
                    "address and port"
                ) from None
            name = one.endpoint.hostname or "{}:{}".format(*known)
            if len(name) > MAX_ID_LENGTH or not name.isprintable():
                raise Unfit(f"{field}.endpoint.hostname: {name[:80]!r} is no name")
            if name in found or known in taken:
                raise Unfit(f"{field}: {name} at {known[0]}:{known[1]} stands there twice")
            taken[known] = name
            if one.health_status in STATES:
                found[name] = (
                    ReportedEndpoint(
                        zones[part.locality.zone],
                        STATES[one.health_status],
                        one.load_balancing_weight.value or 1.0,
                        _started(one, field),
                    ),
                    known,
                )
            if len(taken) > NODES_MOST:
                raise Unfit(f"endpoints: more than {NODES_MOST}")
    return found


def _started(one: object, field: str) -> float | None:
    told = one.metadata.filter_metadata
    if KEY not in told or "started" not in told[KEY].fields:
        return None
    value = told[KEY].fields["started"].number_value
    if not isfinite(value) or not 0 <= value <= MAX_AMOUNT:
        raise Unfit(f"{field}.metadata: {KEY}.started {value}")
    return value


class Follower:
    """`take` gets the whole list, as entries, when it has changed; `addresses` is the conductor's own."""

    def __init__(
        self,
        server: str,
        cluster: str,
        node: str,
        codec: Codec,
        addresses: dict[int, Address],
        verified: VerifiedEndpoints,
        backoff: Backoff,
        clock: Callable[[], float],
        unix: Callable[[], float],
        take: Callable[[list[tuple]], None],
        say: Callable[[str, str], None],
    ) -> None:
        self.server, self.cluster, self.node, self.codec, self.addresses = (
            server,
            cluster,
            node,
            codec,
            addresses,
        )
        self.verified, self.backoff, self.clock, self.unix, self.take = verified, backoff, clock, unix, take
        self.say = say
        self.at: dict[str, Address] = {}
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        self.task = asyncio.ensure_future(self._life())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _life(self) -> None:
        """Stream after stream, each until it ends or a doubt asks for another."""
        options = [
            ("grpc.max_receive_message_length", ANSWER_MOST),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", 5_000),
            ("grpc.initial_reconnect_backoff_ms", 100),
            ("grpc.max_reconnect_backoff_ms", 1000),
        ]
        async with grpc.aio.insecure_channel(self.server, options=options) as channel:
            while True:
                try:
                    await self._stream(channel)
                except grpc.aio.AioRpcError as error:
                    wait = self.backoff.next()
                    self.say(
                        "source",
                        f"{self.server}: {error.code().name}: {(error.details() or '')[:200]}; "
                        f"the last list stands, next dial in {wait:.2f} s",
                    )
                    await asyncio.sleep(wait)

    async def _stream(self, channel: grpc.aio.Channel) -> None:
        call, version, fresh = channel.stream_stream(ADS)(), "", True
        request = discovery_pb2.DiscoveryRequest(
            node=base_pb2.Node(id=self.node, user_agent_name="oatcart"),
            type_url=TYPES[ENDPOINTS],
            resource_names=[self.cluster],
        )
        try:
            await call.write(request.SerializeToString())
            while True:
                again = self.verified.recheck_at() - self.clock()
                try:
                    async with asyncio.timeout(max(0.0, again) if again < inf and not fresh else None):
                        data = await call.read()
                except TimeoutError:
                    return  # what is in doubt is asked anew, on a fresh stream
                if data is grpc.aio.EOF:
                    if (await call.code()) is grpc.StatusCode.OK:
                        await asyncio.sleep(self.backoff.next())  # it was told to go, politely
                    return
                request = discovery_pb2.DiscoveryRequest(
                    type_url=TYPES[ENDPOINTS], resource_names=[self.cluster]
                )
                try:
                    response = discovery_pb2.DiscoveryResponse.FromString(data)
                    request.response_nonce = response.nonce
                    self._answer(response, fresh)
                    version, fresh = response.version_info, False
                    self.backoff.answered()
                except (Unfit, DecodeError) as error:
                    request.error_detail.code = grpc.StatusCode.INVALID_ARGUMENT.value[0]
                    request.error_detail.message = str(error) or "an answer that cannot be read"
                    self.say("source", f"{self.server}: refused: {error}; the last list stands")
                request.version_info = version
                await call.write(request.SerializeToString())
        finally:
            call.cancel()

    def _answer(self, response: discovery_pb2.DiscoveryResponse, fresh: bool) -> None:
        if response.type_url != TYPES[ENDPOINTS]:
            raise Unfit(f"type_url: {response.type_url[:80]!r} was not asked for")
        for one in response.resources:
            message = endpoint_pb2.ClusterLoadAssignment()
            if not one.Unpack(message):
                raise Unfit(f"resources: {one.type_url[:80]!r} is no ClusterLoadAssignment")
            if message.cluster_name == self.cluster:
                found = endpoints(message, self.codec.zones)
                break
        else:
            return  # an answer without what was asked for says nothing of it
        doubt = self.verified.receive(
            self.clock(), self.unix(), {name: told for name, (told, _) in found.items()}, fresh
        )
        if doubt:
            self.say("source", f"{self.server}: doubted: {doubt}; they stay, it is asked anew")
        self.at = {name: at for name, at in self.at.items() if name in self.verified.endpoints} | {
            name: at for name, (_, at) in found.items()
        }
        by_address = {at: place for place, at in self.addresses.items()}
        places = {
            name: by_address.get(at) if at in by_address else self.codec.number_of(name)
            for name, at in self.at.items()
        }
        self.addresses |= {places[name]: at for name, at in self.at.items()}
        self.take(self.verified.entries(places.__getitem__))
