"""What a conductor's rounds are made of, noted: arrivals as they came, orders as they were written, in full
precision.
"""

from collections.abc import Callable, Iterator, Sequence
from hashlib import blake2b
from math import inf
from pathlib import Path

from oatcart import policy
from oatcart.commands import CommandWriter
from oatcart.events import (
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    Events,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.trace.records import CLOCK, NAME, ROUND, START, make

CLOCK_EVERY = 60.0  # s between records of the clock's facts
STEP_SHOWN = 0.05  # s by which Unix time may drift from the instance's clock until it is said to have stepped
# Commands and events by the names that trace files have for them
STORED_COMMANDS = {
    "set_weight": "line",
    "clear_table": "blank",
    "assign_table": "bind",
    "set_ejected": "withdraw",
    "set_admission": "admit",
    "forget_endpoint": "drop",
    "request_ack": "ask_ack",
    "check_health": "probe",
    "watch_endpoints": "follow",
    "fetch_endpoints": "fetch_roll",
    "schedule_round": "wake",
    "log": "note",
}
STORED_EVENTS = {
    EndpointListReceived: "listed",
    EndpointListFailed: "unlisted",
    HealthCheckCompleted: "probed",
    ProxyJoined: "joined",
    ProxyLeft: "left",
    UpdateAcknowledged: "applied",
    EndpointLoadReported: "met",
    ProxyLoadReported: "came",
}
EVENTS_BY_STORED_NAME = {name: event for event, name in STORED_EVENTS.items()}


def stored(event: Event) -> tuple:
    """An event as a trace file has it: its name there, then its fields."""
    return (STORED_EVENTS[type(event)], *event)


def event_of(stored: Sequence) -> Event:
    """The event that a trace file has in this form."""
    name, *fields = stored
    if name == "listed":
        complete, entries = fields
        return EndpointListReceived(complete, [EndpointEntry(*entry) for entry in entries])
    if name in ("met", "probed"):
        return EVENTS_BY_STORED_NAME[name](*fields[:-1], LoadReport(*fields[-1]))
    return EVENTS_BY_STORED_NAME[name](*fields)


def text_digest() -> str:
    """Which text of the decisions was in force: a digest of all modules of the package."""
    digest = blake2b(digest_size=8)
    for path in sorted(Path(policy.__file__).parent.glob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()


class Noting:
    """An order writer that passes all on and notes it."""

    __slots__ = ("to", "said")

    def __init__(self, to: CommandWriter) -> None:
        self.to, self.said = to, []


def _noting(name: str) -> Callable:
    def order(self: Noting, *args: object) -> None:
        self.said.append((STORED_COMMANDS[name], *args))
        getattr(self.to, name)(*args)

    return order


for _name in STORED_COMMANDS:
    setattr(Noting, _name, _noting(_name))


class Tap:
    """Stands for the module's `round`: `call` is the module's, `put` takes records; `unix` is asked for now
    and then. Where the module raises over an arrival, those behind it are handed to `back`, as the host has
    them played in a next call."""

    def __init__(
        self,
        call: Callable,
        put: Callable[[tuple], None],
        unix: Callable[[], float],
        back: Callable[[list], None] = lambda rest: None,
    ) -> None:
        self.call, self.put, self.unix, self.back = call, put, unix, back
        self.number, self.names, self.clock_at, self.offset = 0, {}, None, None

    def round(self, now: float, arrivals: Events, orders: CommandWriter) -> None:
        taken, noting = list(arrivals), Noting(orders)
        left = iter(taken)
        try:
            self.call(now, left, noting)
        except Exception:
            if rest := list(left):
                del taken[-len(rest) :]
                self.back(rest)
            raise
        finally:
            self.number += 1
            self.put((ROUND, now, self.number, [stored(event) for event in taken], noting.said))
            if self.clock_at is None or now - self.clock_at >= CLOCK_EVERY:
                self._clock(now)

    def name(self, now: float, number: int, name: str) -> None:
        """A node's number is told of, or is another's by now."""
        if self.names.get(number) != name:
            self.names[number] = name
            self.put(make(NAME, now, "node", number, name))

    def _clock(self, now: float) -> None:
        unix = self.unix()
        old, self.clock_at, self.offset = self.offset, now, unix - now
        stepped = self.offset - old if old is not None and abs(self.offset - old) > STEP_SHOWN else 0.0
        self.put(make(CLOCK, now, unix, stepped))


def start_record(now: float, instance: str, seed: int, settings: ControllerSettings, names: dict) -> tuple:
    """What a conductor was started with, so that a fresh one can be; `names`: of kinds and zones."""
    return make(
        START,
        now,
        instance,
        seed,
        {
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
        },
        text_digest(),
        names,
    )


def started(fields: dict) -> policy.Controller:
    """A fresh conductor from a start record's fields."""
    told = dict(fields["records"])
    settings = ControllerSettings(
        request_classes=tuple(RequestClass(*one) for one in told["kinds"]),
        discovery=DiscoverySettings(*told["roll"]),
        channel=ChannelLimits(*told["channel"]),
        warm_up=WarmUpLimits(*told["cold"]),
        report_period=told["report_period"],
        admission_mode=told["admitting"],
        cross_zone_price=told["crossing_price"],
        health_checks_allowed=told["may_probe"],
        drain_deadline=told.get("grace", inf),
        expected_proxies=told.get("usual_proxies", 0.0),
    )
    return policy.Controller(settings, fields["seed"])


class Said:
    """An order writer that notes only."""

    def __init__(self) -> None:
        self.said: list[tuple] = []

    def __getattr__(self, name: str) -> Callable:
        if name not in STORED_COMMANDS:
            raise AttributeError(name)
        return lambda *args: self.said.append((STORED_COMMANDS[name], *args))


def again(records: Iterator) -> tuple[int, int, str]:
    """Hand recorded rounds to a fresh conductor: rounds played, orders compared, and the first difference or
    nothing. Rounds before a start record, or after some that were shed, prove nothing and are refused by
    words."""
    module, rounds, orders, last, began = None, 0, 0, None, None
    for kind, fields in records:
        if kind == START:
            if (fields["at"], fields["instance"]) != began:  # each file of one life begins with the same one
                module, last, began = started(fields), None, (fields["at"], fields["instance"])
        elif kind == ROUND:
            if module is None:
                return rounds, orders, "the start record is missing"
            if fields["number"] != (last or 0) + 1:
                return rounds, orders, f"rounds are missing before number {fields['number']}"
            last, writer = fields["number"], Said()
            try:
                module.round(fields["at"], (event_of(one) for one in fields["arrivals"]), writer)
            except Exception as error:  # as it may have raised then, over one arrival
                writer.said.append(("raised", type(error).__name__))
            said = [one for one in writer.said if one[0] != "raised"]
            rounds, orders = rounds + 1, orders + len(said)
            if said != list(fields["orders"]):
                at = next(
                    (
                        at
                        for at, (old, new) in enumerate(zip(fields["orders"], said, strict=False))
                        if old != new
                    ),
                    min(len(said), len(fields["orders"])),
                )
                return rounds, orders, f"round {fields['number']} differs from order {at} on"
    return rounds, orders, ""
