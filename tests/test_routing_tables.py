"""Properties over random crossings: what proxies hold is what stands, and nothing runs again that may not."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.commands import ALL_TABLES
from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointLoadReported,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    EndpointState,
    Idempotency,
    LoadReport,
    RequestClass,
    RetryPolicy,
    WarmUpLimits,
)
from oatcart.policy import Controller
from oatcart.routing_tables import RoutingTables

CLASSES, ENDPOINTS, PROXIES, TABLES = 3, 4, 2, 2
IDEMPOTENCY = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NOT_IDEMPOTENT]


class HeldByProxy:
    """A proxy as the protocol has it: a full table forgets lines and levels of its kinds, all else changes
    them.
    """

    def __init__(self, ejected=()):
        self.weights = [{} for _ in range(CLASSES)]
        self.admission = [None] * CLASSES
        self.ejected = set(ejected)

    def take(self, parts):
        for part in parts:
            for request_class in part.classes or range(CLASSES):
                if part.complete:
                    self.weights[request_class], self.admission[request_class] = {}, None
                for endpoint, weight in part.weights:
                    self.weights[request_class][endpoint] = weight
                    if not weight:
                        del self.weights[request_class][endpoint]
                if part.quota is not None:
                    self.admission[request_class] = part.quota, part.retry_policy
            self.ejected |= set(part.ejected)
            self.ejected -= set(part.restored)


def expected_state(tables, proxy):
    """What a proxy is to hold of the tables that it is bound to: lines and levels by kind."""
    weights, admission = [{} for _ in range(CLASSES)], [None] * CLASSES
    for at, classes in tables.proxies[proxy].assignments.items():
        for request_class in (
            request_class for request_class in range(CLASSES) if classes >> request_class & 1
        ):
            weights[request_class] = {
                endpoint: weight for endpoint, weight in tables.tables[at].weights.items() if weight
            }
            admission[request_class] = tables.admission_of(at, request_class)
    return weights, admission


small = st.integers
classes = small(0, (1 << CLASSES) - 1)
steps = st.one_of(
    st.tuples(
        st.just("set_weight"), small(0, TABLES - 1), small(0, ENDPOINTS - 1), st.sampled_from([0, 1, 20, 70])
    ),
    st.tuples(st.just("clear_table"), small(0, TABLES - 1)),
    st.tuples(st.just("assign_table"), small(0, TABLES - 1), small(0, PROXIES - 1), classes),
    st.tuples(st.just("set_ejected"), small(0, ENDPOINTS - 1), st.booleans()),
    st.tuples(
        st.just("set_admission"),
        st.sampled_from([*range(TABLES), ALL_TABLES]),
        classes,
        st.sampled_from([0.25, 0.5, 1.0]),
        st.sampled_from([RetryPolicy.NEVER, RetryPolicy.IF_NOT_PROCESSED, RetryPolicy.ON_FAILURE]),
    ),
    st.tuples(st.just("joined"), small(0, PROXIES - 1), st.booleans()),
    st.tuples(st.just("left"), small(0, PROXIES - 1)),
    st.tuples(st.just("told")),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(steps, min_size=10, max_size=60))
def test_what_a_proxy_was_told_is_what_stands(done):
    """Joins thrice in a row, streams that end between the orders of a round, kinds bound anew: whoever is
    joined when a round is told holds the tables it is bound to, with their levels, and is told of each of
    their nodes as it stands."""
    tables, held = RoutingTables(CLASSES), {}
    for name, *fields in [*done, ("told",)]:
        if name == "told":
            tables.request_ack(1, False)
            for proxy, parts in tables.updates():
                held[proxy].take(parts)
            for proxy, one in held.items():
                weights, admission = expected_state(tables, proxy)
                for request_class in range(CLASSES):
                    assert not weights[request_class] or one.weights[request_class] == weights[request_class]
                    assert (
                        admission[request_class] is None
                        or one.admission[request_class] == admission[request_class]
                    )
                    assert all(
                        (endpoint in one.ejected) == (endpoint in tables.ejected)
                        for endpoint in weights[request_class]
                    )
        elif name == "joined":
            proxy, unconfigured = fields
            tables.add_proxy(proxy, unconfigured)
            held[proxy] = HeldByProxy(
                () if unconfigured else range(ENDPOINTS)
            )  # others may have withdrawn any node
        elif name == "left":
            tables.remove_proxy(*fields)
            held.pop(*fields, None)
        else:
            getattr(tables, name)(*fields)


events = st.one_of(
    st.builds(ProxyJoined, small(0, PROXIES - 1), small(0, 1), st.just(10.0), st.booleans()),
    st.builds(ProxyLeft, small(0, PROXIES - 1)),
    st.builds(
        EndpointListReceived,
        st.booleans(),
        st.lists(
            st.builds(
                EndpointEntry,
                small(0, ENDPOINTS - 1),
                small(0, 1),
                st.sampled_from([0.0, 5.0]),
                st.sampled_from(EndpointState),
                st.just(1.0),
            ),
            max_size=ENDPOINTS,
        ),
    ),
    st.builds(
        EndpointLoadReported,
        small(0, ENDPOINTS - 1),
        small(0, 1),
        st.just(1.0),
        st.sampled_from([0.05, 0.9]),
        st.sampled_from([0, 3, 20]),
        st.just(20),
        st.just(LoadReport(None, 0.4, None)),
    ),
    st.builds(
        ProxyLoadReported,
        small(0, PROXIES - 1),
        small(0, CLASSES - 1),
        small(0, 400),
        st.just(0),
        st.just(1.0),
    ),
    st.builds(UpdateAcknowledged, small(0, PROXIES - 1), small(0, 30), st.just(0.1)),
)


class Host(RoutingTables):
    """The order writer on sockets, less the sockets."""

    schedule_round = check_health = watch_endpoints = log = lambda self, *_: None

    def fetch_endpoints(self):
        pass


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.sampled_from([0.25, 0.5, 3.0]), st.lists(events, max_size=6)), max_size=25),
    st.booleans(),
)
def test_only_what_may_run_again_is_tried_after_any_failure(rounds, by_rate):
    """No order, full table, changed level or hand-over opens a moment in which a req runs again that may not:
    a kind that is deduplicated only for a while, or not at all, is tried again on proof alone, so never
    outside its window by us."""
    host, held, now = Host(CLASSES), {}, 10.0
    settings = ControllerSettings(
        request_classes=tuple(
            RequestClass(1, 1, repeat, home)
            for repeat, home in zip(IDEMPOTENCY, (False, True, False), strict=True)
        ),
        discovery=DiscoverySettings(),
        channel=ChannelLimits(1000, 4, 2000),
        warm_up=WarmUpLimits(),
        report_period=1.0,
        admission_mode=AdmissionMode.RATE if by_rate else AdmissionMode.SHARE,
        cross_zone_price=0.1,
        health_checks_allowed=True,
    )
    one = Controller(settings, seed=1)
    start = [
        EndpointListReceived(
            True,
            [
                EndpointEntry(endpoint, endpoint % 2, 0.0, EndpointState.READY, 1.0)
                for endpoint in range(ENDPOINTS)
            ],
        ),
        ProxyJoined(0, 0, 10.0, True),
    ]
    for gap, came in [(0.0, start), *rounds]:
        now += gap
        for event in came:  # as the net code has it: joins and ends are noted as they come
            match event:
                case ProxyJoined():
                    host.add_proxy(event.proxy, event.unconfigured)
                    held[event.proxy] = HeldByProxy()
                case ProxyLeft():
                    host.remove_proxy(event.proxy)
                    held.pop(event.proxy, None)
        one.round(now, came, host)
        for proxy, parts in host.updates():
            for part in range(len(parts)):  # also if the rest of the message never comes
                held[proxy].take(parts[part : part + 1])
                for request_class, quota in enumerate(held[proxy].admission):
                    assert (
                        quota is None
                        or quota[1] <= RetryPolicy.IF_NOT_PROCESSED
                        or IDEMPOTENCY[request_class] == Idempotency.IDEMPOTENT
                    )
