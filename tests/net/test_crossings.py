"""What crosses on real sockets and can't be written as a scenario; each was seen to fail with its mend taken
out.
"""

import errno
import socket
import struct
from contextlib import ExitStack

import stage

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net import loop
from oatcart.net.acceptor import IDENTIFICATION_TIMEOUT_S
from oatcart.net.loop import READABLE, WRITABLE, Loop, Wait
from oatcart.net.stream import Stream, connect


def raising(error):
    raise error


def full_listener(stack):
    """An address that is there and takes nobody: a connection to it stays on its way."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(4):  # as many as wait in the backlog, and more
        sock = stack.enter_context(socket.socket())
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return listener.getsockname()


def test_an_event_of_a_closed_descriptor_is_not_its_next_owners():
    """Failure: of two connections that hang up in one poll the first to be resumed ended the other and
    dialled; the dial got the other's number and its event, and counted as up while nobody had taken it."""
    turns, up = Loop(lambda: 0.0, raising), []
    with ExitStack() as stack:
        pairs = [socket.socketpair() for _ in range(2)]
        for one in (*pairs[0], *pairs[1]):
            stack.enter_context(one)
        streams = [Stream(turns, ours) for ours, _ in pairs]
        address = full_listener(stack)

        def dials():
            stream = yield from connect(turns, address, 1.0)
            up.append(stream)

        def reads(mine, other):
            yield Wait(mine.fd, READABLE)
            number = other.fd
            other.close()
            turns.spawn(dials())
            assert (number, WRITABLE) in turns.waiting, "the dial has its number"

        for mine, other in (streams, streams[::-1]):
            turns.spawn(reads(mine, other))
        for _, theirs in pairs:
            theirs.shutdown(socket.SHUT_RDWR)  # both hang up
        turns.turn(0.0)
        assert not up
        for task in [*turns.waiting.values()]:
            turns.cancel(task)
        for stream in streams:
            stream.close()
        turns.epoll.close()


JOINED = b'{"msg":"joined","sidecar":%d,"az":"a","share":1}\n'


def stage_with(stack, proxies=(), **cfg):
    """A stage, and the ends of proxies that have joined it."""
    one = stage.Stage(cfg)
    stack.callback(one.close)
    return one, [dial_in(stack, one, JOINED % proxy) for proxy in proxies]


def dial_in(stack, one, said=b""):
    end = stack.enter_context(socket.create_connection(one.listener.getsockname()))
    end.setblocking(False)
    end.sendall(said)
    one.settle()
    return end


def test_a_joining_that_lies_unread_at_a_strangers_deadline_is_read_first(monkeypatch):
    """Failure: with more events than one turn takes, or a slow turn, the deadline came first and closed a
    proxy.
    """
    with ExitStack() as stack:
        one, [other] = stage_with(stack, [1])
        stranger, _ = dial_in(stack, one), dial_in(stack, one)
        other.sendall(b'{"msg":"ping"}\n')
        stranger.sendall(JOINED % 2)
        one.now += IDENTIFICATION_TIMEOUT_S
        monkeypatch.setattr(loop, "MAX_EVENTS_PER_TURN", 1)
        one.turn()
        assert [*one.rounds.streams] == [1, 2]
        assert not one.acceptor.unidentified
        assert "connection of unidentified peer ended: timed out" in one.log_output.getvalue()


def test_who_never_stops_is_late_all_the_same():
    """What lies unread at a deadline is looked for once."""
    turns, reads, ended = Loop(lambda: 5.0, raising), [], []
    ours, theirs = socket.socketpair()

    class Endless:
        fileno, setblocking, close = ours.fileno, ours.setblocking, ours.close

        def recv_into(self, view):
            assert len(reads) < 10
            reads.append(5.0)
            view[:2] = b"x\n"
            return 2

    def life(stream):
        try:
            while True:
                yield from stream.read_line(4.0)
        except ConnectionClosedError as error:
            ended.append(error.reason)
            stream.close()

    with theirs:
        turns.spawn(life(Stream(turns, Endless())))
        turns.turn(0.0)
    assert ended == [CloseReason.TIMED_OUT] and len(reads) == 2  # what came with the connection, and one look
    turns.epoll.close()


