"""Turns the events of a drawn day into the changes of the endpoint list that play them.

Only the gaps between events are compressed. Two spans are not: a drained endpoint stays on the list for at
least `min_drain_s` real seconds, and a partition between regions lasts at least `min_partition_s`. If that
moves an event of an endpoint past the next one, the later events of that endpoint are moved too.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import groupby
from typing import NamedTuple

from oatcart.scale.discovery import DELETED
from oatcart.scale.endpoint_entries import DRAINING, MILLISECONDS, SERVING, list_entry
from oatcart.scale.fault_plan import (
    Cause,
    ConfigurationChanged,
    Event,
    NodeDeleted,
    NodeDraining,
    NodeLost,
    NodeReturned,
    RegionsCut,
    RegionsRejoined,
)
from oatcart.scale.fleet import FleetPlan, PlannedEndpoint

SIZE_STEP = 0.01  # a change of configuration increases an endpoint's size by this
# One in so many changes of an endpoint's configuration changes its address, the others its size.
ADDRESS_CHANGE_INTERVAL = 2


class ChangeKind(Enum):
    """The kinds of changes, named as in reports."""

    FAILURE = "node failed"
    RACK_LOSS = "rack lost"
    ZONE_LOSS = "zone lost"
    DRAIN = "node drains"
    DELETE = "drained node deleted"
    RETURN = "node back"
    CONFIGURATION = "configuration"


CHANGE_KIND_OF_LOSS = {
    Cause.FAILURE: ChangeKind.FAILURE,
    Cause.RACK_LOSS: ChangeKind.RACK_LOSS,
    Cause.ZONE_LOSS: ChangeKind.ZONE_LOSS,
}


class Step(NamedTuple):
    """Events of one type that are played at once, in seconds from the start of the day."""

    at_s: float
    events: tuple[Event, ...]


class Change(NamedTuple):
    """One revision of the list: the entries that it sets, and when it was made (monotonic seconds)."""

    at: float
    kind: ChangeKind
    entries: tuple[dict, ...]


def schedule(events: Iterable[Event], min_drain_s: float, min_partition_s: float) -> list[Step]:
    """Returns the steps of the day in order; events of one type, cause and moment form one step."""
    timed = sorted(_timed_events(events, min_drain_s, min_partition_s), key=lambda one: one[0])
    return [
        Step(at_s, tuple(event for _, event in group))
        for (at_s, *_), group in groupby(timed, key=lambda one: (one[0], type(one[1]), _cause(one[1])))
    ]


def _cause(event: Event) -> Cause | int | None:
    return event.number if isinstance(event, ConfigurationChanged) else getattr(event, "cause", None)


def _timed_events(
    events: Iterable[Event], min_drain_s: float, min_partition_s: float
) -> Iterable[tuple[float, Event]]:
    last: dict[str, float] = {}  # by endpoint or pair of regions: when its last event is played
    delay_s: dict[str, float] = {}  # and how much later that is than drawn
    for event in events:
        at_s = event.at_s
        if not isinstance(event, ConfigurationChanged):
            subject = getattr(event, "endpoint", None) or f"{event.first} {event.second}"
            min_gap_s = {NodeDeleted: min_drain_s, RegionsRejoined: min_partition_s}.get(type(event), 0.0)
            if isinstance(event, NodeDeleted | NodeReturned):
                at_s += delay_s.get(subject, 0.0)
            if subject in last:
                at_s = max(at_s, last[subject] + min_gap_s)
            last[subject], delay_s[subject] = at_s, at_s - event.at_s
        yield at_s, event


@dataclass
class EndpointState:
    """The state of an endpoint on the list; `configured` counts the changes of its configuration."""

    endpoint: PlannedEndpoint
    phase: str = SERVING
    up_since_ms: int = 0
    configured: int = 0

    def entry(self) -> dict:
        """Returns the entry; it differs after each change, so that each can be recognised by its state."""
        host, _, port = self.endpoint.address.rpartition(":")
        readdressed = self.configured // ADDRESS_CHANGE_INTERVAL
        resized = self.configured - readdressed
        return list_entry(self.endpoint, self.phase, self.up_since_ms) | {
            "host_port": f"{host}:{int(port) + readdressed}",
            "size": round(self.endpoint.size + SIZE_STEP * resized, 2),
        }


class ListedEndpoints:
    """The states of all endpoints of a fleet, changed by events."""

    def __init__(self, plan: FleetPlan) -> None:
        self.states = {endpoint.id: EndpointState(endpoint) for endpoint in plan.endpoints}
        self.by_service: Mapping[str, list[PlannedEndpoint]] = plan.endpoints_by_service()
        self.service_count = len(plan.services)

    def entries(self) -> list[dict]:
        """Returns the complete list."""
        return [state.entry() for state in self.states.values() if state.phase != DELETED]

    def change(self, events: tuple[Event, ...], unix_s: float) -> list[dict]:
        """Applies the events of one step and returns the entries that they set.

        `unix_s`: the Unix time in seconds, which becomes the start time of returned endpoints.
        """
        return [entry for event in events for entry in self._change(event, unix_s)]

    def _change(self, event: Event, unix_s: float) -> list[dict]:
        if isinstance(event, ConfigurationChanged):
            return self._configure(event)
        state = self.states[event.endpoint]
        if isinstance(event, NodeDraining):
            state.phase = DRAINING
        elif isinstance(event, NodeReturned):
            state.phase, state.up_since_ms = SERVING, round(unix_s * MILLISECONDS)
        else:
            state.phase = DELETED
        return [state.entry()]

    def _configure(self, event: ConfigurationChanged) -> list[dict]:
        """Plays a change of a route as one of an endpoint of its service; none if no endpoint is listed."""
        endpoints = [
            endpoint
            for endpoint in self.by_service[event.service]
            if self.states[endpoint.id].phase != DELETED
        ]
        if not endpoints:
            return []
        state = self.states[endpoints[event.route // self.service_count % len(endpoints)].id]
        state.configured += 1
        return [state.entry()]


def kind_of(event: Event) -> ChangeKind:
    """Returns the kind of change that an event causes."""
    if isinstance(event, NodeLost):
        return CHANGE_KIND_OF_LOSS[event.cause]
    return {
        NodeDraining: ChangeKind.DRAIN,
        NodeDeleted: ChangeKind.DELETE,
        NodeReturned: ChangeKind.RETURN,
        ConfigurationChanged: ChangeKind.CONFIGURATION,
    }[type(event)]


def is_partition_event(event: Event) -> bool:
    """Returns whether an event starts or ends a partition between regions."""
    return isinstance(event, RegionsCut | RegionsRejoined)
