"""Decides views in a separate thread, so that a change that moves many assignments does not block the event
loop.

The first decision for a fleet takes seconds, and so can the loss of a zone. Meanwhile the event loop answers
calls and publishes changes of endpoints that views already have.
"""

import socket
from collections.abc import Callable, Generator, Iterable
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from oatcart.net.loop import READABLE, Loop, Wait
from oatcart.views.fleet_views import FleetViews
from oatcart.views.records import Controller, Endpoint, ViewError, ViewLimits

View = tuple[str, ...] | ViewError
"""The ids of the endpoints in a controller's view, or the reason why it cannot be decided."""

WAKE_READ_BYTES = 4096  # read from the wake socket at once


class RecordChanges(NamedTuple):
    """Changes of the records. If `limits` is set, all earlier records are discarded, and `limits` and `seed`
    apply from then on."""

    endpoints: Iterable[Endpoint] = ()
    removed_endpoints: Iterable[str] = ()
    controllers: Iterable[Controller] = ()
    removed_controllers: Iterable[str] = ()
    limits: ViewLimits | None = None
    seed: int = 0


class ViewDecider:
    """Decides views for one batch of changes after the other."""

    def __init__(self) -> None:
        self.fleet_views = FleetViews(ViewLimits(), 0)

    def decide(self, changes: Iterable[RecordChanges]) -> dict[str, View]:
        """Applies a batch of changes and returns the views that may differ, by the names of controllers."""
        for change in changes:
            self._apply(change)
        return {name: self._view(name) for name in self.fleet_views.pop_changed()}

    def _apply(self, change: RecordChanges) -> None:
        if change.limits is not None:
            self.fleet_views = FleetViews(change.limits, change.seed)
        for name in change.removed_controllers:
            self.fleet_views.remove_controller(name)
        for endpoint_id in change.removed_endpoints:
            self.fleet_views.remove_endpoint(endpoint_id)
        self.fleet_views.put_controllers(change.controllers)
        self.fleet_views.put_endpoints(change.endpoints)

    def _view(self, name: str) -> View:
        try:
            return self.fleet_views.view(name)
        except ViewError as error:
            return error


class DecisionThread:
    """Runs a `ViewDecider` in a thread. `on_views` is called on the event loop with each batch of results, in
    the order of the changes."""

    def __init__(self, loop: Loop, on_views: Callable[[dict[str, View]], None]) -> None:
        self.loop, self.on_views = loop, on_views
        self.changes: SimpleQueue[RecordChanges | None] = SimpleQueue()  # None ends the thread
        self.results: SimpleQueue[dict[str, View] | Exception] = SimpleQueue()
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.failure: Exception | None = None  # once set, the thread has ended
        self.thread = Thread(target=self._run, name="deciding", daemon=True)

    def start(self) -> None:
        """Starts the thread and the task that delivers its results."""
        self.thread.start()
        self.delivery = self.loop.spawn(self._deliver())

    def submit(self, change: RecordChanges) -> None:
        """Queues changes for the thread, which processes all queued changes together."""
        self.changes.put(change)

    def stop(self) -> None:
        """Ends the thread, after the current decision if there is one."""
        self.changes.put(None)
        self.thread.join()
        if not self.delivery.done:
            self.loop.cancel(self.delivery)
        self.loop.unregister(self.wake_receiver.fileno())
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
            except Exception as error:  # reported to the loop, which ends the process
                self.results.put(error)
                return
            finally:
                self.wake_sender.send(b"\0")

    def _deliver(self) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(self.wake_receiver.fileno(), READABLE)
            self.wake_receiver.recv(WAKE_READ_BYTES)
            while not self.results.empty():
                views = self.results.get()
                if isinstance(views, Exception):
                    self.failure = views
                    return
                self.on_views(views)
