"""What a proxy was told: lines, levels and ways by request kind, nodes that are shut out. Free of I/O.

An update may come in parts and takes effect as a whole; what cannot be used takes no effect at all, and its
stream is to be reset. Source: the operators' protocol, orders on a stream.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import isfinite

PARTS_MOST = 64  # of one update: the protocol's limit
WAYS = range(4)  # ways of trying again


class Unfit(ValueError):
    """A part that cannot be used; names the field."""


@dataclass(slots=True)
class Table:
    """Of one request kind."""

    lines: dict[str, float] = field(default_factory=dict)
    level: float = 1.0
    way: int = 1


class Tables:
    """All that one proxy holds. `kinds`: the request kinds there are; `by_rate`: whether a level is reqs a
    second.
    """

    def __init__(self, kinds: Collection[str], by_rate: bool = False) -> None:
        self.by_kind = {kind: Table() for kind in kinds}
        self.by_rate = by_rate
        self.out: set[str] = set()
        self.parts: list[dict] = []
        self.version: int | None = None

    def part(self, part: dict, listed: Collection[str]) -> list[int]:
        """Take one part of an update; hands back the marks that are now to be answered, once the update is
        whole. Raises Unfit, after which the parts of this update are forgotten."""
        try:
            self._check(part, listed)
            if len(self.parts) + 1 > PARTS_MOST:
                raise Unfit(f"continued: more than {PARTS_MOST} parts")
        except Unfit:
            self.parts = []
            raise
        self.parts.append(part)
        if part.get("continued"):
            return []
        parts, self.parts = self.parts, []
        return [mark for one in parts for mark in self._apply(one)]

    def broken(self) -> None:
        """The stream is over: what came of an update without its end never takes effect; the rest stays, and
        nodes that are shut out stay so over a change of streams."""
        self.parts = []

    def _check(self, part: dict, listed: Collection[str]) -> None:
        for kind in self._list(part, "routes"):
            if kind not in self.by_kind:
                raise Unfit(f"routes: {str(kind)[:80]!r} is no request kind")
        for line in self._list(part, "endpoints"):
            if not isinstance(line, list) or len(line) != 2:
                raise Unfit("endpoints: a line is a node and its weight")
            if line[0] not in listed:
                raise Unfit(f"endpoints: {str(line[0])[:80]!r} was never listed")
            if not _figure(line[1]):
                raise Unfit(f"endpoints: {line[0]} has weight {line[1]!r}")
        for name in "eject", "restore":
            for node in self._list(part, name):
                if node not in listed:
                    raise Unfit(f"{name}: {str(node)[:80]!r} was never listed")
        if ("admit" in part) != ("policy" in part):
            raise Unfit("admit and policy come together")
        if "admit" in part and not _figure(part["admit"]):
            raise Unfit(f"admit: {part['admit']!r}")
        if "policy" in part and (isinstance(part["policy"], bool) or part["policy"] not in WAYS):
            raise Unfit(f"policy: {part['policy']!r} is no way of trying again")
        mark = part.get("nonce_out")
        if mark is not None and (isinstance(mark, bool) or not isinstance(mark, int) or mark < 0):
            raise Unfit(f"nonce_out: {mark!r}")

    @staticmethod
    def _list(part: dict, name: str) -> list:
        found = part.get(name, [])
        if not isinstance(found, list):
            raise Unfit(f"{name}: {found!r} is no list")
        return found

    def _apply(self, part: dict) -> Iterable[int]:
        for kind in part.get("routes", self.by_kind):
            table = self.by_kind[kind]
            if part.get("full"):
                table.lines, table.level, table.way = {}, 1.0, 1
            for node, weight in part.get("endpoints", []):
                if weight > 0:
                    table.lines[node] = float(weight)
                else:
                    table.lines.pop(node, None)
            if "admit" in part:
                table.level, table.way = float(part["admit"]), part["policy"]
        self.out.update(part.get("eject", []))
        self.out.difference_update(part.get("restore", []))
        if part.get("nonce_out") is not None:
            self.version = part["nonce_out"]
            yield part["nonce_out"]

    def open_lines(self, kind: str) -> dict[str, float]:
        """The lines that may be picked."""
        return {node: weight for node, weight in self.by_kind[kind].lines.items() if node not in self.out}


def _figure(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value) and value >= 0
