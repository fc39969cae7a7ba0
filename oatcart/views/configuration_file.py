"""Reads and checks `deploy/views.yaml`. Each message names file, line and field; all problems are reported at
once.

The keys of the file are mapped to the fields of `configuration` only here.
"""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from ruamel.yaml.comments import CommentedMap

from oatcart.errors import InvalidConfigurationError
from oatcart.net.stream import Address
from oatcart.views.configuration import Configuration, DiscoverySettings, EndpointFields, ServerBounds
from oatcart.views.controllers import (
    ControllerGroup,
    ServedController,
    distinct_names,
    expand_groups,
    groups_of_file,
    groups_of_list,
    numeric_address,
)
from oatcart.views.list_guard import ListGuard
from oatcart.views.liveness import LivenessSettings
from oatcart.views.records import ViewLimits
from oatcart.views.requests import MAX_WATCH_TIMEOUT
from oatcart.yaml_files import boolean, duration, integer, load, name, size, table

MAX_UNDECIDED_TIMEOUT = 3.0  # s; a controller ends a call other than a watch after 4 s
MIN_LEASE_DURATION = 1.0  # s
MAX_SEED = 2**64 - 1
MAX_COUNT = 1_000_000  # of endpoints or controllers


class Setting(NamedTuple):
    """The field that a key sets, and the parser of its value, which raises ValueError for an invalid
    value."""

    field: str
    parse: Callable[[object], object]


