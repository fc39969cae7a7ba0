"""Pushes to xDS clients and their rejections."""

from dataclasses import dataclass
from typing import NamedTuple

from oatcart.xds.resource_cache import ResourceContent


class Push(NamedTuple):
    """A response to send. `items`: (name, content); `removed`: names, in the incremental protocol only."""

    nonce: str
    version: str
    items: tuple[tuple[str, ResourceContent], ...]
    removed: tuple[str, ...]
    urgent: bool


@dataclass(slots=True)
class PushInFlight:
    """A push that awaits its answer: sequence numbers and versions of its resources by name."""

    nonce: str
    version: str
    sequences: dict[str, int]
    versions: dict[str, str]


class Rejection(NamedTuple):
    """A client's negative acknowledgement.

    `message`: the client's; `rejected`: names that are not sent again as they are; `retried_alone`: names
    that are sent again one by one, as the client does not say which of them it rejects.
    """

    message: str
    rejected: tuple[str, ...]
    retried_alone: tuple[str, ...]
