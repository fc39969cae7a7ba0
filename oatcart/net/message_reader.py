"""Reading messages from a connection: pings are answered, invalid messages are skipped or end it."""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import InvalidMessageError
from oatcart.net.codec import PONG, Codec, Message, Ping
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream


def read_message(
    stream: Stream, codec: Codec, on_invalid: Callable[[InvalidMessageError], None], deadline: float = inf
) -> Generator[Wait, bool, Message]:
    """The next message but pings, by the deadline however many of those come before it.

    `on_invalid` is called with each message that can be parsed but not used; it may raise
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
