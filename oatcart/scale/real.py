"""Real controllers: processes of `python -m oatcart`, started as `run` in deploy/balancer.toml starts them.

Each controller has its own configuration file and is ended with SIGTERM. It counts as started once it has
answered `pong`. Its processor time and memory are read from /proc; its bytes and messages are counted by the
stand-ins for discovery and the peers.
"""

import json
import re
import select
import socket
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from oatcart.errors import OatcartError
from oatcart.scale.children import ChildProcess
from oatcart.scale.discovery import LOOPBACK
from oatcart.scale.interrupts import sleep

CONTROLLER_COMMAND = sys.executable, "-m", "oatcart"  # what `run` of deploy/balancer.toml executes
CONFIG_VARIABLE = "EDGE_CONFIG"
DESCRIPTOR_LIMIT = 256  # a controller's `limits.sockets`
READY_WITHIN_S = 30.0  # from start to pong; reading tens of megabytes of configuration takes longest
POLL_INTERVAL_S = 0.005
PONG_WITHIN_S = 5.0
_LISTENING_LINE = re.compile(rf"listens at {re.escape(LOOPBACK)}:(\d+)")


class NotReadyError(OatcartError):
    """A process ended early, or did not reach an expected state within the time limit."""


def write_configuration(path: Path, name: str, settings: Mapping, discovery_port: int, seed: int) -> None:
    """Writes a controller's configuration file; its port 0 lets the system choose one."""
    path.write_text(
        json.dumps(
            {
                "name": name,
                "listen": f"{LOOPBACK}:0",
                "discovery": f"{LOOPBACK}:{discovery_port}",
                "seed": f"{seed:x}",
                "limits": {"cores": 1.0, "memory_mb": 256, "sockets": DESCRIPTOR_LIMIT},
                "settings": settings,
            }
        )
    )


class RealController(ChildProcess):
    """One controller process; `port` and `ready_after_s` are set once `wait_ready` has returned."""

    def __init__(self, configuration: Path) -> None:
        super().__init__(CONTROLLER_COMMAND, {CONFIG_VARIABLE: str(configuration)})
        self.port = 0
        self.ready_after_s = 0.0

    def wait_ready(self) -> None:
        """Waits for the first `pong`; raises NotReadyError."""
        until = self.started_at + READY_WITHIN_S
        while not (listening := _LISTENING_LINE.search(self.error_text())):
            if not self.running or time.monotonic() > until:
                raise NotReadyError(
                    f"controller not ready: exit code {self.process.poll()}: {self.error_text()}"
                )
            sleep(POLL_INTERVAL_S)
        self.port = int(listening[1])
        self._ping()
        self.ready_after_s = time.monotonic() - self.started_at

    def _ping(self) -> None:
        try:
            with socket.create_connection((LOOPBACK, self.port), PONG_WITHIN_S) as connection:
                connection.sendall(b'{"msg":"ping"}\n')
                readable, _, _ = select.select([connection], [], [], PONG_WITHIN_S)
                if not readable or b"pong" not in connection.recv(64):
                    raise NotReadyError("controller did not answer pong")
        except OSError as error:
            raise NotReadyError(f"controller did not answer pong: {error}") from None


@contextmanager
def real_controllers(
    settings: Mapping, ports: Sequence[int], seeds: Sequence[int]
) -> Iterator[list[RealController]]:
    """Starts a controller for each port of discovery; ends all of them when the block is left.

    Waits until each answers `pong`; raises NotReadyError.
    """
    with TemporaryDirectory() as directory, ExitStack() as running:
        controllers = []
        for index, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            path = Path(directory, f"conductor-{index}.json")
            write_configuration(path, f"conductor-{index}", settings, port, seed)
            controllers.append(running.enter_context(RealController(path)))
        for controller in controllers:
            controller.wait_ready()
        yield controllers
