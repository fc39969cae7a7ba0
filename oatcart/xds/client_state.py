"""The clients of the xDS front, their streams and requests, as records. Free of I/O."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from oatcart.xds.subscription import Subscription

MARKS_OWED = 8  # marks of one client that are not acknowledged; the module waits for none so long
REJECTIONS_KEPT = 8  # of a client, for the operator


class Node(NamedTuple):
    """Who a client says it is."""

    id: str
    zone: str
    shape: str


class Ask(NamedTuple):
    """A discovery request of either protocol. `names`: all names, or those newly subscribed. `version`: of
    the last state-of-the-world response of this type that the client accepted, on whichever stream."""

    type: str
    names: tuple[str, ...]
    unsubscribe: tuple[str, ...] = ()
    brought: Mapping[str, str] = {}
    nonce: str = ""
    refusal: str | None = None
    node: Node | None = None
    version: str = ""


@dataclass(eq=False, slots=True)
class Stream:
    """One stream of a client. `key`: unique, later streams have greater ones; `delta`: the incremental
    protocol.
    """

    key: int
    delta: bool
    only: str | None  # the one type it is for; None: all of them on one stream
    client: "Client | None" = None
    subscriptions: dict[str, Subscription] = field(default_factory=dict)
    room: bool = True  # the transport takes another push
    primed: bool = False  # it was sent endpoints
    returning: bool = False
    admitted: bool = False  # its first pushes were paid in advance
    prepaid: int = 0  # of them, those that are not sent yet
    urgent_since: float | None = None  # s; since when the budget has kept back what may not wait


@dataclass(eq=False, slots=True)
class Owed:
    """A mark that a client has yet to acknowledge: by stream and type, the seqs that are to be held."""

    mark: int
    at: float
    needs: dict[tuple[Stream, str], dict[str, int]]


@dataclass(eq=False, slots=True)
class Client:
    """A client by its node's id. `proxy`: its number among the proxies of the decisions."""

    id: str
    proxy: int
    zone: int
    shape: str
    rates: list[float]  # reqs a second by kind, as its load reports have it
    streams: list[Stream] = field(default_factory=list)  # oldest first
    joined: bool = False
    bound: bool = False
    told: int | None = None  # a mark of this round
    owed: deque = field(default_factory=lambda: deque(maxlen=MARKS_OWED))
    rejections: deque = field(default_factory=lambda: deque(maxlen=REJECTIONS_KEPT))
    acked_at: float | None = None
