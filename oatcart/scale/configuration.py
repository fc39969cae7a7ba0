"""`deploy/scale.yaml`: the fleet planned for, its day, the budgets and the sizes measured; read and checked.

Times are in seconds, memory and traffic in bytes and bytes a second. Every error names file, line and field,
and all errors are raised at once.
"""

import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, NamedTuple

from ruamel.yaml.comments import CommentedMap, CommentedSeq

from oatcart.scale.measurement import DIMENSIONS
from oatcart.yaml_files import Wrong, duration, integer, load, size, table

__all__ = [
    "Budgets",
    "DaySettings",
    "FleetSettings",
    "LimitSettings",
    "RunSettings",
    "Settings",
    "ViewSettings",
    "Wrong",
    "read",
]

FEWEST_SIZES = 5
"""Sizes a dimension needs: four to fit a slope to, and the largest to prove the fit on."""

NODES_PER_SERVICE_LEAST = 2
"""Nodes a service has at least, so that the loss of one leaves another."""

DAY_S = 86_400.0
"""Seconds in the day that is simulated."""

MOST = 100_000_000
"""The largest count that is accepted anywhere."""


@dataclass(frozen=True)
class FleetSettings:
    """The counts a fleet is drawn from; `requests` a second at peak."""

    conductors: int = 5_800
    nodes: int = 27_000
    services: int = 720
    routes: int = 37_000
    tenants: int = 280_000
    requests: float = 720_000.0
    regions: int = 14
    zones: int = 53
    nodes_per_rack: int = 24
    service_skew: float = 1.1
    services_per_conductor: int = 6
    proxies_per_conductor: int = 8

    def with_nodes(self, nodes: int) -> "FleetSettings":
        """This fleet with so many nodes; all else stays, but for what so few nodes do not allow.

        Raises ValueError for fewer than two nodes.
        """
        _check_nodes(nodes)
        services = min(self.services, nodes // NODES_PER_SERVICE_LEAST)
        zones = min(self.zones, nodes)
        return replace(
            self,
            nodes=nodes,
            services=services,
            regions=min(self.regions, zones),
            zones=zones,
            services_per_conductor=min(self.services_per_conductor, services),
        )

    def scaled_to(self, nodes: int) -> "FleetSettings":
        """A fleet of the same shape with so many nodes: all counts shrink or grow by the same ratio.

        Counts are rounded and kept possible: every service has two nodes and every zone one, and there are no
        fewer zones than regions. Raises ValueError for fewer than two nodes.
        """
        _check_nodes(nodes)
        ratio = nodes / self.nodes
        services = _scaled(self.services, ratio, nodes // NODES_PER_SERVICE_LEAST)
        zones = _scaled(self.zones, math.sqrt(ratio), min(nodes, self.zones))
        return replace(
            self,
            conductors=_scaled(self.conductors, ratio, MOST),
            nodes=nodes,
            services=services,
            routes=_scaled(self.routes, ratio, MOST),
            tenants=_scaled(self.tenants, ratio, MOST),
            requests=self.requests * ratio,
            regions=_scaled(self.regions, math.sqrt(ratio), min(zones, self.regions)),
            zones=zones,
            services_per_conductor=min(self.services_per_conductor, services),
        )


@dataclass(frozen=True)
class DaySettings:
    """What goes wrong and what is changed on one day; counts a day, times in seconds of the simulated day."""

    failures: int = 46
    failed_for: float = 1_800.0
    restarts: int = 1_800
    drain_for: float = 30.0
    restart_for: float = 120.0
    rack_losses: int = 1
    zone_losses: int = 1
    lost_for: float = 1_200.0
    partitions: int = 1
    partition_for: float = 3_600.0
    changes: int = 22_000
    burst_share: float = 0.4
    burst_size: int = 50
    burst_for: float = 10.0
    time_compression: float = 60.0

    def scaled(self, ratio: float) -> "DaySettings":
        """The day of a fleet `ratio` times as large; racks, zones, regions and times stay as they are."""
        return replace(
            self,
            failures=round(self.failures * ratio),
            restarts=round(self.restarts * ratio),
            changes=round(self.changes * ratio),
        )


@dataclass(frozen=True)
class Budgets:
    """What one conductor may spend for control, and how soon a change must be in force everywhere."""

    core_share: float = 0.043
    memory: int = 256 << 20
    traffic: float = 4_096.0
    change_in_force: float = 5.0
    control_machines: int = 7


@dataclass(frozen=True)
class ViewSettings:
    """The bounds of the part of the fleet that one conductor is told of: nodes, and bytes as sent."""

    nodes: int = 500
    size: int = 68 << 10


@dataclass(frozen=True)
class LimitSettings:
    """What the measuring machine may be asked for at once: bytes and processes."""

    memory: int = 8 << 30
    processes: int = 32


FULL_SIZES: dict[str, tuple[int, ...]] = {
    "conductors": (4, 8, 16, 32, 64, 5_800),
    "nodes": (1_000, 1_500, 2_200, 3_400, 5_000, 9_000, 18_000, 27_000),
    "services": (45, 90, 180, 360, 720),
    "routes": (2_300, 4_600, 9_250, 18_500, 37_000),
    "tenants": (17_500, 35_000, 70_000, 140_000, 280_000),
    "proxies": (2, 4, 8, 16, 32),
    "changes": (22_000, 44_000, 88_000, 176_000, 352_000),
}
QUICK_SIZES: dict[str, tuple[int, ...]] = {
    "nodes": (1_000, 2_000, 3_000, 4_000, 5_000),
    "conductors": (1, 2, 3, 4, 6),
}


@dataclass(frozen=True)
class RunSettings:
    """How long each size is measured (seconds), how many changes are timed, and which sizes.

    `sizes` holds the sizes of each dimension in growing order; those of `changes` are changes a day.
    """

    settle_for: float = 3.0
    measure_for: float = 15.0
    repeats: int = 20
    sizes: Mapping[str, tuple[int, ...]] = field(default_factory=lambda: dict(FULL_SIZES))


def quick_defaults() -> RunSettings:
    """The run that a developer's machine ends within a minute."""
    return RunSettings(settle_for=0.5, measure_for=2.0, repeats=20, sizes=dict(QUICK_SIZES))


@dataclass(frozen=True)
class Settings:
    """All of the file."""

    seed: int = 1
    fleet: FleetSettings = FleetSettings()
    day: DaySettings = DaySettings()
    budgets: Budgets = Budgets()
    view: ViewSettings = ViewSettings()
    limits: LimitSettings = LimitSettings()
    full: RunSettings = field(default_factory=RunSettings)
    quick: RunSettings = field(default_factory=quick_defaults)


def read(path: str | Path) -> Settings:
    """The file's settings; raises Wrong with all that is wrong in it, a line each."""
    document, where = load(path)
    if document is None:
        return Settings()
    return _Reader(document, where).settings()


def rate(value: object) -> float:
    """A count a second.

    >>> rate("720000/s")
    720000.0
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*/\s*s", str(value))
    if not found or not 0.0 < float(found[1]) <= MOST:
        raise ValueError(f"{value} is not a rate; write it as 720000/s")
    return float(found[1])


def traffic(value: object) -> float:
    """Bytes a second.

    >>> traffic("4KiB/s")
    4096.0
    """
    text, slash, unit = str(value).partition("/")
    try:
        if not slash or unit.strip() != "s":
            raise ValueError
        return float(size(text.strip()))
    except ValueError:
        raise ValueError(f"{value} is no traffic; write it as 4KiB/s or 1MiB/s") from None


def number(least: float, most: float) -> Callable[[object], float]:
    """A check for a number without a unit, from `least` to `most`."""

    def check(value: object) -> float:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not least <= value <= most:
            raise ValueError(f"{value} is not a number from {least:g} to {most:g}")
        return float(value)

    return check


_COUNT = integer(1, MOST)
_COUNT_OR_NONE = integer(0, MOST)
_SHARE = number(0.0, 1.0)


class _Section(NamedTuple):
    """A table of the file: its dataclass and how each field is read."""

    default: Callable[[], Any]
    fields: dict[str, Callable[[object], object] | None]


_RUN_FIELDS = {"settle_for": duration, "measure_for": duration, "repeats": _COUNT, "sizes": None}
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
            "failures": _COUNT_OR_NONE,
            "failed_for": duration,
            "restarts": _COUNT_OR_NONE,
            "drain_for": duration,
            "restart_for": duration,
            "rack_losses": _COUNT_OR_NONE,
            "zone_losses": _COUNT_OR_NONE,
            "lost_for": duration,
            "partitions": _COUNT_OR_NONE,
            "partition_for": duration,
            "changes": _COUNT_OR_NONE,
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
    "full": _Section(RunSettings, _RUN_FIELDS),
    "quick": _Section(quick_defaults, _RUN_FIELDS),
}
_TOP_FIELDS = {"seed": integer(0, 2**32 - 1)} | dict.fromkeys(_SECTIONS)


class _Reader:
    """Reads one document; gathers the errors and where each field stands."""

    def __init__(self, document: object, where: Callable[[int], str]) -> None:
        self.document = document
        self.where = where
        self.errors: list[str] = []
        self.unreadable: set[str] = set()

    def settings(self) -> Settings:
        found = table(self.document, _TOP_FIELDS, "", self.where, self.errors, 0)
        for name, section in _SECTIONS.items():
            if name in found:
                found[name] = self._section(name, section, found[name])
        settings = Settings(**found)
        self._check_combinations(settings)
        if self.errors:
            raise Wrong("\n".join(sorted(self.errors, key=_line_of)))
        return settings

    def _section(self, name: str, section: _Section, told: object) -> object:
        line = self.document.lc.key(name)[0]
        found = table(told, section.fields, f"{name}.", self.where, self.errors, line)
        if "sizes" in found:
            found["sizes"] = self._sizes(f"{name}.sizes", found["sizes"], told.lc.key("sizes")[0])
        if isinstance(told, CommentedMap):
            self.unreadable |= {f"{name}.{key}" for key in told if key not in found}
        return replace(section.default(), **found)

    def _sizes(self, at: str, told: object, line: int) -> dict[str, tuple[int, ...]]:
        found = table(told, dict.fromkeys(DIMENSIONS), f"{at}.", self.where, self.errors, line)
        sizes = {}
        for dimension, listed in found.items():
            here = told.lc.key(dimension)[0]
            sizes[dimension] = self._sizes_of_one(f"{at}.{dimension}", listed, here)
        if isinstance(told, CommentedMap) and not told:
            self.errors.append(f"{self.where(line)}: {at} names no dimension")
        return sizes

    def _sizes_of_one(self, at: str, listed: object, line: int) -> tuple[int, ...]:
        if not isinstance(listed, CommentedSeq):
            self.errors.append(f"{self.where(line)}: {at} is no list of sizes")
            return ()
        sizes = []
        for position, value in enumerate(listed):
            here = self.where(listed.lc.item(position)[0])
            try:
                sizes.append(_COUNT(value))
            except ValueError as error:
                self.errors.append(f"{here}: {at}[{position}]: {error}")
                continue
            if len(sizes) > 1 and sizes[-1] <= sizes[-2]:
                self.errors.append(
                    f"{here}: {at}[{position}]: {value} is not above {sizes[-2]}; sizes must grow"
                )
        if len(listed) < FEWEST_SIZES:
            self.errors.append(
                f"{self.where(line)}: {at}: {len(listed)} sizes are too few, {FEWEST_SIZES} are needed: "
                f"{FEWEST_SIZES - 1} to fit and the largest to prove the fit"
            )
        return tuple(sizes)

    def _check_combinations(self, settings: Settings) -> None:
        fleet, day = settings.fleet, settings.day
        racks_least = math.ceil(fleet.nodes / fleet.nodes_per_rack)
        self._refuse(
            fleet.regions > fleet.zones,
            ("fleet.regions", "fleet.zones"),
            f"{fleet.regions} regions are more than the {fleet.zones} zones",
        )
        self._refuse(
            fleet.zones > fleet.nodes,
            ("fleet.zones", "fleet.nodes"),
            f"{fleet.zones} zones are more than the {fleet.nodes} nodes",
        )
        self._refuse(
            fleet.nodes < NODES_PER_SERVICE_LEAST * fleet.services,
            ("fleet.services", "fleet.nodes"),
            f"{fleet.services} services need {NODES_PER_SERVICE_LEAST * fleet.services} nodes, "
            f"the fleet has {fleet.nodes}",
        )
        self._refuse(
            fleet.services_per_conductor > fleet.services,
            ("fleet.services_per_conductor", "fleet.services"),
            f"{fleet.services_per_conductor} services a conductor are more than all {fleet.services}",
        )
        self._refuse(
            day.failures > fleet.nodes,
            ("day.failures", "fleet.nodes"),
            f"{day.failures} failures are more than the {fleet.nodes} nodes",
        )
        self._refuse(
            day.rack_losses > racks_least,
            ("day.rack_losses", "fleet.nodes_per_rack", "fleet.nodes"),
            f"{day.rack_losses} racks lost are more than the {racks_least} that the nodes fill",
        )
        self._refuse(
            day.zone_losses > fleet.zones,
            ("day.zone_losses", "fleet.zones"),
            f"{day.zone_losses} zones lost are more than the {fleet.zones} there are",
        )
        self._refuse(
            day.partitions > 0 and fleet.regions < 2,
            ("day.partitions", "fleet.regions"),
            "one region cannot be cut from another; a partition needs two",
        )
        self._refuse(
            settings.budgets.memory > settings.limits.memory,
            ("limits.memory", "budgets.memory"),
            f"{settings.limits.memory} bytes do not hold one conductor of budgets.memory "
            f"({settings.budgets.memory} bytes)",
        )

    def _refuse(self, impossible: bool, fields: tuple[str, ...], message: str) -> None:
        """Notes an impossible combination at the first of its fields that stands in the file.

        Nothing is noted where one of the fields could not be read: its default says nothing of the file.
        """
        if impossible and not self.unreadable.intersection(fields):
            told = next((name for name in fields if self._line(name) is not None), fields[0])
            self.errors.append(f"{self.where(self._line(told) or 0)}: {told}: {message}")

    def _line(self, name: str) -> int | None:
        section, _, key = name.partition(".")
        told = self.document.get(section) if isinstance(self.document, CommentedMap) else None
        return told.lc.key(key)[0] if isinstance(told, CommentedMap) and key in told else None


def _check_nodes(nodes: int) -> None:
    if nodes < NODES_PER_SERVICE_LEAST:
        raise ValueError(f"{nodes} nodes are fewer than the {NODES_PER_SERVICE_LEAST} of one service")


def _line_of(error: str) -> int:
    """The line that an error names; 0 where it names none."""
    found = re.search(r":(\d+): ", error)
    return int(found[1]) if found else 0


def _scaled(count: int, ratio: float, most: int) -> int:
    return max(1, min(most, round(count * ratio)))
