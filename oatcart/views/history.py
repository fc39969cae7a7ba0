"""One view's revisions and its bounded change log. Free of I/O.

For each revision the log has the ids of the endpoints that it changed. A watch from a revision that the log
still covers is answered with the changes since then: each changed endpoint once, with its current entry. Any
other watch is answered with the complete view.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from oatcart.views.entries import EndpointEntry

# The maximum size of a view: beyond it the complete view is shorter than the changes.
MAX_LOGGED_IDS = 500


class ViewChange(NamedTuple):
    """A revision and the ids of the endpoints that it added, changed or removed."""

    revision: int
    endpoint_ids: tuple[str, ...]


class ViewHistory:
    """The current entries of one view and the changes that led to them.

    `first_revision` is the revision of `entries`; `max_logged_ids` bounds the total number of ids in the
    log.
    """

    def __init__(
        self, first_revision: int, entries: Mapping[str, EndpointEntry], max_logged_ids: int = MAX_LOGGED_IDS
    ) -> None:
        self.revision = self.oldest_revision = first_revision
        self.entries = dict(entries)
        self.max_logged_ids = max_logged_ids
        self.changes: deque[ViewChange] = deque()
        self.logged_ids = 0
        # For the endpoints in the log: the last revision that changed each, and the last entries of those
        # that are no longer in the view.
        self.last_changed: dict[str, int] = {}
        self.removed_entries: dict[str, EndpointEntry] = {}

    def replace(self, entries: Mapping[str, EndpointEntry], revision: int) -> bool:
        """Replaces the entries at a new revision. Returns whether any entry differs; if none does, the view
        keeps its revision.

        Raises ValueError if the revision is not above the current one.
        """
        if revision <= self.revision:
            raise ValueError(f"revision {revision} is not above the current one, {self.revision}")
        endpoint_ids = tuple(self._differing_ids(entries))
        if not endpoint_ids:
            return False
        for endpoint_id in endpoint_ids:
            if endpoint_id in entries:
                self.removed_entries.pop(endpoint_id, None)
            else:
                self.removed_entries[endpoint_id] = self.entries[endpoint_id]
            self.last_changed[endpoint_id] = revision
        self.entries, self.revision = dict(entries), revision
        self.changes.append(ViewChange(revision, endpoint_ids))
        self.logged_ids += len(endpoint_ids)
        while self.logged_ids > self.max_logged_ids:
            self._drop_oldest_change()
        return True

    def complete_list(self) -> bytes:
        """The body of a response with the complete view."""
        return _encode_list(self.revision, True, (entry.encoded for entry in self.entries.values()))

    def changes_since(self, revision: int) -> bytes | None:
        """The body of a response with the changes since a revision, None if there are none. For a revision
        that the log does not cover, or that this history never had, it is the complete view."""
        if revision == self.revision:
            return None
        endpoint_ids = self._ids_changed_since(revision)
        if endpoint_ids is None:
            return self.complete_list()
        return _encode_list(self.revision, False, map(self._encoded, endpoint_ids))

    def no_changes(self) -> bytes:
        """The body of the response to a watch without changes."""
        return _encode_list(self.revision, False, ())

    def _differing_ids(self, entries: Mapping[str, EndpointEntry]) -> Iterator[str]:
        for endpoint_id, entry in entries.items():
            old = self.entries.get(endpoint_id)
            if old is not entry and (old is None or old.encoded != entry.encoded):
                yield endpoint_id
        yield from (endpoint_id for endpoint_id in self.entries if endpoint_id not in entries)

    def _ids_changed_since(self, revision: int) -> list[str] | None:
        """The endpoints changed since a revision; None if the log does not cover it or this history never had
        it."""
        if revision == self.oldest_revision:
            return list(self.last_changed)
        endpoint_ids: dict[str, None] = {}
        for change in reversed(self.changes):
            if change.revision <= revision:
                return list(endpoint_ids) if change.revision == revision else None
            endpoint_ids.update(dict.fromkeys(change.endpoint_ids))
        return None

    def _encoded(self, endpoint_id: str) -> bytes:
        if endpoint_id in self.entries:
            return self.entries[endpoint_id].encoded
        return self.removed_entries[endpoint_id].deleted

    def _drop_oldest_change(self) -> None:
        change = self.changes.popleft()
        self.oldest_revision = change.revision
        self.logged_ids -= len(change.endpoint_ids)
        for endpoint_id in change.endpoint_ids:
            if self.last_changed[endpoint_id] == change.revision:
                del self.last_changed[endpoint_id]
                self.removed_entries.pop(endpoint_id, None)


def _encode_list(revision: int, is_complete: bool, entries: Iterable[bytes]) -> bytes:
    complete = b"true" if is_complete else b"false"
    return b'{"revision":%d,"complete":%s,"members":[%s]}' % (revision, complete, b",".join(entries))
