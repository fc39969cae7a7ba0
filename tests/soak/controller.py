"""A controller process, run as it is deployed: started, signalled, killed and restarted."""

import asyncio
import json
import os
import re
import signal
import sys
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from soak.discovery import Discovery
from soak.fleet import Fleet
from soak.plan import KILL_AFTER_S, PROXIES, XDS_CLIENTS

ROOT = Path(__file__).parents[2]
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
LOG_LINE = re.compile(r"(start|loop|acceptor|reload|invalid|stream|discovery|note|xds|push|refused|odd): ")
MAX_DESCRIPTORS = 256
READY_TIMEOUT_S = 30.0

SETTINGS = {
    "membershipMode": "subscribe",
    "quantum": 2.0,
    "zones": ["east", "west"],
    "grades": [
        {"name": "lookup", "worth": 1.0, "aim": 500.0, "idempotency": "idempotent"},
        {"name": "order", "worth": 3.0, "aim": 1000.0, "idempotency": "at_most_once"},
    ],
    "balancers": 2,
    "policyLimits": {"probes": True, "connectTimeout": 250.0},
    "rules": {
        "askWithin": 4000.0,
        "cold": 3000.0,
        "coldShare": 0.2,
        "tipMultiple": 4.0,
        "stopSendingWithin": 2000.0,
    },
    "specifics": {
        "proxyCount": PROXIES,
        "period": 500.0,
        "pushRate": 3000.0,
        "envelope": 4.0,
        "queueCap": 4500.0,
        "messagesMost": 24,
        "updateWindow": 10000.0,
        "emptyFor": 2000.0,
        "admit": "fraction",
    },
}


class Controller:
    """A controller process and its discovery service; `failures`: messages on what went wrong with it."""

    def __init__(self, number: int, folder: Path, fleet: Fleet, port: int) -> None:
        self.number, self.folder, self.fleet, self.port = number, folder, fleet, port
        self.xds_port: int | None = None
        self.xds_pushes = 0
        self.discovery = Discovery(fleet)
        self.discovery_address = 0
        self.reloaded_at = 0.0  # monotonic s; when the last complete configuration was signalled
        self.process: asyncio.subprocess.Process | None = None
        self.ready_at = float("inf")
        self.incarnation = 0
        self.log: list[str] = []
        self.failures: list[str] = []
        self.is_ending = False
        self.log_task: asyncio.Task | None = None
        self.descriptors_at_start = 0
        self.resident_kb_at_start = 0

    def serve_xds(self, port: int, pushes: int) -> None:
        """Let it serve xDS clients too, with a budget of `pushes` a second."""
        self.xds_port, self.xds_pushes = port, pushes

    def write_configuration(self) -> None:
        """Write the configuration, which a running process reads on SIGHUP."""
        configuration = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.ports[self.discovery_address]}",
            "seed": f"{self.incarnation + 1:x}",
            "limits": {"sockets": MAX_DESCRIPTORS},
            "known": self.fleet.complete_list(),
            "settings": SETTINGS,
        }
        (self.folder / f"n{self.number}.json").write_text(json.dumps(configuration))
        if self.xds_port is not None:
            (self.folder / "xds.yaml").write_text(
                f"listen: 127.0.0.1:{self.xds_port}\nclients: {XDS_CLIENTS}\npushes: {self.xds_pushes}\n"
            )

    def command(self) -> str:
        """Return the shell command that starts it."""
        program = f"{sys.executable} -m oatcart"
        if self.xds_port is not None:
            program += f".xds {self.folder / 'xds.yaml'}"
        return RUN_COMMAND.replace(".venv/bin/python -m oatcart", program)

    async def start(self) -> None:
        """Start the process and wait until it answers a ping."""
        self.is_ending = False
        self.discovery.sent_revisions = []
        self.write_configuration()
        self.process = await asyncio.create_subprocess_shell(
            self.command(),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"EDGE_CONFIG": str(self.folder / f"n{self.number}.json")},
        )
        self.incarnation += 1
        self.log_task = asyncio.create_task(self._read_log(self.process))
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        process = self.process
        while time.monotonic() < deadline and process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b'{"msg":"ping"}\n')
                reply = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if reply:
                    self.ready_at = time.monotonic()
                    self.descriptors_at_start = self.descriptor_count()
                    self.resident_kb_at_start = self.resident_kb()
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        if not self.is_ending:
            self.failures.append(f"n{self.number} did not become ready, exit code {process.returncode}")

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stderr.readline()).decode(errors="replace").rstrip():
            self.log.append(line)
            if not LOG_LINE.match(line):
                self.failures.append(f"n{self.number}: unexpected log line {line!r}")

    def signal(self, signal_number: int) -> None:
        """Send a signal, if the process runs and the shell has been replaced by the controller."""
        if self.process is not None and self.process.returncode is None and not self._is_shell():
            # not process.send_signal, which polls and so may collect the exit code that another task awaits
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    def _is_shell(self) -> bool:
        try:
            return Path(f"/proc/{self.process.pid}/comm").read_text().strip() == "sh"
        except OSError:  # the process has just ended
            return False

    async def reload_repeatedly(self, count: int) -> None:
        """Move discovery and send SIGHUP several times within ms, first with the file half written."""
        self.discovery_address = 1 - self.discovery_address
        path = self.folder / f"n{self.number}.json"
        text = path.read_text()
        path.write_text(text[: len(text) // 2])
        self.signal(signal.SIGHUP)
        await asyncio.sleep(0.002)
        self.write_configuration()
        for _ in range(count):
            self.signal(signal.SIGHUP)
            await asyncio.sleep(0.001)
        self.reloaded_at = time.monotonic()

    async def restart(self, *signals: int) -> None:
        """Send signals, then SIGKILL as early as the protocol allows, and start the process again."""
        if self.is_ending:
            return
        self.is_ending = True
        process = self.process
        for signal_number in signals:
            self.signal(signal_number)
            await asyncio.sleep(0.002)
        if signal.SIGKILL not in signals:
            await asyncio.sleep(KILL_AFTER_S)
            self.signal(signal.SIGKILL)
        self.ready_at = float("inf")
        code = await process.wait()
        await self.log_task
        if code != 0 and signal.SIGKILL not in signals:
            self.failures.append(f"n{self.number}: expected exit code 0 after {signals}, got {code}")
        await self.start()

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and check its exit code."""
        self.is_ending = True
        self.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.process.wait(), READY_TIMEOUT_S)
        finally:
            self.signal(signal.SIGKILL)
        await self.log_task
        if code != 0:
            self.failures.append(f"n{self.number}: expected exit code 0 at the end of the run, got {code}")

    def descriptor_count(self) -> int:
        """Return the number of descriptors that it has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def resident_kb(self) -> int:
        """Return its resident memory in KB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status)[1])
