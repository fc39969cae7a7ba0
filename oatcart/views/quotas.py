"""How many places each service gets in one conductor's view: max-min fair sharing of the view's capacity.

Every service gets the same number of places, the level, but never more than it has nodes; what small services
leave goes to the larger ones. A service with more nodes than places keeps `RESERVE` of its places free for
ready nodes that stand in for draining ones. A service's own growth beyond the level changes no quota, so that
it moves nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple

MIN_ENDPOINTS = 2
REPLACEMENT_RESERVE = 2


class Quota(NamedTuple):
    """One service's part of a view: `seats` are filled by rendezvous order, `places` bound the part as a
    whole."""

    matched: int
    total: int


def min_capacity(endpoint_counts: Mapping[str, int]) -> int:
    """The capacity without which some service would have less than two nodes in the view."""
    return sum(min(count, MIN_ENDPOINTS) for count in endpoint_counts.values())


def assign_quotas(endpoint_counts: Mapping[str, int], capacity: int) -> dict[str, Quota]:
    """Share `capacity` places among the services, whose order decides which get one place more than the
    level.

    >>> assign_quotas({"api": 900, "tiny": 3}, 100)
    {'api': Quota(matched=95, total=97), 'tiny': Quota(matched=3, total=3)}
    """
    level = _max_min_level(list(endpoint_counts.values()), capacity)
    remainder = capacity - sum(min(count, level) for count in endpoint_counts.values())
    quotas = {}
    for service, count in endpoint_counts.items():
        level_here = level
        if count > level and remainder > 0:
            level_here += 1
            remainder -= 1
        reserve = max(0, min(REPLACEMENT_RESERVE, level_here - MIN_ENDPOINTS))
        quotas[service] = Quota(min(count, level_here - reserve), min(count, level_here))
    return quotas


def _max_min_level(counts: list[int], capacity: int) -> int:
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
    return max(ascending, default=0) + REPLACEMENT_RESERVE
