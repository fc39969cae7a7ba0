"""The xDS front without its transport: clients, what each is sent, and the events for the controller.

Free of I/O. A client is identified by its node id. Once it subscribes to a type that depends on routing
tables, it is added as a proxy, and the controller assigns it the tables of its zone like any other proxy;
before that it is sent no resource of these types. A nonce is acknowledged once all resources that were due at
its round are acknowledged on all streams of the client.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from typing import Protocol

from oatcart.events import ProxyJoined, ProxyLeft, ProxyLoadReported, UpdateAcknowledged
from oatcart.model import RequestClass
from oatcart.routing_tables import RoutingTables, UpdatePart
from oatcart.xds import view
from oatcart.xds.acknowledgements import await_acknowledgement, take_acknowledged
from oatcart.xds.client_load_reports import ClusterLoadReport, LoadReportReader
from oatcart.xds.client_state import Client, ClientIdentity, ClientRequest, Stream
from oatcart.xds.limits import (
    ClientLimits,
    PushBudget,
    RequestRejectedError,
    ReturnAdmission,
    check_names,
)
from oatcart.xds.push import Push, Rejection
from oatcart.xds.push_dispatch import PushDispatch
from oatcart.xds.push_metrics import PushMetrics
from oatcart.xds.resource_cache import ResourceCache, digest
from oatcart.xds.resource_types import BY_TABLE, CARRIES_ENDPOINTS, FIRST_PUSHES, WHOLE_TYPES
from oatcart.xds.subscription import Subscription
from oatcart.xds.table_publication import TablePublication


class ProxyRegistry(Protocol):
    """Receives clients as proxies, and the events for the controller."""

    def add_proxy(self, proxy: int, unconfigured: bool) -> None:
        """Add a proxy. `unconfigured`: it has no table of any controller."""

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy."""

    def add_event(self, event: tuple) -> None:
        """Pass an event to the next round."""


