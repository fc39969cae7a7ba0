"""The controller: runs the steps of a round in order. Each step is implemented in its own module."""

from random import Random

from oatcart.commands import NONCE_COUNT, CommandWriter
from oatcart.events import (
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    Events,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import ControllerSettings
from oatcart.policy.assignment import Assignment, ProxyDirectory
from oatcart.policy.discovery import EndpointDiscovery, apply_endpoint_list
from oatcart.policy.draining import Draining
from oatcart.policy.flow_control import UpdateChannel
from oatcart.policy.load_shedding import LoadShedding
from oatcart.policy.locality import ZoneSpillover
from oatcart.policy.outlier_detection import OutlierDetection, restore_empty_pools
from oatcart.policy.publication import Publication
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.scoring import rescore
from oatcart.policy.state import LONG_AGO, Round
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.telemetry import Telemetry
from oatcart.policy.weighting import Weighting
from oatcart.policy.workload import Workload

CHECK_INTERVAL_S = 0.25  # between checks; far below any drain deadline
RESCORE_INTERVAL_S = 1.0  # between updates of scores, spillover and admission
CLOCK_ERROR_S = 0.001  # a round may start early by this much, as clocks round


class Controller:
    """Makes the decisions for the proxies joined to it; an adapter calls `round` with the received events."""

    def __init__(self, settings: ControllerSettings, seed: int) -> None:
        """`seed`: for all random numbers; the same seed and events give the same commands."""
        uniform = Random(seed).uniform
        classes = settings.request_classes
        self.settings = settings
        self.channel = UpdateChannel(settings.channel, settings.drain_deadline)
        self.registry = EndpointRegistry()
        self.directory = ProxyDirectory(len(classes), self.channel)
        self.telemetry = Telemetry(settings.report_period, classes)
        self.discovery = EndpointDiscovery(settings.discovery, uniform)
        self.outliers = OutlierDetection(self.telemetry, settings.health_checks_allowed)
        self.routing = TableRegistry(settings, self.registry, uniform)
        self.spillover = ZoneSpillover()
        self.workload = Workload(classes, self.registry, self.routing)
        self.shedding = LoadShedding(settings, self.telemetry, self.routing, self.workload, self.channel)
        weighting = Weighting(settings.warm_up, self.routing, self.spillover, self.workload, self.shedding)
        proxies = self.directory.proxies
        self.publication = Publication(
            settings.warm_up, self.registry, proxies, self.routing, weighting, self.channel
        )
        self.draining = Draining(
            self.registry, proxies, self.routing, self.channel, settings.single_proxy_ejections
        )
        self.assignment = Assignment(
            self.registry, proxies, self.routing, self.workload, self.shedding, self.publication, self.channel
        )
        self._last_nonce = 0
        self._next_check_at = LONG_AGO
        self._next_rescore_at = LONG_AGO

    def round(self, now: float, events: Events, commands: CommandWriter) -> None:
        """Applies all events since the last round and gives commands; `now` (s) never decreases.

        An invalid event raises an error. The events after it are not read; the caller may pass them in
        another call with the same `now`.
        """
        this_round = Round(now, commands, (self._last_nonce + 1) % NONCE_COUNT)
        self.channel.begin_round(now)
        for event in events:
            self._apply_event(event, now)
        self.discovery.poll(this_round)
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S - CLOCK_ERROR_S
            commands.schedule_round(CHECK_INTERVAL_S)
            self.check(this_round)
        if self.channel.round_has_messages:
            self._last_nonce = this_round.nonce
            commands.request_ack(this_round.nonce, False)
            self.channel.end_round(this_round.nonce)

    def _apply_event(self, event: Event, now: float) -> None:
        match event:
            case UpdateAcknowledged():
                self.directory.acknowledge(event)
            case EndpointLoadReported():
                self.telemetry.record_endpoint_load(self.registry.get_or_create(event.endpoint), event)
            case ProxyLoadReported():
                if proxy := self.directory.proxies.get(event.proxy):
                    self.telemetry.record_proxy_load(proxy, event)
            case ProxyJoined():
                self.directory.join(event, now)
            case ProxyLeft():
                self.directory.leave(event.proxy)
            case HealthCheckCompleted():
                if endpoint := self.registry.endpoints.get(event.endpoint):
                    self.outliers.record_health_check(endpoint, event.outcome)
            case EndpointListReceived():
                self._apply_endpoint_list(event, now)
            case EndpointListFailed():
                self.discovery.record_failure(event.call, now)
            case _:
                raise TypeError(f"unknown type of event: {event!r}")

    def _apply_endpoint_list(self, event: EndpointListReceived, now: float) -> None:
        """Applies an endpoint list; the checks and scores that depend on it run in this round."""
        self.discovery.record_list(now)
        self._next_check_at = LONG_AGO
        self._next_rescore_at = LONG_AGO
        apply_endpoint_list(event, self.registry, self.outliers, self.settings.warm_up, now)

    def check(self, this_round: Round) -> None:
        """Runs every CHECK_INTERVAL_S: ejections, removals, assignment, weights; scores once a second.

        Removals are the first to reserve lines of the channel. Endpoints are restored after their new weights
        are sent.
        """
        self._update_ejections(this_round.now)
        self.workload.update()
        rescored = this_round.now >= self._next_rescore_at
        if rescored:
            self._next_rescore_at = this_round.now + RESCORE_INTERVAL_S - CLOCK_ERROR_S
            self._run_rescore_steps(this_round)
        self.routing.assign_endpoints()
        self.draining.remove_unavailable(this_round)
        self.assignment.assign_joined(this_round)
        self.draining.send_earlier_ejections(this_round)
        all_assigned = self.directory.all_assigned()
        unblocked = not self.routing.has_subsets or all_assigned
        for table in self.routing.used_tables():
            self.publication.publish(table, this_round, rescored, unblocked)
        self.draining.restore_available(this_round)
        self.draining.forget_gone(this_round, all_assigned)

    def _update_ejections(self, now: float) -> None:
        """Ejects and restores outliers, and decays the sums of load reports."""
        pools = self.routing.pools()
        self.outliers.check(self.registry.pool(), pools, now)
        # the nominal interval, also for a check that runs early because of an endpoint list
        self.telemetry.decay(self.registry.endpoints.values(), CHECK_INTERVAL_S)
        restore_empty_pools(pools)

    def _run_rescore_steps(self, this_round: Round) -> None:
        """Runs the steps that are due once a second: health checks, scores, spillover, admission."""
        ready = self.registry.pool()
        if self.settings.health_checks_allowed:
            for number, endpoint in ready.items():
                if endpoint.ejected:
                    this_round.commands.check_health(number)
        self.telemetry.update_latency_objective(self.directory.proxies.values())
        rescore(ready.values(), self.settings.discovery.lists_weights)
        tables = self.routing.tables.values()
        self.spillover.update(tables, ready.values(), self.telemetry.latency_objective)
        for table in self.routing.used_tables():
            self.shedding.adjust(table, this_round.now)
            self.shedding.send_admission(table, this_round)
