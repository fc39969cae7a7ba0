"""A proxy's stream, from its joining to its end."""

from collections.abc import Callable, Generator

from oatcart.net import talk
from oatcart.net.codec import Codec, Odd
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream

SPEAKS = ("applied", "came")  # what a proxy tells once it has joined


def live(stream: Stream, joined: tuple, codec: Codec, rounds: Rounds,
         skipped: Callable[[Odd], None]) -> Generator[Wait, bool, None]:
    """Tell the module what the proxy says for as long as this is the newest of its streams."""
    _, proxy, _, _, blank = joined
    rounds.join(proxy, blank, stream)
    rounds.arrive(joined)
    try:
        while True:
            told = yield from talk.arrival(stream, codec, skipped)
            if rounds.streams.get(proxy) is stream and told[0] in SPEAKS and told[1] == proxy:
                rounds.arrive(told)
    finally:
        if rounds.leave(proxy, stream):
            rounds.arrive(("left", proxy))
