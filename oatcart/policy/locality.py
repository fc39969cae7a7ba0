"""Locality: the preference for endpoints of the proxy's own zone, and requests that spill over to others."""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from oatcart.model import NO_ZONE, RequestClass
from oatcart.policy.state import Endpoint, RoutingTable
from oatcart.policy.telemetry import strain

LOCAL_FACTOR = 20  # times that weights of local endpoints count
MIN_CROSS_ZONE_PRICE = 0.08  # from which local endpoints are preferred
SPILL_STRAIN = 0.8  # of a zone that classes are bound to, from which the other classes leave it
REMOTE_STRAIN = 0.6  # of any other zone, from which it is no longer preferred
SPILL_FACTOR = 0.7  # of a zone's weight that is left after a second of strain
RECOVERY_FACTOR = 1.06  # growth of a zone's weight in a second without strain
MIN_ZONE_WEIGHT = 0.05  # so that reports still show how the zone is


class TableKey(NamedTuple):
    """What distinguishes the routing tables of a controller: which endpoints for which request classes."""

    classes: tuple[int, ...]
    zones: tuple[int, ...]  # empty: all
    local_zone: int  # NO_ZONE: none is preferred


def table_keys(classes: Sequence[RequestClass], zone: int, cross_zone_price: float) -> list[TableKey]:
    """Returns the tables that a proxy of a zone needs, each for the classes that share their endpoints.

    `cross_zone_price`: part of the service, from 0 to 1, that is lost if each request crosses zones once.
    """
    keys: dict[tuple[tuple[int, ...], int], tuple[int, ...]] = {}
    for number, request_class in enumerate(classes):
        prefers_local = cross_zone_price >= MIN_CROSS_ZONE_PRICE and not request_class.zones
        local_zone = zone if prefers_local else NO_ZONE
        key = ((zone,), NO_ZONE) if request_class.own_zone_only else (request_class.zones, local_zone)
        keys[key] = (*keys.get(key, ()), number)
    return [TableKey(numbers, zones, local_zone) for (zones, local_zone), numbers in keys.items()]


class ZoneSpillover:
    """Weights of zones in the tables that may use any zone: under strain a zone gets less."""

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}
        self.bound_zones: set[int] = set()  # that some classes cannot leave

    def weight(self, zone: int) -> float:
        """Returns the weight of a zone, from 0 to 1."""
        return self._weights.get(zone, 1.0)

    def update(
        self, tables: Iterable[RoutingTable], ready: Collection[Endpoint], latency_objective: float
    ) -> None:
        """Moves the weights by the strain of each zone against the rest.

        Called once a second, and with each endpoint list. `latency_objective` in seconds, the mean over the
        requests that come.
        """
        tables = list(tables)
        self.bound_zones = {zone for table in tables for zone in table.zones}
        zones = self.bound_zones | {table.local_zone for table in tables}
        for zone in sorted(zones - {NO_ZONE}):
            zone_strain = strain([endpoint for endpoint in ready if endpoint.zone == zone], latency_objective)
            rest_strain = strain([endpoint for endpoint in ready if endpoint.zone != zone], latency_objective)
            limit = SPILL_STRAIN if zone in self.bound_zones else REMOTE_STRAIN
            if zone_strain > max(limit, rest_strain):
                self._weights[zone] = max(MIN_ZONE_WEIGHT, self.weight(zone) * SPILL_FACTOR)
            elif zone_strain < limit:
                self._weights[zone] = min(1.0, self.weight(zone) * RECOVERY_FACTOR)
        if ready and all(endpoint.zone in self.bound_zones for endpoint in ready):
            self._normalize(ready)

    def _normalize(self, ready: Collection[Endpoint]) -> None:
        """Scales the weights so that the best zone has 1, as requests cannot leave all zones."""
        best = max(self.weight(endpoint.zone) for endpoint in ready)
        self._weights = {zone: weight / best for zone, weight in self._weights.items()}
