"""Views: size, balance, zones, moves by changes, draining, and independence of the order of changes."""

from collections import Counter
from math import ceil
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.views.fleet_views import FleetViews
from oatcart.views.records import (
    Controller,
    Endpoint,
    InvalidEndpointError,
    TooManyServicesError,
    UnknownControllerError,
    ViewLimits,
)

SEED = 7
SERVICES = ("api", "cart", "search")
ZONES = (("west", "west-1"), ("west", "west-2"), ("east", "east-1"), ("east", "east-2"))
SMALL = ViewLimits(max_endpoints=12)


def endpoints_of(service: str, count: int, zones=ZONES, weight: float = 1.0) -> list[Endpoint]:
    return [
        Endpoint(f"{service}-{number}", *zones[number % len(zones)], service, weight, True)
        for number in range(count)
    ]


def controllers_of(count: int, services: tuple[str, ...]) -> list[Controller]:
    return [
        Controller(f"conductor-{number}", *ZONES[number % len(ZONES)], services) for number in range(count)
    ]


def fleet_views_of(endpoints, controllers, limits: ViewLimits = SMALL) -> FleetViews:
    fleet_views = FleetViews(limits, SEED)
    fleet_views.put_endpoints(endpoints)
    fleet_views.put_controllers(controllers)
    return fleet_views


def views_of(fleet_views: FleetViews, controllers) -> dict[str, tuple[str, ...]]:
    return {controller.name: fleet_views.view(controller.name) for controller in controllers}


