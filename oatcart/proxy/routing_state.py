"""What a proxy was told: lines, levels and ways by request kind, nodes that are shut out. Free of I/O.

An update may come in parts and takes effect as a whole; what cannot be used takes no effect at all, and its
stream is to be reset. Source: the operators' protocol, orders on a stream.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import isfinite

MAX_PARTS_PER_UPDATE = 64  # of one update: the protocol's limit
RETRY_POLICIES = range(4)  # ways of trying again


class InvalidUpdate(ValueError):
    """A part that cannot be used; names the field."""


@dataclass(slots=True)
class RoutingTable:
    """Of one request kind."""

    weights: dict[str, float] = field(default_factory=dict)
    quota: float = 1.0
    retry_policy: int = 1


class RoutingState:
    """All that one proxy holds. `kinds`: the request kinds there are; `by_rate`: whether a level is reqs a
    second.
    """

    def __init__(self, request_classes: Collection[str], by_rate: bool = False) -> None:
        self.tables = {request_class: RoutingTable() for request_class in request_classes}
        self.by_rate = by_rate
        self.ejected: set[str] = set()
        self.pending_parts: list[dict] = []
        self.last_nonce: int | None = None

    def receive_part(self, part: dict, known_endpoints: Collection[str]) -> list[int]:
        """Take one part of an update; hands back the marks that are now to be answered, once the update is
        whole. Raises Unfit, after which the parts of this update are forgotten."""
        try:
            self._check(part, known_endpoints)
            if len(self.pending_parts) + 1 > MAX_PARTS_PER_UPDATE:
                raise InvalidUpdate(f"continued: more than {MAX_PARTS_PER_UPDATE} parts")
        except InvalidUpdate:
            self.pending_parts = []
            raise
        self.pending_parts.append(part)
        if part.get("continued"):
            return []
        pending_parts, self.pending_parts = self.pending_parts, []
        return [nonce for one in pending_parts for nonce in self._apply(one)]

    def stream_closed(self) -> None:
        """The stream is over: what came of an update without its end never takes effect; the rest stays, and
        nodes that are shut out stay so over a change of streams."""
        self.pending_parts = []

    def _check(self, part: dict, known_endpoints: Collection[str]) -> None:
        for request_class in self._list(part, "routes"):
            if request_class not in self.tables:
                raise InvalidUpdate(f"routes: {str(request_class)[:80]!r} is no request kind")
        for line in self._list(part, "endpoints"):
            if not isinstance(line, list) or len(line) != 2:
                raise InvalidUpdate("endpoints: a line is a node and its weight")
            if line[0] not in known_endpoints:
                raise InvalidUpdate(f"endpoints: {str(line[0])[:80]!r} was never listed")
            if not _is_weight(line[1]):
                raise InvalidUpdate(f"endpoints: {line[0]} has weight {line[1]!r}")
        for name in "eject", "restore":
            for endpoint in self._list(part, name):
                if endpoint not in known_endpoints:
                    raise InvalidUpdate(f"{name}: {str(endpoint)[:80]!r} was never listed")
        if ("admit" in part) != ("policy" in part):
            raise InvalidUpdate("admit and policy come together")
        if "admit" in part and not _is_weight(part["admit"]):
            raise InvalidUpdate(f"admit: {part['admit']!r}")
        if "policy" in part and (isinstance(part["policy"], bool) or part["policy"] not in RETRY_POLICIES):
            raise InvalidUpdate(f"policy: {part['policy']!r} is no way of trying again")
        nonce = part.get("nonce_out")
        if nonce is not None and (isinstance(nonce, bool) or not isinstance(nonce, int) or nonce < 0):
            raise InvalidUpdate(f"nonce_out: {nonce!r}")

    @staticmethod
    def _list(part: dict, name: str) -> list:
        found = part.get(name, [])
        if not isinstance(found, list):
            raise InvalidUpdate(f"{name}: {found!r} is no list")
        return found

    def _apply(self, part: dict) -> Iterable[int]:
        for request_class in part.get("routes", self.tables):
            table = self.tables[request_class]
            if part.get("full"):
                table.weights, table.quota, table.retry_policy = {}, 1.0, 1
            for endpoint, weight in part.get("endpoints", []):
                if weight > 0:
                    table.weights[endpoint] = float(weight)
                else:
                    table.weights.pop(endpoint, None)
            if "admit" in part:
                table.quota, table.retry_policy = float(part["admit"]), part["policy"]
        self.ejected.update(part.get("eject", []))
        self.ejected.difference_update(part.get("restore", []))
        if part.get("nonce_out") is not None:
            self.last_nonce = part["nonce_out"]
            yield part["nonce_out"]

    def usable_weights(self, request_class: str) -> dict[str, float]:
        """The lines that may be picked."""
        return {
            endpoint: weight
            for endpoint, weight in self.tables[request_class].weights.items()
            if endpoint not in self.ejected
        }


def _is_weight(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value) and value >= 0
