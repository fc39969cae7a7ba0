"""Outlier detection: ejects endpoints that fail more than their peers, or stop answering while peers answer.

An ejected endpoint is restored after its ejection time and, where health checks are allowed, after several
passed in a row. The ejection time doubles if the endpoint is ejected again soon. A restored endpoint is in
slow start.
"""

from collections.abc import Iterable

from oatcart.model import HealthCheckOutcome
from oatcart.policy.slow_start import ramp
from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import Telemetry, error_ratio

MIN_ERROR_RATIO = 0.5  # in excess of the error ratio of its peers
MIN_ATTEMPTS = 8.0  # in the decayed sums; with fewer, random errors reach the ratio
MIN_MISSED_ANSWERS = 10.0  # answers expected by its usual share of all answers
UNRESPONSIVE_INTERVALS = 2.5  # report intervals without an answer
ANSWER_SHARE_GAIN = 0.4  # smoothing factor of the mean answer share
MAX_EJECTED_SHARE = 0.5  # of a pool; with more, the fault is probably not in the endpoints
INITIAL_EJECTION_TIME_S = 4.0
MAX_EJECTION_TIME_S = 30.0
REQUIRED_PASSED_CHECKS = 2  # health checks in a row before an endpoint is restored

Pool = dict[int, Endpoint]  # ready endpoints by number


class OutlierDetection:
    """Decides which endpoints are ejected and when they are restored."""

    def __init__(self, telemetry: Telemetry, health_checks_allowed: bool) -> None:
        """If health checks are not allowed, endpoints are restored after their ejection time alone."""
        self._telemetry = telemetry
        self._health_checks_allowed = health_checks_allowed

    def record_health_check(self, endpoint: Endpoint, outcome: HealthCheckOutcome) -> None:
        """Counts the health checks passed in a row; a rejected one is ignored."""
        if outcome != HealthCheckOutcome.REJECTED:
            endpoint.passed_checks = endpoint.passed_checks + 1 if outcome == HealthCheckOutcome.PASSED else 0

    def check(self, ready: Pool, pools: list[Pool], now: float) -> None:
        """Ejects outliers among the ready endpoints, and restores ejected ones that are due.

        `pools`: the ready endpoints of each set of zones that a routing table uses.
        """
        peers = list(ready.values())
        for number, endpoint in ready.items():
            self._update_answer_share(endpoint, now)
            if endpoint.ejected:
                # the ramp starts at the end of the ejection, also if restore_empty_pools ends it
                endpoint.ramp_started_at = now
                if self._may_be_restored(endpoint, now):
                    self.restore(endpoint, now, now)
            elif self._is_unresponsive(endpoint, now) or is_failing(endpoint, peers):
                self._eject(endpoint, [pool for pool in pools if number in pool], now)

    def restore(self, endpoint: Endpoint, ramp_started_at: float, now: float) -> None:
        """Ends an ejection and resets the telemetry; `ramp_started_at` (s): when its slow start begins."""
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
        """Whether answers expected by its usual share are missing, for longer than reports may be late."""
        fleet_answers = self._telemetry.fleet_answers - endpoint.fleet_answers_at_last_answer
        missed = fleet_answers * endpoint.answer_share * ramp(now - endpoint.ramp_started_at)
        max_wait = UNRESPONSIVE_INTERVALS * self._telemetry.report_interval
        return missed > MIN_MISSED_ANSWERS and now - endpoint.answered_at > max_wait

    def _eject(self, endpoint: Endpoint, pools: list[Pool], now: float) -> None:
        """Ejects an endpoint, unless too many of one of its pools would be ejected then."""
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
    """Whether the error ratio of an endpoint is far above that of its peers, and of those in its zone.

    The comparison with its zone keeps a zone in use whose endpoints all fail alike, as when overloaded.
    """
    if endpoint.attempts < MIN_ATTEMPTS or endpoint.errors <= MIN_ERROR_RATIO * endpoint.attempts:
        return False
    others = [other for other in peers if other is not endpoint and not other.ejected]
    zone_peers = [other for other in others if other.zone == endpoint.zone]
    peer_ratio = max(error_ratio(others), error_ratio(zone_peers))
    return endpoint.errors > (MIN_ERROR_RATIO + peer_ratio) * endpoint.attempts


def restore_empty_pools(pools: Iterable[Pool]) -> None:
    """Panic mode: restores all endpoints of a pool if all of them are ejected."""
    for pool in pools:
        if all(endpoint.ejected for endpoint in pool.values()):
            for endpoint in pool.values():
                endpoint.ejected = False
