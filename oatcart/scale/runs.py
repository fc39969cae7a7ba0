"""Measures what each role costs at every size of each dimension; each dimension has one method of `Runs`.

What a dimension varies, while all others keep their values:

* `conductors`: the number of hollow controllers, all in one process, with a few real controllers beside them;
  the endpoint list is small.
* `nodes`: the number of endpoints in one list, which controllers watch without the control role. If the list
  exceeds the protocol's 1 MiB, real and hollow controllers reject it and are left out. The decision module
  alone, without sockets, is measured as the role `module`: at every size of a full run, and at those sizes of
  a quick run where another role is left out.
* `services`: the number of services with the same endpoints in total. They are measured as one list of all
  services, and as one list for each service, where each controller watches one service (roles that end in
  `_of_service`). A controller watches a single list, so with a list for each service it could not call
  several services.
* `routes`: the request classes of a controller, of which there are at most 16; larger sizes are left out.
* `tenants`: the tenants in a controller's settings, which are read at its start and kept; it has no other
  state of tenants.
* `proxies`: the proxies of one controller, each with its usage reports and its stream.
* `changes`: the changes of the list, given as changes a day; costs are measured while changes are made.

Controllers and endpoints are also measured with the control role, where each controller watches a bounded
view: the roles `viewed_conductor`, `viewed_hollow_conductor`, `control` and `discovery_of_control`.

A controller fetches the complete list every 20 s. A full run measures for a multiple of that, even if the
file sets another time. A quick run does not, so its bytes and processor time do not include these fetches.
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
    run_trials,
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
ROUTES_MEASURED = 1, 2, 4, 8, 12, 16  # request classes, in addition to the sizes in the file
BASE_ENDPOINTS = 200  # in dimensions that do not vary the endpoints
CONTROLLERS_ENDPOINTS = 50  # few enough for many controllers in one process
VIEWS_ENDPOINTS = 2_000  # with the control role; more than a view may contain
# Hollow controllers with views, in the dimension `nodes`.
HOLLOW_WITH_VIEWS, HOLLOW_WITH_VIEWS_QUICK = 24, 6
SERVICES_ENDPOINTS = 2_000  # at least two for each of 720 services, but few enough for one list
DEFAULT_HOLLOW, DEFAULT_REAL = 4, 2  # controllers, in dimensions that do not vary them
HOLLOW_WITH_LARGE_LIST, REAL_WITH_LARGE_LIST = 1, 1  # controllers; each may need a large part of a core
MAX_REAL, MAX_REAL_QUICK = 8, 2  # in the dimension `conductors`
CHANGES_PER_S, CHANGES_PER_S_QUICK = 10.0, 40.0  # in dimensions that do not vary the changes
MAX_MODULE_SPAN_S = 4.0  # virtual; with 27,000 endpoints one second of it takes more than one core second

Progress = Callable[[str], None]


def with_views(trial: TrialSettings) -> TrialSpecification:
    """Returns a trial with the control role, in which the roles have different names."""
    return TrialSpecification(trial, ViewTrial, VIEWED_ROLES)


def round_up_to_fetch_period(span_s: float) -> float:
    """Rounds a time span up to a multiple of the period at which controllers fetch the list.

    >>> round_up_to_fetch_period(15.0), round_up_to_fetch_period(40.0)
    (20.0, 40.0)
    """
    return ceil(span_s / REFRESH_S) * REFRESH_S


class Runs:
    """One run, with the sizes and times of a settings file; each dimension has the method of its name."""

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
        """Measures `size` hollow controllers, with a few real ones beside them."""
        real = min(size, MAX_REAL_QUICK if self.quick else MAX_REAL)
        fleet = self.settings.fleet.scaled_to(CONTROLLERS_ENDPOINTS)
        trial = replace(self.base, fleet=fleet, hollow=size, real=real)
        trial_with_views = replace(trial, fleet=self._fleet_with(VIEWS_ENDPOINTS, size))
        if self.quick:  # more controllers raise the costs of the control role only
            return run_trials([with_views(trial_with_views)], "conductors", size)
        return run_trials([TrialSpecification(trial), with_views(trial_with_views)], "conductors", size)

    def nodes(self, size: int) -> list[Measurement]:
        """Measures one list of `size` endpoints, views of that list, and the decision module alone."""
        trial = replace(
            self.base,
            fleet=self.settings.fleet.scaled_to(size),
            hollow=HOLLOW_WITH_LARGE_LIST,
            real=REAL_WITH_LARGE_LIST,
        )
        hollow = HOLLOW_WITH_VIEWS_QUICK if self.quick else HOLLOW_WITH_VIEWS
        trial_with_views = replace(trial, fleet=self._fleet_with(size, hollow), hollow=hollow)
        found = run_trials([TrialSpecification(trial), with_views(trial_with_views)], "nodes", size)
        if self.quick and not any(one.left_out for one in found):
            return found  # the costs of its controllers include those of the module
        return [*found, self._module(size, trial)]

    def services(self, size: int) -> list[Measurement]:
        """Measures `size` services in one list, and with one list for each service."""
        fleet = replace(
            self.settings.fleet.scaled_to(SERVICES_ENDPOINTS),
            services=size,
            services_per_conductor=min(size, self.settings.fleet.services_per_conductor),
        )
        trial = replace(self.base, fleet=fleet, real=REAL_WITH_LARGE_LIST)
        one_list = TrialSpecification(replace(trial, hollow=HOLLOW_WITH_LARGE_LIST))
        lists = TrialSpecification(replace(trial, lists_by_service=True), role_names=ROLES_OF_SERVICE)
        return run_trials([one_list, lists], "services", size)

    def routes(self, size: int) -> list[Measurement]:
        """Measures controllers with `size` request classes."""
        if size > MAX_ROUTES:
            reason = f"a controller has at most {MAX_ROUTES} request classes"
            return [Measurement("routes", size, role, left_out=reason) for role in (REAL_ROLE, HOLLOW_ROLE)]
        return self._run_trial("routes", size, replace(self.base, routes=size))

    def tenants(self, size: int) -> list[Measurement]:
        """Measures real controllers with `size` tenants in their settings."""
        return self._run_trial("tenants", size, replace(self.base, hollow=0, tenants=size))

    def proxies(self, size: int) -> list[Measurement]:
        """Measures controllers with `size` proxies each."""
        return self._run_trial("proxies", size, replace(self.base, proxies=size))

    def changes(self, size: int) -> list[Measurement]:
        """Measures `size` changes a day, made throughout the measured span."""
        changes_per_s = size / DAY_S
        trial = replace(
            self.base,
            changes=max(1, round(changes_per_s * self.run.measure_for)),
            changes_per_s=changes_per_s,
            measure_under_changes=True,
        )
        return self._run_trial("changes", size, trial)

    def _fleet_with(self, endpoints: int, controllers: int) -> FleetSettings:
        return replace(self.settings.fleet.scaled_to(endpoints), conductors=controllers)

    def _run_trial(self, dimension: str, size: float, trial: TrialSettings) -> list[Measurement]:
        return run_trials([TrialSpecification(trial)], dimension, size)

    def _module(self, size: int, trial: TrialSettings) -> Measurement:
        """Measures the decision module alone, in virtual time."""
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
    """Measures some dimensions; None stands for all dimensions that have sizes in the file.

    `quick` selects the sizes and times under `quick` in the file. `progress` is called with a line before
    each size and with a line for each measurement. All processes are ended before this returns or raises,
    also on SIGINT and SIGTERM. Raises ChildError.
    """
    runs = Runs(settings, quick, progress)
    measurements: list[Measurement] = []
    with recorded_interrupts() as interrupts:
        for dimension, sizes in sizes_of(runs.run, dimensions).items():
            measure_size = getattr(runs, dimension)
            for size in sizes:
                interrupts.check()
                progress(f"{dimension} {size:,}")
                found = measure_size(size)
                # The signal may also have ended a process, whose error then replaced the interrupt.
                interrupts.check()
                measurements += found
                for one in found:
                    progress(f"  {summary_line(one)}")
    return measurements


def sizes_of(run: RunSettings, dimensions: Collection[str] | None) -> Mapping[str, list[int]]:
    """Returns the sizes of each dimension; for routes also sizes that a controller can have."""
    sizes = {
        dimension: list(listed)
        for dimension, listed in run.sizes.items()
        if dimensions is None or dimension in dimensions
    }
    if "routes" in sizes:
        sizes["routes"] = sorted({*ROUTES_MEASURED, *sizes["routes"]})
    return sizes


def summary_line(one: Measurement) -> str:
    """Returns a line with the main figures of a measurement."""
    if one.left_out:
        return f"{one.role}: left out: {one.left_out.splitlines()[0]}"
    parts = [f"{one.role}:"]
    for title, value in (
        ("core", one.core_share),
        ("MB", one.resident_mb),
        ("B/s in", one.bytes_in_s),
        ("last change s", one.change_last_s),
        ("ready s", one.ready_s),
    ):
        if value is not None:
            parts.append(f"{title} {value:.4g}")
    return " ".join(parts)
