"""Measure the cost of traces: `python -m benchmarks.trace` (three minutes).

A generated hour of requests and rounds is written as a trace and, as the baseline, as zstd-compressed JSON
lines. A minute is found and read in both, and in a trace a sixth as long. The writer's CPU time is given as a
share of the hour. Rounds are timed in pairs, with the recorder and without. Prints a table; the last line is
one JSON object.
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
from typing import BinaryIO, NamedTuple

import zstandard

from oatcart.commands import CommandWriter
from oatcart.events import Event
from oatcart.trace import generate
from oatcart.trace.command_log import DiscardedCommands
from oatcart.trace.file_format import ZSTD_LEVEL
from oatcart.trace.reader import TraceReader
from oatcart.trace.recorder import RoundRecorder
from oatcart.trace.records import FIELDS, RecordKind
from oatcart.trace.replay import new_controller
from oatcart.trace.round_codec import decode_event
from oatcart.trace.write_policy import Limits
from oatcart.trace.writer import POLL_INTERVAL, Writer

SEED = 11
BEGIN = 1000.0  # s
MINUTE = 60.0  # s
READS = 7  # number of times that a minute is read; the median is shown
RECORDED_ROUNDS = 400
RECORDER_PAIRS = 9
ONE_FILE = Limits(max_file_bytes=1 << 40, max_file_age=1e9)


class Written(NamedTuple):
    """A trace file: its size in MB, the writer's CPU time in seconds, the number of records."""

    path: Path
    size: float
    cpu_time: float
    records: int


class MinuteRead(NamedTuple):
    """The seconds that reading a minute took, and the numbers of records and bytes read."""

    seconds: float
    records: int
    size: int


class RoundTimes(NamedTuple):
    """Medians over pairs: the ratio of times, and a round's time with and without the recorder in us."""

    ratio: float
    recorded: float
    plain: float


class JsonLines:
    """The baseline: each record as a line of JSON in one zstd stream."""

    def __init__(self, file: BinaryIO) -> None:
        self._stream = zstandard.ZstdCompressor(level=ZSTD_LEVEL).stream_writer(file)
        self._names = {kind: [name for name, _ in fields] for kind, fields in FIELDS.items()}

    def put(self, record: tuple) -> None:
        """Write a record."""
        row = dict(zip(self._names[record[0]], record[1:], strict=True), kind_of=record[0])
        self._stream.write(json.dumps(row, default=bytes.hex).encode() + b"\n")

    def close(self) -> None:
        """End the stream."""
        self._stream.close()


def write(folder: Path, seconds: float, request_rate: float, baseline: JsonLines | None = None) -> Written:
    """Write a generated trace; the CPU time does not include generating its records."""
    now = BEGIN
    writer = Writer(folder, "n0", {}, lambda: now, lambda topic, text: print(text, file=sys.stderr), ONE_FILE)
    cpu_time, count, next_poll = 0.0, 0, BEGIN
    for record in generate.generate_records(SEED, seconds, request_rate, begin=BEGIN):
        now = max(now, record[1])
        count += 1
        started_at = time.thread_time()
        writer.put(record)
        if now >= next_poll:
            next_poll = now + POLL_INTERVAL
            writer.write_due()
        cpu_time += time.thread_time() - started_at
        if baseline:
            baseline.put(record)
    started_at = time.thread_time()
    writer.write_due(final=True)
    cpu_time += time.thread_time() - started_at
    path = next(folder.iterdir())
    return Written(path, path.stat().st_size / 1e6, cpu_time, count)


def read_minute(path: Path, at: float) -> MinuteRead:
    """Open a trace, find and read the minute that begins at a time; return the median time of READS runs."""
    times = []
    for _ in range(READS):
        started_at = time.perf_counter()
        with TraceReader(path) as trace:
            found = sum(1 for _ in trace.records(at, at + MINUTE))
            size = trace.bytes_read
        times.append(time.perf_counter() - started_at)
    return MinuteRead(statistics.median(times), found, size)


