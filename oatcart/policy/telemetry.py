"""Load reports of endpoints and proxies: decaying sums of their figures, and the strain of a pool.

Load reports may be late and do not cover every endpoint in every period. So the other modules measure waiting
times by the interval that reports actually cover, not by the configured period.
"""

from collections.abc import Iterable, Sequence

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.model import RequestClass
from oatcart.policy.state import Endpoint, Proxy

INTERVAL_GAIN = 0.02  # smoothing factor of the mean report interval
LOAD_GAIN = 0.4  # smoothing factor of an endpoint's load
DECAY_TIME_S = 3.0  # time constant of the decaying sums
DECAY_TIME_INTERVALS = 1.5  # the same in report intervals; the longer of the two applies
INITIAL_CAPACITY = 8.0  # requests in flight, until more were observed at an endpoint
MIN_CAPACITY = INITIAL_CAPACITY / 2
CAPACITY_STEP_DOWN = 0.3  # part of the way down to the requests in flight of a late endpoint, per report
ON_TIME_SHARE = 0.5  # of the latency objective; a mean duration above it is late
FAILING_RATIO = 0.15  # error ratio of the median endpoint at which the strain is 1


def median(values: Iterable[float]) -> float:
    """Returns the middle value, or the mean of the two middle values; there must be at least one.

    The standard library's `statistics` is not used, as it would load `decimal` and `fractions` into every
    controller.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def error_ratio(endpoints: Iterable[Endpoint], unknown: float = 0.0) -> float:
    """Returns the failed part of the attempts at some endpoints, or `unknown` if there were none."""
    endpoints = list(endpoints)
    attempts = sum(endpoint.attempts for endpoint in endpoints)
    return sum(endpoint.errors for endpoint in endpoints) / attempts if attempts >= 1.0 else unknown


def median_error_ratio(endpoints: Iterable[Endpoint]) -> float:
    """Returns the median of the endpoints' error ratios; 0 if none has attempts."""
    ratios = [endpoint.errors / endpoint.attempts for endpoint in endpoints if endpoint.attempts >= 1]
    return median(ratios or [0.0])


def strain(endpoints: Iterable[Endpoint], latency_objective: float) -> float:
    """Returns the strain of some endpoints, measured at the median one; 1 is the limit.

    The strain is the larger of two ratios: the mean duration divided by ON_TIME_SHARE of the latency
    objective (s), and the error ratio divided by FAILING_RATIO. The second is reduced while answers are on
    time, as errors together with quick answers are no overload.
    """
    used = [endpoint for endpoint in endpoints if not endpoint.ejected and endpoint.attempts >= 1]
    durations = [
        endpoint.answer_seconds / endpoint.answers if endpoint.answers else latency_objective
        for endpoint in used
    ]
    lateness = median(durations or [0.0]) / (ON_TIME_SHARE * latency_objective)
    return max(lateness, min(1.0, lateness) * median_error_ratio(used) / FAILING_RATIO)


class Telemetry:
    """Records load reports and decays their sums."""

    def __init__(self, report_period: float, request_classes: Sequence[RequestClass]) -> None:
        """`report_period`: configured seconds between two reports from a collector."""
        self._report_period = report_period
        self._request_classes = request_classes
        self.report_interval = report_period  # s that a report actually covers, smoothed
        self.fleet_answers = 0.0  # answers of all endpoints since the start
        # s; the mean over all requests, see `update_latency_objective`
        self.latency_objective = min(
            (request_class.latency_objective for request_class in request_classes), default=1.0
        )

    def record_endpoint_load(self, endpoint: Endpoint, report: EndpointLoadReported) -> None:
        """Adds a report on an endpoint from the proxies of a zone."""
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
        """Raises the capacity to the requests in flight while answers are on time, else lowers it."""
        on_time = ON_TIME_SHARE * self.latency_objective
        late = endpoint.answers and endpoint.answer_seconds / endpoint.answers > on_time
        if late:
            step = CAPACITY_STEP_DOWN * min(0.0, in_flight - endpoint.capacity)
            endpoint.capacity = max(MIN_CAPACITY, endpoint.capacity + step)
        else:
            endpoint.capacity = max(endpoint.capacity, in_flight)

    def record_proxy_load(self, proxy: Proxy, report: ProxyLoadReported) -> None:
        """Moves the rate of a request class at a proxy halfway to the reported rate."""
        if report.request_class < len(self._request_classes) and report.window > 0:
            rate = report.requests / report.window
            proxy.rates[report.request_class] += (rate - proxy.rates[report.request_class]) / 2

    def decay(self, endpoints: Iterable[Endpoint], elapsed: float) -> None:
        """Decays the sums of endpoints by `elapsed` seconds."""
        remaining_share = 1.0 - elapsed / max(DECAY_TIME_S, DECAY_TIME_INTERVALS * self.report_interval)
        for endpoint in endpoints:
            endpoint.answers *= remaining_share
            endpoint.answer_seconds *= remaining_share
            endpoint.attempts *= remaining_share
            endpoint.errors *= remaining_share

    def reset(self, endpoint: Endpoint, now: float) -> None:
        """Clears the sums of an endpoint after a restart or an ejection."""
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
        """Sets the latency objective (s) to the mean over all requests to the proxies."""
        rates = [(rate, number) for proxy in proxies for number, rate in enumerate(proxy.rates)]
        weighted = sum(rate * self._request_classes[number].latency_objective for rate, number in rates)
        if weighted:
            self.latency_objective = weighted / sum(rate for rate, _ in rates)
