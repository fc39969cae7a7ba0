"""The xDS front without its transport: who is a client, what each is sent, what the module is told. Free of
I/O.

A client is known by its node's id. Once it asks for what depends on tables it is a proxy to the module, which
binds it to the tables of its zone as it binds a sidecar; until it is bound it is sent none of them. Marks are
applied once all that the mark stands for is acknowledged on all its streams.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count
from math import inf
from typing import NamedTuple, Protocol

from oatcart.commands import NONCE_COUNT
from oatcart.events import ProxyJoined, ProxyLeft, ProxyLoadReported, UpdateAcknowledged
from oatcart.model import RequestClass, RetryPolicy
from oatcart.routing_tables import RoutingTables, UpdatePart
from oatcart.xds import view
from oatcart.xds.client_load_reports import ClusterLoadReport, LoadReportReader
from oatcart.xds.limits import (
    ClientLimits,
    PushBudget,
    PushPriority,
    RequestRejectedError,
    ReturnAdmission,
    check_names,
    push_priority,
)
from oatcart.xds.push import Push, Rejection
from oatcart.xds.push_metrics import PushMetrics
from oatcart.xds.resource_cache import ResourceCache, digest
from oatcart.xds.subscription import NOT_SENT, Subscription

CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE = "cluster", "endpoints", "member", "listener", "route"
ORDER = (CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE)  # makes go in this order, breaks against it
WHOLE_TYPES = (CLUSTER, LISTENER)  # the state-of-the-world protocol has each push hold all of them
CARRIES_ENDPOINTS = (ENDPOINTS, MEMBER)
FIRST_PUSHES = (CLUSTER, ENDPOINTS, MEMBER)  # what a returning client needs until it misses no withdrawal
BY_TABLE = (ENDPOINTS, MEMBER, ROUTE)  # depend on the client's tables
MARKS_OWED = 8  # marks of one client that are not acknowledged; the module waits for none so long
REJECTIONS_KEPT = 8  # of a client, for the operator
SLICE = 2000  # resources that are sent in one go, some ms of work
EMPTY_CACHE = ResourceCache()  # of a client that is not bound yet


class Host(Protocol):
    """Where clients come and go as proxies, and what the module is told."""

    def add_proxy(self, proxy: int, unconfigured: bool) -> None: ...

    def remove_proxy(self, proxy: int) -> None: ...

    def add_event(self, arrival: tuple) -> None: ...


class Node(NamedTuple):
    """Who a client says it is."""

    id: str
    zone: str
    shape: str


class Ask(NamedTuple):
    """A discovery request of either protocol. `names`: all names, or those newly subscribed. `version`: of
    the last state-of-the-world response of this type that the client accepted, on whichever stream."""

    type: str
    names: tuple[str, ...]
    unsubscribe: tuple[str, ...] = ()
    brought: Mapping[str, str] = {}
    nonce: str = ""
    refusal: str | None = None
    node: Node | None = None
    version: str = ""


@dataclass(eq=False, slots=True)
class Stream:
    key: int
    delta: bool
    only: str | None  # the one type it is for; None: all of them on one stream
    client: "Client | None" = None
    subscriptions: dict[str, Subscription] = field(default_factory=dict)
    room: bool = True  # the transport takes another push
    primed: bool = False  # it was sent endpoints
    returning: bool = False
    admitted: bool = False  # its first pushes were paid in advance
    prepaid: int = 0  # of them, those that are not sent yet
    urgent_since: float | None = None  # s; since when the budget has kept back what may not wait


@dataclass(eq=False, slots=True)
class Owed:
    """A mark that a client has yet to acknowledge: by stream and type, the seqs that are to be held."""

    mark: int
    at: float
    needs: dict[tuple[Stream, str], dict[str, int]]


@dataclass(eq=False, slots=True)
class Client:
    id: str
    proxy: int
    zone: int
    shape: str
    rates: list[float]  # reqs a second by kind, as its load reports have it
    streams: list[Stream] = field(default_factory=list)  # oldest first
    joined: bool = False
    bound: bool = False
    told: int | None = None  # a mark of this round
    owed: deque = field(default_factory=lambda: deque(maxlen=MARKS_OWED))
    rejections: deque = field(default_factory=lambda: deque(maxlen=REJECTIONS_KEPT))
    acked_at: float | None = None


class Turn(NamedTuple):
    """A stream whose turn it may be. `urgent`: the types whose pushes may borrow from the budget."""

    priority: PushPriority
    waiting_since: float  # s; who waits longest goes first, else the newest streams would never have a turn
    first_pushes: bool  # connected clients' withdrawals go before those of clients that return
    stream: Stream
    caches: dict[str, ResourceCache]
    urgent: frozenset[str]

    def order(self) -> tuple[int, float, bool, int]:
        """The sort key: the lowest first."""
        return self.priority, self.waiting_since, self.first_pushes, self.stream.key


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
        self.returns, self.push_metrics = ReturnAdmission(budget), PushMetrics()
        self.clients: dict[str, Client] = {}
        self.by_proxy: dict[int, Client] = {}
        self.free: list[int] = []
        self.known: OrderedDict[str, None] = OrderedDict()  # ids of clients that have left, newest last
        self.keys = count(1)
        self.caches: dict[tuple, ResourceCache] = {}
        self.maps: dict[int, tuple[int, ...]] = {}  # by zone: the table of each kind
        # by table: nodes that had a subscription at the last look, or are leaving
        self.lined: dict[int, set[int]] = {}
        self.shown: dict[int, tuple[view.Endpoint, ...]] = {}  # by table, as last published
        self.drops: dict[tuple[int, int], int] = {}  # by zone and kind
        self.dirty: dict[Stream, None] = {}
        self.more = False  # work is left over from this slice
        self.again_in: float | None = None  # s until the budget has a push for who waits; None: nobody does
        for kind, _ in self.kinds:
            self._cache(LISTENER).put(0.0, kind, view.Listener(kind))
            for shape in view.WHOLE, view.EACH, view.SPREAD:
                self._cache(CLUSTER, shape).put(0.0, kind, view.Cluster(kind, shape))

    def _cache(self, *key: object) -> ResourceCache:
        return self.caches.setdefault(key, ResourceCache())

    def cache_for(self, client: Client, kind: str) -> ResourceCache:
        """What a client may see of a type."""
        if kind == LISTENER:
            return self._cache(LISTENER)
        if kind == CLUSTER:
            return self._cache(CLUSTER, client.shape)
        if not client.bound:
            return EMPTY_CACHE
        return (
            self._cache(kind, client.zone, client.shape)
            if kind == ENDPOINTS
            else self._cache(kind, client.zone)
        )

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
        subscription = stream.subscriptions.get(ask.type)
        if subscription is None:
            whole = not stream.delta and ask.type in WHOLE_TYPES
            subscription = Subscription(
                stream.delta, whole, f"{self.life}.{stream.key}.{ask.type[0]}", ask.type in WHOLE_TYPES
            )
            subscription.carries_endpoints = ask.type in CARRIES_ENDPOINTS
            subscription.returning = bool(ask.brought or ask.version)
            if subscription.carries_endpoints:
                subscription.initial_push_version = ask.version
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
        self.dirty[stream] = None
        return ended

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

    def _refund(self, stream: Stream) -> None:
        self.budget.refund(stream.prepaid)
        stream.prepaid = 0

    def _join(self, client: Client) -> None:
        if not client.joined:
            client.joined = True
            self.host.add_proxy(client.proxy, True)
            self.host.add_event(ProxyJoined(client.proxy, client.zone, 0.0, True))

    def close(self, now: float, stream: Stream) -> None:
        """A stream is over; with its last one a client has left."""
        self.dirty.pop(stream, None)
        self._refund(stream)
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
            self.dirty[stream] = None

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
        newly = []
        for client in self.clients.values():
            if client.joined and not client.bound and client.proxy in tables.proxies:
                at = self._bound(tables.proxies[client.proxy].assignments)
                if at is not None:
                    self.maps[client.zone], client.bound = at, True
                    newly.append(client)
        found = {
            at: self._endpoints(at, tables, roster, named) for at in sorted(set(sum(self.maps.values(), ())))
        }
        news = False
        for zone, tables_by_kind in self.maps.items():
            news = self._put_zone(now, zone, tables_by_kind, tables, found) or news
        self.shown = found
        self.dirty |= dict.fromkeys(stream for client in newly for stream in client.streams)
        if news:
            self.dirty |= dict.fromkeys(
                stream for client in self.clients.values() for stream in client.streams
            )
        for client in self.clients.values():
            if client.told is not None:
                self._owe(now, client)

    def _bound(self, bound: Mapping[int, int]) -> tuple[int, ...] | None:
        """The table of each kind, once there is one for all."""
        tables = tuple(
            next((at for at, kinds in bound.items() if kinds >> kind & 1), -1)
            for kind in range(len(self.kinds))
        )
        return tables if -1 not in tables else None

    def _endpoints(
        self, at: int, tables: RoutingTables, roster: view.Roster, named: Callable
    ) -> tuple[view.Endpoint, ...]:
        lines = tables.tables[at].weights
        leaving = view.leaving(self.lined.get(at, ()), lines, roster)
        self.lined[at] = leaving | lines.keys()
        found = []
        for place, (weight, health) in view.seen(lines, leaving, tables.ejected, roster).items():
            if (known := named(place)) and place in roster.nodes:
                found.append(view.Endpoint(*known, self.zone_names[roster.nodes[place].zone], weight, health))
        return view.distinct(found)

    def _put_zone(
        self, now: float, zone: int, at: tuple[int, ...], tables: RoutingTables, found: dict
    ) -> bool:
        news = False
        for kind, (name, req) in enumerate(self.kinds):
            level, tries = tables.admission_of(at[kind], kind) or (
                inf if self.by_rate else 1.0,
                RetryPolicy.IF_NOT_PROCESSED,
            )
            drop = view.dropped(level, self.by_rate, self._rate(zone, kind))
            before, self.drops[zone, kind] = self.drops.get((zone, kind), 0), drop
            endpoints, first = found[at[kind]], self.kinds[at.index(at[kind])][0]
            urgent = view.sinks(self.shown.get(at[kind], ()), endpoints) or drop > before
            picks = view.picks(endpoints)
            for shape in view.WHOLE, view.SPREAD:
                body = view.Assignment(name, shape, drop, endpoints)
                news |= self._cache(ENDPOINTS, zone, shape).put(now, name, body, picks, urgent)
            begins = tuple(
                (one, view.collection(self.zone_names[zone], first, one)) for one in self.zone_names
            )
            body = view.Assignment(name, view.EACH, drop, (), begins)
            news |= self._cache(ENDPOINTS, zone, view.EACH).put(now, name, body, (), drop > before)
            news |= self._cache(ROUTE, zone).put(now, name, view.route(name, req, tries))
        return self._put_members(now, zone, at, found) or news

    def _put_members(self, now: float, zone: int, at: tuple[int, ...], found: dict) -> bool:
        cache, news, names = self._cache(MEMBER, zone), False, set()
        cache.ready = True
        for table in dict.fromkeys(at):
            first, before = (
                self.kinds[at.index(table)][0],
                {one.name: one for one in self.shown.get(table, ())},
            )
            for one in found[table]:
                name = view.collection(self.zone_names[zone], first, one.zone) + one.name
                names.add(name)
                healthy = {one.name} if one.health == view.HEALTHY else ()
                urgent = one.name in before and view.sinks([before[one.name]], [one])
                news |= cache.put(now, name, view.Member(one), healthy, urgent)
        return cache.retain_only(now, names) or news

    def _rate(self, zone: int, kind: int) -> float:
        rates = [
            client.rates[kind] for client in self.clients.values() if client.zone == zone and client.bound
        ]
        return sum(rates) / len(rates) if rates else 0.0

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
        """What to send now, by stream, those first for whom it cannot wait; each counts as sent, and its
        stream has no room until `written`. `again_in` tells when to ask again as the budget left someone
        waiting, `more` that this was one slice of a long work, so that what comes in meanwhile is not kept
        waiting."""
        self.budget.advance(now)
        out, self.again_in, self.more = [], None, False
        waiting = [
            self._turn(now, stream) for stream in self.dirty if stream.room and stream.client is not None
        ]
        self.dirty, left, self.push_metrics.waiting_since = {}, SLICE, []
        for turn in sorted(waiting, key=Turn.order):
            if left <= 0:
                self.more = True
                self.dirty[turn.stream] = None
                continue
            pushes = self._pushes(turn)
            left -= sum(len(push.items) for _, push in pushes)
            if pushes:
                turn.stream.room = False
                out.append((turn.stream, pushes))
            if turn.stream.prepaid and self._misses_nothing(turn.stream):
                self._refund(turn.stream)
        if self.push_metrics.waiting_since:
            self.say("push", str(self.push_metrics.status(now, self.budget)))
        return out

    def _turn(self, now: float, stream: Stream) -> Turn:
        caches = {kind: self.cache_for(stream.client, kind) for kind in stream.subscriptions}
        urgent = {
            kind
            for kind, subscription in stream.subscriptions.items()
            if subscription.may_be_urgent(caches[kind])
        }
        if not stream.primed and urgent & set(CARRIES_ENDPOINTS):
            urgent.add(CLUSTER)  # its endpoints are sent after it
        priority = push_priority(bool(urgent), stream.primed, stream.returning)
        waiting_since = now if not urgent or stream.urgent_since is None else stream.urgent_since
        return Turn(priority, waiting_since, not stream.primed, stream, caches, frozenset(urgent))

    def _pushes(self, turn: Turn) -> list[tuple[str, Push]]:
        """What a stream is sent now, of what the budget allows."""
        pushes, stream = [], turn.stream
        stream.urgent_since = None
        for kind in ORDER:
            subscription = stream.subscriptions.get(kind)
            if subscription is None:
                continue
            prepaid = stream.prepaid > 0 and kind in FIRST_PUSHES
            if not prepaid and not self.budget.take(kind in turn.urgent):
                self._wait_for_budget(turn, kind in turn.urgent)
                continue
            push = subscription.next_push(
                turn.caches[kind],
                lambda name: self._may_add(stream, turn.caches, kind, name),
                lambda name: self._may_remove(stream, turn.caches, kind, name),
            )
            if push is not None:
                pushes.append((kind, push))
                self.push_metrics.count(turn.priority, kind)
                stream.prepaid -= prepaid
                stream.primed = stream.primed or kind == ENDPOINTS
            elif not prepaid:
                self.budget.give_back()
        return pushes

    def _wait_for_budget(self, turn: Turn, urgent: bool) -> None:
        wait = self.budget.wait(urgent)
        self.again_in = wait if self.again_in is None else min(wait, self.again_in)
        self.dirty[turn.stream] = None
        if urgent:
            turn.stream.urgent_since = turn.waiting_since
            self.push_metrics.waiting_since.append(turn.waiting_since)

    def _misses_nothing(self, stream: Stream) -> bool:
        """Whether a returning client was sent all withdrawals that it may have missed."""
        carriers = [stream.subscriptions.get(kind) for kind in CARRIES_ENDPOINTS]
        expected = carriers if stream.client.shape == view.EACH else carriers[:1]
        return stream.client.bound and not any(
            subscription is None or subscription.may_miss_withdrawals() for subscription in expected
        )

    def _may_add(self, stream: Stream, caches: dict, kind: str, name: str) -> bool:
        """A client that asks for a cluster gets what builds on it once it has taken the cluster. One that
        holds resources of an earlier stream sends requests by them, so it gets what replaces them right after
        the cluster."""
        clusters = stream.subscriptions.get(CLUSTER)
        if kind in (CLUSTER, MEMBER) or clusters is None or not clusters.is_wanted(name):
            return True
        if name not in caches[CLUSTER].resources or name in clusters.acknowledged:
            return True
        return stream.subscriptions[kind].returning and clusters.sent.get(name, NOT_SENT) > NOT_SENT

    def _may_remove(self, stream: Stream, caches: dict, kind: str, name: str) -> bool:
        """What builds on a cluster goes before it, as far as the incremental protocol can tell that."""
        later = ORDER[ORDER.index(kind) + 1 :] if kind in (CLUSTER, ENDPOINTS) else ()
        return not any(
            subscription.delta and name in subscription.acknowledged and name not in caches[one].resources
            for one in later
            if (subscription := stream.subscriptions.get(one)) is not None
        )

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
