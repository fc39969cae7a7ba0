"""A collector's connection: reports of what proxies met, and nothing is written back."""

from collections.abc import Generator

from oatcart.net.codec import PING, PONG, Codec, parsed
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream

REPORTS = ("met", "came")


def live(stream: Stream, codec: Codec, rounds: Rounds) -> Generator[Wait, bool, None]:
    while True:
        message = parsed((yield from stream.line()))
        if message.get("msg") == PING:
            stream.write(PONG)
        elif (arrival := codec.arrival(message)) and arrival[0] in REPORTS:
            rounds.arrive(arrival)
