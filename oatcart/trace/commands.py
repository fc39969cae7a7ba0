"""The commands of `python -m oatcart.trace`: each prints its result and returns the exit code.

All raise OSError or CorruptTraceError for files that cannot be read or written.
"""

import argparse
import json
import secrets
import sys
from collections.abc import Iterable
from enum import IntEnum

from oatcart.trace.clock_alignment import AlignedClocks
from oatcart.trace.merge import merge
from oatcart.trace.pseudonyms import Pseudonymizer
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS, FIELDS_MERGED, Record, RecordKind
from oatcart.trace.replay import replay
from oatcart.trace.selection import Selection, select
from oatcart.trace.summary import idempotent_classes
from oatcart.trace.summary import summarize as summarize_records
from oatcart.trace.timeline import Subject, timeline
from oatcart.trace.trace_files import read_traces, write_trace


class ExitCode(IntEnum):
    """The exit code of a command."""

    OK = 0
    INCOMPLETE = 1  # records are missing, a rule was broken, or a replay differed
    UNUSABLE = 2  # a file or an argument cannot be used


def print_result(result: object, lines: Iterable[str], as_json: bool) -> None:
    """Print a result as one JSON object, or else as the lines of text for it."""
    if as_json:
        print(json.dumps(result, default=_as_json))
        return
    for line in lines:
        print(line)


def _as_json(value: object) -> str:
    """Convert a value that JSON cannot represent: bytes to hex, others to text."""
    return value.hex() if isinstance(value, bytes) else str(value)


def report_missing(missing: list[str]) -> ExitCode:
    """Print to standard error what could not be read; return the exit code."""
    for line in missing:
        print(f"missing: {line}", file=sys.stderr)
    return ExitCode.INCOMPLETE if missing else ExitCode.OK


def reject_argument(message: str) -> ExitCode:
    """Print to standard error why an argument is invalid; return the exit code."""
    print(message, file=sys.stderr)
    return ExitCode.UNUSABLE


def check(args: argparse.Namespace) -> ExitCode:
    """Print what is intact in each file, what is missing, and whether its rounds are replayed identically."""
    code = ExitCode.OK
    for path in args.files:
        records, missing, metadata = read_traces([path])
        replayed = replay(records) if args.again else None
        result = {
            "file": path,
            "facts": metadata,
            "records": len(records),
            "missing": missing,
            "again": replayed and dict(zip(("rounds", "orders", "differs"), replayed, strict=True)),
        }
        lines = [
            f"{path}: {len(records)} records of {metadata.get('instance')}, {len(missing)} faults",
            *missing,
        ]
        if replayed:
            counts = f"{replayed.rounds} rounds played again, {replayed.commands} orders"
            lines.append(f"{counts}: {replayed.difference or 'identical'}")
        print_result(result, lines, args.json)
        if missing or replayed and replayed.difference:
            code = ExitCode.INCOMPLETE
    return code


def summarize(args: argparse.Namespace) -> ExitCode:
    """Print requests by class, zone and endpoint, decisions by reason, and rules that were broken."""
    records, missing, _ = read_traces(args.files, args.first, args.last)
    start = next((record.fields for record in records if record.kind == RecordKind.START), None)
    summary = summarize_records(records, idempotent_classes(start) if start else None)
    print_result(summary, _summary_lines(summary), args.json)
    return report_missing(missing) or (ExitCode.INCOMPLETE if summary["breaches"] else ExitCode.OK)


def _summary_lines(summary: dict) -> list[str]:
    """Return the lines of text for a summary."""
    counts = ", ".join(f"{count} {kind}" for kind, count in summary["records"].items())
    lines = [f"{summary['first']:.3f} to {summary['last']:.3f}; {counts}"]
    for field, rows in summary["reqs"].items():
        for name, figures in rows.items():
            columns = "  ".join(f"{figure} {value:g}" for figure, value in sorted(figures.items()))
            lines.append(f"{field:5} {name or '-':20} {columns}")
    lines += [f"decided {row['count']:8} {row['decision']} {row['reason']}" for row in summary["decisions"]]
    lines += [f"shed {count} {kind}" for kind, count in summary["shed"].items()]
    lines += [
        f"the clock stepped by {step['stepped']:.3f} s at {step['at']:.3f}" for step in summary["clock_steps"]
    ]
    lines += [f"RULE {breach['rule']} BROKEN: {breach['what']}" for breach in summary["breaches"]]
    lines += [
        f"in doubt: {repeated['kind']} {repeated['key']} was handed to nodes {len(repeated['ran'])} times: "
        f"{'; '.join(repeated['ran'])}"
        for repeated in summary["doubts"]
    ]
    return lines


