"""What each role costs as the fleet grows. `python -m oatcart.scale COMMAND --help` tells of each command."""

import argparse
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from oatcart.errors import InvalidConfigurationError
from oatcart.scale.configuration import RunSettings, Settings
from oatcart.scale.configuration_file import read
from oatcart.scale.fault_plan import DayPlan, FaultPlanError, plan_day
from oatcart.scale.fleet import FleetPlan, plan_fleet
from oatcart.scale.measurement import DIMENSIONS, Measurement
from oatcart.scale.report import json_report, text_report
from oatcart.scale.slopes import QuantitySlope, analyse

FAILED = 1
"""Exit code where a run has failed, of which nothing is kept, or where something of a day did not hold."""

UNUSABLE = 2
"""Exit code where a file or an argument cannot be used."""

SERVICES_SHOWN = 5
"""Services shown by name in the summary of a plan."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and hands back the exit code."""
    parsed = _parser().parse_args(arguments)
    try:
        settings = read(parsed.file)
    except InvalidConfigurationError as error:
        print(error, file=sys.stderr)
        return UNUSABLE
    return parsed.command(settings, parsed)


def run(settings: Settings, parsed: argparse.Namespace) -> int:
    """Measures the sizes of the file, fits and proves the slopes, and prints a table for each dimension."""
    chosen = settings.quick if parsed.quick else settings.full
    dimensions = parsed.dimension or list(chosen.sizes)
    absent = [dimension for dimension in dimensions if dimension not in chosen.sizes]
    if absent:
        print(_missing_sizes_text(absent, chosen, parsed), file=sys.stderr)
        return UNUSABLE
    if parsed.json and not Path(parsed.json).parent.is_dir():
        print(f"{parsed.json}: there is no such folder", file=sys.stderr)
        return UNUSABLE
    from oatcart.scale.children import ChildError  # started roles are needed by this command alone
    from oatcart.scale.runs import measure

    try:
        measurements = measure(settings, parsed.quick, dimensions, report_progress)
    except ChildError as error:
        print(f"the run has failed: {error}", file=sys.stderr)
        return FAILED
    slopes = analyse(measurements)
    print(text_report(measurements, slopes, settings.budgets))
    _keep(parsed, settings, measurements, slopes)
    return 0


def plan(settings: Settings, parsed: argparse.Namespace) -> int:
    """Draws the fleet and its day and prints a summary of both."""
    fleet = plan_fleet(settings.fleet, settings.seed)
    try:
        day = plan_day(fleet, settings.day, settings.seed)
    except FaultPlanError as error:
        print(f"{parsed.file}: day: {error}", file=sys.stderr)
        return UNUSABLE
    print(fleet_summary(fleet))
    print(day_summary(day))
    return 0


def day(settings: Settings, parsed: argparse.Namespace) -> int:
    """Plays the fleet's day, scaled to this machine, and prints what it cost and whether all held."""
    if parsed.json and not Path(parsed.json).parent.is_dir():
        print(f"{parsed.json}: there is no such folder", file=sys.stderr)
        return UNUSABLE
    from oatcart.scale.children import ChildError
    from oatcart.scale.day import FULL, QUICK, play_day
    from oatcart.scale.day_report import day_json, day_text
    from oatcart.scale.real import NotReadyError
    from oatcart.scale.trial_settings import SizeLimitError

    try:
        result = play_day(settings, QUICK if parsed.quick else FULL, parsed.whole_list, report_progress)
    except FaultPlanError as error:
        print(f"{parsed.file}: day: {error}", file=sys.stderr)
        return UNUSABLE
    except (ChildError, NotReadyError, SizeLimitError) as error:
        print(f"the day has failed: {error}", file=sys.stderr)
        return FAILED
    print(day_text(result))
    if parsed.json:
        Path(parsed.json).write_text(day_json(result) + "\n", encoding="utf-8")
    return FAILED if result.complaints else 0


def report_progress(line: str) -> None:
    """A line of progress, on standard error."""
    print(line, file=sys.stderr, flush=True)


def fleet_summary(fleet: FleetPlan) -> str:
    """How the endpoints of a fleet are spread."""
    services = sorted((len(endpoints), name) for name, endpoints in fleet.endpoints_by_service().items())
    zones = sorted(len(endpoints) for endpoints in fleet.endpoints_by_zone().values())
    largest = ", ".join(f"{name} {count:,}" for count, name in services[: -SERVICES_SHOWN - 1 : -1])
    return "\n".join(
        [
            f"nodes: {len(fleet.endpoints):,} in {len(services):,} services, {len(zones):,} zones, "
            f"{len(fleet.endpoints_by_rack()):,} racks and {len(fleet.regions):,} regions",
            f"largest services: {largest}; median {services[len(services) // 2][0]:,}",
            f"nodes of a zone: {zones[0]:,} to {zones[-1]:,}, median {zones[len(zones) // 2]:,}",
            f"conductors: {len(fleet.controllers):,}, for {fleet.settings.services_per_conductor} services",
        ]
    )


def day_summary(day: DayPlan) -> str:
    """How many events of each kind a day has."""
    counts = Counter(type(event).__name__ for event in day.events)
    lines = [f"day: {len(day.events):,} events in {day.length_s:,.0f} s"]
    lines += [f"  {name}: {count:,}" for name, count in sorted(counts.items())]
    return "\n".join(lines)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m oatcart.scale", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    run_parser = commands.add_parser("run", help=run.__doc__, description=run.__doc__)
    run_parser.add_argument("file", help="the settings, as deploy/scale.yaml")
    run_parser.add_argument("--quick", action="store_true", help="the sizes and times under `quick`")
    run_parser.add_argument(
        "--dimension", action="append", choices=DIMENSIONS, help="only this one; may be given more than once"
    )
    run_parser.add_argument("--json", metavar="PATH", help="keeps measurements and slopes")
    run_parser.add_argument("--plots", metavar="FOLDER", help="draws each slope; needs matplotlib")
    run_parser.set_defaults(command=run)
    plan_parser = commands.add_parser("plan", help=plan.__doc__, description=plan.__doc__)
    plan_parser.add_argument("file", help="the settings, as deploy/scale.yaml")
    plan_parser.set_defaults(command=plan)
    day_parser = commands.add_parser("day", help=day.__doc__, description=day.__doc__)
    day_parser.add_argument("file", help="the settings, as deploy/scale.yaml")
    day_parser.add_argument("--quick", action="store_true", help="a smaller fleet and a shorter day")
    day_parser.add_argument(
        "--whole-list", action="store_true", help="conductors on the whole list, without the control role"
    )
    day_parser.add_argument("--json", metavar="PATH", help="keeps the figures")
    day_parser.set_defaults(command=day)
    return parser


def _missing_sizes_text(absent: Sequence[str], chosen: RunSettings, parsed: argparse.Namespace) -> str:
    section = "quick" if parsed.quick else "full"
    return f"{parsed.file}: {section}.sizes has no {', '.join(absent)}; it has {', '.join(chosen.sizes)}"


def _keep(
    parsed: argparse.Namespace,
    settings: Settings,
    measurements: Sequence[Measurement],
    slopes: Sequence[QuantitySlope],
) -> None:
    if parsed.json:
        Path(parsed.json).write_text(json_report(measurements, slopes) + "\n", encoding="utf-8")
    if parsed.plots:
        from oatcart.scale.plots import draw_slopes  # matplotlib is loaded only when asked for

        for path in draw_slopes(slopes, parsed.plots, settings.budgets):
            report_progress(f"drew {path}")


if __name__ == "__main__":
    sys.exit(main())
