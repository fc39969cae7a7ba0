"""What the views of a service have beside the matching: swaps for endpoints without holder, and replacements
for endpoints that are not ready.

Both are worked out from the matching and the records as they are, never from what held before.
"""

from typing import NamedTuple

from oatcart.views.matching import Matching
from oatcart.views.quotas import MIN_ENDPOINTS, Quota
from oatcart.views.records import Endpoint

Zone = tuple[str, str]
"""A region and a zone in it; a zone's name is its own only within its region."""


class Swap(NamedTuple):
    """A controller has the endpoint `acquired` in place of the endpoint `released`, by their ids."""

    released: str
    acquired: str


class CoverageNeeds(NamedTuple):
    """How many ready endpoints, in how many zones, every view of a service has."""

    endpoints: int
    zones: int


def coverage_needs(ready_by_zone: dict[Zone, int]) -> CoverageNeeds:
    """`MIN_ENDPOINTS` endpoints in as many zones, or what a service has with so many ready endpoints in each
    of its zones."""
    counts = [count for count in ready_by_zone.values() if count]
    return CoverageNeeds(min(MIN_ENDPOINTS, sum(counts)), min(MIN_ENDPOINTS, len(counts)))


def zone_of(endpoint: Endpoint) -> Zone:
    """The zone of an endpoint."""
    return endpoint.region, endpoint.zone


def swaps_for_unheld(matching: Matching, endpoints: dict[str, Endpoint]) -> dict[str, list[Swap]]:
    """Swaps, by controller, that give each endpoint without holder one, as far as others have one to spare.

    The pair of the smallest key is first. Its controller releases the endpoint of its largest key that has
    other holders too, and keeps endpoints in two zones. If the quotas together are at least as many as the
    endpoints, none stays without holder, unless its zone prevents each swap.
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
    """The endpoint that a controller releases for another, None if it has none to spare. `swaps` are those of
    the controller so far, `releases` counts those of all controllers by endpoint."""
    own_ids = _after_swaps(matching.endpoints_of(name), swaps)
    own_zones = [zone_of(endpoints[endpoint_id]) for endpoint_id in own_ids]
    has_several_zones = len(set(own_zones)) > 1
    ranked = sorted(zip(matching.keys_of_controller(name, own_ids), own_ids, strict=True), reverse=True)
    for _, endpoint_id in ranked:
        if matching.holder_count(endpoint_id) - releases.get(endpoint_id, 0) < 2:
            continue
        kept_zones = {zone_of(endpoints[other]) for other in own_ids if other != endpoint_id}
        if has_several_zones and len(kept_zones | {zone_of(endpoints[acquired])}) < 2:
            continue
        return endpoint_id
    return None


def _after_swaps(endpoint_ids: list[str], swaps: list[Swap]) -> list[str]:
    released = {swap.released for swap in swaps}
    kept = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in released]
    return kept + [swap.acquired for swap in swaps]


def with_replacements(
    matching: Matching,
    name: str,
    quota: Quota,
    swaps: list[Swap],
    endpoints: dict[str, Endpoint],
    ready_endpoints: dict[str, Endpoint],
    needs: CoverageNeeds,
) -> list[str]:
    """All endpoints of the service in a controller's view: those of the matching, after its swaps, and
    replacements.

    Ready endpoints replace where matching or draining leaves fewer ready endpoints or zones than `needs`.
    They are taken by the controller's own order of keys, whatever their holder limit. If all together exceed
    the total of the quota, draining endpoints are left out, the largest key first.
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
