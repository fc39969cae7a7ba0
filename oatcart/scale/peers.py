"""Hollow proxies, collectors and endpoints of one controller: what they send, and what they were sent.

Nothing here owns a connection or a clock: `ControllerPeers` yields encoded lines of the protocol, tick by
tick, and takes the bytes of orders. In-process hollow controllers and real ones over sockets are driven by
the same object, so that both meet the same arrivals. What a tick brings is a function of seed and tick
alone; acknowledgements depend on the orders that came.

An endpoint that fails answers nothing but errors in the sums of what proxies met; drains and restarts are
changes of the list, made at discovery.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

import orjson

TICK_S = 0.25  # of the protocol's time between two bundles of reports
REPORT_PERIOD_S = 1.0  # covered by one sum
TICKS_PER_PERIOD = round(REPORT_PERIOD_S / TICK_S)
MAX_LOAD_REPORTS_PER_S = (
    60  # at most; with more endpoints each is met less often, as a few proxies' requests meet it
)
MEAN_DURATION_RANGE_MS = (
    40.0,
    160.0,
)  # the range of mean durations: well under what makes the module lean away from a zone
MAX_IN_FLIGHT = 8  # requests that an endpoint reports to hold
ACKNOWLEDGEMENT_LAG_MS = 1000 * TICK_S
NONCE_KEY = b'"nonce_out":'


class PeerMessage(NamedTuple):
    """A line to a controller: on a proxy's stream, or on the collector's where `proxy` is None."""

    proxy: int | None
    zone: str
    line: bytes


@dataclass(frozen=True)
class PeerSettings:
    """The peers of one controller. `requests_per_proxy` is a rate a second, told at joining and in usage."""

    seed: int
    proxies: int
    zone: str
    routes: tuple[str, ...]
    endpoints: tuple[str, ...]
    requests_per_proxy: float = 15.0


@dataclass
class ProxyTables:
    """What a proxy holds by its orders: weights by route and endpoint, and the endpoints it shuts out."""

    weights: dict[str, dict[str, float]] = field(default_factory=dict)
    admitted_shares: dict[str, float] = field(default_factory=dict)
    ejected: set[str] = field(default_factory=set)

    def apply(self, update: Mapping, routes: Sequence[str]) -> None:
        """Takes one part of an order, as the protocol tells it."""
        for route in update.get("routes", routes):
            if update.get("full"):
                self.weights[route] = {}
                self.admitted_shares.pop(route, None)
            table = self.weights.setdefault(route, {})
            for endpoint, weight in update.get("endpoints", ()):
                if weight > 0:
                    table[endpoint] = weight
                else:
                    table.pop(endpoint, None)
            if "admit" in update:
                self.admitted_shares[route] = update["admit"]
        self.ejected.update(update.get("eject", ()))
        self.ejected.difference_update(update.get("restore", ()))


@dataclass
class PeerTraffic:
    """Bytes and messages between one controller and its peers, as the controller sees them."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0


