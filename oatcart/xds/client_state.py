"""The clients of the xDS front, their streams and requests, as records. Free of I/O."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.xds.subscription import Subscription

PENDING_ACKS_MAX = 8  # unacknowledged nonces kept of a client; the controller waits for none that is older
REJECTIONS_KEPT = 8  # of a client, for the operator


class ClientIdentity(NamedTuple):
    """The identity of a client, from the node identifier of its request."""

    id: str
    zone: str
    shape: str


class ClientRequest(NamedTuple):
    """A discovery request of either protocol.

    `names`: all names (state of the world) or the newly subscribed ones (incremental). `initial_versions`: by
    name, of resources from an earlier stream. `version`: of the last state-of-the-world response of this type
    that the client accepted, on any stream.
    """

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
    only_type: str | None  # resource type of a stream for one type; None: all types
    client: "Client | None" = None
    subscriptions: dict[str, Subscription] = field(default_factory=dict)
    writable: bool = True  # the transport takes another push
    endpoints_sent: bool = False  # in a push on this stream
    returning: bool = False
    admitted: bool = False  # its first pushes were paid in advance; see `ReturnAdmission`
    prepaid: int = 0  # pushes that were paid in advance and are not sent yet
    urgent_since: float | None = None  # s; since when the budget has delayed an urgent push


@dataclass(eq=False, slots=True)
class PendingAcknowledgement:
    """A nonce that a client has yet to acknowledge.

    `sent_at`: s; `required`: by stream and type, the sequence numbers to be acknowledged by resource name.
    """

    nonce: int
    sent_at: float
    required: dict[tuple[Stream, str], dict[str, int]]


@dataclass(eq=False, slots=True)
class Client:
    """A client, identified by its node id. `proxy`: its number among the proxies of the controller."""

    id: str
    proxy: int
    zone: int
    shape: str
    request_rates: list[float]  # requests/s by request class, from its load reports
    streams: list[Stream] = field(default_factory=list)  # oldest first
    joined: bool = False
    assigned: bool = False  # it has a routing table for each request class
    round_nonce: int | None = None  # to be acknowledged for this round
    pending_acks: deque = field(default_factory=lambda: deque(maxlen=PENDING_ACKS_MAX))
    rejections: deque = field(default_factory=lambda: deque(maxlen=REJECTIONS_KEPT))
    acked_at: float | None = None
