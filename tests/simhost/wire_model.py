"""The endpoints, proxies and controllers of the simulated fleet."""

from dataclasses import dataclass, field

import wire_frames as wire

GONE, READY, DRAINING = 0, 1, 2  # of an endpoint, as listed


@dataclass(slots=True)
class Endpoint:
    """An endpoint; `capacity` in requests/s, `idle_ms` is its response time without load."""

    id: int
    zone: int
    started: float  # ms of the wire's clock; 0: long ago
    size: float
    capacity: float
    idle_ms: float
    state: int = READY
    fault: str = ""
    fault_ends: int = 0
    demand: float = 0.0  # requests/s in the last second
    utilization: float = 0.0

    def entry(self) -> wire.Entry:
        """Returns the endpoint as discovery lists it."""
        return (self.id, self.zone, self.started, self.state, self.id % 2, self.size, self.id % 5)


@dataclass(slots=True)
class Proxy:
    """A proxy and the controller that it is joined to, if any; rates in requests/s by class."""

    number: int
    zone: int
    rates: list[float]
    controller: int | None = None
    unconfigured: bool = True


@dataclass(slots=True)
class Controller:
    """One instance as the simulator sees it: what it was sent, and what it commanded."""

    number: int
    alive: bool = False
    watching: bool = False
    revision: int = 0  # of the list that it was sent last
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    assigned_tables: dict[int, dict[int, int]] = field(default_factory=dict)  # proxy: class bits by table
    quotas: dict[tuple[int, int], float] = field(default_factory=dict)  # by table and class
    ejected: set[int] = field(default_factory=set)
    unreported_attempts: dict[tuple[int, int], list] = field(default_factory=dict)  # by endpoint and zone
    unreported_requests: dict[tuple[int, int], list] = field(default_factory=dict)  # by proxy and class

    def users(self, table: int) -> set[int]:
        """Returns the joined proxies that use a table."""
        return {proxy for proxy, tables in self.assigned_tables.items() if tables.get(table)}
