"""Tests of reading traces that are complete, truncated at any byte, or damaged by any flipped bit."""

import pytest
from trace_helpers import times, write_blocks

from oatcart.trace.file_format import CorruptTraceError
from oatcart.trace.reader import TraceReader, repair_footer
from oatcart.trace.records import RecordKind


def index_of(path):
    with TraceReader(path) as trace:
        return trace.index, trace.first_block_offset


def test_string_tables_differ_by_block_and_only_matching_blocks_are_read(tmp_path):
    with TraceReader(write_blocks(tmp_path)) as trace:
        endpoints = [record.fields["node"] for record in trace.records() if record.kind == RecordKind.REQUEST]
        assert endpoints == ["n0", "n1", "n2", "n3"]
        before = trace.bytes_read
        assert [record.fields["at"] for record in trace.records(110.0, 120.0)] == [110.0, 110.0]
        assert trace.bytes_read - before == trace.index[1].length  # only that block is read
        assert not trace.missing and trace.has_footer and trace.metadata["instance"] == "n0"


def test_a_file_truncated_at_any_byte_yields_every_complete_block(tmp_path):
    path = write_blocks(tmp_path / "complete")
    data = path.read_bytes()
    index, begin = index_of(path)
    truncated = tmp_path / "truncated"
    for size in range(len(data)):
        truncated.write_bytes(data[:size])
        if size < begin:
            with pytest.raises(CorruptTraceError):
                TraceReader(truncated)
            continue
        found, missing = times(truncated)
        complete = [entry for entry in index if entry.offset + entry.length <= size]
        assert found == [at for entry in complete for at in [entry.first] * 2], size
        assert missing  # names what was not read
        if size % 7 == 0:
            repair_footer(truncated)
            assert times(truncated) == (found, [])


def test_a_flipped_bit_loses_only_its_block(tmp_path):
    path = write_blocks(tmp_path / "intact")
    data = path.read_bytes()
    index, begin = index_of(path)
    damaged = tmp_path / "damaged"
    for at in range(len(data)):
        damaged.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
        if at < begin:
            with pytest.raises(CorruptTraceError):
                TraceReader(damaged)
            continue
        found, missing = times(damaged)
        damaged_entries = [entry for entry in index if entry.offset <= at < entry.offset + entry.length]
        assert found == [entry.first for entry in index if entry not in damaged_entries for _ in range(2)], at
        assert missing, at
