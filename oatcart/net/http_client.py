"""An HTTP/1.1 client on h11; the connection is kept open for the next request."""

from collections.abc import Generator

import h11

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import MAX_MESSAGE_BYTES, Address, Stream, connect

STATUS_OK = 200
MAX_HEAD_BYTES = 16 * 1024  # of a response's status line and headers; h11's default
# If a connection that was kept open is found closed within this time from the start of a request, the request
# is repeated on a new one: after it, the protocol counts a watch as new. A connection that is closed later
# without a byte of a response was closed because of this request.
REPEAT_WITHIN_S = 0.2


class HttpClient:
    """Makes requests to one address, one at a time. `max_body_bytes` limits the body of a response."""

    def __init__(self, loop: Loop, address: Address, max_body_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.loop, self.address, self.max_body_bytes = loop, address, max_body_bytes
        self.host = "{}:{}".format(*address).encode()
        self.stream: Stream | None = None

    def get(self, path: str, deadline: float) -> Generator[Wait, bool, memoryview]:
        """Return the body of the response to a GET request.

        Raises ConnectionClosedError, with the reason ERROR_RESPONSE for any status but 200.

        A connection that was kept open may be closed between two requests without a fault of the peer. One
        that is already closed, or has received bytes that belong to no response, is replaced. A request that
        finds the connection closed before the first byte of the response is repeated once.
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
        # Bytes beyond this response would be taken for the response to the next request.
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
        """Close the connection, if one is open; the next request opens another."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
