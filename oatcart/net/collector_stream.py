"""The stream of a collector: receives load reports, sends nothing but pongs."""

from collections.abc import Callable, Generator

from oatcart.errors import InvalidMessageError
from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.net.codec import Codec
from oatcart.net.loop import Wait
from oatcart.net.message_reader import read_message
from oatcart.net.rounds import Rounds
from oatcart.net.stream import Stream

COLLECTOR_EVENTS = (EndpointLoadReported, ProxyLoadReported)


def serve_collector(
    stream: Stream, codec: Codec, rounds: Rounds, on_invalid: Callable[[InvalidMessageError], None]
) -> Generator[Wait, bool, None]:
    """Add the load reports of a collector to rounds until its stream ends; raises ConnectionClosedError."""
    while True:
        event = yield from read_message(stream, codec, on_invalid)
        if isinstance(event, COLLECTOR_EVENTS):
            rounds.add_event(event)
        else:
            on_invalid(InvalidMessageError(f"expected a load report from a collector, got {event}"))
