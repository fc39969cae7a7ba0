"""Rendezvous hashing with bounded loads, for a whole service at once.

All pairs of a conductor and a node are gone through from the smallest key up. A pair is taken when the
conductor has a seat left and the node a place left; the last seat is not given to the zone that holds all the
others. The outcome depends on nothing but the records: it is the one matching that no pair would rather leave
(a stable matching, unique because both sides order their pairs by the same key).
"""

from typing import NamedTuple

import numpy

from oatcart.views.keys import pair_keys

_INITIAL_CANDIDATES_PER_QUOTA = 1.4  # candidates looked at, in seats, before more are drawn
_MIN_CANDIDATES = 24
_CANDIDATE_GROWTH = 2.0
_MIN_BLOCK_PAIRS = 256  # pairs


class ServiceArrays(NamedTuple):
    """One service's conductors and nodes, as arrays of one entry each."""

    controller_hashes: numpy.ndarray  # uint64
    quotas: numpy.ndarray  # int64
    endpoint_hashes: numpy.ndarray  # uint64
    weights: numpy.ndarray  # float64
    zones: numpy.ndarray  # int64, any numbering from 0 up
    holder_limits: numpy.ndarray  # int64, the most holders of each node


def match_greedily(service: ServiceArrays) -> numpy.ndarray:
    """Who holds whom: True at [conductor, node] for each pair taken."""
    candidates = _INITIAL_CANDIDATES_PER_QUOTA * service.quotas.max(initial=0) + _MIN_CANDIDATES
    while True:
        controllers, endpoints = _candidates(service, candidates / service.weights.sum())
        matcher = _GreedyMatcher(service)
        matcher.match(controllers, endpoints)
        if not matcher.quota_left.any() or len(controllers) == matcher.assigned.size:
            return matcher.assigned
        candidates *= _CANDIDATE_GROWTH


def _candidates(service: ServiceArrays, limit: float) -> tuple[numpy.ndarray, numpy.ndarray]:
    """The conductors and the nodes of all pairs with a key below the limit, from the smallest key up."""
    controller_parts, key_parts, endpoint_parts = [], [], []
    for controller, controller_hash in enumerate(service.controller_hashes):
        keys = pair_keys(controller_hash, service.endpoint_hashes, service.weights)
        below_limit = numpy.flatnonzero(keys < limit)
        controller_parts.append(numpy.full(len(below_limit), controller))
        endpoint_parts.append(below_limit)
        key_parts.append(keys[below_limit])
    order = numpy.argsort(numpy.concatenate(key_parts))
    return numpy.concatenate(controller_parts)[order], numpy.concatenate(endpoint_parts)[order]


class _GreedyMatcher:
    """Takes pairs in order, block by block.

    Within a block, a conductor or node that has more left than pairs in the block cannot run out. Pairs whose
    two ends both cannot are taken at once, the few others one by one.
    """

    def __init__(self, service: ServiceArrays) -> None:
        self.quota_left = service.quotas.copy()
        self.holders_left = service.holder_limits.copy()
        self.zones = service.zones
        self.several_zones = bool((self.zones != self.zones[:1]).any())
        self.assigned = numpy.zeros((len(self.quota_left), len(self.holders_left)), dtype=bool)

    def match(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        """Go through the pairs of these conductors and nodes."""
        block = max(_MIN_BLOCK_PAIRS, len(self.quota_left))
        for start in range(0, len(controllers), block):
            self._match_block(controllers[start : start + block], endpoints[start : start + block])

    def _match_block(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        is_open = (self.quota_left[controllers] > 0) & (self.holders_left[endpoints] > 0)
        controllers, endpoints = controllers[is_open], endpoints[is_open]
        controller_is_safe = numpy.bincount(controllers, minlength=len(self.quota_left)) < self.quota_left
        endpoint_is_safe = numpy.bincount(endpoints, minlength=len(self.holders_left)) < self.holders_left
        is_safe = controller_is_safe[controllers] & endpoint_is_safe[endpoints]
        for controller, endpoint in zip(
            controllers[~is_safe].tolist(), endpoints[~is_safe].tolist(), strict=True
        ):
            self._match_pair(controller, endpoint)
        self.assigned[controllers[is_safe], endpoints[is_safe]] = True
        self.quota_left -= numpy.bincount(controllers[is_safe], minlength=len(self.quota_left))
        self.holders_left -= numpy.bincount(endpoints[is_safe], minlength=len(self.holders_left))

    def _match_pair(self, controller: int, endpoint: int) -> None:
        quota, holders = self.quota_left[controller], self.holders_left[endpoint]
        if not quota or not holders or (quota == 1 and self._is_one_zone_more(controller, endpoint)):
            return
        self.assigned[controller, endpoint] = True
        self.quota_left[controller] = quota - 1
        self.holders_left[endpoint] = holders - 1

    def _is_one_zone_more(self, controller: int, endpoint: int) -> bool:
        """Whether a conductor that may have nodes in two zones has, with this one, all in one zone."""
        zones = self.zones[self.assigned[controller]]
        return self.several_zones and len(zones) > 0 and bool((zones == self.zones[endpoint]).all())
