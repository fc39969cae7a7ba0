"""Measures views for `benchmarks.views`: balance of endpoints, missing zones, and the assignments that a
change moves.
"""

import math
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import numpy

from oatcart.scale.configuration import FleetSettings
from oatcart.scale.fleet import plan_fleet
from oatcart.views.fleet_views import FleetViews
from oatcart.views.holder_limits import expected_holders
from oatcart.views.records import Controller, Endpoint, ViewLimits

ALLOWED_EXCESS = 0.05  # of the share, that a change may move in addition
MIN_EXPECTED = 4.0  # holders; with fewer, rounding to whole numbers alone can exceed the overload

Views = dict[str, frozenset[str]]


@dataclass(frozen=True)
class Fleet:
    """The records of a drawn fleet."""

    endpoints: dict[str, Endpoint]
    controllers: dict[str, Controller]


@dataclass
class Balance:
    """How evenly endpoints are distributed over the controllers that are not complete holders of a service.

    `busiest_to_mean` and `least_to_mean`: largest and smallest number of holders divided by the expected
    number, of endpoints for which that is at least `MIN_EXPECTED` and less than the number of controllers.
    `over`: number of endpoints with more holders than the overload allows. `unheld`: number of endpoints
    without a holder in services with a sum of quotas of at least the number of endpoints.
    """

    busiest_to_mean: float
    least_to_mean: float
    over: int
    unheld: int


@dataclass
class Moves:
    """The assignments that single changes move, compared with the share of each change: the assignments of
    the endpoint or controller that it adds or removes.

    `beyond_to_share`: assignments moved beyond the share, divided by the share, over all changes; the fields
    with `most_` have the maximum for one change. `exceeding`: number of changes that move more than the share
    plus `ALLOWED_EXCESS` of it, rounded up. Times are processor time in ms.
    """

    changes: int
    beyond_to_share: float
    most_beyond_to_share: float
    most_beyond_pairs: int
    exceeding: int
    median_ms: float
    longest_ms: float


def drawn_fleet(settings: FleetSettings, seed: int) -> Fleet:
    """A drawn fleet as the records that views are decided from."""
    plan = plan_fleet(settings, seed)
    endpoints = {
        endpoint.id: Endpoint(
            endpoint.id, endpoint.region, endpoint.zone, endpoint.service, float(endpoint.size), True
        )
        for endpoint in plan.endpoints
    }
    controllers = {
        one.name: Controller(one.name, one.region, one.zone, one.services) for one in plan.controllers
    }
    return Fleet(endpoints, controllers)


def decided_views(fleet: Fleet, seed: int) -> FleetViews:
    """Decides the views of a fleet."""
    fleet_views = FleetViews(ViewLimits(), seed)
    fleet_views.put_endpoints(fleet.endpoints.values())
    fleet_views.put_controllers(fleet.controllers.values())
    fleet_views.pop_changed()
    return fleet_views


def all_views(fleet_views: FleetViews, names: dict[str, Controller]) -> Views:
    """The view of each controller."""
    return {name: frozenset(fleet_views.view(name)) for name in names}


def pairs_moved(before: Views, after: Views) -> int:
    """The number of assignments lost or of those gained, whichever is larger."""
    no_endpoints: frozenset[str] = frozenset()
    lost = sum(len(view - after.get(name, no_endpoints)) for name, view in before.items())
    gained = sum(len(view - before.get(name, no_endpoints)) for name, view in after.items())
    return max(lost, gained)


def processor_ms(action: Callable[[], object]) -> float:
    """The processor time that an action takes, in ms."""
    started = time.process_time()
    action()
    return 1000 * (time.process_time() - started)


def balance(fleet: Fleet, views: Views) -> Balance:
    """How evenly endpoints are distributed, over all services."""
    endpoints_of = by_service(fleet)
    views_of_service: dict[str, dict[str, set[str]]] = {service: {} for service in endpoints_of}
    for name, view in views.items():
        for service in fleet.controllers[name].services:
            views_of_service[service][name] = {
                endpoint.id for endpoint in endpoints_of[service] if endpoint.id in view
            }
    ratios: list[float] = []
    over = unheld = 0
    for service, endpoints in endpoints_of.items():
        partial = [view for view in views_of_service[service].values() if len(view) < len(endpoints)]
        if not partial:
            continue
        quota_sum = sum(map(len, partial))
        weights = numpy.array([endpoint.nominal_weight for endpoint in endpoints])
        holders = numpy.array([sum(endpoint.id in view for view in partial) for endpoint in endpoints])
        expected = expected_holders(weights, quota_sum, len(partial))
        is_counted = (expected >= MIN_EXPECTED) & (expected < len(partial))
        ratios.extend((holders[is_counted] / expected[is_counted]).tolist())
        over += int((holders > numpy.maximum(ViewLimits().overload * expected, numpy.ceil(expected))).sum())
        if quota_sum >= len(endpoints) and len(partial) == len(views_of_service[service]):
            unheld += int((holders == 0).sum())
    return Balance(max(ratios, default=1.0), min(ratios, default=1.0), over, unheld)


