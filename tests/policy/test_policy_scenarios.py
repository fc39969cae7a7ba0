"""The decisions keep the rules that the scenarios show, and depend on nothing but their events."""

from pathlib import Path

import pytest
from scenario_player import DEFAULT_SETTINGS, RecordedCommands, ScenarioPlayer

from oatcart.events import EndpointEntry, EndpointListReceived, EndpointLoadReported, ProxyJoined
from oatcart.model import EndpointState, LoadReport
from oatcart.policy import Controller

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    ScenarioPlayer().play(path.read_text())


def events_of(number):
    """Events of a round: the list each ninth time, a proxy that joins, reports of eight endpoints."""
    entries = [EndpointEntry(at, at % 2, 0.0, EndpointState.READY, 1.0) for at in range(8)]
    lists = [EndpointListReceived(True, entries)] if number % 9 == 0 else []
    loads = [
        EndpointLoadReported(at, 0, 1.0, 0.1 + at / 50, number % 3, 10, LoadReport(at + number % 5))
        for at in range(8)
    ]
    return [*lists, ProxyJoined(number % 4, 0, 1.0, True), *loads]


def commands_of_run():
    """The commands of a controller in 40 rounds."""
    controller, commands = Controller(DEFAULT_SETTINGS, seed=1), RecordedCommands()
    for number in range(40):
        controller.round(number / 2, events_of(number), commands)
    return commands.given


def test_same_events_same_commands():
    first, second = commands_of_run(), commands_of_run()
    assert first == second and len(first) > 100
