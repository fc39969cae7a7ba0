"""A seeded hour of reqs and rounds, as a fleet would leave it; for tests and the benchmark. Small, and no
model of load: the rounds are a real conductor's, the reqs are drawn by its tables' weights."""

from collections.abc import Iterator
from random import Random

from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointLoadReported,
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
from oatcart.trace.records import DENIED, DONE, ERRORED, REQ, TRY, make
from oatcart.trace.tap import Tap, start_record

KINDS = [
    ("lookup", RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT), 0.8),
    ("slot-update", RequestClass(2.0, 1.0, Idempotency.KEYED), 0.15),
    ("fee-charge", RequestClass(3.0, 1.0, Idempotency.NOT_IDEMPOTENT), 0.05),
]
ZONES = ["east", "west"]
NODES, PROXIES, PERIOD = 12, 150, 1.0  # nodes, proxies, s between reports


class _Host:
    """An order writer that keeps weights and acknowledges marks."""

    def __init__(self) -> None:
        self.weights, self.marks, self.out = {}, [], set()

    def set_weight(self, table: int, node: int, weight: float) -> None:
        self.weights[node] = weight

    def set_ejected(self, node: int, out: bool) -> None:
        (self.out.add if out else self.out.discard)(node)

    def request_ack(self, mark: int, everyone: bool) -> None:
        self.marks.append(mark)

    def __getattr__(self, name: str):
        return lambda *args: None


def records(
    seed: int, seconds: float, a_second: float, instance: str = "n0", begin: float = 1000.0
) -> Iterator[tuple]:
    """Records as a writer takes them, in order of time: a conductor's rounds, and reqs of its proxies."""
    rng, out = Random(seed), []
    told = ControllerSettings(
        request_classes=tuple(kind for _, kind, _ in KINDS),
        discovery=DiscoverySettings(),
        channel=ChannelLimits(1e5, 4, 1e5, 40, 10.0),
        warm_up=WarmUpLimits(16.0, 0.2, 4.0),
        report_period=PERIOD,
        admission_mode=AdmissionMode.SHARE,
        cross_zone_price=0.1,
        health_checks_allowed=True,
    )
    names = {place: f"{ZONES[place % 2]}-{place:02}" for place in range(NODES)}
    host, now, wall = _Host(), begin, 1.7e9
    tap = Tap(Controller(told, seed).round, out.append, lambda: now + wall)
    yield start_record(now, instance, seed, told, {"kinds": [name for name, *_ in KINDS], "zones": ZONES})
    for place, name in names.items():
        tap.name(now, place, name)
    came = [
        EndpointListReceived(
            True, [EndpointEntry(place, place % 2, 0.0, EndpointState.READY, 1.0) for place in range(NODES)]
        ),
        *(ProxyJoined(proxy, proxy % 2, a_second / PROXIES, True) for proxy in range(PROXIES)),
    ]
    ids, look, due, next_req = [0] * PROXIES, begin, begin, begin
    met: dict[tuple, list] = {}
    shares = [share for *_, share in KINDS]
    while now < begin + seconds:
        if next_req < look:
            now = next_req
            next_req += rng.expovariate(a_second)
            yield from _req(rng, now, ids, names, host, met, shares)
            continue
        now = look
        look += 0.25
        if now >= due:
            due += PERIOD
            came += [
                EndpointLoadReported(
                    node,
                    zone,
                    PERIOD,
                    took / max(1, good),
                    errored,
                    good + errored,
                    LoadReport(None, rng.uniform(0.2, 0.7), None),
                )
                for (node, zone), (good, errored, took) in sorted(met.items())
            ]
            came += [ProxyLoadReported(proxy, 0, rng.randrange(1, 8), 0, PERIOD) for proxy in range(PROXIES)]
            met.clear()
        came += [UpdateAcknowledged(proxy, mark, 0.05) for mark in host.marks for proxy in range(PROXIES)]
        host.marks = []
        tap.round(now, iter(came), host)
        came = []
        yield from out
        out.clear()


def _req(
    rng: Random, now: float, ids: list[int], names: dict, host: _Host, met: dict, shares: list
) -> Iterator[tuple]:
    proxy, at = rng.randrange(PROXIES), rng.choices(range(len(KINDS)), shares)[0]
    kind, req, _ = KINDS[at]
    ids[proxy] += 1
    key = b"" if req.idempotency == Idempotency.IDEMPOTENT else rng.randbytes(8)
    open_to = [node for node, weight in host.weights.items() if weight > 0 and node not in host.out]
    who = f"proxy-{proxy:03}"
    if not open_to:
        yield make(
            REQ, now, ids[proxy], key, who, kind, ZONES[proxy % 2], "", DENIED, 0.0, 0, req.priority_weight
        )
        return
    tries = 0
    while True:
        tries += 1
        node = rng.choices(open_to, [host.weights[one] for one in open_to])[0]
        took, fails = rng.lognormvariate(-3.2, 0.5), rng.random() < 0.01
        row = met.setdefault((node, proxy % 2), [0, 0, 0.0])
        row[1 if fails else 0] += 1
        row[2] += 0.0 if fails else took
        if fails and tries == 1 and req.idempotency == Idempotency.IDEMPOTENT:
            yield make(TRY, now, ids[proxy], key, who, kind, tries, names[node], "RESET", took)
            continue
        yield make(
            REQ,
            now,
            ids[proxy],
            key,
            who,
            kind,
            ZONES[proxy % 2],
            names[node],
            ERRORED if fails else DONE,
            took,
            tries,
            req.priority_weight,
        )
        return
