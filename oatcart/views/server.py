"""The HTTP server of the control role, on the project's event loop. It serves each controller's view as an
ordinary endpoint list.

Each connection has a task that reads a request, writes the response and reads the next request.
"""

import socket
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass

import h11

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.net.stream import MAX_MESSAGE_BYTES, Address, Stream
from oatcart.views.configuration import ServerBounds
from oatcart.views.connection import MAX_HEAD_BYTES, HttpConnection
from oatcart.views.history import ViewHistory
from oatcart.views.listener import Listener, accept_connections, open_listener
from oatcart.views.publisher import Publisher, ViewNotDecidedError
from oatcart.views.records import UnknownControllerError, ViewError
from oatcart.views.requests import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    ListRequest,
    RejectedRequestError,
    StatusRequest,
    parse_request,
)

READ_BYTES = 1024  # read from a connection at once; a controller's request has a few hundred bytes


@dataclass
class UndecidedCalls:
    """Counts calls for a view that was not decided yet: `answered` with the view once it was decided,
    `rejected` with status 503 after `undecided_timeout`."""

    answered: int = 0
    rejected: int = 0


class Server:
    """Serves the histories of a publisher.

    `status` returns the response body for `GET /v1/views`. `on_call` is called with the name of the view in
    each request for one.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        publisher: Publisher,
        bounds: ServerBounds,
        status: Callable[[], bytes],
        on_call: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.loop, self.log, self.publisher, self.bounds, self.status = loop, log, publisher, bounds, status
        self.on_call = on_call
        self.tasks: dict[Stream, Task] = {}  # of all connections
        self.unidentified: dict[Stream, None] = {}  # connections without a request yet, oldest first
        self.view_of: dict[Stream, str] = {}  # the view that a connection last requested
        self.streams_of_view: dict[str, dict[Stream, None]] = {}  # by last requested view, oldest first
        self.watching: dict[str, dict[Stream, None]] = {}  # by view: connections with a waiting watch
        self.undecided: dict[str, dict[Stream, None]] = {}  # by view: connections waiting for a decision
        self.undecided_calls = UndecidedCalls()

    def listen(self, address: Address, view: str | None = None) -> Listener:
        """Listens at the main address, or at the own address of controller `view`; raises OSError."""
        listener = open_listener(address, view)
        accepting = accept_connections(
            self.loop, self.log, listener, lambda sock: self._admit(sock, listener)
        )
        listener.accept_task = self.loop.spawn(accepting)
        return listener

    def close_listener(self, listener: Listener) -> None:
        """Closes a listener and the connections accepted there."""
        self.loop.cancel(listener.accept_task)
        self.loop.unregister(listener.sock.fileno())
        listener.sock.close()
        self._close_all(listener)

    def reassign(self, listener: Listener, view: str) -> None:
        """Assigns an address to a controller and closes its connections if it was that of another one."""
        if listener.view != view:
            listener.view = view
            self._close_all(listener)

    def wake_watches(self, names: Iterable[str]) -> None:
        """Wakes the watches of these views, which check for changes."""
        for name in names:
            self._wake(self.watching.get(name, ()))

    def wake_undecided(self, names: Iterable[str]) -> None:
        """Wakes the calls that wait for these views, which check whether the views are decided."""
        for name in names:
            self._wake(self.undecided.get(name, ()))

    def _wake(self, streams: Iterable[Stream]) -> None:
        for stream in [*streams]:
            if stream in self.tasks:
                self.loop.expire(self.tasks[stream])

    def _admit(self, sock: socket.socket, listener: Listener) -> None:
        """Serves a new connection. Beyond the limit the oldest unidentified connections are closed, or else
        the new one, but never one that has sent a request. Data that an unidentified connection has already
        received is read before it is closed, as it may be a request."""
        stream = Stream(self.loop, sock, READ_BYTES, MAX_HEAD_BYTES, MAX_MESSAGE_BYTES)
        self.unidentified[stream] = None
        listener.streams[stream] = None
        task = self.loop.spawn(self._serve(stream, listener))
        if stream.sock.fileno() < 0:
            return  # already closed
        self.tasks[stream] = task
        while len(self.tasks) > self.bounds.max_connections and self.unidentified:
            oldest = next(iter(self.unidentified))
            oldest.timeout_reason = CloseReason.OUT_OF_RESOURCES
            self.loop.expire(self.tasks[oldest])
        if len(self.tasks) > self.bounds.max_connections:
            self.log.write(
                "connection",
                f"{self._peer(stream)}: closed: {ConnectionClosedError(CloseReason.OUT_OF_RESOURCES)}",
            )
            self._close(stream)

    def _serve(self, stream: Stream, listener: Listener) -> Generator[Wait, bool, None]:
        """The task of a connection. Its end is logged unless the client closed it."""
        connection = HttpConnection(self.loop, stream, self.bounds.write_timeout)
        until = self.loop.now + self.bounds.first_request_timeout
        try:
            while True:
                yield from self._exchange(connection, listener.view, until)
                if not connection.is_reusable:
                    return
                connection.http.start_next_cycle()
                until = self.loop.now + self.bounds.idle_timeout
        except ConnectionClosedError as close_error:
            if close_error.reason not in (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER):
                self.log.write("connection", f"{self._peer(stream)}: closed: {close_error}")
        finally:
            del listener.streams[stream]
            self.unidentified.pop(stream, None)
            self.tasks.pop(stream, None)
            self._untrack_view(stream)
            stream.close()

    def _exchange(
        self, connection: HttpConnection, own_view: str | None, until: float
    ) -> Generator[Wait, bool, None]:
        """Reads one request and writes its response."""
        try:
            request = yield from connection.read_request(until)
            self.unidentified.pop(connection.stream, None)
            connection.stream.timeout_reason = CloseReason.TIMED_OUT
            call = parse_request(request.method, request.target, own_view)
            if isinstance(call, StatusRequest):
                body = self.status()
            else:
                body = yield from self._list(connection, call)
            yield from connection.write_response(OK, body)
        except RejectedRequestError as rejected:
            self.log.write("rejected", f"{self._peer(connection.stream)}: {rejected}")
            yield from connection.write_response(rejected.status, rejected.body)
        except h11.RemoteProtocolError as error:
            if connection.can_respond:
                rejected = RejectedRequestError(BAD_REQUEST, "the request cannot be read", str(error))
                yield from connection.write_response(rejected.status, rejected.body)
            raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None

    def _list(self, connection: HttpConnection, call: ListRequest) -> Generator[Wait, bool, bytes]:
        """The response body for a view. A watch waits for changes until its timeout."""
        self.on_call(call.view)
        until = self.loop.now + call.timeout
        while True:
            history = yield from self._history(connection, call.view)
            self._track_view(connection.stream, call.view)
            if call.since is None:
                return history.complete_list()
            body = history.changes_since(call.since)
            if body is not None:
                return body
            if self.loop.now >= until:
                return history.no_changes()
            yield from connection.wait(self.watching.setdefault(call.view, {}), until)

    def _history(self, connection: HttpConnection, view: str) -> Generator[Wait, bool, ViewHistory]:
        """The history of a view. If the view is not decided yet, waits for at most `undecided_timeout`.

        Raises RejectedRequestError if the view does not exist, cannot be decided or is not decided in time.
        """
        until = self.loop.now + self.bounds.undecided_timeout
        has_waited = False
        while True:
            try:
                history = self.publisher.history(view)
            except UnknownControllerError as error:
                raise RejectedRequestError(NOT_FOUND, "unknown view", str(error)) from None
            except ViewNotDecidedError as error:
                if self.loop.now >= until:
                    self.undecided_calls.rejected += 1
                    raise RejectedRequestError(UNAVAILABLE, f"no view for {view}", str(error)) from None
            except ViewError as error:
                raise RejectedRequestError(UNAVAILABLE, f"no view for {view}", str(error)) from None
            else:
                self.undecided_calls.answered += has_waited
                return history
            has_waited = True
            self._track_view(connection.stream, view)
            yield from connection.wait(self.undecided.setdefault(view, {}), until)

    def _track_view(self, stream: Stream, view: str) -> None:
        """Records which view a connection requested. Beyond the limit of connections for the view, closes the
        oldest."""
        if self.view_of.get(stream) == view:
            return
        self._untrack_view(stream)
        self.view_of[stream] = view
        streams = self.streams_of_view.setdefault(view, {})
        streams[stream] = None
        if len(streams) > self.bounds.max_connections_per_view:
            self._close(next(iter(streams)))

    def _untrack_view(self, stream: Stream) -> None:
        view = self.view_of.pop(stream, None)
        if view is None:
            return
        del self.streams_of_view[view][stream]
        if not self.streams_of_view[view]:
            del self.streams_of_view[view]

    def _peer(self, stream: Stream) -> str:
        """The name of the controller that uses a connection, for log lines."""
        return self.view_of.get(stream, "unidentified connection")

    def _close(self, stream: Stream) -> None:
        if stream in self.tasks:
            self.loop.cancel(self.tasks[stream])

    def _close_all(self, listener: Listener) -> None:
        for stream in [*listener.streams]:
            self._close(stream)
