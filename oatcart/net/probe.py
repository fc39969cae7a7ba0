"""Probes: one call to a node, whose ending is its outcome."""

from collections.abc import Callable, Generator

from oatcart.events import HealthCheckCompleted
from oatcart.load_reports import read_load_report
from oatcart.model import LoadReport
from oatcart.net.codec import HEALTH_PATH, LOAD_PATH, parsed
from oatcart.net.ending import PROBE_OUTCOMES, Ended, Ending
from oatcart.net.http import Client
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Address

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
        began, told, ending = self.loop.now, LoadReport(), Ending.DONE
        self.under_way += 1
        try:
            if self.under_way > PROBES_MOST or self.loop.open >= self.loop.open_most or address is None:
                raise Ended(Ending.CROWDED)
            client = Client(self.loop, address)
            try:
                body = yield from client.get(LOAD_PATH if self.reports else HEALTH_PATH, began + self.within)
            finally:
                client.close()
            told = read_load_report(parsed(body)) if self.reports and body else told
        except Ended as ended:
            ending = ended.ending
        finally:
            self.under_way -= 1
        if self.addresses.get(node) == address:
            self.arrive(HealthCheckCompleted(node, PROBE_OUTCOMES[ending], self.loop.now - began, told))
