"""Records of the state that the decisions keep: endpoints, proxies and routing tables.

Times are seconds of the host's clock. A comment that ends in the name of a module, or a line above a group
of fields, says which module sets them.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from oatcart.commands import CommandWriter
from oatcart.model import EndpointState, RetryPolicy

LONG_AGO = -1e9  # s; before any start


@dataclass(slots=True)
class Endpoint:
    """All that is known of one endpoint.

    Attempts, errors, answers and their durations are sums that decay with time, see `telemetry`.
    """

    capacity: float  # requests in flight that it holds while still on time; telemetry
    score: float  # points, scaled by the nominal weight where discovery lists one; scoring
    ejection_time: float  # s that its next ejection lasts; outlier_detection
    load_history: deque[float]  # percent, one a second, the oldest first; scoring
    # As discovery lists it
    zone: int = 0
    state: EndpointState = EndpointState.GONE
    state_changed_at: float = LONG_AGO  # when it became ready or ceased to be; LONG_AGO: never listed
    started_at: float = 0.0  # 0: long ago
    nominal_weight: float = 1.0
    ramp_started_at: float = LONG_AGO  # slow_start
    # telemetry
    load: float | None = None  # percent; None: never reported
    answers: float = 0.0
    answer_seconds: float = 0.0  # the sum of the answers' durations, s
    attempts: float = 0.0
    errors: float = 0.0
    # outlier_detection
    new_answers: int = 0  # since the last check
    answer_share: float = 0.0  # its part of the fleet's answers
    fleet_answers_at_last_answer: float = 0.0  # answers of all endpoints when this one last answered
    answered_at: float = 0.0
    ejected: bool = False  # as an outlier; for draining and gone endpoints see `unavailable`
    ejected_at: float = LONG_AGO
    passed_checks: int = 0  # health checks passed in a row
    # draining
    ejection_sent_at: float = inf  # when proxies were notified not to use it; inf: they may

    @property
    def ejection_sent(self) -> bool:
        """Whether the proxies were notified not to use it, and not yet that they may again."""
        return self.ejection_sent_at < inf

    @property
    def unavailable(self) -> bool:
        """Whether it should get no requests: ejected, draining or gone."""
        return self.ejected or self.state != EndpointState.READY

    @property
    def listed(self) -> bool:
        """Whether discovery has ever listed it."""
        return self.state_changed_at > LONG_AGO


@dataclass(slots=True)
class Proxy:
    """A proxy that is joined to this controller."""

    zone: int
    configured_before: bool  # it has tables of some controller, which may have ejected endpoints there
    joined_at: float
    rates: list[float]  # requests/s, by request class
    message_times: deque[float] = field(
        default_factory=deque
    )  # of messages within the cap's window; flow_control
    assigned: bool = False  # it has all its tables; assignment
    tables: list["RoutingTable"] = field(default_factory=list)


@dataclass(slots=True)
class RoutingTable:
    """A routing table that proxies share, as it was last sent."""

    number: int
    classes: tuple[int, ...]
    zones: tuple[int, ...]  # its endpoints are in these; empty: in any
    local_zone: int  # whose endpoints are preferred; NO_ZONE: none
    size: float = inf  # endpoints that it may have; inf: all; subsetting
    subset: set[int] = field(default_factory=set)  # its endpoints where the size is limited
    weights: dict[int, int] = field(default_factory=dict)  # by endpoint, as sent; publication
    unsent: dict[int, int] = field(default_factory=dict)  # weights that wait for capacity of the channel
    proxies: dict[int, Proxy] = field(default_factory=dict)  # that route by it
    nonce: int = 0  # of its last update
    unacknowledged: set[int] = field(default_factory=set)  # proxies that have not applied that update
    updated_at: float = LONG_AGO  # when that update was sent
    admitted_share: float = 1.0  # of the work offered; load_shedding
    last_cut_at: float = LONG_AGO  # when that share was last reduced
    retries_worthwhile: bool = False  # a retry after any failure; retries
    admission: dict[int, tuple[float, RetryPolicy]] = field(default_factory=dict)  # by class, as sent

    @property
    def complete(self) -> bool:
        """Whether it has all endpoints of its zones, and not a subset of them."""
        return self.size == inf

    def proxies_to_notify(self, ejection_sent_at: float) -> int:
        """Counts the proxies to notify, with a new entry, whether its endpoint may be used.

        `removed_at`: when proxies were notified not to use the endpoint, inf if they may. Those that had
        joined by then know. Of an endpoint in use, only those are notified that another controller may have
        configured.
        """
        return sum(
            proxy.configured_before or proxy.joined_at > ejection_sent_at for proxy in self.proxies.values()
        )


@dataclass(frozen=True, slots=True)
class Round:
    """What all steps of one round share."""

    now: float
    commands: CommandWriter
    nonce: int  # that its messages bear
