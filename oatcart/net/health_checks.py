"""Health checks: each is one request to an endpoint; how the request ended is the outcome."""

from collections.abc import Callable, Generator

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.events import HealthCheckCompleted
from oatcart.load_reports import read_load_report
from oatcart.model import HealthCheckOutcome, LoadReport
from oatcart.net.codec import HEALTH_PATH, LOAD_PATH, parse_object
from oatcart.net.http_client import HttpClient
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Address

MAX_CHECKS_AT_ONCE = 64  # each takes a descriptor; a round may start one for each ejected endpoint

# The outcome by how the request ended; a lack of descriptors here shows nothing about the endpoint.
OUTCOMES = {
    CloseReason.COMPLETED: HealthCheckOutcome.PASSED,
    CloseReason.ERROR_RESPONSE: HealthCheckOutcome.FAILED,
    CloseReason.MALFORMED: HealthCheckOutcome.FAILED,
    CloseReason.MESSAGE_TOO_LONG: HealthCheckOutcome.FAILED,
    CloseReason.CLOSED_BY_PEER: HealthCheckOutcome.UNREACHABLE,
    CloseReason.RESET_BY_PEER: HealthCheckOutcome.UNREACHABLE,
    CloseReason.REFUSED: HealthCheckOutcome.UNREACHABLE,
    CloseReason.UNREACHABLE: HealthCheckOutcome.UNREACHABLE,
    CloseReason.TIMED_OUT: HealthCheckOutcome.TIMED_OUT,
    CloseReason.SEND_BUFFER_FULL: HealthCheckOutcome.TIMED_OUT,
    CloseReason.OUT_OF_RESOURCES: HealthCheckOutcome.REJECTED,
}


class HealthChecker:
    """Makes the health checks that the decisions command.

    `with_load`: a load report is requested in place of the plain health check.
    `timeout`: seconds for a check. `addresses`: of endpoints, by number, as the endpoint list keeps them.
    """

    def __init__(
        self,
        loop: Loop,
        with_load: bool,
        timeout: float,
        addresses: dict[int, Address],
        add_event: Callable[[HealthCheckCompleted], None],
    ) -> None:
        self.loop, self.with_load, self.timeout = loop, with_load, timeout
        self.addresses, self.add_event = addresses, add_event
        self.running = 0

    def check(self, endpoint: int) -> None:
        """Start a health check; its outcome is added as an event."""
        self.loop.spawn(self._check(endpoint))

    def _check(self, endpoint: int) -> Generator[Wait, bool, None]:
        """Check an endpoint. No event follows if its address has changed: another process answered."""
        address, started_at = self.addresses.get(endpoint), self.loop.now
        load_report, reason = LoadReport(), CloseReason.COMPLETED
        self.running += 1
        try:
            body = yield from self._call(address, started_at + self.timeout)
            if self.with_load and body:
                load_report = read_load_report(parse_object(body))
        except ConnectionClosedError as error:
            reason = error.reason
        finally:
            self.running -= 1
        if self.addresses.get(endpoint) == address:
            duration = self.loop.now - started_at
            self.add_event(HealthCheckCompleted(endpoint, OUTCOMES[reason], duration, load_report))

    def _call(self, address: Address | None, deadline: float) -> Generator[Wait, bool, memoryview]:
        no_descriptor = self.loop.connections >= self.loop.connection_limit
        if self.running > MAX_CHECKS_AT_ONCE or no_descriptor or address is None:
            raise ConnectionClosedError(CloseReason.OUT_OF_RESOURCES)
        client = HttpClient(self.loop, address)
        try:
            return (yield from client.get(LOAD_PATH if self.with_load else HEALTH_PATH, deadline))
        finally:
            client.close()
