"""Tests that traces of an earlier version are read, cut, merged and replayed as by that version."""

import json

import pytest
from stored_traces import COMMANDS, DIGESTED, EXPECTED, run


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    return run(tmp_path_factory.mktemp("stored"))


@pytest.fixture(scope="module")
def expected():
    return json.loads(EXPECTED.read_text())


@pytest.mark.parametrize("command", [" ".join(arguments) for arguments in COMMANDS])
def test_a_command_exits_and_prints_as_recorded(outcomes, expected, command):
    assert outcomes[command] == expected[command]


@pytest.mark.parametrize("name", DIGESTED)
def test_a_written_file_holds_the_same_bytes(outcomes, expected, name):
    assert outcomes[name] == expected[name]


def test_every_recorded_round_is_replayed_identically(outcomes):
    _, (line,), _ = outcomes["check --again --json n0-1.oatrace"]
    replayed = json.loads(line)["again"]
    assert replayed["rounds"] >= 200 and replayed["orders"] > 500 and replayed["differs"] == ""
    _, (_, line, *_), _ = outcomes["check --again strip-n0.oatrace strip-all.oatrace"]
    assert line == "344 rounds played again, 924 orders: identical"


def test_every_expected_outcome_is_produced(outcomes, expected):
    assert outcomes.keys() == expected.keys()
