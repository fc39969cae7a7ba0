"""The listening socket and the connections accepted on it.

A connection is unidentified until its first message shows whether the peer is a proxy or a collector.
"""

import errno
import socket
from collections.abc import Generator

from oatcart.errors import CloseReason, ConnectionClosedError, InvalidMessageError
from oatcart.events import ProxyJoined
from oatcart.net.codec import Codec, CollectorConnected
from oatcart.net.collector_stream import serve_collector
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Task, Wait
from oatcart.net.message_reader import read_message
from oatcart.net.proxy_stream import serve_proxy
from oatcart.net.rounds import Rounds
from oatcart.net.stream import Address, Stream

IDENTIFICATION_TIMEOUT_S = 1.5  # from the accept; a proxy identifies itself with its first message
MAX_UNIDENTIFIED_BYTES = 1024  # of its message, and of data sent to it but unread: ten `joined` messages
COLLECTOR_BUFFER_BYTES = 16 * 1024  # read at once; about a hundred reports
MAX_COLLECTORS_PER_ZONE = 2  # one that reconnects may leave broken connections that are not detected
# Descriptors that are not for connections: standard streams, epoll, the listener, the reload signal, two
# requests to discovery; half of them are spare.
RESERVED_DESCRIPTORS = 16
BACKLOG = 1024  # connections not yet accepted: a whole fleet may connect at once
MAX_ACCEPTS_PER_TURN = 64  # so that open connections are read in between
ACCEPT_PAUSE_S = 0.2  # when out of descriptors or memory; far shorter than a proxy's time to reconnect


class Acceptor:
    """Accepts connections and runs a task for each. `descriptors`: how many the process may open."""

    def __init__(self, loop: Loop, log: Log, codec: Codec, rounds: Rounds, descriptors: int) -> None:
        self.loop, self.log, self.codec, self.rounds = loop, log, codec, rounds
        self.set_limit(descriptors)
        self.tasks: dict[Stream, Task] = {}  # of all connections
        self.unidentified: dict[Stream, None] = {}  # oldest first
        self.collectors: dict[Stream, str] = {}  # zones by connection, oldest first
        rounds.set_close_stream(self._close)

    def set_limit(self, descriptors: int) -> None:
        """Set how many descriptors the process may use; no open connection is closed."""
        self.loop.connection_limit = max(1, descriptors - RESERVED_DESCRIPTORS)

    def listen(self, address: Address) -> socket.socket:
        """Listen on an address and start accepting; returns the listening socket, raises OSError."""
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
                for _ in range(MAX_ACCEPTS_PER_TURN):
                    sock, _ = listener.accept()
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._admit(sock)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    reason = ConnectionClosedError.from_os_error(error)
                    self.log.write("acceptor", f"cannot accept connections: {reason}")
                    yield Wait(deadline=self.loop.now + ACCEPT_PAUSE_S)

    def _admit(self, sock: socket.socket) -> None:
        """Start the task of a connection, and close unidentified connections while there are too many.

        The oldest unidentified connections are closed first, then this one; other identified connections stay
        open. Data already received is read before, so that a proxy among many such connections can join.
        """
        stream = Stream(
            self.loop, sock, MAX_UNIDENTIFIED_BYTES, MAX_UNIDENTIFIED_BYTES, MAX_UNIDENTIFIED_BYTES
        )
        self.unidentified[stream] = None
        task = self.loop.spawn(self._serve(stream))
        if stream.sock.fileno() < 0:
            return  # closed before its first wait
        self.tasks[stream] = task
        while self.loop.connections > self.loop.connection_limit and self.unidentified:
            oldest = next(iter(self.unidentified))
            oldest.timeout_reason = CloseReason.OUT_OF_RESOURCES
            self.loop.expire(self.tasks[oldest])
        if self.loop.connections > self.loop.connection_limit:
            self._log_end("unidentified peer", ConnectionClosedError(CloseReason.OUT_OF_RESOURCES))
            self._close(stream)

    def _serve(self, stream: Stream) -> Generator[Wait, bool, None]:
        """Serve a connection from its accept to its end.

        Until the peer is identified, the connection has one deadline, whatever is received, and small
        buffers, so that it does not affect other connections.
        """
        peer = "unidentified peer"
        try:
            deadline = self.loop.now + IDENTIFICATION_TIMEOUT_S
            first = yield from read_message(stream, self.codec, self._reject, deadline)
            if isinstance(first, CollectorConnected):
                peer = f"collector of zone {first.zone}"
                self._admit_collector(stream, first.zone)
                yield from serve_collector(stream, self.codec, self.rounds, self._log_invalid)
            elif isinstance(first, ProxyJoined):
                peer = f"proxy {first.proxy}"
                del self.unidentified[stream]
                stream.set_limits()
                yield from serve_proxy(stream, first, self.codec, self.rounds, self._log_invalid, self._close)
            else:
                self._reject(InvalidMessageError(f"{first} does not identify the peer"))
        except ConnectionClosedError as error:
            self._log_end(peer, error)
        finally:
            for connections in self.unidentified, self.collectors, self.tasks:
                connections.pop(stream, None)
            stream.close()

    def _admit_collector(self, stream: Stream, zone: str) -> None:
        """Register a collector; closes the oldest one of its zone if there are too many."""
        del self.unidentified[stream]
        stream.set_limits(COLLECTOR_BUFFER_BYTES)
        self.collectors[stream] = zone
        streams = [other for other, other_zone in self.collectors.items() if other_zone == zone]
        if len(streams) > MAX_COLLECTORS_PER_ZONE:
            self._close(streams[0])

    def _close(self, stream: Stream) -> None:
        if stream in self.tasks:
            self.loop.cancel(self.tasks[stream])

    def _reject(self, error: InvalidMessageError) -> None:
        raise ConnectionClosedError(CloseReason.MALFORMED, str(error))

    def _log_end(self, peer: str, error: ConnectionClosedError) -> None:
        self.log.write("acceptor", f"connection of {peer} ended: {error}")

    def _log_invalid(self, error: InvalidMessageError) -> None:
        """Log an invalid message.

        The connection stays open: if it were closed, a proxy would get no updates until it has reconnected.
        """
        self.log.write("invalid", str(error))
