"""Decides which controllers have a lease. Free of I/O; times are passed in, in seconds.

- Each call of a controller renews its lease.
- A lapsed lease is kept for a grace period, after which it is overdue, so that the restart of a controller
  changes no view.
- While more than a configured share of all leases is lapsed (a mass expiry), overdue leases are retained for
  a bounded time: a network partition is likelier than the loss of so many controllers.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from oatcart.views.records import Controller


@dataclass(frozen=True)
class LivenessSettings:
    """How long a controller may go without a call. Times in seconds.

    `lease_duration`: from a call until the lease lapses; `grace_period`: from then until it is overdue;
    `retention`: the longest time that an overdue lease is retained in a mass expiry. A mass expiry lasts
    while more than `mass_expiry_share` of all leases, and more than `mass_expiry_count` of them, are lapsed.
    """

    lease_duration: float = 30.0
    grace_period: float = 300.0
    retention: float = 3600.0
    mass_expiry_share: float = 0.1
    mass_expiry_count: int = 10


class LivenessDecision(NamedTuple):
    """The changes since the last decision.

    `added`: new controllers, or those with a changed record; `expired`: no longer have a lease; `retained`:
    overdue, but kept because of a mass expiry. `next_decision_at`: when the next decision is due if no
    controller calls; inf without any lease.
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
    """The leases of all controllers.

    `known`: controllers that had a lease before the start, if any. Their leases begin at `now`, so that a
    restart leads to the same views as before.
    """

    def __init__(self, settings: LivenessSettings, now: float, known: Iterable[Controller] = ()) -> None:
        self._settings = settings
        self._leases: dict[str, _Lease] = {}
        self._added: dict[str, Controller] = {}
        self._removed: set[str] = set()
        for controller in known:
            self.renew(controller, now)

    def renew(self, controller: Controller, called_at: float) -> None:
        """Renews a lease for a call at `called_at`. Calls may be reported in any order; the latest one
        applies."""
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
        """Removes a controller for good: it expires with the next decision, even in a mass expiry."""
        if self._leases.pop(name, None) is None:
            return
        self._added.pop(name, None)
        self._removed.add(name)

    def decide(self, now: float) -> LivenessDecision:
        """Expires the leases that are overdue and not retained, and returns all changes."""
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
