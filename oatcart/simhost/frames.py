"""Frame codec of the simulator's wire: big-endian, packed, no padding.

Reading turns a batch into plain tuples (name, instance, fields...), named in our words;
writing packs one record a call. Times are milliseconds here and seconds everywhere else.
"""

import struct
from collections.abc import Iterator
from typing import BinaryIO

_BATCH_HEADER = struct.Struct(">IId")
_REPLY_HEADER = struct.Struct(">II")
_ENTRY = struct.Struct(">IHdBBfH")
_U8, _U16, _U32 = (struct.Struct(f) for f in (">B", ">H", ">I"))

# Event code -> (our name, fixed fields, what follows them: "" nothing, "u16"/"u32" bytes, "load", "entries")
_LAYOUTS: dict[int, tuple[str, struct.Struct, str]] = {
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


class MalformedFrameError(Exception):
    """A frame that is cut short or cannot be understood."""


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise MalformedFrameError(f"the frame is cut short: {len(data)} bytes of {size}")
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
        raise MalformedFrameError("the frame is cut short in its length")
    (size,) = _U32.unpack(first)
    if size < 12:
        raise MalformedFrameError(f"a frame of {size} bytes cannot hold a header")
    data = first + _read(source, size)
    _, count, clock = _BATCH_HEADER.unpack_from(data)
    return clock, list(split_records(data, count))


def split_records(data: bytes, count: int) -> Iterator[tuple]:
    """The records of a batch, one tuple each.

    >>> body = bytes.fromhex("0a00000003408f4000000000004048200000000000000000010000000e03124a070000"
    ...                      "0140e00000" "0300000003000000000000004d" "08000000050029")
    >>> for record in split_records(bytes(16) + body, 3): print(record)
    ('met', 3, 1000.0, 48.25, 1, 14, 51530247, 0, (7.0,))
    ('woke', 3, 77)
    ('left', 5, 41)
    """
    at = _BATCH_HEADER.size
    try:
        for _ in range(count):
            code = data[at]
            if code not in _LAYOUTS:
                raise MalformedFrameError(
                    f"record code {code} at byte {at} is unknown and has no length to skip by"
                )
            name, fixed, tail = _LAYOUTS[code]
            fields = fixed.unpack_from(data, at + 1)
            at += 1 + fixed.size
            if not tail:
                yield (name, *fields)
                continue
            last, at = _read_content(data, at, tail)
            yield (name, *fields, last)
    except (IndexError, struct.error) as error:
        raise MalformedFrameError(f"a record is cut short near byte {at}") from error
    if at != len(data):
        raise MalformedFrameError(f"{len(data) - at} bytes follow the last record")


def _read_content(data: bytes, at: int, kind: str) -> tuple[object, int]:
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
    sink.write(_REPLY_HEADER.pack(count, len(body)) + body)
    sink.flush()


_SCHEDULE_ROUND = struct.Struct(">BIQd")
_CHECK_HEALTH = struct.Struct(">BII")
_TEXT = struct.Struct(">BIH")
_WATCH_ENDPOINTS = struct.Struct(">BIB")
_FETCH_ENDPOINTS = struct.Struct(">BI")
_SET_WEIGHT = struct.Struct(">BIIfH")
_CLEAR_TABLE = struct.Struct(">BIH")
_SET_EJECTED = struct.Struct(">BIIB")
_ASSIGN_TABLE = struct.Struct(">BIHHH")
_SET_ADMISSION = struct.Struct(">BIBfHH")
_REQUEST_ACK = struct.Struct(">BIIB")


def schedule_round(instance: int, token: int, after_ms: float) -> bytes:
    """
    >>> schedule_round(3, 77, 500.0).hex()
    '0100000003000000000000004d407f400000000000'
    """
    return _SCHEDULE_ROUND.pack(1, instance, token, after_ms)


def check_health(instance: int, endpoint_id: int) -> bytes:
    return _CHECK_HEALTH.pack(2, instance, endpoint_id)


def log(instance: int, text: str) -> bytes:
    """
    >>> log(5, "two servers known").hex()
    '0400000005001174776f2073657276657273206b6e6f776e'
    """
    encoded = text.encode()[:0xFFFF]
    return _TEXT.pack(4, instance, len(encoded)) + encoded


def fault(instance: int, text: str) -> bytes:
    encoded = text.encode()[:0xFFFF]
    return _TEXT.pack(5, instance, len(encoded)) + encoded


def watch_endpoints(instance: int, enabled: bool) -> bytes:
    return _WATCH_ENDPOINTS.pack(6, instance, enabled)


def fetch_endpoints(instance: int) -> bytes:
    return _FETCH_ENDPOINTS.pack(7, instance)


def set_weight(instance: int, table: int, endpoint_id: int, weight: float) -> bytes:
    """
    >>> set_weight(3, 117, 0x2c9011f2, 0.75).hex()
    '08000000032c9011f23f4000000075'
    """
    return _SET_WEIGHT.pack(8, instance, endpoint_id, weight, table)


def clear_table(instance: int, table: int) -> bytes:
    return _CLEAR_TABLE.pack(9, instance, table)


def set_ejected(instance: int, endpoint_id: int, ejected: bool) -> bytes:
    return _SET_EJECTED.pack(10, instance, endpoint_id, ejected)


def assign_table(instance: int, table: int, proxy: int, classes: int) -> bytes:
    """
    >>> assign_table(3, 117, 41, 0).hex()
    '0b00000003007500290000'
    """
    return _ASSIGN_TABLE.pack(11, instance, table, proxy, classes)


def set_admission(instance: int, table: int, classes: int, quota: float, retry_policy: int) -> bytes:
    """
    >>> set_admission(3, 117, 2, 0.75, 1).hex()
    '0c00000003013f40000000020075'
    """
    return _SET_ADMISSION.pack(12, instance, retry_policy, quota, classes, table)


def request_ack(instance: int, nonce: int, all_proxies: bool) -> bytes:
    return _REQUEST_ACK.pack(13, instance, nonce, all_proxies)
