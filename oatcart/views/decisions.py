"""Decisions on views in a thread of their own, so that a change which moves many of them holds nobody up.

A whole fleet's first decision takes seconds, and so may the loss of a zone; meanwhile the event loop answers,
and what is known of a node already, its drain or its end, is told to those that hold it.
"""

import socket
from collections.abc import Callable, Generator, Iterable
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from oatcart.net.loop import IN, Loop, Wait
from oatcart.views.records import Controller, Endpoint, ViewError, ViewLimits
from oatcart.views.subsets import Subsets

View = tuple[str, ...] | ViewError
"""The nodes of a conductor's view, or why it cannot be decided."""

WAKE_READ_BYTES = 4096  # bytes that are read of the wake pair at a time


class RecordChanges(NamedTuple):
    """Changes of the records. `limits` and `seed`, where given, begin everything anew."""

    endpoints: Iterable[Endpoint] = ()
    removed_endpoints: Iterable[str] = ()
    controllers: Iterable[Controller] = ()
    removed_controllers: Iterable[str] = ()
    limits: ViewLimits | None = None
    seed: int = 0


class ViewDecider:
    """The decisions, one batch of updates after the other."""

    def __init__(self) -> None:
        self.subsets = Subsets(ViewLimits(), 0)

    def decide(self, changes: Iterable[RecordChanges]) -> dict[str, View]:
        """The views that may be others after these updates."""
        for change in changes:
            self._apply(change)
        return {name: self._view(name) for name in self.subsets.pop_changed()}

    def _apply(self, change: RecordChanges) -> None:
        if change.limits is not None:
            self.subsets = Subsets(change.limits, change.seed)
        for name in change.removed_controllers:
            self.subsets.remove_controller(name)
        for node in change.removed_endpoints:
            self.subsets.remove_endpoint(node)
        self.subsets.put_controllers(change.controllers)
        self.subsets.put_endpoints(change.endpoints)

    def _view(self, name: str) -> View:
        try:
            return self.subsets.view(name)
        except ViewError as error:
            return error


class DecisionThread:
    """Decides in a thread; `take` is told of views on the loop, in the order of the updates."""

    def __init__(self, loop: Loop, on_views: Callable[[dict[str, View]], None]) -> None:
        self.loop, self.on_views = loop, on_views
        self.changes: SimpleQueue[RecordChanges | None] = SimpleQueue()
        self.results: SimpleQueue[dict[str, View] | Exception] = SimpleQueue()
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.failure: Exception | None = None  # nothing is decided from then on
        self.thread = Thread(target=self._run, name="deciding", daemon=True)

    def start(self) -> None:
        """Decide from now on."""
        self.thread.start()
        self.delivery = self.loop.spawn(self._deliver())

    def submit(self, change: RecordChanges) -> None:
        """Have it decided; what waits is decided together."""
        self.changes.put(change)

    def stop(self) -> None:
        """Decide no more, once what is under way is done."""
        self.changes.put(None)
        self.thread.join()
        if not self.delivery.over:
            self.loop.end(self.delivery)
        self.loop.close(self.wake_receiver.fileno())
        self.wake_receiver.close()
        self.wake_sender.close()

    def _run(self) -> None:
        decider = ViewDecider()
        while True:
            batch = [self.changes.get()]
            while not self.changes.empty():
                batch.append(self.changes.get())
            if None in batch:
                return
            try:
                self.results.put(decider.decide(batch))
            except Exception as error:  # the loop is told, and ends the process
                self.results.put(error)
                return
            finally:
                self.wake_sender.send(b"\0")

    def _deliver(self) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(self.wake_receiver.fileno(), IN)
            self.wake_receiver.recv(WAKE_READ_BYTES)
            while not self.results.empty():
                views = self.results.get()
                if isinstance(views, Exception):
                    self.failure = views
                    return
                self.on_views(views)
