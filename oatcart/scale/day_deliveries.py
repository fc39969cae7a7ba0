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

from oatcart.scale.day_relay import Word, entry_state
from oatcart.scale.day_schedule import Change, Kind
from oatcart.scale.day_views import ExpectedViews
from oatcart.scale.discovery import DELETED


class Cut(NamedTuple):
    """Controllers that were told nothing from one moment to another (monotonic seconds)."""

    controllers: frozenset[str]
    since: float
    until: float

    def hides(self, name: str, first: float, last: float) -> bool:
        """Whether a controller was cut off at any time between two moments."""
        return name in self.controllers and first <= self.until and last >= self.since


@dataclass
class Deliveries:
    """What became of the changes of one kind, in pairs of an endpoint changed and a controller concerned.

    `delays` are seconds until a controller had the change, `last_delays` of each changed endpoint until the
    last one had it. `late` pairs came after the budget, `missed` ones never; of `overtaken` ones a later
    change took the endpoint from the view before it was told, within the budget; `cut_off` ones were made
    while the controller was cut off. `unheld` endpoints concerned nobody.
    """

    events: int = 0
    nodes: int = 0
    unheld: int = 0
    pairs: int = 0
    overtaken: int = 0
    cut_off: int = 0
    delays: list[float] = field(default_factory=list)
    last_delays: list[float] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)


@dataclass
class Drains:
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
        self, first: Iterable[dict], changes: Sequence[Change], words: Mapping[str, Sequence[Word]]
    ) -> None:
        self.changes = changes
        self._change_of = {(entry["id"], entry_state(entry)): -1 for entry in first}
        for number, change in enumerate(changes):
            for entry in change.entries:
                if entry["phase"] != DELETED:
                    self._change_of[entry["id"], entry_state(entry)] = number
        self.words: dict[str, dict[str, list[Word]]] = {}
        for name, told in words.items():
            by_endpoint = self.words.setdefault(name, {})
            for word in told:
                by_endpoint.setdefault(word.endpoint, []).append(word)

    def change_told(self, word: Word) -> int:
        """The number of the change that set the state told; -1 for the state before the day."""
        return self._change_of[word.endpoint, word.state]

    def last_word(self, name: str, endpoint: str, at: float) -> Word | None:
        """The last state of an endpoint that a controller was sent by a moment; None where it held none."""
        words = self.words[name].get(endpoint, [])
        place = bisect_right(words, at, key=lambda word: word.at)
        return words[place - 1] if place and words[place - 1].state else None

    def had_at(self, name: str, endpoint: str, number: int) -> float | None:
        """When a controller had a change of an endpoint; None where it never had."""
        made_at = self.changes[number].at
        return next(
            (
                word.at
                for word in self.words[name].get(endpoint, [])
                if word.at > made_at and (word.state is None or self.change_told(word) >= number)
            ),
            None,
        )


def deliveries(
    history: History, expected: ExpectedViews, cuts: Collection[Cut], budget_s: float
) -> dict[Kind, Deliveries]:
    """What became of each kind of change, which ought to be had within `budget_s`."""
    found: dict[Kind, Deliveries] = {}
    for number, change in enumerate(history.changes):
        kind = found.setdefault(change.kind, Deliveries())
        kind.events += 1
        for entry in change.entries:
            kind.nodes += 1
            _deliver(kind, history, expected, cuts, budget_s, number, entry["id"])
    return found


def _deliver(
    kind: Deliveries,
    history: History,
    expected: ExpectedViews,
    cuts: Collection[Cut],
    budget_s: float,
    number: int,
    endpoint: str,
) -> None:
    change = history.changes[number]
    delays = []
    concerned = list(_concerned(history, expected, number, endpoint))
    kind.unheld += not concerned
    for name in concerned:
        kind.pairs += 1
        had_at = history.had_at(name, endpoint, number)
        if any(cut.hides(name, change.at, change.at if had_at is None else had_at) for cut in cuts):
            kind.cut_off += 1
        elif _is_overtaken(history, expected, budget_s, number, name, endpoint, had_at):
            kind.overtaken += 1
        elif had_at is None:
            kind.missed.append(f"{change.kind.value}: {endpoint}: {name}")
        else:
            delays.append(had_at - change.at)
            if delays[-1] > budget_s:
                kind.late.append(f"{change.kind.value}: {endpoint}: {name}: {delays[-1]:.2f} s")
    kind.delays += delays
    if delays:
        kind.last_delays.append(max(delays))


def _concerned(history: History, expected: ExpectedViews, number: int, endpoint: str) -> Iterator[str]:
    """The controllers that a change of an endpoint concerns."""
    change = history.changes[number]
    if change.kind is Kind.RETURN:
        yield from expected.returned[number, endpoint]
        return
    for name in history.words:
        if history.last_word(name, endpoint, change.at):
            yield name


def _is_overtaken(
    history: History,
    expected: ExpectedViews,
    budget_s: float,
    number: int,
    name: str,
    endpoint: str,
    had_at: float | None,
) -> bool:
    """Whether an endpoint that came back left the view again before it was told, and before it had to be."""
    if history.changes[number].kind is not Kind.RETURN:
        return False
    dropped = expected.is_dropped_after(name, endpoint, number)
    if dropped is None:
        return False
    dropped_at = history.changes[dropped].at
    in_time = dropped_at - history.changes[number].at < budget_s
    return in_time and (had_at is None or had_at > dropped_at)


def drains(history: History, cuts: Collection[Cut]) -> Drains:
    """Whether each drained endpoint reached every controller that held it before it was deleted."""
    found = Drains()
    drained: dict[str, int] = {}  # by endpoint, the number of its last drain
    for number, change in enumerate(history.changes):
        for entry in change.entries:
            if change.kind is Kind.DRAIN:
                drained[entry["id"]] = number
            elif change.kind is Kind.DELETE:
                found.nodes += 1
                _check_drain(found, history, cuts, entry["id"], drained.pop(entry["id"]), number)
    return found


def _check_drain(
    found: Drains, history: History, cuts: Collection[Cut], endpoint: str, drain: int, deletion: int
) -> None:
    drained_at, deleted_at = history.changes[drain].at, history.changes[deletion].at
    for name in history.words:
        last = history.last_word(name, endpoint, deleted_at)
        knows = last is None or history.change_told(last) >= drain
        if last is None and not history.last_word(name, endpoint, drained_at):
            continue  # it did not hold the endpoint
        if not knows and any(cut.hides(name, drained_at, deleted_at) for cut in cuts):
            found.cut_off += 1
        elif knows:
            found.reached += 1
        else:
            found.missed.append(f"{name}: {endpoint}")
