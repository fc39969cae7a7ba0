"""Merges the traces of several instances into one, with all times by the clock of one of them. Does no I/O.

The order of two records of different instances is marked as certain only where the error bounds of their
clocks allow no other order.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import inf

from oatcart.trace.clock_alignment import AlignedClocks, Message, align_clocks
from oatcart.trace.records import Record, RecordKind
from oatcart.trace.round_codec import CommandName, EventName

Traces = Mapping[str, Sequence[Record]]  # by instance
# The fields that identify a request or attempt, which several instances may have recorded
IDENTITY_FIELDS = {RecordKind.REQUEST: ("proxy", "id"), RecordKind.ATTEMPT: ("proxy", "id", "number")}


def update_link(controller: str, nonce: int) -> bytes:
    """Return the stored name of the message that requests the acknowledgement of a nonce."""
    return f"{controller}:mark:{nonce}".encode()


def acknowledgement_link(controller: str, nonce: int, proxy: int) -> bytes:
    """Return the stored name of a proxy's acknowledgement of a nonce."""
    return f"{controller}:applied:{nonce}:{proxy}".encode()


def sends_and_receipts(instance: str, record: Record) -> Iterator[tuple[RecordKind, bytes]]:
    """Return (MESSAGE_SENT or MESSAGE_RECEIVED, message name) for each send and receipt in a record.

    A round is the send of the updates for which it requests acknowledgements, and the receipt of the
    acknowledgements among its events.
    """
    if record.kind in (RecordKind.MESSAGE_SENT, RecordKind.MESSAGE_RECEIVED):
        yield RecordKind(record.kind), record.fields["link"]
    elif record.kind == RecordKind.ROUND:
        for event in record.fields["arrivals"]:
            match event:
                case (EventName.UPDATE_ACKNOWLEDGED, proxy, nonce, _):
                    yield RecordKind.MESSAGE_RECEIVED, acknowledgement_link(instance, nonce, proxy)
        for command in record.fields["orders"]:
            match command:
                case (CommandName.REQUEST_ACK, nonce, _):
                    yield RecordKind.MESSAGE_SENT, update_link(instance, nonce)


def messages_between(traces: Traces) -> list[Message]:
    """Return the messages of which both the send and the receipt were recorded.

    Names that were sent twice are left out: nonces are reused, and the receipts cannot be told apart.
    """
    sent: dict[bytes, tuple[str, float] | None] = {}
    for instance, records in traces.items():
        for record in records:
            for kind, link in sends_and_receipts(instance, record):
                if kind == RecordKind.MESSAGE_SENT:
                    sent[link] = (instance, record.fields["at"]) if link not in sent else None
    messages = []
    for instance, records in traces.items():
        for record in records:
            for kind, link in sends_and_receipts(instance, record):
                source = sent.get(link) if kind == RecordKind.MESSAGE_RECEIVED else None
                if source is not None and source[0] != instance:
                    sender, sent_at = source
                    messages.append(Message(sender, instance, sent_at, record.fields["at"]))
    return messages


def happened_before(one: Record, other: Record) -> bool | None:
    """Return whether one merged record precedes another; None where the error bounds allow both orders."""
    difference = other.fields["at"] - one.fields["at"]
    if one.fields["instance"] == other.fields["instance"]:
        return difference >= 0
    return None if abs(difference) <= one.fields["bound"] + other.fields["bound"] else difference > 0


@dataclass(slots=True, eq=False)
class _Row:
    """A record to merge; rows are sorted by `time`, `tie_breaker`, `position`."""

    time: float  # s of the reference's clock
    tie_breaker: int  # the instance's index, plus a multiple of the number of instances
    position: int  # within the instance
    instance: int  # its index
    name: str  # of the instance
    record: Record
    bound: float  # s
    sent: list[bytes]  # names of messages
    received: list[bytes]


