"""Traces of several instances as one: whose clock is off by what, what came before what, what cannot be said.
No I/O.

Each instance's clock is taken to be a straight line of the reference's: offset and drift. A message that was
sent by one and met by another says that the sending was not after the meeting; all of these together are
linear, and a linear program finds the lines that leave every one of them the most room, and how far each
could lie off (the bound). An order is claimed only where the bounds support it.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog

from oatcart.trace.records import Record, RecordKind

DRIFT_MOST = 1e-3  # s a second; no clock that runs is off by more
LINKS_MOST = 4000  # of a pair of instances that go into the program: those that bind most, evenly over time
SAME = {
    RecordKind.REQUEST: ("proxy", "id"),
    RecordKind.ATTEMPT: ("proxy", "id", "number"),
}  # by which records tell of one event


class Link(NamedTuple):
    """A message: who sent it and who met it, each by its own clock, in seconds."""

    sender: str
    receiver: str
    sent: float
    met: float


@dataclass(slots=True)
class Clock:
    """An instance's clock as the reference's: `time + offset + drift * (time - middle)`. `lows` and `highs`:
    how far the time at `first` and `last` may lie off; inf where nothing ties the instance to the reference.
    """

    offset: float = 0.0
    drift: float = 0.0
    middle: float = 0.0
    first: float = 0.0
    last: float = 0.0
    ends: tuple[float, float] = (0.0, 0.0)

    def common(self, at: float) -> float:
        return at + self.offset + self.drift * (at - self.middle)

    def bound(self, at: float) -> float:
        """By how much the common time may be off: the width between two ends is convex, so a line over it is
        safe; beyond the ends it grows with the drift that is left."""
        if self.last <= self.first:
            return max(self.ends)
        part = (at - self.first) / (self.last - self.first)
        if 0.0 <= part <= 1.0:
            return self.ends[0] + part * (self.ends[1] - self.ends[0])
        outside = self.first - at if part < 0 else at - self.last
        return max(self.ends) + outside * (sum(self.ends) / (self.last - self.first))


def mark_link(conductor: str, mark: int) -> bytes:
    """The name of the message that asks for a mark; who meets it notes it by this name."""
    return f"{conductor}:mark:{mark}".encode()


def applied_link(conductor: str, mark: int, proxy: int) -> bytes:
    """The name of its acknowledgement."""
    return f"{conductor}:applied:{mark}:{proxy}".encode()


def ends(instance: str, record: Record) -> Iterator[tuple[str, bytes]]:
    """The ends of messages that a record tells of, (kind of record, name): a round's marks and
    acknowledgements too.
    """
    if record.kind in (RecordKind.MESSAGE_SENT, RecordKind.MESSAGE_RECEIVED):
        yield record.kind, record.fields["link"]
    elif record.kind == RecordKind.ROUND:
        for arrival in record.fields["arrivals"]:
            if arrival[0] == "applied":
                yield RecordKind.MESSAGE_RECEIVED, applied_link(instance, arrival[2], arrival[1])
        for order in record.fields["orders"]:
            if order[0] == "ask_ack":
                yield RecordKind.MESSAGE_SENT, mark_link(instance, order[1])


def links(traces: dict[str, Sequence[Record]]) -> list[Link]:
    """The messages that both ends noted. A name that was sent twice, as marks run round, says nothing."""
    sent, out = {}, []
    for instance, records in traces.items():
        for record in records:
            for end, link in ends(instance, record):
                if end == RecordKind.MESSAGE_SENT:
                    sent[link] = (instance, record.fields["at"]) if link not in sent else None
    for instance, records in traces.items():
        for record in records:
            for end, link in ends(instance, record):
                if end == RecordKind.MESSAGE_RECEIVED and (told := sent.get(link)) and told[0] != instance:
                    out.append(Link(told[0], instance, told[1], record.fields["at"]))
    return out


def _tightest(found: list[Link]) -> list[Link]:
    """Of many messages one way the quickest of each stretch of time; the others say less."""
    if len(found) <= LINKS_MOST:
        return found
    found = sorted(found, key=lambda one: one.sent)
    edges = np.linspace(0, len(found), LINKS_MOST + 1).astype(int)
    return [
        min(found[a:b], key=lambda one: one.met - one.sent)
        for a, b in zip(edges, edges[1:], strict=False)
        if b > a
    ]


@dataclass(slots=True)
class Clocks:
    """All instances' clocks; `contradictions`: in words, where no straight lines fit all messages, as where a
    clock was stepped: there no order between instances is claimed."""

    by: dict[str, Clock] = field(default_factory=dict)
    contradictions: list[str] = field(default_factory=list)


def clocks(spans: dict[str, tuple[float, float]], found: Iterable[Link], reference: str) -> Clocks:
    """`spans`: each instance's first and last time."""
    others = [name for name in spans if name != reference]
    out = Clocks(
        {
            name: Clock(middle=(first + last) / 2, first=first, last=last, ends=(inf, inf))
            for name, (first, last) in spans.items()
        }
    )
    out.by[reference].ends = (0.0, 0.0)
    by_way: dict[tuple, list[Link]] = {}
    for one in found:
        by_way.setdefault((one.sender, one.receiver), []).append(one)
    tied = _tied(reference, by_way)
    places = {name: 2 * at for at, name in enumerate(name for name in others if name in tied)}
    if not places:
        return out
    rows, limits = [], []
    for (sender, receiver), ways in by_way.items():
        if {sender, receiver} - tied:
            continue
        for one in _tightest(ways):  # common(sent) - common(met) <= 0
            row = np.zeros(2 * len(places) + 1)
            for name, at, sign in ((sender, one.sent, 1.0), (receiver, one.met, -1.0)):
                if name in places:
                    row[places[name]] += sign
                    row[places[name] + 1] += sign * (at - out.by[name].middle)
            row[-1] = 1.0  # the room that is left to every message
            rows.append(row)
            limits.append(one.met - one.sent)
    matrix, most = np.array(rows), np.array(limits)
    ranges = [(None, None), (-DRIFT_MOST, DRIFT_MOST)] * len(places)
    best = linprog(np.array([0.0] * (2 * len(places)) + [-1.0]), matrix, most, bounds=[*ranges, (0.0, None)])
    if not best.success:
        out.contradictions.append("no straight clocks fit all messages: one was stepped; no order is claimed")
        return out
    for name, place in places.items():
        clock = out.by[name]
        clock.offset, clock.drift = best.x[place], best.x[place + 1]
        widths = []
        for at in (clock.first, clock.last):
            aim = np.zeros(2 * len(places) + 1)
            aim[place], aim[place + 1] = 1.0, at - clock.middle
            lie = best.x @ aim
            reach = [linprog(sign * aim, matrix, most, bounds=[*ranges, (0.0, 0.0)]) for sign in (1.0, -1.0)]
            widths.append(max((abs(one.x @ aim - lie) if one.success else inf) for one in reach))
        clock.ends = (widths[0], widths[1])
    return out


