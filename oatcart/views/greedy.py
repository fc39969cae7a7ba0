"""Rendezvous hashing with bounded loads, for a whole service at once.

All pairs of a conductor and a node are gone through from the smallest key up. A pair is taken when the
conductor has a seat left and the node a place left; the last seat is not given to the zone that holds all the
others. The outcome depends on nothing but the records: it is the one matching that no pair would rather leave
(a stable matching, unique because both sides order their pairs by the same key).
"""

from typing import NamedTuple

import numpy

from oatcart.views.keys import pair_keys

_FIRST_DEPTH = 1.4  # candidates looked at, in seats, before more are drawn
_LEAST_CANDIDATES = 24
_DEEPER = 2.0
_LEAST_BLOCK = 256  # pairs


class Service(NamedTuple):
    """One service's conductors and nodes, as arrays of one entry each."""

    controller_hashes: numpy.ndarray  # uint64
    seats: numpy.ndarray  # int64
    endpoint_hashes: numpy.ndarray  # uint64
    sizes: numpy.ndarray  # float64
    zones: numpy.ndarray  # int64, any numbering from 0 up
    places: numpy.ndarray  # int64, the most holders of each node


def match_all(service: Service) -> numpy.ndarray:
    """Who holds whom: True at [conductor, node] for each pair taken."""
    depth = _FIRST_DEPTH * service.seats.max(initial=0) + _LEAST_CANDIDATES
    while True:
        controllers, endpoints = _candidates(service, depth / service.sizes.sum())
        greedy = _Greedy(service)
        greedy.take(controllers, endpoints)
        if not greedy.seats_left.any() or len(controllers) == greedy.held.size:
            return greedy.held
        depth *= _DEEPER


def _candidates(service: Service, limit: float) -> tuple[numpy.ndarray, numpy.ndarray]:
    """The conductors and the nodes of all pairs with a key below the limit, from the smallest key up."""
    controller_parts, key_parts, endpoint_parts = [], [], []
    for controller, controller_hash in enumerate(service.controller_hashes):
        keys = pair_keys(controller_hash, service.endpoint_hashes, service.sizes)
        near = numpy.flatnonzero(keys < limit)
        controller_parts.append(numpy.full(len(near), controller))
        endpoint_parts.append(near)
        key_parts.append(keys[near])
    order = numpy.argsort(numpy.concatenate(key_parts))
    return numpy.concatenate(controller_parts)[order], numpy.concatenate(endpoint_parts)[order]


class _Greedy:
    """Takes pairs in order, block by block.

    Within a block, a conductor or node that has more left than pairs in the block cannot run out. Pairs whose
    two ends both cannot are taken at once, the few others one by one.
    """

    def __init__(self, service: Service) -> None:
        self.seats_left = service.seats.copy()
        self.places_left = service.places.copy()
        self.zones = service.zones
        self.several_zones = bool((self.zones != self.zones[:1]).any())
        self.held = numpy.zeros((len(self.seats_left), len(self.places_left)), dtype=bool)

    def take(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        """Go through the pairs of these conductors and nodes."""
        block = max(_LEAST_BLOCK, len(self.seats_left))
        for start in range(0, len(controllers), block):
            self._take_block(controllers[start : start + block], endpoints[start : start + block])

    def _take_block(self, controllers: numpy.ndarray, endpoints: numpy.ndarray) -> None:
        is_open = (self.seats_left[controllers] > 0) & (self.places_left[endpoints] > 0)
        controllers, endpoints = controllers[is_open], endpoints[is_open]
        controller_is_safe = numpy.bincount(controllers, minlength=len(self.seats_left)) < self.seats_left
        endpoint_is_safe = numpy.bincount(endpoints, minlength=len(self.places_left)) < self.places_left
        is_safe = controller_is_safe[controllers] & endpoint_is_safe[endpoints]
        for controller, endpoint in zip(
            controllers[~is_safe].tolist(), endpoints[~is_safe].tolist(), strict=True
        ):
            self._take_one(controller, endpoint)
        self.held[controllers[is_safe], endpoints[is_safe]] = True
        self.seats_left -= numpy.bincount(controllers[is_safe], minlength=len(self.seats_left))
        self.places_left -= numpy.bincount(endpoints[is_safe], minlength=len(self.places_left))

    def _take_one(self, controller: int, endpoint: int) -> None:
        seats, places = self.seats_left[controller], self.places_left[endpoint]
        if not seats or not places or (seats == 1 and self._is_one_zone_more(controller, endpoint)):
            return
        self.held[controller, endpoint] = True
        self.seats_left[controller] = seats - 1
        self.places_left[endpoint] = places - 1

    def _is_one_zone_more(self, controller: int, endpoint: int) -> bool:
        """Whether a conductor that may have nodes in two zones has, with this one, all in one zone."""
        zones = self.zones[self.held[controller]]
        return self.several_zones and len(zones) > 0 and bool((zones == self.zones[endpoint]).all())
