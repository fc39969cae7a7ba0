"""The clients of the xDS front, their streams and requests, as records. Free of I/O."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.xds.subscription import Subscription

PENDING_ACKS_MAX = 8  # marks of one client that are not acknowledged; the module waits for none so long
REJECTIONS_KEPT = 8  # of a client, for the operator


class ClientIdentity(NamedTuple):
    """Who a client says it is."""

    id: str
    zone: str
    shape: str


class ClientRequest(NamedTuple):
    """A discovery request of either protocol. `names`: all names, or those newly subscribed. `version`: of
    the last state-of-the-world response of this type that the client accepted, on whichever stream."""

    type: str
    names: tuple[str, ...]
    unsubscribe: tuple[str, ...] = ()
    initial_versions: Mapping[str, str] = {}
    nonce: str = ""
    error_message: str | None = None
    identity: ClientIdentity | None = None
    version: str = ""


@dataclass(eq=False, slots=True)
class Stream:
    """One stream of a client. `key`: unique, later streams have greater ones; `delta`: the incremental
    protocol.
    """

    key: int
    delta: bool
    only_type: str | None  # the one type it is for; None: all of them on one stream
    client: "Client | None" = None
    subscriptions: dict[str, Subscription] = field(default_factory=dict)
    writable: bool = True  # the transport takes another push
    endpoints_sent: bool = False  # it was sent endpoints
    returning: bool = False
    admitted: bool = False  # its first pushes were paid in advance
    prepaid: int = 0  # of them, those that are not sent yet
    urgent_since: float | None = None  # s; since when the budget has kept back what may not wait


@dataclass(eq=False, slots=True)
class PendingAcknowledgement:
    """A mark that a client has yet to acknowledge: by stream and type, the seqs that are to be held."""

    nonce: int
    sent_at: float
    required: dict[tuple[Stream, str], dict[str, int]]


@dataclass(eq=False, slots=True)
class Client:
    """A client by its node's id. `proxy`: its number among the proxies of the decisions."""

    id: str
    proxy: int
    zone: int
    shape: str
    request_rates: list[float]  # reqs a second by kind, as its load reports have it
    streams: list[Stream] = field(default_factory=list)  # oldest first
    joined: bool = False
    assigned: bool = False
    round_nonce: int | None = None  # a mark of this round
    pending_acks: deque = field(default_factory=lambda: deque(maxlen=PENDING_ACKS_MAX))
    rejections: deque = field(default_factory=lambda: deque(maxlen=REJECTIONS_KEPT))
    acked_at: float | None = None
