"""Tests that a generated trace depends only on its seed."""

from oatcart.trace import generate
from oatcart.trace.records import RecordKind as Kind


def test_the_generated_trace_is_the_same_for_the_same_seed():
    one, two = list(generate.generate_records(3, 5.0, 100.0)), list(generate.generate_records(3, 5.0, 100.0))
    assert one == two
    assert {record[0] for record in one} >= {Kind.START, Kind.ENDPOINT_NAME, Kind.ROUND, Kind.REQUEST}
    assert one != list(generate.generate_records(4, 5.0, 100.0))
