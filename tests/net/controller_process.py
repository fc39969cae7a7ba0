"""Controller processes for tests of their start, their end and their configuration."""

import json
import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent

CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "peers": [],
    "limits": {"sockets": 256},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": {
        "grades": [{"name": "lookup", "aim": 500.0}],
        "zones": ["a"],
        "quantum": 2.0,
        "specifics": {"proxyCount": 4, "pushRate": 1000.0, "period": 1000.0},
        "membershipMode": "subscribe",
    },
}


@contextmanager
def controller(folder, **changes):
    """Runs a process with some configuration fields changed, or left out if None; kills it at the end."""
    (folder / "cfg").write_text(
        json.dumps({field: value for field, value in (CONFIG | changes).items() if value is not None})
    )
    with subprocess.Popen(
        [sys.executable, "-m", "oatcart"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(folder / "cfg")},
    ) as process:
        try:
            yield process
        finally:
            process.kill()  # a failed test leaves it running


def reloaded(process, folder, text):
    """Makes a process reload a new configuration text; returns the log line about it."""
    (folder / "cfg").write_text(text)
    process.send_signal(signal.SIGHUP)
    while not (line := process.stderr.readline()).startswith("reload: "):
        assert line and not line.startswith("task: ")
    return line
