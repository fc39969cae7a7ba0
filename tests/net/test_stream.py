"""Byte streams on sockets."""

import socket

import pytest

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.net.loop import Loop
from oatcart.net.stream import MAX_UNSENT_BYTES, Stream


def test_unsent_bytes_are_bounded():
    """A peer that does not read costs at most MAX_UNSENT_BYTES and one write."""
    ours, theirs = socket.socketpair()
    loop = Loop(lambda: 0.0, lambda error: None)
    stream = Stream(loop, ours)
    sent = 0
    with theirs, pytest.raises(ConnectionClosedError) as closed:
        while sent < 100 * MAX_UNSENT_BYTES:
            stream.write(b"x" * 4096)
            sent += 4096
    assert (
        closed.value.reason is CloseReason.SEND_BUFFER_FULL and len(stream.unsent) <= MAX_UNSENT_BYTES + 4096
    )
    stream.close()
