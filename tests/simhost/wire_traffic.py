"""The traffic of the simulated fleet: results of attempts at endpoints, and load reports."""

from typing import TYPE_CHECKING

import wire_frames as wire
from wire_frames import CHECK_BUSY, CHECK_ERROR, CHECK_OK, CHECK_REFUSED, CHECK_RESET, CHECK_TIMED_OUT
from wire_model import DRAINING, Controller, Endpoint, Proxy
from wire_scenario import CLOCK_START

if TYPE_CHECKING:
    from wire_fleet import Fleet


def distribute_requests(fleet: "Fleet") -> None:
    """Distributes the requests of one second by the tables and records the results for the load reports."""
    overload = fleet.scenario.overload if fleet.is_active("overload") else 1.0
    sent: dict[tuple[int, int, int], float] = {}  # requests by controller, zone of the proxies, endpoint
    for endpoint in fleet.endpoints.values():
        endpoint.demand = 0.0
    for proxy in fleet.proxies:
        if proxy.controller is not None:
            send_requests(fleet, fleet.controllers[proxy.controller], proxy, overload, sent)
    for (_, _, number), requests in sent.items():
        fleet.endpoints[number].demand += requests
    for endpoint in fleet.endpoints.values():
        endpoint.utilization = endpoint.demand / (endpoint.capacity * warm_fraction(fleet, endpoint))
    for (number, zone, endpoint_id), requests in sent.items():
        record_attempts(fleet, fleet.controllers[number], zone, fleet.endpoints[endpoint_id], requests)


def send_requests(fleet: "Fleet", controller: Controller, proxy: Proxy, factor: float, sent: dict) -> None:
    for class_number, rate in enumerate(proxy.rates):
        offered = rate * factor * (0.8 + 0.4 * fleet.random.random())
        count = randomly_rounded(fleet, offered)
        arrivals = controller.unreported_requests.setdefault((proxy.number, class_number), [0, 0, 0])
        arrivals[0], arrivals[1], arrivals[2] = (
            arrivals[0] + 1000,
            arrivals[1] + count,
            arrivals[2] + (count > 3),
        )
        table = next(
            (
                table_number
                for table_number, bits in controller.assigned_tables[proxy.number].items()
                if bits >> class_number & 1
            ),
            None,
        )
        weights = {
            endpoint_id: weight
            for endpoint_id, weight in controller.tables.get(table, {}).items()
            if endpoint_id not in controller.ejected and endpoint_id in fleet.endpoints
        }
        total = sum(weights.values())
        admitted = offered * controller.quotas.get((table, class_number), 1.0)
        for endpoint_id, weight in weights.items():
            key = controller.number, proxy.zone, endpoint_id
            sent[key] = sent.get(key, 0.0) + admitted * weight / total


def randomly_rounded(fleet: "Fleet", amount: float) -> int:
    """Returns `amount` rounded up or down at random, with `amount` as the mean."""
    return int(amount) + (fleet.random.random() < amount - int(amount))


def warm_fraction(fleet: "Fleet", endpoint: Endpoint) -> float:
    age = CLOCK_START + fleet.now - endpoint.started
    if not endpoint.started or not fleet.scenario.cold or age >= fleet.scenario.cold:
        return 1.0
    return 0.2 + 0.8 * max(0.0, age) / fleet.scenario.cold


def record_attempts(
    fleet: "Fleet", controller: Controller, zone: int, endpoint: Endpoint, requests: float
) -> None:
    """Adds the results of attempts from a zone at an endpoint to those not yet reported."""
    attempts = randomly_rounded(fleet, requests)
    if not attempts or endpoint.fault == "vanished":
        return
    load = endpoint.utilization
    error_rate = min(0.7, max(0.0, (load - 1.2) / load)) if load > 0 else 0.0
    if endpoint.fault == "failing":
        error_rate = 0.8
    if endpoint.fault == "flaky":
        error_rate = 0.2
    duration_ms = endpoint.idle_ms * (1.0 + 3.0 * min(load, 1.0) * load + 12.0 * max(0.0, load - 1.0))
    duration_ms *= (6.0 if endpoint.fault == "slow" else 1.0) * (0.9 + 0.2 * fleet.random.random())
    errors = min(attempts, randomly_rounded(fleet, attempts * (error_rate + 0.002)))
    totals = controller.unreported_attempts.setdefault((endpoint.id, zone), [0, 0, 0, 0.0])
    totals[0], totals[1], totals[2] = totals[0] + 1000, totals[1] + errors, totals[2] + attempts
    totals[3] += duration_ms * (attempts - errors)


def load_report(fleet: "Fleet", endpoint: Endpoint | None) -> list[float]:
    """Returns an endpoint's load report, in the order of the scenario's fields; empty if it is gone."""
    if endpoint is None:
        return []
    load = endpoint.utilization * (0.95 + 0.1 * fleet.random.random())
    known = {
        "concurrent": float(int(10 * load)),
        "load_share": min(1.0, load),
        "depth": float(int(20 * max(0.0, load - 0.8))),
    }
    return [known.get(name, 7.0) for name in fleet.scenario.fields]


def send_reports(fleet: "Fleet", number: int) -> None:
    """Sends the load reports of a period to one controller, up to the ingest rate, the oldest first."""
    controller = fleet.controllers[number]
    if not controller.alive:
        return
    max_reports = int(fleet.scenario.ingest_rate * fleet.scenario.period / 2000)
    for endpoint_id, zone in list(controller.unreported_attempts)[:max_reports]:
        elapsed, errors, attempts, duration_ms = controller.unreported_attempts.pop((endpoint_id, zone))
        mean = duration_ms / (attempts - errors) if attempts > errors else 0.0
        load_values = load_report(fleet, fleet.endpoints.get(endpoint_id))
        load_values = load_values if fleet.random.random() < 0.9 else []
        fleet.events.append(
            wire.observed(number, float(elapsed), mean, errors, attempts, endpoint_id, zone, load_values)
        )
    for proxy, class_number in list(controller.unreported_requests)[:max_reports]:
        elapsed, count, errors = controller.unreported_requests.pop((proxy, class_number))
        fleet.events.append(wire.ingress(number, proxy, class_number, count, errors, float(elapsed)))


def health_check_status(fleet: "Fleet", endpoint: Endpoint | None) -> int:
    """Returns the outcome code of a health check at an endpoint."""
    if endpoint is None or endpoint.fault == "vanished":
        return CHECK_TIMED_OUT if fleet.random.random() < 0.5 else CHECK_REFUSED
    if endpoint.state == DRAINING or fleet.random.random() < 0.1:
        return CHECK_BUSY
    if endpoint.fault == "failing" and fleet.random.random() < 0.6:
        return CHECK_ERROR if fleet.random.random() < 0.7 else CHECK_RESET
    return CHECK_OK
