"""The matching of one service kept up to date: who of many conductors holds which nodes.

The outcome is the one of `greedy.match_all` for the records as they are, whatever came before. A change is
settled by mending only what it disturbed: a conductor with a seat left takes the best nodes that let it in,
and a node with a place left takes the best conductors that want it, until nothing is left to mend. Each step
replaces a pair by one with a smaller key, so this ends; and as the stable matching is unique, it ends where
going through all pairs would end.
"""

from collections.abc import Iterator
from typing import NamedTuple

import numpy

from oatcart.views.greedy import ServiceArrays, match_greedily
from oatcart.views.holder_limits import expected_holders, max_holders
from oatcart.views.keys import name_hash, pair_keys, unit_hash
from oatcart.views.name_index import NameIndex
from oatcart.views.records import Endpoint

_NO_ZONE = -1
_GROWTH = 1.25  # of arrays that are too short
_LEAST_ROOM = 8


class Spread(NamedTuple):
    """The ready nodes that a conductor holds, and their zones (2: two or more)."""

    ready: int
    zones: int


class Matching:
    """Conductors with seats, nodes with places, and the pairs of them that hold.

    `add_*`, `remove_*` and `resize_controller` note changes, `settle` or `rebuild` works them out. `touched`
    are the conductors that may hold other nodes than before; who reads them clears them.
    """

    def __init__(self, overload: float, seed: int) -> None:
        self._overload = overload
        self._seed = seed
        self.controllers = NameIndex()
        self.endpoints = NameIndex()
        self.changed: set[str] = set()
        self._zone_numbers: dict[tuple[str, str], int] = {}
        self._several_zones = False  # whether the service has nodes in two zones or more
        self._seekers: set[int] = set()  # conductors with a seat left
        self._freed: set[int] = set()  # nodes with a place left that some conductor may want

        self._controller_hashes = numpy.zeros(0, dtype=numpy.uint64)
        self._seats = numpy.zeros(0, dtype=numpy.int64)  # 0: the number is free
        self._bounds = numpy.zeros(0)  # a conductor wants a node with a smaller key than this

        self._endpoint_hashes = numpy.zeros(0, dtype=numpy.uint64)
        self._sizes = numpy.ones(0)
        self._zones = numpy.zeros(0, dtype=numpy.int64)  # _NO_ZONE: the number is free
        self._roundings = numpy.zeros(0)
        self._ready = numpy.zeros(0, dtype=bool)  # no matter to the matching
        self._places = numpy.zeros(0, dtype=numpy.int64)
        self._loads = numpy.zeros(0, dtype=numpy.int64)  # holders
        self._admits = numpy.zeros(0)  # a node lets in a conductor with a smaller key than this

        self._held = numpy.zeros((0, 0), dtype=bool)

    # What holds.

    def endpoints_of(self, name: str) -> list[str]:
        """The nodes that a conductor holds."""
        nodes = numpy.flatnonzero(self._held[self.controllers.index_of[name]])
        return list(map(self.endpoints.names.__getitem__, nodes.tolist()))

    def spread_of(self, name: str) -> Spread:
        """How many ready nodes a conductor holds, and in how many zones."""
        controller = self.controllers.index_of[name]
        ready = numpy.flatnonzero(self._held[controller] & self._ready)
        zones = self._zones[ready]
        several_zones = bool((zones != zones[:1]).any())
        return Spread(len(ready), min(len(ready), 1 + several_zones))

    def holders_of(self, endpoint_id: str) -> list[str]:
        """The conductors that hold a node."""
        controllers = numpy.flatnonzero(self._held[:, self.endpoints.index_of[endpoint_id]])
        return list(map(self.controllers.names.__getitem__, controllers.tolist()))

    def unheld_endpoints(self) -> list[str]:
        """The nodes that no conductor holds."""
        nodes = numpy.flatnonzero((self._zones != _NO_ZONE) & (self._loads == 0))
        return [self.endpoints.names[node] for node in nodes.tolist()]

    def holder_count(self, endpoint_id: str) -> int:
        """How many conductors hold a node."""
        return int(self._loads[self.endpoints.index_of[endpoint_id]])

    def keys_of_controller(self, name: str, endpoint_ids: list[str]) -> list[float]:
        """The keys of one conductor's pairs with these nodes."""
        nodes = numpy.array(
            [self.endpoints.index_of[endpoint_id] for endpoint_id in endpoint_ids], dtype=numpy.int64
        )
        return self._keys(self.controllers.index_of[name], nodes).tolist()

    def keys_of_endpoint(self, endpoint_id: str) -> Iterator[tuple[float, str]]:
        """The key and the name of each conductor with seats, for one node."""
        keys = self._keys(slice(None), self.endpoints.index_of[endpoint_id])
        for name, controller in self.controllers.index_of.items():
            yield float(keys[controller]), name

    # Changes.

    def add_controller(self, name: str, seats: int) -> None:
        """A conductor comes with this many seats, at least one."""
        controller = self.controllers.allocate(name)
        self._make_room()
        self._controller_hashes[controller] = name_hash("viewer", name, self._seed)
        self._seats[controller] = seats
        self._bounds[controller] = numpy.inf
        self._seekers.add(controller)
        self.changed.add(name)

    def remove_controller(self, name: str) -> None:
        """A conductor goes, and its places are free again."""
        controller = self.controllers.release(name)
        self._release_all(controller)
        self._seats[controller] = 0
        self._bounds[controller] = -numpy.inf
        self._seekers.discard(controller)
        self.changed.discard(name)

    def resize_controller(self, name: str, seats: int) -> None:
        """A conductor has another number of seats, and chooses anew."""
        controller = self.controllers.index_of[name]
        self._seats[controller] = seats
        self._seek(controller)

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """A node comes."""
        node = self.endpoints.allocate(endpoint.id)
        self._make_room()
        zone = self._zone_numbers.setdefault((endpoint.region, endpoint.zone), len(self._zone_numbers))
        self._endpoint_hashes[node] = name_hash("member", endpoint.id, self._seed)
        self._sizes[node] = endpoint.size
        self._zones[node] = zone
        self._roundings[node] = unit_hash("rounding", endpoint.id, self._seed)
        self._ready[node] = endpoint.ready
        self._admits[node] = numpy.inf
        self._freed.add(node)

    def set_ready(self, endpoint_id: str, ready: bool) -> None:
        """A node is ready, or drains; the matching stays as it is."""
        self._ready[self.endpoints.index_of[endpoint_id]] = ready

    def remove_endpoint(self, endpoint_id: str) -> None:
        """A node goes, and its holders have a seat left."""
        node = self.endpoints.release(endpoint_id)
        for controller in numpy.flatnonzero(self._held[:, node]).tolist():
            self._seek(controller)
        self._held[:, node] = False
        self._loads[node] = 0
        self._places[node] = 0
        self._zones[node] = _NO_ZONE
        self._admits[node] = -numpy.inf
        self._freed.discard(node)

    # Working them out.

    def rebuild(self) -> None:
        """Match all anew; `touched` are then the conductors that hold other nodes than before."""
        controllers = numpy.flatnonzero(self._seats)
        nodes = numpy.flatnonzero(self._zones != _NO_ZONE)
        self._set_places()
        service = ServiceArrays(
            self._controller_hashes[controllers],
            self._seats[controllers],
            self._endpoint_hashes[nodes],
            self._sizes[nodes],
            self._zones[nodes],
            self._places[nodes],
        )
        before = self._held
        self._held = numpy.zeros_like(before)
        if len(controllers) and len(nodes):
            self._held[numpy.ix_(controllers, nodes)] = match_greedily(service)
        for controller in numpy.flatnonzero((before != self._held).any(axis=1)).tolist():
            self._touch(controller)
        self._seekers.clear()
        self._freed.clear()
        self._measure()

    def settle(self) -> None:
        """Mend what the changes since the last time disturbed."""
        had_several_zones = self._several_zones
        self._set_places()
        if self._several_zones != had_several_zones:
            self.rebuild()
            return
        for node in numpy.flatnonzero(self._loads > self._places).tolist():
            while self._loads[node] > self._places[node]:
                self._evict_worst(node)
            self._measure_node(node)
        has_room = self._loads < self._places
        self._freed.update(numpy.flatnonzero(has_room & numpy.isfinite(self._admits)).tolist())
        self._admits[has_room] = numpy.inf
        for node in numpy.flatnonzero(~has_room & numpy.isposinf(self._admits)).tolist():
            self._measure_node(node)
        while self._seekers or self._freed:
            if self._seekers:
                self._fill_controller(self._seekers.pop())
            else:
                self._fill_node(self._freed.pop())

    def _fill_controller(self, controller: int) -> None:
        """A conductor chooses anew among the nodes that it holds and those that let it in."""
        keys = self._keys(controller, slice(None))
        held = self._held[controller]
        keys[~held & (keys >= self._admits)] = numpy.inf
        chosen = self._choice(keys, int(self._seats[controller]))
        is_chosen = numpy.zeros_like(held)
        is_chosen[chosen] = True
        for node in numpy.flatnonzero(held & ~is_chosen).tolist():
            self._part(controller, node)
        for node in numpy.flatnonzero(~held & is_chosen).tolist():
            self._pair(controller, node)
            if self._loads[node] > self._places[node]:
                self._evict_worst(node)
            self._measure_node(node)
        self._measure_controller(controller)

    def _choice(self, keys: numpy.ndarray, seats: int) -> numpy.ndarray:
        """The nodes of the smallest finite keys; where all were in one zone, the last is of another zone or
        none."""
        nearest = _smallest(keys, seats)
        zones = self._zones[nearest]
        if not self._several_zones or seats < 2 or len(nearest) < seats or (zones != zones[0]).any():
            return nearest
        elsewhere = numpy.where(self._zones != zones[0], keys, numpy.inf)
        return numpy.concatenate([nearest[:-1], _smallest(elsewhere, 1)])

    def _fill_node(self, node: int) -> None:
        """A node takes the best conductors that want it, also in place of holders that came to it
        meanwhile."""
        self._measure_node(node)
        keys = self._keys(slice(None), node)
        keys[self._held[:, node] | (keys >= self._bounds) | (keys >= self._admits[node])] = numpy.inf
        for controller in _smallest(keys, len(keys)).tolist():
            if keys[controller] >= self._admits[node]:
                break
            if self._take_instead(controller, node, keys[controller]):
                if self._loads[node] > self._places[node]:
                    self._evict_worst(node)
                if self._loads[node] == self._places[node]:
                    self._measure_node(node)

    def _take_instead(self, controller: int, node: int, key: float) -> bool:
        """A conductor takes a node in a free seat or in place of a worse one; False where neither can be."""
        rivals = self._rivals(controller, node)
        if len(rivals):
            rival_keys = self._keys(controller, rivals)
            worst = int(numpy.argmax(rival_keys))
            if rival_keys[worst] <= key:
                return False
            self._part(controller, int(rivals[worst]))
        self._pair(controller, node)
        self._measure_controller(controller)
        return True

    def _rivals(self, controller: int, node: int) -> numpy.ndarray:
        """The nodes of which the conductor would give one up for this node; none where it has a seat for
        it."""
        held = numpy.flatnonzero(self._held[controller])
        seats = int(self._seats[controller])
        if self._several_zones and seats > 1:
            same_zone = held[self._zones[held] == self._zones[node]]
            if len(same_zone) == seats - 1:
                return same_zone
        return held if len(held) == seats else held[:0]

    def _evict_worst(self, node: int) -> None:
        """The holder with the largest key gives the node up and seeks another."""
        holders = numpy.flatnonzero(self._held[:, node])
        worst = int(holders[numpy.argmax(self._keys(holders, node))])
        self._held[worst, node] = False
        self._loads[node] -= 1
        self._seek(worst)

    def _pair(self, controller: int, node: int) -> None:
        self._held[controller, node] = True
        self._loads[node] += 1
        self._touch(controller)

    def _part(self, controller: int, node: int) -> None:
        """A conductor gives up a node, whose place others may have wanted if it was full."""
        self._held[controller, node] = False
        self._loads[node] -= 1
        if numpy.isfinite(self._admits[node]):
            self._admits[node] = numpy.inf
            self._freed.add(node)
        self._touch(controller)

    def _release_all(self, controller: int) -> None:
        for node in numpy.flatnonzero(self._held[controller]).tolist():
            self._part(controller, node)

    def _seek(self, controller: int) -> None:
        self._seekers.add(controller)
        self._bounds[controller] = numpy.inf
        self._touch(controller)

    def _touch(self, controller: int) -> None:
        name = self.controllers.names[controller]
        if name is not None:
            self.changed.add(name)

    # Sums kept beside the pairs.

    def _keys(self, controllers: object, nodes: object) -> numpy.ndarray:
        return pair_keys(
            self._controller_hashes[controllers], self._endpoint_hashes[nodes], self._sizes[nodes]
        )

    def _set_places(self) -> None:
        nodes = self._zones != _NO_ZONE
        zones = self._zones[nodes]
        self._several_zones = bool((zones != zones[:1]).any())
        controllers = int(numpy.count_nonzero(self._seats))
        expected = expected_holders(self._sizes[nodes], int(self._seats.sum()), controllers)
        self._places[nodes] = max_holders(expected, controllers, self._overload, self._roundings[nodes])

    def _measure_controller(self, controller: int) -> None:
        held = numpy.flatnonzero(self._held[controller])
        is_full = len(held) >= self._seats[controller]
        self._bounds[controller] = (
            self._keys(controller, held).max(initial=-numpy.inf) if is_full else numpy.inf
        )

    def _measure_node(self, node: int) -> None:
        if self._loads[node] < self._places[node]:
            self._admits[node] = numpy.inf
        else:
            holders = numpy.flatnonzero(self._held[:, node])
            self._admits[node] = self._keys(holders, node).max(initial=-numpy.inf)

    def _measure(self) -> None:
        """Loads, bounds and what nodes let in, for all at once."""
        controllers, nodes = numpy.nonzero(self._held)
        keys = self._keys(controllers, nodes)
        self._loads = self._held.sum(axis=0, dtype=numpy.int64)
        counts = self._held.sum(axis=1)
        self._bounds[:] = -numpy.inf
        numpy.maximum.at(self._bounds, controllers, keys)
        self._bounds[counts < self._seats] = numpy.inf
        self._admits[:] = -numpy.inf
        numpy.maximum.at(self._admits, nodes, keys)
        self._admits[self._loads < self._places] = numpy.inf

    def _make_room(self) -> None:
        """Arrays as long as there are numbers, and somewhat longer when they grow."""
        controllers, nodes = self._held.shape
        if len(self.controllers.names) > controllers:
            controllers = _roomy(len(self.controllers.names))
        if len(self.endpoints.names) > nodes:
            nodes = _roomy(len(self.endpoints.names))
        if (controllers, nodes) == self._held.shape:
            return
        held = numpy.zeros((controllers, nodes), dtype=bool)
        held[: self._held.shape[0], : self._held.shape[1]] = self._held
        self._held = held
        self._controller_hashes = _grown(self._controller_hashes, controllers, 0)
        self._seats = _grown(self._seats, controllers, 0)
        self._bounds = _grown(self._bounds, controllers, -numpy.inf)
        self._endpoint_hashes = _grown(self._endpoint_hashes, nodes, 0)
        self._sizes = _grown(self._sizes, nodes, 1.0)
        self._zones = _grown(self._zones, nodes, _NO_ZONE)
        self._roundings = _grown(self._roundings, nodes, 0.0)
        self._ready = _grown(self._ready, nodes, False)
        self._places = _grown(self._places, nodes, 0)
        self._loads = _grown(self._loads, nodes, 0)
        self._admits = _grown(self._admits, nodes, -numpy.inf)


def _roomy(count: int) -> int:
    return int(_GROWTH * count) + _LEAST_ROOM


def _grown(array: numpy.ndarray, length: int, fill: float) -> numpy.ndarray:
    grown = numpy.full(length, fill, dtype=array.dtype)
    grown[: len(array)] = array
    return grown


def _smallest(keys: numpy.ndarray, count: int) -> numpy.ndarray:
    """The numbers of the `count` smallest finite keys, from the smallest up; fewer where fewer are finite."""
    finite = numpy.flatnonzero(numpy.isfinite(keys))
    if len(finite) > count:
        finite = finite[numpy.argpartition(keys[finite], count)[:count]]
    return finite[numpy.argsort(keys[finite])]
