"""The subscription of one xDS stream to one resource type, and its pushes. Free of I/O and clock.

Source: Envoy's xDS protocol, state-of-the-world and incremental, with its section on make before break. One
push is in flight and changes are merged while it is; a withdrawal overtakes it and is never merged away
(`CachedResource.next_after`). One that would leave the client without an endpoint brings its replacements
along. What a client rejected is not sent to it again until its content changes.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from oatcart.xds.push import Push, PushInFlight, Rejection
from oatcart.xds.resource_cache import ResourceCache, ResourceContent, digest
from oatcart.xds.sent_endpoints import SentEndpoints, replacements

IN_FLIGHT_MAX = 8  # pushes that await their answer; the answer to an older one counts as stale
WILDCARD = "*"  # subscribes to all resources of a type
COLLECTION_SUFFIX = "/*"  # ends a name that stands for all resources under it
NOT_SENT = -1  # in place of a sequence number: nothing was sent
SENT_ABSENT = -2  # in place of a sequence number: the client was sent the removal of the resource
HOLDS_UNKNOWN = -3  # in place of a sequence number: the client has an unknown version from an earlier stream


def collection_of(name: str) -> str:
    """The name that subscribes to all resources beside this one; empty if it is in no collection.

    >>> collection_of("xdstp://o/T/a/n1"), collection_of("lookup")
    ('xdstp://o/T/a/*', '')
    """
    stem, slash, _ = name.rpartition("/")
    return stem + COLLECTION_SUFFIX if slash else ""


@dataclass(slots=True)
class Subscription:
    """One resource type on one stream.

    `delta`: the incremental protocol; `sends_all`: each push holds all that is subscribed to, as the
    state-of-the-world protocol has it for listeners and clusters; `nonce_prefix` differs between streams, so
    that the answer to another stream's push is stale; `wildcard_allowed`: an empty first request subscribes
    to all; `carries_endpoints`: its resources say where requests are sent, so a client that returns with
    other versions than the current ones may miss a withdrawal. Sequence numbers are those of the type's
    `ResourceCache`.
    """

    delta: bool
    sends_all: bool
    nonce_prefix: str
    wildcard_allowed: bool = True
    carries_endpoints: bool = False
    subscribed: dict[str, None] = field(default_factory=dict)  # names
    wildcard: bool = False
    requested: bool = False  # there was a request
    sent: dict[str, int] = field(default_factory=dict)  # by name: sequence number last sent
    sent_endpoints: SentEndpoints = field(default_factory=SentEndpoints)
    acknowledged: dict[str, int] = field(default_factory=dict)  # by name: sequence number
    initial_versions: dict[str, str] = field(default_factory=dict)  # by name, of an earlier stream
    initial_push_version: str = ""  # of the last push accepted on an earlier stream; state of the world
    held_before: dict[str, int] = field(default_factory=dict)  # by name: held, and to be sent anew
    in_flight: deque[PushInFlight] = field(default_factory=lambda: deque(maxlen=IN_FLIGHT_MAX))
    rejected: dict[str, str] = field(default_factory=dict)  # by name: the version
    rejected_push: str = ""  # the version of a push that was rejected as one
    retry_alone: dict[str, None] = field(default_factory=dict)  # names
    push_count: int = 0
    last_nonce: str = ""
    compared_up_to: int = 0  # sequence number up to which `outdated` is complete
    outdated: dict[str, None] = field(default_factory=dict)  # names of which there is more than was sent
    compare_all: bool = True  # `outdated` has to be made anew
    not_urgent_up_to: int = 0  # sequence number up to which nothing urgent is left to send
    response_due: bool = False  # even if nothing changed
    returning: bool = False  # the client holds resources of this type from an earlier stream

    # -- requests

    def request_names(
        self, names: Iterable[str], nonce: str, error_message: str | None
    ) -> Rejection | None | bool:
        """Take a state-of-the-world request: all names, the nonce it answers, an error if it rejects that.

        Returns False if the nonce is stale, else the rejection, if it is one.
        """
        if self.requested and nonce != self.last_nonce:
            # Its names are old: the answer to the last push is still to come.
            return self._answer(nonce, error_message) if nonce else False
        names, first = dict.fromkeys(names), not self.requested
        answer = self._answer(nonce, error_message) if nonce and not first else None
        self.requested = True
        wildcard = WILDCARD in names or not names and self.wildcard_allowed and (first or self.wildcard)
        names.pop(WILDCARD, None)
        if first or names.keys() != self.subscribed.keys() or wildcard != self.wildcard:
            for name in self.subscribed.keys() - names.keys():
                self._forget(name)
            self.response_due = (
                self.sends_all
            )  # pushes of other types cannot show that a resource does not exist
            self.subscribed, self.wildcard, self.compare_all = names, wildcard, True
        return answer or None

    def request_changes(
        self,
        subscribe: Iterable[str],
        unsubscribe: Iterable[str],
        initial_versions: dict[str, str],
        nonce: str,
        error_message: str | None,
    ) -> Rejection | None | bool:
        """Take an incremental request, which answers a push if there is a nonce.

        Returns False if the nonce is stale, which leaves the rest as it is, else the rejection, if it is one.
        """
        subscribe, first = list(subscribe), not self.requested
        self.requested = True
        if first:
            self.initial_versions = dict(initial_versions)
            if not subscribe and self.wildcard_allowed:
                subscribe = [WILDCARD]
        for name in subscribe:
            if name == WILDCARD:
                self.wildcard, self.response_due = True, True
            else:
                self.subscribed[name] = None
                for one in [at for at in self.sent if at == name or collection_of(at) == name]:
                    self._send_again(one)
                self.response_due = self.response_due or not first
            self.compare_all = True
        for name in unsubscribe:
            if name == WILDCARD:
                self.wildcard = False
            self.subscribed.pop(name, None)
            self.compare_all = True
            for one in [at for at in self.sent if at == name or not self._subscribes(at)]:
                self._forget(one)
        return self._answer(nonce, error_message) if nonce else None

    def _forget(self, name: str) -> None:
        for names in (
            self.sent,
            self.acknowledged,
            self.rejected,
            self.retry_alone,
            self.initial_versions,
            self.held_before,
        ):
            names.pop(name, None)
        self.sent_endpoints.forget(name)

    def _send_again(self, name: str) -> None:
        """The client subscribes once more to what it was sent, and holds that until it is sent it again."""
        held, pickable = self._held(name), self.sent_endpoints.pickable.get(name, frozenset())
        self._forget(name)
        if self.carries_endpoints and (held > NOT_SENT or held == HOLDS_UNKNOWN):
            self.held_before[name] = held
            self.sent_endpoints.record(name, pickable)

    def _subscribes(self, name: str) -> bool:
        return self.wildcard or name in self.subscribed or collection_of(name) in self.subscribed

    def _answer(self, nonce: str, error_message: str | None) -> Rejection | None | bool:
        """An answer to a push in flight; those before it were accepted, as answers come in order."""
        if not any(flight.nonce == nonce for flight in self.in_flight):
            return False if nonce != self.last_nonce else None  # answered before: only its names are new
        while (flight := self.in_flight.popleft()).nonce != nonce:
            self._acknowledge(flight)
        if error_message is None:
            return self._acknowledge(flight)
        names = [name for name in flight.sequences if self.sent.get(name) == flight.sequences[name]]
        named = [name for name in names if name in error_message]
        rejected = names if len(flight.sequences) == 1 else named
        retried_alone = [] if self.sends_all or named else [name for name in names if name not in rejected]
        if self.sends_all:
            self.rejected_push, rejected = flight.version, names
        else:
            self.rejected |= {name: flight.versions[name] for name in rejected}
            self.retry_alone |= dict.fromkeys(retried_alone)
            for name in names:
                if name not in rejected and name not in retried_alone:
                    self.acknowledged[name] = flight.sequences[name]  # named others, so it accepts this one
        return Rejection(error_message, tuple(rejected), tuple(retried_alone))

    def _acknowledge(self, flight: PushInFlight) -> None:
        for name, sequence in flight.sequences.items():
            if name in self.sent:
                if sequence == SENT_ABSENT:
                    self.acknowledged.pop(name, None)
                else:
                    self.acknowledged[name] = max(sequence, self.acknowledged.get(name, NOT_SENT))
            self.rejected.pop(name, None)

    # -- pushes

    def unacknowledged(self, cache: ResourceCache) -> dict[str, int]:
        """By name, the sequence numbers to acknowledge until the client holds the current content."""
        self._compare(cache)
        due = {
            name: sequence
            for flight in self.in_flight
            for name, sequence in flight.sequences.items()
            if sequence > self.acknowledged.get(name, NOT_SENT)
        }
        return due | {
            name: cache.resources[name].current.sequence for name in self.outdated if name in cache.resources
        }

    def is_wanted(self, name: str) -> bool:
        """Whether the client holds it or is subscribed to it."""
        return name in self.sent or self._subscribes(name)

    def may_be_urgent(self, cache: ResourceCache) -> bool:
        """Whether a push may be urgent; cheap, as every dispatch checks all subscriptions."""
        if not self.requested or not cache.ready:
            return False
        if self.may_miss_withdrawals():
            return True
        if not self.sent and not self.held_before:
            return False
        latest = cache.sequence if self.sent_endpoints.empty_groups else cache.last_urgent
        return latest > self.not_urgent_up_to

    def may_miss_withdrawals(self) -> bool:
        """Whether the client has initial versions that aren't compared with the current ones yet, or that
        differ from them and were not replaced.
        """
        if not self.carries_endpoints:
            return False
        unmatched = bool(self.initial_versions or self.initial_push_version)
        return unmatched or HOLDS_UNKNOWN in self.held_before.values()

    def _urgent_names(self, cache: ResourceCache, ready: list[str]) -> list[str]:
        """Of those that may be sent, the names that wait for no answer: withdrawals, and the replacements of
        what they withdraw where the client would be left without an endpoint.
        """
        withdrawals = [name for name in ready if self._is_withdrawal(cache, name)]
        if not withdrawals and not self.sent_endpoints.empty_groups:
            return []
        pickable = {name: self._next_pickable(name, cache) for name in ready}
        emptied = self.sent_endpoints.emptied_by({name: pickable[name] for name in withdrawals})
        return list(dict.fromkeys([*withdrawals, *replacements(emptied, pickable)]))

    def _next_pickable(self, name: str, cache: ResourceCache) -> frozenset:
        return self._next_content(name, cache).pickable if name in cache.resources else frozenset()

    def _is_withdrawal(self, cache: ResourceCache, name: str) -> bool:
        held = self._held(name)
        if held == HOLDS_UNKNOWN:
            return True
        resource = cache.resources.get(name)
        return held > NOT_SENT and (resource is None or resource.last_urgent > held)

    def _held(self, name: str) -> int:
        """The sequence number that the client holds, as far as that is known."""
        sent = self.sent.get(name, NOT_SENT)
        return self.held_before.get(name, NOT_SENT) if sent == NOT_SENT else sent

    def _compare(self, cache: ResourceCache) -> None:
        """Bring `outdated` up to date."""
        if not self.requested or not cache.ready:
            return
        changed = None if self.compare_all else cache.changed_since(self.compared_up_to)
        if changed is None:
            self.outdated = {}
            changed = [
                *(name for name in cache.resources if self._subscribes(name)),
                *self.sent,
                *self.subscribed,
                *self.initial_versions,
            ]
        self.compare_all, self.compared_up_to = False, cache.sequence
        if self.initial_push_version:
            self._match_initial_push(cache)
        for name in dict.fromkeys(changed):
            if name.endswith(COLLECTION_SUFFIX):
                self.initial_versions.pop(name, None)
                continue
            if name in self.initial_versions:
                self._match_initial(name, cache)
            if (name in self.sent or self._subscribes(name)) and self._is_outdated(name, cache):
                self.outdated[name] = None
            else:
                self.outdated.pop(name, None)
                self.held_before.pop(name, None)

    def _match_initial_push(self, cache: ResourceCache) -> None:
        """The version of a push of an earlier stream: its resources are held if they are the current ones."""
        current = {
            name: resource.current for name, resource in cache.resources.items() if self._subscribes(name)
        }
        is_current = (
            digest([content.version for content in current.values()], ()) == self.initial_push_version
        )
        for name, content in current.items():
            self._hold_before(name, content if is_current else None)
        self.initial_push_version = ""

    def _hold_before(self, name: str, content: ResourceContent | None) -> None:
        """The client holds this of an earlier stream; None: what it holds isn't known."""
        if not self.carries_endpoints or self.sent.get(name, NOT_SENT) > NOT_SENT:
            return
        if content is None:
            self.held_before[name] = HOLDS_UNKNOWN
            self.sent_endpoints.expect(name)
        else:
            self.held_before[name] = content.sequence
            self.sent_endpoints.record(name, content.pickable)

    def _match_initial(self, name: str, cache: ResourceCache) -> None:
        """A version of an earlier stream counts as acknowledged if it is current."""
        version, resource = self.initial_versions.pop(name), cache.resources.get(name)
        if self._subscribes(name) and name not in self.sent:
            self.sent[name] = NOT_SENT
            if resource is not None and resource.current.version == version:
                self.sent[name] = self.acknowledged[name] = resource.current.sequence
                self.sent_endpoints.record(name, resource.current.pickable)
            else:
                self._hold_before(name, None)

    def _is_outdated(self, name: str, cache: ResourceCache) -> bool:
        resource, sent = cache.resources.get(name), self.sent.get(name)
        if resource is None:  # only the incremental protocol and complete pushes can remove it
            return self.delta and sent != SENT_ABSENT or self.sends_all and sent is not None
        content = self._next_content(name, cache)
        return sent != content.sequence and self.rejected.get(name) != content.version

    def next_push(
        self,
        cache: ResourceCache,
        may_add: Callable[[str], bool] = lambda name: True,
        may_remove: Callable[[str], bool] = lambda name: True,
    ) -> Push | None:
        """What to send now, if anything; it counts as sent.

        `may_add` and `may_remove` say whether other types' subscriptions let a name be added or removed yet:
        resources are added from clusters on and removed in the reverse order.
        """
        self._compare(cache)
        if (
            not self.requested
            or not cache.ready
            or not (self.outdated or self.retry_alone or self.response_due)
        ):
            return None
        ready = [name for name in self.outdated if self._may_send(name, cache, may_add, may_remove)]
        urgent = self._urgent_names(cache, ready)
        self.not_urgent_up_to = self.not_urgent_up_to if urgent else cache.sequence
        if self.in_flight and not urgent:
            return None
        if urgent:
            ready = urgent  # the rest waits until these are answered
        elif self.retry_alone:
            name = next(iter(self.retry_alone))
            del self.retry_alone[name]
            if name not in cache.resources or not self._subscribes(name):
                return self.next_push(cache, may_add, may_remove)
            return self._push([name], cache, False)
        if self.sends_all:
            return self._push_all(cache, ready, bool(urgent), may_add, may_remove)
        for name in ready:
            self.retry_alone.pop(name, None)
        if not ready and not (self.response_due and self.delta and not self.outdated):
            return None
        return self._push(ready, cache, bool(urgent))

    def _may_send(self, name: str, cache: ResourceCache, may_add: Callable, may_remove: Callable) -> bool:
        if name not in cache.resources:
            return may_remove(name)
        return self.sent.get(name, NOT_SENT) > NOT_SENT or may_add(name)

    def _next_content(self, name: str, cache: ResourceCache) -> ResourceContent:
        resource, held = cache.resources[name], self._held(name)
        # a client that holds nothing can miss nothing
        return resource.next_after(held) if held > NOT_SENT else resource.current

    def _push(self, names: list[str], cache: ResourceCache, urgent: bool) -> Push:
        found = {name: self._next_content(name, cache) for name in names if name in cache.resources}
        items = tuple((name, content) for name, content in found.items() if content.body is not None)
        removed = tuple(name for name in names if name not in found or found[name].body is None)
        return self._record(
            items, removed, urgent, digest([content.version for _, content in items], removed), cache
        )

    def _push_all(
        self, cache: ResourceCache, ready: list[str], urgent: bool, may_add: Callable, may_remove: Callable
    ) -> Push | None:
        """All that is subscribed to; a name that may not be removed yet delays the complete push."""
        if any(name not in cache.resources and name not in ready for name in self.outdated):
            return None
        if not ready and (self.outdated or not self.response_due):
            return None  # what it leaves out would not exist to the client
        items = tuple(
            (name, content)
            for name in cache.resources
            if self._subscribes(name)
            and self._may_send(name, cache, may_add, may_remove)
            and (content := self._next_content(name, cache)).body is not None
        )
        version = digest([(name, content.version) for name, content in items])
        if version == self.rejected_push:
            for name in ready:
                self.outdated.pop(name, None)
            self.response_due = False
            return None
        for name in [name for name in self.sent if name not in cache.resources]:
            self._forget(name)
            self.outdated.pop(name, None)
        return self._record(items, (), urgent, version, cache)

    def _record(self, items: tuple, removed: tuple, urgent: bool, version: str, cache: ResourceCache) -> Push:
        self.push_count += 1
        self.last_nonce, self.response_due = f"{self.nonce_prefix}.{self.push_count}", False
        sequences = {name: content.sequence for name, content in items} | dict.fromkeys(removed, SENT_ABSENT)
        self.in_flight.append(
            PushInFlight(
                self.last_nonce, version, sequences, {name: content.version for name, content in items}
            )
        )
        self.sent |= sequences
        for name, content in items:
            self.sent_endpoints.record(name, content.pickable)
        for name in removed:
            self.sent_endpoints.record(name, frozenset())
        for name in sequences:
            self.held_before.pop(name, None)
        for name, sequence in sequences.items():
            if name in cache.resources and sequence != cache.resources[name].current.sequence:
                self.outdated[name] = None  # an earlier withdrawal: the current content is still to be sent
            else:
                self.outdated.pop(name, None)
        return Push(self.last_nonce, version, items, removed, urgent)
