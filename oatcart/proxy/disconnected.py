"""Operation of a proxy without a controller.

The endpoints of a routing table stay valid for a long time; what it reflects of the load does not. The proxy
continues with its last table and restores no ejected endpoint. A reduced quota rises with time to the proxy's
own fallback quota, and endpoints that refuse connections are excluded for some seconds, with backoff.
"""

from dataclasses import dataclass, field

REFUSALS_TO_EXCLUDE = 3  # connections refused in a row; an endpoint that is gone refuses all
EXCLUSION_MIN_SECONDS = 2.0  # the first exclusion of an endpoint; each further one is twice as long
EXCLUSION_MAX_SECONDS = 30.0


@dataclass(slots=True)
class SuspectEndpoint:
    """An endpoint that has refused connections since it last answered."""

    refusals: int = 0
    excluded_until: float = 0.0  # s of the caller's clock
    next_exclusion: float = EXCLUSION_MIN_SECONDS  # s

    def exclude(self, now: float) -> None:
        """Exclude the endpoint from `now` (s) on, and double the next exclusion up to its maximum."""
        self.excluded_until = now + self.next_exclusion
        self.next_exclusion = min(EXCLUSION_MAX_SECONDS, self.next_exclusion * 2)


@dataclass(slots=True)
class DisconnectedOperation:
    """The endpoints and quotas of one proxy while it has no controller; times are s of the caller's clock.

    `quota_valid_for` (s): how long a reduced quota applies after the controller was lost; none can raise it
    then.
    """

    quota_valid_for: float
    disconnected_at: float | None = None  # None while a controller serves the proxy
    suspects: dict[str, SuspectEndpoint] = field(default_factory=dict)

    def controller_lost(self, now: float) -> None:
        """Record that the last stream has ended."""
        if self.disconnected_at is None:
            self.disconnected_at = now

    def controller_restored(self) -> None:
        """Record that a controller has sent its routing table, which replaces the proxy's observations."""
        self.disconnected_at = None
        self.suspects.clear()

    def connection_refused(self, now: float, endpoint: str) -> None:
        """Record a refused connection; without a controller, several in a row exclude the endpoint."""
        suspect = self.suspects.setdefault(endpoint, SuspectEndpoint())
        suspect.refusals += 1
        if self.disconnected_at is None or suspect.refusals < REFUSALS_TO_EXCLUDE:
            return
        if now >= suspect.excluded_until:
            suspect.exclude(now)

    def endpoint_answered(self, endpoint: str) -> None:
        """Record that an endpoint has answered, so it is no longer suspect."""
        self.suspects.pop(endpoint, None)

    def usable_weights(self, now: float, weights: dict[str, float]) -> dict[str, float]:
        """Return the weights of the endpoints that are not excluded now.

        If all are excluded, all are returned: some may have recovered, and without endpoints no request
        succeeds.
        """
        if self.disconnected_at is None:
            return weights
        usable = {
            endpoint: weight for endpoint, weight in weights.items() if not self._is_excluded(now, endpoint)
        }
        return usable or weights

    def _is_excluded(self, now: float, endpoint: str) -> bool:
        return endpoint in self.suspects and now < self.suspects[endpoint].excluded_until

    def quota_in_force(self, now: float, quota: float, fallback_quota: float) -> float:
        """Return the quota to admit by, in the unit of `quota` (a share, or requests/s).

        `quota` is the last one from a controller; it applies while there is a controller and
        `quota_valid_for` after. Then it rises in the same time to `fallback_quota`, the proxy's own. A higher
        quota stays.
        """
        if self.disconnected_at is None or quota >= fallback_quota:
            return quota
        expired_for = now - self.disconnected_at - self.quota_valid_for
        if expired_for <= 0.0:
            return quota
        risen_fraction = min(1.0, expired_for / self.quota_valid_for)
        return min(fallback_quota, quota + (fallback_quota - quota) * risen_fraction)
