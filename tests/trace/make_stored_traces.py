"""Makes the stored traces under `data/`, by the package's own recorder and writer.

`PYTHONPATH=. python tests/trace/make_stored_traces.py` was run once, on the version before any name changed;
the files are test data and stay as they are, so that every later version is held to them. This follows the
names of the package and shows how the files came about. Events and commands are in the stored form.
"""

import contextlib
import shutil
import tempfile
from pathlib import Path
from random import Random

from stored_traces import ALL, DATA, ONE, PROXY, TWO

from oatcart.commands import CommandWriter
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    Idempotency,
    RequestClass,
    WarmUpLimits,
)
from oatcart.trace.recorder import RoundRecorder, start_record
from oatcart.trace.records import FIELDS
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.replay import new_controller
from oatcart.trace.round_codec import decode_event
from oatcart.trace.write_policy import Limits
from oatcart.trace.writer import Writer

BEGIN, END, TURN_AT = 1000.0, 1086.0, 1050.0  # s; the second file begins at TURN_AT
ROUND_EVERY, REPORT_EVERY = 0.25, 2.0  # s
ENDPOINTS, PROXIES, CLASSES = 6, 6, 3
GONE, READY, DRAINING = 0, 1, 2
NAMES = {place: f"{'east' if place % 2 == 0 else 'west'}-{place:02}" for place in range(ENDPOINTS + 1)}
OFFSET, DRIFT = 3.2, 60e-6  # s, s a second: the clock of proxy-a to that of n0


class Host(CommandWriter):
    """A command writer that keeps what has to be answered."""

    def __init__(self) -> None:
        self.nonces: list[int] = []
        self.health_checks: list[int] = []

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """See `CommandWriter`."""
        self.nonces.append(nonce)

    def check_health(self, endpoint: int) -> None:
        """See `CommandWriter`."""
        self.health_checks.append(endpoint)

    def answers(self, now: float) -> list[tuple]:
        """The stored events that answer all commands since the last call."""
        events = [("applied", proxy, nonce, 0.0625) for nonce in self.nonces for proxy in range(PROXIES)]
        outcome = 0 if now > BEGIN + 8 else 4
        events += [("probed", one, outcome, 0.03125, (None, None, None)) for one in self.health_checks]
        self.nonces.clear()
        self.health_checks.clear()
        return events


def within(now: float, first: float, last: float) -> bool:
    return first <= now - BEGIN < last


def report(rng: Random, now: float, node: int) -> tuple | None:
    """What the proxies of the endpoint's zone met at it; None where it is silent or not there."""
    seconds = now - BEGIN
    if node == 1 and 64 <= seconds < 76 or node == 3 and seconds >= 18 or node == 4 and seconds >= 20:
        return None
    if node == 6 and seconds < 26:
        return None
    took, share, busy = 3 / 64 + rng.randrange(4) / 128, 0.0, 0.25 + rng.randrange(8) / 64
    if node == 2 and within(now, 5, 11):
        share = 0.875
    if within(now, 30, 42):
        took, share, busy = 1.25, 0.25, 0.9375
    if node == 0 and within(now, 46, 54):
        share = 0.375
    load = (None, busy, None) if node % 3 else (float(rng.randrange(3, 9)), None, 2.0)
    return ("met", node, node % 2, REPORT_EVERY, took, round(64 * share), 64, load)


def changes(now: float) -> list[tuple]:
    """What else comes at a time: the list, proxies, a failed call, an event that cannot be used."""
    entries = [(place, place % 2, 0.0, READY, 1.0 + place % 3) for place in range(ENDPOINTS)]
    cold = (6, 0, BEGIN + 25, READY, 2.0)
    whole = [entries[0], entries[1], entries[2], entries[5], cold]
    at = {
        0.0: [("joined", one, one % 2, 10.0, one != 5) for one in range(PROXIES)] + [("unlisted",)],
        1.0: [("listed", True, entries)],
        15.0: [("listed", False, [(3, 1, 0.0, DRAINING, 1.0)])],
        18.0: [("listed", False, [(3, 1, 0.0, GONE, 1.0)])],
        20.0: [("listed", True, [entries[0], entries[1], entries[2], entries[5]])],
        25.0: [("listed", False, [cold])],
        44.0: [("left", 3)],
        47.0: [("joined", 3, 1, 10.0, False)],
        52.0: [("came", 2, "not a class", 1, 0, 1.0), ("left", 9)],
        60.0: [("unlisted",)],
        62.0: [("listed", True, whole)],
    }
    return at.get(now - BEGIN, [])