def cut(args: argparse.Namespace) -> ExitCode:
    """Write the part of a trace that matches a time span, endpoints, proxies or request classes."""
    records, missing, metadata = read_traces(args.files)
    selection = Selection(args.first, args.last, set(args.node), set(args.proxy), set(args.kind))
    fields = FIELDS_MERGED if metadata.get("merged") else FIELDS
    span = {"cut": [args.first, args.last]}
    count = write_trace(args.out, metadata | span, select(records, selection), fields)
    print_result({"records": count}, [f"{args.out}: {count} of {len(records)} records"], args.json)
    return report_missing(missing)


def merge_traces(args: argparse.Namespace) -> ExitCode:
    """Write the traces of several instances as one, with times by the clock of one of them."""
    paths_by_instance: dict[str, list[str]] = {}
    for path in args.files:
        with TraceReader(path) as trace:
            paths_by_instance.setdefault(trace.metadata["instance"], []).append(path)
    traces, missing = {}, []
    for instance, paths in paths_by_instance.items():
        contents = read_traces(sorted(paths))
        traces[instance] = contents.records
        missing += contents.missing
    reference = args.reference or next(iter(traces))
    if reference not in traces:
        return reject_argument(f"--reference: got {reference}, expected one of {', '.join(traces)}")
    records, clocks = merge(traces, reference)
    metadata = {"merged": list(traces), "reference": reference, "instance": reference}
    write_trace(args.out, metadata, records, FIELDS_MERGED)
    _print_merge(args, records, clocks)
    return report_missing(missing)


def _print_merge(args: argparse.Namespace, records: list[Record], clocks: AlignedClocks) -> None:
    """Print how the clocks relate, and for how many records the position is uncertain."""
    estimates = {
        name: {
            "offset_s": clock.offset,
            "drift_ppm": clock.drift * 1e6,
            "bound_s": max(clock.end_bounds),
        }
        for name, clock in clocks.by_instance.items()
    }
    uncertain = sum(not record.fields["certain"] for record in records)
    result = {
        "clocks": estimates,
        "contradictions": clocks.contradictions,
        "records": len(records),
        "uncertain": uncertain,
    }
    lines = [
        f"{name}: offset {clock['offset_s']:+.6f} s, drift {clock['drift_ppm']:+.1f} ppm, "
        f"within {clock['bound_s']:.6f} s"
        for name, clock in estimates.items()
    ]
    lines += clocks.contradictions
    lines.append(f"{args.out}: {len(records)} records, the place of {uncertain} is not certain")
    print_result(result, lines, args.json)


def strip(args: argparse.Namespace) -> ExitCode:
    """Write a trace without names, keys and free text, for outsiders."""
    records, missing, metadata = read_traces(args.files)
    # a new secret for each export, never stored, so that the pseudonyms of two exports cannot be linked
    pseudonymizer = Pseudonymizer(secrets.token_bytes(32))
    instance = pseudonymizer.pseudonym("instance", metadata.get("instance", ""))
    stripped_metadata = {"instance": instance, "stripped": True}
    if metadata.get("merged"):
        stripped_metadata["merged"] = True
    fields = FIELDS_MERGED if metadata.get("merged") else FIELDS
    count = write_trace(args.out, stripped_metadata, map(pseudonymizer.replace, records), fields)
    replaced, dropped = pseudonymizer.replaced, pseudonymizer.dropped
    result = {"records": count, "replaced": replaced, "dropped": dropped}
    lines = [
        f"{args.out}: {count} records",
        *(f"replaced {number} {name_type}" for name_type, number in replaced.items()),
        *(f"dropped {number} {command}" for command, number in dropped.items() if number),
    ]
    print_result(result, lines, args.json)
    return report_missing(missing)


def show(args: argparse.Namespace) -> ExitCode:
    """Print the events of one request, idempotency key or endpoint."""
    records, missing, _ = read_traces(args.files, args.first, args.last)
    request = None
    if args.req:
        proxy, _, number = args.req.rpartition(":")
        if not proxy or not number.isdigit():
            return reject_argument(f"--req: expected PROXY:NUMBER, got {args.req!r}")
        request = proxy, int(number)
    try:
        key = bytes.fromhex(args.key)
    except ValueError:
        return reject_argument(f"--key: expected hex digits, got {args.key!r}")
    lines = timeline(records, Subject(key, request, args.node))
    print_result({"events": lines}, lines or ["no events recorded"], args.json)
    return report_missing(missing)
