"""Real controller processes: start, end, and the case that one dies or cannot start."""

import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

import pytest

from oatcart.scale.children import Child, ChildProcess, core_seconds, resident_megabytes
from oatcart.scale.controller_settings import MAX_ROUTES, controller_settings
from oatcart.scale.discovery import Discovery
from oatcart.scale.real import CONTROLLER_COMMAND, NotReadyError, RealController, real_controllers

SETTINGS = controller_settings(["a", "b"], routes=2, proxies=2)
ENTRY = {"id": "node-1", "host_port": "127.0.0.1:1", "locality": "a", "phase": "SERVING"}
ENDED_WITHIN_S = 5.0


def alive(pid: int) -> bool:
    """Returns whether a process runs; a zombie does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


def wait_until(condition, problem: str) -> None:
    until = time.monotonic() + ENDED_WITHIN_S
    while not condition():
        assert time.monotonic() < until, problem
        time.sleep(0.02)


def test_controllers_are_started_as_the_platform_starts_them() -> None:
    run = tomllib.loads(Path("deploy/balancer.toml").read_text())["run"].split()
    assert run[:4] == ["trap", "''", "HUP;", "exec"] and run[5:] == list(CONTROLLER_COMMAND[1:])


def test_controllers_answer_watch_the_list_and_end_with_the_block() -> None:
    with Discovery() as discovery:
        discovery.change([ENTRY])
        ports = discovery.open(["one", "two"])
        with real_controllers(SETTINGS, list(ports.values()), [1, 2]) as controllers:
            wait_until(lambda: all(discovery.acknowledged_revisions().values()), "no watch")
            assert all(one.ready_after_s > 0 for one in controllers)
            assert all(one.core_seconds() > 0 and one.resident_megabytes() > 5 for one in controllers)
            pids = [one.pid for one in controllers]
    assert not any(map(alive, pids))


def test_controllers_end_when_the_block_is_left_by_an_error() -> None:
    pids = []
    with Discovery() as discovery, pytest.raises(ZeroDivisionError):
        discovery.change([ENTRY])
        with real_controllers(SETTINGS, list(discovery.open(["one"]).values()), [1]) as controllers:
            pids += [one.pid for one in controllers]
            raise ZeroDivisionError
    assert pids and not any(map(alive, pids))


def test_a_controller_with_an_invalid_configuration_is_not_ready(tmp_path: Path) -> None:
    path = tmp_path / "configuration.json"
    path.write_text("{}")
    with RealController(path) as controller, pytest.raises(NotReadyError, match="settings"):
        controller.wait_ready()


def test_a_controller_that_died_has_no_figures_and_ending_it_again_does_nothing() -> None:
    with Discovery() as discovery:
        discovery.change([ENTRY])
        with real_controllers(SETTINGS, list(discovery.open(["one"]).values()), [1]) as (controller,):
            controller.process.kill()
            controller.process.wait()
            with pytest.raises(OSError):
                controller.core_seconds()
            assert not controller.running


def test_a_process_that_ignores_sigterm_is_killed() -> None:
    program = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); print(); time.sleep(60)"
    with ChildProcess([sys.executable, "-u", "-c", program], pipes=True) as process:
        process.process.stdout.readline()
        pid = process.pid
    assert not alive(pid)


def test_children_end_when_their_parent_is_killed() -> None:
    program = (
        "import sys, time\n"
        "from oatcart.scale.discovery import Discovery\n"
        "from oatcart.scale.children import ChildProcess\n"
        "discovery = Discovery()\n"
        "sleeper = ChildProcess([sys.executable, '-c', 'import time; time.sleep(60)'])\n"
        "print(discovery.pid, sleeper.pid, flush=True)\n"
        "time.sleep(60)\n"
    )
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE) as parent:
        pids = [int(word) for word in parent.stdout.readline().split()]
        assert all(map(alive, pids))
        parent.kill()
    wait_until(lambda: not any(map(alive, pids)), f"{pids} outlive their parent")


def test_a_child_ignores_an_interrupt_and_leaves_it_to_its_parent() -> None:
    with Child("oatcart.scale.discovery") as child:
        child.ask("figures")
        os.kill(child.pid, signal.SIGINT)
        assert child.ask("figures")["clients"] == {}


def test_processor_time_includes_running_and_ended_threads() -> None:
    before = core_seconds(os.getpid())
    threads = [threading.Thread(target=sum, args=(range(6_000_000),)) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert core_seconds(os.getpid()) - before > 0.1


def test_figures_of_this_process_can_be_read() -> None:
    before = core_seconds(os.getpid())
    sum(range(2_000_000))
    assert core_seconds(os.getpid()) > before
    assert resident_megabytes(os.getpid()) > 5


@pytest.mark.parametrize("routes", [0, MAX_ROUTES + 1])
def test_invalid_numbers_of_routes_are_rejected(routes: int) -> None:
    with pytest.raises(ValueError, match="routes"):
        controller_settings(["a"], routes, 2)
