"""Replays recorded rounds on a new controller and compares its commands with the recorded ones."""

from collections.abc import Iterable, Sequence
from contextlib import suppress
from typing import NamedTuple

from oatcart.policy import Controller
from oatcart.trace.command_log import CommandLog
from oatcart.trace.records import Record, RecordKind
from oatcart.trace.round_codec import decode_event, decode_settings


class ReplayResult(NamedTuple):
    """The number of rounds replayed and of commands compared, and the first difference as text, or ""."""

    rounds: int
    commands: int
    difference: str


def new_controller(start: dict) -> Controller:
    """Return a controller with the settings and seed of a start record's fields."""
    return Controller(decode_settings(start["records"]), start["seed"])


def replay(records: Iterable[Record]) -> ReplayResult:
    """Replay the rounds among the records, up to the first difference.

    A round before any start record or after a missing round cannot be compared and counts as a difference.
    """
    replayer = _Replayer()
    difference = ""
    for kind, fields in records:
        if kind == RecordKind.START:
            replayer.start(fields)
        elif kind == RecordKind.ROUND:
            difference = replayer.replay_round(fields)
            if difference:
                break
    return ReplayResult(replayer.rounds, replayer.commands, difference)


class _Replayer:
    """Replays recorded rounds on a controller; counts the rounds and the commands compared."""

    def __init__(self) -> None:
        self.rounds = 0
        self.commands = 0
        self._controller: Controller | None = None
        self._incarnation: tuple[float, str] | None = None
        self._last_number = 0

    def start(self, fields: dict) -> None:
        """Start a new controller, unless the record repeats the last one, as each file begins with it."""
        incarnation = fields["at"], fields["instance"]
        if incarnation != self._incarnation:
            self._controller = new_controller(fields)
            self._incarnation = incarnation
            self._last_number = 0

    def replay_round(self, fields: dict) -> str:
        """Replay a round; return how its commands differ from the recorded ones, or ""."""
        number, expected = fields["number"], fields["orders"]
        if self._controller is None:
            return "the start record is missing"
        if number != self._last_number + 1:
            return f"rounds are missing before number {number}"
        self._last_number = number
        log = CommandLog()
        with suppress(Exception):  # raised when recorded too, after giving the commands that are compared
            self._controller.round(fields["at"], map(decode_event, fields["arrivals"]), log)
        self.rounds += 1
        self.commands += len(log.stored)
        if log.stored == list(expected):
            return ""
        return f"round {number} differs from order {_first_difference(expected, log.stored)} on"


def _first_difference(expected: Sequence[tuple], actual: Sequence[tuple]) -> int:
    """Return the index of the first command that differs."""
    for index, (recorded, replayed) in enumerate(zip(expected, actual, strict=False)):
        if recorded != replayed:
            return index
    return min(len(expected), len(actual))
