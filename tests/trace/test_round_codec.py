"""Tests of encoding and decoding events, commands and settings."""

from dataclasses import replace

import msgpack
import pytest

from oatcart import commands, events
from oatcart.events import (
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import DiscoveryCall, EndpointState, HealthCheckOutcome, LoadReport, RetryPolicy
from oatcart.trace import generate
from oatcart.trace.command_log import CommandLog
from oatcart.trace.round_codec import (
    CommandName,
    EventName,
    decode_event,
    decode_settings,
    encode_events,
    encode_settings,
)

LOAD = LoadReport(3.0, 0.5, None)
EVENTS = [
    (
        EndpointListReceived(True, [EndpointEntry(2, 1, 990.0, EndpointState.DRAINING, 1.5)]),
        ("listed", True, ((2, 1, 990.0, 2, 1.5),)),
    ),
    (EndpointListFailed(DiscoveryCall.FETCH), ("unlisted", 2)),
    (
        HealthCheckCompleted(2, HealthCheckOutcome.TIMED_OUT, 0.25, LOAD),
        ("probed", 2, 4, 0.25, (3.0, 0.5, None)),
    ),
    (ProxyJoined(7, 1, 10.0, True), ("joined", 7, 1, 10.0, True)),
    (ProxyLeft(7), ("left", 7)),
    (UpdateAcknowledged(7, 65535, 0.05), ("applied", 7, 65535, 0.05)),
    (
        EndpointLoadReported(2, 1, 1.0, 0.125, 3, 20, LOAD),
        ("met", 2, 1, 1.0, 0.125, 3, 20, (3.0, 0.5, None)),
    ),
    (ProxyLoadReported(7, 2, 17, 1, 1.0), ("came", 7, 2, 17, 1, 1.0)),
]
COMMANDS = [
    ("set_weight", (0, 2, 37), ("line", 0, 2, 37)),
    ("clear_table", (0,), ("blank", 0)),
    ("assign_table", (0, 7, 5), ("bind", 0, 7, 5)),
    ("set_ejected", (2, True), ("withdraw", 2, True)),
    ("send_ejections", (7,), ("send_ejections", 7)),
    ("set_admission", (0, 4, 0.5, RetryPolicy.ON_FAILURE), ("admit", 0, 4, 0.5, 2)),
    ("forget_endpoint", (2,), ("drop", 2)),
    ("request_ack", (65535, False), ("ask_ack", 65535, False)),
    ("check_health", (2,), ("probe", 2)),
    ("watch_endpoints", (True,), ("follow", True)),
    ("fetch_endpoints", (), ("fetch_roll",)),
    ("schedule_round", (0.25,), ("wake", 0.25)),
    ("log", ("text",), ("note", "text")),
]


def round_trip(value):
    """Return the value as it is read back from a file."""
    return msgpack.unpackb(msgpack.packb(value), use_list=False)


@pytest.mark.parametrize(("event", "stored"), EVENTS, ids=lambda value: type(value).__name__)
def test_an_event_keeps_its_stored_name_and_is_read_back(event, stored):
    assert round_trip(encode_events([event])) == (stored,)
    found = decode_event(stored)
    assert found == event and type(found) is type(event)


def test_enums_and_load_reports_are_read_back_with_their_types():
    listed = decode_event(EVENTS[0][1])
    assert type(listed.entries[0]) is EndpointEntry
    assert type(listed.entries[0].state) is EndpointState
    checked = decode_event(EVENTS[2][1])
    assert type(checked.outcome) is HealthCheckOutcome and type(checked.load) is LoadReport


def test_a_failure_stored_without_its_call_is_read():
    """Files of older versions don't say which call failed."""
    assert decode_event(["unlisted"]) == EndpointListFailed(DiscoveryCall.UNKNOWN)


def test_every_event_type_has_a_stored_name():
    assert {type(event) for event, _ in EVENTS} == set(events.Event.__args__)
    assert {stored[0] for _, stored in EVENTS} == set(EventName)


@pytest.mark.parametrize(("method", "fields", "stored"), COMMANDS)
def test_a_command_keeps_its_stored_name(method, fields, stored):
    log = CommandLog()
    getattr(log, method)(*fields)
    assert round_trip(log.stored) == (stored,)


def test_every_command_is_stored_and_has_a_name():
    methods = {name for name in vars(commands.CommandWriter) if not name.startswith("_")}
    assert {method for method, _, _ in COMMANDS} == methods
    assert {stored[0] for _, _, stored in COMMANDS} == set(CommandName)


def test_every_command_is_passed_on():
    for method, fields, _ in COMMANDS:
        calls = []
        target = type("Target", (), {method: lambda self, *arguments: calls.append(arguments)})()
        getattr(CommandLog(target), method)(*fields)
        assert calls == [fields]


def test_settings_are_read_back():
    for settings in (generate.SETTINGS, replace(generate.SETTINGS, single_proxy_ejections=True)):
        assert decode_settings(round_trip(encode_settings(settings))) == settings
