"""The file's grammar in code: header, blocks, footer. Bytes in, bytes out; no files here.

    file    = header block* [footer] header  = "OATTRACE" u16 version, u32 length, msgpack facts, u64 xxh64 of
    all before block   = "OTB1" u32 length, u32 count, f64 first, f64 last, u64 number, u64 xxh64 of (these
    fields, payload), payload payload = zstd(msgpack of [names, [[kind, fields, columns]...], order]) footer
    = "OTX1" zstd(msgpack of [[offset, length, count, first, last]...]), u64 xxh64, u32 length, "OTXE"

All numbers are little-endian; `length` counts the payload. A block stands alone: its names and the schema of
its records are in it. A column is [coding, bytes]: numbers less their least, or the steps between them, in
the fewest bytes a number, each byte's plane together, as zstd finds most there.
"""

import gc
import struct
from collections.abc import Sequence
from typing import NamedTuple

import msgpack
import numpy as np
import xxhash
import zstandard

from oatcart.trace.records import FIELDS, FIELDS_MERGED, Record

FILE_MAGIC, BLOCK_MAGIC, FOOTER_MAGIC, END_MAGIC = b"OATTRACE", b"OTB1", b"OTX1", b"OTXE"
VERSION = 1  # of the grammar; a reader refuses a higher one, fields and kinds may come and go within it
FILE_HEADER = struct.Struct("<8sHI")
BLOCK_HEADER = struct.Struct("<4sIIddQQ")
FOOTER_TAIL = struct.Struct("<QI4s")
ZSTD_LEVEL = 6  # of zstd: 10 makes blocks 1% smaller and nearly doubles what they cost
# bytes; what is larger is no trace of ours
MAX_METADATA_BYTES, MAX_PAYLOAD_BYTES, MAX_UNCOMPRESSED_BYTES = 1 << 20, 64 << 20, 512 << 20
PLAIN, STEPS, RAW = 0, 1, 2  # codings of a column of numbers
MICRO = 1e6


class CorruptTrace(ValueError):
    """Bytes that are no such thing."""


class BlockHeader(NamedTuple):
    """A block's header; `length` is its payload's."""

    length: int
    count: int
    first: float
    last: float
    number: int
    checksum: int


def encode_header(facts: dict) -> bytes:
    body = msgpack.packb(facts)
    whole = FILE_HEADER.pack(FILE_MAGIC, VERSION, len(body)) + body
    return whole + struct.pack("<Q", xxhash.xxh64_intdigest(whole))


def decode_header(data: bytes) -> tuple[dict, int]:
    """The facts and where the first block begins; raises CorruptTrace."""
    if len(data) < FILE_HEADER.size or data[:8] != FILE_MAGIC:
        raise CorruptTrace("this is no trace")
    _, version, length = FILE_HEADER.unpack_from(data)
    if version > VERSION:
        raise CorruptTrace(f"version {version} of the format; this reader knows {VERSION}")
    end = FILE_HEADER.size + length
    if length > MAX_METADATA_BYTES or len(data) < end + 8:
        raise CorruptTrace("the header is cut")
    if struct.unpack_from("<Q", data, end)[0] != xxhash.xxh64_intdigest(data[:end]):
        raise CorruptTrace("the header is spoilt")
    return msgpack.unpackb(data[FILE_HEADER.size : end]), end + 8


# -- columns


def _numbers(values: np.ndarray) -> list:
    """Whole numbers as a column, the smaller of two codings."""
    if not len(values):
        return [PLAIN, 0, 1, b""]
    found = [_fewest(PLAIN, values)]
    if len(values) > 1:
        steps = np.diff(values, prepend=values[:1])
        found.append([STEPS, *_fewest(STEPS, steps)[1:], int(values[0])])
    return min(found, key=lambda one: (one[2], one[0]))


def _fewest(coding: int, values: np.ndarray) -> list:
    least = int(values.min())
    spread = int(values.max()) - least
    width = next((size for size in (1, 2, 3, 4, 5, 6, 7) if spread < 1 << 8 * size), 8)
    shifted = (values - np.int64(least)).astype("<u8")  # wraps as the reader's sum does
    return [coding, least, width, shifted.view(np.uint8).reshape(-1, 8)[:, :width].T.tobytes()]


def _read_numbers(column: list, count: int) -> np.ndarray:
    coding, least, width, data, *first = column
    if not count:
        return np.zeros(0, "<i8")
    planes = np.frombuffer(data, np.uint8).reshape(width, count)
    whole = np.zeros((count, 8), np.uint8)
    whole[:, :width] = planes.T
    values = whole.reshape(-1).view("<u8").astype("<i8") + np.int64(least)
    if coding == STEPS:
        values[0] = first[0]
        values = np.cumsum(values)
    return values


def _column(kind: str, values: Sequence, names: dict[str, int]) -> list:
    if kind == "us":
        return _numbers(np.rint(np.asarray(values, "<f8") * MICRO).astype("<i8"))
    if kind == "int":
        return _numbers(np.asarray(values, "<i8"))
    if kind == "float":
        return [RAW, 0, 8, np.asarray(values, "<f8").view(np.uint8).reshape(-1, 8).T.tobytes()]
    if kind == "name":
        return _numbers(np.asarray([names.setdefault(one, len(names)) for one in values], "<i8"))
    parts = [msgpack.packb(one) for one in values] if kind == "any" else list(values)
    return [*_numbers(np.asarray([len(one) for one in parts], "<i8")), b"".join(parts)]


