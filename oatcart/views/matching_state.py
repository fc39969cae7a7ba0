"""The arrays of one service's matching: a row for each controller, a column for each endpoint.

Besides the matrix of assigned pairs it has a threshold for each controller and endpoint: pairs with keys
above it cannot be assigned. So a repair examines few pairs.
"""

import numpy

from oatcart.views.holder_limits import expected_holders, max_holders
from oatcart.views.keys import pair_keys
from oatcart.views.name_index import NameIndex

NO_ZONE = -1  # zone of a free column
_GROWTH = 1.25  # factor by which too short arrays grow
_MIN_SPARE = 8  # elements


class MatchingState:
    """Rows of controllers, columns of endpoints and the assigned pairs. A free row has quota 0, a free column
    has zone `NO_ZONE`."""

    def __init__(self) -> None:
        self.controllers = NameIndex()
        self.endpoints = NameIndex()
        self.changed: set[str] = set()  # controllers whose endpoints may have changed
        self.unfilled_rows: set[int] = set()  # controllers that may get more or other endpoints
        self.reopened_columns: set[int] = set()  # endpoints that may get more holders
        self.has_several_zones = False

        self.controller_hashes = numpy.zeros(0, dtype=numpy.uint64)
        self.quotas = numpy.zeros(0, dtype=numpy.int64)
        self.row_thresholds = numpy.zeros(0)

        self.endpoint_hashes = numpy.zeros(0, dtype=numpy.uint64)
        self.weights = numpy.ones(0)
        self.zones = numpy.zeros(0, dtype=numpy.int64)
        self.rounding_offsets = numpy.zeros(0)
        self.is_ready = numpy.zeros(0, dtype=bool)
        self.holder_limits = numpy.zeros(0, dtype=numpy.int64)
        self.holder_counts = numpy.zeros(0, dtype=numpy.int64)
        self.column_thresholds = numpy.zeros(0)

        self.assigned = numpy.zeros((0, 0), dtype=bool)

    def keys(self, rows: object, columns: object) -> numpy.ndarray:
        """The keys of pairs; `rows` and `columns` are any numpy indices."""
        return pair_keys(self.controller_hashes[rows], self.endpoint_hashes[columns], self.weights[columns])

    def endpoint_names(self, columns: numpy.ndarray) -> list[str]:
        """The ids of the endpoints of these columns."""
        return list(map(self.endpoints.names.__getitem__, columns.tolist()))

    def assign(self, row: int, column: int) -> None:
        """Assigns a pair."""
        self.assigned[row, column] = True
        self.holder_counts[column] += 1
        self.mark_changed(row)

    def release(self, row: int, column: int) -> None:
        """Releases a pair. The endpoint is reopened if its holder limit may have excluded other
        controllers."""
        self.assigned[row, column] = False
        self.holder_counts[column] -= 1
        if numpy.isfinite(self.column_thresholds[column]):
            self.column_thresholds[column] = numpy.inf
            self.reopened_columns.add(column)
        self.mark_changed(row)

    def evict_last_holder(self, column: int) -> None:
        """Releases the holder with the largest key, whose endpoints are then selected again."""
        holders = numpy.flatnonzero(self.assigned[:, column])
        last = int(holders[numpy.argmax(self.keys(holders, column))])
        self.assigned[last, column] = False
        self.holder_counts[column] -= 1
        self.mark_unfilled(last)

    def mark_unfilled(self, row: int) -> None:
        """Records that the endpoints of a controller must be selected again."""
        self.unfilled_rows.add(row)
        self.row_thresholds[row] = numpy.inf
        self.mark_changed(row)

    def mark_changed(self, row: int) -> None:
        """Records that the endpoints of a controller may have changed."""
        name = self.controllers.names[row]
        if name is not None:
            self.changed.add(name)

    def update_holder_limits(self, overload: float) -> None:
        """Computes the holder limits, and whether there are several zones, from the current records."""
        columns = self.zones != NO_ZONE
        zones = self.zones[columns]
        self.has_several_zones = bool((zones != zones[:1]).any())
        controllers = int(numpy.count_nonzero(self.quotas))
        expected = expected_holders(self.weights[columns], int(self.quotas.sum()), controllers)
        offsets = self.rounding_offsets[columns]
        self.holder_limits[columns] = max_holders(expected, controllers, overload, offsets)

    def update_row_threshold(self, row: int) -> None:
        """Sets a controller's threshold: its largest key if its quota is filled, else infinite."""
        columns = numpy.flatnonzero(self.assigned[row])
        is_filled = len(columns) >= self.quotas[row]
        largest = self.keys(row, columns).max(initial=-numpy.inf) if is_filled else numpy.inf
        self.row_thresholds[row] = largest

    def update_column_threshold(self, column: int) -> None:
        """Sets an endpoint's threshold: its largest key if its holder limit is reached, else infinite."""
        if self.holder_counts[column] < self.holder_limits[column]:
            self.column_thresholds[column] = numpy.inf
        else:
            holders = numpy.flatnonzero(self.assigned[:, column])
            self.column_thresholds[column] = self.keys(holders, column).max(initial=-numpy.inf)

    def update_all_thresholds(self) -> None:
        """Computes the holder counts, and the thresholds of all rows and columns."""
        rows, columns = numpy.nonzero(self.assigned)
        keys = self.keys(rows, columns)
        self.holder_counts = self.assigned.sum(axis=0, dtype=numpy.int64)
        counts = self.assigned.sum(axis=1)
        self.row_thresholds[:] = -numpy.inf
        numpy.maximum.at(self.row_thresholds, rows, keys)
        self.row_thresholds[counts < self.quotas] = numpy.inf
        self.column_thresholds[:] = -numpy.inf
        numpy.maximum.at(self.column_thresholds, columns, keys)
        self.column_thresholds[self.holder_counts < self.holder_limits] = numpy.inf

    def grow(self) -> None:
        """Extends the arrays, with spare elements, if they are too short for the indices in use."""
        rows, columns = self.assigned.shape
        if len(self.controllers.names) > rows:
            rows = _with_spare(len(self.controllers.names))
        if len(self.endpoints.names) > columns:
            columns = _with_spare(len(self.endpoints.names))
        if (rows, columns) == self.assigned.shape:
            return
        assigned = numpy.zeros((rows, columns), dtype=bool)
        assigned[: self.assigned.shape[0], : self.assigned.shape[1]] = self.assigned
        self.assigned = assigned
        self.controller_hashes = _grown(self.controller_hashes, rows, 0)
        self.quotas = _grown(self.quotas, rows, 0)
        self.row_thresholds = _grown(self.row_thresholds, rows, -numpy.inf)
        self.endpoint_hashes = _grown(self.endpoint_hashes, columns, 0)
        self.weights = _grown(self.weights, columns, 1.0)
        self.zones = _grown(self.zones, columns, NO_ZONE)
        self.rounding_offsets = _grown(self.rounding_offsets, columns, 0.0)
        self.is_ready = _grown(self.is_ready, columns, False)
        self.holder_limits = _grown(self.holder_limits, columns, 0)
        self.holder_counts = _grown(self.holder_counts, columns, 0)
        self.column_thresholds = _grown(self.column_thresholds, columns, -numpy.inf)


def _with_spare(count: int) -> int:
    return int(_GROWTH * count) + _MIN_SPARE


def _grown(array: numpy.ndarray, length: int, fill: float) -> numpy.ndarray:
    grown = numpy.full(length, fill, dtype=array.dtype)
    grown[: len(array)] = array
    return grown
