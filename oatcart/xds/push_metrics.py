"""Counts of sent and delayed pushes, for operators. Free of I/O and clock."""

from collections import Counter
from typing import NamedTuple

from oatcart.xds.limits import PushBudget, PushPriority


class PushStatus(NamedTuple):
    """`sent`: pushes by priority and type. `borrowed`, `prepaid`: pushes that are to be repaid. `kept_back`:
    streams whose withdrawals wait for the budget; `oldest`: for how long the first of them does, s.
    """

    sent: dict[tuple[str, str], int]
    borrowed: float
    prepaid: float
    kept_back: int
    oldest: float

    def __str__(self) -> str:
        """The text of a log line."""
        sent = ", ".join(
            f"{priority} {resource_type} {count}"
            for (priority, resource_type), count in sorted(self.sent.items())
        )
        return (
            f"withdrawals to {self.kept_back} streams wait for the push budget, the first for "
            f"{self.oldest:.2f} s; {self.borrowed:.0f} pushes borrowed, {self.prepaid:.0f} paid in advance; "
            f"sent so far: {sent or 'none'}"
        )


class PushMetrics:
    """Counts pushes by priority and type, and keeps since when a stream's withdrawal has waited."""

    def __init__(self) -> None:
        self.sent: Counter[tuple[str, str]] = Counter()
        self.waiting_since: list[float] = []  # s; of the streams that the last dispatch kept back

    def count(self, priority: PushPriority, resource_type: str) -> None:
        """Count a push of a type that was sent."""
        self.sent[priority.name.lower(), resource_type] += 1

    def status(self, now: float, budget: PushBudget) -> PushStatus:
        """Return the present counts. `now`: s."""
        return PushStatus(
            dict(self.sent),
            max(0.0, -budget.available),
            budget.returning_debt,
            len(self.waiting_since),
            max((now - since for since in self.waiting_since), default=0.0),
        )
