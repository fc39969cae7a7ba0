"""Signals at the points of a conductor's life where they cross something: struck by the process itself, so
never by chance.
"""

import json
import os
import signal
import subprocess
import sys

import pytest
from controller_process import CONFIG, ROOT

STRUCK = """
import builtins, os, runpy, signal, socket, sys
point, number = sys.argv[1], int(sys.argv[2])
del sys.argv[1:]
struck = []

def strike():
    if not struck:
        struck.append(point)
        os.kill(os.getpid(), number)

def before(owner, name):
    usual = getattr(owner, name)
    setattr(owner, name, lambda *args, **more: (strike(), usual(*args, **more))[1])

if point == "an import":
    usual = builtins.__import__
    def imports(name, *args, **more):
        if name == "oatcart.policy":
            strike()
        return usual(name, *args, **more)
    builtins.__import__ = imports
elif point == "the file":
    import json
    before(json, "load")
elif point == "listening":
    before(socket.socket, "listen")
elif point == "a round":
    from oatcart import policy
    before(policy.Controller, "check")
elif point == "telling":
    from oatcart.net import rounds
    before(rounds.Rounds, "_send_updates")
runpy.run_module("oatcart", run_name="__main__")
"""
POINTS = "an import", "the file", "listening", "a round", "telling"


def struck(folder, point, number):
    (folder / "cfg").write_text(json.dumps(CONFIG))
    return subprocess.Popen(
        [sys.executable, "-c", STRUCK, point, str(int(number))],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(folder / "cfg")},
    )


@pytest.mark.parametrize("point", POINTS)
def test_told_to_end_at_any_point_it_ends_with_0_and_says_nothing(tmp_path, point):
    with struck(tmp_path, point, signal.SIGTERM) as one:
        said = one.stderr.read()
        assert one.wait(10) == 0 and "Traceback" not in said and "start:" not in said


@pytest.mark.parametrize("point", POINTS)
def test_told_to_read_again_at_any_point_it_starts_and_reads_once(tmp_path, point):
    """Before the file is read first there is nothing to read again; from then on it is, once the conductor
    serves.
    """
    with struck(tmp_path, point, signal.SIGHUP) as one:
        assert "start: n0 listens" in one.stderr.readline()
        while point != "an import" and not one.stderr.readline().startswith(
            "reload: discovery at 127.0.0.1:1"
        ):
            assert one.poll() is None
        one.send_signal(signal.SIGTERM)
        assert one.wait(10) == 0 and "reload" not in one.stderr.read()
