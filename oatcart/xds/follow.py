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
from oatcart.xds.encode import TYPE_URLS
from oatcart.xds.resource_types import ENDPOINTS
from oatcart.xds.verified_endpoints import ReportedEndpoint, VerifiedEndpoints

STREAM_METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
RESPONSE_BYTES_MAX = 16 * 1024 * 1024  # bytes of an answer: a hundred thousand endpoints
ENDPOINTS_MAX = 100_000  # in one answer
HealthStatus = health_check_pb2.HealthStatus
STATE_OF_HEALTH = {
    HealthStatus.UNKNOWN: EndpointState.READY,
    HealthStatus.HEALTHY: EndpointState.READY,
    HealthStatus.DEGRADED: EndpointState.READY,
    HealthStatus.DRAINING: EndpointState.DRAINING,
}  # all others are left out, like nodes that are missing
METADATA_KEY = "oatcart"  # of an endpoint's metadata, where `started` may stand, s of Unix time


class InvalidResponseError(ValueError):
    """An answer that cannot be used; names the field."""


def parse_endpoints(
    message: endpoint_pb2.ClusterLoadAssignment, zones: dict[str, int]
) -> dict[str, tuple[ReportedEndpoint, Address]]:
    """The endpoints of an assignment by name; raises Unfit."""
    parsed: dict[str, tuple[ReportedEndpoint, Address]] = {}
    name_at: dict[Address, str] = {}
    for locality_index, locality in enumerate(message.endpoints):
        path = f"endpoints[{locality_index}]"
        if locality.locality.zone not in zones:
            raise InvalidResponseError(
                f"{path}.locality.zone: {locality.locality.zone[:80]!r} is none of {', '.join(zones)}"
            )
        for endpoint_index, lb_endpoint in enumerate(locality.lb_endpoints):
            path_of_endpoint, socket = (
                f"{path}.lb_endpoints[{endpoint_index}]",
                lb_endpoint.endpoint.address.socket_address,
            )
            try:
                address = parse_address(f"{socket.address}:{socket.port_value}")
                if not address[1]:
                    raise ValueError
            except ValueError:
                raise InvalidResponseError(
                    f"{path_of_endpoint}.endpoint.address: {socket.address[:80]}:{socket.port_value} is no numeric "
                    "address and port"
                ) from None
            name = lb_endpoint.endpoint.hostname or "{}:{}".format(*address)
            if len(name) > MAX_ID_LENGTH or not name.isprintable():
                raise InvalidResponseError(f"{path_of_endpoint}.endpoint.hostname: {name[:80]!r} is no name")
            if name in parsed or address in name_at:
                raise InvalidResponseError(
                    f"{path_of_endpoint}: {name} at {address[0]}:{address[1]} stands there twice"
                )
            name_at[address] = name
            if lb_endpoint.health_status in STATE_OF_HEALTH:
                parsed[name] = (
                    ReportedEndpoint(
                        zones[locality.locality.zone],
                        STATE_OF_HEALTH[lb_endpoint.health_status],
                        lb_endpoint.load_balancing_weight.value or 1.0,
                        _started(lb_endpoint, path_of_endpoint),
                    ),
                    address,
                )
            if len(name_at) > ENDPOINTS_MAX:
                raise InvalidResponseError(f"endpoints: more than {ENDPOINTS_MAX}")
    return parsed


def _started(lb_endpoint: object, field: str) -> float | None:
    metadata = lb_endpoint.metadata.filter_metadata
    if METADATA_KEY not in metadata or "started" not in metadata[METADATA_KEY].fields:
        return None
    value = metadata[METADATA_KEY].fields["started"].number_value
    if not isfinite(value) or not 0 <= value <= MAX_AMOUNT:
        raise InvalidResponseError(f"{field}.metadata: {METADATA_KEY}.started {value}")
    return value


