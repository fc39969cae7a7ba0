"""Reads trace files, truncated and damaged ones too: every intact block, and what is missing in words."""

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
FOOTER_READ_BYTES = 64 * 1024  # the footer of an hour has a tenth of it
SEARCH_BYTES = 1 << 20  # read at a time in search of the next block


def _ignore_progress(done: int, total: int) -> None:
    """Report nothing."""


class TraceReader:
    """An open trace file, and a context manager that closes it.

    `index` has an entry a block, `has_footer` says whether it was found in the file or rebuilt. `missing`
    grows by a line for each part that could not be read, `skipped` counts the records of unknown kinds,
    `bytes_read` all that was read from the file.
    """

    def __init__(self, path: Path | str) -> None:
        """Open a file, read its header and index. Raises OSError, and CorruptTraceError for a bad header."""
        self.path = Path(path)
        self.file = open(self.path, "rb")  # noqa: SIM115 - it lives as long as this does
        fcntl.flock(self.file, fcntl.LOCK_SH)  # so that the writer does not delete it meanwhile
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
        """Up to `size` bytes from an offset."""
        data = os.pread(self.file.fileno(), size, offset)
        self.bytes_read += len(data)
        return data

    def _read_index(self) -> list[IndexEntry]:
        """The index from the footer; where there is none, from the blocks."""
        try:
            return self._read_footer()
        except CorruptTraceError as error:
            self.has_footer = False
            self.missing.append(f"{error}: the index was rebuilt from the blocks")
            return self.rebuild_index()

    def _read_footer(self) -> list[IndexEntry]:
        """The index from the footer; raises CorruptTraceError where there is no intact one."""
        available = self.length - self.first_block_offset
        size = min(available, FOOTER_READ_BYTES)
        try:
            index, _ = file_format.decode_footer(self._read_at(self.length - size, size))
        except FooterIncompleteError as error:
            if error.size > available:
                raise CorruptTraceError("the footer's length is wrong") from None
            index, _ = file_format.decode_footer(self._read_at(self.length - error.size, error.size))
        return index

    def rebuild_index(self) -> list[IndexEntry]:
        """The index from the intact blocks themselves; what lies between them is added to `missing`."""
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
        """The header of the block at an offset; None where no intact block is there."""
        try:
            header = file_format.decode_block_header(self._read_at(offset, file_format.BLOCK_HEADER.size))
        except CorruptTraceError:
            return None
        block = self._read_at(offset, file_format.BLOCK_HEADER.size + header.length)
        return header if file_format.is_intact(block, 0, header) else None

    def _add_gap(self, start: int | None, end: int) -> None:
        """Add the bytes from `start` to `end` to what is missing; None: there are none."""
        if start is not None:
            self.missing.append(f"bytes {start} to {end} hold no intact block")

    def _find_block(self, offset: int) -> int:
        """The next offset at which a block may begin; the file's length if none does."""
        while offset < self.length:
            data = self._read_at(offset, SEARCH_BYTES)
            found = data.find(file_format.BLOCK_MAGIC)
            if found >= 0:
                return offset + found
            # the magic may lie across two reads
            offset += max(1, len(data) - len(file_format.BLOCK_MAGIC) + 1)
        return self.length

    def records(
        self,
        first: float = -inf,
        last: float = inf,
        progress: Callable[[int, int], None] = _ignore_progress,
    ) -> Iterator[Record]:
        """The records from `first` up to but not at `last`, in the order of the file.

        Both are seconds of the instance's clock. Only the blocks that may hold such records are read; those
        that are damaged are added to `missing`. `progress` is called with the number of blocks gone through
        and of all blocks.
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
        """The records of a block; none where it is damaged."""
        data = self._read_at(entry.offset, entry.length)
        try:
            header = file_format.decode_block_header(data)
            if not file_format.is_intact(data, 0, header):
                raise CorruptTraceError("it fails its checksum")
            records, skipped = file_format.decode_block(data[file_format.BLOCK_HEADER.size :])
        except CorruptTraceError as error:
            span = f"from {entry.first:.3f} to {entry.last:.3f}"
            self.missing.append(f"a block of {entry.count} records {span}: {error}")
            return []
        self.skipped.update(skipped)
        return records


def repair_footer(path: Path) -> str:
    """Give a file that ended without a footer its own, behind its last intact block.

    Returns what was done in words, or "" where nothing was needed. The caller knows that nobody writes the
    file. Raises OSError, and CorruptTraceError where it has no header.
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