def read_minute_in_new_process(path: Path, at: float) -> MinuteRead:
    """Read a minute in a new process, as a user who asks for a minute does."""
    output = subprocess.run(
        [sys.executable, "-m", "benchmarks.trace", "--minute", str(path), str(at)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return MinuteRead(*json.loads(output))


def read_baseline_minute(path: Path, at: float) -> MinuteRead:
    """Read a minute from JSON lines, which have to be read from the start of the file."""
    started_at, found = time.perf_counter(), 0
    with open(path, "rb") as file:
        stream = zstandard.ZstdDecompressor().stream_reader(file)
        for line in io.TextIOWrapper(stream, encoding="utf-8"):
            row = json.loads(line)
            if row["kind_of"] == RecordKind.START:
                continue
            if row["at"] >= at + MINUTE:
                break
            found += row["at"] >= at
    return MinuteRead(time.perf_counter() - started_at, found, path.stat().st_size)


def generated_rounds(request_rate: float) -> tuple[dict, list[tuple[float, list[Event]]]]:
    """Return the fields of a start record, and the times and events of the rounds after it."""
    start, rounds = {}, []
    duration = RECORDED_ROUNDS * generate.ROUND_INTERVAL
    for kind, *values in generate.generate_records(SEED, duration, request_rate):
        fields = dict(zip((name for name, _ in FIELDS[kind]), values, strict=True))
        if kind == RecordKind.START:
            start = fields
        elif kind == RecordKind.ROUND:
            rounds.append((fields["at"], [decode_event(event) for event in fields["arrivals"]]))
    return start, rounds


def time_rounds(start: dict, rounds: list, commands: CommandWriter, recorded: bool) -> float:
    """Return the mean time of a round in microseconds, with the recorder or without."""
    controller, records = new_controller(start), []
    decide = controller.round
    if recorded:
        decide = RoundRecorder(controller.round, records.append, time.time).round
    started_at = time.perf_counter()
    for now, events in rounds:
        decide(now, iter(events), commands)
        records.clear()
    return (time.perf_counter() - started_at) / len(rounds) * 1e6


def time_recorder(request_rate: float) -> RoundTimes:
    """Measure the time of a round with the recorder and without."""
    start, rounds = generated_rounds(request_rate)
    commands = DiscardedCommands()
    pairs = [
        (time_rounds(start, rounds, commands, True), time_rounds(start, rounds, commands, False))
        for _ in range(RECORDER_PAIRS)
    ]
    return RoundTimes(
        statistics.median(recorded / plain for recorded, plain in pairs),
        statistics.median(recorded for recorded, _ in pairs),
        statistics.median(plain for _, plain in pairs),
    )


def measure(folder: Path, seconds: float, request_rate: float) -> dict:
    """Return all figures, as the last line prints them."""
    baseline_path = folder / "baseline"
    with open(baseline_path, "wb") as file:
        baseline = JsonLines(file)
        hour = write(folder / "hour", seconds, request_rate, baseline)
        baseline.close()
    short = write(folder / "short", seconds / 6, request_rate)
    at = BEGIN + seconds / 2
    minute = read_minute_in_new_process(hour.path, at)
    short_minute = read_minute_in_new_process(short.path, BEGIN + seconds / 12)
    baseline_minute = read_baseline_minute(baseline_path, at)
    times = time_recorder(request_rate)
    return {
        "seconds": seconds,
        "reqs": request_rate,
        "records": hour.records,
        "hour_mb": round(hour.size, 2),
        "sixth_mb": round(short.size, 2),
        "minute_s": round(minute.seconds, 4),
        "minute_records": minute.records,
        "minute_s_sixth": round(short_minute.seconds, 4),
        "minute_bytes": minute.size,
        "minute_bytes_sixth": short_minute.size,
        "baseline_mb": round(baseline_path.stat().st_size / 1e6, 2),
        "baseline_minute_s": round(baseline_minute.seconds, 2),
        "baseline_minute_records": baseline_minute.records,
        "writer_core_percent": round(100 * hour.cpu_time / seconds, 2),
        "tap_ratio": round(times.ratio, 4),
        "round_us_recorded": round(times.recorded, 1),
        "round_us_plain": round(times.plain, 1),
        "same_records": minute.records == baseline_minute.records,
    }


def print_table(figures: dict) -> None:
    """Print the figures as a table."""
    print(
        f"{figures['seconds']:g} s at {figures['reqs']:g} requests/s, {figures['records']} records; "
        "figures on generated records"
    )
    print(f"{'':24}{'trace':>12}{'JSON lines':>12}{'a sixth':>12}")
    print(f"{'MB':24}{figures['hour_mb']:12.2f}{figures['baseline_mb']:12.2f}{figures['sixth_mb']:12.2f}")
    print(
        f"{'a minute, s':24}{figures['minute_s']:12.4f}{figures['baseline_minute_s']:12.2f}"
        f"{figures['minute_s_sixth']:12.4f}"
    )
    print(f"{'records in it':24}{figures['minute_records']:12d}{figures['baseline_minute_records']:12d}")
    print(f"{'bytes read for it':24}{figures['minute_bytes']:12d}{'':12}{figures['minute_bytes_sixth']:12d}")
    print(f"{'writer, % of a core':24}{figures['writer_core_percent']:12.2f}")
    print(
        f"a round: {figures['round_us_recorded']:.1f} us with the recorder, "
        f"{figures['round_us_plain']:.1f} without, ratio {figures['tap_ratio']:.3f}"
    )


def main() -> int:
    """Measure and print; return 1 if trace and baseline hold different numbers of records for the minute."""
    parser = argparse.ArgumentParser(prog="benchmarks.trace", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3600.0)
    parser.add_argument("--reqs", type=float, default=500.0, help="requests/s")
    parser.add_argument("--minute", nargs=2, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.minute:
        path, at = arguments.minute
        print(json.dumps(read_minute(Path(path), float(at))))
        return 0
    folder = Path(tempfile.mkdtemp())
    try:
        figures = measure(folder, arguments.seconds, arguments.reqs)
    finally:
        shutil.rmtree(folder)
    print_table(figures)
    print(json.dumps(figures))
    return 0 if figures["same_records"] else 1


if __name__ == "__main__":
    sys.exit(main())
