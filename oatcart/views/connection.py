"""HTTP on one connection of the control role: requests in, answers out, and the wait of a watch between them.

One answer at a time is written, and the next request is read once it has gone out, so that a slow reader
costs the memory of one answer at most.
"""

from collections.abc import Generator

import h11

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Stream
from oatcart.views.requests import UNAVAILABLE

MAX_HEAD_BYTES = 16 * 1024  # of a request, and of what is sent ahead of an answer
UNSENT_CHECK_INTERVAL = 0.05  # s between two checks whether an answer has gone out
RETRY_AFTER = b"1"  # s; sent with status 503


class HttpConnection:
    """The server's side of one connection. All methods raise `ConnectionClosedError` if it ends.

    `write_timeout`: s that an answer may stay unread without progress.
    """

    def __init__(self, loop: Loop, stream: Stream, write_timeout: float) -> None:
        self.loop, self.stream, self.write_timeout = loop, stream, write_timeout
        self.http = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)

    @property
    def can_answer(self) -> bool:
        """Whether no answer to the present request has begun."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow the last answer."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def read_request(self, until: float) -> Generator[Wait, bool, h11.Request]:
        """The next request, read to its end. No call has a body, so a long one ends the connection.

        Raises h11.RemoteProtocolError if the request cannot be read.
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

    def write_answer(self, status: int, body: bytes) -> Generator[Wait, bool, None]:
        """Writes an answer and waits until it has gone out, as long as the other side reads any of it."""
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
        """Waits until the task is woken, the time is over, or the other side sends something. Meanwhile the
        stream is in `waiting`."""
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
        self.http.receive_data(data)  # a further request, sent ahead
        if len(self.http.trailing_data[0]) > MAX_HEAD_BYTES:
            raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
