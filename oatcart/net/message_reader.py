"""Reads messages from a connection and answers pings; invalid messages are skipped or close it."""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import InvalidMessageError
from oatcart.net.codec import PONG, Codec, Message, Ping
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream


def read_message(
    stream: Stream, codec: Codec, on_invalid: Callable[[InvalidMessageError], None], deadline: float = inf
) -> Generator[Wait, bool, Message]:
    """Return the next message other than a ping; pings do not extend the deadline.

    `on_invalid` is called with the error of each message that is JSON but invalid; it may raise
    ConnectionClosedError, as reading may.
    """
    while True:
        line = yield from stream.read_line(deadline)
        try:
            message = codec.decode_message(line)
        except InvalidMessageError as error:
            on_invalid(error)
            continue
        if isinstance(message, Ping):
            stream.write(PONG)
        else:
            return message
