"""Records the rounds of a controller: events as received and commands as given, in full precision."""

from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from oatcart import policy
from oatcart.commands import CommandWriter
from oatcart.events import Event, Events
from oatcart.model import ControllerSettings
from oatcart.trace.command_log import CommandLog
from oatcart.trace.records import RecordKind, make_record
from oatcart.trace.round_codec import encode_events, encode_settings

CLOCK_INTERVAL = 60.0  # s between two clock records
MIN_CLOCK_STEP = 0.05  # s of change between Unix time and the instance's clock; smaller changes are drift
DIGEST_BYTES = 8

Decide = Callable[[float, Events, CommandWriter], None]  # one round of the controller


def _discard_events(events: list[Event]) -> None:
    """Discard events that were not processed; the default for `requeue`."""


class RoundRecorder:
    """Wraps the `round` method of a controller and records each call.

    `put` takes records like `Writer.put`; `unix_clock` is read every CLOCK_INTERVAL. Where the controller
    raises an exception for an event, the events after it are passed to `requeue`, so that the caller can
    process them in its next round.
    """

    def __init__(
        self,
        decide: Decide,
        put: Callable[[tuple], None],
        unix_clock: Callable[[], float],
        requeue: Callable[[list[Event]], None] = _discard_events,
    ) -> None:
        self._decide = decide
        self._put = put
        self._unix_clock = unix_clock
        self._requeue = requeue
        self._rounds = 0
        self._names: dict[int, str] = {}  # by endpoint
        self._clock_recorded_at: float | None = None
        self._unix_offset = 0.0  # s from the instance's clock to Unix time, as last recorded

    def round(self, now: float, events: Events, commands: CommandWriter) -> None:
        """Run a round of the controller and record it; raises what the controller raises."""
        received = list(events)
        remaining = iter(received)
        log = CommandLog(commands)
        try:
            self._decide(now, remaining, log)
        except Exception:
            if unprocessed := list(remaining):
                del received[-len(unprocessed) :]
                self._requeue(unprocessed)
            raise
        finally:
            self._rounds += 1
            self._put((RecordKind.ROUND, now, self._rounds, encode_events(received), log.stored))
            if self._clock_recorded_at is None or now - self._clock_recorded_at >= CLOCK_INTERVAL:
                self._record_clock(now)

    def name_endpoint(self, now: float, endpoint: int, name: str) -> None:
        """Record the id that an endpoint's number stands for from now on, unless it is recorded already."""
        if self._names.get(endpoint) != name:
            self._names[endpoint] = name
            self._put(make_record(RecordKind.ENDPOINT_NAME, at=now, what="node", number=endpoint, name=name))

    def _record_clock(self, now: float) -> None:
        """Record the instance's clock and Unix time, and by how much one of them was stepped."""
        unix = self._unix_clock()
        change = unix - now - self._unix_offset
        stepped = 0.0
        if self._clock_recorded_at is not None and abs(change) > MIN_CLOCK_STEP:
            stepped = change
        self._clock_recorded_at = now
        self._unix_offset = unix - now
        self._put(make_record(RecordKind.CLOCK, at=now, unix=unix, stepped=stepped))


def start_record(
    now: float, instance: str, seed: int, settings: ControllerSettings, classes: list[str], zones: list[str]
) -> tuple:
    """Return the record of a controller's settings and seed, from which a replay starts another controller.

    `classes` and `zones` are the names of request classes and zones, ordered by their numbers.
    """
    return make_record(
        RecordKind.START,
        at=now,
        instance=instance,
        seed=seed,
        records=encode_settings(settings),
        text=decisions_digest(),
        names={"kinds": classes, "zones": zones},
    )


def decisions_digest() -> str:
    """Return a hex digest of the source of `oatcart.policy`, which identifies the version that decided."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for file in sorted(Path(policy.__file__).parent.glob("*.py")):
        digest.update(file.read_bytes())
    return digest.hexdigest()
