"""The kinds of records in a trace and their fields. Does no I/O.

Each file describes its own records; these are the ones that this version writes. The stored names of kinds
and fields never change, as files of older versions contain them: `req` is a request, `try` an attempt, `node`
an endpoint, `kind` a request class, `took` a duration, `tries` the number of attempts, `value` a priority
weight, `arrivals` are the events of a round and `orders` its commands.

The type of a field determines how it is stored: `us` is a time or duration in whole microseconds (seconds in
the code), `int`, `float` (all 64 bits), `name` (a string in the block's string table), `bytes`, `any`
(msgpack: numbers, strings, sequences, None). Times are seconds of the instance's own clock; blocks are
indexed by them.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class RecordKind(StrEnum):
    """The stored name of each kind of record."""

    ROUND = "round"  # one round of the controller: its events and its commands
    REQUEST = "req"  # a request that has ended
    ATTEMPT = "try"  # an attempt that was followed by another one
    START = "start"  # settings and seed with which the instance was started
    CLOCK = "clock"  # the instance's clock and Unix time at one moment
    ENDPOINT_NAME = "name"  # the id that a number stands for from now on
    MESSAGE_SENT = "out"
    MESSAGE_RECEIVED = "in"
    SHED = "shed"  # records that were not written


class RequestOutcome(StrEnum):
    """The stored name of a request's outcome."""

    SUCCEEDED = "done"
    REJECTED = "denied"
    FAILED = "errored"


FieldTypes = tuple[tuple[str, str], ...]  # the name and type of each field, in order

# The first field of every kind is `at`, the time by the instance's clock
FIELDS: Mapping[str, FieldTypes] = {
    RecordKind.ROUND: (("at", "float"), ("number", "int"), ("arrivals", "any"), ("orders", "any")),
    RecordKind.REQUEST: (
        ("at", "us"),  # of the last attempt's start, or of the rejection
        ("id", "int"),
        ("key", "bytes"),
        ("proxy", "name"),
        ("kind", "name"),
        ("zone", "name"),
        ("node", "name"),
        ("outcome", "name"),
        ("took", "us"),  # the last attempt's duration
        ("tries", "int"),
        ("value", "float"),
    ),
    RecordKind.ATTEMPT: (
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
    RecordKind.START: (
        ("at", "float"),
        ("instance", "name"),
        ("seed", "any"),
        ("records", "any"),
        ("text", "name"),  # digest of the controller's source
        ("names", "any"),
    ),
    RecordKind.ENDPOINT_NAME: (("at", "float"), ("what", "name"), ("number", "int"), ("name", "name")),
    RecordKind.CLOCK: (("at", "float"), ("unix", "float"), ("stepped", "float")),
    RecordKind.MESSAGE_SENT: (("at", "us"), ("link", "bytes"), ("to", "name")),
    RecordKind.MESSAGE_RECEIVED: (("at", "us"), ("link", "bytes"), ("of", "name")),
    RecordKind.SHED: (
        ("at", "float"),
        ("kind", "name"),
        ("count", "int"),
        ("since", "float"),
        ("until", "float"),
        ("why", "name"),
    ),
}
# Fields that a merge adds: the instance that recorded it, the greatest error of its time, all instances that
# recorded it, and whether its order relative to the previous record is certain
MERGED_FIELDS: FieldTypes = (
    ("instance", "name"),
    ("bound", "us"),
    ("witnesses", "any"),
    ("certain", "int"),
)
FIELDS_MERGED: Mapping[str, FieldTypes] = {
    kind: (*fields, *(added for added in MERGED_FIELDS if added not in fields))
    for kind, fields in FIELDS.items()
}


class Record(NamedTuple):
    """A record as a reader returns it: its kind, and its field values by stored name."""

    kind: str
    fields: dict


def make_record(kind: str, /, **fields: object) -> tuple:
    """Return a record as a writer takes it: its kind, then the values of its fields in their order.

    Raises KeyError where a field is missing.

    >>> make_record(RecordKind.CLOCK, unix=2.0, at=1.0, stepped=0.0)
    (<RecordKind.CLOCK: 'clock'>, 1.0, 2.0, 0.0)
    """
    return (kind, *(fields[name] for name, _ in FIELDS[kind]))
