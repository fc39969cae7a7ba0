"""The xDS front without its transport: who is a client, what each is sent, what the module is told. Free of
I/O.

A client is known by its node's id. Once it asks for what depends on tables it is a proxy to the module, which
binds it to the tables of its zone as it binds a sidecar; until it is bound it is sent none of them. Marks are
applied once all that the mark stands for is acknowledged on all its streams.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from typing import Protocol

from oatcart.commands import NONCE_COUNT
from oatcart.events import ProxyJoined, ProxyLeft, ProxyLoadReported, UpdateAcknowledged
from oatcart.model import RequestClass
from oatcart.routing_tables import RoutingTables, UpdatePart
from oatcart.xds import view
from oatcart.xds.client_load_reports import ClusterLoadReport, LoadReportReader
from oatcart.xds.client_state import Client, ClientIdentity, ClientRequest, PendingAcknowledgement, Stream
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
    """Where clients come and go as proxies, and what the module is told."""

    def add_proxy(self, proxy: int, unconfigured: bool) -> None: ...

    def remove_proxy(self, proxy: int) -> None: ...

    def add_event(self, event: tuple) -> None: ...


class Front:
    """`first`: the number of the first xDS client as a proxy. `life`: begins nonces, another in each life."""

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
        self.departed_ids: OrderedDict[str, None] = (
            OrderedDict()
        )  # ids of clients that have left, newest last
        self.stream_keys = count(1)

    @property
    def caches(self) -> dict[tuple, ResourceCache]:
        """The resource caches, by type, zone and shape as far as they differ by them."""
        return self.publication.caches

    @property
    def tables_by_zone(self) -> dict[int, tuple[int, ...]]:
        """The table of each request kind, by zone."""
        return self.publication.tables_by_zone

    @property
    def published_endpoints(self) -> dict[int, tuple[view.Endpoint, ...]]:
        """The endpoints of each table as last published."""
        return self.publication.published

    @property
    def pending_streams(self) -> dict[Stream, None]:
        """The streams on which there may be something to send."""
        return self.push_dispatch.pending

    @property
    def has_more(self) -> bool:
        """Whether the last dispatch was one slice of a long work."""
        return self.push_dispatch.has_more

    @property
    def next_dispatch_in(self) -> float | None:
        """The time until the budget has a push for who waits, s; None if nobody does."""
        return self.push_dispatch.next_dispatch_in

    @property
    def push_metrics(self) -> PushMetrics:
        """What the push budget was spent on."""
        return self.push_dispatch.push_metrics

    def cache_for(self, client: Client, resource_type: str) -> ResourceCache:
        """What a client may see of a type."""
        return self.publication.cache_for(client, resource_type)

    # -- streams and what comes on them

    def open_stream(self, delta: bool, only_type: str | None = None) -> Stream:
        return Stream(next(self.stream_keys), delta, only_type)

    def handle_request(self, now: float, stream: Stream, request: ClientRequest) -> list[Stream]:
        """Take a request; returns the streams that are closed for this one.

        Raises RequestRejectedError, which ends the stream.
        """
        if stream.only_type is not None and request.type != stream.only_type:
            raise RequestRejectedError("INVALID_ARGUMENT", f"this stream is for {stream.only_type} alone")
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
        """The subscription that the first request of a type on a stream begins."""
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
                "INVALID_ARGUMENT", "node.id: the first request of a stream has to say who asks"
            )
        check_names([identity.id])
        zone = identity.zone or self.home_zone
        if zone not in self.zones:
            raise RequestRejectedError(
                "INVALID_ARGUMENT",
                f"node.locality.zone: {zone[:80]!r} is none of {', '.join(self.zone_names)}",
            )
        client = self.clients.get(identity.id)
        if client is None:
            self.limits.check_new_client(
                len(self.clients), sum(not one.assigned for one in self.clients.values())
            )
        elif (client.zone, client.shape) != (self.zones[zone], identity.shape):
            raise RequestRejectedError(
                "FAILED_PRECONDITION",
                f"{identity.id[:80]!r} is joined from {self.zone_names[client.zone]} "
                f"as {client.shape}: an id is one client's",
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
        """Pay in advance what a returning client has to be sent before it misses no withdrawal.

        Raises RequestRejectedError if more return than can be sent that in time.
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
        """A stream is over; with its last one a client has left."""
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
        """The transport has taken all that it was handed."""
        stream.writable = True
        if stream.client is not None:
            self.push_dispatch.add(stream)

    def _log_rejection(self, now: float, client: Client, resource_type: str, rejection: Rejection) -> None:
        client.rejections.append((now, resource_type, rejection))
        names = ", ".join(rejection.rejected) or "(unnamed)"
        retried = (
            f"; tried again alone: {', '.join(rejection.retried_alone)}" if rejection.retried_alone else ""
        )
        self.log(
            "refused",
            f"{client.id} refuses {resource_type} {names}: {rejection.message}{retried}",
        )

    def handle_load_report(
        self,
        client_id: str,
        reader: LoadReportReader,
        reports: Iterable[ClusterLoadReport],
        endpoint_number: Callable[[object], int | None],
        log_invalid: Callable[[str], None],
    ) -> None:
        """A load report of a client; of one that is not joined it says nothing, as nobody knows its zone."""
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

    # -- what the module decided

    def note_update(self, proxy: int, parts: tuple[UpdatePart, ...]) -> None:
        """A proxy of ours is concerned by this round's orders; what they are is read off the tables."""
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
        """After a round: the tables as they stand become resources, marks are noted. `named`: a node's name,
        host and port, None where it has no address yet."""
        clients = list(self.clients.values())
        for client in self.publication.assign_clients(clients, tables):
            self.push_dispatch.add(*client.streams)
        if self.publication.publish(now, tables, listed_endpoints, endpoint_address, clients):
            for client in clients:
                self.push_dispatch.add(*client.streams)
        for client in self.clients.values():
            if client.round_nonce is not None:
                self._await_acknowledgement(now, client)

    # -- marks

    def _await_acknowledgement(self, now: float, client: Client) -> None:
        nonce, client.round_nonce = client.round_nonce, None
        required = {
            (stream, resource_type): unacknowledged
            for stream in client.streams
            for resource_type, subscription in stream.subscriptions.items()
            if resource_type in BY_TABLE
            and (unacknowledged := subscription.unacknowledged(self.cache_for(client, resource_type)))
        }
        client.pending_acks.append(PendingAcknowledgement(nonce, now, required))
        self._report_acknowledged(now, client)

    def _report_acknowledged(self, now: float, client: Client) -> None:
        """Tell the module of the newest mark that all streams now hold."""
        acknowledged = None
        for pending in list(client.pending_acks):
            for (stream, resource_type), sequences in list(pending.required.items()):
                subscription = stream.subscriptions.get(resource_type)
                if stream.client is not client or subscription is None:
                    del pending.required[stream, resource_type]
                    continue
                for name in [
                    name
                    for name, sequence in sequences.items()
                    if subscription.acknowledged.get(name, -1) >= sequence or not subscription.is_wanted(name)
                ]:
                    del sequences[name]
                if not sequences:
                    del pending.required[stream, resource_type]
            if not pending.required:
                acknowledged = pending
                client.pending_acks.remove(pending)
        if acknowledged is not None:
            while (
                client.pending_acks
                and (acknowledged.nonce - client.pending_acks[0].nonce) % NONCE_COUNT < NONCE_COUNT // 2
            ):
                client.pending_acks.popleft()  # what came later is held, so what came before is
            self.registry.add_event(
                UpdateAcknowledged(client.proxy, acknowledged.nonce, now - acknowledged.sent_at)
            )

    # -- what goes out

    def dispatch(self, now: float) -> list[tuple[Stream, list[tuple[str, Push]]]]:
        """What to send now, by stream; see `PushDispatch`."""
        return self.push_dispatch.dispatch(now)

    # -- for operators

    def status(self, now: float) -> list[dict]:
        """Each client as an operator would ask for it."""
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
    """What begins the nonces of a life: another in each, also where two begin in the same second."""
    return digest(unix, seed)[:8]
