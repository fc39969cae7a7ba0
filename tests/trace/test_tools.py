"""Merging by causal pairs, exports without identities, stories, and a recorded conductor played again."""

import asyncio
import json
from random import Random

import pytest
import table as xds_table
from hypothesis import given, settings
from hypothesis import strategies as st
from test_front import subscribed

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.model import LoadReport
from oatcart.trace import __main__ as command
from oatcart.trace import generate
from oatcart.trace.configuration import Tracing, Wrong
from oatcart.trace.configuration import read as read_tracing
from oatcart.trace.hook import traced
from oatcart.trace.merge import before, clocks, links, merge
from oatcart.trace.reader import Trace
from oatcart.trace.records import CLOCK, FIELDS, IN, OUT, REQ, ROUND, TRY, Record, make
from oatcart.trace.reqs import Reqs
from oatcart.trace.tap import Tap, again, start_record, started
from oatcart.trace.tools import Strip, names_in, story, summary


def rec(*values):
    kind, *rest = values
    return Record(kind, dict(zip((name for name, _ in FIELDS[kind]), rest, strict=True)))


def told(seed, offset=3.0, drift=200e-6, lost=0.3, count=400, step=0.0):
    """Two instances that exchange messages over 1,000 s of true time; the second's clock is off. Each
    record's true time goes along, by link."""
    rng, true = Random(seed), {}
    one, two = [], []

    def clock(at):
        return at + offset + drift * at + (step if at > 500 else 0.0)

    events = []
    for number in range(count):
        at, took = rng.uniform(0, 1000), 0.001 + rng.expovariate(200)
        link, forth = b"m%d" % number, rng.random() < 0.5
        events.append((at, 0 if forth else 1, OUT, link))
        if rng.random() > lost:
            events.append((at + took, 1 if forth else 0, IN, link))
    for at, who, kind, link in sorted(events):
        true[who, kind, link] = at
        (two if who else one).append(rec(kind, clock(at) if who else at, link, "x"))
    return {"a": one, "b": two}, true


def test_two_clocks_three_seconds_apart_that_drift_are_put_together():
    traces, true = told(1)
    merged, known = merge(traces, "a")
    assert not known.contradictions
    assert known.by["b"].drift == pytest.approx(-200e-6, abs=20e-6)
    worst = 0.0
    for record in merged:
        who = "ab".index(record.fields["instance"])
        off = abs(record.fields["at"] - true[who, record.kind, record.fields["link"]])
        assert off <= record.fields["bound"] + 1e-6, (off, record)
        worst = max(worst, record.fields["bound"])
    assert worst < 0.02
    assert any(not record.fields["certain"] for record in merged)


def places(merged):
    return {(one.kind, one.fields["link"]): at for at, one in enumerate(merged) if one.kind in (IN, OUT)}


@given(
    st.integers(0, 10**6),
    st.floats(-50, 50),
    st.floats(-5e-4, 5e-4),
    st.floats(0, 0.9),
    st.sampled_from([0.0, 0.0, -4.0, 7.0]),
)
@settings(max_examples=25, deadline=None, derandomize=True)
def test_no_effect_is_before_its_cause_and_no_claim_is_wrong(seed, offset, drift, lost, step):
    """Also where a clock was stepped, so that no straight line fits."""
    traces, true = told(seed, offset, drift, lost, 80, step)
    merged, known = merge(traces, "a")
    at = places(merged)
    for kind, link in at:
        if kind == IN:
            assert at[OUT, link] < at[IN, link]
    for name, records in traces.items():  # an instance's own order stays
        assert [one.fields["link"] for one in merged if one.fields["instance"] == name] == [
            one.fields["link"] for one in records
        ]
    if step == 0.0:
        assert not known.contradictions
        for one, other in zip(merged, merged[1:], strict=False):
            if before(one, other):
                times = [
                    true["ab".index(each.fields["instance"]), each.kind, each.fields["link"]]
                    for each in (one, other)
                ]
                assert times[0] <= times[1] + 2e-6


def test_where_nothing_ties_two_instances_no_order_is_claimed():
    traces = {"a": [rec(CLOCK, 1.0, 2.0, 0.0)], "b": [rec(CLOCK, 9.0, 2.0, 0.0)]}
    merged, known = merge(traces, "a")
    assert before(*merged) is None and known.by["b"].ends == (float("inf"), float("inf"))
    one_way = {"a": [rec(OUT, 1.0, b"x", "b")], "b": [rec(IN, 9.0, b"x", "a")]}
    assert clocks({"a": (1.0, 1.0), "b": (9.0, 9.0)}, links(one_way), "a").by["b"].ends[0] == float("inf")


