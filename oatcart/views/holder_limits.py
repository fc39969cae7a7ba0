"""How many conductors a node of a service is meant to be told to, and how many at most.

The seats that conductors have for a service are shared in proportion to the nodes' sizes; a node that would
get more holders than there are conductors gets them all, and the rest is shared among the others.
"""

import numpy


def expected_holders(weights: numpy.ndarray, seats: int, controllers: int) -> numpy.ndarray:
    """The proportional number of holders of each node, for `seats` seats in all of `controllers` conductors.

    >>> expected_holders(numpy.array([1.0, 1.0, 8.0]), 6, 3).tolist()
    [1.5, 1.5, 3.0]
    """
    expected = numpy.zeros(len(weights))
    open_endpoints = numpy.ones(len(weights), dtype=bool)
    seats_left = float(seats)
    while open_endpoints.any():
        expected[open_endpoints] = weights[open_endpoints] * (seats_left / weights[open_endpoints].sum())
        beyond = open_endpoints & (expected >= controllers)
        if not beyond.any():
            break
        expected[beyond] = controllers
        open_endpoints &= ~beyond
        seats_left -= controllers * int(beyond.sum())
    return expected


def max_holders(
    expected: numpy.ndarray, controllers: int, overload: float, rounding_offsets: numpy.ndarray
) -> numpy.ndarray:
    """The bound on each node's holders: `overload` times the expected number, and at least that number
    rounded up.

    `rounding`, from 0 up to 1 for each node, decides where its bound steps down to a whole number, so that a
    conductor or node that comes or goes shifts the bounds of a few nodes only, not of all at once.
    """
    bound = numpy.maximum(numpy.floor(expected * overload - rounding_offsets), numpy.ceil(expected))
    return numpy.minimum(bound, controllers).astype(numpy.int64)
