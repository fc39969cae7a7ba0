"""A connection's bytes: what is read stays in one buffer and is handed out in slices of it.

A slice is good until the next read; who needs it longer copies it.
"""

import socket
from collections.abc import Generator
from contextlib import suppress
from math import inf

from oatcart.errors import CloseReason, ConnectionClosed
from oatcart.net.loop import READABLE, WRITABLE, Loop, Wait

# bytes; a turn's reading of one connection, some dozen reports; hundreds of connections have one
ROOM = 4 * 1024
MESSAGE_MOST = 1024 * 1024  # bytes of a line or of an answer's part: the protocol's limit
UNSENT_MOST = 256 * 1024  # bytes; hundreds of tables, so whoever leaves them unread is silent, not slow

Address = tuple[str, int]


class Stream:
    """`room`: bytes that are read at a time. `most`: of a message. `unsent_most`: left unread by the other
    side.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        room: int = ROOM,
        most: int = MESSAGE_MOST,
        unsent_most: int = UNSENT_MOST,
    ) -> None:
        sock.setblocking(False)
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        loop.connections += 1
        self.view = memoryview(bytearray(room))
        self.start = self.seen = self.end = 0  # bytes handed out, searched and read
        self.unsent = bytearray()
        # how writing ended; a message left out or cut would spoil all later ones
        self.broken: CloseReason | None = None
        self.fresh = True  # nothing was read yet: what may have come with the connection is not waited for
        self.late = CloseReason.TIMED_OUT  # what it is to whoever waits here when the time is over
        self.looked = False  # once more since the time was over
        self.widen(room, most, unsent_most)

    def widen(self, room: int = ROOM, most: int = MESSAGE_MOST, unsent_most: int = UNSENT_MOST) -> None:
        """Other bounds from here on: whoever has said who it is gets those of a connection in use."""
        self.room, self.most, self.unsent_most = room, most, unsent_most

    def line(self, until: float = inf) -> Generator[Wait, bool, memoryview]:
        """The next line without its end."""
        while True:
            at = self.view.obj.find(b"\n", self.seen, self.end)
            if at >= 0:
                line, self.start = self.view[self.start : at], at + 1
                self.seen = self.start
                return line
            self.seen = self.end
            if self.end - self.start > self.most:
                raise ConnectionClosed(CloseReason.MESSAGE_TOO_LONG)
            if not (yield from self._fill(until)):
                raise ConnectionClosed(CloseReason.CLOSED_BY_PEER)

    def some(self, until: float = inf) -> Generator[Wait, bool, memoryview]:
        """All that is there, at least a byte; nothing once the other side has closed."""
        if self.start == self.end:
            yield from self._fill(until)
        part, self.start = self.view[self.start : self.end], self.end
        self.seen = self.end
        return part

    def quiet(self) -> bool:
        """Whether nothing has come, not even an end. What has is read and lost: such a connection is of no
        use.
        """
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self.start == self.end
        except OSError:
            pass
        return False

    def _fill(self, until: float) -> Generator[Wait, bool, int]:
        self._make_room()
        while True:
            over = not self.fresh and not (yield Wait(self.fd, READABLE, until))
            if self.broken is not None:
                raise ConnectionClosed(self.broken)
            if over and self.looked:  # else whoever never stops would never be late
                raise ConnectionClosed(self.late)
            self.fresh, self.looked = False, over
            try:
                size = self.sock.recv_into(self.view[self.end :])
            except BlockingIOError:
                if over:
                    raise ConnectionClosed(self.late) from None
                continue
            except OSError as error:
                raise ConnectionClosed.from_os_error(error) from None
            self.end += size
            return size

    def _make_room(self) -> None:
        """Move what is left to the front, in a larger buffer if it fills half of this one."""
        left = self.end - self.start
        if not left and len(self.view) != self.room:
            self.view = memoryview(bytearray(self.room))
        elif 2 * left > len(self.view):
            larger = memoryview(bytearray(2 * len(self.view)))
            larger[:left] = self.view[self.start : self.end]
            self.view = larger
        elif self.start:
            self.view[:left] = self.view[self.start : self.end]
        self.seen -= self.start
        self.start, self.end = 0, left

    def write(self, data: bytes) -> None:
        """Send at once what goes, keep the rest in order; never waits. Raises ConnectionClosed, and so does
        whoever reads here.
        """
        if self.broken is not None:
            raise ConnectionClosed(self.broken)
        if self.unsent:
            self.unsent += data
        else:
            sent = self._send(data)
            if sent < len(data):
                self.unsent += memoryview(data)[sent:]
                self.loop.spawn(self._flush())
        if len(self.unsent) > self.unsent_most:
            raise self._break(ConnectionClosed(CloseReason.SEND_BUFFER_FULL))

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._break(ConnectionClosed.from_os_error(error)) from None

    def _break(self, ended: ConnectionClosed) -> ConnectionClosed:
        """Nothing is written from here on, and the reader is woken to learn of it, whatever the error was."""
        self.broken = ended.reason
        self.unsent.clear()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        return ended

    def _flush(self) -> Generator[Wait, bool, None]:
        while self.unsent:
            yield Wait(self.fd, WRITABLE)
            with suppress(ConnectionClosed):  # the reader of this connection learns of it too
                del self.unsent[: self._send(self.unsent)]

    def close(self) -> None:
        if self.sock.fileno() >= 0:  # else the descriptor may be another's by now
            self.loop.unregister(self.fd)
            self.loop.connections -= 1
            self.sock.close()


def dial(loop: Loop, address: Address, until: float) -> Generator[Wait, bool, Stream]:
    """A connection of our own."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:
        raise ConnectionClosed.from_os_error(error) from None
    stream = Stream(loop, sock)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(BlockingIOError):
            sock.connect(address)
        if not (yield Wait(stream.fd, WRITABLE, until)):
            raise ConnectionClosed(CloseReason.UNREACHABLE)
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, "")
    except OSError as error:
        stream.close()
        raise ConnectionClosed.from_os_error(error) from None
    except BaseException:
        stream.close()
        raise
    return stream
