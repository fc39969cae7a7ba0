"""A collector's connection: reports of what proxies met, and nothing but pongs is written back."""

from collections.abc import Callable, Generator

from oatcart.errors import InvalidMessageError
from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.net.codec import Codec
from oatcart.net.conductor import Rounds
from oatcart.net.loop import Wait
from oatcart.net.message_reader import read_message
from oatcart.net.stream import Stream

REPORTS = (EndpointLoadReported, ProxyLoadReported)


def live(
    stream: Stream, codec: Codec, rounds: Rounds, skipped: Callable[[InvalidMessageError], None]
) -> Generator[Wait, bool, None]:
    while True:
        told = yield from read_message(stream, codec, skipped)
        if isinstance(told, REPORTS):
            rounds.arrive(told)
        else:
            skipped(InvalidMessageError(f"a collector does not say {type(told).__name__}"))
