"""The acceptor without free descriptors."""

import errno
import socket

from scenario_harness import ScenarioHarness

from oatcart.net.acceptor import ACCEPT_PAUSE_S


def test_accept_pauses_without_descriptors():
    """EMFILE pauses the acceptor; the backlog is accepted once descriptors are available."""
    harness = ScenarioHarness({})

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

    full_listener = FullListener()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    harness.loop.spawn(harness.acceptor._accept(full_listener))
    with listener, socket.create_connection(listener.getsockname()) as connection:
        harness.wait_until(lambda: "no capacity" in harness.log_output.getvalue(), "a line in the log")
        harness.settle()
        assert full_listener.attempts == 1
        harness.now += ACCEPT_PAUSE_S
        connection.sendall(b'{"msg":"ping"}\n')
        harness.settle()
        assert connection.recv(100) == b'{"msg":"pong"}\n'
        harness.close()
