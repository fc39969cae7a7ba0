"""Writes three traces of one disputed fee into a folder: `python examples/disputed_fee.py FOLDER`.

A conductor and two proxies whose clocks are some seconds apart. A litigant's app sent one fee twice, through
both proxies; the first saw its connection reset after it had sent the req.
"""

import sys
from pathlib import Path
from random import Random

from oatcart.trace.merge import acknowledgement_link, update_link
from oatcart.trace.records import FIELDS, Record
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.records import RequestOutcome as Outcome
from oatcart.trace.trace_files import write_trace

KEY = bytes.fromhex("5fee0001")
OFFSETS = {"n0": 0.0, "proxy-a": 3.2, "proxy-b": -1.7}  # s by which each clock is ahead of the conductor's
DRIFTS = {"n0": 0.0, "proxy-a": 60e-6, "proxy-b": -40e-6}


def record(kind: str, *values: object) -> Record:
    return Record(kind, dict(zip((name for name, _ in FIELDS[kind]), values, strict=True)))


def main(folder: Path) -> None:
    rng, traces = Random(4), {name: [] for name in OFFSETS}

    def note(name: str, at: float, kind: str, *values: object) -> None:
        traces[name].append(record(kind, at + OFFSETS[name] + DRIFTS[name] * at, *values))

    events = []
    for mark in range(300):  # the conductor's marks and their acknowledgements, one a second
        at = 1000.0 + mark
        events.append((at, "n0", Kind.MESSAGE_SENT, update_link("n0", mark), "proxies"))
        for number, name in enumerate(("proxy-a", "proxy-b")):
            there, back = (0.002 + rng.expovariate(500) for _ in range(2))
            if rng.random() < 0.9:
                events.append((at + there, name, Kind.MESSAGE_RECEIVED, update_link("n0", mark), "n0"))
                events.append(
                    (at + there, name, Kind.MESSAGE_SENT, acknowledgement_link("n0", mark, number), "n0")
                )
                events.append(
                    (
                        at + there + back,
                        "n0",
                        Kind.MESSAGE_RECEIVED,
                        acknowledgement_link("n0", mark, number),
                        name,
                    )
                )
    fee = "fee-charge"
    events.append(
        (
            1100.430,
            "proxy-a",
            Kind.REQUEST,
            41,
            KEY,
            "proxy-a",
            fee,
            "east",
            "east-02",
            Outcome.FAILED,
            0.180,
            1,
            3.0,
        )
    )
    events.append(
        (
            1101.100,
            "proxy-b",
            Kind.REQUEST,
            77,
            KEY,
            "proxy-b",
            fee,
            "east",
            "east-05",
            Outcome.SUCCEEDED,
            0.061,
            1,
            3.0,
        )
    )
    for at, name, *rest in sorted(events, key=lambda one: one[0]):
        note(name, at, *rest)
    folder.mkdir(parents=True, exist_ok=True)
    for name, records in traces.items():
        write_trace(str(folder / f"{name}.oatrace"), {"instance": name}, records, FIELDS)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
