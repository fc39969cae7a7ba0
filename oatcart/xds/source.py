"""What is believed of a management server that nodes are taken from, and how two lists become one. Free of
I/O.

A server may be wrong for one answer, silent, or gone; the last list that was believed stands until a better
one is. The rules: a drain is believed at once. An answer that drops half of the list or more is doubted:
those that it drops stay as they were, and the server is asked anew, on a fresh stream, after a hold; if they
are missing then too, they are gone. A list without any node that may be picked is never believed: it cannot
be told from a fault, and nodes that are really gone show as unreached.
"""

from collections.abc import Callable, Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.events import EndpointEntry
from oatcart.model import EndpointState

DOUBT_FROM = 0.5  # share of the pickable nodes that one answer may not take away at once
DIAL_FIRST, DIAL_GROWTH = 0.25, 2.0  # s, factor; waits between dials
JITTER = 0.25  # part of a wait, up or down, so that conductors do not dial at once
ROLL, XDS = 0, 1  # lists that are merged


class Told(NamedTuple):
    """An endpoint as a server tells of it. `started`: s of Unix time, None where it does not say."""

    zone: int
    state: int
    nominal: float
    started: float | None = None


class Backoff:
    """Capped, jittered waits between dials; `uniform(a, b)` is the seeded chance."""

    def __init__(self, most: float, uniform: Callable[[float, float], float]) -> None:
        self.most, self.uniform, self.wait = most, uniform, DIAL_FIRST

    def next(self) -> float:
        wait, self.wait = self.wait, min(self.most, self.wait * DIAL_GROWTH)
        return min(self.most, wait * self.uniform(1.0 - JITTER, 1.0 + JITTER))

    def answered(self) -> None:
        self.wait = DIAL_FIRST


class Believed:
    """The list that stands. `hold`: s until a doubted server is asked anew."""

    def __init__(self, hold: float) -> None:
        self.hold = hold
        self.standing: dict[str, Told] = {}
        self.started: dict[str, float] = {}
        self.doubted: dict[str, float] = {}  # since when a node was missing that is held on to
        self.heard = False
        self.doubts = 0  # answers that were

    def begin(self, known: Mapping[str, Told]) -> None:
        """The list as it was last known, before any answer."""
        self.standing = dict(known)
        self.started = {name: one.started or 0.0 for name, one in known.items()}

    def take(self, now: float, unix: float, told: Mapping[str, Told], fresh: bool) -> str:
        """An answer, whole; `fresh`: the first one on its stream. Returns why it was doubted, if it was."""
        picks = {name for name, one in told.items() if one.state == EndpointState.READY}
        before = {name for name, one in self.standing.items() if one.state == EndpointState.READY}
        dropped = {name for name in before if name not in told}
        if not picks and (before or not self.heard):
            if before:
                missing = self.standing.keys() - told.keys()
                self.doubted = dict.fromkeys(missing, now) if fresh else self.doubted  # the next hold begins
                self._keep(now, missing)
                self._drains(told)
            self.doubts += 1
            return "it has no node that may be picked"
        confirmed = {name for name in dropped if fresh and now - self.doubted.get(name, inf) >= self.hold}
        doubtful = len(dropped) >= max(2.0, DOUBT_FROM * len(before)) or any(
            name in self.doubted for name in dropped
        )
        kept = dropped - confirmed if doubtful else set()
        self._start(unix, told)
        standing = dict(told) | {name: self.standing[name] for name in kept}
        self.standing, self.heard = standing, True
        self.doubted = {name: at for name, at in self.doubted.items() if name in kept}
        self._keep(now, kept)
        for name in self.started.keys() - standing.keys():
            del self.started[name]
        if not kept:
            return ""
        self.doubts += 1
        return f"it drops {len(kept)} of {len(before)} nodes at once"

    def _keep(self, now: float, names: Iterable[str]) -> None:
        for name in names:
            self.doubted.setdefault(name, now)

    def _drains(self, told: Mapping[str, Told]) -> None:
        for name, one in told.items():
            if one.state == EndpointState.DRAINING and name in self.standing:
                self.standing[name] = self.standing[name]._replace(state=EndpointState.DRAINING)

    def _start(self, unix: float, told: Mapping[str, Told]) -> None:
        """When nodes started, as xDS does not tell: who stands in the first list did so long ago, who comes
        later, or comes back from a drain, has just started, and is cold. A server that tells is believed."""
        for name, one in told.items():
            old = self.standing.get(name)
            if one.started is not None:
                self.started[name] = one.started
            elif not self.heard:
                self.started.setdefault(name, 0.0)
            elif old is None or old.state != EndpointState.READY and one.state == EndpointState.READY:
                self.started[name] = unix

    def ask_again(self) -> float:
        """When a doubted server is to be asked anew; inf where nothing is in doubt."""
        return min(self.doubted.values(), default=inf) + self.hold

    def entries(self, place: Callable[[str], int]) -> list[tuple]:
        """The list as events have it."""
        return [
            EndpointEntry(place(name), one.zone, self.started.get(name, 0.0), one.state, one.nominal)
            for name, one in self.standing.items()
        ]


class Merge:
    """Two lists of nodes as one, by the nodes' numbers. Who is in either is in; a drain told by either
    counts; the rest is the roll's word where it has one, but of two starts the later, as a node restarted
    cold is cold."""

    def __init__(self) -> None:
        self.lists: tuple[dict, dict] = ({}, {})

    def take(self, which: int, whole: bool, entries: Iterable[tuple]) -> list[tuple]:
        """The entries of the merged list that may have changed."""
        entries, mine = list(entries), self.lists[which]
        told = {entry[0] for entry in entries}
        touched = told | (mine.keys() if whole else set())
        if whole:
            for place in mine.keys() - told:
                mine[place] = EndpointEntry(*mine[place][:3], EndpointState.GONE, mine[place][4])
        mine.update({entry[0]: entry for entry in entries})
        return [self.merged(place) for place in sorted(touched)]

    def merged(self, place: int) -> tuple:
        found = [entry for one in self.lists if (entry := one.get(place))]
        there = [entry for entry in found if entry[3] != EndpointState.GONE]
        if len(there) < 2:
            return (there or found)[0]
        roll, other = there
        state = (
            EndpointState.DRAINING if EndpointState.DRAINING in (roll[3], other[3]) else EndpointState.READY
        )
        return EndpointEntry(place, roll[1], max(roll[2], other[2]), state, roll[4])

    def move(self) -> list[tuple]:
        """What the roll's list holds becomes the other's, where there is to be no roll; hands it back."""
        self.lists = ({}, self.lists[ROLL])
        return list(self.lists[XDS].values())

    def drop(self, place: int) -> None:
        for one in self.lists:
            one.pop(place, None)
