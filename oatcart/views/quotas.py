"""How many endpoints of each service one controller's view has: max-min fair sharing of the view's capacity.

Every service gets the same number, the level, but never more than it has endpoints; what small services leave
goes to the larger ones. A service with more endpoints than its quota keeps a reserve for ready endpoints that
replace draining ones. A service that grows beyond the level changes no quota, so its growth moves nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple

MIN_ENDPOINTS = 2  # of a service in a view
REPLACEMENT_RESERVE = 2  # endpoints of a service's quota that the matching does not assign


class Quota(NamedTuple):
    """Endpoints of one service in a view. `matched` are assigned by the matching, `total` bounds all."""

    matched: int
    total: int


def min_capacity(endpoint_counts: Mapping[str, int]) -> int:
    """The view capacity below which some service would have less than `MIN_ENDPOINTS` of its endpoints."""
    return sum(min(count, MIN_ENDPOINTS) for count in endpoint_counts.values())


def assign_quotas(endpoint_counts: Mapping[str, int], capacity: int) -> dict[str, Quota]:
    """Shares `capacity` endpoints among the services. What the level leaves over goes to the first services,
    one endpoint each.

    >>> assign_quotas({"api": 900, "tiny": 3}, 100)
    {'api': Quota(matched=95, total=97), 'tiny': Quota(matched=3, total=3)}
    """
    fair_share = _max_min_fair_share(list(endpoint_counts.values()), capacity)
    remainder = capacity - sum(min(count, fair_share) for count in endpoint_counts.values())
    quotas = {}
    for service, count in endpoint_counts.items():
        service_share = fair_share
        if count > fair_share and remainder > 0:
            service_share += 1
            remainder -= 1
        reserve = max(0, min(REPLACEMENT_RESERVE, service_share - MIN_ENDPOINTS))
        quotas[service] = Quota(min(count, service_share - reserve), min(count, service_share))
    return quotas


def _max_min_fair_share(counts: list[int], capacity: int) -> int:
    """The greatest whole level at which the services together fit in the capacity.

    If all services fit completely, the level lies above all counts by the reserve.
    """
    remaining = capacity
    ascending = sorted(counts)
    for index, count in enumerate(ascending):
        fair_share = remaining // (len(ascending) - index)
        if count > fair_share:
            return fair_share
        remaining -= count
    return max(ascending, default=0) + REPLACEMENT_RESERVE
