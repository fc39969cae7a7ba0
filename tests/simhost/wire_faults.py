"""The faults of the simulated fleet, and unusual records among its events."""

from typing import TYPE_CHECKING

import wire_frames as wire
from wire_frames import CHECK_OK, DELTA, FAILED
from wire_model import DRAINING, GONE, READY, Endpoint, Proxy

if TYPE_CHECKING:
    from wire_fleet import Fleet

NOT_A_NUMBER = float("nan")
UNKNOWN_INSTANCE = 7000


def update_faults(fleet: "Fleet") -> None:
    """Ends faults and starts new ones by the scenario's rates; called once a second."""
    for endpoint in list(fleet.endpoints.values()):
        if endpoint.fault and fleet.now >= endpoint.fault_ends:
            endpoint.fault = ""
    for name, per_minute in fleet.scenario.faults.items():
        if fleet.now >= fleet.scenario.calm_ms and fleet.random.random() < per_minute / 60.0:
            INJECTORS[name](fleet)


def some_endpoints(fleet: "Fleet", fraction: float) -> list[Endpoint]:
    """Returns about this fraction of the ready endpoints."""
    ready = [one for one in fleet.endpoints.values() if one.state == READY]
    return [one for one in ready if fleet.random.random() < fraction]


def inject(fleet: "Fleet", fault: str, fraction: float) -> None:
    """Starts a fault at about this fraction of the ready endpoints, for 4 to 18 s."""
    ends = fleet.now + fleet.random_between(4000, 18000)
    for endpoint in some_endpoints(fleet, fraction):
        endpoint.fault, endpoint.fault_ends = fault, ends


def vanished(fleet: "Fleet") -> None:
    inject(fleet, "vanished", 0.2)


def half_vanished(fleet: "Fleet") -> None:
    inject(fleet, "vanished", 0.6)


def failing(fleet: "Fleet") -> None:
    inject(fleet, "failing", 0.2)


def flaky(fleet: "Fleet") -> None:
    inject(fleet, "flaky", 0.15)


def all_failing(fleet: "Fleet") -> None:
    inject(fleet, "failing", 0.95)


def slow(fleet: "Fleet") -> None:
    inject(fleet, "slow", 0.35)


def restart(fleet: "Fleet") -> None:
    for endpoint in some_endpoints(fleet, 0.2):
        fleet.restart(endpoint.id)


def zone_loss(fleet: "Fleet") -> None:
    """All endpoints of a zone stop answering, then restart and warm up."""
    zone = fleet.random.randrange(len(fleet.scenario.zones))
    for endpoint in list(fleet.endpoints.values()):
        if endpoint.zone == zone and endpoint.state == READY:
            endpoint.fault, endpoint.fault_ends = "vanished", fleet.now + 9000
            fleet.later(9000, fleet.restart, endpoint.id)


def drain(fleet: "Fleet") -> None:
    """Some endpoints drain, are removed, and are replaced by ones that warm up."""
    for endpoint in some_endpoints(fleet, fleet.scenario.drain_part):
        endpoint.state = DRAINING
        fleet.record_change(endpoint)
        fleet.later(fleet.random_between(2500, 6000), fleet.remove, endpoint.id)
        if fleet.random.random() < fleet.scenario.replaced:
            fleet.later(fleet.random_between(500, 5000), fleet.add_cold, endpoint.zone)


def undrain(fleet: "Fleet") -> None:
    """Up to two draining endpoints become ready again."""
    for endpoint in [one for one in fleet.endpoints.values() if one.state == DRAINING][:2]:
        endpoint.state = READY
        fleet.record_change(endpoint)


def vanish_from_list(fleet: "Fleet") -> None:
    for endpoint in some_endpoints(fleet, 0.08):
        fleet.remove(endpoint.id, force=True)
        fleet.later(fleet.random_between(4000, 20000), fleet.add_cold, endpoint.zone)


def controller_restart(fleet: "Fleet") -> None:
    number = fleet.random.randrange(len(fleet.controllers))
    fleet.stop(number, [0, 800, 6000][fleet.random.randrange(3)])


def proxies_leave(fleet: "Fleet") -> None:
    for proxy in fleet.proxies:
        if fleet.random.random() < 0.25:
            proxy.unconfigured = proxy.unconfigured or fleet.random.random() < 0.3  # a new incarnation
            fleet.leave(proxy.number, fleet.random_between(100, 5000))


