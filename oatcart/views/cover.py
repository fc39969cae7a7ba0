"""What a service's views hold beside the matching: exchanges for nodes unseen, and nodes that stand in.

Both are worked out from the matching and the records as they are, never from what held before.
"""

from typing import NamedTuple

from oatcart.views.matching import Matching
from oatcart.views.quotas import LEAST_PLACES, Quota
from oatcart.views.records import Endpoint

Zone = tuple[str, str]
"""A region and a zone in it."""


class Exchange(NamedTuple):
    """A conductor holds the node `taken` in place of the node `given`."""

    given: str
    taken: str


class Needs(NamedTuple):
    """How many ready nodes, in how many zones, every view of a service has: two where there are two."""

    nodes: int
    zones: int


def needs_of(ready_by_zone: dict[Zone, int]) -> Needs:
    """What a service allows that has so many ready nodes in each of its zones."""
    counts = [count for count in ready_by_zone.values() if count]
    return Needs(min(LEAST_PLACES, sum(counts)), min(LEAST_PLACES, len(counts)))


def zone_of(endpoint: Endpoint) -> Zone:
    """A zone's name is its own only within its region."""
    return endpoint.region, endpoint.zone


def exchanges_for_unseen(matching: Matching, endpoints: dict[str, Endpoint]) -> dict[str, list[Exchange]]:
    """Exchanges by conductor that give each node without holder one, as far as other nodes have one to spare.

    The pair of the smallest key goes first. Its conductor gives up the node of its largest key that others
    hold too, and keeps nodes in two zones. Where there are at least as many seats as nodes, no node is left
    unseen unless only zones stand against it.
    """
    unseen = matching.endpoints_without_holder()
    if not unseen:
        return {}
    pairs = sorted(
        (key, name, endpoint_id)
        for endpoint_id in unseen
        for key, name in matching.keys_of_endpoint(endpoint_id)
    )
    spared: dict[str, int] = {}
    exchanges: dict[str, list[Exchange]] = {}
    covered: set[str] = set()
    for _, name, endpoint_id in pairs:
        if endpoint_id in covered:
            continue
        given = _node_to_spare(matching, endpoints, name, endpoint_id, exchanges.get(name, []), spared)
        if given is not None:
            spared[given] = spared.get(given, 0) + 1
            exchanges.setdefault(name, []).append(Exchange(given, endpoint_id))
            covered.add(endpoint_id)
            if len(covered) == len(unseen):
                break
    return exchanges


def _node_to_spare(
    matching: Matching,
    endpoints: dict[str, Endpoint],
    name: str,
    taken: str,
    done: list[Exchange],
    spared: dict[str, int],
) -> str | None:
    """The node that a conductor gives up for another, None where it has none to spare."""
    own = _exchanged(matching.held_by(name), done)
    own_zones = [zone_of(endpoints[endpoint_id]) for endpoint_id in own]
    several_zones = len(set(own_zones)) > 1
    ranked = sorted(zip(matching.keys_of_controller(name, own), own, strict=True), reverse=True)
    for _, endpoint_id in ranked:
        if matching.load_of(endpoint_id) - spared.get(endpoint_id, 0) < 2:
            continue
        kept_zones = {zone_of(endpoints[other]) for other in own if other != endpoint_id}
        if several_zones and len(kept_zones | {zone_of(endpoints[taken])}) < 2:
            continue
        return endpoint_id
    return None


def _exchanged(held: list[str], exchanges: list[Exchange]) -> list[str]:
    given = {exchange.given for exchange in exchanges}
    return [endpoint_id for endpoint_id in held if endpoint_id not in given] + [
        exchange.taken for exchange in exchanges
    ]


def complete_part(
    matching: Matching,
    name: str,
    quota: Quota,
    exchanges: list[Exchange],
    endpoints: dict[str, Endpoint],
    ready_endpoints: dict[str, Endpoint],
    needs: Needs,
) -> list[str]:
    """All that a conductor holds of the service: the matching's nodes, exchanged, and those that stand in.

    Ready nodes stand in where the matching or draining leaves fewer ready nodes or zones than `needs`. They
    are taken by the conductor's own order, whatever their load. Where they do not fit in the quota's places,
    draining nodes give way, the largest key first.
    """
    held = _exchanged(matching.held_by(name), exchanges)
    ready_held = [endpoint_id for endpoint_id in held if endpoint_id in ready_endpoints]
    zones = {zone_of(endpoints[endpoint_id]) for endpoint_id in ready_held}
    missing_nodes = needs.nodes - len(ready_held)
    if missing_nodes <= 0 and len(zones) >= needs.zones:
        return held
    others = list(ready_endpoints.keys() - set(held))
    ranked = [
        other for _, other in sorted(zip(matching.keys_of_controller(name, others), others, strict=True))
    ]
    for other in ranked:
        zones_missing = needs.zones - len(zones)
        if missing_nodes <= 0 and zones_missing <= 0:
            break
        in_new_zone = zone_of(endpoints[other]) not in zones
        if in_new_zone or missing_nodes > max(0, zones_missing):
            held.append(other)
            zones.add(zone_of(endpoints[other]))
            missing_nodes -= 1
    return _within(matching, name, held, quota.places, ready_endpoints)


def _within(
    matching: Matching, name: str, held: list[str], places: int, ready_endpoints: dict[str, Endpoint]
) -> list[str]:
    """The nodes without the draining ones that do not fit."""
    draining = [endpoint_id for endpoint_id in held if endpoint_id not in ready_endpoints]
    ranked = sorted(zip(matching.keys_of_controller(name, draining), draining, strict=True), reverse=True)
    dropped = {endpoint_id for _, endpoint_id in ranked[: max(0, len(held) - places)]}
    return [endpoint_id for endpoint_id in held if endpoint_id not in dropped]
