"""The records that views are decided from, the bounds of a view, and the errors."""

from dataclasses import dataclass
from typing import NamedTuple


class Endpoint(NamedTuple):
    """A node as discovery lists it.

    `nominal_weight` is its relative capacity (above zero, no unit). `ready` is False while the node drains.
    A zone lies in one region; the same zone name in two regions names two zones.
    """

    id: str
    region: str
    zone: str
    service: str
    nominal_weight: float
    ready: bool


class Controller(NamedTuple):
    """A conductor that is told of a part of the fleet. No `services` means that it needs all of them."""

    name: str
    region: str
    zone: str
    services: tuple[str, ...]


@dataclass(frozen=True)
class ViewLimits:
    """The bounds of one view, and of how unevenly views may hold nodes.

    `max_endpoints` counts nodes, ready and draining. `max_bytes` bounds the list as it is served, of which
    one entry takes at most `max_entry_bytes`. `overload` is how many times its proportional number of
    holders a node may have.
    """

    max_endpoints: int = 500
    max_bytes: int = 70_000
    max_entry_bytes: int = 145
    overload: float = 1.25

    @property
    def capacity(self) -> int:
        """The number of nodes that keeps both bounds whatever the entries are."""
        return min(self.max_endpoints, self.max_bytes // self.max_entry_bytes)


class ViewError(Exception):
    """A view cannot be decided."""


class UnknownControllerError(ViewError):
    """No conductor of that name is known."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no conductor named {name!r} is known")
        self.name = name


class InvalidEndpointError(ViewError):
    """A node's record cannot be used: its size is not a finite number above zero."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__(
            f"node {endpoint.id!r} has size {endpoint.nominal_weight!r}, not a finite number above zero"
        )
        self.endpoint = endpoint


class TooManyServicesError(ViewError):
    """A conductor's services do not fit in its view at two nodes each (one, where a service has one)."""

    def __init__(self, name: str, needed: int, capacity: int) -> None:
        super().__init__(
            f"conductor {name!r} needs {needed} nodes for two of each service, its view holds {capacity}"
        )
        self.name = name
        self.needed = needed
        self.capacity = capacity
