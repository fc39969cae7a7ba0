"""Parsers of values that only `deploy/scale.yaml` has; each raises ValueError for an invalid value."""

import re
from collections.abc import Callable

from oatcart.scale.configuration import MAX_COUNT
from oatcart.yaml_files import size


def rate(value: object) -> float:
    """Parses a count per second, above 0.

    >>> rate("720000/s")
    720000.0
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*/\s*s", str(value))
    if not found or not 0.0 < float(found[1]) <= MAX_COUNT:
        raise ValueError(f"{value} is not a rate; write it as 720000/s")
    return float(found[1])


def traffic(value: object) -> float:
    """Parses a traffic rate with its unit; returns bytes/s.

    >>> traffic("4KiB/s")
    4096.0
    """
    text, slash, unit = str(value).partition("/")
    try:
        if not slash or unit.strip() != "s":
            raise ValueError
        return float(size(text.strip()))
    except ValueError:
        raise ValueError(f"{value} is not a traffic rate; write it as 4KiB/s or 1MiB/s") from None


def number(minimum: float, maximum: float) -> Callable[[object], float]:
    """Returns a parser that accepts numbers without a unit from `minimum` to `maximum`, both included."""

    def parse(value: object) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum:
            raise ValueError(f"{value} is not a number from {minimum:g} to {maximum:g}")
        return float(value)

    return parse
