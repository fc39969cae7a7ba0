"""One trial: a fleet of hollow and real controllers under one stand-in discovery, measured quiet and under
changes.

The order of a trial: discovery is given its lists; controllers start and are *ready* once they hold the list
(a real one must also have answered `pong`); their proxies join; after a time to settle come a quiet span,
whose processor time, bytes and messages are measured, and a span of changes at a fixed rate.

How the quantities of a `Measurement` are read here:

* Processor time is the kernel's count of a process, and for a hollow controller the time under its meter.
* Bytes and messages of a controller are those of its control connections, to discovery; those from and to
  its proxies and collectors are proportional to what the harness reports and are compared in
  `agreement.py`.
* Resident memory of a hollow controller is the growth of its process divided by the number of controllers.
* Hollow controllers whose process had no time for all of them are left out; where it had none while changes
  were made, their delays are.
* A change is in force at a hollow controller once a round has run on it, at a real one once it asks
  discovery on from it. `change_last_s` is the largest delay; one that never came within the trial makes it
  a failed trial.
* A controller fetches the whole list every 20 s; a quiet span that is shorter may leave that out, and what a
  trial tells of bytes and processor time is then without it.
"""

import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import NamedTuple

import orjson

from oatcart.scale.children import MEGABYTE, ChildProcess
from oatcart.scale.controller_settings import controller_settings, route_names
from oatcart.scale.discovery import (
    MAIN_LIST,
    AcknowledgedRevision,
    ClientFigures,
    Discovery,
    DiscoveryFigures,
    Usage,
)
from oatcart.scale.endpoint_entries import EndpointChanges, endpoints_of_lists, list_entry
from oatcart.scale.fleet import FleetPlan, PlannedEndpoint, plan_fleet
from oatcart.scale.hollow import HollowControllers, HollowReading
from oatcart.scale.peer_sockets import PeerSockets
from oatcart.scale.peers import PeerSettings
from oatcart.scale.real import NotReadyError, RealController, real_controllers
from oatcart.scale.trial_settings import SizeLimitError, TrialSettings, check_fits

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05  # at what controllers have, while waiting
LAST_CHANGE_TIMEOUT_S = 5.0  # after the last change, for all controllers to have it


class StartupFigures(NamedTuple):
    """What a controller took from its start to ready; seconds, core seconds, bytes received."""

    after_s: float
    core_s: float
    bytes_received: int


class MadeChange(NamedTuple):
    """A change of the list, made at a moment: monotonic seconds, revision, the endpoint changed."""

    at: float
    list_name: str
    revision: int
    endpoint: str


class Reading(NamedTuple):
    """All counters at one moment of a trial; `clients` is the control traffic of each controller."""

    at: float
    discovery: DiscoveryFigures
    clients: dict[str, ClientFigures]
    control: Usage | None
    hollow: HollowReading | None
    real: list[Usage]


