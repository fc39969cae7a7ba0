"""The trace file and its writer: round trips, cuts at every byte, flips, failing disks, floods."""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.trace import file_format, generate
from oatcart.trace.reader import TraceReader, repair_footer
from oatcart.trace.record_queue import RecordQueue
from oatcart.trace.records import FIELDS
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.write_policy import DiskBackoff, Limits, StoredFile, files_to_delete
from oatcart.trace.writer import FileStore, Writer

FLOAT = st.floats(allow_nan=False)
MICROS = st.integers(-(10**14), 10**14).map(lambda one: one / 1e6)
INT = st.integers(-(2**63), 2**63 - 1)
ANY = st.recursive(
    st.none() | st.booleans() | INT | FLOAT | st.text(), lambda one: st.lists(one).map(tuple), max_leaves=8
)
VALUES = {"us": MICROS, "int": INT, "float": FLOAT, "name": st.text(), "bytes": st.binary(), "any": ANY}
RECORDS = st.lists(
    st.sampled_from(sorted(FIELDS)).flatmap(
        lambda kind: st.tuples(st.just(kind), *(VALUES[how] for _, how in FIELDS[kind]))
    ),
    min_size=1,
    max_size=30,
)


@given(RECORDS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_what_is_written_is_read(records):
    data = file_format.encode_block(7, records)
    head = file_format.decode_block_header(data)
    assert file_format.is_intact(data, 0, head) and head.number == 7 and head.count == len(records)
    found, skipped = file_format.decode_block(data[file_format.BLOCK_HEADER.size :])
    assert [(one.kind, *one.fields.values()) for one in found] == records and not skipped
    assert head.first == min(one[1] for one in records) and head.last == max(one[1] for one in records)


def req(at, id=1, key=b"", kind="lookup", node="n1", outcome="done", proxy="p1", tries=1):
    return (Kind.REQUEST, at, id, key, proxy, kind, "east", node, outcome, 0.05, tries, 1.0)


class Clock:
    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def writer(folder, clock, store=None, **limits):
    said = []
    one = Writer(
        folder, "n0", {"site": "x"}, clock, lambda kind, text: said.append(text), Limits(**limits), store
    )
    one.said = said
    return one


def small(folder, blocks=4, end=True):
    """A file of some blocks, two records each, a name more in each block."""
    clock = Clock()
    one = writer(folder, clock)
    for at in range(blocks):
        clock.now = 100.0 + 10 * at
        one.put(req(clock.now, at, node=f"n{at}"))
        one.put((Kind.CLOCK, clock.now, clock.now + 1e9, 0.0))
        one.write_due()
        clock.now += 6
        one.write_due()
    if end:
        one.write_due(final=True)
    else:
        one._close_file()
    return next(folder.iterdir())


def times(path):
    with TraceReader(path) as trace:
        return [one.fields["at"] for one in trace.records()], trace.missing


def test_a_string_table_grows_in_mid_file_and_a_minute_is_found(tmp_path):
    path = small(tmp_path)
    with TraceReader(path) as trace:
        assert [one.fields["node"] for one in trace.records() if one.kind == Kind.REQUEST] == [
            "n0",
            "n1",
            "n2",
            "n3",
        ]
        before = trace.bytes_read
        assert [one.fields["at"] for one in trace.records(110.0, 120.0)] == [110.0, 110.0]
        assert trace.bytes_read - before == trace.index[1][1]  # that block alone
        assert not trace.missing and trace.has_footer and trace.metadata["instance"] == "n0"


def test_a_file_cut_at_any_byte_gives_every_whole_block(tmp_path):
    path = small(tmp_path / "whole")
    data = path.read_bytes()
    with TraceReader(path) as trace:
        index, begin = trace.index, trace.first_block_offset
    cut = tmp_path / "cut"
    for size in range(len(data)):
        cut.write_bytes(data[:size])
        if size < begin:
            with pytest.raises(file_format.CorruptTraceError):
                TraceReader(cut)
            continue
        found, missing = times(cut)
        whole = [entry for entry in index if entry[0] + entry[1] <= size]
        assert found == [at for entry in whole for at in [entry[3]] * 2], size
        assert missing  # it says that something is
        if size % 7 == 0:
            repair_footer(cut)
            assert times(cut) == (found, [])


def test_a_flipped_bit_costs_its_block_alone(tmp_path):
    path = small(tmp_path / "whole")
    data = path.read_bytes()
    with TraceReader(path) as trace:
        index, begin = trace.index, trace.first_block_offset
    spoilt = tmp_path / "spoilt"
    for at in range(len(data)):
        spoilt.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
        if at < begin:
            with pytest.raises(file_format.CorruptTraceError):
                TraceReader(spoilt)
            continue
        found, missing = times(spoilt)
        hit = [entry for entry in index if entry[0] <= at < entry[0] + entry[1]]
        assert found == [entry[3] for entry in index if entry not in hit for _ in range(2)], at
        assert missing, at


def test_a_writer_goes_on_in_a_new_file_and_repairs_the_old(tmp_path):
    old = small(tmp_path, end=False)
    old.write_bytes(old.read_bytes()[:-5])
    one = writer(tmp_path, Clock(500.0))
    one.start()
    one.put(req(500.0))
    one.stop()
    assert any("rebuilt, 3 blocks are intact" in line for line in one.said)
    assert len(list(tmp_path.iterdir())) == 2
    assert times(old) == ([100.0, 100.0, 110.0, 110.0, 120.0, 120.0], [])


class Failing(FileStore):
    """A disk whose n-th use fails, or writes in part first."""

    def __init__(self, at, part=False, forever=False):
        self.left, self.part, self.forever = at, part, forever

    def _use(self):
        self.left -= 1
        if self.left == 0 or self.forever and self.left < 0:
            raise OSError(28, "No space left on device")

    def open(self, path):
        self._use()
        return super().open(path)

    def write(self, fd, data):
        try:
            self._use()
        except OSError:
            if self.part:
                super().write(fd, data[: len(data) // 2])
            raise
        super().write(fd, data)

    def sync(self, fd):
        self._use()
        super().sync(fd)


@pytest.mark.parametrize("part", [False, True])
@pytest.mark.parametrize("at", range(1, 12))
def test_a_disk_that_fails_at_any_use_loses_only_what_is_said(tmp_path, at, part):
    clock, put = Clock(), []
    one = writer(tmp_path, clock, store=Failing(at, part))
    for turn in range(12):
        clock.now = 100.0 + 6 * turn
        one.put(req(clock.now, turn))
        put.append(clock.now)
        one.write_due()
    one.write_due(final=True)
    one.write_due(final=True)
    found, shed = [], 0
    for path in sorted(tmp_path.iterdir()):
        try:
            with TraceReader(path) as trace:
                for record in trace.records():
                    if record.kind == Kind.SHED:
                        shed += record.fields["count"]
                        assert record.fields["why"] == "disk"
                    else:
                        found.append(record.fields["at"])
        except file_format.CorruptTraceError:
            assert path.stat().st_size < 64  # a header that was never whole
    assert sorted(set(found)) == found and set(found) <= set(put)
    assert len(found) + shed == len(put)
    assert [line.split(":")[0] for line in one.said][:1] == ["tracing is off"] and len(one.said) <= 2


def test_a_disk_that_stays_full_is_said_once_and_tried_ever_more_rarely(tmp_path):
    clock, store = Clock(), Failing(1, forever=True)
    one = writer(tmp_path, clock, store=store)
    for turn in range(2000):
        clock.now += 1.0
        one.put(req(clock.now, turn))
        one.write_due()
    assert len(one.said) == 1 and -store.left < 20
    store.forever = False
    clock.now += 1000
    one.put(req(clock.now))
    one.write_due()
    one.write_due(final=True)
    assert one.said[-1] == "tracing is on again"
    found = [one for path in tmp_path.iterdir() for one in TraceReader(path).records()]
    assert (
        found[0].kind == Kind.SHED
        and found[0].fields["count"] + sum(one.kind == Kind.REQUEST for one in found) == 2001
    )


def test_a_flood_sheds_samples_before_decisions_and_says_what(tmp_path):
    clock = Clock()
    one = writer(tmp_path, clock, max_queued_records=1000)
    for at in range(10_000):
        clock.now += 0.001
        one.put(req(clock.now, at))
        if at % 20 == 0:
            one.put((Kind.ROUND, clock.now, at // 20 + 1, [], []))
        assert one.queue.size <= 1000
    one.write_due(final=True)
    with TraceReader(next(tmp_path.iterdir())) as trace:
        records = list(trace.records())
    kinds = [one.kind for one in records]
    assert kinds.count(Kind.ROUND) == 500 and kinds.count(Kind.REQUEST) == 500
    shed = [one.fields for one in records if one.kind == Kind.SHED]
    assert [(one["kind"], one["count"]) for one in shed] == [(Kind.REQUEST, 9500)]
    assert shed[0]["since"] < shed[0]["until"] <= clock.now


def test_what_is_shed_is_never_what_is_wanted_more():
    one = RecordQueue(3)
    for at, kind in enumerate(
        [
            Kind.REQUEST,
            Kind.ATTEMPT,
            Kind.ROUND,
            Kind.START,
            Kind.ROUND,
            Kind.ROUND,
            Kind.REQUEST,
        ]
    ):
        one.put((kind, float(at)))
    assert [record[0] for record in one.take(9.0, 10)] == [
        Kind.SHED,
        Kind.SHED,
        Kind.SHED,
        Kind.ROUND,
        Kind.START,
        Kind.ROUND,
    ]


def test_files_end_by_size_and_time_and_the_oldest_go(tmp_path):
    clock = Clock()
    one = writer(tmp_path, clock, max_file_bytes=2000, max_file_age=100.0, max_total_bytes=6000)
    one.start_records = [(Kind.START, 100.0, "n0", 1, {}, "t", {})]
    held = None
    for turn in range(60):
        clock.now += 6
        for at in range(40):
            one.put(req(clock.now, at, key=struct.pack("<Qd", at * 7919**3, clock.now)))
        one.write_due()
        if turn == 5:
            held = TraceReader(sorted(tmp_path.iterdir())[0])
    one.write_due(final=True)
    names = sorted(path.name for path in tmp_path.iterdir())
    assert held.path.name in names  # it is being read
    assert 3 <= len(names) < 30
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 6000 + 2 * 4000
    for name in names:
        with TraceReader(tmp_path / name) as trace:
            assert next(trace.records()).kind == Kind.START
    held.file.close()


def test_a_clock_that_steps_back_loses_nothing(tmp_path):
    clock = Clock()
    one = writer(tmp_path, clock)
    for at in (100.0, 106.0, 90.0, 96.0, 112.0):
        clock.now = at
        one.put(req(at))
        one.write_due()
    one.write_due(final=True)
    path = next(tmp_path.iterdir())
    assert times(path) == ([100.0, 106.0, 90.0, 96.0, 112.0], [])
    with TraceReader(path) as trace:
        assert [one.fields["at"] for one in trace.records(95.0, 107.0)] == [100.0, 106.0, 96.0]


def test_a_reader_behind_and_a_reader_ahead():
    newer = {
        **FIELDS,
        Kind.REQUEST: (*FIELDS[Kind.REQUEST], ("colour", "name")),
        "ghost": (("at", "us"), ("what", "any")),
    }
    data = file_format.encode_block(
        0, [(*req(1.0), "red"), ("ghost", 2.0, [1]), (Kind.CLOCK, 3.0, 4.0, 0.0)], newer
    )
    found, skipped = file_format.decode_block(data[file_format.BLOCK_HEADER.size :])
    assert (
        [one.kind for one in found] == [Kind.REQUEST, Kind.CLOCK]
        and skipped == {"ghost": 1}
        and "colour" not in found[0].fields
    )
    older = {Kind.REQUEST: FIELDS[Kind.REQUEST][:-2]}
    data = file_format.encode_block(0, [req(1.0)[:-2]], older)
    assert (
        file_format.decode_block(data[file_format.BLOCK_HEADER.size :])[0][0].fields.keys()
        == dict(FIELDS[Kind.REQUEST][:-2]).keys()
    )
    head = file_format.encode_header({"a": 1})
    assert file_format.decode_header(head) == ({"a": 1}, len(head))
    ahead = head[:8] + struct.pack("<H", file_format.VERSION + 1) + head[10:]
    with pytest.raises(file_format.CorruptTraceError, match=f"version {file_format.VERSION + 1}"):
        file_format.decode_header(ahead)
    with pytest.raises(file_format.CorruptTraceError, match="not a trace file"):
        file_format.decode_header(b"something else altogether")


def test_what_does_not_fit_its_kind_is_an_error_here_and_now():
    with pytest.raises(file_format.CorruptTraceError, match="req has 2 fields"):
        file_format.encode_block(0, [(Kind.REQUEST, 1.0, 2)])


def test_the_generated_hour_is_the_same_for_the_same_seed():
    one, two = list(generate.records(3, 5.0, 100.0)), list(generate.records(3, 5.0, 100.0))
    assert one == two and {record[0] for record in one} >= {
        Kind.START,
        Kind.ENDPOINT_NAME,
        Kind.ROUND,
        Kind.REQUEST,
    }
    assert one != list(generate.records(4, 5.0, 100.0))


def test_nothing_busy_is_deleted_and_waits_grow():
    assert files_to_delete([StoredFile("a", 5, True), StoredFile("b", 5, False)], 4) == ["b"]
    disk = DiskBackoff()
    assert "tried again in 1 s" in disk.failed(10.0, "full") and disk.failed(11.0, "full") is None
    assert not disk.may_try(12.9) and disk.may_try(13.0) and disk.succeeded() and disk.succeeded() is None
