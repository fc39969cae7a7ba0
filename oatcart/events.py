"""Events that a round brings to the decisions, in order of arrival.

Hosts build them from their wire; the decisions match them by type. A round without events is the end of a
wait requested with `schedule_round`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from oatcart.model import EndpointState, HealthCheckOutcome, LoadReport


class EndpointEntry(NamedTuple):
    """One endpoint of discovery's list."""

    endpoint: int
    zone: int
    started_at: float  # s of the clock that rounds use, which is Unix time on sockets; 0: long ago
    state: EndpointState
    nominal_weight: float  # relative; 0 or less: not listed


class EndpointListReceived(NamedTuple):
    """The endpoint list, or what changed in it."""

    complete: bool  # endpoints that it leaves out are gone
    entries: list[EndpointEntry]


class EndpointListFailed(NamedTuple):
    """A call to discovery failed, or its watch broke."""


class HealthCheckCompleted(NamedTuple):
    """A health check of an endpoint has ended."""

    endpoint: int
    outcome: HealthCheckOutcome
    duration: float  # s
    load: LoadReport


class ProxyJoined(NamedTuple):
    """A proxy has connected to this controller."""

    proxy: int
    zone: int
    usual_rate: float  # requests/s, a rough figure
    unconfigured: bool  # it holds no table of any controller


class ProxyLeft(NamedTuple):
    """The stream of a proxy has ended."""

    proxy: int


class UpdateAcknowledged(NamedTuple):
    """A proxy has applied all updates up to a nonce."""

    proxy: int
    nonce: int
    duration: float  # s that applying it took


class EndpointLoadReported(NamedTuple):
    """What the proxies of a zone saw of an endpoint over a window."""

    endpoint: int
    zone: int  # of the proxies
    window: float  # s
    mean_duration: float  # s, of the attempts that did not fail
    errors: int  # attempts that failed
    attempts: int
    load: LoadReport  # the last that the endpoint reported


class ProxyLoadReported(NamedTuple):
    """The requests of a class that came to a proxy over a window."""

    proxy: int
    request_class: int
    requests: int
    errors: int  # admitted and not served
    window: float  # s


Event = (
    EndpointListReceived
    | EndpointListFailed
    | HealthCheckCompleted
    | ProxyJoined
    | ProxyLeft
    | UpdateAcknowledged
    | EndpointLoadReported
    | ProxyLoadReported
)
Events = Iterable[Event]  # read once, in order
