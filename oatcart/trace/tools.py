"""What is asked of traces: a cut, an export without identities, a summary, one req's or one node's story. No
I/O here but reading what is handed in."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from math import inf

from hdrh.histogram import HdrHistogram

from oatcart.model import EndpointState, Idempotency
from oatcart.trace.records import CLOCK, DONE, NAME, REQ, ROUND, SHED, START, TRY, Record

TOOK_MOST = 3_600_000_000  # us; an hour
PSEUDONYM = 12  # letters; enough that a million names do not meet


def cut(
    records: Iterable[Record],
    first: float = -inf,
    last: float = inf,
    nodes: set[str] = frozenset(),
    proxies: set[str] = frozenset(),
    kinds: set[str] = frozenset(),
) -> Iterator[Record]:
    """The records of a span that concern some nodes, proxies or request kinds; rounds stay whole, as half a
    round could not be played again."""
    for record in records:
        told = record.fields
        if not first <= told["at"] < last and record.kind not in (START, NAME):
            continue
        if record.kind in (REQ, TRY) and (
            nodes
            and told["node"] not in nodes
            or proxies
            and told["proxy"] not in proxies
            or kinds
            and told["kind"] not in kinds
        ):
            continue
        yield record


class Strip:
    """Names and keys become pseudonyms under a secret of this export: equal ones stay equal in it, and cannot
    be linked to another export's. `replaced` counts them by field. Request kinds, outcomes and endings stay,
    as they name nobody."""

    def __init__(self, secret: bytes) -> None:
        self.secret = secret
        self.replaced: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def _word(self, field: str, value: str | bytes) -> str:
        data = value if isinstance(value, bytes) else value.encode()
        self.replaced[field] += 1
        return blake2b(data, key=self.secret, person=field.encode()[:16], digest_size=16).hexdigest()[
            :PSEUDONYM
        ]

    def record(self, record: Record) -> Record:
        told = dict(record.fields)
        for field, sort in (
            ("proxy", "proxy"),
            ("node", "node"),
            ("zone", "zone"),
            ("instance", "instance"),
            ("to", "peer"),
            ("of", "peer"),
        ):
            if told.get(field):
                told[field] = self._word(sort, told[field])
        for field in "key", "link":
            if told.get(field):
                told[field] = self._word(field, told[field]).encode()
        if record.kind == NAME:
            told["name"] = self._word(told["what"], told["name"])
        elif record.kind == START:
            told["names"] = {
                "kinds": told["names"].get("kinds", ()),
                "zones": [self._word("zone", one) for one in told["names"].get("zones", ())],
            }
        elif record.kind == ROUND:
            kept = [order for order in told["orders"] if order[0] != "note"]  # free text
            self.dropped["note"] += len(told["orders"]) - len(kept)
            told["orders"] = kept
        if "witnesses" in told:
            told["witnesses"] = [self._word("instance", one) for one in told["witnesses"]]
        return Record(record.kind, told)


def reasons(record: Record, states: dict[int, int]) -> Iterator[tuple[str, str]]:
    """The decisions of a round and why, as far as its arrivals and those before tell: (decision, reason).
    `states` is carried from round to round: what the list says of each node."""
    for arrival in record.fields["arrivals"]:
        if arrival[0] == "listed":
            if arrival[1]:
                told = {entry[0] for entry in arrival[2]}
                states.update({place: EndpointState.GONE for place in states if place not in told})
            states.update({entry[0]: entry[3] for entry in arrival[2]})
    for order in record.fields["orders"]:
        if order[0] == "withdraw":
            state = states.get(order[1], EndpointState.GONE)
            why = {EndpointState.READY: "evidence", EndpointState.DRAINING: "drain"}.get(state, "gone")
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
        if record.kind in (REQ, TRY, ROUND):
            first, last = min(first, told["at"]), max(last, told["at"])
        if (
            record.kind in (REQ, TRY)
            and told["key"]
            and told["node"]
            and not (repeats or {}).get(told["kind"], False)
        ):
            ran[told["kind"], told["key"]].append(
                f"{told['proxy']}:{told['id']} at {told['node']} {told.get('ending') or told.get('outcome')}"
            )
        if record.kind == REQ:
            for name, counts in by.items():
                counts[told[name]][told["outcome"]] += 1
                counts[told[name]]["value"] += told["value"] if told["outcome"] == DONE else 0.0
                if told["outcome"] == DONE:
                    took[name][told[name]].record_value(max(1, min(TOOK_MOST, round(told["took"] * 1e6))))
            unrepeatable = told["key"] and not (repeats or {}).get(told["kind"], False)
            if unrepeatable and told["outcome"] == DONE:
                done[told["kind"], told["key"]].append(told)
        elif record.kind == ROUND:
            decisions.update(reasons(record, states))
        elif record.kind == SHED:
            shed[told["kind"]] += told["count"]
        elif record.kind == CLOCK and told["stepped"]:
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
        if record.kind == NAME and told["what"] == "node":
            numbers[told["number"]] = told["name"]
        elif record.kind in (REQ, TRY):
            mine = (
                key
                and told["key"] == key
                or req
                and (told["proxy"], told["id"]) == req
                or node
                and told["node"] == node
            )
            if mine and record.kind == TRY:
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
        elif record.kind == ROUND and node:
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


def names_in(records: Iterable[Record]) -> Iterator[bytes]:
    """Every name and key that an export must not hold."""
    for record in records:
        for field in ("proxy", "node", "zone", "instance", "to", "of", "name"):
            if isinstance(value := record.fields.get(field), str) and value:
                yield value.encode()
        for field in "key", "link":
            if value := record.fields.get(field):
                yield value


def may_repeat(start: dict) -> dict[str, bool]:
    """By request kind, from a start record, whether a req may run more than once."""
    return {
        name: kind[2] == Idempotency.IDEMPOTENT
        for name, kind in zip(start["names"].get("kinds", ()), start["records"]["kinds"], strict=False)
    }