class Fleet(RuleBasedStateMachine):
    """Endpoints and controllers are added, changed and removed; the views always equal those decided from
    scratch and are within the limits."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet_views = FleetViews(SMALL, SEED)
        self.endpoints: dict[str, Endpoint] = {}
        self.controllers: dict[str, Controller] = {}
        self.reported: dict[str, tuple[tuple[str, ...], tuple[Endpoint, ...]]] = {}

    @rule(
        number=st.integers(0, 30),
        zone=st.sampled_from(ZONES),
        service=st.sampled_from(SERVICES),
        weight=st.sampled_from((1.0, 2.0, 4.0)),
        ready=st.booleans(),
    )
    def put_endpoint(self, number, zone, service, weight, ready):
        endpoint = Endpoint(f"node-{number}", *zone, service, weight, ready)
        self.endpoints[endpoint.id] = endpoint
        self.fleet_views.put_endpoint(endpoint)

    @precondition(lambda self: self.endpoints)
    @rule(data=st.data())
    def set_ready(self, data):
        endpoint_id = data.draw(st.sampled_from(sorted(self.endpoints)))
        endpoint = self.endpoints[endpoint_id]
        self.endpoints[endpoint_id] = endpoint._replace(ready=not endpoint.ready)
        holders = self.fleet_views.holders(endpoint_id)
        self.fleet_views.put_endpoint(self.endpoints[endpoint_id])
        if endpoint.ready:
            lost = holders - self.fleet_views.holders(endpoint_id)
            assert all(len(self.fleet_views.view(name)) == SMALL.capacity for name in lost)

    @precondition(lambda self: self.endpoints)
    @rule(data=st.data())
    def remove_endpoint(self, data):
        endpoint_id = data.draw(st.sampled_from(sorted(self.endpoints)))
        del self.endpoints[endpoint_id]
        self.fleet_views.remove_endpoint(endpoint_id)

    @rule(number=st.integers(0, 15), zone=st.sampled_from(ZONES), services=st.sets(st.sampled_from(SERVICES)))
    def put_controller(self, number, zone, services):
        controller = Controller(f"conductor-{number}", *zone, tuple(sorted(services)))
        self.controllers[controller.name] = controller
        self.fleet_views.put_controller(controller)

    @precondition(lambda self: self.controllers)
    @rule(data=st.data())
    def remove_controller(self, data):
        name = data.draw(st.sampled_from(sorted(self.controllers)))
        del self.controllers[name]
        self.reported.pop(name, None)
        self.fleet_views.remove_controller(name)

    @invariant()
    def views_equal_those_decided_from_scratch(self):
        from_scratch = fleet_views_of(
            reversed(list(self.endpoints.values())), reversed(list(self.controllers.values()))
        )
        controllers = self.controllers.values()
        assert views_of(self.fleet_views, controllers) == views_of(from_scratch, controllers)

    @invariant()
    def views_are_within_the_limits_and_have_all_needed_services(self):
        for controller in self.controllers.values():
            view = self.fleet_views.view(controller.name)
            assert len(set(view)) == len(view) <= SMALL.capacity
            in_view = [self.endpoints[endpoint_id] for endpoint_id in view]
            assert {endpoint.service for endpoint in in_view} <= set(controller.services or SERVICES)
            for service in controller.services or SERVICES:
                existing = [endpoint for endpoint in self.endpoints.values() if endpoint.service == service]
                assert_enough(existing, [endpoint for endpoint in in_view if endpoint.service == service])

    @invariant()
    def holders_match_the_views(self):
        for endpoint_id in self.endpoints:
            controllers_with_endpoint = {
                name for name in self.controllers if endpoint_id in self.fleet_views.view(name)
            }
            assert self.fleet_views.holders(endpoint_id) == controllers_with_endpoint

    @invariant()
    def all_changes_are_reported(self):
        changed = self.fleet_views.pop_changed()
        assert changed <= self.controllers.keys()
        for name in self.controllers:
            view = self.fleet_views.view(name)
            current = (view, tuple(self.endpoints[endpoint_id] for endpoint_id in view))
            assert name in changed or self.reported.get(name) == current
            self.reported[name] = current


def assert_enough(existing: list[Endpoint], in_view: list[Endpoint]) -> None:
    """Two ready endpoints in two zones, or all that the service has."""
    ready_existing = [endpoint for endpoint in existing if endpoint.ready]
    ready_in_view = [endpoint for endpoint in in_view if endpoint.ready]
    assert len(ready_in_view) >= min(2, len(ready_existing))
    zones_existing = {(endpoint.region, endpoint.zone) for endpoint in ready_existing}
    zones_in_view = {(endpoint.region, endpoint.zone) for endpoint in ready_in_view}
    assert len(zones_in_view) >= min(2, len(zones_existing))


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_controller_whose_quota_allows_a_service_is_a_complete_holder():
    endpoints = endpoints_of("api", 5)
    fleet_views = fleet_views_of(endpoints, controllers_of(3, ("api",)))
    assert fleet_views.view("conductor-1") == tuple(sorted(endpoint.id for endpoint in endpoints))


def test_the_limit_in_bytes_limits_the_number_of_endpoints():
    assert ViewLimits().capacity == 70_000 // 145
    limits = ViewLimits(max_endpoints=500, max_bytes=1450, max_entry_bytes=145)
    fleet_views = fleet_views_of(endpoints_of("api", 100), controllers_of(20, ("api",)), limits)
    assert max(len(view) for view in views_of(fleet_views, controllers_of(20, ("api",))).values()) <= 10


def test_unknown_controllers_and_invalid_weights_are_rejected():
    fleet_views = fleet_views_of(endpoints_of("api", 5), controllers_of(1, ("api",)))
    with pytest.raises(UnknownControllerError):
        fleet_views.view("nobody")
    for weight in (0.0, -1.0, float("inf"), float("nan")):
        with pytest.raises(InvalidEndpointError):
            fleet_views.put_endpoint(Endpoint("odd", *ZONES[0], "api", weight, True))
    assert fleet_views.holders("odd") == frozenset()


def test_more_services_than_fit_at_two_endpoints_each_are_rejected_until_they_fit():
    services = tuple(f"service-{number}" for number in range(7))
    endpoints = [endpoint for service in services for endpoint in endpoints_of(service, 4)]
    fleet_views = fleet_views_of(
        endpoints, [Controller("greedy", *ZONES[0], services), Controller("all", *ZONES[0], ())]
    )
    for name in ("greedy", "all"):
        with pytest.raises(TooManyServicesError) as raised:
            fleet_views.view(name)
        assert (raised.value.needed, raised.value.capacity) == (14, 12)
    for endpoint in endpoints_of(services[0], 4):
        fleet_views.remove_endpoint(endpoint.id)
    assert fleet_views.pop_changed() == {"greedy", "all"}
    assert len(fleet_views.view("greedy")) == len(fleet_views.view("all")) == 12


@pytest.mark.parametrize("controllers", [40, 80, 300])
def test_busiest_to_mean_is_within_the_overload_and_none_is_unheld(controllers):
    weights = (1.0, 2.0, 4.0)
    endpoints = [
        endpoint._replace(nominal_weight=weights[number % len(weights)])
        for number, endpoint in enumerate(endpoints_of("api", 150))
    ]
    fleet_views = fleet_views_of(
        endpoints, controllers_of(controllers, ("api",)), ViewLimits(max_endpoints=50)
    )
    quota_sum = sum(
        len(fleet_views.view(controller.name)) for controller in controllers_of(controllers, ("api",))
    )
    holders_per_weight = quota_sum / sum(endpoint.nominal_weight for endpoint in endpoints)
    for endpoint in endpoints:
        expected = holders_per_weight * endpoint.nominal_weight
        holders = len(fleet_views.holders(endpoint.id))
        assert 0 < holders <= min(controllers, max(1.25 * expected, expected + 1))


@pytest.mark.parametrize("controllers", range(10, 41, 5))
def test_none_is_unheld_where_quotas_just_suffice(controllers):
    endpoints = endpoints_of("api", 95)
    fleet_views = fleet_views_of(endpoints, controllers_of(controllers, ("api",)))
    holder_counts = Counter(
        endpoint_id
        for controller in controllers_of(controllers, ("api",))
        for endpoint_id in fleet_views.view(controller.name)
    )
    assert len(holder_counts) == len(endpoints)
    mean = sum(holder_counts.values()) / len(endpoints)
    assert max(holder_counts.values()) <= max(1.25 * mean, mean + 1)


def test_with_fewer_quotas_than_endpoints_no_endpoint_has_two_holders():
    controllers = controllers_of(4, ("api",))
    fleet_views = fleet_views_of(endpoints_of("api", 300), controllers)
    holder_counts = Counter(
        endpoint_id for controller in controllers for endpoint_id in fleet_views.view(controller.name)
    )
    assert max(holder_counts.values()) == 1
    assert sum(holder_counts.values()) == 4 * 10


FLEET_SERVICES = {"api": 200, "cart": 110, "search": 60, "tiny": 5, "single": 1}
FLEET_LIMITS = ViewLimits(max_endpoints=80)


def planned_endpoints() -> list[Endpoint]:
    """A fleet with a few large and some small services, weights of 1, 2 and 4, and four zones."""
    weights = (1.0, 1.0, 2.0, 1.0, 4.0)
    return [
        endpoint._replace(nominal_weight=weights[number % len(weights)])
        for service, count in FLEET_SERVICES.items()
        for number, endpoint in enumerate(endpoints_of(service, count))
    ]


def planned_controllers() -> list[Controller]:
    """Controllers that need all of the services, or some."""
    services = tuple(FLEET_SERVICES)
    needs = (services, ("api", "tiny"), ("api", "cart"), ("cart", "search", "single"))
    return [
        controller._replace(services=needs[number % 4])
        for number, controller in enumerate(controllers_of(600, ()))
    ]


def held_pairs(fleet_views: FleetViews, controllers) -> set[tuple[str, str]]:
    return {
        (controller.name, endpoint_id)
        for controller in controllers
        for endpoint_id in fleet_views.view(controller.name)
    }


def pairs_moved(before: set, after: set) -> int:
    return max(len(before - after), len(after - before))


def allowed(share: int) -> int:
    """The share plus a twentieth of it, rounded up to a whole pair."""
    return share + ceil(share / 20)


def test_removing_an_endpoint_moves_at_most_its_share_and_a_twentieth_and_adding_it_restores_the_views():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    moves = []
    for endpoint in endpoints[::20]:
        share = len(fleet_views.holders(endpoint.id))
        fleet_views.remove_endpoint(endpoint.id)
        moves.append((pairs_moved(before, held_pairs(fleet_views, controllers)), share))
        fleet_views.put_endpoint(endpoint)
        assert held_pairs(fleet_views, controllers) == before
    assert sum(moved for moved, _ in moves) <= 1.05 * sum(share for _, share in moves)
    assert all(moved <= allowed(share) for moved, share in moves)


def test_removing_a_controller_moves_at_most_its_share_and_a_twentieth_and_adding_it_restores_the_views():
    controllers = planned_controllers()
    fleet_views = fleet_views_of(planned_endpoints(), controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    moves = []
    for controller in controllers[::13]:
        share = len(fleet_views.view(controller.name))
        fleet_views.remove_controller(controller.name)
        remaining = [other for other in controllers if other != controller]
        moves.append((pairs_moved(before, held_pairs(fleet_views, remaining)), share))
        fleet_views.put_controller(controller)
        assert held_pairs(fleet_views, controllers) == before
    assert sum(moved for moved, _ in moves) <= 1.05 * sum(share for _, share in moves)
    assert all(moved <= allowed(share) for moved, share in moves)


@pytest.mark.parametrize("lost", ZONES)
def test_views_stay_usable_without_a_zone_and_are_restored_with_it(lost):
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    removed = [endpoint for endpoint in endpoints if (endpoint.region, endpoint.zone) == lost]
    remaining = [endpoint for endpoint in endpoints if (endpoint.region, endpoint.zone) != lost]
    for endpoint in removed:
        fleet_views.remove_endpoint(endpoint.id)
    for controller in controllers:
        assert_usable(remaining, controller, fleet_views.view(controller.name))
    fleet_views.put_endpoints(reversed(removed))
    assert held_pairs(fleet_views, controllers) == before


def test_partitioned_regions_decide_usable_views_and_agree_after_the_partition():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    complete = held_pairs(fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers)
    for region in ("west", "east"):
        fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
        local_endpoints = [endpoint for endpoint in endpoints if endpoint.region == region]
        local_controllers = [controller for controller in controllers if controller.region == region]
        for endpoint in endpoints:
            if endpoint.region != region:
                fleet_views.remove_endpoint(endpoint.id)
        for controller in controllers:
            if controller.region != region:
                fleet_views.remove_controller(controller.name)
        for controller in local_controllers:
            assert_usable(local_endpoints, controller, fleet_views.view(controller.name))
        fleet_views.put_controllers(controllers)
        fleet_views.put_endpoints(endpoints)
        assert held_pairs(fleet_views, controllers) == complete


def test_seven_control_roles_decide_the_same_views_whatever_the_order_of_changes():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    decided = []
    for role in range(7):
        random = Random(role)
        fleet_views = FleetViews(FLEET_LIMITS, SEED)
        random.shuffle(endpoints)
        random.shuffle(controllers)
        for part in range(4):
            fleet_views.put_endpoints(endpoints[part::4])
            fleet_views.put_controllers(controllers[part::4])
            fleet_views.pop_changed()
        decided.append(held_pairs(fleet_views, controllers))
    assert all(pairs == decided[0] for pairs in decided[1:])


def test_control_roles_that_differ_in_one_endpoint_and_one_controller_differ_in_few_pairs():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    one = held_pairs(fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers)
    other = held_pairs(fleet_views_of(endpoints[1:], controllers[1:], FLEET_LIMITS), controllers[1:])
    share = sum(name == controllers[0].name or endpoint_id == endpoints[0].id for name, endpoint_id in one)
    assert pairs_moved(one, other) <= allowed(share)


def test_another_seed_gives_other_views():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    other = FleetViews(FLEET_LIMITS, SEED + 1)
    other.put_endpoints(endpoints)
    other.put_controllers(controllers)
    assert held_pairs(other, controllers) != held_pairs(
        fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers
    )


def test_a_changed_service_of_an_endpoint_is_reported_to_holders_though_no_view_differs():
    endpoint, controller = endpoints_of("api", 1)[0], controllers_of(1, ("api", "cart"))[0]
    fleet_views = fleet_views_of([endpoint], [controller])
    fleet_views.pop_changed()
    fleet_views.put_endpoint(endpoint._replace(service="cart"))
    assert fleet_views.view(controller.name) == (endpoint.id,)
    assert fleet_views.pop_changed() == {controller.name}


def test_a_removal_and_return_of_an_endpoint_is_reported_to_holders_though_no_view_differs():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    fleet_views.pop_changed()
    for endpoint in endpoints[::31]:
        fleet_views.remove_endpoint(endpoint.id)
        fleet_views.put_endpoint(endpoint)
        assert fleet_views.pop_changed() == fleet_views.holders(endpoint.id) != frozenset()
    assert held_pairs(fleet_views, controllers) == before


def test_a_drain_is_reported_to_every_holder_and_moves_no_assignment():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    fleet_views.pop_changed()
    for endpoint in endpoints[::31]:
        fleet_views.put_endpoint(endpoint._replace(ready=False))
        assert fleet_views.pop_changed() == fleet_views.holders(endpoint.id)
    assert before <= held_pairs(fleet_views, controllers)


def test_ready_endpoints_replace_draining_ones_within_the_limits_while_three_of_four_zones_drain():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    draining = [endpoint._replace(ready=False) for endpoint in endpoints if endpoint.zone != "west-1"]
    fleet_views.put_endpoints(draining)
    records = {endpoint.id: endpoint for endpoint in endpoints} | {
        endpoint.id: endpoint for endpoint in draining
    }
    assert before <= held_pairs(fleet_views, controllers)
    for controller in controllers:
        assert_usable(list(records.values()), controller, fleet_views.view(controller.name))
    fleet_views.put_endpoints(endpoints)
    assert held_pairs(fleet_views, controllers) == before


def test_the_only_endpoint_of_a_second_zone_is_in_every_view():
    large, tiny = ZONES[0], ZONES[2]
    endpoints = endpoints_of("api", 100, [large]) + [Endpoint("lonely", *tiny, "api", 1.0, True)]
    controllers = controllers_of(50, ("api",))
    fleet_views = fleet_views_of(endpoints, controllers)
    assert fleet_views.holders("lonely") == {controller.name for controller in controllers}
    assert max(len(fleet_views.holders(endpoint.id)) for endpoint in endpoints[:-1]) <= 1.25 * 50 * 10 / 100


def assert_usable(endpoints: list[Endpoint], controller: Controller, view: tuple[str, ...]) -> None:
    """Ready endpoints of each needed service, in two zones where there are two, and a view within the
    bound."""
    records = {endpoint.id: endpoint for endpoint in endpoints}
    assert len(view) <= FLEET_LIMITS.capacity
    for service in controller.services:
        existing = [endpoint for endpoint in endpoints if endpoint.service == service]
        assert_enough(
            existing,
            [records[endpoint_id] for endpoint_id in view if records[endpoint_id].service == service],
        )


def test_where_endpoints_have_few_holders_a_change_moves_its_share_and_at_most_a_twentieth_of_all_pairs():
    """With few holders the limit of 1.25 is only a few whole pairs above the expected number, and staying
    within it moves more than a twentieth of the share."""
    endpoints, controllers = planned_endpoints(), planned_controllers()[:60]
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    for controller in controllers[::4]:
        share = len(fleet_views.view(controller.name))
        fleet_views.remove_controller(controller.name)
        remaining = [other for other in controllers if other != controller]
        assert pairs_moved(before, held_pairs(fleet_views, remaining)) <= share + len(before) / 20
        fleet_views.put_controller(controller)
    for endpoint in endpoints[::20]:
        share = len(fleet_views.holders(endpoint.id))
        fleet_views.remove_endpoint(endpoint.id)
        assert pairs_moved(before, held_pairs(fleet_views, controllers)) <= share + len(before) / 20
        fleet_views.put_endpoint(endpoint)
    assert held_pairs(fleet_views, controllers) == before
