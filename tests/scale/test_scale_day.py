"""A played day: schedules, deliveries, the relay, days of few endpoints, partitions and interrupts."""

import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import orjson
import pytest

from oatcart.scale.__main__ import main
from oatcart.scale.configuration import DaySettings, FleetSettings, Settings, ViewSettings
from oatcart.scale.day import DayResult, DayScale, is_known, play_day, table_endpoints
from oatcart.scale.day_deliveries import Disconnection, History, delivery_stats, drain_stats
from oatcart.scale.day_relay import DayClient, ReceivedState, entry_state
from oatcart.scale.day_report import day_json, day_text
from oatcart.scale.day_schedule import Change, ChangeKind, ListedEndpoints, Step, schedule
from oatcart.scale.day_trial import DayPlayer
from oatcart.scale.day_views import UNBOUNDED, ExpectedViews
from oatcart.scale.fault_plan import (
    Cause,
    ConfigurationChanged,
    NodeDeleted,
    NodeDraining,
    NodeLost,
    NodeReturned,
    RegionsCut,
    RegionsRejoined,
    plan_day,
)
from oatcart.scale.fleet import plan_fleet
from oatcart.scale.hollow import ControllerTables
from oatcart.scale.interrupts import Interrupted, recorded_interrupts
from oatcart.views.records import Controller

ENDPOINTS = 60
SMALL_FLEET = replace(FleetSettings().scaled_to(ENDPOINTS), regions=2, zones=6, services=6, nodes_per_rack=4)
SMALL_DAY = DaySettings(
    failures=2, restarts=4, rack_losses=0, zone_losses=0, partitions=0, changes=12, burst_size=3
)
SMALL = DayScale(nodes=ENDPOINTS, hollow=3, real=0, time_compression=172_800.0, settle_s=0.1)
MIN_PARTITION_S = 0.4  # long enough for changes in the meantime
ENDED_WITHIN_S = 10.0


def small_settings(day: DaySettings = SMALL_DAY, drain_s: float = 1.0) -> Settings:
    settings = Settings(fleet=SMALL_FLEET, day=day, view=ViewSettings(nodes=40))
    return replace(settings, budgets=replace(settings.budgets, change_in_force=drain_s))


def play_small(
    day: DaySettings = SMALL_DAY, whole_list: bool = False, player_kind: type[DayPlayer] = DayPlayer
) -> DayResult:
    return play_day(small_settings(day), SMALL, whole_list, player_kind=player_kind)


# Schedules.


def test_a_drain_lasts_its_minimum_and_the_return_moves_with_it() -> None:
    events = [NodeDraining(1.0, "x"), NodeDeleted(1.1, "x"), NodeReturned(1.3, "x", Cause.RESTART)]
    steps = schedule(events, 5.0, 5.0)
    assert [step.at_s for step in steps] == pytest.approx([1.0, 6.0, 6.2])
    assert [type(step.events[0]) for step in steps] == [NodeDraining, NodeDeleted, NodeReturned]


def test_a_later_outage_of_an_endpoint_waits_for_the_end_of_its_drain() -> None:
    events = [
        NodeDraining(1.0, "x"),
        NodeDeleted(1.1, "x"),
        NodeReturned(1.3, "x", Cause.RESTART),
        NodeLost(2.0, "x", Cause.FAILURE),
        NodeLost(2.0, "y", Cause.FAILURE),
    ]
    steps = schedule(events, 5.0, 5.0)
    assert [
        (step.at_s, step.events[0].endpoint) for step in steps if isinstance(step.events[0], NodeLost)
    ] == [
        (2.0, "y"),
        (pytest.approx(6.2), "x"),
    ]


