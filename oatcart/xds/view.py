"""Routing tables as xDS clients see them: endpoints with health and weight, drops and retries. Free of I/O.

Each entry of a table is an endpoint. If it is ejected, its health tells why: DRAINING if the endpoint list
has it draining, else UNHEALTHY. A draining endpoint stays in the view, not pickable, until the list leaves it
out. Source of the terms: Envoy's endpoint and cluster messages, v3.
"""

from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.model import EndpointState, Idempotency, RequestClass, RetryPolicy

HEALTHY, DRAINING, UNHEALTHY = "HEALTHY", "DRAINING", "UNHEALTHY"
# Shapes, the ways in which a client is sent endpoints: WHOLE in the assignment of their cluster; EACH as a
# resource of its own; SPREAD as a locality of its own, as gRPC's own client weighs localities, not endpoints
WHOLE, EACH, SPREAD = "whole", "each", "spread"
MILLION = 1_000_000  # drops are given in parts per million
WEIGHT_SUM_MAX = 2**32 - 1  # limit of the sum of the weights of a cluster
SCALED_WEIGHT_MIN = (
    50.0  # of the smallest weight before rounding, which then changes no ratio by more than 1%
)
SCALE_POWER_MAX = 6  # of ten
URGENT_WEIGHT_FRACTION = (
    0.5  # a weight that falls below this part of the previous one is as urgent as a drain
)
COLLECTION_AUTHORITY = "oatcart"  # in the xdstp names of collections
ENDPOINT_TYPE = "envoy.config.endpoint.v3.LbEndpoint"


class Endpoint(NamedTuple):
    """An endpoint as clients see it. `weight`: an integer of at least 1, relative; `health`: Envoy's name."""

    name: str
    host: str
    port: int
    zone: str
    weight: int
    health: str


class Assignment(NamedTuple):
    """The endpoints of a request class (`kind`) in one shape.

    `drop`: requests per million that the client rejects; `collections`: in shape EACH, the zones and the
    name prefixes of the endpoints in them.
    """

    kind: str
    shape: str
    drop: int
    endpoints: tuple[Endpoint, ...]
    collections: tuple[tuple[str, str], ...] = ()


class Cluster(NamedTuple):
    """The cluster of a request class (`kind`) in one shape."""

    kind: str
    shape: str


class Listener(NamedTuple):
    """The listener of a request class (`kind`)."""

    kind: str


class Route(NamedTuple):
    """The route of a request class (`kind`). `retries`: at most; `after`: Envoy's names of the conditions."""

    kind: str
    retries: int
    after: str


class Member(NamedTuple):
    """An endpoint as a resource of its own."""

    endpoint: Endpoint


class ListedEndpoint(NamedTuple):
    """Zone and state of an endpoint in the endpoint list."""

    zone: int
    state: int


class ListedEndpoints:
    """The endpoint list by number, as it was received."""

    def __init__(self) -> None:
        self.endpoints: dict[int, ListedEndpoint] = {}

    def update(self, complete: bool, entries: Iterable[tuple]) -> None:
        """Takes over a list or its changes. Endpoints that a complete list leaves out are gone."""
        entries = list(entries)
        listed = {entry[0] for entry in entries} if complete else self.endpoints
        for endpoint in [number for number in self.endpoints if number not in listed]:
            self.endpoints[endpoint] = self.endpoints[endpoint]._replace(state=EndpointState.GONE)
        for endpoint, zone, _, state, _ in entries:
            self.endpoints[endpoint] = ListedEndpoint(zone, state)

    def forget(self, endpoint: int) -> None:
        """Removes an endpoint; no effect if it is not listed."""
        self.endpoints.pop(endpoint, None)

    def state(self, endpoint: int) -> int:
        """Returns the state of an endpoint; GONE if it is not listed."""
        return self.endpoints[endpoint].state if endpoint in self.endpoints else EndpointState.GONE


def integer_weights(weights: Mapping[int, float]) -> dict[int, int]:
    """Returns weights as integers of at least 1 whose ratios are within 1% of the given ones.

    If all are integers already they stay as they are, else all are scaled by a power of ten. That rarely
    changes, so a change of one weight changes one endpoint only.

    >>> integer_weights({1: 3.0, 2: 40}), integer_weights({1: 0.5, 2: 0.75}), integer_weights({})
    ({1: 3, 2: 40}, {1: 50, 2: 75}, {})
    """
    scale = 1
    if any(weight != int(weight) for weight in weights.values()):
        smallest = min(weights.values())
        scale = next(
            (10**power for power in range(SCALE_POWER_MAX) if smallest * 10**power >= SCALED_WEIGHT_MIN),
            10**SCALE_POWER_MAX,
        )
    total = sum(weights.values()) * scale
    if total > WEIGHT_SUM_MAX / 2:
        scale *= WEIGHT_SUM_MAX / 2 / total
    return {endpoint: max(1, round(weight * scale)) for endpoint, weight in weights.items()}


