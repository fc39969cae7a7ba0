"""Reads all intact blocks of trace files, truncated and damaged ones too, and describes what is missing."""

import fcntl
import os
from collections import Counter
from collections.abc import Callable, Iterator
from math import inf
from pathlib import Path

from oatcart.trace import file_format
from oatcart.trace.file_format import BlockHeader, CorruptTraceError, FooterIncompleteError, IndexEntry
from oatcart.trace.records import Record

HEADER_READ_BYTES = 64 * 1024
FOOTER_READ_BYTES = 64 * 1024  # ten times the footer of an hour
SEARCH_BYTES = 1 << 20  # read at a time when searching for the next block


def _ignore_progress(done: int, total: int) -> None:
    """Do nothing; the default for `progress`."""


class TraceReader:
    """An open trace file, and a context manager that closes it.

    `index` has one entry per block; `has_footer` tells whether it was read from the footer or rebuilt.
    `missing` has one line for each part that could not be read, `skipped` counts the records of unknown
    kinds, and `bytes_read` all bytes read from the file.
    """

    def __init__(self, path: Path | str) -> None:
        """Open a file, read its header and index. Raises OSError, and CorruptTraceError for a bad header."""
        self.path = Path(path)
        self.file = open(self.path, "rb")  # noqa: SIM115 - open as long as the reader
        fcntl.flock(self.file, fcntl.LOCK_SH)  # keeps the writer from deleting the file
        self.missing: list[str] = []
        self.skipped: Counter[str] = Counter()
        self.bytes_read = 0
        try:
            self.length = os.fstat(self.file.fileno()).st_size
            header = self._read_at(0, HEADER_READ_BYTES)
            self.metadata, self.first_block_offset = file_format.decode_header(header)
            self.has_footer = True
            self.index = self._read_index()
        except BaseException:
            self.file.close()
            raise

    def __enter__(self) -> "TraceReader":
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def _read_at(self, offset: int, size: int) -> bytes:
        """Read up to `size` bytes at an offset."""
        data = os.pread(self.file.fileno(), size, offset)
        self.bytes_read += len(data)
        return data

    def _read_index(self) -> list[IndexEntry]:
        """Return the index from the footer or, without an intact footer, from the blocks."""
        try:
            return self._read_footer()
        except CorruptTraceError as error:
            self.has_footer = False
            self.missing.append(f"{error}: the index was rebuilt from the blocks")
            return self.rebuild_index()

    def _read_footer(self) -> list[IndexEntry]:
        """Return the index from the footer. Raises CorruptTraceError where there is no intact footer."""
        available = self.length - self.first_block_offset
        size = min(available, FOOTER_READ_BYTES)
        try:
            index, _ = file_format.decode_footer(self._read_at(self.length - size, size))
        except FooterIncompleteError as error:
            if error.size > available:
                raise CorruptTraceError("invalid footer length") from None
            index, _ = file_format.decode_footer(self._read_at(self.length - error.size, error.size))
        return index

    def rebuild_index(self) -> list[IndexEntry]:
        """Return an index made from the intact blocks; the gaps between them are added to `missing`."""
        index, offset, gap_start = [], self.first_block_offset, None
        while offset < self.length:
            header = self._intact_block_at(offset)
            if header is None:
                if gap_start is None:
                    gap_start = offset
                offset = self._find_block(offset + 1)
                continue
            self._add_gap(gap_start, offset)
            gap_start = None
            length = file_format.BLOCK_HEADER.size + header.length
            index.append(IndexEntry(offset, length, header.count, header.first, header.last))
            offset += length
        self._add_gap(gap_start, self.length)
        return index

    def _intact_block_at(self, offset: int) -> BlockHeader | None:
        """Return the header of the block at an offset; None where there is no intact block."""
        try:
            header = file_format.decode_block_header(self._read_at(offset, file_format.BLOCK_HEADER.size))
        except CorruptTraceError:
            return None
        block = self._read_at(offset, file_format.BLOCK_HEADER.size + header.length)
        return header if file_format.is_intact(block, 0, header) else None

    def _add_gap(self, start: int | None, end: int) -> None:
        """Add the bytes from `start` to `end` to `missing`; nothing if `start` is None."""
        if start is not None:
            self.missing.append(f"bytes {start} to {end} hold no intact block")

    def _find_block(self, offset: int) -> int:
        """Return the next offset at which a block may begin, or the file's length if there is none."""
        while offset < self.length:
            data = self._read_at(offset, SEARCH_BYTES)
            found = data.find(file_format.BLOCK_MAGIC)
            if found >= 0:
                return offset + found
            # the magic number may span two reads
            offset += max(1, len(data) - len(file_format.BLOCK_MAGIC) + 1)
        return self.length

    def records(
        self,
        first: float = -inf,
        last: float = inf,
        progress: Callable[[int, int], None] = _ignore_progress,
    ) -> Iterator[Record]:
        """Return the records from `first` up to, but not including, `last`, in the order of the file.

        Both are seconds of the instance's clock. Only blocks that may hold such records are read; damaged
        ones are added to `missing`. `progress` is called with the number of blocks processed and the total
        number.
        """
        for done, entry in enumerate(self.index):
            progress(done, len(self.index))
            if entry.last < first or entry.first >= last:
                continue
            block_records = self._read_block(entry)
            if first <= entry.first and entry.last < last:
                yield from block_records
            else:
                yield from (record for record in block_records if first <= record.fields["at"] < last)

    def _read_block(self, entry: IndexEntry) -> list[Record]:
        """Return the records of a block, or none if it is damaged."""
        data = self._read_at(entry.offset, entry.length)
        try:
            header = file_format.decode_block_header(data)
            if not file_format.is_intact(data, 0, header):
                raise CorruptTraceError("checksum mismatch")
            records, skipped = file_format.decode_block(data[file_format.BLOCK_HEADER.size :])
        except CorruptTraceError as error:
            span = f"from {entry.first:.3f} to {entry.last:.3f}"
            self.missing.append(f"a block of {entry.count} records {span}: {error}")
            return []
        self.skipped.update(skipped)
        return records


def repair_footer(path: Path) -> str:
    """Write the missing footer of a file, after its last intact block.

    Return a description of the repair, or "" where none was needed. No process may be writing to the file.
    Raises OSError, and CorruptTraceError where the file has no valid header.
    """
    with TraceReader(path) as trace:
        if trace.has_footer:
            return ""
        index = trace.index
        end = max((entry.offset + entry.length for entry in index), default=trace.first_block_offset)
    with open(path, "r+b") as file:
        file.truncate(end)
        file.seek(end)
        file.write(file_format.encode_footer(index))
        file.flush()
        os.fsync(file.fileno())
    return f"its footer was rebuilt, {len(index)} blocks are intact"
