"""Tests of the parts of a trace file: round trips, other versions, invalid records."""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from trace_helpers import request

from oatcart.trace import file_format
from oatcart.trace.file_format import CorruptTraceError
from oatcart.trace.records import FIELDS, RecordKind

FLOAT = st.floats(allow_nan=False)
MICROSECONDS = st.integers(-(10**14), 10**14).map(lambda count: count / 1e6)
INT = st.integers(-(2**63), 2**63 - 1)
ANY = st.recursive(
    st.none() | st.booleans() | INT | FLOAT | st.text(),
    lambda values: st.lists(values).map(tuple),
    max_leaves=8,
)
VALUES = {
    "us": MICROSECONDS,
    "int": INT,
    "float": FLOAT,
    "name": st.text(),
    "bytes": st.binary(),
    "any": ANY,
}
RECORDS = st.lists(
    st.sampled_from(sorted(FIELDS)).flatmap(
        lambda kind: st.tuples(st.just(kind), *(VALUES[field_type] for _, field_type in FIELDS[kind]))
    ),
    min_size=1,
    max_size=30,
)


def payload(block):
    return block[file_format.BLOCK_HEADER.size :]


@given(RECORDS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_decoded_records_equal_the_encoded_ones(records):
    block = file_format.encode_block(7, records)
    header = file_format.decode_block_header(block)
    assert file_format.is_intact(block, 0, header)
    assert header.number == 7 and header.count == len(records)
    found, skipped = file_format.decode_block(payload(block))
    assert [(record.kind, *record.fields.values()) for record in found] == records and not skipped
    times = [record[1] for record in records]
    assert header.first == min(times) and header.last == max(times)


def test_a_reader_skips_kinds_and_fields_of_a_newer_version():
    newer = {
        **FIELDS,
        RecordKind.REQUEST: (*FIELDS[RecordKind.REQUEST], ("colour", "name")),
        "newer": (("at", "us"), ("what", "any")),
    }
    records = [(*request(1.0), "red"), ("newer", 2.0, [1]), (RecordKind.CLOCK, 3.0, 4.0, 0.0)]
    found, skipped = file_format.decode_block(payload(file_format.encode_block(0, records, newer)))
    assert [record.kind for record in found] == [RecordKind.REQUEST, RecordKind.CLOCK]
    assert skipped == {"newer": 1}
    assert "colour" not in found[0].fields


def test_records_of_an_older_version_lack_the_fields_added_later():
    older = {RecordKind.REQUEST: FIELDS[RecordKind.REQUEST][:-2]}
    block = file_format.encode_block(0, [request(1.0)[:-2]], older)
    (found, *_), _ = file_format.decode_block(payload(block))
    assert found.fields.keys() == dict(older[RecordKind.REQUEST]).keys()


def test_a_header_of_a_newer_format_or_of_another_file_is_rejected():
    header = file_format.encode_header({"a": 1})
    assert file_format.decode_header(header) == ({"a": 1}, len(header))
    newer = header[:8] + struct.pack("<H", file_format.VERSION + 1) + header[10:]
    with pytest.raises(CorruptTraceError, match=f"version {file_format.VERSION + 1}"):
        file_format.decode_header(newer)
    with pytest.raises(CorruptTraceError, match="not a trace file"):
        file_format.decode_header(b"something else altogether")


def test_encoding_a_record_with_too_few_fields_raises():
    with pytest.raises(CorruptTraceError, match="req has 2 fields"):
        file_format.encode_block(0, [(RecordKind.REQUEST, 1.0, 2)])
