"""What a service's views hold beside the matching: exchanges for nodes unseen, and nodes that stand in.

Both are worked out from the matching and the records as they are, never from what held before.
"""

from typing import NamedTuple

from oatcart.views.matching import Matching
from oatcart.views.quotas import MIN_ENDPOINTS, Quota
from oatcart.views.records import Endpoint

Zone = tuple[str, str]
"""A region and a zone in it."""


class Swap(NamedTuple):
    """A conductor holds the node `taken` in place of the node `given`."""

    released: str
    acquired: str


class CoverageNeeds(NamedTuple):
    """How many ready nodes, in how many zones, every view of a service has: two where there are two."""

    endpoints: int
    zones: int


def coverage_needs(ready_by_zone: dict[Zone, int]) -> CoverageNeeds:
    """What a service allows that has so many ready nodes in each of its zones."""
    counts = [count for count in ready_by_zone.values() if count]
    return CoverageNeeds(min(MIN_ENDPOINTS, sum(counts)), min(MIN_ENDPOINTS, len(counts)))


def zone_of(endpoint: Endpoint) -> Zone:
    """A zone's name is its own only within its region."""
    return endpoint.region, endpoint.zone


def swaps_for_unheld(matching: Matching, endpoints: dict[str, Endpoint]) -> dict[str, list[Swap]]:
    """Exchanges by conductor that give each node without holder one, as far as other nodes have one to spare.

    The pair of the smallest key goes first. Its conductor gives up the node of its largest key that others
    hold too, and keeps nodes in two zones. Where there are at least as many seats as nodes, no node is left
    unseen unless only zones stand against it.
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
        released = _endpoint_to_release(matching, endpoints, name, endpoint_id, swaps.get(name, []), releases)
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
    """The node that a conductor gives up for another, None where it has none to spare."""
    own = _after_swaps(matching.endpoints_of(name), swaps)
    own_zones = [zone_of(endpoints[endpoint_id]) for endpoint_id in own]
    several_zones = len(set(own_zones)) > 1
    ranked = sorted(zip(matching.keys_of_controller(name, own), own, strict=True), reverse=True)
    for _, endpoint_id in ranked:
        if matching.holder_count(endpoint_id) - releases.get(endpoint_id, 0) < 2:
            continue
        kept_zones = {zone_of(endpoints[other]) for other in own if other != endpoint_id}
        if several_zones and len(kept_zones | {zone_of(endpoints[acquired])}) < 2:
            continue
        return endpoint_id
    return None


def _after_swaps(held: list[str], swaps: list[Swap]) -> list[str]:
    released = {swap.released for swap in swaps}
    return [endpoint_id for endpoint_id in held if endpoint_id not in released] + [
        swap.acquired for swap in swaps
    ]


def with_replacements(
    matching: Matching,
    name: str,
    quota: Quota,
    swaps: list[Swap],
    endpoints: dict[str, Endpoint],
    ready_endpoints: dict[str, Endpoint],
    needs: CoverageNeeds,
) -> list[str]:
    """All that a conductor holds of the service: the matching's nodes, exchanged, and those that stand in.

    Ready nodes stand in where the matching or draining leaves fewer ready nodes or zones than `needs`. They
    are taken by the conductor's own order, whatever their load. Where they do not fit in the quota's places,
    draining nodes give way, the largest key first.
    """
    held = _after_swaps(matching.endpoints_of(name), swaps)
    ready_held = [endpoint_id for endpoint_id in held if endpoint_id in ready_endpoints]
    zones = {zone_of(endpoints[endpoint_id]) for endpoint_id in ready_held}
    missing_endpoints = needs.endpoints - len(ready_held)
    if missing_endpoints <= 0 and len(zones) >= needs.zones:
        return held
    others = list(ready_endpoints.keys() - set(held))
    ranked = [
        other for _, other in sorted(zip(matching.keys_of_controller(name, others), others, strict=True))
    ]
    for other in ranked:
        zones_missing = needs.zones - len(zones)
        if missing_endpoints <= 0 and zones_missing <= 0:
            break
        in_new_zone = zone_of(endpoints[other]) not in zones
        if in_new_zone or missing_endpoints > max(0, zones_missing):
            held.append(other)
            zones.add(zone_of(endpoints[other]))
            missing_endpoints -= 1
    return _without_excess_draining(matching, name, held, quota.total, ready_endpoints)


def _without_excess_draining(
    matching: Matching, name: str, held: list[str], total: int, ready_endpoints: dict[str, Endpoint]
) -> list[str]:
    """The nodes without the draining ones that do not fit."""
    draining = [endpoint_id for endpoint_id in held if endpoint_id not in ready_endpoints]
    ranked = sorted(zip(matching.keys_of_controller(name, draining), draining, strict=True), reverse=True)
    dropped = {endpoint_id for _, endpoint_id in ranked[: max(0, len(held) - total)]}
    return [endpoint_id for endpoint_id in held if endpoint_id not in dropped]
