"""Writes the stored traces under `data/` with the package's own recorder and writer.

`PYTHONPATH=. python tests/trace/make_stored_traces.py` was run once, with the version before identifiers were
renamed. The files are test data that must not change, so that every later version is tested against them.
This module documents how they were made and follows renames in the package. Events and commands are in the
stored form.
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

BEGIN, END, ROTATE_AT = 1000.0, 1086.0, 1050.0  # s; the second file begins at ROTATE_AT
ROUND_INTERVAL, REPORT_PERIOD = 0.25, 2.0  # s
ENDPOINTS, PROXIES, CLASSES = 6, 6, 3
GONE, READY, DRAINING = 0, 1, 2
NAMES = {number: f"{'east' if number % 2 == 0 else 'west'}-{number:02}" for number in range(ENDPOINTS + 1)}
OFFSET, DRIFT = 3.2, 60e-6  # s, s per s: the clock of proxy-a relative to that of n0


class AnsweringWriter(CommandWriter):
    """A command writer that keeps the commands that need an answer."""

    def __init__(self) -> None:
        self.nonces: list[int] = []
        self.health_checks: list[int] = []

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Keep a nonce to acknowledge."""
        self.nonces.append(nonce)

    def check_health(self, endpoint: int) -> None:
        """Keep an endpoint to check."""
        self.health_checks.append(endpoint)

    def answers(self, now: float) -> list[tuple]:
        """Return the stored events that answer all commands since the last call."""
        events = [("applied", proxy, nonce, 0.0625) for nonce in self.nonces for proxy in range(PROXIES)]
        outcome = 0 if now > BEGIN + 8 else 4
        events += [("probed", one, outcome, 0.03125, (None, None, None)) for one in self.health_checks]
        self.nonces.clear()
        self.health_checks.clear()
        return events


def is_within(now: float, first: float, last: float) -> bool:
    return first <= now - BEGIN < last


def report(rng: Random, now: float, endpoint: int) -> tuple | None:
    """Return the load report of the endpoint's zone; None where the endpoint is unresponsive or gone."""
    seconds = now - BEGIN
    if (
        endpoint == 1
        and 64 <= seconds < 76
        or endpoint == 3
        and seconds >= 18
        or endpoint == 4
        and seconds >= 20
    ):
        return None
    if endpoint == 6 and seconds < 26:
        return None
    duration, failed_share, utilization = 3 / 64 + rng.randrange(4) / 128, 0.0, 0.25 + rng.randrange(8) / 64
    if endpoint == 2 and is_within(now, 5, 11):
        failed_share = 0.875
    if is_within(now, 30, 42):
        duration, failed_share, utilization = 1.25, 0.25, 0.9375
    if endpoint == 0 and is_within(now, 46, 54):
        failed_share = 0.375
    load = (None, utilization, None) if endpoint % 3 else (float(rng.randrange(3, 9)), None, 2.0)
    return ("met", endpoint, endpoint % 2, REPORT_PERIOD, duration, round(64 * failed_share), 64, load)


def changes(now: float) -> list[tuple]:
    """Return other events at a time: endpoint lists, proxies, a failed discovery call, an invalid event."""
    entries = [(number, number % 2, 0.0, READY, 1.0 + number % 3) for number in range(ENDPOINTS)]
    warming_up = (6, 0, BEGIN + 25, READY, 2.0)
    complete_list = [entries[0], entries[1], entries[2], entries[5], warming_up]
    at = {
        0.0: [("joined", one, one % 2, 10.0, one != 5) for one in range(PROXIES)] + [("unlisted",)],
        1.0: [("listed", True, entries)],
        15.0: [("listed", False, [(3, 1, 0.0, DRAINING, 1.0)])],
        18.0: [("listed", False, [(3, 1, 0.0, GONE, 1.0)])],
        20.0: [("listed", True, [entries[0], entries[1], entries[2], entries[5]])],
        25.0: [("listed", False, [warming_up])],
        44.0: [("left", 3)],
        47.0: [("joined", 3, 1, 10.0, False)],
        52.0: [("came", 2, "not a class", 1, 0, 1.0), ("left", 9)],
        60.0: [("unlisted",)],
        62.0: [("listed", True, complete_list)],
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
    report_period=REPORT_PERIOD,
    admission_mode=AdmissionMode.SHARE,
    cross_zone_price=0.1,
    health_checks_allowed=True,
    drain_deadline=4.0,
    expected_proxies=6.0,
)


def reports(rng: Random, now: float) -> list[tuple]:
    """Return the stored events of the load reports at a time."""
    if (now - BEGIN) % REPORT_PERIOD:
        return []
    events = [one for number in NAMES if (one := report(rng, now, number))]
    events += [
        ("came", proxy, kind, rng.randrange(4, 40), 0, REPORT_PERIOD)
        for proxy in range(PROXIES)
        for kind in range(CLASSES)
    ]
    return events


