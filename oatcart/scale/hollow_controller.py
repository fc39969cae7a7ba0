"""A hollow controller: the real decisions, rounds, codec and endpoint list watcher, without an acceptor.

Its proxies and their collector are objects in the same process (`peers.py`): the real codec decodes their
lines, and the encoded updates are passed to them. Discovery is called over HTTP on loopback.
"""

import time
from collections.abc import Callable, Mapping
from typing import TextIO

from oatcart.errors import InvalidMessageError
from oatcart.events import Event, ProxyJoined, UpdateAcknowledged
from oatcart.net.assembly import DEFAULT_HEALTH_CHECK_TIMEOUT_S, DEFAULT_POLL_WITHIN_S, WATCH_WAIT_FRACTION
from oatcart.net.codec import Codec
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds
from oatcart.policy import Controller
from oatcart.scale.discovery import LOOPBACK
from oatcart.scale.metering import Meter, MeteredLoop
from oatcart.scale.peers import ControllerPeers, PeerMessage
from oatcart.settings import read_seconds, read_socket_controller_settings


class HollowRounds(Rounds):
    """Rounds that notify the fleet when one may be due, so that the loop need not poll all controllers."""

    def __init__(
        self,
        loop: MeteredLoop,
        log: Log,
        codec: Codec,
        min_interval: float,
        unix: float,
        may_be_due: Callable[[], None],
    ) -> None:
        self.may_be_due = may_be_due
        super().__init__(loop, log, codec, min_interval, unix)

    def add_event(self, event: Event) -> None:
        """Adds an event for the next round."""
        super().add_event(event)
        self.may_be_due()

    def _on_scheduled(self) -> None:
        super()._on_scheduled()
        self.may_be_due()

    def _on_gap_over(self) -> None:
        super()._on_gap_over()
        self.may_be_due()


class HollowStream:
    """A proxy's stream inside the process: passes encoded updates to the proxy and never fails."""

    def __init__(self, peers: ControllerPeers, proxy: int) -> None:
        self.peers, self.proxy = peers, proxy

    def write(self, data: bytes) -> None:
        """Passes some bytes to the proxy."""
        self.peers.receive_data(self.proxy, data)


class HollowController:
    """One controller, assembled as `net.assembly.assemble` does but without the acceptor.

    Its log is written to `log_stream`; `may_be_due` is called when a round of it may be due.
    `applied_revisions` has each new revision of its list with the time (s) at which a round had run on it.
    """

    def __init__(
        self,
        shared_loop: Loop,
        settings: Mapping,
        seed: int,
        discovery_port: int,
        log_stream: TextIO,
        may_be_due: Callable[["HollowController"], None],
    ) -> None:
        self.started_at = shared_loop.clock()
        self.meter = Meter()
        self.may_be_due = lambda: may_be_due(self)
        with self.meter:
            self._assemble(MeteredLoop(shared_loop, self.meter), settings, seed, discovery_port, log_stream)
        self.peers: ControllerPeers | None = None
        self.applied_revisions: list[tuple[float, int]] = []
        self.revision = 0  # the last applied revision
        self.ready_after_s = self.ready_core_s = 0.0
        self.may_be_due()

    def _assemble(
        self, loop: MeteredLoop, settings: Mapping, seed: int, discovery_port: int, log_stream: TextIO
    ) -> None:
        log = Log(loop.clock, log_stream)
        codec = Codec(
            [request_class["name"] for request_class in settings["grades"]],
            settings["zones"],
            settings["specifics"]["proxyCount"],
        )
        quantum = read_seconds(settings, "quantum")
        self.rounds = HollowRounds(loop, log, codec, quantum, time.time(), self.may_be_due)
        poll_within = read_seconds(settings.get("rules") or {}, "askWithin", DEFAULT_POLL_WITHIN_S)
        wait = WATCH_WAIT_FRACTION * poll_within
        self.watcher = EndpointListWatcher(
            loop, codec, log, (LOOPBACK, discovery_port), wait, self.rounds.add_event
        )
        limits, reports = settings.get("policyLimits") or {}, settings.get("report") or {}
        health_checker = HealthChecker(
            loop,
            reports.get("how", "off") != "off",
            read_seconds(limits, "connectTimeout", DEFAULT_HEALTH_CHECK_TIMEOUT_S),
            self.watcher.addresses,
            self.rounds.add_event,
        )
        decisions = Controller(read_socket_controller_settings(settings), seed)
        self.rounds.start(decisions.round, self.watcher, health_checker)
        self.rounds.is_due = True

    def turn(self) -> None:
        """Runs a round if one is due."""
        with self.meter:
            self.rounds.run_if_due()
        if self.watcher.revision > self.revision and not self.rounds.events:
            self._record_revision(self.rounds.loop.clock())

    def _record_revision(self, now: float) -> None:
        if not self.applied_revisions:
            self.ready_after_s, self.ready_core_s = now - self.started_at, self.meter.core_s
        self.revision = self.watcher.revision
        self.applied_revisions.append((now, self.revision))

    def join(self, peers: ControllerPeers) -> None:
        """Lets all its proxies join."""
        self.peers = peers
        self.receive(peers.joins())

    def receive(self, messages: list[PeerMessage]) -> None:
        """Processes messages of its peers as the tasks of the acceptor do, which skip invalid ones."""
        with self.meter:
            for message in messages:
                try:
                    event = self.rounds.codec.decode_message(memoryview(message.line))
                except InvalidMessageError:  # a load report of an endpoint that is not listed
                    continue
                if isinstance(event, ProxyJoined):
                    self.rounds.join(
                        message.proxy, event.unconfigured, HollowStream(self.peers, message.proxy)
                    )
                elif isinstance(event, UpdateAcknowledged) and not self.rounds.was_sent(
                    message.proxy, event.nonce
                ):
                    continue
                self.rounds.add_event(event)

    def known_endpoints(self) -> list[str]:
        """Returns the ids of all endpoints that have a number at this controller."""
        return list(self.rounds.codec.endpoint_numbers)
