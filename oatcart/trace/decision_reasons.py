"""Derives the reasons for the decisions of a recorded round from its events and those of earlier rounds."""

from collections.abc import Iterator
from typing import NamedTuple

from oatcart.model import EndpointState
from oatcart.trace.records import Record
from oatcart.trace.round_codec import CommandName, EventName, decode_event


class Decision(NamedTuple):
    """A command by the name under which it is printed, and its reason, or "" where the reason is unknown."""

    name: str
    reason: str


class EndpointStates:
    """The state of each endpoint in the last endpoint list from discovery."""

    def __init__(self) -> None:
        self._states: dict[int, EndpointState] = {}

    def update(self, round_record: Record) -> None:
        """Apply the endpoint lists among the events of a round."""
        for event in round_record.fields["arrivals"]:
            if event[0] != EventName.ENDPOINT_LIST_RECEIVED:
                continue
            received = decode_event(event)
            if received.complete:
                self._states.clear()
            self._states.update({entry.endpoint: entry.state for entry in received.entries})

    def state(self, endpoint: int) -> EndpointState:
        """Return the state of an endpoint; GONE where it is not listed."""
        return self._states.get(endpoint, EndpointState.GONE)


EJECTION_REASONS = {
    EndpointState.READY: "evidence",
    EndpointState.DRAINING: "drain",
    EndpointState.GONE: "gone",
}


def decisions(round_record: Record, states: EndpointStates) -> Iterator[Decision]:
    """Return the decisions of a round, one per command; `states` must reflect all earlier rounds."""
    states.update(round_record)
    for command in round_record.fields["orders"]:
        match command:
            case (CommandName.SET_EJECTED, endpoint, ejected):
                reason = EJECTION_REASONS[states.state(endpoint)]
                yield Decision("withdraw", reason) if ejected else Decision("let back", "returned")
            case (CommandName.SET_WEIGHT, _, _, weight):
                yield Decision("line", "weight" if weight else "no line")
            case (CommandName.SET_ADMISSION, _, _, quota, _):
                yield Decision("admit", "open" if quota >= 1.0 else "cut")
            case (name, *_):
                yield Decision(name, "")
