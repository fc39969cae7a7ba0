"""One view's revisions and its bounded log of changes. Free of I/O.

The log has one record a revision: the ids that it changed. A watcher that holds a revision which the log
still covers gets what has changed since, each node once, as it stands now; any other watcher gets the whole
view.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from oatcart.views.entries import Entry

CHANGES_MOST = 500  # ids in the log, as many as a view has; for whoever missed more the whole view is shorter


class Change(NamedTuple):
    """A revision and the nodes that it changed."""

    revision: int
    ids: tuple[str, ...]


class History:
    """`first`: the revision of the view that it begins with."""

    def __init__(self, first: int, entries: Mapping[str, Entry], changes_most: int = CHANGES_MOST) -> None:
        self.revision = self.oldest = first
        self.entries = dict(entries)
        self.changes_most = changes_most
        self.log: deque[Change] = deque()
        self.logged = 0  # ids in the log
        self.changed_at: dict[str, int] = {}  # the newest revision in the log that changed a node
        self.left: dict[str, Entry] = {}  # nodes in the log that are in the view no more, as they were last

    def replace(self, entries: Mapping[str, Entry], revision: int) -> bool:
        """The view from that revision on; hands back whether anything is different."""
        if revision <= self.revision:
            raise ValueError(f"revision {revision} after {self.revision}")
        ids = tuple(self._different(entries))
        if not ids:
            return False
        for node in ids:
            if node in entries:
                self.left.pop(node, None)
            else:
                self.left[node] = self.entries[node]
            self.changed_at[node] = revision
        self.entries, self.revision = dict(entries), revision
        self.log.append(Change(revision, ids))
        self.logged += len(ids)
        while self.logged > self.changes_most:
            self._forget_oldest()
        return True

    def whole(self) -> bytes:
        """The whole view as the body of an answer."""
        return _body(self.revision, True, (entry.encoded for entry in self.entries.values()))

    def since(self, revision: int) -> bytes | None:
        """The body that tells a watcher what it has missed; None where it has missed nothing."""
        if revision == self.revision:
            return None
        ids = self._changed_since(revision)
        if ids is None:
            return self.whole()
        return _body(self.revision, False, (self._told(node) for node in ids))

    def nothing(self) -> bytes:
        """The body that ends a wait which has brought nothing."""
        return _body(self.revision, False, ())

    def _different(self, entries: Mapping[str, Entry]) -> Iterator[str]:
        for node, entry in entries.items():
            old = self.entries.get(node)
            if old is not entry and (old is None or old.encoded != entry.encoded):
                yield node
        yield from (node for node in self.entries if node not in entries)

    def _changed_since(self, revision: int) -> list[str] | None:
        """The nodes changed since; None where the log does not reach back so far, or this history never
        issued it."""
        if revision == self.oldest:
            return list(self.changed_at)
        ids: dict[str, None] = {}
        for change in reversed(self.log):
            if change.revision <= revision:
                return list(ids) if change.revision == revision else None
            ids.update(dict.fromkeys(change.ids))
        return None

    def _told(self, node: str) -> bytes:
        return self.entries[node].encoded if node in self.entries else self.left[node].deleted

    def _forget_oldest(self) -> None:
        change = self.log.popleft()
        self.oldest = change.revision
        self.logged -= len(change.ids)
        for node in change.ids:
            if self.changed_at[node] == change.revision:
                del self.changed_at[node]
                self.left.pop(node, None)


def _body(revision: int, whole: bool, entries: Iterable[bytes]) -> bytes:
    complete = b"true" if whole else b"false"
    return b'{"revision":%d,"complete":%s,"members":[%s]}' % (revision, complete, b",".join(entries))
