"""When an xDS client has acknowledged a nonce of the controller. Free of I/O and clock.

It has once all resources that were due at the nonce's round are acknowledged on all of its streams.
"""

from collections.abc import Callable

from oatcart.commands import covers
from oatcart.xds.client_state import Client, PendingAcknowledgement
from oatcart.xds.resource_cache import ResourceCache
from oatcart.xds.resource_types import BY_TABLE
from oatcart.xds.subscription import NOT_SENT


def await_acknowledgement(
    client: Client, now: float, cache_for: Callable[[Client, str], ResourceCache]
) -> None:
    """Notes what has to be acknowledged for the nonce of the client's round. `now`: s."""
    nonce, client.round_nonce = client.round_nonce, None
    required = {
        (stream, resource_type): unacknowledged
        for stream in client.streams
        for resource_type, subscription in stream.subscriptions.items()
        if resource_type in BY_TABLE
        and (unacknowledged := subscription.unacknowledged(cache_for(client, resource_type)))
    }
    client.pending_acks.append(PendingAcknowledgement(nonce, now, required))


def take_acknowledged(client: Client) -> PendingAcknowledgement | None:
    """Removes the nonces that are acknowledged, and returns the newest of them; None if there is none."""
    acknowledged = None
    for pending in list(client.pending_acks):
        _drop_acknowledged(client, pending)
        if not pending.required:
            acknowledged = pending
            client.pending_acks.remove(pending)
    if acknowledged is not None:
        while client.pending_acks and covers(acknowledged.nonce, client.pending_acks[0].nonce):
            client.pending_acks.popleft()  # a later nonce acknowledges the earlier ones
    return acknowledged


def _drop_acknowledged(client: Client, pending: PendingAcknowledgement) -> None:
    """Drops what is acknowledged or no longer wanted from what a nonce requires."""
    for (stream, resource_type), sequences in list(pending.required.items()):
        subscription = stream.subscriptions.get(resource_type)
        if stream.client is not client or subscription is None:
            del pending.required[stream, resource_type]
            continue
        for name, sequence in list(sequences.items()):
            is_acknowledged = subscription.acknowledged.get(name, NOT_SENT) >= sequence
            if is_acknowledged or not subscription.is_wanted(name):
                del sequences[name]
        if not sequences:
            del pending.required[stream, resource_type]
