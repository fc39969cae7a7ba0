"""Draws a PNG for each slope: measured costs, the fits and the budget. Needs matplotlib."""

from collections.abc import Iterable
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import numpy
from matplotlib import pyplot
from matplotlib.axes import Axes

from oatcart.scale.configuration import Budgets
from oatcart.scale.report import BUDGETED_ROLES, budget_of
from oatcart.scale.slopes import QuantitySlope

CURVE_POINTS = 200
"""Number of sizes at which a fitted curve is drawn."""

INCHES = (8.0, 5.0)
DOTS_PER_INCH = 100


def draw_slopes(slopes: Iterable[QuantitySlope], folder: str | Path, budgets: Budgets) -> list[Path]:
    """Draws each slope into the folder, which is created if missing; returns the paths of the files."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    return [draw_slope(slope, folder, budgets) for slope in slopes]


def draw_slope(slope: QuantitySlope, folder: Path, budgets: Budgets) -> Path:
    """Draws one slope as `dimension-role-quantity.png`."""
    figure, axes = pyplot.subplots(figsize=INCHES)
    try:
        _draw_points(axes, slope)
        _draw_fits(axes, slope)
        _draw_budget(axes, slope, budgets)
        axes.set_title(f"{slope.role}: {slope.quantity.title.lower()} by {slope.dimension}")
        axes.set_xlabel(slope.dimension)
        axes.set_ylabel(slope.quantity.unit)
        axes.set_xlim(left=0)
        axes.set_ylim(bottom=0)
        axes.legend()
        path = folder / f"{slope.dimension}-{slope.role}-{slope.quantity.field}.png"
        figure.savefig(path, dpi=DOTS_PER_INCH)
    finally:
        pyplot.close(figure)
    return path


def _draw_points(axes: Axes, slope: QuantitySlope) -> None:
    sizes = [point.size for point in slope.points]
    costs = [point.cost for point in slope.points]
    axes.plot(sizes, costs, "o", label="measured")


def _draw_fits(axes: Axes, slope: QuantitySlope) -> None:
    largest = max(point.size for point in slope.points)
    smallest = min(point.size for point in slope.points)
    sizes = numpy.linspace(smallest, largest, CURVE_POINTS)
    if slope.slope is not None:
        axes.plot(sizes, [slope.slope.predict(size) for size in sizes], "-", label=slope.slope.form.value)
    if slope.proof is not None:
        label = f"fit without the largest size: relative error {slope.proof.relative_error:.0%}"
        axes.plot(sizes, [slope.proof.slope.predict(size) for size in sizes], "--", label=label)


def _draw_budget(axes: Axes, slope: QuantitySlope, budgets: Budgets) -> None:
    budget = budget_of(slope.quantity.field, budgets)
    if budget is not None and slope.role in BUDGETED_ROLES:
        axes.axhline(budget, linestyle=":", color="black", label="budget")
