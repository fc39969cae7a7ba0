"""Reads and checks `deploy/scale.yaml`; all problems are reported together, each with its line and field."""

import re
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml.comments import CommentedMap, CommentedSeq

from oatcart.errors import InvalidConfigurationError
from oatcart.scale.configuration import (
    MAX_COUNT,
    Budgets,
    DaySettings,
    FleetSettings,
    LimitSettings,
    RunSettings,
    Settings,
    ViewSettings,
    quick_run_settings,
)
from oatcart.scale.configuration_checks import impossible_combinations
from oatcart.scale.configuration_values import number, rate, traffic
from oatcart.scale.measurement import DIMENSIONS
from oatcart.yaml_files import duration, integer, load, size, table

MIN_SIZES = 5
"""The least number of sizes of a dimension: four to fit a slope, and the largest to prove the fit."""


def read(path: str | Path) -> Settings:
    """Returns the settings of a file; missing keys have their default values.

    Raises InvalidConfigurationError with all problems of the file, one per line, in the order of its lines.
    """
    document, where = load(path)
    if document is None:
        return Settings()
    return _Reader(document, where).settings()


_COUNT = integer(1, MAX_COUNT)
_COUNT_OR_ZERO = integer(0, MAX_COUNT)
_SHARE = number(0.0, 1.0)


class _Section(NamedTuple):
    """A map of the file: the function that creates its defaults, and the parser of each key."""

    default: Callable[[], Any]
    parsers: Mapping[str, Callable[[object], object] | None]


_RUN_PARSERS = {"settle_for": duration, "measure_for": duration, "repeats": _COUNT, "sizes": None}
_SECTIONS = {
    "fleet": _Section(
        FleetSettings,
        {
            "conductors": _COUNT,
            "nodes": _COUNT,
            "services": _COUNT,
            "routes": _COUNT,
            "tenants": _COUNT,
            "requests": rate,
            "regions": _COUNT,
            "zones": _COUNT,
            "nodes_per_rack": _COUNT,
            "service_skew": number(0.0, 5.0),
            "services_per_conductor": _COUNT,
            "proxies_per_conductor": _COUNT,
        },
    ),
    "day": _Section(
        DaySettings,
        {
            "failures": _COUNT_OR_ZERO,
            "failed_for": duration,
            "restarts": _COUNT_OR_ZERO,
            "drain_for": duration,
            "restart_for": duration,
            "rack_losses": _COUNT_OR_ZERO,
            "zone_losses": _COUNT_OR_ZERO,
            "lost_for": duration,
            "partitions": _COUNT_OR_ZERO,
            "partition_for": duration,
            "changes": _COUNT_OR_ZERO,
            "burst_share": _SHARE,
            "burst_size": _COUNT,
            "burst_for": duration,
            "time_compression": number(1.0, 100_000.0),
        },
    ),
    "budgets": _Section(
        Budgets,
        {
            "core_share": number(0.0001, 1.0),
            "memory": size,
            "traffic": traffic,
            "change_in_force": duration,
            "control_machines": _COUNT,
        },
    ),
    "view": _Section(ViewSettings, {"nodes": _COUNT, "size": size}),
    "limits": _Section(LimitSettings, {"memory": size, "processes": _COUNT}),
    "full": _Section(RunSettings, _RUN_PARSERS),
    "quick": _Section(quick_run_settings, _RUN_PARSERS),
}
_TOP_PARSERS = {"seed": integer(0, 2**32 - 1)} | dict.fromkeys(_SECTIONS)


class _Reader:
    """Reads one document and collects its problems.

    `where` formats a line number, counted from 0, with the file. `unreadable` are the fields (`section.key`)
    that have a problem of their own, so that the settings contain their defaults.
    """

    def __init__(self, document: object, where: Callable[[int], str]) -> None:
        self.document = document
        self.where = where
        self.problems: list[str] = []
        self.unreadable: set[str] = set()

    def settings(self) -> Settings:
        """Returns the settings; raises InvalidConfigurationError with all problems."""
        parsed = table(self.document, _TOP_PARSERS, "", self.where, self.problems, 0)
        for name, section in _SECTIONS.items():
            if name in parsed:
                parsed[name] = self._section(name, section, parsed[name])
        settings = Settings(**parsed)
        self._check_combinations(settings)
        if self.problems:
            raise InvalidConfigurationError("\n".join(sorted(self.problems, key=_line_of)))
        return settings

    def _section(self, name: str, section: _Section, content: object) -> object:
        line = self.document.lc.key(name)[0]
        parsed = table(content, section.parsers, f"{name}.", self.where, self.problems, line)
        if "sizes" in parsed:
            parsed["sizes"] = self._sizes(f"{name}.sizes", parsed["sizes"], content.lc.key("sizes")[0])
        if isinstance(content, CommentedMap):
            self.unreadable |= {f"{name}.{key}" for key in content if key not in parsed}
        return replace(section.default(), **parsed)

    def _sizes(self, path: str, content: object, line: int) -> dict[str, tuple[int, ...]]:
        parsed = table(content, dict.fromkeys(DIMENSIONS), f"{path}.", self.where, self.problems, line)
        if isinstance(content, CommentedMap) and not content:
            self._report(line, f"{path}: expected at least one dimension")
        return {
            dimension: self._sizes_of_dimension(f"{path}.{dimension}", listed, content.lc.key(dimension)[0])
            for dimension, listed in parsed.items()
        }

    def _sizes_of_dimension(self, path: str, listed: object, line: int) -> tuple[int, ...]:
        if not isinstance(listed, CommentedSeq):
            self._report(line, f"{path}: expected a list of sizes")
            return ()
        sizes: list[int] = []
        for position, value in enumerate(listed):
            self._add_size(sizes, value, f"{path}[{position}]", listed.lc.item(position)[0])
        if len(listed) < MIN_SIZES:
            self._report(
                line,
                f"{path}: {len(listed)} sizes are too few, {MIN_SIZES} are needed: "
                f"{MIN_SIZES - 1} to fit and the largest to prove the fit",
            )
        return tuple(sizes)

    def _add_size(self, sizes: list[int], value: object, path: str, line: int) -> None:
        """Appends one size; a size that is not above the previous one is reported and appended too."""
        try:
            sizes.append(_COUNT(value))
        except ValueError as error:
            self._report(line, f"{path}: {error}")
            return
        if len(sizes) > 1 and sizes[-1] <= sizes[-2]:
            self._report(line, f"{path}: {value} is not above {sizes[-2]}; sizes must ascend")

    def _check_combinations(self, settings: Settings) -> None:
        """Reports each impossible combination at the first of its fields that is in the file.

        Combinations with an unreadable field are not reported, as its default is not from the file.
        """
        for combination in impossible_combinations(settings):
            fields = combination.fields
            if not self.unreadable.intersection(fields):
                reported = next((name for name in fields if self._line(name) is not None), fields[0])
                self._report(self._line(reported) or 0, f"{reported}: {combination.problem}")

    def _line(self, field: str) -> int | None:
        """Returns the line of a field (`section.key`); None if the file does not contain it."""
        section, _, key = field.partition(".")
        content = self.document.get(section) if isinstance(self.document, CommentedMap) else None
        return content.lc.key(key)[0] if isinstance(content, CommentedMap) and key in content else None

    def _report(self, line: int, problem: str) -> None:
        self.problems.append(f"{self.where(line)}: {problem}")


def _line_of(problem: str) -> int:
    """Returns the line number in a problem's text; 0 if there is none."""
    found = re.search(r":(\d+): ", problem)
    return int(found[1]) if found else 0