def test_a_lost_zone_is_one_step_and_a_partition_lasts_its_minimum() -> None:
    events = [
        NodeLost(1.0, "x", Cause.ZONE_LOSS),
        NodeLost(1.0, "y", Cause.ZONE_LOSS),
        RegionsCut(2.0, "a", "b"),
        RegionsRejoined(2.1, "a", "b"),
    ]
    steps = schedule(events, 5.0, 3.0)
    assert [(step.at_s, len(step.events)) for step in steps] == [(1.0, 2), (2.0, 1), (5.0, 1)]


def test_every_event_of_a_drawn_day_is_scheduled_once() -> None:
    plan = plan_fleet(SMALL_FLEET, 1)
    events = plan_day(plan, replace(SMALL_DAY, partitions=1, rack_losses=1, zone_losses=1), 1).events
    steps = schedule(events, 5.0, 5.0)
    assert sorted(map(repr, events)) == sorted(repr(event) for step in steps for event in step.events)
    assert [step.at_s for step in steps] == sorted(step.at_s for step in steps)


def test_each_change_gives_an_endpoint_a_distinct_entry() -> None:
    plan = plan_fleet(SMALL_FLEET, 1)
    listed, endpoint = ListedEndpoints(plan), plan.endpoints[0]
    entries = [entry for entry in listed.entries() if entry["id"] == endpoint.id]
    entries += listed.change((NodeDraining(0.0, endpoint.id),), 1.0)
    entries += listed.change((NodeDeleted(0.0, endpoint.id),), 2.0)
    assert endpoint.id not in {entry["id"] for entry in listed.entries()}
    entries += listed.change((NodeReturned(0.0, endpoint.id, Cause.RESTART),), 3.0)
    for number in range(200):
        route = plan.services.index(endpoint.service)
        entries += listed.change((ConfigurationChanged(0.0, number, endpoint.service, route, None),), 4.0)
    own = [entry_state(entry) for entry in entries if entry["id"] == endpoint.id]
    assert len(own) > 100 and len(set(own)) == len(own)


# Deliveries of changes.

ENTRIES = [
    {
        "id": name,
        "host_port": "10.0.0.1:8080",
        "locality": zone,
        "phase": "SERVING",
        "size": 1.0,
        "up_since_ms": 0,
        "service": "s",
        "region": "r",
    }
    for name, zone in (("x", "z1"), ("y", "z2"))
]
FIRST = entry_state(ENTRIES[0])
DRAINING = FIRST._replace(phase="DRAINING")
BACK = FIRST._replace(up_since_ms=5)
DRAIN_CHANGES = [
    Change(10.0, ChangeKind.DRAIN, (ENTRIES[0] | {"phase": "DRAINING"},)),
    Change(15.0, ChangeKind.DELETE, (ENTRIES[0] | {"phase": "DELETED"},)),
    Change(20.0, ChangeKind.RETURN, (ENTRIES[0] | {"up_since_ms": 5},)),
]


def played_day(
    *states: ReceivedState, others: dict[str, list[ReceivedState]] | None = None
) -> tuple[History, ExpectedViews]:
    """A day of a controller that had `x` from the start and received these states, and of others if given."""
    received = {"c": [ReceivedState(1.0, "x", FIRST), *states]} | (others or {})
    expected = ExpectedViews([Controller(name, "r", "z1", ()) for name in received], UNBOUNDED, 1, ENTRIES)
    expected.apply(DRAIN_CHANGES)
    return History(ENTRIES, DRAIN_CHANGES, received), expected


def test_states_received_in_time_count_as_delays() -> None:
    history, expected = played_day(
        ReceivedState(10.5, "x", DRAINING), ReceivedState(15.25, "x", None), ReceivedState(21.0, "x", BACK)
    )
    found = delivery_stats(history, expected, [], 5.0)
    assert [found[kind].delays for kind in (ChangeKind.DRAIN, ChangeKind.DELETE, ChangeKind.RETURN)] == [
        [0.5],
        [0.25],
        [1.0],
    ]
    assert not any(kind.missed or kind.unheld for kind in found.values())
    assert drain_stats(history, []).reached == 1 and drain_stats(history, []).missed == []