def _factor(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value <= 100:
        raise ValueError(f"expected a factor from 1 to 100, got {value}")
    return float(value)


def _base_address(value: object) -> Address:
    address = numeric_address(value)
    if not address[1]:
        raise ValueError(f"expected an address with a port above 0, got {value!r}")
    return address


def _share(value: object) -> float:
    """
    >>> _share("25%")
    0.25
    """
    digits = str(value).removesuffix("%")
    if not str(value).endswith("%") or not digits.isdecimal() or not 0 < int(digits) < 100:
        raise ValueError(f"expected a percentage from 1% to 99%, got {value}")
    return int(digits) / 100


def _watch_timeout(value: object) -> float:
    timeout = duration(value)
    if timeout > MAX_WATCH_TIMEOUT:
        raise ValueError(f"expected at most 60s, the longest that a watch may wait, got {value}")
    return timeout


def _undecided_timeout(value: object) -> float:
    timeout = duration(value)
    if timeout > MAX_UNDECIDED_TIMEOUT:
        raise ValueError(f"expected at most 3s, as a controller ends its call after 4s, got {value}")
    return timeout


def _lease_duration(value: object) -> float:
    seconds = duration(value)
    if seconds < MIN_LEASE_DURATION:
        raise ValueError(f"expected at least 1s, got {value}")
    return seconds


SOURCE_SETTINGS = {
    "address": Setting("address", numeric_address),
    "wait": Setting("watch_timeout", _watch_timeout),
    "answer_within": Setting("fetch_timeout", duration),
    "retry_most": Setting("max_backoff", duration),
    "reconcile_every": Setting("refetch_interval", duration),
    "list_most": Setting("max_list_bytes", size),
}
GUARD_SETTINGS = {
    "drop_share": Setting("max_removed_share", _share),
    "drop_least": Setting("mass_removal_count", integer(1, MAX_COUNT)),
    "hold": Setting("confirmation_delay", duration),
    "least_nodes": Setting("min_endpoints", integer(1, MAX_COUNT)),
}
VIEW_SETTINGS = {
    "most_members": Setting("max_endpoints", integer(1, 100_000)),
    "most_bytes": Setting("max_bytes", integer(1, 1 << 20)),
    "most_entry_bytes": Setting("max_entry_bytes", integer(1, 65536)),
    "overload": Setting("overload", _factor),
    "seed": Setting("seed", integer(0, MAX_SEED)),
}
BOUND_SETTINGS = {
    "gather": Setting("batching_delay", duration),
    "unread_for": Setting("write_timeout", duration),
    "request_within": Setting("first_request_timeout", duration),
    "idle_most": Setting("idle_timeout", duration),
    "connections": Setting("max_connections", integer(1, 100_000)),
    "connections_each": Setting("max_connections_per_view", integer(1, 64)),
    "undecided_wait": Setting("undecided_timeout", _undecided_timeout),
}
LEASE_SETTINGS = {
    "enabled": Setting("is_enabled", boolean),
    "only_control_role": Setting("is_only_control_role", boolean),
    "lease": Setting("lease_duration", _lease_duration),
    "grace": Setting("grace_period", duration),
    "hold": Setting("retention", duration),
    "doubt_share": Setting("mass_expiry_share", _share),
    "doubt_least": Setting("mass_expiry_count", integer(1, MAX_COUNT)),
}
# The parsers of the top-level keys; None: a section or list with keys of its own.
TOP_KEYS = {
    "listen": numeric_address,
    "base": _base_address,
    "service_field": name,
    "region_field": name,
    "source": None,
    "regions": None,
    "guard": None,
    "views": None,
    "bounds": None,
    "leases": None,
    "conductors_file": name,
    "conductors": None,
}


class _Reader:
    """Reads one parsed file. `folder` is the file's folder; `where` formats a location, its line counted from
    0."""

    def __init__(self, document: CommentedMap, folder: Path, where: Callable[[int], str]) -> None:
        self.document, self.folder, self.where = document, folder, where
        self.problems: list[str] = []
        self.top = table(document, TOP_KEYS, "", where, self.problems, 0)

    def configuration(self) -> Configuration:
        """The settings of the file, valid only if `problems` is empty afterwards."""
        views = self._section("views", VIEW_SETTINGS)
        fields = EndpointFields(
            self.top.get("service_field", EndpointFields().service_field),
            self.top.get("region_field", EndpointFields().region_field),
            self._region_of_zone(),
        )
        return Configuration(
            listen=self._listen(),
            source=DiscoverySettings(**self._section("source", SOURCE_SETTINGS)),
            endpoint_fields=fields,
            guard=ListGuard(**self._section("guard", GUARD_SETTINGS)),
            seed=views.pop("seed", 0),
            limits=ViewLimits(**views),
            bounds=ServerBounds(**self._section("bounds", BOUND_SETTINGS)),
            leases=self._leases(),
            controllers=self._controllers(fields),
        )

    def _listen(self) -> Address:
        return self.top.get("listen", Configuration().listen)

    def _line(self, key: str) -> int:
        return self.document.lc.key(key)[0]

    def _section(self, key: str, settings: dict[str, Setting]) -> dict:
        """The values of one section, by field."""
        if key not in self.top:
            return {}
        parsers = {name: setting.parse for name, setting in settings.items()}
        values = table(self.top[key], parsers, f"{key}.", self.where, self.problems, self._line(key))
        return {settings[name].field: value for name, value in values.items()}

    def _leases(self) -> LivenessSettings | None:
        """The settings of leases, which are rejected unless this is the only control role of its
        controllers."""
        values = self._section("leases", LEASE_SETTINGS)
        is_enabled = values.pop("is_enabled", False)
        is_only_control_role = values.pop("is_only_control_role", False)
        if not is_enabled:
            return None
        if not is_only_control_role:
            location = self.where(self.top["leases"].lc.key("enabled")[0])
            self.problems.append(
                f"{location}: leases.enabled: control roles do not exchange which controllers called "
                "them, so their views would differ; if only this one serves its controllers, set "
                "only_control_role: true"
            )
        return LivenessSettings(**values)

    def _region_of_zone(self) -> dict[str, str]:
        """The region of each zone; the file lists the zones by region."""
        region_by_zone: dict[str, str] = {}
        if "regions" not in self.top:
            return region_by_zone
        regions = self.top["regions"]
        parsers = dict.fromkeys(regions or (), distinct_names) if isinstance(regions, CommentedMap) else {}
        line = self._line("regions")
        for region, zones in table(regions, parsers, "regions.", self.where, self.problems, line).items():
            for zone in zones:
                if zone in region_by_zone:
                    location = self.where(regions.lc.key(region)[0])
                    self.problems.append(
                        f"{location}: regions.{region}: zone {zone} is already in region "
                        f"{region_by_zone[zone]}"
                    )
                region_by_zone[zone] = str(region)
        return region_by_zone

    def _controllers(self, fields: EndpointFields) -> tuple[ServedController, ...]:
        """The controllers listed in the file, then those of the JSON lines file, whose path is relative to
        this file's folder."""
        groups: list[ControllerGroup] = []
        listed, path = self.top.get("conductors"), self.top.get("conductors_file")
        if listed is not None:
            groups += groups_of_list(listed, self._line("conductors"), self.where, self.problems)
        if path is not None:
            groups += groups_of_file(self.folder / path, self.problems)
        return expand_groups(groups, self._listen(), self.top.get("base"), fields.region, self.problems)


def read(path: str | Path) -> Configuration:
    """The settings of a file; raises InvalidConfigurationError with one line for each problem."""
    document, where = load(path)
    if document is None:
        return Configuration()
    reader = _Reader(document, Path(path).parent, where)
    configuration = reader.configuration()
    if reader.problems:
        raise InvalidConfigurationError("\n".join(reader.problems))
    return configuration
