"""The settings in `deploy/scale.yaml`: the planned fleet, its day, the budgets and the measured sizes.

Fields have the names of the file's keys; `configuration_file.py` reads them. Times are in seconds, memory in
bytes, traffic in bytes/s. The file calls an endpoint a node, and a controller a conductor.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

MIN_ENDPOINTS_PER_SERVICE = 2
"""Each service has at least so many endpoints, so that one remains if another is lost."""

DAY_S = 86_400.0
"""The length of the simulated day in seconds."""

MAX_COUNT = 100_000_000
"""The largest count that the file may contain."""


@dataclass(frozen=True)
class FleetSettings:
    """The counts from which a fleet is generated; `requests` is in requests/s at the day's peak.

    `service_skew`: the share of the endpoints that belong to the service of rank r falls as 1/r^skew.
    """

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

    def with_endpoints(self, nodes: int) -> "FleetSettings":
        """Returns this fleet with `nodes` endpoints and otherwise the same counts.

        Services, zones and regions are reduced if there are too few endpoints for them. Raises ValueError
        for fewer than two endpoints.
        """
        _check_endpoints(nodes)
        services = min(self.services, nodes // MIN_ENDPOINTS_PER_SERVICE)
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
        """Returns a fleet of the same shape with `nodes` endpoints.

        Counts are scaled by the ratio of the endpoints; zones and regions by its square root. They are
        rounded and limited so that each service has two endpoints, each zone has one, and there are no fewer
        zones than regions. Raises ValueError for fewer than two endpoints.
        """
        _check_endpoints(nodes)
        ratio = nodes / self.nodes
        services = _scaled(self.services, ratio, nodes // MIN_ENDPOINTS_PER_SERVICE)
        zones = _scaled(self.zones, math.sqrt(ratio), min(nodes, self.zones))
        return replace(
            self,
            conductors=_scaled(self.conductors, ratio, MAX_COUNT),
            nodes=nodes,
            services=services,
            routes=_scaled(self.routes, ratio, MAX_COUNT),
            tenants=_scaled(self.tenants, ratio, MAX_COUNT),
            requests=self.requests * ratio,
            regions=_scaled(self.regions, math.sqrt(ratio), min(zones, self.regions)),
            zones=zones,
            services_per_conductor=min(self.services_per_conductor, services),
        )


@dataclass(frozen=True)
class DaySettings:
    """The faults and changes of one day: counts a day, times in seconds of the simulated day."""

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
        """Returns the day of a fleet `ratio` times as large.

        Losses of racks and zones, partitions and times do not change.
        """
        return replace(
            self,
            failures=round(self.failures * ratio),
            restarts=round(self.restarts * ratio),
            changes=round(self.changes * ratio),
        )


@dataclass(frozen=True)
class Budgets:
    """Limits of one controller's costs, and the time until a change must be in force everywhere.

    `core_share` is a share of one core; `memory` is in bytes, `traffic` in bytes/s, `change_in_force` in
    seconds.
    """

    core_share: float = 0.043
    memory: int = 256 << 20
    traffic: float = 4_096.0
    change_in_force: float = 5.0
    control_machines: int = 7


@dataclass(frozen=True)
class ViewSettings:
    """The largest view of one controller: in endpoints, and in bytes as sent."""

    nodes: int = 500
    size: int = 68 << 10


@dataclass(frozen=True)
class LimitSettings:
    """Limits of what a run may use on the measuring machine at once: bytes of memory, and processes."""

    memory: int = 8 << 30
    processes: int = 32


FULL_SIZES: Mapping[str, tuple[int, ...]] = {
    "conductors": (4, 8, 16, 32, 64, 5_800),
    "nodes": (1_000, 1_500, 2_200, 3_400, 5_000, 9_000, 18_000, 27_000),
    "services": (45, 90, 180, 360, 720),
    "routes": (2_300, 4_600, 9_250, 18_500, 37_000),
    "tenants": (17_500, 35_000, 70_000, 140_000, 280_000),
    "proxies": (2, 4, 8, 16, 32),
    "changes": (22_000, 44_000, 88_000, 176_000, 352_000),
}
QUICK_SIZES: Mapping[str, tuple[int, ...]] = {
    "nodes": (1_000, 2_000, 3_000, 4_000, 5_000),
    "conductors": (1, 2, 3, 4, 6),
}


@dataclass(frozen=True)
class RunSettings:
    """How long each size is measured (seconds), how many changes are timed, and which sizes are measured.

    `sizes` are the sizes of each dimension in ascending order; those of `changes` are changes a day.
    """

    settle_for: float = 3.0
    measure_for: float = 15.0
    repeats: int = 20
    sizes: Mapping[str, tuple[int, ...]] = field(default_factory=lambda: dict(FULL_SIZES))


def quick_run_settings() -> RunSettings:
    """Returns the defaults of a quick run, which takes less than a minute on a developer's machine."""
    return RunSettings(settle_for=0.5, measure_for=2.0, repeats=20, sizes=dict(QUICK_SIZES))


@dataclass(frozen=True)
class Settings:
    """The contents of the file. `seed` is the seed of all random numbers."""

    seed: int = 1
    fleet: FleetSettings = FleetSettings()
    day: DaySettings = DaySettings()
    budgets: Budgets = Budgets()
    view: ViewSettings = ViewSettings()
    limits: LimitSettings = LimitSettings()
    full: RunSettings = field(default_factory=RunSettings)
    quick: RunSettings = field(default_factory=quick_run_settings)


def _check_endpoints(nodes: int) -> None:
    if nodes < MIN_ENDPOINTS_PER_SERVICE:
        raise ValueError(f"{nodes} endpoints are fewer than the {MIN_ENDPOINTS_PER_SERVICE} of one service")


def _scaled(count: int, ratio: float, maximum: int) -> int:
    return max(1, min(maximum, round(count * ratio)))
