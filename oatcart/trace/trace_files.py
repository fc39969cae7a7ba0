"""Reads all records of some trace files, and writes records that were read as a new trace file."""

import sys
import time
from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.trace import file_format
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FieldTypes, Record
from oatcart.trace.write_policy import BLOCK_RECORDS

PROGRESS_AFTER = 1.0  # s of reading from which progress is shown
# By field type, the value of a field that a record lacks
DEFAULTS = {"us": 0.0, "float": 0.0, "int": 0, "name": "", "bytes": b"", "any": None}


class TraceContents(NamedTuple):
    """What was read: the records in order, what is missing in words, the first file's metadata."""

    records: list[Record]
    missing: list[str]
    metadata: dict


def read_traces(paths: Iterable[str], first: float = -inf, last: float = inf) -> TraceContents:
    """Read files of one instance one after the other; see `TraceReader.records` for `first` and `last`.

    Raises OSError, and CorruptTraceError where a file has no header.
    """
    records, missing, metadata = [], [], {}
    for path in paths:
        with TraceReader(path) as trace:
            records += trace.records(first, last, Progress(path, sys.stderr.isatty()))
            missing += [f"{path}: {what}" for what in trace.missing]
            missing += [
                f"{path}: {count} records of kind {kind}, unknown here"
                for kind, count in trace.skipped.items()
            ]
            metadata = metadata or trace.metadata
    return TraceContents(records, missing, metadata)


class Progress:
    """Shows on a terminal how far a file has been read, once that takes a while."""

    def __init__(self, path: str, shown: bool) -> None:
        self.path = path
        self.shown = shown
        self.started_at = time.monotonic()
        self.percent = 0

    def __call__(self, done: int, total: int) -> None:
        """Note that one more than `done` of `total` blocks was read."""
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
    """Write a trace file; returns the number of its records.

    `fields` are those of each record kind; what a record lacks of them gets the type's default. Raises
    FileExistsError where the file is there already.
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
    """A record as `encode_block` takes it."""
    values = (record.fields.get(name, DEFAULTS[field_type]) for name, field_type in fields)
    return (record.kind, *values)
