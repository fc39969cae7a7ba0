"""The parameters of a scenario of the simulated fleet."""

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_START = 8412.25  # ms; the wire's clock has no special starting value


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; `share` of the traffic, `aim` in ms."""

    name: str
    share: float = 1.0
    aim: float = 500.0
    worth: float = 1.0
    idempotency: str = "idempotent"
    zone_bound: bool = False
    only_zones: tuple[str, ...] = ()


LOOKUP = RequestClass("lookup", 0.54, 500.0, 1.0, "idempotent")
SLOT = RequestClass("slot", 0.26, 1000.0, 3.0, "deduplicated")
CHARGE = RequestClass("charge", 0.20, 1000.0, 5.0, "at_most_once")
FAULTS: Mapping[str, float] = {
    "vanished": 1.0,
    "failing": 1.5,
    "flaky": 1.0,
    "slow": 1.0,
    "restart": 1.5,
    "drain": 1.5,
    "proxies_leave": 0.7,
    "one_rejoins": 1.0,
    "overload": 0.7,
    "reports_late": 0.7,
    "acks_late": 0.7,
    "discovery_down": 0.7,
    "odd_records": 6.0,
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A configuration, the fleet that runs under it and its faults, in events per minute."""

    name: str
    seed: int
    seconds: int = 120
    zones: tuple[str, ...] = ("a", "b", "c")
    classes: tuple[RequestClass, ...] = (LOOKUP, SLOT, CHARGE)
    endpoints: int = 9
    proxies: int = 8
    controllers: int = 2
    capacity: float = 30.0  # requests/s of an endpoint of size 1
    idle_ms: float = 90.0  # its response time without load
    proxy_rate: float = 16.0  # requests/s of a proxy, at the mean
    zone_skew: float = 0.0  # fraction of the proxies that is in zone 0 in addition to its own share
    overload: float = 2.6  # times the usual rate
    admit: str = "fraction"
    weights: str = "off"
    sizes: tuple[float, float, float, float] = (0.5, 1.0, 1.0, 2.0)  # from which nominal weights are drawn
    membership: str = "automatic"
    probes: bool = True
    cross_zone: float = 0.12
    fields: tuple[str, ...] = ("concurrent",)
    push_rate: float = 3700.0  # lines/s
    envelope: float = 4.0  # lines
    queue_cap: float = 5600.0  # lines
    messages_most: int = 12
    window_ms: float = 10000.0
    period: int = 1000  # ms
    ingest_rate: float = 120.0  # lines/s
    grace_ms: float = 3400.0
    cold: float = 17000.0  # ms
    cold_share: float = 0.19
    tip_multiple: float = 4.0
    cached: float = 1.0  # fraction of the list that a controller has at its start
    list_after: int = 0  # ms until discovery answers
    ack_ms: tuple[int, int] = (100, 500)
    acks_lost: float = 0.0
    drain_part: float = 0.25
    replaced: float = 1.0  # fraction of the drained endpoints that is replaced
    calm_ms: int = 4000  # without faults at the start
    join_ms: int = 1500  # time over which the proxies join at the start
    told_proxies: int = 0  # proxy count in the settings; 0: the actual count
    clock_jitter: float = 0.0  # largest delay of a batch's clock, ms
    faults: Mapping[str, float] = field(default_factory=lambda: FAULTS)
