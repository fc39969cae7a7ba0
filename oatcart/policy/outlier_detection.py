"""Outlier detection: endpoints are ejected that fail beyond their peers or answer nothing while these do.

An ejected endpoint returns after its ejection time, which doubles with each ejection that follows soon, and
after health checks passed in a row where the deployment has them. It then starts slowly.
"""

from collections.abc import Iterable

from oatcart.model import HealthCheckOutcome
from oatcart.policy.slow_start import ramp
from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import Telemetry, error_ratio

MIN_ERROR_RATIO = 0.5  # beyond the ratio of its peers
MIN_ATTEMPTS = 8.0  # in the decayed sums; with fewer, chance reaches the ratio
MIN_MISSED_ANSWERS = 10.0  # that it owes by its share of the fleet's
UNRESPONSIVE_INTERVALS = 2.5  # report intervals without an answer
ANSWER_SHARE_GAIN = 0.4  # part of a new share that the mean share takes over
MAX_EJECTED_SHARE = 0.5  # of a pool; beyond it the fault is likely the observer's
INITIAL_EJECTION_TIME_S = 4.0
MAX_EJECTION_TIME_S = 30.0
REQUIRED_PASSED_CHECKS = 2  # health checks in a row before an endpoint returns

Pool = dict[int, Endpoint]  # ready endpoints by number


class OutlierDetection:
    """Decides which endpoints are ejected."""

    def __init__(self, telemetry: Telemetry, health_checks_allowed: bool) -> None:
        """Without health checks an endpoint returns by its ejection time alone."""
        self._telemetry = telemetry
        self._health_checks_allowed = health_checks_allowed

    def record_health_check(self, endpoint: Endpoint, outcome: HealthCheckOutcome) -> None:
        """Counts the health checks passed in a row; a rejected one shows nothing."""
        if outcome != HealthCheckOutcome.REJECTED:
            endpoint.passed_checks = endpoint.passed_checks + 1 if outcome == HealthCheckOutcome.PASSED else 0

    def check(self, ready: Pool, pools: list[Pool], now: float) -> None:
        """Ejects outliers among the ready endpoints and lets ejected ones return.

        `pools`: the ready endpoints of each set of zones that a routing table draws from.
        """
        peers = list(ready.values())
        for number, endpoint in ready.items():
            self._update_answer_share(endpoint, now)
            if endpoint.ejected:
                # its ramp starts when the ejection ends, also if restore_empty_pools ends it
                endpoint.ramp_started_at = now
                if self._may_be_restored(endpoint, now):
                    self.restore(endpoint, now, now)
            elif self._is_unresponsive(endpoint, now) or is_failing(endpoint, peers):
                self._eject(endpoint, [pool for pool in pools if number in pool], now)

    def restore(self, endpoint: Endpoint, ramp_started_at: float, now: float) -> None:
        """Ends an ejection and forgets what was seen; `ramp_started_at`: when its slow start begins (s)."""
        self._telemetry.reset(endpoint, now)
        endpoint.ramp_started_at = ramp_started_at
        endpoint.ejected = False

    def _update_answer_share(self, endpoint: Endpoint, now: float) -> None:
        if not endpoint.new_answers:
            return
        fleet_answers = self._telemetry.fleet_answers
        share = endpoint.new_answers / (fleet_answers - endpoint.fleet_answers_at_last_answer)
        endpoint.answer_share += ANSWER_SHARE_GAIN * (share - endpoint.answer_share)
        endpoint.fleet_answers_at_last_answer = fleet_answers
        endpoint.answered_at = now
        endpoint.new_answers = 0

    def _may_be_restored(self, endpoint: Endpoint, now: float) -> bool:
        healthy = endpoint.passed_checks >= REQUIRED_PASSED_CHECKS or not self._health_checks_allowed
        return now - endpoint.ejected_at >= endpoint.ejection_time and healthy

    def _is_unresponsive(self, endpoint: Endpoint, now: float) -> bool:
        """Whether it owes answers by its share of the fleet's; late reports alone never look so."""
        fleet_answers = self._telemetry.fleet_answers - endpoint.fleet_answers_at_last_answer
        missed = fleet_answers * endpoint.answer_share * ramp(now - endpoint.ramp_started_at)
        max_wait = UNRESPONSIVE_INTERVALS * self._telemetry.report_interval
        return missed > MIN_MISSED_ANSWERS and now - endpoint.answered_at > max_wait

    def _eject(self, endpoint: Endpoint, pools: list[Pool], now: float) -> None:
        """Ejects an endpoint unless too large a part of one of its pools would be."""
        for pool in pools:
            ejected = sum(other.ejected for other in pool.values()) + 1
            if ejected > MAX_EJECTED_SHARE * len(pool):
                return
        repeated = now - endpoint.ejected_at < MAX_EJECTION_TIME_S + endpoint.ejection_time
        doubled = min(MAX_EJECTION_TIME_S, endpoint.ejection_time * 2)
        endpoint.ejection_time = doubled if repeated else INITIAL_EJECTION_TIME_S
        endpoint.ejected = True
        endpoint.ejected_at = now
        endpoint.passed_checks = 0


def is_failing(endpoint: Endpoint, peers: Iterable[Endpoint]) -> bool:
    """Whether an endpoint fails far beyond its peers and those of its zone.

    Comparing with both keeps a zone in use whose endpoints all fail as many, as when it is overloaded.
    """
    if endpoint.attempts < MIN_ATTEMPTS or endpoint.errors <= MIN_ERROR_RATIO * endpoint.attempts:
        return False
    others = [other for other in peers if other is not endpoint and not other.ejected]
    zone_peers = [other for other in others if other.zone == endpoint.zone]
    peer_ratio = max(error_ratio(others), error_ratio(zone_peers))
    return endpoint.errors > (MIN_ERROR_RATIO + peer_ratio) * endpoint.attempts


def restore_empty_pools(pools: Iterable[Pool]) -> None:
    """Panic mode: ends all ejections of a pool whose endpoints are all ejected."""
    for pool in pools:
        if all(endpoint.ejected for endpoint in pool.values()):
            for endpoint in pool.values():
                endpoint.ejected = False