def by_service(fleet: Fleet) -> dict[str, list[Endpoint]]:
    """The endpoints of each service."""
    groups: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in fleet.endpoints.values():
        groups[endpoint.service].append(endpoint)
    return groups


def short_of_zones(fleet: Fleet, views: Views) -> int:
    """The number of pairs of a controller and a service without ready endpoints in two zones (in one, if the
    service has only one)."""
    zones_of_service = {
        service: len({(endpoint.region, endpoint.zone) for endpoint in endpoints if endpoint.ready})
        for service, endpoints in by_service(fleet).items()
    }
    short = 0
    for name, view in views.items():
        zones: dict[str, set[tuple[str, str]]] = defaultdict(set)
        for endpoint in (fleet.endpoints[endpoint_id] for endpoint_id in view):
            if endpoint.ready:
                zones[endpoint.service].add((endpoint.region, endpoint.zone))
        short += sum(
            len(zones[service]) < min(2, zones_of_service.get(service, 0))
            for service in fleet.controllers[name].services
        )
    return short


class TrackedViews:
    """Views kept up to date with the changes that `FleetViews` reports."""

    def __init__(self, fleet_views: FleetViews, views: Views) -> None:
        self.fleet_views = fleet_views
        self.views = dict(views)

    def apply(self, change: Callable[[], None], removed: str | None = None) -> float:
        """Makes a change and updates the views; returns the processor time of the decision, ms."""
        changed: list[frozenset[str]] = []

        def decide() -> None:
            change()
            changed.append(self.fleet_views.pop_changed())

        elapsed_ms = processor_ms(decide)
        self.views.pop(removed, None)
        for name in changed[0]:
            self.views[name] = frozenset(self.fleet_views.view(name))
        return elapsed_ms


def endpoint_moves(fleet: Fleet, tracked: TrackedViews, changes: int, random: Random) -> Moves:
    """Measures the removal and the return of randomly drawn endpoints."""
    fleet_views = tracked.fleet_views
    tally = Tally()
    for endpoint_id in random.sample(sorted(fleet.endpoints), min(changes, len(fleet.endpoints))):
        before = dict(tracked.views)
        share = len(fleet_views.holders(endpoint_id))
        removed_ms = tracked.apply(lambda endpoint_id=endpoint_id: fleet_views.remove_endpoint(endpoint_id))
        tally.add(share, pairs_moved(before, tracked.views))
        added_ms = tracked.apply(
            lambda endpoint_id=endpoint_id: fleet_views.put_endpoint(fleet.endpoints[endpoint_id])
        )
        tally.durations += [removed_ms, added_ms]
        assert_restored(before, tracked.views, endpoint_id)
    return tally.moves()


def controller_moves(fleet: Fleet, tracked: TrackedViews, changes: int, random: Random) -> Moves:
    """Measures the removal and the return of randomly drawn controllers."""
    fleet_views = tracked.fleet_views
    tally = Tally()
    for name in random.sample(sorted(fleet.controllers), min(changes, len(fleet.controllers))):
        before = dict(tracked.views)
        removed_ms = tracked.apply(lambda name=name: fleet_views.remove_controller(name), removed=name)
        tally.add(len(before[name]), pairs_moved(before, tracked.views))
        added_ms = tracked.apply(lambda name=name: fleet_views.put_controller(fleet.controllers[name]))
        tally.durations += [removed_ms, added_ms]
        assert_restored(before, tracked.views, name)
    return tally.moves()


def assert_restored(before: Views, after: Views, name: str) -> None:
    """Raises AssertionError if undoing a change has not restored the views."""
    if after != before:
        raise AssertionError(f"{name} was added again and the views differ")


class Tally:
    """Collects the shares, moves and durations of single changes."""

    def __init__(self) -> None:
        self.shares: list[int] = []
        self.beyond: list[int] = []
        self.durations: list[float] = []

    def add(self, share: int, moved: int) -> None:
        """Adds one change: its share and the number of assignments moved."""
        self.shares.append(share)
        self.beyond.append(moved - share)

    def moves(self) -> Moves:
        """The figures over all changes."""
        changes = list(zip(self.beyond, self.shares, strict=True))
        return Moves(
            len(changes),
            sum(self.beyond) / max(1, sum(self.shares)),
            max(beyond / max(1, share) for beyond, share in changes),
            max(self.beyond),
            sum(beyond > math.ceil(ALLOWED_EXCESS * share) for beyond, share in changes),
            float(numpy.median(self.durations)),
            max(self.durations),
        )
