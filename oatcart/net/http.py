"""Calls over HTTP/1.1, parsed by h11; the connection is kept for the next call."""

from collections.abc import Generator

import h11

from oatcart.errors import CloseReason, ConnectionClosed
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import MESSAGE_MOST, Address, Stream, dial

OK = 200
HEAD_MOST = 16 * 1024  # bytes of an answer's head; h11's own default
# s from a call's start: the protocol's time until a watch counts as a new one. A kept connection that ends
# later with
# no word was ended over this call, by a server that is down or has too many, and whoever asked waits before
# the next
REPEAT_WITHIN = 0.2


class Client:
    def __init__(self, loop: Loop, address: Address, body_most: int = MESSAGE_MOST) -> None:
        self.loop, self.address, self.body_most = loop, address, body_most
        self.host = "{}:{}".format(*address).encode()
        self.stream: Stream | None = None

    def get(self, path: str, until: float) -> Generator[Wait, bool, memoryview]:
        """The body of the answer to one call; raises ConnectionClosed, DENIED for any status but 200.

        A kept connection may be closed between two calls with nobody at fault. So one that is over already,
        or on which bytes lie that answer nothing we asked, is left for a new one; and a call that meets its
        end before a byte of an answer is made once more."""
        if self.stream is not None and not self.stream.quiet():
            self.close()
        kept, began = self.stream is not None, self.loop.now
        try:
            return (yield from self._call(path, until))
        except ConnectionClosed as ended:
            over = ended.reason in (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER) and not self.heard
            if not (kept and over and self.loop.now - began <= REPEAT_WITHIN):
                raise
        return (yield from self._call(path, until))

    def _call(self, path: str, until: float) -> Generator[Wait, bool, memoryview]:
        self.heard = False  # a byte of the answer
        try:
            if self.stream is None:
                self.stream = yield from dial(self.loop, self.address, until)
                self.http = h11.Connection(h11.CLIENT, HEAD_MOST)
            head = h11.Request(method="GET", target=path, headers=[("Host", self.host)])
            self.stream.write(self.http.send(head) + self.http.send(h11.EndOfMessage()))
            status, body = yield from self._answer(until)
        except h11.ProtocolError as error:
            self.close()
            raise ConnectionClosed(CloseReason.MALFORMED, str(error)) from None
        except BaseException:
            self.close()
            raise
        both_done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        # else what lies there would be the next call's answer
        if both_done and not self.http.trailing_data[0]:
            self.http.start_next_cycle()
        else:
            self.close()
        if status != OK:
            raise ConnectionClosed(CloseReason.ERROR_RESPONSE, f"status {status}")
        return body

    def _answer(self, until: float) -> Generator[Wait, bool, tuple[int, memoryview]]:
        status, parts, size = 0, [], 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                part = yield from self.stream.some(until)
                self.heard = self.heard or bool(part)
                if not part and self.http.their_state is h11.SEND_RESPONSE:
                    raise ConnectionClosed(CloseReason.CLOSED_BY_PEER)
                self.http.receive_data(part)
            elif type(event) is h11.Response:
                status = event.status_code
            elif type(event) is h11.Data:
                parts.append(event.data)  # h11's own copy
                size += len(event.data)
                if size > self.body_most:
                    raise ConnectionClosed(CloseReason.MESSAGE_TOO_LONG)
            elif type(event) is h11.EndOfMessage:
                return status, memoryview(b"".join(parts))

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
