"""Decides which parts of discovery's responses are accepted. Free of I/O.

All views are decided from one endpoint list, so one wrong response would affect every controller. The rules:

- New endpoints, changed entries and draining are accepted at once.
- Endpoints that were draining may be removed at once.
- A response that removes more than a configured share of the ready endpoints is a mass removal: these
  endpoints are kept unchanged, their removal unconfirmed, and the complete list is fetched again after a
  delay. Those still missing from it are removed.
- A complete list with fewer endpoints than a configured minimum is rejected.
- An endpoint whose entry is malformed is kept unchanged.
"""

from math import inf
from typing import NamedTuple

from oatcart.views.entries import DELETED, SERVING, EndpointEntry, ListResponse


class ListGuard(NamedTuple):
    """Limits of what one response may remove.

    `max_removed_share`: share of the ready endpoints that may be removed at once; `mass_removal_count`:
    number that may be removed at once even if it exceeds that share; `confirmation_delay`: s until the
    complete list is fetched again after a mass removal; `min_endpoints`: of a complete list.
    """

    max_removed_share: float = 0.25
    mass_removal_count: int = 10
    confirmation_delay: float = 10.0
    min_endpoints: int = 1


class RejectedResponseError(Exception):
    """A response that is rejected as a whole; the list is unchanged."""


class ListChanges(NamedTuple):
    """The changes by one response. `unconfirmed`: the number of endpoints that it removes but that are
    kept."""

    changed: dict[str, EndpointEntry]
    removed: frozenset[str]
    unconfirmed: int


class AcceptedList:
    """The accepted endpoint list; entries by endpoint id."""

    def __init__(self, guard: ListGuard) -> None:
        self.guard = guard
        self.entries: dict[str, EndpointEntry] = {}
        self.unconfirmed_since: dict[
            str, float
        ] = {}  # by endpoint: time (s) of the first response without it

    def accept(self, now: float, response: ListResponse) -> ListChanges:
        """Applies the accepted part of a response received at `now` (s) and returns the changes.

        Raises RejectedResponseError if the response has too few endpoints.
        """
        listed = {entry.id: entry for entry in response.entries.values() if entry.phase != DELETED}
        if response.is_complete and len(listed) < self.guard.min_endpoints:
            raise RejectedResponseError(
                f"complete list of {len(listed)} endpoints, fewer than {self.guard.min_endpoints}"
            )
        missing = self._missing(response, listed)
        unconfirmed = self._unconfirmed(now, missing, response.is_complete)
        removed = frozenset(missing - unconfirmed)
        changed = {entry.id: entry for entry in listed.values() if self._is_changed(entry)}
        self._note_unconfirmed(now, unconfirmed, listed.keys() | removed | response.unreadable_ids)
        self.entries.update(changed)
        for endpoint_id in removed:
            del self.entries[endpoint_id]
        return ListChanges(changed, removed, len(unconfirmed))

    def refetch_at(self) -> float:
        """The time (s) to fetch the complete list that confirms removals; inf if none is unconfirmed."""
        return min(self.unconfirmed_since.values(), default=inf) + self.guard.confirmation_delay

    def _missing(self, response: ListResponse, listed: dict[str, EndpointEntry]) -> set[str]:
        if response.is_complete:
            return self.entries.keys() - listed.keys() - response.unreadable_ids
        return (response.entries.keys() - listed.keys()) & self.entries.keys()

    def _unconfirmed(self, now: float, missing: set[str], is_complete: bool) -> set[str]:
        """The missing endpoints that are kept: only a complete list after the delay confirms their
        removal."""
        missing_ready = {endpoint_id for endpoint_id in missing if self.entries[endpoint_id].phase == SERVING}
        newly_missing = missing_ready - self.unconfirmed_since.keys()
        unconfirmed = newly_missing if self._is_mass_removal(len(newly_missing)) else set()
        for endpoint_id in missing_ready - newly_missing:
            confirmed_at = self.unconfirmed_since[endpoint_id] + self.guard.confirmation_delay
            if not is_complete or now < confirmed_at:
                unconfirmed.add(endpoint_id)
        return unconfirmed

    def _is_mass_removal(self, count: int) -> bool:
        if count <= self.guard.mass_removal_count:
            return False
        ready = sum(entry.phase == SERVING for entry in self.entries.values())
        return count > self.guard.max_removed_share * ready

    def _is_changed(self, entry: EndpointEntry) -> bool:
        old = self.entries.get(entry.id)
        return old is None or old.encoded != entry.encoded

    def _note_unconfirmed(self, now: float, unconfirmed: set[str], resolved: set[str]) -> None:
        for endpoint_id in unconfirmed:
            self.unconfirmed_since.setdefault(endpoint_id, now)
        for endpoint_id in resolved:
            self.unconfirmed_since.pop(endpoint_id, None)
