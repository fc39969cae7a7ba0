"""A proxy's stream, from its joining to its end."""

from collections.abc import Generator

from oatcart.net.codec import PING, PONG, Codec, parsed
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream


def live(stream: Stream, joined: tuple, codec: Codec, rounds: Rounds) -> Generator[Wait, bool, None]:
    """Tell the module what the proxy says for as long as this is the newest of its streams."""
    _, proxy, _, _, blank = joined
    rounds.join(proxy, blank, stream)
    rounds.arrive(joined)
    try:
        while True:
            message = parsed((yield from stream.line()))
            if message.get("msg") == PING:
                stream.write(PONG)
            elif rounds.streams.get(proxy) is stream and (arrival := codec.arrival(message)) \
                    and arrival[:2] in (("applied", proxy), ("came", proxy)):
                rounds.arrive(arrival)
    finally:
        if rounds.leave(proxy, stream):
            rounds.arrive(("left", proxy))
