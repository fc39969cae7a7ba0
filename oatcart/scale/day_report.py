"""A played day for people, as tables of text, and as JSON."""

import json
from dataclasses import asdict

from oatcart.scale.day import DayResult
from oatcart.scale.day_deliveries import Deliveries
from oatcart.scale.day_loads import Rates
from oatcart.scale.figures import summarize_delays
from oatcart.scale.report import NOT_MEASURED, OVER_BUDGET, align, number_text

COMPLAINTS_SHOWN = 20
RATE_TITLES = ("share of a core", "bytes in/s", "bytes out/s", "messages in/s", "messages out/s")


def day_text(result: DayResult) -> str:
    """All of the day in tables."""
    parts = [_scale_text(result), _kinds_text(result), _drains_text(result), _loads_text(result)]
    parts += [_healings_text(result), _end_text(result), _complaints_text(result)]
    return "\n\n".join(part for part in parts if part)


def day_json(result: DayResult) -> str:
    """The day as a JSON object; delays are summed up."""
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
    followed = "the whole list" if result.whole_list else "bounded views of the control role"
    late = " (THE MACHINE WAS LATE: delays are partly its own)" if result.hollow_was_late else ""
    return "\n".join(
        [
            f"fleet: {', '.join(f'{count:,} {name}' for name, count in result.fleet.items())}",
            f"conductors: {scale.hollow} hollow and {scale.real} real, on {followed}",
            f"day: {result.length_s:.0f} s, compressed {scale.time_compression:,.0f} times; took "
            f"{result.took_s:.1f} s, {result.paused_s:.1f} s of it paused round cuts",
            "Delays are in real time; only the gaps between events are compressed.",
            f"changes made at most {result.late_s:.2f} s late; reports of hollow conductors at most "
            f"{result.hollow_late_s:.2f} s late{late}",
        ]
    )


def _kinds_text(result: DayResult) -> str:
    """Counts of each kind, then the times until the last controller had an endpoint's change."""
    rows = [
        ["kind of change", "", "revisions", "nodes", "unheld", "pairs", "overtaken", "cut off", "missed"]
        + ["median s", "p99 s", "last s", "median of pairs s"]
    ]
    for kind, one in result.kinds.items():
        counts = one.events, one.nodes, one.unheld, one.pairs, one.overtaken, one.cut_off, len(one.missed)
        pairs, last = summarize_delays(one.delays), summarize_delays(one.last_delays)
        times = [NOT_MEASURED] * 4
        if pairs and last:
            times = [number_text(figure) for figure in (*last, pairs.median_s)]
            times[2] += OVER_BUDGET if last.last_s > result.budget_s else ""
        rows.append([kind.value, "", *(f"{count:,}" for count in counts), *times])
    title = (
        f"from a change of a node until the last conductor that held it had it "
        f"(budget {result.budget_s:g} s, {OVER_BUDGET}: over it)"
    )
    return f"{title}\n{align(rows)}"


def _drains_text(result: DayResult) -> str:
    drains = result.drains
    return (
        f"drained nodes deleted: {drains.nodes:,}; drains had before the deletion by conductors that held "
        f"the node: {drains.reached:,}, missed {len(drains.missed):,}, cut off {drains.cut_off:,}"
    )


def _loads_text(result: DayResult) -> str:
    rows = [["role", "", *RATE_TITLES]]
    for load in result.loads:
        rows.append([load.role, "mean of the day", *_rate_cells(load.mean)])
        rows.append(["", "worst second", *_rate_cells(load.worst)])
        if load.zone_lost:
            rows.append(["", "second of the zone's loss", *_rate_cells(load.zone_lost)])
    metered = f"hollow conductor by its own meter: {number_text(result.hollow_core_share)} of a core"
    return f"{align(rows)}\n{metered}"


def _rate_cells(rates: Rates) -> list[str]:
    return [number_text(rate) for rate in rates]


def _healings_text(result: DayResult) -> str:
    lines = []
    for one in result.healings:
        caught_up = "NOT ALL CAUGHT UP" if one.caught_up_s is None else f"{one.caught_up_s:.2f} s"
        lines.append(
            f"{one.first} and {one.second} cut for {one.cut.until - one.cut.since:.1f} s: "
            f"{len(one.cut.controllers)} conductors of {one.region} without answers during {one.changes} "
            f"changes; caught up {caught_up} after the joining with {one.bytes_received:,} bytes; moved "
            f"{one.moved} nodes of their views, {one.had_to_move} had to, {one.moved_needlessly} without need"
        )
    return "\n".join(lines)


def _end_text(result: DayResult) -> str:
    end = result.end
    return (
        f"at the end: {end.told} of {end.conductors} conductors were told exactly their view; {end.known} of "
        f"{end.hollow} hollow ones know all of its nodes and no others but {end.kept} that left it lately; "
        f"proxies of {end.tables} of {end.conductors} hold nodes of the view alone; services without ready "
        f"nodes in two zones where there are two: {len(end.unusable)}"
    )


def _complaints_text(result: DayResult) -> str:
    complaints = result.complaints
    more = len(complaints) - COMPLAINTS_SHOWN
    lines = complaints[:COMPLAINTS_SHOWN] + ([f"and {more:,} more"] if more > 0 else [])
    return "\n".join(["FAILED:", *lines]) if lines else "all held"


def _kind_object(one: Deliveries) -> dict[str, object]:
    delays, last = summarize_delays(one.delays), summarize_delays(one.last_delays)
    return {
        "revisions": one.events,
        "nodes": one.nodes,
        "unheld": one.unheld,
        "pairs": one.pairs,
        "overtaken": one.overtaken,
        "cut_off": one.cut_off,
        "late": one.late,
        "missed": one.missed,
        "delays": delays and delays._asdict(),
        "last_delays": last and last._asdict(),
    }


def _healing_object(healing: object) -> dict[str, object]:
    told = healing._asdict()
    cut = told.pop("cut")
    return told | {"conductors": sorted(cut.controllers), "cut_for_s": cut.until - cut.since}
