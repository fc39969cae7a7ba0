"""The adapter's replies to generated input are byte for byte the recorded ones.

The digests in update_digests.json are those of commit 440aa9e, before any rename or split, except where a
change was meant to alter the decisions' commands; they hold for Python 3.11 (from 3.12 on, `sum` of floats
has other results). Such a change replaces them in its own commit, which says why;
`python tests/simhost/test_same_updates.py` prints the new file.
"""

import json
import sys
from pathlib import Path

import pytest
import wire_frames as wire
from wire_fleet import CHECKPOINT, Fleet
from wire_scenario import Scenario
from wire_scenarios import SCENARIOS
from wire_settings import settings

DIGESTS = Path(__file__).with_name("update_digests.json")
NAMES = [scenario.name for scenario in SCENARIOS]
HASH_SEEDS = (0, 1, 4_294_967_295)


def digest_of(scenario, hash_seed):
    """Plays a scenario against a new adapter process, which must exit with code 0; returns the digest."""
    with wire.Adapter(hash_seed) as adapter:
        found = Fleet(scenario).play(adapter)
        exit_code, error_output = adapter.close()
    assert (exit_code, error_output) == (0, b"")
    return found


def difference_message(found, recorded):
    """Returns a message with the numbers of the replies between which the first difference is."""
    pairs = zip(found["checkpoints"], recorded["checkpoints"], strict=False)
    equal = next((at for at, (new, old) in enumerate(pairs) if new != old), len(recorded["checkpoints"]))
    return f"the first difference is between replies {equal * CHECKPOINT} and {(equal + 1) * CHECKPOINT}"


@pytest.mark.parametrize("scenario", SCENARIOS, ids=NAMES)
def test_replies_match_the_recorded_digests(scenario):
    recorded = json.loads(DIGESTS.read_text())[scenario.name]
    hash_seed = HASH_SEEDS[SCENARIOS.index(scenario) % len(HASH_SEEDS)]
    found = digest_of(scenario, hash_seed)
    assert found == recorded, f"{scenario.name}: {difference_message(found, recorded)}"


def test_every_scenario_has_a_digest_of_its_own():
    recorded = json.loads(DIGESTS.read_text())
    assert list(recorded) == NAMES
    assert len({one["sha256"] for one in recorded.values()}) == len(SCENARIOS)
    assert sum(one["replies"] for one in recorded.values()) >= 20000


def test_a_controller_that_cannot_start_is_reported_as_a_fault():
    """The message names the missing field; other instances continue."""
    invalid = settings(Scenario("invalid", 1), 1)
    del invalid["specifics"]["pushRate"]
    valid = json.dumps(settings(Scenario("valid", 1), 0)).encode()
    with wire.Adapter() as adapter:
        events = [wire.provision(0, 7, valid), wire.provision(1, 7, json.dumps(invalid).encode())]
        reply = adapter.answer(wire.batch(5.0, events))
        assert adapter.close() == (0, b"")
    found = list(wire.actions(reply[8:]))
    faults = [one for one in found if one[0] == "Panic"]
    assert [one[1] for one in faults] == [1]
    assert b"pushRate" in faults[0][2]
    assert ("NotifyMe", 0, 0, 250.0) in found


@pytest.mark.parametrize(
    "frame",
    [b"\0", wire.batch(5.0, [b"\xff"]), wire.batch(5.0, [wire.fired(0, 1)])[:-1], b"\0\0\0\x04abcd"],
    ids=["truncated length", "unknown code", "truncated record", "shorter than a header"],
)
def test_a_malformed_frame_ends_the_adapter_with_exit_code_2(frame):
    with wire.Adapter() as adapter:
        adapter.process.stdin.write(frame)
        exit_code, error_output = adapter.close()
    assert exit_code == 2
    assert error_output.startswith(b"oatcart.simhost: ") and error_output.count(b"\n") == 1


if __name__ == "__main__":
    json.dump({one.name: digest_of(one, 0) for one in SCENARIOS}, sys.stdout, indent=1)
    print()
