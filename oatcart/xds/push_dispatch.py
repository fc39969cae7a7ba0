"""Which stream is sent what now, by priority and as far as the push budget goes. Free of I/O and clock."""

from collections.abc import Callable
from typing import NamedTuple

from oatcart.xds import view
from oatcart.xds.client_state import Client, Stream
from oatcart.xds.limits import PushBudget, PushPriority, push_priority
from oatcart.xds.push import Push
from oatcart.xds.push_metrics import PushMetrics
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import CARRIES_ENDPOINTS, CLUSTER, ENDPOINTS, FIRST_PUSHES, MEMBER, ORDER
from oatcart.xds.subscription import NOT_SENT

SLICE = 2000  # resources that are sent in one go, some ms of work


class Turn(NamedTuple):
    """A stream whose turn it may be. `urgent`: the types whose pushes may borrow from the budget."""

    priority: PushPriority
    waiting_since: float  # s; who waits longest goes first, else the newest streams would never have a turn
    first_pushes: bool  # connected clients' withdrawals go before those of clients that return
    stream: Stream
    caches: dict[str, ResourceCache]
    urgent: frozenset[str]

    def order(self) -> tuple[int, float, bool, int]:
        """The sort key: the lowest first."""
        return self.priority, self.waiting_since, self.first_pushes, self.stream.key


class PushDispatch:
    """Sends what the streams are due. `cache_for`: what a client may see of a type; `say`: the log."""

    def __init__(
        self,
        budget: PushBudget,
        cache_for: Callable[[Client, str], ResourceCache],
        say: Callable[[str, str], None],
    ) -> None:
        self.budget, self.cache_for, self.say = budget, cache_for, say
        self.push_metrics = PushMetrics()
        self.dirty: dict[Stream, None] = {}
        self.more = False  # work is left over from this slice
        self.again_in: float | None = None  # s until the budget has a push for who waits; None: nobody does

    def add(self, *streams: Stream) -> None:
        """There may be something to send on these."""
        self.dirty |= dict.fromkeys(streams)

    def refund(self, stream: Stream) -> None:
        """Return what was paid in advance for a stream and not sent."""
        self.budget.refund(stream.prepaid)
        stream.prepaid = 0

    def dispatch(self, now: float) -> list[tuple[Stream, list[tuple[str, Push]]]]:
        """What to send now, by stream, those first for whom it cannot wait; each counts as sent, and its
        stream has no room until `written`. `again_in` tells when to ask again as the budget left someone
        waiting, `more` that this was one slice of a long work, so that what comes in meanwhile is not kept
        waiting."""
        self.budget.advance(now)
        out, self.again_in, self.more = [], None, False
        waiting = [
            self._turn(now, stream) for stream in self.dirty if stream.room and stream.client is not None
        ]
        self.dirty, left, self.push_metrics.waiting_since = {}, SLICE, []
        for turn in sorted(waiting, key=Turn.order):
            if left <= 0:
                self.more = True
                self.dirty[turn.stream] = None
                continue
            pushes = self._pushes(turn)
            left -= sum(len(push.items) for _, push in pushes)
            if pushes:
                turn.stream.room = False
                out.append((turn.stream, pushes))
            if turn.stream.prepaid and self._misses_nothing(turn.stream):
                self.refund(turn.stream)
        if self.push_metrics.waiting_since:
            self.say("push", str(self.push_metrics.status(now, self.budget)))
        return out

    def _turn(self, now: float, stream: Stream) -> Turn:
        caches = {kind: self.cache_for(stream.client, kind) for kind in stream.subscriptions}
        urgent = {
            kind
            for kind, subscription in stream.subscriptions.items()
            if subscription.may_be_urgent(caches[kind])
        }
        if not stream.primed and urgent & set(CARRIES_ENDPOINTS):
            urgent.add(CLUSTER)  # its endpoints are sent after it
        priority = push_priority(bool(urgent), stream.primed, stream.returning)
        waiting_since = now if not urgent or stream.urgent_since is None else stream.urgent_since
        return Turn(priority, waiting_since, not stream.primed, stream, caches, frozenset(urgent))

    def _pushes(self, turn: Turn) -> list[tuple[str, Push]]:
        """What a stream is sent now, of what the budget allows."""
        pushes, stream = [], turn.stream
        stream.urgent_since = None
        for kind in ORDER:
            subscription = stream.subscriptions.get(kind)
            if subscription is None:
                continue
            prepaid = stream.prepaid > 0 and kind in FIRST_PUSHES
            if not prepaid and not self.budget.take(kind in turn.urgent):
                self._wait_for_budget(turn, kind in turn.urgent)
                continue
            push = subscription.next_push(
                turn.caches[kind],
                lambda name: self._may_add(stream, turn.caches, kind, name),
                lambda name: self._may_remove(stream, turn.caches, kind, name),
            )
            if push is not None:
                pushes.append((kind, push))
                self.push_metrics.count(turn.priority, kind)
                stream.prepaid -= prepaid
                stream.primed = stream.primed or kind == ENDPOINTS
            elif not prepaid:
                self.budget.give_back()
        return pushes

    def _wait_for_budget(self, turn: Turn, urgent: bool) -> None:
        wait = self.budget.wait(urgent)
        self.again_in = wait if self.again_in is None else min(wait, self.again_in)
        self.dirty[turn.stream] = None
        if urgent:
            turn.stream.urgent_since = turn.waiting_since
            self.push_metrics.waiting_since.append(turn.waiting_since)

    def _misses_nothing(self, stream: Stream) -> bool:
        """Whether a returning client was sent all withdrawals that it may have missed."""
        carriers = [stream.subscriptions.get(kind) for kind in CARRIES_ENDPOINTS]
        expected = carriers if stream.client.shape == view.EACH else carriers[:1]
        return stream.client.bound and not any(
            subscription is None or subscription.may_miss_withdrawals() for subscription in expected
        )

    def _may_add(self, stream: Stream, caches: dict, kind: str, name: str) -> bool:
        """A client that asks for a cluster gets what builds on it once it has taken the cluster. One that
        holds resources of an earlier stream sends requests by them, so it gets what replaces them right after
        the cluster."""
        clusters = stream.subscriptions.get(CLUSTER)
        if kind in (CLUSTER, MEMBER) or clusters is None or not clusters.is_wanted(name):
            return True
        if name not in caches[CLUSTER].resources or name in clusters.acknowledged:
            return True
        return stream.subscriptions[kind].returning and clusters.sent.get(name, NOT_SENT) > NOT_SENT

    def _may_remove(self, stream: Stream, caches: dict, kind: str, name: str) -> bool:
        """What builds on a cluster goes before it, as far as the incremental protocol can tell that."""
        later = ORDER[ORDER.index(kind) + 1 :] if kind in (CLUSTER, ENDPOINTS) else ()
        return not any(
            subscription.delta and name in subscription.acknowledged and name not in caches[one].resources
            for one in later
            if (subscription := stream.subscriptions.get(one)) is not None
        )
