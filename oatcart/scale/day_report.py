"""Reports a played day as tables of text and as JSON."""

import json
from dataclasses import asdict

from oatcart.scale.day import DayResult
from oatcart.scale.day_deliveries import DeliveryStats
from oatcart.scale.day_loads import Rates
from oatcart.scale.figures import summarize_delays
from oatcart.scale.report import NOT_MEASURED, OVER_BUDGET, align, number_text

COMPLAINTS_SHOWN = 20
RATE_TITLES = ("share of a core", "bytes in/s", "bytes out/s", "messages in/s", "messages out/s")


def day_text(result: DayResult) -> str:
    """Returns the report of a day as tables of text."""
    parts = [_scale_text(result), _kinds_text(result), _drains_text(result), _loads_text(result)]
    parts += [_healings_text(result), _end_text(result), _complaints_text(result)]
    return "\n\n".join(part for part in parts if part)


def day_json(result: DayResult) -> str:
    """Returns the report of a day as a JSON object; of delays it has the median, p99 and last."""
    kinds = {kind.value: _kind_object(one) for kind, one in result.kinds.items()}
    document = {
        "scale": asdict(result.scale),
        "whole_list": result.whole_list,
        "fleet": result.fleet,
        "budget_s": result.budget_s,
        "length_s": result.length_s,
        "took_s": result.took_s,
        "paused_s": result.paused_s,
        "late_s": result.late_s,
        "hollow_late_s": result.hollow_late_s,
        "hollow_was_late": result.hollow_was_late,
        "hollow_core_share": result.hollow_core_share,
        "kinds": kinds,
        "drains": asdict(result.drains),
        "healings": [_healing_object(one) for one in result.healings],
        "loads": [
            {
                "role": load.role,
                "mean": load.mean._asdict(),
                "worst": load.worst._asdict(),
                "zone_lost": load.zone_lost and load.zone_lost._asdict(),
            }
            for load in result.loads
        ],
        "end": result.end._asdict(),
        "complaints": result.complaints,
    }
    return json.dumps(document, indent=1)


def _scale_text(result: DayResult) -> str:
    scale = result.scale
    followed = "the complete list" if result.whole_list else "bounded views of the control role"
    late = " (THE MACHINE WAS LATE: it caused part of the delays)" if result.hollow_was_late else ""
    return "\n".join(
        [
            f"fleet: {', '.join(f'{count:,} {name}' for name, count in result.fleet.items())}",
            f"controllers: {scale.hollow} hollow and {scale.real} real, watching {followed}",
            f"day: {result.length_s:.0f} s, compressed {scale.time_compression:,.0f} times; took "
            f"{result.took_s:.1f} s, {result.paused_s:.1f} s of it paused around partitions",
            "Delays are in real time; only the gaps between events are compressed.",
            f"changes made at most {result.late_s:.2f} s late; reports of hollow controllers at most "
            f"{result.hollow_late_s:.2f} s late{late}",
        ]
    )


def _kinds_text(result: DayResult) -> str:
    """Returns the counts of each kind of change and the times until the last controller received it."""
    rows = [
        ["kind of change", "", "revisions", "endpoints", "unheld", "pairs", "overtaken", "cut off", "missed"]
        + ["median s", "p99 s", "last s", "median of pairs s"]
    ]
    for kind, one in result.kinds.items():
        counts = (
            one.revisions,
            one.endpoints,
            one.unheld,
            one.pairs,
            one.overtaken,
            one.cut_off,
            len(one.missed),
        )
        pairs, last = summarize_delays(one.delays), summarize_delays(one.last_delays)
        times = [NOT_MEASURED] * 4
        if pairs and last:
            times = [number_text(figure) for figure in (*last, pairs.median_s)]
            times[2] += OVER_BUDGET if last.last_s > result.budget_s else ""
        rows.append([kind.value, "", *(f"{count:,}" for count in counts), *times])
    title = (
        f"from a change of an endpoint until the last controller whose list has it received the change "
        f"(budget {result.budget_s:g} s, {OVER_BUDGET}: over it)"
    )
    return f"{title}\n{align(rows)}"


def _drains_text(result: DayResult) -> str:
    drains = result.drains
    return (
        f"drained endpoints deleted: {drains.nodes:,}; drains received before the deletion by controllers "
        f"whose list had the endpoint: {drains.reached:,}, missed {len(drains.missed):,}, "
        f"cut off {drains.cut_off:,}"
    )


def _loads_text(result: DayResult) -> str:
    rows = [["role", "", *RATE_TITLES]]
    for load in result.loads:
        rows.append([load.role, "mean of the day", *_rate_cells(load.mean)])
        rows.append(["", "worst second", *_rate_cells(load.worst)])
        if load.zone_lost:
            rows.append(["", "worst second of a zone loss", *_rate_cells(load.zone_lost)])
    metered = f"hollow controller by its own meter: {number_text(result.hollow_core_share)} of a core"
    return f"{align(rows)}\n{metered}"


def _rate_cells(rates: Rates) -> list[str]:
    return [number_text(rate) for rate in rates]


def _healings_text(result: DayResult) -> str:
    lines = []
    for one in result.healings:
        caught_up = "NOT ALL CAUGHT UP" if one.caught_up_s is None else f"{one.caught_up_s:.2f} s"
        lines.append(
            f"{one.first} and {one.second} partitioned for "
            f"{one.disconnection.until - one.disconnection.since:.1f} s: "
            f"{len(one.disconnection.controllers)} controllers of {one.region} without answers during "
            f"{one.changes} changes; caught up {caught_up} after the end with {one.bytes_received:,} bytes; "
            f"moved {one.moved} endpoints of their views: {one.had_to_move} because of the changes, "
            f"{one.moved_needlessly} needlessly"
        )
    return "\n".join(lines)


def _end_text(result: DayResult) -> str:
    end = result.end
    return (
        f"at the end: {end.told} of {end.conductors} controllers were sent exactly their view; "
        f"{end.known} of {end.hollow} hollow ones know all of its endpoints and no others except "
        f"{end.kept} that left it lately; proxies of {end.tables} of {end.conductors} hold only endpoints "
        f"of the view; services without ready endpoints in two zones, although the list has them: "
        f"{len(end.unusable)}"
    )


def _complaints_text(result: DayResult) -> str:
    complaints = result.complaints
    more = len(complaints) - COMPLAINTS_SHOWN
    lines = complaints[:COMPLAINTS_SHOWN] + ([f"and {more:,} more"] if more > 0 else [])
    return "\n".join(["FAILED:", *lines]) if lines else "all expectations were met"


def _kind_object(one: DeliveryStats) -> dict[str, object]:
    delays, last = summarize_delays(one.delays), summarize_delays(one.last_delays)
    return {
        "revisions": one.revisions,
        "nodes": one.endpoints,
        "unheld": one.unheld,
        "pairs": one.pairs,
        "overtaken": one.overtaken,
        "cut_off": one.cut_off,
        "late": one.over_budget,
        "missed": one.missed,
        "delays": delays and delays._asdict(),
        "last_delays": last and last._asdict(),
    }


def _healing_object(healing: object) -> dict[str, object]:
    fields = healing._asdict()
    disconnection = fields.pop("disconnection")
    return fields | {
        "conductors": sorted(disconnection.controllers),
        "cut_for_s": disconnection.until - disconnection.since,
    }