def merge(traces: Traces, reference: str) -> tuple[list[Record], AlignedClocks]:
    """Merge traces, with all times by the clock of the instance `reference`.

    Merging adds MERGED_FIELDS. Records of one request or attempt by several instances that are equal except
    for the time become one record with all these instances as witnesses; all other records are kept. The
    records of one instance stay in their order, even where its clock was stepped, and no receipt precedes its
    send.
    """
    clocks = align_clocks(_spans(traces), messages_between(traces), reference)
    rows = _rows(traces, clocks)
    _move_receipts_after_sends(rows, len(traces))
    rows.sort(key=lambda row: (row.time, row.tie_breaker, row.position))
    return _merge_duplicates(rows), clocks


def _spans(traces: Traces) -> dict[str, tuple[float, float]]:
    """Return the least and greatest time of each instance's records, in seconds."""
    spans = {}
    for name, records in traces.items():
        times = [record.fields["at"] for record in records]
        spans[name] = min(times, default=0.0), max(times, default=0.0)
    return spans


def _rows(traces: Traces, clocks: AlignedClocks) -> list[_Row]:
    """Return one row per record, in the order of instances and of the records within each."""
    rows = []
    for instance, (name, records) in enumerate(traces.items()):
        clock, time = clocks.by_instance[name], -inf
        for position, record in enumerate(records):
            at = record.fields["at"]
            time = max(time, clock.to_reference(at))  # keeps the order where a clock was stepped back
            messages = list(sends_and_receipts(name, record))
            sent = [link for kind, link in messages if kind == RecordKind.MESSAGE_SENT]
            received = [link for kind, link in messages if kind == RecordKind.MESSAGE_RECEIVED]
            bound = clock.error_bound(at)
            rows.append(_Row(time, instance, position, instance, name, record, bound, sent, received))
    return rows


def _move_receipts_after_sends(rows: list[_Row], instances: int) -> None:
    """Move each receipt that precedes its send to just after it, and the later rows of its instance with it.

    This is needed where the estimated clocks do not fit all messages. The rows of each instance must be in
    their order.
    """
    sends: dict[bytes, _Row | None] = {}
    for row in rows:
        for link in row.sent:
            sends[link] = row if link not in sends else None
    for _ in range(instances + 2):  # a move may require moves in other instances
        previous = [(-inf, 0)] * instances
        moved = False
        for row in rows:
            earliest = previous[row.instance]
            for link in row.received:
                send = sends.get(link)
                if send is not None and send is not row:
                    earliest = max(earliest, (send.time, send.tie_breaker + instances))
            if (row.time, row.tie_breaker) < earliest:
                row.time, earliest_tie_breaker = earliest
                increments = -(-(earliest_tie_breaker - row.instance) // instances)
                row.tie_breaker = row.instance + instances * increments
                moved = True
            previous[row.instance] = row.time, row.tie_breaker
        if not moved:
            return


def _merge_duplicates(rows: list[_Row]) -> list[Record]:
    """Return the merged records of the rows, with one record for all equal ones."""
    merged: list[Record] = []
    # each record with the fields that have to be equal
    records_by_identity: dict[tuple, list[tuple[Record, dict]]] = {}
    for row in rows:
        fields = row.record.fields
        identity = _identity(row.record)
        content = {name: value for name, value in fields.items() if name not in ("at", "instance")}
        if identity is not None:
            duplicate = next(
                (
                    other
                    for other, other_content in records_by_identity.get(identity, ())
                    if other_content == content
                ),
                None,
            )
            if duplicate is not None:
                duplicate.fields["witnesses"].append(row.name)
                continue
        record = Record(row.record.kind, fields | _merged_fields(row))
        if merged and happened_before(merged[-1], record) is None:
            record.fields["certain"] = 0
        if identity is not None:
            records_by_identity.setdefault(identity, []).append((record, content))
        merged.append(record)
    return merged


def _identity(record: Record) -> tuple | None:
    """Return what identifies a request or attempt; None for records that only one instance makes."""
    names = IDENTITY_FIELDS.get(record.kind)
    return names and (record.kind, *(record.fields.get(name) for name in names))


def _merged_fields(row: _Row) -> dict:
    """Return the fields that a merge adds or replaces."""
    return {
        "at": row.time,
        "bound": row.bound,
        "witnesses": [row.name],
        "certain": 1,
        "instance": row.record.fields.get("instance", row.name),
    }
