"""Encodes and decodes the parts of a trace file: header, blocks, footer. Does no I/O.

    file = header block* [footer]
    header = "OATTRACE" u16 version, u32 length, msgpack metadata, u64 xxh64 of all before it
    block = "OTB1" u32 length, u32 count, f64 first, f64 last, u64 number, u64 xxh64, payload
    payload = zstd(msgpack of [names, [[kind, fields, count, columns]...], order])
    footer = "OTX1" zstd(msgpack of [[offset, length, count, first, last]...]), u64 xxh64, u32 length, "OTXE"

All numbers are little-endian; `length` is the length of the payload in bytes, `count` the number of records,
`first` and `last` the least and greatest time of a block in seconds. A block's checksum covers the fields of
its header and the payload. Each block can be decoded alone: it contains its string table and the fields of
its records.
"""

import gc
import struct
from collections.abc import Mapping, Sequence
from itertools import compress
from typing import NamedTuple

import msgpack
import numpy as np
import xxhash
import zstandard

from oatcart.trace.columns import decode_column, decode_integers, encode_column, encode_integers
from oatcart.trace.records import FIELDS, FIELDS_MERGED, Record

FILE_MAGIC = b"OATTRACE"
BLOCK_MAGIC = b"OTB1"
FOOTER_MAGIC = b"OTX1"
END_MAGIC = b"OTXE"
VERSION = 1  # readers reject higher ones; fields and record kinds may be added or removed within a version
FILE_HEADER = struct.Struct("<8sHI")  # magic, version, length
BLOCK_HEADER = struct.Struct("<4sIIddQQ")  # magic, the fields of BlockHeader
BLOCK_FIELDS = struct.Struct("<IIddQ")  # the fields of BlockHeader before its checksum
CHECKSUM = struct.Struct("<Q")
FOOTER_TAIL = struct.Struct("<QI4s")  # checksum, length, magic
ZSTD_LEVEL = 6  # 10 saves 1% of the size for nearly twice the CPU time
MAX_METADATA_BYTES = 1 << 20
MAX_PAYLOAD_BYTES = 64 << 20
MAX_UNCOMPRESSED_BYTES = 512 << 20

Fields = Mapping[str, Sequence[tuple[str, str]]]  # by record kind: the name and type of each field


class CorruptTraceError(ValueError):
    """The data is not a trace or is damaged; the message names the part."""


class FooterIncompleteError(CorruptTraceError):
    """Decoding the footer needs more bytes from the end of the file."""

    def __init__(self, size: int) -> None:
        """Set `size`, the length of the footer in bytes."""
        super().__init__(f"the footer has {size} bytes, but fewer were given")
        self.size = size


class BlockHeader(NamedTuple):
    """A block's header: payload length in bytes, number of records, least and greatest time in seconds."""

    length: int
    count: int
    first: float
    last: float
    number: int
    checksum: int


class IndexEntry(NamedTuple):
    """A block in a file's index: offset and length (with header) in bytes, record count, times in seconds."""

    offset: int
    length: int
    count: int
    first: float
    last: float


def index_entry(offset: int, block: bytes) -> IndexEntry:
    """Return the index entry for an encoded block that is written at an offset."""
    header = decode_block_header(block)
    return IndexEntry(offset, len(block), header.count, header.first, header.last)


def encode_header(metadata: dict) -> bytes:
    """Encode a file's header. `metadata` holds the instance name, opening time etc. in msgpack types."""
    body = msgpack.packb(metadata)
    checked = FILE_HEADER.pack(FILE_MAGIC, VERSION, len(body)) + body
    return checked + CHECKSUM.pack(xxhash.xxh64_intdigest(checked))


def decode_header(data: bytes) -> tuple[dict, int]:
    """Decode a file's header; return metadata and offset of the first block. Raises CorruptTraceError."""
    if len(data) < FILE_HEADER.size or data[:8] != FILE_MAGIC:
        raise CorruptTraceError("this is not a trace file")
    _, version, length = FILE_HEADER.unpack_from(data)
    if version > VERSION:
        raise CorruptTraceError(
            f"unsupported format version {version}; the highest supported one is {VERSION}"
        )
    end = FILE_HEADER.size + length
    if length > MAX_METADATA_BYTES or len(data) < end + CHECKSUM.size:
        raise CorruptTraceError("the file header is truncated")
    if CHECKSUM.unpack_from(data, end)[0] != xxhash.xxh64_intdigest(data[:end]):
        raise CorruptTraceError("checksum mismatch in the file header")
    return msgpack.unpackb(data[FILE_HEADER.size : end]), end + CHECKSUM.size


def encode_block(number: int, records: Sequence[tuple], fields: Fields = FIELDS) -> bytes:
    """Encode a block of one or more records, in the order given.

    A record consists of its kind and the values of its fields, in the order of `fields`. Raises
    CorruptTraceError where a record has a different number of values.
    """
    by_kind: dict[str, list] = {}
    for record in records:
        by_kind.setdefault(record[0], []).append(record)
    names: dict[str, int] = {}
    parts = [_encode_kind(kind, rows, fields[kind], names) for kind, rows in by_kind.items()]
    kind_indexes = {kind: index for index, kind in enumerate(by_kind)}
    order = encode_integers(np.asarray([kind_indexes[record[0]] for record in records], "<i8"))
    packed = msgpack.packb([list(names), parts, order])
    payload = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(packed)
    times = [record[1] for record in records]
    header = BLOCK_FIELDS.pack(len(payload), len(records), min(times), max(times), number)
    checksum = CHECKSUM.pack(xxhash.xxh64_intdigest(header + payload))
    return BLOCK_MAGIC + header + checksum + payload