SETTINGS = ControllerSettings(
    request_classes=(
        RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT),
        RequestClass(2.0, 1.0, Idempotency.KEYED, own_zone_only=True),
        RequestClass(3.0, 1.0, Idempotency.NOT_IDEMPOTENT, zones=(0, 1)),
    ),
    discovery=DiscoverySettings(must_watch=True, lists_weights=True),
    channel=ChannelLimits(400.0, 4.0, 2000.0, 60, 10.0),
    warm_up=WarmUpLimits(8.0, 0.2, 4.0),
    report_period=REPORT_EVERY,
    admission_mode=AdmissionMode.SHARE,
    cross_zone_price=0.1,
    health_checks_allowed=True,
    drain_deadline=4.0,
    expected_proxies=6.0,
)


def reports(rng: Random, now: float) -> list[tuple]:
    """The stored events of the load reports at a time."""
    if (now - BEGIN) % REPORT_EVERY:
        return []
    events = [one for place in NAMES if (one := report(rng, now, place))]
    events += [
        ("came", proxy, kind, rng.randrange(4, 40), 0, REPORT_EVERY)
        for proxy in range(PROXIES)
        for kind in range(CLASSES)
    ]
    return events


def controller_records() -> list[tuple]:
    """The records of a controller that lives through every kind of event."""
    records, rng, host = [], Random(7), Host()
    classes = ["lookup", "slot-update", "fee-charge"]
    records.append(start_record(BEGIN, "n0", 0x5EED, SETTINGS, classes, ["east", "west"]))
    start = dict(zip((name for name, _ in FIELDS["start"]), records[0][1:], strict=True))
    unix = 1.7e9
    rest: list = []
    controller = new_controller(start)
    recorder = RoundRecorder(controller.round, records.append, lambda: unix, rest.extend)
    now = BEGIN
    while now < END:
        if now in (BEGIN, BEGIN + 25):
            for place, name in NAMES.items():
                if place < ENDPOINTS or now > BEGIN:
                    recorder.name_endpoint(now, place, name)
        stored = [*changes(now), *reports(rng, now), *host.answers(now)]
        events = [*rest, *map(decode_event, stored)]
        rest.clear()
        unix = 1.7e9 + now - BEGIN + (0.5 if now > BEGIN + 30 else 0.0)
        with contextlib.suppress(TypeError):  # of the event that cannot be used
            recorder.round(now, iter(events), host)
        now += ROUND_EVERY
    # n0 has seen a request of proxy-a too
    seen = ("proxy-a", "lookup", "east", "east-00", "done", 0.05, 1, 1.0)
    records.append((Kind.REQUEST, BEGIN + 40, 21, b"", *seen))
    return sorted(records, key=lambda record: record[1])


def proxy_records(rounds: list[tuple]) -> list[tuple]:
    """The requests of proxy-a by its own clock, and the updates that it met and acknowledged (number 0)."""
    rng, out = Random(8), []

    def own(at: float) -> float:
        return at + OFFSET + DRIFT * (at - BEGIN)

    for _, at, _, arrivals, orders in rounds:
        for order in orders:
            if order[0] == "ask_ack":
                out.append(
                    (
                        Kind.MESSAGE_RECEIVED,
                        own(at + rng.uniform(0.001, 0.01)),
                        b"n0:mark:%d" % order[1],
                        "n0",
                    )
                )
        for arrival in arrivals:
            if arrival[0] == "applied" and arrival[1] == 0:
                link = b"n0:applied:%d:0" % arrival[2]
                out.append((Kind.MESSAGE_SENT, own(at - rng.uniform(0.001, 0.01)), link, "n0"))
    classes = ("lookup", "slot-update", "fee-charge")
    for number in range(1, 241):
        at, kind = own(BEGIN + number / 4), classes[number % 3]
        key = b"" if kind == "lookup" else b"\x5f\xee" + number.to_bytes(2, "big")
        node, tries = NAMES[rng.randrange(ENDPOINTS)], 1
        if number % 20 == 7:
            out.append((Kind.ATTEMPT, at, number, key, "proxy-a", kind, 1, node, "RESET", 0.015625))
            node, tries = NAMES[(number + 1) % ENDPOINTS], 2
        outcome = "errored" if number % 11 == 0 else "denied" if number % 13 == 0 else "done"
        node, tries = ("", 0) if outcome == "denied" else (node, tries)
        took = rng.randrange(20, 400) / 1000 if tries else 0.0
        value = float(1 + number % 3)
        out.append(
            (Kind.REQUEST, at, number, key, "proxy-a", kind, "east", node, outcome, took, tries, value)
        )
    seen = (
        Kind.REQUEST,
        own(BEGIN + 40),
        21,
        b"",
        "proxy-a",
        "lookup",
        "east",
        "east-00",
        "done",
        0.05,
        1,
        1.0,
    )
    out = [one for one in out if one[0] != Kind.REQUEST or one[2] != 21] + [seen]
    for number, at in ((301, 60.5), (302, 61.5)):  # one key, done twice
        fee = ("fee-charge", "east", "east-02", "done", 0.061, 1, 3.0)
        out.append((Kind.REQUEST, own(BEGIN + at), number, b"\x5f\xee\x10\x01", "proxy-a", *fee))
    out += [("clock", own(BEGIN), 1.7e9, 0.0), ("clock", own(BEGIN + 60), 1.7e9 + 61, 1.0)]
    return sorted(out, key=lambda one: one[1])


