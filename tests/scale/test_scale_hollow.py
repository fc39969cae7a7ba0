"""Hollow controllers: lists, updates, metering, outages and failing endpoints."""

import time
from collections.abc import Callable, Iterator

import orjson
import pytest

from oatcart.net.loop import Loop, Wait
from oatcart.scale.controller_settings import controller_settings, route_names
from oatcart.scale.discovery import Discovery
from oatcart.scale.hollow import HollowControllers
from oatcart.scale.metering import Meter, MeteredLoop, metered
from oatcart.scale.peers import ControllerPeers, PeerSettings, ProxyTables, last_nonce

ROUTES = 2
PROXIES = 3
SETTINGS = controller_settings(["a", "b"], ROUTES, PROXIES)
ENDPOINTS = tuple(f"node-{number:02}" for number in range(12))
WITHIN_S = 10.0


def entry(endpoint: str, phase: str = "SERVING") -> dict:
    return {"id": endpoint, "host_port": "10.0.0.1:80", "locality": "a", "phase": phase, "size": 1.0}


def wait_until(condition: Callable[[], bool], what: str) -> None:
    until = time.monotonic() + WITHIN_S
    while not condition():
        assert time.monotonic() < until, what
        time.sleep(0.05)


def peers(seed: int = 1) -> PeerSettings:
    return PeerSettings(seed, PROXIES, "a", route_names(ROUTES), ENDPOINTS)


@pytest.fixture
def discovery() -> Iterator[Discovery]:
    with Discovery() as running:
        running.change([entry(endpoint) for endpoint in ENDPOINTS])
        yield running


@pytest.fixture
def hollow_controllers() -> Iterator[HollowControllers]:
    with HollowControllers() as running:
        yield running


def start(discovery: Discovery, hollow_controllers: HollowControllers, count: int) -> None:
    ports = discovery.open([f"hollow-{number}" for number in range(count)])
    hollow_controllers.start_controllers(SETTINGS, list(ports.values()), list(range(count)))
    wait_until(
        lambda: (
            [one.known_endpoints for one in hollow_controllers.figures().controllers]
            == [len(ENDPOINTS)] * count
        ),
        "no complete list",
    )


def all_tables_have(hollow_controllers: HollowControllers, endpoints: set[str]) -> bool:
    """Returns whether every table of every proxy has exactly these endpoints."""
    tables = [
        table
        for one in hollow_controllers.tables()
        for held in one.tables.values()
        for table in [*held["weights"].values()]
    ]
    return bool(tables) and all(set(table) == endpoints for table in tables)


def test_each_change_of_a_list_reaches_all_controllers_that_watch_it(
    discovery: Discovery, hollow_controllers: HollowControllers
) -> None:
    start(discovery, hollow_controllers, 40)
    revision = discovery.change([entry(ENDPOINTS[0], "DRAINING")])
    wait_until(
        lambda: all(
            one.applied_revisions[-1][1] == revision for one in hollow_controllers.figures().controllers
        ),
        "the change did not reach all controllers",
    )
    figures = hollow_controllers.figures()
    assert all(0 < one.ready_core_s <= one.core_s and one.ready_after_s > 0 for one in figures.controllers)
    assert not figures.failures


def test_proxies_receive_all_ready_endpoints_and_no_draining_one(
    discovery: Discovery, hollow_controllers: HollowControllers
) -> None:
    start(discovery, hollow_controllers, 2)
    hollow_controllers.join_peers([peers(), peers(2)], keep_tables=True)
    wait_until(lambda: all_tables_have(hollow_controllers, set(ENDPOINTS)), "no tables")
    discovery.change([entry(ENDPOINTS[3], "DRAINING")])
    wait_until(
        lambda: all_tables_have(hollow_controllers, set(ENDPOINTS) - {ENDPOINTS[3]}),
        "the draining endpoint is still in a table",
    )
    figures = hollow_controllers.figures().controllers
    assert all(one.peer_bytes_in > 0 and one.peer_bytes_out > 0 for one in figures)
    assert all(one.peer_messages_out >= PROXIES for one in figures)


def test_a_failing_endpoint_is_ejected_at_all_proxies(
    discovery: Discovery, hollow_controllers: HollowControllers
) -> None:
    start(discovery, hollow_controllers, 1)
    hollow_controllers.join_peers([peers()], keep_tables=True)
    hollow_controllers.fail([ENDPOINTS[5]])

    def ejected() -> bool:
        (held,) = hollow_controllers.tables()
        return all(one["shut_out"] == [ENDPOINTS[5]] for one in held.tables.values())

    wait_until(ejected, "not ejected")


