"""When each controller received each change: the changes of a day compared with the states received.

A change affects the controllers whose list had the endpoint when the change was made; the return of an
endpoint affects those whose expected view has it then. A controller has received a change once it has
received the state that the change set, a newer one, or the removal of the endpoint from its list. Times are
real; the day compresses only the gaps between changes.
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
    """Controllers that received no answers between two moments (monotonic seconds)."""

    controllers: frozenset[str]
    since: float
    until: float

    def overlaps(self, name: str, first: float, last: float) -> bool:
        """Returns whether a controller was cut off at any time between two moments."""
        return name in self.controllers and first <= self.until and last >= self.since


@dataclass
class DeliveryStats:
    """The deliveries of changes of one kind, in pairs of a changed endpoint and an affected controller.

    `delays` are the seconds until a controller received the change, `last_delays` those until the last
    affected controller did, one for each changed endpoint. Pairs `over_budget` were delivered after the
    budget, `missed` ones never. For `overtaken` pairs a later change, made within the budget, removed the
    endpoint from the view before it was delivered; for `cut_off` ones the controller was cut off between the
    change and its delivery. `unheld` endpoints affected no controller.
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
    """Drained endpoints that were deleted, counted in pairs with the controllers whose list had them.

    A pair is `reached` if the controller received the drain, or the removal of the endpoint from its list,
    before the deletion.
    """

    nodes: int = 0
    reached: int = 0
    cut_off: int = 0
    missed: list[str] = field(default_factory=list)


class History:
    """The changes of a day and the endpoint states that each controller received, by endpoint."""

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
        """Returns the number of the change that set a received state; -1 for the state before the day."""
        return self._change_of[one.endpoint, one.state]

    def last_received(self, name: str, endpoint: str, at: float) -> ReceivedState | None:
        """Returns the last state of an endpoint that a controller received up to a moment.

        None if its list did not have the endpoint.
        """
        received = self.received[name].get(endpoint, [])
        index = bisect_right(received, at, key=lambda one: one.at)
        return received[index - 1] if index and received[index - 1].state else None

    def received_at(self, name: str, endpoint: str, number: int) -> float | None:
        """Returns when a controller received a change of an endpoint; None if it never did."""
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
    """Returns the deliveries of each kind of change; each is expected within `budget_s`."""
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
    """Yields the controllers that a change of an endpoint affects."""
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
    """Returns whether a returned endpoint left the view again before its delivery, and within the budget."""
    if history.changes[number].kind is not ChangeKind.RETURN:
        return False
    dropped = expected.change_dropping(name, endpoint, number)
    if dropped is None:
        return False
    dropped_at = history.changes[dropped].at
    in_time = dropped_at - history.changes[number].at < budget_s
    return in_time and (received_at is None or received_at > dropped_at)


def drain_stats(history: History, disconnections: Collection[Disconnection]) -> DrainStats:
    """Counts the controllers that received each drain before the endpoint was deleted, and the others."""
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
            continue  # its list did not have the endpoint
        if not has_drain and any(one.overlaps(name, drained_at, deleted_at) for one in disconnections):
            found.cut_off += 1
        elif has_drain:
            found.reached += 1
        else:
            found.missed.append(f"{name}: {endpoint}")
