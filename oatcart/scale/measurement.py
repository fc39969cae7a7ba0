"""Measurements of one role at one size of one dimension, and their JSON format."""

import json
import math
from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import NamedTuple

DIMENSIONS = ("conductors", "nodes", "services", "routes", "tenants", "proxies", "changes")
"""The dimensions of a fleet; a run changes the size of one at a time."""


class MeasurementError(ValueError):
    """A measurement is invalid, or a file of measurements cannot be read."""


class Quantity(NamedTuple):
    """A quantity of :class:`Measurement`, with its title and unit in tables and plots."""

    field: str
    title: str
    unit: str

    @property
    def label(self) -> str:
        """The title with the unit."""
        return f"{self.title} [{self.unit}]"


QUANTITIES = (
    Quantity("core_share", "Share of a core", "core"),
    Quantity("longest_round_s", "Longest round", "s"),
    Quantity("resident_mb", "Resident memory", "MB"),
    Quantity("bytes_in_s", "Bytes received", "B/s"),
    Quantity("bytes_out_s", "Bytes sent", "B/s"),
    Quantity("messages_in_s", "Messages received", "1/s"),
    Quantity("messages_out_s", "Messages sent", "1/s"),
    Quantity("change_median_s", "Change in force, median", "s"),
    Quantity("change_p99_s", "Change in force, 99th percentile", "s"),
    Quantity("change_last_s", "Change in force, last", "s"),
    Quantity("ready_s", "Start to ready", "s"),
    Quantity("ready_core_s", "Processor time to ready", "core s"),
    Quantity("ready_bytes", "Bytes received to ready", "B"),
)
"""Every measured quantity, in the order of the fields."""

QUANTITY_BY_FIELD = {quantity.field: quantity for quantity in QUANTITIES}


@dataclass(frozen=True)
class Measurement:
    """The costs of one role at one size; a quantity that was not measured is None.

    ``dimension`` is one of :data:`DIMENSIONS`, ``size`` is its size, and ``role`` is the process measured
    (``conductor``, ``hollow_conductor``, ``discovery``, ``control``). For a size that exceeds a limit of the
    machine or the protocol, ``left_out`` is the reason and all quantities are None.

    Raises MeasurementError for an invalid field.
    """

    dimension: str
    size: float
    role: str
    core_share: float | None = None
    longest_round_s: float | None = None
    resident_mb: float | None = None
    bytes_in_s: float | None = None
    bytes_out_s: float | None = None
    messages_in_s: float | None = None
    messages_out_s: float | None = None
    change_median_s: float | None = None
    change_p99_s: float | None = None
    change_last_s: float | None = None
    ready_s: float | None = None
    ready_core_s: float | None = None
    ready_bytes: float | None = None
    left_out: str | None = None

    def __post_init__(self) -> None:
        if self.dimension not in DIMENSIONS:
            raise MeasurementError(f"dimension: {self.dimension!r} is not one of {', '.join(DIMENSIONS)}")
        if not _is_number(self.size) or self.size <= 0:
            raise MeasurementError(f"size: {self.size!r} is not a finite number above 0")
        if not isinstance(self.role, str) or not self.role:
            raise MeasurementError(f"role: expected a non-empty text, got {self.role!r}")
        for quantity in QUANTITIES:
            value = getattr(self, quantity.field)
            if value is not None and (not _is_number(value) or value < 0):
                raise MeasurementError(f"{quantity.field}: {value!r} is not a finite number of at least 0")
        if self.left_out is not None and (not isinstance(self.left_out, str) or not self.left_out):
            raise MeasurementError(
                f"left_out: expected a non-empty text with the reason, got {self.left_out!r}"
            )


FIELD_NAMES = tuple(field.name for field in fields(Measurement))
REQUIRED_FIELDS = ("dimension", "size", "role")


def to_json(measurements: Iterable[Measurement]) -> str:
    """Returns the measurements as a JSON array of objects, each with every field."""
    return json.dumps([asdict(measurement) for measurement in measurements], indent=1)


def from_json(text: str) -> list[Measurement]:
    """Parses the output of :func:`to_json`; raises MeasurementError that names the item and the field."""
    try:
        items = json.loads(text)
    except json.JSONDecodeError as error:
        raise MeasurementError(f"line {error.lineno}: {error.msg}") from None
    if not isinstance(items, list):
        raise MeasurementError("the measurements are not a JSON array")
    return [_measurement(number, item) for number, item in enumerate(items)]


def write_json(path: str | Path, measurements: Iterable[Measurement]) -> None:
    """Writes the measurements to a file."""
    Path(path).write_text(to_json(measurements) + "\n", encoding="utf-8")


def read_json(path: str | Path) -> list[Measurement]:
    """Reads the measurements of a file; raises MeasurementError or OSError."""
    try:
        return from_json(Path(path).read_text(encoding="utf-8"))
    except MeasurementError as error:
        raise MeasurementError(f"{path}: {error}") from None


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _measurement(number: int, item: object) -> Measurement:
    if not isinstance(item, dict):
        raise MeasurementError(f"item {number} is not an object")
    unknown = [name for name in item if name not in FIELD_NAMES]
    missing = [name for name in REQUIRED_FIELDS if name not in item]
    if unknown or missing:
        problems = [f"{name} is not known" for name in unknown] + [f"{name} is missing" for name in missing]
        raise MeasurementError(f"item {number}: {', '.join(problems)}")
    try:
        return Measurement(**item)
    except MeasurementError as error:
        raise MeasurementError(f"item {number}: {error}") from None
