"""How many holders each endpoint of a service is expected to have, and how many it may have at most.

The quotas that controllers have for a service are shared among its endpoints in proportion to their weights.
An endpoint that would get more holders than there are controllers gets all of them, and the rest is shared
among the others.
"""

import numpy


def expected_holders(weights: numpy.ndarray, quota_sum: int, controllers: int) -> numpy.ndarray:
    """The proportional number of holders of each endpoint, if `controllers` controllers have quotas of
    `quota_sum` endpoints in all.

    >>> expected_holders(numpy.array([1.0, 1.0, 8.0]), 6, 3).tolist()
    [1.5, 1.5, 3.0]
    """
    expected = numpy.zeros(len(weights))
    is_open = numpy.ones(len(weights), dtype=bool)
    quota_left = float(quota_sum)
    while is_open.any():
        expected[is_open] = weights[is_open] * (quota_left / weights[is_open].sum())
        is_capped = is_open & (expected >= controllers)
        if not is_capped.any():
            break
        expected[is_capped] = controllers
        is_open &= ~is_capped
        quota_left -= controllers * int(is_capped.sum())
    return expected


def max_holders(
    expected: numpy.ndarray, controllers: int, overload: float, rounding_offsets: numpy.ndarray
) -> numpy.ndarray:
    """The limit of each endpoint's holders: `overload` times the expected number, rounded down, but at least
    the expected number rounded up.

    `rounding_offsets`, from 0 up to 1 for each endpoint, decide where its limit steps from one whole number
    to the next: one controller or endpoint more shifts the limits of a few endpoints, not of all at once.
    """
    limits = numpy.maximum(numpy.floor(expected * overload - rounding_offsets), numpy.ceil(expected))
    return numpy.minimum(limits, controllers).astype(numpy.int64)