class Trial:
    """The processes of one trial and what is asked of them; made by `running`, which ends them."""

    def __init__(self, settings: TrialSettings, plan: FleetPlan, processes: ExitStack) -> None:
        self.settings, self.plan, self._processes = settings, plan, processes
        self.lists = endpoints_of_lists(plan.endpoints, settings.lists_by_service, MAIN_LIST)
        self.check_fits()
        self.controller_settings = controller_settings(
            list(plan.zone_regions),
            settings.routes,
            settings.proxies,
            settings.tenants,
            settings.warm_up_s,
        )
        self.routes = route_names(settings.routes)
        self.hollow_names = [f"hollow-{number}" for number in range(settings.hollow)]
        self.real_names = [f"real-{number}" for number in range(settings.real)]
        self.discovery: Discovery = processes.enter_context(Discovery())
        self.hollow_controllers = processes.enter_context(HollowControllers()) if settings.hollow else None
        self.peers = processes.enter_context(PeerSockets()) if settings.real else None
        self.real: list[RealController] = []
        self.hollow_before_mb = 0.0
        self.ready: dict[str, StartupFigures] = {}
        self.control_ready: StartupFigures | None = None
        self.made_changes: list[MadeChange] = []

    def check_fits(self) -> None:
        """Raises SizeLimitError where a limit is known to be exceeded before anything is started."""
        check_fits(self.settings, max(list_size(endpoints) for endpoints in self.lists.values()))

    @property
    def names(self) -> list[str]:
        """All controllers' names, at discovery."""
        return self.hollow_names + self.real_names

    def list_of(self, name: str) -> str:
        """The list that a controller follows."""
        names = list(self.lists)
        return names[int(name.rpartition("-")[2]) % len(names)]

    def start(self) -> None:
        """Starts everything, waits until all are ready; raises SizeLimitError, NotReadyError, ChildError."""
        for name, endpoints in self.lists.items():
            self.discovery.change([list_entry(endpoint) for endpoint in endpoints], name)
        ports = self.open_ports()
        if self.hollow_controllers:
            self.hollow_before_mb = self.hollow_controllers.figures().usage.resident_mb
            seeds = [self.settings.seed + number for number in range(self.settings.hollow)]
            self.hollow_controllers.start_controllers(
                self.controller_settings, [ports[name] for name in self.hollow_names], seeds
            )
        if self.real_names:
            seeds = [self.settings.seed + number for number in range(self.settings.real)]
            self.real = self._processes.enter_context(
                real_controllers(self.controller_settings, [ports[name] for name in self.real_names], seeds)
            )
        self._wait_ready()

    def open_ports(self) -> dict[str, int]:
        """Where each controller is to ask for its list."""
        ports = {}
        for name in self.names:
            ports |= self.discovery.open([name], self.list_of(name))
        return ports

    def client_figures(self, discovery: DiscoveryFigures) -> dict[str, ClientFigures]:
        """The control traffic of each controller."""
        return discovery.clients

    def control_usage(self) -> Usage | None:
        """The usage of the control role, where there is one."""
        return None

    def acknowledged_revisions(self) -> dict[str, list[AcknowledgedRevision]]:
        """Which revisions of its list each controller had when."""
        return self.discovery.acknowledged_revisions()

    def join_peers(self, keep_tables: bool = False) -> None:
        """Lets the proxies of all controllers join; from then on they report."""
        if self.hollow_controllers:
            self.hollow_controllers.join_peers(
                [self.peer_settings(name) for name in self.hollow_names], keep_tables
            )
        if self.peers:
            self.peers.join(
                [one.port for one in self.real],
                [self.peer_settings(name) for name in self.real_names],
                keep_tables,
            )

    def peer_settings(self, name: str) -> PeerSettings:
        """The peers of a controller; a hollow and a real one of the same number have the same."""
        number = int(name.rpartition("-")[2])
        zones = list(self.plan.zone_regions)
        return PeerSettings(
            seed=self.settings.seed + number,
            proxies=self.settings.proxies,
            zone=zones[number % len(zones)],
            routes=self.routes,
            endpoints=tuple(endpoint.id for endpoint in self.lists[self.list_of(name)]),
        )

    def read(self) -> Reading:
        """All counters now; raises SizeLimitError where memory is over the limit."""
        reading = Reading(
            time.monotonic(),
            discovery := self.discovery.figures(),
            self.client_figures(discovery),
            self.control_usage(),
            self.hollow_controllers.figures() if self.hollow_controllers else None,
            [Usage(one.core_seconds(), one.resident_megabytes()) for one in self.real],
        )
        self._check_memory()
        return reading

    def changed_endpoints(self) -> list[PlannedEndpoint]:
        """The endpoints of which some are changed."""
        return list(self.plan.endpoints)

    def make_change(self, entry: dict) -> None:
        """Changes one endpoint's entry in the list that the endpoint is in."""
        name = entry["service"] if self.settings.lists_by_service else MAIN_LIST
        at = time.monotonic()
        self.made_changes.append(MadeChange(at, name, self.discovery.change([entry], name), entry["id"]))

    def wait_for_changes(self) -> dict[str, list[float]]:
        """Delays (s) of each change at each controller; raises NotReadyError where one never had it."""
        until = time.monotonic() + LAST_CHANGE_TIMEOUT_S
        while True:
            delays, missing = self.change_delays()
            if not missing:
                return delays
            if time.monotonic() > until:
                raise NotReadyError(f"{missing} changes lack a conductor after {LAST_CHANGE_TIMEOUT_S:.0f} s")
            time.sleep(POLL_INTERVAL_S)

    def change_delays(self) -> tuple[dict[str, list[float]], int]:
        """Of each controller the delays of the changes made, and how many it does not have yet, of all.

        A hollow controller has a change once a round has run on it, a real one once it asks on from it.
        """
        held = self.acknowledged_revisions()
        if self.hollow_controllers:
            for name, one in zip(
                self.hollow_names, self.hollow_controllers.figures().controllers, strict=True
            ):
                held[name] = [AcknowledgedRevision(at, revision, 0) for at, revision in one.applied_revisions]
        delays, missing = {}, 0
        for name in self.names:
            made = [change for change in self.made_changes if change.list_name == self.list_of(name)]
            had = [first_acknowledged_at(held[name], change.revision) for change in made]
            delays[name] = [at - change.at for at, change in zip(had, made, strict=True) if at is not None]
            missing += had.count(None)
        return delays, missing

    def running_processes(self) -> list[ChildProcess]:
        """All processes of the trial."""
        return [one for one in (self.discovery, self.hollow_controllers, self.peers, *self.real) if one]

    def _check_memory(self) -> None:
        resident = sum(one.resident_megabytes() for one in self.running_processes()) * MEGABYTE
        if resident > self.settings.limits.memory:
            raise SizeLimitError(
                f"{resident:.0f} bytes of memory are over the limit of {self.settings.limits.memory}"
            )

    def _wait_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while len(self.ready) < len(self.names):
            if time.monotonic() > until:
                raise NotReadyError(
                    f"{len(self.names) - len(self.ready)} conductors hold no list: {self.errors()}"
                )
            time.sleep(POLL_INTERVAL_S)
            self._record_ready(self.acknowledged_revisions())
            self._check_memory()
        hollow = self.hollow_controllers.figures().controllers if self.hollow_controllers else []
        for name, one in zip(self.hollow_names, hollow, strict=True):
            self.ready[name] = StartupFigures(
                one.ready_after_s, one.ready_core_s, self.ready[name].bytes_received
            )

    def _record_ready(self, revisions: dict[str, list[AcknowledgedRevision]]) -> None:
        """Controllers that have asked on from a revision by now. Hollow ones tell the rest themselves."""
        real = dict(zip(self.real_names, self.real, strict=True))
        for name in self.names:
            held = next((one for one in revisions[name] if one.revision), None)
            if name not in self.ready and held:
                one = real.get(name)
                after_s = max(held.at - one.started_at, one.ready_after_s) if one else 0.0
                self.ready[name] = StartupFigures(
                    after_s, one.core_seconds() if one else 0.0, held.bytes_sent
                )

    def errors(self) -> str:
        """What real controllers have written to their logs."""
        return "\n".join(one.error_text() for one in self.real)


