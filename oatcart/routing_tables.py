"""What stands at the proxies: tables, bindings, levels, withdrawals.

A round's orders are noted here, then told as one message a proxy: a tuple of parts that differ only in what
changed. Nothing is paced or chosen here; what a proxy was told on its stream is never told again.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.commands import ALL_TABLES, NONCE_COUNT


class UpdatePart(NamedTuple):
    """One part of a message; with 16 kinds at most there are under 33 of them. No kinds: all of them."""

    classes: tuple[int, ...] = ()
    complete: bool = False
    weights: tuple[tuple[int, float], ...] = ()
    quota: float | None = None
    retry_policy: int = 0
    ejected: tuple[int, ...] = ()
    restored: tuple[int, ...] = ()
    nonce: int | None = None


@dataclass(slots=True)
class RoutingTable:
    weights: dict[int, float] = field(default_factory=dict)
    admission: dict[int, tuple[float, int]] = field(
        default_factory=dict
    )  # by kind: level, way of trying again
    changed_weights: dict[int, float] = field(default_factory=dict)  # this round
    changed_admission: set[int] = field(default_factory=set)
    cleared: bool = False
    proxies: set[int] = field(default_factory=set)  # that are bound to it


@dataclass(slots=True)
class ProxyState:
    unconfigured: bool  # holds nothing that was ordered: what it was not told of is let in
    assignments: dict[int, int] = field(default_factory=dict)  # kinds, as bits, by table
    sent_ejections: dict[int, bool] = field(
        default_factory=dict
    )  # by node: what this stream told of withdrawals
    last_nonce: int | None = None  # the last that this stream was asked for


class RoutingTables:
    """An order writer for all that goes to proxies."""

    def __init__(self, classes: int) -> None:
        self.all_classes = (1 << classes) - 1
        self.tables: dict[int, RoutingTable] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.ejected: set[int] = set()
        self.shared_admission: dict[int, tuple[float, int]] = {}  # levels of every table
        self._forget_changes()

    def _forget_changes(self) -> None:
        self.ejections: list[int] = []
        self.changed_tables: set[int] = set()  # tables that changed
        self.new_assignments: dict[int, set[int]] = {}  # tables that proxies were bound to, by proxy
        self.changed_shared_admission: set[int] = set()
        self.nonce: int | None = None
        self.ack_from_all = False
        self.forgotten: list[int] = []

    def add_proxy(self, proxy: int, unconfigured: bool) -> None:
        self.remove_proxy(proxy)
        self.proxies[proxy] = ProxyState(unconfigured)

    def remove_proxy(self, proxy: int) -> None:
        self.new_assignments.pop(proxy, None)
        if one := self.proxies.pop(proxy, None):
            for table in one.assignments:
                self.tables[table].proxies.discard(proxy)

    def _table(self, table: int) -> RoutingTable:
        return self.tables.setdefault(table, RoutingTable())

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        one = self._table(table)
        self.changed_tables.add(table)
        one.changed_weights[endpoint] = weight
        if weight > 0:
            one.weights[endpoint] = weight
        else:
            one.weights.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        self.tables[table] = RoutingTable(cleared=True, proxies=self._table(table).proxies)
        self.changed_tables.add(table)

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        if proxy not in self.proxies:
            return
        self._table(table)
        one, classes = self.proxies[proxy], classes or self.all_classes
        for at, old in [*one.assignments.items()]:
            one.assignments[at] = old & ~classes
            if not one.assignments[at] and at != table:
                del one.assignments[at]
                self.tables[at].proxies.discard(proxy)
        one.assignments[table] = one.assignments.get(table, 0) | classes
        self.tables[table].proxies.add(proxy)
        self.new_assignments.setdefault(proxy, set()).add(table)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        (self.ejected.add if ejected else self.ejected.discard)(endpoint)
        self.ejections.append(endpoint)

    def forget_endpoint(self, endpoint: int) -> None:
        """Let back first; its number may be another's from the next round on."""
        self.set_ejected(endpoint, False)
        self.forgotten.append(endpoint)

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: int) -> None:
        every = table == ALL_TABLES
        admission = self.shared_admission if every else self._table(table).admission
        told = self.changed_shared_admission if every else self._table(table).changed_admission
        for request_class in bits_of(classes or self.all_classes):
            admission[request_class] = (quota, retry_policy)
            told.add(request_class)
        self.changed_tables.update([] if every else [table])

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        self.nonce, self.ack_from_all = nonce, all_proxies

    def was_sent(self, proxy: int, nonce: int) -> bool:
        """Whether this mark, or a later one, was asked for on the proxy's stream."""
        last = self.proxies[proxy].last_nonce
        return last is not None and nonce < NONCE_COUNT and (last - nonce) % NONCE_COUNT < NONCE_COUNT // 2

    def updates(self) -> Iterator[tuple[int, tuple[UpdatePart, ...]]]:
        """One message for each proxy concerned; afterwards the round's changes are told."""
        made: dict[tuple, tuple[list[UpdatePart], list[int]]] = {}  # what proxies on the same table share
        concerned = {*self.new_assignments}.union(
            *(self.tables[table].proxies for table in self.changed_tables)
        )
        if self.ejections or self.changed_shared_admission or self.ack_from_all:
            concerned = self.proxies.keys()
        for proxy in sorted(concerned):
            one = self.proxies[proxy]
            parts = self._update_parts(one, self.new_assignments.get(proxy, ()), made)
            if self.nonce is not None and (parts or self.ack_from_all):
                parts = parts or [UpdatePart()]
                parts[-1] = parts[-1]._replace(nonce=self.nonce)
                one.last_nonce = self.nonce
            if parts:
                yield proxy, tuple(parts)
        for one in self.proxies.values() if self.forgotten else ():
            for endpoint in self.forgotten:
                one.sent_ejections.pop(endpoint, None)
        self.ejected.difference_update(self.forgotten)
        for at in self.changed_tables:
            table = self.tables[at]
            table.changed_weights, table.changed_admission, table.cleared = {}, set(), False
        self._forget_changes()

    def _update_parts(self, proxy: ProxyState, fresh: Collection[int], made: dict) -> list[UpdatePart]:
        parts, met, free = [], list(self.ejections), self.all_classes
        for at, classes in proxy.assignments.items():
            free &= ~classes
            key = at, classes, at in fresh or self.tables[at].cleared
            if key not in made:
                made[key] = self._table_parts(*key)
            parts += made[key][0]
            met += made[key][1]
        if self.changed_shared_admission:
            parts += self._admission_parts(
                RoutingTable(),
                [
                    request_class
                    for request_class in bits_of(free)
                    if request_class in self.changed_shared_admission
                ],
            )
        return self._with_ejections(proxy, met, parts)

    def _table_parts(self, at: int, classes: int, complete: bool) -> tuple[list[UpdatePart], list[int]]:
        """A whole table or what changed in it, and the nodes that its lines bring."""
        table = self.tables[at]
        weights = table.weights if complete else table.changed_weights
        admission = (
            table.admission.keys() | self.shared_admission.keys()
            if complete
            else table.changed_admission | self.changed_shared_admission
        )
        parts = (
            [UpdatePart(self._named_classes(classes), complete, tuple(weights.items()))]
            if complete or weights
            else []
        )
        parts += self._admission_parts(
            table, [request_class for request_class in bits_of(classes) if request_class in admission]
        )
        return parts, [endpoint for endpoint, weight in weights.items() if weight > 0]

    def _effective_admission(self, table: RoutingTable, request_class: int) -> tuple[float, int]:
        quota, retry_policy = table.admission.get(request_class) or self.shared_admission[request_class]
        return min(quota, self.shared_admission.get(request_class, (quota,))[0]), retry_policy

    def admission_of(self, at: int, request_class: int) -> tuple[float, int] | None:
        """The level and the way of trying again that hold for a kind in a table; None where not ordered."""
        table = self._table(at)
        return (
            self._effective_admission(table, request_class)
            if request_class in table.admission or request_class in self.shared_admission
            else None
        )

    def _admission_parts(self, table: RoutingTable, classes: list[int]) -> list[UpdatePart]:
        """Kinds of the same level share a part; of the table's and everybody's, the lower level holds."""
        groups: dict[tuple[float, int], int] = {}
        for request_class in classes:
            at = self._effective_admission(table, request_class)
            groups[at] = groups.get(at, 0) | 1 << request_class
        return [
            UpdatePart(self._named_classes(bits), quota=quota, retry_policy=retry_policy)
            for (quota, retry_policy), bits in groups.items()
        ]

    def _with_ejections(self, proxy: ProxyState, met: list[int], parts: list[UpdatePart]) -> list[UpdatePart]:
        """A proxy keeps what any conductor withdrew, so each node that it meets is told as it stands now."""
        ejections = {
            endpoint: ejected
            for endpoint in met
            if proxy.sent_ejections.get(
                endpoint, False if proxy.unconfigured or endpoint in self.forgotten else None
            )
            != (ejected := endpoint in self.ejected)
        }
        if ejections:
            proxy.sent_ejections |= ejections
            parts = parts or [UpdatePart()]
            parts[0] = parts[0]._replace(
                ejected=tuple(endpoint for endpoint, ejected in ejections.items() if ejected),
                restored=tuple(endpoint for endpoint, ejected in ejections.items() if not ejected),
            )
        return parts

    def _named_classes(self, classes: int) -> tuple[int, ...]:
        return () if classes == self.all_classes else tuple(bits_of(classes))


def bits_of(bits: int) -> Iterator[int]:
    return (place for place in range(bits.bit_length()) if bits >> place & 1)
