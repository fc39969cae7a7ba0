"""Real controllers: processes of `python -m oatcart`, started as `run` in deploy/balancer.toml starts them.

Each is given a configuration file of its own and ends by SIGTERM. It counts as started once it has answered
`pong`. Its processor time and memory are read from /proc; its bytes and messages are counted at the stand-
ins.
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

CONTROLLER_COMMAND = sys.executable, "-m", "oatcart"  # what `run` of deploy/balancer.toml executes
CONFIG_VARIABLE = "EDGE_CONFIG"
DESCRIPTOR_LIMIT = 256  # a controller's `limits.sockets`
READY_WITHIN_S = 30.0  # from a start to the pong; the slowest reads a configuration of tens of megabytes
POLL_INTERVAL_S = 0.005
PONG_WITHIN_S = 5.0
_LISTENING_LINE = re.compile(rf"listens at {re.escape(LOOPBACK)}:(\d+)")


class NotReadyError(OatcartError):
    """A controller ended, or did not answer `pong`, within the time allowed."""


def write_configuration(path: Path, name: str, settings: Mapping, discovery_port: int, seed: int) -> None:
    """A controller's configuration file; the controller chooses its port."""
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
    """One controller process; `port` and `ready_after_s` are known once `wait_ready` has returned."""

    def __init__(self, configuration: Path) -> None:
        super().__init__(CONTROLLER_COMMAND, {CONFIG_VARIABLE: str(configuration)})
        self.port = 0
        self.ready_after_s = 0.0

    def wait_ready(self) -> None:
        """Waits for the first `pong`; raises NotReadyError."""
        until = self.started_at + READY_WITHIN_S
        while not (listening := _LISTENING_LINE.search(self.error_text())):
            if not self.running or time.monotonic() > until:
                raise NotReadyError(f"exit code {self.process.poll()}: {self.error_text()}")
            time.sleep(POLL_INTERVAL_S)
        self.port = int(listening[1])
        self._ping()
        self.ready_after_s = time.monotonic() - self.started_at

    def _ping(self) -> None:
        try:
            with socket.create_connection((LOOPBACK, self.port), PONG_WITHIN_S) as connection:
                connection.sendall(b'{"msg":"ping"}\n')
                readable, _, _ = select.select([connection], [], [], PONG_WITHIN_S)
                if not readable or b"pong" not in connection.recv(64):
                    raise NotReadyError("no pong")
        except OSError as error:
            raise NotReadyError(f"no pong: {error}") from None


@contextmanager
def real_controllers(
    settings: Mapping, ports: Sequence[int], seeds: Sequence[int]
) -> Iterator[list[RealController]]:
    """A controller for each of discovery's ports, all answering; all are ended when the block is left."""
    with TemporaryDirectory() as directory, ExitStack() as running:
        controllers = []
        for place, (port, seed) in enumerate(zip(ports, seeds, strict=True)):
            path = Path(directory, f"conductor-{place}.json")
            write_configuration(path, f"conductor-{place}", settings, port, seed)
            controllers.append(running.enter_context(RealController(path)))
        for controller in controllers:
            controller.wait_ready()
        yield controllers
