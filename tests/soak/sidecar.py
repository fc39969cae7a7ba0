"""Proxies and collectors of a run. A proxy keeps its tables across streams and dials again after a break."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable

from soak.controller import SETTINGS, Controller
from soak.fleet import ZONES, Fleet

REDIAL_S = 0.2
REPORT_S = 0.5
LINE_BYTES_MAX = 1024 * 1024
PARTS_MAX = 64
CLASSES = [grade["name"] for grade in SETTINGS["grades"]]
NOT_REPEATABLE = {grade["name"] for grade in SETTINGS["grades"] if grade["idempotency"] == "at_most_once"}
POLICY_ONLY_UNPROCESSED = 1  # the most that a class may be told that must not run twice


class Sidecar:
    """A proxy with a home controller; it tries the others in turn. `since`: s; it is joined and reads."""

    def __init__(self, number: int, fleet: Fleet, controllers: list[Controller]) -> None:
        self.number, self.fleet, self.controllers = number, fleet, controllers
        self.choice = number % len(controllers)
        self.tables: dict[str, dict[str, float]] = {name: {} for name in CLASSES}
        self.ejected: set[str] = set()
        self.since: float | None = None
        self.controller: Controller | None = None
        self.incarnation = 0
        self.is_reading = asyncio.Event()
        self.is_reading.set()
        self.writer: asyncio.StreamWriter | None = None
        self.message_times: deque[float] = deque()
        self.parts = 0
        self.faults: list[str] = []
        self.joins = 0

    async def run(self) -> None:
        """Join, read, and join again, until cancelled."""
        while True:
            controller = self.controllers[self.choice % len(self.controllers)]
            try:
                reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", controller.port, limit=2 * LINE_BYTES_MAX
                )
                await self._join(controller, reader)
            except OSError:
                pass
            finally:
                self.since = None
                if self.writer is not None:
                    self.writer.close()
            self.choice += 1
            await asyncio.sleep(REDIAL_S)

    async def _join(self, controller: Controller, reader: asyncio.StreamReader) -> None:
        standing = not any(self.tables.values())
        zone = ZONES[self.number % len(ZONES)]
        self.send("joined", sidecar=self.number, az=zone, share=10.0, standing=standing)
        self.controller, self.incarnation, self.since = controller, controller.incarnation, time.monotonic()
        self.message_times.clear()
        self.joins += 1
        reports = asyncio.create_task(self._report())
        try:
            while line := await reader.readline():
                if not self.is_reading.is_set():
                    await self.is_reading.wait()
                    self.since = time.monotonic()
                self._take(line)
        except (ConnectionError, ValueError):
            pass
        finally:
            reports.cancel()

    def send(self, message: str, **fields: object) -> None:
        """Send a message; nothing where the stream is closed."""
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(json.dumps({"msg": message} | fields).encode() + b"\n")

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            for name in CLASSES:
                self.send("usage", sidecar=self.number, kind=name, n=5, bad=0, window=REPORT_S * 1000)

    def cut(self) -> None:
        """Reset the stream."""
        if self.writer is not None:
            self.writer.transport.abort()

    def garble(self) -> None:
        """Send what cannot be read; the stream counts as left from here on."""
        if self.writer is not None and not self.writer.is_closing():
            self.since = None
            self.writer.write(b'{"msg":"applied","sidecar":]}\n')

    def _take(self, line: bytes) -> None:
        if len(line) > LINE_BYTES_MAX:
            self.faults.append(f"a message of {len(line)} bytes")
        update = json.loads(line)
        if update.get("msg") != "update":
            return
        self._check(update)
        self._apply(update)
        self.parts += 1
        if self.parts > PARTS_MAX:
            self.faults.append("more than 64 parts")
        if not update.get("continued"):
            self.parts = 0
            self._count_message()
        if "nonce_out" in update:
            self.send("applied", sidecar=self.number, version=update["nonce_out"], lag_ms=1.0)

    def _apply(self, update: dict) -> None:
        for name in update.get("routes", CLASSES):
            table = {} if update.get("full") else dict(self.tables[name])
            table |= dict(update.get("endpoints", []))
            self.tables[name] = {endpoint: weight for endpoint, weight in table.items() if weight > 0}
        self.ejected |= set(update.get("eject", []))
        self.ejected -= set(update.get("restore", []))

    def _check(self, update: dict) -> None:
        listed = {endpoint.name for endpoint in self.fleet.endpoints}
        lines = update.get("endpoints", [])
        named = {name for name, _ in lines} | set(update.get("eject", [])) | set(update.get("restore", []))
        if named - listed or any(weight < 0 for _, weight in lines):
            self.faults.append(f"an update that cannot be used: {update}")
        routes = set(update.get("routes", CLASSES))
        if routes - set(CLASSES):
            self.faults.append(f"an unknown class: {update}")
        if routes & NOT_REPEATABLE and update.get("policy", 0) > POLICY_ONLY_UNPROCESSED:
            self.faults.append(f"rule 2: a class that must not run twice may be retried: {update}")

    def _count_message(self) -> None:
        limits = SETTINGS["specifics"]
        now = time.monotonic()
        self.message_times.append(now)
        while self.message_times[0] < now - limits["updateWindow"] / 1000:
            self.message_times.popleft()
        if len(self.message_times) > limits["messagesMost"]:
            self.faults.append(f"rule 5: {len(self.message_times)} messages in the window")

    def usable(self, name: str) -> dict[str, float]:
        """The endpoints that it may send requests of a class to, with their weights."""
        return {one: weight for one, weight in self.tables[name].items() if one not in self.ejected}


async def collect(zone: str, fleet: Fleet, controller: Controller, is_cut: Callable[[], bool]) -> None:
    """A collector of a zone at one controller: reports what its proxies met, until cancelled."""
    while True:
        writer = None
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", controller.port)
            writer.write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
            while not is_cut():
                for endpoint in fleet.endpoints:
                    writer.write(json.dumps(_heard(zone, endpoint)).encode() + b"\n")
                await writer.drain()
                await asyncio.sleep(REPORT_S)
        except OSError:
            pass
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(REDIAL_S)


def _heard(zone: str, endpoint) -> dict:
    return {
        "msg": "heard",
        "az": zone,
        "host": endpoint.name,
        "n": 20,
        "bad": 0 if endpoint.is_healthy else 20,
        "avg": 40.0,
        "window": REPORT_S * 1000,
        "report": {"inflight": 2, "queue": 0, "util": 0.4},
    }
