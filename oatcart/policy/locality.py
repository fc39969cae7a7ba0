"""Locality: prefers endpoints in the proxy's own zone, and lets requests spill over to other zones."""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from oatcart.model import NO_ZONE, RequestClass
from oatcart.policy.state import Endpoint, RoutingTable
from oatcart.policy.telemetry import strain

LOCAL_FACTOR = 20  # by which weights of local endpoints are multiplied
MIN_CROSS_ZONE_PRICE = 0.08  # from this price on, local endpoints are preferred
SPILL_STRAIN = 0.8  # of a zone that some classes are bound to; above it the other classes spill over
REMOTE_STRAIN = 0.6  # of any other zone; above it the preference for it is reduced
SPILL_FACTOR = 0.7  # by which a zone's weight shrinks in a second with strain
RECOVERY_FACTOR = 1.06  # by which a zone's weight grows in a second without strain
MIN_ZONE_WEIGHT = 0.05  # above 0, so that load reports still cover the zone


class TableKey(NamedTuple):
    """Identifies a kind of routing table: its request classes and the zones of its endpoints."""

    classes: tuple[int, ...]
    zones: tuple[int, ...]  # empty: all
    local_zone: int  # the preferred zone; NO_ZONE: none


def table_keys(classes: Sequence[RequestClass], zone: int, cross_zone_price: float) -> list[TableKey]:
    """Returns the keys of the tables that a proxy in a zone needs; classes with the same endpoints share one.

    `cross_zone_price`: from 0 to 1, the part of the value of all requests that is lost if each crosses zones.
    """
    keys: dict[tuple[tuple[int, ...], int], tuple[int, ...]] = {}
    for number, request_class in enumerate(classes):
        prefers_local = cross_zone_price >= MIN_CROSS_ZONE_PRICE and not request_class.zones
        local_zone = zone if prefers_local else NO_ZONE
        key = ((zone,), NO_ZONE) if request_class.own_zone_only else (request_class.zones, local_zone)
        keys[key] = (*keys.get(key, ()), number)
    return [TableKey(numbers, zones, local_zone) for (zones, local_zone), numbers in keys.items()]


class ZoneSpillover:
    """Zone weights, for tables that may use any zone; a strained zone gets a lower weight."""

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}
        self.bound_zones: set[int] = set()  # zones that some request classes are restricted to

    def weight(self, zone: int) -> float:
        """Returns the weight of a zone, from 0 to 1."""
        return self._weights.get(zone, 1.0)

    def update(
        self, tables: Iterable[RoutingTable], ready: Collection[Endpoint], latency_objective: float
    ) -> None:
        """Updates the zone weights by the strain of each zone, compared with all other zones.

        Called once a second, and for each endpoint list. `latency_objective` in seconds, the mean over all
        requests.
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
        """Scales the weights so that the highest is 1, as requests cannot spill over from all zones."""
        best = max(self.weight(endpoint.zone) for endpoint in ready)
        self._weights = {zone: weight / best for zone, weight in self._weights.items()}
