"""What clients' load reports say, checked: they become the module's `met` and `came`. Free of I/O and clock.

Source: Envoy's load reporting service, v3. Its counts are of one interval. It has no durations, so where a
client names none, a node's mean duration is taken from its work under way by Little's law: work under way =
rate times duration.
"""

from collections.abc import Callable, Iterable, Sequence
from math import isfinite
from typing import NamedTuple

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.load_reports import MAX_LOAD
from oatcart.model import LoadReport

COUNT_MOST = 10**7  # reqs of one interval: more than a client meets in any
SPAN_MOST = 3600.0  # s; no interval is longer
# named metrics that clients may report: a sum of ms, of shares
TOOK, BUSY = "oatcart.took_ms", "cpu_utilization"
SLACK = 1  # reqs by which counts that are read one after the other may disagree
PLACES_MOST = 4096  # nodes of one client of which the work under way is remembered


class Tally(NamedTuple):
    """Counts at one node over one interval. `metrics`: by name, how many reqs told one, and the sum told."""

    good: int
    errored: int
    issued: int
    under_way: int
    metrics: dict[str, tuple[int, float]]


class ClusterReport(NamedTuple):
    """`met`: by the node's name or (host, port); `whole`: by zone, which sum up to all that came."""

    cluster: str
    over: float
    met: Sequence[tuple[str | tuple[str, int], Tally]]
    whole: Sequence[Tally]
    dropped: int


class Books:
    """What is remembered of one stream of reports: the work under way at each node, by which the next report
    must add up. What does not fit costs that node's or that cluster's part of the report alone."""

    def __init__(self) -> None:
        self.under_way: dict[tuple, int] = {}

    def read(
        self,
        reports: Iterable[ClusterReport],
        proxy: int,
        zone: int,
        kinds: dict[str, int],
        place: Callable[[object], int | None],
        odd: Callable[[str], None],
    ) -> list[tuple]:
        """The arrivals that a report stands for. `place`: a node's number, None where nobody knows it."""
        out = []
        for one in reports:
            if one.cluster not in kinds:
                odd(f"a report for cluster {one.cluster[:80]!r}, which nobody has")
            elif not 0.0 < one.over <= SPAN_MOST:
                odd(f"a report for {one.cluster} over {one.over} s")
            else:
                out += self._cluster(one, proxy, zone, kinds[one.cluster], place, odd)
        return out

    def _cluster(
        self,
        one: ClusterReport,
        proxy: int,
        zone: int,
        kind: int,
        place: Callable,
        odd: Callable[[str], None],
    ) -> list[tuple]:
        out = []
        for at, tally in one.met:
            node = place(at)
            if node is None:
                odd(f"a report for {one.cluster} at {str(at)[:80]!r}, which is not listed")
                continue
            wrong = self._wrong((kind, at), tally)
            if wrong:
                odd(f"a report for {one.cluster} at {str(at)[:80]!r}: {wrong}")
                continue
            tried = tally.good + tally.errored
            if tried:
                out.append(
                    EndpointLoadReported(
                        node,
                        zone,
                        one.over,
                        took(tally, one.over),
                        tally.errored,
                        tried,
                        LoadReport(None, busy(tally), None),
                    )
                )
        sums = [tally for tally in one.whole if not _unfit(tally)]
        came, errored = (
            sum(tally.issued for tally in sums) + one.dropped,
            sum(tally.errored for tally in sums),
        )
        if 0 <= one.dropped <= COUNT_MOST and len(sums) == len(one.whole) and came <= COUNT_MOST:
            out.append(ProxyLoadReported(proxy, kind, came, errored, one.over))
        else:
            odd(f"a report for {one.cluster}: {came} reqs came, {one.dropped} turned away")
        return out

    def _wrong(self, at: tuple, tally: Tally) -> str:
        """What in the numbers can't be: more were done than were issued or under way, as where a sum runs
        backwards.
        """
        if unfit := _unfit(tally):
            return unfit
        before = self.under_way.pop(at, None)
        done = tally.good + tally.errored
        if before is not None and done > before + tally.issued + SLACK:
            return f"{done} reqs done of {before} under way and {tally.issued} issued"
        if len(self.under_way) < PLACES_MOST:
            self.under_way[at] = tally.under_way
        return ""


def _unfit(tally: Tally) -> str:
    for name in ("good", "errored", "issued", "under_way"):
        if not 0 <= getattr(tally, name) <= COUNT_MOST:
            return f"{name} {getattr(tally, name)}"
    for name, (count, total) in tally.metrics.items():
        if not isfinite(total) or total < 0 or not 0 <= count <= COUNT_MOST:
            return f"{name[:80]} {total} of {count}"
    return ""


def took(tally: Tally, over: float) -> float:
    """The mean duration of what was answered, in seconds.

    >>> took(Tally(10, 0, 10, 4, {}), 2.0), took(Tally(10, 0, 10, 4, {TOOK: (10, 500.0)}), 2.0)
    (0.8, 0.05)
    """
    if not tally.good:
        return 0.0
    count, total = tally.metrics.get(TOOK, (0, 0.0))
    if count:
        return min(SPAN_MOST, total / count / 1000)
    return min(SPAN_MOST, tally.under_way * over / (tally.good + tally.errored))


def busy(tally: Tally) -> float | None:
    """The share of a node's cores in use, where the client was told."""
    count, total = tally.metrics.get(BUSY, (0, 0.0))
    return min(MAX_LOAD, total / count) if count else None