def test_controllers_recover_from_an_outage_of_discovery(
    discovery: Discovery, hollow_controllers: HollowControllers
) -> None:
    start(discovery, hollow_controllers, 5)
    discovery.outage(True)
    revision = discovery.change([entry(ENDPOINTS[0], "DRAINING")])
    time.sleep(0.3)
    assert all(one.revision < revision for one in hollow_controllers.figures().controllers)
    discovery.outage(False)
    wait_until(
        lambda: all(one.revision == revision for one in hollow_controllers.figures().controllers),
        "the list was not updated after the outage",
    )
    assert not hollow_controllers.figures().failures


def test_the_messages_of_a_tick_depend_on_seed_and_tick_alone() -> None:
    one, same, other = ControllerPeers(peers()), ControllerPeers(peers()), ControllerPeers(peers(2))
    assert one.joins() == same.joins()
    ticks = [one.tick() for _ in range(4)]
    assert ticks == [same.tick() for _ in range(4)]
    assert ticks != [other.tick() for _ in range(4)]


def test_every_proxy_and_every_endpoint_is_reported_once_a_period() -> None:
    one = ControllerPeers(peers())
    lines = [orjson.loads(message.line) for _ in range(4) for message in one.tick()]
    assert sorted(line["host"] for line in lines if line["msg"] == "heard") == sorted(ENDPOINTS)
    usage = sorted((line["sidecar"], line["kind"]) for line in lines if line["msg"] == "usage")
    assert usage == sorted((number, route) for number in range(PROXIES) for route in route_names(ROUTES))
    assert one.traffic.messages_in == len(lines)


def test_failing_endpoints_fail_every_request_and_no_others() -> None:
    one = ControllerPeers(peers())
    one.fail([ENDPOINTS[0]])
    lines = [orjson.loads(message.line) for _ in range(4) for message in one.tick()]
    failed = {line["host"]: line["bad"] / line["n"] for line in lines if line["msg"] == "heard"}
    assert {endpoint for endpoint, share in failed.items() if share} == {ENDPOINTS[0]} and failed[
        ENDPOINTS[0]
    ] == 1.0


@pytest.mark.parametrize("keep_tables", [False, True])
def test_a_nonce_is_acknowledged_once_its_line_is_complete(keep_tables: bool) -> None:
    one = ControllerPeers(peers(), keep_tables)
    line = b'{"msg":"update","endpoints":[["node-01",1.5]],"nonce_out":905}\n'
    one.receive_data(1, line[:20])
    assert b"applied" not in b"".join(message.line for message in one.tick())
    one.receive_data(1, line[20:])
    (answer,) = [message for message in one.tick() if b"applied" in message.line]
    assert answer.proxy == 1 and orjson.loads(answer.line)["version"] == 905
    assert one.traffic.bytes_out == len(line) and one.traffic.messages_out == 1


def test_an_update_without_a_nonce_has_no_last_nonce() -> None:
    assert last_nonce(b'{"msg":"update","eject":["node-01"]}\n') is None


def test_updates_are_applied_to_the_tables_of_a_proxy() -> None:
    held = ProxyTables()
    held.apply({"full": True, "endpoints": [["x", 1.5], ["y", 2]], "admit": 0.5, "policy": 1}, ["r", "s"])
    held.apply({"routes": ["r"], "endpoints": [["x", 0], ["z", 3]], "eject": ["y"]}, ["r", "s"])
    assert held.weights == {"r": {"y": 2, "z": 3}, "s": {"x": 1.5, "y": 2}}
    assert held.ejected == {"y"} and held.admitted_shares == {"r": 0.5, "s": 0.5}
    held.apply({"routes": ["r"], "full": True, "endpoints": [], "restore": ["y"]}, ["r", "s"])
    assert held.weights["r"] == {} and held.admitted_shares == {"s": 0.5} and not held.ejected


def test_nested_stretches_are_metered_once() -> None:
    meter = Meter()
    with meter:
        began = time.thread_time()
        with meter:
            sum(range(200_000))
        took = time.thread_time() - began
    assert took <= meter.core_s == meter.longest_s < 2 * took + 0.01


def test_a_metered_task_is_the_same_task() -> None:
    ended = []

    def steps():
        try:
            ended.append((yield Wait(deadline=1.0)))
            yield Wait(deadline=2.0)
        finally:
            ended.append("closed")

    now = [0.0]
    loop = Loop(lambda: now[0], ended.append)
    task = MeteredLoop(loop, Meter()).spawn(steps())
    now[0] = 1.0
    loop.turn(0.0)
    assert ended == [False] and not task.done
    loop.cancel(task)
    assert ended == [False, "closed"] and task.done
    loop.epoll.close()


def test_an_error_in_a_metered_task_reaches_the_loop() -> None:
    meter = Meter()

    def steps():
        yield Wait()
        raise ZeroDivisionError

    task = metered(steps(), meter)
    next(task)
    with pytest.raises(ZeroDivisionError):
        task.send(True)
    assert meter.core_s > 0
