"""Parses responses of discovery (`GET /v1/servers`) and checks their entries as a controller does.

An entry that a controller would reject is not passed on: one such entry in a complete list would make the
controller treat the list as changes only.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

import orjson

from oatcart.load_reports import is_amount
from oatcart.net.codec import MAX_ID_LENGTH, MAX_LOGGED_VALUE_LENGTH, parse_address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
PHASES = frozenset((SERVING, DRAINING, DELETED))


class MalformedResponseError(ValueError):
    """A response that is not an endpoint list."""


class MalformedEntryError(ValueError):
    """An invalid entry. The message names the endpoint, the field and the value."""


@dataclass(frozen=True, eq=False)
class EndpointEntry:
    """An endpoint as discovery lists it. `phase`: SERVING, DRAINING or DELETED; `fields`: all fields of the
    entry as received."""

    id: str
    phase: str
    zone: str
    fields: dict[str, object]

    @cached_property
    def encoded(self) -> bytes:
        """The entry as JSON, encoded once for all views."""
        return orjson.dumps(self.fields)

    @cached_property
    def deleted(self) -> bytes:
        """The entry with phase DELETED, as JSON: the change that removes the endpoint from a view."""
        return orjson.dumps(self.fields | {"phase": DELETED})


class ListResponse(NamedTuple):
    """A complete endpoint list, or changes of one; `entries` by endpoint id.

    `is_complete`: endpoints that are not in it do not exist any more. `unreadable_ids`: endpoints whose entry
    was left out because it was malformed. `invalid_entries`: one message for each malformed entry.
    """

    revision: int
    is_complete: bool
    entries: dict[str, EndpointEntry]
    unreadable_ids: frozenset[str]
    invalid_entries: tuple[str, ...]


def parse_response(body: bytes | memoryview) -> ListResponse:
    """Decodes the body of a response; raises MalformedResponseError.

    An entry without a valid id may belong to any endpoint, so a complete list with such an entry removes no
    endpoints: it is treated as changes.
    """
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedResponseError(str(error)) from None
    if not isinstance(decoded, dict) or not isinstance(decoded.get("members"), list):
        raise MalformedResponseError("members: expected a list")
    if not is_amount(decoded.get("revision")):
        raise MalformedResponseError("revision: expected a number of at least 0")
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
    return ListResponse(
        int(decoded["revision"]),
        is_complete,
        entries,
        frozenset(unreadable_ids - entries.keys()),
        tuple(invalid_entries),
    )


def parse_entry(fields: object) -> EndpointEntry:
    """Checks the fields of an entry as a controller does; raises MalformedEntryError."""
    if not isinstance(fields, dict):
        raise MalformedEntryError(
            f"expected an object with an endpoint's fields, got {str(fields)[:MAX_LOGGED_VALUE_LENGTH]!r}"
        )
    endpoint_id, phase, zone = fields.get("id"), fields.get("phase"), fields.get("locality")
    if not _is_id(endpoint_id):
        raise MalformedEntryError(
            f"id: expected a text of 1 to 256 characters, got {str(endpoint_id)[:MAX_LOGGED_VALUE_LENGTH]!r}"
        )
    if phase not in PHASES:
        raise MalformedEntryError(
            f"{endpoint_id}: phase: expected SERVING, DRAINING or DELETED, "
            f"got {str(phase)[:MAX_LOGGED_VALUE_LENGTH]!r}"
        )
    if not isinstance(zone, str) or not zone:
        raise MalformedEntryError(
            f"{endpoint_id}: locality: expected a zone name, got {str(zone)[:MAX_LOGGED_VALUE_LENGTH]!r}"
        )
    for name in "size", "up_since_ms":
        if fields.get(name) is not None and not is_amount(fields[name]):
            raise MalformedEntryError(
                f"{endpoint_id}: {name}: expected a number of at least 0, "
                f"got {str(fields[name])[:MAX_LOGGED_VALUE_LENGTH]!r}"
            )
    _check_address(endpoint_id, fields.get("host_port"))
    return EndpointEntry(endpoint_id, phase, zone, fields)


def _is_id(endpoint_id: object) -> bool:
    return isinstance(endpoint_id, str) and 0 < len(endpoint_id) <= MAX_ID_LENGTH


def _check_address(endpoint_id: str, host_port: object) -> None:
    if not host_port:
        return  # an endpoint without an address is valid
    try:
        parse_address(host_port)
    except (AttributeError, TypeError, ValueError):
        truncated = str(host_port)[:MAX_LOGGED_VALUE_LENGTH]
        raise MalformedEntryError(
            f"{endpoint_id}: host_port: expected a numeric address and a port, got {truncated!r}"
        ) from None
