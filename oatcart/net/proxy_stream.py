"""The stream of a proxy, from its `joined` message to its end."""

from collections.abc import Callable, Generator

from oatcart.errors import InvalidMessageError
from oatcart.events import ProxyJoined, ProxyLeft, ProxyLoadReported, UpdateAcknowledged
from oatcart.net.codec import Codec
from oatcart.net.loop import Wait
from oatcart.net.message_reader import read_message
from oatcart.net.rounds import Rounds
from oatcart.net.stream import Stream

PROXY_EVENTS = (UpdateAcknowledged, ProxyLoadReported)  # what a proxy may send once it has joined


def serve_proxy(
    stream: Stream,
    joined: ProxyJoined,
    codec: Codec,
    rounds: Rounds,
    on_invalid: Callable[[InvalidMessageError], None],
    close_stream: Callable[[Stream], None],
) -> Generator[Wait, bool, None]:
    """Add the events of a joined proxy to rounds until its stream ends; raises ConnectionClosedError.

    An older stream of the same proxy is closed: it may be broken without this having been detected.
    """
    proxy = joined.proxy
    older = rounds.streams.get(proxy)
    rounds.join(proxy, joined.unconfigured, stream)
    rounds.add_event(joined)
    if older is not None:
        close_stream(older)
    try:
        while True:
            event = yield from read_message(stream, codec, on_invalid)
            if not isinstance(event, PROXY_EVENTS) or event.proxy != proxy:
                on_invalid(
                    InvalidMessageError(
                        f"proxy {proxy}: expected an acknowledgement or a load report of its own, got {event}"
                    )
                )
            elif isinstance(event, UpdateAcknowledged) and not rounds.was_sent(proxy, event.nonce):
                # Accepted, it would acknowledge updates that the proxy has not received.
                on_invalid(InvalidMessageError(f"proxy {proxy} was not asked for nonce {event.nonce}"))
            else:
                rounds.add_event(event)
    finally:
        if rounds.leave(proxy, stream):
            rounds.add_event(ProxyLeft(proxy))
