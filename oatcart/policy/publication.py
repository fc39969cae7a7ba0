"""Publication: decides which weights of a table are sent, and when.

Weights are absolute values. Changes above a threshold are sent once a second, the next ones only after most
proxies have acknowledged the last update, or after ACK_WAIT_S; until then changes merge. Some changes are
sent at once: those of an empty table, and weights of endpoints in slow start that have to fall.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from oatcart.model import WarmUpLimits
from oatcart.policy.flow_control import (
    ACK_WAIT_S,
    ASSIGNMENT_SHARE,
    NEW_ENTRIES_SHARE,
    WEIGHTS_SHARE,
    UpdateChannel,
)
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.slow_start import ramp, warm_fraction
from oatcart.policy.state import Proxy, Round, RoutingTable
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.weighting import Weighting

MIN_CHANGE = 5.0  # points
MIN_CHANGE_SHARE = 0.1  # of the weight last sent; the larger of both thresholds applies
MAX_CHANNEL_S = 3.0  # upper bound of the channel seconds that raise the threshold, see `_threshold`
MISSING_ENTRIES_SHARE = 0.1  # of a table's endpoints; if more lack an entry, entries are sent at once


@dataclass(slots=True)
class WeightChanges:
    """The differences between a table as sent and its target; weights by endpoint, 0 for no entry."""

    sent: dict[int, int]
    target: dict[int, int]
    wanted: dict[int, int]  # target weights that differ enough to be sent
    urgent: set[int]  # endpoints in slow start whose weight has to fall

    @property
    def lacks_entries(self) -> bool:
        """Whether more than MISSING_ENTRIES_SHARE of the table's endpoints have no entry yet."""
        new = sum(not self.sent[endpoint] for endpoint in self.wanted)
        return new > MISSING_ENTRIES_SHARE * len(self.target)

    def size(self, endpoint: int) -> int:
        """Returns the points by which a weight changes."""
        return abs(self.wanted[endpoint] - self.sent[endpoint])


