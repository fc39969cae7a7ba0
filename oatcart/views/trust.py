"""What is believed of the list of nodes that discovery serves. Free of I/O.

Discovery may be wrong for one answer, and all views are made from it, so one bad answer would be felt
everywhere at once. The rules:

- New nodes, changed entries and drains are believed at once.
- Nodes that were draining may go at once: their going was announced.
- An answer that takes away more than a stated share of the serving nodes is doubted: those stay as they were,
  and the whole list is asked for again after a hold. Nodes that are still missing then are gone.
- A whole list with fewer nodes than a stated least, which is one at the least, is refused as a whole.
- A node whose entry cannot be used stays as it was.
"""

from math import inf
from typing import NamedTuple

from oatcart.views.entries import DELETED, SERVING, Answer, Entry


class Guard(NamedTuple):
    """Bounds of what one answer may take away.

    `drop_share`: the share of the serving nodes that may go at once; `drop_least`: nodes that may go at once
    however few there are; `hold`: s until a doubted list is asked for again; `least_nodes`: in a whole list.
    """

    drop_share: float = 0.25
    drop_least: int = 10
    hold: float = 10.0
    least_nodes: int = 1


class RejectedAnswerError(Exception):
    """An answer of which nothing is believed; the list stays as it was."""


class Outcome(NamedTuple):
    """What an answer has changed. `held`: nodes that it takes away and that stay for now."""

    changed: dict[str, Entry]
    removed: frozenset[str]
    held: int


class TrustedList:
    """The list in force: the last one that was believed."""

    def __init__(self, guard: Guard) -> None:
        self.guard = guard
        self.entries: dict[str, Entry] = {}
        self.doubted: dict[str, float] = {}  # since when a node is missing that is held on to

    def take(self, now: float, answer: Answer) -> Outcome:
        """The changes that an answer makes; raises RejectedAnswerError."""
        told = {node: entry for node, entry in answer.entries.items() if entry.phase != DELETED}
        if answer.whole and len(told) < self.guard.least_nodes:
            raise RejectedAnswerError(f"it has {len(told)} nodes, fewer than {self.guard.least_nodes}")
        missing = self._missing(answer, told)
        held = self._held(now, missing, answer.whole)
        removed = frozenset(missing - held)
        changed = {node: entry for node, entry in told.items() if self._is_new(entry)}
        self._doubt(now, held, told.keys() | removed | answer.unread)
        self.entries.update(changed)
        for node in removed:
            del self.entries[node]
        return Outcome(changed, removed, len(held))

    def ask_again(self) -> float:
        """When the whole list is to be asked for because of a doubt; inf where there is none."""
        return min(self.doubted.values(), default=inf) + self.guard.hold

    def _missing(self, answer: Answer, told: dict[str, Entry]) -> set[str]:
        if answer.whole:
            return self.entries.keys() - told.keys() - answer.unread
        return {node for node in answer.entries if node not in told and node in self.entries}

    def _held(self, now: float, missing: set[str], whole: bool) -> set[str]:
        """The missing nodes that stay. Only a whole list at the hold's end confirms that they are gone."""
        dropped = {node for node in missing if self.entries[node].phase == SERVING}
        fresh = {node for node in dropped if node not in self.doubted}
        held = fresh if self._is_doubtful(len(fresh)) else set()
        for node in dropped - fresh:
            if not whole or now < self.doubted[node] + self.guard.hold:
                held.add(node)
        return held

    def _is_doubtful(self, dropped: int) -> bool:
        if dropped <= self.guard.drop_least:
            return False
        serving = sum(entry.phase == SERVING for entry in self.entries.values())
        return dropped > self.guard.drop_share * serving

    def _is_new(self, entry: Entry) -> bool:
        old = self.entries.get(entry.id)
        return old is None or old.encoded != entry.encoded

    def _doubt(self, now: float, held: set[str], settled: set[str]) -> None:
        for node in held:
            self.doubted.setdefault(node, now)
        for node in settled:
            self.doubted.pop(node, None)