class Front:
    """Handles requests of clients and decides what they are sent.

    `first_proxy`: proxy number of the first xDS client; `incarnation`: prefix of nonces, another one in each
    incarnation of the controller; `by_rate`: quotas are rates; `home_zone`: of clients that name none.
    """

    def __init__(
        self,
        registry: ProxyRegistry,
        request_classes: Sequence[tuple[str, RequestClass]],
        zones: Sequence[str],
        first_proxy: int,
        incarnation: str,
        limits: ClientLimits,
        budget: PushBudget,
        by_rate: bool,
        home_zone: str = "",
        log: Callable[[str, str], None] = lambda kind, text: None,
    ) -> None:
        self.registry, self.request_classes, self.zones = (
            registry,
            list(request_classes),
            {name: number for number, name in enumerate(zones)},
        )
        self.zone_names, self.first_proxy, self.incarnation = list(zones), first_proxy, incarnation
        self.limits, self.budget, self.by_rate, self.home_zone, self.log = (
            limits,
            budget,
            by_rate,
            home_zone,
            log,
        )
        self.return_admission = ReturnAdmission(budget)
        self.publication = TablePublication(self.request_classes, self.zone_names, by_rate)
        self.push_dispatch = PushDispatch(budget, self.cache_for, lambda kind, text: self.log(kind, text))
        self.clients: dict[str, Client] = {}
        self.by_proxy: dict[int, Client] = {}
        self.free_proxies: list[int] = []
        self.departed_ids: OrderedDict[str, None] = OrderedDict()  # clients that left, newest last
        self.stream_keys = count(1)

    @property
    def caches(self) -> dict[tuple, ResourceCache]:
        """The resource caches by type, and by zone and shape where resources of the type differ by these."""
        return self.publication.caches

    @property
    def tables_by_zone(self) -> dict[int, tuple[int, ...]]:
        """By zone: the routing table of each request class."""
        return self.publication.tables_by_zone

    @property
    def published_endpoints(self) -> dict[int, tuple[view.Endpoint, ...]]:
        """By routing table: the endpoints as last published."""
        return self.publication.published

    @property
    def pending_streams(self) -> dict[Stream, None]:
        """The streams for which there may be something to send."""
        return self.push_dispatch.pending

    @property
    def has_more(self) -> bool:
        """Whether the last dispatch stopped at its limit and left work for another."""
        return self.push_dispatch.has_more

    @property
    def next_dispatch_in(self) -> float | None:
        """The time until the budget allows a delayed push, s; None if no push waits."""
        return self.push_dispatch.next_dispatch_in

    @property
    def push_metrics(self) -> PushMetrics:
        """Counts of the pushes that were sent or delayed."""
        return self.push_dispatch.push_metrics

    def cache_for(self, client: Client, resource_type: str) -> ResourceCache:
        """The resources of a type as the client may see them."""
        return self.publication.cache_for(client, resource_type)

    # -- streams and requests

    def open_stream(self, delta: bool, only_type: str | None = None) -> Stream:
        """Return a new stream. `only_type`: the resource type of a stream for one type."""
        return Stream(next(self.stream_keys), delta, only_type)

    def handle_request(self, now: float, stream: Stream, request: ClientRequest) -> list[Stream]:
        """Handle a request; returns older streams of the client that have to be closed.

        Raises RequestRejectedError, which ends the stream. `now`: s.
        """
        if stream.only_type is not None and request.type != stream.only_type:
            raise RequestRejectedError(
                "INVALID_ARGUMENT", f"type_url: expected {stream.only_type}, this is a stream for one type"
            )
        check_names((*request.names, *request.unsubscribe, *request.initial_versions))
        ended = self._admit(now, stream, request)
        subscription = stream.subscriptions.get(request.type) or self._new_subscription(stream, request)
        self.limits.check_name_count(
            sum(len(one.subscribed) for one in stream.subscriptions.values())
            + len(request.names)
            - (len(subscription.subscribed) if not stream.delta else 0)
        )
        stream.subscriptions[request.type] = subscription
        stream.returning = stream.returning or subscription.returning
        if stream.delta:
            answer = subscription.request_changes(
                request.names,
                request.unsubscribe,
                request.initial_versions,
                request.nonce,
                request.error_message,
            )
        else:
            answer = subscription.request_names(request.names, request.nonce, request.error_message)
        if isinstance(answer, Rejection):
            self._log_rejection(now, stream.client, request.type, answer)
        if request.type in BY_TABLE:
            self._join(stream.client)
        if request.nonce and answer is not False:
            stream.client.acked_at = now
            self._report_acknowledged(now, stream.client)
        self.push_dispatch.add(stream)
        return ended

    def _new_subscription(self, stream: Stream, request: ClientRequest) -> Subscription:
        """Return the subscription for the first request of a type on a stream."""
        of_whole_type = request.type in WHOLE_TYPES
        subscription = Subscription(
            delta=stream.delta,
            sends_all=of_whole_type and not stream.delta,
            nonce_prefix=f"{self.incarnation}.{stream.key}.{request.type[0]}",
            wildcard_allowed=of_whole_type,
            carries_endpoints=request.type in CARRIES_ENDPOINTS,
            returning=bool(request.initial_versions or request.version),
        )
        if subscription.carries_endpoints:
            subscription.initial_push_version = request.version
        return subscription

    def _admit(self, now: float, stream: Stream, request: ClientRequest) -> list[Stream]:
        if stream.client is not None:
            self._prepay(now, stream, request, stream.client.shape)
            return []
        identity = request.identity
        if identity is None or not identity.id or not identity.id.isprintable():
            raise RequestRejectedError(
                "INVALID_ARGUMENT", "node.id: expected a printable id in the first request of a stream"
            )
        check_names([identity.id])
        zone = identity.zone or self.home_zone
        if zone not in self.zones:
            raise RequestRejectedError(
                "INVALID_ARGUMENT",
                f"node.locality.zone: got {zone[:80]!r}, expected one of {', '.join(self.zone_names)}",
            )
        client = self.clients.get(identity.id)
        if client is None:
            self.limits.check_new_client(
                len(self.clients), sum(not one.assigned for one in self.clients.values())
            )
        elif (client.zone, client.shape) != (self.zones[zone], identity.shape):
            raise RequestRejectedError(
                "FAILED_PRECONDITION",
                f"node.id: {identity.id[:80]!r} is connected from zone {self.zone_names[client.zone]} "
                f"with shape {client.shape}; each client needs an id of its own",
            )
        self._prepay(now, stream, request, identity.shape)
        if client is None:
            client = self._add_client(identity, self.zones[zone])
            stream.returning = identity.id in self.departed_ids
        stream.client = client
        client.streams.append(stream)
        return self.limits.superseded(client.streams)

    def _add_client(self, identity: ClientIdentity, zone: int) -> Client:
        proxy = self.free_proxies.pop() if self.free_proxies else self.first_proxy + len(self.clients)
        client = Client(identity.id, proxy, zone, identity.shape, [0.0] * len(self.request_classes))
        self.clients[identity.id] = self.by_proxy[proxy] = client
        return client

    def _prepay(self, now: float, stream: Stream, request: ClientRequest, shape: str) -> None:
        """Pay in advance for the pushes after which a returning client misses no withdrawal.

        Raises RequestRejectedError if more clients return than can be sent these in time.
        """
        is_first = request.type in FIRST_PUSHES and request.type not in stream.subscriptions
        if stream.admitted or not is_first or not (request.initial_versions or request.version):
            return
        self.budget.advance(now)
        pushes = len(FIRST_PUSHES) if shape == view.EACH else len(FIRST_PUSHES) - 1
        self.return_admission.admit(now, pushes)
        stream.admitted, stream.prepaid = True, pushes

    def _join(self, client: Client) -> None:
        if not client.joined:
            client.joined = True
            self.registry.add_proxy(client.proxy, True)
            self.registry.add_event(ProxyJoined(client.proxy, client.zone, 0.0, True))

    def close_stream(self, now: float, stream: Stream) -> None:
        """Remove a stream that has ended, and its client with its last stream. `now`: s."""
        self.pending_streams.pop(stream, None)
        self.push_dispatch.refund(stream)
        client, stream.client = stream.client, None
        if client is None or stream not in client.streams:
            return
        client.streams.remove(stream)
        if client.streams:
            self._report_acknowledged(now, client)
            return
        del self.clients[client.id], self.by_proxy[client.proxy]
        self.free_proxies.append(client.proxy)
        self.departed_ids[client.id] = None
        self.departed_ids.move_to_end(client.id)
        while len(self.departed_ids) > self.limits.clients:
            self.departed_ids.popitem(last=False)
        if client.joined:
            self.registry.remove_proxy(client.proxy)
            self.registry.add_event(ProxyLeft(client.proxy))

    def on_written(self, stream: Stream) -> None:
        """Note that the transport has written all pushes of a stream."""
        stream.writable = True
        if stream.client is not None:
            self.push_dispatch.add(stream)

    def _log_rejection(self, now: float, client: Client, resource_type: str, rejection: Rejection) -> None:
        client.rejections.append((now, resource_type, rejection))
        names = ", ".join(rejection.rejected) or "(unnamed)"
        retried = (
            f"; sent again one by one: {', '.join(rejection.retried_alone)}"
            if rejection.retried_alone
            else ""
        )
        self.log(
            "refused",
            f"{client.id} rejects {resource_type} {names}: {rejection.message}{retried}",
        )

    def handle_load_report(
        self,
        client_id: str,
        reader: LoadReportReader,
        reports: Iterable[ClusterLoadReport],
        endpoint_number: Callable[[object], int | None],
        log_invalid: Callable[[str], None],
    ) -> None:
        """Pass on a load report as events; ignored unless the client has joined, as its zone is not known."""
        client = self.clients.get(client_id)
        if client is None or not client.joined:
            return
        class_numbers = {name: number for number, (name, _) in enumerate(self.request_classes)}
        for event in reader.read(
            reports, client.proxy, client.zone, class_numbers, endpoint_number, log_invalid
        ):
            if isinstance(event, ProxyLoadReported):
                _, request_class, arrived, _, interval = event
                client.request_rates[request_class] += (
                    arrived / interval - client.request_rates[request_class]
                ) / 2
            self.registry.add_event(event)

    # -- commands of the controller

    def note_update(self, proxy: int, parts: tuple[UpdatePart, ...]) -> None:
        """Note the nonce of an update to an xDS client; its resources are made from the routing tables."""
        client = self.by_proxy.get(proxy)
        if client is not None and parts and parts[-1].nonce is not None:
            client.round_nonce = parts[-1].nonce

    def publish(
        self,
        now: float,
        tables: RoutingTables,
        listed_endpoints: view.ListedEndpoints,
        endpoint_address: Callable[[int], tuple[str, str, int] | None],
    ) -> None:
        """Publish the routing tables after a round, and note the nonces that await acknowledgement.

        `endpoint_address`: an endpoint's id, host and port, None while its address is not known; `now`: s.
        """
        clients = list(self.clients.values())
        for client in self.publication.assign_clients(clients, tables):
            self.push_dispatch.add(*client.streams)
        if self.publication.publish(now, tables, listed_endpoints, endpoint_address, clients):
            for client in clients:
                self.push_dispatch.add(*client.streams)
        for client in self.clients.values():
            if client.round_nonce is not None:
                await_acknowledgement(client, now, self.cache_for)
                self._report_acknowledged(now, client)

    # -- acknowledgements

    def _report_acknowledged(self, now: float, client: Client) -> None:
        """Pass on the newest nonce whose resources are acknowledged on all streams."""
        acknowledged = take_acknowledged(client)
        if acknowledged is not None:
            self.registry.add_event(
                UpdateAcknowledged(client.proxy, acknowledged.nonce, now - acknowledged.sent_at)
            )

    # -- pushes

    def dispatch(self, now: float) -> list[tuple[Stream, list[tuple[str, Push]]]]:
        """Return the pushes to send now, by stream; they count as sent. `now`: s."""
        return self.push_dispatch.dispatch(now)

    # -- for operators

    def status(self, now: float) -> list[dict]:
        """Return the state of each client, for operators."""
        return [
            {
                "id": client.id,
                "proxy": client.proxy,
                "zone": self.zone_names[client.zone],
                "shape": client.shape,
                "streams": len(client.streams),
                "bound": client.assigned,
                "acked_s_ago": None if client.acked_at is None else round(now - client.acked_at, 3),
                "in_flight": sum(
                    len(subscription.in_flight)
                    for stream in client.streams
                    for subscription in stream.subscriptions.values()
                ),
                "refused": [
                    f"{resource_type}: {rejection.message}"
                    for _, resource_type, rejection in client.rejections
                ],
            }
            for client in self.clients.values()
        ]


def new_incarnation(unix: float, seed: int) -> str:
    """Return the nonce prefix of an incarnation; the seed makes two that start at the same time differ."""
    return digest(unix, seed)[:8]
