"""A fleet drawn from a seed: endpoints in regions, zones, racks and services, and controllers in zones.

How the operators' counts are applied:

* A few services have thousands of endpoints, most have a handful: every service has two endpoints, and the
  rest is shared out so that the service of rank ``r`` gets a part proportional to ``1 / r ** service_skew``
  (Zipf's law).
* A small service has endpoints in a few zones, a large one in many: in one zone for every
  `ENDPOINTS_PER_ZONE_OF_SERVICE` endpoints, and in two at least if the fleet has two.
* A controller serves `proxies_per_conductor` proxies, which call `services_per_conductor` services: one is
  assigned in turn, so that every service is called, the others are drawn by their numbers of endpoints.

The same settings and seed give the same fleet. :meth:`FleetSettings.scaled_to` returns the settings of a
smaller one of the same shape.
"""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import NamedTuple

import numpy
from numpy.typing import NDArray

from oatcart.scale.configuration import MIN_ENDPOINTS_PER_SERVICE, FleetSettings

ENDPOINT_SIZES = (1, 2, 4)
"""The sizes of machines, as multiples of the smallest."""

ENDPOINT_SIZE_SHARES = (0.6, 0.3, 0.1)
"""The share of the endpoints that have each of `ENDPOINT_SIZES`."""

ENDPOINTS_PER_ZONE_OF_SERVICE = 12
"""Endpoints of a service for each zone that it is in."""

ZONE_SKEW = 0.5
"""How unequal zones are: the zone of rank r has a weight of ``1 / r ** ZONE_SKEW``."""

FIRST_ADDRESS = IPv4Address("10.0.0.1")
"""The IP address of the first endpoint; the others follow it."""

ENDPOINT_PORT = 8080
"""The port of every endpoint."""

Integers = NDArray[numpy.int64]
Floats = NDArray[numpy.float64]


class PlannedEndpoint(NamedTuple):
    """An endpoint of the fleet; `address` is host and port, `size` a multiple of the smallest machine."""

    id: str
    address: str
    region: str
    zone: str
    rack: str
    service: str
    size: int


class PlannedController(NamedTuple):
    """A controller: where it runs and the services that its proxies call."""

    name: str
    region: str
    zone: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class FleetPlan:
    """A drawn fleet; `zone_regions` has the region of each zone."""

    settings: FleetSettings
    seed: int
    endpoints: tuple[PlannedEndpoint, ...]
    controllers: tuple[PlannedController, ...]
    zone_regions: dict[str, str]

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions, in the order of their numbers."""
        return tuple(dict.fromkeys(self.zone_regions.values()))

    @property
    def services(self) -> tuple[str, ...]:
        """All services, the one with the most endpoints first."""
        return tuple(_service_name(number) for number in range(self.settings.services))

    def endpoints_by_service(self) -> dict[str, list[PlannedEndpoint]]:
        """The endpoints of each service."""
        return _grouped(self.endpoints, "service")

    def endpoints_by_zone(self) -> dict[str, list[PlannedEndpoint]]:
        """The endpoints of each zone."""
        return _grouped(self.endpoints, "zone")

    def endpoints_by_rack(self) -> dict[str, list[PlannedEndpoint]]:
        """The endpoints of each rack."""
        return _grouped(self.endpoints, "rack")


def plan_fleet(settings: FleetSettings, seed: int) -> FleetPlan:
    """Draws the fleet from settings that :func:`oatcart.scale.configuration_file.read` has checked."""
    endpoint_stream, controller_stream = numpy.random.SeedSequence(seed).spawn(2)
    zone_regions = _zone_regions(settings)
    endpoints = _draw_endpoints(settings, zone_regions, numpy.random.default_rng(endpoint_stream))
    controllers = _draw_controllers(
        settings, endpoints, zone_regions, numpy.random.default_rng(controller_stream)
    )
    return FleetPlan(settings, seed, endpoints, controllers, zone_regions)


def apportion(total: int, weights: Floats) -> Integers:
    """Returns integers that sum to `total` in proportion to the weights (method of largest remainders).

    >>> apportion(10, numpy.array([3.0, 2.0, 1.0])).tolist()
    [5, 3, 2]
    """
    exact = total * weights / weights.sum()
    counts = numpy.floor(exact).astype(numpy.int64)
    by_remainder = numpy.argsort(counts - exact, kind="stable")
    counts[by_remainder[: total - int(counts.sum())]] += 1
    return counts


def service_sizes(settings: FleetSettings) -> Integers:
    """Returns the number of endpoints of each service, the largest service first."""
    ranks = numpy.arange(1, settings.services + 1, dtype=float)
    spare = settings.nodes - MIN_ENDPOINTS_PER_SERVICE * settings.services
    return MIN_ENDPOINTS_PER_SERVICE + apportion(spare, ranks**-settings.service_skew)


def _zone_regions(settings: FleetSettings) -> dict[str, str]:
    """Returns the region of each zone; the numbers of zones of two regions differ by one at most."""
    region_of = numpy.sort(numpy.arange(settings.zones) % settings.regions)
    return {_zone_name(zone): f"region-{region:02}" for zone, region in enumerate(region_of)}


def _zone_name(zone: int) -> str:
    return f"zone-{zone:02}"


def _service_name(service: int) -> str:
    return f"service-{service:04}"


def _zone_weights(settings: FleetSettings, generator: numpy.random.Generator) -> Floats:
    """Returns the weight of each zone; ranks are assigned at random."""
    ranks = generator.permutation(settings.zones) + 1.0
    return ranks**-ZONE_SKEW


def _draw_endpoints(
    settings: FleetSettings, zone_regions: dict[str, str], generator: numpy.random.Generator
) -> tuple[PlannedEndpoint, ...]:
    zone_weights = _zone_weights(settings, generator)
    services, zones = _assign_services_and_zones(service_sizes(settings), zone_weights, generator)
    order = generator.permutation(settings.nodes)
    services, zones = services[order], zones[order]
    _fill_empty_zones(services, zones, settings)
    sizes = generator.choice(ENDPOINT_SIZES, settings.nodes, p=ENDPOINT_SIZE_SHARES)
    in_zone = _positions_within(zones)
    return tuple(
        PlannedEndpoint(
            id=f"node-{number:06}",
            address=f"{FIRST_ADDRESS + number}:{ENDPOINT_PORT}",
            region=zone_regions[_zone_name(zone)],
            zone=_zone_name(zone),
            rack=f"{_zone_name(zone)}-rack-{position // settings.nodes_per_rack:03}",
            service=_service_name(service),
            size=size,
        )
        for number, (zone, position, service, size) in enumerate(
            zip(zones.tolist(), in_zone.tolist(), services.tolist(), sizes.tolist(), strict=True)
        )
    )


def _assign_services_and_zones(
    counts: Integers, zone_weights: Floats, generator: numpy.random.Generator
) -> tuple[Integers, Integers]:
    """Returns the service and the zone of each endpoint."""
    zone_parts = []
    for count in counts.tolist():
        chosen = _zones_of_service(count, zone_weights, generator)
        per_zone = 1 + apportion(count - len(chosen), zone_weights[chosen])
        zone_parts.append(numpy.repeat(chosen, per_zone))
    services = numpy.repeat(numpy.arange(len(counts)), counts)
    return services, numpy.concatenate(zone_parts)


def _zones_of_service(count: int, zone_weights: Floats, generator: numpy.random.Generator) -> Integers:
    wanted = max(2, -(-count // ENDPOINTS_PER_ZONE_OF_SERVICE))
    zone_count = min(wanted, count, len(zone_weights))
    return generator.choice(len(zone_weights), zone_count, replace=False, p=zone_weights / zone_weights.sum())


def _fill_empty_zones(services: Integers, zones: Integers, settings: FleetSettings) -> None:
    """Moves an endpoint into each zone that the draw left empty, from the fullest zone's largest service."""
    for zone in numpy.setdiff1d(numpy.arange(settings.zones), zones).tolist():
        fullest = numpy.argmax(numpy.bincount(zones, minlength=settings.zones))
        candidates = numpy.flatnonzero(zones == fullest)
        zones[candidates[numpy.argmin(services[candidates])]] = zone


