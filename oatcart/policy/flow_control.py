"""Flow control: the budget of the update channel, which has a bounded queue and a message cap for each proxy.

Every command reserves its lines here before it is given: one line for each proxy that it is sent to, and the
overhead of each new message. Only acknowledgements show how fast the channel is, so lines that are not known
to be acknowledged count as queued.

A reservation may fill a share of the message cap that depends on its purpose; the rest is kept for more
urgent ones. `message_cap` keeps messages for later drains too. URGENT_SHARE and OVERDUE_SHARE reservations
may fill QUEUE_SHARE of the queue. All others may fill only their share (NEW_ENTRIES_SHARE: QUEUE_SHARE) of
the lines that the channel sends within ACK_WAIT_S.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate
from math import inf

from oatcart.commands import NONCE_COUNT
from oatcart.model import ChannelLimits
from oatcart.policy.message_cap import MessageCap
from oatcart.policy.state import LONG_AGO, Proxy

# Shares of a proxy's message cap that a reservation may fill, by its purpose
WEIGHTS_SHARE = 0.5  # changes of weights
ASSIGNMENT_SHARE = 0.6  # tables of joined proxies, restored endpoints
URGENT_SHARE = 0.7  # draining and ejected endpoints, admission
NEW_ENTRIES_SHARE = 0.75  # a table that lacks many of its endpoints
OVERDUE_SHARE = 1.0  # drains that have waited for OVERDUE_S
QUEUE_SHARE = 0.9  # of the queue, the limit for all reservations
ACK_DELAY_S = 1.0  # from leaving the channel to the acknowledgement
MAX_SLOWDOWN = 4.0  # factor by which the channel may be slower than its line rate
ACK_WAIT_S = 2.0  # that less urgent updates may queue for; also the longest wait of `publication`


@dataclass(slots=True)
class SentRound:
    """A round that sent messages. Counts of lines are totals since the start."""

    nonce: int
    acknowledged: float  # lines known to have left, by the acknowledgements of this round
    lines_per_ack: float  # lines that each acknowledgement adds
    end: float  # lines that have left when all proxies have acknowledged


class UpdateChannel:
    """Reserves lines and messages, and tracks by acknowledgements which lines have left the channel."""

    def __init__(self, limits: ChannelLimits, drain_deadline: float = inf) -> None:
        """`limits`: from the settings, as is `drain_deadline` (s)."""
        self.limits = limits
        self.message_cap = MessageCap(limits, drain_deadline)
        self.queued = 0.0  # lines that count as queued
        self._now = 0.0
        self._reserved = 0.0  # lines since the start
        self._reserved_before_round = 0.0
        self._acknowledged = 0.0  # lines since the start that have left, by acknowledgements
        self._last_ack_at = 0.0  # when an acknowledgement was last received, or waiting for one began
        self._acknowledged_rate = 0.0  # lines/s
        self._measured_at = LONG_AGO
        self._acknowledged_when_measured = 0.0  # at the last measurement of the rate
        self._unacknowledged_when_measured = 0.0
        self._messages_of_round = 0
        self._rounds: list[SentRound] = []  # not acknowledged by all proxies, the oldest first

    @property
    def is_idle(self) -> bool:
        """Whether no lines count as queued."""
        return not self.queued

    @property
    def round_has_messages(self) -> bool:
        """Whether anything was reserved in this round."""
        return bool(self._messages_of_round)

    def begin_round(self, now: float) -> None:
        """Subtracts the lines that have left the queue since the last round; `now` in seconds."""
        rate = self.limits.line_rate
        self._reserved_before_round = self._reserved
        self._messages_of_round = 0
        if now - self._last_ack_at > ACK_DELAY_S + MAX_SLOWDOWN * self.limits.max_queue / rate:
            self._rounds = []  # all proxies that would acknowledge have left
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

        It is below the line rate only if a long queue was not emptied since the last measurement; otherwise
        few lines may have left just because few were queued.
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
        waited: float = 0.0,
    ) -> int:
        """Reserves the same lines to each of some proxies and returns how many of the lines fit.

        `share`: the share of the caps that may be filled, one of the constants of this module. If not all
        lines fit, the ones that do are reserved, if there are at least `minimum` of them (0: all or none).
        All fit if the queue has no limit. `lines` is at least 1. `notices`: for each line, the number of
        proxies that are sent one more line with it, on whether its endpoint may be used. `waited`: s for
        which the oldest drain among the lines has waited.
        """
        new_recipients = [
            proxy
            for proxy in proxies.values()
            if not proxy.message_times or proxy.message_times[-1] < self._now
        ]
        if not all(
            self.message_cap.allows(proxy.message_times, share, self._now, waited, proxy.drain_waiting_since)
            for proxy in new_recipients
        ):
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
            self.message_cap.record(proxy.message_times, self._now)
        return lines

    def proxies_at_message_cap(self, proxies: Iterable[Proxy], waited: float) -> int:
        """Returns how many of some proxies may not be sent a drain now that has `waited` (s)."""
        allows = self.message_cap.allows
        return sum(not allows(proxy.message_times, OVERDUE_SHARE, self._now, waited) for proxy in proxies)

    def _queue_available(self, share: float) -> float:
        """Returns the lines that fit in the queue, even if no unacknowledged line has left it.

        Less urgent updates may fill only ACK_WAIT_S of the queue, as they would delay drains.
        """
        remaining = self.limits.max_queue * QUEUE_SHARE - (self._reserved - self._acknowledged)
        if share in (URGENT_SHARE, OVERDUE_SHARE):
            return remaining
        # a share above URGENT_SHARE can only be NEW_ENTRIES_SHARE here
        share = share if share < URGENT_SHARE else QUEUE_SHARE
        by_rate = self._acknowledged_rate * ACK_WAIT_S
        return min(remaining, share * min(self.limits.max_queue, by_rate) - self.queued)

    def end_round(self, nonce: int) -> None:
        """Records the nonce of this round's messages; called only if the round has messages."""
        if self._acknowledged >= self._reserved_before_round:
            self._last_ack_at = self._now  # no acknowledgement was awaited until now
        lines = self._reserved - self._reserved_before_round
        per_ack = lines / self._messages_of_round
        self._rounds.append(SentRound(nonce, self._reserved_before_round, per_ack, self._reserved))

    def acknowledge(self, nonce: int) -> None:
        """Records an acknowledgement: lines before its round have left, and one proxy's part of the round."""
        # rounds with messages have consecutive nonces, so the difference is the index in the list
        index = (nonce - self._rounds[0].nonce) % NONCE_COUNT if self._rounds else 0
        if index < len(self._rounds):
            del self._rounds[:index]
            first = self._rounds[0]
            first.acknowledged = min(first.end, first.acknowledged + first.lines_per_ack)
            self._acknowledged = first.acknowledged
            self._last_ack_at = self._now
