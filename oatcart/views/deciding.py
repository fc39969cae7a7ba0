"""Decisions on views in a thread of their own, so that a change which moves many of them holds nobody up.

A whole fleet's first decision takes seconds, and so may the loss of a zone; meanwhile the event loop answers,
and what is known of a node already, its drain or its end, is told to those that hold it.
"""

import socket
from collections.abc import Callable, Generator, Iterable
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from oatcart.net.loop import READABLE, Loop, Wait
from oatcart.views.records import Member, Viewer, ViewError, ViewLimits
from oatcart.views.subsets import Subsets

View = tuple[str, ...] | ViewError
"""The nodes of a conductor's view, or why it cannot be decided."""

WAKES_MOST = 4096  # bytes that are read of the wake pair at a time


class Update(NamedTuple):
    """Changes of the records. `limits` and `seed`, where given, begin everything anew."""

    members: Iterable[Member] = ()
    removed: Iterable[str] = ()
    viewers: Iterable[Viewer] = ()
    gone: Iterable[str] = ()
    limits: ViewLimits | None = None
    seed: int = 0


class Decider:
    """The decisions, one batch of updates after the other."""

    def __init__(self) -> None:
        self.subsets = Subsets(ViewLimits(), 0)

    def decide(self, updates: Iterable[Update]) -> dict[str, View]:
        """The views that may be others after these updates."""
        for update in updates:
            self._note(update)
        return {name: self._view(name) for name in self.subsets.take_changed()}

    def _note(self, update: Update) -> None:
        if update.limits is not None:
            self.subsets = Subsets(update.limits, update.seed)
        for name in update.gone:
            self.subsets.drop_viewer(name)
        for node in update.removed:
            self.subsets.drop_member(node)
        self.subsets.put_viewers(update.viewers)
        self.subsets.put_members(update.members)

    def _view(self, name: str) -> View:
        try:
            return self.subsets.view(name)
        except ViewError as error:
            return error


class DecidingThread:
    """Decides in a thread; `take` is told of views on the loop, in the order of the updates."""

    def __init__(self, loop: Loop, take: Callable[[dict[str, View]], None]) -> None:
        self.loop, self.take = loop, take
        self.updates: SimpleQueue[Update | None] = SimpleQueue()
        self.decided: SimpleQueue[dict[str, View] | Exception] = SimpleQueue()
        self.woken, self.waker = socket.socketpair()
        self.woken.setblocking(False)
        self.failure: Exception | None = None  # nothing is decided from then on
        self.thread = Thread(target=self._run, name="deciding", daemon=True)

    def start(self) -> None:
        """Decide from now on."""
        self.thread.start()
        self.delivering = self.loop.spawn(self._deliver())

    def put(self, update: Update) -> None:
        """Have it decided; what waits is decided together."""
        self.updates.put(update)

    def stop(self) -> None:
        """Decide no more, once what is under way is done."""
        self.updates.put(None)
        self.thread.join()
        if not self.delivering.done:
            self.loop.cancel(self.delivering)
        self.loop.unregister(self.woken.fileno())
        self.woken.close()
        self.waker.close()

    def _run(self) -> None:
        decider = Decider()
        while True:
            batch = [self.updates.get()]
            while not self.updates.empty():
                batch.append(self.updates.get())
            if None in batch:
                return
            try:
                self.decided.put(decider.decide(batch))
            except Exception as error:  # the loop is told, and ends the process
                self.decided.put(error)
                return
            finally:
                self.waker.send(b"\0")

    def _deliver(self) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(self.woken.fileno(), READABLE)
            self.woken.recv(WAKES_MOST)
            while not self.decided.empty():
                views = self.decided.get()
                if isinstance(views, Exception):
                    self.failure = views
                    return
                self.take(views)
