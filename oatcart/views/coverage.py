"""Adjusts the views of a service after the matching: swaps for endpoints without a holder, and replacements
for endpoints that are not ready.

Both are computed from the current matching and records alone, never from earlier views.
"""

from typing import NamedTuple

from oatcart.views.matching import Matching
from oatcart.views.quotas import MIN_ENDPOINTS, Quota
from oatcart.views.records import Endpoint

Zone = tuple[str, str]
"""A region and a zone in it; zone names are unique only within a region."""


class Swap(NamedTuple):
    """A controller's view has the endpoint `acquired` instead of the endpoint `released` (ids)."""

    released: str
    acquired: str


class CoverageNeeds(NamedTuple):
    """The number of ready endpoints of a service, and of their zones, that every view needs."""

    endpoints: int
    zones: int


def coverage_needs(ready_by_zone: dict[Zone, int]) -> CoverageNeeds:
    """`MIN_ENDPOINTS` endpoints in as many zones, or fewer if the service has fewer. `ready_by_zone`: its
    number of ready endpoints in each zone."""
    counts = [count for count in ready_by_zone.values() if count]
    return CoverageNeeds(min(MIN_ENDPOINTS, sum(counts)), min(MIN_ENDPOINTS, len(counts)))


def zone_of(endpoint: Endpoint) -> Zone:
    """The zone of an endpoint."""
    return endpoint.region, endpoint.zone


def swaps_for_unheld(matching: Matching, endpoints: dict[str, Endpoint]) -> dict[str, list[Swap]]:
    """Swaps, by controller, that give a holder to each endpoint without one, where a controller can release
    another endpoint for it.

    Pairs are tried in ascending order of their keys. The controller releases the endpoint with the largest
    key that has other holders, unless its endpoints in several zones would all be in one zone afterwards. If
    the sum of the quotas is at least the number of endpoints, every endpoint gets a holder, except where the
    zones rule out each swap.
    """
    unheld = matching.unheld_endpoints()
    if not unheld:
        return {}
    candidates = sorted(
        (key, name, endpoint_id)
        for endpoint_id in unheld
        for key, name in matching.keys_of_endpoint(endpoint_id)
    )
    releases: dict[str, int] = {}
    swaps: dict[str, list[Swap]] = {}
    covered: set[str] = set()
    for _, name, endpoint_id in candidates:
        if endpoint_id in covered:
            continue
        own_swaps = swaps.get(name, [])
        released = _endpoint_to_release(matching, endpoints, name, endpoint_id, own_swaps, releases)
        if released is not None:
            releases[released] = releases.get(released, 0) + 1
            swaps.setdefault(name, []).append(Swap(released, endpoint_id))
            covered.add(endpoint_id)
            if len(covered) == len(unheld):
                break
    return swaps


def _endpoint_to_release(
    matching: Matching,
    endpoints: dict[str, Endpoint],
    name: str,
    acquired: str,
    swaps: list[Swap],
    releases: dict[str, int],
) -> str | None:
    """The endpoint that a controller releases for `acquired`, None if it must keep all. `swaps`: of this
    controller so far; `releases`: how often each endpoint was released so far, by any controller."""
    own_ids = _after_swaps(matching.endpoints_of(name), swaps)
    own_zones = [zone_of(endpoints[endpoint_id]) for endpoint_id in own_ids]
    has_several_zones = len(set(own_zones)) > 1
    ranked = sorted(zip(matching.keys_of_controller(name, own_ids), own_ids, strict=True), reverse=True)
    for _, endpoint_id in ranked:
        if matching.holder_count(endpoint_id) - releases.get(endpoint_id, 0) < 2:
            continue
        remaining_zones = {zone_of(endpoints[other]) for other in own_ids if other != endpoint_id}
        if has_several_zones and len(remaining_zones | {zone_of(endpoints[acquired])}) < 2:
            continue
        return endpoint_id
    return None


def _after_swaps(endpoint_ids: list[str], swaps: list[Swap]) -> list[str]:
    released = {swap.released for swap in swaps}
    remaining = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in released]
    return remaining + [swap.acquired for swap in swaps]


def with_replacements(
    matching: Matching,
    name: str,
    quota: Quota,
    swaps: list[Swap],
    endpoints: dict[str, Endpoint],
    ready_endpoints: dict[str, Endpoint],
    needs: CoverageNeeds,
) -> list[str]:
    """All endpoints of the service in a controller's view: those of the matching after the swaps, and the
    replacements.

    Where fewer ready endpoints or zones than `needs` remain, further ready endpoints are added in ascending
    order of the controller's keys, regardless of their holder limits. If the sum exceeds the total of the
    quota, draining endpoints are left out, those with the largest keys first.
    """
    endpoint_ids = _after_swaps(matching.endpoints_of(name), swaps)
    ready_ids = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id in ready_endpoints]
    zones = {zone_of(endpoints[endpoint_id]) for endpoint_id in ready_ids}
    missing_endpoints = needs.endpoints - len(ready_ids)
    if missing_endpoints <= 0 and len(zones) >= needs.zones:
        return endpoint_ids
    others = list(ready_endpoints.keys() - set(endpoint_ids))
    ranked = sorted(zip(matching.keys_of_controller(name, others), others, strict=True))
    for _, other in ranked:
        missing_zones = needs.zones - len(zones)
        if missing_endpoints <= 0 and missing_zones <= 0:
            break
        is_in_new_zone = zone_of(endpoints[other]) not in zones
        if is_in_new_zone or missing_endpoints > max(0, missing_zones):
            endpoint_ids.append(other)
            zones.add(zone_of(endpoints[other]))
            missing_endpoints -= 1
    return _without_excess_draining(matching, name, endpoint_ids, quota.total, ready_endpoints)


def _without_excess_draining(
    matching: Matching, name: str, endpoint_ids: list[str], total: int, ready_endpoints: dict[str, Endpoint]
) -> list[str]:
    draining = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in ready_endpoints]
    ranked = sorted(zip(matching.keys_of_controller(name, draining), draining, strict=True), reverse=True)
    excess = {endpoint_id for _, endpoint_id in ranked[: max(0, len(endpoint_ids) - total)]}
    return [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in excess]
