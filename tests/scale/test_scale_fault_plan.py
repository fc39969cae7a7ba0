"""The drawn day: its counts and order, and that no endpoint is in two states at once."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.scale.configuration import DaySettings, FleetSettings
from oatcart.scale.fault_plan import (
    Cause,
    ConfigurationChanged,
    DayPlan,
    FaultPlanError,
    NodeDeleted,
    NodeDraining,
    NodeLost,
    NodeReturned,
    RegionsCut,
    RegionsRejoined,
    plan_day,
)
from oatcart.scale.fleet import FleetPlan, plan_fleet

SEED = 7


@pytest.fixture(scope="module")
def fleet() -> FleetPlan:
    """The operators' fleet."""
    return plan_fleet(FleetSettings(), SEED)


@pytest.fixture(scope="module")
def day(fleet) -> DayPlan:
    """The operators' ordinary day."""
    return plan_day(fleet, DaySettings(), SEED)


def events_of_type(day: DayPlan, kind: type) -> list:
    """The day's events of one type."""
    return [event for event in day.events if type(event) is kind]


def assert_consistent(day: DayPlan) -> None:
    """Every endpoint goes serving -> lost -> serving or serving -> draining -> deleted -> serving."""
    serving, draining, deleted, lost = "serving", "draining", "deleted", "lost"
    allowed = {
        NodeLost: {serving: lost},
        NodeDraining: {serving: draining},
        NodeDeleted: {draining: deleted},
        NodeReturned: {lost: serving, deleted: serving},
    }
    states: dict[str, str] = {}
    for event in day.events:
        if type(event) in allowed:
            state = states.get(event.endpoint, serving)
            assert state in allowed[type(event)], f"{event} while {state}"
            states[event.endpoint] = allowed[type(event)][state]
    assert set(states.values()) <= {serving}


def test_the_operators_counts_are_met(day):
    lost = Counter(event.cause for event in events_of_type(day, NodeLost))
    assert lost[Cause.FAILURE] == 46
    assert len(events_of_type(day, NodeDraining)) == len(events_of_type(day, NodeDeleted)) == 1_800
    assert len(events_of_type(day, ConfigurationChanged)) == 22_000
    assert len(events_of_type(day, RegionsCut)) == len(events_of_type(day, RegionsRejoined)) == 1


def test_events_are_in_time_order_within_the_compressed_day(day):
    times = [event.at_s for event in day.events]
    assert times == sorted(times)
    assert times[0] >= 0.0
    assert times[-1] <= day.length_s == 1_440.0


def test_no_endpoint_is_in_two_states_at_once(day):
    assert_consistent(day)


def test_failures_and_restarts_affect_different_endpoints(day):
    failed = [event.endpoint for event in events_of_type(day, NodeLost) if event.cause is Cause.FAILURE]
    assert len(set(failed)) == 46
    assert len({event.endpoint for event in events_of_type(day, NodeDraining)}) > 1_780


@pytest.mark.parametrize(
    ("cause", "groups"), [(Cause.ZONE_LOSS, "endpoints_by_zone"), (Cause.RACK_LOSS, "endpoints_by_rack")]
)
def test_all_endpoints_of_a_lost_zone_or_rack_are_lost_at_once(fleet, day, cause, groups):
    lost = [event for event in events_of_type(day, NodeLost) if event.cause is cause]
    assert len({event.at_s for event in lost}) == 1
    endpoints = {event.endpoint for event in lost}
    assert endpoints in [{endpoint.id for endpoint in group} for group in getattr(fleet, groups)().values()]


def test_lost_endpoints_return_after_the_configured_time(day):
    lost_at = {event.endpoint: event for event in events_of_type(day, NodeLost)}
    lengths = {Cause.FAILURE: 30.0, Cause.ZONE_LOSS: 20.0, Cause.RACK_LOSS: 20.0}  # compressed 60 times
    for event in events_of_type(day, NodeReturned):
        if event.cause in lengths and lost_at[event.endpoint].cause is event.cause:
            assert event.at_s - lost_at[event.endpoint].at_s == pytest.approx(lengths[event.cause])


