"""Target weights: what each endpoint of a routing table should have, from score, slow start and locality."""

from oatcart.model import WarmUpLimits
from oatcart.policy.load_shedding import LoadShedding
from oatcart.policy.locality import LOCAL_FACTOR, ZoneSpillover
from oatcart.policy.slow_start import limit_warming_weights, ramp, warm_fraction
from oatcart.policy.state import Endpoint, RoutingTable
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.workload import Workload


class Weighting:
    """Computes target weights."""

    def __init__(
        self,
        warm_up: WarmUpLimits,
        tables: TableRegistry,
        spillover: ZoneSpillover,
        workload: Workload,
        shedding: LoadShedding,
    ) -> None:
        """All state is handed in; nothing is kept here."""
        self._warm_up = warm_up
        self._tables = tables
        self._spillover = spillover
        self._workload = workload
        self._shedding = shedding

    def target_weights(self, table: RoutingTable, now: float) -> dict[int, int]:
        """Returns the weights that a table should have: integers of at least 1, by endpoint."""
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
        """Returns the table's local zone, or nothing while all of its endpoints there are warming up."""
        local = [
            endpoint
            for endpoint in pool.values()
            if endpoint.zone == table.local_zone and not endpoint.ejected
        ]
        return {endpoint.zone for endpoint in local if warm_fraction(endpoint, self._warm_up, now) >= 1.0}

    def _factor(self, table: RoutingTable, endpoint: Endpoint, local_zones: set[int], now: float) -> float:
        """Returns what an endpoint's score is multiplied by: its ramp, its zone's weight, locality."""
        zone_weight = 1.0 if table.zones else self._spillover.weight(endpoint.zone)
        bound = endpoint.zone in self._spillover.bound_zones
        # a zone that classes are bound to is relieved of other requests; any other only loses its preference
        factor = ramp(now - endpoint.ramp_started_at) * (zone_weight if bound else 1.0)
        if endpoint.zone in local_zones:
            factor *= 1.0 + (LOCAL_FACTOR - 1) * zone_weight
        return factor