def test_the_oldest_stranger_is_read_before_it_makes_way():
    """Failure: where no capacity it was closed with its joining unread, and so might a whole fleet that
    dials be.
    """
    with ExitStack() as stack:
        one, _ = stage_with(stack, connection_limit=2)
        oldest, next_one = dial_in(stack, one), dial_in(stack, one)
        newest = stack.enter_context(socket.create_connection(one.listener.getsockname()))
        oldest.sendall(JOINED % 1)  # behind the newest, so the acceptor's turn is first
        next_one.sendall(b'{"msg":"jo')
        one.settle()
        assert [*one.rounds.streams] == [1]
        ended = one.log_output.getvalue().count("connection of unidentified peer ended: no capacity")
        assert ended == 1
        newest.sendall(JOINED % 2)
        one.settle()
        assert [*one.rounds.streams] == [1, 2]


def test_a_stream_that_cannot_be_written_to_is_gone_at_once(monkeypatch):
    """Failure: after an error that is not the other side's the message was left out or cut, the stream
    stayed, and its proxy took later changes on a table that it did not have; or its end was read after a
    further round had told it."""
    with ExitStack() as stack:
        one, [end, other] = stage_with(stack, [1, 2])
        for command in (
            "command set_weight 0 1 20",
            "command assign_table 0 1 0",
            "command assign_table 0 2 0",
        ):
            one.play(command)
        one.codec.number_of("n0"), one.codec.number_of("n1")
        stream, sent = one.rounds.streams[1], []

        class Short:
            """Half of what is written goes, then there is no memory for more."""

            def __getattr__(self, name):
                return getattr(sock, name)

            def send(self, data):
                sent.append(bytes(data))
                if len(sent) == 2:
                    raise OSError(errno.ENOBUFS, "No buffer space available")
                return sock.send(data[: len(data) // 2])

        sock, stream.sock = stream.sock, Short()
        one.turn()
        assert [*one.rounds.streams] == [1, 2] and len(sent) == 1  # the rest waits until there is room
        one.turn()
        one.settle()
        assert [*one.rounds.streams] == [2] and one.events_seen[-1] == "ProxyLeft 1" and len(sent) == 2
        one.play("command set_weight 0 0 5")
        one.settle()
        assert len(sent) == 2 and b"n0" in other.recv(4096)
        assert end.recv(4096) == sent[0][: len(sent[0]) // 2] and end.recv(4096) == b""


def test_a_stream_that_breaks_as_it_is_told_has_left_before_the_next_round():
    """Failure: the module heard of it when the end was read, after whatever else lay there; a round in
    between counted its orders as told."""
    with ExitStack() as stack:
        one, [end, _] = stage_with(stack, [1, 2])
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        end.close()
        one.play("command request_ack 3 true")
        one.rounds.run_if_due()  # the loop has not taken the reset in yet
        assert [*one.rounds.streams] == [*one.rounds.proxies] == [2]
        one.rounds.run_if_due()
        assert one.events_seen[-1] == "ProxyLeft 1"


def test_floods_of_strangers_cost_a_rejoining_fleet_nothing():
    """Silent, half-speaking, pinging and nonsensical strangers by the hundred, while sixty proxies dial and a
    call to discovery is open: every proxy joins, every stranger is closed by its deadline, and descriptors
    stay under the limit."""
    with ExitStack() as stack:
        one, _ = stage_with(stack, connection_limit=80)
        one.play("command watch_endpoints true")
        one.play("expect_request /v1/servers?since=0&timeout_ms=0")
        strangers, proxies, most = [], [], 0
        for number in range(60):
            for text in b"", b'{"msg":"jo', b'{"msg":"ping"}\n' * 3, b"GET / HTTP/1.1\r\n\r\n", b"x" * 3000:
                strangers.append(stack.enter_context(socket.create_connection(one.listener.getsockname())))
                strangers[-1].setblocking(False)
                strangers[-1].sendall(text)
            proxies.append(stack.enter_context(socket.create_connection(one.listener.getsockname())))
            proxies[-1].setblocking(False)
            proxies[-1].sendall(JOINED % number)
            one.turn()
            most = max(most, one.loop.connections)
        one.settle()
        assert sorted(one.rounds.streams) == [*range(60)] and most <= one.loop.connection_limit
        one.now += IDENTIFICATION_TIMEOUT_S
        one.settle()
        assert not one.acceptor.unidentified and len(one.acceptor.tasks) == 60
        for at, end in enumerate(strangers):
            one.connections[at] = end
            assert one.is_closed(at) or one.is_closed(at), at  # behind its pongs
        one.play("command request_ack 5 true")
        one.settle()
        assert all(b'"nonce_out":5' in end.recv(4096) for end in proxies)
