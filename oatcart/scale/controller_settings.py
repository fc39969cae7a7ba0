"""The settings and the entries that controllers of a measured fleet are given, and the changes made to the
list.

How the operators' words are read today: a *route* is one of a controller's request classes (`grades`), which
are bound to tables and of which a controller has at most 16; a *tenant* has no state in a controller, so
tenants stand in the settings as one more object that it reads at its start and keeps; a *service* is a
field of an entry that a controller ignores.
"""

from collections.abc import Collection, Mapping
from random import Random

from oatcart.scale.fleet import PlannedEndpoint

ROUTES_MOST = 16  # request classes of a controller: they are bits of one number, by the protocol's messages
SERVING, DRAINING = "SERVING", "DRAINING"
MACHINE_FLAVOR = "m2"
MILLISECONDS = 1000.0
WARM_AFTER_S = 10.0  # that an endpoint needs after its start until it can be loaded fully


def route_names(routes: int) -> tuple[str, ...]:
    """The names of so many request classes."""
    return tuple(f"route-{number:02}" for number in range(routes))


def controller_settings(
    zones: Collection[str], routes: int, proxies: int, tenants: int = 0, warm_after_s: float = WARM_AFTER_S
) -> dict:
    """The settings of a controller with so many request classes, proxies and tenants.

    Every second request class keeps to its proxy's zone, so that there is more than one table. Probes are
    off: hollow endpoints do not listen. Raises ValueError for more routes than a controller can have.
    """
    if not 1 <= routes <= ROUTES_MOST:
        raise ValueError(f"{routes} routes are not 1 to {ROUTES_MOST}, the request classes of one conductor")
    settings = {
        "membershipMode": "subscribe",
        "quantum": 2.0,
        "zones": list(zones),
        "grades": [
            {"name": name, "worth": 1.0, "aim": 500.0, "deadline": 1200.0, "idempotency": "idempotent"}
            for name in route_names(routes)
        ],
        "policyLimits": {"probes": False, "connectTimeout": 250.0},
        "report": {"how": "inline", "fields": ["concurrent"]},
        "rules": {
            "askWithin": 10_000.0,
            "cold": MILLISECONDS * warm_after_s,
            "coldShare": 0.2,
            "tipMultiple": 4.0,
            "stopSendingWithin": 5_000.0,
        },
        "specifics": {
            "proxyCount": proxies,
            "period": 1000.0,
            "pushRate": 3000.0,
            "envelope": 4.0,
            "queueCap": 4500.0,
            "messagesMost": 12,
            "updateWindow": 10_000.0,
            "admit": "fraction",
            "zoneBound": [route % 2 == 1 for route in range(routes)],
        },
        "penalties": {"crossZone": 0.1},
    }
    return settings | ({"tenants": _tenants(tenants)} if tenants else {})


def _tenants(count: int) -> list[dict]:
    return [
        {"id": f"tenant-{number:06}", "route": number % ROUTES_MOST, "share": 1.0} for number in range(count)
    ]


def list_entry(endpoint: PlannedEndpoint, phase: str = SERVING, up_since_ms: int = 0) -> dict:
    """An endpoint's entry at discovery; `service` and `region` are extra fields that controllers ignore."""
    return {
        "id": endpoint.id,
        "host_port": endpoint.address,
        "locality": endpoint.zone,
        "flavor": MACHINE_FLAVOR,
        "cell": 0,
        "phase": phase,
        "size": float(endpoint.size),
        "up_since_ms": up_since_ms,
        "service": endpoint.service,
        "region": endpoint.region,
    }


class EndpointChanges:
    """Changes of the list, one endpoint each: an endpoint drains, and the next change restarts it."""

    def __init__(self, endpoints: Collection[PlannedEndpoint], seed: int) -> None:
        self._endpoints, self._random = list(endpoints), Random(seed)
        self._draining: PlannedEndpoint | None = None

    def next_entry(self, unix_s: float) -> dict:
        """The changed entry of the next change, made at a Unix time in seconds."""
        if self._draining is None:
            self._draining = self._random.choice(self._endpoints)
            return list_entry(self._draining, DRAINING)
        restarted, self._draining = self._draining, None
        return list_entry(restarted, SERVING, round(unix_s * MILLISECONDS))


def endpoints_of_lists(
    endpoints: Collection[PlannedEndpoint], by_service: bool, whole: str
) -> Mapping[str, list[PlannedEndpoint]]:
    """The endpoints of each list: one that is named `whole`, or one for each service."""
    if not by_service:
        return {whole: list(endpoints)}
    lists: dict[str, list[PlannedEndpoint]] = {}
    for endpoint in endpoints:
        lists.setdefault(endpoint.service, []).append(endpoint)
    return lists
