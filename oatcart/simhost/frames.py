"""Frames of the simulator's wire: reads batches of records and writes replies.

All fields are big-endian and packed. A record has a code, fixed fields that begin with the instance's number,
and for some codes content that begins with its count. Records are split here and decoded in
`event_decoding.py`.
"""

import struct
from collections.abc import Iterator
from enum import Enum, IntEnum, auto
from typing import BinaryIO, NamedTuple

MS_PER_SECOND = 1000  # times are ms on the wire, seconds elsewhere
_U8 = struct.Struct(">B")
_U16 = struct.Struct(">H")
_U32 = struct.Struct(">I")
_BATCH_HEADER = struct.Struct(">IId")  # bytes after this field, records, clock in ms
_REPLY_HEADER = struct.Struct(">II")  # records, bytes after this field
_ENTRY = struct.Struct(">IHdBBfH")  # fields of EntryFields
_HEADER_BYTES = _BATCH_HEADER.size - _U32.size  # without the length field before it


class MalformedFrameError(Exception):
    """A frame is truncated or cannot be decoded; the message says where."""


class RecordCode(IntEnum):
    """Codes of the records of a batch; the comment beside each is its name in the protocol."""

    START = 1  # Provision
    ENDPOINT_LIST = 2  # Update
    TIMER = 3  # Fired
    HEALTH_CHECK = 4  # Echo
    PEER_MESSAGE = 5  # Peer
    STOP = 6  # Down
    PROXY_JOINED = 7  # Subscribed
    PROXY_LEFT = 8  # StreamDown
    UPDATE_ACKNOWLEDGED = 9  # Installed
    ENDPOINT_LOAD = 10  # Observed
    PROXY_LOAD = 11  # Ingress
    SLICE_LOAD = 12  # Pressure
    SLICE_ASSIGNED = 13  # Handed
    SLICE_WEIGHT = 14  # StoredLine


class Record(NamedTuple):
    """One record of a batch."""

    code: RecordCode
    instance: int
    fields: tuple  # after the instance, in the protocol's order; the content, if any, is the last


class EntryFields(NamedTuple):
    """One entry of an endpoint list, as it is packed."""

    endpoint_id: int
    zone: int
    started_ms: float  # of the batch's clock; 0: long ago
    state: int
    machine_kind: int
    nominal_weight: float
    cell: int


class Batch(NamedTuple):
    """The events at one clock time, for any number of instances."""

    clock_ms: float
    records: list[Record]


class Reply(NamedTuple):
    """The answer to a batch: packed records."""

    record_count: int
    body: bytes


class _Content(Enum):
    """What follows the fixed fields of a record."""

    NONE = auto()
    SHORT_BYTES = auto()  # u16 n, n bytes
    LONG_BYTES = auto()  # u32 n, n bytes
    LOAD = auto()  # u8 n, n f32
    ENTRIES = auto()  # u32 n, n entries


class _Layout(NamedTuple):
    code: RecordCode
    fixed: struct.Struct
    content: _Content


_LAYOUTS = {
    int(code): _Layout(code, struct.Struct(fixed), content)
    for code, fixed, content in (
        (RecordCode.START, ">IQ", _Content.LONG_BYTES),
        (RecordCode.ENDPOINT_LIST, ">IBI", _Content.ENTRIES),
        (RecordCode.TIMER, ">IQ", _Content.NONE),
        (RecordCode.HEALTH_CHECK, ">IIHd", _Content.LOAD),
        (RecordCode.PEER_MESSAGE, ">II", _Content.SHORT_BYTES),
        (RecordCode.STOP, ">I", _Content.NONE),
        (RecordCode.PROXY_JOINED, ">IBHHf", _Content.NONE),
        (RecordCode.PROXY_LEFT, ">IH", _Content.NONE),
        (RecordCode.UPDATE_ACKNOWLEDGED, ">IHId", _Content.NONE),
        (RecordCode.ENDPOINT_LOAD, ">IddIIIH", _Content.LOAD),
        (RecordCode.PROXY_LOAD, ">IHHIId", _Content.NONE),
        (RecordCode.SLICE_LOAD, ">IdIHHI", _Content.NONE),
        (RecordCode.SLICE_ASSIGNED, ">IHB", _Content.NONE),
        (RecordCode.SLICE_WEIGHT, ">IHIf", _Content.NONE),
    )
}
_COUNTS = {
    _Content.SHORT_BYTES: _U16,
    _Content.LONG_BYTES: _U32,
    _Content.LOAD: _U8,
    _Content.ENTRIES: _U32,
}


