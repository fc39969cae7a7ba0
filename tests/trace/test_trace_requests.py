"""Tests of recording the requests of a proxy, and of their attempts in summary and timeline."""

from trace_helpers import record, request

from oatcart.trace.merge import merge
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.requests import RequestRecorder
from oatcart.trace.summary import summarize
from oatcart.trace.timeline import Subject, timeline


def fee(at, id, key=b"", endpoint="n1", attempts=1):
    return record(*request(at, id, key, "fee-charge", endpoint, attempts=attempts))


def failed_attempt(at, id, number, key=b"", endpoint="n1", error="RESET"):
    return record(Kind.ATTEMPT, at, id, key, "p1", "fee-charge", number, endpoint, error, 0.02)


def test_a_fee_attempted_twice_is_two_attempts_of_one_request():
    key = b"\x01\x02"
    records = [
        failed_attempt(1.0, 7, 1, key, "n1"),
        fee(1.1, 7, key, "n2", attempts=2),
        fee(2.0, 8, key, "n3"),
        fee(3.0, 9),
    ]
    for found in (records, merge({"a": records, "b": records[:1]}, "a")[0]):
        lines = timeline(found, Subject(key=key))
        assert len(lines) == 3
        assert "try 1 at n1 ended RESET" in lines[0]
        assert "2 tries" in lines[1]
    found = summarize(records)
    assert [breach["rule"] for breach in found["breaches"]] == [2]
    assert key.hex() in found["breaches"][0]["what"]
    assert [doubt["ran"][0] for doubt in found["doubts"]] == ["p1:7 at n1 RESET"]
    assert len(found["doubts"][0]["ran"]) == 3
    found = summarize(records, {"fee-charge": True})
    assert found["breaches"] == found["doubts"] == []
    (line, *_) = timeline(records, Subject(request=("p1", 8)))
    assert line.startswith("2.000000 p1:8 fee-charge done by n3")


def test_a_proxy_records_its_requests():
    records = []
    recorder = RequestRecorder("p1", "east", records.append)
    lookup = recorder.request_received("lookup")
    charge = recorder.request_received("fee-charge", b"k", 3.0)
    rejected = recorder.request_received("lookup")
    recorder.attempt_started(lookup, "n1", 1.0)
    recorder.attempt_started(charge, "n2", 1.5)
    recorder.attempt_failed(lookup, "RESET", 1.25)
    recorder.attempt_started(lookup, "n3", 1.25)
    recorder.request_ended(rejected, "denied", 1.75)
    recorder.request_ended(charge, "errored", 2.0)
    recorder.request_ended(lookup, "done", 2.25)
    assert records == [
        (Kind.ATTEMPT, 1.0, 1, b"", "p1", "lookup", 1, "n1", "RESET", 0.25),
        (Kind.REQUEST, 1.75, 3, b"", "p1", "lookup", "east", "", "denied", 0.0, 0, 1.0),
        (Kind.REQUEST, 1.5, 2, b"k", "p1", "fee-charge", "east", "n2", "errored", 0.5, 1, 3.0),
        (Kind.REQUEST, 1.25, 1, b"", "p1", "lookup", "east", "n3", "done", 1.0, 2, 1.0),
    ]
    assert not recorder.open
