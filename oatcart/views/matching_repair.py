"""Repairs a matching after a few changes, computing only the affected part again.

A controller with an unfilled quota gets the endpoints with the smallest keys whose thresholds allow the pair,
and an endpoint below its holder limit gets the controllers with the smallest keys whose thresholds allow the
pair, until nothing is left to repair. Each step replaces a pair by one with a smaller key, so this
terminates; as the stable matching is unique, the result is that of `greedy.match_greedily`.
"""

import numpy

from oatcart.views.matching_state import MatchingState


def repair(state: MatchingState) -> None:
    """Repairs the matching in `state`, whose holder limits are up to date."""
    _evict_beyond_limits(state)
    _reopen_below_limits(state)
    while state.unfilled_rows or state.reopened_columns:
        if state.unfilled_rows:
            _fill_quota(state, state.unfilled_rows.pop())
        else:
            _add_holders(state, state.reopened_columns.pop())


def _evict_beyond_limits(state: MatchingState) -> None:
    for column in numpy.flatnonzero(state.holder_counts > state.holder_limits).tolist():
        while state.holder_counts[column] > state.holder_limits[column]:
            state.evict_last_holder(column)
        state.update_column_threshold(column)


def _reopen_below_limits(state: MatchingState) -> None:
    """Updates the thresholds of all endpoints whose holder limits have changed."""
    is_open = state.holder_counts < state.holder_limits
    newly_open = numpy.flatnonzero(is_open & numpy.isfinite(state.column_thresholds))
    state.reopened_columns.update(newly_open.tolist())
    state.column_thresholds[is_open] = numpy.inf
    for column in numpy.flatnonzero(~is_open & numpy.isposinf(state.column_thresholds)).tolist():
        state.update_column_threshold(column)


def _fill_quota(state: MatchingState, row: int) -> None:
    """Selects the endpoints of a controller again, among its own and those whose thresholds allow the
    pair."""
    keys = state.keys(row, slice(None))
    assigned = state.assigned[row]
    keys[~assigned & (keys >= state.column_thresholds)] = numpy.inf
    is_chosen = numpy.zeros_like(assigned)
    is_chosen[_best_columns(state, keys, int(state.quotas[row]))] = True
    for column in numpy.flatnonzero(assigned & ~is_chosen).tolist():
        state.release(row, column)
    for column in numpy.flatnonzero(~assigned & is_chosen).tolist():
        state.assign(row, column)
        if state.holder_counts[column] > state.holder_limits[column]:
            state.evict_last_holder(column)
        state.update_column_threshold(column)
    state.update_row_threshold(row)


def _best_columns(state: MatchingState, keys: numpy.ndarray, quota: int) -> numpy.ndarray:
    """The endpoints with the smallest finite keys. If these were all in one of several zones, the last one is
    replaced by the best of another zone, or left out if there is none."""
    best = _smallest(keys, quota)
    zones = state.zones[best]
    if not state.has_several_zones or quota < 2 or len(best) < quota or (zones != zones[0]).any():
        return best
    other_zone_keys = numpy.where(state.zones != zones[0], keys, numpy.inf)
    return numpy.concatenate([best[:-1], _smallest(other_zone_keys, 1)])


def _add_holders(state: MatchingState, column: int) -> None:
    """Assigns an endpoint to the controllers with the smallest keys whose thresholds allow the pair,
    replacing holders with larger keys."""
    state.update_column_threshold(column)
    keys = state.keys(slice(None), column)
    is_excluded = state.assigned[:, column] | (keys >= state.row_thresholds)
    keys[is_excluded | (keys >= state.column_thresholds[column])] = numpy.inf
    for row in _smallest(keys, len(keys)).tolist():
        if keys[row] >= state.column_thresholds[column]:
            break
        if _try_assign(state, row, column, keys[row]):
            if state.holder_counts[column] > state.holder_limits[column]:
                state.evict_last_holder(column)
            if state.holder_counts[column] == state.holder_limits[column]:
                state.update_column_threshold(column)


def _try_assign(state: MatchingState, row: int, column: int, key: float) -> bool:
    """Assigns an endpoint to a controller, within its quota or in place of an endpoint with a larger key.
    Returns False if neither is possible."""
    replaceable = _replaceable_columns(state, row, column)
    if len(replaceable):
        replaceable_keys = state.keys(row, replaceable)
        last = int(numpy.argmax(replaceable_keys))
        if replaceable_keys[last] <= key:
            return False
        state.release(row, int(replaceable[last]))
    state.assign(row, column)
    state.update_row_threshold(row)
    return True


def _replaceable_columns(state: MatchingState, row: int, column: int) -> numpy.ndarray:
    """The endpoints of which the controller must release one to get this endpoint; empty if its quota is not
    filled."""
    columns = numpy.flatnonzero(state.assigned[row])
    quota = int(state.quotas[row])
    if state.has_several_zones and quota > 1:
        same_zone = columns[state.zones[columns] == state.zones[column]]
        if len(same_zone) == quota - 1:
            return same_zone
    return columns if len(columns) == quota else columns[:0]


def _smallest(keys: numpy.ndarray, count: int) -> numpy.ndarray:
    """The indices of the `count` smallest finite keys in ascending order; fewer if fewer are finite."""
    finite = numpy.flatnonzero(numpy.isfinite(keys))
    if len(finite) > count:
        finite = finite[numpy.argpartition(keys[finite], count)[:count]]
    return finite[numpy.argsort(keys[finite])]
