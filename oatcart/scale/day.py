"""The ordinary day of a fleet, played on one machine: every event becomes a change of the list of endpoints.

What is scaled: the fleet and the counts of events, to so many endpoints; the controllers, to what the machine
bears; and the gaps between events, which are compressed. Not scaled are the delays of changes, which are
measured in real time against the budget, and what `day_schedule.py` keeps long. A rack or a zone is lost as
one revision of the list. What a cut between regions means here tells `day_trial.py`; which controllers a
change concerns tells `day_deliveries.py`.

Processor time of a hollow controller in a single second is that of the process of all of them, its hollow
proxies too, divided by their number; that of the whole day is also read by its own meter. As the day is
compressed, a second of it has many times the changes of a real one.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from oatcart.policy.draining import FORGET_AFTER_S
from oatcart.scale.configuration import Settings
from oatcart.scale.day_deliveries import Deliveries, Drains, History, deliveries, drains
from oatcart.scale.day_loads import RoleLoad, metered_core_share, role_loads
from oatcart.scale.day_schedule import Kind, schedule
from oatcart.scale.day_trial import DayPlayer, DayTrial, Healing, WholeListTrial
from oatcart.scale.fault_plan import plan_day
from oatcart.scale.figures import fell_behind
from oatcart.scale.fleet import FleetPlan
from oatcart.scale.hollow import HeldTables
from oatcart.scale.interrupts import recorded_interrupts
from oatcart.scale.trial import LOOK_EVERY_S, Reading, running
from oatcart.scale.trial_settings import TrialSettings

LEAST_CUT_S = 5.0  # of a cut between regions, in real time
KEPT_MOST_S = (
    2 * FORGET_AFTER_S + 2.0
)  # that a controller keeps a gone endpoint, and as long as it takes to be told
KNOWN_WITHIN_S = 10.0  # after the last change, until controllers know exactly their views
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
WHOLE_LIST_MOST = 4  # hollow controllers that follow the whole list: each of them takes far more


class EndState(NamedTuple):
    """How controllers stand at the end of the day, of `conductors` in all.

    `told`: were told exactly the list they ought to have. `known`: of `hollow` ones those that know all
    endpoints of it and no others but such as have left it lately, of which there are `kept` in all: a
    controller keeps the number of a gone endpoint for up to a minute. `tables`: controllers whose proxies
    hold endpoints of the list alone. `unusable`: services of controllers with ready endpoints in too few
    zones.
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
    """One played day; times in seconds. `late_s`: the most by which a change was made late.

    `hollow_late_s`: the most by which the process of hollow controllers was late with their reports;
    `hollow_was_late` tells that this is more than their own longest round, so that delays are the machine's.
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
    kinds: dict[Kind, Deliveries]
    drains: Drains
    healings: list[Healing]
    loads: list[RoleLoad]
    end: EndState

    @property
    def complaints(self) -> list[str]:
        """All that ought not to be, a line each; none where the day went well."""
        found = [f"missed: {one}" for kind in self.kinds.values() for one in kind.missed]
        found += [f"deleted before its drain was had: {one}" for one in self.drains.missed]
        found += [
            f"over the budget of {self.budget_s:g} s: {one}"
            for kind in self.kinds.values()
            for one in kind.late
        ]
        found += [f"not usable: {one}" for one in self.end.unusable]
        if self.end.told < self.end.conductors:
            found.append(f"{self.end.conductors - self.end.told} conductors were not told their view")
        if self.end.known < self.end.hollow:
            found.append(f"{self.end.hollow - self.end.known} hollow conductors do not know their view")
        if self.end.tables < self.end.conductors:
            found.append(f"{self.end.conductors - self.end.tables} have proxies that hold other nodes")
        for healing in self.healings:
            if healing.caught_up_s is None:
                found.append(f"{healing.region}: not all conductors caught up")
            if healing.moved_needlessly:
                found.append(f"{healing.region}: {healing.moved_needlessly} nodes moved without need")
        return found


def play_day(
    settings: Settings,
    scale: DayScale,
    whole_list: bool = False,
    progress: Progress = lambda line: None,
    kind: type[DayTrial] | None = None,
    player_kind: type[DayPlayer] = DayPlayer,
) -> DayResult:
    """Plays the day of a file's fleet at a scale; all processes are ended when it returns or raises.

    Raises FaultPlanError where the day does not fit into so small a fleet, SizeLimitError, NotReadyError,
    ChildError.
    """
    if whole_list:
        scale = replace(scale, hollow=min(scale.hollow, WHOLE_LIST_MOST))
    with (
        recorded_interrupts() as interrupts,
        running(
            trial_settings(settings, scale), kind or (WholeListTrial if whole_list else DayTrial)
        ) as trial,
    ):
        day = replace(
            settings.day.scaled(scale.nodes / settings.fleet.nodes), time_compression=scale.time_compression
        )
        drawn = plan_day(trial.plan, day, settings.seed)
        steps = schedule(drawn.events, settings.budgets.change_in_force, LEAST_CUT_S)
        progress(f"{fleet_text(trial.plan)}; {len(drawn.events)} events in {drawn.length_s:.0f} s")
        trial.start()
        trial.join_peers(keep_orders=True)
        interrupts.sleep(scale.settle_s)
        progress("all are ready, the day begins")
        before = trial.read()
        player = player_kind(trial, interrupts.sleep)
        player.play(steps, drawn.length_s)
        after = trial.read()
        progress("the day has ended")
        end = end_state(player)
        return result_of(settings, scale, whole_list, player, (before, after), end, drawn.length_s)


def trial_settings(settings: Settings, scale: DayScale) -> TrialSettings:
    """The controllers and the fleet of a played day."""
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
    """How controllers stand once no more changes are made; they get some time to come to it."""
    trial = player.trial
    player.wait_settled(trial.names)
    until = time.monotonic() + KNOWN_WITHIN_S
    while True:
        held, left = trial.held_tables(), endpoints_left_since(trial, time.monotonic() - KEPT_MOST_S)
        views = {name: trial.expected.view(name) for name in trial.names}
        known = [name for name in trial.hollow_names if is_known(held[name], views[name], left[name])]
        tables = [name for name in trial.names if table_endpoints(held[name]) <= views[name]]
        if (known, tables) == (trial.hollow_names, trial.names) or time.monotonic() > until:
            break
        time.sleep(LOOK_EVERY_S)
    told = trial.relay.views().views
    return EndState(
        conductors=len(trial.names),
        told=len(trial.told_as_expected(trial.names)),
        hollow=len(trial.hollow_names),
        known=len(known),
        kept=sum(len(set(held[name].known) - views[name]) for name in trial.hollow_names),
        tables=len(tables),
        unusable=[
            f"{name}: {service}"
            for name in trial.names
            for service in trial.expected.unusable(name, told[name])
        ],
    )


def endpoints_left_since(trial: DayTrial, since: float) -> dict[str, set[str]]:
    """By controller the endpoints that it was told have left its list, since a moment."""
    return {
        name: {word.endpoint for word in words if word.state is None and word.at >= since}
        for name, words in trial.relay.words().items()
    }


def is_known(held: HeldTables, view: frozenset[str], left: set[str]) -> bool:
    """Whether a hollow controller knows its whole view, and no other endpoints but those that left lately."""
    return view <= set(held.known) <= view | left


def table_endpoints(held: HeldTables) -> set[str]:
    """The endpoints that a controller's proxies may send to."""
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
    """Everything that a played day has shown."""
    trial, (before, after) = player.trial, readings
    history = History(trial.first_entries, player.changes, trial.relay.words())
    cuts = [healing.cut for healing in player.healings]
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
        kinds=deliveries(history, trial.expected, cuts, budget_s),
        drains=drains(history, cuts),
        healings=player.healings,
        loads=role_loads(player),
        end=end,
    )


def fleet_counts(plan: FleetPlan) -> dict[str, int]:
    """The counts of the fleet as played."""
    return {
        "nodes": len(plan.endpoints),
        "services": len(plan.services),
        "zones": len(plan.zone_regions),
        "regions": len(plan.regions),
    }


def fleet_text(plan: FleetPlan) -> str:
    """The counts of the fleet as played, in words."""
    return ", ".join(f"{count} {name}" for name, count in fleet_counts(plan).items())
