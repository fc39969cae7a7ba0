"""What is asked of traces: a summary, one req's or one node's story. No
I/O here but reading what is handed in."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from math import inf

from hdrh.histogram import HdrHistogram

from oatcart import interface as our
from oatcart.trace.records import Record, RecordKind, RequestOutcome

TOOK_MOST = 3_600_000_000  # us; an hour


def reasons(record: Record, states: dict[int, int]) -> Iterator[tuple[str, str]]:
    """The decisions of a round and why, as far as its arrivals and those before tell: (decision, reason).
    `states` is carried from round to round: what the list says of each node."""
    for arrival in record.fields["arrivals"]:
        if arrival[0] == "listed":
            if arrival[1]:
                told = {entry[0] for entry in arrival[2]}
                states.update({place: our.GONE for place in states if place not in told})
            states.update({entry[0]: entry[3] for entry in arrival[2]})
    for order in record.fields["orders"]:
        if order[0] == "withdraw":
            state = states.get(order[1], our.GONE)
            why = {our.READY: "evidence", our.DRAINING: "drain"}.get(state, "gone")
            yield ("withdraw", why) if order[2] else ("let back", "returned")
        elif order[0] == "line":
            yield "line", "weight" if order[3] else "no line"
        elif order[0] == "admit":
            yield "admit", "open" if order[3] >= 1.0 else "cut"
        else:
            yield order[0], ""


def summary(records: Iterable[Record], repeats: dict[str, bool] | None = None) -> dict:
    """What came of the reqs, by kind, zone and node; decisions by reason; rules that were seen broken.
    `repeats`: by request kind, whether a req of it may run more than once; kinds that are not named may not
    if their reqs bear keys. Of these `breaches` were done twice, by different reqs; `doubts` were handed to
    nodes more than once, whatever came of it."""
    by = {name: defaultdict(Counter) for name in ("kind", "zone", "node")}
    took = {name: defaultdict(lambda: HdrHistogram(1, TOOK_MOST, 2)) for name in by}
    decisions, shed, kinds, states = Counter(), Counter(), Counter(), {}
    done, ran, breaches, clock = defaultdict(list), defaultdict(list), [], []
    first, last = inf, -inf
    for record in records:
        told = record.fields
        kinds[record.kind] += 1
        if record.kind in (RecordKind.REQUEST, RecordKind.ATTEMPT, RecordKind.ROUND):
            first, last = min(first, told["at"]), max(last, told["at"])
        if (
            record.kind in (RecordKind.REQUEST, RecordKind.ATTEMPT)
            and told["key"]
            and told["node"]
            and not (repeats or {}).get(told["kind"], False)
        ):
            ran[told["kind"], told["key"]].append(
                f"{told['proxy']}:{told['id']} at {told['node']} {told.get('ending') or told.get('outcome')}"
            )
        if record.kind == RecordKind.REQUEST:
            for name, counts in by.items():
                counts[told[name]][told["outcome"]] += 1
                counts[told[name]]["value"] += (
                    told["value"] if told["outcome"] == RequestOutcome.SUCCEEDED else 0.0
                )
                if told["outcome"] == RequestOutcome.SUCCEEDED:
                    took[name][told[name]].record_value(max(1, min(TOOK_MOST, round(told["took"] * 1e6))))
            unrepeatable = told["key"] and not (repeats or {}).get(told["kind"], False)
            if unrepeatable and told["outcome"] == RequestOutcome.SUCCEEDED:
                done[told["kind"], told["key"]].append(told)
        elif record.kind == RecordKind.ROUND:
            decisions.update(reasons(record, states))
        elif record.kind == RecordKind.SHED:
            shed[told["kind"]] += told["count"]
        elif record.kind == RecordKind.CLOCK and told["stepped"]:
            clock.append({"at": told["at"], "stepped": told["stepped"]})
    for (kind, key), found in done.items():
        if len({(one["proxy"], one["id"]) for one in found}) > 1:
            breaches.append(
                {
                    "rule": 2,
                    "what": f"{kind} {key.hex()} was done {len(found)} times",
                    "at": [one["at"] for one in found],
                }
            )
    return {
        "first": first,
        "last": last,
        "records": dict(kinds),
        "shed": dict(shed),
        "clock_steps": clock,
        "reqs": {
            name: {one: dict(counts) | _spans(took[name].get(one)) for one, counts in sorted(found.items())}
            for name, found in by.items()
        },
        "decisions": [
            {"decision": what, "reason": why, "count": count}
            for (what, why), count in decisions.most_common()
        ],
        "breaches": breaches,
        "doubts": [
            {"kind": kind, "key": key.hex(), "ran": found}
            for (kind, key), found in ran.items()
            if len(found) > 1
        ],
    }


def _spans(histogram: HdrHistogram | None) -> dict:
    if histogram is None:
        return {}
    return {f"p{percent}_ms": histogram.get_value_at_percentile(percent) / 1000 for percent in (50, 99)}


def story(
    records: Iterable[Record], key: bytes = b"", req: tuple[str, int] | None = None, node: str = ""
) -> list[str]:
    """One req's or one node's story, a line an event. Two tries of one req are two lines, and two reqs that
    bear one key are two reqs."""
    out, numbers, states = [], {}, {}
    for record in records:
        told = record.fields
        seen = f" seen by {', '.join(told['witnesses'])}" if told.get("witnesses") else ""
        at = f"{told['at']:.6f}" + (f" ±{told['bound']:.6f}" if "bound" in told else "")
        if record.kind == RecordKind.ENDPOINT_NAME and told["what"] == "node":
            numbers[told["number"]] = told["name"]
        elif record.kind in (RecordKind.REQUEST, RecordKind.ATTEMPT):
            mine = (
                key
                and told["key"] == key
                or req
                and (told["proxy"], told["id"]) == req
                or node
                and told["node"] == node
            )
            if mine and record.kind == RecordKind.ATTEMPT:
                out.append(
                    f"{at} {told['proxy']}:{told['id']} {told['kind']} try {told['number']} "
                    f"at {told['node']} ended "
                    f"{told['ending']} after {told['took'] * 1000:.3f} ms{seen}"
                )
            elif mine:
                out.append(
                    f"{at} {told['proxy']}:{told['id']} {told['kind']} {told['outcome']} by "
                    f"{told['node'] or 'no node'}, {told['tries']} tries, {told['took'] * 1000:.3f} ms{seen}"
                )
        elif record.kind == RecordKind.ROUND and node:
            why = list(reasons(record, states))
            for order, (_, reason) in zip(record.fields["orders"], why, strict=True):
                if (
                    order[0] in ("withdraw", "line")
                    and numbers.get(order[2 if order[0] == "line" else 1]) == node
                ):
                    what = (
                        f"weight {order[3]:g} in table {order[1]}"
                        if order[0] == "line"
                        else "withdrawn"
                        if order[2]
                        else "let back"
                    )
                    out.append(
                        f"{at} {told.get('instance', 'round')} {told['number']}: "
                        f"{node} {what} ({reason}){seen}"
                    )
        if told.get("certain") == 0 and out and out[-1].startswith(at):
            out[-1] += " (its place after the one before is not certain)"
    return out


def may_repeat(start: dict) -> dict[str, bool]:
    """By request kind, from a start record, whether a req may run more than once."""
    return {
        name: kind[2] == our.REPLAYABLE
        for name, kind in zip(start["names"].get("kinds", ()), start["records"]["kinds"], strict=False)
    }
