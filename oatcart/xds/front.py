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
from oatcart.xds.client_state import Ask, Client, Node, Owed, Stream
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


class Host(Protocol):
    """Where clients come and go as proxies, and what the module is told."""

    def add_proxy(self, proxy: int, unconfigured: bool) -> None: ...

    def remove_proxy(self, proxy: int) -> None: ...

    def add_event(self, arrival: tuple) -> None: ...


class Front:
    """`first`: the number of the first xDS client as a proxy. `life`: begins nonces, another in each life."""

    def __init__(
        self,
        host: Host,
        kinds: Sequence[tuple[str, RequestClass]],
        zones: Sequence[str],
        first: int,
        life: str,
        limits: ClientLimits,
        budget: PushBudget,
        by_rate: bool,
        home: str = "",
        say: Callable[[str, str], None] = lambda kind, text: None,
    ) -> None:
        self.host, self.kinds, self.zones = host, list(kinds), {name: at for at, name in enumerate(zones)}
        self.zone_names, self.first, self.life = list(zones), first, life
        self.limits, self.budget, self.by_rate, self.home, self.say = limits, budget, by_rate, home, say
        self.returns = ReturnAdmission(budget)
        self.tables = TablePublication(self.kinds, self.zone_names, by_rate)
        self.pushes = PushDispatch(budget, self.cache_for, lambda kind, text: self.say(kind, text))
        self.clients: dict[str, Client] = {}
        self.by_proxy: dict[int, Client] = {}
        self.free: list[int] = []
        self.known: OrderedDict[str, None] = OrderedDict()  # ids of clients that have left, newest last
        self.keys = count(1)

    @property
    def caches(self) -> dict[tuple, ResourceCache]:
        """The resource caches, by type, zone and shape as far as they differ by them."""
        return self.tables.caches

    @property
    def maps(self) -> dict[int, tuple[int, ...]]:
        """The table of each request kind, by zone."""
        return self.tables.maps

    @property
    def shown(self) -> dict[int, tuple[view.Endpoint, ...]]:
        """The endpoints of each table as last published."""
        return self.tables.shown

    @property
    def dirty(self) -> dict[Stream, None]:
        """The streams on which there may be something to send."""
        return self.pushes.dirty

    @property
    def more(self) -> bool:
        """Whether the last dispatch was one slice of a long work."""
        return self.pushes.more

    @property
    def again_in(self) -> float | None:
        """The time until the budget has a push for who waits, s; None if nobody does."""
        return self.pushes.again_in

    @property
    def push_metrics(self) -> PushMetrics:
        """What the push budget was spent on."""
        return self.pushes.push_metrics

    def cache_for(self, client: Client, kind: str) -> ResourceCache:
        """What a client may see of a type."""
        return self.tables.cache_for(client, kind)

    # -- streams and what comes on them

    def open(self, delta: bool, only: str | None = None) -> Stream:
        return Stream(next(self.keys), delta, only)

    def ask(self, now: float, stream: Stream, ask: Ask) -> list[Stream]:
        """Take a request; returns the streams that are closed for this one.

        Raises RequestRejectedError, which ends the stream.
        """
        if stream.only is not None and ask.type != stream.only:
            raise RequestRejectedError("INVALID_ARGUMENT", f"this stream is for {stream.only} alone")
        check_names((*ask.names, *ask.unsubscribe, *ask.brought))
        ended = self._admit(now, stream, ask)
        subscription = stream.subscriptions.get(ask.type) or self._new_subscription(stream, ask)
        self.limits.check_name_count(
            sum(len(one.subscribed) for one in stream.subscriptions.values())
            + len(ask.names)
            - (len(subscription.subscribed) if not stream.delta else 0)
        )
        stream.subscriptions[ask.type] = subscription
        stream.returning = stream.returning or subscription.returning
        if stream.delta:
            said = subscription.request_changes(
                ask.names, ask.unsubscribe, ask.brought, ask.nonce, ask.refusal
            )
        else:
            said = subscription.request_names(ask.names, ask.nonce, ask.refusal)
        if isinstance(said, Rejection):
            self._log_rejection(now, stream.client, ask.type, said)
        if ask.type in BY_TABLE:
            self._join(stream.client)
        if ask.nonce and said is not False:
            stream.client.acked_at = now
            self._settle(now, stream.client)
        self.pushes.add(stream)
        return ended

    def _new_subscription(self, stream: Stream, ask: Ask) -> Subscription:
        """The subscription that the first request of a type on a stream begins."""
        of_whole_type = ask.type in WHOLE_TYPES
        subscription = Subscription(
            delta=stream.delta,
            sends_all=of_whole_type and not stream.delta,
            nonce_prefix=f"{self.life}.{stream.key}.{ask.type[0]}",
            wildcard_allowed=of_whole_type,
            carries_endpoints=ask.type in CARRIES_ENDPOINTS,
            returning=bool(ask.brought or ask.version),
        )
        if subscription.carries_endpoints:
            subscription.initial_push_version = ask.version
        return subscription

    def _admit(self, now: float, stream: Stream, ask: Ask) -> list[Stream]:
        if stream.client is not None:
            self._prepay(now, stream, ask, stream.client.shape)
            return []
        node = ask.node
        if node is None or not node.id or not node.id.isprintable():
            raise RequestRejectedError(
                "INVALID_ARGUMENT", "node.id: the first request of a stream has to say who asks"
            )
        check_names([node.id])
        zone = node.zone or self.home
        if zone not in self.zones:
            raise RequestRejectedError(
                "INVALID_ARGUMENT",
                f"node.locality.zone: {zone[:80]!r} is none of {', '.join(self.zone_names)}",
            )
        client = self.clients.get(node.id)
        if client is None:
            self.limits.check_new_client(
                len(self.clients), sum(not one.bound for one in self.clients.values())
            )
        elif (client.zone, client.shape) != (self.zones[zone], node.shape):
            raise RequestRejectedError(
                "FAILED_PRECONDITION",
                f"{node.id[:80]!r} is joined from {self.zone_names[client.zone]} "
                f"as {client.shape}: an id is one client's",
            )
        self._prepay(now, stream, ask, node.shape)
        if client is None:
            client = self._add_client(node, self.zones[zone])
            stream.returning = node.id in self.known
        stream.client = client
        client.streams.append(stream)
        return self.limits.superseded(client.streams)

    def _add_client(self, node: Node, zone: int) -> Client:
        proxy = self.free.pop() if self.free else self.first + len(self.clients)
        client = Client(node.id, proxy, zone, node.shape, [0.0] * len(self.kinds))
        self.clients[node.id] = self.by_proxy[proxy] = client
        return client

    def _prepay(self, now: float, stream: Stream, ask: Ask, shape: str) -> None:
        """Pay in advance what a returning client has to be sent before it misses no withdrawal.

        Raises RequestRejectedError if more return than can be sent that in time.
        """
        is_first = ask.type in FIRST_PUSHES and ask.type not in stream.subscriptions
        if stream.admitted or not is_first or not (ask.brought or ask.version):
            return
        self.budget.advance(now)
        pushes = len(FIRST_PUSHES) if shape == view.EACH else len(FIRST_PUSHES) - 1
        self.returns.admit(now, pushes)
        stream.admitted, stream.prepaid = True, pushes

    def _join(self, client: Client) -> None:
        if not client.joined:
            client.joined = True
            self.host.add_proxy(client.proxy, True)
            self.host.add_event(ProxyJoined(client.proxy, client.zone, 0.0, True))

    def close(self, now: float, stream: Stream) -> None:
        """A stream is over; with its last one a client has left."""
        self.dirty.pop(stream, None)
        self.pushes.refund(stream)
        client, stream.client = stream.client, None
        if client is None or stream not in client.streams:
            return
        client.streams.remove(stream)
        if client.streams:
            self._settle(now, client)
            return
        del self.clients[client.id], self.by_proxy[client.proxy]
        self.free.append(client.proxy)
        self.known[client.id] = None
        self.known.move_to_end(client.id)
        while len(self.known) > self.limits.clients:
            self.known.popitem(last=False)
        if client.joined:
            self.host.remove_proxy(client.proxy)
            self.host.add_event(ProxyLeft(client.proxy))

    def written(self, stream: Stream) -> None:
        """The transport has taken all that it was handed."""
        stream.room = True
        if stream.client is not None:
            self.pushes.add(stream)

    def _log_rejection(self, now: float, client: Client, kind: str, rejection: Rejection) -> None:
        client.rejections.append((now, kind, rejection))
        names = ", ".join(rejection.rejected) or "(unnamed)"
        tried = (
            f"; tried again alone: {', '.join(rejection.retried_alone)}" if rejection.retried_alone else ""
        )
        self.say(
            "refused",
            f"{client.id} refuses {kind} {names}: {rejection.message}{tried}",
        )

    def report(
        self,
        node: str,
        reader: LoadReportReader,
        reports: Iterable[ClusterLoadReport],
        place: Callable[[object], int | None],
        odd: Callable[[str], None],
    ) -> None:
        """A load report of a client; of one that is not joined it says nothing, as nobody knows its zone."""
        client = self.clients.get(node)
        if client is None or not client.joined:
            return
        kinds = {name: at for at, (name, _) in enumerate(self.kinds)}
        for told in reader.read(reports, client.proxy, client.zone, kinds, place, odd):
            if isinstance(told, ProxyLoadReported):
                _, kind, came, _, over = told
                client.rates[kind] += (came / over - client.rates[kind]) / 2
            self.host.add_event(told)

    # -- what the module decided

    def told(self, proxy: int, parts: tuple[UpdatePart, ...]) -> None:
        """A proxy of ours is concerned by this round's orders; what they are is read off the tables."""
        client = self.by_proxy.get(proxy)
        if client is not None and parts and parts[-1].nonce is not None:
            client.told = parts[-1].nonce

    def publish(
        self,
        now: float,
        tables: RoutingTables,
        roster: view.Roster,
        named: Callable[[int], tuple[str, str, int] | None],
    ) -> None:
        """After a round: the tables as they stand become resources, marks are noted. `named`: a node's name,
        host and port, None where it has no address yet."""
        clients = list(self.clients.values())
        for client in self.tables.bind(clients, tables):
            self.pushes.add(*client.streams)
        if self.tables.publish(now, tables, roster, named, clients):
            for client in clients:
                self.pushes.add(*client.streams)
        for client in self.clients.values():
            if client.told is not None:
                self._owe(now, client)

    # -- marks

    def _owe(self, now: float, client: Client) -> None:
        mark, client.told = client.told, None
        needs = {
            (stream, kind): due
            for stream in client.streams
            for kind, subscription in stream.subscriptions.items()
            if kind in BY_TABLE and (due := subscription.unacknowledged(self.cache_for(client, kind)))
        }
        client.owed.append(Owed(mark, now, needs))
        self._settle(now, client)

    def _settle(self, now: float, client: Client) -> None:
        """Tell the module of the newest mark that all streams now hold."""
        done = None
        for owed in list(client.owed):
            for (stream, kind), need in list(owed.needs.items()):
                subscription = stream.subscriptions.get(kind)
                if stream.client is not client or subscription is None:
                    del owed.needs[stream, kind]
                    continue
                for name in [
                    name
                    for name, seq in need.items()
                    if subscription.acknowledged.get(name, -1) >= seq or not subscription.is_wanted(name)
                ]:
                    del need[name]
                if not need:
                    del owed.needs[stream, kind]
            if not owed.needs:
                done = owed
                client.owed.remove(owed)
        if done is not None:
            while client.owed and (done.mark - client.owed[0].mark) % NONCE_COUNT < NONCE_COUNT // 2:
                client.owed.popleft()  # what came later is held, so what came before is
            self.host.add_event(UpdateAcknowledged(client.proxy, done.mark, now - done.at))

    # -- what goes out

    def dispatch(self, now: float) -> list[tuple[Stream, list[tuple[str, Push]]]]:
        """What to send now, by stream; see `PushDispatch`."""
        return self.pushes.dispatch(now)

    # -- for operators

    def status(self, now: float) -> list[dict]:
        """Each client as an operator would ask for it."""
        return [
            {
                "id": one.id,
                "proxy": one.proxy,
                "zone": self.zone_names[one.zone],
                "shape": one.shape,
                "streams": len(one.streams),
                "bound": one.bound,
                "acked_s_ago": None if one.acked_at is None else round(now - one.acked_at, 3),
                "in_flight": sum(
                    len(subscription.in_flight)
                    for stream in one.streams
                    for subscription in stream.subscriptions.values()
                ),
                "refused": [f"{kind}: {rejection.message}" for _, kind, rejection in one.rejections],
            }
            for one in self.clients.values()
        ]


def new_life(unix: float, seed: int) -> str:
    """What begins the nonces of a life: another in each, also where two begin in the same second."""
    return digest(unix, seed)[:8]
