"""When a client is sent what: one `Line` a type and stream. Free of I/O and clock.

Source: the xDS protocol as Envoy publishes it, state of the world and incremental, and its section on the
order of makes and breaks. One push is in flight; changes merge while it is; whatever takes a node out
overtakes it and is never merged away (`CachedResource.next_after`). What a client refused is not sent to it
again until it says something else.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.xds.resource_cache import ResourceCache, ResourceContent, digest

# pushes whose answer is awaited; an older one's answer counts as stale, and urgent ones still go
FLIGHTS_MOST = 8
WILD = "*"  # subscribes to all resources of a type
COLLECTION_END = "/*"  # ends a name that stands for all resources under it
NEVER, ABSENT = -1, -2  # in place of a seq: not sent; told that there is none


class Push(NamedTuple):
    """Something to be sent. `items`: (name, content); `removed`: names, told in the incremental protocol
    alone.
    """

    nonce: str
    version: str
    items: tuple[tuple[str, ResourceContent], ...]
    removed: tuple[str, ...]
    urgent: bool


@dataclass(slots=True)
class Flight:
    nonce: str
    version: str
    took: dict[str, int]  # by name: the seq
    versions: dict[str, str]


class Refusal(NamedTuple):
    """A client's refusal, for the operator: names that are no longer sent, names tried again alone."""

    words: str
    refused: tuple[str, ...]
    alone: tuple[str, ...]


def collection_of(name: str) -> str:
    """
    >>> collection_of("xdstp://o/T/a/n1"), collection_of("lookup")
    ('xdstp://o/T/a/*', '')
    """
    stem, slash, _ = name.rpartition("/")
    return stem + COLLECTION_END if slash else ""


