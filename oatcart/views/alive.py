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
class AliveSettings:
    """How long silence is borne. `lease`, `grace` and `hold` are seconds.

    Silence is doubted while the silent conductors are more than `doubt_share` of all and more than
    `doubt_least`.
    """

    lease: float = 30.0
    grace: float = 300.0
    hold: float = 3600.0
    doubt_share: float = 0.1
    doubt_least: int = 10


class Decision(NamedTuple):
    """What has changed since the last decision.

    `put` came or have another record, `dropped` no longer count as alive. `doubted` have been silent for
    longer than the grace and stay while silence is doubted. `next_at` is when the next decision is due
    without a call; inf where everyone's silence has to begin first.
    """

    put: tuple[Controller, ...]
    dropped: tuple[str, ...]
    doubted: tuple[str, ...]
    next_at: float


@dataclass(slots=True)
class _Lease:
    controller: Controller
    ends_at: float


class AliveConductors:
    """The conductors that count as alive.

    `known` are those that counted as alive before this control machine started, as far as it has been told:
    their leases begin at its start, so that a restarted control machine decides the views that it decided
    before.
    """

    def __init__(self, settings: AliveSettings, now: float, known: Iterable[Controller] = ()) -> None:
        self._settings = settings
        self._leases: dict[str, _Lease] = {}
        self._put: dict[str, Controller] = {}
        self._forgotten: set[str] = set()
        for controller in known:
            self.renew(controller, now)

    def renew(self, controller: Controller, called_at: float) -> None:
        """A conductor called, here or, as another control machine tells, there.

        Calls may be told in any order; the latest one counts.
        """
        ends_at = called_at + self._settings.lease
        lease = self._leases.get(controller.name)
        if lease is None:
            self._leases[controller.name] = _Lease(controller, ends_at)
            self._put[controller.name] = controller
        elif ends_at >= lease.ends_at:
            if lease.controller != controller:
                self._put[controller.name] = controller
            lease.controller, lease.ends_at = controller, ends_at

    def forget(self, name: str) -> None:
        """A conductor is known to be gone for good: it is dropped with the next decision, doubt or not."""
        if self._leases.pop(name, None) is None:
            return
        self._put.pop(name, None)
        self._forgotten.add(name)

    def decide(self, now: float) -> Decision:
        """Drop those that were silent for too long, and tell all that changed."""
        settings = self._settings
        silent = {name: lease for name, lease in self._leases.items() if lease.ends_at <= now}
        overdue = {name for name, lease in silent.items() if lease.ends_at + settings.grace <= now}
        doubted: set[str] = set()
        if self._is_doubtful(len(silent)):
            doubted = {name for name in overdue if now < self._held_until(name)}
        dropped = overdue - doubted
        for name in dropped:
            del self._leases[name]
            self._put.pop(name, None)
        decision = Decision(
            tuple(self._put.values()),
            tuple(sorted(dropped | (self._forgotten - self._leases.keys()))),
            tuple(sorted(doubted)),
            min((self._due_at(name, name in doubted) for name in self._leases), default=inf),
        )
        self._put.clear()
        self._forgotten.clear()
        return decision

    def _is_doubtful(self, silent: int) -> bool:
        return silent > max(self._settings.doubt_least, self._settings.doubt_share * len(self._leases))

    def _held_until(self, name: str) -> float:
        return self._leases[name].ends_at + self._settings.grace + self._settings.hold

    def _due_at(self, name: str, is_doubted: bool) -> float:
        return self._held_until(name) if is_doubted else self._leases[name].ends_at + self._settings.grace
