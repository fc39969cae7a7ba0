"""`deploy/views.yaml`: what an operator sets of the control role, checked. Every error names file, line and
field."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from ruamel.yaml.comments import CommentedMap

from oatcart.net.stream import Address
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
from oatcart.yaml_files import Wrong, load, name, size, span, table, whole, yes_or_no

__all__ = [
    "ServerBounds",
    "Configuration",
    "NodeFields",
    "DiscoverySettings",
    "ServedController",
    "Wrong",
    "read",
]

MAX_WATCH_TIMEOUT = 60.0  # s; the protocol's
MAX_UNDECIDED_TIMEOUT = 3.0  # s; a conductor gives a call that is no watch 4 s
MIN_LEASE_DURATION = 1.0  # s; all leases are looked at twice in one
MAX_SEED = 2**64 - 1
DEFAULT_REGION = "default"


class DiscoverySettings(NamedTuple):
    """Discovery, which serves the whole list. Times in seconds, `max_list_bytes` in bytes.

    `watch_timeout`: that a watch waits; `fetch_timeout`: for the whole list; `max_backoff`: the longest wait
    after a failure; `refetch_interval`: the whole list is asked for so often even where nothing has failed.
    """

    address: Address = ("127.0.0.1", 8500)
    watch_timeout: float = 20.0
    fetch_timeout: float = 10.0
    max_backoff: float = 5.0
    refetch_interval: float = 600.0
    max_list_bytes: int = 16 * 1024 * 1024


class NodeFields(NamedTuple):
    """Which fields of an entry tell its service and region; the regions of zones whose entries tell none."""

    service_field: str = "service"
    region_field: str = "region"
    region_of_zone: dict[str, str] = {}  # never changed

    def region(self, zone: str) -> str:
        """The region of a zone as the file has it."""
        return self.region_of_zone.get(zone, DEFAULT_REGION)


class ServerBounds(NamedTuple):
    """Bounds of what others may cost. Times in seconds.

    `batching_delay`: changes are gathered so long before watchers are woken; `write_timeout`: an answer may
    stay unread with no progress; `first_request_timeout`: a stranger's first request; `idle_timeout`: a kept
    connection between two requests; `max_connections`: open at once, all together;
    `max_connections_per_view`: at one conductor's address; `undecided_timeout`: a call for a view that is not
    decided yet is held open at most.
    """

    batching_delay: float = 0.2
    write_timeout: float = 10.0
    first_request_timeout: float = 5.0
    idle_timeout: float = 60.0
    max_connections: int = 4096
    max_connections_per_view: int = 4
    undecided_timeout: float = 2.0


class Configuration(NamedTuple):
    """What the control role is started with. `leases`: None where all conductors count as alive."""

    listen: Address = ("127.0.0.1", 8600)
    source: DiscoverySettings = DiscoverySettings()
    nodes: NodeFields = NodeFields()
    guard: ListGuard = ListGuard()
    limits: ViewLimits = ViewLimits()
    seed: int = 0
    bounds: ServerBounds = ServerBounds()
    controllers: tuple[ServedController, ...] = ()
    leases: LivenessSettings | None = None


def _factor(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value <= 100:
        raise ValueError(f"{value} is no factor from 1 to 100")
    return float(value)


def _base(value: object) -> Address:
    address = numeric_address(value)
    if not address[1]:
        raise ValueError(f"{value!r} has no port to count from")
    return address


def _share(value: object) -> float:
    """
    >>> _share("25%")
    0.25
    """
    digits = str(value).removesuffix("%")
    if not str(value).endswith("%") or not digits.isdecimal() or not 0 < int(digits) < 100:
        raise ValueError(f"{value} is no share; write it as 25%")
    return int(digits) / 100


def _wait(value: object) -> float:
    wait = span(value)
    if wait > MAX_WATCH_TIMEOUT:
        raise ValueError(f"{value} is longer than a watch may wait, 60s")
    return wait


def _undecided_wait(value: object) -> float:
    wait = span(value)
    if wait > MAX_UNDECIDED_TIMEOUT:
        raise ValueError(f"{value} is longer than 3s; a conductor ends its call after 4s")
    return wait


def _lease(value: object) -> float:
    lease = span(value)
    if lease < MIN_LEASE_DURATION:
        raise ValueError(f"{value} is shorter than 1s")
    return lease


SOURCE_KEYS = {
    "address": numeric_address,
    "wait": _wait,
    "answer_within": span,
    "retry_most": span,
    "reconcile_every": span,
    "list_most": size,
}
GUARD_KEYS = {
    "drop_share": _share,
    "drop_least": whole(1, 1_000_000),
    "hold": span,
    "least_nodes": whole(1, 1_000_000),
}
VIEW_KEYS = {
    "most_members": whole(1, 100_000),
    "most_bytes": whole(1, 1 << 20),
    "most_entry_bytes": whole(1, 65536),
    "overload": _factor,
    "seed": whole(0, MAX_SEED),
}
BOUND_KEYS = {
    "gather": span,
    "unread_for": span,
    "request_within": span,
    "idle_most": span,
    "connections": whole(1, 100_000),
    "connections_each": whole(1, 64),
    "undecided_wait": _undecided_wait,
}
LEASE_KEYS = {
    "enabled": yes_or_no,
    "only_control_role": yes_or_no,
    "lease": _lease,
    "grace": span,
    "hold": span,
    "doubt_share": _share,
    "doubt_least": whole(1, 1_000_000),
}
FIELD_OF_KEY = {
    "bounds": {
        "gather": "batching_delay",
        "unread_for": "write_timeout",
        "request_within": "first_request_timeout",
        "idle_most": "idle_timeout",
        "connections": "max_connections",
        "connections_each": "max_connections_per_view",
        "undecided_wait": "undecided_timeout",
    },
    "source": {
        "wait": "watch_timeout",
        "answer_within": "fetch_timeout",
        "retry_most": "max_backoff",
        "reconcile_every": "refetch_interval",
        "list_most": "max_list_bytes",
    },
    "views": {
        "most_members": "max_endpoints",
        "most_bytes": "max_bytes",
        "most_entry_bytes": "max_entry_bytes",
    },
    "guard": {
        "drop_share": "max_removed_share",
        "drop_least": "mass_removal_count",
        "hold": "confirmation_delay",
        "least_nodes": "min_endpoints",
    },
    "leases": {
        "lease": "lease_duration",
        "grace": "grace_period",
        "hold": "retention",
        "doubt_share": "mass_expiry_share",
        "doubt_least": "mass_expiry_count",
    },
}
TOP_KEYS = {
    "listen": numeric_address,
    "base": _base,
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
    """One reading of a file; what is wrong is gathered in `wrong`."""

    def __init__(self, folder: Path, where: Callable[[int], str]) -> None:
        self.folder, self.where = folder, where
        self.problems: list[str] = []

    def configuration(self, told: object) -> Configuration:
        top = table(told, TOP_KEYS, "", self.where, self.problems, 0)
        views = self._part(told, top, "views", VIEW_KEYS)
        nodes = NodeFields(
            top.get("service_field", "service"), top.get("region_field", "region"), self._regions(told, top)
        )
        source = self._part(told, top, "source", SOURCE_KEYS)
        guard = self._part(told, top, "guard", GUARD_KEYS)
        bounds = self._part(told, top, "bounds", BOUND_KEYS)
        leases = self._leases(told, top)
        seed = views.pop("seed", 0)
        controllers = self._controllers(told, top, nodes)
        return Configuration(
            top.get("listen", Configuration().listen),
            DiscoverySettings(**source),
            nodes,
            ListGuard(**guard),
            ViewLimits(**views),
            seed,
            ServerBounds(**bounds),
            controllers,
            leases,
        )

    def _part(self, told: CommentedMap, top: dict, key: str, fields: dict) -> dict:
        if key not in top:
            return {}
        values = table(top[key], fields, f"{key}.", self.where, self.problems, told.lc.key(key)[0])
        names = FIELD_OF_KEY.get(key, {})
        return {names.get(name, name): value for name, value in values.items()}

    def _leases(self, told: CommentedMap, top: dict) -> LivenessSettings | None:
        """Leases are refused unless the file says that no other control role serves these conductors."""
        leases = self._part(told, top, "leases", LEASE_KEYS)
        is_enabled = leases.pop("enabled", False)
        is_only_control_role = leases.pop("only_control_role", False)
        if not is_enabled:
            return None
        if not is_only_control_role:
            here = self.where(top["leases"].lc.key("enabled")[0])
            self.problems.append(
                f"{here}: leases.enabled: control roles do not tell one another who called them, so their "
                "views would differ; where this one alone serves its conductors, add only_control_role: true"
            )
        return LivenessSettings(**leases)

    def _regions(self, told: CommentedMap, top: dict) -> dict[str, str]:
        """Zones by region in the file, regions by zone here."""
        found: dict[str, str] = {}
        if "regions" not in top:
            return found
        line = told.lc.key("regions")[0]
        fields = (
            dict.fromkeys(top["regions"] or (), distinct_names)
            if isinstance(top["regions"], CommentedMap)
            else {}
        )
        for region, zones in table(
            top["regions"], fields, "regions.", self.where, self.problems, line
        ).items():
            for zone in zones:
                if zone in found:
                    here = self.where(top["regions"].lc.key(region)[0])
                    self.problems.append(f"{here}: regions.{region}: zone {zone} is in {found[zone]} already")
                found[zone] = str(region)
        return found

    def _controllers(self, told: CommentedMap, top: dict, nodes: NodeFields) -> tuple[ServedController, ...]:
        listed, filed = top.get("conductors"), top.get("conductors_file")
        groups: list[ControllerGroup] = []
        if listed is not None:
            line = told.lc.key("conductors")[0]
            groups += groups_of_list(listed, line, self.where, self.problems)
        if filed is not None:
            groups += groups_of_file(self.folder / filed, self.problems)
        listen = top.get("listen", Configuration().listen)
        return expand_groups(groups, listen, top.get("base"), nodes.region, self.problems)


def read(path: str | Path) -> Configuration:
    """The file's settings; raises Wrong with all that is wrong in it."""
    told, where = load(path)
    if told is None:
        return Configuration()
    reader = _Reader(Path(path).parent, where)
    found = reader.configuration(told)
    if reader.problems:
        raise Wrong("\n".join(reader.problems))
    return found
