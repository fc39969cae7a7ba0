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

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Task, Wait
from oatcart.net.stream import MAX_MESSAGE_BYTES, Address, Stream
from oatcart.views.configuration import Bounds
from oatcart.views.history import History
from oatcart.views.publisher import NotDecided, Publisher
from oatcart.views.records import UnknownViewer, ViewError
from oatcart.views.requests import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    ListRequest,
    RefusedRequest,
    StatusRequest,
    parse_request,
)

HEAD_MOST = 16 * 1024  # bytes of a request's head, and of what is sent ahead of an answer
ROOM = 1024  # bytes that are read of a connection at a time; a conductor's request takes some hundred
BACKLOG = 64  # connections not yet accepted, of one address
ACCEPTS_MOST = 64  # of one address in one turn of the loop
NO_ROOM_WAIT = 0.2  # s without accepting where there are no descriptors
UNSENT_LOOK = 0.05  # s between two looks at whether an answer has gone out
RETRY_AFTER = b"1"  # s; a hint for those that are answered with 503


@dataclass
class UndecidedCalls:
    """How many calls for a view that was not decided yet were answered with it in the end, and how many with
    503 when their time was over."""

    answered: int = 0
    refused: int = 0


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
        bounds: Bounds,
        status: Callable[[], bytes],
        called: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.loop, self.log, self.publisher, self.bounds, self.status = loop, log, publisher, bounds, status
        self.called = called
        self.lives: dict[Stream, Task] = {}  # of all connections
        self.strangers: dict[Stream, None] = {}  # that have asked for nothing yet, oldest first
        self.view_of: dict[Stream, str] = {}  # what a connection asked for last
        self.by_view: dict[str, dict[Stream, None]] = {}  # that have asked for a view, oldest first
        self.waiting: dict[str, dict[Stream, None]] = {}  # whose watch of a view stands
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
        self.loop.cancel(listener.accepting)
        self.loop.unregister(listener.sock.fileno())
        listener.sock.close()
        self._end_all(listener)

    def hand_over(self, listener: Listener, view: str) -> None:
        """Have an address be another conductor's from now on."""
        if listener.view != view:
            listener.view = view
            self._end_all(listener)

    def wake(self, names: Iterable[str]) -> None:
        """Have the watches of these views look for what is new."""
        for name in names:
            self._wake(self.waiting.get(name, ()))

    def wake_undecided(self, names: Iterable[str]) -> None:
        """Have the calls that are held open for these views look whether they are decided."""
        for name in names:
            self._wake(self.undecided.get(name, ()))

    def _wake(self, streams: Iterable[Stream]) -> None:
        for stream in [*streams]:
            if stream in self.lives:
                self.loop.expire(self.lives[stream])

    def _accept(self, listener: Listener) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(listener.sock.fileno(), READABLE)
            try:
                for _ in range(ACCEPTS_MOST):
                    sock, _ = listener.sock.accept()
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._let_in(sock, listener)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.log.write(
                        "connection", f"cannot accept: {ConnectionClosedError.from_os_error(error)}"
                    )
                    yield Wait(deadline=self.loop.now + NO_ROOM_WAIT)

    def _let_in(self, sock: socket.socket, listener: Listener) -> None:
        """Where there is no room the oldest stranger makes way, else this one; never who is in use. What has
        come of the oldest already is read first, as it may be a request."""
        stream = Stream(self.loop, sock, ROOM, HEAD_MOST, MAX_MESSAGE_BYTES)
        self.strangers[stream] = None
        listener.streams[stream] = None
        life = self.loop.spawn(self._life(stream, listener))
        if stream.sock.fileno() < 0:
            return  # it was over at once
        self.lives[stream] = life
        while len(self.lives) > self.bounds.connections and self.strangers:
            oldest = next(iter(self.strangers))
            oldest.timeout_reason = CloseReason.OUT_OF_RESOURCES
            self.loop.expire(self.lives[oldest])
        if len(self.lives) > self.bounds.connections:
            self.log.write(
                "connection", f"a stranger gone: {ConnectionClosedError(CloseReason.OUT_OF_RESOURCES)}"
            )
            self._end(stream)

    def _life(self, stream: Stream, listener: Listener) -> Generator[Wait, bool, None]:
        """The life of a connection. It is logged where it ends by anything but the other side's leaving."""
        http, until = h11.Connection(h11.SERVER, HEAD_MOST), self.loop.now + self.bounds.request_within
        try:
            while True:
                more = yield from self._exchange(stream, http, listener.view, until)
                if not more:
                    return
                http.start_next_cycle()
                until = self.loop.now + self.bounds.idle_most
        except ConnectionClosedError as ended:
            if ended.reason not in (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER):
                self.log.write("connection", f"{self._who(stream)} gone: {ended}")
        finally:
            del listener.streams[stream]
            self.strangers.pop(stream, None)
            self.lives.pop(stream, None)
            self._forget(stream)
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
        except RefusedRequest as refused:
            self.log.write("refused", f"{self._who(stream)}: {refused}")
            yield from self._answer(stream, http, refused.status, refused.body)
        except h11.RemoteProtocolError as error:
            if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                refused = RefusedRequest(BAD_REQUEST, "the request cannot be read", str(error))
                yield from self._answer(stream, http, refused.status, refused.body)
            raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None
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
                part = yield from stream.read_available(until)
                if not part:
                    raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)
                http.receive_data(part)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                unused += len(event.data)
                if unused > HEAD_MOST:
                    raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
            elif isinstance(event, h11.EndOfMessage):
                self.strangers.pop(stream, None)
                stream.timeout_reason = CloseReason.TIMED_OUT
                return request
            else:
                raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)

    def _list(self, stream: Stream, http: h11.Connection, call: ListRequest) -> Generator[Wait, bool, bytes]:
        """The body that answers a call for a view; a watch waits here until there is news or its time is
        over."""
        self.called(call.view)
        until = self.loop.now + call.wait
        while True:
            history = yield from self._history(stream, http, call.view)
            self._use(stream, call.view)
            if call.since is None:
                return history.whole()
            body = history.since(call.since)
            if body is not None:
                return body
            if self.loop.now >= until:
                return history.nothing()
            yield from self._wait(stream, http, self.waiting.setdefault(call.view, {}), until)

    def _history(self, stream: Stream, http: h11.Connection, view: str) -> Generator[Wait, bool, History]:
        """The history of a view; a call for one that is not decided yet is held open for a bounded time."""
        until = self.loop.now + self.bounds.undecided_wait
        is_held = False
        while True:
            try:
                history = self.publisher.history(view)
            except UnknownViewer as error:
                raise RefusedRequest(NOT_FOUND, "unknown view", str(error)) from None
            except NotDecided as error:
                if self.loop.now >= until:
                    self.undecided_calls.refused += 1
                    raise RefusedRequest(UNAVAILABLE, f"no view for {view}", str(error)) from None
            except ViewError as error:
                raise RefusedRequest(UNAVAILABLE, f"no view for {view}", str(error)) from None
            else:
                self.undecided_calls.answered += is_held
                return history
            is_held = True
            self._use(stream, view)
            yield from self._wait(stream, http, self.undecided.setdefault(view, {}), until)

    def _wait(
        self, stream: Stream, http: h11.Connection, waiting: dict[Stream, None], until: float
    ) -> Generator[Wait, bool, None]:
        """Until `wake` or `wake_undecided`, the time is over, or the other side says something. Meanwhile the
        connection is in `waiting`."""
        waiting[stream] = None
        try:
            part = yield from stream.read_available(until)
        except ConnectionClosedError as ended:
            if ended.reason is not CloseReason.TIMED_OUT or stream.write_failure:
                raise
            return
        finally:
            waiting.pop(stream)
        if not part:
            raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)
        http.receive_data(part)  # a further request, sent ahead
        if len(http.trailing_data[0]) > HEAD_MOST:
            raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)

    def _answer(
        self, stream: Stream, http: h11.Connection, status: int, body: bytes
    ) -> Generator[Wait, bool, None]:
        """Write an answer and wait until it has gone out, as long as the other side takes any of it."""
        headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        if status == UNAVAILABLE:
            headers.append((b"Retry-After", RETRY_AFTER))
        parts = http.send(h11.Response(status_code=status, headers=headers)), http.send(h11.Data(data=body))
        stream.write(b"".join(parts) + http.send(h11.EndOfMessage()))
        left, late = len(stream.unsent), self.loop.now + self.bounds.unread_for
        while stream.unsent:
            yield Wait(deadline=self.loop.now + UNSENT_LOOK)
            if len(stream.unsent) < left:
                left, late = len(stream.unsent), self.loop.now + self.bounds.unread_for
            elif self.loop.now >= late:
                raise ConnectionClosedError(CloseReason.SEND_BUFFER_FULL)

    def _use(self, stream: Stream, view: str) -> None:
        """A connection has asked for that view; the oldest of too many makes way."""
        if self.view_of.get(stream) == view:
            return
        self._forget(stream)
        self.view_of[stream] = view
        streams = self.by_view.setdefault(view, {})
        streams[stream] = None
        if len(streams) > self.bounds.connections_each:
            self._end(next(iter(streams)))

    def _forget(self, stream: Stream) -> None:
        view = self.view_of.pop(stream, None)
        if view is None:
            return
        del self.by_view[view][stream]
        if not self.by_view[view]:
            del self.by_view[view]

    def _who(self, stream: Stream) -> str:
        """The conductor at the other end, as far as it is known."""
        return self.view_of.get(stream, "a stranger")

    def _end(self, stream: Stream) -> None:
        if stream in self.lives:
            self.loop.cancel(self.lives[stream])

    def _end_all(self, listener: Listener) -> None:
        for stream in [*listener.streams]:
            self._end(stream)