@dataclass(slots=True)
class Line:
    """One type on one stream. `whole`: each push holds all that is wanted, as the state-of-the-world protocol
    has it for listeners and clusters. `life`: begins every nonce, so that an answer to another stream's push
    is stale."""

    delta: bool
    whole: bool
    life: str
    may_wild: bool = True  # an empty first request asks for all
    wanted: dict[str, None] = field(default_factory=dict)
    wild: bool = False
    asked: bool = False
    sent: dict[str, int] = field(default_factory=dict)  # by name: the seq last sent, or known to be held
    held: dict[str, int] = field(default_factory=dict)  # by name: the seq last acknowledged
    brought: dict[str, str] = field(default_factory=dict)  # versions of an earlier stream
    flights: deque = field(default_factory=lambda: deque(maxlen=FLIGHTS_MOST))
    refused: dict[str, str] = field(default_factory=dict)  # by name: the version it does not want
    refused_all: str = ""  # the same for a whole push
    alone: dict[str, None] = field(default_factory=dict)  # refused together, so tried one by one
    count: int = 0
    nonce: str = ""  # the last
    seen: int = 0  # the cache's seq up to which `stale` is complete
    stale: dict[str, None] = field(default_factory=dict)
    reset: bool = True  # all that is wanted has to be looked at
    calm: int = 0  # the cache's seq up to which nothing urgent is left to send
    owes: bool = False  # an answer is due even if nothing changed
    returning: bool = False  # the client holds resources of this type from an earlier stream

    # -- what the client says

    def ask(self, names: Iterable[str], nonce: str, refusal: str | None) -> Refusal | None | bool:
        """A state-of-the-world request: all names, the nonce that it answers, its words if it refuses. False
        where it is stale and says nothing; else what was refused, if so."""
        if self.asked and nonce != self.nonce:
            said = self._answer(nonce, refusal) if nonce else False
            return said  # names stand in the answer to the last push, which is still to come
        names, first = dict.fromkeys(names), not self.asked
        said = self._answer(nonce, refusal) if nonce and not first else None
        self.asked = True
        wild = WILD in names or not names and self.may_wild and (first or self.wild)
        names.pop(WILD, None)
        if first or names.keys() != self.wanted.keys() or wild != self.wild:
            for name in self.wanted.keys() - names.keys():
                self._forget(name)
            self.owes = self.whole  # of the other types what is not there cannot be told
            self.wanted, self.wild, self.reset = names, wild, True
        return said or None

    def change(
        self,
        subscribe: Iterable[str],
        unsubscribe: Iterable[str],
        brought: dict[str, str],
        nonce: str,
        refusal: str | None,
    ) -> Refusal | None | bool:
        """An incremental request: changed subscriptions, versions held since an earlier stream, and an answer
        to a push if there is a nonce. False where the nonce is stale, which leaves the rest as it is."""
        subscribe, first = list(subscribe), not self.asked
        self.asked = True
        if first:
            self.brought = dict(brought)
            if not subscribe and self.may_wild:
                subscribe = [WILD]
        for name in subscribe:
            if name == WILD:
                self.wild, self.owes = True, True
            else:
                self.wanted[name] = None
                for one in [at for at in self.sent if at == name or collection_of(at) == name]:
                    self._forget(one)  # asked for anew, it is sent anew
                self.owes = self.owes or not first
            self.reset = True
        for name in unsubscribe:
            if name == WILD:
                self.wild = False
            self.wanted.pop(name, None)
            self.reset = True
            for one in [at for at in self.sent if at == name or not self._wants(at)]:
                self._forget(one)
        return self._answer(nonce, refusal) if nonce else None

    def _forget(self, name: str) -> None:
        for kept in self.sent, self.held, self.refused, self.alone, self.brought:
            kept.pop(name, None)

    def _wants(self, name: str) -> bool:
        return self.wild or name in self.wanted or collection_of(name) in self.wanted

    def _answer(self, nonce: str, refusal: str | None) -> Refusal | None | bool:
        """An answer to a push in flight; those before it were taken, as answers come in order."""
        if not any(flight.nonce == nonce for flight in self.flights):
            return False if nonce != self.nonce else None  # the last one's again: only its names are new
        while (flight := self.flights.popleft()).nonce != nonce:
            self._took(flight)
        if refusal is None:
            return self._took(flight)
        names = [name for name in flight.took if self.sent.get(name) == flight.took[name]]
        named = [name for name in names if name in refusal]
        refused = names if len(flight.took) == 1 else named
        alone = [] if self.whole or named else [name for name in names if name not in refused]
        if self.whole:
            self.refused_all, refused = flight.version, names
        else:
            self.refused |= {name: flight.versions[name] for name in refused}
            self.alone |= dict.fromkeys(alone)
            for name in names:
                if name not in refused and name not in alone:
                    self.held[name] = flight.took[name]  # it named what it refuses and takes the rest
        return Refusal(refusal, tuple(refused), tuple(alone))

    def _took(self, flight: Flight) -> None:
        for name, seq in flight.took.items():
            if name in self.sent:
                if seq == ABSENT:
                    self.held.pop(name, None)
                else:
                    self.held[name] = max(seq, self.held.get(name, NEVER))
            self.refused.pop(name, None)

    # -- what it is sent

    def behind(self, cache: ResourceCache) -> dict[str, int]:
        """The seqs, by name, that a client has yet to acknowledge to hold what stands now."""
        self._look(cache)
        due = {
            name: seq
            for flight in self.flights
            for name, seq in flight.took.items()
            if seq > self.held.get(name, NEVER)
        }
        return due | {
            name: cache.resources[name].current.sequence for name in self.stale if name in cache.resources
        }

    def awaits(self, name: str) -> bool:
        """Whether the client still asks for it."""
        return name in self.sent or self._wants(name)

    def hurries(self, cache: ResourceCache) -> bool:
        """Whether something may be urgent; cheap, as it is asked of all lines to find who goes first."""
        return self.asked and cache.ready and cache.last_urgent > self.calm and bool(self.sent)

    def _is_urgent(self, cache: ResourceCache, name: str) -> bool:
        resource = cache.resources.get(name)
        return (
            resource.last_urgent > self.sent.get(name, NEVER) > NEVER
            if resource
            else self.sent.get(name, NEVER) > NEVER
        )

    def _look(self, cache: ResourceCache) -> None:
        """Bring `stale` up to date: names of which the client was sent less than there is."""
        if not self.asked or not cache.ready:
            return
        changed = None if self.reset else cache.changed_since(self.seen)
        if changed is None:
            self.stale = {}
            changed = [
                *(name for name in cache.resources if self._wants(name)),
                *self.sent,
                *self.wanted,
                *self.brought,
            ]
        self.reset, self.seen = False, cache.sequence
        for name in dict.fromkeys(changed):
            if name.endswith(COLLECTION_END):
                continue
            if name in self.brought:
                self._match(name, cache)
            if (name in self.sent or self._wants(name)) and self._lacks(name, cache):
                self.stale[name] = None
            else:
                self.stale.pop(name, None)

    def _match(self, name: str, cache: ResourceCache) -> None:
        """What an earlier stream brought counts as sent and held where it still stands."""
        version, resource = self.brought.pop(name), cache.resources.get(name)
        if self._wants(name) and name not in self.sent:
            self.sent[name] = NEVER
            if resource is not None and resource.current.version == version:
                self.sent[name] = self.held[name] = resource.current.sequence

    def _lacks(self, name: str, cache: ResourceCache) -> bool:
        resource, sent = cache.resources.get(name), self.sent.get(name)
        if resource is None:  # the incremental protocol tells of what there is not, the other cannot
            return self.delta and sent != ABSENT or self.whole and sent is not None
        content = self._next(name, cache)
        return sent != content.sequence and self.refused.get(name) != content.version

    def due(
        self,
        cache: ResourceCache,
        may_add: Callable[[str], bool] = lambda name: True,
        may_remove: Callable[[str], bool] = lambda name: True,
    ) -> Push | None:
        """What to send now, if anything; it counts as sent. `may_add` and `may_remove` tell of other types'
        lines whether a name's turn has come: makes go from clusters on, breaks go back to them."""
        self._look(cache)
        if not self.asked or not cache.ready or not (self.stale or self.alone or self.owes):
            return None
        ready = [name for name in self.stale if self._may(name, cache, may_add, may_remove)]
        urgent = [name for name in ready if self._is_urgent(cache, name)]
        self.calm = self.calm if urgent else cache.sequence
        if self.flights and not urgent:
            return None
        if urgent:
            ready = urgent  # the rest has time until these are answered
        elif self.alone:
            name = next(iter(self.alone))
            del self.alone[name]
            if name not in cache.resources or not self._wants(name):
                return self.due(cache, may_add, may_remove)
            return self._sends([name], cache, False)
        if self.whole:
            return self._sends_all(cache, ready, bool(urgent), may_add, may_remove)
        for name in ready:
            self.alone.pop(name, None)
        if not ready and not (self.owes and self.delta and not self.stale):
            return None
        return self._sends(ready, cache, bool(urgent))

    def _may(self, name: str, cache: ResourceCache, may_add: Callable, may_remove: Callable) -> bool:
        if name not in cache.resources:
            return may_remove(name)
        return self.sent.get(name, NEVER) > NEVER or may_add(name)

    def _next(self, name: str, cache: ResourceCache) -> ResourceContent:
        resource, sent = cache.resources[name], self.sent.get(name, NEVER)
        return (
            resource.next_after(sent) if sent > NEVER else resource.current
        )  # who has nothing skips nothing

    def _sends(self, names: list[str], cache: ResourceCache, urgent: bool) -> Push:
        found = {name: self._next(name, cache) for name in names if name in cache.resources}
        items = tuple((name, content) for name, content in found.items() if content.body is not None)
        removed = tuple(name for name in names if name not in found or found[name].body is None)
        return self._note(
            items, removed, urgent, digest([content.version for _, content in items], removed), cache
        )

    def _sends_all(
        self, cache: ResourceCache, ready: list[str], urgent: bool, may_add: Callable, may_remove: Callable
    ) -> Push | None:
        """All that is wanted; a name whose turn to go has not come is held back with the whole push."""
        if any(name not in cache.resources and name not in ready for name in self.stale):
            return None
        if not ready and (self.stale or not self.owes):
            return None  # a push without what is to come would tell that it does not exist
        items = tuple(
            (name, content)
            for name in cache.resources
            if self._wants(name)
            and self._may(name, cache, may_add, may_remove)
            and (content := self._next(name, cache)).body is not None
        )
        version = digest([(name, content.version) for name, content in items])
        if version == self.refused_all:
            for name in ready:
                self.stale.pop(name, None)
            self.owes = False
            return None
        for name in [name for name in self.sent if name not in cache.resources]:
            self._forget(name)
            self.stale.pop(name, None)
        return self._note(items, (), urgent, version, cache)

    def _note(self, items: tuple, removed: tuple, urgent: bool, version: str, cache: ResourceCache) -> Push:
        self.count += 1
        self.nonce, self.owes = f"{self.life}.{self.count}", False
        took = {name: content.sequence for name, content in items} | dict.fromkeys(removed, ABSENT)
        self.flights.append(
            Flight(self.nonce, version, took, {name: content.version for name, content in items})
        )
        self.sent |= took
        for name, seq in took.items():
            if name in cache.resources and seq != cache.resources[name].current.sequence:
                self.stale[name] = None  # that was a step, what stands now is still to come
            else:
                self.stale.pop(name, None)
        return Push(self.nonce, version, items, removed, urgent)
