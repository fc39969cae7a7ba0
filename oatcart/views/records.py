"""The records that views are decided from, the bounds of a view, and the errors."""

from dataclasses import dataclass
from typing import NamedTuple


class Endpoint(NamedTuple):
    """An endpoint as discovery lists it.

    `nominal_weight` is its relative capacity (above zero, no unit). `ready` is False while it drains. A zone
    lies in one region; the same zone name in two regions names two zones.
    """

    id: str
    region: str
    zone: str
    service: str
    nominal_weight: float
    ready: bool


class Controller(NamedTuple):
    """A controller that is served a view. No `services` means that it needs all of them."""

    name: str
    region: str
    zone: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class ViewLimits:
    """The bounds of one view, and of how unevenly endpoints may be held.

    `max_endpoints` counts ready and draining ones. `max_bytes` bounds the list as it is served, of which one
    entry takes at most `max_entry_bytes`. `overload` is how many times its proportional number of holders an
    endpoint may have.
    """

    max_endpoints: int = 500
    max_bytes: int = 70_000
    max_entry_bytes: int = 145
    overload: float = 1.25

    @property
    def capacity(self) -> int:
        """The number of endpoints that keeps both bounds, whatever their entries are."""
        return min(self.max_endpoints, self.max_bytes // self.max_entry_bytes)


class ViewError(Exception):
    """A view cannot be decided. The message is served in answers of status 503 and in `/v1/views`."""


class UnknownControllerError(ViewError):
    """No controller of that name is known."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no conductor named {name!r} is known")
        self.name = name


class InvalidEndpointError(ViewError):
    """An endpoint's nominal weight is not a finite number above zero."""

    def __init__(self, endpoint: Endpoint) -> None:
        weight = endpoint.nominal_weight
        super().__init__(f"node {endpoint.id!r} has size {weight!r}, not a finite number above zero")
        self.endpoint = endpoint


class TooManyServicesError(ViewError):
    """A controller's services do not fit in its view with two endpoints each (one, if a service has one)."""

    def __init__(self, name: str, needed: int, capacity: int) -> None:
        super().__init__(
            f"conductor {name!r} needs {needed} nodes for two of each service, its view holds {capacity}"
        )
        self.name = name
        self.needed = needed
        self.capacity = capacity
