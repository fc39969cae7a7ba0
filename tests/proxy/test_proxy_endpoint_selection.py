"""Endpoint selection: exact probabilities of two weighted draws, in-flight counts, attempted endpoints."""

from collections import Counter
from random import Random

from oatcart.proxy.endpoint_selection import (
    EndpointSelector,
    idle_selection_probability,
    selection_probabilities,
)

CHI_SQUARE_3_DEGREES = 16.3  # exceeded with a probability of one in a thousand
CHI_SQUARE_1_DEGREE = 10.8


def chi_square(observed, probabilities, count):
    return sum(
        (observed[name] - share * count) ** 2 / (share * count) for name, share in probabilities.items()
    )


def test_draws_have_the_exact_probabilities_of_two_choices():
    weights, count = {"a": 1.0, "b": 2.0, "c": 5.0, "d": 12.0}, 40_000
    selector = EndpointSelector(Random(5).random)
    observed = Counter(selector.select(weights) for _ in range(count))
    assert chi_square(observed, selection_probabilities(weights), count) < CHI_SQUARE_3_DEGREES
    selector.in_flight = {"b": 1, "c": 1, "d": 1}
    share = idle_selection_probability(weights, "a")
    observed = Counter(selector.select(weights) == "a" for _ in range(count))
    assert chi_square(observed, {True: share, False: 1 - share}, count) < CHI_SQUARE_1_DEGREE


def test_fewer_in_flight_is_preferred_and_attempted_endpoints_are_avoided():
    selector = EndpointSelector(Random(1).random)
    selector.attempt_started("a")
    # both are drawn, b has nothing in flight
    assert {selector.select({"a": 9.0, "b": 1.0}) for _ in range(50)} == {"b"}
    assert selector.select({"a": 1.0}) == "a" and selector.select({}) is None
    assert {selector.select({"a": 1.0, "b": 1.0, "c": 1.0}, {"b", "c"}) for _ in range(20)} == {"a"}
    assert selector.select({"a": 1.0}, {"a"}) == "a"
    selector.attempt_ended("a")
    selector.attempt_ended("a")
    assert selector.in_flight == {}
