"""Reads all records of trace files, and writes records that were read to a new trace file."""

import sys
import time
from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.trace import file_format
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FieldTypes, Record
from oatcart.trace.write_policy import BLOCK_RECORDS

PROGRESS_AFTER = 1.0  # s of reading a file until progress is shown
# By field type, the value for a field that is missing in a record
DEFAULTS = {"us": 0.0, "float": 0.0, "int": 0, "name": "", "bytes": b"", "any": None}


class TraceContents(NamedTuple):
    """The records in order, a line for each missing part, and the first file's metadata."""

    records: list[Record]
    missing: list[str]
    metadata: dict


def read_traces(paths: Iterable[str], first: float = -inf, last: float = inf) -> TraceContents:
    """Read the records from `first` up to, but not including, `last` from the files of one instance in turn.

    Both are seconds of the instance's clock. Raises OSError, and CorruptTraceError where a file has no valid
    header.
    """
    records, missing, metadata = [], [], {}
    for path in paths:
        with TraceReader(path) as trace:
            records += trace.records(first, last, Progress(path, sys.stderr.isatty()))
            missing += [f"{path}: {what}" for what in trace.missing]
            missing += [
                f"{path}: {count} records of unknown kind {kind}" for kind, count in trace.skipped.items()
            ]
            metadata = metadata or trace.metadata
    return TraceContents(records, missing, metadata)


class Progress:
    """Shows on a terminal how much of a file has been read, if reading takes longer than PROGRESS_AFTER."""

    def __init__(self, path: str, shown: bool) -> None:
        self.path = path
        self.shown = shown
        self.started_at = time.monotonic()
        self.percent = 0

    def __call__(self, done: int, total: int) -> None:
        """Show the progress once `done` of `total` blocks are read and the next one is requested."""
        percent = 100 * (done + 1) // total
        if not self.shown or percent == self.percent:
            return
        if time.monotonic() - self.started_at > PROGRESS_AFTER:
            self.percent = percent
            end = "\n" if percent == 100 else ""
            print(f"\r{self.path}: {percent}%", end=end, file=sys.stderr, flush=True)


def write_trace(
    path: str, metadata: dict, records: Iterable[Record], fields: Mapping[str, FieldTypes]
) -> int:
    """Write a trace file; return the number of its records.

    `fields` holds the fields of each record kind; fields that a record does not have get the default of their
    type. Raises FileExistsError where the file exists already.
    """
    count, index, rows = 0, [], []
    with open(path, "xb") as file:
        file.write(file_format.encode_header(metadata))

        def write_block() -> None:
            block = file_format.encode_block(len(index), rows, fields)
            index.append(file_format.index_entry(file.tell(), block))
            file.write(block)
            rows.clear()

        for record in records:
            rows.append(_row(record, fields[record.kind]))
            count += 1
            if len(rows) == BLOCK_RECORDS:
                write_block()
        if rows:
            write_block()
        file.write(file_format.encode_footer(index))
    return count


def _row(record: Record, fields: FieldTypes) -> tuple:
    """Return a record in the form that `encode_block` takes."""
    values = (record.fields.get(name, DEFAULTS[field_type]) for name, field_type in fields)
    return (record.kind, *values)
