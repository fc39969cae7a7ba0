"""The HTTP server of the control role: each conductor's view as an ordinary list of nodes, on the project's
event loop.

A connection is one task from its accept to its end: request, answer, next request. One answer at a time is
written, and the next request is read once the last answer has gone out, so that a slow reader holds one
answer's memory at the most.
"""

import errno
import socket
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass

import h11

from oatcart.net.ending import Ended, Ending, ended_by
from oatcart.net.log import Log
from oatcart.net.loop import IN, Loop, Task, Wait
from oatcart.net.stream import MESSAGE_MOST, Address, Stream
from oatcart.views.configuration import ServerBounds
from oatcart.views.history import ViewHistory
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

MAX_HEAD_BYTES = 16 * 1024  # bytes of a request's head, and of what is sent ahead of an answer
READ_BYTES = 1024  # bytes that are read of a connection at a time; a conductor's request takes some hundred
BACKLOG = 64  # connections not yet accepted, of one address
MAX_ACCEPTS = 64  # of one address in one turn of the loop
ACCEPT_BACKOFF = 0.2  # s without accepting where there are no descriptors
UNSENT_CHECK_INTERVAL = 0.05  # s between two looks at whether an answer has gone out
RETRY_AFTER = b"1"  # s; a hint for those that are answered with 503


@dataclass
class UndecidedCalls:
    """How many calls for a view that was not decided yet were answered with it in the end, and how many with
    503 when their time was over."""

    answered: int = 0
    rejected: int = 0


class Listener:
    """An address that is listened at. `view`: the conductor's whose it is, None for the main one."""

    def __init__(self, sock: socket.socket, view: str | None) -> None:
        self.sock, self.view = sock, view
        self.streams: dict[Stream, None] = {}  # the connections that came in here
        self.accepting: Task | None = None

    @property
    def address(self) -> Address:
        """Where it is listened at, also where any free port was asked for."""
        return self.sock.getsockname()


