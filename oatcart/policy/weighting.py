"""Target weights of the endpoints of a routing table, from score, slow start and locality."""

from oatcart.model import WarmUpLimits
from oatcart.policy.load_shedding import LoadShedding
from oatcart.policy.locality import LOCAL_FACTOR, ZoneSpillover
from oatcart.policy.slow_start import limit_warming_weights, ramp, warm_fraction
from oatcart.policy.state import Endpoint, RoutingTable
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.workload import Workload


class Weighting:
    """Computes the target weights of routing tables."""

    def __init__(
        self,
        warm_up: WarmUpLimits,
        tables: TableRegistry,
        spillover: ZoneSpillover,
        workload: Workload,
        shedding: LoadShedding,
    ) -> None:
        """All arguments are shared with other modules; this class has no state of its own."""
        self._warm_up = warm_up
        self._tables = tables
        self._spillover = spillover
        self._workload = workload
        self._shedding = shedding

    def target_weights(self, table: RoutingTable, now: float) -> dict[int, int]:
        """Returns the target weights of a table by endpoint, integers of at least 1."""
        pool = self._tables.endpoints(table)
        local_zones = self._local_zones(table, pool, now)
        weights = {
            number: max(1, round(endpoint.score * self._factor(table, endpoint, local_zones, now)))
            for number, endpoint in pool.items()
        }
        if any(warm_fraction(endpoint, self._warm_up, now) < 1.0 for endpoint in pool.values()):
            filled = self._workload.filled_endpoints(table) * self._shedding.admitted_share(table, now)
            limit_warming_weights(pool, weights, local_zones, filled, self._warm_up, now)
        return weights

    def _local_zones(self, table: RoutingTable, pool: dict[int, Endpoint], now: float) -> set[int]:
        """Returns the table's local zone, or no zone if all its endpoints there are warming up."""
        local = [
            endpoint
            for endpoint in pool.values()
            if endpoint.zone == table.local_zone and not endpoint.ejected
        ]
        return {endpoint.zone for endpoint in local if warm_fraction(endpoint, self._warm_up, now) >= 1.0}

    def _factor(self, table: RoutingTable, endpoint: Endpoint, local_zones: set[int], now: float) -> float:
        """Returns the factor of an endpoint's score, from its ramp, its zone's weight and its locality."""
        zone_weight = 1.0 if table.zones else self._spillover.weight(endpoint.zone)
        bound = endpoint.zone in self._spillover.bound_zones
        # other classes leave a strained zone that classes are bound to; any other is only preferred less
        factor = ramp(now - endpoint.ramp_started_at) * (zone_weight if bound else 1.0)
        if endpoint.zone in local_zones:
            factor *= 1.0 + (LOCAL_FACTOR - 1) * zone_weight
        return factor