class Publication:
    """Sends the weights of tables."""

    def __init__(
        self,
        warm_up: WarmUpLimits,
        registry: EndpointRegistry,
        proxies: Mapping[int, Proxy],
        tables: TableRegistry,
        weighting: Weighting,
        channel: UpdateChannel,
    ) -> None:
        """`proxies`: the joined proxies by number. All arguments are shared with the other modules."""
        self._warm_up = warm_up
        self._registry = registry
        self._proxies = proxies
        self._tables = tables
        self._weighting = weighting
        self._channel = channel

    def publish(
        self, table: RoutingTable, this_round: Round, rescored: bool = False, unblocked: bool = True
    ) -> None:
        """Sends the changes of a table that are due, as far as the channel has capacity; the rest waits.

        `rescored`: scores were updated in this round; `unblocked`: nothing more urgent waits for the channel.
        """
        changes = self._changes(table, this_round.now)
        empty = self._is_empty(table, changes)
        lacks_entries = changes.lacks_entries
        may_update = self._may_update(table, this_round.now) and (rescored or lacks_entries)
        regular = may_update and not empty and unblocked
        due = [number for number in changes.wanted if regular or empty or self._is_urgent(number, changes)]
        share = ASSIGNMENT_SHARE
        if regular:
            share = NEW_ENTRIES_SHARE if lacks_entries else WEIGHTS_SHARE
        sent = self._reserve(table, changes, due, share)
        table.unsent = {number: weight for number, weight in changes.wanted.items() if number not in sent}
        self._send(table, sent, this_round)

    def _changes(self, table: RoutingTable, now: float) -> WeightChanges:
        target = self._weighting.target_weights(table, now)
        endpoints = sorted({*table.weights, *target})
        sent = {number: table.weights.get(number, 0) for number in endpoints}
        falling = {number for number in endpoints if 0 < target.get(number, 0) < sent[number] / 2}
        threshold = self._threshold(table, len(target))
        wanted: dict[int, int] = {}
        for number in endpoints:
            old, new = sent[number], target.get(number, 0)
            if (
                (old > 0) != (new > 0)
                or (number in falling and self._is_warming_up(number, now))
                or abs(new - old) > threshold * max(MIN_CHANGE, MIN_CHANGE_SHARE * old)
            ):
                wanted[number] = new
        return WeightChanges(
            sent, target, wanted, {number for number in falling if self._in_slow_start(number, now)}
        )

    def _threshold(self, table: RoutingTable, entries: int) -> float:
        """Returns the factor of the threshold.

        It is 1 plus the seconds, at most MAX_CHANNEL_S, that sending all entries to all proxies takes.
        """
        proxies = len(self._proxies if self._tables.has_subsets else table.proxies)
        seconds = entries * proxies / max(1.0, self._channel.limits.line_rate)
        return 1.0 + min(MAX_CHANNEL_S, seconds)

    def _is_warming_up(self, endpoint: int, now: float) -> bool:
        """Whether an endpoint has less than its full capacity."""
        return warm_fraction(self._registry.endpoints[endpoint], self._warm_up, now) < 1.0

    def _in_slow_start(self, endpoint: int, now: float) -> bool:
        """Whether the weight of an endpoint is still ramped up, after a start or an ejection."""
        return ramp(now - self._registry.endpoints[endpoint].ramp_started_at) < 1.0

    def _is_empty(self, table: RoutingTable, changes: WeightChanges) -> bool:
        """Whether the table has no usable entry, or no proxies."""
        endpoints = self._registry.endpoints
        usable = any(number in changes.target and not endpoints[number].ejected for number in table.weights)
        return not usable or not table.proxies

    def _may_update(self, table: RoutingTable, now: float) -> bool:
        """Whether most proxies have acknowledged the last update, or ACK_WAIT_S have passed since."""
        mostly_acknowledged = len(table.unacknowledged) * 2 < len(table.proxies)
        return mostly_acknowledged or now - table.updated_at >= ACK_WAIT_S

    def _is_urgent(self, endpoint: int, changes: WeightChanges) -> bool:
        """Whether a change is sent at once.

        These are the urgent changes, and together with them new entries, or all if the channel is idle.
        """
        if endpoint in changes.urgent:
            return True
        return bool(changes.urgent) and (not changes.sent[endpoint] or self._channel.is_idle)

    def _reserve(
        self, table: RoutingTable, changes: WeightChanges, due: list[int], share: float
    ) -> dict[int, int]:
        """Reserves the due changes and returns those that fit, the most important first.

        New entries come first, then the largest changes; endpoints that are ejected at proxies come last.
        """
        if not due:
            return {}
        endpoints = self._registry.endpoints
        due.sort(
            key=lambda number: (
                endpoints[number].ejection_sent,
                changes.sent[number] > 0,
                -changes.size(number),
            )
        )
        ejection_times = {endpoints[number].ejection_sent_at for number in due}
        notice_counts = {
            ejection_sent_at: table.proxies_to_notify(ejection_sent_at) for ejection_sent_at in ejection_times
        }
        notices = [
            0 if changes.sent[number] else notice_counts[endpoints[number].ejection_sent_at] for number in due
        ]
        fitting = self._channel.reserve(table.proxies, len(due), share, 1, notices)
        return {number: changes.wanted[number] for number in due[:fitting]}

    def _send(self, table: RoutingTable, sent: dict[int, int], this_round: Round) -> None:
        for endpoint, weight in sent.items():
            this_round.commands.set_weight(table.number, endpoint, weight)
        table.weights = {number: weight for number, weight in (table.weights | sent).items() if weight}
        if sent and table.proxies:
            table.nonce = this_round.nonce
            table.unacknowledged = set(table.proxies)
            table.updated_at = this_round.now
