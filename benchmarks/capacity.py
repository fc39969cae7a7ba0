"""What a controller would cost at the operators' plan, before and with bounded views.

`python -m benchmarks.capacity --quick` ends within a minute; without `--quick` the full sizes and times of
`deploy/scale.yaml` are measured. Trials run beside each other, each with processes of its own:

* *Before*, a controller knows all endpoints of the fleet. It is measured at the sizes of the dimension
  `nodes` that fit, over a whole period of its list fetches; slopes are fitted, proved on the largest size and
  read at the plan. A list of the plan's size is over the protocol's limit, so the plan itself can only be
  foretold.
* *With* the mechanism, a controller follows a bounded view that `python -m oatcart.views` serves. It is
  measured at the plan's number of endpoints.
* Hollow and real controllers are compared as in `oatcart/scale/agreement.py`.

The last line is one JSON object; figures with `_before` are foretold, the others measured. `core_per_node` is
the core share at the plan divided by its endpoints. `predicted_off` is the largest share by which a slope
that is proved was off at its largest size; slopes that are not proved are listed in `not_proved`, and
`predicted_off_all` counts them too. A figure that could not be had is null, and standard error tells why.
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
from oatcart.scale.figures import CONTROL_ROLE, REAL_ROLE, play
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
PROCESSES_OF_JOB = 4  # the least a trial takes: its worker, discovery, peers and a controller
BYTES = ("bytes_in_s", "bytes_out_s")
FIGURES = {
    "core_at_plan": ("core_share",),
    "bytes_s_at_plan": BYTES,
    "mb_at_plan": ("resident_mb",),
    "change_last_s": ("change_last_s",),
    "ready_s": ("ready_s",),
}
"""The figures of the result and the quantities that each is the sum of."""


@dataclass(frozen=True)
class Outcome:
    """All that the trials have yielded; None where one has failed."""

    whole_lists: list[Measurement]
    viewed: Measurement | None
    control: Measurement | None
    hollow_agrees: bool | None


def tell(line: str) -> None:
    """A line on standard error."""
    print(line, file=sys.stderr, flush=True)


def whole_list_trial(settings: Settings, run: RunSettings, nodes: int) -> TrialSettings:
    """A real controller that knows so many endpoints."""
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
    """A real controller with a view of the whole planned fleet."""
    return replace(whole_list_trial(settings, run, settings.fleet.nodes), view=settings.view)


def agreement_trial(settings: Settings, run: RunSettings) -> TrialSettings:
    """A hollow and a real controller with the same small list."""
    return replace(whole_list_trial(settings, run, BASE_ENDPOINTS), hollow=1)


def hollow_agrees(trial: TrialSettings) -> bool:
    """Whether hollow and real controllers agree; tells what they differ in."""
    agreement = compare(trial)
    for figure in agreement.figures:
        if not figure.agrees:
            tell(f"hollow and real conductors differ: {figure.name}: {figure.hollow:.4g}, {figure.real:.4g}")
    return agreement.agrees


def run_trials(settings: Settings, quick: bool) -> Outcome:
    """All trials beside each other; those that fail or take too long are told and left out."""
    run = settings.quick if quick else settings.full
    until = time.monotonic() + (QUICK_WITHIN_S if quick else FULL_WITHIN_S)
    workers = max(1, settings.limits.processes // PROCESSES_OF_JOB)
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        nodes = settings.fleet.nodes
        viewed = pool.apply_async(play, (viewed_trial(settings, run), "nodes", nodes, ViewTrial))
        agrees = pool.apply_async(hollow_agrees, (agreement_trial(settings, run),))
        whole = {
            size: pool.apply_async(play, (whole_list_trial(settings, run, size), "nodes", size))
            for size in sorted(run.sizes["nodes"], reverse=True)
        }
        measured = {size: result_of(f"{size:,} nodes", job, until) for size, job in whole.items()}
        with_view = result_of("a view of the planned fleet", viewed, until) or []
        return Outcome(
            whole_lists=[one for size in sorted(whole) for one in measured[size] or []],
            viewed=next((one for one in with_view if one.role == REAL_ROLE), None),
            control=next((one for one in with_view if one.role == CONTROL_ROLE), None),
            hollow_agrees=result_of("hollow against real conductors", agrees, until),
        )


def result_of(title: str, job: AsyncResult, until: float) -> Any:
    """The result of a job, None where it failed or is late; either way a line tells."""
    try:
        result = job.get(max(0.0, until - time.monotonic()))
    except multiprocessing.TimeoutError:
        tell(f"{title}: not measured: no result in time")
    except (ChildError, SizeLimitError, NotReadyError, OSError) as error:
        tell(f"{title}: not measured: {error}")
    else:
        tell(f"{title}: measured")
        return result
    return None


def foretold(slopes: Sequence[QuantitySlope], quantities: Sequence[str], nodes: int) -> float | None:
    """The sum of some quantities of a controller with so many endpoints; None where one has no slope."""
    found = {one.quantity.field: one.slope for one in slopes if one.role == REAL_ROLE}
    costs = [slope.predict(nodes) if (slope := found.get(field)) else None for field in quantities]
    return None if None in costs else sum(costs)


def measured(one: Measurement | None, quantities: Sequence[str]) -> float | None:
    """The sum of some quantities of a measurement; None where one was not measured."""
    costs = [getattr(one, field) if one else None for field in quantities]
    return None if None in costs else sum(costs)


def divided(value: float | None, by: float) -> float | None:
    """A share of a figure, where there is one."""
    return None if value is None else value / by


def result(settings: Settings, outcome: Outcome) -> dict[str, object]:
    """The object of the last line."""
    nodes = settings.fleet.nodes
    slopes = [one for one in analyse(outcome.whole_lists) if one.role == REAL_ROLE]
    found: dict[str, object] = {}
    for name, quantities in FIGURES.items():
        found[f"{name}_before"] = foretold(slopes, quantities, nodes)
        found[name] = measured(outcome.viewed, quantities)
    found["core_per_node_before"] = divided(found["core_at_plan_before"], nodes)
    found["core_per_node"] = divided(found["core_at_plan"], nodes)
    found["control_core_at_plan"] = measured(outcome.control, ("core_share",))
    found["control_mb_at_plan"] = measured(outcome.control, ("resident_mb",))
    found["hollow_agrees"] = outcome.hollow_agrees
    return found | proof_figures(slopes)


def proof_figures(slopes: Sequence[QuantitySlope]) -> dict[str, object]:
    """How far the slopes behind the figures were off, and which of them are not proved."""
    used = {field for quantities in FIGURES.values() for field in quantities}
    behind = [one for one in slopes if one.quantity.field in used]
    shares = [one.proof.off for one in behind if one.proof]
    proved = [one.proof.off for one in behind if one.is_proved]
    return {
        "predicted_off": max(proved, default=None),
        "predicted_off_all": max(shares, default=None),
        "not_proved": [one.quantity.field for one in behind if not one.is_proved],
    }


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--quick", action="store_true", help="small sizes; ends within a minute")
    quick = parser.parse_args().quick
    settings = read(SETTINGS_FILE)
    outcome = run_trials(settings, quick)
    print(text_report(outcome.whole_lists, analyse(outcome.whole_lists), settings.budgets))
    views = [one for one in (outcome.viewed, outcome.control) if one]
    print(text_report(views, [], settings.budgets))
    found = result(settings, outcome)
    for name, value in found.items():
        if value is None:
            tell(f"{name}: null: not measured")
    for field in found["not_proved"]:
        tell(f"{field}: its slope is not proved; what is foretold from it is not to be relied on")
    print(json.dumps(found))


if __name__ == "__main__":
    main()
