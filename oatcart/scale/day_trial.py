"""The processes that a day is played on, and the player that makes its changes.

The processes are those of a trial behind the control role; the relay records all states that controllers are
sent. In a second variant controllers watch the complete list, through the same relay and without a control
role.

A partition between two regions is played with one discovery and one control role: the control role counts
as part of the region with fewer controllers, and the controllers of the other region get no answers from it
until the partition ends. They keep their last list and go on. The control role still reaches discovery, so
that the list goes on changing. Before and after a partition the day waits until all controllers have their
views, so that the endpoints that moved meanwhile can be counted exactly.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import orjson

from oatcart.scale.day_deliveries import Disconnection
from oatcart.scale.day_relay import DayRelay
from oatcart.scale.day_schedule import Change, ListedEndpoints, Step, is_partition_event, kind_of
from oatcart.scale.day_views import UNBOUNDED, ExpectedViews
from oatcart.scale.discovery import ClientFigures
from oatcart.scale.fault_plan import Event, RegionsCut
from oatcart.scale.fleet import FleetPlan
from oatcart.scale.hollow import ControllerTables
from oatcart.scale.real import NotReadyError
from oatcart.scale.trial import POLL_INTERVAL_S, Trial
from oatcart.scale.trial_settings import TrialSettings
from oatcart.scale.view_trial import ViewTrial
from oatcart.views.configuration import Configuration
from oatcart.views.configuration_file import read as read_views
from oatcart.views.records import Controller

SAMPLE_INTERVAL_S = 1.0
SETTLE_TIMEOUT_S = 15.0  # until all controllers have their views, while no change is made


class Sample(NamedTuple):
    """All counters at a moment (monotonic seconds).

    `*_core_s`: processor seconds of the processes; `clients`: the traffic of each controller; `source`: that
    of each client of discovery.
    """

    at: float
    control_core_s: float
    hollow_core_s: float
    real_core_s: list[float]
    clients: dict[str, ClientFigures]
    source: dict[str, ClientFigures]


class Healing(NamedTuple):
    """A partition between two regions as it was played; `region`: the one whose controllers were cut off.

    `changes`: changes made meanwhile. `caught_up_s`: real seconds from the end of the partition until the
    last controller had its view; None: never. `bytes_received`: by all controllers that were cut off, until
    then. `moved`: endpoints that were added to or removed from their views; `had_to_move`: those that the
    changes account for; `moved_needlessly`: all others.
    """

    first: str
    second: str
    region: str
    disconnection: Disconnection
    changes: int
    caught_up_s: float | None
    bytes_received: int
    moved: int
    had_to_move: int
    moved_needlessly: int


class OngoingPartition(NamedTuple):
    """A partition that has not ended, with the state at its start.

    `sent`, `expected`: the endpoints of each controller that is cut off; `traffic`: that of each controller.
    """

    disconnection: Disconnection
    region: str
    sent: dict[str, frozenset[str]]
    expected: dict[str, frozenset[str]]
    traffic: dict[str, ClientFigures]
    changes: int


class DayTrial(ViewTrial):
    """A day behind the control role."""

    def __init__(self, settings: TrialSettings, plan: FleetPlan, processes: ExitStack) -> None:
        super().__init__(settings, plan, processes)
        self.relay.end()  # a trial's relay records less
        self.relay: DayRelay = processes.enter_context(DayRelay())
        self.listed = ListedEndpoints(plan)
        self.first_entries = self.listed.entries()
        self.expected: ExpectedViews | None = None
        self.views_file: dict = {}

    def control_configuration(self, source_port: int, main_port: int, served: dict[str, int]) -> dict:
        """Returns the control role's configuration and keeps it, to compute the expected views from it."""
        self.views_file = super().control_configuration(source_port, main_port, served)
        return self.views_file

    def start(self) -> None:
        """Starts the trial and computes the views that controllers have at first."""
        super().start()
        self.expected = self.expected_views()

    def expected_views(self) -> ExpectedViews:
        """Returns the expected views by the configuration of the control role."""
        configuration = views_configuration(self.views_file)
        records = [controller.record for controller in configuration.controllers]
        return ExpectedViews(records, configuration.limits, configuration.seed, self.first_entries)

    def sample(self) -> Sample:
        """Returns the counters that are sampled every second."""
        return Sample(
            time.monotonic(),
            self.control.core_seconds() if self.control else 0.0,
            self.hollow_controllers.core_seconds() if self.hollow_controllers else 0.0,
            [one.core_seconds() for one in self.real],
            self.relay.clients(),
            self.discovery.figures().clients,
        )

    def controllers_of(self, region: str) -> frozenset[str]:
        """Returns the controllers that run in a region."""
        return frozenset(name for name in self.names if self.planned(name).region == region)

    def with_expected_views(self, names: Sequence[str]) -> list[str]:
        """Returns those of the controllers that were sent exactly their expected list.

        None of them as long as the relay has unacknowledged states.
        """
        received = self.relay.views()
        if received.pending:
            return []
        return [name for name in names if received.views[name] == self.expected.states(name)]

    def controller_tables(self) -> dict[str, ControllerTables]:
        """Returns for each controller what its proxies hold and, if hollow, which endpoints it knows."""
        hollow = self.hollow_controllers.tables() if self.hollow_controllers else []
        real = self.peers.tables() if self.peers else []
        return dict(zip(self.names, [*hollow, *real], strict=True))


