"""The message cap: whether a proxy may be sent one more message, so that later drains are sent in time.

A drain has a deadline, and only a message can send it. So a message is allowed only if, after it, the proxy
could be sent one more in every drain interval, however many drains followed. Otherwise a burst of messages
would use up the cap, and the next drain would wait until the first of them has left the window.
"""

from collections import deque
from math import inf

from oatcart.model import ChannelLimits

# Shares of the drain deadline that a drain may wait for a message; the rest is for the queue and the way
DRAIN_WAIT_SHARE = 0.4
MAX_DRAIN_WAIT_SHARE = 0.8  # with a cap that is too low for the first
CLOCK_ERROR_S = 1e-6  # sums of times are not exact


class MessageCap:
    """Decides which messages the cap allows.

    Its last message is never used, as proxies count by the times at which messages arrive.
    """

    def __init__(self, limits: ChannelLimits, drain_deadline: float) -> None:
        """`limits`: without a cap, all messages are allowed; `drain_deadline`: s."""
        self._max_messages = limits.max_messages
        self._window = limits.message_window
        self._usable = limits.max_messages - 1
        self.drain_deadline = drain_deadline  # s
        self.drain_wait = DRAIN_WAIT_SHARE * drain_deadline  # s
        # a low cap allows no more than its messages spread evenly over the window
        self._drain_interval = max(self.drain_wait, self._window / max(1, self._usable))
        self._max_drain_wait = min(self._drain_interval, MAX_DRAIN_WAIT_SHARE * drain_deadline)

    def allows(
        self,
        sent_at: deque[float],
        share: float,
        now: float,
        waited: float = 0.0,
        drain_waiting_since: float = inf,
    ) -> bool:
        """Whether a proxy may be sent one more message.

        `sent_at`: the times of its messages; those that have left the window are removed. `share`: the share
        of the cap that may be filled. `waited`: s for which the oldest drain in the message has waited; after
        the maximum it may use the messages that are kept for later drains. `drain_waiting_since`: when the
        oldest drain was received that is not in the message and waits to be sent to this proxy too.
        """
        if not self._max_messages:
            return True
        while sent_at and sent_at[0] < now - self._window:
            sent_at.popleft()
        if len(sent_at) + 1 >= self._max_messages * share:
            return False
        if waited >= self._max_drain_wait:
            return True
        next_drain_at = max(now, min(now, drain_waiting_since) + self._drain_interval)
        return self._later_drains_fit(sent_at, now, next_drain_at)

    def record(self, sent_at: deque[float], now: float) -> None:
        """Adds the time of a message to those of its proxy; without a cap only the last one is kept."""
        if not self._max_messages:
            sent_at.clear()
        sent_at.append(now)

    def _later_drains_fit(self, sent_at: deque[float], now: float, next_drain_at: float) -> bool:
        """Whether, after a message now, the cap allows the next drain's, and one more in every interval.

        Those after the window need no check, as by then all earlier messages have left it.
        """
        sent = len(sent_at) + 1
        drain = max(0, self._usable - sent)  # the first one before which messages must have left the window
        while (at := next_drain_at + drain * self._drain_interval) < now + self._window - CLOCK_ERROR_S:
            must_have_left = sent + drain + 1 - self._usable
            if must_have_left > len(sent_at) or sent_at[must_have_left - 1] > at - self._window:
                return False
            drain += 1
        return True