def one_rejoins(fleet: "Fleet") -> None:
    """A proxy joins on a new stream before the end of its old one is reported."""
    proxy = fleet.proxies[fleet.random.randrange(len(fleet.proxies))]
    if proxy.controller is not None:
        fleet.controllers[proxy.controller].assigned_tables[proxy.number] = {}
        fleet.events.append(
            wire.subscribed(proxy.controller, False, proxy.number, proxy.zone, sum(proxy.rates))
        )


def start_window(fleet: "Fleet", fault: str, least: int, most: int) -> None:
    """Starts a fault of the whole fleet, for `least` to `most` ms."""
    fleet.window_ends[fault] = fleet.now + fleet.random_between(least, most)


def overload(fleet: "Fleet") -> None:
    start_window(fleet, "overload", 8000, 20000)


def reports_late(fleet: "Fleet") -> None:
    start_window(fleet, "reports_late", 5000, 12000)


def acks_late(fleet: "Fleet") -> None:
    start_window(fleet, "acks_late", 4000, 10000)


def acks_silent(fleet: "Fleet") -> None:
    start_window(fleet, "acks_silent", 14000, 22000)


def discovery_down(fleet: "Fleet") -> None:
    start_window(fleet, "discovery_down", 3000, 9000)
    for controller in fleet.controllers:
        if controller.alive and controller.watching and fleet.scenario.membership == "subscribe":
            controller.watching = False
            fleet.events.append(wire.update(controller.number, FAILED, 0))


def odd_records(fleet: "Fleet") -> None:
    """Records that are valid but unusual, or that a controller does not use."""
    number, lost = fleet.random.randrange(len(fleet.controllers)), fleet.random.randrange(1, 2**32)
    if not fleet.controllers[number].alive:
        return
    proxy, known = fleet.random.randrange(len(fleet.proxies)), min(fleet.endpoints)
    unusual = [
        wire.fired(number, 2**64 - 1),
        wire.peer(number, 1, b"hi 7"),
        wire.pressure(number, 1000.0, 1, 3, 0, 9),
        wire.handed(number, 3, True),
        wire.stored_line(number, 3, known, 1.0),
        wire.installed(number, proxy, fleet.random.randrange(65536), 100.0),
        wire.installed(number, 60000, 0, 100.0),
        wire.stream_down(number, 60001),
        wire.ingress(number, proxy, 40, 9, 0, 1000.0),
        wire.ingress(number, proxy, 0, 9, 0, 0.0),
        wire.ingress(number, 60002, 0, 9, 0, 1000.0),
        wire.observed(number, 1000.0, 48.25, 1, 14, lost, 0, [7.0]),
        wire.observed(number, 0.0, 0.0, 3, 0, known, 99, []),
        wire.observed(number, 1000.0, 20.0, 9, 4, known, 0, [-1.0, 2e6, NOT_A_NUMBER, 0.5]),
        wire.echo(number, lost, CHECK_OK, 3.0, [1.0]),
        wire.echo(number, known, 125, 3.0),
        wire.update(number, DELTA, fleet.visible_revision, [(lost, 0, 0.0, GONE, 0, 0.0, 0)]),
        wire.update(number, DELTA, fleet.visible_revision, []),
        wire.ingress(UNKNOWN_INSTANCE, 0, 0, 1, 0, 1000.0),
        wire.stream_down(UNKNOWN_INSTANCE, 0),
    ]
    fleet.events += [one for one in unusual if fleet.random.random() < 0.5]


def odd_class(fleet: "Fleet") -> None:
    """Load reports on a request class that does not exist, one past the last."""
    class_number = len(fleet.scenario.classes)
    fleet.events += [
        wire.ingress(one.controller, one.number, class_number, 9, 0, 1000.0) for one in joined_proxies(fleet)
    ]


def joined_proxies(fleet: "Fleet") -> list[Proxy]:
    return [one for one in fleet.proxies if one.controller is not None]


INJECTORS = {
    "vanished": vanished,
    "half_vanished": half_vanished,
    "failing": failing,
    "flaky": flaky,
    "all_failing": all_failing,
    "slow": slow,
    "restart": restart,
    "zone_loss": zone_loss,
    "drain": drain,
    "undrain": undrain,
    "vanish_from_list": vanish_from_list,
    "controller_restart": controller_restart,
    "proxies_leave": proxies_leave,
    "one_rejoins": one_rejoins,
    "overload": overload,
    "reports_late": reports_late,
    "acks_late": acks_late,
    "acks_silent": acks_silent,
    "discovery_down": discovery_down,
    "odd_records": odd_records,
    "odd_class": odd_class,
}
