"""Reports of measurements and slopes: tables for each dimension as text, and everything as JSON."""

import json
import math
from collections.abc import Iterable, Sequence
from dataclasses import asdict

from oatcart.scale.configuration import Budgets
from oatcart.scale.measurement import QUANTITIES, Measurement, Quantity
from oatcart.scale.slopes import MAX_PROVED_ERROR, QuantitySlope, Slope

NOT_MEASURED = "-"
"""Table cell for a quantity that was not measured."""

OVER_BUDGET = "!"
"""Suffix of a controller's figure that exceeds its budget."""

BUDGETED_ROLES = ("conductor", "hollow_conductor")
"""The roles to which the operators' budgets apply."""

SIGNIFICANT_DIGITS = 3

MEGABYTE = 1e6
"""Bytes in one MB of `resident_mb`."""


def budget_of(quantity: str, budgets: Budgets) -> float | None:
    """Returns the budget for a quantity of a controller, in the quantity's unit; None if it has no budget."""
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
    """Returns a table of costs and a table of slopes for each dimension, in the order measured."""
    slopes = list(slopes)
    tables = []
    for dimension in dict.fromkeys(measurement.dimension for measurement in measurements):
        of_dimension = [one for one in measurements if one.dimension == dimension]
        tables.append(dimension_table(dimension, of_dimension, budgets))
        tables.append(slope_table([one for one in slopes if one.dimension == dimension]))
    if not tables:
        return "Nothing was measured."
    return "\n\n".join(table for table in tables if table)


def dimension_table(dimension: str, measurements: Sequence[Measurement], budgets: Budgets) -> str:
    """Returns a row for each measured role and quantity, with a column for each size.

    Below are the sizes that were left out, with the reason.
    """
    present = [measurement for measurement in measurements if measurement.left_out is None]
    sizes = sorted({measurement.size for measurement in measurements})
    rows = [["role", dimension, *(number_text(size, whole=True) for size in sizes)]]
    for role in dict.fromkeys(measurement.role for measurement in present):
        of_role = [measurement for measurement in present if measurement.role == role]
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
    """Returns a row for each slope: its form, its coefficients and the proof on the largest size."""
    if not slopes:
        return ""
    rows = [["role", "quantity", "form", "a", "b", "residual", "foretold", "measured", "off", "proved"]]
    rows += [_slope_row(slope) for slope in slopes]
    return align(rows)


def json_report(measurements: Sequence[Measurement], slopes: Iterable[QuantitySlope]) -> str:
    """Returns a JSON object with `measurements`, as in measurement.py, and `slopes`."""
    document = {
        "measurements": [asdict(measurement) for measurement in measurements],
        "slopes": [_slope_object(slope) for slope in slopes],
    }
    return json.dumps(document, indent=1)


def number_text(value: float, whole: bool = False) -> str:
    """Formats a number with three significant digits and with separators between thousands.

    `whole` keeps all digits of a whole number.

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
    """Returns rows with padded columns: the first two aligned left, the others aligned right."""
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
    """Returns the costs at a size; there are several if it was measured several times."""
    costs = [_cost(one, quantity, budgets) for one in measurements if one.size == size]
    return " / ".join(costs) or NOT_MEASURED


def _cost(measurement: Measurement, quantity: Quantity, budgets: Budgets) -> str:
    value = getattr(measurement, quantity.field)
    if value is None:
        return NOT_MEASURED
    budget = budget_of(quantity.field, budgets) if measurement.role in BUDGETED_ROLES else None
    return number_text(value) + (OVER_BUDGET if budget is not None and value > budget else "")


def _slope_row(one: QuantitySlope) -> list[str]:
    labels = [one.role, one.quantity.label]
    slope, proof = one.slope, one.proof
    if slope is None:
        return [*labels, *[NOT_MEASURED] * 7, one.missing or "no"]
    figures = [
        slope.form.value,
        _coefficient_text(slope.constant),
        NOT_MEASURED if slope.growth is None else _coefficient_text(slope.growth),
        number_text(slope.residual),
    ]
    if proof is None:
        return [*labels, *figures, *[NOT_MEASURED] * 3, one.missing or "no"]
    return [
        *labels,
        *figures,
        number_text(proof.predicted),
        number_text(proof.measured),
        f"{proof.relative_error:.0%}",
        "yes" if proof.is_proved else f"NOT PROVED (over {MAX_PROVED_ERROR:.0%})",
    ]


def _coefficient_text(coefficient: tuple[float, float]) -> str:
    value, standard_error = coefficient
    return f"{number_text(value)} ± {number_text(standard_error)}"


def _slope_object(one: QuantitySlope) -> dict[str, object]:
    proof = one.proof
    return {
        "dimension": one.dimension,
        "role": one.role,
        "quantity": one.quantity.field,
        "unit": one.quantity.unit,
        "fit": _fit_object(one.slope),
        "proof": proof
        and {
            "fit": _fit_object(proof.slope),
            "size": proof.size,
            "measured": proof.measured,
            "predicted": proof.predicted,
            "off": proof.relative_error,
            "proved": proof.is_proved,
        },
        "missing": one.missing,
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
