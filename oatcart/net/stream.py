"""A TCP connection as a stream of bytes, read by one coroutine and written to without blocking.

Received bytes are kept in one buffer; lines are slices of it and valid until the next read.
"""

import socket
from collections.abc import Generator
from contextlib import suppress
from math import inf

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import READABLE, WRITABLE, Loop, Wait

READ_BUFFER_BYTES = 4 * 1024  # about a dozen reports; there are hundreds of connections
MAX_MESSAGE_BYTES = 1024 * 1024  # of a line or a response body: the protocol's limit
MAX_UNSENT_BYTES = (
    256 * 1024
)  # hundreds of routing tables: a peer that leaves this unread has stopped reading

Address = tuple[str, int]


class Stream:
    """One connection, counted against the loop's limit until `close`.

    `buffer_bytes` are read at once, `max_message_bytes` limits a line, `max_unsent_bytes` limits the data
    queued to be sent. `timeout_reason` is the close reason of a read whose deadline has passed.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        buffer_bytes: int = READ_BUFFER_BYTES,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        sock.setblocking(False)
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        loop.connections += 1
        self.buffer = memoryview(bytearray(buffer_bytes))
        # Offsets into the buffer: consumed up to `start`, searched for a line end up to `searched`, filled up
        # to `end`.
        self.start = self.searched = self.end = 0
        self.unsent = bytearray()
        # After a failed write nothing more is written: a lost or cut message would corrupt all later ones.
        self.write_failure: CloseReason | None = None
        self.timeout_reason = CloseReason.TIMED_OUT
        self._never_read = True  # data may have come with the connection: the first read does not wait
        self._read_past_deadline = False
        self.set_limits(buffer_bytes, max_message_bytes, max_unsent_bytes)

    def set_limits(
        self,
        buffer_bytes: int = READ_BUFFER_BYTES,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        """Use other limits from the next read or write on, in bytes; the defaults suit an identified peer."""
        self.buffer_bytes = buffer_bytes
        self.max_message_bytes = max_message_bytes
        self.max_unsent_bytes = max_unsent_bytes

    def read_line(self, deadline: float = inf) -> Generator[Wait, bool, memoryview]:
        """Return the next line without its line feed, valid until the next read.

        Raises ConnectionClosedError: CLOSED_BY_PEER, MESSAGE_TOO_LONG, the timeout reason or a socket's.
        """
        while True:
            at = self.buffer.obj.find(b"\n", self.searched, self.end)
            if at >= 0:
                line, self.start = self.buffer[self.start : at], at + 1
                self.searched = self.start
                return line
            self.searched = self.end
            if self.end - self.start > self.max_message_bytes:
                raise ConnectionClosedError(CloseReason.MESSAGE_TOO_LONG)
            if not (yield from self._fill_buffer(deadline)):
                raise ConnectionClosedError(CloseReason.CLOSED_BY_PEER)

    def read_available(self, deadline: float = inf) -> Generator[Wait, bool, memoryview]:
        """Return all received bytes, at least one; none once the peer has closed its sending side."""
        if self.start == self.end:
            yield from self._fill_buffer(deadline)
        data, self.start = self.buffer[self.start : self.end], self.end
        self.searched = self.end
        return data

    def is_idle(self) -> bool:
        """Return whether neither data nor the end was received. If not, a byte is lost: close the stream."""
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self.start == self.end
        except OSError:
            pass
        return False

    def _fill_buffer(self, deadline: float) -> Generator[Wait, bool, int]:
        """Wait for bytes and read them; returns how many, 0 at the end of the stream.

        Data that is there at the deadline is still read, once: a peer that never stops sending times out too.
        """
        self._make_space()
        while True:
            timed_out = not self._never_read and not (yield Wait(self.fd, READABLE, deadline))
            if self.write_failure is not None:
                raise ConnectionClosedError(self.write_failure)
            if timed_out and self._read_past_deadline:
                raise ConnectionClosedError(self.timeout_reason)
            self._never_read, self._read_past_deadline = False, timed_out
            try:
                size = self.sock.recv_into(self.buffer[self.end :])
            except BlockingIOError:
                if timed_out:
                    raise ConnectionClosedError(self.timeout_reason) from None
                continue
            except OSError as error:
                raise ConnectionClosedError.from_os_error(error) from None
            self.end += size
            return size

    def _make_space(self) -> None:
        """Move unread bytes to the front, into a buffer twice as large if they fill half of this one."""
        unread = self.end - self.start
        if not unread and len(self.buffer) != self.buffer_bytes:
            self.buffer = memoryview(bytearray(self.buffer_bytes))
        elif 2 * unread > len(self.buffer):
            larger = memoryview(bytearray(2 * len(self.buffer)))
            larger[:unread] = self.buffer[self.start : self.end]
            self.buffer = larger
        elif self.start:
            self.buffer[:unread] = self.buffer[self.start : self.end]
        self.searched -= self.start
        self.start, self.end = 0, unread

    def write(self, data: bytes) -> None:
        """Send what the socket takes at once and queue the rest in order; never blocks.

        Raises ConnectionClosedError: SEND_BUFFER_FULL or a socket's error. The coroutine that reads is woken
        and gets the same reason.
        """
        if self.write_failure is not None:
            raise ConnectionClosedError(self.write_failure)
        if self.unsent:
            self.unsent += data
        else:
            sent = self._send(data)
            if sent < len(data):
                self.unsent += memoryview(data)[sent:]
                self.loop.spawn(self._flush())
        if len(self.unsent) > self.max_unsent_bytes:
            raise self._stop_writing(ConnectionClosedError(CloseReason.SEND_BUFFER_FULL))

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._stop_writing(ConnectionClosedError.from_os_error(error)) from None

    def _stop_writing(self, error: ConnectionClosedError) -> ConnectionClosedError:
        """Write nothing more, and wake the coroutine that reads; returns the error, to be raised."""
        self.write_failure = error.reason
        self.unsent.clear()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        return error

    def _flush(self) -> Generator[Wait, bool, None]:
        while self.unsent:
            yield Wait(self.fd, WRITABLE)
            with suppress(ConnectionClosedError):  # the coroutine that reads gets it as well
                del self.unsent[: self._send(self.unsent)]

    def close(self) -> None:
        """Close the socket; closing again does nothing."""
        if self.sock.fileno() >= 0:  # otherwise the descriptor may belong to another connection by now
            self.loop.unregister(self.fd)
            self.loop.connections -= 1
            self.sock.close()


def connect(loop: Loop, address: Address, deadline: float) -> Generator[Wait, bool, Stream]:
    """Open a connection by the deadline; raises ConnectionClosedError."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise ConnectionClosedError.from_os_error(error) from None
    stream = Stream(loop, sock)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(BlockingIOError):
            sock.connect(address)
        if not (yield Wait(stream.fd, WRITABLE, deadline)):
            raise ConnectionClosedError(CloseReason.UNREACHABLE)
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "")
    except OSError as error:
        stream.close()
        raise ConnectionClosedError.from_os_error(error) from None
    except BaseException:
        stream.close()
        raise
    return stream
