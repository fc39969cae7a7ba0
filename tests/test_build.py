"""`build` of the deploy file leaves the environment of `run` and `sim` complete, or none."""

import os
import shutil
import signal
import subprocess
import time
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
BUILD = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
BUILD_TIMEOUT_S = 300


@pytest.fixture
def checkout(tmp_path):
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    return tmp_path


def start_build(checkout):
    return subprocess.Popen(["/bin/sh", "-c", BUILD], cwd=checkout, start_new_session=True)


def run_dependencies_import(checkout):
    python = checkout / ".venv" / "bin" / "python"
    return subprocess.run([python, "-c", "import h11, orjson"]).returncode == 0


def test_builds_that_start_together_all_succeed(checkout):
    # Guards against a build that takes the environment that another build is still making for a complete one.
    builds = [start_build(checkout)]
    time.sleep(0.2)
    builds += [start_build(checkout), start_build(checkout)]
    assert [build.wait(BUILD_TIMEOUT_S) for build in builds] == [0, 0, 0]
    assert run_dependencies_import(checkout)
    pip = subprocess.run([checkout / ".venv" / "bin" / "pip", "--version"], capture_output=True, text=True)
    assert str(checkout / ".venv") in pip.stdout
    assert not list(checkout.glob(".venv-*"))


@pytest.mark.parametrize("delay", [1.0, 3.0])
def test_a_build_after_a_killed_one_succeeds(checkout, delay):
    # Guards against later builds taking what a killed build left for a complete environment.
    killed = start_build(checkout)
    time.sleep(delay)
    environment_was_there = (checkout / ".venv" / "bin" / "python").exists()
    os.killpg(killed.pid, signal.SIGKILL)
    killed.wait()
    assert not environment_was_there or run_dependencies_import(checkout)
    assert start_build(checkout).wait(BUILD_TIMEOUT_S) == 0
    assert run_dependencies_import(checkout)


def test_an_environment_without_pip_is_replaced(checkout):
    # Guards against an environment with an interpreter and no pip, which earlier builds left when killed.
    subprocess.run(["python3", "-m", "venv", "--without-pip", checkout / ".venv"], check=True)
    assert start_build(checkout).wait(BUILD_TIMEOUT_S) == 0
    assert run_dependencies_import(checkout)


def test_a_failed_build_prints_an_error_and_leaves_no_environment(checkout):
    (checkout / "requirements.txt").write_text("no-such-package-of-oatcart==0\n")
    build = subprocess.run(["/bin/sh", "-c", BUILD], cwd=checkout, capture_output=True, text=True)
    assert build.returncode == 1 and build.stderr.startswith("build: pip ended with")
    assert not (checkout / ".venv").exists()
