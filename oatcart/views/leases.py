"""The conductors of the file and their leases: who falls silent, who comes back. Free of I/O; the clock is
handed in, in seconds.

`AliveConductors` decides whose silence is believed. A conductor of the file that has never called has a lease
from the start, so that a control role which has just started drops nobody.
"""

from collections.abc import Mapping
from typing import NamedTuple

from oatcart.views.liveness import ControllerLiveness, LivenessSettings
from oatcart.views.records import Controller

CHECKS_PER_LEASE = 2


class LeaseCheck(NamedTuple):
    """What a check has found. `expired` do not count as alive from now on. `retained` are overdue and stay,
    as too many are silent at once. `is_retention_new`: nobody was doubted at the last check."""

    expired: tuple[str, ...]
    retained: tuple[str, ...]
    is_retention_new: bool


class LeaseTable:
    """The leases of the conductors of the file."""

    def __init__(self, settings: LivenessSettings, controllers: Mapping[str, Controller], now: float) -> None:
        self.check_interval = settings.lease_duration / CHECKS_PER_LEASE
        self.controllers = dict(controllers)
        self.expired: set[str] = set()  # conductors of the file that do not count as alive
        self.retained: tuple[str, ...] = ()
        self._liveness = ControllerLiveness(settings, now, controllers.values())

    def renew(self, name: str, now: float) -> bool:
        """A conductor calls; hands back whether it was silent and is back. Unknown names are ignored."""
        controller = self.controllers.get(name)
        if controller is None:
            return False
        self._liveness.renew(controller, now)
        was_expired = name in self.expired
        self.expired.discard(name)
        return was_expired

    def configure(self, controllers: Mapping[str, Controller], now: float) -> None:
        """Other conductors in the file. New ones have a lease from now on; those that were silent stay so."""
        for name in self.controllers.keys() - controllers.keys():
            self._liveness.forget(name)
        for name in controllers.keys() - self.controllers.keys():
            self._liveness.renew(controllers[name], now)
        self.expired &= controllers.keys()
        self.controllers = dict(controllers)

    def check(self, now: float) -> LeaseCheck:
        """Believe the silence of those that were silent for too long."""
        decision = self._liveness.decide(now)
        expired = tuple(name for name in decision.expired if name in self.controllers)
        self.expired.update(expired)
        is_retention_new = bool(decision.retained) and not self.retained
        self.retained = decision.retained
        return LeaseCheck(expired, decision.retained, is_retention_new)