def controller_records() -> list[tuple]:
    """Return the records of a controller that receives every kind of event."""
    records, rng, commands = [], Random(7), AnsweringWriter()
    classes = ["lookup", "slot-update", "fee-charge"]
    records.append(start_record(BEGIN, "n0", 0x5EED, SETTINGS, classes, ["east", "west"]))
    start = dict(zip((name for name, _ in FIELDS["start"]), records[0][1:], strict=True))
    unix = 1.7e9
    remaining: list = []
    controller = new_controller(start)
    recorder = RoundRecorder(controller.round, records.append, lambda: unix, remaining.extend)
    now = BEGIN
    while now < END:
        if now in (BEGIN, BEGIN + 25):
            for number, name in NAMES.items():
                if number < ENDPOINTS or now > BEGIN:
                    recorder.name_endpoint(now, number, name)
        stored = [*changes(now), *reports(rng, now), *commands.answers(now)]
        events = [*remaining, *map(decode_event, stored)]
        remaining.clear()
        unix = 1.7e9 + now - BEGIN + (0.5 if now > BEGIN + 30 else 0.0)
        with contextlib.suppress(TypeError):  # raised for the invalid event
            recorder.round(now, iter(events), commands)
        now += ROUND_INTERVAL
    # n0 also records a request of proxy-a
    seen = ("proxy-a", "lookup", "east", "east-00", "done", 0.05, 1, 1.0)
    records.append((Kind.REQUEST, BEGIN + 40, 21, b"", *seen))
    return sorted(records, key=lambda record: record[1])


def proxy_records(rounds: list[tuple]) -> list[tuple]:
    """Return the requests of proxy-a (number 0), and its updates and acknowledgements, by its own clock."""
    rng, records = Random(8), []

    def proxy_time(at: float) -> float:
        return at + OFFSET + DRIFT * (at - BEGIN)

    for _, at, _, events, commands in rounds:
        for command in commands:
            if command[0] == "ask_ack":
                records.append(
                    (
                        Kind.MESSAGE_RECEIVED,
                        proxy_time(at + rng.uniform(0.001, 0.01)),
                        b"n0:mark:%d" % command[1],
                        "n0",
                    )
                )
        for event in events:
            if event[0] == "applied" and event[1] == 0:
                link = b"n0:applied:%d:0" % event[2]
                records.append((Kind.MESSAGE_SENT, proxy_time(at - rng.uniform(0.001, 0.01)), link, "n0"))
    classes = ("lookup", "slot-update", "fee-charge")
    for number in range(1, 241):
        at, request_class = proxy_time(BEGIN + number / 4), classes[number % 3]
        key = b"" if request_class == "lookup" else b"\x5f\xee" + number.to_bytes(2, "big")
        endpoint, attempts = NAMES[rng.randrange(ENDPOINTS)], 1
        if number % 20 == 7:
            records.append(
                (Kind.ATTEMPT, at, number, key, "proxy-a", request_class, 1, endpoint, "RESET", 0.015625)
            )
            endpoint, attempts = NAMES[(number + 1) % ENDPOINTS], 2
        outcome = "errored" if number % 11 == 0 else "denied" if number % 13 == 0 else "done"
        endpoint, attempts = ("", 0) if outcome == "denied" else (endpoint, attempts)
        duration = rng.randrange(20, 400) / 1000 if attempts else 0.0
        value = float(1 + number % 3)
        records.append(
            (
                Kind.REQUEST,
                at,
                number,
                key,
                "proxy-a",
                request_class,
                "east",
                endpoint,
                outcome,
                duration,
                attempts,
                value,
            )
        )
    seen = (
        Kind.REQUEST,
        proxy_time(BEGIN + 40),
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
    records = [record for record in records if record[0] != Kind.REQUEST or record[2] != 21] + [seen]
    for number, at in ((301, 60.5), (302, 61.5)):  # two requests with one key succeed
        fee = ("fee-charge", "east", "east-02", "done", 0.061, 1, 3.0)
        records.append((Kind.REQUEST, proxy_time(BEGIN + at), number, b"\x5f\xee\x10\x01", "proxy-a", *fee))
    records += [("clock", proxy_time(BEGIN), 1.7e9, 0.0), ("clock", proxy_time(BEGIN + 60), 1.7e9 + 61, 1.0)]
    return sorted(records, key=lambda record: record[1])


def every_name() -> list[tuple]:
    """Return records of each kind, with each event and command, which no controller produced."""
    load = (3.0, 0.5, None)
    events = [
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
    commands = [
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
        (Kind.ROUND, 1000.0, 1, events, commands),
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
    """Write a file with the package's writer, whose clock follows the times of the records."""
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
    """Write all files under `data/`."""
    controller = controller_records()
    start, rest = controller[0], controller[1:]
    write(ONE, "n0", [one for one in rest if one[1] < ROTATE_AT], [start])
    write(TWO, "n0", [one for one in rest if one[1] >= ROTATE_AT], [start])
    proxy = proxy_records([one for one in rest if one[0] == Kind.ROUND])
    write(PROXY, "proxy-a", proxy, [], max_queued=32)
    write(ALL, "n1", every_name(), [start[:2] + ("n1",) + start[3:]])


if __name__ == "__main__":
    write_traces()
