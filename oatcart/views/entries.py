"""Answers of discovery and their entries, checked as a conductor checks them and encoded once.

Source: the discovery protocol, `GET /v1/servers`. An entry that a conductor could not use is not passed on:
one such entry in a whole list would make the conductor take that list as changes only.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

import orjson

from oatcart.handover import is_amount
from oatcart.net.codec import ID_MOST, NAME_SHOWN, address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
PHASES = frozenset((SERVING, DRAINING, DELETED))


class MalformedAnswerError(ValueError):
    """An answer that is no list of nodes."""


class MalformedEntryError(ValueError):
    """An entry that cannot be used; names the field."""


@dataclass(frozen=True, eq=False)
class EndpointEntry:
    """A node as discovery tells of it. `fields`: all of its fields, as they came."""

    id: str
    phase: str
    zone: str
    fields: dict[str, object]

    @cached_property
    def encoded(self) -> bytes:
        """The entry as JSON, made once for all views that hold it."""
        return orjson.dumps(self.fields)

    @cached_property
    def deleted(self) -> bytes:
        """The entry as a change that tells that the node has left the view."""
        return orjson.dumps(self.fields | {"phase": DELETED})


class ListAnswer(NamedTuple):
    """A list of nodes. `whole`: nodes that it leaves out are gone. `odd`: what was left out of it, and why.
    `unread`: ids of nodes whose entry was left out."""

    revision: int
    is_complete: bool
    entries: dict[str, EndpointEntry]
    unreadable_ids: frozenset[str]
    invalid_entries: tuple[str, ...]


def parse_answer(body: bytes | memoryview) -> ListAnswer:
    """The answer in a body; raises MalformedAnswerError. An entry without a readable id may be any node's, so
    a list that has one leaves out nobody: it counts as changes."""
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedAnswerError(str(error)) from None
    if not isinstance(decoded, dict) or not isinstance(decoded.get("members"), list):
        raise MalformedAnswerError("no list of nodes")
    if not is_amount(decoded.get("revision")):
        raise MalformedAnswerError("no revision")
    entries, unreadable_ids, invalid_entries, has_unreadable_id = {}, set(), [], False
    for fields in decoded["members"]:
        try:
            entry = parse_entry(fields)
            entries[entry.id] = entry
        except MalformedEntryError as error:
            invalid_entries.append(str(error))
            endpoint_id = fields.get("id") if isinstance(fields, dict) else None
            if _is_id(endpoint_id):
                unreadable_ids.add(endpoint_id)
            else:
                has_unreadable_id = True
    is_complete = decoded.get("complete") is True and not has_unreadable_id
    return ListAnswer(
        int(decoded["revision"]),
        is_complete,
        entries,
        frozenset(unreadable_ids - entries.keys()),
        tuple(invalid_entries),
    )


def parse_entry(fields: object) -> EndpointEntry:
    """An entry whose fields a conductor can use; raises MalformedEntryError."""
    if not isinstance(fields, dict):
        raise MalformedEntryError(f"{str(fields)[:NAME_SHOWN]!r} is no entry")
    endpoint_id, phase, zone = fields.get("id"), fields.get("phase"), fields.get("locality")
    if not _is_id(endpoint_id):
        raise MalformedEntryError(f"id: {str(endpoint_id)[:NAME_SHOWN]!r} is no id")
    if phase not in PHASES:
        raise MalformedEntryError(f"{endpoint_id}: phase: {str(phase)[:NAME_SHOWN]!r} is not known")
    if not isinstance(zone, str) or not zone:
        raise MalformedEntryError(f"{endpoint_id}: locality: {str(zone)[:NAME_SHOWN]!r} is no zone")
    for name in "size", "up_since_ms":
        if fields.get(name) is not None and not is_amount(fields[name]):
            raise MalformedEntryError(
                f"{endpoint_id}: {name}: {str(fields[name])[:NAME_SHOWN]!r} is no amount"
            )
    _check_address(endpoint_id, fields.get("host_port"))
    return EndpointEntry(endpoint_id, phase, zone, fields)


def _is_id(endpoint_id: object) -> bool:
    return isinstance(endpoint_id, str) and 0 < len(endpoint_id) <= ID_MOST


def _check_address(endpoint_id: str, host_port: object) -> None:
    if not host_port:
        return  # a node without an address is told of all the same
    try:
        address(host_port)
    except (AttributeError, TypeError, ValueError):
        shown = str(host_port)[:NAME_SHOWN]
        raise MalformedEntryError(
            f"{endpoint_id}: host_port: {shown!r} is no numeric address and port"
        ) from None
