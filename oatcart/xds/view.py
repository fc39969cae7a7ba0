"""What a conductor's tables mean to xDS clients: endpoints, their health and weights, drops, tries. Free of
I/O.

A line of a table is an endpoint; shut out, its health says why: draining by the list, else withdrawn. A
draining node stays in sight, unpickable, until the list drops it. Source of the words: Envoy's endpoint and
cluster messages, v3.
"""

from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.model import EndpointState, Idempotency, RequestClass, RetryPolicy

HEALTHY, DRAINING, UNHEALTHY = "HEALTHY", "DRAINING", "UNHEALTHY"
# Shapes: endpoints within their cluster; each a resource of its own; each a locality of its own, as gRPC's
# own client weighs localities and not endpoints
WHOLE, EACH, SPREAD = "whole", "each", "spread"
MILLION = 1_000_000  # drops are parts of it
WEIGHT_SUM_MAX = 2**32 - 1  # what the weights of one cluster may sum up to
SCALED_WEIGHT_MIN = (
    50.0  # the least weight as a whole number, so that rounding moves no ratio by more than 1%
)
SCALE_POWER_MAX = 6  # powers of ten
URGENT_WEIGHT_FRACTION = 0.5  # a weight that falls below this part of what it was is as urgent as a drain
COLLECTION_AUTHORITY = "oatcart"  # authority of collections' names
ENDPOINT_TYPE = "envoy.config.endpoint.v3.LbEndpoint"


class Endpoint(NamedTuple):
    name: str
    host: str
    port: int
    zone: str
    weight: int
    health: str


class Assignment(NamedTuple):
    """The endpoints of a request kind as one sort of client sees them. `drop`: parts in a million that the
    client answers itself. `collections`: where each endpoint is a resource, their zones and what begins their
    names."""

    kind: str
    shape: str
    drop: int
    endpoints: tuple[Endpoint, ...]
    collections: tuple[tuple[str, str], ...] = ()


class Cluster(NamedTuple):
    kind: str
    shape: str


class Listener(NamedTuple):
    kind: str


class Route(NamedTuple):
    """`retries`: how often at most; `after`: the conditions, in Envoy's words."""

    kind: str
    retries: int
    after: str


class Member(NamedTuple):
    """An endpoint as a resource of its own."""

    endpoint: Endpoint


class ListedEndpoint(NamedTuple):
    zone: int
    state: int


class ListedEndpoints:
    """What the list says of each node, as it came in."""

    def __init__(self) -> None:
        self.endpoints: dict[int, ListedEndpoint] = {}

    def update(self, complete: bool, entries: Iterable[tuple]) -> None:
        entries = list(entries)
        listed = {entry[0] for entry in entries} if complete else self.endpoints
        for endpoint in [number for number in self.endpoints if number not in listed]:
            self.endpoints[endpoint] = self.endpoints[endpoint]._replace(state=EndpointState.GONE)
        for endpoint, zone, _, state, _ in entries:
            self.endpoints[endpoint] = ListedEndpoint(zone, state)

    def forget(self, endpoint: int) -> None:
        self.endpoints.pop(endpoint, None)

    def state(self, endpoint: int) -> int:
        return self.endpoints[endpoint].state if endpoint in self.endpoints else EndpointState.GONE


def integer_weights(weights: Mapping[int, float]) -> dict[int, int]:
    """Weights as whole numbers of at least 1 whose ratios are within 1% of the given ones. Whole ones stay as
    they are; others are scaled by a power of ten, which rarely changes, so that one weight's change is one
    endpoint's.

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
    """What a node with a line is to clients; None: nothing, as it is gone.

    >>> health_status(False, EndpointState.DRAINING), health_status(True, EndpointState.DRAINING)
    ('HEALTHY', 'DRAINING')
    >>> health_status(True, EndpointState.READY), health_status(True, EndpointState.GONE)
    ('UNHEALTHY', None)
    """
    if not ejected:
        return HEALTHY  # the module has not decided otherwise yet
    return {EndpointState.DRAINING: DRAINING, EndpointState.READY: UNHEALTHY}.get(state)


def client_view(
    weights: Mapping[int, float],
    draining: Iterable[int],
    ejected: set[int],
    listed_endpoints: ListedEndpoints,
) -> dict[int, tuple[int, str]]:
    """A table as clients see it: weight and health by node. `leaving`: draining nodes without a line."""
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
    """The nodes that had a line, or were leaving already, and drain."""
    return {
        endpoint
        for endpoint in previous
        if endpoint not in weights and listed_endpoints.state(endpoint) == EndpointState.DRAINING
    }


def drop_per_million(quota: float, by_rate: bool, request_rate: float) -> int:
    """What a client turns away, in a million. A level that is a rate becomes a share of what comes to a
    client in the mean, as xDS knows no rate of a cluster; where nothing is known to come, nothing is turned
    away.

    >>> drop_per_million(0.75, False, 0), drop_per_million(30.0, True, 40.0), drop_per_million(1e6, True, 40.0), drop_per_million(0.1, True, 0.0)
    (250000, 250000, 0, 0)
    """
    share = quota / request_rate if by_rate and request_rate > 0 else 1.0 if by_rate else quota
    return round(MILLION * (1.0 - min(1.0, max(0.0, share))))


def route(name: str, request_class: RequestClass, retry_policy: int) -> Route:
    """The try-again rule as far as xDS carries it. A kind that may not run twice is offered none, not even
    after proof that it never ran, since who reads the proof is not ours; a uniqued one is offered only that.

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
    """In order of names, an address once: clients refuse a list with one twice. Of two nodes the healthy one
    stays, as the other is a former life at the same place."""
    kept: dict[tuple[str, int], Endpoint] = {}
    for one in sorted(endpoints, key=lambda one: (one.health != HEALTHY, one.name)):
        kept.setdefault((one.host, one.port), one)
    return tuple(sorted(kept.values()))


def drops_sharply(old: Iterable[Endpoint], new: Iterable[Endpoint]) -> bool:
    """Whether a weight falls so far that it cannot wait: a node that came back cold, under its old weight."""
    before = {one.name: one.weight for one in old if one.health == HEALTHY}
    return any(
        one.weight < URGENT_WEIGHT_FRACTION * before.get(one.name, -inf)
        for one in new
        if one.health == HEALTHY
    )


def pickable(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    return frozenset(one.name for one in endpoints if one.health == HEALTHY)


def collection_prefix(zone: str, request_class: str, endpoint_zone: str) -> str:
    """What begins the names of a table's endpoints: the zone and first kind of those that use it, and theirs.

    >>> collection_prefix("east", "lookup", "west")
    'xdstp://oatcart/envoy.config.endpoint.v3.LbEndpoint/east/lookup/west/'
    """
    return f"xdstp://{COLLECTION_AUTHORITY}/{ENDPOINT_TYPE}/{zone}/{request_class}/{endpoint_zone}/"
