"""The listening sockets of the control role."""

import errno
import socket
from collections.abc import Callable, Generator

from oatcart.errors import ConnectionClosedError
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Task, Wait
from oatcart.net.stream import Address, Stream

BACKLOG = 64  # connections of one address that wait to be accepted
MAX_ACCEPTS = 64  # connections of one address in one turn of the loop
ACCEPT_BACKOFF = 0.2  # s without accepting after an error, such as too many open files


class Listener:
    """A listening socket. `view`: the controller whose own address this is, None for the main address."""

    def __init__(self, sock: socket.socket, view: str | None) -> None:
        self.sock, self.view = sock, view
        self.streams: dict[Stream, None] = {}  # the open connections accepted here
        self.accept_task: Task | None = None

    @property
    def address(self) -> Address:
        """The bound address, with the actual port if port 0 was requested."""
        return self.sock.getsockname()


def open_listener(address: Address, view: str | None) -> Listener:
    """Opens a listening socket; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return Listener(sock, view)


def accept_connections(
    loop: Loop, log: Log, listener: Listener, on_connection: Callable[[socket.socket], None]
) -> Generator[Wait, bool, None]:
    """A task that accepts the connections of a listener until it is cancelled."""
    while True:
        yield Wait(listener.sock.fileno(), READABLE)
        try:
            for _ in range(MAX_ACCEPTS):
                sock, _ = listener.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                on_connection(sock)
        except BlockingIOError:
            continue
        except OSError as error:
            if error.errno != errno.ECONNABORTED:
                log.write("connection", f"cannot accept: {ConnectionClosedError.from_os_error(error)}")
                yield Wait(deadline=loop.now + ACCEPT_BACKOFF)
