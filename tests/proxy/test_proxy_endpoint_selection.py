"""Endpoint selection: exact probabilities of two weighted draws, in-flight counts, attempted endpoints."""

from collections import Counter
from random import Random

from oatcart.proxy.endpoint_selection import (
    EndpointSelector,
    idle_selection_probability,
    selection_probabilities,
)


def chi_square(found, wanted, count):
    return sum((found[endpoint] - share * count) ** 2 / (share * count) for endpoint, share in wanted.items())


def test_draws_are_the_exact_two_draw_odds():
    """Chi-square at three degrees of freedom; 16.3 is passed once in a thousand. The seed is fixed."""
    weights, count = {"a": 1.0, "b": 2.0, "c": 5.0, "d": 12.0}, 40_000
    one = EndpointSelector(Random(5).random)
    assert (
        chi_square(
            Counter(one.select(weights) for _ in range(count)), selection_probabilities(weights), count
        )
        < 16.3
    )
    one.in_flight = {"b": 1, "c": 1, "d": 1}
    share = idle_selection_probability(weights, "a")
    found = Counter(one.select(weights) == "a" for _ in range(count))
    assert chi_square(found, {True: share, False: 1 - share}, count) < 10.8


def test_less_of_its_own_work_one_line_left_and_who_was_tried():
    one = EndpointSelector(Random(1).random)
    one.request_started("a")
    assert {one.select({"a": 9.0, "b": 1.0}) for _ in range(50)} == {"b"}  # both are drawn, b is idle
    assert one.select({"a": 1.0}) == "a" and one.select({}) is None
    assert {one.select({"a": 1.0, "b": 1.0, "c": 1.0}, {"b", "c"}) for _ in range(20)} == {"a"}
    assert one.select({"a": 1.0}, {"a"}) == "a"
    one.request_ended("a")
    one.request_ended("a")
    assert one.in_flight == {}
