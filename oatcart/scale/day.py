"""Plays the ordinary day of a fleet on one machine: every event becomes a change of the endpoint list.

Scaled down are the fleet and the counts of events, to a number of endpoints; the number of controllers, to
what the machine can run; and the gaps between events, which are compressed. Not scaled are the delays of
changes, which are measured in real time against the budget, and the spans that `day_schedule.py` keeps long.
The loss of a rack or a zone is one revision of the list. `day_trial.py` describes how a partition between
regions is played, `day_deliveries.py` which controllers a change affects.

The processor time of a hollow controller in a single second is that of the process of all hollow controllers
and their hollow proxies, divided by the number of controllers; for the complete day it is also measured by
the controller's own meter. As the day is compressed, a second of it has many times the changes of a real one.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from oatcart.policy.draining import FORGET_AFTER_S
from oatcart.scale.configuration import Settings
from oatcart.scale.day_deliveries import DeliveryStats, DrainStats, History, delivery_stats, drain_stats
from oatcart.scale.day_loads import RoleLoad, metered_core_share, role_loads
from oatcart.scale.day_schedule import ChangeKind, schedule
from oatcart.scale.day_trial import CompleteListTrial, DayPlayer, DayTrial, Healing
from oatcart.scale.fault_plan import plan_day
from oatcart.scale.figures import fell_behind
from oatcart.scale.fleet import FleetPlan
from oatcart.scale.hollow import ControllerTables
from oatcart.scale.interrupts import recorded_interrupts, sleep
from oatcart.scale.trial import POLL_INTERVAL_S, Reading, running
from oatcart.scale.trial_settings import TrialSettings

MIN_PARTITION_S = 5.0  # real seconds between the start and the end of a partition between regions
# The longest that a controller keeps a gone endpoint, with the time until the removal reaches it.
MAX_RETENTION_S = 2 * FORGET_AFTER_S + 2.0
VIEWS_KNOWN_TIMEOUT_S = 10.0  # after the last change, until controllers know exactly their views
Progress = Callable[[str], None]


@dataclass(frozen=True)
class DayScale:
    """How much of the fleet is played, and by how much the gaps between events are compressed."""

    nodes: int
    hollow: int
    real: int
    time_compression: float
    settle_s: float = 1.0


QUICK = DayScale(nodes=1_000, hollow=10, real=1, time_compression=4_320.0)
FULL = DayScale(nodes=2_000, hollow=24, real=2, time_compression=480.0, settle_s=3.0)
# Hollow controllers that watch the complete list take far more resources than those with a bounded view.
MAX_COMPLETE_LIST_CONTROLLERS = 4


class EndState(NamedTuple):
    """The state of all `conductors` (controllers) at the end of the day.

    `told`: controllers that were sent exactly their expected list. `known`: of the `hollow` controllers,
    those that know all endpoints of the list and otherwise only endpoints that left it lately, because a
    controller keeps the number of a gone endpoint for up to a minute; `kept` counts these endpoints over all
    hollow controllers. `tables`: controllers whose proxies hold only endpoints of the list. `unusable`: the
    services that a controller calls but has ready endpoints for in too few zones.
    """

    conductors: int
    told: int
    hollow: int
    known: int
    kept: int
    tables: int
    unusable: list[str]


@dataclass(frozen=True)
class DayResult:
    """The result of one played day; times in seconds.

    `late_s`: the longest by which a change was made later than scheduled. `hollow_late_s`: the longest by
    which the process of hollow controllers sent their peers' reports late; `hollow_was_late`: this is longer
    than their longest round, so that the machine caused part of the delays.
    """

    scale: DayScale
    whole_list: bool
    fleet: dict[str, int]
    budget_s: float
    length_s: float
    took_s: float
    paused_s: float
    late_s: float
    hollow_late_s: float
    hollow_was_late: bool
    hollow_core_share: float
    kinds: dict[ChangeKind, DeliveryStats]
    drains: DrainStats
    healings: list[Healing]
    loads: list[RoleLoad]
    end: EndState

    @property
    def complaints(self) -> list[str]:
        """The failed expectations, a line each; empty if the day passed."""
        found = [f"missed: {one}" for stats in self.kinds.values() for one in stats.missed]
        found += [f"deleted before its drain was received: {one}" for one in self.drains.missed]
        found += [
            f"over the budget of {self.budget_s:g} s: {one}"
            for stats in self.kinds.values()
            for one in stats.over_budget
        ]
        found += [f"not usable: {one}" for one in self.end.unusable]
        if self.end.told < self.end.conductors:
            found.append(f"{self.end.conductors - self.end.told} controllers were not sent their view")
        if self.end.known < self.end.hollow:
            found.append(f"{self.end.hollow - self.end.known} hollow controllers do not know their view")
        if self.end.tables < self.end.conductors:
            found.append(
                f"{self.end.conductors - self.end.tables} controllers have proxies that hold other endpoints"
            )
        for healing in self.healings:
            if healing.caught_up_s is None:
                found.append(f"{healing.region}: not all controllers caught up")
            if healing.moved_needlessly:
                found.append(f"{healing.region}: {healing.moved_needlessly} endpoints moved needlessly")
        return found


def play_day(
    settings: Settings,
    scale: DayScale,
    whole_list: bool = False,
    progress: Progress = lambda line: None,
    kind: type[DayTrial] | None = None,
    player_kind: type[DayPlayer] = DayPlayer,
) -> DayResult:
    """Plays the day of the configured fleet at a scale; all processes are ended when it returns or raises.

    Raises FaultPlanError if the day does not fit into so small a fleet, SizeLimitError, NotReadyError and
    ChildError.
    """
    if whole_list:
        scale = replace(scale, hollow=min(scale.hollow, MAX_COMPLETE_LIST_CONTROLLERS))
    with (
        recorded_interrupts() as interrupts,
        running(
            trial_settings(settings, scale), kind or (CompleteListTrial if whole_list else DayTrial)
        ) as trial,
    ):
        day = replace(
            settings.day.scaled(scale.nodes / settings.fleet.nodes), time_compression=scale.time_compression
        )
        day_plan = plan_day(trial.plan, day, settings.seed)
        steps = schedule(day_plan.events, settings.budgets.change_in_force, MIN_PARTITION_S)
        progress(f"{fleet_text(trial.plan)}; {len(day_plan.events)} events in {day_plan.length_s:.0f} s")
        trial.start()
        trial.join_peers(keep_tables=True)
        interrupts.sleep(scale.settle_s)
        progress("all controllers are ready, the day begins")
        before = trial.read()
        player = player_kind(trial, interrupts.sleep)
        player.play(steps, day_plan.length_s)
        after = trial.read()
        progress("the day has ended")
        end = end_state(player)
        return result_of(settings, scale, whole_list, player, (before, after), end, day_plan.length_s)


def trial_settings(settings: Settings, scale: DayScale) -> TrialSettings:
    """Returns the settings of the trial on which a day is played."""
    return TrialSettings(
        fleet=replace(settings.fleet.scaled_to(scale.nodes), conductors=scale.hollow + scale.real),
        seed=settings.seed,
        hollow=scale.hollow,
        real=scale.real,
        proxies=settings.fleet.proxies_per_conductor,
        limits=settings.limits,
        view=settings.view,
    )


def end_state(player: DayPlayer) -> EndState:
    """Returns the state of the controllers after the last change, once they settled or a timeout passed."""
    trial = player.trial
    player.wait_settled(trial.names)
    until = time.monotonic() + VIEWS_KNOWN_TIMEOUT_S
    while True:
        held, removed = trial.controller_tables(), removed_since(trial, time.monotonic() - MAX_RETENTION_S)
        views = {name: trial.expected.view(name) for name in trial.names}
        known = [name for name in trial.hollow_names if is_known(held[name], views[name], removed[name])]
        tables = [name for name in trial.names if table_endpoints(held[name]) <= views[name]]
        if (known, tables) == (trial.hollow_names, trial.names) or time.monotonic() > until:
            break
        sleep(POLL_INTERVAL_S)
    received = trial.relay.views().views
    return EndState(
        conductors=len(trial.names),
        told=len(trial.with_expected_views(trial.names)),
        hollow=len(trial.hollow_names),
        known=len(known),
        kept=sum(len(set(held[name].known) - views[name]) for name in trial.hollow_names),
        tables=len(tables),
        unusable=[
            f"{name}: {service}"
            for name in trial.names
            for service in trial.expected.unusable(name, received[name])
        ],
    )


def removed_since(trial: DayTrial, since: float) -> dict[str, set[str]]:
    """Returns for each controller the endpoints whose removal from its list it received since a moment."""
    return {
        name: {one.endpoint for one in received if one.state is None and one.at >= since}
        for name, received in trial.relay.received_states().items()
    }


def is_known(held: ControllerTables, view: frozenset[str], removed: set[str]) -> bool:
    """Returns whether a hollow controller knows its complete view and else only `removed` endpoints."""
    return view <= set(held.known) <= view | removed


def table_endpoints(held: ControllerTables) -> set[str]:
    """Returns the endpoints that a controller's proxies may send requests to."""
    return {
        endpoint
        for table in held.tables.values()
        for weights in table["weights"].values()
        for endpoint, weight in weights.items()
        if weight > 0
    }


