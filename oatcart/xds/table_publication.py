"""Publishes routing tables as xDS resources, by the zone of the clients. Free of I/O."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from math import inf

from oatcart.model import RequestClass, RetryPolicy
from oatcart.routing_tables import RoutingTables
from oatcart.xds import view
from oatcart.xds.client_state import Client
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

EMPTY_CACHE = ResourceCache()  # of a client without assigned tables


class TablePublication:
    """The resource caches and what they were last made from. `by_rate`: quotas are rates."""

    def __init__(
        self, request_classes: Sequence[tuple[str, RequestClass]], zone_names: Sequence[str], by_rate: bool
    ) -> None:
        self.request_classes, self.zone_names, self.by_rate = list(request_classes), list(zone_names), by_rate
        self.caches: dict[tuple, ResourceCache] = {}
        self.tables_by_zone: dict[int, tuple[int, ...]] = {}  # by zone: the table of each request class
        # by table: endpoints with an entry at the last publication, and draining ones that had one
        self.listed_before: dict[int, set[int]] = {}
        self.published: dict[int, tuple[view.Endpoint, ...]] = {}  # by table, as last published
        self.drops: dict[tuple[int, int], int] = {}  # by zone and request class, requests per million
        for name, _ in self.request_classes:
            self._cache(LISTENER).put(0.0, name, view.Listener(name))
            for shape in view.WHOLE, view.EACH, view.SPREAD:
                self._cache(CLUSTER, shape).put(0.0, name, view.Cluster(name, shape))

    def _cache(self, *key: object) -> ResourceCache:
        return self.caches.setdefault(key, ResourceCache())

    def cache_for(self, client: Client, resource_type: str) -> ResourceCache:
        """The resources of a type as the client may see them."""
        if resource_type == LISTENER:
            return self._cache(LISTENER)
        if resource_type == CLUSTER:
            return self._cache(CLUSTER, client.shape)
        if not client.assigned:
            return EMPTY_CACHE
        return (
            self._cache(resource_type, client.zone, client.shape)
            if resource_type == ENDPOINTS
            else self._cache(resource_type, client.zone)
        )

    def assign_clients(self, clients: Iterable[Client], tables: RoutingTables) -> list[Client]:
        """Note the tables of clients that now have one for each request class; returns these clients."""
        newly_assigned = []
        for client in clients:
            if client.joined and not client.assigned and client.proxy in tables.proxies:
                class_tables = self._tables_by_class(tables.proxies[client.proxy].assignments)
                if class_tables is not None:
                    self.tables_by_zone[client.zone], client.assigned = class_tables, True
                    newly_assigned.append(client)
        return newly_assigned

    def publish(
        self,
        now: float,
        tables: RoutingTables,
        listed_endpoints: view.ListedEndpoints,
        endpoint_address: Callable[[int], tuple[str, str, int] | None],
        clients: Sequence[Client],
    ) -> bool:
        """Update the resources from the routing tables; returns whether anything changed. `now`: s."""
        endpoints = {
            table: self._endpoints(table, tables, listed_endpoints, endpoint_address)
            for table in sorted(set(sum(self.tables_by_zone.values(), ())))
        }
        changed = False
        for zone, class_tables in self.tables_by_zone.items():
            changed = self._put_zone(now, zone, class_tables, tables, endpoints, clients) or changed
        self.published = endpoints
        return changed

    def _tables_by_class(self, assignments: Mapping[int, int]) -> tuple[int, ...] | None:
        """The table of each request class; None unless all classes have one."""
        class_tables = tuple(
            next((table for table, classes in assignments.items() if classes >> request_class & 1), -1)
            for request_class in range(len(self.request_classes))
        )
        return class_tables if -1 not in class_tables else None

    def _endpoints(
        self,
        table: int,
        tables: RoutingTables,
        listed_endpoints: view.ListedEndpoints,
        endpoint_address: Callable,
    ) -> tuple[view.Endpoint, ...]:
        weights = tables.tables[table].weights
        draining = view.draining_endpoints(self.listed_before.get(table, ()), weights, listed_endpoints)
        self.listed_before[table] = draining | weights.keys()
        endpoints = []
        for number, (weight, health) in view.client_view(
            weights, draining, tables.ejected, listed_endpoints
        ).items():
            if (address := endpoint_address(number)) and number in listed_endpoints.endpoints:
                endpoints.append(
                    view.Endpoint(
                        *address, self.zone_names[listed_endpoints.endpoints[number].zone], weight, health
                    )
                )
        return view.with_distinct_addresses(endpoints)

    def _put_zone(
        self,
        now: float,
        zone: int,
        class_tables: tuple[int, ...],
        tables: RoutingTables,
        endpoints_by_table: dict,
        clients: Sequence[Client],
    ) -> bool:
        changed = False
        for number, (name, request_class) in enumerate(self.request_classes):
            quota, retry_policy = tables.admission_of(class_tables[number], number) or (
                inf if self.by_rate else 1.0,
                RetryPolicy.IF_NOT_PROCESSED,
            )
            drop = view.drop_per_million(quota, self.by_rate, _mean_request_rate(clients, zone, number))
            drop_before, self.drops[zone, number] = self.drops.get((zone, number), 0), drop
            endpoints, first_class = (
                endpoints_by_table[class_tables[number]],
                self.request_classes[class_tables.index(class_tables[number])][0],
            )
            urgent = (
                view.drops_sharply(self.published.get(class_tables[number], ()), endpoints)
                or drop > drop_before
            )
            pickable = view.pickable(endpoints)
            for shape in view.WHOLE, view.SPREAD:
                body = view.Assignment(name, shape, drop, endpoints)
                changed |= self._cache(ENDPOINTS, zone, shape).put(now, name, body, pickable, urgent)
            prefixes = tuple(
                (endpoint_zone, view.collection_prefix(self.zone_names[zone], first_class, endpoint_zone))
                for endpoint_zone in self.zone_names
            )
            body = view.Assignment(name, view.EACH, drop, (), prefixes)
            changed |= self._cache(ENDPOINTS, zone, view.EACH).put(now, name, body, (), drop > drop_before)
            changed |= self._cache(ROUTE, zone).put(now, name, view.route(name, request_class, retry_policy))
        return self._put_members(now, zone, class_tables, endpoints_by_table) or changed

    def _put_members(
        self, now: float, zone: int, class_tables: tuple[int, ...], endpoints_by_table: dict
    ) -> bool:
        cache, changed, names = self._cache(MEMBER, zone), False, set()
        cache.ready = True
        for table in dict.fromkeys(class_tables):
            first_class, published_before = (
                self.request_classes[class_tables.index(table)][0],
                {endpoint.name: endpoint for endpoint in self.published.get(table, ())},
            )
            for endpoint in endpoints_by_table[table]:
                name = (
                    view.collection_prefix(self.zone_names[zone], first_class, endpoint.zone) + endpoint.name
                )
                names.add(name)
                healthy = {endpoint.name} if endpoint.health == view.HEALTHY else ()
                urgent = endpoint.name in published_before and view.drops_sharply(
                    [published_before[endpoint.name]], [endpoint]
                )
                changed |= cache.put(now, name, view.Member(endpoint), healthy, urgent)
        return cache.retain_only(now, names) or changed


def _mean_request_rate(clients: Iterable[Client], zone: int, request_class: int) -> float:
    request_rates = [
        client.request_rates[request_class] for client in clients if client.zone == zone and client.assigned
    ]
    return sum(request_rates) / len(request_rates) if request_rates else 0.0
