"""YAML files of operators, read and checked: every error names file, line and field, all errors at once.

Times bear a unit (`250ms`, `2s`, `1m`), sizes too (`64KiB`, `1GiB`). Unknown keys are errors, with the
nearest known one.
"""

import re
from collections.abc import Callable
from difflib import get_close_matches
from ipaddress import ip_address
from pathlib import Path

from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap
from ruamel.yaml.error import MarkedYAMLError

UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}
SIZES = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class InvalidConfigurationError(Exception):
    """A configuration file is invalid. The message has a line for each problem: file, line and field."""


# The name in packages that have not taken the new one.
Wrong = InvalidConfigurationError


def span(value: object) -> float:
    """
    >>> span("250ms"), span("2 s")
    (0.25, 2.0)
    >>> span(5)
    Traceback (most recent call last):
    ValueError: 5 has no unit; write it as 250ms, 2s or 1m
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m)", str(value))
    if not found:
        raise ValueError(f"{value} has no unit; write it as 250ms, 2s or 1m")
    seconds = float(found[1]) * UNITS[found[2]]
    if not 0.0 < seconds <= 3600.0:
        raise ValueError(f"{value} is not between 0 and an hour")
    return seconds


def whole(least: int, most: int) -> Callable[[object], int]:
    def turn(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f"{value} is not a whole number from {least} to {most}")
        return value

    return turn


def address(value: object) -> str:
    """Host and port, the host a numeric address: nothing here looks names up.

    >>> address("127.0.0.1:18000")
    '127.0.0.1:18000'
    """
    host, _, port = str(value).rpartition(":")
    try:
        ip_address(host)
        if not 0 <= int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(f"{value!r} is not a numeric address and a port, as 127.0.0.1:18000") from None
    return str(value)


def name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise ValueError(f"{value!r} is no name")
    return value


def yes_or_no(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def size(value: object) -> int:
    """
    >>> size("64KiB")
    65536
    """
    found = re.fullmatch(r"(\d+)\s*(KiB|MiB|GiB)", str(value))
    if not found:
        raise ValueError(f"{value} has no unit; write it as 64KiB, 64MiB or 1GiB")
    return int(found[1]) * SIZES[found[2]]


def table(
    told: object, fields: dict, at: str, where: Callable[[int], str], problems: list[str], line: int
) -> dict:
    if not isinstance(told, CommentedMap):
        problems.append(f"{where(line)}: {at or 'the file'} is no table of keys")
        return {}
    out = {}
    for key, value in told.items():
        here, full = where(told.lc.key(key)[0]), f"{at}{key}"
        if key not in fields:
            near = get_close_matches(str(key), fields, 1)
            problems.append(f"{here}: {full} is not known" + (f"; did you mean {near[0]}?" if near else ""))
        elif fields[key] is None:
            out[key] = value
        else:
            try:
                out[key] = fields[key](value)
            except ValueError as error:
                problems.append(f"{here}: {full}: {error}")
    return out


def load(path: str | Path) -> tuple[object, Callable[[int], str]]:
    """What stands in a file, and how a line of it is named; raises InvalidConfigurationError."""

    def where(line: int) -> str:
        return f"{path}:{line + 1}"

    try:
        return YAML(typ="rt").load(Path(path).read_text(encoding="utf-8")), where
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise InvalidConfigurationError(
            f"{where(mark.line if mark else 0)}: {error.problem or error.context}"
        ) from None
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidConfigurationError(f"{path}: {error}") from None
