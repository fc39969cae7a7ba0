"""Frame codec of the simulator's wire: big-endian, packed, no padding.

Reading turns a batch into plain tuples (name, instance, fields...), named in our words;
writing packs one record a call. Times are milliseconds here and seconds everywhere else.
"""

import struct
from collections.abc import Iterator
from typing import BinaryIO

_BATCH = struct.Struct(">IId")
_REPLY = struct.Struct(">II")
_ENTRY = struct.Struct(">IHdBBfH")
_U8, _U16, _U32 = (struct.Struct(f) for f in (">B", ">H", ">I"))

# Event code -> (our name, fixed fields, what follows them: "" nothing, "u16"/"u32" bytes, "load", "entries")
_EVENTS: dict[int, tuple[str, struct.Struct, str]] = {
    code: (name, struct.Struct(fields), tail)
    for code, name, fields, tail in (
        (1, "start", ">IQ", "u32"),
        (2, "listed", ">IBI", "entries"),
        (3, "woke", ">IQ", ""),
        (4, "probed", ">IIHd", "load"),
        (5, "peer", ">II", "u16"),
        (6, "stop", ">I", ""),
        (7, "joined", ">IBHHf", ""),
        (8, "left", ">IH", ""),
        (9, "applied", ">IHId", ""),
        (10, "met", ">IddIIIH", "load"),
        (11, "came", ">IHHIId", ""),
        (12, "heat", ">IdIHHI", ""),
        (13, "given", ">IHB", ""),
        (14, "held", ">IHIf", ""),
    )
}


class WireError(Exception):
    """A frame that is cut short or cannot be understood."""


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise WireError(f"the frame is cut short: {len(data)} bytes of {size}")
    return data


def read_batch(source: BinaryIO) -> tuple[float, list[tuple]] | None:
    """One batch as (milliseconds, records), or None at the end of the input.

    >>> import io
    >>> read_batch(io.BytesIO(bytes.fromhex("0000000c0000000040c06e2000000000")))
    (8412.25, [])
    >>> read_batch(io.BytesIO(b"")) is None
    True
    """
    first = source.read(4)
    if not first:
        return None
    if len(first) != 4:
        raise WireError("the frame is cut short in its length")
    (size,) = _U32.unpack(first)
    if size < 12:
        raise WireError(f"a frame of {size} bytes cannot hold a header")
    data = first + _read(source, size)
    _, count, clock = _BATCH.unpack_from(data)
    return clock, list(_records(data, count))


def _records(data: bytes, count: int) -> Iterator[tuple]:
    """The records of a batch, one tuple each.

    >>> body = bytes.fromhex("0a00000003408f4000000000004048200000000000000000010000000e03124a070000"
    ...                      "0140e00000" "0300000003000000000000004d" "08000000050029")
    >>> for record in _records(bytes(16) + body, 3): print(record)
    ('met', 3, 1000.0, 48.25, 1, 14, 51530247, 0, (7.0,))
    ('woke', 3, 77)
    ('left', 5, 41)
    """
    at = _BATCH.size
    try:
        for _ in range(count):
            code = data[at]
            if code not in _EVENTS:
                raise WireError(f"record code {code} at byte {at} is unknown and has no length to skip by")
            name, fixed, tail = _EVENTS[code]
            fields = fixed.unpack_from(data, at + 1)
            at += 1 + fixed.size
            if not tail:
                yield (name, *fields)
                continue
            last, at = _tail(data, at, tail)
            yield (name, *fields, last)
    except (IndexError, struct.error) as error:
        raise WireError(f"a record is cut short near byte {at}") from error
    if at != len(data):
        raise WireError(f"{len(data) - at} bytes follow the last record")


def _tail(data: bytes, at: int, kind: str) -> tuple[object, int]:
    size_of = {"load": _U8, "u16": _U16}.get(kind, _U32)
    (size,) = size_of.unpack_from(data, at)
    at += size_of.size
    if kind == "load":
        return struct.unpack_from(f">{size}f", data, at), at + 4 * size
    end = at + size * (_ENTRY.size if kind == "entries" else 1)
    if end > len(data):
        raise IndexError
    if kind == "entries":
        return list(_ENTRY.iter_unpack(data[at:end])), end
    return data[at:end], end


def write_reply(sink: BinaryIO, count: int, body: bytes) -> None:
    """Write and flush one reply.

    >>> import io; sink = io.BytesIO(); write_reply(sink, 0, b""); sink.getvalue().hex()
    '0000000000000000'
    """
    sink.write(_REPLY.pack(count, len(body)) + body)
    sink.flush()


_WAKE = struct.Struct(">BIQd")
_NODE = struct.Struct(">BII")
_TEXT = struct.Struct(">BIH")
_FLAG = struct.Struct(">BIB")
_BARE = struct.Struct(">BI")
_LINE = struct.Struct(">BIIfH")
_TABLE = struct.Struct(">BIH")
_SHUT = struct.Struct(">BIIB")
_BIND = struct.Struct(">BIHHH")
_ADMIT = struct.Struct(">BIBfHH")
_MARK = struct.Struct(">BIIB")


def wake(inst: int, token: int, after_ms: float) -> bytes:
    """
    >>> wake(3, 77, 500.0).hex()
    '0100000003000000000000004d407f400000000000'
    """
    return _WAKE.pack(1, inst, token, after_ms)


def probe(inst: int, node: int) -> bytes:
    return _NODE.pack(2, inst, node)


def note(inst: int, text: str) -> bytes:
    """
    >>> note(5, "two servers known").hex()
    '0400000005001174776f2073657276657273206b6e6f776e'
    """
    line = text.encode()[:0xFFFF]
    return _TEXT.pack(4, inst, len(line)) + line


def fault(inst: int, text: str) -> bytes:
    line = text.encode()[:0xFFFF]
    return _TEXT.pack(5, inst, len(line)) + line


def follow(inst: int, on: bool) -> bytes:
    return _FLAG.pack(6, inst, on)


def fetch(inst: int) -> bytes:
    return _BARE.pack(7, inst)


def line(inst: int, table: int, node: int, weight: float) -> bytes:
    """
    >>> line(3, 117, 0x2c9011f2, 0.75).hex()
    '08000000032c9011f23f4000000075'
    """
    return _LINE.pack(8, inst, node, weight, table)


def blank(inst: int, table: int) -> bytes:
    return _TABLE.pack(9, inst, table)


def withdraw(inst: int, node: int, out: bool) -> bytes:
    return _SHUT.pack(10, inst, node, out)


def bind(inst: int, table: int, proxy: int, kinds: int) -> bytes:
    """
    >>> bind(3, 117, 41, 0).hex()
    '0b00000003007500290000'
    """
    return _BIND.pack(11, inst, table, proxy, kinds)


def admit(inst: int, table: int, kinds: int, level: float, tries: int) -> bytes:
    """
    >>> admit(3, 117, 2, 0.75, 1).hex()
    '0c00000003013f40000000020075'
    """
    return _ADMIT.pack(12, inst, tries, level, kinds, table)


def ask_ack(inst: int, mark: int, everyone: bool) -> bytes:
    return _MARK.pack(13, inst, mark, everyone)