def _read_column(kind: str, column: list, count: int, names: list[str]) -> list:
    if kind == "us":
        return (_read_numbers(column, count) / MICRO).tolist()
    if kind == "int":
        return _read_numbers(column, count).tolist()
    if kind == "float":
        planes = np.frombuffer(column[3], np.uint8).reshape(8, count)
        return np.ascontiguousarray(planes.T).reshape(-1).view("<f8").tolist()
    if kind == "name":
        return [names[at] for at in _read_numbers(column, count).tolist()]
    sizes = _read_numbers(column[:-1], count).tolist()
    out, at, data = [], 0, column[-1]
    for size in sizes:
        part = data[at : at + size]
        out.append(msgpack.unpackb(part, use_list=False, strict_map_key=False) if kind == "any" else part)
        at += size
    return out


# -- blocks


def encode_block(number: int, records: Sequence[tuple], fields: dict = FIELDS) -> bytes:
    """A whole block of records as `records.make` makes them; their order is kept."""
    by_kind: dict[str, list] = {}
    for record in records:
        by_kind.setdefault(record[0], []).append(record)
    names: dict[str, int] = {}
    parts, places = [], {}
    for kind, rows in by_kind.items():
        places[kind] = len(parts)
        columns = list(zip(*rows, strict=True))[1:]
        if len(columns) != len(fields[kind]):
            raise CorruptTrace(f"a record of kind {kind} has {len(columns)} fields, not {len(fields[kind])}")
        parts.append(
            [
                kind,
                [list(one) for one in fields[kind]],
                len(rows),
                [_column(how, column, names) for (_, how), column in zip(fields[kind], columns, strict=True)],
            ]
        )
    order = _numbers(np.asarray([places[record[0]] for record in records], "<i8"))
    body = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(msgpack.packb([list(names), parts, order]))
    times = [record[1] for record in records]
    plain = struct.pack("<IIddQ", len(body), len(records), min(times), max(times), number)
    return BLOCK_MAGIC + plain + struct.pack("<Q", xxhash.xxh64_intdigest(plain + body)) + body


def decode_block_header(data: bytes, at: int = 0) -> BlockHeader:
    """A block's header at a place; raises CorruptTrace."""
    if len(data) - at < BLOCK_HEADER.size:
        raise CorruptTrace("a block's header is cut")
    magic, *rest = BLOCK_HEADER.unpack_from(data, at)
    head = BlockHeader(*rest)
    if magic != BLOCK_MAGIC or head.length > MAX_PAYLOAD_BYTES:
        raise CorruptTrace("no block begins here")
    return head


def is_intact(data: bytes, at: int, head: BlockHeader) -> bool:
    """Whether a block is as it was written."""
    body = data[at + BLOCK_HEADER.size : at + BLOCK_HEADER.size + head.length]
    return (
        len(body) == head.length
        and xxhash.xxh64_intdigest(data[at + 4 : at + BLOCK_HEADER.size - 8] + body) == head.checksum
    )


def decode_block(payload: bytes, known: dict = FIELDS_MERGED) -> tuple[list[Record], dict[str, int]]:
    """The records of a block in their order, and how many of unknown kinds were skipped, by kind. A field
    that is not known is left out, one that the file lacks is missing."""
    collects = gc.isenabled()
    gc.disable()  # thousands of records at once, none of them rubbish: looking through them doubles the time
    try:
        plain = zstandard.ZstdDecompressor().decompress(payload, max_output_size=MAX_UNCOMPRESSED_BYTES)
        names, parts, order = msgpack.unpackb(plain, strict_map_key=False)
        rows, skipped = [], {}
        for kind, fields, count, columns in parts:
            if kind not in known:
                skipped[kind] = count
                rows.append(None)
                continue
            ours = {name for name, _ in known[kind]}
            kept = [
                (name, _read_column(how, column, count, names))
                for (name, how), column in zip(fields, columns, strict=True)
                if name in ours
            ]
            titles = [name for name, _ in kept]
            columns = zip(*(values for _, values in kept), strict=True)
            rows.append(iter([Record(kind, dict(zip(titles, values, strict=False))) for values in columns]))
        total = sum(part[2] for part in parts)
        return [
            next(rows[place]) for place in _read_numbers(order, total).tolist() if rows[place] is not None
        ], skipped
    except (
        zstandard.ZstdError,
        msgpack.UnpackException,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
    ) as error:
        raise CorruptTrace(f"a block cannot be read: {error}") from None
    finally:
        if collects:
            gc.enable()


def encode_footer(index: Sequence[tuple]) -> bytes:
    body = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(msgpack.packb([list(one) for one in index]))
    return FOOTER_MAGIC + body + FOOTER_TAIL.pack(xxhash.xxh64_intdigest(body), len(body), END_MAGIC)


def decode_footer(tail: bytes) -> tuple[list[tuple], int]:
    """The index and the footer's length, from the end of a file; raises CorruptTrace where there is none."""
    if len(tail) < FOOTER_TAIL.size:
        raise CorruptTrace("no footer")
    checksum, length, end = FOOTER_TAIL.unpack_from(tail, len(tail) - FOOTER_TAIL.size)
    size = 4 + length + FOOTER_TAIL.size
    if end != END_MAGIC:
        raise CorruptTrace("no footer")
    if len(tail) < size:
        raise FooterIncomplete(size)
    body = tail[-size + 4 : -FOOTER_TAIL.size]
    if tail[-size : -size + 4] != FOOTER_MAGIC or xxhash.xxh64_intdigest(body) != checksum:
        raise CorruptTrace("the footer is spoilt")
    return [tuple(one) for one in msgpack.unpackb(zstandard.ZstdDecompressor().decompress(body))], size


class FooterIncomplete(CorruptTrace):
    """More of the end is needed."""

    def __init__(self, size: int) -> None:
        super().__init__(f"{size} bytes of the end are needed")
        self.size = size
