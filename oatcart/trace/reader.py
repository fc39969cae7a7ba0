"""Reading a trace, whole, cut or spoilt: every whole block is had, and what is missing is said."""

import fcntl
import os
from collections import Counter
from collections.abc import Callable, Iterator
from math import inf
from pathlib import Path

from oatcart.trace import file_format
from oatcart.trace.records import Record

FOOTER_READ_BYTES = (
    64 * 1024
)  # bytes of the end that are read to find the footer; an hour's index is a tenth of it


class TraceReader:
    """An open trace. `index`: (offset, length, count, first, last) a block; `missing`: what was lost, in
    words; `skipped`: records of unknown kinds, by kind, among what was read."""

    def __init__(self, path: Path | str) -> None:
        self.path = Path(path)
        self.file = open(self.path, "rb")  # noqa: SIM115 - it lives as long as this does
        fcntl.flock(self.file, fcntl.LOCK_SH)  # so that retention leaves it
        self.missing: list[str] = []
        self.skipped: Counter[str] = Counter()
        self.bytes_read = 0
        try:
            self.length = os.fstat(self.file.fileno()).st_size
            self.metadata, self.first_block_offset = file_format.decode_header(
                self._read_at(
                    0,
                    min(self.length, file_format.FILE_HEADER.size + file_format.MAX_METADATA_BYTES + 8)
                    if self.length < FOOTER_READ_BYTES
                    else FOOTER_READ_BYTES,
                )
            )
            self.index, self.has_footer = self._index()
        except BaseException:
            self.file.close()
            raise

    def __enter__(self) -> "TraceReader":
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def _read_at(self, offset: int, size: int) -> bytes:
        data = os.pread(self.file.fileno(), size, offset)
        self.bytes_read += len(data)
        return data

    def _index(self) -> tuple[list[tuple], bool]:
        size = min(self.length - self.first_block_offset, FOOTER_READ_BYTES)
        try:
            try:
                return file_format.decode_footer(self._read_at(self.length - size, size))[0], True
            except file_format.FooterIncompleteError as short:
                if short.size > self.length - self.first_block_offset:
                    raise file_format.CorruptTraceError("the footer is spoilt") from None
                return file_format.decode_footer(self._read_at(self.length - short.size, short.size))[0], True
        except file_format.CorruptTraceError as error:
            self.missing.append(f"{error}: the index was made anew from the blocks")
            return self.rebuild_index(), False

    def rebuild_index(self) -> list[tuple]:
        """The index from the blocks themselves; what lies between whole ones is said to be missing."""
        index, at, gap = [], self.first_block_offset, None
        while at < self.length:
            try:
                data = self._read_at(at, file_format.BLOCK_HEADER.size)
                head = file_format.decode_block_header(data)
                size = file_format.BLOCK_HEADER.size + head.length
                if not file_format.is_intact(self._read_at(at, size), 0, head):
                    raise file_format.CorruptTraceError("spoilt or cut")
            except file_format.CorruptTraceError:
                if gap is None:
                    gap = at
                at = self._find_block(at + 1)
                continue
            if gap is not None:
                self.missing.append(f"bytes {gap} to {at} are no whole block")
                gap = None
            index.append((at, size, head.count, head.first, head.last))
            at += size
        if gap is not None:
            self.missing.append(f"bytes {gap} to {self.length} are no whole block")
        return index

    def _find_block(self, at: int) -> int:
        """Where the next block may begin."""
        step = 1 << 20
        while at < self.length:
            data = self._read_at(at, step)
            found = data.find(file_format.BLOCK_MAGIC)
            if found >= 0:
                return at + found
            at += max(1, len(data) - len(file_format.BLOCK_MAGIC) + 1)
        return self.length

    def records(
        self,
        first: float = -inf,
        last: float = inf,
        progress: Callable[[int, int], None] = lambda done, of: None,
    ) -> Iterator[Record]:
        """The records from `first` up to but not at `last`, by the instance's clock, in the order of the
        file. Only blocks that may hold some are read; a spoilt one is said to be missing. `progress`: blocks
        gone through, of all."""
        for at, (offset, length, count, begins, ends) in enumerate(self.index):
            progress(at, len(self.index))
            if ends < first or begins >= last:
                continue
            data = self._read_at(offset, length)
            try:
                head = file_format.decode_block_header(data)
                if not file_format.is_intact(data, 0, head):
                    raise file_format.CorruptTraceError("it is spoilt")
                found, skipped = file_format.decode_block(data[file_format.BLOCK_HEADER.size :])
            except file_format.CorruptTraceError as error:
                self.missing.append(f"a block of {count} records from {begins:.3f} to {ends:.3f}: {error}")
                continue
            self.skipped.update(skipped)
            if first <= begins and ends < last:
                yield from found
            else:
                yield from (one for one in found if first <= one.fields["at"] < last)


def repair_footer(path: Path) -> str:
    """Give a file that ended without a footer its own, after its last whole block; says what was done, if
    anything. Whoever calls this knows that nobody writes the file."""
    with TraceReader(path) as trace:
        if trace.has_footer:
            return ""
        index = trace.index
        end = max((offset + length for offset, length, *_ in index), default=trace.first_block_offset)
    with open(path, "r+b") as file:
        file.truncate(end)
        file.seek(end)
        file.write(file_format.encode_footer(index))
        file.flush()
        os.fsync(file.fileno())
    return f"its index was repaired, {len(index)} blocks are whole"
