"""One trial: hollow and real controllers with one stand-in discovery, measured idle and under changes.

The order of a trial: the lists of discovery are set; controllers start and are *ready* once they have the
list (a real one must also have answered `pong`); their proxies join; after a time to settle there are a quiet
span without changes, in which processor time, bytes and messages are measured, and a span of changes at a
fixed rate.

How the quantities of a `Measurement` are measured:

* Processor time is the kernel's count of a process, and for a hollow controller the time under its meter.
* Bytes and messages of a controller are those of its control connections, to discovery; those from and to
  its proxies and collectors are proportional to what the harness reports and are compared in
  `agreement.py`.
* Resident memory of a hollow controller is the growth of its process divided by the number of controllers.
* If the process of the hollow controllers was too busy to run them all in time, they are left out of the
  measurements; if that was so while changes were made, their delays are.
* A change is in force at a hollow controller once a round has run on it, at a real one once it requests the
  changes after it. `change_last_s` is the largest delay; a change that is not in force at all controllers
  within the trial makes it a failed trial.
* A controller fetches the complete list every 20 s. A shorter quiet span may miss that fetch; its bytes and
  processor time are then not included.
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
from oatcart.scale.interrupts import sleep
from oatcart.scale.peer_sockets import PeerSockets
from oatcart.scale.peers import PeerSettings
from oatcart.scale.real import NotReadyError, RealController, real_controllers
from oatcart.scale.trial_settings import SizeLimitError, TrialSettings, check_fits

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05  # between checks whether all controllers are ready or have a change
LAST_CHANGE_TIMEOUT_S = 5.0  # after the last change, until it is in force at all controllers


class StartupFigures(NamedTuple):
    """The cost of a start until the controller is ready: seconds, processor seconds, bytes received."""

    after_s: float
    core_s: float
    bytes_received: int


class MadeChange(NamedTuple):
    """A change of one endpoint in a list; `at`: when it was made (monotonic seconds)."""

    at: float
    list_name: str
    revision: int
    endpoint: str


class Reading(NamedTuple):
    """All counters of a trial at one moment (monotonic seconds); `clients`: control traffic by controller."""

    at: float
    discovery: DiscoveryFigures
    clients: dict[str, ClientFigures]
    control: Usage | None
    hollow: HollowReading | None
    real: list[Usage]


class Trial:
    """The processes of one trial and the operations on them; created by `running`, which ends them."""

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
        """Raises SizeLimitError if a limit will be exceeded, before any controller is started."""
        check_fits(self.settings, max(list_size(endpoints) for endpoints in self.lists.values()))

    @property
    def names(self) -> list[str]:
        """The names of all controllers as clients of discovery."""
        return self.hollow_names + self.real_names

    def list_of(self, name: str) -> str:
        """Returns the name of the list that a controller watches."""
        names = list(self.lists)
        return names[int(name.rpartition("-")[2]) % len(names)]

    def start(self) -> None:
        """Starts all processes and waits until all controllers are ready.

        Raises SizeLimitError, NotReadyError and ChildError.
        """
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
        """Opens a port for each controller, at which it gets its list."""
        ports = {}
        for name in self.names:
            ports |= self.discovery.open([name], self.list_of(name))
        return ports

    def client_figures(self, discovery: DiscoveryFigures) -> dict[str, ClientFigures]:
        """Returns the control traffic of each controller."""
        return discovery.clients

    def control_usage(self) -> Usage | None:
        """Returns the usage of the control role, or None if there is none."""
        return None

    def acknowledged_revisions(self) -> dict[str, list[AcknowledgedRevision]]:
        """Returns the revisions of its list that each controller acknowledged."""
        return self.discovery.acknowledged_revisions()

    def join_peers(self, keep_tables: bool = False) -> None:
        """Lets the proxies of all controllers join; they report afterwards."""
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
        """Returns the settings of a controller's peers; hollow and real ones of a number have the same."""
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
        """Reads all counters; raises SizeLimitError if memory is over the limit."""
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
        """Returns the endpoints from which those to be changed are drawn."""
        return list(self.plan.endpoints)

    def make_change(self, entry: dict) -> None:
        """Changes one endpoint's entry in the list that has the endpoint."""
        name = entry["service"] if self.settings.lists_by_service else MAIN_LIST
        at = time.monotonic()
        self.made_changes.append(MadeChange(at, name, self.discovery.change([entry], name), entry["id"]))

    def wait_for_changes(self) -> dict[str, list[float]]:
        """Waits until all changes are in force everywhere and returns the delays (s) at each controller.

        Raises NotReadyError after a timeout.
        """
        until = time.monotonic() + LAST_CHANGE_TIMEOUT_S
        while True:
            delays, missing = self.change_delays()
            if not missing:
                return delays
            if time.monotonic() > until:
                raise NotReadyError(f"{missing} changes not delivered after {LAST_CHANGE_TIMEOUT_S:.0f} s")
            sleep(POLL_INTERVAL_S)

    def change_delays(self) -> tuple[dict[str, list[float]], int]:
        """Returns the delays (s) of the changes at each controller, and the count of missing ones in all.

        A change is in force at a hollow controller once a round has run on it, at a real one once it
        acknowledges it.
        """
        acknowledged = self.acknowledged_revisions()
        if self.hollow_controllers:
            for name, one in zip(
                self.hollow_names, self.hollow_controllers.figures().controllers, strict=True
            ):
                acknowledged[name] = [
                    AcknowledgedRevision(at, revision, 0) for at, revision in one.applied_revisions
                ]
        delays, missing = {}, 0
        for name in self.names:
            made = [change for change in self.made_changes if change.list_name == self.list_of(name)]
            delivered_at = [first_acknowledged_at(acknowledged[name], change.revision) for change in made]
            delays[name] = [
                at - change.at for at, change in zip(delivered_at, made, strict=True) if at is not None
            ]
            missing += delivered_at.count(None)
        return delays, missing

    def running_processes(self) -> list[ChildProcess]:
        """Returns all processes of the trial."""
        return [one for one in (self.discovery, self.hollow_controllers, self.peers, *self.real) if one]

    def _check_memory(self) -> None:
        resident = sum(one.resident_megabytes() for one in self.running_processes()) * MEGABYTE
        if resident > self.settings.limits.memory:
            raise SizeLimitError(
                f"memory: {resident:.0f} bytes exceed the limit of {self.settings.limits.memory}"
            )

    def _wait_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while len(self.ready) < len(self.names):
            if time.monotonic() > until:
                raise NotReadyError(
                    f"{len(self.names) - len(self.ready)} controllers have no list: {self.errors()}"
                )
            sleep(POLL_INTERVAL_S)
            self._record_ready(self.acknowledged_revisions())
            self._check_memory()
        hollow = self.hollow_controllers.figures().controllers if self.hollow_controllers else []
        for name, one in zip(self.hollow_names, hollow, strict=True):
            self.ready[name] = StartupFigures(
                one.ready_after_s, one.ready_core_s, self.ready[name].bytes_received
            )

    def _record_ready(self, revisions: dict[str, list[AcknowledgedRevision]]) -> None:
        """Records the controllers that have acknowledged a revision, with startup figures of the real ones.

        Hollow controllers measure their own startup.
        """
        real = dict(zip(self.real_names, self.real, strict=True))
        for name in self.names:
            acknowledged = next((one for one in revisions[name] if one.revision), None)
            if name not in self.ready and acknowledged:
                one = real.get(name)
                after_s = max(acknowledged.at - one.started_at, one.ready_after_s) if one else 0.0
                self.ready[name] = StartupFigures(
                    after_s, one.core_seconds() if one else 0.0, acknowledged.bytes_sent
                )

    def errors(self) -> str:
        """Returns what real controllers have written to standard error."""
        return "\n".join(one.error_text() for one in self.real)


