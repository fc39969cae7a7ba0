"""Measures what each role costs at every size of each dimension, with one small function a dimension.

How each dimension is grown, all others staying as they are:

* `conductors`: hollow ones, all in one process, and a few real ones beside them, with a small list.
* `nodes`: one list of all endpoints, which controllers follow without the control role. Where it exceeds the
  protocol's 1 MiB real and hollow controllers refuse it and are left out; the decision module alone, with no
  socket, is measured at every size of a full run as the role `module`, in a quick one only where others are
  left out.
* `services`: so many services with the same endpoints, as one list of all services, and as one list a
  service, where each controller follows one service (roles that end in `_of_service`). Controllers follow one
  list, so one that calls several services has no way to do so with a list a service.
* `routes`: request classes of a controller, of which there are at most 16; larger sizes are left out.
* `tenants`: entries in a controller's settings, read at its start and kept; it has no other state of them.
* `proxies`: proxies of one controller, each with its usage reports and its stream.
* `changes`: changes of the list, told as changes a day, measured while they are made.

Controllers and endpoints are also grown behind the control role, where each controller follows a bounded
view: the roles `viewed_conductor`, `viewed_hollow_conductor`, `control` and `discovery_of_control`.

A controller fetches the whole list every 20 s. A full run measures for a multiple of that, whatever the file
tells; a quick run does not: its bytes and processor time leave these fetches out.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from math import ceil

from oatcart.policy.discovery import REFRESH_S
from oatcart.scale.configuration import DAY_S, FleetSettings, RunSettings, Settings
from oatcart.scale.controller_settings import MAX_ROUTES, controller_settings, route_names
from oatcart.scale.endpoint_entries import list_entry
from oatcart.scale.figures import (
    CONTROL_ROLE,
    DISCOVERY_ROLE,
    HOLLOW_ROLE,
    REAL_ROLE,
    TrialSpecification,
    play_beside,
)
from oatcart.scale.fleet import plan_fleet
from oatcart.scale.interrupts import recorded_interrupts
from oatcart.scale.measurement import Measurement
from oatcart.scale.module_rounds import module_figures
from oatcart.scale.peers import PeerSettings
from oatcart.scale.trial_settings import TrialSettings
from oatcart.scale.view_trial import ViewTrial

MODULE_ROLE = "module"
ROLES_OF_SERVICE = {role: f"{role}_of_service" for role in (REAL_ROLE, HOLLOW_ROLE, DISCOVERY_ROLE)}
VIEWED_ROLES = {
    REAL_ROLE: "viewed_conductor",
    HOLLOW_ROLE: "viewed_hollow_conductor",
    CONTROL_ROLE: CONTROL_ROLE,
    DISCOVERY_ROLE: "discovery_of_control",
}
ROUTES_MEASURED = 1, 2, 4, 8, 12, 16  # request classes, beside what the file asks for
BASE_ENDPOINTS = 200  # where endpoints are not what grows
CONTROLLERS_ENDPOINTS = 50  # a list small enough for many controllers in one process
VIEWS_ENDPOINTS = 2_000  # behind the control role: more than the bound of a view
HOLLOW_WITH_VIEWS, HOLLOW_WITH_VIEWS_QUICK = (
    24,
    6,
)  # hollow controllers behind the control role where endpoints grow
SERVICES_ENDPOINTS = 2_000  # enough for two endpoints in each of 720 services, few enough for one list
DEFAULT_HOLLOW, DEFAULT_REAL = 4, 2  # controllers where they are not what grows
HOLLOW_WITH_LARGE_LIST, REAL_WITH_LARGE_LIST = 1, 1  # each may take up a good part of a core
MAX_REAL, MAX_REAL_QUICK = 8, 2  # in the dimension of controllers
CHANGES_PER_S, CHANGES_PER_S_QUICK = 10.0, 40.0  # where changes are not what grows
MAX_MODULE_SPAN_S = 4.0  # virtual; at 27,000 endpoints a second of it takes more than one of a core

Progress = Callable[[str], None]


def viewed(trial: TrialSettings) -> TrialSpecification:
    """A trial behind the control role, whose roles have names of their own."""
    return TrialSpecification(trial, ViewTrial, VIEWED_ROLES)


def round_up_to_fetch_period(span_s: float) -> float:
    """The span, made longer until it holds a whole number of the list's periodic fetches.

    >>> round_up_to_fetch_period(15.0), round_up_to_fetch_period(40.0)
    (20.0, 40.0)
    """
    return ceil(span_s / REFRESH_S) * REFRESH_S


class Runs:
    """One run of some dimensions at the sizes and times of a file."""

    def __init__(self, settings: Settings, quick: bool, progress: Progress) -> None:
        self.settings, self.quick, self.progress = settings, quick, progress
        self.run: RunSettings = settings.quick if quick else settings.full
        self.base = TrialSettings(
            fleet=settings.fleet.scaled_to(BASE_ENDPOINTS),
            seed=settings.seed,
            hollow=DEFAULT_HOLLOW,
            real=DEFAULT_REAL,
            proxies=settings.fleet.proxies_per_conductor,
            settle_s=self.run.settle_for,
            measure_s=self.run.measure_for if quick else round_up_to_fetch_period(self.run.measure_for),
            changes=self.run.repeats,
            changes_per_s=CHANGES_PER_S_QUICK if quick else CHANGES_PER_S,
            limits=settings.limits,
            view=settings.view,
        )

    def conductors(self, size: int) -> list[Measurement]:
        """So many hollow controllers, with a few real ones beside them."""
        real = min(size, MAX_REAL_QUICK if self.quick else MAX_REAL)
        fleet = self.settings.fleet.scaled_to(CONTROLLERS_ENDPOINTS)
        trial = replace(self.base, fleet=fleet, hollow=size, real=real)
        behind = replace(trial, fleet=self._fleet_with(VIEWS_ENDPOINTS, size))
        if self.quick:  # what grows with controllers is the control role
            return play_beside([viewed(behind)], "conductors", size)
        return play_beside([TrialSpecification(trial), viewed(behind)], "conductors", size)

    def nodes(self, size: int) -> list[Measurement]:
        """One list of so many endpoints; controllers with views of it and the module alone beside it."""
        trial = replace(
            self.base,
            fleet=self.settings.fleet.scaled_to(size),
            hollow=HOLLOW_WITH_LARGE_LIST,
            real=REAL_WITH_LARGE_LIST,
        )
        hollow = HOLLOW_WITH_VIEWS_QUICK if self.quick else HOLLOW_WITH_VIEWS
        behind = replace(trial, fleet=self._fleet_with(size, hollow), hollow=hollow)
        found = play_beside([TrialSpecification(trial), viewed(behind)], "nodes", size)
        if self.quick and not any(one.left_out for one in found):
            return found  # the module has been measured in its controllers
        return [*found, self._module(size, trial)]

    def services(self, size: int) -> list[Measurement]:
        """So many services in one list, and in a list each."""
        fleet = replace(
            self.settings.fleet.scaled_to(SERVICES_ENDPOINTS),
            services=size,
            services_per_conductor=min(size, self.settings.fleet.services_per_conductor),
        )
        trial = replace(self.base, fleet=fleet, real=REAL_WITH_LARGE_LIST)
        one_list = TrialSpecification(replace(trial, hollow=HOLLOW_WITH_LARGE_LIST))
        lists = TrialSpecification(replace(trial, lists_by_service=True), role_names=ROLES_OF_SERVICE)
        return play_beside([one_list, lists], "services", size)

    def routes(self, size: int) -> list[Measurement]:
        """A controller with so many request classes."""
        if size > MAX_ROUTES:
            text = f"a conductor of today has at most {MAX_ROUTES} request classes"
            return [Measurement("routes", size, role, left_out=text) for role in (REAL_ROLE, HOLLOW_ROLE)]
        return self._play("routes", size, replace(self.base, routes=size))

    def tenants(self, size: int) -> list[Measurement]:
        """Real controllers with so many tenants in their settings."""
        return self._play("tenants", size, replace(self.base, hollow=0, tenants=size))

    def proxies(self, size: int) -> list[Measurement]:
        """Controllers with so many proxies each."""
        return self._play("proxies", size, replace(self.base, proxies=size))

    def changes(self, size: int) -> list[Measurement]:
        """So many changes a day, for the whole measured span."""
        per_s = size / DAY_S
        trial = replace(
            self.base,
            changes=max(1, round(per_s * self.run.measure_for)),
            changes_per_s=per_s,
            measure_under_changes=True,
        )
        return self._play("changes", size, trial)

    def _fleet_with(self, endpoints: int, conductors: int) -> FleetSettings:
        return replace(self.settings.fleet.scaled_to(endpoints), conductors=conductors)

    def _play(self, dimension: str, size: float, trial: TrialSettings) -> list[Measurement]:
        return play_beside([TrialSpecification(trial)], dimension, size)

    def _module(self, size: int, trial: TrialSettings) -> Measurement:
        """The decision module alone, in virtual time."""
        plan = plan_fleet(trial.fleet, trial.seed)
        zones = list(plan.zone_regions)
        peers = PeerSettings(
            trial.seed,
            trial.proxies,
            zones[0],
            route_names(trial.routes),
            tuple(endpoint.id for endpoint in plan.endpoints),
        )
        figures = module_figures(
            controller_settings(zones, trial.routes, trial.proxies),
            [list_entry(endpoint) for endpoint in plan.endpoints],
            peers,
            trial.settle_s,
            min(trial.measure_s, MAX_MODULE_SPAN_S),
            trial.seed,
        )
        return Measurement(
            "nodes",
            size,
            MODULE_ROLE,
            core_share=figures.core_share,
            longest_round_s=figures.longest_s,
            resident_mb=figures.resident_mb,
            ready_core_s=figures.ready_core_s,
            ready_bytes=figures.list_bytes,
        )


def measure(
    settings: Settings, quick: bool, dimensions: Collection[str] | None, progress: Progress
) -> list[Measurement]:
    """The measurements of some dimensions, by default of all that the file has sizes for.

    `quick` chooses the file's quick sizes and times. `progress` is told a line before and after each size.
    All processes are ended before this returns or raises, also on SIGINT and SIGTERM. Raises ChildError.
    """
    runs = Runs(settings, quick, progress)
    measurements: list[Measurement] = []
    with recorded_interrupts() as interrupts:
        for dimension, sizes in sizes_of(runs.run, dimensions).items():
            grown = getattr(runs, dimension)
            for size in sizes:
                interrupts.check()
                progress(f"{dimension} {size:,}")
                found = grown(size)
                interrupts.check()  # it may have been hidden by an error of a process that ended over it
                measurements += found
                for one in found:
                    progress(f"  {line(one)}")
    return measurements


def sizes_of(run: RunSettings, dimensions: Collection[str] | None) -> Mapping[str, list[int]]:
    """The sizes of each dimension asked for; routes also at sizes that a controller of today can have."""
    sizes = {
        dimension: list(told)
        for dimension, told in run.sizes.items()
        if dimensions is None or dimension in dimensions
    }
    if "routes" in sizes:
        sizes["routes"] = sorted({*ROUTES_MEASURED, *sizes["routes"]})
    return sizes


def line(one: Measurement) -> str:
    """A measurement's main figures in a line."""
    if one.left_out:
        return f"{one.role}: left out: {one.left_out.splitlines()[0]}"
    told = [f"{one.role}:"]
    for title, value in (
        ("core", one.core_share),
        ("MB", one.resident_mb),
        ("B/s in", one.bytes_in_s),
        ("last change s", one.change_last_s),
        ("ready s", one.ready_s),
    ):
        if value is not None:
            told.append(f"{title} {value:.4g}")
    return " ".join(told)
