"""An xDS client that subscribes to the endpoints of a management server.

`verified_endpoints.py` decides which of its answers are accepted.
"""

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
RESPONSE_BYTES_MAX = 16 * 1024 * 1024  # bytes of a response: a hundred thousand endpoints
ENDPOINTS_MAX = 100_000  # in one response
HealthStatus = health_check_pb2.HealthStatus
STATE_OF_HEALTH = {
    HealthStatus.UNKNOWN: EndpointState.READY,
    HealthStatus.HEALTHY: EndpointState.READY,
    HealthStatus.DEGRADED: EndpointState.READY,
    HealthStatus.DRAINING: EndpointState.DRAINING,
}  # endpoints with any other status count as missing
METADATA_KEY = "oatcart"  # key in an endpoint's metadata; its field `started` is a Unix time in s


class InvalidResponseError(ValueError):
    """A response that cannot be used; the message names the field."""


def parse_endpoints(
    message: endpoint_pb2.ClusterLoadAssignment, zones: dict[str, int]
) -> dict[str, tuple[ReportedEndpoint, Address]]:
    """Return the endpoints of an assignment by name; raises InvalidResponseError."""
    parsed: dict[str, tuple[ReportedEndpoint, Address]] = {}
    name_at: dict[Address, str] = {}
    for locality_index, locality in enumerate(message.endpoints):
        path = f"endpoints[{locality_index}]"
        if locality.locality.zone not in zones:
            raise InvalidResponseError(
                f"{path}.locality.zone: got {locality.locality.zone[:80]!r}, "
                f"expected one of {', '.join(zones)}"
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
                    f"{path_of_endpoint}.endpoint.address: got {socket.address[:80]}:{socket.port_value}, "
                    "expected a numeric address and port"
                ) from None
            name = lb_endpoint.endpoint.hostname or "{}:{}".format(*address)
            if len(name) > MAX_ID_LENGTH or not name.isprintable():
                raise InvalidResponseError(
                    f"{path_of_endpoint}.endpoint.hostname: {name[:80]!r} is too long or not printable"
                )
            if name in parsed or address in name_at:
                raise InvalidResponseError(
                    f"{path_of_endpoint}: {name} at {address[0]}:{address[1]} is listed twice"
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
                raise InvalidResponseError(f"endpoints: expected at most {ENDPOINTS_MAX}")
    return parsed


def _started(lb_endpoint: object, field: str) -> float | None:
    metadata = lb_endpoint.metadata.filter_metadata
    if METADATA_KEY not in metadata or "started" not in metadata[METADATA_KEY].fields:
        return None
    value = metadata[METADATA_KEY].fields["started"].number_value
    if not isfinite(value) or not 0 <= value <= MAX_AMOUNT:
        raise InvalidResponseError(
            f"{field}.metadata: {METADATA_KEY}.started: expected a Unix time in seconds, got {value}"
        )
    return value


class ManagementServerClient:
    """Subscribes to the endpoints of one cluster and reconnects when the stream ends.

    `on_endpoints` is called with the complete list after each answer; `addresses`: the controller's table of
    addresses by endpoint number, which is updated.
    """

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
        """Start the task that keeps the subscription."""
        self.task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        """Open one stream after another; each runs until it ends or a suspect answer has to be rechecked."""
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
                        f"the last list stays in use, next attempt in {wait:.2f} s",
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
                    return  # only the first answer on a new stream can confirm a removal
                if data is grpc.aio.EOF:
                    if (await call.code()) is grpc.StatusCode.OK:
                        await asyncio.sleep(self.backoff.next())  # the server ended the stream in order
                    return
                request = discovery_pb2.DiscoveryRequest(
                    type_url=TYPE_URLS[ENDPOINTS], resource_names=[self.cluster]
                )
                try:
                    response = discovery_pb2.DiscoveryResponse.FromString(data)
                    request.response_nonce = response.nonce
                    has_cluster = self._handle_response(response, first_on_stream)
                    version, first_on_stream = response.version_info, first_on_stream and not has_cluster
                    self.backoff.answered()
                except (InvalidResponseError, DecodeError) as error:
                    request.error_detail.code = grpc.StatusCode.INVALID_ARGUMENT.value[0]
                    request.error_detail.message = str(error) or "malformed DiscoveryResponse"
                    self.log(
                        "source", f"{self.server}: response rejected: {error}; the last list stays in use"
                    )
                request.version_info = version
                await call.write(request.SerializeToString())
        finally:
            call.cancel()

    def _handle_response(self, response: discovery_pb2.DiscoveryResponse, first_on_stream: bool) -> bool:
        """Take over the cluster's endpoints; returns False if the response is not about them.

        `first_on_stream`: no earlier response of the stream was about them. Raises InvalidResponseError.
        """
        if response.type_url != TYPE_URLS[ENDPOINTS]:
            raise InvalidResponseError(f"type_url: {response.type_url[:80]!r} was not subscribed to")
        for resource in response.resources:
            message = endpoint_pb2.ClusterLoadAssignment()
            if not resource.Unpack(message):
                raise InvalidResponseError(
                    f"resources: expected a ClusterLoadAssignment, got {resource.type_url[:80]!r}"
                )
            if message.cluster_name == self.cluster:
                received = parse_endpoints(message, self.codec.zones)
                break
        else:
            return False  # a response without the cluster leaves its endpoints as they are
        suspicion = self.verified.receive(
            self.clock(),
            self.unix_time(),
            {name: endpoint for name, (endpoint, _) in received.items()},
            first_on_stream,
        )
        if suspicion:
            self.log(
                "source",
                f"{self.server}: suspect list: {suspicion}; missing endpoints are retained until a recheck",
            )
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
        return True
