"""A proxy's stream, from its joining to its end."""

from collections.abc import Callable, Generator

from oatcart.errors import InvalidMessageError
from oatcart.net.codec import Codec
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.message_reader import read_message
from oatcart.net.stream import Stream

SPEAKS = ("applied", "came")  # what a proxy tells once it has joined


def live(
    stream: Stream,
    joined: tuple,
    codec: Codec,
    rounds: Rounds,
    skipped: Callable[[InvalidMessageError], None],
    end: Callable[[Stream], None],
) -> Generator[Wait, bool, None]:
    """Tell the module what the proxy says. Its older stream is over: it may have broken and never be seen to
    end.
    """
    _, proxy, _, _, blank = joined
    older = rounds.streams.get(proxy)
    rounds.join(proxy, blank, stream)
    rounds.arrive(joined)
    if older is not None:
        end(older)
    try:
        while True:
            told = yield from read_message(stream, codec, skipped)
            if told[0] not in SPEAKS or told[1] != proxy:
                skipped(InvalidMessageError(f"proxy {proxy} does not say {told[:2]}"))
            # it would pass for an acknowledgement
            elif told[0] == "applied" and not rounds.asked(proxy, told[2]):
                skipped(InvalidMessageError(f"proxy {proxy} was not asked for mark {told[2]}"))
            else:
                rounds.arrive(told)
    finally:
        if rounds.leave(proxy, stream):
            rounds.arrive(("left", proxy))