class CompleteListTrial(DayTrial):
    """A day of controllers that watch the complete list, at discovery."""

    def check_fits(self) -> None:
        """Checks the same limits as a trial without the control role."""
        Trial.check_fits(self)

    def open_ports(self) -> dict[str, int]:
        """Returns the relay's port for each controller, in front of that of discovery."""
        return self.relay.open(Trial.open_ports(self))

    def _wait_ready(self) -> None:
        Trial._wait_ready(self)

    def control_usage(self) -> None:
        """Returns None, as there is no control role."""
        return None

    def expected_views(self) -> ExpectedViews:
        """Returns the expected views: for every controller the complete list."""
        records = [
            Controller(name, self.planned(name).region, self.planned(name).zone, ()) for name in self.names
        ]
        return ExpectedViews(records, UNBOUNDED, self.settings.seed, self.first_entries)


def views_configuration(settings: dict) -> Configuration:
    """Returns the configuration that the control role reads from a file with these settings."""
    with TemporaryDirectory() as directory:
        path = Path(directory, "views.yaml")
        path.write_bytes(orjson.dumps(settings))
        return read_views(path)


class DayPlayer:
    """Plays the steps of a day at a trial that has started; tests may replace `sleep`."""

    def __init__(self, trial: DayTrial, sleep: Callable[[float], None] = time.sleep) -> None:
        self.trial, self._sleep = trial, sleep
        self.changes: list[Change] = []
        self.samples: list[Sample] = []
        self.healings: list[Healing] = []
        self.late_s = 0.0  # the longest by which a step was played later than scheduled
        self.paused_s = 0.0  # time for which the day waited for controllers, around partitions
        self._day_began = self._next_sample = 0.0
        self._partition: OngoingPartition | None = None

    def play(self, steps: Sequence[Step], length_s: float) -> None:
        """Makes all changes at their times and returns at `length_s` or later; raises ChildError."""
        self._day_began = self._next_sample = time.monotonic()
        for step in steps:
            self._wait_until(step.at_s)
            self.late_s = max(self.late_s, time.monotonic() - self._day_began - step.at_s)
            if is_partition_event(step.events[0]):
                for event in step.events:
                    self._start_or_end_partition(event)
                    if isinstance(event, RegionsCut):
                        # a partition that starts late must last as long as planned
                        self._day_began = max(self._day_began, time.monotonic() - step.at_s)
            else:
                self.make(step.events)
        self._wait_until(length_s)
        self.samples.append(self.trial.sample())

    def make(self, events: Sequence[Event]) -> None:
        """Makes one revision of the list from the events of a step."""
        entries = self.trial.listed.change(tuple(events), time.time())
        if entries:
            self.changes.append(Change(time.monotonic(), kind_of(events[0]), tuple(entries)))
            self.trial.discovery.change(entries)

    def wait_settled(self, names: Sequence[str]) -> float | None:
        """Waits until these controllers have their views and returns the seconds; None after the timeout.

        No change may be made meanwhile.
        """
        started = time.monotonic()
        self.trial.expected.apply(self.changes)
        while time.monotonic() < started + SETTLE_TIMEOUT_S:
            if len(self.trial.with_expected_views(names)) == len(names):
                return time.monotonic() - started
            self._sample_if_due()
            self._sleep(POLL_INTERVAL_S)
        return None

    def _wait_until(self, at_s: float) -> None:
        """Sleeps until a time of the day's clock, which stops during pauses; takes samples when due."""
        while (now := time.monotonic()) < self._day_began + at_s:
            if not self._sample_if_due():
                self._sleep(max(0.0, min(self._day_began + at_s, self._next_sample) - now))
        self._sample_if_due()

    def _sample_if_due(self) -> bool:
        if time.monotonic() < self._next_sample:
            return False
        self.samples.append(self.trial.sample())
        self._next_sample = self.samples[-1].at + SAMPLE_INTERVAL_S
        return True

    def _start_or_end_partition(self, event: Event) -> None:
        """Starts or ends a partition between two regions; the day's clock stops meanwhile."""
        began = time.monotonic()
        if isinstance(event, RegionsCut):
            self._start_partition(event)
        elif self._partition:
            self._end_partition(event)
        took = time.monotonic() - began
        self._day_began += took
        self.paused_s += took

    def _start_partition(self, event: RegionsCut) -> None:
        if self._partition:
            raise NotReadyError("two partitions at once are not supported")
        trial = self.trial
        region = max(event.second, event.first, key=lambda name: len(trial.controllers_of(name)))
        names = trial.controllers_of(region)
        self.wait_settled(trial.names)
        sent, disconnection = trial.relay.views().views, Disconnection(names, time.monotonic(), float("inf"))
        trial.relay.cut(names)
        self._partition = OngoingPartition(
            disconnection,
            region,
            {name: frozenset(sent[name]) for name in names},
            {name: trial.expected.view(name) for name in names},
            trial.relay.clients(),
            len(self.changes),
        )

    def _end_partition(self, event: Event) -> None:
        trial, begun = self.trial, self._partition
        self._partition = None
        disconnection = begun.disconnection._replace(until=time.monotonic())
        trial.relay.join(disconnection.controllers)
        caught_up_s = self.wait_settled(sorted(disconnection.controllers))
        sent, traffic = trial.relay.views().views, trial.relay.clients()
        moved = {
            (name, endpoint)
            for name in disconnection.controllers
            for endpoint in begun.sent[name] ^ sent[name].keys()
        }
        had_to_move = {
            (name, endpoint)
            for name in disconnection.controllers
            for endpoint in begun.expected[name] ^ trial.expected.view(name)
        }
        bytes_received = [
            traffic[name].bytes_in - begun.traffic[name].bytes_in for name in disconnection.controllers
        ]
        self.healings.append(
            Healing(
                event.first,
                event.second,
                begun.region,
                disconnection,
                len(self.changes) - begun.changes,
                caught_up_s,
                sum(bytes_received),
                len(moved),
                len(had_to_move),
                len(moved - had_to_move),
            )
        )
