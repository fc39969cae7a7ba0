"""Messages on a connection: pings are answered on any, and what is odd costs itself alone."""

from collections.abc import Generator
from math import inf

from oatcart.net.codec import PING, PONG, Codec, Odd, parsed
from oatcart.net.log import Log
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream


def message(stream: Stream, most: float = inf) -> Generator[Wait, bool, dict]:
    """The next message that is no ping, each line within `most` seconds."""
    while True:
        told = parsed((yield from stream.line(stream.loop.now + most)))
        if told.get("msg") != PING:
            return told
        stream.write(PONG)


def arrival(stream: Stream, codec: Codec, log: Log) -> Generator[Wait, bool, tuple]:
    """The next message that the module has a use for. One that can be read but not used is skipped: a stream
    that we end leaves its proxy without orders until it has dialled again."""
    while True:
        told = yield from message(stream)
        try:
            if found := codec.arrival(told):
                return found
        except Odd as odd:
            log.say("odd", str(odd))
