"""Computes how many holders each endpoint of a service is expected to have, and how many it may have at most.

A holder of an endpoint is a controller that the endpoint is assigned to. The sum of the controllers' quotas
is divided among the endpoints in proportion to their weights. An endpoint whose share exceeds the number of
controllers gets all controllers, and the rest is divided among the other endpoints.
"""

import numpy


def expected_holders(weights: numpy.ndarray, quota_sum: int, controllers: int) -> numpy.ndarray:
    """The number of holders of each endpoint in proportion to its weight. `quota_sum`: the sum of the quotas
    of all `controllers` controllers.

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
    """The maximum number of holders of each endpoint: `overload` times the expected number, rounded down, but
    at least the expected number rounded up.

    `rounding_offsets`, from 0 to below 1, shift for each endpoint the point where its limit goes up to the
    next whole number, so that one more controller or endpoint changes the limits of a few endpoints, not of
    all at once.
    """
    limits = numpy.maximum(numpy.floor(expected * overload - rounding_offsets), numpy.ceil(expected))
    return numpy.minimum(limits, controllers).astype(numpy.int64)
