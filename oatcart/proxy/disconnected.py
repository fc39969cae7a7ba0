"""What a proxy without a conductor may still do on the table it has. Free of I/O and clock.

Lines stay good for long, as nodes change seldom; what the table says of load does not. So it goes on serving,
lets nobody back in whom it was told to shut out, opens its level to what it knows of itself, and takes its
own evidence for a node that refuses. What ends it is the grace: past it, a node that refuses is left out
until it answers a probe of its own.
"""

from dataclasses import dataclass, field

REFUSALS_TO_EXCLUDE = 3  # in a row, of connections: a node that is gone refuses all of them
EXCLUSION_MIN_SECONDS, EXCLUSION_MAX_SECONDS = (
    2.0,
    30.0,
)  # s; waits until such a node is tried again, doubled each time


@dataclass(slots=True)
class SuspectEndpoint:
    connection_refused: int = 0
    excluded_until: float = 0.0
    backoff: float = EXCLUSION_MIN_SECONDS


@dataclass(slots=True)
class DisconnectedOperation:
    """`level_good_for`: s after which a level below 1 is no longer believed, as nobody would lift it."""

    quota_valid_for: float
    disconnected_at: float | None = None  # when the last stream was lost; None: a conductor is there
    suspects: dict[str, SuspectEndpoint] = field(default_factory=dict)

    def controller_lost(self, now: float) -> None:
        if self.disconnected_at is None:
            self.disconnected_at = now

    def controller_restored(self) -> None:
        """A conductor has told of its table: its word replaces our doubts."""
        self.disconnected_at = None
        self.suspects.clear()

    def connection_refused(self, now: float, endpoint: str) -> None:
        suspect = self.suspects.setdefault(endpoint, SuspectEndpoint())
        suspect.connection_refused += 1
        if (
            self.disconnected_at is not None
            and suspect.connection_refused >= REFUSALS_TO_EXCLUDE
            and now >= suspect.excluded_until
        ):
            suspect.excluded_until, suspect.backoff = (
                now + suspect.backoff,
                min(EXCLUSION_MAX_SECONDS, suspect.backoff * 2),
            )

    def endpoint_answered(self, endpoint: str) -> None:
        self.suspects.pop(endpoint, None)

    def usable_weights(self, now: float, usable_weights: dict[str, float]) -> dict[str, float]:
        """The lines that may be used now; where all are in doubt, all of them: some may be back, and none is
        better.
        """
        if self.disconnected_at is None:
            return usable_weights
        kept = {
            endpoint: weight
            for endpoint, weight in usable_weights.items()
            if endpoint not in self.suspects or now >= self.suspects[endpoint].excluded_until
        }
        return kept or usable_weights

    def quota(self, now: float, quota: float, fallback_quota: float) -> float:
        """The level in force: as told while a conductor is there and for a while after, then slowly open to
        `usual`.
        """
        if self.disconnected_at is None or now - self.disconnected_at <= self.quota_valid_for:
            return quota
        over = (now - self.disconnected_at - self.quota_valid_for) / self.quota_valid_for
        return (
            min(fallback_quota, quota + (fallback_quota - quota) * min(1.0, over))
            if quota < fallback_quota
            else quota
        )
