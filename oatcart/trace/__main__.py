"""Traces: check, summarise, cut, merge, strip, show. `python -m oatcart.trace COMMAND --help` explains."""

import argparse
import json
import secrets
import sys
import time
from collections.abc import Iterable
from math import inf

from oatcart.trace import file_format
from oatcart.trace.merge import merge
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS, FIELDS_MERGED, Record, RecordKind
from oatcart.trace.tap import again
from oatcart.trace.tools import Strip, cut, may_repeat, story, summary
from oatcart.trace.write_policy import BLOCK_RECORDS

BAD = 2  # exit code where a file or an argument cannot be used
PROGRESS_AFTER = 1.0  # s
LACKING = 1  # where something is missing, broken or different


def read(
    paths: Iterable[str], first: float = -inf, last: float = inf
) -> tuple[list[Record], list[str], dict]:
    """All records of some files of one instance, in order; what is missing; the first file's facts."""
    records, missing, facts = [], [], None
    for path in paths:
        with TraceReader(path) as trace:
            records += trace.records(first, last, Progress(path, sys.stderr.isatty()))
            missing += [f"{path}: {what}" for what in trace.missing]
            missing += [
                f"{path}: {count} records of kind {kind}, unknown here"
                for kind, count in trace.skipped.items()
            ]
            facts = facts or trace.metadata
    return records, missing, facts or {}


class Progress:
    """How far a file has been read, on a terminal, once that takes a while."""

    def __init__(self, path: str, shown: bool) -> None:
        self.path, self.shown, self.began, self.percent = path, shown, time.monotonic(), 0

    def __call__(self, done: int, of: int) -> None:
        percent = 100 * (done + 1) // of
        if self.shown and percent != self.percent and time.monotonic() - self.began > PROGRESS_AFTER:
            self.percent = percent
            print(
                f"\r{self.path}: {percent}%", end="\n" if percent == 100 else "", file=sys.stderr, flush=True
            )


def write(path: str, facts: dict, records: Iterable[Record], fields: dict) -> int:
    """A trace of records that were read; hands back how many. An existing file is left as it is."""
    count, index = 0, []
    with open(path, "xb") as file:
        file.write(file_format.encode_header(facts))

        def flush(rows: list[tuple]) -> None:
            data, at = file_format.encode_block(len(index), rows, fields), file.tell()
            head = file_format.decode_block_header(data)
            index.append((at, len(data), head.count, head.first, head.last))
            file.write(data)

        rows = []
        for record in records:
            rows.append(
                (record.kind, *(record.fields.get(name, DEFAULTS[how]) for name, how in fields[record.kind]))
            )
            count += 1
            if len(rows) == BLOCK_RECORDS:
                flush(rows)
                rows = []
        if rows:
            flush(rows)
        file.write(file_format.encode_footer(index))
    return count


DEFAULTS = {"us": 0.0, "float": 0.0, "int": 0, "name": "", "bytes": b"", "any": None}


def told(what: object, text: Iterable[str], as_json: bool) -> None:
    if as_json:
        print(json.dumps(what, default=lambda one: one.hex() if isinstance(one, bytes) else str(one)))
    else:
        for line in text:
            print(line)


def complain(missing: list[str]) -> int:
    for line in missing:
        print(f"missing: {line}", file=sys.stderr)
    return LACKING if missing else 0


def do_check(args: argparse.Namespace) -> int:
    code = 0
    for path in args.files:
        records, missing, facts = read([path])
        played = again(iter(records)) if args.again else None
        what = {
            "file": path,
            "facts": facts,
            "records": len(records),
            "missing": missing,
            "again": played and dict(zip(("rounds", "orders", "differs"), played, strict=True)),
        }
        lines = [
            f"{path}: {len(records)} records of {facts.get('instance')}, {len(missing)} faults",
            *missing,
        ]
        if played:
            lines.append(f"{played[0]} rounds played again, {played[1]} orders: {played[2] or 'identical'}")
        told(what, lines, args.json)
        code = LACKING if missing or played and played[2] else code
    return code


def do_summary(args: argparse.Namespace) -> int:
    records, missing, _ = read(args.files, args.first, args.last)
    start = next((one.fields for one in records if one.kind == RecordKind.START), None)
    found = summary(records, may_repeat(start) if start else None)
    lines = [
        f"{found['first']:.3f} to {found['last']:.3f}; "
        + ", ".join(f"{count} {kind}" for kind, count in found["records"].items())
    ]
    for name, rows in found["reqs"].items():
        lines += [
            f"{name:5} {one or '-':20} "
            + "  ".join(f"{what} {value:g}" for what, value in sorted(counts.items()))
            for one, counts in rows.items()
        ]
    lines += [f"decided {one['count']:8} {one['decision']} {one['reason']}" for one in found["decisions"]]
    lines += [f"shed {count} {kind}" for kind, count in found["shed"].items()]
    lines += [
        f"the clock stepped by {one['stepped']:.3f} s at {one['at']:.3f}" for one in found["clock_steps"]
    ]
    lines += [f"RULE {one['rule']} BROKEN: {one['what']}" for one in found["breaches"]]
    lines += [
        f"in doubt: {one['kind']} {one['key']} was handed to nodes {len(one['ran'])} times: "
        f"{'; '.join(one['ran'])}"
        for one in found["doubts"]
    ]
    told(found, lines, args.json)
    return complain(missing) or (LACKING if found["breaches"] else 0)


