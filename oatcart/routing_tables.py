"""The routing tables of all proxies: weights, assignments, admission and ejections.

The commands of a round are recorded here and then sent as one update to each proxy, with only the changes
since the last update on the same stream. This module decides nothing; the policy limits the rate of updates.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.commands import ALL_TABLES, NONCE_COUNT, covers
from oatcart.model import RetryPolicy


class Admission(NamedTuple):
    """The quota and the retry policy of a request class."""

    quota: float  # share, or requests/s for each proxy
    retry_policy: RetryPolicy


class UpdatePart(NamedTuple):
    """One part of an update; a proxy applies all parts of an update together.

    With the protocol's maximum of 16 request classes, an update has at most 33 parts.
    """

    classes: tuple[int, ...] = ()  # empty: all
    complete: bool = False  # replaces the tables of these classes, admission included
    weights: tuple[tuple[int, float], ...] = ()  # by endpoint, points; 0 removes the endpoint
    quota: float | None = None  # share, or requests/s; None: admission is unchanged
    retry_policy: RetryPolicy = RetryPolicy.NEVER  # applies only if there is a quota
    ejected: tuple[int, ...] = ()
    restored: tuple[int, ...] = ()
    nonce: int | None = None  # the proxy acknowledges it; None: no acknowledgement


@dataclass(slots=True)
class TableContents:
    """One routing table, and the changes of the current round in it."""

    weights: dict[int, float] = field(default_factory=dict)  # by endpoint, points, all above 0
    admission: dict[int, Admission] = field(default_factory=dict)  # by request class
    proxies: set[int] = field(default_factory=set)  # proxies that it is assigned to
    changed_weights: dict[int, float] = field(default_factory=dict)
    changed_admission: set[int] = field(default_factory=set)  # request classes
    cleared: bool = False

    def clear_changes(self) -> None:
        """Clear the changes of the round, once they are sent."""
        self.changed_weights = {}
        self.changed_admission = set()
        self.cleared = False


@dataclass(slots=True)
class ProxyState:
    """What was sent to one proxy on its present stream."""

    unconfigured: bool  # it had no table from any controller when it joined, so no endpoint is ejected there
    assignments: dict[int, int] = field(default_factory=dict)  # mask of request classes, by table
    sent_ejections: dict[int, bool] = field(default_factory=dict)  # whether ejected, by endpoint
    last_nonce: int | None = None


@dataclass(slots=True)
class RoundChanges:
    """The changes of the current round, except the contents of tables."""

    tables: set[int] = field(default_factory=set)  # numbers of tables whose contents changed
    assignments: dict[int, set[int]] = field(default_factory=dict)  # newly assigned tables, by proxy
    shared_admission: set[int] = field(default_factory=set)  # request classes
    ejections: list[int] = field(default_factory=list)  # endpoints that were ejected or restored
    all_ejections_to: set[int] = field(default_factory=set)  # proxies that are sent all ejections
    forgotten: list[int] = field(default_factory=list)  # endpoints
    nonce: int | None = None
    ack_from_all: bool = False


class TableParts(NamedTuple):
    """The parts of an update for one table, shared by proxies that use it for the same classes."""

    parts: list[UpdatePart]
    endpoints: list[int]  # that these parts give a weight above 0


class RoutingTables:
    """Implements the commands of `CommandWriter` that concern proxies, and yields the resulting updates.

    Request classes are bits of a mask, class 0 is the lowest bit; `class_count` is their number. Proxies,
    tables and endpoints are small integers.
    """

    def __init__(self, class_count: int) -> None:
        self.all_classes = (1 << class_count) - 1
        self.tables: dict[int, TableContents] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.ejected: set[int] = set()  # endpoints
        self.shared_admission: dict[int, Admission] = {}  # for all tables, by request class
        self.changes = RoundChanges()

    def add_proxy(self, proxy: int, unconfigured: bool) -> None:
        """Add a proxy that has opened a stream; the state of an earlier stream is discarded.

        `unconfigured`: it has no table from any controller.
        """
        self.remove_proxy(proxy)
        self.proxies[proxy] = ProxyState(unconfigured)

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy whose stream has ended; no effect if it has none."""
        self.changes.assignments.pop(proxy, None)
        self.changes.all_ejections_to.discard(proxy)
        state = self.proxies.pop(proxy, None)
        if state is not None:
            for number in state.assignments:
                self.tables[number].proxies.discard(proxy)

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set the weight (points) of an endpoint in a routing table; 0 removes the endpoint."""
        changed = self._changed_table(table)
        changed.changed_weights[endpoint] = weight
        if weight > 0:
            changed.weights[endpoint] = weight
        else:
            changed.weights.pop(endpoint, None)

    def clear_table(self, table: int) -> None:
        """Remove all weights and admission of a routing table."""
        proxies = self._table(table).proxies
        self.tables[table] = TableContents(cleared=True, proxies=proxies)
        self.changes.tables.add(table)

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Assign a table to a proxy for classes (0: all), in position of their present table.

        No effect if the proxy's stream has ended.
        """
        state = self.proxies.get(proxy)
        if state is None:
            return
        classes = classes or self.all_classes
        assigned = self._table(table)
        for number, assigned_classes in list(state.assignments.items()):
            state.assignments[number] = assigned_classes & ~classes
            if not state.assignments[number] and number != table:
                del state.assignments[number]
                self.tables[number].proxies.discard(proxy)
        state.assignments[table] = state.assignments.get(table, 0) | classes
        assigned.proxies.add(proxy)
        self.changes.assignments.setdefault(proxy, set()).add(table)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject an endpoint at all proxies, or restore it."""
        if ejected:
            self.ejected.add(endpoint)
        else:
            self.ejected.discard(endpoint)
        self.changes.ejections.append(endpoint)

    def send_ejections(self, proxy: int) -> None:
        """Send a proxy all ejections that it was not sent; no effect if its stream has ended."""
        if proxy in self.proxies:
            self.changes.all_ejections_to.add(proxy)

    def forget_endpoint(self, endpoint: int) -> None:
        """Restore an endpoint; its number may stand for another endpoint from the next round on."""
        self.set_ejected(endpoint, False)
        self.changes.forgotten.append(endpoint)

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Set the admission of classes (0: all) in a table, or in all tables with ALL_TABLES.

        `quota` is a share, or requests/s for each proxy.
        """
        if table == ALL_TABLES:
            admission = self.shared_admission
            changed = self.changes.shared_admission
        else:
            admission = self._table(table).admission
            changed = self._changed_table(table).changed_admission
        for request_class in bits_of(classes or self.all_classes):
            admission[request_class] = Admission(quota, retry_policy)
            changed.add(request_class)

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Request acknowledgement of the round's updates.

        `all_proxies`: also from proxies that are sent nothing else in this round.
        """
        self.changes.nonce = nonce
        self.changes.ack_from_all = all_proxies

    def was_sent(self, proxy: int, nonce: int) -> bool:
        """Whether a nonce, or one that covers it (see `covers`), was sent on the proxy's stream."""
        last = self.proxies[proxy].last_nonce
        if last is None or nonce >= NONCE_COUNT:
            return False
        return covers(last, nonce)

    def admission_of(self, table: int, request_class: int) -> Admission | None:
        """Return the admission of a class in a table, or None if it was never set."""
        found = self._table(table)
        if request_class not in found.admission and request_class not in self.shared_admission:
            return None
        return self._effective_admission(found, request_class)

    def updates(self) -> Iterator[tuple[int, tuple[UpdatePart, ...]]]:
        """Yield the proxy and the parts of each update of the round, by ascending proxy number.

        Once the iterator is exhausted, the round's changes count as sent.
        """
        shared: dict[tuple[int, int, bool], TableParts] = {}
        for proxy in sorted(self._concerned_proxies()):
            parts = self._update_parts(proxy, shared)
            if parts:
                yield proxy, tuple(parts)
        self._clear_changes()

    def _table(self, number: int) -> TableContents:
        return self.tables.setdefault(number, TableContents())

    def _changed_table(self, number: int) -> TableContents:
        self.changes.tables.add(number)
        return self._table(number)

    def _concerned_proxies(self) -> Iterable[int]:
        changes = self.changes
        if changes.ejections or changes.shared_admission or changes.ack_from_all:
            return self.proxies.keys()
        changed_tables = (self.tables[number].proxies for number in changes.tables)
        return changes.all_ejections_to.union(changes.assignments, *changed_tables)

    def _clear_changes(self) -> None:
        for endpoint in self.changes.forgotten:
            self.ejected.discard(endpoint)
            for state in self.proxies.values():
                state.sent_ejections.pop(endpoint, None)
        for number in self.changes.tables:
            self.tables[number].clear_changes()
        self.changes = RoundChanges()

    def _update_parts(self, proxy: int, shared: dict[tuple[int, int, bool], TableParts]) -> list[UpdatePart]:
        """Return the parts of one proxy's update, and record in its state what they contain.

        The list is empty if nothing is to be sent. `shared` caches the parts of a table for other proxies
        that use it for the same classes.
        """
        state = self.proxies[proxy]
        newly_assigned = self.changes.assignments.get(proxy, ())
        parts: list[UpdatePart] = []
        endpoints = list(self.changes.ejections)
        if proxy in self.changes.all_ejections_to:
            endpoints += sorted(self.ejected)
        unassigned = self.all_classes
        for number, classes in state.assignments.items():
            unassigned &= ~classes
            complete = number in newly_assigned or self.tables[number].cleared
            key = number, classes, complete
            if key not in shared:
                shared[key] = self._table_parts(number, classes, complete)
            parts += shared[key].parts
            endpoints += shared[key].endpoints
        if self.changes.shared_admission:
            changed = [one for one in bits_of(unassigned) if one in self.changes.shared_admission]
            parts += self._admission_parts(TableContents(), changed)
        parts = self._with_ejections(state, endpoints, parts)
        return self._with_nonce(state, parts)

    def _table_parts(self, number: int, classes: int, complete: bool) -> TableParts:
        """Return the parts for a complete table, or for its changes."""
        table = self.tables[number]
        if complete:
            weights = table.weights
            admission = table.admission.keys() | self.shared_admission.keys()
        else:
            weights = table.changed_weights
            admission = table.changed_admission | self.changes.shared_admission
        parts = []
        if complete or weights:
            parts.append(UpdatePart(self._named_classes(classes), complete, tuple(weights.items())))
        parts += self._admission_parts(table, [one for one in bits_of(classes) if one in admission])
        return TableParts(parts, [endpoint for endpoint, weight in weights.items() if weight > 0])

    def _admission_parts(self, table: TableContents, request_classes: list[int]) -> list[UpdatePart]:
        """Return one part for each distinct admission, with all classes that have it."""
        classes_by_admission: dict[Admission, int] = {}
        for request_class in request_classes:
            admission = self._effective_admission(table, request_class)
            classes_by_admission[admission] = classes_by_admission.get(admission, 0) | 1 << request_class
        return [
            UpdatePart(
                self._named_classes(classes), quota=admission.quota, retry_policy=admission.retry_policy
            )
            for admission, classes in classes_by_admission.items()
        ]

    def _effective_admission(self, table: TableContents, request_class: int) -> Admission:
        """Return the lower of the table's quota and the shared one, with the table's retry policy if set."""
        own = table.admission.get(request_class)
        shared = self.shared_admission.get(request_class)
        if own is None or shared is None:
            return own or shared
        return Admission(min(own.quota, shared.quota), own.retry_policy)

    def _with_ejections(
        self, state: ProxyState, endpoints: list[int], parts: list[UpdatePart]
    ) -> list[UpdatePart]:
        """Return the parts with ejected and restored endpoints added to the first, unless the proxy has them.

        `endpoints`: those that were ejected or restored in this round, or that the parts give a weight above
        0. A proxy keeps the ejections of all controllers, so it is sent the state of each such endpoint once.
        """
        forgotten = self.changes.forgotten
        unsent = {}
        for endpoint in endpoints:
            ejected = endpoint in self.ejected
            # None: unknown, as another controller may have ejected the endpoint at this proxy
            assumed = False if state.unconfigured or endpoint in forgotten else None
            if state.sent_ejections.get(endpoint, assumed) != ejected:
                unsent[endpoint] = ejected
        if not unsent:
            return parts
        state.sent_ejections |= unsent
        first, *others = parts or [UpdatePart()]
        first = first._replace(
            ejected=tuple(endpoint for endpoint, ejected in unsent.items() if ejected),
            restored=tuple(endpoint for endpoint, ejected in unsent.items() if not ejected),
        )
        return [first, *others]

    def _with_nonce(self, state: ProxyState, parts: list[UpdatePart]) -> list[UpdatePart]:
        """Return the parts with the nonce in the last one, if the round requests acknowledgement."""
        nonce = self.changes.nonce
        if nonce is None or not (parts or self.changes.ack_from_all):
            return parts
        state.last_nonce = nonce
        *others, last = parts or [UpdatePart()]
        return [*others, last._replace(nonce=nonce)]

    def _named_classes(self, classes: int) -> tuple[int, ...]:
        return () if classes == self.all_classes else tuple(bits_of(classes))


def bits_of(mask: int) -> Iterator[int]:
    """Return the positions of the bits that are set, lowest first.

    >>> list(bits_of(0b1101))
    [0, 2, 3]
    """
    return (position for position in range(mask.bit_length()) if mask >> position & 1)
