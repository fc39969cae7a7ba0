"""Runs the controller's epoll loop inside an asyncio loop: one thread, no locks.

An epoll descriptor is readable while any descriptor registered with it is, so asyncio waits for it as for a
socket and then runs a turn of the inner loop. The next timer of the inner loop is set as a timer of asyncio.
"""

import asyncio
from math import inf

from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds


class NestedLoop:
    """Runs turns of an epoll loop, and the rounds that become due, within the running asyncio loop."""

    def __init__(self, loop: Loop, rounds: Rounds) -> None:
        self.inner, self.rounds = loop, rounds
        self.timer: asyncio.TimerHandle | None = None
        self.wake_scheduled = self.stopped = False

    def start(self) -> None:
        """Start to watch the epoll descriptor and run a first turn."""
        self.outer = asyncio.get_running_loop()
        self.outer.add_reader(self.inner.epoll.fileno(), self.turn)
        self.turn()

    def stop(self) -> None:
        """Run no more turns."""
        self.stopped = True
        self.outer.remove_reader(self.inner.epoll.fileno())
        if self.timer is not None:
            self.timer.cancel()

    def wake(self) -> None:
        """Schedule a turn, as an event was added from outside the inner loop; repeated calls schedule one."""
        if not self.wake_scheduled:
            self.wake_scheduled = True
            self.outer.call_soon(self.turn)

    def turn(self) -> None:
        """Run a turn of the inner loop and a round if one is due, and set the next timer."""
        self.wake_scheduled = False
        if self.stopped:
            return
        self.inner.turn(0.0)
        self.rounds.run_if_due()
        if self.timer is not None:
            self.timer.cancel()
        due = self.inner.seconds_to_next_timer()
        self.timer = self.outer.call_later(max(0.0, due), self.turn) if due < inf else None
