"""Controllers behind the control role: what the relay records, whom a change affects, what is measured."""

from contextlib import ExitStack
from dataclasses import replace

import orjson
import pytest

from oatcart.scale.children import ChildError
from oatcart.scale.configuration import FleetSettings, ViewSettings
from oatcart.scale.figures import run_trial
from oatcart.scale.fleet import plan_fleet
from oatcart.scale.ports import free_ports
from oatcart.scale.real import NotReadyError
from oatcart.scale.trial import MadeChange, running
from oatcart.scale.trial_settings import TrialSettings
from oatcart.scale.view_relay import AnswerReader, RelayedClient
from oatcart.scale.view_trial import ViewTrial, first_received_at

ENDPOINTS = 120
SMALL = TrialSettings(
    replace(FleetSettings().scaled_to(ENDPOINTS), conductors=4),
    seed=1,
    hollow=3,
    real=1,
    settle_s=0.1,
    measure_s=0.3,
    changes=6,
    view=ViewSettings(nodes=30),
)


def test_controllers_behind_the_control_role_know_only_their_view() -> None:
    with running(SMALL, ViewTrial) as trial:
        trial.start()
        assert all(0 < len(trial.relay.members(name)) <= SMALL.view.nodes for name in trial.names)
        assert all(
            one.known_endpoints <= SMALL.view.nodes for one in trial.hollow_controllers.figures().controllers
        )
        trial.join_peers()
        pids = [one.process for one in trial.running_processes()]
    assert all(process.returncode is not None for process in pids)


def test_every_role_behind_the_control_role_is_measured() -> None:
    found = {one.role: one for one in run_trial(SMALL, "nodes", ENDPOINTS, ViewTrial)}
    assert set(found) == {"discovery", "conductor", "hollow_conductor", "control"}
    assert all(one.left_out is None and one.core_share >= 0 for one in found.values())
    assert found["conductor"].core_share > 0 and found["hollow_conductor"].core_share > 0
    assert found["control"].ready_core_s > 0
    assert found["control"].ready_bytes > 2 * found["conductor"].ready_bytes > 0
    assert found["control"].resident_mb > 5 and found["control"].ready_s > 0


def test_a_change_is_delivered_to_the_controllers_whose_view_has_the_endpoint() -> None:
    with running(SMALL, ViewTrial) as trial:
        trial.start()
        name = trial.hollow_names[0]
        held = trial.relay.members(name)[0]
        entry = next(one for one in trial.plan.endpoints if one.id == held)
        trial.make_change(
            {"id": entry.id, "host_port": entry.address, "locality": entry.zone, "phase": "DRAINING"}
        )
        assert name in trial.holders[0] and len(trial.holders[0]) <= len(trial.names)
        delays = trial.wait_for_changes()
        assert len(delays[name]) == 1 and 0 < delays[name][0] < 5.0
        assert sum(map(len, delays.values())) == len(trial.holders[0])


def test_only_endpoints_of_some_view_are_changed() -> None:
    with running(SMALL, ViewTrial) as trial:
        trial.start()
        changed = {endpoint.id for endpoint in trial.changed_endpoints()}
        assert changed == {endpoint for name in trial.names for endpoint in trial.relay.members(name)}
        assert 0 < len(changed) <= len(trial.plan.endpoints)


def test_a_control_role_that_died_is_an_error_and_all_processes_are_ended() -> None:
    with pytest.raises((NotReadyError, ChildError, OSError)), running(SMALL, ViewTrial) as trial:
        trial.start()
        processes = [one.process for one in trial.running_processes()]
        trial.control.process.kill()
        trial.control.process.wait()
        trial.read()
    assert all(process.returncode is not None for process in processes)


def test_the_control_role_is_configured_with_the_place_and_services_of_each_controller() -> None:
    with ExitStack() as processes:
        trial = ViewTrial(SMALL, plan_fleet(SMALL.fleet, SMALL.seed), processes)
        configuration = trial.control_configuration(1, 2, {"hollow-0": 3, "real-0": 4})
    hollow, real = configuration["conductors"]
    assert hollow["services"] and hollow["zone"] in trial.plan.zone_regions
    assert hollow | {"name": "", "address": ""} == real | {"name": "", "address": ""}
    assert configuration["views"]["most_members"] == SMALL.view.nodes


def test_free_ports_are_distinct() -> None:
    ports = free_ports(50)
    assert len(set(ports)) == 50 and all(1024 <= port < 65536 for port in ports)


@pytest.mark.parametrize("piece", [1, 7, 1000])
def test_bodies_are_found_in_pieces_of_any_size(piece: int) -> None:
    bodies: list[bytes] = []
    reader = AnswerReader(bodies.append)
    data = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyou"
    )
    for at in range(0, len(data), piece):
        reader.read(data[at : at + piece])
    assert bodies == [b"hello", b"", b"you"]


def list_body(complete: bool, **phases: str) -> bytes:
    members = [{"id": endpoint, "phase": phase} for endpoint, phase in phases.items()]
    return orjson.dumps({"revision": 1, "complete": complete, "members": members})


def test_members_follow_complete_lists_and_changes() -> None:
    client = RelayedClient(0)
    client.record_answer(list_body(True, x="SERVING", y="SERVING"), set())
    client.record_answer(list_body(False, y="DELETED", z="DRAINING"), set())
    assert client.members == {"x", "z"}
    client.record_answer(list_body(True, w="SERVING"), set())
    assert client.members == {"w"}


def test_a_tracked_endpoint_is_recorded_also_if_a_complete_list_lacks_it() -> None:
    client = RelayedClient(0)
    assert client.record_answer(list_body(True, x="SERVING", y="SERVING"), {"x"}) == ["x"]
    assert client.record_answer(list_body(False, y="DRAINING"), {"x"}) == []
    assert client.record_answer(list_body(True, y="SERVING"), {"x"}) == ["x"]


@pytest.mark.parametrize("body", [b"", b"no json", b"[]", b"{}", b'{"members":[{}],"complete":true}'])
def test_a_body_that_is_not_a_list_is_ignored(body: bytes) -> None:
    client = RelayedClient(0)
    client.members = {"x"}
    assert client.record_answer(body, {"x"}) == [] and client.members == {"x"}


def test_the_first_acknowledgement_after_a_change_counts() -> None:
    received = [(1.0, "x"), (2.0, "y"), (3.0, "x")]
    assert first_received_at(received, MadeChange(1.5, "all", 2, "x")) == 3.0
    assert first_received_at(received, MadeChange(3.5, "all", 2, "x")) is None
