"""A fleet drawn from one seed: endpoints over regions, zones, racks and services, and controllers by zone.

How the operators' counts are read:

* A few services hold thousands of endpoints, most a handful: the service of rank ``r`` gets, beyond the two
  endpoints that every service has, a part of the endpoints that falls as ``1 / r ** service_skew`` (Zipf's
  law).
* A small service lives in a few zones, a large one in many: one zone for every `NODES_PER_ZONE_OF_SERVICE`
  endpoints, never fewer than two where there are two.
* A controller orders for `proxies_per_conductor` proxies, which call `services_per_conductor` services: the
  first is dealt in turn, so that every service is called by someone, the others by the endpoints they hold.

The same settings and seed give the same fleet. :meth:`FleetSettings.scaled_to` gives the settings of a
smaller one of the same shape.
"""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import NamedTuple

import numpy
from numpy.typing import NDArray

from oatcart.scale.configuration import MIN_ENDPOINTS_PER_SERVICE, FleetSettings

ENDPOINT_SIZES = (1, 2, 4)
"""Sizes that machines come in, as multiples of the smallest."""

ENDPOINT_SIZE_SHARES = (0.6, 0.3, 0.1)
"""The share of the endpoints that has each of `NODE_SIZES`."""

ENDPOINTS_PER_ZONE_OF_SERVICE = 12
"""Endpoints of a service in one zone, before it takes up another zone."""

ZONE_SKEW = 0.5
"""How unequal zones are: the zone of rank r is taken up in proportion to ``1 / r ** ZONE_SKEW``."""

FIRST_ADDRESS = IPv4Address("10.0.0.1")
"""The host of the first endpoint; the others follow."""

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
    """A controller, where it runs and the services that its proxies call."""

    name: str
    region: str
    zone: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class FleetPlan:
    """The fleet as drawn; `zone_regions` tells the region of each zone."""

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
    """Draws the fleet. The settings are taken as checked by :func:`oatcart.scale.configuration_file.read`."""
    endpoint_stream, controller_stream = numpy.random.SeedSequence(seed).spawn(2)
    zone_regions = _zone_regions(settings)
    endpoints = _draw_endpoints(settings, zone_regions, numpy.random.default_rng(endpoint_stream))
    controllers = _draw_controllers(
        settings, endpoints, zone_regions, numpy.random.default_rng(controller_stream)
    )
    return FleetPlan(settings, seed, endpoints, controllers, zone_regions)


def apportion(total: int, weights: Floats) -> Integers:
    """Whole numbers that sum to `total` in proportion to the weights (method of largest remainders).

    >>> apportion(10, numpy.array([3.0, 2.0, 1.0])).tolist()
    [5, 3, 2]
    """
    exact = total * weights / weights.sum()
    counts = numpy.floor(exact).astype(numpy.int64)
    by_remainder = numpy.argsort(counts - exact, kind="stable")
    counts[by_remainder[: total - int(counts.sum())]] += 1
    return counts


def service_sizes(settings: FleetSettings) -> Integers:
    """The endpoints of each service, the largest service first."""
    ranks = numpy.arange(1, settings.services + 1, dtype=float)
    spare = settings.nodes - MIN_ENDPOINTS_PER_SERVICE * settings.services
    return MIN_ENDPOINTS_PER_SERVICE + apportion(spare, ranks**-settings.service_skew)


def _zone_regions(settings: FleetSettings) -> dict[str, str]:
    """Zones dealt to regions in turn, so that no region has two more zones than another."""
    region_of = numpy.sort(numpy.arange(settings.zones) % settings.regions)
    return {_zone_name(zone): f"region-{region:02}" for zone, region in enumerate(region_of)}


def _zone_name(zone: int) -> str:
    return f"zone-{zone:02}"


def _service_name(service: int) -> str:
    return f"service-{service:04}"


def _zone_weights(settings: FleetSettings, generator: numpy.random.Generator) -> Floats:
    """How large each zone is, in an order that says nothing of its number."""
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
    """The service and the zone of each endpoint."""
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
    """For each item, how many items of its group stand before it.

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
    """The zone of each controller: as many controllers in a zone as its endpoints make up of the fleet."""
    counts = dict.fromkeys(zone_names, 0)
    for endpoint in endpoints:
        counts[endpoint.zone] += 1
    per_zone = apportion(settings.conductors, numpy.array(list(counts.values()), dtype=float))
    return generator.permutation(numpy.repeat(numpy.arange(len(zone_names)), per_zone))


def _called_services(settings: FleetSettings, generator: numpy.random.Generator) -> Integers:
    """A row of distinct services for each controller, in the order of their numbers.

    The weighted draw without replacement takes the largest keys ``log(weight) + Gumbel noise``; the service
    dealt in turn has an infinite key.
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
