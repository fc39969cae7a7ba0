"""Records an adapter's input and output on the simulator's wire; replays the input and compares the output.

    python -m benchmarks.same_updates record DIR -- COMMAND...
    python -m benchmarks.same_updates compare DIR [--jobs N] -- COMMAND...

`record` is put before the adapter's command in `sim` of the deploy file: it passes standard input and output
through and keeps both in DIR, as `NNNN.in` and `NNNN.out`, one pair a process. A pair that is still being
written, or whose adapter did not exit with code 0 at the end of its input, is called `NNNN.in.part` and
`NNNN.out.part`.

`compare` replays each recorded input to COMMAND and compares the replies byte for byte. It prints a line for
each recording, with the first reply that differs, and exits with 1 if any differs or none was compared.
"""

import argparse
import os
import shlex
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

READ_BYTES = 1 << 20  # the most that one read returns
BATCH_HEADER = struct.Struct(">IId")  # bytes after this field, records, clock in ms
REPLY_HEADER = struct.Struct(">II")  # records, bytes that follow
SHOWN_BYTES = 48  # of each output, from the first difference on


def reserve_pair(directory: Path) -> tuple[Path, Path]:
    """Returns the paths of a new recording's input and output; no other process gets the same."""
    directory.mkdir(parents=True, exist_ok=True)
    number = 0
    while True:
        number += 1
        names = [f"{number:04d}.{side}" for side in ("in", "out")]
        if any((directory / name).exists() for name in names):
            continue
        try:
            (directory / f"{names[0]}.part").open("xb").close()
        except FileExistsError:
            continue
        return directory / names[0], directory / names[1]


def copy_stream(source: int, sink: int, recording: BinaryIO) -> None:
    """Passes all bytes on as they come and records them, until the source ends or the sink is closed."""
    while data := os.read(source, READ_BYTES):
        recording.write(data)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(sink, rest) :]
        except BrokenPipeError:
            break


def record(directory: Path, command: list[str]) -> int:
    """Runs the adapter and records its input and output; returns its exit code."""
    paths = reserve_pair(directory)
    parts = [path.with_name(path.name + ".part") for path in paths]
    adapter = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, bufsize=0)
    with parts[0].open("wb") as recorded_input, parts[1].open("wb") as recorded_output:

        def feed() -> None:
            copy_stream(sys.stdin.fileno(), adapter.stdin.fileno(), recorded_input)
            adapter.stdin.close()

        feeder = threading.Thread(target=feed, daemon=True)
        feeder.start()
        copy_stream(adapter.stdout.fileno(), sys.stdout.fileno(), recorded_output)
        code = adapter.wait()
        feeder.join(timeout=1.0)
    if code == 0 and not feeder.is_alive():
        for part, path in zip(parts, paths, strict=True):
            part.rename(path)
    return code


@dataclass(frozen=True, slots=True)
class Comparison:
    """The result of replaying one recording; `difference` is empty where all replies are the same."""

    name: str
    replies: int
    seconds: float
    difference: str


def split_replies(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the replies of an output as (number of records, their bytes); the last may be incomplete."""
    offset = 0
    while offset < len(data):
        header = data[offset : offset + REPLY_HEADER.size]
        if len(header) < REPLY_HEADER.size:
            yield 0, header
            return
        count, size = REPLY_HEADER.unpack(header)
        offset += REPLY_HEADER.size
        yield count, data[offset : offset + size]
        offset += size


def batch_clock(path: Path, number: int) -> float:
    """Returns the clock in ms of a recorded input's batch; NaN where there is none. Batches count from 0."""
    with path.open("rb") as source:
        for _ in range(number + 1):
            header = source.read(BATCH_HEADER.size)
            if len(header) < BATCH_HEADER.size:
                return float("nan")
            size, _, clock = BATCH_HEADER.unpack(header)
            source.seek(size - (BATCH_HEADER.size - 4), os.SEEK_CUR)
    return clock


def first_difference(recorded: bytes, replayed: bytes, source: Path) -> str:
    """Describes the first difference of two outputs; empty where they are the same.

    Names the reply, its batch's clock and the byte, and shows what both have from there on.
    """
    if recorded == replayed:
        return ""
    pairs = zip(split_replies(recorded), split_replies(replayed), strict=False)
    number = 0
    for number, (old, new) in enumerate(pairs):
        if old == new:
            continue
        position = next((i for i, (a, b) in enumerate(zip(old[1], new[1], strict=False)) if a != b), None)
        position = min(len(old[1]), len(new[1])) if position is None else position
        return (
            f"reply {number} at {batch_clock(source, number)} ms differs from byte {position}: "
            f"recorded {old[0]} records, {len(old[1])} bytes, "
            f"from there {old[1][position : position + SHOWN_BYTES].hex()}; "
            f"replayed {new[0]} records, {len(new[1])} bytes, "
            f"from there {new[1][position : position + SHOWN_BYTES].hex()}"
        )
    return (
        f"the outputs differ in length after reply {number}: "
        f"recorded {len(recorded)}, replayed {len(replayed)} bytes"
    )


def replay(source: Path, command: list[str]) -> Comparison:
    """Replays one recorded input to a new adapter process and compares its output."""
    started = time.monotonic()
    with source.open("rb") as recorded_input:
        completed = subprocess.run(command, stdin=recorded_input, stdout=subprocess.PIPE, check=False)
    recorded = source.with_suffix(".out").read_bytes()
    difference = first_difference(recorded, completed.stdout, source)
    if completed.returncode:
        difference = f"exit code {completed.returncode}; {difference}"
    return Comparison(
        source.stem, sum(1 for _ in split_replies(recorded)), time.monotonic() - started, difference
    )


def compare(directory: Path, command: list[str], jobs: int) -> int:
    """Replays all recordings, up to `jobs` at a time; returns the exit code."""
    sources = sorted(directory.glob("*.in"))
    for part in sorted(directory.glob("*.in.part")):
        print(f"{part.name}: unfinished recording, not compared")
    different = 0
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda source: replay(source, command), sources):
            different += bool(result.difference)
            print(
                f"{result.name}: {result.replies} replies, {result.seconds:.1f} s: "
                f"{result.difference or 'the same'}",
                flush=True,
            )
    print(f"{len(sources)} recordings, {different} different: {shlex.join(command)}")
    return 1 if different or not sources else 0


def main() -> int:
    """Runs the task of the command line, where the adapter's command follows `--`."""
    arguments, dashes, command = sys.argv[1:], "--", []
    if dashes in arguments:
        separator = arguments.index(dashes)
        arguments, command = arguments[:separator], arguments[separator + 1 :]
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("task", choices=("record", "compare"))
    parser.add_argument("directory", type=Path)
    parser.add_argument("--jobs", type=int, default=4, help="recordings replayed at once (default: 4)")
    options = parser.parse_args(arguments)
    if not command:
        parser.error("no adapter command after --")
    if options.task == "record":
        return record(options.directory, command)
    return compare(options.directory, command, options.jobs)


if __name__ == "__main__":
    sys.exit(main())
