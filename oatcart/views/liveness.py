"""Which conductors count as alive. Free of I/O; the clock is handed in, in seconds.

- Each call of a conductor renews its lease. It counts as alive at once.
- One whose lease has run out is silent. It stays for a grace, so that a restart within it moves nothing.
- While more than a stated share of the conductors are silent, the silence is doubted: a network cut is
  likelier than the loss of so many conductors. All stay then, each for a stated hold after its grace.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from oatcart.views.records import Controller


@dataclass(frozen=True)
class LivenessSettings:
    """How long silence is borne. `lease`, `grace` and `hold` are seconds.

    Silence is doubted while the silent conductors are more than `mass_expiry_share` of all and more than
    `mass_expiry_count`.
    """

    lease_duration: float = 30.0
    grace_period: float = 300.0
    retention: float = 3600.0
    mass_expiry_share: float = 0.1
    mass_expiry_count: int = 10


class LivenessDecision(NamedTuple):
    """What has changed since the last decision.

    `added` came or have another record, `expired` no longer count as alive. `retained` have been silent for
    longer than the grace and stay while silence is doubted. `next_decision_at` is when the next decision is
    due without a call; inf where everyone's silence has to begin first.
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
    """The conductors that count as alive.

    `known` are those that counted as alive before this control machine started, as far as it has been told:
    their leases begin at its start, so that a restarted control machine decides the views that it decided
    before.
    """

    def __init__(self, settings: LivenessSettings, now: float, known: Iterable[Controller] = ()) -> None:
        self._settings = settings
        self._leases: dict[str, _Lease] = {}
        self._added: dict[str, Controller] = {}
        self._forgotten: set[str] = set()
        for controller in known:
            self.renew(controller, now)

    def renew(self, controller: Controller, called_at: float) -> None:
        """A conductor called, here or, as another control machine tells, there.

        Calls may be told in any order; the latest one counts.
        """
        expires_at = called_at + self._settings.lease_duration
        lease = self._leases.get(controller.name)
        if lease is None:
            self._leases[controller.name] = _Lease(controller, expires_at)
            self._added[controller.name] = controller
        elif expires_at >= lease.expires_at:
            if lease.controller != controller:
                self._added[controller.name] = controller
            lease.controller, lease.expires_at = controller, expires_at

    def forget(self, name: str) -> None:
        """A conductor is known to be gone for good: it is dropped with the next decision, doubt or not."""
        if self._leases.pop(name, None) is None:
            return
        self._added.pop(name, None)
        self._forgotten.add(name)

    def decide(self, now: float) -> LivenessDecision:
        """Drop those that were silent for too long, and tell all that changed."""
        settings = self._settings
        lapsed = {name: lease for name, lease in self._leases.items() if lease.expires_at <= now}
        overdue = {name for name, lease in lapsed.items() if lease.expires_at + settings.grace_period <= now}
        retained: set[str] = set()
        if self._is_mass_expiry(len(lapsed)):
            retained = {name for name in overdue if now < self._retained_until(name)}
        expired = overdue - retained
        for name in expired:
            del self._leases[name]
            self._added.pop(name, None)
        decision = LivenessDecision(
            tuple(self._added.values()),
            tuple(sorted(expired | (self._forgotten - self._leases.keys()))),
            tuple(sorted(retained)),
            min((self._due_at(name, name in retained) for name in self._leases), default=inf),
        )
        self._added.clear()
        self._forgotten.clear()
        return decision

    def _is_mass_expiry(self, lapsed: int) -> bool:
        return lapsed > max(
            self._settings.mass_expiry_count, self._settings.mass_expiry_share * len(self._leases)
        )

    def _retained_until(self, name: str) -> float:
        return self._leases[name].expires_at + self._settings.grace_period + self._settings.retention

    def _due_at(self, name: str, is_retained: bool) -> float:
        return (
            self._retained_until(name)
            if is_retained
            else self._leases[name].expires_at + self._settings.grace_period
        )
