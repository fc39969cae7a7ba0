"""How many places each service gets in one conductor's view: max-min fair sharing of the view's capacity.

Every service gets the same number of places, the level, but never more than it has nodes; what small services
leave goes to the larger ones. A service with more nodes than places keeps `RESERVE` of its places free for
ready nodes that stand in for draining ones. A service's own growth beyond the level changes no quota, so that
it moves nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple

LEAST_PLACES = 2
RESERVE = 2


class Quota(NamedTuple):
    """One service's part of a view: `seats` are filled by rendezvous order, `places` bound the part as a
    whole."""

    seats: int
    places: int


def least_needed(endpoint_counts: Mapping[str, int]) -> int:
    """The capacity without which some service would have less than two nodes in the view."""
    return sum(min(count, LEAST_PLACES) for count in endpoint_counts.values())


def share_places(endpoint_counts: Mapping[str, int], capacity: int) -> dict[str, Quota]:
    """Share `capacity` places among the services, whose order decides which get one place more than the
    level.

    >>> share_places({"api": 900, "tiny": 3}, 100)
    {'api': Quota(seats=95, places=97), 'tiny': Quota(seats=3, places=3)}
    """
    level = _fair_level(list(endpoint_counts.values()), capacity)
    spare = capacity - sum(min(count, level) for count in endpoint_counts.values())
    quotas = {}
    for service, count in endpoint_counts.items():
        own_level = level
        if count > level and spare > 0:
            own_level += 1
            spare -= 1
        reserve = max(0, min(RESERVE, own_level - LEAST_PLACES))
        quotas[service] = Quota(min(count, own_level - reserve), min(count, own_level))
    return quotas


def _fair_level(counts: list[int], capacity: int) -> int:
    """The greatest whole level at which the services' places together fit in the capacity.

    Where every service fits whole the level lies above all counts, with room for the reserve.
    """
    left = capacity
    ascending = sorted(counts)
    for index, count in enumerate(ascending):
        level = left // (len(ascending) - index)
        if count > level:
            return level
        left -= count
    return max(ascending, default=0) + RESERVE