def test_a_partition_lasts_an_hour_between_two_regions(fleet, day):
    (cut,), (rejoined,) = events_of_type(day, RegionsCut), events_of_type(day, RegionsRejoined)
    assert cut.first != cut.second
    assert {cut.first, cut.second} <= set(fleet.regions)
    assert (cut.first, cut.second) == (rejoined.first, rejoined.second)
    assert rejoined.at_s - cut.at_s == pytest.approx(3_600.0 / 60.0)


def test_changes_are_numbered_in_order_and_are_of_known_routes(fleet, day):
    changes = events_of_type(day, ConfigurationChanged)
    assert [change.number for change in changes] == list(range(22_000))
    services = fleet.services
    assert all(0 <= change.route < 37_000 for change in changes)
    assert all(change.service == services[change.route % 720] for change in changes)


def test_bursts_have_their_share_their_size_and_one_service_each(day):
    in_bursts = [change for change in events_of_type(day, ConfigurationChanged) if change.burst is not None]
    bursts: dict[int, list[ConfigurationChanged]] = {}
    for change in in_bursts:
        bursts.setdefault(change.burst, []).append(change)
    assert len(in_bursts) == 8_800
    assert {len(burst) for burst in bursts.values()} == {50}
    for burst in bursts.values():
        assert len({change.service for change in burst}) == 1
        assert max(burst).at_s - min(burst).at_s <= 10.0 / 60.0


def test_one_seed_gives_one_day_and_another_seed_another(fleet, day):
    assert plan_day(fleet, DaySettings(), SEED) == day
    assert plan_day(fleet, DaySettings(), SEED + 1).events != day.events


def test_compression_only_changes_the_times(fleet, day):
    plain = plan_day(fleet, replace(DaySettings(), time_compression=1.0), SEED)
    assert plain.length_s == 86_400.0
    assert [event._replace(at_s=0.0) for event in plain.events] == [
        event._replace(at_s=0.0) for event in day.events
    ]
    assert plain.events[100].at_s == pytest.approx(60.0 * day.events[100].at_s)


def test_fewer_changes_leave_the_outages_as_they_are(fleet, day):
    other = plan_day(fleet, replace(DaySettings(), changes=10), SEED)
    assert events_of_type(other, NodeLost) == events_of_type(day, NodeLost)


def test_a_day_without_faults_and_changes_is_empty(fleet):
    nothing = DaySettings(
        failures=0, restarts=0, rack_losses=0, zone_losses=0, partitions=0, changes=0, burst_size=1
    )
    assert plan_day(fleet, nothing, SEED).events == ()


def test_a_scaled_day_keeps_racks_and_zones():
    scaled = DaySettings().scaled(0.5)
    assert (scaled.failures, scaled.restarts, scaled.changes) == (23, 900, 11_000)
    assert (scaled.rack_losses, scaled.zone_losses, scaled.partitions) == (1, 1, 1)


@pytest.mark.parametrize(
    ("counts", "message"),
    [
        ({"restarts": 500, "restart_for": 3_600.0}, "500 restarts do not fit on 10 endpoints"),
        ({"zone_losses": 3}, "3 times zone loss: expected at most 2"),
        ({"partitions": 2}, "2 partitions: expected at most 1, one for each pair of regions"),
    ],
)
def test_a_day_that_does_not_fit_the_fleet_raises_an_error(counts, message):
    small = plan_fleet(
        FleetSettings(
            conductors=2, nodes=10, services=3, routes=3, regions=2, zones=2, services_per_conductor=2
        ),
        SEED,
    )
    nothing = DaySettings(failures=0, restarts=0, rack_losses=0, zone_losses=0, partitions=0, changes=0)
    with pytest.raises(FaultPlanError, match=message):
        plan_day(small, replace(nothing, **counts), SEED)


@given(
    endpoints=st.integers(20, 200),
    restarts=st.integers(0, 400),
    failures=st.integers(0, 20),
    seed=st.integers(0, 1_000),
)
@settings(max_examples=25, deadline=None)
def test_any_day_is_consistent(endpoints, restarts, failures, seed):
    fleet = plan_fleet(FleetSettings().scaled_to(endpoints), seed)
    partitions = 1 if len(fleet.regions) > 1 else 0
    day = plan_day(
        fleet,
        DaySettings(failures=failures, restarts=restarts, changes=50, partitions=partitions),
        seed,
    )
    assert_consistent(day)
    times = [event.at_s for event in day.events]
    assert times == sorted(times)
