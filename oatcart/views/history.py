"""One view's revisions and its bounded log of changes. Free of I/O.

The log has one record a revision: the ids that it changed. A watcher that holds a revision which the log
still covers gets what has changed since, each node once, as it stands now; any other watcher gets the whole
view.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from oatcart.views.entries import Entry

# As many ids as a view has; for whoever missed more the whole view is shorter.
MAX_LOGGED_IDS = 500


class ViewChange(NamedTuple):
    """A revision and the nodes that it changed."""

    revision: int
    endpoint_ids: tuple[str, ...]


class ViewHistory:
    """`first`: the revision of the view that it begins with."""

    def __init__(
        self, first_revision: int, entries: Mapping[str, Entry], max_logged_ids: int = MAX_LOGGED_IDS
    ) -> None:
        self.revision = self.oldest_revision = first_revision
        self.entries = dict(entries)
        self.max_logged_ids = max_logged_ids
        self.changes: deque[ViewChange] = deque()
        self.logged_ids = 0  # ids in the log
        self.last_changed: dict[str, int] = {}  # the newest revision in the log that changed a node
        self.removed_entries: dict[
            str, Entry
        ] = {}  # nodes in the log that are in the view no more, as they were last

    def replace(self, entries: Mapping[str, Entry], revision: int) -> bool:
        """The view from that revision on; hands back whether anything is different."""
        if revision <= self.revision:
            raise ValueError(f"revision {revision} after {self.revision}")
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
        """The whole view as the body of an answer."""
        return _encode_list(self.revision, True, (entry.encoded for entry in self.entries.values()))

    def changes_since(self, revision: int) -> bytes | None:
        """The body that tells a watcher what it has missed; None where it has missed nothing."""
        if revision == self.revision:
            return None
        endpoint_ids = self._ids_changed_since(revision)
        if endpoint_ids is None:
            return self.complete_list()
        return _encode_list(
            self.revision, False, (self._encoded(endpoint_id) for endpoint_id in endpoint_ids)
        )

    def no_changes(self) -> bytes:
        """The body that ends a wait which has brought nothing."""
        return _encode_list(self.revision, False, ())

    def _differing_ids(self, entries: Mapping[str, Entry]) -> Iterator[str]:
        for endpoint_id, entry in entries.items():
            old = self.entries.get(endpoint_id)
            if old is not entry and (old is None or old.encoded != entry.encoded):
                yield endpoint_id
        yield from (endpoint_id for endpoint_id in self.entries if endpoint_id not in entries)

    def _ids_changed_since(self, revision: int) -> list[str] | None:
        """The nodes changed since; None where the log does not reach back so far, or this history never
        issued it."""
        if revision == self.oldest_revision:
            return list(self.last_changed)
        endpoint_ids: dict[str, None] = {}
        for change in reversed(self.changes):
            if change.revision <= revision:
                return list(endpoint_ids) if change.revision == revision else None
            endpoint_ids.update(dict.fromkeys(change.endpoint_ids))
        return None

    def _encoded(self, endpoint_id: str) -> bytes:
        return (
            self.entries[endpoint_id].encoded
            if endpoint_id in self.entries
            else self.removed_entries[endpoint_id].deleted
        )

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
