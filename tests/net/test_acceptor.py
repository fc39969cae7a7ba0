"""Accepting connections without descriptors."""

import errno
import socket

from stage import Stage

from oatcart.net.acceptor import ACCEPT_PAUSE_S


def test_accept_pauses_without_descriptors():
    """EMFILE pauses the acceptor; the backlog is accepted once descriptors are available."""
    stage = Stage({})

    class FullListener:
        """Has no descriptor for the first connection."""

        attempts = 0

        def fileno(self):
            return listener.fileno()

        def accept(self):
            self.attempts += 1
            if self.attempts == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return listener.accept()

    full = FullListener()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    stage.loop.spawn(stage.acceptor._accept(full))
    with listener, socket.create_connection(listener.getsockname()) as connection:
        stage.wait_until(lambda: "no capacity" in stage.log_output.getvalue(), "a line in the log")
        stage.settle()
        assert full.attempts == 1
        stage.now += ACCEPT_PAUSE_S
        connection.sendall(b'{"msg":"ping"}\n')
        stage.settle()
        assert connection.recv(100) == b'{"msg":"pong"}\n'
        stage.close()
