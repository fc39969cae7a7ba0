"""Measures what each role costs as the fleet grows; see `python -m oatcart.scale COMMAND --help`."""

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
"""Exit code if a run failed, whose results are discarded, or if a check of the simulated day failed."""

UNUSABLE = 2
"""Exit code if a file or an argument is invalid."""

SERVICES_SHOWN = 5
"""Number of the largest services that the summary of a plan lists by name."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns the exit code."""
    parsed = _parser().parse_args(arguments)
    try:
        settings = read(parsed.file)
    except InvalidConfigurationError as error:
        print(error, file=sys.stderr)
        return UNUSABLE
    return parsed.command(settings, parsed)


def run(settings: Settings, parsed: argparse.Namespace) -> int:
    """Measures the sizes in the file, fits and proves the slopes, and prints tables for each dimension."""
    chosen = settings.quick if parsed.quick else settings.full
    dimensions = parsed.dimension or list(chosen.sizes)
    missing = [dimension for dimension in dimensions if dimension not in chosen.sizes]
    if missing:
        print(_missing_sizes_text(missing, chosen, parsed), file=sys.stderr)
        return UNUSABLE
    if parsed.json and not Path(parsed.json).parent.is_dir():
        print(f"{parsed.json}: the folder does not exist", file=sys.stderr)
        return UNUSABLE
    from oatcart.scale.children import ChildError  # only this command starts roles
    from oatcart.scale.runs import measure

    try:
        measurements = measure(settings, parsed.quick, dimensions, report_progress)
    except ChildError as error:
        print(f"the run failed: {error}", file=sys.stderr)
        return FAILED
    slopes = analyse(measurements)
    print(text_report(measurements, slopes, settings.budgets))
    _write_results(parsed, settings, measurements, slopes)
    return 0


def plan(settings: Settings, parsed: argparse.Namespace) -> int:
    """Generates the fleet and its day and prints a summary of both."""
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
    """Runs the fleet's day, scaled to this machine, and prints its costs and the result of its checks."""
    if parsed.json and not Path(parsed.json).parent.is_dir():
        print(f"{parsed.json}: the folder does not exist", file=sys.stderr)
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
        print(f"the day failed: {error}", file=sys.stderr)
        return FAILED
    print(day_text(result))
    if parsed.json:
        Path(parsed.json).write_text(day_json(result) + "\n", encoding="utf-8")
    return FAILED if result.complaints else 0


def report_progress(line: str) -> None:
    """Prints a line of progress on standard error."""
    print(line, file=sys.stderr, flush=True)


def fleet_summary(fleet: FleetPlan) -> str:
    """Returns text on how the endpoints of a fleet are spread over services, zones and racks."""
    services = sorted((len(endpoints), name) for name, endpoints in fleet.endpoints_by_service().items())
    zones = sorted(len(endpoints) for endpoints in fleet.endpoints_by_zone().values())
    largest = ", ".join(f"{name} {count:,}" for count, name in services[: -SERVICES_SHOWN - 1 : -1])
    return "\n".join(
        [
            f"endpoints: {len(fleet.endpoints):,} in {len(services):,} services, {len(zones):,} zones, "
            f"{len(fleet.endpoints_by_rack()):,} racks and {len(fleet.regions):,} regions",
            f"largest services: {largest}; median {services[len(services) // 2][0]:,}",
            f"endpoints per zone: {zones[0]:,} to {zones[-1]:,}, median {zones[len(zones) // 2]:,}",
            f"controllers: {len(fleet.controllers):,}, "
            f"for {fleet.settings.services_per_conductor} services each",
        ]
    )


def day_summary(day: DayPlan) -> str:
    """Returns text on the number of events of each type in a day."""
    counts = Counter(type(event).__name__ for event in day.events)
    lines = [f"day: {len(day.events):,} events in {day.length_s:,.0f} s"]
    lines += [f"  {name}: {count:,}" for name, count in sorted(counts.items())]
    return "\n".join(lines)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m oatcart.scale", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    run_parser = commands.add_parser("run", help=run.__doc__, description=run.__doc__)
    run_parser.add_argument("file", help="the settings file, such as deploy/scale.yaml")
    run_parser.add_argument("--quick", action="store_true", help="use the sizes and times under `quick`")
    run_parser.add_argument(
        "--dimension", action="append", choices=DIMENSIONS, help="measure only this one; may be repeated"
    )
    run_parser.add_argument("--json", metavar="PATH", help="write measurements and slopes to this file")
    run_parser.add_argument("--plots", metavar="FOLDER", help="draw each slope as a PNG; needs matplotlib")
    run_parser.set_defaults(command=run)
    plan_parser = commands.add_parser("plan", help=plan.__doc__, description=plan.__doc__)
    plan_parser.add_argument("file", help="the settings file, such as deploy/scale.yaml")
    plan_parser.set_defaults(command=plan)
    day_parser = commands.add_parser("day", help=day.__doc__, description=day.__doc__)
    day_parser.add_argument("file", help="the settings file, such as deploy/scale.yaml")
    day_parser.add_argument("--quick", action="store_true", help="use a smaller fleet and a shorter day")
    day_parser.add_argument(
        "--whole-list",
        action="store_true",
        help="controllers watch the complete list, without the control role",
    )
    day_parser.add_argument("--json", metavar="PATH", help="write the figures to this file")
    day_parser.set_defaults(command=day)
    return parser


def _missing_sizes_text(missing: Sequence[str], chosen: RunSettings, parsed: argparse.Namespace) -> str:
    section = "quick" if parsed.quick else "full"
    return f"{parsed.file}: {section}.sizes has no {', '.join(missing)}; it has {', '.join(chosen.sizes)}"


def _write_results(
    parsed: argparse.Namespace,
    settings: Settings,
    measurements: Sequence[Measurement],
    slopes: Sequence[QuantitySlope],
) -> None:
    if parsed.json:
        Path(parsed.json).write_text(json_report(measurements, slopes) + "\n", encoding="utf-8")
    if parsed.plots:
        from oatcart.scale.plots import draw_slopes  # needs matplotlib, which is optional

        for path in draw_slopes(slopes, parsed.plots, settings.budgets):
            report_progress(f"drew {path}")


if __name__ == "__main__":
    sys.exit(main())
