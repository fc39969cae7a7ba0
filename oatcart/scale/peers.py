"""Hollow proxies, collectors and endpoints of one controller: messages sent and updates received.

This module has no connections and no clock: `ControllerPeers` returns encoded lines of the protocol for each
tick and receives the bytes of updates. The same object drives hollow controllers in their own process and
real ones over sockets, so that both receive the same arrivals. The messages of a tick depend on seed and tick
alone, but acknowledgements depend on the updates received.

All requests to a failing endpoint are errors in the load reports; drains and restarts are changes of the
list, made at discovery.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

import orjson

TICK_S = 0.25  # time between two bundles of reports, set by the protocol
REPORT_PERIOD_S = 1.0  # covered by one report
TICKS_PER_PERIOD = round(REPORT_PERIOD_S / TICK_S)
# With more endpoints each is reported less often, as a few proxies send only so many requests.
MAX_LOAD_REPORTS_PER_S = 60
# Mean durations are well under those at which the decision module spills over to other zones.
MEAN_DURATION_RANGE_MS = 40.0, 160.0
IN_FLIGHT_BOUND = 8  # endpoints report fewer requests in flight than this
ACKNOWLEDGEMENT_LAG_MS = 1000 * TICK_S
NONCE_KEY = b'"nonce_out":'


class PeerMessage(NamedTuple):
    """A line to a controller: on a proxy's stream, or on the collector's if `proxy` is None."""

    proxy: int | None
    zone: str
    line: bytes


@dataclass(frozen=True)
class PeerSettings:
    """The peers of one controller.

    `requests_per_proxy` is a rate a second, which proxies state when they join and report as usage.
    """

    seed: int
    proxies: int
    zone: str
    routes: tuple[str, ...]
    endpoints: tuple[str, ...]
    requests_per_proxy: float = 15.0


@dataclass
class ProxyTables:
    """The state of a proxy after its updates.

    Weights by route and endpoint, admitted shares by route, and the ejected endpoints.
    """

    weights: dict[str, dict[str, float]] = field(default_factory=dict)
    admitted_shares: dict[str, float] = field(default_factory=dict)
    ejected: set[str] = field(default_factory=set)

    def apply(self, update: Mapping, routes: Sequence[str]) -> None:
        """Applies one part of an update, as the protocol defines it."""
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
    """All peers of one controller.

    `keep_tables`: updates are decoded and applied to `tables`; otherwise only their nonces are read.
    """

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
        """Returns the first message of each proxy, on its stream."""
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
        """Returns all messages of the next tick: acknowledgements, usage and load reports."""
        tick = next(self._ticks)
        random = Random(self.settings.seed * 1_000_003 + tick)
        return [*self._acknowledgements(), *self._usage(tick, random), *self._load_reports(tick, random)]

    def receive_data(self, proxy: int, data: bytes) -> None:
        """Adds bytes received on a proxy's stream, which the next tick reads."""
        self.traffic.bytes_out += len(data)
        self._unread[proxy] += data

    def reset_stream(self, proxy: int) -> None:
        """Drops the incomplete line of a proxy's stream that has ended, before its next stream starts."""
        self._unread[proxy].clear()

    def fail(self, endpoints: Collection[str]) -> None:
        """Makes these endpoints, and no others, fail every request."""
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
        """Reads the complete lines of a stream; returns the last nonce to be acknowledged, or None."""
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
        """Returns usage messages: every proxy reports once a period, a part of the proxies in each tick."""
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
        """Returns load reports of a part of the endpoints.

        The endpoints take turns, because one that is not reported for long is taken for unresponsive.
        """
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
            "report": {"inflight": random.randrange(IN_FLIGHT_BOUND)},
        }

    def _message(self, proxy: int | None, fields: dict) -> PeerMessage:
        line = orjson.dumps(fields) + b"\n"
        self.traffic.bytes_in += len(line)
        self.traffic.messages_in += 1
        return PeerMessage(proxy, self.settings.zone, line)


def last_nonce(lines: bytes) -> int | None:
    """Returns the last nonce in encoded updates, found without decoding their tables; None if there is none.

    >>> last_nonce(b'{"msg":"update","nonce_out":904}\\n{"msg":"update","nonce_out":905}\\n')
    905
    """
    at = lines.rfind(NONCE_KEY)
    if at < 0:
        return None
    return int(lines[at + len(NONCE_KEY) :].split(b"}", 1)[0].split(b",", 1)[0])


def collector_line(zone: str) -> bytes:
    """Returns the first message of a collector."""
    return orjson.dumps({"msg": "collector", "az": zone}) + b"\n"