def _encode_kind(
    kind: str, rows: Sequence[tuple], fields: Sequence[tuple[str, str]], names: dict[str, int]
) -> list:
    """Encode all records of one kind as [kind, fields, record count, one column per field]."""
    _, *columns = zip(*rows, strict=True)
    if len(columns) != len(fields):
        raise CorruptTraceError(f"a record of kind {kind} has {len(columns)} fields, expected {len(fields)}")
    encoded = [
        encode_column(field_type, column, names)
        for (_, field_type), column in zip(fields, columns, strict=True)
    ]
    return [kind, [list(field) for field in fields], len(rows), encoded]


def decode_block_header(data: bytes, offset: int = 0) -> BlockHeader:
    """Decode the header of the block at an offset. Raises CorruptTraceError."""
    if len(data) - offset < BLOCK_HEADER.size:
        raise CorruptTraceError("the block header is truncated")
    magic, *values = BLOCK_HEADER.unpack_from(data, offset)
    header = BlockHeader(*values)
    if magic != BLOCK_MAGIC or header.length > MAX_PAYLOAD_BYTES:
        raise CorruptTraceError("no valid block header at this offset")
    return header


def is_intact(data: bytes, offset: int, header: BlockHeader) -> bool:
    """Return whether the block at an offset is complete and matches its checksum."""
    start = offset + BLOCK_HEADER.size
    payload = data[start : start + header.length]
    if len(payload) != header.length:
        return False
    checked = data[offset + len(BLOCK_MAGIC) : start - CHECKSUM.size] + payload
    return xxhash.xxh64_intdigest(checked) == header.checksum


def decode_block(payload: bytes, known: Fields = FIELDS_MERGED) -> tuple[list[Record], dict[str, int]]:
    """Decode a block's payload; return its records in order, and how many of each unknown kind were skipped.

    `known` holds the record kinds and fields of this version. Fields that are not in it are left out of the
    records, as are known fields that the file does not have. Raises CorruptTraceError.
    """
    gc_was_enabled = gc.isenabled()
    gc.disable()  # collections while thousands of live objects are created double the time
    try:
        decompressor = zstandard.ZstdDecompressor()
        packed = decompressor.decompress(payload, max_output_size=MAX_UNCOMPRESSED_BYTES)
        return _decode_records(packed, known)
    except (
        zstandard.ZstdError,
        msgpack.UnpackException,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
    ) as error:
        raise CorruptTraceError(f"a block cannot be decoded: {error}") from None
    finally:
        if gc_was_enabled:
            gc.enable()


def _decode_records(packed: bytes, known: Fields) -> tuple[list[Record], dict[str, int]]:
    """Decode the uncompressed msgpack body of a block, with the result of `decode_block`."""
    names, parts, order = msgpack.unpackb(packed, strict_map_key=False)
    records_by_kind_index, skipped, total = [], {}, 0
    for kind, fields, count, columns in parts:
        total += count
        if kind in known:
            records_by_kind_index.append(iter(_decode_kind(kind, fields, count, columns, names, known[kind])))
        else:
            records_by_kind_index.append(None)
            skipped[kind] = count
    kind_indexes = decode_integers(order, total).tolist()
    records = [
        next(records_by_kind_index[kind_index])
        for kind_index in kind_indexes
        if records_by_kind_index[kind_index] is not None
    ]
    return records, skipped


def _decode_kind(
    kind: str,
    fields: Sequence,
    count: int,
    columns: Sequence[list],
    names: list[str],
    known: Sequence[tuple[str, str]],
) -> list[Record]:
    """Decode all records of one kind, with only those of their fields that are in `known`."""
    known_names = {name for name, _ in known}
    kept = [name in known_names for name, _ in fields]
    kept_names = [name for name, _ in compress(fields, kept)]
    values = [
        decode_column(field_type, column, count, names)
        for (_, field_type), column in compress(zip(fields, columns, strict=True), kept)
    ]
    return [Record(kind, dict(zip(kept_names, row, strict=False))) for row in zip(*values, strict=True)]


def encode_footer(index: Sequence[tuple]) -> bytes:
    """Encode a file's footer from the index entries of its blocks."""
    packed = msgpack.packb([list(entry) for entry in index])
    body = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(packed)
    return FOOTER_MAGIC + body + FOOTER_TAIL.pack(xxhash.xxh64_intdigest(body), len(body), END_MAGIC)


def decode_footer(end: bytes) -> tuple[list[IndexEntry], int]:
    """Decode the footer from the last bytes of a file; return the index and the footer's length in bytes.

    Raises FooterIncompleteError where `end` holds only a part of the footer, and CorruptTraceError where
    there is no intact footer.
    """
    if len(end) < FOOTER_TAIL.size:
        raise CorruptTraceError("no footer")
    checksum, length, magic = FOOTER_TAIL.unpack_from(end, len(end) - FOOTER_TAIL.size)
    if magic != END_MAGIC:
        raise CorruptTraceError("no footer")
    size = len(FOOTER_MAGIC) + length + FOOTER_TAIL.size
    if len(end) < size:
        raise FooterIncompleteError(size)
    start = len(end) - size
    body = end[start + len(FOOTER_MAGIC) : -FOOTER_TAIL.size]
    if not end.startswith(FOOTER_MAGIC, start) or xxhash.xxh64_intdigest(body) != checksum:
        raise CorruptTraceError("checksum mismatch in the footer")
    entries = msgpack.unpackb(zstandard.ZstdDecompressor().decompress(body))
    return [IndexEntry(*entry) for entry in entries], size
