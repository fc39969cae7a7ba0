"""Load shedding: the share of the offered work that a routing table admits, and its split by request class.

The share is cut when the pool is strained and its endpoints are overloaded. The next cut waits until load
reports show the effect of the last one. The classes with the lowest priority weight per second of latency
objective are shed first.
"""

from collections.abc import Iterable

from oatcart.model import AdmissionMode, ControllerSettings, RetryPolicy
from oatcart.policy.flow_control import URGENT_SHARE, UpdateChannel
from oatcart.policy.retries import retries_worthwhile, retry_policy
from oatcart.policy.slow_start import admissible_share, success_ratio, warm_fraction
from oatcart.policy.state import Endpoint, Round, RoutingTable
from oatcart.policy.subsetting import TableRegistry
from oatcart.policy.telemetry import FAILING_RATIO, Telemetry, error_ratio, median, median_error_ratio, strain
from oatcart.policy.workload import Workload

MIN_SHARE_AFTER_CUT = 0.6  # minimum factor by which one cut reduces the admitted share
CUT_INTERVALS = 3.5  # report intervals until reports show the effect of a cut
MIN_ADMITTED_SHARE = 0.25  # of the offered work, however high the strain
FULL_LOAD = 80.0  # percent at the median endpoint; above it strain means overload
RECOVERY_LOAD = 50.0  # percent at the median endpoint; below it more work is admitted
FAILING_STRAIN = 2.0  # above it errors in every zone mean overload, whatever the load
RECOVERY_STEP = 0.04  # share of the offered work by which the admitted share grows in a second
RECOVERY_STRAIN = 0.8  # below it more work is admitted
MIN_CLASS_SHARE = 0.02  # minimum share of each class that is admitted
MIN_CLASS_SHARE_CHANGE = 0.04  # smallest change of a class's share that is sent, unless it becomes 1
UNLIMITED_RATE = 1e6  # requests/s; stands for no limit


class LoadShedding:
    """Decides the admission of each routing table."""

    def __init__(
        self,
        settings: ControllerSettings,
        telemetry: Telemetry,
        tables: TableRegistry,
        workload: Workload,
        channel: UpdateChannel,
    ) -> None:
        """All arguments are shared with other modules; the tables keep the admitted shares."""
        self._request_classes = settings.request_classes
        self._mode = settings.admission_mode
        self._warm_up = settings.warm_up
        self._telemetry = telemetry
        self._tables = tables
        self._workload = workload
        self._channel = channel

    def adjust(self, table: RoutingTable, now: float) -> None:
        """Cuts or raises a table's admitted share, and decides whether retries are worthwhile.

        Called once a second, and with each endpoint list.
        """
        pool = self._active(table)
        pool_strain = strain(pool, self._telemetry.latency_objective)
        failing = pool_strain > FAILING_STRAIN and fails_in_every_zone(pool)
        load = median([endpoint.load for endpoint in pool if endpoint.load is not None] or [100.0])
        cut_allowed_after = table.last_cut_at + CUT_INTERVALS * self._telemetry.report_interval
        if pool_strain > 1.0 and (load > FULL_LOAD or failing) and now > cut_allowed_after:
            table.last_cut_at = now
            cut_factor = max(MIN_SHARE_AFTER_CUT, 1.0 / pool_strain)
            table.admitted_share = max(MIN_ADMITTED_SHARE, table.admitted_share * cut_factor)
        elif pool_strain < RECOVERY_STRAIN or (load < RECOVERY_LOAD and not failing):
            table.admitted_share = min(1.0, table.admitted_share + RECOVERY_STEP)
        table.retries_worthwhile = retries_worthwhile(
            table.admitted_share, pool_strain, error_ratio(pool), median_error_ratio(pool)
        )

    def admitted_share(self, table: RoutingTable, now: float) -> float:
        """Returns the share of the offered work that a table admits, limited by warming-up endpoints too."""
        pool = self._active(table)
        fractions = [warm_fraction(endpoint, self._warm_up, now) for endpoint in pool]
        filled = self._workload.filled_endpoints(table)
        return admissible_share(fractions, success_ratio(pool), filled, table.admitted_share)

    def send_admission(self, table: RoutingTable, this_round: Round) -> None:
        """Sends the changed quotas of the table's classes, as far as the channel has capacity."""
        share = 1.0 if self._mode == AdmissionMode.NONE else self.admitted_share(table, this_round.now)
        work = self._workload.offered(table)
        remaining = share * sum(work.values())
        for number in sorted(work, key=self._shed_order):
            unbounded_share = remaining / work[number] if work[number] and share < 1.0 else share
            class_share = max(MIN_CLASS_SHARE, min(1.0, unbounded_share))
            remaining = max(0.0, remaining - work[number] * class_share)
            idempotency = self._request_classes[number].idempotency
            retries = retry_policy(idempotency, table.retries_worthwhile, share)
            if self._has_changed(table, number, class_share, retries) and self._channel.reserve(
                table.proxies, 1, URGENT_SHARE
            ):
                table.admission[number] = (class_share, retries)
                quota = self._quota(table, number, class_share)
                this_round.commands.set_admission(table.number, 1 << number, quota, retries)

    def _active(self, table: RoutingTable) -> list[Endpoint]:
        return [endpoint for endpoint in self._tables.endpoints(table).values() if not endpoint.ejected]

    def _shed_order(self, number: int) -> float:
        """Returns the sort key of a class: its priority weight per second of latency objective, negated.

        The classes with the largest key are shed first.
        """
        request_class = self._request_classes[number]
        return -request_class.priority_weight / request_class.latency_objective

    def _has_changed(
        self, table: RoutingTable, number: int, class_share: float, retries: RetryPolicy
    ) -> bool:
        sent = table.admission.get(number)
        if sent is None:
            return True
        old_class_share, old_retries = sent
        similar = class_share == old_class_share or (
            class_share < 1.0 and abs(class_share - old_class_share) < MIN_CLASS_SHARE_CHANGE
        )
        return retries != old_retries or not similar

    def _quota(self, table: RoutingTable, number: int, class_share: float) -> float:
        """Returns the quota for a share of a class, in the unit of the admission mode."""
        if self._mode != AdmissionMode.RATE:
            return class_share
        if class_share >= 1.0:
            return UNLIMITED_RATE
        return rate_quota([proxy.rates[number] for proxy in table.proxies.values()], class_share)


def fails_in_every_zone(pool: Iterable[Endpoint]) -> bool:
    """Whether the endpoints of every zone fail; in a network partition one zone has no errors."""
    by_zone: dict[int, list[Endpoint]] = {}
    for endpoint in pool:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    return all(error_ratio(endpoints, 1.0) > FAILING_RATIO for endpoints in by_zone.values())


def rate_quota(rates: list[float], class_share: float) -> float:
    """Returns the requests/s that each proxy may admit so that all together admit a share of their rates.

    `rates`: requests/s of each proxy; `class_share`: below 1. What proxies with a rate below the quota do not
    use is left to the others. Arrivals are random, so a quota equal to the mean would shed many requests; the
    square root of the quota is added.
    """
    rates = sorted(rates)
    remaining = class_share * sum(rates)
    while rates and rates[0] < remaining / len(rates):
        remaining -= rates.pop(0)
    quota = remaining / len(rates) if rates else UNLIMITED_RATE
    return quota + quota**0.5