def make_changes(trials: Sequence[Trial], count: int, per_s: float) -> None:
    """Makes `count` changes in each of the trials, at the same times and at a fixed rate."""
    changes = [EndpointChanges(trial.changed_endpoints(), trial.settings.seed) for trial in trials]
    first = time.monotonic()
    for number in range(count):
        sleep(max(0.0, first + number / per_s - time.monotonic()))
        for trial, of_trial in zip(trials, changes, strict=True):
            trial.make_change(of_trial.next_entry(time.time()))


def first_acknowledged_at(acknowledged: Sequence[AcknowledgedRevision], revision: int) -> float | None:
    """Returns when a revision, or a newer one, was first acknowledged, or None."""
    return next((one.at for one in acknowledged if one.revision >= revision), None)


@contextmanager
def running(settings: TrialSettings, kind: type[Trial] = Trial) -> Iterator[Trial]:
    """Yields a trial whose processes are all ended when the `with` block is left, for whatever reason."""
    plan = plan_fleet(settings.fleet, settings.seed)
    with ExitStack() as processes:
        yield kind(settings, plan, processes)


def list_size(endpoints: Sequence[PlannedEndpoint]) -> int:
    """Returns the encoded size in bytes of all entries of a list, without the other fields of the answer."""
    return sum(len(orjson.dumps(list_entry(endpoint))) + 1 for endpoint in endpoints)
