"""Probes: one call to a node, whose ending is its outcome."""

from collections.abc import Callable, Generator

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.events import HealthCheckCompleted
from oatcart.handover import load
from oatcart.model import HealthCheckOutcome, LoadReport
from oatcart.net.codec import HEALTH_PATH, LOAD_PATH, parsed
from oatcart.net.http_client import HttpClient
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Address

# What a probe that ended so has shown of its node; no room here is not the node's fault
PROBE_OUTCOMES = {
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
# at a time, each a descriptor while there are any left; a round asks for one a withdrawn node
PROBES_MOST = 64


class Prober:
    def __init__(
        self,
        loop: Loop,
        reports: bool,
        within: float,
        addresses: dict[int, Address],
        arrive: Callable[[tuple], None],
    ) -> None:
        self.loop, self.reports, self.within = loop, reports, within
        self.addresses, self.arrive = addresses, arrive
        self.under_way = 0

    def probe(self, node: int) -> None:
        self.loop.spawn(self._probe(node))

    def _probe(self, node: int) -> Generator[Wait, bool, None]:
        """The life of a probe: dial, ask, and tell the module how it ended. Where the node has another
        address by then, or its number is another's, it has shown nothing of who is there now."""
        address = self.addresses.get(node)
        began, told, reason = self.loop.now, LoadReport(), CloseReason.COMPLETED
        self.under_way += 1
        try:
            if (
                self.under_way > PROBES_MOST
                or self.loop.connections >= self.loop.connection_limit
                or address is None
            ):
                raise ConnectionClosedError(CloseReason.OUT_OF_RESOURCES)
            client = HttpClient(self.loop, address)
            try:
                body = yield from client.get(LOAD_PATH if self.reports else HEALTH_PATH, began + self.within)
            finally:
                client.close()
            told = load(parsed(body)) if self.reports and body else told
        except ConnectionClosedError as ended:
            reason = ended.reason
        finally:
            self.under_way -= 1
        if self.addresses.get(node) == address:
            self.arrive(HealthCheckCompleted(node, PROBE_OUTCOMES[reason], self.loop.now - began, told))
