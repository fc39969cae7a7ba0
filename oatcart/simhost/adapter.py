"""The adapter: runs any number of controllers in one process, each on its own records of a batch."""

import json
from collections.abc import Iterable

from oatcart.events import Event
from oatcart.policy import Controller
from oatcart.settings import read_controller_settings
from oatcart.simhost.command_encoding import CommandEncoder, encode_fault
from oatcart.simhost.event_decoding import EventDecoder
from oatcart.simhost.frames import MS_PER_SECOND, Batch, Record, RecordCode, Reply


class ControllerInstance:
    """One controller with the decoder of its records.

    `settings_json` is the settings object of the protocol. Raises InvalidSettingError, AttributeError,
    TypeError or ValueError if it is invalid.
    """

    def __init__(self, number: int, seed: int, settings_json: bytes) -> None:
        settings = json.loads(settings_json)
        self._number = number
        self._controller = Controller(read_controller_settings(settings), seed)
        self._decoder = EventDecoder(list((settings.get("report") or {}).get("fields") or []))

    def decode(self, record: Record) -> Event | None:
        """Return the event of a record; None if the decisions do not use it."""
        return self._decoder.decode(record)

    def decide(self, now: float, events: Iterable[Event]) -> list[bytes]:
        """Run one round at `now` (s); return its packed commands, followed by a fault if it failed."""
        records: list[bytes] = []
        encoder = CommandEncoder(self._number, self._decoder.endpoint_ids, records)
        try:
            self._controller.round(now, events, encoder)
        except Exception as error:  # the protocol requires a report, and the adapter to continue
            records.append(encode_fault(self._number, f"{type(error).__name__}: {error}"))
        return records


class Adapter:
    """All controllers of one adapter process; they share no state."""

    def __init__(self) -> None:
        self._instances: dict[int, ControllerInstance] = {}

    def answer(self, batch: Batch) -> Reply:
        """Start, stop and run the instances of a batch's records; return their commands."""
        records: list[bytes] = []
        for number, events in self._collect_events(batch.records, records).items():
            instance = self._instances.get(number)
            if instance is not None:
                records += instance.decide(batch.clock_ms / MS_PER_SECOND, events)
        return Reply(len(records), b"".join(records))

    def _collect_events(self, batch: Iterable[Record], replies: list[bytes]) -> dict[int, list[Event]]:
        """Return the events by instance, in the order of the instances' first records.

        An instance whose records are no events has an empty list, and so a round without events.
        """
        events: dict[int, list[Event]] = {}
        for record in batch:
            number = record.instance
            if record.code == RecordCode.START:
                events[number] = []
                self._start(record, replies)
            elif record.code == RecordCode.STOP:
                self._instances.pop(number, None)
                events.pop(number, None)
            elif number in self._instances:
                event = self._instances[number].decode(record)
                instance_events = events.setdefault(number, [])
                if event is not None:
                    instance_events.append(event)
        return events

    def _start(self, record: Record, replies: list[bytes]) -> None:
        """Start an instance, in place of one with its number; a fault in the reply reports a failure."""
        try:
            self._instances[record.instance] = ControllerInstance(record.instance, *record.fields)
        except Exception as error:  # the protocol requires a report, and the adapter to continue
            self._instances.pop(record.instance, None)
            replies.append(encode_fault(record.instance, f"start: {error!r}"))
