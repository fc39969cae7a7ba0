"""The rules as they are held against what the clients of a run hold, with the protocol's slack."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from soak.controller import SETTINGS, Controller
from soak.fleet import DRAINING, GONE, READY, Endpoint, Fleet
from soak.sidecar import CLASSES

SLACK_S = 0.3  # time limits are longer by this
AFTER_READY_S = 1.0  # and start no sooner than this after the controller first answered
TOLD_AFTER_S = 6.0  # a change counts as told by then
GRACE_S = SETTINGS["rules"]["stopSendingWithin"] / 1000
EMPTY_FOR_S = SETTINGS["specifics"]["emptyFor"] / 1000
COLD_S = SETTINGS["rules"]["cold"] / 1000
COLD_SHARE = SETTINGS["rules"]["coldShare"]
OVERLOAD_MULTIPLE = SETTINGS["rules"]["tipMultiple"]


class Holder(NamedTuple):
    """A client as the rules see it. `usable`: weights by endpoint, by class."""

    name: str
    controller: Controller
    since: float
    usable: dict[str, dict[str, float]]
    must_have_endpoint: bool  # or only once it had one: new xDS clients wait for the push budget


class Rules:
    """Checks all holders at one time; keeps since when one has had no endpoint. `faults`: in words."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.empty_since: dict[tuple[str, str], float] = {}
        self.had_endpoint: set[tuple[str, str]] = set()
        self.faults: dict[str, None] = {}
        self.checked = 0

    def check(self, holders: Iterable[Holder], lateness: float) -> None:
        """`lateness`: s that this check comes late, which the clients' reading was late as well."""
        now = time.monotonic()
        for holder in holders:
            start = max(holder.since, holder.controller.ready_at + AFTER_READY_S)
            for name in CLASSES:
                self._check_empty(holder, name, start, now, lateness)
                for endpoint in self.fleet.endpoints:
                    self._check_drain(holder, name, endpoint, start, now, lateness)
                    self._check_cold(holder, name, endpoint, start, now, lateness)
            self.checked += 1

    def _check_drain(self, holder, name: str, endpoint: Endpoint, start, now, lateness) -> None:
        if endpoint.state not in (DRAINING, GONE) or endpoint.name not in holder.usable[name]:
            return
        told = holder.controller.discovery.told_of(endpoint.revision, endpoint.changed_at, TOLD_AFTER_S)
        late = now - max(told, start) - GRACE_S - SLACK_S - lateness
        if late > 0:
            self._fault(
                f"rule 3: {holder.name} still sends {name} to {endpoint.name} ({endpoint.state})", late
            )

    def _check_empty(self, holder, name: str, start, now, lateness) -> None:
        key = holder.name, name
        warm = [
            one
            for one in self.fleet.endpoints
            if one.state == READY and time.time() - one.started_ms / 1000 >= COLD_S and one.is_healthy
        ]
        may_be_empty = not holder.must_have_endpoint and key not in self.had_endpoint
        if holder.usable[name] or not warm or may_be_empty:
            self.empty_since.pop(key, None)
            self.had_endpoint |= {key} if holder.usable[name] else set()
            return
        since = max(self.empty_since.setdefault(key, now), start)
        late = now - since - EMPTY_FOR_S - SLACK_S - lateness
        if late > 0:
            self._fault(f"rule 1: {holder.name} has no endpoint for {name}", late)

    def _check_cold(self, holder, name: str, endpoint: Endpoint, start, now, lateness) -> None:
        """A weight over the overload multiple of the present capacity, beside the mean of warm endpoints."""
        age = time.time() - endpoint.started_ms / 1000
        weights = holder.usable[name]
        if endpoint.state != READY or age >= COLD_S or endpoint.name not in weights:
            return
        told = holder.controller.discovery.told_of(endpoint.revision, endpoint.changed_at, TOLD_AFTER_S)
        if now - max(told, start) <= GRACE_S + SLACK_S + lateness:
            return
        warm = [
            weights[one.name]
            for one in self.fleet.endpoints
            if one.name in weights and time.time() - one.started_ms / 1000 >= COLD_S
        ]
        capacity = COLD_SHARE + (1 - COLD_SHARE) * age / COLD_S
        if warm and weights[endpoint.name] > OVERLOAD_MULTIPLE * capacity * sum(warm) / len(warm):
            self._fault(f"rule 4: {holder.name} has {endpoint.name} at {weights[endpoint.name]}", 0.0)

    def _fault(self, text: str, late: float) -> None:
        if text not in self.faults:
            self.faults[text] = None
            self.faults[f"  seen {late:.2f} s past the limit"] = None
