"""Records, clocks and writers for the tests of traces."""

from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS, Record, RecordKind
from oatcart.trace.write_policy import Limits
from oatcart.trace.writer import Writer


def record(kind, *values):
    """Return a record as a reader does, from the values of its fields."""
    return Record(kind, dict(zip((name for name, _ in FIELDS[kind]), values, strict=True)))


def request(at, id=1, key=b"", request_class="lookup", endpoint="n1", outcome="done", proxy="p1", attempts=1):
    """Return a request in the form that a writer takes."""
    location = (proxy, request_class, "east", endpoint)
    return (RecordKind.REQUEST, at, id, key, *location, outcome, 0.05, attempts, 1.0)


class Clock:
    """A clock whose time a test sets."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def make_writer(folder, clock, store=None, **limits):
    """Return a writer whose log lines are collected in `logged`."""
    lines = []
    writer = Writer(
        folder, "n0", {"site": "x"}, clock, lambda topic, text: lines.append(text), Limits(**limits), store
    )
    writer.logged = lines
    return writer


def write_blocks(folder, blocks=4, end=True):
    """Write a file of blocks with two records each, and a new endpoint name in each; return its path."""
    clock = Clock()
    writer = make_writer(folder, clock)
    for number in range(blocks):
        clock.now = 100.0 + 10 * number
        writer.put(request(clock.now, number, endpoint=f"n{number}"))
        writer.put((RecordKind.CLOCK, clock.now, clock.now + 1e9, 0.0))
        writer.write_due()
        clock.now += 6
        writer.write_due()
    if end:
        writer.write_due(final=True)
    else:
        writer._close_file()
    return next(folder.iterdir())


def times(path):
    """Return the times of all records in a file, and the descriptions of missing parts."""
    with TraceReader(path) as trace:
        return [record.fields["at"] for record in trace.records()], trace.missing


def read(path):
    """Return all records of a file."""
    with TraceReader(path) as trace:
        return list(trace.records())
