"""A collector's connection: reports of what proxies met, and nothing but pongs is written back."""

from collections.abc import Callable, Generator

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.net import talk
from oatcart.net.codec import Codec, Odd
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.stream import Stream

REPORTS = (EndpointLoadReported, ProxyLoadReported)


def live(
    stream: Stream, codec: Codec, rounds: Rounds, skipped: Callable[[Odd], None]
) -> Generator[Wait, bool, None]:
    while True:
        told = yield from talk.arrival(stream, codec, skipped)
        if isinstance(told, REPORTS):
            rounds.arrive(told)
        else:
            skipped(Odd(f"a collector does not say {type(told).__name__}"))
