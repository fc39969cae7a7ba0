"""Maps the events and commands of a recorded round, and a controller's settings, to their stored form.

Events and commands are stored as sequences: the stored name, then the fields. The names and the order of the
fields never change, as trace files of older versions contain them.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from math import inf

from oatcart.events import (
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoveryCall,
    DiscoverySettings,
    EndpointState,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)


class EventName(StrEnum):
    """The stored name of each event type that a controller takes."""

    ENDPOINT_LIST_RECEIVED = "listed"
    ENDPOINT_LIST_FAILED = "unlisted"
    HEALTH_CHECK_COMPLETED = "probed"
    PROXY_JOINED = "joined"
    PROXY_LEFT = "left"
    UPDATE_ACKNOWLEDGED = "applied"
    ENDPOINT_LOAD_REPORTED = "met"
    PROXY_LOAD_REPORTED = "came"


class CommandName(StrEnum):
    """The stored name of each command of a controller; commands are the methods of `CommandWriter`."""

    SET_WEIGHT = "line"
    CLEAR_TABLE = "blank"
    ASSIGN_TABLE = "bind"
    SET_EJECTED = "withdraw"
    SEND_EJECTIONS = "send_ejections"
    SET_ADMISSION = "admit"
    FORGET_ENDPOINT = "drop"
    REQUEST_ACK = "ask_ack"
    CHECK_HEALTH = "probe"
    WATCH_ENDPOINTS = "follow"
    FETCH_ENDPOINTS = "fetch_roll"
    SCHEDULE_ROUND = "wake"
    LOG = "note"


NAMES_BY_TYPE: dict[type, EventName] = {
    EndpointListReceived: EventName.ENDPOINT_LIST_RECEIVED,
    EndpointListFailed: EventName.ENDPOINT_LIST_FAILED,
    HealthCheckCompleted: EventName.HEALTH_CHECK_COMPLETED,
    ProxyJoined: EventName.PROXY_JOINED,
    ProxyLeft: EventName.PROXY_LEFT,
    UpdateAcknowledged: EventName.UPDATE_ACKNOWLEDGED,
    EndpointLoadReported: EventName.ENDPOINT_LOAD_REPORTED,
    ProxyLoadReported: EventName.PROXY_LOAD_REPORTED,
}
TYPES_BY_NAME: dict[str, type] = {name: event_type for event_type, name in NAMES_BY_TYPE.items()}


def encode_events(events: Iterable[Event]) -> list[tuple]:
    """Return the stored form of events; the fields of each event type already are in their stored order."""
    names = NAMES_BY_TYPE
    return [(names[type(event)],) + event for event in events]  # concatenation is the fastest way


def decode_event(stored: Sequence) -> Event:
    """Decode a stored event. Raises KeyError for an unknown name, ValueError for an unknown enum value."""
    name, *fields = stored
    if name == EventName.ENDPOINT_LIST_RECEIVED:
        complete, entries = fields
        return EndpointListReceived(complete, [_decode_entry(entry) for entry in entries])
    if name == EventName.ENDPOINT_LIST_FAILED:
        return EndpointListFailed(*map(DiscoveryCall, fields))  # older versions stored no call
    if name == EventName.HEALTH_CHECK_COMPLETED:
        endpoint, outcome, duration, load = fields
        return HealthCheckCompleted(endpoint, HealthCheckOutcome(outcome), duration, LoadReport(*load))
    if name == EventName.ENDPOINT_LOAD_REPORTED:
        *figures, load = fields
        return EndpointLoadReported(*figures, LoadReport(*load))
    return TYPES_BY_NAME[name](*fields)


def _decode_entry(stored: Sequence) -> EndpointEntry:
    endpoint, zone, started_at, state, nominal_weight = stored
    return EndpointEntry(endpoint, zone, started_at, EndpointState(state), nominal_weight)


def encode_settings(settings: ControllerSettings) -> dict:
    """Return the stored form of a controller's settings."""
    return {
        "kinds": [tuple(request_class) for request_class in settings.request_classes],
        "roll": tuple(settings.discovery),
        "channel": tuple(settings.channel),
        "cold": tuple(settings.warm_up),
        "report_period": settings.report_period,
        "admitting": settings.admission_mode,
        "crossing_price": settings.cross_zone_price,
        "may_probe": settings.health_checks_allowed,
        "grace": settings.drain_deadline,
        "usual_proxies": settings.expected_proxies,
        "single_proxy_ejections": settings.single_proxy_ejections,
    }


def decode_settings(stored: dict) -> ControllerSettings:
    """Decode stored settings. Raises KeyError for a missing key, ValueError for an unknown enum value."""
    return ControllerSettings(
        request_classes=tuple(decode_request_class(fields) for fields in stored["kinds"]),
        discovery=DiscoverySettings(*stored["roll"]),
        channel=ChannelLimits(*stored["channel"]),
        warm_up=WarmUpLimits(*stored["cold"]),
        report_period=stored["report_period"],
        admission_mode=AdmissionMode(stored["admitting"]),
        cross_zone_price=stored["crossing_price"],
        health_checks_allowed=stored["may_probe"],
        drain_deadline=stored.get("grace", inf),
        expected_proxies=stored.get("usual_proxies", 0.0),
        single_proxy_ejections=stored.get("single_proxy_ejections", False),
    )


def decode_request_class(stored: Sequence) -> RequestClass:
    """Decode a stored request class."""
    priority_weight, latency_objective, idempotency, own_zone_only, zones = stored
    return RequestClass(
        priority_weight, latency_objective, Idempotency(idempotency), own_zone_only, tuple(zones)
    )
