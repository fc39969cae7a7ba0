"""Load reports of xDS clients, validated and turned into events. Free of I/O and clock.

Source: Envoy's load reporting service, v3. Its counts are of one interval. It has no durations, so where a
client names none, an endpoint's mean duration follows from its requests in flight by Little's law: in flight
= rate times duration.
"""

from collections.abc import Callable, Iterable, Sequence
from math import isfinite
from typing import NamedTuple

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.load_reports import MAX_LOAD
from oatcart.model import LoadReport

MAX_COUNT = 10**7  # requests of one interval
MAX_INTERVAL = 3600.0  # s
DURATION_METRIC = "oatcart.took_ms"  # named metric: a sum of ms
UTILIZATION_METRIC = "cpu_utilization"  # named metric: a sum of shares of the cores
COUNT_TOLERANCE = 1  # requests by which counts that are read one after the other may disagree
MAX_TRACKED = 4096  # endpoints of one client whose requests in flight are remembered
QUOTED_LENGTH = 80  # characters of a client's value that a log line quotes


class RequestCounts(NamedTuple):
    """Requests at one endpoint or locality in one interval.

    `in_flight`: at its end. `metrics`: by name, how many requests had the metric and the sum of its values.
    """

    succeeded: int
    failed: int
    issued: int
    in_flight: int
    metrics: dict[str, tuple[int, float]]


class ClusterLoadReport(NamedTuple):
    """A client's report on one cluster.

    `interval`: s; `endpoints`: counts by the endpoint's name or (host, port); `localities`: counts that sum
    up to all requests that were forwarded; `dropped`: requests that the client rejected.
    """

    cluster: str
    interval: float
    endpoints: Sequence[tuple[str | tuple[str, int], RequestCounts]]
    localities: Sequence[RequestCounts]
    dropped: int


class LoadReportReader:
    """Reads one stream of load reports.

    It remembers the requests in flight at each endpoint, with which the next report must agree. An invalid
    part costs only that endpoint's or that cluster's part of the report.
    """

    def __init__(self) -> None:
        self.in_flight: dict[tuple, int] = {}  # by request class and endpoint

    def read(
        self,
        reports: Iterable[ClusterLoadReport],
        proxy: int,
        zone: int,
        request_classes: dict[str, int],
        number_of: Callable[[object], int | None],
        log_invalid: Callable[[str], None],
    ) -> list[EndpointLoadReported | ProxyLoadReported]:
        """The events that reports of a proxy in a zone stand for.

        `number_of`: an endpoint's number, None if it is not listed; `log_invalid` takes a line on each part
        that is left out.
        """
        events = []
        for report in reports:
            if report.cluster not in request_classes:
                log_invalid(f"load report: no cluster is named {report.cluster[:QUOTED_LENGTH]!r}")
            elif not 0.0 < report.interval <= MAX_INTERVAL:
                log_invalid(f"load report for {report.cluster}: invalid interval of {report.interval} s")
            else:
                request_class = request_classes[report.cluster]
                events += self._endpoint_events(report, zone, request_class, number_of, log_invalid)
                events += _proxy_events(report, proxy, request_class, log_invalid)
        return events

    def _endpoint_events(
        self,
        report: ClusterLoadReport,
        zone: int,
        request_class: int,
        number_of: Callable[[object], int | None],
        log_invalid: Callable[[str], None],
    ) -> list[EndpointLoadReported]:
        events = []
        for address, counts in report.endpoints:
            subject = f"load report for {report.cluster} at {str(address)[:QUOTED_LENGTH]!r}"
            endpoint = number_of(address)
            if endpoint is None:
                log_invalid(f"{subject}: the endpoint is not listed")
                continue
            problem = self._problem((request_class, address), counts)
            if problem:
                log_invalid(f"{subject}: {problem}")
                continue
            completed = counts.succeeded + counts.failed
            if completed:
                events.append(
                    EndpointLoadReported(
                        endpoint,
                        zone,
                        report.interval,
                        mean_duration(counts, report.interval),
                        counts.failed,
                        completed,
                        LoadReport(None, utilization(counts), None),
                    )
                )
        return events

    def _problem(self, key: tuple, counts: RequestCounts) -> str:
        """Why counts are invalid, or an empty string.

        When a counter runs backwards, more requests completed than were issued or in flight.
        """
        if problem := _range_problem(counts):
            return problem
        in_flight_before = self.in_flight.pop(key, None)
        completed = counts.succeeded + counts.failed
        if in_flight_before is not None and completed > in_flight_before + counts.issued + COUNT_TOLERANCE:
            return (
                f"{completed} requests completed of {in_flight_before} in flight and {counts.issued} issued"
            )
        if len(self.in_flight) < MAX_TRACKED:
            self.in_flight[key] = counts.in_flight
        return ""


def _proxy_events(
    report: ClusterLoadReport, proxy: int, request_class: int, log_invalid: Callable[[str], None]
) -> list[ProxyLoadReported]:
    valid = [counts for counts in report.localities if not _range_problem(counts)]
    arrived = sum(counts.issued for counts in valid) + report.dropped
    failed = sum(counts.failed for counts in valid)
    all_valid = len(valid) == len(report.localities)
    if 0 <= report.dropped <= MAX_COUNT and all_valid and arrived <= MAX_COUNT:
        return [ProxyLoadReported(proxy, request_class, arrived, failed, report.interval)]
    log_invalid(f"load report for {report.cluster}: {arrived} requests arrived, {report.dropped} dropped")
    return []


def _range_problem(counts: RequestCounts) -> str:
    """The first count or metric that is out of its range, or an empty string."""
    for name in ("succeeded", "failed", "issued", "in_flight"):
        if not 0 <= getattr(counts, name) <= MAX_COUNT:
            return f"{name} {getattr(counts, name)}"
    for name, (count, total) in counts.metrics.items():
        if not isfinite(total) or total < 0 or not 0 <= count <= MAX_COUNT:
            return f"{name[:QUOTED_LENGTH]} {total} of {count}"
    return ""


def mean_duration(counts: RequestCounts, interval: float) -> float:
    """The mean duration of the requests that completed, s. `interval`: s.

    >>> mean_duration(RequestCounts(10, 0, 10, 4, {}), 2.0)
    0.8
    >>> mean_duration(RequestCounts(10, 0, 10, 4, {DURATION_METRIC: (10, 500.0)}), 2.0)
    0.05
    """
    if not counts.succeeded:
        return 0.0
    count, total_ms = counts.metrics.get(DURATION_METRIC, (0, 0.0))
    if count:
        return min(MAX_INTERVAL, total_ms / count / 1000)
    return min(MAX_INTERVAL, counts.in_flight * interval / (counts.succeeded + counts.failed))


def utilization(counts: RequestCounts) -> float | None:
    """The share of an endpoint's cores in use; None where the client does not report it."""
    count, total = counts.metrics.get(UTILIZATION_METRIC, (0, 0.0))
    return min(MAX_LOAD, total / count) if count else None
