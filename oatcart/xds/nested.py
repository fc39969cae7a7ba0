"""The conductor's epoll loop inside an asyncio loop: one thread, no locks.

An epoll descriptor is readable while any of its own is, so asyncio waits for it as for a socket and has the
inner loop take its turn; the inner loop's next timer is one of asyncio's.
"""

import asyncio
from math import inf

from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds


class NestedLoop:
    def __init__(self, loop: Loop, rounds: Rounds) -> None:
        self.inner, self.rounds = loop, rounds
        self.timer: asyncio.TimerHandle | None = None
        self.wake_scheduled = self.stopped = False

    def start(self) -> None:
        self.outer = asyncio.get_running_loop()
        self.outer.add_reader(self.inner.epoll.fileno(), self.turn)
        self.turn()

    def stop(self) -> None:
        self.stopped = True
        self.outer.remove_reader(self.inner.epoll.fileno())
        if self.timer is not None:
            self.timer.cancel()

    def wake(self) -> None:
        """Something has come in from outside the inner loop: it has a turn soon, once."""
        if not self.wake_scheduled:
            self.wake_scheduled = True
            self.outer.call_soon(self.turn)

    def turn(self) -> None:
        self.wake_scheduled = False
        if self.stopped:
            return
        self.inner.turn(0.0)
        self.rounds.run_if_due()
        if self.timer is not None:
            self.timer.cancel()
        due = self.inner.seconds_to_next_timer()
        self.timer = self.outer.call_later(max(0.0, due), self.turn) if due < inf else None
