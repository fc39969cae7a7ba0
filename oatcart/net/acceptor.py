"""The conductor's address: who connects is a stranger until a first message says who it is."""

import errno
import socket
from collections.abc import Generator

from oatcart.errors import CloseReason, ConnectionClosedError, InvalidMessageError
from oatcart.events import ProxyJoined
from oatcart.net import collector, sidecar
from oatcart.net.codec import Codec
from oatcart.net.conductor import Rounds
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Task, Wait
from oatcart.net.message_reader import read_message
from oatcart.net.stream import Address, Stream

# s from its accept until a stranger has said who it is; a proxy does so with its first bytes
STRANGER_MOST = 1.5
STRANGER_LINE = 1024  # bytes of its message, and of what it may leave unread: ten times a joining
REPORTS_ROOM = 16 * 1024  # bytes that are read of a collector at a time, some hundred reports
COLLECTORS_MOST = 2  # of a zone; one that redials leaves connections behind that nobody sees end
# descriptors: standard streams, epoll, the listener, the wake pair, two calls to discovery; half spare
KEPT_BACK = 16
BACKLOG = 1024  # connections not yet accepted: a whole fleet may dial at once
ACCEPTS_MOST = 64  # in one turn of the loop, so that those who are in use are read in between
NO_ROOM_WAIT = 0.2  # s without accepting where there is no room; far within a proxy's redial


class Acceptor:
    def __init__(self, loop: Loop, log: Log, codec: Codec, rounds: Rounds, descriptors: int) -> None:
        self.loop, self.log, self.codec, self.rounds = loop, log, codec, rounds
        self.limit(descriptors)
        self.lives: dict[Stream, Task] = {}  # of all connections
        self.strangers: dict[Stream, None] = {}  # those that have not said who they are, oldest first
        self.collectors: dict[Stream, str] = {}  # their zones, oldest first
        rounds.ends_by(self._end)

    def limit(self, descriptors: int) -> None:
        self.loop.connection_limit = max(1, descriptors - KEPT_BACK)

    def listen(self, address: Address) -> socket.socket:
        self.listener = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        self.loop.spawn(self._accept(sock))
        return sock

    def _accept(self, listener: socket.socket) -> Generator[Wait, bool, None]:
        while True:
            yield Wait(listener.fileno(), READABLE)
            try:
                for _ in range(ACCEPTS_MOST):
                    sock, _ = listener.accept()
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._let_in(sock)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.log.write("acceptor", f"cannot accept: {ConnectionClosedError.from_os_error(error)}")
                    yield Wait(deadline=self.loop.now + NO_ROOM_WAIT)

    def _let_in(self, sock: socket.socket) -> None:
        """Where there is no room the oldest stranger makes way, else this one; never who is in use. What has
        come already is read first, of this one and of the oldest: in a flood of strangers a proxy is none."""
        stream = Stream(self.loop, sock, STRANGER_LINE, STRANGER_LINE, STRANGER_LINE)
        self.strangers[stream] = None
        life = self.loop.spawn(self._life(stream))
        if stream.sock.fileno() < 0:
            return  # it was over at once
        self.lives[stream] = life
        while self.loop.connections > self.loop.connection_limit and self.strangers:
            oldest = next(iter(self.strangers))
            oldest.timeout_reason = CloseReason.OUT_OF_RESOURCES
            self.loop.expire(self.lives[oldest])
        if self.loop.connections > self.loop.connection_limit:
            self.log.write(
                "acceptor", f"a stranger gone: {ConnectionClosedError(CloseReason.OUT_OF_RESOURCES)}"
            )
            self._end(stream)

    def _life(self, stream: Stream) -> Generator[Wait, bool, None]:
        """The life of a connection, whoever is at its other end. Until it has joined it has one deadline,
        whatever it says, and a small buffer: what strangers cost is theirs alone."""
        who = "a stranger"
        try:
            told = yield from read_message(stream, self.codec, self._refuse, self.loop.now + STRANGER_MOST)
            if told[0] == "collector":
                who = f"collector of {told[1]}"
                del self.strangers[stream]
                stream.set_limits(REPORTS_ROOM)
                self.collectors[stream] = told[1]
                self._keep_newest(told[1])
                yield from collector.live(stream, self.codec, self.rounds, self._skipped)
            elif isinstance(told, ProxyJoined):
                who = f"proxy {told.proxy}"
                del self.strangers[stream]
                stream.set_limits()
                yield from sidecar.live(stream, told, self.codec, self.rounds, self._skipped, self._end)
            else:
                self._refuse(InvalidMessageError(f"{type(told).__name__} is no first message"))
        except ConnectionClosedError as ended:
            self.log.write("acceptor", f"{who} gone: {ended}")
        finally:
            for kept in self.strangers, self.collectors, self.lives:
                kept.pop(stream, None)
            stream.close()

    def _keep_newest(self, zone: str) -> None:
        streams = [stream for stream, its in self.collectors.items() if its == zone]
        if len(streams) > COLLECTORS_MOST:
            self._end(streams[0])

    def _end(self, stream: Stream) -> None:
        if stream in self.lives:
            self.loop.cancel(self.lives[stream])

    def _refuse(self, odd: InvalidMessageError) -> None:
        """Who does not say who it is has no use here."""
        raise ConnectionClosedError(CloseReason.MALFORMED, str(odd))

    def _skipped(self, odd: InvalidMessageError) -> None:
        """A stream that we end leaves its proxy without orders until it has dialled again; so it goes on."""
        self.log.write("odd", str(odd))
