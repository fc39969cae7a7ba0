"""Controller processes for tests: `python -m oatcart` as deployed, on a loopback port."""

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

from live.discovery import LOOPBACK, endpoint_list
from live.waiting import TIMEOUT_S
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
class ControllerProcess:
    """A controller process with its own configuration file in `folder`."""

    folder: Path
    name: str = "n0"
    discovery: str = f"{LOOPBACK}:1"  # nothing listens there
    known: dict | None = field(default_factory=lambda: endpoint_list([]))
    settings: dict = field(default_factory=lambda: SETTINGS)
    max_descriptors: int = 256
    port: int = 0
    process: subprocess.Popen | None = None

    def write_configuration(self) -> None:
        """Writes the configuration file, which a running process reloads at SIGHUP."""
        table = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": self.discovery,
            "seed": "8c1f",
            "limits": {"sockets": self.max_descriptors},
            "settings": self.settings,
        }
        if self.known is not None:
            table["known"] = self.known
        self.configuration_path().write_text(json.dumps(table))

    def start(self, log: int = subprocess.PIPE) -> Self:
        """Starts the process with its log on a pipe or on the descriptor `log`."""
        self.port = self.port or free_ports(1)[0]
        self.write_configuration()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oatcart"],
            cwd=ROOT,
            stderr=log,
            text=True,
            env=os.environ | {"EDGE_CONFIG": str(self.configuration_path())},
        )
        return self

    def wait_until_ready(self) -> Self:
        """Waits for the log line that says that it listens."""
        line = self.process.stderr.readline()
        assert line.startswith(f"start: {self.name} listens at {LOOPBACK}:{self.port}"), line
        return self

    def accepts_connections(self) -> bool:
        """Returns whether it accepts connections; for tests that cannot read its log."""
        with socket.socket() as sock:
            return sock.connect_ex((LOOPBACK, self.port)) == 0

    def send_signal(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def stop(self, number: int = signal.SIGKILL) -> int:
        """Sends a signal and returns the exit code."""
        self.process.send_signal(number)
        code = self.process.wait(TIMEOUT_S)
        if self.process.stderr is not None:
            self.process.stderr.close()
        return code

    def __enter__(self) -> Self:
        return self.start().wait_until_ready()

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.process.returncode is None:
            self.stop()

    def configuration_path(self) -> Path:
        """Returns the path of the configuration file."""
        return self.folder / f"{self.name}.json"
