"""Lists the events of one request, idempotency key or endpoint, one per line."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from oatcart.trace.decision_reasons import EndpointStates, decisions
from oatcart.trace.records import Record, RecordKind
from oatcart.trace.round_codec import CommandName

UNCERTAIN = " (its place after the one before is not certain)"


class Subject(NamedTuple):
    """What to list the events of; empty fields match nothing."""

    key: bytes = b""  # an idempotency key
    request: tuple[str, int] | None = None  # proxy and number
    endpoint: str = ""

    def includes(self, fields: dict) -> bool:
        """Return whether a request or attempt with these fields matches the subject."""
        return bool(
            self.key
            and fields["key"] == self.key
            or self.request
            and (fields["proxy"], fields["id"]) == self.request
            or self.endpoint
            and fields["node"] == self.endpoint
        )


def timeline(records: Iterable[Record], subject: Subject) -> list[str]:
    """Return the lines of a subject, one per request and attempt, also for requests that share a key."""
    lines: list[str] = []
    names: dict[int, str] = {}  # by endpoint
    states = EndpointStates()
    for record in records:
        kind, fields = record
        if kind == RecordKind.ENDPOINT_NAME and fields["what"] == "node":
            names[fields["number"]] = fields["name"]
        elif kind in (RecordKind.REQUEST, RecordKind.ATTEMPT):
            if subject.includes(fields):
                text = _format_attempt(fields) if kind == RecordKind.ATTEMPT else _format_request(fields)
                lines.append(f"{_format_time(fields)} {text}{_format_witnesses(fields)}")
        elif kind == RecordKind.ROUND and subject.endpoint:
            source = f"{_format_time(fields)} {fields.get('instance', 'round')} {fields['number']}"
            for text in _decisions_about(subject.endpoint, record, names, states):
                lines.append(f"{source}: {text}{_format_witnesses(fields)}")
        if fields.get("certain") == 0 and lines and lines[-1].startswith(_format_time(fields)):
            lines[-1] += UNCERTAIN
    return lines


def _format_time(fields: dict) -> str:
    bound = f" ±{fields['bound']:.6f}" if "bound" in fields else ""
    return f"{fields['at']:.6f}{bound}"


def _format_witnesses(fields: dict) -> str:
    return f" seen by {', '.join(fields['witnesses'])}" if fields.get("witnesses") else ""


def _format_attempt(fields: dict) -> str:
    return (
        f"{fields['proxy']}:{fields['id']} {fields['kind']} try {fields['number']} at {fields['node']} "
        f"ended {fields['ending']} after {fields['took'] * 1000:.3f} ms"
    )


def _format_request(fields: dict) -> str:
    return (
        f"{fields['proxy']}:{fields['id']} {fields['kind']} {fields['outcome']} "
        f"by {fields['node'] or 'no node'}, {fields['tries']} tries, {fields['took'] * 1000:.3f} ms"
    )


def _decisions_about(
    endpoint: str, round_record: Record, names: dict[int, str], states: EndpointStates
) -> Iterator[str]:
    """Return the text of each decision of a round about one endpoint."""
    round_decisions = decisions(round_record, states)
    for command, (_, reason) in zip(round_record.fields["orders"], round_decisions, strict=True):
        match command:
            case (CommandName.SET_WEIGHT, table, number, weight) if names.get(number) == endpoint:
                yield f"{endpoint} weight {weight:g} in table {table} ({reason})"
            case (CommandName.SET_EJECTED, number, ejected) if names.get(number) == endpoint:
                yield f"{endpoint} {'withdrawn' if ejected else 'let back'} ({reason})"
