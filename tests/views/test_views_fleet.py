"""Views: their size, balance, zones, what changes move, draining, and that history does not matter."""

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


def endpoints_of(service: str, count: int, zones=ZONES, size: float = 1.0) -> list[Endpoint]:
    return [
        Endpoint(f"{service}-{number}", *zones[number % len(zones)], service, size, True)
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
    """Endpoints and controllers come, change and go; the views are those of a fresh start, within bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet_views = FleetViews(SMALL, SEED)
        self.endpoints: dict[str, Endpoint] = {}
        self.controllers: dict[str, Controller] = {}
        self.told: dict[str, tuple[tuple[str, ...], tuple[Endpoint, ...]]] = {}

    @rule(
        number=st.integers(0, 30),
        place=st.sampled_from(ZONES),
        service=st.sampled_from(SERVICES),
        weight=st.sampled_from((1.0, 2.0, 4.0)),
        ready=st.booleans(),
    )
    def put_endpoint(self, number, place, service, weight, ready):
        endpoint = Endpoint(f"node-{number}", *place, service, weight, ready)
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

    @rule(
        number=st.integers(0, 15), place=st.sampled_from(ZONES), services=st.sets(st.sampled_from(SERVICES))
    )
    def put_controller(self, number, place, services):
        controller = Controller(f"conductor-{number}", *place, tuple(sorted(services)))
        self.controllers[controller.name] = controller
        self.fleet_views.put_controller(controller)

    @precondition(lambda self: self.controllers)
    @rule(data=st.data())
    def remove_controller(self, data):
        name = data.draw(st.sampled_from(sorted(self.controllers)))
        del self.controllers[name]
        self.told.pop(name, None)
        self.fleet_views.remove_controller(name)

    @invariant()
    def history_does_not_matter(self):
        fresh = fleet_views_of(
            reversed(list(self.endpoints.values())), reversed(list(self.controllers.values()))
        )
        controllers = self.controllers.values()
        assert views_of(self.fleet_views, controllers) == views_of(fresh, controllers)

    @invariant()
    def views_are_small_and_hold_what_is_needed(self):
        for controller in self.controllers.values():
            view = self.fleet_views.view(controller.name)
            assert len(set(view)) == len(view) <= SMALL.capacity
            held = [self.endpoints[endpoint_id] for endpoint_id in view]
            assert {endpoint.service for endpoint in held} <= set(controller.services or SERVICES)
            for service in controller.services or SERVICES:
                there = [endpoint for endpoint in self.endpoints.values() if endpoint.service == service]
                assert_enough(there, [endpoint for endpoint in held if endpoint.service == service])

    @invariant()
    def holders_are_those_that_hold(self):
        for endpoint_id in self.endpoints:
            holding = {name for name in self.controllers if endpoint_id in self.fleet_views.view(name)}
            assert self.fleet_views.holders(endpoint_id) == holding

    @invariant()
    def changes_are_told(self):
        changed = self.fleet_views.pop_changed()
        assert changed <= self.controllers.keys()
        for name in self.controllers:
            view = self.fleet_views.view(name)
            now = (view, tuple(self.endpoints[endpoint_id] for endpoint_id in view))
            assert name in changed or self.told.get(name) == now
            self.told[name] = now


def assert_enough(there: list[Endpoint], held: list[Endpoint]) -> None:
    """Two ready endpoints, in two zones, wherever the service has them."""
    ready_there = [endpoint for endpoint in there if endpoint.ready]
    ready_held = [endpoint for endpoint in held if endpoint.ready]
    assert len(ready_held) >= min(2, len(ready_there))
    zones_there = {(endpoint.region, endpoint.zone) for endpoint in ready_there}
    zones_held = {(endpoint.region, endpoint.zone) for endpoint in ready_held}
    assert len(zones_held) >= min(2, len(zones_there))


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


def test_the_bound_in_bytes_bounds_the_number_of_endpoints():
    assert ViewLimits().capacity == 70_000 // 145
    limits = ViewLimits(max_endpoints=500, max_bytes=1450, max_entry_bytes=145)
    fleet_views = fleet_views_of(endpoints_of("api", 100), controllers_of(20, ("api",)), limits)
    assert max(len(view) for view in views_of(fleet_views, controllers_of(20, ("api",))).values()) <= 10


def test_unknown_controllers_and_unusable_sizes_are_rejected():
    fleet_views = fleet_views_of(endpoints_of("api", 5), controllers_of(1, ("api",)))
    with pytest.raises(UnknownControllerError):
        fleet_views.view("nobody")
    for size in (0.0, -1.0, float("inf"), float("nan")):
        with pytest.raises(InvalidEndpointError):
            fleet_views.put_endpoint(Endpoint("odd", *ZONES[0], "api", size, True))
    assert fleet_views.holders("odd") == frozenset()


def test_more_services_than_fit_at_two_endpoints_each_are_rejected_until_they_fit():
    services = tuple(f"service-{number}" for number in range(7))
    endpoints = [endpoint for service in services for endpoint in endpoints_of(service, 4)]
    fleet_views = fleet_views_of(
        endpoints, [Controller("greedy", *ZONES[0], services), Controller("all", *ZONES[0], ())]
    )
    for name in ("greedy", "all"):
        with pytest.raises(TooManyServicesError) as refused:
            fleet_views.view(name)
        assert (refused.value.needed, refused.value.capacity) == (14, 12)
    for endpoint in endpoints_of(services[0], 4):
        fleet_views.remove_endpoint(endpoint.id)
    assert fleet_views.pop_changed() == {"greedy", "all"}
    assert len(fleet_views.view("greedy")) == len(fleet_views.view("all")) == 12


@pytest.mark.parametrize("controllers", [40, 80, 300])
def test_busiest_to_mean_is_within_the_overload_and_none_is_unheld(controllers):
    sizes = (1.0, 2.0, 4.0)
    endpoints = [
        endpoint._replace(nominal_weight=sizes[number % len(sizes)])
        for number, endpoint in enumerate(endpoints_of("api", 150))
    ]
    fleet_views = fleet_views_of(
        endpoints, controllers_of(controllers, ("api",)), ViewLimits(max_endpoints=50)
    )
    seats = sum(
        len(fleet_views.view(controller.name)) for controller in controllers_of(controllers, ("api",))
    )
    by_size = seats / sum(endpoint.nominal_weight for endpoint in endpoints)
    for endpoint in endpoints:
        expected = by_size * endpoint.nominal_weight
        holders = len(fleet_views.holders(endpoint.id))
        assert 0 < holders <= min(controllers, max(1.25 * expected, expected + 1))


@pytest.mark.parametrize("controllers", range(10, 41, 5))
def test_none_is_unheld_where_quotas_just_suffice(controllers):
    endpoints = endpoints_of("api", 95)
    fleet_views = fleet_views_of(endpoints, controllers_of(controllers, ("api",)))
    seen = Counter(
        endpoint_id
        for controller in controllers_of(controllers, ("api",))
        for endpoint_id in fleet_views.view(controller.name)
    )
    assert len(seen) == len(endpoints)
    mean = sum(seen.values()) / len(endpoints)
    assert max(seen.values()) <= max(1.25 * mean, mean + 1)


def test_with_smaller_quotas_than_endpoints_no_endpoint_is_held_twice():
    controllers = controllers_of(4, ("api",))
    fleet_views = fleet_views_of(endpoints_of("api", 300), controllers)
    seen = Counter(
        endpoint_id for controller in controllers for endpoint_id in fleet_views.view(controller.name)
    )
    assert max(seen.values()) == 1
    assert sum(seen.values()) == 4 * 10


FLEET_SERVICES = {"api": 200, "cart": 110, "search": 60, "tiny": 5, "single": 1}
FLEET_LIMITS = ViewLimits(max_endpoints=80)


def planned_endpoints() -> list[Endpoint]:
    """A fleet with a few large services and small ones, sizes of 1, 2 and 4, over four zones."""
    sizes = (1.0, 1.0, 2.0, 1.0, 4.0)
    return [
        endpoint._replace(nominal_weight=sizes[number % len(sizes)])
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
    """The share and a twentieth of it, rounded up to a whole pair."""
    return share + ceil(share / 20)


def test_endpoints_that_go_and_come_move_their_share_and_a_twentieth_and_leave_no_trace():
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


def test_controllers_that_go_and_come_move_their_share_and_a_twentieth_and_leave_no_trace():
    controllers = planned_controllers()
    fleet_views = fleet_views_of(planned_endpoints(), controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    moves = []
    for controller in controllers[::13]:
        share = len(fleet_views.view(controller.name))
        fleet_views.remove_controller(controller.name)
        left = [other for other in controllers if other != controller]
        moves.append((pairs_moved(before, held_pairs(fleet_views, left)), share))
        fleet_views.put_controller(controller)
        assert held_pairs(fleet_views, controllers) == before
    assert sum(moved for moved, _ in moves) <= 1.05 * sum(share for _, share in moves)
    assert all(moved <= allowed(share) for moved, share in moves)


@pytest.mark.parametrize("lost", ZONES)
def test_a_lost_zone_leaves_usable_views_and_comes_back_without_a_trace(lost):
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    gone = [endpoint for endpoint in endpoints if (endpoint.region, endpoint.zone) == lost]
    left = [endpoint for endpoint in endpoints if (endpoint.region, endpoint.zone) != lost]
    for endpoint in gone:
        fleet_views.remove_endpoint(endpoint.id)
    for controller in controllers:
        assert_usable(left, controller, fleet_views.view(controller.name))
    fleet_views.put_endpoints(reversed(gone))
    assert held_pairs(fleet_views, controllers) == before


def test_regions_apart_decide_usable_views_and_agree_again_when_healed():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    whole = held_pairs(fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers)
    for region in ("west", "east"):
        machine = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
        near_endpoints = [endpoint for endpoint in endpoints if endpoint.region == region]
        near_controllers = [controller for controller in controllers if controller.region == region]
        for endpoint in endpoints:
            if endpoint.region != region:
                machine.remove_endpoint(endpoint.id)
        for controller in controllers:
            if controller.region != region:
                machine.remove_controller(controller.name)
        for controller in near_controllers:
            assert_usable(near_endpoints, controller, machine.view(controller.name))
        machine.put_controllers(controllers)
        machine.put_endpoints(endpoints)
        assert held_pairs(machine, controllers) == whole


def test_seven_control_roles_decide_the_same_whatever_order_they_hear_in():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    decided = []
    for machine in range(7):
        random = Random(machine)
        fleet_views = FleetViews(FLEET_LIMITS, SEED)
        random.shuffle(endpoints)
        random.shuffle(controllers)
        for part in range(4):
            fleet_views.put_endpoints(endpoints[part::4])
            fleet_views.put_controllers(controllers[part::4])
            fleet_views.pop_changed()
        decided.append(held_pairs(fleet_views, controllers))
    assert all(pairs == decided[0] for pairs in decided[1:])


def test_control_roles_that_differ_in_one_endpoint_and_one_controller_differ_by_little():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    one = held_pairs(fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers)
    other = held_pairs(fleet_views_of(endpoints[1:], controllers[1:], FLEET_LIMITS), controllers[1:])
    concerned = sum(
        name == controllers[0].name or endpoint_id == endpoints[0].id for name, endpoint_id in one
    )
    assert pairs_moved(one, other) <= allowed(concerned)


def test_another_seed_gives_other_views():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    other = FleetViews(FLEET_LIMITS, SEED + 1)
    other.put_endpoints(endpoints)
    other.put_controllers(controllers)
    assert held_pairs(other, controllers) != held_pairs(
        fleet_views_of(endpoints, controllers, FLEET_LIMITS), controllers
    )


def test_holders_are_notified_of_an_endpoint_that_changes_its_service_though_they_hold_the_same_endpoints():
    endpoint, controller = endpoints_of("api", 1)[0], controllers_of(1, ("api", "cart"))[0]
    fleet_views = fleet_views_of([endpoint], [controller])
    fleet_views.pop_changed()
    fleet_views.put_endpoint(endpoint._replace(service="cart"))
    assert fleet_views.view(controller.name) == (endpoint.id,)
    assert fleet_views.pop_changed() == {controller.name}


def test_holders_are_notified_of_an_endpoint_that_was_removed_and_is_back_though_no_view_differs():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    fleet_views.pop_changed()
    for endpoint in endpoints[::31]:
        fleet_views.remove_endpoint(endpoint.id)
        fleet_views.put_endpoint(endpoint)
        assert fleet_views.pop_changed() == fleet_views.holders(endpoint.id) != frozenset()
    assert held_pairs(fleet_views, controllers) == before


def test_a_drain_reaches_every_holder_and_moves_nobody():
    endpoints, controllers = planned_endpoints(), planned_controllers()
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    fleet_views.pop_changed()
    for endpoint in endpoints[::31]:
        fleet_views.put_endpoint(endpoint._replace(ready=False))
        assert fleet_views.pop_changed() == fleet_views.holders(endpoint.id)
    assert before <= held_pairs(fleet_views, controllers)


def test_ready_endpoints_replace_others_while_a_zone_and_more_drain_within_the_bound():
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


def test_a_service_of_one_tiny_zone_is_held_in_both_zones_before_it_is_balanced():
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
        there = [endpoint for endpoint in endpoints if endpoint.service == service]
        assert_enough(
            there, [records[endpoint_id] for endpoint_id in view if records[endpoint_id].service == service]
        )


def test_where_endpoints_have_few_holders_a_change_moves_its_share_and_at_most_a_twentieth_of_all_pairs():
    """A bound of 1.25 is then few whole pairs, and to keep it moves more than a twentieth of the share."""
    endpoints, controllers = planned_endpoints(), planned_controllers()[:60]
    fleet_views = fleet_views_of(endpoints, controllers, FLEET_LIMITS)
    before = held_pairs(fleet_views, controllers)
    for controller in controllers[::4]:
        share = len(fleet_views.view(controller.name))
        fleet_views.remove_controller(controller.name)
        left = [other for other in controllers if other != controller]
        assert pairs_moved(before, held_pairs(fleet_views, left)) <= share + len(before) / 20
        fleet_views.put_controller(controller)
    for endpoint in endpoints[::20]:
        share = len(fleet_views.holders(endpoint.id))
        fleet_views.remove_endpoint(endpoint.id)
        assert pairs_moved(before, held_pairs(fleet_views, controllers)) <= share + len(before) / 20
        fleet_views.put_endpoint(endpoint)
    assert held_pairs(fleet_views, controllers) == before
