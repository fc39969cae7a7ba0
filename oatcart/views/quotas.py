"""Computes how many endpoints of each service a controller's view has: max-min fair sharing of its capacity.

Every service gets the same number, the fair share, but at most as many as it has endpoints; the rest goes to
the larger services. A service with more endpoints than its quota has a reserve for ready endpoints that
replace draining ones. The growth of a service beyond the fair share changes no quota, so it moves no
assignments.
"""

from collections.abc import Mapping
from typing import NamedTuple

MIN_ENDPOINTS = 2  # of a service in a view
REPLACEMENT_RESERVE = 2  # endpoints of a service's quota that the matching leaves free


class Quota(NamedTuple):
    """The numbers of endpoints of one service in a view. `matched`: assigned by the matching; `total`:
    maximum, with replacements."""

    matched: int
    total: int


def min_capacity(endpoint_counts: Mapping[str, int]) -> int:
    """The smallest view capacity that holds `MIN_ENDPOINTS` of each service, or all if it has fewer."""
    return sum(min(count, MIN_ENDPOINTS) for count in endpoint_counts.values())


def assign_quotas(endpoint_counts: Mapping[str, int], capacity: int) -> dict[str, Quota]:
    """Divides a view's `capacity` among the services. The remainder goes to the first services, one endpoint
    each.

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
    """The largest whole fair share with which all services fit in the capacity.

    If all services fit completely, it exceeds the largest count by the reserve.
    """
    remaining = capacity
    ascending = sorted(counts)
    for index, count in enumerate(ascending):
        fair_share = remaining // (len(ascending) - index)
        if count > fair_share:
            return fair_share
        remaining -= count
    return max(ascending, default=0) + REPLACEMENT_RESERVE
