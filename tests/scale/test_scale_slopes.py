"""Fits find the form of generated costs; a proof holds only if the prediction is close to the cost."""

import math
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcart.scale.measurement import Measurement
from oatcart.scale.slopes import (
    Form,
    Point,
    TooFewSizesError,
    analyse,
    fit,
    points_of,
    prove,
    relative_error,
)

SIZES = (500, 1_500, 4_000, 9_000, 18_000, 27_000)
COSTS: dict[Form, Callable[[float], float]] = {
    Form.CONSTANT: lambda size: 3.0,
    Form.LINEAR: lambda size: 1.0 + 0.01 * size,
    Form.N_LOG_N: lambda size: 1.0 + 0.001 * size * math.log(size),
    Form.QUADRATIC: lambda size: 1.0 + 1e-6 * size**2,
}


def points(cost: Callable[[float], float], sizes: tuple[int, ...] = SIZES) -> list[Point]:
    """Returns the cost at each size."""
    return [Point(size, cost(size)) for size in sizes]


@pytest.mark.parametrize("form", COSTS)
def test_the_form_of_an_exact_cost_is_found_and_proved(form):
    data = points(COSTS[form])
    assert fit(data).form is form
    proof = prove(data)
    assert proof.slope.form is form
    assert (proof.size, proof.is_proved) == (27_000, True)
    assert proof.predicted == pytest.approx(COSTS[form](27_000))


@pytest.mark.parametrize("form", COSTS)
def test_with_one_percent_noise_predictions_are_within_five_percent(form):
    noise = random.Random(1)
    for _ in range(50):
        data = points(lambda size: COSTS[form](size) * noise.gauss(1.0, 0.01))
        assert prove(data).relative_error < 0.05


def test_true_coefficients_are_within_four_standard_errors():
    noise = random.Random(2)
    data = [Point(size, 1.0 + 0.01 * size + noise.gauss(0.0, 2.0)) for size in range(500, 27_000, 100)]
    slope = fit(data)
    assert slope.form is Form.LINEAR
    assert slope.growth is not None
    assert abs(slope.growth.value - 0.01) < 4 * slope.growth.standard_error < 0.001
    assert abs(slope.constant.value - 1.0) < 4 * slope.constant.standard_error < 2.0
    assert slope.residual == pytest.approx(2.0, rel=0.15)
    assert slope.leave_out_residual > slope.residual


def test_standard_errors_match_the_textbook_formula():
    slope = fit([Point(1, 1.0), Point(2, 3.0), Point(3, 2.0), Point(4, 5.0), Point(5, 4.0)])
    assert slope.form is Form.LINEAR
    assert slope.growth is not None
    assert slope.growth.value == pytest.approx(0.8)
    assert slope.growth.standard_error == pytest.approx(math.sqrt(3.6 / 3 / 10))
    assert slope.constant.value == pytest.approx(0.6)
    assert slope.residual == pytest.approx(math.sqrt(3.6 / 5))


def test_the_leave_out_residual_equals_refitting_without_each_point():
    data = [Point(1, 1.0), Point(2, 3.5), Point(3, 4.0), Point(4, 9.0), Point(5, 8.0), Point(6, 12.0)]
    slope = fit(data)
    assert slope.form is Form.LINEAR
    errors = []
    for point in data:
        others = [one for one in data if one != point]
        mean_size = sum(one.size for one in others) / 5
        mean_cost = sum(one.cost for one in others) / 5
        growth = sum((one.size - mean_size) * (one.cost - mean_cost) for one in others) / sum(
            (one.size - mean_size) ** 2 for one in others
        )
        errors.append(point.cost - mean_cost - growth * (point.size - mean_size))
    assert slope.leave_out_residual == pytest.approx(math.sqrt(sum(e**2 for e in errors) / 6))


def test_the_product_form_of_two_dimensions_is_found():
    data = [Point(size, 2.0 + 0.1 * size * other, other) for size in SIZES for other in (1, 2, 5)]
    slope = fit(data)
    assert slope.form is Form.PRODUCT
    assert slope.predict(100, 3) == pytest.approx(32.0)


def test_a_second_dimension_without_influence_gets_no_term():
    data = [Point(size, 2.0 + 0.1 * size, other) for size in SIZES for other in (1, 2, 5)]
    assert fit(data).form is Form.LINEAR


def test_a_cost_with_another_growth_at_the_largest_size_is_not_proved():
    data = [*points(COSTS[Form.LINEAR], SIZES[:-1]), Point(27_000, 400.0)]
    proof = prove(data)
    assert proof.measured == 400.0
    assert proof.relative_error == pytest.approx(129.0 / 400.0)
    assert not proof.is_proved


@pytest.mark.parametrize(("largest", "is_proved"), [(226.0, True), (225.0, False)])
def test_a_relative_error_of_a_fifth_is_the_largest_that_is_proved(largest, is_proved):
    data = [*points(COSTS[Form.LINEAR], SIZES[:-1]), Point(27_000, largest)]  # predicted: 271
    assert prove(data).is_proved is is_proved


