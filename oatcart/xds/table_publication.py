"""Routing tables as xDS resources: after a round, what each zone's clients may see of them. Free of I/O."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from math import inf

from oatcart.model import RequestClass, RetryPolicy
from oatcart.routing_tables import RoutingTables
from oatcart.xds import view
from oatcart.xds.client_state import Client
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

EMPTY_CACHE = ResourceCache()  # of a client that is not bound yet


class TablePublication:
    """The resource caches and what they were last made from. `by_rate`: admitted shares are rates."""

    def __init__(
        self, kinds: Sequence[tuple[str, RequestClass]], zone_names: Sequence[str], by_rate: bool
    ) -> None:
        self.kinds, self.zone_names, self.by_rate = list(kinds), list(zone_names), by_rate
        self.caches: dict[tuple, ResourceCache] = {}
        self.maps: dict[int, tuple[int, ...]] = {}  # by zone: the table of each kind
        # by table: nodes that had a subscription at the last look, or are leaving
        self.lined: dict[int, set[int]] = {}
        self.shown: dict[int, tuple[view.Endpoint, ...]] = {}  # by table, as last published
        self.drops: dict[tuple[int, int], int] = {}  # by zone and kind
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

    def bind(self, clients: Iterable[Client], tables: RoutingTables) -> list[Client]:
        """Bind the joined clients that have a table of each kind now; returns them."""
        newly = []
        for client in clients:
            if client.joined and not client.bound and client.proxy in tables.proxies:
                at = self._bound(tables.proxies[client.proxy].assignments)
                if at is not None:
                    self.maps[client.zone], client.bound = at, True
                    newly.append(client)
        return newly

    def publish(
        self,
        now: float,
        tables: RoutingTables,
        roster: view.Roster,
        named: Callable[[int], tuple[str, str, int] | None],
        clients: Sequence[Client],
    ) -> bool:
        """Make resources of the tables as they stand; whether anything changed. `now`: s."""
        found = {
            at: self._endpoints(at, tables, roster, named) for at in sorted(set(sum(self.maps.values(), ())))
        }
        news = False
        for zone, tables_by_kind in self.maps.items():
            news = self._put_zone(now, zone, tables_by_kind, tables, found, clients) or news
        self.shown = found
        return news

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
        self,
        now: float,
        zone: int,
        at: tuple[int, ...],
        tables: RoutingTables,
        found: dict,
        clients: Sequence[Client],
    ) -> bool:
        news = False
        for kind, (name, req) in enumerate(self.kinds):
            level, tries = tables.admission_of(at[kind], kind) or (
                inf if self.by_rate else 1.0,
                RetryPolicy.IF_NOT_PROCESSED,
            )
            drop = view.dropped(level, self.by_rate, _rate(clients, zone, kind))
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


def _rate(clients: Iterable[Client], zone: int, kind: int) -> float:
    rates = [client.rates[kind] for client in clients if client.zone == zone and client.bound]
    return sum(rates) / len(rates) if rates else 0.0