def result_of(
    settings: Settings,
    scale: DayScale,
    whole_list: bool,
    player: DayPlayer,
    readings: tuple[Reading, Reading],
    end: EndState,
    length_s: float,
) -> DayResult:
    """Returns the result of a played day."""
    trial, (before, after) = player.trial, readings
    history = History(trial.first_entries, player.changes, trial.relay.received_states())
    disconnections = [healing.disconnection for healing in player.healings]
    budget_s = settings.budgets.change_in_force
    return DayResult(
        scale=scale,
        whole_list=whole_list,
        fleet=fleet_counts(trial.plan),
        budget_s=budget_s,
        length_s=length_s,
        took_s=after.at - before.at,
        paused_s=player.paused_s,
        late_s=player.late_s,
        hollow_late_s=after.hollow.late_s if after.hollow else 0.0,
        hollow_was_late=bool(after.hollow and fell_behind(after.hollow)),
        hollow_core_share=metered_core_share(before, after),
        kinds=delivery_stats(history, trial.expected, disconnections, budget_s),
        drains=drain_stats(history, disconnections),
        healings=player.healings,
        loads=role_loads(player),
        end=end,
    )


def fleet_counts(plan: FleetPlan) -> dict[str, int]:
    """Returns the counts of endpoints, services, zones and regions of the fleet as played."""
    return {
        "nodes": len(plan.endpoints),
        "services": len(plan.services),
        "zones": len(plan.zone_regions),
        "regions": len(plan.regions),
    }


def fleet_text(plan: FleetPlan) -> str:
    """Returns the counts of the fleet as played, as text."""
    return ", ".join(f"{count} {name}" for name, count in fleet_counts(plan).items())