def every_name() -> list[tuple]:
    """One record of each kind, one event and one order of each name, drawn up by hand; no recorded run."""
    load = (3.0, 0.5, None)
    arrivals = [
        ("listed", True, [(0, 0, 0.0, READY, 1.0), (2, 0, 990.0, DRAINING, 2.0)]),
        ("listed", False, [(2, 0, 990.0, GONE, 2.0)]),
        ("unlisted",),
        *(("probed", 2, outcome, 0.25, load) for outcome in range(5)),
        ("joined", 1, 0, 10.0, True),
        ("left", 1),
        ("applied", 1, 65535, 0.05),
        ("met", 2, 1, 1.0, 0.125, 3, 20, load),
        ("came", 1, 2, 17, 1, 1.0),
    ]
    orders = [
        ("line", 0, 2, 37),
        ("line", 0, 2, 0),
        ("blank", 0),
        ("bind", 0, 1, 7),
        ("withdraw", 2, True),
        ("withdraw", 2, False),
        *(("admit", 65535, 4, 0.5 + tries / 8, tries) for tries in range(4)),
        ("drop", 2),
        ("ask_ack", 65535, False),
        ("ask_ack", 0, True),
        ("probe", 2),
        ("follow", True),
        ("follow", False),
        ("fetch_roll",),
        ("wake", 0.25),
        ("note", "free text"),
    ]
    return [
        ("name", 999.0, "node", 2, "east-02"),
        (Kind.ROUND, 1000.0, 1, arrivals, orders),
        (Kind.ROUND, 1000.25, 2, [], []),
        (Kind.ATTEMPT, 1000.5, 1, b"\x01", "proxy-a", "fee-charge", 1, "east-02", "REFUSED", 0.001),
        (
            Kind.REQUEST,
            1000.5,
            1,
            b"\x01",
            "proxy-a",
            "fee-charge",
            "east",
            "west-01",
            "done",
            0.25,
            2,
            3.0,
        ),
        (Kind.MESSAGE_SENT, 1000.75, b"n1:mark:1", "proxy-a"),
        (Kind.MESSAGE_RECEIVED, 1001.0, b"n1:applied:1:0", "proxy-a"),
        ("clock", 1001.0, 1.7e9, -0.125),
        (Kind.SHED, 1001.5, Kind.REQUEST, 12, 1000.0, 1001.0, "no room"),
    ]


def write(
    name: str, instance: str, records: list[tuple], starts: list[tuple], max_queued: int = 100_000
) -> None:
    """One file by the package's writer, whose clock is that of the records."""
    folder, clock = Path(tempfile.mkdtemp()), [records[0][1]]
    writer = Writer(
        folder,
        instance,
        {"format": "oatcart"},
        lambda: clock[0],
        print,
        Limits(max_queued_records=max_queued),
        unix_clock=lambda: 1.7e9,
    )
    writer.start_records = starts
    for record in records:
        clock[0] = max(clock[0], record[1])
        writer.write_due()
        writer.put(record)
    writer.write_due(final=True)
    (path,) = folder.iterdir()
    shutil.copyfile(path, DATA / name)
    shutil.rmtree(folder)


def write_traces() -> None:
    """All the files of `data/`, by the package's own recorder and writer."""
    controller = controller_records()
    start, rest = controller[0], controller[1:]
    write(ONE, "n0", [one for one in rest if one[1] < TURN_AT], [start])
    write(TWO, "n0", [one for one in rest if one[1] >= TURN_AT], [start])
    proxy = proxy_records([one for one in rest if one[0] == Kind.ROUND])
    write(PROXY, "proxy-a", proxy, [], max_queued=32)
    write(ALL, "n1", every_name(), [start[:2] + ("n1",) + start[3:]])


if __name__ == "__main__":
    write_traces()
