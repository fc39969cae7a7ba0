"""Answers of discovery and their entries, checked as a controller checks them and encoded once.

Source: the discovery protocol, `GET /v1/servers`. An entry that a controller could not use is not passed on:
one such entry in a complete list would make the controller take that list as changes only.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

import orjson

from oatcart.load_reports import is_amount
from oatcart.net.codec import MAX_ID_LENGTH, MAX_LOGGED_VALUE_LENGTH, parse_address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
PHASES = frozenset((SERVING, DRAINING, DELETED))


class MalformedAnswerError(ValueError):
    """An answer that is not an endpoint list."""


class MalformedEntryError(ValueError):
    """An entry that cannot be used. The message names the endpoint, the field and the value."""


@dataclass(frozen=True, eq=False)
class EndpointEntry:
    """An endpoint as discovery lists it, with the names of the wire. `phase`: SERVING, DRAINING or DELETED;
    `fields`: all fields, as received."""

    id: str
    phase: str
    zone: str
    fields: dict[str, object]

    @cached_property
    def encoded(self) -> bytes:
        """The entry as JSON, encoded once for all views that have it."""
        return orjson.dumps(self.fields)

    @cached_property
    def deleted(self) -> bytes:
        """The entry as the change that removes the endpoint from a view."""
        return orjson.dumps(self.fields | {"phase": DELETED})


class ListAnswer(NamedTuple):
    """An endpoint list, or changes of one, by id.

    `is_complete`: endpoints that it does not have are gone. `unreadable_ids`: of endpoints whose entry was
    left out as malformed. `invalid_entries`: why, one message for each.
    """

    revision: int
    is_complete: bool
    entries: dict[str, EndpointEntry]
    unreadable_ids: frozenset[str]
    invalid_entries: tuple[str, ...]


def parse_answer(body: bytes | memoryview) -> ListAnswer:
    """Decodes the body of an answer; raises MalformedAnswerError.

    An entry without a readable id may be that of any endpoint. A list with such an entry removes no endpoint:
    it counts as changes.
    """
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedAnswerError(str(error)) from None
    if not isinstance(decoded, dict) or not isinstance(decoded.get("members"), list):
        raise MalformedAnswerError("the answer has no list of members")
    if not is_amount(decoded.get("revision")):
        raise MalformedAnswerError("the answer has no revision")
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
    """Checks that a controller can use the fields of an entry; raises MalformedEntryError."""
    if not isinstance(fields, dict):
        raise MalformedEntryError(f"{str(fields)[:MAX_LOGGED_VALUE_LENGTH]!r} is not an entry")
    endpoint_id, phase, zone = fields.get("id"), fields.get("phase"), fields.get("locality")
    if not _is_id(endpoint_id):
        raise MalformedEntryError(f"id: {str(endpoint_id)[:MAX_LOGGED_VALUE_LENGTH]!r} is not an id")
    if phase not in PHASES:
        raise MalformedEntryError(
            f"{endpoint_id}: phase: {str(phase)[:MAX_LOGGED_VALUE_LENGTH]!r} is not known"
        )
    if not isinstance(zone, str) or not zone:
        raise MalformedEntryError(
            f"{endpoint_id}: locality: {str(zone)[:MAX_LOGGED_VALUE_LENGTH]!r} is not a zone"
        )
    for name in "size", "up_since_ms":
        if fields.get(name) is not None and not is_amount(fields[name]):
            raise MalformedEntryError(
                f"{endpoint_id}: {name}: {str(fields[name])[:MAX_LOGGED_VALUE_LENGTH]!r} is not an amount"
            )
    _check_address(endpoint_id, fields.get("host_port"))
    return EndpointEntry(endpoint_id, phase, zone, fields)


def _is_id(endpoint_id: object) -> bool:
    return isinstance(endpoint_id, str) and 0 < len(endpoint_id) <= MAX_ID_LENGTH


def _check_address(endpoint_id: str, host_port: object) -> None:
    if not host_port:
        return  # an endpoint without an address is listed all the same
    try:
        parse_address(host_port)
    except (AttributeError, TypeError, ValueError):
        truncated = str(host_port)[:MAX_LOGGED_VALUE_LENGTH]
        raise MalformedEntryError(
            f"{endpoint_id}: host_port: {truncated!r} is not a numeric address and port"
        ) from None
