"""Generates the trace of a small fleet from a seed, for tests and benchmarks.

Load is not modelled: a real controller decides the rounds, and endpoints are drawn by the weights that it
sets.
"""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from oatcart.commands import CommandWriter
from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    ProxyJoined,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    EndpointState,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.policy import Controller
from oatcart.trace.recorder import RoundRecorder, start_record
from oatcart.trace.records import RecordKind, RequestOutcome, make_record


class GeneratedClass(NamedTuple):
    """A request class: its name, its share of the requests, and its settings at the controller."""

    name: str
    share: float
    request_class: RequestClass


CLASSES = (
    GeneratedClass("lookup", 0.8, RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT)),
    GeneratedClass("slot-update", 0.15, RequestClass(2.0, 1.0, Idempotency.KEYED)),
    GeneratedClass("fee-charge", 0.05, RequestClass(3.0, 1.0, Idempotency.NOT_IDEMPOTENT)),
)
ZONES = ["east", "west"]
ENDPOINTS = 12
PROXIES = 150
REPORT_PERIOD = 1.0  # s
ROUND_INTERVAL = 0.25  # s
UNIX_OFFSET = 1.7e9  # s from the instance's clock to Unix time
ACKNOWLEDGED_AFTER = 0.05  # s
FAILING_SHARE = 0.01  # of attempts
KEY_BYTES = 8
SETTINGS = ControllerSettings(
    request_classes=tuple(generated.request_class for generated in CLASSES),
    discovery=DiscoverySettings(),
    channel=ChannelLimits(1e5, 4, 1e5, 40, 10.0),
    warm_up=WarmUpLimits(16.0, 0.2, 4.0),
    report_period=REPORT_PERIOD,
    admission_mode=AdmissionMode.SHARE,
    cross_zone_price=0.1,
    health_checks_allowed=True,
)


class RoutingTable(CommandWriter):
    """A command writer that keeps the latest weight of each endpoint, ejections and requested nonces."""

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.ejected: set[int] = set()
        self.nonces: list[int] = []

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Keep the weight of an endpoint."""
        self.weights[endpoint] = weight

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Keep whether an endpoint is ejected."""
        if ejected:
            self.ejected.add(endpoint)
        else:
            self.ejected.discard(endpoint)

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Keep a nonce that proxies have to acknowledge."""
        self.nonces.append(nonce)

    def usable_endpoints(self) -> list[int]:
        """Return the endpoints that requests may be forwarded to."""
        return [
            endpoint
            for endpoint, weight in self.weights.items()
            if weight > 0 and endpoint not in self.ejected
        ]


class _EndpointStatistics:
    """The results of a zone's attempts at an endpoint since the last report."""

    def __init__(self) -> None:
        self.succeeded = 0
        self.failed = 0
        self.duration = 0.0  # s, sum over the attempts that succeeded


