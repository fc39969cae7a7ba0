"""Flow control: the budget of the update channel, which has a bounded queue and caps messages to a proxy.

Every command is reserved here before it is given, as lines: each costs one for every proxy it goes to, each
message its overhead besides. How fast the channel really is shows only in acknowledgements, so what they do
not prove gone counts as queued.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate

from oatcart.commands import NONCE_COUNT
from oatcart.model import ChannelLimits
from oatcart.policy.state import LONG_AGO, Proxy

# Parts of a proxy's message cap that a reservation may fill, by what it is for; the rest is left to what is
# more urgent. Of the queue, URGENT and OVERDUE may fill QUEUE_SHARE; the others their part (NEW_ENTRIES:
# QUEUE_SHARE) of what the channel sends within ACK_WAIT_S.
WEIGHTS_SHARE = 0.5
ASSIGNMENT_SHARE = 0.6  # tables of joined proxies, endpoints that return
URGENT_SHARE = 0.7  # draining and ejected endpoints, admission
NEW_ENTRIES_SHARE = 0.75  # a table that lacks many of its endpoints
OVERDUE_SHARE = 1.0  # drains that have waited
QUEUE_SHARE = 0.9  # of the queue, for anything
ACK_DELAY_S = 1.0  # from leaving the channel to the acknowledgement
MAX_SLOWDOWN = 4.0  # times that a channel may be slower than its line rate
ACK_WAIT_S = 2.0  # channel time that updates which can wait may queue; also publication's pace


@dataclass(slots=True)
class SentRound:
    """A round that sent messages; counts are lines since the start."""

    nonce: int
    acknowledged: float  # lines that have left the channel by its acknowledgements
    lines_per_ack: float
    end: float  # lines that have left once all proxies have acknowledged


class UpdateChannel:
    """Reserves lines and messages, and learns from acknowledgements what has left the channel."""

    def __init__(self, limits: ChannelLimits) -> None:
        """`limits`: as the settings give them."""
        self.limits = limits
        self.queued = 0.0  # lines that count as waiting
        self._now = 0.0
        self._reserved = 0.0  # lines since the start
        self._reserved_before_round = 0.0
        self._acknowledged = 0.0  # lines since the start that acknowledgements show to have left
        self._last_ack_at = 0.0  # the last sign of life from proxies that owe acknowledgements
        self._acknowledged_rate = 0.0  # lines/s
        self._measured_at = LONG_AGO
        self._acknowledged_when_measured = 0.0  # when the rate was measured
        self._unacknowledged_when_measured = 0.0
        self._messages_of_round = 0
        self._rounds: list[SentRound] = []  # not acknowledged in full, the oldest first

    @property
    def is_idle(self) -> bool:
        """Whether no lines count as waiting."""
        return not self.queued

    @property
    def round_has_messages(self) -> bool:
        """Whether anything was reserved in this round."""
        return bool(self._messages_of_round)

    def begin_round(self, now: float) -> None:
        """Takes from the queue what has left since the last round; `now` in seconds."""
        rate = self.limits.line_rate
        self._reserved_before_round = self._reserved
        self._messages_of_round = 0
        if now - self._last_ack_at > ACK_DELAY_S + MAX_SLOWDOWN * self.limits.max_queue / rate:
            self._rounds = []  # no proxy is left that would acknowledge
            self._acknowledged = self._reserved
        unacknowledged = self._reserved - self._acknowledged
        if now - self._measured_at >= ACK_DELAY_S:
            self._measure_rate(now, unacknowledged)
        by_line_rate = self.queued - (now - self._now) * rate
        by_acknowledgements = unacknowledged - self._acknowledged_rate * ACK_DELAY_S
        self.queued = max(0.0, by_line_rate, by_acknowledgements)
        self._now = now

    def _measure_rate(self, now: float, unacknowledged: float) -> None:
        """Sets the acknowledged rate (lines/s).

        Only a long queue that did not leave completely shows a channel slower than its line rate.
        """
        rate = self.limits.line_rate
        departed = self._acknowledged - self._acknowledged_when_measured
        long_queue = self._unacknowledged_when_measured > rate / MAX_SLOWDOWN * ACK_DELAY_S
        is_slow = long_queue and departed < self._unacknowledged_when_measured
        measured_rate = departed / (now - self._measured_at) if is_slow else rate
        self._acknowledged_rate = min(rate, max(rate / MAX_SLOWDOWN, measured_rate))
        self._measured_at = now
        self._acknowledged_when_measured = self._acknowledged
        self._unacknowledged_when_measured = unacknowledged

    def reserve(
        self,
        proxies: Mapping[int, Proxy],
        lines: int,
        share: float,
        minimum: int = 0,
        notices: Sequence[int] = (),
    ) -> int:
        """Reserves lines to each of some proxies and returns how many lines fit.

        `share`: the part of the caps that may be filled, one of the constants above. Where not all lines
        fit, as many are reserved as do, if these are at least `minimum` (0: all or none); without a limit of
        the queue all fit. There must be at least one line. `notices`: for
        each line, how many proxies are notified with it whether its endpoint may be used, one line each.
        """
        new_recipients = [
            proxy
            for proxy in proxies.values()
            if not proxy.message_times or proxy.message_times[-1] < self._now
        ]
        if not self._within_message_cap(new_recipients, share):
            return 0
        overhead = len(new_recipients) * (self.limits.message_overhead + 1)
        cumulative_costs = list(accumulate(len(proxies) + notice for notice in notices or [0] * lines))
        if self.limits.max_queue and proxies:
            available = self._queue_available(share) - overhead
            fitting = sum(cost <= available for cost in cumulative_costs)
            if fitting < (minimum or lines):
                return 0
            lines = fitting
        cost = overhead + max(cumulative_costs[:lines])
        self.queued += cost
        self._reserved += cost
        self._messages_of_round += len(new_recipients)
        for proxy in new_recipients:
            proxy.message_times.append(self._now)
        return lines

    def _within_message_cap(self, proxies: Collection[Proxy], share: float) -> bool:
        """Whether each proxy may be sent one more message within its window; one is kept in reserve."""
        for proxy in proxies:
            while proxy.message_times and proxy.message_times[0] < self._now - self.limits.message_window:
                proxy.message_times.popleft()
            if self.limits.max_messages and len(proxy.message_times) + 1 >= self.limits.max_messages * share:
                return False
        return True

    def _queue_available(self, share: float) -> float:
        """Returns the lines that fit in the queue, even if nothing unacknowledged has left it.

        What can wait may queue for some seconds only, as it would delay drains.
        """
        remaining = self.limits.max_queue * QUEUE_SHARE - (self._reserved - self._acknowledged)
        if share in (URGENT_SHARE, OVERDUE_SHARE):
            return remaining
        # only NEW_ENTRIES_SHARE is above URGENT_SHARE here
        share = share if share < URGENT_SHARE else QUEUE_SHARE
        by_rate = self._acknowledged_rate * ACK_WAIT_S
        return min(remaining, share * min(self.limits.max_queue, by_rate) - self.queued)

    def end_round(self, nonce: int) -> None:
        """Notes the nonce of this round's messages; to be called only if it has any."""
        if self._acknowledged >= self._reserved_before_round:
            self._last_ack_at = self._now  # nobody owed an acknowledgement until now
        lines = self._reserved - self._reserved_before_round
        per_ack = lines / self._messages_of_round
        self._rounds.append(SentRound(nonce, self._reserved_before_round, per_ack, self._reserved))

    def acknowledge(self, nonce: int) -> None:
        """Takes in an acknowledgement: what was sent before its round has left, and its part of the round."""
        # rounds with messages have consecutive nonces, so the difference is the place in the list
        index = (nonce - self._rounds[0].nonce) % NONCE_COUNT if self._rounds else 0
        if index < len(self._rounds):
            del self._rounds[:index]
            first = self._rounds[0]
            first.acknowledged = min(first.end, first.acknowledged + first.lines_per_ack)
            self._acknowledged = first.acknowledged
            self._last_ack_at = self._now
