"""The settings with which the controllers of a measured fleet are started.

The meaning of the counts in `deploy/scale.yaml`: a *route* is a request class (`grades`), of which a
controller has at most 16. A *tenant* has no state in a controller; tenants are objects in its settings, which
it reads at its start and keeps. A *service* is a field of an endpoint entry that a controller ignores.
"""

from collections.abc import Collection

from oatcart.scale.endpoint_entries import MILLISECONDS

MAX_ROUTES = 16  # request classes of a controller: they are bits of one integer
WARM_UP_S = 10.0  # from the start of an endpoint until it has its full capacity


def route_names(routes: int) -> tuple[str, ...]:
    """Returns the names of `routes` request classes."""
    return tuple(f"route-{number:02}" for number in range(routes))


def controller_settings(
    zones: Collection[str], routes: int, proxies: int, tenants: int = 0, warm_up_s: float = WARM_UP_S
) -> dict:
    """Returns the settings of a controller with the given numbers of request classes, proxies and tenants.

    Health checks are disabled, as the endpoints of a measured fleet do not listen. Raises ValueError unless
    `routes` is from 1 to the most that a controller can have.
    """
    if not 1 <= routes <= MAX_ROUTES:
        raise ValueError(
            f"routes: got {routes}, expected 1 to {MAX_ROUTES}, the request classes of one controller"
        )
    settings = {
        "membershipMode": "subscribe",
        "quantum": 2.0,
        "zones": list(zones),
        "grades": [_request_class(name) for name in route_names(routes)],
        "policyLimits": {"probes": False, "connectTimeout": 250.0},
        "report": {"how": "inline", "fields": ["concurrent"]},
        "rules": _rules(warm_up_s),
        "specifics": _specifics(routes, proxies),
        "penalties": {"crossZone": 0.1},
    }
    if tenants:
        settings["tenants"] = [_tenant(number) for number in range(tenants)]
    return settings


def _request_class(name: str) -> dict:
    """Returns a request class with a latency objective of 0.5 s."""
    return {"name": name, "worth": 1.0, "aim": 500.0, "deadline": 1200.0, "idempotency": "idempotent"}


def _rules(warm_up_s: float) -> dict:
    return {
        "askWithin": 10_000.0,
        "cold": MILLISECONDS * warm_up_s,
        "coldShare": 0.2,
        "tipMultiple": 4.0,
        "stopSendingWithin": 5_000.0,
    }


def _specifics(routes: int, proxies: int) -> dict:
    """Returns the settings of the update channel and the proxies.

    Every second request class uses only endpoints in its proxy's zone, so that proxies have more than one
    routing table.
    """
    return {
        "proxyCount": proxies,
        "period": 1000.0,
        "pushRate": 3000.0,
        "envelope": 4.0,
        "queueCap": 4500.0,
        "messagesMost": 12,
        "updateWindow": 10_000.0,
        "admit": "fraction",
        "zoneBound": [route % 2 == 1 for route in range(routes)],
    }


def _tenant(number: int) -> dict:
    return {"id": f"tenant-{number:06}", "route": number % MAX_ROUTES, "share": 1.0}
