"""What stands at the proxies: tables, bindings, levels, withdrawals.

A round's orders are noted here, then told as one message a proxy: a tuple of parts that differ only in what
changed. Nothing is paced or chosen here; what a proxy was told on its stream is never told again.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.commands import ALL_TABLES, NONCE_COUNT


class Part(NamedTuple):
    """One part of a message; with 16 kinds at most there are under 33 of them. No kinds: all of them."""

    kinds: tuple[int, ...] = ()
    whole: bool = False
    lines: tuple[tuple[int, float], ...] = ()
    level: float | None = None
    tries: int = 0
    out: tuple[int, ...] = ()
    back: tuple[int, ...] = ()
    mark: int | None = None


@dataclass(slots=True)
class Table:
    lines: dict[int, float] = field(default_factory=dict)
    levels: dict[int, tuple[float, int]] = field(default_factory=dict)  # by kind: level, way of trying again
    changed: dict[int, float] = field(default_factory=dict)  # this round
    relevelled: set[int] = field(default_factory=set)
    emptied: bool = False
    proxies: set[int] = field(default_factory=set)  # that are bound to it


@dataclass(slots=True)
class Proxy:
    blank: bool  # holds nothing that was ordered: what it was not told of is let in
    bound: dict[int, int] = field(default_factory=dict)  # kinds, as bits, by table
    shut: dict[int, bool] = field(default_factory=dict)  # by node: what this stream told of withdrawals
    mark: int | None = None  # the last that this stream was asked for


class Tables:
    """An order writer for all that goes to proxies."""

    def __init__(self, kinds: int) -> None:
        self.all_kinds = (1 << kinds) - 1
        self.tables: dict[int, Table] = {}
        self.proxies: dict[int, Proxy] = {}
        self.shut: set[int] = set()
        self.for_all: dict[int, tuple[float, int]] = {}  # levels of every table
        self._forget_round()

    def _forget_round(self) -> None:
        self.turned: list[int] = []
        self.altered: set[int] = set()  # tables that changed
        self.rebound: dict[int, set[int]] = {}  # tables that proxies were bound to, by proxy
        self.all_relevelled: set[int] = set()
        self.mark: int | None = None
        self.mark_all = False
        self.dropped: list[int] = []

    def joined(self, proxy: int, blank: bool) -> None:
        self.left(proxy)
        self.proxies[proxy] = Proxy(blank)

    def left(self, proxy: int) -> None:
        self.rebound.pop(proxy, None)
        if one := self.proxies.pop(proxy, None):
            for table in one.bound:
                self.tables[table].proxies.discard(proxy)

    def _table(self, table: int) -> Table:
        return self.tables.setdefault(table, Table())

    def set_weight(self, table: int, node: int, weight: float) -> None:
        one = self._table(table)
        self.altered.add(table)
        one.changed[node] = weight
        if weight > 0:
            one.lines[node] = weight
        else:
            one.lines.pop(node, None)

    def clear_table(self, table: int) -> None:
        self.tables[table] = Table(emptied=True, proxies=self._table(table).proxies)
        self.altered.add(table)

    def assign_table(self, table: int, proxy: int, kinds: int) -> None:
        if proxy not in self.proxies:
            return
        self._table(table)
        one, kinds = self.proxies[proxy], kinds or self.all_kinds
        for at, old in [*one.bound.items()]:
            one.bound[at] = old & ~kinds
            if not one.bound[at] and at != table:
                del one.bound[at]
                self.tables[at].proxies.discard(proxy)
        one.bound[table] = one.bound.get(table, 0) | kinds
        self.tables[table].proxies.add(proxy)
        self.rebound.setdefault(proxy, set()).add(table)

    def set_ejected(self, node: int, out: bool) -> None:
        (self.shut.add if out else self.shut.discard)(node)
        self.turned.append(node)

    def forget_endpoint(self, node: int) -> None:
        """Let back first; its number may be another's from the next round on."""
        self.set_ejected(node, False)
        self.dropped.append(node)

    def set_admission(self, table: int, kinds: int, level: float, tries: int) -> None:
        every = table == ALL_TABLES
        levels = self.for_all if every else self._table(table).levels
        told = self.all_relevelled if every else self._table(table).relevelled
        for kind in _places(kinds or self.all_kinds):
            levels[kind] = (level, tries)
            told.add(kind)
        self.altered.update([] if every else [table])

    def request_ack(self, mark: int, everyone: bool) -> None:
        self.mark, self.mark_all = mark, everyone

    def asked(self, proxy: int, mark: int) -> bool:
        """Whether this mark, or a later one, was asked for on the proxy's stream."""
        last = self.proxies[proxy].mark
        return last is not None and mark < NONCE_COUNT and (last - mark) % NONCE_COUNT < NONCE_COUNT // 2

    def messages(self) -> Iterator[tuple[int, tuple[Part, ...]]]:
        """One message for each proxy concerned; afterwards the round's changes are told."""
        made: dict[tuple, tuple[list[Part], list[int]]] = {}  # what proxies on the same table share
        concerned = {*self.rebound}.union(*(self.tables[table].proxies for table in self.altered))
        if self.turned or self.all_relevelled or self.mark_all:
            concerned = self.proxies.keys()
        for proxy in sorted(concerned):
            one = self.proxies[proxy]
            parts = self._parts(one, self.rebound.get(proxy, ()), made)
            if self.mark is not None and (parts or self.mark_all):
                parts = parts or [Part()]
                parts[-1] = parts[-1]._replace(mark=self.mark)
                one.mark = self.mark
            if parts:
                yield proxy, tuple(parts)
        for one in self.proxies.values() if self.dropped else ():
            for node in self.dropped:
                one.shut.pop(node, None)
        self.shut.difference_update(self.dropped)
        for at in self.altered:
            table = self.tables[at]
            table.changed, table.relevelled, table.emptied = {}, set(), False
        self._forget_round()

    def _parts(self, proxy: Proxy, fresh: Collection[int], made: dict) -> list[Part]:
        parts, met, free = [], list(self.turned), self.all_kinds
        for at, kinds in proxy.bound.items():
            free &= ~kinds
            key = at, kinds, at in fresh or self.tables[at].emptied
            if key not in made:
                made[key] = self._table_parts(*key)
            parts += made[key][0]
            met += made[key][1]
        if self.all_relevelled:
            parts += self._levels(Table(), [kind for kind in _places(free) if kind in self.all_relevelled])
        return self._with_turned(proxy, met, parts)

    def _table_parts(self, at: int, kinds: int, whole: bool) -> tuple[list[Part], list[int]]:
        """A whole table or what changed in it, and the nodes that its lines bring."""
        table = self.tables[at]
        lines = table.lines if whole else table.changed
        levels = (
            table.levels.keys() | self.for_all.keys() if whole else table.relevelled | self.all_relevelled
        )
        parts = [Part(self._named(kinds), whole, tuple(lines.items()))] if whole or lines else []
        parts += self._levels(table, [kind for kind in _places(kinds) if kind in levels])
        return parts, [node for node, weight in lines.items() if weight > 0]

    def _level(self, table: Table, kind: int) -> tuple[float, int]:
        level, tries = table.levels.get(kind) or self.for_all[kind]
        return min(level, self.for_all.get(kind, (level,))[0]), tries

    def standing(self, at: int, kind: int) -> tuple[float, int] | None:
        """The level and the way of trying again that hold for a kind in a table; None where not ordered."""
        table = self._table(at)
        return self._level(table, kind) if kind in table.levels or kind in self.for_all else None

    def _levels(self, table: Table, kinds: list[int]) -> list[Part]:
        """Kinds of the same level share a part; of the table's and everybody's, the lower level holds."""
        groups: dict[tuple[float, int], int] = {}
        for kind in kinds:
            at = self._level(table, kind)
            groups[at] = groups.get(at, 0) | 1 << kind
        return [Part(self._named(bits), level=level, tries=tries) for (level, tries), bits in groups.items()]

    def _with_turned(self, proxy: Proxy, met: list[int], parts: list[Part]) -> list[Part]:
        """A proxy keeps what any conductor withdrew, so each node that it meets is told as it stands now."""
        turned = {
            node: out
            for node in met
            if proxy.shut.get(node, False if proxy.blank or node in self.dropped else None)
            != (out := node in self.shut)
        }
        if turned:
            proxy.shut |= turned
            parts = parts or [Part()]
            parts[0] = parts[0]._replace(
                out=tuple(node for node, out in turned.items() if out),
                back=tuple(node for node, out in turned.items() if not out),
            )
        return parts

    def _named(self, kinds: int) -> tuple[int, ...]:
        return () if kinds == self.all_kinds else tuple(_places(kinds))


def _places(bits: int) -> Iterator[int]:
    return (place for place in range(bits.bit_length()) if bits >> place & 1)
