"""What traces cost: `python -m benchmarks.trace` (three minutes).

A generated hour of reqs and rounds is written as a trace and, as this run's baseline, as zstd-compressed JSON
lines. A minute is found and read in both, and in a trace a sixth as long; the writer's CPU is set against the
hour; rounds with the tap are timed against rounds without, in pairs. Prints a table; the last line is one
JSON object.
"""

import argparse
import io
import json
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import zstandard

from oatcart.trace import generate
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS, RecordKind
from oatcart.trace.tap import Said, Tap, started
from oatcart.trace.write_policy import Limits
from oatcart.trace.writer import Writer

SEED, BEGIN = 11, 1000.0
WORK_EVERY = 0.2  # s of the hour between looks of the writer, as its thread has it
READS = 7  # times that a minute is read; the median is shown
TAP_ROUNDS, TAP_PAIRS = 400, 9


def write(folder: Path, seconds: float, a_second: float, baseline: Path | None) -> dict:
    """Write the hour; the records' making is not counted."""
    clock, cpu, count, due = [BEGIN], 0.0, 0, BEGIN
    writer = Writer(
        folder,
        "n0",
        {},
        lambda: clock[0],
        lambda kind, text: print(text, file=sys.stderr),
        Limits(max_file_bytes=1 << 40, max_file_age=1e9),
    )
    titles = {kind: [name for name, _ in fields] for kind, fields in FIELDS.items()}
    packer = zstandard.ZstdCompressor(level=6).stream_writer(open(baseline, "wb")) if baseline else None  # noqa: SIM115
    for record in generate.records(SEED, seconds, a_second, begin=BEGIN):
        clock[0] = max(clock[0], record[1])
        count += 1
        began = time.thread_time()
        writer.put(record)
        if clock[0] >= due:
            due = clock[0] + WORK_EVERY
            writer.write_due()
        cpu += time.thread_time() - began
        if packer:
            row = dict(zip(titles[record[0]], record[1:], strict=True), kind_of=record[0])
            packer.write(json.dumps(row, default=lambda one: one.hex()).encode() + b"\n")
    began = time.thread_time()
    writer.write_due(final=True)
    cpu += time.thread_time() - began
    if packer:
        packer.close()
    path = next(folder.iterdir())
    return {"path": path, "mb": path.stat().st_size / 1e6, "cpu": cpu, "records": count}


def minute(path: Path, at: float) -> tuple[float, int, int]:
    """Open, find and read a minute: seconds, records, bytes read."""
    times = []
    for _ in range(READS):
        began = time.perf_counter()
        with TraceReader(path) as trace:
            found = sum(1 for _ in trace.records(at, at + 60.0))
            size = trace.bytes_read
        times.append(time.perf_counter() - began)
    return statistics.median(times), found, size


def fresh_minute(path: Path, at: float) -> tuple[float, int, int]:
    """The same in a process of its own, as whoever asks for a minute has it; what came before leaves no mark
    on it.
    """
    found = subprocess.run(
        [sys.executable, "-m", "benchmarks.trace", "--minute", str(path), str(at)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return tuple(json.loads(found))


def baseline_minute(path: Path, at: float) -> tuple[float, int]:
    """The same from JSON lines, which have to be read from the start on."""
    began, found = time.perf_counter(), 0
    with open(path, "rb") as file:
        for line in io.TextIOWrapper(zstandard.ZstdDecompressor().stream_reader(file), encoding="utf-8"):
            row = json.loads(line)
            if row["kind_of"] == RecordKind.START:
                continue
            if row["at"] >= at + 60.0:
                break
            found += row["at"] >= at
    return time.perf_counter() - began, found


def tap_ratio(a_second: float) -> tuple[float, float, float]:
    """The time of a module's rounds with the tap over that without; median of pairs, and both in
    microseconds.
    """
    rounds, start = [], None
    for kind, *values in generate.records(SEED, TAP_ROUNDS / 4, a_second):
        told = dict(zip((name for name, _ in FIELDS[kind]), values, strict=True))
        if kind == RecordKind.START:
            start = told
        elif kind == RecordKind.ROUND:
            rounds.append((told["at"], told["arrivals"]))

    class Plain(Said):
        def __getattr__(self, name):  # what rounds are written into either way
            return lambda *args: None

    def play(tapped: bool) -> float:
        module, kept = started(start), []
        call = Tap(module.round, kept.append, time.time).round if tapped else module.round
        writer = Plain()
        began = time.perf_counter()
        for now, arrivals in rounds:
            call(now, iter(arrivals), writer)
            kept.clear()
        return (time.perf_counter() - began) / len(rounds)

    pairs = [(play(True), play(False)) for _ in range(TAP_PAIRS)]
    return (
        statistics.median(one / other for one, other in pairs),
        statistics.median(one for one, _ in pairs) * 1e6,
        statistics.median(other for _, other in pairs) * 1e6,
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.trace", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3600.0)
    parser.add_argument("--reqs", type=float, default=500.0, help="a second")
    parser.add_argument("--minute", nargs=2, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.minute:
        print(json.dumps(minute(Path(told.minute[0]), float(told.minute[1]))))
        return 0
    folder = Path(tempfile.mkdtemp())
    try:
        hour = write(folder / "hour", told.seconds, told.reqs, folder / "baseline")
        short = write(folder / "short", told.seconds / 6, told.reqs, None)
        at = BEGIN + told.seconds / 2
        took, found, size = fresh_minute(hour["path"], at)
        took_short, _, size_short = fresh_minute(short["path"], BEGIN + told.seconds / 12)
        base_took, base_found = baseline_minute(folder / "baseline", at)
        base_mb = (folder / "baseline").stat().st_size / 1e6
        ratio, tapped, plain = tap_ratio(told.reqs)
    finally:
        shutil.rmtree(folder)
    print(
        f"{told.seconds:g} s at {told.reqs:g} reqs a second, {hour['records']} records; "
        "figures on generated records"
    )
    print(f"{'':24}{'trace':>12}{'JSON lines':>12}{'a sixth':>12}")
    print(f"{'MB':24}{hour['mb']:12.2f}{base_mb:12.2f}{short['mb']:12.2f}")
    print(f"{'a minute, s':24}{took:12.4f}{base_took:12.2f}{took_short:12.4f}")
    print(f"{'records in it':24}{found:12d}{base_found:12d}")
    print(f"{'bytes read for it':24}{size:12d}{'':12}{size_short:12d}")
    print(f"{'writer, % of a core':24}{100 * hour['cpu'] / told.seconds:12.2f}")
    print(f"a round: {tapped:.1f} us with the tap, {plain:.1f} without, ratio {ratio:.3f}")
    print(
        json.dumps(
            {
                "seconds": told.seconds,
                "reqs": told.reqs,
                "records": hour["records"],
                "hour_mb": round(hour["mb"], 2),
                "minute_s": round(took, 4),
                "minute_records": found,
                "minute_s_sixth": round(took_short, 4),
                "minute_bytes": size,
                "minute_bytes_sixth": size_short,
                "baseline_mb": round(base_mb, 2),
                "baseline_minute_s": round(base_took, 2),
                "writer_core_percent": round(100 * hour["cpu"] / told.seconds, 2),
                "tap_ratio": round(ratio, 4),
                "same_records": found == base_found,
            }
        )
    )
    return 0 if found == base_found else 1


if __name__ == "__main__":
    sys.exit(main())
