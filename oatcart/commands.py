"""Commands that the policy gives to its adapter, in the order in which they take effect."""

from typing import Protocol

from oatcart.model import RetryPolicy

NONCE_COUNT = 0x10000  # nonces run from 0 to NONCE_COUNT - 1, then start again at 0
ALL_TABLES = 0xFFFF  # in `set_admission`, this table number stands for all tables and all joined proxies


def covers(nonce: int, earlier: int) -> bool:
    """Whether `nonce` is equal to `earlier` or less than half of all nonces after it."""
    return (nonce - earlier) % NONCE_COUNT < NONCE_COUNT // 2


class CommandWriter(Protocol):
    """Receives the commands of a round.

    Request classes are bits of a mask, class 0 is the lowest bit; a mask of 0 means all classes.
    """

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets the weight of an endpoint in a routing table; 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Removes all endpoints from a routing table."""

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Assigns a table to a proxy for these classes; the proxy is sent the complete table."""

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Ejects an endpoint (an outlier, draining or gone) at all proxies, or restores it."""

    def send_ejections(self, proxy: int) -> None:
        """Sends one proxy all ejections that it was not sent on its stream.

        Given only where `ControllerSettings.single_proxy_ejections` is set.
        """

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Sets the quota (a share, or requests/s for each proxy) and the retry policy of classes."""

    def forget_endpoint(self, endpoint: int) -> None:
        """Frees the number of a gone endpoint; proxies restore it, since its id may be listed again."""

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Requests acknowledgement of this round from all proxies, or from those that are sent an update."""

    def check_health(self, endpoint: int) -> None:
        """Starts a health check."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Opens a watch on the endpoint list, or closes it."""

    def fetch_endpoints(self) -> None:
        """Fetches the complete endpoint list from discovery."""

    def schedule_round(self, delay: float) -> None:
        """Requests a round after `delay` seconds, even if there are no events."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""
