"""An HTTP/1.1 client, parsed by h11; the connection is kept open for the next call."""

from collections.abc import Generator

import h11

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import MAX_MESSAGE_BYTES, Address, Stream, connect

STATUS_OK = 200
MAX_HEAD_BYTES = 16 * 1024  # of a response's status line and headers; h11's default
# Seconds from the start of a call in which a connection that was kept open may turn out to be closed, and the
# call is repeated on a new one: the protocol's limit until a watch counts as new. Closed later without a
# byte, it was closed because of this call.
REPEAT_WITHIN_S = 0.2


class HttpClient:
    """Calls to one address, one at a time. `max_body_bytes` bounds the body of a response."""

    def __init__(self, loop: Loop, address: Address, max_body_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.loop, self.address, self.max_body_bytes = loop, address, max_body_bytes
        self.host = "{}:{}".format(*address).encode()
        self.stream: Stream | None = None

    def get(self, path: str, deadline: float) -> Generator[Wait, bool, memoryview]:
        """The body of the response to one GET.

        Raises ConnectionClosedError, with the reason ERROR_RESPONSE for any status but 200.

        A connection that was kept open may have been closed between two calls with nobody at fault. One that
        is closed already, or holds bytes that answer nothing, is replaced; a call that finds it closed before
        a byte of the response is repeated once.
        """
        if self.stream is not None and not self.stream.is_idle():
            self.close()
        was_kept_open, started_at = self.stream is not None, self.loop.now
        try:
            return (yield from self._call(path, deadline))
        except ConnectionClosedError as error:
            was_closed = error.reason in (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER)
            may_repeat = was_kept_open and was_closed and not self._response_began
            if not may_repeat or self.loop.now - started_at > REPEAT_WITHIN_S:
                raise
        return (yield from self._call(path, deadline))

    def _call(self, path: str, deadline: float) -> Generator[Wait, bool, memoryview]:
        self._response_began = False
        try:
            if self.stream is None:
                self.stream = yield from connect(self.loop, self.address, deadline)
                self.http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
            request = h11.Request(method="GET", target=path, headers=[("Host", self.host)])
            self.stream.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))
            status, body = yield from self._read_response(deadline)
        except h11.ProtocolError as error:
            self.close()
            raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None
        except BaseException:
            self.close()
            raise
        both_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # Bytes beyond this response would pass for the response to the next call.
        if both_done and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
        else:
            self.close()
        if status != STATUS_OK:
            raise ConnectionClosedError(CloseReason.ERROR_RESPONSE, f"status {status}")
        return body

    def _read_response(self, deadline: float) -> Generator[Wait, bool, tuple[int, memoryview]]:
        status, parts, size = 0, [], 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = yield from self.stream.read_available(deadline)
                self._response_began = self._response_began or bool(data)
                if not data and self.http.their_state is h11.SEND_RESPONSE:
                    raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)
                self.http.receive_data(data)
            elif type(event) is h11.Response:
                status = event.status_code
            elif type(event) is h11.Data:
                parts.append(event.data)  # a copy that h11 made
                size += len(event.data)
                if size > self.max_body_bytes:
                    raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
            elif type(event) is h11.EndOfMessage:
                return status, memoryview(b"".join(parts))

    def close(self) -> None:
        """Close the connection, if one is open; the next call opens another."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