def _tied(reference: str, by_way: dict[tuple, list]) -> set[str]:
    """The instances that messages both ways connect to the reference, directly or not."""
    tied, grew = {reference}, True
    while grew:
        grew = False
        for sender, receiver in by_way:
            for here, there in ((sender, receiver), (receiver, sender)):
                if here in tied and there not in tied and (there, here) in by_way and (here, there) in by_way:
                    tied.add(there)
                    grew = True
    return tied


def before(one: Record, other: Record) -> bool | None:
    """Whether one merged record was before the other; None where their bounds do not tell."""
    apart = other.fields["at"] - one.fields["at"]
    if one.fields["instance"] == other.fields["instance"]:
        return apart >= 0
    return None if abs(apart) <= one.fields["bound"] + other.fields["bound"] else apart > 0


def _causes_first(rows: list[list], count: int) -> None:
    """Where no straight clocks fit, an effect is still not put before its cause: it is moved up to it, and
    whatever its instance noted after it as well. `rows`: [common time, rank, place, ...record at 4], an
    instance's in order; `count`: of instances; a cause has the lower rank at the same moment."""
    for _ in range(count + 2):
        floors: dict[bytes, list] = {}
        for row in rows:
            for link in row[6]:
                floors[link] = row if link not in floors else None
        last, moved = dict.fromkeys(range(count), (-inf, 0)), False
        for row in rows:
            own = row[1] % count
            least = last[own]
            for link in row[7]:
                cause = floors.get(link)
                if cause is not None and cause is not row:
                    least = max(least, (cause[0], cause[1] + count))
            if (row[0], row[1]) < least:
                row[0], row[1] = least[0], own + count * -(-(least[1] - own) // count)
                moved = True
            last[own] = row[0], row[1]
        if not moved:
            return


def merge(traces: dict[str, Sequence[Record]], reference: str) -> tuple[list[Record], Clocks]:
    """One list in common time; fields `instance`, `bound`, `witnesses`, and `certain`: whether its place
    after the record before it is known. Records of one event become one with all its witnesses if they tell
    the same, apart from when; otherwise both stay. Within an instance the order stays as it was written,
    whatever its clock did."""
    spans = {
        name: (
            min((one.fields["at"] for one in records), default=0.0),
            max((one.fields["at"] for one in records), default=0.0),
        )
        for name, records in traces.items()
    }
    known = clocks(spans, links(traces), reference)
    out, events = [], {}
    rows = []
    for rank, (name, records) in enumerate(traces.items()):
        clock, last = known.by[name], -inf
        for at, record in enumerate(records):
            last = max(last, clock.common(record.fields["at"]))  # a clock that stepped back does not reorder
            mine = list(ends(name, record))
            rows.append(
                [
                    last,
                    rank,
                    at,
                    name,
                    record,
                    clock.bound(record.fields["at"]),
                    [link for end, link in mine if end == RecordKind.MESSAGE_SENT],
                    [link for end, link in mine if end == RecordKind.MESSAGE_RECEIVED],
                ]
            )
    _causes_first(rows, len(traces))
    for common, _, _, name, record, bound, _, _ in sorted(rows, key=lambda row: row[:3]):
        keys = SAME.get(record.kind)
        told = {field: value for field, value in record.fields.items() if field not in ("at", "instance")}
        event = (record.kind, *(record.fields.get(field) for field in keys)) if keys else None
        if event is not None:
            same = next((one for one in events.get(event, ()) if one[1] == told), None)
            if same is not None:
                same[0].fields["witnesses"].append(name)
                continue
        new = Record(
            record.kind,
            {
                **record.fields,
                "at": common,
                "bound": bound,
                "witnesses": [name],
                "certain": 1,
                "instance": record.fields.get("instance", name),
            },
        )
        if out and before(out[-1], new) is None:
            new.fields["certain"] = 0
        if event is not None:
            events.setdefault(event, []).append((new, told))
        out.append(new)
    return out, known
