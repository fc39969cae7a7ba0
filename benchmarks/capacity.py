"""Measures what a controller costs at the size of the planned fleet, without and with bounded views.

`python -m benchmarks.capacity --quick` takes less than a minute; without `--quick` it measures the full sizes
and times of `deploy/scale.yaml`. Trials run at the same time, each with processes of its own:

* Without views (*before*), a controller knows all endpoints of the fleet. It is measured at those sizes of
  the dimension `nodes` that are within all limits, over complete periods of its list fetches. Slopes are
  fitted, proved on the largest size and evaluated at the planned size. A list of that size exceeds the
  protocol's limit, so its costs can only be predicted.
* With views, a controller watches a bounded view that `python -m oatcart.views` serves. It is measured at the
  planned number of endpoints.
* Hollow and real controllers are compared as in `oatcart/scale/agreement.py`.

The last line is one JSON object; figures with `_before` are predicted, the others are measured.
`core_per_node` is the core share at the planned size divided by the number of endpoints. `predicted_off` is
the largest relative error of a proved slope at its largest size; slopes that are not proved are listed in
`not_proved`, and `predicted_off_all` includes them. A figure that is not available is null, with a message on
standard error.
"""

import argparse
import json
import multiprocessing
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from multiprocessing.pool import AsyncResult
from pathlib import Path
from typing import Any

from oatcart.scale.agreement import compare
from oatcart.scale.children import ChildError
from oatcart.scale.configuration import RunSettings, Settings
from oatcart.scale.configuration_file import read
from oatcart.scale.figures import CONTROL_ROLE, REAL_ROLE, run_trial
from oatcart.scale.measurement import Measurement
from oatcart.scale.real import NotReadyError
from oatcart.scale.report import text_report
from oatcart.scale.runs import BASE_ENDPOINTS, CHANGES_PER_S, round_up_to_fetch_period
from oatcart.scale.slopes import QuantitySlope, analyse
from oatcart.scale.trial_settings import SizeLimitError, TrialSettings
from oatcart.scale.view_trial import ViewTrial

SETTINGS_FILE = Path(__file__).parents[1] / "deploy" / "scale.yaml"
QUICK_WITHIN_S = 55.0
FULL_WITHIN_S = 1_200.0
PROCESSES_OF_JOB = 4  # the fewest of a trial: its worker, discovery, peers and a controller
BYTES = ("bytes_in_s", "bytes_out_s")
FIGURES = {
    "core_at_plan": ("core_share",),
    "bytes_s_at_plan": BYTES,
    "mb_at_plan": ("resident_mb",),
    "change_last_s": ("change_last_s",),
    "ready_s": ("ready_s",),
}
"""The figures of the result, and the quantities whose sum each of them is."""


@dataclass(frozen=True)
class Outcome:
    """The results of all trials; None for a trial that failed."""

    complete_lists: list[Measurement]
    viewed: Measurement | None
    control: Measurement | None
    hollow_agrees: bool | None


def report_progress(line: str) -> None:
    """Prints a line on standard error."""
    print(line, file=sys.stderr, flush=True)


def complete_list_trial(settings: Settings, run: RunSettings, nodes: int) -> TrialSettings:
    """Returns a trial of one real controller that knows `nodes` endpoints."""
    return TrialSettings(
        fleet=settings.fleet.with_endpoints(nodes),
        seed=settings.seed,
        hollow=0,
        real=1,
        proxies=settings.fleet.proxies_per_conductor,
        settle_s=run.settle_for,
        measure_s=round_up_to_fetch_period(run.measure_for),
        changes=run.repeats,
        changes_per_s=CHANGES_PER_S,
        limits=settings.limits,
    )


def viewed_trial(settings: Settings, run: RunSettings) -> TrialSettings:
    """Returns a trial of one real controller with a view of the planned fleet."""
    return replace(complete_list_trial(settings, run, settings.fleet.nodes), view=settings.view)


def agreement_trial(settings: Settings, run: RunSettings) -> TrialSettings:
    """Returns a trial of one hollow and one real controller with the same small list."""
    return replace(complete_list_trial(settings, run, BASE_ENDPOINTS), hollow=1)


def hollow_agrees(trial: TrialSettings) -> bool:
    """Returns whether hollow and real controllers agree; reports each figure that differs."""
    agreement = compare(trial)
    for figure in agreement.figures:
        if not figure.agrees:
            report_progress(
                f"hollow and real controllers differ: {figure.name}: {figure.hollow:.4g}, {figure.real:.4g}"
            )
    return agreement.agrees


