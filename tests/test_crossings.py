"""What crosses on real sockets and can't be written as a scenario; each was seen to fail with its mend taken out."""

import socket
from contextlib import ExitStack

from oatcart.net.loop import IN, OUT, Loop, Wait
from oatcart.net.stream import Stream, dial


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
    loop, up = Loop(lambda: 0.0, raising), []
    with ExitStack() as stack:
        pairs = [socket.socketpair() for _ in range(2)]
        for one in (*pairs[0], *pairs[1]):
            stack.enter_context(one)
        streams = [Stream(loop, ours) for ours, _ in pairs]
        address = full_listener(stack)

        def dials():
            stream = yield from dial(loop, address, 1.0)
            up.append(stream)

        def reads(mine, other):
            yield Wait(mine.fd, IN)
            number = other.fd
            other.close()
            loop.spawn(dials())
            assert (number, OUT) in loop.waiting, "the dial has its number"

        for mine, other in (streams, streams[::-1]):
            loop.spawn(reads(mine, other))
        for _, theirs in pairs:
            theirs.shutdown(socket.SHUT_RDWR)  # both hang up
        loop.turn(0.0)
        assert not up
        for task in [*loop.waiting.values()]:
            loop.end(task)
        for stream in streams:
            stream.close()
        loop.poll.close()