def do_cut(args: argparse.Namespace) -> int:
    records, missing, facts = read(args.files)
    fields = FIELDS_MERGED if facts.get("merged") else FIELDS
    count = write(
        args.out,
        facts | {"cut": [args.first, args.last]},
        cut(records, args.first, args.last, set(args.node), set(args.proxy), set(args.kind)),
        fields,
    )
    told({"records": count}, [f"{args.out}: {count} of {len(records)} records"], args.json)
    return complain(missing)


def do_merge(args: argparse.Namespace) -> int:
    by_instance: dict[str, list[str]] = {}
    for path in args.files:
        with TraceReader(path) as trace:
            by_instance.setdefault(trace.metadata["instance"], []).append(path)
    traces, missing = {}, []
    for name, paths in by_instance.items():
        traces[name], lost, _ = read(sorted(paths))
        missing += lost
    reference = args.reference or next(iter(traces))
    if reference not in traces:
        print(f"--reference: {reference} is none of {', '.join(traces)}", file=sys.stderr)
        return BAD
    records, clocks = merge(traces, reference)
    write(
        args.out,
        {"merged": list(traces), "reference": reference, "instance": reference},
        records,
        FIELDS_MERGED,
    )
    known = {
        name: {"offset_s": one.offset, "drift_ppm": one.drift * 1e6, "bound_s": max(one.end_bounds)}
        for name, one in clocks.by_instance.items()
    }
    lines = [
        f"{name}: offset {one['offset_s']:+.6f} s, drift {one['drift_ppm']:+.1f} ppm, "
        f"within {one['bound_s']:.6f} s"
        for name, one in known.items()
    ]
    unsure = sum(not one.fields["certain"] for one in records)
    lines += [
        *clocks.contradictions,
        f"{args.out}: {len(records)} records, the place of {unsure} is not certain",
    ]
    told(
        {
            "clocks": known,
            "contradictions": clocks.contradictions,
            "records": len(records),
            "uncertain": unsure,
        },
        lines,
        args.json,
    )
    return complain(missing)


def do_strip(args: argparse.Namespace) -> int:
    records, missing, facts = read(args.files)
    # forgotten with this process, so that no two exports can be linked
    strip = Strip(secrets.token_bytes(32))
    kept = {"instance": strip._word("instance", facts.get("instance", "")), "stripped": True}
    fields = FIELDS_MERGED if facts.get("merged") else FIELDS
    count = write(
        args.out, kept | ({"merged": True} if facts.get("merged") else {}), map(strip.record, records), fields
    )
    told(
        {"records": count, "replaced": strip.replaced, "dropped": strip.dropped},
        [
            f"{args.out}: {count} records",
            *(f"replaced {many} {what}" for what, many in strip.replaced.items()),
            *(f"dropped {many} {what}" for what, many in strip.dropped.items() if many),
        ],
        args.json,
    )
    return complain(missing)


def do_show(args: argparse.Namespace) -> int:
    records, missing, _ = read(args.files, args.first, args.last)
    req = None
    if args.req:
        proxy, _, number = args.req.rpartition(":")
        if not proxy or not number.isdigit():
            print(f"--req: {args.req!r} is not PROXY:NUMBER", file=sys.stderr)
            return BAD
        req = proxy, int(number)
    try:
        key = bytes.fromhex(args.key)
    except ValueError:
        print(f"--key: {args.key!r} is not in hex", file=sys.stderr)
        return BAD
    lines = story(records, key, req, args.node)
    told({"events": lines}, lines or ["nothing was seen of it"], args.json)
    return complain(missing)


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="oatcart.trace", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def command(name: str, do, help: str, out: bool = False, span: bool = False) -> argparse.ArgumentParser:
        one = commands.add_parser(name, help=help, description=help)
        one.set_defaults(do=do)
        one.add_argument(
            "files", nargs="+", help="traces; several of one instance are read one after the other"
        )
        one.add_argument("--json", action="store_true", help="one JSON object in place of text")
        if out:
            one.add_argument("--out", required=True, help="the trace to write; it must not be there yet")
        if span:
            one.add_argument(
                "--from", dest="first", type=float, default=-inf, help="s of the instance's clock"
            )
            one.add_argument(
                "--to", dest="last", type=float, default=inf, help="s; records at it are left out"
            )
        return one

    one = command(
        "check", do_check, "What is whole, what is missing, and whether recorded rounds play again the same."
    )
    one.add_argument("--again", action="store_true", help="hand the recorded rounds to a fresh conductor")
    command(
        "summary",
        do_summary,
        "Reqs by kind, zone and node; decisions by reason; rules seen broken.",
        span=True,
    )
    one = command(
        "cut", do_cut, "A part of a trace by time, node, proxy or request kind.", out=True, span=True
    )
    for name in "node", "proxy", "kind":
        one.add_argument(
            f"--{name}", action="append", default=[], help=f"only this {name}; may be given again"
        )
    one = command(
        "merge", do_merge, "Several instances' traces as one, in the clock of one of them.", out=True
    )
    one.add_argument("--reference", default="", help="the instance whose clock counts; else the first file's")
    command(
        "strip",
        do_strip,
        "A trace for outsiders: names and keys become pseudonyms of this export alone.",
        out=True,
    )
    one = command("show", do_show, "One req's or one node's story.", span=True)
    one.add_argument("--key", default="", help="a req's unique key, in hex")
    one.add_argument("--req", default="", help="a req as PROXY:NUMBER")
    one.add_argument("--node", default="", help="a node")
    args = parser.parse_args(words)
    try:
        return args.do(args)
    except (file_format.CorruptTraceError, OSError) as error:
        print(f"{', '.join(args.files)}: {error}", file=sys.stderr)
        return BAD


if __name__ == "__main__":
    sys.exit(main())
