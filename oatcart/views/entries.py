"""Answers of discovery and their entries, checked as a conductor checks them and encoded once.

Source: the discovery protocol, `GET /v1/servers`. An entry that a conductor could not use is not passed on:
one such entry in a whole list would make the conductor take that list as changes only.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

import orjson

from oatcart.handover import is_amount
from oatcart.net.codec import MAX_ID_LENGTH, MAX_LOGGED_VALUE_LENGTH, parse_address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
PHASES = frozenset((SERVING, DRAINING, DELETED))


class MalformedAnswer(ValueError):
    """An answer that is no list of nodes."""


class MalformedEntry(ValueError):
    """An entry that cannot be used; names the field."""


@dataclass(frozen=True, eq=False)
class Entry:
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


class Answer(NamedTuple):
    """A list of nodes. `whole`: nodes that it leaves out are gone. `odd`: what was left out of it, and why.
    `unread`: ids of nodes whose entry was left out."""

    revision: int
    whole: bool
    entries: dict[str, Entry]
    unread: frozenset[str]
    odd: tuple[str, ...]


def parse_answer(body: bytes | memoryview) -> Answer:
    """The answer in a body; raises MalformedAnswer. An entry without a readable id may be any node's, so a
    list that has one leaves out nobody: it counts as changes."""
    try:
        told = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedAnswer(str(error)) from None
    if not isinstance(told, dict) or not isinstance(told.get("members"), list):
        raise MalformedAnswer("no list of nodes")
    if not is_amount(told.get("revision")):
        raise MalformedAnswer("no revision")
    entries, unread, odd, nameless = {}, set(), [], False
    for fields in told["members"]:
        try:
            entry = parse_entry(fields)
            entries[entry.id] = entry
        except MalformedEntry as error:
            odd.append(str(error))
            node = fields.get("id") if isinstance(fields, dict) else None
            if _is_id(node):
                unread.add(node)
            else:
                nameless = True
    whole = told.get("complete") is True and not nameless
    return Answer(int(told["revision"]), whole, entries, frozenset(unread - entries.keys()), tuple(odd))


def parse_entry(fields: object) -> Entry:
    """An entry whose fields a conductor can use; raises MalformedEntry."""
    if not isinstance(fields, dict):
        raise MalformedEntry(f"{str(fields)[:MAX_LOGGED_VALUE_LENGTH]!r} is no entry")
    node, phase, zone = fields.get("id"), fields.get("phase"), fields.get("locality")
    if not _is_id(node):
        raise MalformedEntry(f"id: {str(node)[:MAX_LOGGED_VALUE_LENGTH]!r} is no id")
    if phase not in PHASES:
        raise MalformedEntry(f"{node}: phase: {str(phase)[:MAX_LOGGED_VALUE_LENGTH]!r} is not known")
    if not isinstance(zone, str) or not zone:
        raise MalformedEntry(f"{node}: locality: {str(zone)[:MAX_LOGGED_VALUE_LENGTH]!r} is no zone")
    for name in "size", "up_since_ms":
        if fields.get(name) is not None and not is_amount(fields[name]):
            raise MalformedEntry(
                f"{node}: {name}: {str(fields[name])[:MAX_LOGGED_VALUE_LENGTH]!r} is no amount"
            )
    _check_address(node, fields.get("host_port"))
    return Entry(node, phase, zone, fields)


def _is_id(node: object) -> bool:
    return isinstance(node, str) and 0 < len(node) <= MAX_ID_LENGTH


def _check_address(node: str, host_port: object) -> None:
    if not host_port:
        return  # a node without an address is told of all the same
    try:
        parse_address(host_port)
    except (AttributeError, TypeError, ValueError):
        shown = str(host_port)[:MAX_LOGGED_VALUE_LENGTH]
        raise MalformedEntry(f"{node}: host_port: {shown!r} is no numeric address and port") from None
