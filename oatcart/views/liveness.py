"""Decides which controllers have a lease. Free of I/O; the clock is handed in, in seconds.

- Each call of a controller renews its lease.
- A controller whose lease has lapsed keeps its place for a grace period, so that a restart changes no view.
- While more than a stated share of the leases has lapsed, those that are overdue are retained: a network
  partition is likelier than the loss of so many controllers. Each is retained for a bounded time.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from oatcart.views.records import Controller


@dataclass(frozen=True)
class LivenessSettings:
    """For how long a controller may be silent. Times in seconds.

    `lease_duration`: from a call to the end of its lease; `grace_period`: from there until it is overdue;
    `retention`: for which an overdue one stays at most in a mass expiry. It is a mass expiry while the lapsed
    leases are more than `mass_expiry_share` of all and more than `mass_expiry_count`.
    """

    lease_duration: float = 30.0
    grace_period: float = 300.0
    retention: float = 3600.0
    mass_expiry_share: float = 0.1
    mass_expiry_count: int = 10


class LivenessDecision(NamedTuple):
    """What has changed since the last decision.

    `added` are new or have another record, `expired` count no longer. `retained` are overdue and count still,
    because of a mass expiry. `next_decision_at` is when the next decision is due without a call; inf if no
    lease is known.
    """

    added: tuple[Controller, ...]
    expired: tuple[str, ...]
    retained: tuple[str, ...]
    next_decision_at: float


@dataclass(slots=True)
class _Lease:
    controller: Controller
    expires_at: float


class ControllerLiveness:
    """The controllers that count, each with the end of its lease.

    `known` are those that counted before this start, if any: their leases begin at `now`, so that a restart
    decides the same views as before.
    """

    def __init__(self, settings: LivenessSettings, now: float, known: Iterable[Controller] = ()) -> None:
        self._settings = settings
        self._leases: dict[str, _Lease] = {}
        self._added: dict[str, Controller] = {}
        self._removed: set[str] = set()
        for controller in known:
            self.renew(controller, now)

    def renew(self, controller: Controller, called_at: float) -> None:
        """Renews a lease, by a call at `called_at`. Calls may be reported in any order; the latest counts."""
        expires_at = called_at + self._settings.lease_duration
        lease = self._leases.get(controller.name)
        if lease is None:
            self._leases[controller.name] = _Lease(controller, expires_at)
            self._added[controller.name] = controller
        elif expires_at >= lease.expires_at:
            if lease.controller != controller:
                self._added[controller.name] = controller
            lease.controller, lease.expires_at = controller, expires_at

    def remove(self, name: str) -> None:
        """Removes a controller that is gone for good: it expires with the next decision, mass expiry or
        not."""
        if self._leases.pop(name, None) is None:
            return
        self._added.pop(name, None)
        self._removed.add(name)

    def decide(self, now: float) -> LivenessDecision:
        """Ends the leases that are overdue and not retained, and returns all that changed."""
        lapsed = {name: lease for name, lease in self._leases.items() if lease.expires_at <= now}
        overdue = {name for name in lapsed if self._overdue_at(name) <= now}
        retained: set[str] = set()
        if self._is_mass_expiry(len(lapsed)):
            retained = {name for name in overdue if now < self._retained_until(name)}
        expired = overdue - retained
        for name in expired:
            del self._leases[name]
            self._added.pop(name, None)
        decision = LivenessDecision(
            tuple(self._added.values()),
            tuple(sorted(expired | (self._removed - self._leases.keys()))),
            tuple(sorted(retained)),
            min((self._due_at(name, name in retained) for name in self._leases), default=inf),
        )
        self._added.clear()
        self._removed.clear()
        return decision

    def _is_mass_expiry(self, lapsed: int) -> bool:
        share = self._settings.mass_expiry_share * len(self._leases)
        return lapsed > max(self._settings.mass_expiry_count, share)

    def _overdue_at(self, name: str) -> float:
        return self._leases[name].expires_at + self._settings.grace_period

    def _retained_until(self, name: str) -> float:
        return self._overdue_at(name) + self._settings.retention

    def _due_at(self, name: str, is_retained: bool) -> float:
        return self._retained_until(name) if is_retained else self._overdue_at(name)
