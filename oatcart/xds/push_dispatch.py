"""Decides what each stream is sent now, by priority and within the push budget. Free of I/O and clock."""

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

RESOURCES_PER_DISPATCH = 2000  # some ms of work, so that requests in between are not delayed


class Candidate(NamedTuple):
    """A stream that may be sent a push. `urgent`: the types whose pushes may borrow from the budget."""

    priority: PushPriority
    waiting_since: float  # s; longest first, else the newest streams might never be sent anything
    first_pushes: bool  # withdrawals to connected clients go before those to returning ones
    stream: Stream
    caches: dict[str, ResourceCache]
    urgent: frozenset[str]

    def order(self) -> tuple[int, float, bool, int]:
        """The sort key: the lowest first."""
        return self.priority, self.waiting_since, self.first_pushes, self.stream.key


class PushDispatch:
    """Chooses the pushes of all streams. `cache_for`: the resources of a type that a client may see."""

    def __init__(
        self,
        budget: PushBudget,
        cache_for: Callable[[Client, str], ResourceCache],
        log: Callable[[str, str], None],
    ) -> None:
        self.budget, self.cache_for, self.log = budget, cache_for, log
        self.push_metrics = PushMetrics()
        self.pending: dict[Stream, None] = {}
        self.has_more = False  # the last dispatch stopped at its limit
        self.next_dispatch_in: float | None = None  # s until the budget allows a delayed push

    def add(self, *streams: Stream) -> None:
        """Consider these streams in the next dispatch."""
        self.pending |= dict.fromkeys(streams)

    def refund(self, stream: Stream) -> None:
        """Return what was paid in advance for a stream and not sent."""
        self.budget.refund(stream.prepaid)
        stream.prepaid = 0

    def dispatch(self, now: float) -> list[tuple[Stream, list[tuple[str, Push]]]]:
        """Return the pushes to send now, by stream, the most urgent first. `now`: s.

        They count as sent, and their streams are not writable until the front's `on_written`. Sets
        `next_dispatch_in` if the budget delayed a push, and `has_more` if this dispatch stopped at its limit.
        """
        self.budget.advance(now)
        out, self.next_dispatch_in, self.has_more = [], None, False
        candidates = [
            self._candidate(now, stream)
            for stream in self.pending
            if stream.writable and stream.client is not None
        ]
        self.pending, remaining, self.push_metrics.waiting_since = {}, RESOURCES_PER_DISPATCH, []
        for candidate in sorted(candidates, key=Candidate.order):
            if remaining <= 0:
                self.has_more = True
                self.pending[candidate.stream] = None
                continue
            pushes = self._pushes(candidate)
            remaining -= sum(len(push.items) for _, push in pushes)
            if pushes:
                candidate.stream.writable = False
                out.append((candidate.stream, pushes))
            if candidate.stream.prepaid and self._misses_nothing(candidate.stream):
                self.refund(candidate.stream)
        if self.push_metrics.waiting_since:
            self.log("push", str(self.push_metrics.status(now, self.budget)))
        return out

    def _candidate(self, now: float, stream: Stream) -> Candidate:
        caches = {
            resource_type: self.cache_for(stream.client, resource_type)
            for resource_type in stream.subscriptions
        }
        urgent = {
            resource_type
            for resource_type, subscription in stream.subscriptions.items()
            if subscription.may_be_urgent(caches[resource_type])
        }
        if not stream.endpoints_sent and urgent & set(CARRIES_ENDPOINTS):
            urgent.add(CLUSTER)  # its endpoints are sent after it
        priority = push_priority(bool(urgent), stream.endpoints_sent, stream.returning)
        waiting_since = now if not urgent or stream.urgent_since is None else stream.urgent_since
        return Candidate(
            priority, waiting_since, not stream.endpoints_sent, stream, caches, frozenset(urgent)
        )

    def _pushes(self, candidate: Candidate) -> list[tuple[str, Push]]:
        """The pushes of one stream that the budget allows now."""
        pushes, stream = [], candidate.stream
        stream.urgent_since = None
        for resource_type in ORDER:
            subscription = stream.subscriptions.get(resource_type)
            if subscription is None:
                continue
            prepaid = stream.prepaid > 0 and resource_type in FIRST_PUSHES
            if not prepaid and not self.budget.take(resource_type in candidate.urgent):
                self._wait_for_budget(candidate, resource_type in candidate.urgent)
                continue
            push = subscription.next_push(
                candidate.caches[resource_type],
                lambda name: self._may_add(stream, candidate.caches, resource_type, name),
                lambda name: self._may_remove(stream, candidate.caches, resource_type, name),
            )
            if push is not None:
                pushes.append((resource_type, push))
                self.push_metrics.count(candidate.priority, resource_type)
                stream.prepaid -= prepaid
                stream.endpoints_sent = stream.endpoints_sent or resource_type == ENDPOINTS
            elif not prepaid:
                self.budget.give_back()
        return pushes

    def _wait_for_budget(self, candidate: Candidate, urgent: bool) -> None:
        wait = self.budget.wait(urgent)
        self.next_dispatch_in = wait if self.next_dispatch_in is None else min(wait, self.next_dispatch_in)
        self.pending[candidate.stream] = None
        if urgent:
            candidate.stream.urgent_since = candidate.waiting_since
            self.push_metrics.waiting_since.append(candidate.waiting_since)

    def _misses_nothing(self, stream: Stream) -> bool:
        """Whether a returning client was sent all withdrawals that it may have missed."""
        carriers = [stream.subscriptions.get(resource_type) for resource_type in CARRIES_ENDPOINTS]
        expected = carriers if stream.client.shape == view.EACH else carriers[:1]
        return stream.client.assigned and not any(
            subscription is None or subscription.may_miss_withdrawals() for subscription in expected
        )

    def _may_add(self, stream: Stream, caches: dict, resource_type: str, name: str) -> bool:
        """Whether a resource may be sent, as one that refers to a cluster has to follow it.

        A client that subscribes to the cluster is sent the resource once it has acknowledged the cluster. One
        that returns uses resources of an earlier stream, so it is sent their replacements right after the
        cluster.
        """
        clusters = stream.subscriptions.get(CLUSTER)
        if resource_type in (CLUSTER, MEMBER) or clusters is None or not clusters.is_wanted(name):
            return True
        if name not in caches[CLUSTER].resources or name in clusters.acknowledged:
            return True
        return stream.subscriptions[resource_type].returning and clusters.sent.get(name, NOT_SENT) > NOT_SENT

    def _may_remove(self, stream: Stream, caches: dict, resource_type: str, name: str) -> bool:
        """Whether a resource may be removed: resources that refer to a cluster are removed before it.

        Only the incremental protocol can remove them.
        """
        later_types = ORDER[ORDER.index(resource_type) + 1 :] if resource_type in (CLUSTER, ENDPOINTS) else ()
        return not any(
            subscription.delta
            and name in subscription.acknowledged
            and name not in caches[later_type].resources
            for later_type in later_types
            if (subscription := stream.subscriptions.get(later_type)) is not None
        )
