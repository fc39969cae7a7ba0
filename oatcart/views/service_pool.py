"""One service: its nodes, the conductors that need it, and which of the nodes each of them is told of.

A conductor whose quota has a seat for every node holds the service whole. The others share it by the
matching.
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

_MIN_REPAIRED_CHANGES = 4  # this many changes at once, and
_RECORDS_PER_CHANGE = 50  # one more for so many conductors and nodes, are mended; more are matched anew


class AffectedControllers(NamedTuple):
    """Conductors that changes concern.

    `moved` may hold other nodes than before, `restated` hold a node that stays with another record.
    """

    reassigned: set[str]
    updated: set[str]


class ServicePool:
    """The records of one service. Changes are noted, and worked out together by `settle`."""

    def __init__(self, overload: float, seed: int) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.quotas: dict[str, Quota] = {}
        self._ready_endpoints: dict[str, Endpoint] = {}
        self._ready_by_zone: Counter[Zone] = Counter()
        self._matching = Matching(overload, seed)
        self._complete_holders: set[str] = set()
        self._swaps: dict[str, list[Swap]] = {}
        self._overrides: dict[
            str, list[str]
        ] = {}  # by conductor, what it holds where the matching says otherwise
        self._needs = CoverageNeeds(0, 0)
        self._endpoints_before: dict[str, Endpoint | None] = {}
        self._controllers_changed: set[str] = set()

    # Changes.

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """A node comes, or its record changes."""
        self._endpoints_before.setdefault(endpoint.id, self.endpoints.get(endpoint.id))
        self.endpoints[endpoint.id] = endpoint
        self._forget_ready(endpoint.id)
        if endpoint.ready:
            self._ready_endpoints[endpoint.id] = endpoint
            self._ready_by_zone[zone_of(endpoint)] += 1

    def remove_endpoint(self, endpoint_id: str) -> None:
        """A node is deleted."""
        self._endpoints_before.setdefault(endpoint_id, self.endpoints.get(endpoint_id))
        del self.endpoints[endpoint_id]
        self._forget_ready(endpoint_id)

    def set_quota(self, name: str, quota: Quota) -> None:
        """A conductor needs the service, or gets another number of places for it."""
        self.quotas[name] = quota
        self._controllers_changed.add(name)

    def remove_controller(self, name: str) -> None:
        """A conductor needs the service no longer."""
        if self.quotas.pop(name, None) is not None:
            self._controllers_changed.add(name)

    # What holds, once settled.

    def endpoints_of(self, name: str) -> list[str]:
        """The nodes that a conductor is told of; empty where it does not need the service."""
        if name in self._complete_holders:
            return list(self.endpoints)
        if name in self._overrides:
            return self._overrides[name]
        return self._matching.endpoints_of(name) if self._matching.has_controller(name) else []

    def holders_of(self, endpoint_id: str) -> set[str]:
        """The conductors that are told of a node."""
        holders = set(self._complete_holders)
        if self._matching.has_endpoint(endpoint_id):
            holders.update(self._matching.holders_of(endpoint_id))
        for name, held in self._overrides.items():
            if endpoint_id in held:
                holders.add(name)
            else:
                holders.discard(name)
        return holders

    def settle(self) -> AffectedControllers:
        """Work the changes out."""
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

    def _forget_ready(self, endpoint_id: str) -> None:
        endpoint = self._ready_endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._ready_by_zone[zone_of(endpoint)] -= 1

    def _max_repaired(self) -> int:
        return _MIN_REPAIRED_CHANGES + (len(self.endpoints) + len(self.quotas)) // _RECORDS_PER_CHANGE

    def _was_added_or_removed(self, endpoint_id: str) -> bool:
        return (self._endpoints_before[endpoint_id] is None) != (endpoint_id not in self.endpoints)

    def _change_endpoints(self) -> list[str]:
        """Bring the matching's nodes up to date; the nodes that stay with another record."""
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
        """Bring the matching's conductors up to date; those that this concerns."""
        count = len(self.endpoints)
        self._controllers_changed.update(
            name
            for name, quota in self.quotas.items()
            if (quota.matched >= count) != (name in self._complete_holders)
        )
        for name in self._controllers_changed:
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
        return set(self._controllers_changed)

    def _update_overrides(self, reassigned: set[str], updated_endpoints: list[str]) -> set[str]:
        """Exchanges and stand-ins where they may have changed; the conductors that hold a node of another
        record."""
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
        """Note what a conductor holds beside the matching; whether that changed."""
        before = self._overrides.pop(name, None)
        if not self._matching.has_controller(name):
            return before is not None
        swaps = self._swaps.get(name, [])
        if not swaps and self._suffices(name):
            return before is not None
        held = with_replacements(
            self._matching,
            name,
            self.quotas[name],
            swaps,
            self.endpoints,
            self._ready_endpoints,
            self._needs,
        )
        if set(held) != set(self._matching.endpoints_of(name)):
            self._overrides[name] = held
        return before != self._overrides.get(name)

    def _suffices(self, name: str) -> bool:
        """Whether the matching alone gives a conductor all that it needs."""
        spread = self._matching.spread_of(name)
        return spread.ready >= self._needs.endpoints and spread.zones >= self._needs.zones


def _differ_in_readiness_only(one: Endpoint, other: Endpoint) -> bool:
    """Whether two records of a node leave every conductor's choice as it is."""
    return one._replace(ready=other.ready) == other