def req(at, id, key=b"", proxy="p1", node="n1", kind="fee-charge", outcome="done", tries=1, took=0.05):
    return rec(REQ, at, id, key, proxy, kind, "east", node, outcome, took, tries, 3.0)


def attempt(at, id, number, key=b"", node="n1", ending="RESET"):
    return rec(TRY, at, id, key, "p1", "fee-charge", number, node, ending, 0.02)


def test_one_event_met_by_two_becomes_one_with_both_and_a_disagreement_stays():
    traces = {
        "a": [req(1.0, 1, b"k"), req(2.0, 2, b"l")],
        "b": [req(1.5, 1, b"k"), req(2.5, 2, b"l", outcome="errored")],
    }
    merged, _ = merge(traces, "a")
    assert [(one.fields["id"], one.fields["witnesses"]) for one in merged] == [
        (1, ["a", "b"]),
        (2, ["a"]),
        (2, ["b"]),
    ]


def test_a_fee_tried_twice_is_two_tries_of_one_req():
    key = b"\x01\x02"
    records = [
        attempt(1.0, 7, 1, key, "n1"),
        req(1.1, 7, key, node="n2", tries=2),
        req(2.0, 8, key, node="n3"),
        req(3.0, 9),
    ]
    for found in (records, merge({"a": records, "b": records[:1]}, "a")[0]):
        lines = story(found, key=key)
        assert len(lines) == 3 and "try 1 at n1 ended RESET" in lines[0] and "2 tries" in lines[1]
    told = summary(records)
    assert [one["rule"] for one in told["breaches"]] == [2] and key.hex() in told["breaches"][0]["what"]
    assert [one["ran"][0] for one in told["doubts"]] == ["p1:7 at n1 RESET"] and len(
        told["doubts"][0]["ran"]
    ) == 3
    assert (
        summary(records, {"fee-charge": True})["breaches"]
        == summary(records, {"fee-charge": True})["doubts"]
        == []
    )
    assert story(records, req=("p1", 8))[0].startswith("2.000000 p1:8 fee-charge done by n3")


def test_a_proxy_notes_its_reqs():
    out = []
    one = Reqs("p1", "east", out.append)
    first, fee, turned = one.begun("lookup"), one.begun("fee-charge", b"k", 3.0), one.begun("lookup")
    one.tried(first, "n1", 1.0)
    one.tried(fee, "n2", 1.5)
    one.failed(first, "RESET", 1.25)
    one.tried(first, "n3", 1.25)
    one.ended(turned, "denied", 1.75)
    one.ended(fee, "errored", 2.0)
    one.ended(first, "done", 2.25)
    assert (
        out
        == [
            make(TRY, 1.0, 1, b"", "p1", "lookup", 1, "n1", "RESET", 0.25),
            make(REQ, 1.75, 3, b"", "p1", "lookup", "east", "", "denied", 0.0, 0, 1.0),
            make(REQ, 1.5, 2, b"k", "p1", "fee-charge", "east", "n2", "errored", 0.5, 1, 3.0),
            make(REQ, 1.25, 1, b"", "p1", "lookup", "east", "n3", "done", 1.0, 2, 1.0),
        ]
        and not one.open
    )


@pytest.fixture(scope="module")
def minute(tmp_path_factory):
    """A trace file of 20 generated seconds."""
    folder = tmp_path_factory.mktemp("minute")
    path = folder / "n0.oatrace"
    fields = {kind: [name for name, _ in columns] for kind, columns in FIELDS.items()}
    command.write(
        str(path),
        {"instance": "n0"},
        (
            Record(kind, dict(zip(fields[kind], values, strict=True)))
            for kind, *values in generate.records(5, 20.0, 200.0)
        ),
        FIELDS,
    )
    return path


def read(path):
    with Trace(path) as trace:
        return list(trace.records())


def plain(path):
    """All that the file holds, unpacked: what a search for names goes through."""
    import zstandard

    from oatcart.trace import format as form

    data = path.read_bytes()
    with Trace(path) as trace:
        parts = [data[: trace.begin]]
        for offset, length, *_ in trace.index:
            parts.append(
                zstandard.ZstdDecompressor().decompress(data[offset + form.HEADER.size : offset + length])
            )
    return b"".join(parts)


