"""A proxy's stream, from its joining to its end."""

from collections.abc import Callable, Generator

from oatcart.events import ProxyJoined, ProxyLeft, ProxyLoadReported, UpdateAcknowledged
from oatcart.net import talk
from oatcart.net.codec import Codec, Odd
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream

SPEAKS = (UpdateAcknowledged, ProxyLoadReported)  # what a proxy tells once it has joined


def live(
    stream: Stream,
    joined: ProxyJoined,
    codec: Codec,
    rounds: Rounds,
    skipped: Callable[[Odd], None],
    end: Callable[[Stream], None],
) -> Generator[Wait, bool, None]:
    """Tell the module what the proxy says. Its older stream is over: it may have broken and never be seen to
    end.
    """
    proxy, blank = joined.proxy, joined.unconfigured
    older = rounds.streams.get(proxy)
    rounds.join(proxy, blank, stream)
    rounds.arrive(joined)
    if older is not None:
        end(older)
    try:
        while True:
            told = yield from talk.arrival(stream, codec, skipped)
            if not isinstance(told, SPEAKS) or told.proxy != proxy:
                skipped(Odd(f"proxy {proxy} does not say {type(told).__name__}"))
            # it would pass for an acknowledgement
            elif isinstance(told, UpdateAcknowledged) and not rounds.was_sent(proxy, told.nonce):
                skipped(Odd(f"proxy {proxy} was not asked for mark {told.nonce}"))
            else:
                rounds.arrive(told)
    finally:
        if rounds.leave(proxy, stream):
            rounds.arrive(ProxyLeft(proxy))
