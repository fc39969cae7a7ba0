"""One service: its endpoints, the controllers that need it, and the endpoints in each controller's view.

A controller whose quota allows all endpoints is a complete holder: its view has all of them. The endpoints of
the other controllers are assigned by the matching.
"""

from collections import Counter
from typing import NamedTuple

from oatcart.views.coverage import (
    CoverageNeeds,
    Swap,
    Zone,
    coverage_needs,
    swaps_for_unheld,
    with_replacements,
    zone_of,
)
from oatcart.views.matching import Matching
from oatcart.views.quotas import Quota
from oatcart.views.records import Endpoint

# The matching is repaired after up to _MIN_REPAIRED_CHANGES changes, plus one for every _RECORDS_PER_CHANGE
# records; after more changes it is cheaper to recompute it.
_MIN_REPAIRED_CHANGES = 4
_RECORDS_PER_CHANGE = 50


class AffectedControllers(NamedTuple):
    """The names of controllers affected by changes.

    `reassigned`: may have other endpoints than before; `updated`: have an endpoint whose record changed.
    """

    reassigned: set[str]
    updated: set[str]


class ServicePool:
    """The records of one service. Changes are recorded when made and applied together by `apply_changes`.

    `overload` is the factor by which an endpoint's number of holders may exceed the expected number.
    """

    def __init__(self, overload: float, seed: int) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.quotas: dict[str, Quota] = {}
        self._ready_endpoints: dict[str, Endpoint] = {}
        self._ready_by_zone: Counter[Zone] = Counter()
        self._matching = Matching(overload, seed)
        self._complete_holders: set[str] = set()
        self._swaps: dict[str, list[Swap]] = {}
        # By controller: its endpoints, if they differ from those of the matching.
        self._overrides: dict[str, list[str]] = {}
        self._needs = CoverageNeeds(0, 0)
        self._endpoints_before: dict[str, Endpoint | None] = {}
        self._controllers_changed: set[str] = set()

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Adds an endpoint, or replaces its record."""
        self._endpoints_before.setdefault(endpoint.id, self.endpoints.get(endpoint.id))
        self.endpoints[endpoint.id] = endpoint
        self._remove_ready(endpoint.id)
        if endpoint.ready:
            self._ready_endpoints[endpoint.id] = endpoint
            self._ready_by_zone[zone_of(endpoint)] += 1

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes an endpoint. Raises KeyError for an unknown id."""
        self._endpoints_before.setdefault(endpoint_id, self.endpoints.get(endpoint_id))
        del self.endpoints[endpoint_id]
        self._remove_ready(endpoint_id)

    def set_quota(self, name: str, quota: Quota) -> None:
        """Sets or replaces a controller's quota of the service."""
        self.quotas[name] = quota
        self._controllers_changed.add(name)

    def remove_controller(self, name: str) -> None:
        """Removes a controller that no longer needs the service. Other names are ignored."""
        if self.quotas.pop(name, None) is not None:
            self._controllers_changed.add(name)

    def endpoints_of(self, name: str) -> list[str]:
        """The endpoints in a controller's view as of the last `apply_changes`; empty if it does not need the
        service."""
        if name in self._complete_holders:
            return list(self.endpoints)
        if name in self._overrides:
            return self._overrides[name]
        return self._matching.endpoints_of(name) if self._matching.has_controller(name) else []

    def holders_of(self, endpoint_id: str) -> set[str]:
        """The controllers whose views have an endpoint, as of the last `apply_changes`."""
        holders = set(self._complete_holders)
        if self._matching.has_endpoint(endpoint_id):
            holders.update(self._matching.holders_of(endpoint_id))
        for name, endpoint_ids in self._overrides.items():
            if endpoint_id in endpoint_ids:
                holders.add(name)
            else:
                holders.discard(name)
        return holders

    def apply_changes(self) -> AffectedControllers:
        """Applies the recorded changes."""
        if not self._endpoints_before and not self._controllers_changed:
            return AffectedControllers(set(), set())
        updated_endpoints = self._change_endpoints()
        reassigned = self._change_controllers()
        if len(self._endpoints_before) + len(self._controllers_changed) > self._max_repaired():
            self._matching.recompute()
        else:
            self._matching.repair()
        reassigned |= self._matching.pop_changed()
        if any(self._was_added_or_removed(endpoint_id) for endpoint_id in self._endpoints_before):
            reassigned |= self._complete_holders
        updated = self._update_overrides(reassigned, updated_endpoints)
        self._endpoints_before.clear()
        self._controllers_changed.clear()
        return AffectedControllers(reassigned, updated)

    def _remove_ready(self, endpoint_id: str) -> None:
        endpoint = self._ready_endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._ready_by_zone[zone_of(endpoint)] -= 1

    def _max_repaired(self) -> int:
        return _MIN_REPAIRED_CHANGES + (len(self.endpoints) + len(self.quotas)) // _RECORDS_PER_CHANGE

    def _was_added_or_removed(self, endpoint_id: str) -> bool:
        return (self._endpoints_before[endpoint_id] is None) != (endpoint_id not in self.endpoints)

    def _change_endpoints(self) -> list[str]:
        """Updates the endpoints of the matching; returns those that stay with a changed record."""
        updated = []
        for endpoint_id, before in self._endpoints_before.items():
            endpoint = self.endpoints.get(endpoint_id)
            if before == endpoint:
                continue
            if before is not None and endpoint is not None:
                updated.append(endpoint_id)
                if _differ_in_readiness_only(before, endpoint):
                    self._matching.set_ready(endpoint_id, endpoint.ready)
                    continue
            if before is not None:
                self._matching.remove_endpoint(endpoint_id)
            if endpoint is not None:
                self._matching.add_endpoint(endpoint)
        return updated

    def _change_controllers(self) -> set[str]:
        """Updates the controllers of the matching; returns those that changed."""
        count = len(self.endpoints)
        self._controllers_changed.update(
            name
            for name, quota in self.quotas.items()
            if (quota.matched >= count) != (name in self._complete_holders)
        )
        for name in self._controllers_changed:
            self._change_controller(name, count)
        return set(self._controllers_changed)

    def _change_controller(self, name: str, count: int) -> None:
        """Adds, removes or resizes a controller in the matching. `count`: the number of endpoints of the
        service."""
        quota = self.quotas.get(name)
        self._complete_holders.discard(name)
        is_partial = quota is not None and quota.matched < count
        was_partial = self._matching.has_controller(name)
        if is_partial and was_partial:
            self._matching.resize_controller(name, quota.matched)
        elif is_partial:
            self._matching.add_controller(name, quota.matched)
        else:
            if was_partial:
                self._matching.remove_controller(name)
            if quota is not None:
                self._complete_holders.add(name)

    def _update_overrides(self, reassigned: set[str], updated_endpoints: list[str]) -> set[str]:
        """Computes swaps and replacements where they may have changed, and adds to `reassigned`. Returns the
        controllers that have one of the updated endpoints."""
        swaps = swaps_for_unheld(self._matching, self.endpoints)
        for name in swaps.keys() | self._swaps.keys():
            if swaps.get(name) != self._swaps.get(name):
                reassigned.add(name)
        self._swaps = swaps
        holders = set().union(*(self.holders_of(endpoint_id) for endpoint_id in updated_endpoints))
        affected = reassigned | holders | self._overrides.keys()
        needs = coverage_needs(self._ready_by_zone)
        if needs != self._needs:
            affected |= self._matching.controllers()
        self._needs = needs
        for name in affected:
            if self._update_override(name):
                reassigned.add(name)
        return holders.union(*(self.holders_of(endpoint_id) for endpoint_id in updated_endpoints))

    def _update_override(self, name: str) -> bool:
        """Computes which endpoints a controller has if they differ from those of the matching. Returns
        whether that changed."""
        before = self._overrides.pop(name, None)
        if not self._matching.has_controller(name):
            return before is not None
        swaps = self._swaps.get(name, [])
        if not swaps and self._meets_needs(name):
            return before is not None
        endpoint_ids = with_replacements(
            self._matching,
            name,
            self.quotas[name],
            swaps,
            self.endpoints,
            self._ready_endpoints,
            self._needs,
        )
        if set(endpoint_ids) != set(self._matching.endpoints_of(name)):
            self._overrides[name] = endpoint_ids
        return before != self._overrides.get(name)

    def _meets_needs(self, name: str) -> bool:
        """Whether the matching alone gives a controller all that it needs."""
        spread = self._matching.spread_of(name)
        return spread.ready >= self._needs.endpoints and spread.zones >= self._needs.zones


def _differ_in_readiness_only(one: Endpoint, other: Endpoint) -> bool:
    """Whether two records of an endpoint lead to the same matching."""
    return one._replace(ready=other.ready) == other
