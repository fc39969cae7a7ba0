"""What passes between the decision module and whatever hosts it. No decisions are taken here.

At its start a conductor is handed the small records below. Once a round it is handed the time in
seconds and all that came in, as plain tuples (name, fields...) in the order of their coming:

    ("listed", whole, entries)      the roll; entries: (node, zone, started, state, nominal)
    ("unlisted",)                   a call to the roll failed, or following it broke
    ("probed", node, outcome, took, load)       outcome: ANSWERED, ERRORED, TURNED_AWAY, UNREACHED, SILENT
    ("joined", proxy, zone, usual, blank)       blank: it holds only its standing tables
    ("left", proxy)
    ("applied", proxy, mark, took)  the proxy has applied all up to that mark
    ("met", node, zone, over, took, errored, tried, load)   what proxies of a zone met at a node
    ("came", proxy, kind, count, errored, over)             what reqs came to a proxy

A round with nothing in it is the end of a wait asked for with `wake`.
A load is (held, busy, waiting): reqs held, share of the cores in use, reqs waiting; None where not told.
Nodes, kinds, zones, proxies and tables are small whole numbers; a node keeps its number until it is dropped.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

GONE, READY, DRAINING = 0, 1, 2  # states of a listed node
ANSWERED, ERRORED, TURNED_AWAY, UNREACHED, SILENT = range(5)  # outcomes of a probe
REPLAYABLE, UNIQUED, NON_REPLAYABLE = range(3)  # may a req run again
NO_TRY, AFTER_PROOF, AFTER_ANY, TWO_AFTER_ANY = range(4)  # ways of trying another node
BY_SHARE, BY_RATE, NOT_AT_ALL = "share", "rate", "none"  # ways of admitting
MARKS = 0x10000  # marks run from 0 up to here and round again
ALL_TABLES = 0xFFFF  # in `admit`: every table, every joined proxy

Load = tuple[float | None, float | None, float | None]


class ReqKind(NamedTuple):
    """A request kind; times in seconds. `zones` empty: open to all nodes."""

    value: float = 1.0
    response_target: float = 1.0
    repeat: int = NON_REPLAYABLE
    home_zone: bool = False
    zones: tuple[int, ...] = ()


class RollManners(NamedTuple):
    """How the list of nodes is had, and whether it tells weights."""

    must_ask: bool = False
    nominal_told: bool = False


class ChannelLimits(NamedTuple):
    """What the channel to the proxies carries: lines a second, lines, messages, seconds."""

    line_rate: float = 1000.0
    head: float = 0.0
    queue_most: float = 0.0
    messages_most: int = 0
    messages_over: float = 10.0


class ColdLimits(NamedTuple):
    """How a node that has just started may be loaded; seconds, shares, a multiple."""

    warm_after: float = 0.0
    share_at_start: float = 1.0
    fall_multiple: float = 1.0


class OrderWriter(Protocol):
    """Where a conductor writes its decisions, in the order in which they are to take effect. A dropped node
    is let back where it was shut out, as its id may return, and then forgotten with its number."""

    def line(self, table: int, node: int, weight: float) -> None: ...

    def blank(self, table: int) -> None: ...

    def bind(self, table: int, proxy: int, kinds: int) -> None: ...

    def withdraw(self, node: int, out: bool) -> None: ...

    def admit(self, table: int, kinds: int, level: float, tries: int) -> None: ...

    def drop(self, node: int) -> None: ...

    def ask_ack(self, mark: int, everyone: bool) -> None: ...

    def probe(self, node: int) -> None: ...

    def follow(self, on: bool) -> None: ...

    def fetch_roll(self) -> None: ...

    def wake(self, after: float) -> None: ...

    def note(self, text: str) -> None: ...


Arrivals = Iterable[tuple]  # read once, in order
