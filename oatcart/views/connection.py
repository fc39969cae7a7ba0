"""The server's side of one HTTP connection: reading requests, writing responses and the wait of a watch.

The next request is read only after the previous response was sent completely, so a slow reader costs the
memory of at most one response.
"""

from collections.abc import Generator

import h11

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Stream
from oatcart.views.requests import UNAVAILABLE

MAX_HEAD_BYTES = 16 * 1024  # of a request, and of the data that a client sends before it has its response
UNSENT_CHECK_INTERVAL = 0.05  # s between two checks whether a response was sent
RETRY_AFTER = b"1"  # s; sent with status 503


class HttpConnection:
    """The server's side of one connection. All methods raise `ConnectionClosedError` if it is closed.

    `write_timeout`: s for which the client may read nothing of a response.
    """

    def __init__(self, loop: Loop, stream: Stream, write_timeout: float) -> None:
        self.loop, self.stream, self.write_timeout = loop, stream, write_timeout
        self.http = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)

    @property
    def can_respond(self) -> bool:
        """Whether a response to the current request can still be started."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can serve another request after the last response."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def read_request(self, until: float) -> Generator[Wait, bool, h11.Request]:
        """Reads the next request to its end. No call needs a body, so a long one ends the connection.

        Raises h11.RemoteProtocolError if the request is not valid HTTP.
        """
        request, body_bytes = None, 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = yield from self.stream.read_available(until)
                if not data:
                    raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                if body_bytes > MAX_HEAD_BYTES:
                    raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
            elif isinstance(event, h11.EndOfMessage):
                return request
            else:
                raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)

    def write_response(self, status: int, body: bytes) -> Generator[Wait, bool, None]:
        """Writes a response and waits until it is sent, as long as the client keeps reading."""
        headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        if status == UNAVAILABLE:
            headers.append((b"Retry-After", RETRY_AFTER))
        response = h11.Response(status_code=status, headers=headers)
        parts = self.http.send(response), self.http.send(h11.Data(data=body))
        self.stream.write(b"".join(parts) + self.http.send(h11.EndOfMessage()))
        unsent, deadline = len(self.stream.unsent), self.loop.now + self.write_timeout
        while self.stream.unsent:
            yield Wait(deadline=self.loop.now + UNSENT_CHECK_INTERVAL)
            if len(self.stream.unsent) < unsent:
                unsent, deadline = len(self.stream.unsent), self.loop.now + self.write_timeout
            elif self.loop.now >= deadline:
                raise ConnectionClosedError(CloseReason.SEND_BUFFER_FULL)

    def wait(self, waiting: dict[Stream, None], until: float) -> Generator[Wait, bool, None]:
        """Waits until the task is woken, `until` is reached or the client sends data. Meanwhile the stream is
        in `waiting`."""
        waiting[self.stream] = None
        try:
            data = yield from self.stream.read_available(until)
        except ConnectionClosedError as close_error:
            if close_error.reason is not CloseReason.TIMED_OUT or self.stream.write_failure:
                raise
            return
        finally:
            waiting.pop(self.stream)
        if not data:
            raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)
        self.http.receive_data(data)  # a pipelined request
        if len(self.http.trailing_data[0]) > MAX_HEAD_BYTES:
            raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
