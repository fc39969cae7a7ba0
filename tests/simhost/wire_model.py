"""What a made fleet consists of."""

from dataclasses import dataclass, field

import wire_frames as wire

GONE, READY, DRAINING = 0, 1, 2  # of an endpoint, as listed


@dataclass(slots=True)
class Endpoint:
    """A server; `capacity` in requests/s, `idle_ms` its response time without load."""

    id: int
    zone: int
    started: float  # ms of the wire's clock; 0: long ago
    size: float
    capacity: float
    idle_ms: float
    condition: int = READY
    fault: str = ""
    fault_ends: int = 0
    demand: float = 0.0  # requests/s in the last second
    utilization: float = 0.0

    def entry(self) -> wire.Entry:
        """It as discovery lists it."""
        return (self.id, self.zone, self.started, self.condition, self.id % 2, self.size, self.id % 5)


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
    """One instance as the simulator sees it: what it was told, and what it ordered."""

    number: int
    alive: bool = False
    following: bool = False
    revision: int = 0  # of the list that it has
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    installed: dict[int, dict[int, int]] = field(default_factory=dict)  # by proxy: classes as bits by table
    levels: dict[tuple[int, int], float] = field(default_factory=dict)  # by table and class
    ejected: set[int] = field(default_factory=set)
    met: dict[tuple[int, int], list] = field(default_factory=dict)  # not yet reported, by endpoint and zone
    came: dict[tuple[int, int], list] = field(default_factory=dict)  # by proxy and class

    def users(self, table: int) -> set[int]:
        """The joined proxies that use a table."""
        return {proxy for proxy, tables in self.installed.items() if tables.get(table)}
