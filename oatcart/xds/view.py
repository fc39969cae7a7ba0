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
WEIGHTS_MOST = 2**32 - 1  # what the weights of one cluster may sum up to
FINE = 50.0  # the least weight as a whole number, so that rounding moves no ratio by more than 1%
SCALES_MOST = 6  # powers of ten
SUNK = 0.5  # a weight that falls below this part of what it was is as urgent as a drain
STAYS = "oatcart"  # authority of collections' names
ENDPOINT = "envoy.config.endpoint.v3.LbEndpoint"


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


class Listed(NamedTuple):
    zone: int
    state: int


class Roster:
    """What the list says of each node, as it came in."""

    def __init__(self) -> None:
        self.nodes: dict[int, Listed] = {}

    def take(self, whole: bool, entries: Iterable[tuple]) -> None:
        entries = list(entries)
        told = {entry[0] for entry in entries} if whole else self.nodes
        for place in [at for at in self.nodes if at not in told]:
            self.nodes[place] = self.nodes[place]._replace(state=EndpointState.GONE)
        for place, zone, _, state, _ in entries:
            self.nodes[place] = Listed(zone, state)

    def drop(self, place: int) -> None:
        self.nodes.pop(place, None)

    def state(self, place: int) -> int:
        return self.nodes[place].state if place in self.nodes else EndpointState.GONE


def whole_numbers(weights: Mapping[int, float]) -> dict[int, int]:
    """Weights as whole numbers of at least 1 whose ratios are within 1% of the given ones. Whole ones stay as
    they are; others are scaled by a power of ten, which rarely changes, so that one weight's change is one
    endpoint's.

    >>> whole_numbers({1: 3.0, 2: 40}), whole_numbers({1: 0.5, 2: 0.75}), whole_numbers({})
    ({1: 3, 2: 40}, {1: 50, 2: 75}, {})
    """
    scale = 1
    if any(weight != int(weight) for weight in weights.values()):
        least = min(weights.values())
        scale = next(
            (10**power for power in range(SCALES_MOST) if least * 10**power >= FINE), 10**SCALES_MOST
        )
    total = sum(weights.values()) * scale
    if total > WEIGHTS_MOST / 2:
        scale *= WEIGHTS_MOST / 2 / total
    return {place: max(1, round(weight * scale)) for place, weight in weights.items()}


def health(shut: bool, state: int) -> str | None:
    """What a node with a line is to clients; None: nothing, as it is gone.

    >>> health(False, EndpointState.DRAINING), health(True, EndpointState.DRAINING)
    ('HEALTHY', 'DRAINING')
    >>> health(True, EndpointState.READY), health(True, EndpointState.GONE)
    ('UNHEALTHY', None)
    """
    if not shut:
        return HEALTHY  # the module has not decided otherwise yet
    return {EndpointState.DRAINING: DRAINING, EndpointState.READY: UNHEALTHY}.get(state)


def seen(
    lines: Mapping[int, float], leaving: Iterable[int], shut: set[int], roster: Roster
) -> dict[int, tuple[int, str]]:
    """A table as clients see it: weight and health by node. `leaving`: draining nodes without a line."""
    weights = whole_numbers(lines)
    found = {
        place: (weight, told)
        for place, weight in weights.items()
        if (told := health(place in shut, roster.state(place)))
    }
    return found | {place: (1, DRAINING) for place in leaving if place not in weights}


def leaving(before: Iterable[int], lines: Mapping[int, float], roster: Roster) -> set[int]:
    """The nodes that had a line, or were leaving already, and drain."""
    return {place for place in before if place not in lines and roster.state(place) == EndpointState.DRAINING}


def dropped(level: float, by_rate: bool, rate: float) -> int:
    """What a client turns away, in a million. A level that is a rate becomes a share of what comes to a
    client in the mean, as xDS knows no rate of a cluster; where nothing is known to come, nothing is turned
    away.

    >>> dropped(0.75, False, 0), dropped(30.0, True, 40.0), dropped(1e6, True, 40.0), dropped(0.1, True, 0.0)
    (250000, 250000, 0, 0)
    """
    share = level / rate if by_rate and rate > 0 else 1.0 if by_rate else level
    return round(MILLION * (1.0 - min(1.0, max(0.0, share))))


def route(kind: str, req: RequestClass, tries: int) -> Route:
    """The try-again rule as far as xDS carries it. A kind that may not run twice is offered none, not even
    after proof that it never ran, since who reads the proof is not ours; a uniqued one is offered only that.

    >>> route("fee", RequestClass(), RetryPolicy.TWICE_ON_FAILURE)
    Route(kind='fee', retries=0, after='')
    >>> route("slot", RequestClass(idempotency=Idempotency.KEYED), RetryPolicy.ON_FAILURE).after
    'connect-failure,refused-stream'
    """
    if req.idempotency == Idempotency.NOT_IDEMPOTENT or tries == RetryPolicy.NEVER:
        return Route(kind, 0, "")
    if tries == RetryPolicy.IF_NOT_PROCESSED or req.idempotency == Idempotency.KEYED:
        return Route(kind, 1, "connect-failure,refused-stream")
    return Route(
        kind,
        2 if tries == RetryPolicy.TWICE_ON_FAILURE else 1,
        "5xx,reset,connect-failure,refused-stream,unavailable",
    )


def distinct(endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
    """In order of names, an address once: clients refuse a list with one twice. Of two nodes the healthy one
    stays, as the other is a former life at the same place."""
    kept: dict[tuple[str, int], Endpoint] = {}
    for one in sorted(endpoints, key=lambda one: (one.health != HEALTHY, one.name)):
        kept.setdefault((one.host, one.port), one)
    return tuple(sorted(kept.values()))


def sinks(old: Iterable[Endpoint], new: Iterable[Endpoint]) -> bool:
    """Whether a weight falls so far that it cannot wait: a node that came back cold, under its old weight."""
    before = {one.name: one.weight for one in old if one.health == HEALTHY}
    return any(one.weight < SUNK * before.get(one.name, -inf) for one in new if one.health == HEALTHY)


def picks(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    return frozenset(one.name for one in endpoints if one.health == HEALTHY)


def collection(zone: str, kind: str, at: str) -> str:
    """What begins the names of a table's endpoints: the zone and first kind of those that use it, and theirs.

    >>> collection("east", "lookup", "west")
    'xdstp://oatcart/envoy.config.endpoint.v3.LbEndpoint/east/lookup/west/'
    """
    return f"xdstp://{STAYS}/{ENDPOINT}/{zone}/{kind}/{at}/"