class Server:
    """Serves the histories of a publisher. `status`: what `GET /v1/views` answers. `called` is told the name
    in each call for a view."""

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
        self.unidentified: dict[Stream, None] = {}  # that have asked for nothing yet, oldest first
        self.view_of: dict[Stream, str] = {}  # what a connection asked for last
        self.streams_of_view: dict[str, dict[Stream, None]] = {}  # that have asked for a view, oldest first
        self.watching: dict[str, dict[Stream, None]] = {}  # whose watch of a view stands
        self.undecided: dict[str, dict[Stream, None]] = {}  # held open until their view is decided
        self.undecided_calls = UndecidedCalls()

    def listen(self, address: Address, view: str | None = None) -> Listener:
        """Listen at an address; raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        listener = Listener(sock, view)
        listener.accepting = self.loop.spawn(self._accept(listener))
        return listener

    def unlisten(self, listener: Listener) -> None:
        """Listen there no more, and end the connections that came in there."""
        self.loop.end(listener.accepting)
        self.loop.close(listener.sock.fileno())
        listener.sock.close()
        self._close_all(listener)

    def reassign(self, listener: Listener, view: str) -> None:
        """Have an address be another conductor's from now on."""
        if listener.view != view:
            listener.view = view
            self._close_all(listener)

    def wake_watches(self, names: Iterable[str]) -> None:
        """Have the watches of these views look for what is new."""
        for name in names:
            self._wake(self.watching.get(name, ()))

    def wake_undecided(self, names: Iterable[str]) -> None:
        """Have the calls that are held open for these views look whether they are decided."""
        for name in names:
            self._wake(self.undecided.get(name, ()))

    def _wake(self, streams: Iterable[Stream]) -> None:
        for stream in [*streams]:
            if stream in self.tasks:
                self.loop.expire(self.tasks[stream])

    def _accept(self, listener: Listener) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(listener.sock.fileno(), IN)
            try:
                for _ in range(MAX_ACCEPTS):
                    sock, _ = listener.sock.accept()
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._admit(sock, listener)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.log.say("connection", f"cannot accept: {ended_by(error)}")
                    yield Wait(until=self.loop.now + ACCEPT_BACKOFF)

    def _admit(self, sock: socket.socket, listener: Listener) -> None:
        """Where there is no room the oldest stranger makes way, else this one; never who is in use. What has
        come of the oldest already is read first, as it may be a request."""
        stream = Stream(self.loop, sock, READ_BYTES, MAX_HEAD_BYTES, MESSAGE_MOST)
        self.unidentified[stream] = None
        listener.streams[stream] = None
        task = self.loop.spawn(self._serve(stream, listener))
        if stream.sock.fileno() < 0:
            return  # it was over at once
        self.tasks[stream] = task
        while len(self.tasks) > self.bounds.max_connections and self.unidentified:
            oldest = next(iter(self.unidentified))
            oldest.late = Ending.CROWDED
            self.loop.expire(self.tasks[oldest])
        if len(self.tasks) > self.bounds.max_connections:
            self.log.say("connection", f"a stranger gone: {Ended(Ending.CROWDED)}")
            self._close(stream)

    def _serve(self, stream: Stream, listener: Listener) -> Generator[Wait, bool, None]:
        """The life of a connection. It is logged where it ends by anything but the other side's leaving."""
        http, until = (
            h11.Connection(h11.SERVER, MAX_HEAD_BYTES),
            self.loop.now + self.bounds.first_request_timeout,
        )
        try:
            while True:
                more = yield from self._exchange(stream, http, listener.view, until)
                if not more:
                    return
                http.start_next_cycle()
                until = self.loop.now + self.bounds.idle_timeout
        except Ended as ended:
            if ended.ending not in (Ending.CLOSED, Ending.RESET):
                self.log.say("connection", f"{self._peer(stream)} gone: {ended}")
        finally:
            del listener.streams[stream]
            self.unidentified.pop(stream, None)
            self.tasks.pop(stream, None)
            self._forget_view(stream)
            stream.close()

    def _exchange(
        self, stream: Stream, http: h11.Connection, own_view: str | None, until: float
    ) -> Generator[Wait, bool, bool]:
        """One request and its answer; hands back whether another may follow."""
        try:
            request = yield from self._request(stream, http, until)
            call = parse_request(request.method, request.target, own_view)
            body = (
                self.status()
                if isinstance(call, StatusRequest)
                else (yield from self._list(stream, http, call))
            )
            yield from self._answer(stream, http, OK, body)
        except RejectedRequestError as rejected:
            self.log.say("refused", f"{self._peer(stream)}: {rejected}")
            yield from self._answer(stream, http, rejected.status, rejected.body)
        except h11.RemoteProtocolError as error:
            if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                rejected = RejectedRequestError(BAD_REQUEST, "the request cannot be read", str(error))
                yield from self._answer(stream, http, rejected.status, rejected.body)
            raise Ended(Ending.UNREADABLE, str(error)) from None
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def _request(
        self, stream: Stream, http: h11.Connection, until: float
    ) -> Generator[Wait, bool, h11.Request]:
        """The next request, read to its end; a body is no part of any call, so a long one ends the
        connection."""
        request, unused = None, 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                part = yield from stream.some(until)
                if not part:
                    raise Ended(Ending.CLOSED)
                http.receive_data(part)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                unused += len(event.data)
                if unused > MAX_HEAD_BYTES:
                    raise Ended(Ending.TOO_LONG)
            elif isinstance(event, h11.EndOfMessage):
                self.unidentified.pop(stream, None)
                stream.late = Ending.SILENT
                return request
            else:
                raise Ended(Ending.CLOSED)

    def _list(self, stream: Stream, http: h11.Connection, call: ListRequest) -> Generator[Wait, bool, bytes]:
        """The body that answers a call for a view; a watch waits here until there is news or its time is
        over."""
        self.on_call(call.view)
        until = self.loop.now + call.timeout
        while True:
            history = yield from self._history(stream, http, call.view)
            self._note_view(stream, call.view)
            if call.since is None:
                return history.complete_list()
            body = history.changes_since(call.since)
            if body is not None:
                return body
            if self.loop.now >= until:
                return history.no_changes()
            yield from self._wait(stream, http, self.watching.setdefault(call.view, {}), until)

    def _history(self, stream: Stream, http: h11.Connection, view: str) -> Generator[Wait, bool, ViewHistory]:
        """The history of a view; a call for one that is not decided yet is held open for a bounded time."""
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
            self._note_view(stream, view)
            yield from self._wait(stream, http, self.undecided.setdefault(view, {}), until)

    def _wait(
        self, stream: Stream, http: h11.Connection, watching: dict[Stream, None], until: float
    ) -> Generator[Wait, bool, None]:
        """Until `wake` or `wake_undecided`, the time is over, or the other side says something. Meanwhile the
        connection is in `waiting`."""
        watching[stream] = None
        try:
            part = yield from stream.some(until)
        except Ended as ended:
            if ended.ending is not Ending.SILENT or stream.broken:
                raise
            return
        finally:
            watching.pop(stream)
        if not part:
            raise Ended(Ending.CLOSED)
        http.receive_data(part)  # a further request, sent ahead
        if len(http.trailing_data[0]) > MAX_HEAD_BYTES:
            raise Ended(Ending.TOO_LONG)

    def _answer(
        self, stream: Stream, http: h11.Connection, status: int, body: bytes
    ) -> Generator[Wait, bool, None]:
        """Write an answer and wait until it has gone out, as long as the other side takes any of it."""
        headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        if status == UNAVAILABLE:
            headers.append((b"Retry-After", RETRY_AFTER))
        parts = http.send(h11.Response(status_code=status, headers=headers)), http.send(h11.Data(data=body))
        stream.write(b"".join(parts) + http.send(h11.EndOfMessage()))
        left, late = len(stream.unsent), self.loop.now + self.bounds.write_timeout
        while stream.unsent:
            yield Wait(until=self.loop.now + UNSENT_CHECK_INTERVAL)
            if len(stream.unsent) < left:
                left, late = len(stream.unsent), self.loop.now + self.bounds.write_timeout
            elif self.loop.now >= late:
                raise Ended(Ending.UNREAD)

    def _note_view(self, stream: Stream, view: str) -> None:
        """A connection has asked for that view; the oldest of too many makes way."""
        if self.view_of.get(stream) == view:
            return
        self._forget_view(stream)
        self.view_of[stream] = view
        streams = self.streams_of_view.setdefault(view, {})
        streams[stream] = None
        if len(streams) > self.bounds.max_connections_per_view:
            self._close(next(iter(streams)))

    def _forget_view(self, stream: Stream) -> None:
        view = self.view_of.pop(stream, None)
        if view is None:
            return
        del self.streams_of_view[view][stream]
        if not self.streams_of_view[view]:
            del self.streams_of_view[view]

    def _peer(self, stream: Stream) -> str:
        """The conductor at the other end, as far as it is known."""
        return self.view_of.get(stream, "a stranger")

    def _close(self, stream: Stream) -> None:
        if stream in self.tasks:
            self.loop.end(self.tasks[stream])

    def _close_all(self, listener: Listener) -> None:
        for stream in [*listener.streams]:
            self._close(stream)
