"""Which settings contradict each other, though each of them is possible alone."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from oatcart.scale.configuration import (
    MIN_ENDPOINTS_PER_SERVICE,
    DaySettings,
    FleetSettings,
    Settings,
)


class ImpossibleCombination(NamedTuple):
    """Fields (`section.key`) that contradict each other, and what to tell the operator about it."""

    fields: tuple[str, ...]
    problem: str


def impossible_combinations(settings: Settings) -> Iterator[ImpossibleCombination]:
    """All contradictions within some settings."""
    yield from _fleet_contradictions(settings.fleet)
    yield from _day_contradictions(settings.day, settings.fleet)
    memory, limit = settings.budgets.memory, settings.limits.memory
    if memory > limit:
        yield ImpossibleCombination(
            ("limits.memory", "budgets.memory"),
            f"{limit} bytes do not hold one conductor of budgets.memory ({memory} bytes)",
        )


def _fleet_contradictions(fleet: FleetSettings) -> Iterator[ImpossibleCombination]:
    if fleet.regions > fleet.zones:
        yield ImpossibleCombination(
            ("fleet.regions", "fleet.zones"),
            f"{fleet.regions} regions are more than the {fleet.zones} zones",
        )
    if fleet.zones > fleet.nodes:
        yield ImpossibleCombination(
            ("fleet.zones", "fleet.nodes"),
            f"{fleet.zones} zones are more than the {fleet.nodes} nodes",
        )
    min_endpoints = MIN_ENDPOINTS_PER_SERVICE * fleet.services
    if fleet.nodes < min_endpoints:
        yield ImpossibleCombination(
            ("fleet.services", "fleet.nodes"),
            f"{fleet.services} services need {min_endpoints} nodes, the fleet has {fleet.nodes}",
        )
    if fleet.services_per_conductor > fleet.services:
        yield ImpossibleCombination(
            ("fleet.services_per_conductor", "fleet.services"),
            f"{fleet.services_per_conductor} services a conductor are more than all {fleet.services}",
        )


def _day_contradictions(day: DaySettings, fleet: FleetSettings) -> Iterator[ImpossibleCombination]:
    min_racks = math.ceil(fleet.nodes / fleet.nodes_per_rack)
    if day.failures > fleet.nodes:
        yield ImpossibleCombination(
            ("day.failures", "fleet.nodes"),
            f"{day.failures} failures are more than the {fleet.nodes} nodes",
        )
    if day.rack_losses > min_racks:
        yield ImpossibleCombination(
            ("day.rack_losses", "fleet.nodes_per_rack", "fleet.nodes"),
            f"{day.rack_losses} racks lost are more than the {min_racks} that the nodes fill",
        )
    if day.zone_losses > fleet.zones:
        yield ImpossibleCombination(
            ("day.zone_losses", "fleet.zones"),
            f"{day.zone_losses} zones lost are more than the {fleet.zones} there are",
        )
    if day.partitions > 0 and fleet.regions < 2:
        yield ImpossibleCombination(
            ("day.partitions", "fleet.regions"),
            "one region cannot be cut from another; a partition needs two",
        )
