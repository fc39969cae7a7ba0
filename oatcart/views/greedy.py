"""Rendezvous hashing with bounded loads, for all pairs of a service at once.

The pairs of a controller and an endpoint are visited in ascending order of their keys. A pair is assigned if
the controller's quota and the endpoint's holder limit allow it, but the last endpoint of a quota must not be
in the same zone as all the others. The result depends on the records alone: it is the stable matching, in
which no controller and endpoint both prefer each other to an assigned partner. It is unique, as both sides
order their pairs by the same key.
"""

from typing import NamedTuple

import numpy

from oatcart.views.keys import pair_keys

_INITIAL_CANDIDATES_PER_QUOTA = 1.4  # pairs visited for a controller, per endpoint of the largest quota
_MIN_CANDIDATES = 24  # pairs visited for a controller, in addition
_CANDIDATE_GROWTH = 2.0  # factor for another run, until all quotas are filled
_MIN_BLOCK_PAIRS = 256


class ServiceArrays(NamedTuple):
    """The controllers and endpoints of one service, as arrays with one element for each."""

    controller_hashes: numpy.ndarray  # uint64
    quotas: numpy.ndarray  # int64, endpoints to assign to each controller
    endpoint_hashes: numpy.ndarray  # uint64
    weights: numpy.ndarray  # float64
    zones: numpy.ndarray  # int64, any distinct number for each zone
    holder_limits: numpy.ndarray  # int64


def match_greedily(service: ServiceArrays) -> numpy.ndarray:
    """The matching: True at [controller, endpoint] for each assigned pair."""
    candidates = _INITIAL_CANDIDATES_PER_QUOTA * service.quotas.max(initial=0) + _MIN_CANDIDATES
    while True:
        controllers, endpoints = _candidates(service, candidates / service.weights.sum())
        matcher = _GreedyMatcher(service)
        matcher.match(controllers, endpoints)
        if not matcher.quota_left.any() or len(controllers) == matcher.assigned.size:
            return matcher.assigned
        candidates *= _CANDIDATE_GROWTH


def _candidates(service: ServiceArrays, limit: float) -> tuple[numpy.ndarray, numpy.ndarray]:
    """The controllers and the endpoints of all pairs with a key below the limit, in ascending order of
    keys."""
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
    """Assigns pairs in order, block by block.

    A controller whose remaining quota, or an endpoint whose remaining number of holders, exceeds its number
    of pairs in a block cannot run out within the block. Pairs for which both sides cannot run out are
    assigned at once; the few other pairs are visited one by one.
    """

    def __init__(self, service: ServiceArrays) -> None:
        self.quota_left = service.quotas.copy()
        self.holders_left = service.holder_limits.copy()
        self.zones = service.zones
        self.has_several_zones = bool((self.zones != self.zones[:1]).any())
        self.assigned = numpy.zeros((len(self.quota_left), len(self.holders_left)), dtype=bool)

    def match(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        """Visits the pairs of these controllers and endpoints, in this order."""
        block = max(_MIN_BLOCK_PAIRS, len(self.quota_left))
        for start in range(0, len(controllers), block):
            self._match_block(controllers[start : start + block], endpoints[start : start + block])

    def _match_block(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        is_open = (self.quota_left[controllers] > 0) & (self.holders_left[endpoints] > 0)
        controllers, endpoints = controllers[is_open], endpoints[is_open]
        controller_is_safe = numpy.bincount(controllers, minlength=len(self.quota_left)) < self.quota_left
        endpoint_is_safe = numpy.bincount(endpoints, minlength=len(self.holders_left)) < self.holders_left
        is_safe = controller_is_safe[controllers] & endpoint_is_safe[endpoints]
        unsafe_pairs = controllers[~is_safe].tolist(), endpoints[~is_safe].tolist()
        for controller, endpoint in zip(*unsafe_pairs, strict=True):
            self._match_pair(controller, endpoint)
        self.assigned[controllers[is_safe], endpoints[is_safe]] = True
        self.quota_left -= numpy.bincount(controllers[is_safe], minlength=len(self.quota_left))
        self.holders_left -= numpy.bincount(endpoints[is_safe], minlength=len(self.holders_left))

    def _match_pair(self, controller: int, endpoint: int) -> None:
        quota, holders = self.quota_left[controller], self.holders_left[endpoint]
        if not quota or not holders or (quota == 1 and self._leaves_one_zone(controller, endpoint)):
            return
        self.assigned[controller, endpoint] = True
        self.quota_left[controller] = quota - 1
        self.holders_left[endpoint] = holders - 1

    def _leaves_one_zone(self, controller: int, endpoint: int) -> bool:
        """Whether, with this endpoint, all endpoints of a controller would be in one of several zones."""
        zones = self.zones[self.assigned[controller]]
        return self.has_several_zones and len(zones) > 0 and bool((zones == self.zones[endpoint]).all())
