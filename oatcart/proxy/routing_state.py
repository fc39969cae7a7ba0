"""The routing state of a proxy: what controllers have sent it, by request class.

An update may have several parts and takes effect once it is complete. One with an invalid part takes no
effect at all, and the proxy closes its stream. Source: the operators' protocol, section "orders on a stream".
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from oatcart.model import RetryPolicy
from oatcart.proxy.update_decoding import InvalidUpdateError, UpdatePart, decode_update_part

MAX_PARTS_PER_UPDATE = 64  # the protocol's limit
ADMIT_ALL = 1.0  # share; the quota of a table for which none was sent
DEFAULT_RETRY_POLICY = RetryPolicy.IF_NOT_PROCESSED


@dataclass(slots=True)
class RoutingTable:
    """The routing table of one request class."""

    weights: dict[str, float] = field(default_factory=dict)  # points by endpoint, all above 0
    quota: float = ADMIT_ALL  # share, or requests/s
    retry_policy: RetryPolicy = DEFAULT_RETRY_POLICY


class RoutingState:
    """The state of one proxy: a table for each of `request_classes`, and the ejected endpoints."""

    def __init__(self, request_classes: Collection[str]) -> None:
        self.tables = {request_class: RoutingTable() for request_class in request_classes}
        self.ejected: set[str] = set()
        self.pending_parts: list[UpdatePart] = []
        self.last_nonce: int | None = None

    def receive_part(self, message: dict, known_endpoints: Collection[str]) -> list[int]:
        """Process one part of an update; return the nonces to acknowledge, none before the last part.

        `known_endpoints`: all that were ever in the endpoint list. Raises InvalidUpdateError and drops the
        parts of this update.
        """
        try:
            part = decode_update_part(message, self.tables, known_endpoints)
            if len(self.pending_parts) >= MAX_PARTS_PER_UPDATE:
                raise InvalidUpdateError(
                    f"continued: expected at most {MAX_PARTS_PER_UPDATE} parts, got another"
                )
        except InvalidUpdateError:
            self.pending_parts = []
            raise
        self.pending_parts.append(part)
        if part.continued:
            return []
        update, self.pending_parts = self.pending_parts, []
        for part in update:
            self._apply(part)
        return [part.nonce for part in update if part.nonce is not None]

    def stream_closed(self) -> None:
        """Drop an incomplete update; tables and ejections are kept after the end of the stream."""
        self.pending_parts = []

    def _apply(self, part: UpdatePart) -> None:
        classes = self.tables if part.request_classes is None else part.request_classes
        for request_class in classes:
            self._apply_to_table(request_class, part)
        self.ejected.update(part.ejected)
        self.ejected.difference_update(part.restored)
        if part.nonce is not None:
            self.last_nonce = part.nonce

    def _apply_to_table(self, request_class: str, part: UpdatePart) -> None:
        if part.complete:
            self.tables[request_class] = RoutingTable()
        table = self.tables[request_class]
        for endpoint, weight in part.weights:
            if weight > 0:
                table.weights[endpoint] = weight
            else:
                table.weights.pop(endpoint, None)
        if part.quota is not None:
            table.quota = part.quota
            table.retry_policy = part.retry_policy

    def usable_weights(self, request_class: str) -> dict[str, float]:
        """Return the weights of a class's endpoints that are not ejected, points."""
        weights = self.tables[request_class].weights
        return {endpoint: weight for endpoint, weight in weights.items() if endpoint not in self.ejected}
