"""What load reports say of endpoints and proxies: sums that decay with time, and the strain of a pool.

Reports come late and not for every endpoint in every period, so whatever waits for evidence counts the
interval that reports in fact cover, not the period that is set.
"""

from collections.abc import Iterable, Sequence

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.model import RequestClass
from oatcart.policy.state import Endpoint, Proxy

INTERVAL_GAIN = 0.02  # part of a new window that the mean interval takes over
LOAD_GAIN = 0.4  # part of a new load that an endpoint's load takes over
DECAY_TIME_S = 3.0  # time constant of the decaying sums
DECAY_TIME_INTERVALS = 1.5  # the same in report intervals; the longer of both counts
INITIAL_CAPACITY = 8.0  # requests in flight, until an endpoint shows more
MIN_CAPACITY = INITIAL_CAPACITY / 2
CAPACITY_STEP_DOWN = 0.3  # part of the way towards what a late endpoint has in flight
ON_TIME_SHARE = 0.5  # of the latency objective; a mean duration over it is late
FAILING_RATIO = 0.15  # of the attempts, at the median endpoint: full strain


def median(values: Iterable[float]) -> float:
    """Returns the middle value, or the mean of both middle ones; there must be at least one.

    `statistics` of the standard library would load `decimal` and `fractions` into every controller.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def error_ratio(endpoints: Iterable[Endpoint], unknown: float = 0.0) -> float:
    """Returns the failed part of the attempts at some endpoints, or `unknown` where there were none."""
    endpoints = list(endpoints)
    attempts = sum(endpoint.attempts for endpoint in endpoints)
    return sum(endpoint.errors for endpoint in endpoints) / attempts if attempts >= 1.0 else unknown


def median_error_ratio(endpoints: Iterable[Endpoint]) -> float:
    """Returns the median over endpoints of the failed part of their attempts; 0 without attempts."""
    ratios = [endpoint.errors / endpoint.attempts for endpoint in endpoints if endpoint.attempts >= 1]
    return median(ratios or [0.0])


def strain(endpoints: Iterable[Endpoint], latency_objective: float) -> float:
    """Returns how far the median endpoint is from answering on time; 1 is the limit.

    The strain is the mean duration over the on-time part of the objective (s), or the error ratio over the
    failing one. Errors count only as far as answers are late: errors beside quick answers are no overload.
    """
    used = [endpoint for endpoint in endpoints if not endpoint.ejected and endpoint.attempts >= 1]
    durations = [
        endpoint.answer_seconds / endpoint.answers if endpoint.answers else latency_objective
        for endpoint in used
    ]
    lateness = median(durations or [0.0]) / (ON_TIME_SHARE * latency_objective)
    return max(lateness, min(1.0, lateness) * median_error_ratio(used) / FAILING_RATIO)


class Telemetry:
    """Takes load reports in, and lets them fade."""

    def __init__(self, report_period: float, request_classes: Sequence[RequestClass]) -> None:
        """`report_period`: seconds between two reports of a collector, as set."""
        self._report_period = report_period
        self._request_classes = request_classes
        self.report_interval = report_period  # s that reports in fact cover, smoothed
        self.fleet_answers = 0.0  # of all endpoints since the start
        # s; the mean over the requests that come
        self.latency_objective = min(
            (request_class.latency_objective for request_class in request_classes), default=1.0
        )

    def record_endpoint_load(self, endpoint: Endpoint, report: EndpointLoadReported) -> None:
        """Adds what the proxies of a zone saw of an endpoint."""
        window = max(report.window, self._report_period)
        self.report_interval += INTERVAL_GAIN * (window - self.report_interval)
        answers = max(0, report.attempts - report.errors)
        endpoint.attempts += report.attempts
        endpoint.errors += report.errors
        self.fleet_answers += answers
        endpoint.new_answers += answers
        endpoint.answers += answers
        endpoint.answer_seconds += answers * report.mean_duration
        in_flight, utilization, _ = report.load
        if utilization is None and in_flight is not None:
            self._learn_capacity(endpoint, in_flight)
            utilization = in_flight / endpoint.capacity
        if utilization is not None:
            load = 100.0 * utilization
            endpoint.load = (
                load if endpoint.load is None else endpoint.load + LOAD_GAIN * (load - endpoint.load)
            )

    def _learn_capacity(self, endpoint: Endpoint, in_flight: float) -> None:
        """Raises the capacity to what is in flight on time, and lowers it while the endpoint is late."""
        on_time = ON_TIME_SHARE * self.latency_objective
        late = endpoint.answers and endpoint.answer_seconds / endpoint.answers > on_time
        if late:
            step = CAPACITY_STEP_DOWN * min(0.0, in_flight - endpoint.capacity)
            endpoint.capacity = max(MIN_CAPACITY, endpoint.capacity + step)
        else:
            endpoint.capacity = max(endpoint.capacity, in_flight)

    def record_proxy_load(self, proxy: Proxy, report: ProxyLoadReported) -> None:
        """Moves the rate of a request class at a proxy half way to the reported one."""
        if report.request_class < len(self._request_classes) and report.window > 0:
            rate = report.requests / report.window
            proxy.rates[report.request_class] += (rate - proxy.rates[report.request_class]) / 2

    def decay(self, endpoints: Iterable[Endpoint], elapsed: float) -> None:
        """Lets the sums of endpoints fade for `elapsed` seconds."""
        remaining_share = 1.0 - elapsed / max(DECAY_TIME_S, DECAY_TIME_INTERVALS * self.report_interval)
        for endpoint in endpoints:
            endpoint.answers *= remaining_share
            endpoint.answer_seconds *= remaining_share
            endpoint.attempts *= remaining_share
            endpoint.errors *= remaining_share

    def reset(self, endpoint: Endpoint, now: float) -> None:
        """Forgets what was seen of an endpoint, as it is of a former incarnation or of before an ejection."""
        endpoint.answers = 0.0
        endpoint.answer_seconds = 0.0
        endpoint.attempts = 0.0
        endpoint.errors = 0.0
        endpoint.load = None
        endpoint.load_history.clear()
        endpoint.fleet_answers_at_last_answer = self.fleet_answers
        endpoint.answered_at = now
        endpoint.new_answers = 0

    def update_latency_objective(self, proxies: Iterable[Proxy]) -> None:
        """Sets the objective (s) to the mean over the requests that come to the proxies."""
        rates = [(rate, number) for proxy in proxies for number, rate in enumerate(proxy.rates)]
        weighted = sum(rate * self._request_classes[number].latency_objective for rate, number in rates)
        if weighted:
            self.latency_objective = weighted / sum(rate for rate, _ in rates)