class ControllerPeers:
    """All peers of one controller. `keep_tables`: updates are applied to tables, else searched for nonces."""

    def __init__(self, settings: PeerSettings, keep_tables: bool = False) -> None:
        self.settings, self.keep_tables = settings, keep_tables
        self.traffic = PeerTraffic()
        self.tables = {number: ProxyTables() for number in range(settings.proxies)}
        self.failing: set[str] = set()
        self._unread = {number: bytearray() for number in self.tables}
        self._ticks = count()
        self._endpoints = sorted(settings.endpoints)
        Random(settings.seed).shuffle(self._endpoints)
        self._load_reports_per_s = min(MAX_LOAD_REPORTS_PER_S, len(self._endpoints))

    def joins(self) -> list[PeerMessage]:
        """What the proxies say first, each on its stream."""
        request_rate = self.settings.requests_per_proxy
        return [
            self._message(
                number,
                {
                    "msg": "joined",
                    "sidecar": number,
                    "az": self.settings.zone,
                    "share": request_rate,
                    "standing": True,
                },
            )
            for number in self.tables
        ]

    def tick(self) -> list[PeerMessage]:
        """All that is said in the next tick: acknowledgements, a part of the usage, sums of what was met."""
        tick = next(self._ticks)
        random = Random(self.settings.seed * 1_000_003 + tick)
        return [*self._acknowledgements(), *self._usage(tick, random), *self._load_reports(tick, random)]

    def receive_data(self, proxy: int, data: bytes) -> None:
        """Bytes that came on a proxy's stream; they are read with the next tick."""
        self.traffic.bytes_out += len(data)
        self._unread[proxy] += data

    def reset_stream(self, proxy: int) -> None:
        """The stream of a proxy has ended: what was cut off is lost, and its next stream starts anew."""
        self._unread[proxy].clear()

    def fail(self, endpoints: Collection[str]) -> None:
        """From now on these endpoints, and no others, fail every request."""
        self.failing = set(endpoints)

    def _acknowledgements(self) -> list[PeerMessage]:
        nonces = {proxy: nonce for proxy in self.tables if (nonce := self._read(proxy)) is not None}
        return [
            self._message(
                proxy,
                {"msg": "applied", "sidecar": proxy, "version": nonce, "lag_ms": ACKNOWLEDGEMENT_LAG_MS},
            )
            for proxy, nonce in nonces.items()
        ]

    def _read(self, proxy: int) -> int | None:
        """Reads whole lines of a stream; the last nonce that was asked for."""
        unread = self._unread[proxy]
        end = unread.rfind(b"\n") + 1
        lines = bytes(unread[:end])
        del unread[:end]
        if not lines:
            return None
        self.traffic.messages_out += lines.count(b"\n")
        if not self.keep_tables:
            return last_nonce(lines)
        nonce = None
        for line in lines.splitlines():
            update = orjson.loads(line)
            self.tables[proxy].apply(update, self.settings.routes)
            nonce = update.get("nonce_out", nonce)
        return nonce

    def _usage(self, tick: int, random: Random) -> list[PeerMessage]:
        """Every proxy tells its usage once a period, a part of the proxies in each tick."""
        count_of_route = self.settings.requests_per_proxy * REPORT_PERIOD_S / len(self.settings.routes)
        reporting = range(tick % TICKS_PER_PERIOD, self.settings.proxies, TICKS_PER_PERIOD)
        return [
            self._message(
                number,
                {
                    "msg": "usage",
                    "sidecar": number,
                    "kind": route,
                    "n": round(count_of_route * random.uniform(0.5, 1.5)),
                    "bad": 0,
                    "window": 1000 * REPORT_PERIOD_S,
                },
            )
            for number in reporting
            for route in self.settings.routes
        ]

    def _load_reports(self, tick: int, random: Random) -> list[PeerMessage]:
        """Sums of a part of the endpoints, in turn: one left out for long would be taken for silent."""
        first = self._load_reports_per_s * tick // TICKS_PER_PERIOD
        after_last = self._load_reports_per_s * (tick + 1) // TICKS_PER_PERIOD
        endpoints = [self._endpoints[place % len(self._endpoints)] for place in range(first, after_last)]
        return [self._message(None, self._load_report(endpoint, random)) for endpoint in endpoints]

    def _load_report(self, endpoint: str, random: Random) -> dict:
        requests_per_s = self.settings.proxies * self.settings.requests_per_proxy
        attempts = max(1, round(requests_per_s / self._load_reports_per_s * random.uniform(0.5, 1.5)))
        return {
            "msg": "heard",
            "az": self.settings.zone,
            "host": endpoint,
            "n": attempts,
            "bad": attempts if endpoint in self.failing else 0,
            "avg": random.uniform(*MEAN_DURATION_RANGE_MS),
            "window": 1000 * REPORT_PERIOD_S,
            "report": {"inflight": random.randrange(MAX_IN_FLIGHT)},
        }

    def _message(self, proxy: int | None, fields: dict) -> PeerMessage:
        line = orjson.dumps(fields) + b"\n"
        self.traffic.bytes_in += len(line)
        self.traffic.messages_in += 1
        return PeerMessage(proxy, self.settings.zone, line)


def last_nonce(lines: bytes) -> int | None:
    """The last nonce asked for in encoded orders, found without reading their tables.

    >>> last_nonce(b'{"msg":"update","nonce_out":904}\\n{"msg":"update","nonce_out":905}\\n')
    905
    """
    at = lines.rfind(NONCE_KEY)
    if at < 0:
        return None
    return int(lines[at + len(NONCE_KEY) :].split(b"}", 1)[0].split(b",", 1)[0])


def collector_line(zone: str) -> bytes:
    """What a collector says first."""
    return orjson.dumps({"msg": "collector", "az": zone}) + b"\n"