def make_changes(trials: Sequence[Trial], count: int, per_s: float) -> None:
    """Makes so many changes in each trial, side by side at a fixed rate."""
    changes = [EndpointChanges(trial.changed_endpoints(), trial.settings.seed) for trial in trials]
    first = time.monotonic()
    for number in range(count):
        time.sleep(max(0.0, first + number / per_s - time.monotonic()))
        for trial, of_trial in zip(trials, changes, strict=True):
            trial.make_change(of_trial.next_entry(time.time()))


def first_acknowledged_at(held: Sequence[AcknowledgedRevision], revision: int) -> float | None:
    """When a revision, or a newer one, was first had; None where it was not."""
    return next((one.at for one in held if one.revision >= revision), None)


@contextmanager
def running(settings: TrialSettings, kind: type[Trial] = Trial) -> Iterator[Trial]:
    """A trial whose processes are all ended when the block is left, however it is left."""
    plan = plan_fleet(settings.fleet, settings.seed)
    with ExitStack() as processes:
        yield kind(settings, plan, processes)


def list_size(endpoints: Sequence[PlannedEndpoint]) -> int:
    """The bytes of a whole list of some endpoints, but for its few fields beside the entries."""
    return sum(len(orjson.dumps(list_entry(endpoint))) + 1 for endpoint in endpoints)