def test_a_controller_that_does_not_receive_a_drain_is_missed() -> None:
    without_drain = {
        "other": [
            ReceivedState(1.0, "x", FIRST),
            ReceivedState(15.1, "x", None),
            ReceivedState(20.1, "x", BACK),
        ]
    }
    history, expected = played_day(
        ReceivedState(10.5, "x", DRAINING),
        ReceivedState(15.25, "x", None),
        ReceivedState(21.0, "x", BACK),
        others=without_drain,
    )
    found = drain_stats(history, [])
    assert (found.reached, found.missed) == (1, ["other: x"])
    without_changes = {"other": [ReceivedState(1.0, "x", FIRST)]}
    found = delivery_stats(*played_day(others=without_changes), [], 5.0)
    assert len(found[ChangeKind.DRAIN].missed) == 2 and len(found[ChangeKind.RETURN].missed) == 2


def test_a_drain_received_after_the_deletion_is_missed() -> None:
    history, _ = played_day(ReceivedState(15.01, "x", DRAINING), ReceivedState(15.02, "x", None))
    assert drain_stats(history, []).missed == ["c: x"]


def test_an_older_state_does_not_count_as_the_change() -> None:
    history, expected = played_day(
        ReceivedState(10.1, "x", FIRST), ReceivedState(12.0, "x", DRAINING), ReceivedState(15.1, "x", None)
    )
    assert delivery_stats(history, expected, [], 5.0)[ChangeKind.DRAIN].delays == [2.0]


def overtaken_return(dropped_at: float) -> tuple[int, list[str]]:
    """Returns the overtaken pairs and those over budget of a return at 20.

    The endpoint is removed at `dropped_at`, and the controller receives its next state at 30.
    """
    back = ENTRIES[0] | {"up_since_ms": 5}
    changes = [
        *DRAIN_CHANGES,
        Change(dropped_at, ChangeKind.FAILURE, (back | {"phase": "DELETED"},)),
        Change(29.0, ChangeKind.RETURN, (back | {"up_since_ms": 9},)),
    ]
    expected = ExpectedViews([Controller("c", "r", "z1", ())], UNBOUNDED, 1, ENTRIES)
    expected.apply(changes)
    states = [
        ReceivedState(1.0, "x", FIRST),
        ReceivedState(10.5, "x", DRAINING),
        ReceivedState(15.5, "x", None),
    ]
    received = [*states, ReceivedState(30.0, "x", BACK._replace(up_since_ms=9))]
    found = delivery_stats(History(ENTRIES, changes, {"c": received}), expected, [], 5.0)[ChangeKind.RETURN]
    return found.overtaken, found.over_budget


def test_a_returned_endpoint_removed_within_the_budget_is_overtaken() -> None:
    assert overtaken_return(dropped_at=22.0) == (1, [])
    assert overtaken_return(dropped_at=26.0) == (0, ["node back: x: c: 10.00 s"])


def test_changes_are_counted_separately_for_a_controller_that_is_cut_off() -> None:
    history, expected = played_day(ReceivedState(17.0, "x", None), ReceivedState(20.5, "x", BACK))
    disconnection = Disconnection(frozenset("c"), 9.0, 16.0)
    found = delivery_stats(history, expected, [disconnection], 5.0)
    assert (
        found[ChangeKind.DRAIN].cut_off,
        found[ChangeKind.DELETE].cut_off,
        found[ChangeKind.RETURN].cut_off,
    ) == (1, 1, 0)
    drains = drain_stats(history, [disconnection])
    assert (drains.reached, drains.cut_off, drains.missed) == (0, 1, [])
    assert drain_stats(history, [disconnection._replace(controllers=frozenset("d"))]).missed == ["c: x"]


