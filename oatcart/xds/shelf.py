"""Resources as clients may hold them: by name, each with what it says now and what nobody may skip. Free of
I/O.

A resource's version is a digest of what it says: equal contents bear equal versions, in a conductor's former
life too, so versions of two lives never stand for different contents. The order of changes is kept apart from
it, in `seq`.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

STEPS_MOST = 16  # contents of one resource that nobody may skip; a node that comes and goes oftener is merged
STEP_KEPT = 10.0  # s; a client that is further behind is served from what stands now
LOG_MOST = 8192  # changes that are kept by order; whoever is further behind looks at all resources
FORMAT = 1  # counts up where the same body is encoded otherwise, as versions must then differ


def digest(*parts: object) -> str:
    """A short digest of plain values, equal in every process.

    >>> digest("a", 1) == digest("a", 1), digest("a", 1) == digest("a", 2), len(digest())
    (True, False, 16)
    """
    return blake2b(repr((FORMAT, parts)).encode(), digest_size=8).hexdigest()


class Content(NamedTuple):
    """What a resource says. `picks`: the nodes that may be picked by it; `body` is opaque here, None: that
    there was none for a while."""

    seq: int
    version: str
    body: Hashable
    picks: frozenset


class Step(NamedTuple):
    at: float
    content: Content
    lost: frozenset  # whom it took out


class Item:
    """One resource. Its last urgent change is known by `urgent`, a seq."""

    __slots__ = ("name", "now", "steps", "urgent")

    def __init__(self, name: str, content: Content) -> None:
        self.name, self.now, self.urgent = name, content, 0
        self.steps: deque[Step] = deque(maxlen=STEPS_MOST)

    def turn(self, at: float, content: Content, urgent: bool) -> None:
        lost = self.now.picks - content.picks
        while self.steps and self.steps[0].at < at - STEP_KEPT:
            self.steps.popleft()
        if lost:
            self.steps.append(Step(at, content, lost))
        if lost or urgent:
            self.urgent = content.seq
        self.now = content

    def after(self, seq: int) -> Content:
        """What comes next for a client that was sent so much: a drain or a withdrawal that has since been
        taken back is not merged away, as whoever came back is another life of the node."""
        for step in self.steps:
            if step.content.seq > seq and step.lost & self.now.picks:
                return step.content
        return self.now


@dataclass(slots=True)
class Shelf:
    """The resources of one type as one sort of client sees them. `ready`: they are known; until then none is
    told that something does not exist."""

    items: dict[str, Item] = field(default_factory=dict)
    ready: bool = False
    log: deque = field(default_factory=lambda: deque(maxlen=LOG_MOST))  # (seq, name), in order
    seq: int = 0
    # by name, oldest first: the step that a dropped one ended with
    ghosts: dict = field(default_factory=dict)
    urgent: int = 0  # the seq of the last change that waits for nobody

    def put(self, at: float, name: str, body: Hashable, picks: Iterable = (), urgent: bool = False) -> bool:
        """Whether this is news."""
        self.ready, version, item = True, digest(body), self.items.get(name)
        if item is not None and item.now.version == version:
            return False
        self._turned(name)
        content = Content(self.seq, version, body, frozenset(picks))
        if item is None:
            self.items[name] = Item(name, content)
            if (step := self.ghosts.pop(name, None)) and step.at >= at - STEP_KEPT:
                self.items[name].steps.append(step)
        else:
            item.turn(at, content, urgent)
            self.urgent = max(self.urgent, item.urgent)
        return True

    def drop(self, at: float, name: str) -> None:
        """Should it come back soon, nobody may skip that it was gone: it is another life of whatever it tells
        of.
        """
        item = self.items.pop(name, None)
        if item is not None:
            self._turned(name)
            self.urgent = self.seq
            lost = item.now.picks.union(*(step.lost for step in item.steps if step.at >= at - STEP_KEPT))
            self.ghosts[name] = Step(at, Content(self.seq, "", None, frozenset()), lost)
        while self.ghosts and next(iter(self.ghosts.values())).at < at - STEP_KEPT:
            del self.ghosts[next(iter(self.ghosts))]

    def keep_only(self, at: float, names: Iterable[str]) -> bool:
        """Drop all others; whether there were any."""
        over = self.items.keys() - set(names)
        for name in sorted(over):
            self.drop(at, name)
        return bool(over)

    def _turned(self, name: str) -> None:
        self.seq += 1
        self.log.append((self.seq, name))

    def changed(self, seq: int) -> list[str] | None:
        """The names that changed after that seq; None where the log does not reach back so far."""
        if seq >= self.seq:
            return []
        if self.seq - seq > len(self.log):
            return None
        return [name for _, name in list(self.log)[seq - self.seq :]]
