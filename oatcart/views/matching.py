"""The matching of one service: which of its endpoints are assigned to which controllers.

The result always equals that of `greedy.match_greedily` for the current records. After a few changes the
matching is repaired, after many it is recomputed.
"""

from collections.abc import Iterator
from typing import NamedTuple

import numpy

from oatcart.views.greedy import ServiceArrays, match_greedily
from oatcart.views.keys import CONTROLLER_KIND, ENDPOINT_KIND, name_hash, unit_hash
from oatcart.views.matching_repair import repair
from oatcart.views.matching_state import NO_ZONE, MatchingState
from oatcart.views.records import Endpoint

_ROUNDING_KIND = "rounding"


class Spread(NamedTuple):
    """The number of ready endpoints of a controller, and of their zones (2 means two or more)."""

    ready: int
    zones: int


class Matching:
    """Controllers with quotas, endpoints with holder limits, and the assigned pairs.

    `add_*`, `remove_*` and `resize_controller` record changes; `repair` or `recompute` updates the matching.
    `overload` is the factor by which an endpoint's number of holders may exceed the expected number.
    """

    def __init__(self, overload: float, seed: int) -> None:
        self._overload = overload
        self._seed = seed
        self._state = MatchingState()
        self._zone_indices: dict[tuple[str, str], int] = {}

    def controllers(self) -> set[str]:
        """The names of all controllers."""
        return set(self._state.controllers.index_of)

    def has_controller(self, name: str) -> bool:
        """Whether the matching includes a controller."""
        return name in self._state.controllers.index_of

    def has_endpoint(self, endpoint_id: str) -> bool:
        """Whether the matching includes an endpoint."""
        return endpoint_id in self._state.endpoints.index_of

    def endpoints_of(self, name: str) -> list[str]:
        """The endpoints assigned to a controller."""
        state = self._state
        return state.endpoint_names(numpy.flatnonzero(state.assigned[state.controllers.index_of[name]]))

    def spread_of(self, name: str) -> Spread:
        """How many ready endpoints a controller has, and in how many zones."""
        state = self._state
        ready = numpy.flatnonzero(state.assigned[state.controllers.index_of[name]] & state.is_ready)
        zones = state.zones[ready]
        has_several_zones = bool((zones != zones[:1]).any())
        return Spread(len(ready), min(len(ready), 1 + has_several_zones))

    def holders_of(self, endpoint_id: str) -> list[str]:
        """The controllers that an endpoint is assigned to."""
        state = self._state
        rows = numpy.flatnonzero(state.assigned[:, state.endpoints.index_of[endpoint_id]])
        return list(map(state.controllers.names.__getitem__, rows.tolist()))

    def unheld_endpoints(self) -> list[str]:
        """The endpoints that are assigned to no controller."""
        state = self._state
        return state.endpoint_names(numpy.flatnonzero((state.zones != NO_ZONE) & (state.holder_counts == 0)))

    def holder_count(self, endpoint_id: str) -> int:
        """The number of controllers that an endpoint is assigned to."""
        return int(self._state.holder_counts[self._state.endpoints.index_of[endpoint_id]])

    def keys_of_controller(self, name: str, endpoint_ids: list[str]) -> list[float]:
        """The keys of one controller's pairs with these endpoints."""
        state = self._state
        columns = [state.endpoints.index_of[endpoint_id] for endpoint_id in endpoint_ids]
        row = state.controllers.index_of[name]
        return state.keys(row, numpy.array(columns, dtype=numpy.int64)).tolist()

    def keys_of_endpoint(self, endpoint_id: str) -> Iterator[tuple[float, str]]:
        """The key and the name of each controller, for one endpoint."""
        keys = self._state.keys(slice(None), self._state.endpoints.index_of[endpoint_id])
        for name, row in self._state.controllers.index_of.items():
            yield float(keys[row]), name

    def add_controller(self, name: str, quota: int) -> None:
        """Adds a controller with a quota of at least one endpoint."""
        state = self._state
        row = state.controllers.allocate(name)
        state.grow()
        state.controller_hashes[row] = name_hash(CONTROLLER_KIND, name, self._seed)
        state.quotas[row] = quota
        state.mark_unfilled(row)

    def remove_controller(self, name: str) -> None:
        """Removes a controller, which releases its endpoints."""
        state = self._state
        row = state.controllers.release(name)
        for column in numpy.flatnonzero(state.assigned[row]).tolist():
            state.release(row, column)
        state.quotas[row] = 0
        state.row_thresholds[row] = -numpy.inf
        state.unfilled_rows.discard(row)
        state.changed.discard(name)

    def resize_controller(self, name: str, quota: int) -> None:
        """Changes the quota of a controller."""
        row = self._state.controllers.index_of[name]
        self._state.quotas[row] = quota
        self._state.mark_unfilled(row)

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Adds an endpoint."""
        state = self._state
        column = state.endpoints.allocate(endpoint.id)
        state.grow()
        zone = endpoint.region, endpoint.zone
        state.zones[column] = self._zone_indices.setdefault(zone, len(self._zone_indices))
        state.endpoint_hashes[column] = name_hash(ENDPOINT_KIND, endpoint.id, self._seed)
        state.weights[column] = endpoint.nominal_weight
        state.rounding_offsets[column] = unit_hash(_ROUNDING_KIND, endpoint.id, self._seed)
        state.is_ready[column] = endpoint.ready
        state.column_thresholds[column] = numpy.inf
        state.reopened_columns.add(column)

    def set_ready(self, endpoint_id: str, is_ready: bool) -> None:
        """Records whether an endpoint is ready or draining, which does not change the matching."""
        self._state.is_ready[self._state.endpoints.index_of[endpoint_id]] = is_ready

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes an endpoint; its holders get others in its place."""
        state = self._state
        column = state.endpoints.release(endpoint_id)
        for row in numpy.flatnonzero(state.assigned[:, column]).tolist():
            state.mark_unfilled(row)
        state.assigned[:, column] = False
        state.holder_counts[column] = 0
        state.holder_limits[column] = 0
        state.zones[column] = NO_ZONE
        state.column_thresholds[column] = -numpy.inf
        state.reopened_columns.discard(column)

    def pop_changed(self) -> set[str]:
        """The controllers whose endpoints may have changed since the last call."""
        changed, self._state.changed = self._state.changed, set()
        return changed

    def recompute(self) -> None:
        """Computes the complete matching from scratch."""
        state = self._state
        state.update_holder_limits(self._overload)
        before = state.assigned
        state.assigned = self._match_from_scratch()
        for row in numpy.flatnonzero((before != state.assigned).any(axis=1)).tolist():
            state.mark_changed(row)
        state.unfilled_rows.clear()
        state.reopened_columns.clear()
        state.update_all_thresholds()

    def repair(self) -> None:
        """Updates the matching only where the changes since the last update affect it."""
        had_several_zones = self._state.has_several_zones
        self._state.update_holder_limits(self._overload)
        if self._state.has_several_zones != had_several_zones:
            self.recompute()
        else:
            repair(self._state)

    def _match_from_scratch(self) -> numpy.ndarray:
        state = self._state
        rows = numpy.flatnonzero(state.quotas)
        columns = numpy.flatnonzero(state.zones != NO_ZONE)
        assigned = numpy.zeros_like(state.assigned)
        if len(rows) and len(columns):
            service = ServiceArrays(
                state.controller_hashes[rows],
                state.quotas[rows],
                state.endpoint_hashes[columns],
                state.weights[columns],
                state.zones[columns],
                state.holder_limits[columns],
            )
            assigned[numpy.ix_(rows, columns)] = match_greedily(service)
        return assigned
