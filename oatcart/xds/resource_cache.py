"""Versions of xDS resources, and the withdrawals that no client may miss. Free of I/O.

A resource's version is a digest of its body: equal bodies have equal versions, in another incarnation of the
controller too, so that versions of two incarnations never stand for different bodies. The order of changes is
kept apart from it, as a sequence number. Times are seconds of the caller's clock.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

WITHDRAWALS_MAX = 16  # of one resource; of an endpoint that comes and goes more often the oldest are merged
WITHDRAWAL_RETENTION = 10.0  # s; a client that is further behind is sent the current content
CHANGE_LOG_MAX = 8192  # changes; a client that is further behind is compared with all resources
ENCODING_VERSION = 1  # is increased where the same body is encoded differently, as its version must differ


def digest(*values: object) -> str:
    """A short digest of plain values, the same in every process.

    >>> digest("a", 1) == digest("a", 1), digest("a", 1) == digest("a", 2), len(digest())
    (True, False, 16)
    """
    return blake2b(repr((ENCODING_VERSION, values)).encode(), digest_size=8).hexdigest()


class ResourceContent(NamedTuple):
    """One version of a resource. `pickable`: the endpoints that requests may be sent to by it. `body` is
    opaque here; None says that the resource did not exist for a while.
    """

    sequence: int
    version: str
    body: Hashable
    pickable: frozenset


class Withdrawal(NamedTuple):
    """A content that took endpoints out. `at`: s."""

    at: float
    content: ResourceContent
    withdrawn: frozenset


class CachedResource:
    """A resource's current content, recent withdrawals and the sequence number of its last urgent change."""

    __slots__ = ("current", "last_urgent", "name", "withdrawals")

    def __init__(self, name: str, content: ResourceContent) -> None:
        self.name = name
        self.current = content
        self.last_urgent = 0
        self.withdrawals: deque[Withdrawal] = deque(maxlen=WITHDRAWALS_MAX)

    def update(self, at: float, content: ResourceContent, urgent: bool) -> None:
        """Replace the current content. A withdrawal is always urgent. `at`: s."""
        withdrawn = self.current.pickable - content.pickable
        while self.withdrawals and self.withdrawals[0].at < at - WITHDRAWAL_RETENTION:
            self.withdrawals.popleft()
        if withdrawn:
            self.withdrawals.append(Withdrawal(at, content, withdrawn))
        if withdrawn or urgent:
            self.last_urgent = content.sequence
        self.current = content

    def next_after(self, sequence: int) -> ResourceContent:
        """What a client that was sent `sequence` gets next: the current content, or an earlier withdrawal of
        an endpoint that is pickable again, as that endpoint is another incarnation.
        """
        for withdrawal in self.withdrawals:
            if withdrawal.content.sequence > sequence and withdrawal.withdrawn & self.current.pickable:
                return withdrawal.content
        return self.current


@dataclass(slots=True)
class ResourceCache:
    """The resources of one type as one group of clients sees them. `ready`: they are known; until then no
    client is sent the removal of a resource. `removed`: by name, oldest first, the withdrawal that a
    removed resource ended with. `last_urgent`: the sequence number of the last change that waits for no
    acknowledgement.
    """

    resources: dict[str, CachedResource] = field(default_factory=dict)
    ready: bool = False
    change_log: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=CHANGE_LOG_MAX))
    sequence: int = 0
    removed: dict[str, Withdrawal] = field(default_factory=dict)
    last_urgent: int = 0

    def put(
        self, at: float, name: str, body: Hashable, pickable: Iterable = (), urgent: bool = False
    ) -> bool:
        """Set a resource's body; True if it differs from the current one. `at`: s."""
        self.ready = True
        version = digest(body)
        resource = self.resources.get(name)
        if resource is not None and resource.current.version == version:
            return False
        self._log_change(name)
        content = ResourceContent(self.sequence, version, body, frozenset(pickable))
        if resource is None:
            self._add(at, name, content)
        else:
            resource.update(at, content, urgent)
            self.last_urgent = max(self.last_urgent, resource.last_urgent)
        return True

    def _add(self, at: float, name: str, content: ResourceContent) -> None:
        resource = self.resources[name] = CachedResource(name, content)
        withdrawal = self.removed.pop(name, None)
        if withdrawal is not None and withdrawal.at >= at - WITHDRAWAL_RETENTION:
            resource.withdrawals.append(withdrawal)

    def remove(self, at: float, name: str) -> None:
        """Remove a resource, urgently. If it returns within the retention time, clients are sent the removal
        first: its endpoints are other incarnations. `at`: s.
        """
        oldest_kept = at - WITHDRAWAL_RETENTION
        resource = self.resources.pop(name, None)
        if resource is not None:
            self._log_change(name)
            self.last_urgent = self.sequence
            earlier = (one.withdrawn for one in resource.withdrawals if one.at >= oldest_kept)
            withdrawn = resource.current.pickable.union(*earlier)
            absent = ResourceContent(self.sequence, "", None, frozenset())
            self.removed[name] = Withdrawal(at, absent, withdrawn)
        while self.removed and next(iter(self.removed.values())).at < oldest_kept:
            del self.removed[next(iter(self.removed))]

    def retain_only(self, at: float, names: Iterable[str]) -> bool:
        """Remove all resources but those named; True if there were any. `at`: s."""
        surplus = self.resources.keys() - set(names)
        for name in sorted(surplus):
            self.remove(at, name)
        return bool(surplus)

    def _log_change(self, name: str) -> None:
        self.sequence += 1
        self.change_log.append((self.sequence, name))

    def changed_since(self, sequence: int) -> list[str] | None:
        """The names that changed after `sequence`, in order; None if the log does not reach back so far."""
        if sequence >= self.sequence:
            return []
        if self.sequence - sequence > len(self.change_log):
            return None
        return [name for _, name in list(self.change_log)[sequence - self.sequence :]]
