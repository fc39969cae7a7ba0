"""Types that the policy shares with its adapters: states, request classes and limits.

Times are seconds. Endpoints, proxies, request classes, zones and routing tables are small integers; an
endpoint keeps its number until it is forgotten.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from math import inf
from typing import NamedTuple

NO_ZONE = -1  # stands for the absence of a zone


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class DiscoveryCall(IntEnum):
    """A call to discovery, as far as the protocol tells which one has failed."""

    UNKNOWN = 0
    WATCH = 1
    FETCH = 2


class HealthCheckOutcome(IntEnum):
    """How a health check ended."""

    PASSED = 0
    FAILED = 1  # the endpoint answered that it is not healthy
    REJECTED = 2  # the check was not made, so the state of the endpoint is unknown
    UNREACHABLE = 3
    TIMED_OUT = 4


class Idempotency(IntEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = 0
    KEYED = 1  # carries an idempotency key, by which a deduplication group of endpoints drops repeats
    NOT_IDEMPOTENT = 2


class RetryPolicy(IntEnum):
    """When a proxy sends a failed request to another endpoint. The values are those on the wire."""

    NEVER = 0
    IF_NOT_PROCESSED = 1  # once, if the first attempt is known not to have run
    ON_FAILURE = 2  # once, after any failure
    TWICE_ON_FAILURE = 3


class AdmissionMode(StrEnum):
    """The unit of the quota by which proxies limit the admitted requests of a class."""

    SHARE = "share"  # of the requests that arrive
    RATE = "rate"  # requests/s for each proxy
    NONE = "none"  # proxies admit everything


class LoadReport(NamedTuple):
    """The load that an endpoint reports; a figure that it does not report is None."""

    in_flight: float | None = None  # requests
    utilization: float | None = None  # share of its cores in use
    queued: float | None = None  # requests


class RequestClass(NamedTuple):
    """A class of requests."""

    priority_weight: float = 1.0  # value of a request that is answered within the latency objective
    latency_objective: float = 1.0  # s
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    own_zone_only: bool = False  # served only by endpoints in the zone of the proxy
    zones: tuple[int, ...] = ()  # served only by endpoints in these zones; empty: in all


class DiscoverySettings(NamedTuple):
    """How the endpoint list is obtained, and what it contains."""

    must_watch: bool = False  # changes are sent only to an open watch; False: they are sent without one
    lists_weights: bool = False  # its entries have nominal weights


class ChannelLimits(NamedTuple):
    """Limits of the update channel to the proxies, counted in lines.

    A line is one change (of a weight, of admission, or an ejection) that is sent to one proxy.
    """

    line_rate: float = 1000.0  # lines/s
    message_overhead: float = 0.0  # lines that each message costs in addition to its changes
    max_queue: float = 0.0  # lines; 0: no limit
    max_messages: int = 0  # message cap: messages to one proxy within the window; 0: no limit
    message_window: float = 10.0  # s


class WarmUpLimits(NamedTuple):
    """The load that an endpoint sustains while it warms up after a start."""

    duration: float = 0.0  # s from its start until it has its full capacity
    initial_fraction: float = 1.0  # of its full capacity, at the start
    overload_multiple: float = 1.0  # load at which it fails, as a multiple of its present capacity


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """The settings of a controller, without the seed of its random numbers."""

    request_classes: tuple[RequestClass, ...]
    discovery: DiscoverySettings
    channel: ChannelLimits
    warm_up: WarmUpLimits
    report_period: float  # s between two load reports from a collector
    admission_mode: AdmissionMode
    # from 0 to 1: part of the value of all requests that is lost if each crosses zones
    cross_zone_price: float
    health_checks_allowed: bool
    drain_deadline: float = inf  # s from an endpoint's listing as DRAINING to the last request sent to it
    expected_proxies: float = 0.0  # number of proxies that usually join this controller
    single_proxy_ejections: bool = False  # the protocol can send ejections to one proxy alone
