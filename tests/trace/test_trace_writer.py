"""Tests of writing traces: rotation, deletion, a full queue, disks that fail, clocks that step back."""

import struct

import pytest
from trace_helpers import Clock, make_writer, request, times, write_blocks

from oatcart.trace.file_format import CorruptTraceError
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.writer import FileStore


def test_a_restarted_writer_opens_a_new_file_and_repairs_the_old_one(tmp_path):
    old = write_blocks(tmp_path, end=False)
    old.write_bytes(old.read_bytes()[:-5])
    writer = make_writer(tmp_path, Clock(500.0))
    writer.start()
    writer.put(request(500.0))
    writer.stop()
    assert any("rebuilt, 3 blocks are intact" in line for line in writer.logged)
    assert len(list(tmp_path.iterdir())) == 2
    assert times(old) == ([100.0, 100.0, 110.0, 110.0, 120.0, 120.0], [])


class FailingStore(FileStore):
    """A disk whose operation number `at` fails; with `partial`, a failing write writes half of its data."""

    def __init__(self, at, partial=False, forever=False):
        self.operations_left, self.partial, self.forever = at, partial, forever

    def _use(self):
        self.operations_left -= 1
        if self.operations_left == 0 or self.forever and self.operations_left < 0:
            raise OSError(28, "No space left on device")

    def open(self, path):
        self._use()
        return super().open(path)

    def write(self, descriptor, data):
        try:
            self._use()
        except OSError:
            if self.partial:
                super().write(descriptor, data[: len(data) // 2])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor):
        self._use()
        super().sync(descriptor)


def read_despite_failures(folder):
    """Return the times of the records found, and the number of records counted as shed."""
    found, shed = [], 0
    for path in sorted(folder.iterdir()):
        try:
            with TraceReader(path) as trace:
                for record in trace.records():
                    if record.kind == Kind.SHED:
                        shed += record.fields["count"]
                        assert record.fields["why"] == "disk"
                    else:
                        found.append(record.fields["at"])
        except CorruptTraceError:
            assert path.stat().st_size < 64  # the header was never completed
    return found, shed


@pytest.mark.parametrize("partial", [False, True])
@pytest.mark.parametrize("at", range(1, 12))
def test_a_disk_that_fails_at_any_operation_loses_only_what_is_recorded_as_shed(tmp_path, at, partial):
    clock, put = Clock(), []
    writer = make_writer(tmp_path, clock, store=FailingStore(at, partial))
    for turn in range(12):
        clock.now = 100.0 + 6 * turn
        writer.put(request(clock.now, turn))
        put.append(clock.now)
        writer.write_due()
    writer.write_due(final=True)
    writer.write_due(final=True)
    found, shed = read_despite_failures(tmp_path)
    assert sorted(set(found)) == found and set(found) <= set(put)
    assert len(found) + shed == len(put)
    assert [line.split(":")[0] for line in writer.logged][:1] == ["tracing is off"]
    assert len(writer.logged) <= 2


def test_a_disk_that_stays_full_is_logged_once_and_retried_less_and_less_often(tmp_path):
    clock, store = Clock(), FailingStore(1, forever=True)
    writer = make_writer(tmp_path, clock, store=store)
    for turn in range(2000):
        clock.now += 1.0
        writer.put(request(clock.now, turn))
        writer.write_due()
    assert len(writer.logged) == 1 and -store.operations_left < 20
    store.forever = False
    clock.now += 1000
    writer.put(request(clock.now))
    writer.write_due()
    writer.write_due(final=True)
    assert writer.logged[-1] == "tracing is on again"
    found = [record for path in tmp_path.iterdir() for record in TraceReader(path).records()]
    assert found[0].kind == Kind.SHED
    requests = sum(record.kind == Kind.REQUEST for record in found)
    assert found[0].fields["count"] + requests == 2001


def test_a_full_queue_sheds_requests_before_rounds_and_records_what_was_shed(tmp_path):
    clock = Clock()
    writer = make_writer(tmp_path, clock, max_queued_records=1000)
    for at in range(10_000):
        clock.now += 0.001
        writer.put(request(clock.now, at))
        if at % 20 == 0:
            writer.put((Kind.ROUND, clock.now, at // 20 + 1, [], []))
        assert writer.queue.size <= 1000
    writer.write_due(final=True)
    with TraceReader(next(tmp_path.iterdir())) as trace:
        records = list(trace.records())
    kinds = [record.kind for record in records]
    assert kinds.count(Kind.ROUND) == 500 and kinds.count(Kind.REQUEST) == 500
    shed = [record.fields for record in records if record.kind == Kind.SHED]
    assert [(fields["kind"], fields["count"]) for fields in shed] == [(Kind.REQUEST, 9500)]
    assert shed[0]["since"] < shed[0]["until"] <= clock.now


def test_files_rotate_by_size_and_age_and_the_oldest_are_deleted(tmp_path):
    clock = Clock()
    writer = make_writer(tmp_path, clock, max_file_bytes=2000, max_file_age=100.0, max_total_bytes=6000)
    writer.start_records = [(Kind.START, 100.0, "n0", 1, {}, "t", {})]
    being_read = None
    for turn in range(60):
        clock.now += 6
        for at in range(40):
            writer.put(request(clock.now, at, key=struct.pack("<Qd", at * 7919**3, clock.now)))
        writer.write_due()
        if turn == 5:
            being_read = TraceReader(sorted(tmp_path.iterdir())[0])
    writer.write_due(final=True)
    names = sorted(path.name for path in tmp_path.iterdir())
    assert being_read.path.name in names
    assert 3 <= len(names) < 30
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 6000 + 2 * 4000
    for name in names:
        with TraceReader(tmp_path / name) as trace:
            assert next(trace.records()).kind == Kind.START
    being_read.file.close()


def test_a_clock_that_steps_back_loses_nothing(tmp_path):
    clock = Clock()
    writer = make_writer(tmp_path, clock)
    for at in (100.0, 106.0, 90.0, 96.0, 112.0):
        clock.now = at
        writer.put(request(at))
        writer.write_due()
    writer.write_due(final=True)
    path = next(tmp_path.iterdir())
    assert times(path) == ([100.0, 106.0, 90.0, 96.0, 112.0], [])
    with TraceReader(path) as trace:
        assert [record.fields["at"] for record in trace.records(95.0, 107.0)] == [100.0, 106.0, 96.0]