def test_a_change_of_an_endpoint_in_no_list_affects_no_controller() -> None:
    change = Change(10.0, ChangeKind.CONFIGURATION, (ENTRIES[1] | {"size": 2.0},))
    history = History(ENTRIES, [change], {"c": [ReceivedState(1.0, "x", FIRST)]})
    expected = ExpectedViews([Controller("c", "r", "z1", ())], UNBOUNDED, 1, ENTRIES)
    found = delivery_stats(history, expected, [], 5.0)[ChangeKind.CONFIGURATION]
    assert (found.endpoints, found.unheld, found.pairs) == (1, 1, 0)


def test_a_service_with_one_ready_zone_of_two_is_not_usable() -> None:
    expected = ExpectedViews([Controller("c", "r", "z1", ("s",))], UNBOUNDED, 1, ENTRIES)
    assert expected.unusable("c", ["x", "y"]) == []
    assert expected.unusable("c", ["x"]) == ["s"]
    expected.apply([Change(1.0, ChangeKind.DRAIN, (ENTRIES[1] | {"phase": "DRAINING"},))])
    assert expected.unusable("c", ["x", "y"]) == [] and expected.unusable("c", ["y"]) == ["s"]


def test_known_endpoints_may_include_those_that_left_the_view_lately() -> None:
    held = ControllerTables({"0": {"weights": {"route": {"x": 1.0, "y": 0.0}}}}, ["x", "old"])
    assert is_known(held, frozenset("x"), {"old"}) and table_endpoints(held) == {"x"}
    assert not is_known(held, frozenset("x"), set())
    assert not is_known(held, frozenset("xy"), {"old"})


# The relay.


def body(revision: int, complete: bool, *entries: dict) -> bytes:
    return orjson.dumps({"revision": revision, "complete": complete, "members": entries})


def test_the_relay_records_each_state_once_and_ignores_older_revisions() -> None:
    client = DayClient(0)
    assert client.record_answer(body(2, True, ENTRIES[0]), ()) == [("x", FIRST)]
    assert client.record_answer(body(3, True, ENTRIES[0]), ()) == []
    drained = ENTRIES[0] | {"phase": "DRAINING"}
    assert client.record_answer(body(4, False, drained), ()) == [("x", DRAINING)]
    assert client.record_answer(body(3, True, ENTRIES[0]), ()) == [] and client.states == {"x": DRAINING}
    assert client.record_answer(body(5, False, drained | {"phase": "DELETED"}), ()) == [("x", None)]
    assert client.members == set() and client.record_answer(b"no json", ()) == []


# Days of few endpoints.


