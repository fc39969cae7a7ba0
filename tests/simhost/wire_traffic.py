"""What the made fleet's proxies meet at its endpoints, and the reports of it."""

from typing import TYPE_CHECKING

import wire_frames as wire
from wire_frames import PROBE_BUSY, PROBE_ERROR, PROBE_LATE, PROBE_OK, PROBE_REFUSED, PROBE_RESET
from wire_model import DRAINING, Controller, Endpoint, Proxy
from wire_scenario import CLOCK_START

if TYPE_CHECKING:
    from wire_fleet import Fleet


def spread(fleet: "Fleet") -> None:
    """A second's requests go out by the tables; what endpoints do with them is noted for the reports."""
    overload = fleet.scenario.overload if fleet.during("overload") else 1.0
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
    for (number, zone, at), requests in sent.items():
        note_met(fleet, fleet.controllers[number], zone, fleet.endpoints[at], requests)


def send_requests(fleet: "Fleet", controller: Controller, proxy: Proxy, factor: float, sent: dict) -> None:
    for place, rate in enumerate(proxy.rates):
        offered = rate * factor * (0.8 + 0.4 * fleet.random.random())
        count = rounded(fleet, offered)
        came = controller.came.setdefault((proxy.number, place), [0, 0, 0])
        came[0], came[1], came[2] = came[0] + 1000, came[1] + count, came[2] + (count > 3)
        table = next(
            (at for at, bits in controller.installed[proxy.number].items() if bits >> place & 1), None
        )
        lines = {
            at: weight
            for at, weight in controller.tables.get(table, {}).items()
            if at not in controller.ejected and at in fleet.endpoints
        }
        total = sum(lines.values())
        admitted = offered * controller.levels.get((table, place), 1.0)
        for at, weight in lines.items():
            key = controller.number, proxy.zone, at
            sent[key] = sent.get(key, 0.0) + admitted * weight / total


def rounded(fleet: "Fleet", amount: float) -> int:
    """A whole number, of that mean."""
    return int(amount) + (fleet.random.random() < amount - int(amount))


def warm_fraction(fleet: "Fleet", endpoint: Endpoint) -> float:
    age = CLOCK_START + fleet.now - endpoint.started
    if not endpoint.started or not fleet.scenario.cold or age >= fleet.scenario.cold:
        return 1.0
    return 0.2 + 0.8 * max(0.0, age) / fleet.scenario.cold


def note_met(fleet: "Fleet", controller: Controller, zone: int, endpoint: Endpoint, requests: float) -> None:
    """What proxies of a zone met at an endpoint, added to what is not reported yet."""
    tried = rounded(fleet, requests)
    if not tried or endpoint.fault == "vanished":
        return
    load = endpoint.utilization
    failing = min(0.7, max(0.0, (load - 1.2) / load)) if load > 0 else 0.0
    if endpoint.fault == "failing":
        failing = 0.8
    if endpoint.fault == "flaky":
        failing = 0.2
    took = endpoint.idle_ms * (1.0 + 3.0 * min(load, 1.0) * load + 12.0 * max(0.0, load - 1.0))
    took *= (6.0 if endpoint.fault == "slow" else 1.0) * (0.9 + 0.2 * fleet.random.random())
    errors = min(tried, rounded(fleet, tried * (failing + 0.002)))
    met = controller.met.setdefault((endpoint.id, zone), [0, 0, 0, 0.0])
    met[0], met[1], met[2] = met[0] + 1000, met[1] + errors, met[2] + tried
    met[3] += took * (tried - errors)


def load_report(fleet: "Fleet", endpoint: Endpoint | None) -> list[float]:
    """Its load report, in the order of the scenario's fields; empty for one that is gone."""
    if endpoint is None:
        return []
    load = endpoint.utilization * (0.95 + 0.1 * fleet.random.random())
    known = {
        "concurrent": float(int(10 * load)),
        "load_share": min(1.0, load),
        "depth": float(int(20 * max(0.0, load - 0.8))),
    }
    return [known.get(name, 7.0) for name in fleet.scenario.fields]


def report(fleet: "Fleet", number: int) -> None:
    """A period's lines to one controller, as many as are let through, the oldest first."""
    controller = fleet.controllers[number]
    if not controller.alive:
        return
    most = int(fleet.scenario.ingest_rate * fleet.scenario.period / 2000)
    for at, zone in list(controller.met)[:most]:
        elapsed, errors, tried, took = controller.met.pop((at, zone))
        mean = took / (tried - errors) if tried > errors else 0.0
        held = load_report(fleet, fleet.endpoints.get(at))
        held = held if fleet.random.random() < 0.9 else []
        fleet.events.append(wire.observed(number, float(elapsed), mean, errors, tried, at, zone, held))
    for proxy, place in list(controller.came)[:most]:
        elapsed, count, errors = controller.came.pop((proxy, place))
        fleet.events.append(wire.ingress(number, proxy, place, count, errors, float(elapsed)))


def probe_status(fleet: "Fleet", endpoint: Endpoint | None) -> int:
    """How a health check ends at it."""
    if endpoint is None or endpoint.fault == "vanished":
        return PROBE_LATE if fleet.random.random() < 0.5 else PROBE_REFUSED
    if endpoint.condition == DRAINING or fleet.random.random() < 0.1:
        return PROBE_BUSY
    if endpoint.fault == "failing" and fleet.random.random() < 0.6:
        return PROBE_ERROR if fleet.random.random() < 0.7 else PROBE_RESET
    return PROBE_OK
