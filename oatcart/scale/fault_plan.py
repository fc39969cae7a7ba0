"""One day of a fleet drawn from a seed: failures, restarts, lost racks and zones, partitions, and changes.

The time of an event is in seconds from the start of a run: the time of the simulated day divided by
`time_compression`. Events are consistent: an endpoint has at most one outage at a time, a restarted endpoint
is first DRAINING and then DELETED, and an endpoint that was away is warming up after its `NodeReturned`.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import numpy

from oatcart.errors import OatcartError
from oatcart.scale.configuration import DAY_S, DaySettings
from oatcart.scale.fleet import FleetPlan

MAX_DRAWS_PER_OUTAGE = 50
"""Start times drawn for an outage that overlaps no other, before another endpoint is tried or it fails."""

MAX_ENDPOINTS_PER_OUTAGE = 200
"""Endpoints tried for one outage before the drawing fails."""


class FaultPlanError(OatcartError):
    """Raised for a day that does not fit the fleet, such as one with more restarts than there is time for."""


class Cause(Enum):
    """Why an endpoint went away."""

    FAILURE = "failure"
    RESTART = "restart"
    RACK_LOSS = "rack loss"
    ZONE_LOSS = "zone loss"


class NodeLost(NamedTuple):
    """An endpoint is gone without being drained: by itself, or with its rack or zone."""

    at_s: float
    endpoint: str
    cause: Cause


class NodeDraining(NamedTuple):
    """An endpoint drains before a restart and takes no new requests."""

    at_s: float
    endpoint: str


class NodeDeleted(NamedTuple):
    """A drained endpoint is removed from the endpoint list."""

    at_s: float
    endpoint: str


class NodeReturned(NamedTuple):
    """An endpoint is back and warming up: it started at `at_s`."""

    at_s: float
    endpoint: str
    cause: Cause


class RegionsCut(NamedTuple):
    """A partition starts: two regions cannot reach each other any more."""

    at_s: float
    first: str
    second: str


class RegionsRejoined(NamedTuple):
    """A partition ends: two regions can reach each other again."""

    at_s: float
    first: str
    second: str


class ConfigurationChanged(NamedTuple):
    """Change `number` of the day, of one route of a service; `burst` is the number of its burst, if any."""

    at_s: float
    number: int
    service: str
    route: int
    burst: int | None


Event = (
    NodeLost | NodeDraining | NodeDeleted | NodeReturned | RegionsCut | RegionsRejoined | ConfigurationChanged
)


@dataclass(frozen=True)
class DayPlan:
    """The events of a day in the order of their times."""

    settings: DaySettings
    seed: int
    events: tuple[Event, ...]

    @property
    def length_s(self) -> float:
        """The length of the compressed day in seconds."""
        return DAY_S / self.settings.time_compression


def plan_day(fleet: FleetPlan, settings: DaySettings, seed: int) -> DayPlan:
    """Draws the day of a fleet; raises FaultPlanError if it does not fit the fleet."""
    streams = numpy.random.SeedSequence(seed).spawn(3)
    outages, partitions, changes = (numpy.random.default_rng(stream) for stream in streams)
    events = [
        *_Outages(fleet, settings, outages).draw(),
        *_draw_partitions(fleet, settings, partitions),
        *_draw_changes(fleet, settings, changes),
    ]
    compressed = [event._replace(at_s=event.at_s / settings.time_compression) for event in events]
    return DayPlan(settings, seed, tuple(sorted(compressed, key=lambda event: event.at_s)))


class _Interval(NamedTuple):
    """A span in which an endpoint is draining or away, in seconds of the simulated day."""

    start: float
    end: float


class _Outages:
    """Draws outages, the largest first; each avoids those drawn before it on the same endpoints."""

    def __init__(self, fleet: FleetPlan, settings: DaySettings, generator: numpy.random.Generator) -> None:
        self.fleet = fleet
        self.settings = settings
        self.generator = generator
        self.endpoint_ids = [endpoint.id for endpoint in fleet.endpoints]
        self.busy: dict[str, list[_Interval]] = {endpoint: [] for endpoint in self.endpoint_ids}
        self.events: list[Event] = []

    def draw(self) -> list[Event]:
        """Draws and returns all events of endpoints."""
        settings = self.settings
        self._draw_group_losses(self.fleet.endpoints_by_zone(), settings.zone_losses, Cause.ZONE_LOSS)
        self._draw_group_losses(self.fleet.endpoints_by_rack(), settings.rack_losses, Cause.RACK_LOSS)
        self._draw_endpoint_outages(settings.failures, settings.failed_for, self._fail, "failures")
        away_for = settings.drain_for + settings.restart_for
        self._draw_endpoint_outages(settings.restarts, away_for, self._restart, "restarts")
        return self.events

    def _draw_group_losses(self, groups: dict[str, list], count: int, cause: Cause) -> None:
        if count > len(groups):
            raise FaultPlanError(f"{count} times {cause.value}: expected at most {len(groups)}")
        names = list(groups)
        for chosen in self.generator.permutation(len(names))[:count].tolist():
            endpoints = [endpoint.id for endpoint in groups[names[chosen]]]
            outage = self._draw_free_interval(endpoints, self.settings.lost_for)
            if outage is None:
                raise FaultPlanError(
                    f"{cause.value} of {names[chosen]}: no time without another outage found"
                )
            for endpoint in endpoints:
                self._lose(endpoint, outage, cause)

    def _draw_endpoint_outages(
        self, count: int, away_for: float, add_outage: Callable[[str, _Interval], None], title: str
    ) -> None:
        """Draws an outage for each of `count` endpoints: distinct ones as far as there are enough."""
        for position in self._drawn_endpoints(count):
            outage, endpoint = None, self.endpoint_ids[position]
            for _ in range(MAX_ENDPOINTS_PER_OUTAGE):
                outage = self._draw_free_interval([endpoint], away_for)
                if outage is not None:
                    break
                endpoint = self.endpoint_ids[int(self.generator.integers(len(self.endpoint_ids)))]
            if outage is None:
                raise FaultPlanError(f"{count} {title} do not fit on {len(self.endpoint_ids)} endpoints")
            add_outage(endpoint, outage)

    def _drawn_endpoints(self, count: int) -> list[int]:
        rounds = -(-count // len(self.endpoint_ids))
        drawn = [self.generator.permutation(len(self.endpoint_ids)) for _ in range(rounds)]
        return numpy.concatenate(drawn).tolist()[:count] if drawn else []

    def _draw_free_interval(self, endpoints: Sequence[str], length: float) -> _Interval | None:
        """Returns an interval in which none of the endpoints is draining or away, or None."""
        latest = DAY_S - length
        for _ in range(MAX_DRAWS_PER_OUTAGE):
            start = float(self.generator.uniform(0.0, latest))
            interval = _Interval(start, start + length)
            if all(self._is_free(endpoint, interval) for endpoint in endpoints):
                return interval
        return None

    def _is_free(self, endpoint: str, interval: _Interval) -> bool:
        busy = self.busy[endpoint]
        after = bisect_right(busy, interval)
        ends_before = after == 0 or busy[after - 1].end < interval.start
        starts_after = after == len(busy) or interval.end < busy[after].start
        return ends_before and starts_after

    def _fail(self, endpoint: str, outage: _Interval) -> None:
        self._lose(endpoint, outage, Cause.FAILURE)

    def _lose(self, endpoint: str, outage: _Interval, cause: Cause) -> None:
        insort(self.busy[endpoint], outage)
        self.events += [NodeLost(outage.start, endpoint, cause), NodeReturned(outage.end, endpoint, cause)]

    def _restart(self, endpoint: str, outage: _Interval) -> None:
        insort(self.busy[endpoint], outage)
        self.events += [
            NodeDraining(outage.start, endpoint),
            NodeDeleted(outage.start + self.settings.drain_for, endpoint),
            NodeReturned(outage.end, endpoint, Cause.RESTART),
        ]


def _draw_partitions(
    fleet: FleetPlan, settings: DaySettings, generator: numpy.random.Generator
) -> list[Event]:
    """Draws partitions between distinct pairs of regions."""
    regions = fleet.regions
    pairs = [(first, second) for index, first in enumerate(regions) for second in regions[index + 1 :]]
    if settings.partitions > len(pairs):
        raise FaultPlanError(
            f"{settings.partitions} partitions: expected at most {len(pairs)}, one for each pair of regions"
        )
    events: list[Event] = []
    for chosen in generator.permutation(len(pairs))[: settings.partitions].tolist():
        start = float(generator.uniform(0.0, DAY_S - settings.partition_for))
        events.append(RegionsCut(start, *pairs[chosen]))
        events.append(RegionsRejoined(start + settings.partition_for, *pairs[chosen]))
    return events


def _draw_changes(
    fleet: FleetPlan, settings: DaySettings, generator: numpy.random.Generator
) -> list[ConfigurationChanged]:
    """Draws single changes at any time of the day and bursts of changes to the routes of one service.

    Changes are numbered in order of time. Route number r leads to service r modulo the number of services.
    """
    in_bursts = round(settings.changes * settings.burst_share)
    alone = settings.changes - in_bursts
    times = generator.uniform(0.0, DAY_S, alone).tolist()
    routes = generator.integers(fleet.settings.routes, size=alone).tolist()
    drawn = [(time, route, None) for time, route in zip(times, routes, strict=True)]
    for burst, first in enumerate(range(0, in_bursts, settings.burst_size)):
        size = min(settings.burst_size, in_bursts - first)
        drawn += _draw_burst(fleet, settings, burst, size, generator)
    drawn.sort(key=lambda change: change[0])
    services = fleet.services
    return [
        ConfigurationChanged(at, number, services[route % len(services)], route, burst)
        for number, (at, route, burst) in enumerate(drawn)
    ]


def _draw_burst(
    fleet: FleetPlan, settings: DaySettings, burst: int, size: int, generator: numpy.random.Generator
) -> list[tuple[float, int, int]]:
    """Draws the time, the route and the burst of each change of one burst."""
    route_count, service_count = fleet.settings.routes, len(fleet.services)
    first_route = int(generator.integers(min(route_count, service_count)))
    routes_of_service = numpy.arange(first_route, route_count, service_count)
    start = generator.uniform(0.0, DAY_S - settings.burst_for)
    times = start + generator.uniform(0.0, settings.burst_for, size)
    routes = generator.choice(routes_of_service, size)
    return [(time, route, burst) for time, route in zip(times.tolist(), routes.tolist(), strict=True)]