def test_a_small_day_meets_all_expectations(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oatcart.scale.day.MIN_PARTITION_S", MIN_PARTITION_S)
    result = play_small(replace(SMALL_DAY, zone_losses=1, rack_losses=1, partitions=1, changes=200))
    assert result.complaints == [] and "all expectations were met" in day_text(result)
    assert set(result.kinds) == set(ChangeKind)
    assert result.drains.nodes == SMALL_DAY.restarts and result.drains.reached > 0
    assert result.end.told == result.end.tables == SMALL.hollow == result.end.known
    assert orjson.loads(day_json(result))["drains"]["nodes"] == SMALL_DAY.restarts
    (healing,) = result.healings
    assert healing.disconnection.until - healing.disconnection.since >= MIN_PARTITION_S
    assert 0 < len(healing.disconnection.controllers) <= SMALL.hollow
    assert healing.changes > 0 and healing.caught_up_s is not None and healing.bytes_received > 0
    assert healing.moved == healing.had_to_move and healing.moved_needlessly == 0
    assert sum(kind.cut_off for kind in result.kinds.values()) > 0


class CutOffPlayer(DayPlayer):
    """Cuts one controller off at the first change, without recording a disconnection."""

    def make(self, events: tuple) -> None:
        if not self.changes:
            self.trial.relay.cut(self.trial.names[:1])
        super().make(events)


@pytest.mark.parametrize("whole_list", [False, True])
def test_a_controller_that_receives_nothing_is_reported(
    monkeypatch: pytest.MonkeyPatch, whole_list: bool
) -> None:
    monkeypatch.setattr("oatcart.scale.day_trial.SETTLE_TIMEOUT_S", 0.5)
    monkeypatch.setattr("oatcart.scale.day.VIEWS_KNOWN_TIMEOUT_S", 0.1)
    result = play_small(replace(SMALL_DAY, restarts=30), whole_list, CutOffPlayer)
    assert result.whole_list is whole_list and [load.role for load in result.loads] == (
        ["hollow_conductor"] if whole_list else ["control", "hollow_conductor"]
    )
    cut_off = "hollow-0"
    assert result.drains.missed and all(one.startswith(cut_off) for one in result.drains.missed)
    assert all(one.endswith(cut_off) for kind in result.kinds.values() for one in kind.missed)
    assert result.end.told == SMALL.hollow - 1 and "FAILED" in day_text(result)
    assert "1 controllers were not sent their view" in result.complaints


def children_of(pid: int) -> list[int]:
    found: list[int] = []
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        with suppress(FileNotFoundError):  # a thread that has just ended
            found += map(int, path.read_text().split())
    return found


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_day_ends_all_children(number: signal.Signals, tmp_path: Path) -> None:
    file = tmp_path / "scale.yaml"
    file.write_text("seed: 1\n")
    command = [sys.executable, "-m", "oatcart.scale", "day", str(file), "--quick"]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL) as run:
        until = time.monotonic() + ENDED_WITHIN_S
        # The children are discovery, hollow controllers, peers, relay, control role and a real controller.
        while len(children_of(run.pid)) < 6:
            assert run.poll() is None and time.monotonic() < until, children_of(run.pid)
            time.sleep(0.05)
        children = children_of(run.pid)
        os.kill(run.pid, number)
        assert run.wait(ENDED_WITHIN_S) != 0
    assert not any(map(alive, children))


def test_an_interrupt_that_was_suppressed_is_raised_again() -> None:
    with pytest.raises(Interrupted), recorded_interrupts() as interrupts:
        with suppress(Interrupted):
            os.kill(os.getpid(), signal.SIGINT)
            time.sleep(1.0)
        interrupts.sleep(0.0)
    assert signal.getsignal(signal.SIGINT) is signal.default_int_handler


def test_a_day_that_does_not_fit_and_a_missing_folder_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture
) -> None:
    file = tmp_path / "scale.yaml"
    file.write_text("day: {zone_losses: 20}\n")  # the quick fleet has fewer zones
    assert main(["day", str(file), "--quick", "--json", str(tmp_path / "no" / "x.json")]) == 2
    assert "the folder does not exist" in capsys.readouterr().err
    assert main(["day", str(file), "--quick"]) == 2
    assert "zone loss" in capsys.readouterr().err


class PartitionPlayer(DayPlayer):
    """A player that only records when it starts and ends a partition."""

    def _start_partition(self, event: RegionsCut) -> None:
        self.since, self._partition = time.monotonic(), True

    def _end_partition(self, event: RegionsRejoined) -> None:
        self.until = time.monotonic()


class SampledTrial:
    """A trial that can only be sampled."""

    def sample(self) -> SimpleNamespace:
        """Returns a sample with only the current time."""
        return SimpleNamespace(at=time.monotonic())


def test_a_partition_that_starts_late_lasts_as_long_as_planned() -> None:
    """Guards against a partition that starts late but ends at its scheduled time, and so is too short."""
    delays = iter([0.15])  # the first sleep lasts longer, as on a busy machine
    player = PartitionPlayer(SampledTrial(), lambda seconds: time.sleep(seconds + next(delays, 0.0)))
    cut, join = RegionsCut(0.02, "a", "b"), RegionsRejoined(0.32, "a", "b")
    player.play([Step(0.02, (cut,)), Step(0.32, (join,))], 0.33)
    assert player.until - player.since >= 0.3
