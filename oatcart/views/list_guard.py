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

from oatcart.views.entries import DELETED, SERVING, EndpointEntry, ListAnswer


class ListGuard(NamedTuple):
    """Bounds of what one answer may take away.

    `max_removed_share`: the share of the serving nodes that may go at once; `mass_removal_count`: nodes that
    may go at once however few there are; `confirmation_delay`: s until a doubted list is asked for again;
    `min_endpoints`: in a whole list.
    """

    max_removed_share: float = 0.25
    mass_removal_count: int = 10
    confirmation_delay: float = 10.0
    min_endpoints: int = 1


class RejectedAnswerError(Exception):
    """An answer of which nothing is believed; the list stays as it was."""


class ListChanges(NamedTuple):
    """What an answer has changed. `unconfirmed`: nodes that it takes away and that stay for now."""

    changed: dict[str, EndpointEntry]
    removed: frozenset[str]
    unconfirmed: int


class AcceptedList:
    """The list in force: the last one that was believed."""

    def __init__(self, guard: ListGuard) -> None:
        self.guard = guard
        self.entries: dict[str, EndpointEntry] = {}
        self.unconfirmed_since: dict[str, float] = {}  # since when a node is missing that is held on to

    def accept(self, now: float, answer: ListAnswer) -> ListChanges:
        """The changes that an answer makes; raises RejectedAnswerError."""
        listed = {
            endpoint_id: entry for endpoint_id, entry in answer.entries.items() if entry.phase != DELETED
        }
        if answer.is_complete and len(listed) < self.guard.min_endpoints:
            raise RejectedAnswerError(f"it has {len(listed)} nodes, fewer than {self.guard.min_endpoints}")
        missing = self._missing(answer, listed)
        unconfirmed = self._unconfirmed(now, missing, answer.is_complete)
        removed = frozenset(missing - unconfirmed)
        changed = {endpoint_id: entry for endpoint_id, entry in listed.items() if self._is_changed(entry)}
        self._note_unconfirmed(now, unconfirmed, listed.keys() | removed | answer.unreadable_ids)
        self.entries.update(changed)
        for endpoint_id in removed:
            del self.entries[endpoint_id]
        return ListChanges(changed, removed, len(unconfirmed))

    def refetch_at(self) -> float:
        """When the whole list is to be asked for because of a doubt; inf where there is none."""
        return min(self.unconfirmed_since.values(), default=inf) + self.guard.confirmation_delay

    def _missing(self, answer: ListAnswer, listed: dict[str, EndpointEntry]) -> set[str]:
        if answer.is_complete:
            return self.entries.keys() - listed.keys() - answer.unreadable_ids
        return {
            endpoint_id
            for endpoint_id in answer.entries
            if endpoint_id not in listed and endpoint_id in self.entries
        }

    def _unconfirmed(self, now: float, missing: set[str], is_complete: bool) -> set[str]:
        """The missing nodes that stay. Only a whole list at the hold's end confirms that they are gone."""
        missing_ready = {endpoint_id for endpoint_id in missing if self.entries[endpoint_id].phase == SERVING}
        new = {endpoint_id for endpoint_id in missing_ready if endpoint_id not in self.unconfirmed_since}
        unconfirmed = new if self._is_mass_removal(len(new)) else set()
        for endpoint_id in missing_ready - new:
            if not is_complete or now < self.unconfirmed_since[endpoint_id] + self.guard.confirmation_delay:
                unconfirmed.add(endpoint_id)
        return unconfirmed

    def _is_mass_removal(self, missing_ready: int) -> bool:
        if missing_ready <= self.guard.mass_removal_count:
            return False
        serving = sum(entry.phase == SERVING for entry in self.entries.values())
        return missing_ready > self.guard.max_removed_share * serving

    def _is_changed(self, entry: EndpointEntry) -> bool:
        old = self.entries.get(entry.id)
        return old is None or old.encoded != entry.encoded

    def _note_unconfirmed(self, now: float, unconfirmed: set[str], resolved: set[str]) -> None:
        for endpoint_id in unconfirmed:
            self.unconfirmed_since.setdefault(endpoint_id, now)
        for endpoint_id in resolved:
            self.unconfirmed_since.pop(endpoint_id, None)
