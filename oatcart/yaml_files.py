"""Reads and checks YAML configuration files; all problems of a file are reported together.

Each message names the file, the line and the field. Times and sizes need a unit (`250ms`, `2s`, `1m`;
`64KiB`, `1GiB`). An unknown key is a problem, and its message suggests the most similar known key. The
parsers of values raise ValueError; `table` puts the file, line and field in front of its message.
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

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
BYTES_PER_UNIT = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
MAX_DURATION = 3600.0  # s
MAX_NAME_LENGTH = 256
PORT_COUNT = 65536


def duration(value: object) -> float:
    """Parses a time with its unit, above 0 and at most one hour; returns seconds.

    >>> duration("250ms"), duration("2 s")
    (0.25, 2.0)
    >>> duration(5)
    Traceback (most recent call last):
    ValueError: 5 has no unit; write it as 250ms, 2s or 1m
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m)", str(value))
    if not found:
        raise ValueError(f"{value} has no unit; write it as 250ms, 2s or 1m")
    seconds = float(found[1]) * SECONDS_PER_UNIT[found[2]]
    if not 0.0 < seconds <= MAX_DURATION:
        raise ValueError(f"{value} is not between 0 and an hour")
    return seconds


def integer(minimum: int, maximum: int) -> Callable[[object], int]:
    """Returns a parser that accepts integers from `minimum` to `maximum`, both included."""

    def parse(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise ValueError(f"{value} is not a whole number from {minimum} to {maximum}")
        return value

    return parse


def address(value: object) -> str:
    """Checks a numeric IP address with a port, and returns it as text; host names are not resolved.

    >>> address("127.0.0.1:18000")
    '127.0.0.1:18000'
    """
    host, _, port = str(value).rpartition(":")
    try:
        ip_address(host)
        if not 0 <= int(port) < PORT_COUNT:
            raise ValueError
    except ValueError:
        raise ValueError(f"{value!r} is not a numeric address and a port, as 127.0.0.1:18000") from None
    return str(value)


def name(value: object) -> str:
    """Checks that a value is text of 1 to `MAX_NAME_LENGTH` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"expected 1 to {MAX_NAME_LENGTH} characters, got {value!r}")
    return value


def boolean(value: object) -> bool:
    """Checks that a value is true or false."""
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
    return int(found[1]) * BYTES_PER_UNIT[found[2]]


def table(
    value: object,
    parsers: Mapping[str, Callable[[object], object] | None],
    path: str,
    where: Callable[[int], str],
    problems: list[str],
    line: int,
) -> dict:
    """Parses a YAML map with one parser for each key; a parser of None keeps the value unchanged.

    `path` is the prefix of keys in messages, `where` formats a line number (counted from 0) with the file,
    and `line` is the line of the map. A key with a problem is left out of the result, and a message is added
    to `problems`.
    """
    if not isinstance(value, CommentedMap):
        problems.append(f"{where(line)}: {path or 'the file'} is not a map of keys")
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
    """Returns the parsed content of a file, and a function that formats a line number as `path:line`.

    The line number passed to that function is counted from 0.

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
