"""Records of the simulator's wire as events: numbers, units, and unknown codes."""

import pytest

from oatcart.events import EndpointListFailed, EndpointListReceived, HealthCheckCompleted
from oatcart.model import EndpointState, HealthCheckOutcome
from oatcart.simhost.event_decoding import LIST_CACHED, LIST_FAILED, LIST_FULL, EventDecoder
from oatcart.simhost.frames import EntryFields, Record, RecordCode


def endpoint_list(mode, *states):
    entries = [EntryFields(100 + at, 1, 2500.0, state, 0, 1.5, 0) for at, state in enumerate(states)]
    return Record(RecordCode.ENDPOINT_LIST, 3, (mode, 7, entries))


@pytest.mark.parametrize(
    "code, state",
    [
        (0, EndpointState.GONE),
        (1, EndpointState.READY),
        (2, EndpointState.DRAINING),
        (3, EndpointState.DRAINING),
        (255, EndpointState.DRAINING),
    ],
)
def test_an_endpoint_state_that_is_neither_ready_nor_gone_is_draining(code, state):
    event = EventDecoder([]).decode(endpoint_list(LIST_FULL, code))
    assert event.entries == [(0, 1, 2.5, state, 1.5)]
    assert isinstance(event.entries[0].state, EndpointState)


@pytest.mark.parametrize("mode, complete", [(0, False), (LIST_CACHED, True), (LIST_FULL, True), (3, False)])
def test_mode_of_a_list_determines_whether_it_is_complete(mode, complete):
    event = EventDecoder([]).decode(endpoint_list(mode, 1))
    assert isinstance(event, EndpointListReceived)
    assert event.complete is complete


def test_a_failed_list_has_no_entries():
    assert EventDecoder([]).decode(endpoint_list(LIST_FAILED)) == EndpointListFailed()


@pytest.mark.parametrize(
    "code, outcome",
    [
        (0, HealthCheckOutcome.PASSED),
        (5, HealthCheckOutcome.FAILED),
        (11, HealthCheckOutcome.REJECTED),
        (104, HealthCheckOutcome.UNREACHABLE),
        (110, HealthCheckOutcome.TIMED_OUT),
        (111, HealthCheckOutcome.UNREACHABLE),
        (125, HealthCheckOutcome.REJECTED),
    ],
)
def test_outcomes_of_health_checks(code, outcome):
    decoder = EventDecoder(["load_share", "concurrent"])
    event = decoder.decode(Record(RecordCode.HEALTH_CHECK, 3, (900, code, 40.0, (0.5, 7.0))))
    assert event == HealthCheckCompleted(0, outcome, 0.04, (7.0, 0.5, None))
    assert decoder.endpoint_ids == [900]


@pytest.mark.parametrize("code", [RecordCode.TIMER, RecordCode.PEER_MESSAGE, RecordCode.SLICE_WEIGHT])
def test_unused_records_are_no_events(code):
    assert EventDecoder([]).decode(Record(code, 3, (1, 2))) is None
