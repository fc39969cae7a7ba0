"""Measurements and slopes for people: one table a dimension as text, and everything as JSON."""

import json
import math
from collections.abc import Iterable, Sequence
from dataclasses import asdict

from oatcart.scale.configuration import Budgets
from oatcart.scale.measurement import QUANTITIES, Measurement, Quantity
from oatcart.scale.slopes import MAX_PROVED_ERROR, QuantitySlope, Slope

NOT_MEASURED = "-"
"""What stands in a table where a quantity was not measured."""

OVER_BUDGET = "!"
"""What follows a figure of a controller that is over its budget."""

BUDGETED_ROLES = ("conductor", "hollow_conductor")
"""The roles that the operators' budgets are for."""

SIGNIFICANT_DIGITS = 3

MEGABYTE = 1e6
"""Bytes in the MB of `resident_mb`."""


def budget_of(quantity: str, budgets: Budgets) -> float | None:
    """The budget for a quantity of a controller, in the quantity's unit; None where there is none."""
    return {
        "core_share": budgets.core_share,
        "resident_mb": budgets.memory / MEGABYTE,
        "bytes_in_s": budgets.traffic,
        "bytes_out_s": budgets.traffic,
        "change_last_s": budgets.change_in_force,
    }.get(quantity)


def text_report(
    measurements: Sequence[Measurement], slopes: Iterable[QuantitySlope], budgets: Budgets
) -> str:
    """A table of sizes and one of slopes for each dimension, in the order measured."""
    slopes = list(slopes)
    parts = []
    for dimension in dict.fromkeys(measurement.dimension for measurement in measurements):
        of_dimension = [one for one in measurements if one.dimension == dimension]
        parts.append(dimension_table(dimension, of_dimension, budgets))
        parts.append(slope_table([one for one in slopes if one.dimension == dimension]))
    if not parts:
        return "Nothing was measured."
    return "\n\n".join(part for part in parts if part)


def dimension_table(dimension: str, measurements: Sequence[Measurement], budgets: Budgets) -> str:
    """A row for each role and quantity measured, a column for each size; sizes left out say why below."""
    done = [measurement for measurement in measurements if measurement.left_out is None]
    sizes = sorted({measurement.size for measurement in measurements})
    rows = [["role", dimension, *(number_text(size, whole=True) for size in sizes)]]
    for role in dict.fromkeys(measurement.role for measurement in done):
        of_role = [measurement for measurement in done if measurement.role == role]
        for quantity in QUANTITIES:
            if _is_measured(quantity, of_role):
                costs = [_costs_at(size, of_role, quantity, budgets) for size in sizes]
                rows.append([role, quantity.label, *costs])
    left_out = [
        f"left out: {number_text(one.size, whole=True)} {dimension}, {one.role}: {one.left_out}"
        for one in measurements
        if one.left_out is not None
    ]
    return "\n".join([align(rows), *left_out])


def slope_table(slopes: Sequence[QuantitySlope]) -> str:
    """The chosen form of each cost, its coefficients and the proof on the largest size."""
    if not slopes:
        return ""
    rows = [["role", "quantity", "form", "a", "b", "residual", "foretold", "measured", "off", "proved"]]
    rows += [_slope_row(slope) for slope in slopes]
    return align(rows)


def json_report(measurements: Sequence[Measurement], slopes: Iterable[QuantitySlope]) -> str:
    """One JSON object: `measurements` as in measurement.py, and `slopes`."""
    document = {
        "measurements": [asdict(measurement) for measurement in measurements],
        "slopes": [_slope_object(slope) for slope in slopes],
    }
    return json.dumps(document, indent=1)


def number_text(value: float, whole: bool = False) -> str:
    """A number with three significant digits, and thousands apart.

    >>> number_text(27000, whole=True), number_text(0.043211), number_text(4096.0), number_text(0.0)
    ('27,000', '0.0432', '4,100', '0')
    """
    if value == 0:
        return "0"
    if whole and value == int(value):
        return f"{int(value):,}"
    if abs(value) < 0.001 or abs(value) >= 1e9:
        return f"{value:.{SIGNIFICANT_DIGITS - 1}e}"
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    return f"{round(value, decimals):,.{max(0, decimals)}f}"


def align(rows: Sequence[Sequence[str]]) -> str:
    """Columns padded to their widest cell: the first two to the left, figures to the right."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _is_measured(quantity: Quantity, measurements: Iterable[Measurement]) -> bool:
    return any(getattr(measurement, quantity.field) is not None for measurement in measurements)


def _costs_at(size: float, measurements: Iterable[Measurement], quantity: Quantity, budgets: Budgets) -> str:
    """The cost at a size; several if it was measured several times."""
    costs = [_cost(one, quantity, budgets) for one in measurements if one.size == size]
    return " / ".join(costs) or NOT_MEASURED


def _cost(measurement: Measurement, quantity: Quantity, budgets: Budgets) -> str:
    value = getattr(measurement, quantity.field)
    if value is None:
        return NOT_MEASURED
    budget = budget_of(quantity.field, budgets) if measurement.role in BUDGETED_ROLES else None
    return number_text(value) + (OVER_BUDGET if budget is not None and value > budget else "")


def _slope_row(found: QuantitySlope) -> list[str]:
    start = [found.role, found.quantity.label]
    slope, proof = found.slope, found.proof
    if slope is None:
        return [*start, *[NOT_MEASURED] * 7, found.missing or "no"]
    figures = [
        slope.form.value,
        _coefficient_text(slope.constant),
        NOT_MEASURED if slope.growth is None else _coefficient_text(slope.growth),
        number_text(slope.residual),
    ]
    if proof is None:
        return [*start, *figures, *[NOT_MEASURED] * 3, found.missing or "no"]
    return [
        *start,
        *figures,
        number_text(proof.predicted),
        number_text(proof.measured),
        f"{proof.off:.0%}",
        "yes" if proof.is_proved else f"NOT PROVED (over {MAX_PROVED_ERROR:.0%})",
    ]


def _coefficient_text(coefficient: tuple[float, float]) -> str:
    value, standard_error = coefficient
    return f"{number_text(value)} ± {number_text(standard_error)}"


def _slope_object(found: QuantitySlope) -> dict[str, object]:
    proof = found.proof
    return {
        "dimension": found.dimension,
        "role": found.role,
        "quantity": found.quantity.field,
        "unit": found.quantity.unit,
        "fit": _fit_object(found.slope),
        "proof": proof
        and {
            "fit": _fit_object(proof.slope),
            "size": proof.size,
            "measured": proof.measured,
            "predicted": proof.predicted,
            "off": proof.off,
            "proved": proof.is_proved,
        },
        "missing": found.missing,
    }


def _fit_object(slope: Slope | None) -> dict[str, object] | None:
    if slope is None:
        return None
    return {
        "form": slope.form.value,
        "constant": slope.constant._asdict(),
        "growth": slope.growth and slope.growth._asdict(),
        "residual": slope.residual,
        "leave_out_residual": slope.leave_out_residual,
        "sizes": list(slope.sizes),
    }
