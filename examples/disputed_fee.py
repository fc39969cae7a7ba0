"""Writes three traces of one disputed fee into a folder: `python examples/disputed_fee.py FOLDER`.

The traces are those of a controller and two proxies, whose clocks differ by some seconds. A client sent one
fee twice, through both proxies; the connection of the first proxy was reset after it had forwarded the
request.
"""

import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import NamedTuple

from oatcart.trace.merge import acknowledgement_link, update_link
from oatcart.trace.records import FIELDS, Record, RecordKind, RequestOutcome
from oatcart.trace.trace_files import write_trace

KEY = bytes.fromhex("5fee0001")
CONTROLLER = "n0"
PROXIES = ("proxy-a", "proxy-b")
OFFSETS = {"n0": 0.0, "proxy-a": 3.2, "proxy-b": -1.7}  # s that each clock is ahead of the controller's
DRIFTS = {"n0": 0.0, "proxy-a": 60e-6, "proxy-b": -40e-6}  # s per s
BEGIN = 1000.0  # s
UPDATES = 300  # one per s
LEAST_DELAY = 0.002  # s
RECEIVED_SHARE = 0.9


class ExampleEvent(NamedTuple):
    """An event to record: its time by the controller's clock, and the fields after the time."""

    at: float
    instance: str
    kind: RecordKind
    fields: tuple


def updates(rng: Random) -> Iterator[ExampleEvent]:
    """Return the controller's updates and their acknowledgements."""
    for nonce in range(UPDATES):
        at = BEGIN + nonce
        update = update_link(CONTROLLER, nonce)
        yield ExampleEvent(at, CONTROLLER, RecordKind.MESSAGE_SENT, (update, "proxies"))
        for number, proxy in enumerate(PROXIES):
            received_at = at + LEAST_DELAY + rng.expovariate(500)
            acknowledged_at = received_at + LEAST_DELAY + rng.expovariate(500)
            if rng.random() >= RECEIVED_SHARE:
                continue
            acknowledgement = acknowledgement_link(CONTROLLER, nonce, number)
            yield ExampleEvent(received_at, proxy, RecordKind.MESSAGE_RECEIVED, (update, CONTROLLER))
            yield ExampleEvent(received_at, proxy, RecordKind.MESSAGE_SENT, (acknowledgement, CONTROLLER))
            yield ExampleEvent(
                acknowledged_at, CONTROLLER, RecordKind.MESSAGE_RECEIVED, (acknowledgement, proxy)
            )


def fees() -> Iterator[ExampleEvent]:
    """Return the two requests with one idempotency key."""
    for at, proxy, number, endpoint, outcome, duration in (
        (1100.430, "proxy-a", 41, "east-02", RequestOutcome.FAILED, 0.180),
        (1101.100, "proxy-b", 77, "east-05", RequestOutcome.SUCCEEDED, 0.061),
    ):
        fields = (number, KEY, proxy, "fee-charge", "east", endpoint, outcome, duration, 1, 3.0)
        yield ExampleEvent(at, proxy, RecordKind.REQUEST, fields)


def to_record(event: ExampleEvent) -> Record:
    """Return the record of an event, with the time by the clock of its instance."""
    at, instance, kind, fields = event
    own_time = at + OFFSETS[instance] + DRIFTS[instance] * at
    names = (name for name, _ in FIELDS[kind])
    return Record(kind, dict(zip(names, (own_time, *fields), strict=True)))


def main(folder: Path) -> None:
    """Write a trace for each instance."""
    events = [*updates(Random(4)), *fees()]
    folder.mkdir(parents=True, exist_ok=True)
    for instance in OFFSETS:
        own = (event for event in events if event.instance == instance)
        records = map(to_record, sorted(own, key=lambda event: event.at))
        write_trace(str(folder / f"{instance}.oatrace"), {"instance": instance}, records, FIELDS)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
