"""Packs and reads frames of the simulator's wire, by the layouts on the protocol's page.

Nothing of `oatcart` is used, so that a change of its names or of its codec is not repeated here and missed.
Events are packed by the functions named after them; times are milliseconds, as on the wire.
"""

import struct
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

ROOT = Path(__file__).parents[2]
ANY_TABLE = 0xFFFF  # in GateClass: every table
DELTA, CACHED, FULL, FAILED = 0, 1, 2, 4  # modes of Update
CHECK_OK, CHECK_ERROR, CHECK_BUSY, CHECK_TIMED_OUT, CHECK_REFUSED, CHECK_RESET = 0, 5, 11, 110, 111, 104

# Action code -> (name, fixed fields after the code, whether text follows them)
ACTIONS = {
    1: ("NotifyMe", struct.Struct(">IQd"), False),
    2: ("AskLoad", struct.Struct(">II"), False),
    3: ("Publish", struct.Struct(">IHH"), True),
    4: ("JournalLine", struct.Struct(">IH"), True),
    5: ("Panic", struct.Struct(">IH"), True),
    6: ("Follow", struct.Struct(">IB"), False),
    7: ("Pull", struct.Struct(">I"), False),
    8: ("SetLine", struct.Struct(">IIfH"), False),
    9: ("Blank", struct.Struct(">IH"), False),
    10: ("Cordon", struct.Struct(">IIB"), False),
    11: ("Install", struct.Struct(">IHHH"), False),
    12: ("GateClass", struct.Struct(">IBfHH"), False),
    13: ("AskReceipt", struct.Struct(">IIB"), False),
}

Entry = tuple[int, int, float, int, int, float, int]  # id, zone, start in ms, state, type, size, cohort


def _values(report: Sequence[float]) -> bytes:
    return struct.pack(f">B{len(report)}f", len(report), *report)


def provision(instance: int, seed: int, settings: bytes) -> bytes:
    return struct.pack(">BIQI", 1, instance, seed, len(settings)) + settings


def update(instance: int, mode: int, revision: int, entries: Iterable[Entry] = ()) -> bytes:
    packed = [struct.pack(">IHdBBfH", *entry) for entry in entries]
    return struct.pack(">BIBII", 2, instance, mode, revision, len(packed)) + b"".join(packed)


def fired(instance: int, token: int) -> bytes:
    return struct.pack(">BIQ", 3, instance, token)


def echo(
    instance: int, endpoint: int, status: int, duration_ms: float, report: Sequence[float] = ()
) -> bytes:
    return struct.pack(">BIIHd", 4, instance, endpoint, status, duration_ms) + _values(report)


def peer(instance: int, sender: int, body: bytes) -> bytes:
    return struct.pack(">BIIH", 5, instance, sender, len(body)) + body


def down(instance: int) -> bytes:
    return struct.pack(">BI", 6, instance)


def subscribed(instance: int, unconfigured: bool, proxy: int, zone: int, usual_rate: float) -> bytes:
    return struct.pack(">BIBHHf", 7, instance, unconfigured, proxy, zone, usual_rate)


def stream_down(instance: int, proxy: int) -> bytes:
    return struct.pack(">BIH", 8, instance, proxy)


def installed(instance: int, proxy: int, nonce: int, duration_ms: float) -> bytes:
    return struct.pack(">BIHId", 9, instance, proxy, nonce, duration_ms)


def observed(
    instance: int,
    window_ms: float,
    duration_ms: float,
    errors: int,
    number: int,
    endpoint: int,
    zone: int,
    report: Sequence[float],
) -> bytes:
    fixed = struct.pack(">BIddIIIH", 10, instance, window_ms, duration_ms, errors, number, endpoint, zone)
    return fixed + _values(report)


def ingress(
    instance: int, proxy: int, request_class: int, number: int, errors: int, window_ms: float
) -> bytes:
    return struct.pack(">BIHHIId", 11, instance, proxy, request_class, number, errors, window_ms)


def pressure(
    instance: int, window_ms: float, errors: int, table: int, request_class: int, number: int
) -> bytes:
    return struct.pack(">BIdIHHI", 12, instance, window_ms, errors, table, request_class, number)


def handed(instance: int, table: int, assigned: bool) -> bytes:
    return struct.pack(">BIHB", 13, instance, table, assigned)


def stored_line(instance: int, table: int, endpoint: int, weight: float) -> bytes:
    return struct.pack(">BIHIf", 14, instance, table, endpoint, weight)


def batch(clock: float, events: Sequence[bytes]) -> bytes:
    """Returns a frame with the events of one clock time."""
    body = b"".join(events)
    return struct.pack(">IId", len(body) + 12, len(events), clock) + body


def actions(body: bytes) -> Iterator[tuple]:
    """Returns the records of a reply as (name, instance, fields...); text is last, as bytes."""
    at = 0
    while at < len(body):
        name, fixed, has_text = ACTIONS[body[at]]
        fields = fixed.unpack_from(body, at + 1)
        at += 1 + fixed.size
        if has_text:
            yield (name, *fields[:-1], body[at : at + fields[-1]])
            at += fields[-1]
        else:
            yield (name, *fields)


class Adapter:
    """The adapter's process, as the simulator starts it; a context manager that waits for its end.

    `hash_seed` is the process's PYTHONHASHSEED. A process that ends before a complete reply raises EOFError.
    """

    def __init__(self, hash_seed: int = 0, command: Sequence[str] = ()) -> None:
        self.process = subprocess.Popen(
            [*command] or [sys.executable, "-m", "oatcart.simhost"],
            cwd=ROOT,
            env={"PYTHONHASHSEED": str(hash_seed), "PYTHONPATH": str(ROOT)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def __enter__(self) -> "Adapter":
        return self

    def answer(self, frame: bytes) -> bytes:
        """Returns the complete reply to one batch, including its header."""
        self.process.stdin.write(frame)
        self.process.stdin.flush()
        return self._read(8)

    def _read(self, header_size: int) -> bytes:
        header = self.process.stdout.read(header_size)
        if len(header) < header_size:
            raise EOFError(f"the adapter ended: {self.process.stderr.read().decode()}")
        (size,) = struct.unpack_from(">I", header, 4)
        return header + self.process.stdout.read(size)

    def close(self) -> tuple[int, bytes]:
        """Closes the process's input; returns its exit code and what it wrote to standard error."""
        self.process.stdin.close()
        error_output = self.process.stderr.read()
        code = self.process.wait(timeout=20)
        self.process.stdout.close()
        self.process.stderr.close()
        return code, error_output

    def __exit__(self, *error: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
            self.process.communicate()
