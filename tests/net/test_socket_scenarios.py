"""Plays the scenarios of `tests/net/scenarios` on the net code; the notation is in `tests/README.md`."""

from pathlib import Path

import pytest
import scenario_harness

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    scenario_harness.play(path.read_text())
