"""A command writer that keeps the commands of a round in their stored form."""

from oatcart.commands import CommandWriter
from oatcart.model import RetryPolicy
from oatcart.trace.round_codec import CommandName


class DiscardedCommands(CommandWriter):
    """A command writer that discards all commands: it inherits the empty methods of the protocol."""


class CommandLog(CommandWriter):
    """Stores each command and then passes it on; `stored` holds the commands in the order given."""

    __slots__ = ("_target", "stored")

    def __init__(self, target: CommandWriter | None = None) -> None:
        """Pass commands on to `target`; without one, discard them."""
        self._target = target or DiscardedCommands()
        self.stored: list[tuple] = []

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set the weight of an endpoint in a routing table."""
        self.stored.append((CommandName.SET_WEIGHT, table, endpoint, weight))
        self._target.set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Remove all endpoints from a routing table."""
        self.stored.append((CommandName.CLEAR_TABLE, table))
        self._target.clear_table(table)

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Assign a routing table to a proxy for some request classes."""
        self.stored.append((CommandName.ASSIGN_TABLE, table, proxy, classes))
        self._target.assign_table(table, proxy, classes)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject or restore an endpoint."""
        self.stored.append((CommandName.SET_EJECTED, endpoint, ejected))
        self._target.set_ejected(endpoint, ejected)

    def send_ejections(self, proxy: int) -> None:
        """Send one proxy all ejections that it was not sent."""
        self.stored.append((CommandName.SEND_EJECTIONS, proxy))
        self._target.send_ejections(proxy)

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Set the quota and the retry policy of some request classes."""
        self.stored.append((CommandName.SET_ADMISSION, table, classes, quota, retry_policy))
        self._target.set_admission(table, classes, quota, retry_policy)

    def forget_endpoint(self, endpoint: int) -> None:
        """Forget an endpoint that is gone."""
        self.stored.append((CommandName.FORGET_ENDPOINT, endpoint))
        self._target.forget_endpoint(endpoint)

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Request acknowledgements of this round."""
        self.stored.append((CommandName.REQUEST_ACK, nonce, all_proxies))
        self._target.request_ack(nonce, all_proxies)

    def check_health(self, endpoint: int) -> None:
        """Start a health check of an endpoint."""
        self.stored.append((CommandName.CHECK_HEALTH, endpoint))
        self._target.check_health(endpoint)

    def watch_endpoints(self, enabled: bool) -> None:
        """Open or close the watch on the endpoint list."""
        self.stored.append((CommandName.WATCH_ENDPOINTS, enabled))
        self._target.watch_endpoints(enabled)

    def fetch_endpoints(self) -> None:
        """Request the complete endpoint list."""
        self.stored.append((CommandName.FETCH_ENDPOINTS,))
        self._target.fetch_endpoints()

    def schedule_round(self, delay: float) -> None:
        """Request a round after `delay` seconds."""
        self.stored.append((CommandName.SCHEDULE_ROUND, delay))
        self._target.schedule_round(delay)

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self.stored.append((CommandName.LOG, text))
        self._target.log(text)
