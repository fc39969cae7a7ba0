"""A scripted xDS client: it keeps its view as published, may be late, refuse, read nothing or come back."""

import asyncio
from collections.abc import Callable

import grpc
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from oatcart.xds.encode import TYPES
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

KINDS = {url: kind for kind, url in TYPES.items()}
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
ENDPOINT_SERVICE = "/envoy.service.endpoint.v3.EndpointDiscoveryService/"


def seen(lb: endpoint_components_pb2.LbEndpoint) -> tuple[int, str]:
    return lb.load_balancing_weight.value, health_check_pb2.HealthStatus.Name(lb.health_status)


class Client:
    """`refuses`: given a type and a resource's message, the words of a refusal or nothing. Answers wait for
    `answers` to be set; `reads` is set as long as it reads at all."""

    def __init__(
        self,
        address: str,
        id: str,
        zone: str = "",
        delta: bool = False,
        shape: str = "",
        refuses: Callable = lambda kind, message: "",
        channel: grpc.aio.Channel | None = None,
    ) -> None:
        self.id, self.delta, self.refuses = id, delta, refuses
        self.node = base_pb2.Node(id=id, locality=base_pb2.Locality(zone=zone), user_agent_name="standin")
        if shape:
            self.node.metadata["oatcart.endpoints"] = shape
        self.own = channel is None
        self.channel = channel or grpc.aio.insecure_channel(
            address, options=[("grpc.use_local_subchannel_pool", 1), ("grpc.http2.bdp_probe", 0)]
        )
        self.reads, self.answers = asyncio.Event(), asyncio.Event()
        self.reads.set()
        self.answers.set()
        self.held: dict[str, dict[str, tuple[str, object]]] = {kind: {} for kind in TYPES}  # version, message
        self.names: dict[str, dict[str, None]] = {kind: {} for kind in TYPES}
        self.versions: dict[str, str] = {}
        self.got: list[tuple[str, list[str], list[str], str]] = []  # type, names, removed, nonce
        self.bytes = 0
        self.status: tuple[str, str, dict] | None = None
        self.news = asyncio.Event()
        self.out: asyncio.Queue = asyncio.Queue()
        self.tasks: list[asyncio.Task] = []

    def connect(self, only: str | None = None) -> None:
        """A new stream; what is held goes along with the first requests on it."""
        method = ADS + ("DeltaAggregatedResources" if self.delta else "StreamAggregatedResources")
        if only == ENDPOINTS:
            method = ENDPOINT_SERVICE + ("DeltaEndpoints" if self.delta else "StreamEndpoints")
        self.out, self.nonces, self.fresh, self.status = asyncio.Queue(), {}, set(), None
        out = self.out
        self.call = self.channel.stream_stream(method)(wait_for_ready=True)
        self.tasks = [asyncio.ensure_future(self._write(out)), asyncio.ensure_future(self._read())]

    async def _write(self, out: asyncio.Queue) -> None:
        try:
            while (message := await out.get()) is not None:
                await self.call.write(message.SerializeToString())
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass

    def ask(
        self,
        kind: str,
        names: list[str] = (),
        unsubscribe: list[str] = (),
        nonce: str | None = None,
        refusal: str = "",
    ) -> None:
        """Subscribe to names; without any, to all. On a first request the versions held go along."""
        node, first = None if self.fresh else self.node, kind not in self.fresh
        self.fresh.add(kind)
        for name in unsubscribe:
            self.names[kind].pop(name, None)
            self.held[kind].pop(name, None)
        self.names[kind] |= dict.fromkeys(names)
        if self.delta:
            message = discovery_pb2.DeltaDiscoveryRequest(
                node=node,
                type_url=TYPES[kind],
                resource_names_unsubscribe=unsubscribe,
                resource_names_subscribe=self.names[kind] if first else names,
                response_nonce=nonce or "",
            )
            if first:
                message.initial_resource_versions.update(
                    {name: version for name, (version, _) in self.held[kind].items()}
                )
        else:
            message = discovery_pb2.DiscoveryRequest(
                node=node,
                type_url=TYPES[kind],
                resource_names=self.names[kind],
                version_info=self.versions.get(kind, ""),
                response_nonce=self.nonces.get(kind, "") if nonce is None else nonce,
            )
        if refusal:
            message.error_detail.code, message.error_detail.message = 3, refusal
        self.out.put_nowait(message)

    def say(self, message: object) -> None:
        """Any message, as it stands."""
        self.out.put_nowait(message)

    async def _read(self) -> None:
        make = (
            discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        ).FromString
        try:
            while True:
                await self.reads.wait()
                data = await self.call.read()
                if data is grpc.aio.EOF:
                    break
                self.bytes += len(data)
                await self._take(make(data))
        except grpc.aio.AioRpcError:
            pass
        except asyncio.CancelledError:
            return
        self.status = (
            (await self.call.code()).name,
            await self.call.details() or "",
            dict(await self.call.trailing_metadata() or ()),
        )
        self.news.set()

    async def _take(self, response: object) -> None:
        kind = KINDS[response.type_url]
        new = {}
        for one in response.resources:
            packed = one.resource if self.delta else one
            message = MESSAGES[kind]()
            packed.Unpack(message)
            named = message.cluster_name if kind == ENDPOINTS else "" if kind == MEMBER else message.name
            new[one.name if self.delta else named] = (
                one.version if self.delta else response.version_info,
                message,
            )
        removed = list(response.removed_resources) if self.delta else []
        words = "; ".join(filter(None, (self.refuses(kind, message) for _, message in new.values())))
        if not words:
            self.held[kind] = new if not self.delta and kind in (CLUSTER, LISTENER) else self.held[kind] | new
            for name in removed:
                self.held[kind].pop(name, None)
            self.versions[kind] = "" if self.delta else response.version_info
        self.nonces[kind] = response.nonce
        self.got.append((kind, list(new), removed, response.nonce))
        self.news.set()
        if self.answers.is_set():
            self.answer(kind, response.nonce, words)
        else:
            self.tasks.append(asyncio.ensure_future(self._late(kind, response.nonce, words)))

    async def _late(self, kind: str, nonce: str, words: str) -> None:
        await self.answers.wait()
        self.answer(kind, nonce, words)

    def answer(self, kind: str, nonce: str, words: str = "") -> None:
        self.ask(kind, nonce=nonce, refusal=words)

    def endpoints(self, kind: str) -> dict[str, tuple[int, str]]:
        """Its view of a request kind: weight and health by node, whatever the shape it gets them in."""
        if kind not in self.held[ENDPOINTS]:
            return {}
        found = {}
        for part in self.held[ENDPOINTS][kind][1].endpoints:
            begins = part.leds_cluster_locality_config.leds_collection_name[:-1]
            for lb in part.lb_endpoints:
                weight = part.load_balancing_weight.value if part.locality.sub_zone else 0
                found[lb.endpoint.hostname] = (weight or seen(lb)[0], seen(lb)[1])
            found |= {
                message.endpoint.hostname: seen(message)
                for name, (_, message) in self.held[MEMBER].items()
                if begins and name.startswith(begins)
            }
        return found

    def count(self) -> int:
        """How many endpoints it holds of all kinds, at least."""
        return len(self.held[MEMBER]) or sum(
            len(part.lb_endpoints)
            for _, message in self.held[ENDPOINTS].values()
            for part in message.endpoints
        )

    def endpoint(self, kind: str, name: str) -> tuple[int, str]:
        """Weight and health of one node as `endpoints` has them, found without looking at all others."""
        if kind in self.held[ENDPOINTS]:
            for part in self.held[ENDPOINTS][kind][1].endpoints:
                begins = part.leds_cluster_locality_config.leds_collection_name[:-1]
                if begins and begins + name in self.held[MEMBER]:
                    return seen(self.held[MEMBER][begins + name][1])
                for lb in part.lb_endpoints:
                    if lb.endpoint.hostname == name:
                        weight = part.load_balancing_weight.value if part.locality.sub_zone else 0
                        return weight or seen(lb)[0], seen(lb)[1]
        return 0, ""

    def collections(self) -> list[str]:
        return sorted(
            {
                part.leds_cluster_locality_config.leds_collection_name
                for _, message in self.held[ENDPOINTS].values()
                for part in message.endpoints
            }
            - {""}
        )

    async def until(self, met: Callable[[], object], within: float = 10.0) -> object:
        """Wait until something about its view holds; an error that shows what came if it does not in time."""
        async with asyncio.timeout(within):
            try:
                while not (found := met()):
                    self.news.clear()
                    await self.news.wait()
                return found
            except asyncio.CancelledError:
                holds = str({name: self.endpoints(name) for name in self.held[ENDPOINTS]})[:1000]
                raise AssertionError(
                    f"{self.id}: got {str(self.got[-5:])[:500]}, status {self.status}, holds {holds}"
                ) from None

    async def drop(self) -> None:
        """The stream is cut; what it holds stays."""
        self.call.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def close(self) -> None:
        await self.drop()
        if self.own:
            await self.channel.close()


def _messages() -> dict:
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


MESSAGES = _messages()