def run_trials(settings: Settings, quick: bool) -> Outcome:
    """Runs all trials at the same time; those that fail or take too long are reported and left out."""
    run = settings.quick if quick else settings.full
    until = time.monotonic() + (QUICK_WITHIN_S if quick else FULL_WITHIN_S)
    workers = max(1, settings.limits.processes // PROCESSES_OF_JOB)
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        nodes = settings.fleet.nodes
        viewed = pool.apply_async(run_trial, (viewed_trial(settings, run), "nodes", nodes, ViewTrial))
        agrees = pool.apply_async(hollow_agrees, (agreement_trial(settings, run),))
        complete_lists = {
            size: pool.apply_async(run_trial, (complete_list_trial(settings, run, size), "nodes", size))
            for size in sorted(run.sizes["nodes"], reverse=True)
        }
        measured = {
            size: result_of(f"{size:,} endpoints", job, until) for size, job in complete_lists.items()
        }
        with_view = result_of("a view of the planned fleet", viewed, until) or []
        return Outcome(
            complete_lists=[one for size in sorted(complete_lists) for one in measured[size] or []],
            viewed=next((one for one in with_view if one.role == REAL_ROLE), None),
            control=next((one for one in with_view if one.role == CONTROL_ROLE), None),
            hollow_agrees=result_of("hollow and real controllers compared", agrees, until),
        )


def result_of(title: str, job: AsyncResult, until: float) -> Any:
    """Returns the result of a job, or None if it failed or timed out; reports the outcome."""
    try:
        result = job.get(max(0.0, until - time.monotonic()))
    except multiprocessing.TimeoutError:
        report_progress(f"{title}: not measured: no result in time")
    except (ChildError, SizeLimitError, NotReadyError, OSError) as error:
        report_progress(f"{title}: not measured: {error}")
    else:
        report_progress(f"{title}: measured")
        return result
    return None


def predicted_cost(slopes: Sequence[QuantitySlope], quantities: Sequence[str], nodes: int) -> float | None:
    """Returns the predicted sum of some quantities with `nodes` endpoints; None if one has no slope."""
    found = {one.quantity.field: one.slope for one in slopes if one.role == REAL_ROLE}
    costs = [slope.predict(nodes) if (slope := found.get(field)) else None for field in quantities]
    return None if None in costs else sum(costs)


def measured_cost(one: Measurement | None, quantities: Sequence[str]) -> float | None:
    """Returns the sum of some quantities of a measurement; None if one was not measured."""
    costs = [getattr(one, field) if one else None for field in quantities]
    return None if None in costs else sum(costs)


def divide(value: float | None, divisor: float) -> float | None:
    """Returns a figure divided by a number; None if there is no figure."""
    return None if value is None else value / divisor


def result(settings: Settings, outcome: Outcome) -> dict[str, object]:
    """Returns the JSON object of the last line."""
    nodes = settings.fleet.nodes
    slopes = [one for one in analyse(outcome.complete_lists) if one.role == REAL_ROLE]
    found: dict[str, object] = {}
    for name, quantities in FIGURES.items():
        found[f"{name}_before"] = predicted_cost(slopes, quantities, nodes)
        found[name] = measured_cost(outcome.viewed, quantities)
    found["core_per_node_before"] = divide(found["core_at_plan_before"], nodes)
    found["core_per_node"] = divide(found["core_at_plan"], nodes)
    found["control_core_at_plan"] = measured_cost(outcome.control, ("core_share",))
    found["control_mb_at_plan"] = measured_cost(outcome.control, ("resident_mb",))
    found["hollow_agrees"] = outcome.hollow_agrees
    return found | proof_figures(slopes)


def proof_figures(slopes: Sequence[QuantitySlope]) -> dict[str, object]:
    """Returns the relative errors of the slopes used for the figures, and which slopes are not proved."""
    used_fields = {field for quantities in FIGURES.values() for field in quantities}
    used_slopes = [one for one in slopes if one.quantity.field in used_fields]
    errors = [one.proof.relative_error for one in used_slopes if one.proof]
    proved_errors = [one.proof.relative_error for one in used_slopes if one.is_proved]
    return {
        "predicted_off": max(proved_errors, default=None),
        "predicted_off_all": max(errors, default=None),
        "not_proved": [one.quantity.field for one in used_slopes if not one.is_proved],
    }


def main() -> None:
    """Runs the benchmark and prints its tables and its JSON object."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--quick", action="store_true", help="use small sizes; takes less than a minute")
    quick = parser.parse_args().quick
    settings = read(SETTINGS_FILE)
    outcome = run_trials(settings, quick)
    print(text_report(outcome.complete_lists, analyse(outcome.complete_lists), settings.budgets))
    views = [one for one in (outcome.viewed, outcome.control) if one]
    print(text_report(views, [], settings.budgets))
    found = result(settings, outcome)
    for name, value in found.items():
        if value is None:
            report_progress(f"{name}: null: not measured")
    for field in found["not_proved"]:
        report_progress(f"{field}: the slope is not proved; predictions from it are not reliable")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