def _positions_within(groups: Integers) -> Integers:
    """Returns for each item how many items of its group come before it.

    >>> _positions_within(numpy.array([7, 3, 7, 7, 3])).tolist()
    [0, 0, 1, 2, 1]
    """
    order = numpy.argsort(groups, kind="stable")
    _, starts, counts = numpy.unique(groups[order], return_index=True, return_counts=True)
    positions = numpy.empty(len(groups), dtype=numpy.int64)
    positions[order] = numpy.arange(len(groups)) - numpy.repeat(starts, counts)
    return positions


def _draw_controllers(
    settings: FleetSettings,
    endpoints: tuple[PlannedEndpoint, ...],
    zone_regions: dict[str, str],
    generator: numpy.random.Generator,
) -> tuple[PlannedController, ...]:
    zone_names = list(zone_regions)
    zones = _controller_zones(settings, endpoints, zone_names, generator)
    called = _called_services(settings, generator)
    return tuple(
        PlannedController(
            name=f"conductor-{number:05}",
            region=zone_regions[zone_names[zone]],
            zone=zone_names[zone],
            services=tuple(_service_name(service) for service in services),
        )
        for number, (zone, services) in enumerate(zip(zones.tolist(), called.tolist(), strict=True))
    )


def _controller_zones(
    settings: FleetSettings,
    endpoints: tuple[PlannedEndpoint, ...],
    zone_names: list[str],
    generator: numpy.random.Generator,
) -> Integers:
    """Returns the zone of each controller; a zone's share of the controllers is that of the endpoints."""
    counts = dict.fromkeys(zone_names, 0)
    for endpoint in endpoints:
        counts[endpoint.zone] += 1
    per_zone = apportion(settings.conductors, numpy.array(list(counts.values()), dtype=float))
    return generator.permutation(numpy.repeat(numpy.arange(len(zone_names)), per_zone))


def _called_services(settings: FleetSettings, generator: numpy.random.Generator) -> Integers:
    """Returns a row of distinct services for each controller, in the order of their numbers.

    The weighted draw without replacement takes the largest keys ``log(weight) + Gumbel noise``; the service
    that is assigned in turn has an infinite key.
    """
    log_weights = numpy.log(service_sizes(settings).astype(float))
    in_turn = generator.permutation(settings.services)
    called = numpy.empty((settings.conductors, settings.services_per_conductor), dtype=numpy.int64)
    for number in range(settings.conductors):
        keys = log_weights + generator.gumbel(size=settings.services)
        keys[in_turn[number % settings.services]] = numpy.inf
        top = numpy.argpartition(keys, -settings.services_per_conductor)[-settings.services_per_conductor :]
        called[number] = numpy.sort(top)
    return called


def _grouped(endpoints: tuple[PlannedEndpoint, ...], field: str) -> dict[str, list[PlannedEndpoint]]:
    groups: dict[str, list[PlannedEndpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault(getattr(endpoint, field), []).append(endpoint)
    return groups
