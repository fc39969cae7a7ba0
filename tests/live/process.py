"""Conductor processes of the tests: `python -m oatcart` as it is deployed, on a port of loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Self

from live.discovery import LOOPBACK, listed
from live.waiting import PATIENCE
from oatcart.scale.ports import free_ports

ROOT = Path(__file__).parent.parent.parent

SETTINGS = {
    "grades": [{"name": "lookup", "aim": 500.0}],
    "zones": ["a"],
    "quantum": 2.0,
    "membershipMode": "subscribe",
    "rules": {"askWithin": 2000.0},
    "specifics": {"proxyCount": 64, "pushRate": 3000.0, "period": 1000.0},
}


@dataclass(slots=True)
class Conductor:
    """A conductor process with a configuration file of its own in `folder`."""

    folder: Path
    name: str = "n0"
    discovery: str = f"{LOOPBACK}:1"  # nobody listens there
    known: dict | None = field(default_factory=lambda: listed([]))
    settings: dict = field(default_factory=lambda: SETTINGS)
    sockets: int = 256
    port: int = 0
    process: subprocess.Popen | None = None

    def write(self) -> None:
        """The configuration as it stands; a running process reads it again at SIGHUP."""
        table = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": self.discovery,
            "seed": "8c1f",
            "limits": {"sockets": self.sockets},
            "settings": self.settings,
        }
        self._file().write_text(json.dumps(table | ({} if self.known is None else {"known": self.known})))

    def start(self, log: int = subprocess.PIPE) -> Self:
        """Start the process with its log on a pipe of ours; it is ready once `ready` returns."""
        self.port = self.port or free_ports(1)[0]
        self.write()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oatcart"],
            cwd=ROOT,
            stderr=log,
            text=True,
            env=os.environ | {"EDGE_CONFIG": str(self._file())},
        )
        return self

    def ready(self) -> Self:
        """Wait for the line of a start that has listened."""
        line = self.process.stderr.readline()
        assert line.startswith(f"start: {self.name} listens at {LOOPBACK}:{self.port}"), line
        return self

    def listens(self) -> bool:
        """Whether it takes connections; for a log that cannot be read."""
        with socket.socket() as sock:
            return sock.connect_ex((LOOPBACK, self.port)) == 0

    def send(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL) -> int:
        """End the process; its exit code."""
        self.process.send_signal(number)
        code = self.process.wait(PATIENCE)
        if self.process.stderr is not None:
            self.process.stderr.close()
        return code

    def __enter__(self) -> Self:
        return self.start().ready()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.process.returncode is None:
            self.end()

    def _file(self) -> Path:
        return self.folder / f"{self.name}.json"
