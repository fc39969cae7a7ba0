"""The policy passes all scenarios, and its commands depend only on its events and seed."""

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
    """Returns the events of a round: a list in every ninth, a joining proxy, reports on eight endpoints."""
    entries = [EndpointEntry(at, at % 2, 0.0, EndpointState.READY, 1.0) for at in range(8)]
    lists = [EndpointListReceived(True, entries)] if number % 9 == 0 else []
    loads = [
        EndpointLoadReported(at, 0, 1.0, 0.1 + at / 50, number % 3, 10, LoadReport(at + number % 5))
        for at in range(8)
    ]
    return [*lists, ProxyJoined(number % 4, 0, 1.0, True), *loads]


def commands_of_run():
    """Returns the commands of a controller over 40 rounds."""
    controller, commands = Controller(DEFAULT_SETTINGS, seed=1), RecordedCommands()
    for number in range(40):
        controller.round(number / 2, events_of(number), commands)
    return commands.given


def test_the_same_events_give_the_same_commands():
    first, second = commands_of_run(), commands_of_run()
    assert first == second and len(first) > 100