def health_status(ejected: bool, state: int) -> str | None:
    """Returns the health of an endpoint in a routing table; None if it is not shown, as it is gone.

    >>> health_status(False, EndpointState.DRAINING), health_status(True, EndpointState.DRAINING)
    ('HEALTHY', 'DRAINING')
    >>> health_status(True, EndpointState.READY), health_status(True, EndpointState.GONE)
    ('UNHEALTHY', None)
    """
    if not ejected:
        return HEALTHY  # also while draining, until the controller ejects it
    return {EndpointState.DRAINING: DRAINING, EndpointState.READY: UNHEALTHY}.get(state)


def client_view(
    weights: Mapping[int, float],
    draining: Iterable[int],
    ejected: set[int],
    listed_endpoints: ListedEndpoints,
) -> dict[int, tuple[int, str]]:
    """Returns weight and health by endpoint. `draining`: draining endpoints that left the routing table."""
    integers = integer_weights(weights)
    seen = {
        endpoint: (weight, health)
        for endpoint, weight in integers.items()
        if (health := health_status(endpoint in ejected, listed_endpoints.state(endpoint)))
    }
    return seen | {endpoint: (1, DRAINING) for endpoint in draining if endpoint not in integers}


def draining_endpoints(
    previous: Iterable[int], weights: Mapping[int, float], listed_endpoints: ListedEndpoints
) -> set[int]:
    """Returns the endpoints of the previous view that left the routing table and are draining."""
    return {
        endpoint
        for endpoint in previous
        if endpoint not in weights and listed_endpoints.state(endpoint) == EndpointState.DRAINING
    }


def drop_per_million(quota: float, by_rate: bool, request_rate: float) -> int:
    """Returns the requests per million that a client rejects.

    A quota that is a rate is taken as a share of the clients' mean request rate, as xDS has no rate limit of
    a cluster; while that rate is not known nothing is rejected. `request_rate`: requests/s.

    >>> (drop_per_million(0.75, False, 0), drop_per_million(30.0, True, 40.0),
    ...  drop_per_million(1e6, True, 40.0), drop_per_million(0.1, True, 0.0))
    (250000, 250000, 0, 0)
    """
    share = quota / request_rate if by_rate and request_rate > 0 else 1.0 if by_rate else quota
    return round(MILLION * (1.0 - min(1.0, max(0.0, share))))


def route(name: str, request_class: RequestClass, retry_policy: int) -> Route:
    """Returns the retry policy of a request class as far as xDS can express it.

    A class that must not run twice gets no retry, not even after proof that a request never ran, as that
    proof is judged by a client that is not ours. A class with idempotency keys gets a retry after proof only.

    >>> route("fee", RequestClass(), RetryPolicy.TWICE_ON_FAILURE)
    Route(kind='fee', retries=0, after='')
    >>> route("slot", RequestClass(idempotency=Idempotency.KEYED), RetryPolicy.ON_FAILURE).after
    'connect-failure,refused-stream'
    """
    if request_class.idempotency == Idempotency.NOT_IDEMPOTENT or retry_policy == RetryPolicy.NEVER:
        return Route(name, 0, "")
    if retry_policy == RetryPolicy.IF_NOT_PROCESSED or request_class.idempotency == Idempotency.KEYED:
        return Route(name, 1, "connect-failure,refused-stream")
    return Route(
        name,
        2 if retry_policy == RetryPolicy.TWICE_ON_FAILURE else 1,
        "5xx,reset,connect-failure,refused-stream,unavailable",
    )


def with_distinct_addresses(endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
    """Returns endpoints in order of names, each address once, as clients reject a list with an address twice.

    Of two endpoints the healthy one stays, as the other is an earlier incarnation at the same address.
    """
    kept: dict[tuple[str, int], Endpoint] = {}
    for one in sorted(endpoints, key=lambda one: (one.health != HEALTHY, one.name)):
        kept.setdefault((one.host, one.port), one)
    return tuple(sorted(kept.values()))


def drops_sharply(old: Iterable[Endpoint], new: Iterable[Endpoint]) -> bool:
    """Whether a weight falls so far that it is urgent: that of a restarted endpoint, which is warming up."""
    before = {one.name: one.weight for one in old if one.health == HEALTHY}
    return any(
        one.weight < URGENT_WEIGHT_FRACTION * before.get(one.name, -inf)
        for one in new
        if one.health == HEALTHY
    )


def pickable(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    """Returns the names of the endpoints that requests may be sent to."""
    return frozenset(one.name for one in endpoints if one.health == HEALTHY)


def collection_prefix(zone: str, request_class: str, endpoint_zone: str) -> str:
    """Returns the prefix of the names of the endpoints of a routing table in one zone.

    `zone`, `request_class`: of the clients that use the table, the first of its classes.

    >>> collection_prefix("east", "lookup", "west")
    'xdstp://oatcart/envoy.config.endpoint.v3.LbEndpoint/east/lookup/west/'
    """
    return f"xdstp://{COLLECTION_AUTHORITY}/{ENDPOINT_TYPE}/{zone}/{request_class}/{endpoint_zone}/"
