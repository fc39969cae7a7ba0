"""Which controllers had which change when: the changes of a day held against the words that controllers were
told.

A change concerns the controllers that held the endpoint when it was made; an endpoint that is back concerns
those whose view ought to have it then. A controller has the change once it has the state that it set, a newer
one, or word that the endpoint has left its list. Times are real; the day compresses only the gaps between
changes.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.scale.day_relay import ReceivedState, entry_state
from oatcart.scale.day_schedule import Change, ChangeKind
from oatcart.scale.day_views import ExpectedViews
from oatcart.scale.discovery import DELETED


class Disconnection(NamedTuple):
    """Controllers that were told nothing from one moment to another (monotonic seconds)."""

    controllers: frozenset[str]
    since: float
    until: float

    def overlaps(self, name: str, first: float, last: float) -> bool:
        """Whether a controller was cut off at any time between two moments."""
        return name in self.controllers and first <= self.until and last >= self.since


@dataclass
class DeliveryStats:
    """What became of the changes of one kind, in pairs of an endpoint changed and a controller concerned.

    `delays` are seconds until a controller had the change, `last_delays` of each changed endpoint until the
    last one had it. `late` pairs came after the budget, `missed` ones never; of `overtaken` ones a later
    change took the endpoint from the view before it was told, within the budget; `cut_off` ones were made
    while the controller was cut off. `unheld` endpoints concerned nobody.
    """

    revisions: int = 0
    endpoints: int = 0
    unheld: int = 0
    pairs: int = 0
    overtaken: int = 0
    cut_off: int = 0
    delays: list[float] = field(default_factory=list)
    last_delays: list[float] = field(default_factory=list)
    over_budget: list[str] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)


@dataclass
class DrainStats:
    """Drained endpoints that were deleted, in pairs with the controllers that held them.

    A pair is `reached` where the controller had the drain, or had the endpoint no more, before the deletion.
    """

    nodes: int = 0
    reached: int = 0
    cut_off: int = 0
    missed: list[str] = field(default_factory=list)


class History:
    """The states of all endpoints and what each controller was told of them, by endpoint."""

    def __init__(
        self,
        first: Iterable[dict],
        changes: Sequence[Change],
        received: Mapping[str, Sequence[ReceivedState]],
    ) -> None:
        self.changes = changes
        self._change_of = {(entry["id"], entry_state(entry)): -1 for entry in first}
        for number, change in enumerate(changes):
            for entry in change.entries:
                if entry["phase"] != DELETED:
                    self._change_of[entry["id"], entry_state(entry)] = number
        self.received: dict[str, dict[str, list[ReceivedState]]] = {}
        for name, states in received.items():
            by_endpoint = self.received.setdefault(name, {})
            for one in states:
                by_endpoint.setdefault(one.endpoint, []).append(one)

    def change_of(self, one: ReceivedState) -> int:
        """The number of the change that set the state told; -1 for the state before the day."""
        return self._change_of[one.endpoint, one.state]

    def last_received(self, name: str, endpoint: str, at: float) -> ReceivedState | None:
        """The last state of an endpoint that a controller was sent by a moment; None where it held none."""
        received = self.received[name].get(endpoint, [])
        index = bisect_right(received, at, key=lambda one: one.at)
        return received[index - 1] if index and received[index - 1].state else None

    def received_at(self, name: str, endpoint: str, number: int) -> float | None:
        """When a controller had a change of an endpoint; None where it never had."""
        made_at = self.changes[number].at
        return next(
            (
                one.at
                for one in self.received[name].get(endpoint, [])
                if one.at > made_at and (one.state is None or self.change_of(one) >= number)
            ),
            None,
        )


def delivery_stats(
    history: History, expected: ExpectedViews, disconnections: Collection[Disconnection], budget_s: float
) -> dict[ChangeKind, DeliveryStats]:
    """What became of each kind of change, which ought to be had within `budget_s`."""
    found: dict[ChangeKind, DeliveryStats] = {}
    for number, change in enumerate(history.changes):
        stats = found.setdefault(change.kind, DeliveryStats())
        stats.revisions += 1
        for entry in change.entries:
            stats.endpoints += 1
            _count_deliveries(stats, history, expected, disconnections, budget_s, number, entry["id"])
    return found


def _count_deliveries(
    stats: DeliveryStats,
    history: History,
    expected: ExpectedViews,
    disconnections: Collection[Disconnection],
    budget_s: float,
    number: int,
    endpoint: str,
) -> None:
    change = history.changes[number]
    delays = []
    affected = list(_affected_controllers(history, expected, number, endpoint))
    stats.unheld += not affected
    for name in affected:
        stats.pairs += 1
        received_at = history.received_at(name, endpoint, number)
        if any(
            one.overlaps(name, change.at, change.at if received_at is None else received_at)
            for one in disconnections
        ):
            stats.cut_off += 1
        elif _is_overtaken(history, expected, budget_s, number, name, endpoint, received_at):
            stats.overtaken += 1
        elif received_at is None:
            stats.missed.append(f"{change.kind.value}: {endpoint}: {name}")
        else:
            delays.append(received_at - change.at)
            if delays[-1] > budget_s:
                stats.over_budget.append(f"{change.kind.value}: {endpoint}: {name}: {delays[-1]:.2f} s")
    stats.delays += delays
    if delays:
        stats.last_delays.append(max(delays))


def _affected_controllers(
    history: History, expected: ExpectedViews, number: int, endpoint: str
) -> Iterator[str]:
    """The controllers that a change of an endpoint concerns."""
    change = history.changes[number]
    if change.kind is ChangeKind.RETURN:
        yield from expected.holders_of_returned[number, endpoint]
        return
    for name in history.received:
        if history.last_received(name, endpoint, change.at):
            yield name


def _is_overtaken(
    history: History,
    expected: ExpectedViews,
    budget_s: float,
    number: int,
    name: str,
    endpoint: str,
    received_at: float | None,
) -> bool:
    """Whether an endpoint that came back left the view again before it was told, and before it had to be."""
    if history.changes[number].kind is not ChangeKind.RETURN:
        return False
    dropped = expected.change_dropping(name, endpoint, number)
    if dropped is None:
        return False
    dropped_at = history.changes[dropped].at
    in_time = dropped_at - history.changes[number].at < budget_s
    return in_time and (received_at is None or received_at > dropped_at)


def drain_stats(history: History, disconnections: Collection[Disconnection]) -> DrainStats:
    """Whether each drained endpoint reached every controller that held it before it was deleted."""
    found = DrainStats()
    last_drain: dict[str, int] = {}  # by endpoint, the number of its last drain
    for number, change in enumerate(history.changes):
        for entry in change.entries:
            if change.kind is ChangeKind.DRAIN:
                last_drain[entry["id"]] = number
            elif change.kind is ChangeKind.DELETE:
                found.nodes += 1
                _check_drain(found, history, disconnections, entry["id"], last_drain.pop(entry["id"]), number)
    return found


def _check_drain(
    found: DrainStats,
    history: History,
    disconnections: Collection[Disconnection],
    endpoint: str,
    drain: int,
    deletion: int,
) -> None:
    drained_at, deleted_at = history.changes[drain].at, history.changes[deletion].at
    for name in history.received:
        last = history.last_received(name, endpoint, deleted_at)
        has_drain = last is None or history.change_of(last) >= drain
        if last is None and not history.last_received(name, endpoint, drained_at):
            continue  # it did not hold the endpoint
        if not has_drain and any(one.overlaps(name, drained_at, deleted_at) for one in disconnections):
            found.cut_off += 1
        elif has_drain:
            found.reached += 1
        else:
            found.missed.append(f"{name}: {endpoint}")
