"""Tests of merging: clocks with offsets, drifts and steps, and which orders are claimed as certain."""

import json
from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from trace_helpers import read, record, request

from oatcart.trace import __main__ as command
from oatcart.trace.clock_alignment import align_clocks
from oatcart.trace.merge import happened_before, merge, messages_between
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.trace_files import write_trace


def exchange(seed, offset=3.0, drift=200e-6, lost=0.3, count=400, step=0.0):
    """Exchange messages between two instances over 1,000 s of true time; the second clock has an error.

    Return their traces, and the true time of each send and receipt.
    """
    rng, true = Random(seed), {}

    def clock(at):
        return at + offset + drift * at + (step if at > 500 else 0.0)

    ends = []
    for number in range(count):
        at, delay = rng.uniform(0, 1000), 0.001 + rng.expovariate(200)
        link, from_first = b"m%d" % number, rng.random() < 0.5
        ends.append((at, 0 if from_first else 1, Kind.MESSAGE_SENT, link))
        if rng.random() > lost:
            ends.append((at + delay, 1 if from_first else 0, Kind.MESSAGE_RECEIVED, link))
    traces = {"a": [], "b": []}
    for at, index, kind, link in sorted(ends):
        instance = "ab"[index]
        true[instance, kind, link] = at
        traces[instance].append(record(kind, clock(at) if index else at, link, "x"))
    return traces, true


def true_time(true, merged_record):
    fields = merged_record.fields
    return true[fields["instance"], merged_record.kind, fields["link"]]


def test_two_drifting_clocks_three_seconds_apart_are_aligned():
    traces, true = exchange(1)
    merged, clocks = merge(traces, "a")
    assert not clocks.contradictions
    assert clocks.by_instance["b"].drift == pytest.approx(-200e-6, abs=20e-6)
    greatest_bound = 0.0
    for one in merged:
        error = abs(one.fields["at"] - true_time(true, one))
        assert error <= one.fields["bound"] + 1e-6, (error, one)
        greatest_bound = max(greatest_bound, one.fields["bound"])
    assert greatest_bound < 0.02
    assert any(not one.fields["certain"] for one in merged)


@given(
    st.integers(0, 10**6),
    st.floats(-50, 50),
    st.floats(-5e-4, 5e-4),
    st.floats(0, 0.9),
    st.sampled_from([0.0, 0.0, -4.0, 7.0]),
)
@settings(max_examples=25, deadline=None, derandomize=True)
def test_no_receipt_precedes_its_send_and_no_claimed_order_is_wrong(seed, offset, drift, lost, step):
    """Holds also where a clock was stepped, so that no offset and constant drift fit all messages."""
    traces, true = exchange(seed, offset, drift, lost, 80, step)
    merged, clocks = merge(traces, "a")
    positions = {(one.kind, one.fields["link"]): position for position, one in enumerate(merged)}
    for kind, link in positions:
        if kind == Kind.MESSAGE_RECEIVED:
            assert positions[Kind.MESSAGE_SENT, link] < positions[Kind.MESSAGE_RECEIVED, link]
    for instance, records in traces.items():  # the order within an instance is kept
        links = [one.fields["link"] for one in merged if one.fields["instance"] == instance]
        assert links == [one.fields["link"] for one in records]
    if step == 0.0:
        assert not clocks.contradictions
        for one, other in zip(merged, merged[1:], strict=False):
            if happened_before(one, other):
                assert true_time(true, one) <= true_time(true, other) + 2e-6


def test_no_order_is_claimed_between_unconnected_instances():
    traces = {
        "a": [record(Kind.CLOCK, 1.0, 2.0, 0.0)],
        "b": [record(Kind.CLOCK, 9.0, 2.0, 0.0)],
    }
    merged, clocks = merge(traces, "a")
    assert happened_before(*merged) is None
    assert clocks.by_instance["b"].end_bounds == (inf, inf)
    one_way = {
        "a": [record(Kind.MESSAGE_SENT, 1.0, b"x", "b")],
        "b": [record(Kind.MESSAGE_RECEIVED, 9.0, b"x", "a")],
    }
    clocks = align_clocks({"a": (1.0, 1.0), "b": (9.0, 9.0)}, messages_between(one_way), "a")
    assert clocks.by_instance["b"].end_bounds[0] == inf


def test_the_error_bound_of_an_unconnected_instance_is_infinite_at_any_time():
    traces = {
        name: [record(Kind.CLOCK, float(at), 2.0, 0.0) for at in range(first, 40, 2)]
        for first, name in enumerate("ab")
    }
    merged, clocks = merge(traces, "a")
    assert {clocks.by_instance["b"].error_bound(at) for at in (-5.0, 1.0, 7.5, 39.0, 50.0)} == {inf}
    assert [one.fields["instance"] for one in merged] == ["a", "b"] * 20
    assert all(happened_before(one, other) is None for one, other in zip(merged, merged[1:], strict=False))
    assert [one.fields["certain"] for one in merged] == [1] + [0] * 39


def test_the_bound_of_an_unconnected_instance_stays_unbounded_in_a_file(tmp_path, capsys):
    paths = [str(tmp_path / name) for name in "ab"]
    for path, name in zip(paths, "ab", strict=True):
        write_trace(path, {"instance": name}, [record(*request(1.0, 1, proxy=name))], FIELDS)
    out = str(tmp_path / "both")
    assert command.main(["merge", *paths, "--out", out]) == 0
    assert [one.fields["bound"] for one in read(out)] == [0.0, inf]
    capsys.readouterr()
    assert command.main(["show", "--req", "b:1", out]) == 0
    assert capsys.readouterr().out.startswith("1.000000 ±inf b:1 ")


@pytest.mark.parametrize("empty", ["a", "b", "c"])
def test_an_instance_without_records_is_merged(empty):
    records = [record(Kind.CLOCK, 1.0, 2.0, 0.0), record(Kind.CLOCK, 2.0, 3.0, 0.0)]
    traces = {name: [] if name == empty else records for name in "abc"}
    merged, clocks = merge(traces, "a")
    assert len(merged) == 4 and clocks.by_instance.keys() == traces.keys()
    assert [one.fields["at"] for one in merged] == [1.0, 1.0, 2.0, 2.0]


def test_equal_records_of_one_request_are_merged_and_different_ones_are_kept():
    traces = {
        "a": [record(*request(1.0, 1, b"k")), record(*request(2.0, 2, b"l"))],
        "b": [record(*request(1.5, 1, b"k")), record(*request(2.5, 2, b"l", outcome="errored"))],
    }
    merged, _ = merge(traces, "a")
    assert [(one.fields["id"], one.fields["witnesses"]) for one in merged] == [
        (1, ["a", "b"]),
        (2, ["a"]),
        (2, ["b"]),
    ]


def test_the_merge_command(tmp_path, capsys):
    traces, _ = exchange(3)
    paths = []
    for name, records in traces.items():
        paths.append(str(tmp_path / name))
        write_trace(paths[-1], {"instance": name}, records, FIELDS)
    out = str(tmp_path / "both")
    assert command.main(["merge", *paths, "--out", out, "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["clocks"]["b"]["offset_s"] == pytest.approx(-3.1, abs=0.05)
    assert found["uncertain"] > 0
    with TraceReader(out) as trace:
        assert trace.metadata["merged"] == ["a", "b"]
        assert len(list(trace.records())) == sum(map(len, traces.values()))
    assert command.main(["merge", *paths, "--out", out + "2", "--reference", "z"]) == 2
