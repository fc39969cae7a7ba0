"""Records of the policy's state: endpoints, proxies and routing tables.

Times are seconds on the clock of the rounds. A module name at the end of a field's comment, or above a group
of fields, is the module that sets them.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from oatcart.commands import CommandWriter
from oatcart.model import EndpointState, RetryPolicy

LONG_AGO = -1e9  # s; before any event


@dataclass(slots=True)
class Endpoint:
    """The state of one endpoint.

    Attempts, errors, answers and their durations are sums that decay with time, see `telemetry`.
    """

    capacity: float  # requests in flight up to which it answers on time; telemetry
    score: float  # points, scaled by the nominal weight if the endpoint list has them; scoring
    ejection_time: float  # s, of its present or last ejection; outlier_detection
    load_history: deque[float]  # percent, one per second, the oldest first; scoring
    # From the endpoint list; discovery
    zone: int = 0
    state: EndpointState = EndpointState.GONE
    state_changed_at: float = LONG_AGO  # when it became READY or was no longer READY; LONG_AGO: never listed
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
    answer_share: float = 0.0  # its smoothed share of the answers of all endpoints
    fleet_answers_at_last_answer: float = 0.0  # answers of all endpoints, when this one last answered
    answered_at: float = 0.0
    ejected: bool = False  # as an outlier; `unavailable` includes draining and gone endpoints
    ejected_at: float = LONG_AGO
    passed_checks: int = 0  # health checks passed in a row
    # draining
    ejection_sent_at: float = inf  # when proxies were notified not to use it; inf: they may use it

    @property
    def ejection_sent(self) -> bool:
        """Whether proxies were notified not to use it, and not yet that it is restored."""
        return self.ejection_sent_at < inf

    @property
    def unavailable(self) -> bool:
        """Whether it should get no requests, as it is ejected, draining or gone."""
        return self.ejected or self.state != EndpointState.READY

    @property
    def listed(self) -> bool:
        """Whether it was ever in an endpoint list."""
        return self.state_changed_at > LONG_AGO


@dataclass(slots=True)
class Proxy:
    """A proxy that has joined this controller."""

    zone: int
    configured_before: bool  # it has tables from some controller, which may have ejected endpoints there
    joined_at: float
    rates: list[float]  # requests/s, by request class
    # Of messages within the cap's window, or without a cap of the last one; flow_control
    message_times: deque[float] = field(default_factory=deque)
    drain_waiting_since: float = inf  # when the oldest drain not sent to it was received; draining
    earlier_ejections_sent: bool = False  # it was sent the ejections from before it joined; draining
    assigned: bool = False  # it has all its tables; assignment
    tables: list["RoutingTable"] = field(default_factory=list)


@dataclass(slots=True)
class RoutingTable:
    """A routing table that proxies share, with its state as last sent."""

    number: int
    classes: tuple[int, ...]
    zones: tuple[int, ...]  # zones of its endpoints; empty: all
    local_zone: int  # the zone whose endpoints are preferred; NO_ZONE: none
    size: float = inf  # maximum number of endpoints; inf: all; subsetting
    subset: set[int] = field(default_factory=set)  # its endpoints, if the size is limited
    weights: dict[int, int] = field(default_factory=dict)  # by endpoint, as sent; publication
    unsent: dict[int, int] = field(default_factory=dict)  # weights that are due but not sent yet
    proxies: dict[int, Proxy] = field(default_factory=dict)  # proxies that it is assigned to
    nonce: int = 0  # of its last update
    unacknowledged: set[int] = field(default_factory=set)  # proxies that have not acknowledged that update
    updated_at: float = LONG_AGO  # when that update was sent
    admitted_share: float = 1.0  # of the offered work; load_shedding
    last_cut_at: float = LONG_AGO  # when the admitted share was last cut
    retries_worthwhile: bool = False  # whether retries after any failure are; load_shedding
    admission: dict[int, tuple[float, RetryPolicy]] = field(default_factory=dict)  # by class, as sent

    @property
    def complete(self) -> bool:
        """Whether it has all endpoints of its zones, not a subset of them."""
        return self.size == inf

    def proxies_to_notify(self, ejection_sent_at: float) -> int:
        """Returns how many proxies need a notice, with a new entry, on whether its endpoint may be used.

        `ejection_sent_at`: when proxies were notified not to use the endpoint; inf if they may use it.
        Proxies that joined later need a notice, and so do those that another controller may have configured.
        """
        return sum(
            proxy.configured_before or proxy.joined_at > ejection_sent_at for proxy in self.proxies.values()
        )


@dataclass(frozen=True, slots=True)
class Round:
    """Values that all steps of a round share."""

    now: float
    commands: CommandWriter
    nonce: int  # of its messages
