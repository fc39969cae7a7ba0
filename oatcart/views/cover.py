"""What a service's views hold beside the matching: exchanges for nodes unseen, and nodes that stand in.

Both are worked out from the matching and the records as they are, never from what held before.
"""

from typing import NamedTuple

from oatcart.views.matching import Matching
from oatcart.views.quotas import LEAST_PLACES, Quota
from oatcart.views.records import Member

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


def zone_of(member: Member) -> Zone:
    """A zone's name is its own only within its region."""
    return member.region, member.zone


def exchanges_for_unseen(matching: Matching, members: dict[str, Member]) -> dict[str, list[Exchange]]:
    """Exchanges by conductor that give each node without holder one, as far as other nodes have one to spare.

    The pair of the smallest key goes first. Its conductor gives up the node of its largest key that others
    hold too, and keeps nodes in two zones. Where there are at least as many seats as nodes, no node is left
    unseen unless only zones stand against it.
    """
    unseen = matching.members_without_holder()
    if not unseen:
        return {}
    pairs = sorted(
        (key, name, member_id) for member_id in unseen for key, name in matching.keys_of_member(member_id)
    )
    spared: dict[str, int] = {}
    exchanges: dict[str, list[Exchange]] = {}
    covered: set[str] = set()
    for _, name, member_id in pairs:
        if member_id in covered:
            continue
        given = _node_to_spare(matching, members, name, member_id, exchanges.get(name, []), spared)
        if given is not None:
            spared[given] = spared.get(given, 0) + 1
            exchanges.setdefault(name, []).append(Exchange(given, member_id))
            covered.add(member_id)
            if len(covered) == len(unseen):
                break
    return exchanges


def _node_to_spare(
    matching: Matching,
    members: dict[str, Member],
    name: str,
    taken: str,
    done: list[Exchange],
    spared: dict[str, int],
) -> str | None:
    """The node that a conductor gives up for another, None where it has none to spare."""
    own = _exchanged(matching.held_by(name), done)
    own_zones = [zone_of(members[member_id]) for member_id in own]
    several_zones = len(set(own_zones)) > 1
    ranked = sorted(zip(matching.keys_of_viewer(name, own), own, strict=True), reverse=True)
    for _, member_id in ranked:
        if matching.load_of(member_id) - spared.get(member_id, 0) < 2:
            continue
        kept_zones = {zone_of(members[other]) for other in own if other != member_id}
        if several_zones and len(kept_zones | {zone_of(members[taken])}) < 2:
            continue
        return member_id
    return None


def _exchanged(held: list[str], exchanges: list[Exchange]) -> list[str]:
    given = {exchange.given for exchange in exchanges}
    return [member_id for member_id in held if member_id not in given] + [
        exchange.taken for exchange in exchanges
    ]


def complete_part(
    matching: Matching,
    name: str,
    quota: Quota,
    exchanges: list[Exchange],
    members: dict[str, Member],
    ready_members: dict[str, Member],
    needs: Needs,
) -> list[str]:
    """All that a conductor holds of the service: the matching's nodes, exchanged, and those that stand in.

    Ready nodes stand in where the matching or draining leaves fewer ready nodes or zones than `needs`. They
    are taken by the conductor's own order, whatever their load. Where they do not fit in the quota's places,
    draining nodes give way, the largest key first.
    """
    held = _exchanged(matching.held_by(name), exchanges)
    ready_held = [member_id for member_id in held if member_id in ready_members]
    zones = {zone_of(members[member_id]) for member_id in ready_held}
    missing_nodes = needs.nodes - len(ready_held)
    if missing_nodes <= 0 and len(zones) >= needs.zones:
        return held
    others = list(ready_members.keys() - set(held))
    ranked = [other for _, other in sorted(zip(matching.keys_of_viewer(name, others), others, strict=True))]
    for other in ranked:
        zones_missing = needs.zones - len(zones)
        if missing_nodes <= 0 and zones_missing <= 0:
            break
        in_new_zone = zone_of(members[other]) not in zones
        if in_new_zone or missing_nodes > max(0, zones_missing):
            held.append(other)
            zones.add(zone_of(members[other]))
            missing_nodes -= 1
    return _within(matching, name, held, quota.places, ready_members)


def _within(
    matching: Matching, name: str, held: list[str], places: int, ready_members: dict[str, Member]
) -> list[str]:
    """The nodes without the draining ones that do not fit."""
    draining = [member_id for member_id in held if member_id not in ready_members]
    ranked = sorted(zip(matching.keys_of_viewer(name, draining), draining, strict=True), reverse=True)
    dropped = {member_id for _, member_id in ranked[: max(0, len(held) - places)]}
    return [member_id for member_id in held if member_id not in dropped]
