"""Signals at critical points of a controller process, which sends them to itself."""

import json
import os
import signal
import subprocess
import sys
import time
import tomllib

import pytest
from controller_process import CONFIG, ROOT

SELF_SIGNALLING = """
import builtins, os, runpy, signal, socket, sys
point, number = sys.argv[1], int(sys.argv[2])
del sys.argv[1:]
sent = []

def signal_once():
    if not sent:
        sent.append(point)
        os.kill(os.getpid(), number)

def before(owner, name):
    original = getattr(owner, name)
    setattr(owner, name, lambda *args, **more: (signal_once(), original(*args, **more))[1])

if point == "an import":
    original = builtins.__import__
    def imports(name, *args, **more):
        if name == "oatcart.policy":
            signal_once()
        return original(name, *args, **more)
    builtins.__import__ = imports
elif point == "the file":
    import json
    before(json, "load")
elif point == "listening":
    before(socket.socket, "listen")
elif point == "a round":
    from oatcart import policy
    before(policy.Controller, "check")
elif point == "sending updates":
    from oatcart.net import rounds
    before(rounds.Rounds, "_send_updates")
runpy.run_module("oatcart", run_name="__main__")
"""
POINTS = "an import", "the file", "listening", "a round", "sending updates"


def self_signalling(folder, point, number):
    """Starts a controller that sends itself a signal at a point."""
    (folder / "cfg").write_text(json.dumps(CONFIG))
    return subprocess.Popen(
        [sys.executable, "-c", SELF_SIGNALLING, point, str(int(number))],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(folder / "cfg")},
    )


@pytest.mark.parametrize("point", POINTS)
def test_sigterm_at_any_point_ends_with_0(tmp_path, point):
    """The log has neither a traceback nor a `start` line."""
    with self_signalling(tmp_path, point, signal.SIGTERM) as process:
        log = process.stderr.read()
        assert process.wait(10) == 0 and "Traceback" not in log and "start:" not in log


@pytest.mark.parametrize("point", POINTS)
def test_sighup_at_any_point_reloads_once_after_the_start(tmp_path, point):
    """A signal before the file is first read causes no reload."""
    with self_signalling(tmp_path, point, signal.SIGHUP) as process:
        assert "start: n0 listens" in process.stderr.readline()
        while point != "an import" and not process.stderr.readline().startswith(
            "reload: discovery at 127.0.0.1:1"
        ):
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0 and "reload" not in process.stderr.read()


@pytest.mark.parametrize("delay", [0.0, 0.005, 0.02])
def test_sighup_before_the_first_line_of_the_program_does_not_end_it(tmp_path, delay):
    # Guards against a reload signal that ends a process whose interpreter is still starting.
    interpreter = os.path.realpath(sys.executable)
    (tmp_path / "cfg").write_text(json.dumps(CONFIG))
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    with subprocess.Popen(
        ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "cfg")},
    ) as process:
        # Not the name in `comm`: right after Popen returns that may still be the name of this process.
        while os.readlink(f"/proc/{process.pid}/exe") != interpreter:
            time.sleep(0.0005)
        time.sleep(delay)
        process.send_signal(signal.SIGHUP)
        assert "start: n0 listens" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
