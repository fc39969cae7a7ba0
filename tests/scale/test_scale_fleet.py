"""The drawn fleet: its counts, its shape, and that one seed gives one fleet."""

from collections import Counter
from dataclasses import replace
from statistics import median

import numpy
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.scale.configuration import FleetSettings
from oatcart.scale.fleet import ENDPOINT_SIZES, FleetPlan, apportion, plan_fleet, service_sizes

SEED = 7


@pytest.fixture(scope="module")
def planned() -> FleetPlan:
    """The operators' fleet."""
    return plan_fleet(FleetSettings(), SEED)


def test_the_operators_counts_are_met_exactly(planned):
    assert len(planned.endpoints) == 27_000
    assert len(planned.controllers) == 5_800
    assert len(planned.endpoints_by_service()) == 720
    assert len(planned.endpoints_by_zone()) == 53
    assert len(planned.regions) == 14


def test_ids_and_addresses_are_unique(planned):
    assert len({endpoint.id for endpoint in planned.endpoints}) == len(planned.endpoints)
    assert len({endpoint.address for endpoint in planned.endpoints}) == len(planned.endpoints)
    assert len({controller.name for controller in planned.controllers}) == len(planned.controllers)


def test_a_few_services_have_thousands_of_endpoints_and_most_a_handful(planned):
    sizes = sorted(len(endpoints) for endpoints in planned.endpoints_by_service().values())
    assert sizes[-1] > 4_000
    assert sum(size >= 1_000 for size in sizes) < 10
    assert median(sizes) < 15


def test_every_service_has_two_endpoints_in_two_zones(planned):
    for service, endpoints in planned.endpoints_by_service().items():
        assert len(endpoints) >= 2, service
        assert len({endpoint.zone for endpoint in endpoints}) >= 2, service


def test_a_zone_lies_in_one_region_and_a_rack_in_one_zone(planned):
    assert len({(endpoint.zone, endpoint.region) for endpoint in planned.endpoints}) == 53
    assert len({(endpoint.rack, endpoint.zone) for endpoint in planned.endpoints}) == len(
        planned.endpoints_by_rack()
    )
    zones_of_region = Counter(planned.zone_regions.values())
    assert set(zones_of_region.values()) == {3, 4}


def test_no_rack_exceeds_its_capacity(planned):
    assert max(len(endpoints) for endpoints in planned.endpoints_by_rack().values()) == 24


def test_endpoint_sizes_are_valid_and_mostly_small(planned):
    counts = Counter(endpoint.size for endpoint in planned.endpoints)
    assert set(counts) == set(ENDPOINT_SIZES)
    assert counts[1] > counts[2] > counts[4]


def test_controllers_are_in_zones_in_proportion_to_endpoints(planned):
    controllers = Counter(controller.zone for controller in planned.controllers)
    for zone, endpoints in planned.endpoints_by_zone().items():
        assert abs(controllers[zone] - 5_800 * len(endpoints) / 27_000) <= 1


def test_a_controller_calls_its_number_of_services_and_every_service_is_called(planned):
    assert {len(set(controller.services)) for controller in planned.controllers} == {6}
    called = {service for controller in planned.controllers for service in controller.services}
    assert called == set(planned.services)


def test_large_services_are_called_by_more_controllers(planned):
    callers = Counter(service for controller in planned.controllers for service in controller.services)
    largest = [callers[service] for service in planned.services[:10]]
    smallest = [callers[service] for service in planned.services[-10:]]
    assert min(largest) > max(smallest)


def test_one_seed_gives_one_fleet_and_another_seed_another(planned):
    assert plan_fleet(FleetSettings(), SEED) == planned
    assert plan_fleet(FleetSettings(), SEED + 1).endpoints != planned.endpoints


def test_more_controllers_leave_the_endpoints_as_they_are():
    few = plan_fleet(FleetSettings(nodes=500, services=20, conductors=5), SEED)
    many = plan_fleet(FleetSettings(nodes=500, services=20, conductors=50), SEED)
    assert few.endpoints == many.endpoints


def test_a_scaled_fleet_keeps_the_shape(planned):
    small = plan_fleet(FleetSettings().scaled_to(2_700), SEED)
    share = len(small.endpoints_by_service()[small.services[0]]) / len(small.endpoints)
    share_planned = len(planned.endpoints_by_service()[planned.services[0]]) / len(planned.endpoints)
    assert len(small.services) == 72
    assert len(small.controllers) == 580
    assert share_planned < share < 2 * share_planned  # fewer ranks share the same skew


def test_a_fleet_with_fewer_endpoints_keeps_all_else():
    fewer = FleetSettings().with_endpoints(2_000)
    assert fewer == replace(FleetSettings(), nodes=2_000)
    assert len(plan_fleet(replace(fewer, conductors=1), SEED).endpoints_by_zone()) == 53


def test_a_fleet_with_very_few_endpoints_has_fewer_services_and_zones():
    fewest = FleetSettings().with_endpoints(4)
    assert (fewest.services, fewest.zones, fewest.regions, fewest.services_per_conductor) == (2, 4, 4, 2)
    assert len(plan_fleet(replace(fewest, conductors=1), SEED).endpoints) == 4


@pytest.mark.parametrize("shrink", [FleetSettings.scaled_to, FleetSettings.with_endpoints])
def test_a_fleet_cannot_shrink_below_one_service(shrink):
    with pytest.raises(ValueError, match="1 endpoints are fewer than the 2 of one service"):
        shrink(FleetSettings(), 1)


@given(endpoints=st.integers(2, 300), seed=st.integers(0, 100))
@settings(max_examples=30, deadline=None)
def test_any_scaled_fleet_has_endpoints_in_all_zones_and_services(endpoints, seed):
    fleet = plan_fleet(FleetSettings().scaled_to(endpoints), seed)
    assert len(fleet.endpoints) == endpoints
    assert set(fleet.endpoints_by_zone()) == set(fleet.zone_regions)
    assert set(fleet.endpoints_by_service()) == set(fleet.services)
    zones_possible = min(2, fleet.settings.zones)
    for service, members in fleet.endpoints_by_service().items():
        assert len({endpoint.zone for endpoint in members}) >= zones_possible, service


@given(total=st.integers(0, 10_000), weights=st.lists(st.floats(0.01, 100.0), min_size=1, max_size=40))
def test_apportioned_counts_sum_up_and_are_within_one_of_exact(total, weights):
    counts = apportion(total, numpy.array(weights))
    exact = total * numpy.array(weights) / sum(weights)
    assert counts.sum() == total
    assert numpy.all(numpy.abs(counts - exact) <= 1.0 + 1e-6)


def test_service_sizes_fall_with_the_rank():
    sizes = service_sizes(FleetSettings())
    assert sizes.sum() == 27_000
    assert numpy.all(numpy.diff(sizes) <= 0)


def test_without_skew_services_have_equal_sizes():
    sizes = service_sizes(FleetSettings(nodes=100, services=10, service_skew=0.0))
    assert sizes.tolist() == [10] * 10
