"""The conductors of the file and their leases: who falls silent, who comes back. Free of I/O; the clock is
handed in, in seconds.

`AliveConductors` decides whose silence is believed. A conductor of the file that has never called has a lease
from the start, so that a control role which has just started drops nobody.
"""

from collections.abc import Mapping
from typing import NamedTuple

from oatcart.views.alive import AliveConductors, AliveSettings
from oatcart.views.records import Controller

CHECKS_PER_LEASE = 2


class Silence(NamedTuple):
    """What a check has found. `left` do not count as alive from now on. `doubted` are overdue and stay, as
    too many are silent at once. `is_new_doubt`: nobody was doubted at the last check."""

    left: tuple[str, ...]
    doubted: tuple[str, ...]
    is_new_doubt: bool


class Leases:
    """The leases of the conductors of the file."""

    def __init__(self, settings: AliveSettings, controllers: Mapping[str, Controller], now: float) -> None:
        self.check_every = settings.lease / CHECKS_PER_LEASE
        self.controllers = dict(controllers)
        self.silent: set[str] = set()  # conductors of the file that do not count as alive
        self.doubted: tuple[str, ...] = ()
        self._alive = AliveConductors(settings, now, controllers.values())

    def renew(self, name: str, now: float) -> bool:
        """A conductor calls; hands back whether it was silent and is back. Unknown names are ignored."""
        controller = self.controllers.get(name)
        if controller is None:
            return False
        self._alive.renew(controller, now)
        is_back = name in self.silent
        self.silent.discard(name)
        return is_back

    def configure(self, controllers: Mapping[str, Controller], now: float) -> None:
        """Other conductors in the file. New ones have a lease from now on; those that were silent stay so."""
        for name in self.controllers.keys() - controllers.keys():
            self._alive.forget(name)
        for name in controllers.keys() - self.controllers.keys():
            self._alive.renew(controllers[name], now)
        self.silent &= controllers.keys()
        self.controllers = dict(controllers)

    def check(self, now: float) -> Silence:
        """Believe the silence of those that were silent for too long."""
        decision = self._alive.decide(now)
        left = tuple(name for name in decision.dropped if name in self.controllers)
        self.silent.update(left)
        is_new_doubt = bool(decision.doubted) and not self.doubted
        self.doubted = decision.doubted
        return Silence(left, decision.doubted, is_new_doubt)