def read_batch(source: BinaryIO) -> Batch | None:
    """Read one batch; None at the end of the input. Raises MalformedFrameError.

    >>> import io
    >>> read_batch(io.BytesIO(bytes.fromhex("0000000c0000000040c06e2000000000")))
    Batch(clock_ms=8412.25, records=[])
    >>> read_batch(io.BytesIO(b"")) is None
    True
    """
    length = source.read(_U32.size)
    if not length:
        return None
    if len(length) != _U32.size:
        raise MalformedFrameError("the frame is truncated in its length field")
    (size,) = _U32.unpack(length)
    if size < _HEADER_BYTES:
        raise MalformedFrameError(f"frame length: expected at least the size of the header, got {size} bytes")
    rest = source.read(size)
    if len(rest) != size:
        raise MalformedFrameError(f"the frame is truncated: got {len(rest)} bytes of {size}")
    frame = length + rest
    _, count, clock_ms = _BATCH_HEADER.unpack_from(frame)
    return Batch(clock_ms, list(split_records(frame, count)))


def split_records(frame: bytes, count: int) -> Iterator[Record]:
    """Split the records of a frame that follow its header. Raises MalformedFrameError.

    >>> body = bytes.fromhex("0a00000003408f4000000000004048200000000000000000010000000e03124a070000"
    ...                      "0140e00000" "0300000003000000000000004d" "08000000050029")
    >>> for record in split_records(bytes(16) + body, 3):
    ...     print(record.code.name, record.instance, record.fields)
    ENDPOINT_LOAD 3 (1000.0, 48.25, 1, 14, 51530247, 0, (7.0,))
    TIMER 3 (77,)
    PROXY_LEFT 5 (41,)
    """
    offset = _BATCH_HEADER.size
    try:
        for _ in range(count):
            layout = _LAYOUTS.get(frame[offset])
            if layout is None:
                raise MalformedFrameError(
                    f"record code {frame[offset]} at byte {offset} is unknown, and so is the record's length"
                )
            fixed = layout.fixed.unpack_from(frame, offset + 1)
            offset += 1 + layout.fixed.size
            if layout.content is _Content.NONE:
                yield Record(layout.code, fixed[0], fixed[1:])
                continue
            content, offset = _read_content(frame, offset, layout.content)
            yield Record(layout.code, fixed[0], (*fixed[1:], content))
    except (IndexError, struct.error) as error:
        raise MalformedFrameError(f"a record is truncated near byte {offset}") from error
    if offset != len(frame):
        raise MalformedFrameError(f"{len(frame) - offset} bytes follow the last record")


def _read_content(frame: bytes, offset: int, content: _Content) -> tuple[object, int]:
    """Return the content that begins with its count at byte `offset`, and the offset of its end."""
    count_struct = _COUNTS[content]
    (count,) = count_struct.unpack_from(frame, offset)
    offset += count_struct.size
    if content is _Content.LOAD:
        return struct.unpack_from(f">{count}f", frame, offset), offset + 4 * count
    end = offset + count * (_ENTRY.size if content is _Content.ENTRIES else 1)
    if end > len(frame):
        raise IndexError
    if content is _Content.ENTRIES:
        return list(map(EntryFields._make, _ENTRY.iter_unpack(frame[offset:end]))), end
    return frame[offset:end], end


def write_reply(sink: BinaryIO, reply: Reply) -> None:
    """Write and flush one reply.

    >>> import io; sink = io.BytesIO(); write_reply(sink, Reply(0, b"")); sink.getvalue().hex()
    '0000000000000000'
    """
    sink.write(_REPLY_HEADER.pack(reply.record_count, len(reply.body)) + reply.body)
    sink.flush()
