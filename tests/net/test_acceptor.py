"""Accepting connections without descriptors."""

import errno
import socket

import stage

from oatcart.net.acceptor import ACCEPT_PAUSE_S


def test_no_room_to_accept_neither_spins_nor_ends():
    """EMFILE pauses the acceptor; what waits in the backlog is taken once there is room."""
    one = stage.Stage({})

    class Full:
        tries = 0

        def fileno(self):
            return listener.fileno()

        def accept(self):
            self.tries += 1
            if self.tries == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return listener.accept()

    full, listener = Full(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    one.loop.spawn(one.acceptor._accept(full))
    with listener, socket.create_connection(listener.getsockname()) as end:
        one.wait_until(lambda: "no capacity" in one.log_output.getvalue(), "a line in the log")
        one.settle()
        assert full.tries == 1
        one.now += ACCEPT_PAUSE_S
        end.sendall(b'{"msg":"ping"}\n')
        one.settle()
        assert end.recv(100) == b'{"msg":"pong"}\n'
        one.close()
