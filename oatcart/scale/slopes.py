"""Fits how a cost grows with a size, chooses the best form, and proves the fit on a held-out size.

A form is a constant plus one growing term, fitted by least squares. The choice is by the leave-one-out
residual (PRESS, the root mean square of each point's distance from the fit to the other points). Simpler
forms are preferred: a less simple form must be better by a given factor. The proof fits all sizes but the
largest, predicts the cost at the largest size, and compares this with the measured cost.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import numpy
from numpy.typing import NDArray
from scipy import linalg

from oatcart.scale.measurement import QUANTITIES, Measurement, Quantity

MIN_SIZES_TO_FIT = 4
"""The least number of different sizes for a fit."""

MIN_SIZES_TO_PROVE = MIN_SIZES_TO_FIT + 1
"""The least number of different sizes for a proof: those of the fit and the largest, which is held out."""

MAX_PROVED_ERROR = 0.2
"""The largest relative error of a prediction with which a slope counts as proved."""

ROUNDING_TOLERANCE = 1e-9
"""A residual below this share of the largest cost is due to rounding, not to a wrong form."""

Floats = NDArray[numpy.float64]


class TooFewSizesError(ValueError):
    """There are fewer different sizes than a fit or a proof needs."""


class Point(NamedTuple):
    """A cost at a size; `other` is the size of a second dimension, if two dimensions vary."""

    size: float
    cost: float
    other: float = 1.0


class Form(Enum):
    """The formula of a cost: a constant and at most one growing term. The value is its text."""

    CONSTANT = "a"
    LINEAR = "a + b n"
    N_LOG_N = "a + b n log n"
    PRODUCT = "a + b n m"
    QUADRATIC = "a + b n^2"


class _Term(NamedTuple):
    """A form's growing term, and the factor by which the form must be better than a simpler one."""

    growing_term: Callable[[Floats, Floats], Floats] | None
    required_improvement: float


_TERMS = {
    Form.CONSTANT: _Term(None, 1.0),
    Form.LINEAR: _Term(lambda size, other: size, 1.1),
    Form.N_LOG_N: _Term(lambda size, other: size * numpy.log(size), 1.2),
    Form.PRODUCT: _Term(lambda size, other: size * other, 1.2),
    Form.QUADRATIC: _Term(lambda size, other: size**2, 2.0),
}
_FORMS_OF_ONE_DIMENSION = (Form.CONSTANT, Form.LINEAR, Form.N_LOG_N, Form.QUADRATIC)
_FORMS_OF_TWO_DIMENSIONS = (Form.CONSTANT, Form.LINEAR, Form.N_LOG_N, Form.PRODUCT)


class Coefficient(NamedTuple):
    """A fitted coefficient and its standard error, in the unit of the cost (per unit of the growing term)."""

    value: float
    standard_error: float


@dataclass(frozen=True)
class Slope:
    """A fitted form; residuals are root mean squares in the unit of the cost."""

    form: Form
    constant: Coefficient
    growth: Coefficient | None
    residual: float
    leave_out_residual: float
    sizes: tuple[float, ...]

    def predict(self, size: float, other: float = 1.0) -> float:
        """Returns the predicted cost at any size."""
        growing_term = _TERMS[self.form].growing_term
        if self.growth is None or growing_term is None:
            return self.constant.value
        term = growing_term(numpy.array([float(size)]), numpy.array([float(other)]))[0]
        return float(self.constant.value + self.growth.value * term)


@dataclass(frozen=True)
class Proof:
    """A slope fitted to all but the largest size, and its prediction for the largest size.

    `relative_error` is the error of the prediction as a share of the measured cost.
    """

    slope: Slope
    size: float
    measured: float
    predicted: float
    relative_error: float

    @property
    def is_proved(self) -> bool:
        """Whether the relative error of the prediction is at most a fifth."""
        return self.relative_error <= MAX_PROVED_ERROR


@dataclass(frozen=True)
class QuantitySlope:
    """How one quantity of one role grows with one dimension.

    `slope` is fitted to all sizes, `proof` to all but the largest. `missing` is the reason if either is None.
    """

    dimension: str
    role: str
    quantity: Quantity
    points: tuple[Point, ...]
    slope: Slope | None
    proof: Proof | None
    missing: str | None

    @property
    def is_proved(self) -> bool:
        """Whether the slope has a proof and the proof is within the allowed error."""
        return self.proof is not None and self.proof.is_proved


def fit(points: Iterable[Point]) -> Slope:
    """Returns the slope of the form that fits best.

    Raises TooFewSizesError, or ValueError for a point that is not finite or whose size is not above 0.
    """
    points = _checked(points)
    _require_sizes(points, MIN_SIZES_TO_FIT, "a fit")
    has_two_dimensions = len({point.other for point in points}) > 1
    slopes = [
        _fit_form(form, points)
        for form in (_FORMS_OF_TWO_DIMENSIONS if has_two_dimensions else _FORMS_OF_ONE_DIMENSION)
    ]
    return _choose(slopes, max(abs(point.cost) for point in points))


