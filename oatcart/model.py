"""Types that the decisions share with the programs around them: states, request classes and limits.

Times are seconds. Endpoints, proxies, request classes, zones and routing tables are small integers; an
endpoint keeps its number until it is forgotten.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from math import inf
from typing import NamedTuple

NO_ZONE = -1  # where a zone may be missing


class EndpointState(IntEnum):
    """State of an endpoint in discovery's list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class HealthCheckOutcome(IntEnum):
    """How a health check ended."""

    PASSED = 0
    FAILED = 1  # the endpoint answered that it is not healthy
    REJECTED = 2  # the check was not made, so it shows nothing of the endpoint
    UNREACHABLE = 3
    TIMED_OUT = 4


class Idempotency(IntEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = 0
    KEYED = 1  # carries an idempotency key, by which a group of endpoints drops a repeat
    NOT_IDEMPOTENT = 2


class RetryPolicy(IntEnum):
    """When a proxy sends a failed request to another endpoint. The values are those on the wire."""

    NEVER = 0
    IF_NOT_PROCESSED = 1  # once, after proof that the first attempt never ran
    ON_FAILURE = 2  # once, after any failure
    TWICE_ON_FAILURE = 3


class AdmissionMode(StrEnum):
    """In which unit proxies limit the requests of a class that they admit."""

    SHARE = "share"  # of the requests that come
    RATE = "rate"  # requests/s a proxy
    NONE = "none"  # proxies admit everything


class LoadReport(NamedTuple):
    """What an endpoint reports of its load; None where it does not report a figure."""

    in_flight: float | None = None  # requests
    utilization: float | None = None  # share of its cores in use
    queued: float | None = None  # requests


class RequestClass(NamedTuple):
    """A class of requests."""

    priority_weight: float = 1.0  # what a request answered within the objective earns
    latency_objective: float = 1.0  # s
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    own_zone_only: bool = False  # served only in the zone of the proxy
    zones: tuple[int, ...] = ()  # served only in these; empty: in all


class DiscoverySettings(NamedTuple):
    """How the endpoint list is obtained, and what it contains."""

    must_watch: bool = False  # changes come only while a watch is open; else unasked
    lists_weights: bool = False  # entries have nominal weights


class ChannelLimits(NamedTuple):
    """What the update channel to the proxies carries, in lines.

    A line is one change (a weight, admission, an ejection) that is sent to one proxy.
    """

    line_rate: float = 1000.0  # lines/s
    message_overhead: float = 0.0  # lines that each message counts besides its own
    max_queue: float = 0.0  # lines that may wait; 0: any number
    max_messages: int = 0  # messages to one proxy within the window; 0: any number
    message_window: float = 10.0  # s


class WarmUpLimits(NamedTuple):
    """What load a freshly started endpoint sustains."""

    duration: float = 0.0  # s until it has its full capacity
    initial_fraction: float = 1.0  # of its capacity at the start
    overload_multiple: float = 1.0  # times its present capacity at which it fails


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """What a controller is started with, besides the seed of its random numbers."""

    request_classes: tuple[RequestClass, ...]
    discovery: DiscoverySettings
    channel: ChannelLimits
    warm_up: WarmUpLimits
    report_period: float  # s between two load reports of a collector
    admission_mode: AdmissionMode
    cross_zone_price: float  # part of the service, from 0 to 1, that is lost if each request crosses zones
    health_checks_allowed: bool
    drain_deadline: float = inf  # s from the news of a drain to the last request sent there
    expected_proxies: float = 0.0  # proxies that usually join this controller