def test_an_export_holds_no_name_and_no_key_and_two_cannot_be_linked(minute, tmp_path, capsys):
    outs = [tmp_path / "x", tmp_path / "y"]
    for out in outs:
        assert command.main(["strip", str(minute), "--out", str(out)]) == 0
    assert "replaced" in capsys.readouterr().out
    names = set(names_in(read(minute)))
    assert len(names) > 200
    found = plain(outs[0])
    assert all(name in plain(minute) for name in names)
    # a short one may stand there by chance; none of these is under 2 bytes
    assert [name for name in names if name in found and len(name) > 2] == []
    old, one, two = read(minute), read(outs[0]), read(outs[1])
    assert len(old) == len(one) == len(two)
    words = [{record.fields["proxy"] for record in records if record.kind == REQ} for records in (one, two)]
    assert len(words[0]) == len({record.fields["proxy"] for record in old if record.kind == REQ})
    assert not words[0] & words[1]
    stays = [
        [
            (record.fields["kind"], record.fields["outcome"], record.fields["took"])
            for record in records
            if record.kind == REQ
        ]
        for records in (old, one)
    ]
    assert stays[0] == stays[1]


def test_strip_drops_free_text():
    strip = Strip(b"s")
    one = strip.record(rec(ROUND, 1.0, 1, (), (("note", "a litigant's name"), ("wake", 0.25))))
    assert one.fields["orders"] == [("wake", 0.25)] and strip.dropped["note"] == 1


