"""What a conductor's rounds are made of, noted: arrivals as they came, orders as they were written, in full
precision.
"""

from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path

from oatcart import interface as our
from oatcart import policy
from oatcart.trace.records import RecordKind

CLOCK_EVERY = 60.0  # s between records of the clock's facts
STEP_SHOWN = 0.05  # s by which Unix time may drift from the instance's clock until it is said to have stepped
ORDERS = (
    "line",
    "blank",
    "bind",
    "withdraw",
    "admit",
    "drop",
    "ask_ack",
    "probe",
    "follow",
    "fetch_roll",
    "wake",
    "note",
)


def text_digest() -> str:
    """Which text of the module decided."""
    return blake2b(Path(policy.__file__).read_bytes(), digest_size=8).hexdigest()


class Noting:
    """An order writer that passes all on and notes it."""

    __slots__ = ("to", "said")

    def __init__(self, to: our.OrderWriter) -> None:
        self.to, self.said = to, []


def _noting(name: str) -> Callable:
    def order(self: Noting, *args: object) -> None:
        self.said.append((name, *args))
        getattr(self.to, name)(*args)

    return order


for _name in ORDERS:
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

    def round(self, now: float, arrivals: our.Arrivals, orders: our.OrderWriter) -> None:
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
            self.put((RecordKind.ROUND, now, self.number, taken, noting.said))
            if self.clock_at is None or now - self.clock_at >= CLOCK_EVERY:
                self._clock(now)

    def name(self, now: float, number: int, name: str) -> None:
        """A node's number is told of, or is another's by now."""
        if self.names.get(number) != name:
            self.names[number] = name
            self.put((RecordKind.ENDPOINT_NAME, now, "node", number, name))

    def _clock(self, now: float) -> None:
        unix = self.unix()
        old, self.clock_at, self.offset = self.offset, now, unix - now
        stepped = self.offset - old if old is not None and abs(self.offset - old) > STEP_SHOWN else 0.0
        self.put((RecordKind.CLOCK, now, unix, stepped))


def start_record(now: float, instance: str, seed: int, records: dict, names: dict) -> tuple:
    """What a conductor was started with, so that a fresh one can be; `names`: of kinds and zones."""
    return (
        RecordKind.START,
        now,
        instance,
        seed,
        {
            **records,
            "kinds": [tuple(kind) for kind in records["kinds"]],
            **{one: tuple(records[one]) for one in ("roll", "channel", "cold")},
        },
        text_digest(),
        names,
    )


def started(fields: dict) -> policy.Conductor:
    """A fresh conductor from a start record's fields."""
    told = dict(fields["records"])
    return policy.Conductor(
        seed=fields["seed"],
        kinds=[our.ReqKind(*kind) for kind in told.pop("kinds")],
        roll=our.RollManners(*told.pop("roll")),
        channel=our.ChannelLimits(*told.pop("channel")),
        cold=our.ColdLimits(*told.pop("cold")),
        **told,
    )


class Said:
    """An order writer that notes only."""

    def __init__(self) -> None:
        self.said: list[tuple] = []

    def __getattr__(self, name: str) -> Callable:
        if name not in ORDERS:
            raise AttributeError(name)
        return lambda *args: self.said.append((name, *args))


def again(records: Iterator) -> tuple[int, int, str]:
    """Hand recorded rounds to a fresh conductor: rounds played, orders compared, and the first difference or
    nothing. Rounds before a start record, or after some that were shed, prove nothing and are refused by
    words."""
    module, rounds, orders, last, began = None, 0, 0, None, None
    for kind, fields in records:
        if kind == RecordKind.START:
            if (fields["at"], fields["instance"]) != began:  # each file of one life begins with the same one
                module, last, began = started(fields), None, (fields["at"], fields["instance"])
        elif kind == RecordKind.ROUND:
            if module is None:
                return rounds, orders, "the start record is missing"
            if fields["number"] != (last or 0) + 1:
                return rounds, orders, f"rounds are missing before number {fields['number']}"
            last, writer = fields["number"], Said()
            try:
                module.round(fields["at"], iter(fields["arrivals"]), writer)
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
