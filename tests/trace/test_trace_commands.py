"""Tests of the commands on a generated trace, and of exports without names and keys."""

import json

import pytest
import zstandard
from trace_helpers import read, record

from oatcart.trace import __main__ as command
from oatcart.trace import file_format, generate
from oatcart.trace.pseudonyms import Pseudonymizer
from oatcart.trace.reader import TraceReader
from oatcart.trace.records import FIELDS
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.trace_files import write_trace


@pytest.fixture(scope="module")
def generated(tmp_path_factory):
    """Return a trace file of 20 generated seconds."""
    path = tmp_path_factory.mktemp("generated") / "n0.oatrace"
    records = (record(*values) for values in generate.generate_records(5, 20.0, 200.0))
    write_trace(str(path), {"instance": "n0"}, records, FIELDS)
    return path


def unpacked(path):
    """Return the file header and all block payloads, uncompressed, so that they can be searched for names."""
    data = path.read_bytes()
    with TraceReader(path) as trace:
        parts = [data[: trace.first_block_offset]]
        for entry in trace.index:
            payload = data[entry.offset + file_format.BLOCK_HEADER.size : entry.offset + entry.length]
            parts.append(zstandard.ZstdDecompressor().decompress(payload))
    return b"".join(parts)


def names_in(records):
    """Return all names and keys, which an export must not contain."""
    for one in records:
        for field in ("proxy", "node", "zone", "instance", "to", "of", "name"):
            if isinstance(value := one.fields.get(field), str) and value:
                yield value.encode()
        for field in "key", "link":
            if value := one.fields.get(field):
                yield value


def requests(records):
    return [one.fields for one in records if one.kind == Kind.REQUEST]


def test_an_export_holds_no_names_or_keys_and_two_exports_cannot_be_linked(generated, tmp_path, capsys):
    exports = [tmp_path / "x", tmp_path / "y"]
    for export in exports:
        assert command.main(["strip", str(generated), "--out", str(export)]) == 0
    assert "replaced" in capsys.readouterr().out
    names = set(names_in(read(generated)))
    assert len(names) > 200
    original, found = unpacked(generated), unpacked(exports[0])
    assert all(name in original for name in names)
    # names of 2 bytes may occur by chance and are not checked; none is shorter
    assert [name for name in names if name in found and len(name) > 2] == []
    original_records, first, second = read(generated), read(exports[0]), read(exports[1])
    assert len(original_records) == len(first) == len(second)
    proxies = [
        {fields["proxy"] for fields in requests(records)} for records in (original_records, first, second)
    ]
    assert len(proxies[1]) == len(proxies[0])
    assert not proxies[1] & proxies[2]
    unchanged = [
        [(fields["kind"], fields["outcome"], fields["took"]) for fields in requests(records)]
        for records in (original_records, first)
    ]
    assert unchanged[0] == unchanged[1]


def test_free_text_is_dropped_from_an_export():
    pseudonymizer = Pseudonymizer(b"s")
    commands = (("note", "a litigant's name"), ("wake", 0.25))
    stripped = pseudonymizer.replace(record(Kind.ROUND, 1.0, 1, (), commands))
    assert stripped.fields["orders"] == [("wake", 0.25)]
    assert pseudonymizer.dropped["note"] == 1


def test_recorded_rounds_are_replayed_identically(generated, capsys):
    assert command.main(["check", "--again", "--json", str(generated)]) == 0
    replayed = json.loads(capsys.readouterr().out)["again"]
    assert replayed["rounds"] > 70 and replayed["orders"] > 200 and replayed["differs"] == ""


def test_a_summary_counts_requests_and_decisions(generated, capsys):
    assert command.main(["summary", "--json", str(generated)]) == 0
    found = json.loads(capsys.readouterr().out)
    succeeded = sum(fields["outcome"] == "done" for fields in requests(read(generated)))
    assert sum(figures.get("done", 0) for figures in found["reqs"]["kind"].values()) == succeeded
    first_weight = next(row for row in found["decisions"] if row["decision"] == "line")
    assert {"decision": "line", "reason": "weight"}.items() <= first_weight.items()


def test_a_cut_keeps_the_selected_records_and_overwrites_no_file(generated, tmp_path):
    out = tmp_path / "cut"
    span = ["--from", "1005", "--to", "1006", "--kind", "fee-charge"]
    assert command.main(["cut", str(generated), *span, "--out", str(out)]) == 0
    assert requests(read(out)) == [
        fields
        for fields in requests(read(generated))
        if 1005 <= fields["at"] < 1006 and fields["kind"] == "fee-charge"
    ]
    assert command.main(["cut", str(generated), "--out", str(out)]) == 2


def test_the_timeline_of_an_endpoint_shows_its_weights(generated, capsys):
    endpoint = requests(read(generated))[0]["node"]
    assert command.main(["show", str(generated), "--node", endpoint, "--to", "1002"]) == 0
    assert "round 1: " + endpoint in capsys.readouterr().out


def test_unusable_arguments_and_files_exit_with_2(generated, tmp_path):
    for arguments in (
        ["show", str(generated), "--key", "zz"],
        ["show", str(generated), "--req", "p"],
        ["check", str(tmp_path / "no")],
    ):
        assert command.main(arguments) == 2


def test_a_damaged_file_exits_with_1(generated, tmp_path):
    damaged = tmp_path / "damaged"
    data = bytearray(generated.read_bytes())
    data[len(data) // 2] ^= 1
    damaged.write_bytes(data)
    assert command.main(["check", str(damaged)]) == 1