def test_commands_on_a_file(minute, tmp_path, capsys):
    assert command.main(["check", "--again", "--json", str(minute)]) == 0
    found = json.loads(capsys.readouterr().out)
    assert (
        found["again"]["rounds"] > 70 and found["again"]["orders"] > 200 and found["again"]["differs"] == ""
    )
    assert command.main(["summary", "--json", str(minute)]) == 0
    found = json.loads(capsys.readouterr().out)
    records = read(minute)
    assert sum(one.get("done", 0) for one in found["reqs"]["kind"].values()) == sum(
        record.kind == REQ and record.fields["outcome"] == "done" for record in records
    )
    assert {"decision": "line", "reason": "weight"}.items() <= next(
        one for one in found["decisions"] if one["decision"] == "line"
    ).items()
    out = tmp_path / "cut"
    assert (
        command.main(
            ["cut", str(minute), "--from", "1005", "--to", "1006", "--kind", "fee-charge", "--out", str(out)]
        )
        == 0
    )
    kept = [one for one in read(out) if one.kind == REQ]
    assert kept == [
        one
        for one in records
        if one.kind == REQ and 1005 <= one.fields["at"] < 1006 and one.fields["kind"] == "fee-charge"
    ]
    assert command.main(["cut", str(minute), "--out", str(out)]) == 2  # it is there already
    node = next(one.fields["node"] for one in records if one.kind == REQ)
    capsys.readouterr()
    assert command.main(["show", str(minute), "--node", node, "--to", "1002"]) == 0
    assert "round 1: " + node in capsys.readouterr().out
    for words in (
        ["show", str(minute), "--key", "zz"],
        ["show", str(minute), "--req", "p"],
        ["check", str(tmp_path / "no")],
    ):
        assert command.main(words) == 2
    spoilt = tmp_path / "spoilt"
    data = bytearray(minute.read_bytes())
    data[len(data) // 2] ^= 1
    spoilt.write_bytes(data)
    assert command.main(["check", str(spoilt)]) == 1


def test_merge_as_a_command(tmp_path, capsys):
    traces, _ = told(3)
    paths = []
    for name, records in traces.items():
        paths.append(str(tmp_path / name))
        command.write(paths[-1], {"instance": name}, records, FIELDS)
    out = str(tmp_path / "both")
    assert command.main(["merge", *paths, "--out", out, "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["clocks"]["b"]["offset_s"] == pytest.approx(-3.1, abs=0.05) and found["uncertain"] > 0
    with Trace(out) as trace:
        assert trace.facts["merged"] == ["a", "b"]
        assert len(list(trace.records())) == sum(map(len, traces.values()))
    assert command.main(["merge", *paths, "--out", out + "2", "--reference", "z"]) == 2


def test_a_conductor_on_loopback_is_recorded_and_plays_again_the_same(tmp_path, monkeypatch):
    """Sidecars' and xDS clients' arrivals, reports, drains, a withdrawal, a spoilt arrival: every order
    again.
    """
    writers = []
    make_one = xds_table.Conductor

    def conductor(cfg, xds, woken):
        tracing = Tracing(str(tmp_path / "traces"))
        return make_one(cfg, xds, woken, lambda make: traced(make, cfg, tracing, writers.append))

    monkeypatch.setattr(xds_table, "Conductor", conductor)

    async def story():
        async with xds_table.Table(xds_table.nodes(6)) as table:
            client = await subscribed(table, "c", True, "whole")
            places = table.one.rounds.codec.places
            table.one.rounds.arrive(
                ProxyLoadReported(8, "not a kind", 1, 0, 1.0)
            )  # the module raises over it
            for turn in range(8):
                for name, place in places.items():
                    bad = 20 if name == "n2" else 0
                    table.one.rounds.arrive(
                        EndpointLoadReported(
                            place, 0, 1.0, 0.05 + turn / 100, bad, 20, LoadReport(None, 0.3, None)
                        )
                    )
                table.one.nested.kick()
                await asyncio.sleep(0.05)
            await client.until(lambda: client.endpoints("lookup")["n2"][1] == "UNHEALTHY")
            table.roll(n1=(9001, "b", "DRAINING", 0))
            await client.until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")

    xds_table.played(story())
    writers[0].stop()
    path = next((tmp_path / "traces").iterdir())
    records = read(path)
    rounds, orders, differs = again(iter(records))
    assert (differs, rounds) == ("", sum(one.kind == ROUND for one in records)) and orders > 15
    decided = {(one["decision"], one["reason"]) for one in summary(records)["decisions"]}
    assert {("withdraw", "evidence"), ("withdraw", "drain")} <= decided
    other = [
        one
        if one.kind != ROUND or one.fields["number"] != 5
        else one._replace(fields=one.fields | {"orders": (*one.fields["orders"], ("wake", 9.0))})
        for one in records
    ]
    assert "round 5 differs" in again(iter(other))[2]
    assert (
        "rounds are missing before number 4"
        in again(one for one in records if one.kind != ROUND or one.fields["number"] != 3)[2]
    )
    assert again(one for one in records if one.kind != "start")[2] == "the start record is missing"


def test_the_clock_that_steps_is_noted():
    out, wall = [], [1000.0]
    kinds = [kind for _, kind, _ in generate.KINDS]
    begun = start_record(
        0.0,
        "n0",
        2**63 + 5,
        generate.ControllerSettings(
            request_classes=tuple(kinds),
            discovery=generate.DiscoverySettings(),
            channel=generate.ChannelLimits(),
            warm_up=generate.WarmUpLimits(),
            report_period=1.0,
            admission_mode="share",
            cross_zone_price=0.0,
            health_checks_allowed=False,
        ),
        {},
    )
    module = started(dict(zip((name for name, _ in FIELDS["start"]), begun[1:], strict=True)))
    assert list(module.settings.request_classes) == kinds
    tap = Tap(module.round, out.append, lambda: wall[0])
    for now, unix in ((0.0, 1000.0), (60.0, 1060.0), (120.0, 1090.0)):
        wall[0] = unix
        tap.round(now, iter(()), generate._Host())
    assert [record[3] for record in out if record[0] == CLOCK] == [0.0, 0.0, -30.0]


def test_the_file_of_settings(tmp_path):
    path = tmp_path / "t.yaml"
    path.write_text("folder: x\nfile_size: 1MiB\nbudget: 2MiB\nfile_for: 5m\n")
    assert read_tracing(path) == Tracing("x", 1 << 20, 300.0, 2 << 20)
    for text, said in (
        ("file_size: 64\n", "t.yaml:1: file_size: 64 has no unit"),
        ("room: 1000\n", "folder is missing"),
        ("folder: x\nbudget: 1MiB\n", "t.yaml:2: budget holds not even one"),
        ("folder: x\nrom: 5\n", "t.yaml:2: rom is not known; did you mean room?"),
        ("", "no table of keys"),
    ):
        path.write_text(text)
        with pytest.raises(Wrong) as wrong:
            read_tracing(path)
        assert said in str(wrong.value)
