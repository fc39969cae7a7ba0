"""Races on real sockets that cannot be written as scenarios."""

import errno
import socket
import struct
from contextlib import ExitStack

import scenario_harness

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net import loop
from oatcart.net.acceptor import IDENTIFICATION_TIMEOUT_S
from oatcart.net.loop import READABLE, WRITABLE, Loop, Wait
from oatcart.net.stream import Stream, connect


def raise_error(error):
    """Raises an error that ends a task."""
    raise error


def full_listener(stack):
    """Returns an address with a full backlog: a connection to it stays incomplete."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(4):  # more than fit in the backlog
        sock = stack.enter_context(socket.socket())
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return listener.getsockname()


def test_event_of_a_closed_descriptor_is_dropped_when_the_number_is_reused():
    """Two connections hang up in one poll; the first task to resume closes the other connection and opens one
    that gets its descriptor number. The pending event must not count for the new connection."""
    loop = Loop(lambda: 0.0, raise_error)
    connected = []
    with ExitStack() as stack:
        pairs = [socket.socketpair() for _ in range(2)]
        for sock in (*pairs[0], *pairs[1]):
            stack.enter_context(sock)
        streams = [Stream(loop, ours) for ours, _ in pairs]
        address = full_listener(stack)

        def open_connection():
            stream = yield from connect(loop, address, 1.0)
            connected.append(stream)

        def close_other(mine, other):
            yield Wait(mine.fd, READABLE)
            number = other.fd
            other.close()
            loop.spawn(open_connection())
            assert (number, WRITABLE) in loop.waiting, "the new connection has the number"

        for mine, other in (streams, streams[::-1]):
            loop.spawn(close_other(mine, other))
        for _, theirs in pairs:
            theirs.shutdown(socket.SHUT_RDWR)
        loop.turn(0.0)
        assert not connected
        for task in [*loop.waiting.values()]:
            loop.cancel(task)
        for stream in streams:
            stream.close()
        loop.epoll.close()


JOINED = b'{"msg":"joined","sidecar":%d,"az":"a","share":1}\n'


def harness_with(stack, proxies=(), **settings):
    """Returns a harness and the connections of proxies that have joined."""
    harness = scenario_harness.ScenarioHarness(settings)
    stack.callback(harness.close)
    return harness, [connect_to(stack, harness, JOINED % proxy) for proxy in proxies]


def connect_to(stack, harness, data=b""):
    """Returns a connection to a harness, on which data was sent and read."""
    connection = stack.enter_context(socket.create_connection(harness.listener.getsockname()))
    connection.setblocking(False)
    connection.sendall(data)
    harness.settle()
    return connection


def test_joined_message_unread_at_the_identification_deadline_is_read_first(monkeypatch):
    """Covers more events than one turn handles, so that the deadline is handled first."""
    with ExitStack() as stack:
        harness, [other] = harness_with(stack, [1])
        unidentified, _ = connect_to(stack, harness), connect_to(stack, harness)
        other.sendall(b'{"msg":"ping"}\n')
        unidentified.sendall(JOINED % 2)
        harness.now += IDENTIFICATION_TIMEOUT_S
        monkeypatch.setattr(loop, "MAX_EVENTS_PER_TURN", 1)
        harness.turn()
        assert [*harness.rounds.streams] == [1, 2]
        assert not harness.acceptor.unidentified
        assert "connection of unidentified peer ended: timed out" in harness.log_output.getvalue()


def test_endless_data_does_not_prevent_a_timeout():
    """At a deadline, unread data is read only once."""
    loop = Loop(lambda: 5.0, raise_error)
    reads, close_reasons = [], []
    ours, theirs = socket.socketpair()

    class Endless:
        fileno, setblocking, close = ours.fileno, ours.setblocking, ours.close

        def recv_into(self, view):
            assert len(reads) < 10
            reads.append(5.0)
            view[:2] = b"x\n"
            return 2

    def read_lines(stream):
        try:
            while True:
                yield from stream.read_line(4.0)
        except ConnectionClosedError as error:
            close_reasons.append(error.reason)
            stream.close()

    with theirs:
        loop.spawn(read_lines(Stream(loop, Endless())))
        loop.turn(0.0)
    assert close_reasons == [CloseReason.TIMED_OUT] and len(reads) == 2  # at the start and at the deadline
    loop.epoll.close()


def test_oldest_unidentified_connection_is_read_before_it_is_closed():
    """At the connection limit a `joined` message that is still unread identifies the connection."""
    with ExitStack() as stack:
        harness, _ = harness_with(stack, connection_limit=2)
        oldest, second_oldest = connect_to(stack, harness), connect_to(stack, harness)
        newest = stack.enter_context(socket.create_connection(harness.listener.getsockname()))
        oldest.sendall(JOINED % 1)  # after the newest connects, so the acceptor runs first
        second_oldest.sendall(b'{"msg":"jo')
        harness.settle()
        assert [*harness.rounds.streams] == [1]
        ended = harness.log_output.getvalue().count("connection of unidentified peer ended: no capacity")
        assert ended == 1
        newest.sendall(JOINED % 2)
        harness.settle()
        assert [*harness.rounds.streams] == [1, 2]


def test_stream_is_closed_at_once_after_a_write_error(monkeypatch):
    """After a local error a part of an update is lost, so no later change may be sent on that stream."""
    with ExitStack() as stack:
        harness, [connection, other] = harness_with(stack, [1, 2])
        for command in (
            "command set_weight 0 1 20",
            "command assign_table 0 1 0",
            "command assign_table 0 2 0",
        ):
            harness.play(command)
        harness.codec.number_of("n0"), harness.codec.number_of("n1")
        stream, sent = harness.rounds.streams[1], []

        class FailingSocket:
            """Sends half of the data, then raises ENOBUFS."""

            def __getattr__(self, name):
                return getattr(sock, name)

            def send(self, data):
                sent.append(bytes(data))
                if len(sent) == 2:
                    raise OSError(errno.ENOBUFS, "No buffer space available")
                return sock.send(data[: len(data) // 2])

        sock, stream.sock = stream.sock, FailingSocket()
        harness.turn()
        assert [*harness.rounds.streams] == [1, 2] and len(sent) == 1  # the rest is still unsent
        harness.turn()
        harness.settle()
        assert (
            [*harness.rounds.streams] == [2] and harness.events_seen[-1] == "ProxyLeft 1" and len(sent) == 2
        )
        harness.play("command set_weight 0 0 5")
        harness.settle()
        assert len(sent) == 2 and b"n0" in other.recv(4096)
        assert connection.recv(4096) == sent[0][: len(sent[0]) // 2] and connection.recv(4096) == b""


def test_reset_found_while_sending_is_reported_before_the_next_round():
    """Guards against a round in between that would treat its commands as sent."""
    with ExitStack() as stack:
        harness, [connection, _] = harness_with(stack, [1, 2])
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        harness.play("command request_ack 3 true")
        harness.rounds.run_if_due()  # the loop has not seen the reset
        assert [*harness.rounds.streams] == [*harness.rounds.proxies] == [2]
        harness.rounds.run_if_due()
        assert harness.events_seen[-1] == "ProxyLeft 1"


def test_floods_of_unidentified_connections_do_not_keep_proxies_from_joining():
    """Hundreds of connections send nothing, parts of messages, pings or garbage while sixty proxies connect
    and a request is open: every proxy joins, every unidentified connection is closed by its deadline,
    and the number of descriptors stays below the limit."""
    with ExitStack() as stack:
        harness, _ = harness_with(stack, connection_limit=80)
        harness.play("command watch_endpoints true")
        harness.play("expect_request /v1/servers?since=0&timeout_ms=0")
        unidentified, proxies = [], []
        max_connections = 0
        for number in range(60):
            for text in b"", b'{"msg":"jo', b'{"msg":"ping"}\n' * 3, b"GET / HTTP/1.1\r\n\r\n", b"x" * 3000:
                unidentified.append(
                    stack.enter_context(socket.create_connection(harness.listener.getsockname()))
                )
                unidentified[-1].setblocking(False)
                unidentified[-1].sendall(text)
            proxies.append(stack.enter_context(socket.create_connection(harness.listener.getsockname())))
            proxies[-1].setblocking(False)
            proxies[-1].sendall(JOINED % number)
            harness.turn()
            max_connections = max(max_connections, harness.loop.connections)
        harness.settle()
        assert (
            sorted(harness.rounds.streams) == [*range(60)]
            and max_connections <= harness.loop.connection_limit
        )
        harness.now += IDENTIFICATION_TIMEOUT_S
        harness.settle()
        assert not harness.acceptor.unidentified and len(harness.acceptor.tasks) == 60
        for number, connection in enumerate(unidentified):
            harness.connections[number] = connection
            assert harness.is_closed(number) or harness.is_closed(number), number  # after its pongs
        harness.play("command request_ack 5 true")
        harness.settle()
        assert all(b'"nonce_out":5' in connection.recv(4096) for connection in proxies)
