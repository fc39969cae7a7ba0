"""Checks of the protocol's rules on the tables and resources that the clients of a run hold."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from soak.controller import SETTINGS, Controller
from soak.fleet import DRAINING, GONE, READY, Endpoint, Fleet
from soak.sidecar import REQUEST_CLASSES

SLACK_S = 0.3  # added to each time limit, as the protocol allows
CHECK_AFTER_READY_S = 1.0  # time limits start no sooner than this after the controller first answered
# A controller counts as notified of a change after this time even if discovery sent it no answer.
MAX_DISCOVERY_DELAY_S = 6.0
DRAIN_DEADLINE_S = SETTINGS["rules"]["stopSendingWithin"] / 1000
MAX_EMPTY_S = SETTINGS["specifics"]["emptyFor"] / 1000
WARM_UP_S = SETTINGS["rules"]["cold"] / 1000
INITIAL_FRACTION = SETTINGS["rules"]["coldShare"]
OVERLOAD_MULTIPLE = SETTINGS["rules"]["tipMultiple"]


class ClientView(NamedTuple):
    """What a client holds at the time of a check, whether it is a proxy or an xDS client.

    `since`: monotonic s; it has been connected and reading. `usable`: by request class, the weights of the
    endpoints that it may send requests to.
    """

    name: str
    controller: Controller
    since: float
    usable: dict[str, dict[str, float]]
    # False: it may have none until it first has one, as new xDS clients wait for the push budget
    must_have_endpoint: bool


class Rules:
    """Checks the rules on all clients, and keeps since when each has had no endpoint.

    `failures`: messages, each once, in the order of detection.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.empty_since: dict[tuple[str, str], float] = {}
        self.had_endpoint: set[tuple[str, str]] = set()
        self.failures: dict[str, None] = {}
        self.checked = 0

    def check(self, clients: Iterable[ClientView], lateness: float) -> None:
        """Check all rules; `lateness`: s by which this check, and so the clients' reading, is delayed."""
        now = time.monotonic()
        for client in clients:
            start = max(client.since, client.controller.ready_at + CHECK_AFTER_READY_S)
            for request_class in REQUEST_CLASSES:
                self._check_empty(client, request_class, start, now, lateness)
                for endpoint in self.fleet.endpoints:
                    self._check_drain(client, request_class, endpoint, start, now, lateness)
                    self._check_warm_up(client, request_class, endpoint, start, now, lateness)
            self.checked += 1

    def _check_drain(self, client, request_class: str, endpoint: Endpoint, start, now, lateness) -> None:
        """Check that the client no longer sends requests to an endpoint after its drain deadline."""
        if endpoint.state not in (DRAINING, GONE) or endpoint.name not in client.usable[request_class]:
            return
        notified_at = client.controller.discovery.notified_at(
            endpoint.revision, endpoint.changed_at, MAX_DISCOVERY_DELAY_S
        )
        overdue = now - max(notified_at, start) - DRAIN_DEADLINE_S - SLACK_S - lateness
        if overdue > 0:
            self._record_failure(
                f"rule 3: {client.name} still sends {request_class} to {endpoint.name} ({endpoint.state})",
                overdue,
            )

    def _check_empty(self, client, request_class: str, start, now, lateness) -> None:
        """Check how long the client has had no endpoint while a healthy one was ready and warmed up."""
        key = client.name, request_class
        warmed_up = [
            endpoint
            for endpoint in self.fleet.endpoints
            if endpoint.state == READY
            and time.time() - endpoint.started_ms / 1000 >= WARM_UP_S
            and endpoint.is_healthy
        ]
        may_be_empty = not client.must_have_endpoint and key not in self.had_endpoint
        if client.usable[request_class] or not warmed_up or may_be_empty:
            self.empty_since.pop(key, None)
            self.had_endpoint |= {key} if client.usable[request_class] else set()
            return
        since = max(self.empty_since.setdefault(key, now), start)
        overdue = now - since - MAX_EMPTY_S - SLACK_S - lateness
        if overdue > 0:
            self._record_failure(f"rule 1: {client.name} has no endpoint for {request_class}", overdue)

    def _check_warm_up(self, client, request_class: str, endpoint: Endpoint, start, now, lateness) -> None:
        """Check the weight of an endpoint that is warming up.

        It may not exceed the overload multiple of its present capacity, relative to the mean weight of the
        endpoints that are warmed up.
        """
        age = time.time() - endpoint.started_ms / 1000
        weights = client.usable[request_class]
        if endpoint.state != READY or age >= WARM_UP_S or endpoint.name not in weights:
            return
        notified_at = client.controller.discovery.notified_at(
            endpoint.revision, endpoint.changed_at, MAX_DISCOVERY_DELAY_S
        )
        if now - max(notified_at, start) <= DRAIN_DEADLINE_S + SLACK_S + lateness:
            return
        others = [
            weights[other.name]
            for other in self.fleet.endpoints
            if other.name in weights and time.time() - other.started_ms / 1000 >= WARM_UP_S
        ]
        capacity = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * age / WARM_UP_S
        if others and weights[endpoint.name] > OVERLOAD_MULTIPLE * capacity * sum(others) / len(others):
            self._record_failure(
                f"rule 4: {client.name} overloads {endpoint.name}, which warms up, "
                f"at weight {weights[endpoint.name]}",
                0.0,
            )

    def _record_failure(self, text: str, overdue: float) -> None:
        if text not in self.failures:
            self.failures[text] = None
            self.failures[f"  found {overdue:.2f} s after the time limit"] = None
