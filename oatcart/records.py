"""What the decision module keeps of nodes, proxies, tables and sent rounds.

The records hold state alone: every decision and every tuned value, the values that a new node starts with
among them, stands in `oatcart/policy.py`. Times are seconds of the host's clock.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from oatcart.model import EndpointState

LONG_AGO = -1e9  # s; before any start


@dataclass(slots=True)
class Node:
    """All that is known of one node of the list.

    Tries, errors and durations are sums over the last seconds that fade with time; a load is in percent.
    """

    room: float  # requests that it is taken to hold on time
    score: float  # points
    hold: float  # s that it stays withdrawn
    loads: deque[float]  # percent, one a second; the last few
    zone: int = 0
    state: int = EndpointState.GONE
    turned_at: float = LONG_AGO  # when the list last said ready or not (a drain that ends waits on), if ever
    started: float = 0.0  # 0: long ago
    nominal: float = 1.0
    eased_at: float = LONG_AGO  # when its ramp began
    load: float | None = None
    good: float = 0.0  # answers
    took: float = 0.0  # the durations of the answers, s
    tried: float = 0.0
    errored: float = 0.0
    answered: int = 0  # answers heard since the last look
    share: float = 0.0  # of the answers heard
    answers_then: float = 0.0  # answers of all nodes when this one last answered
    answered_at: float = 0.0
    out: bool = False  # withdrawn on evidence
    out_at: float = LONG_AGO
    passes: int = 0  # probes answered in a row
    shut_at: float = inf  # when the proxies were ordered to shut it out; inf: they are to use it

    @property
    def shut(self) -> bool:
        """Whether the order to shut it out stands at the proxies."""
        return self.shut_at < inf


@dataclass(slots=True)
class Proxy:
    """A proxy whose stream is joined here."""

    zone: int
    held: bool  # orders of others: it may bring withdrawals, and is told of each node whether it is out
    joined_at: float
    rates: list[float]  # requests a second by kind
    sent: deque[float] = field(default_factory=deque)  # when messages went to it
    bound: bool = False  # to its tables
    tables: list["Table"] = field(default_factory=list)


@dataclass(slots=True)
class Table:
    """A table that proxies share, as it was last ordered."""

    place: int
    kinds: tuple[int, ...]
    zones: tuple[int, ...]  # empty: nodes of all zones
    near: int  # the zone whose nodes are preferred; -1: none
    size: float = inf  # so many nodes are dealt to it where the channel cannot carry all
    dealt: set[int] = field(default_factory=set)
    lines: dict[int, int] = field(default_factory=dict)
    pending: dict[int, int] = field(default_factory=dict)  # changes that found no room yet
    proxies: dict[int, Proxy] = field(default_factory=dict)
    mark: int = 0
    waiting: set[int] = field(default_factory=set)  # proxies that have not acknowledged the mark
    changed_at: float = LONG_AGO
    share: float = 1.0  # of the work offered that is let in
    cut_at: float = LONG_AGO
    again: bool = False  # another try after any failure pays
    # by kind: share let in, way of trying again
    levels: dict[int, tuple[float, int]] = field(default_factory=dict)

    def unaware(self, shut_at: float) -> int:
        """How many of its proxies are told, with a new line, whether its node is shut out.

        `shut_at`: when the node was shut out. Who joined before has heard of it. Of a node that is in use,
        only those are told who others may have ordered to shut it out.
        """
        return sum(proxy.held or proxy.joined_at > shut_at for proxy in self.proxies.values())


@dataclass(slots=True)
class SentRound:
    """A round that sent messages, and what has left the channel by its answers, in lines since the start."""

    mark: int
    left: float  # once the round before it is answered; then by the answers of this one
    per_answer: float
    most: float  # once all have answered
