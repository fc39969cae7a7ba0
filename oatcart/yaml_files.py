"""Reads and checks the YAML files of operators: each problem names file, line and field, all at once.

Times bear a unit (`250ms`, `2s`, `1m`), sizes too (`64KiB`, `1GiB`). Unknown keys are problems, with the
nearest known one. The parsers of values raise ValueError, whose message `table` completes.
"""

import re
from collections.abc import Callable, Mapping
from difflib import get_close_matches
from ipaddress import ip_address
from pathlib import Path

from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap
from ruamel.yaml.error import MarkedYAMLError

from oatcart.errors import InvalidConfigurationError

SECONDS_OF_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
BYTES_OF_UNIT = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
MAX_DURATION = 3600.0  # s
MAX_NAME_LETTERS = 256
PORTS = 65536


def duration(value: object) -> float:
    """Parses a time with its unit, above 0 and up to an hour; returns seconds.

    >>> duration("250ms"), duration("2 s")
    (0.25, 2.0)
    >>> duration(5)
    Traceback (most recent call last):
    ValueError: 5 has no unit; write it as 250ms, 2s or 1m
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m)", str(value))
    if not found:
        raise ValueError(f"{value} has no unit; write it as 250ms, 2s or 1m")
    seconds = float(found[1]) * SECONDS_OF_UNIT[found[2]]
    if not 0.0 < seconds <= MAX_DURATION:
        raise ValueError(f"{value} is not between 0 and an hour")
    return seconds


def integer(minimum: int, maximum: int) -> Callable[[object], int]:
    """A parser of integers between two bounds, both included."""

    def parse(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise ValueError(f"{value} is not a whole number from {minimum} to {maximum}")
        return value

    return parse


def address(value: object) -> str:
    """Checks host and port, the host a numeric address, as no names are resolved here.

    >>> address("127.0.0.1:18000")
    '127.0.0.1:18000'
    """
    host, _, port = str(value).rpartition(":")
    try:
        ip_address(host)
        if not 0 <= int(port) < PORTS:
            raise ValueError
    except ValueError:
        raise ValueError(f"{value!r} is not a numeric address and a port, as 127.0.0.1:18000") from None
    return str(value)


def name(value: object) -> str:
    """Checks a text that is not empty and has at most `MAX_NAME_LETTERS`."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LETTERS:
        raise ValueError(f"{value!r} is no name")
    return value


def boolean(value: object) -> bool:
    """Checks true or false."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def size(value: object) -> int:
    """Parses a size with its unit; returns bytes.

    >>> size("64KiB")
    65536
    """
    found = re.fullmatch(r"(\d+)\s*(KiB|MiB|GiB)", str(value))
    if not found:
        raise ValueError(f"{value} has no unit; write it as 64KiB, 64MiB or 1GiB")
    return int(found[1]) * BYTES_OF_UNIT[found[2]]


def table(
    value: object,
    parsers: Mapping[str, Callable[[object], object] | None],
    path: str,
    where: Callable[[int], str],
    problems: list[str],
    line: int,
) -> dict:
    """Parses a YAML map by the parsers of its keys; None hands a value on as it is.

    `path` is what stands before a key in messages, `where` names a line of the file (counted from 0), and
    `line` is that of the map. A key with a problem is left out and a message added to `problems`.
    """
    if not isinstance(value, CommentedMap):
        problems.append(f"{where(line)}: {path or 'the file'} is no table of keys")
        return {}
    parsed = {}
    for key, text in value.items():
        here, full_key = where(value.lc.key(key)[0]), f"{path}{key}"
        if key not in parsers:
            near = get_close_matches(str(key), parsers, 1)
            hint = f"; did you mean {near[0]}?" if near else ""
            problems.append(f"{here}: {full_key} is not known{hint}")
            continue
        parse = parsers[key]
        try:
            parsed[key] = text if parse is None else parse(text)
        except ValueError as error:
            problems.append(f"{here}: {full_key}: {error}")
    return parsed


def load(path: str | Path) -> tuple[object, Callable[[int], str]]:
    """The content of a file, and the function that names a line of it, counted from 0.

    Raises InvalidConfigurationError if the file cannot be read or is not YAML.
    """

    def where(line: int) -> str:
        return f"{path}:{line + 1}"

    try:
        return YAML(typ="rt").load(Path(path).read_text(encoding="utf-8")), where
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line if mark else 0
        raise InvalidConfigurationError(f"{where(line)}: {error.problem or error.context}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from None