def test_the_largest_size_is_not_used_for_the_fit_of_its_proof():
    low = [*points(COSTS[Form.LINEAR], SIZES[:-1]), Point(27_000, 1.0)]
    high = [*points(COSTS[Form.LINEAR], SIZES[:-1]), Point(27_000, 1e6)]
    assert prove(low).slope == prove(high).slope


def test_the_median_of_repeats_of_the_largest_size_is_used():
    data = [*points(COSTS[Form.LINEAR]), Point(27_000, 1e9), Point(27_000, 270.0)]
    assert prove(data).measured == pytest.approx(271.0)


def test_costs_of_zero_are_constant_and_proved():
    proof = prove(points(lambda size: 0.0))
    assert proof.slope.form is Form.CONSTANT
    assert (proof.predicted, proof.relative_error, proof.is_proved) == (0.0, 0.0, True)


def test_a_cost_predicted_where_zero_is_measured_has_a_relative_error_of_one():
    data = [*points(COSTS[Form.LINEAR], SIZES[:-1]), Point(27_000, 0.0)]
    assert (prove(data).relative_error, prove(data).is_proved) == (1.0, False)


@pytest.mark.parametrize("count", [0, 1, 3])
def test_too_few_sizes_for_a_fit_are_rejected(count):
    with pytest.raises(TooFewSizesError, match=f"{count} sizes measured; a fit needs 4"):
        fit(points(COSTS[Form.LINEAR], SIZES[:count]))


def test_too_few_sizes_for_a_proof_are_rejected_and_repeats_do_not_count():
    data = points(COSTS[Form.LINEAR], SIZES[:4]) * 3
    assert fit(data).form is Form.LINEAR
    with pytest.raises(TooFewSizesError, match="4 sizes measured; a proof needs 5"):
        prove(data)


@pytest.mark.parametrize("invalid", [Point(0, 1.0), Point(-1, 1.0), Point(5, math.nan), Point(math.inf, 1.0)])
def test_an_invalid_point_is_rejected(invalid):
    with pytest.raises(ValueError, match="expected finite numbers and sizes above 0"):
        fit([*points(COSTS[Form.LINEAR]), invalid])


@given(st.floats(0.0, 1e6), st.floats(1e-3, 1e3))
def test_any_straight_line_is_proved(constant, growth):
    assert prove(points(lambda size: constant + growth * size)).relative_error < 1e-6


@given(
    st.lists(st.just(0.0) | st.floats(1e-9, 1e9), min_size=6, max_size=6),
    st.integers(-20, 20).map(lambda power: 2.0**power),
)
def test_the_unit_of_a_cost_changes_neither_form_nor_relative_error(costs, factor):
    """The factors are powers of two, which cause no rounding, so that ties between forms remain ties."""
    data = [Point(size, cost) for size, cost in zip(SIZES, costs, strict=True)]
    scaled = [Point(point.size, point.cost * factor) for point in data]
    assert fit(data).form is fit(scaled).form
    assert prove(data).relative_error == prove(scaled).relative_error


@given(st.floats(0.0, 1e9), st.floats(0.0, 1e9))
def test_the_relative_error_is_zero_only_for_exact_predictions(measured, predicted):
    error = relative_error(measured, predicted)
    assert error >= 0.0
    assert (error == 0.0) == (measured == predicted)


def test_points_skip_sizes_left_out_and_costs_not_measured():
    measurements = [
        Measurement("nodes", 9, "conductor", core_share=0.2),
        Measurement("nodes", 5, "conductor", core_share=0.1),
        Measurement("nodes", 6, "conductor", resident_mb=1.0),
        Measurement("nodes", 7, "discovery", core_share=0.1),
        Measurement("routes", 8, "conductor", core_share=0.1),
        Measurement("nodes", 10, "conductor", left_out="over a limit"),
    ]
    assert points_of(measurements, "nodes", "conductor", "core_share") == [Point(5, 0.1), Point(9, 0.2)]


def test_analysis_returns_slope_and_proof_or_what_is_missing():
    measurements = [
        Measurement("nodes", size, "conductor", core_share=COSTS[Form.LINEAR](size)) for size in SIZES
    ]
    measurements += [Measurement("nodes", size, "discovery", ready_s=1.0) for size in SIZES[:4]]
    measurements += [Measurement("routes", 10, "conductor", resident_mb=1.0)]
    measurements += [Measurement("tenants", 10, "conductor", left_out="over a limit")]
    proved, unproved, unfitted = analyse(measurements)
    assert (proved.dimension, proved.role, proved.quantity.field) == ("nodes", "conductor", "core_share")
    assert proved.is_proved
    assert proved.missing is None
    assert unproved.slope is not None
    assert (unproved.proof, unproved.is_proved) == (None, False)
    assert unproved.missing == "4 sizes measured; a proof needs 5"
    assert (unfitted.slope, unfitted.missing) == (None, "1 sizes measured; a fit needs 4")
