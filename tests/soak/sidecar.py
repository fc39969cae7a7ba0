"""Proxies and collectors of a run. A proxy keeps its tables when it reconnects."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable

from soak.controller import SETTINGS, Controller
from soak.fleet import ZONES, Fleet

RECONNECT_DELAY_S = 0.2
REPORT_PERIOD_S = 0.5
MAX_LINE_BYTES = 1024 * 1024
MAX_UPDATE_PARTS = 64
REQUEST_CLASSES = [request_class["name"] for request_class in SETTINGS["grades"]]
NON_IDEMPOTENT_CLASSES = {
    request_class["name"]
    for request_class in SETTINGS["grades"]
    if request_class["idempotency"] == "at_most_once"
}
RETRY_IF_NOT_PROCESSED = 1  # the highest retry policy that a non-idempotent class may have


class Proxy:
    """A proxy that connects to its first controller, and to the next one each time the stream ends.

    `since`: monotonic s; it has joined and been reading.
    """

    def __init__(self, number: int, fleet: Fleet, controllers: list[Controller]) -> None:
        self.number, self.fleet, self.controllers = number, fleet, controllers
        self.controller_index = number % len(controllers)
        self.tables: dict[str, dict[str, float]] = {name: {} for name in REQUEST_CLASSES}
        self.ejected: set[str] = set()
        self.since: float | None = None
        self.controller: Controller | None = None
        self.incarnation = 0
        self.is_reading = asyncio.Event()
        self.is_reading.set()
        self.writer: asyncio.StreamWriter | None = None
        self.message_times: deque[float] = deque()
        self.parts = 0
        self.failures: list[str] = []
        self.joins = 0

    async def run(self) -> None:
        """Join, read updates and join again when the stream ends, until cancelled."""
        while True:
            controller = self.controllers[self.controller_index % len(self.controllers)]
            try:
                reader, self.writer = await asyncio.open_connection(
                    "127.0.0.1", controller.port, limit=2 * MAX_LINE_BYTES
                )
                await self._join(controller, reader)
            except OSError:
                pass
            finally:
                self.since = None
                if self.writer is not None:
                    self.writer.close()
            self.controller_index += 1
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _join(self, controller: Controller, reader: asyncio.StreamReader) -> None:
        unconfigured = not any(self.tables.values())
        zone = ZONES[self.number % len(ZONES)]
        self.send("joined", sidecar=self.number, az=zone, share=10.0, standing=unconfigured)
        self.controller, self.incarnation, self.since = controller, controller.incarnation, time.monotonic()
        self.message_times.clear()
        self.joins += 1
        reporting = asyncio.create_task(self._report())
        try:
            while line := await reader.readline():
                if not self.is_reading.is_set():
                    await self.is_reading.wait()
                    self.since = time.monotonic()
                self._handle_line(line)
        except (ConnectionError, ValueError):
            pass
        finally:
            reporting.cancel()

    def send(self, message: str, **fields: object) -> None:
        """Send a message; no effect where the stream is closed."""
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(json.dumps({"msg": message} | fields).encode() + b"\n")

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            for name in REQUEST_CLASSES:
                self.send("usage", sidecar=self.number, kind=name, n=5, bad=0, window=REPORT_PERIOD_S * 1000)

    def cut(self) -> None:
        """Reset the stream."""
        if self.writer is not None:
            self.writer.transport.abort()

    def send_malformed_message(self) -> None:
        """Send a malformed message; the proxy counts as disconnected, as the controller closes the stream."""
        if self.writer is not None and not self.writer.is_closing():
            self.since = None
            self.writer.write(b'{"msg":"applied","sidecar":]}\n')

    def _handle_line(self, line: bytes) -> None:
        if len(line) > MAX_LINE_BYTES:
            self.failures.append(f"a message exceeds the limit of 1 MiB: {len(line)} bytes")
        update = json.loads(line)
        if update.get("msg") != "update":
            return
        self._check_update(update)
        self._apply_update(update)
        self.parts += 1
        if self.parts > MAX_UPDATE_PARTS:
            self.failures.append("an update has more than 64 parts")
        if not update.get("continued"):
            self.parts = 0
            self._count_message()
        if "nonce_out" in update:
            self.send("applied", sidecar=self.number, version=update["nonce_out"], lag_ms=1.0)

    def _apply_update(self, update: dict) -> None:
        for name in update.get("routes", REQUEST_CLASSES):
            table = {} if update.get("full") else dict(self.tables[name])
            table |= dict(update.get("endpoints", []))
            self.tables[name] = {endpoint: weight for endpoint, weight in table.items() if weight > 0}
        self.ejected |= set(update.get("eject", []))
        self.ejected -= set(update.get("restore", []))

    def _check_update(self, update: dict) -> None:
        listed = {endpoint.name for endpoint in self.fleet.endpoints}
        weights = update.get("endpoints", [])
        named = {name for name, _ in weights} | set(update.get("eject", [])) | set(update.get("restore", []))
        if named - listed or any(weight < 0 for _, weight in weights):
            self.failures.append(f"an update has an unknown endpoint or a negative weight: {update}")
        routes = set(update.get("routes", REQUEST_CLASSES))
        if routes - set(REQUEST_CLASSES):
            self.failures.append(f"an update has an unknown request class: {update}")
        if routes & NON_IDEMPOTENT_CLASSES and update.get("policy", 0) > RETRY_IF_NOT_PROCESSED:
            self.failures.append(
                f"rule 2: a non-idempotent class may be retried after it was processed: {update}"
            )

    def _count_message(self) -> None:
        limits = SETTINGS["specifics"]
        now = time.monotonic()
        self.message_times.append(now)
        while self.message_times[0] < now - limits["updateWindow"] / 1000:
            self.message_times.popleft()
        if len(self.message_times) > limits["messagesMost"]:
            self.failures.append(
                f"rule 5: {len(self.message_times)} messages in the window exceed the message cap"
            )

    def usable(self, name: str) -> dict[str, float]:
        """Return the weights of the endpoints that it may send requests of a class to."""
        return {
            endpoint: weight for endpoint, weight in self.tables[name].items() if endpoint not in self.ejected
        }


async def collect(zone: str, fleet: Fleet, controller: Controller, is_cut: Callable[[], bool]) -> None:
    """Connect to a controller as the collector of a zone and send load reports, until cancelled."""
    while True:
        writer = None
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", controller.port)
            writer.write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
            while not is_cut():
                for endpoint in fleet.endpoints:
                    writer.write(json.dumps(_endpoint_report(zone, endpoint)).encode() + b"\n")
                await writer.drain()
                await asyncio.sleep(REPORT_PERIOD_S)
        except OSError:
            pass
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(RECONNECT_DELAY_S)


def _endpoint_report(zone: str, endpoint) -> dict:
    return {
        "msg": "heard",
        "az": zone,
        "host": endpoint.name,
        "n": 20,
        "bad": 0 if endpoint.is_healthy else 20,
        "avg": 40.0,
        "window": REPORT_PERIOD_S * 1000,
        "report": {"inflight": 2, "queue": 0, "util": 0.4},
    }
