"""The kinds of records and their fields. A file tells its own; these are what this version writes. Free of
I/O.

A field's type says how it is stored: `us` a time or span in whole microseconds, `int`, `float` (all bits),
`name` (in the block's string table), `bytes`, `any` (msgpack: numbers, strings, lists, nothing). Times are
seconds of the instance's own clock, by which blocks are found; a reader turns `us` back into seconds.
"""

from collections.abc import Mapping
from typing import NamedTuple

ROUND, REQ, TRY, START, CLOCK, NAME, OUT, IN, SHED = (
    "round",
    "req",
    "try",
    "start",
    "clock",
    "name",
    "out",
    "in",
    "shed",
)

# `at` comes first everywhere: when it was, as the instance saw it
FIELDS: Mapping[str, tuple[tuple[str, str], ...]] = {
    ROUND: (("at", "float"), ("number", "int"), ("arrivals", "any"), ("orders", "any")),
    REQ: (
        ("at", "us"),
        ("id", "int"),
        ("key", "bytes"),
        ("proxy", "name"),
        ("kind", "name"),
        ("zone", "name"),
        ("node", "name"),
        ("outcome", "name"),
        ("took", "us"),
        ("tries", "int"),
        ("value", "float"),
    ),
    TRY: (
        ("at", "us"),
        ("id", "int"),
        ("key", "bytes"),
        ("proxy", "name"),
        ("kind", "name"),
        ("number", "int"),
        ("node", "name"),
        ("ending", "name"),
        ("took", "us"),
    ),
    START: (
        ("at", "float"),
        ("instance", "name"),
        ("seed", "any"),
        ("records", "any"),
        ("text", "name"),
        ("names", "any"),
    ),
    NAME: (("at", "float"), ("what", "name"), ("number", "int"), ("name", "name")),
    CLOCK: (("at", "float"), ("unix", "float"), ("stepped", "float")),
    OUT: (("at", "us"), ("link", "bytes"), ("to", "name")),
    IN: (("at", "us"), ("link", "bytes"), ("of", "name")),
    SHED: (
        ("at", "float"),
        ("kind", "name"),
        ("count", "int"),
        ("since", "float"),
        ("until", "float"),
        ("why", "name"),
    ),
}
# What is kept when not all can be: the first is kept longest
PRIORITIES = {SHED: 0, START: 0, CLOCK: 0, NAME: 0, ROUND: 1, OUT: 2, IN: 2, TRY: 3, REQ: 4}
# What a merge adds: who saw it, by how much its time may be off, whether its place after the one before is
# certain
MERGED = (("instance", "name"), ("bound", "us"), ("witnesses", "any"), ("certain", "int"))
FIELDS_MERGED = {
    kind: (*fields, *MERGED) if kind != START else (*fields, *MERGED[1:]) for kind, fields in FIELDS.items()
}
DONE, DENIED, ERRORED = "done", "denied", "errored"  # outcomes of a req


class Record(NamedTuple):
    """One record: its kind, and its fields by name."""

    kind: str
    fields: dict


def make(kind: str, *values: object) -> tuple:
    """A record as the writer takes it: its kind, then the values of its fields in their order.

    >>> make(CLOCK, 1.0, 2.0, 0.0)
    ('clock', 1.0, 2.0, 0.0)
    """
    return (kind, *values)