class ManagementServerClient:
    """`take` gets the whole list, as entries, when it has changed; `addresses` is the conductor's own."""

    def __init__(
        self,
        server: str,
        cluster: str,
        node_id: str,
        codec: Codec,
        addresses: dict[int, Address],
        verified: VerifiedEndpoints,
        backoff: Backoff,
        clock: Callable[[], float],
        unix_time: Callable[[], float],
        on_endpoints: Callable[[list[tuple]], None],
        log: Callable[[str, str], None],
    ) -> None:
        self.server, self.cluster, self.node_id, self.codec, self.addresses = (
            server,
            cluster,
            node_id,
            codec,
            addresses,
        )
        self.verified, self.backoff, self.clock, self.unix_time, self.on_endpoints = (
            verified,
            backoff,
            clock,
            unix_time,
            on_endpoints,
        )
        self.log = log
        self.address_of: dict[str, Address] = {}
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        self.task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        """Stream after stream, each until it ends or a doubt asks for another."""
        options = [
            ("grpc.max_receive_message_length", RESPONSE_BYTES_MAX),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", 5_000),
            ("grpc.initial_reconnect_backoff_ms", 100),
            ("grpc.max_reconnect_backoff_ms", 1000),
        ]
        async with grpc.aio.insecure_channel(self.server, options=options) as channel:
            while True:
                try:
                    await self._run_stream(channel)
                except grpc.aio.AioRpcError as error:
                    wait = self.backoff.next()
                    self.log(
                        "source",
                        f"{self.server}: {error.code().name}: {(error.details() or '')[:200]}; "
                        f"the last list stands, next dial in {wait:.2f} s",
                    )
                    await asyncio.sleep(wait)

    async def _run_stream(self, channel: grpc.aio.Channel) -> None:
        call, version, first_on_stream = channel.stream_stream(STREAM_METHOD)(), "", True
        request = discovery_pb2.DiscoveryRequest(
            node=base_pb2.Node(id=self.node_id, user_agent_name="oatcart"),
            type_url=TYPE_URLS[ENDPOINTS],
            resource_names=[self.cluster],
        )
        try:
            await call.write(request.SerializeToString())
            while True:
                recheck_in = self.verified.recheck_at() - self.clock()
                try:
                    async with asyncio.timeout(
                        max(0.0, recheck_in) if recheck_in < inf and not first_on_stream else None
                    ):
                        data = await call.read()
                except TimeoutError:
                    return  # what is in doubt is asked anew, on a fresh stream
                if data is grpc.aio.EOF:
                    if (await call.code()) is grpc.StatusCode.OK:
                        await asyncio.sleep(self.backoff.next())  # it was told to go, politely
                    return
                request = discovery_pb2.DiscoveryRequest(
                    type_url=TYPE_URLS[ENDPOINTS], resource_names=[self.cluster]
                )
                try:
                    response = discovery_pb2.DiscoveryResponse.FromString(data)
                    request.response_nonce = response.nonce
                    self._handle_response(response, first_on_stream)
                    version, first_on_stream = response.version_info, False
                    self.backoff.answered()
                except (InvalidResponseError, DecodeError) as error:
                    request.error_detail.code = grpc.StatusCode.INVALID_ARGUMENT.value[0]
                    request.error_detail.message = str(error) or "an answer that cannot be read"
                    self.log("source", f"{self.server}: refused: {error}; the last list stands")
                request.version_info = version
                await call.write(request.SerializeToString())
        finally:
            call.cancel()

    def _handle_response(self, response: discovery_pb2.DiscoveryResponse, first_on_stream: bool) -> None:
        if response.type_url != TYPE_URLS[ENDPOINTS]:
            raise InvalidResponseError(f"type_url: {response.type_url[:80]!r} was not asked for")
        for resource in response.resources:
            message = endpoint_pb2.ClusterLoadAssignment()
            if not resource.Unpack(message):
                raise InvalidResponseError(
                    f"resources: {resource.type_url[:80]!r} is no ClusterLoadAssignment"
                )
            if message.cluster_name == self.cluster:
                received = parse_endpoints(message, self.codec.zones)
                break
        else:
            return  # an answer without what was asked for says nothing of it
        suspicion = self.verified.receive(
            self.clock(),
            self.unix_time(),
            {name: endpoint for name, (endpoint, _) in received.items()},
            first_on_stream,
        )
        if suspicion:
            self.log("source", f"{self.server}: doubted: {suspicion}; they stay, it is asked anew")
        self.address_of = {
            name: address for name, address in self.address_of.items() if name in self.verified.endpoints
        } | {name: address for name, (_, address) in received.items()}
        by_address = {address: number for number, address in self.addresses.items()}
        numbers = {
            name: by_address.get(address) if address in by_address else self.codec.number_of(name)
            for name, address in self.address_of.items()
        }
        self.addresses |= {numbers[name]: address for name, address in self.address_of.items()}
        self.on_endpoints(self.verified.entries(numbers.__getitem__))
