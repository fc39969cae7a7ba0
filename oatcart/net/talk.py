"""Reading a connection: pings are answered on any, and what is odd costs itself alone."""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import InvalidMessage
from oatcart.net.codec import PING, PONG, Codec
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream


def arrival(
    stream: Stream, codec: Codec, odd: Callable[[InvalidMessage], None], until: float = inf
) -> Generator[Wait, bool, tuple]:
    """The next message that there is a use for, by the time `until` whatever else comes before it. One that
    can be read but not used goes to `odd`, which may end the connection."""
    while True:
        line = yield from stream.read_line(until)
        try:
            told = codec.arrival(line)
        except InvalidMessage as error:
            odd(error)
            continue
        if told == PING:
            stream.write(PONG)
        else:
            return told