class _Fleet:
    """Proxies that forward requests by the controller's routing table and send load reports."""

    def __init__(self, seed: int, request_rate: float) -> None:
        self.random = Random(seed)
        self.request_rate = request_rate  # requests/s of all proxies
        self.table = RoutingTable()
        self.names = {number: f"{ZONES[number % 2]}-{number:02}" for number in range(ENDPOINTS)}
        self.request_counts = [0] * PROXIES
        self.statistics: dict[tuple[int, int], _EndpointStatistics] = {}  # by endpoint and zone

    def first_events(self) -> list[Event]:
        """Return the first endpoint list, and a join event for each proxy."""
        entries = [
            EndpointEntry(number, number % 2, 0.0, EndpointState.READY, 1.0) for number in range(ENDPOINTS)
        ]
        rate = self.request_rate / PROXIES
        joined = [ProxyJoined(proxy, proxy % 2, rate, True) for proxy in range(PROXIES)]
        return [EndpointListReceived(True, entries), *joined]

    def load_reports(self) -> list[Event]:
        """Return the load reports since the last call."""
        events: list[Event] = []
        for (endpoint, zone), statistics in sorted(self.statistics.items()):
            load = LoadReport(None, self.random.uniform(0.2, 0.7), None)
            mean = statistics.duration / max(1, statistics.succeeded)
            attempts = statistics.succeeded + statistics.failed
            events.append(
                EndpointLoadReported(endpoint, zone, REPORT_PERIOD, mean, statistics.failed, attempts, load)
            )
        events += [
            ProxyLoadReported(proxy, 0, self.random.randrange(1, 8), 0, REPORT_PERIOD)
            for proxy in range(PROXIES)
        ]
        self.statistics.clear()
        return events

    def acknowledgements(self) -> list[Event]:
        """Return the acknowledgements that the controller requested since the last call, of all proxies."""
        nonces, self.table.nonces = self.table.nonces, []
        return [
            UpdateAcknowledged(proxy, nonce, ACKNOWLEDGED_AFTER)
            for nonce in nonces
            for proxy in range(PROXIES)
        ]

    def request(self, now: float) -> Iterator[tuple]:
        """Return the records of a request that is received at `now`."""
        proxy = self.random.randrange(PROXIES)
        name, _, request_class = self.random.choices(CLASSES, [generated.share for generated in CLASSES])[0]
        idempotent = request_class.idempotency == Idempotency.IDEMPOTENT
        self.request_counts[proxy] += 1
        common = {
            "at": now,
            "id": self.request_counts[proxy],
            "key": b"" if idempotent else self.random.randbytes(KEY_BYTES),
            "proxy": f"proxy-{proxy:03}",
            "kind": name,
        }
        attempts, endpoint, outcome, duration = 0, "", RequestOutcome.REJECTED, 0.0
        usable_endpoints = self.table.usable_endpoints()
        while usable_endpoints:
            attempts += 1
            endpoint, duration, failed = self._attempt(usable_endpoints, proxy % 2)
            outcome = RequestOutcome.FAILED if failed else RequestOutcome.SUCCEEDED
            if not (failed and attempts == 1 and idempotent):
                break
            attempt = {"number": attempts, "node": endpoint, "ending": "RESET", "took": duration}
            yield make_record(RecordKind.ATTEMPT, **common, **attempt)
        yield make_record(
            RecordKind.REQUEST,
            **common,
            zone=ZONES[proxy % 2],
            node=endpoint,
            outcome=outcome,
            took=duration,
            tries=attempts,
            value=request_class.priority_weight,
        )

    def _attempt(self, usable_endpoints: list[int], zone: int) -> tuple[str, float, bool]:
        """Forward a request; return the endpoint's name, the duration in seconds, and whether it failed."""
        weights = [self.table.weights[endpoint] for endpoint in usable_endpoints]
        endpoint = self.random.choices(usable_endpoints, weights)[0]
        duration = self.random.lognormvariate(-3.2, 0.5)
        failed = self.random.random() < FAILING_SHARE
        statistics = self.statistics.setdefault((endpoint, zone), _EndpointStatistics())
        if failed:
            statistics.failed += 1
        else:
            statistics.succeeded += 1
            statistics.duration += duration
        return self.names[endpoint], duration, failed


def generate_records(
    seed: int, duration: float, request_rate: float, instance: str = "n0", begin: float = 1000.0
) -> Iterator[tuple]:
    """Return the records of `duration` seconds in order of time, in the form that `Writer.put` takes.

    `request_rate` is in requests/s over all proxies; `begin` is the first time in seconds.
    """
    fleet = _Fleet(seed, request_rate)
    pending: list[tuple] = []
    now = begin
    recorder = RoundRecorder(Controller(SETTINGS, seed).round, pending.append, lambda: now + UNIX_OFFSET)
    yield start_record(now, instance, seed, SETTINGS, [generated.name for generated in CLASSES], ZONES)
    for endpoint, name in fleet.names.items():
        recorder.name_endpoint(now, endpoint, name)
    events = fleet.first_events()
    next_round = next_report = next_request = begin
    while now < begin + duration:
        if next_request < next_round:
            now = next_request
            next_request += fleet.random.expovariate(request_rate)
            yield from fleet.request(now)
            continue
        now = next_round
        next_round += ROUND_INTERVAL
        if now >= next_report:
            next_report += REPORT_PERIOD
            events += fleet.load_reports()
        events += fleet.acknowledgements()
        recorder.round(now, iter(events), fleet.table)
        events = []
        yield from pending
        pending.clear()
