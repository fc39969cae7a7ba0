"""Finds settings that contradict each other, although each of them is valid alone."""

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
    """Fields (`section.key`) that contradict each other, and the message for the operator."""

    fields: tuple[str, ...]
    problem: str


def impossible_combinations(settings: Settings) -> Iterator[ImpossibleCombination]:
    """Yields all contradictions in the settings."""
    yield from _fleet_contradictions(settings.fleet)
    yield from _day_contradictions(settings.day, settings.fleet)
    memory, limit = settings.budgets.memory, settings.limits.memory
    if memory > limit:
        yield ImpossibleCombination(
            ("limits.memory", "budgets.memory"),
            f"{limit} bytes are less than budgets.memory of one controller ({memory} bytes)",
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
            f"{fleet.zones} zones are more than the {fleet.nodes} endpoints",
        )
    min_endpoints = MIN_ENDPOINTS_PER_SERVICE * fleet.services
    if fleet.nodes < min_endpoints:
        yield ImpossibleCombination(
            ("fleet.services", "fleet.nodes"),
            f"{fleet.services} services need {min_endpoints} endpoints, the fleet has {fleet.nodes}",
        )
    if fleet.services_per_conductor > fleet.services:
        yield ImpossibleCombination(
            ("fleet.services_per_conductor", "fleet.services"),
            f"{fleet.services_per_conductor} services per controller are more than all {fleet.services}",
        )


def _day_contradictions(day: DaySettings, fleet: FleetSettings) -> Iterator[ImpossibleCombination]:
    min_racks = math.ceil(fleet.nodes / fleet.nodes_per_rack)
    if day.failures > fleet.nodes:
        yield ImpossibleCombination(
            ("day.failures", "fleet.nodes"),
            f"{day.failures} failures are more than the {fleet.nodes} endpoints",
        )
    if day.rack_losses > min_racks:
        yield ImpossibleCombination(
            ("day.rack_losses", "fleet.nodes_per_rack", "fleet.nodes"),
            f"{day.rack_losses} lost racks are more than the {min_racks} that the endpoints fill",
        )
    if day.zone_losses > fleet.zones:
        yield ImpossibleCombination(
            ("day.zone_losses", "fleet.zones"),
            f"{day.zone_losses} lost zones are more than the {fleet.zones} zones",
        )
    if day.partitions > 0 and fleet.regions < 2:
        yield ImpossibleCombination(
            ("day.partitions", "fleet.regions"),
            "a partition needs at least two regions, there is one",
        )
