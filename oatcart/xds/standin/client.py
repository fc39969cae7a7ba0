"""A scripted xDS client, which can answer late, reject pushes, stop reading, and reconnect."""

import asyncio
from collections.abc import Callable

import grpc
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from oatcart.xds.encode import TYPE_URLS
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

RESOURCE_TYPES = {url: resource_type for resource_type, url in TYPE_URLS.items()}
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
ENDPOINT_SERVICE = "/envoy.service.endpoint.v3.EndpointDiscoveryService/"


def weight_and_health(lb_endpoint: endpoint_components_pb2.LbEndpoint) -> tuple[int, str]:
    """Return the weight and the name of the health of an endpoint."""
    return lb_endpoint.load_balancing_weight.value, health_check_pb2.HealthStatus.Name(
        lb_endpoint.health_status
    )


class Client:
    """An xDS client that keeps the resources that it is sent.

    `reject_reason`: returns the error message by which a resource of a type is rejected, or an empty string.
    Answers wait until `answering` is set, and reads until `reading` is set.
    """

    def __init__(
        self,
        address: str,
        id: str,
        zone: str = "",
        delta: bool = False,
        shape: str = "",
        reject_reason: Callable = lambda resource_type, message: "",
        channel: grpc.aio.Channel | None = None,
    ) -> None:
        self.id, self.delta, self.reject_reason = id, delta, reject_reason
        self.node = base_pb2.Node(id=id, locality=base_pb2.Locality(zone=zone), user_agent_name="standin")
        if shape:
            self.node.metadata["oatcart.endpoints"] = shape
        self.owns_channel = channel is None
        self.channel = channel or grpc.aio.insecure_channel(
            address, options=[("grpc.use_local_subchannel_pool", 1), ("grpc.http2.bdp_probe", 0)]
        )
        self.reading, self.answering = asyncio.Event(), asyncio.Event()
        self.reading.set()
        self.answering.set()
        self.resources: dict[str, dict[str, tuple[str, object]]] = {
            resource_type: {} for resource_type in TYPE_URLS
        }  # version, message
        self.subscribed: dict[str, dict[str, None]] = {resource_type: {} for resource_type in TYPE_URLS}
        self.push_versions: dict[str, str] = {}
        self.received: list[tuple[str, list[str], list[str], str]] = []  # type, names, removed, nonce
        self.received_bytes = 0
        self.status: tuple[str, str, dict] | None = None
        self.changed = asyncio.Event()
        self.outgoing: asyncio.Queue = asyncio.Queue()
        self.tasks: list[asyncio.Task] = []

    def connect(self, only_type: str | None = None) -> None:
        """Open a new stream; the first requests on it carry the versions of the resources."""
        method = ADS + ("DeltaAggregatedResources" if self.delta else "StreamAggregatedResources")
        if only_type == ENDPOINTS:
            method = ENDPOINT_SERVICE + ("DeltaEndpoints" if self.delta else "StreamEndpoints")
        self.outgoing, self.nonces, self.requested_types, self.status = asyncio.Queue(), {}, set(), None
        outgoing = self.outgoing
        self.call = self.channel.stream_stream(method)(wait_for_ready=True)
        self.tasks = [asyncio.ensure_future(self._write(outgoing)), asyncio.ensure_future(self._read())]

    async def _write(self, outgoing: asyncio.Queue) -> None:
        try:
            while (message := await outgoing.get()) is not None:
                await self.call.write(message.SerializeToString())
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass

    def request(
        self,
        resource_type: str,
        names: list[str] = (),
        unsubscribe: list[str] = (),
        nonce: str | None = None,
        error_message: str = "",
    ) -> None:
        """Subscribe to names, or to all without any; also answers a push, with an error if it is rejected."""
        node, first = None if self.requested_types else self.node, resource_type not in self.requested_types
        self.requested_types.add(resource_type)
        for name in unsubscribe:
            self.subscribed[resource_type].pop(name, None)
            self.resources[resource_type].pop(name, None)
        self.subscribed[resource_type] |= dict.fromkeys(names)
        if self.delta:
            message = discovery_pb2.DeltaDiscoveryRequest(
                node=node,
                type_url=TYPE_URLS[resource_type],
                resource_names_unsubscribe=unsubscribe,
                resource_names_subscribe=self.subscribed[resource_type] if first else names,
                response_nonce=nonce or "",
            )
            if first:
                message.initial_resource_versions.update(
                    {name: version for name, (version, _) in self.resources[resource_type].items()}
                )
        else:
            message = discovery_pb2.DiscoveryRequest(
                node=node,
                type_url=TYPE_URLS[resource_type],
                resource_names=self.subscribed[resource_type],
                version_info=self.push_versions.get(resource_type, ""),
                response_nonce=self.nonces.get(resource_type, "") if nonce is None else nonce,
            )
        if error_message:
            message.error_detail.code, message.error_detail.message = 3, error_message
        self.outgoing.put_nowait(message)

    def send_raw(self, message: object) -> None:
        """Send a message as it is."""
        self.outgoing.put_nowait(message)

    async def _read(self) -> None:
        make = (
            discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        ).FromString
        try:
            while True:
                await self.reading.wait()
                data = await self.call.read()
                if data is grpc.aio.EOF:
                    break
                self.received_bytes += len(data)
                await self._handle_response(make(data))
        except grpc.aio.AioRpcError:
            pass
        except asyncio.CancelledError:
            return
        self.status = (
            (await self.call.code()).name,
            await self.call.details() or "",
            dict(await self.call.trailing_metadata() or ()),
        )
        self.changed.set()

    async def _handle_response(self, response: object) -> None:
        resource_type = RESOURCE_TYPES[response.type_url]
        new_resources = {}
        for resource in response.resources:
            packed = resource.resource if self.delta else resource
            message = MESSAGE_CLASSES[resource_type]()
            packed.Unpack(message)
            message_name = (
                message.cluster_name
                if resource_type == ENDPOINTS
                else ""
                if resource_type == MEMBER
                else message.name
            )
            new_resources[resource.name if self.delta else message_name] = (
                resource.version if self.delta else response.version_info,
                message,
            )
        removed = list(response.removed_resources) if self.delta else []
        error_message = "; ".join(
            filter(
                None, (self.reject_reason(resource_type, message) for _, message in new_resources.values())
            )
        )
        if not error_message:
            self.resources[resource_type] = (
                new_resources
                if not self.delta and resource_type in (CLUSTER, LISTENER)
                else self.resources[resource_type] | new_resources
            )
            for name in removed:
                self.resources[resource_type].pop(name, None)
            self.push_versions[resource_type] = "" if self.delta else response.version_info
        self.nonces[resource_type] = response.nonce
        self.received.append((resource_type, list(new_resources), removed, response.nonce))
        self.changed.set()
        if self.answering.is_set():
            self.answer(resource_type, response.nonce, error_message)
        else:
            self.tasks.append(
                asyncio.ensure_future(self._answer_later(resource_type, response.nonce, error_message))
            )

    async def _answer_later(self, resource_type: str, nonce: str, error_message: str) -> None:
        await self.answering.wait()
        self.answer(resource_type, nonce, error_message)

    def answer(self, resource_type: str, nonce: str, error_message: str = "") -> None:
        """Acknowledge a push, or reject it with an error message."""
        self.request(resource_type, nonce=nonce, error_message=error_message)

    def endpoints(self, request_class: str) -> dict[str, tuple[int, str]]:
        """Return weight and health by endpoint of a request class, in any shape."""
        if request_class not in self.resources[ENDPOINTS]:
            return {}
        seen = {}
        for locality in self.resources[ENDPOINTS][request_class][1].endpoints:
            prefix = locality.leds_cluster_locality_config.leds_collection_name[:-1]
            for lb_endpoint in locality.lb_endpoints:
                weight = locality.load_balancing_weight.value if locality.locality.sub_zone else 0
                seen[lb_endpoint.endpoint.hostname] = (
                    weight or weight_and_health(lb_endpoint)[0],
                    weight_and_health(lb_endpoint)[1],
                )
            seen |= {
                message.endpoint.hostname: weight_and_health(message)
                for name, (_, message) in self.resources[MEMBER].items()
                if prefix and name.startswith(prefix)
            }
        return seen

    def endpoint_count(self) -> int:
        """Return a lower bound of the number of its endpoints, over all request classes."""
        return len(self.resources[MEMBER]) or sum(
            len(locality.lb_endpoints)
            for _, message in self.resources[ENDPOINTS].values()
            for locality in message.endpoints
        )

    def endpoint(self, request_class: str, name: str) -> tuple[int, str]:
        """Return weight and health of one endpoint, as `endpoints` does, without a search through all."""
        if request_class in self.resources[ENDPOINTS]:
            for locality in self.resources[ENDPOINTS][request_class][1].endpoints:
                prefix = locality.leds_cluster_locality_config.leds_collection_name[:-1]
                if prefix and prefix + name in self.resources[MEMBER]:
                    return weight_and_health(self.resources[MEMBER][prefix + name][1])
                for lb_endpoint in locality.lb_endpoints:
                    if lb_endpoint.endpoint.hostname == name:
                        weight = locality.load_balancing_weight.value if locality.locality.sub_zone else 0
                        return weight or weight_and_health(lb_endpoint)[0], weight_and_health(lb_endpoint)[1]
        return 0, ""

    def collections(self) -> list[str]:
        """Return the names of the collections that its assignments refer to."""
        return sorted(
            {
                locality.leds_cluster_locality_config.leds_collection_name
                for _, message in self.resources[ENDPOINTS].values()
                for locality in message.endpoints
            }
            - {""}
        )

    async def wait_until(self, condition: Callable[[], object], timeout: float = 10.0) -> object:
        """Wait for a condition on its state; raises AssertionError with that state after `timeout` s."""
        async with asyncio.timeout(timeout):
            try:
                while not (found := condition()):
                    self.changed.clear()
                    await self.changed.wait()
                return found
            except asyncio.CancelledError:
                holds = str({name: self.endpoints(name) for name in self.resources[ENDPOINTS]})[:1000]
                raise AssertionError(
                    f"{self.id}: received {str(self.received[-5:])[:500]}, status {self.status}, "
                    f"endpoints {holds}"
                ) from None

    async def disconnect(self) -> None:
        """Cancel the stream; the resources are kept."""
        self.call.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def close(self) -> None:
        """Disconnect, and close the channel unless it is shared."""
        await self.disconnect()
        if self.owns_channel:
            await self.channel.close()


def _message_classes() -> dict:
    from envoy.config.cluster.v3 import cluster_pb2
    from envoy.config.listener.v3 import listener_pb2
    from envoy.config.route.v3 import route_pb2

    return {
        CLUSTER: cluster_pb2.Cluster,
        ENDPOINTS: endpoint_pb2.ClusterLoadAssignment,
        MEMBER: endpoint_components_pb2.LbEndpoint,
        LISTENER: listener_pb2.Listener,
        ROUTE: route_pb2.RouteConfiguration,
    }


MESSAGE_CLASSES = _message_classes()