def prove(points: Iterable[Point]) -> Proof:
    """Fits all sizes but the largest, and compares the prediction for the largest size with its cost.

    Of several points at the largest size the median counts. Raises TooFewSizesError, and ValueError as `fit`.
    """
    points = _checked(points)
    _require_sizes(points, MIN_SIZES_TO_PROVE, "a proof")
    largest = max(point.size for point in points)
    held_out = [point for point in points if point.size == largest]
    slope = fit(point for point in points if point.size < largest)
    measured = float(numpy.median([point.cost for point in held_out]))
    predicted = float(numpy.median([slope.predict(point.size, point.other) for point in held_out]))
    return Proof(slope, largest, measured, predicted, relative_error(measured, predicted))


def relative_error(measured: float, predicted: float) -> float:
    """Returns the error of a prediction as a share of the measured cost; 1 if only the measured cost is 0.

    >>> relative_error(10.0, 12.0), relative_error(0.0, 0.0), relative_error(0.0, 3.0)
    (0.2, 0.0, 1.0)
    """
    if measured == predicted:
        return 0.0
    return abs(predicted - measured) / (abs(measured) or abs(predicted))


def points_of(measurements: Iterable[Measurement], dimension: str, role: str, quantity: str) -> list[Point]:
    """Returns the measured costs of one quantity, sorted by size; others are skipped."""
    found = [
        Point(measurement.size, getattr(measurement, quantity))
        for measurement in measurements
        if measurement.dimension == dimension
        and measurement.role == role
        and measurement.left_out is None
        and getattr(measurement, quantity) is not None
    ]
    return sorted(found)


def analyse(measurements: Sequence[Measurement]) -> list[QuantitySlope]:
    """Returns the slope of each quantity that was measured, for each dimension and role."""
    pairs = dict.fromkeys((measurement.dimension, measurement.role) for measurement in measurements)
    slopes = []
    for dimension, role in pairs:
        for quantity in QUANTITIES:
            points = points_of(measurements, dimension, role, quantity.field)
            if points:
                slopes.append(_quantity_slope(dimension, role, quantity, points))
    return slopes


def _quantity_slope(dimension: str, role: str, quantity: Quantity, points: list[Point]) -> QuantitySlope:
    slope, proof, missing = None, None, None
    try:
        slope = fit(points)
        proof = prove(points)
    except TooFewSizesError as error:
        missing = str(error)
    return QuantitySlope(dimension, role, quantity, tuple(points), slope, proof, missing)


def _checked(points: Iterable[Point]) -> list[Point]:
    listed = list(points)
    for point in listed:
        if not all(math.isfinite(value) for value in point) or point.size <= 0 or point.other <= 0:
            raise ValueError(f"{point}: expected finite numbers and sizes above 0")
    return listed


def _require_sizes(points: list[Point], minimum: int, purpose: str) -> None:
    count = len({point.size for point in points})
    if count < minimum:
        raise TooFewSizesError(f"{count} sizes measured; {purpose} needs {minimum}")


def _fit_form(form: Form, points: list[Point]) -> Slope:
    """Fits one form by least squares; the growing term is scaled to at most 1 for numerical stability."""
    costs = numpy.array([point.cost for point in points])
    columns = [numpy.ones(len(points))]
    scale = 1.0
    growing_term = _TERMS[form].growing_term
    if growing_term is not None:
        sizes = numpy.array([float(point.size) for point in points])
        others = numpy.array([float(point.other) for point in points])
        term = growing_term(sizes, others)
        scale = float(numpy.max(numpy.abs(term))) or 1.0
        columns.append(term / scale)
    matrix = numpy.column_stack(columns)
    inverse = linalg.pinv(matrix)
    values = inverse @ costs
    residuals = costs - matrix @ values
    degrees_of_freedom = len(points) - matrix.shape[1]
    variance = float(residuals @ residuals) / degrees_of_freedom
    errors = numpy.sqrt(variance * numpy.einsum("ij,ij->i", inverse, inverse))
    coefficients = [
        Coefficient(float(value / divisor), float(error / divisor))
        for value, error, divisor in zip(values, errors, (1.0, scale), strict=False)
    ]
    return Slope(
        form=form,
        constant=coefficients[0],
        growth=coefficients[1] if len(coefficients) > 1 else None,
        residual=_root_mean_square(residuals),
        leave_out_residual=_leave_out_residual(residuals, numpy.einsum("ij,ji->i", matrix, inverse)),
        sizes=tuple(sorted({point.size for point in points})),
    )


def _leave_out_residual(residuals: Floats, leverages: Floats) -> float:
    """Returns the root mean square of each point's distance from the fit to the other points.

    That distance is the point's residual divided by one minus its leverage.
    """
    return _root_mean_square(residuals / numpy.maximum(1.0 - leverages, ROUNDING_TOLERANCE))


def _root_mean_square(values: Floats) -> float:
    return float(numpy.sqrt(numpy.mean(values**2)))


def _choose(slopes: list[Slope], largest_cost: float) -> Slope:
    """Returns the slope of the simplest form, unless a less simple one is better by its required factor."""
    rounding = ROUNDING_TOLERANCE * largest_cost
    chosen = slopes[0]
    for slope in slopes[1:]:
        factor = _TERMS[slope.form].required_improvement
        if chosen.leave_out_residual > rounding and (
            slope.leave_out_residual * factor < chosen.leave_out_residual
        ):
            chosen = slope
    return chosen
