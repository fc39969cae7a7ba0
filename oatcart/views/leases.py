"""The leases of the controllers listed in the deploy file. Free of I/O; times are passed in, in seconds.

`ControllerLiveness` decides which lapsed leases expire. Every listed controller has a lease from the start of
the control role, before its first call, so that a restart of the control role expires no controller.
"""

from collections.abc import Mapping
from typing import NamedTuple

from oatcart.views.liveness import ControllerLiveness, LivenessSettings
from oatcart.views.records import Controller

CHECKS_PER_LEASE = 2


class LeaseCheck(NamedTuple):
    """The result of a check: names of controllers.

    `expired`: lost their lease by this check. `retained`: overdue, but kept because of a mass expiry.
    `is_retention_new`: the previous check retained none.
    """

    expired: tuple[str, ...]
    retained: tuple[str, ...]
    is_retention_new: bool


class LeaseTable:
    """The leases of all listed controllers. `now`: when the control role started, in seconds."""

    def __init__(self, settings: LivenessSettings, controllers: Mapping[str, Controller], now: float) -> None:
        self.check_interval = settings.lease_duration / CHECKS_PER_LEASE  # s
        self.controllers = dict(controllers)
        self.expired: set[str] = set()  # listed controllers without a lease
        self.retained: tuple[str, ...] = ()
        self._liveness = ControllerLiveness(settings, now, controllers.values())

    def renew(self, name: str, now: float) -> bool:
        """Renews the lease of a controller that called. Returns whether it had expired. Unlisted names are
        ignored."""
        controller = self.controllers.get(name)
        if controller is None:
            return False
        self._liveness.renew(controller, now)
        was_expired = name in self.expired
        self.expired.discard(name)
        return was_expired

    def configure(self, controllers: Mapping[str, Controller], now: float) -> None:
        """Replaces the list of controllers. New ones get a lease now, expired ones stay expired."""
        for name in self.controllers.keys() - controllers.keys():
            self._liveness.remove(name)
        for name in controllers.keys() - self.controllers.keys():
            self._liveness.renew(controllers[name], now)
        self.expired &= controllers.keys()
        self.controllers = dict(controllers)

    def check(self, now: float) -> LeaseCheck:
        """Expires the overdue leases, except those that `ControllerLiveness` retains."""
        decision = self._liveness.decide(now)
        expired = tuple(name for name in decision.expired if name in self.controllers)
        self.expired.update(expired)
        is_retention_new = bool(decision.retained) and not self.retained
        self.retained = decision.retained
        return LeaseCheck(expired, decision.retained, is_retention_new)
