"""Streams of bytes on sockets."""

import socket

import pytest

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop
from oatcart.net.stream import MAX_UNSENT_BYTES, Stream


def test_what_is_left_unread_is_bounded():
    ours, theirs = socket.socketpair()
    loop = Loop(lambda: 0.0, lambda error: None)
    stream, sent = Stream(loop, ours), 0
    with theirs, pytest.raises(ConnectionClosedError) as ended:
        while sent < 100 * MAX_UNSENT_BYTES:
            stream.write(b"x" * 4096)
            sent += 4096
    assert (
        ended.value.reason is CloseReason.SEND_BUFFER_FULL and len(stream.unsent) <= MAX_UNSENT_BYTES + 4096
    )
    stream.close()
