"""Commands that the decisions give, in the order in which they take effect."""

from typing import Protocol

from oatcart.model import RetryPolicy

NONCE_COUNT = 0x10000  # nonces run from 0 to one less, then start again
ALL_TABLES = 0xFFFF  # table number of `set_admission` that means all tables and joined proxies


def covers(nonce: int, earlier: int) -> bool:
    """Whether a nonce is `earlier` or follows it by less than half of all nonces."""
    return (nonce - earlier) % NONCE_COUNT < NONCE_COUNT // 2


class CommandWriter(Protocol):
    """Takes the commands of a round. Request classes are bits of a mask, class 0 the lowest; 0 means all."""

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Sets the weight of an endpoint in a routing table; 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Removes all endpoints from a routing table."""

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Lets a proxy route these classes by a table; it is sent the complete table."""

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Tells all proxies not to use an endpoint (an outlier, draining or gone), or that they may again."""

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Limits the admitted requests of classes (a share, or requests/s a proxy) and sets their retries."""

    def forget_endpoint(self, endpoint: int) -> None:
        """Restores an endpoint that is gone at all proxies, as its id may return, and frees its number."""

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Asks for acknowledgement of this round: from all proxies, or those that it sends something."""

    def check_health(self, endpoint: int) -> None:
        """Starts a health check."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Opens a watch on the endpoint list, or closes it."""

    def fetch_endpoints(self) -> None:
        """Asks discovery for the complete endpoint list."""

    def schedule_round(self, delay: float) -> None:
        """Asks for a round after so many seconds, also if nothing comes in."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""
