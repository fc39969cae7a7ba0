"""The records that views are decided from, the limits of a view, and the errors."""

from dataclasses import dataclass
from typing import NamedTuple


class Endpoint(NamedTuple):
    """An endpoint as discovery lists it.

    `nominal_weight` is its relative capacity (above zero, no unit). `ready` is False while it drains. A zone
    belongs to one region; the same zone name in two regions means two different zones.
    """

    id: str
    region: str
    zone: str
    service: str
    nominal_weight: float
    ready: bool


class Controller(NamedTuple):
    """A controller that is served a view. If `services` is empty, it needs all services."""

    name: str
    region: str
    zone: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class ViewLimits:
    """The limits of one view's size, and of how unevenly endpoints are distributed over views.

    `max_endpoints` includes ready and draining endpoints. `max_bytes` limits the encoded list, in which one
    entry takes at most `max_entry_bytes`. `overload` is the factor by which an endpoint's number of holders
    (controllers whose view has it) may exceed the number proportional to its weight.
    """

    max_endpoints: int = 500
    max_bytes: int = 70_000
    max_entry_bytes: int = 145
    overload: float = 1.25

    @property
    def capacity(self) -> int:
        """The largest number of endpoints that stays within both limits, even if all entries have maximum
        size."""
        return min(self.max_endpoints, self.max_bytes // self.max_entry_bytes)


class ViewError(Exception):
    """A view cannot be decided. The message is part of responses with status 503 and of `/v1/views`."""


class UnknownControllerError(ViewError):
    """No controller of that name is configured."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no controller named {name!r} is configured")
        self.name = name


class InvalidEndpointError(ViewError):
    """An endpoint's nominal weight is not a finite number above zero."""

    def __init__(self, endpoint: Endpoint) -> None:
        weight = endpoint.nominal_weight
        super().__init__(
            f"endpoint {endpoint.id!r}: size: expected a finite number above zero, got {weight!r}"
        )
        self.endpoint = endpoint


class TooManyServicesError(ViewError):
    """A controller's view cannot hold two endpoints of each of its services (one, if a service has only
    one)."""

    def __init__(self, name: str, needed: int, capacity: int) -> None:
        super().__init__(
            f"controller {name!r} needs {needed} endpoints for two of each service, its view holds {capacity}"
        )
        self.name = name
        self.needed = needed
        self.capacity = capacity
