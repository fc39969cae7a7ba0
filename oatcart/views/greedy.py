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
_NO_ZONE_YET = -1
_SEVERAL_ZONES = -2


class Service(NamedTuple):
    """One service's conductors and nodes, as arrays of one entry each."""

    viewer_hashes: numpy.ndarray  # uint64
    seats: numpy.ndarray  # int64
    member_hashes: numpy.ndarray  # uint64
    sizes: numpy.ndarray  # float64
    zones: numpy.ndarray  # int64, any numbering from 0 up
    places: numpy.ndarray  # int64, the most holders of each node


def match_all(service: Service) -> numpy.ndarray:
    """Who holds whom: True at [conductor, node] for each pair taken."""
    depth = _FIRST_DEPTH * service.seats.max(initial=0) + _LEAST_CANDIDATES
    while True:
        limit = depth / service.sizes.sum()
        viewers, members, keys = _candidates(service, limit)
        held, seats_left = _take(service, viewers, members, keys)
        if not seats_left.any() or len(keys) == held.size:
            return held
        depth *= _DEEPER


def _candidates(service: Service, limit: float) -> tuple[numpy.ndarray, numpy.ndarray, numpy.ndarray]:
    """All pairs with a key below the limit, from the smallest key up."""
    viewer_parts, key_parts, member_parts = [], [], []
    for viewer, viewer_hash in enumerate(service.viewer_hashes):
        keys = pair_keys(viewer_hash, service.member_hashes, service.sizes)
        near = numpy.flatnonzero(keys < limit)
        viewer_parts.append(numpy.full(len(near), viewer))
        member_parts.append(near)
        key_parts.append(keys[near])
    keys = numpy.concatenate(key_parts)
    order = numpy.argsort(keys, kind="stable")
    return numpy.concatenate(viewer_parts)[order], numpy.concatenate(member_parts)[order], keys[order]


def _take(
    service: Service, viewers: numpy.ndarray, members: numpy.ndarray, keys: numpy.ndarray
) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Goes through the pairs in order; who holds whom, and the seats left over."""
    del keys
    seats_left = service.seats.tolist()
    places_left = service.places.tolist()
    zone_of = service.zones.tolist()
    several_zones = len(set(zone_of)) > 1
    only_zone = [_NO_ZONE_YET if several_zones else _SEVERAL_ZONES] * len(seats_left)
    taken = []
    for index, (viewer, member) in enumerate(zip(viewers.tolist(), members.tolist(), strict=True)):
        seats = seats_left[viewer]
        if not seats or not places_left[member]:
            continue
        zone = zone_of[member]
        if only_zone[viewer] != _SEVERAL_ZONES:
            if only_zone[viewer] == _NO_ZONE_YET:
                only_zone[viewer] = zone
            elif only_zone[viewer] != zone:
                only_zone[viewer] = _SEVERAL_ZONES
            elif seats == 1:
                continue
        seats_left[viewer] = seats - 1
        places_left[member] -= 1
        taken.append(index)
    held = numpy.zeros((len(seats_left), len(zone_of)), dtype=bool)
    held[viewers[taken], members[taken]] = True
    return held, numpy.array(seats_left)
