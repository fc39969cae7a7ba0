"""Events that a round passes to the policy (`oatcart.policy`), in order of arrival.

The adapters decode them from their protocol, and the policy matches them by type. A round without events runs
when a delay requested with `schedule_round` has passed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from oatcart.model import DiscoveryCall, EndpointState, HealthCheckOutcome, LoadReport


class EndpointEntry(NamedTuple):
    """One endpoint of the endpoint list."""

    endpoint: int
    zone: int
    started_at: float  # s on the clock of the rounds, which is Unix time on sockets; 0: long ago
    state: EndpointState
    nominal_weight: float  # relative; 0 or less: the list has none


class EndpointListReceived(NamedTuple):
    """The endpoint list, or the changes in it."""

    complete: bool  # endpoints that are not in it are gone; False: only changed endpoints are in it
    entries: list[EndpointEntry]


class EndpointListFailed(NamedTuple):
    """A fetch of the endpoint list or a watch on it has failed."""

    call: DiscoveryCall = DiscoveryCall.UNKNOWN


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
    unconfigured: bool  # it has no routing table from any controller


class ProxyLeft(NamedTuple):
    """The stream of a proxy has ended."""

    proxy: int


class UpdateAcknowledged(NamedTuple):
    """A proxy has applied all updates up to and including the one with this nonce."""

    proxy: int
    nonce: int
    duration: float  # s, time to apply the update


class EndpointLoadReported(NamedTuple):
    """The attempts that the proxies of a zone made at an endpoint over a window."""

    endpoint: int
    zone: int  # of the proxies
    window: float  # s
    mean_duration: float  # s, of the attempts that succeeded
    errors: int  # attempts that failed
    attempts: int
    load: LoadReport  # the last one that the endpoint sent


class ProxyLoadReported(NamedTuple):
    """The requests of a class that a proxy received over a window."""

    proxy: int
    request_class: int
    requests: int
    errors: int  # requests that were admitted but not served
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
Events = Iterable[Event]  # iterated over once, in order
