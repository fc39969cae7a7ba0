"""Encodes and decodes the columns of a block: all values of one field, stored together.

An encoded column is the list [coding, least, width, planes], followed by the first value for DELTA. `planes`
holds byte 0 of all numbers, then byte 1 of all numbers, and so on, which zstd compresses best.
`docs/trace.md` has the grammar.
"""

from collections.abc import Sequence
from enum import IntEnum

import msgpack
import numpy as np

MICROSECONDS = 1e6  # per s
MAX_WIDTH = 8  # bytes per number
INFINITE = np.iinfo("<i8").max  # stands for infinity in a column of microseconds


class ColumnCoding(IntEnum):
    """How the numbers of a column are stored."""

    DIRECT = 0  # each value minus the least value of the column
    DELTA = 1  # the difference from the previous value, minus the least difference
    FLOAT64 = 2  # all 64 bits of a float


def encode_integers(values: np.ndarray) -> list:
    """Encode 64-bit integers, as DIRECT or DELTA, whichever needs fewer bytes per number."""
    if not len(values):
        return [ColumnCoding.DIRECT, 0, 1, b""]
    direct = [ColumnCoding.DIRECT, *_pack(values)]
    if len(values) == 1:
        return direct
    differences = np.diff(values, prepend=values[:1])
    delta = [ColumnCoding.DELTA, *_pack(differences), int(values[0])]
    return min(direct, delta, key=lambda column: (column[2], column[0]))


def _pack(values: np.ndarray) -> list:
    """Return [least, width, planes] of integers, with the fewest bytes per number."""
    least = int(values.min())
    spread = int(values.max()) - least
    width = next((size for size in range(1, MAX_WIDTH) if spread < 1 << 8 * size), MAX_WIDTH)
    shifted = (values - np.int64(least)).astype("<u8")  # may overflow; decode_integers reverses it
    planes = shifted.view(np.uint8).reshape(-1, MAX_WIDTH)[:, :width].T
    return [least, width, planes.tobytes()]


def decode_integers(column: list, count: int) -> np.ndarray:
    """Decode a column of `count` 64-bit integers."""
    coding, least, width, data, *first = column
    if not count:
        return np.zeros(0, "<i8")
    planes = np.frombuffer(data, np.uint8).reshape(width, count)
    padded = np.zeros((count, MAX_WIDTH), np.uint8)
    padded[:, :width] = planes.T
    values = padded.reshape(-1).view("<u8").astype("<i8") + np.int64(least)
    if coding == ColumnCoding.DELTA:
        values[0] = first[0]
        values = np.cumsum(values)
    return values


def encode_column(field_type: str, values: Sequence, names: dict[str, int]) -> list:
    """Encode the values of one field.

    `field_type` is one of the types that `records` describes. `names` is the block's string table, which maps
    strings to indexes; strings that are not in it are added.
    """
    if field_type == "us":
        return encode_integers(_to_microseconds(np.asarray(values, "<f8")))
    if field_type == "int":
        return encode_integers(np.asarray(values, "<i8"))
    if field_type == "float":
        planes = np.asarray(values, "<f8").view(np.uint8).reshape(-1, MAX_WIDTH).T
        return [ColumnCoding.FLOAT64, 0, MAX_WIDTH, planes.tobytes()]
    if field_type == "name":
        return encode_integers(np.asarray([names.setdefault(name, len(names)) for name in values], "<i8"))
    parts = [msgpack.packb(value) for value in values] if field_type == "any" else list(values)
    lengths = encode_integers(np.asarray([len(part) for part in parts], "<i8"))
    return [*lengths, b"".join(parts)]


def decode_column(field_type: str, column: list, count: int, names: list[str]) -> list:
    """Decode the `count` values of one field; `names` is the block's string table. Times are in seconds."""
    if field_type == "us":
        return _to_seconds(decode_integers(column, count)).tolist()
    if field_type == "int":
        return decode_integers(column, count).tolist()
    if field_type == "float":
        planes = np.frombuffer(column[3], np.uint8).reshape(MAX_WIDTH, count)
        return np.ascontiguousarray(planes.T).reshape(-1).view("<f8").tolist()
    if field_type == "name":
        return [names[index] for index in decode_integers(column, count).tolist()]
    return _decode_parts(field_type, column, count)


def _to_microseconds(seconds: np.ndarray) -> np.ndarray:
    """Convert seconds to whole microseconds; INFINITE stands for an infinite time."""
    infinite = np.isposinf(seconds)
    microseconds = np.rint(np.where(infinite, 0.0, seconds) * MICROSECONDS).astype("<i8")
    microseconds[infinite] = INFINITE
    return microseconds


def _to_seconds(microseconds: np.ndarray) -> np.ndarray:
    """Convert whole microseconds back to seconds."""
    return np.where(microseconds == INFINITE, np.inf, microseconds / MICROSECONDS)


def _decode_parts(field_type: str, column: list, count: int) -> list:
    """Decode a column of byte strings or of msgpack values, which starts with their lengths."""
    *lengths, data = column
    values, start = [], 0
    for length in decode_integers(lengths, count).tolist():
        part = data[start : start + length]
        if field_type == "any":
            part = msgpack.unpackb(part, use_list=False, strict_map_key=False)
        values.append(part)
        start += length
    return values
