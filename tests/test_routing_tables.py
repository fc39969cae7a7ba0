"""Routing tables under random commands: the state of proxies, and the requests that they may retry."""

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
from oatcart.routing_tables import RoutingTables, UpdatePart, bits_of

CLASSES, ENDPOINTS, PROXIES, TABLES = 3, 4, 2, 2
IDEMPOTENCY = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NOT_IDEMPOTENT]


class ProxyReplica:
    """The state of a proxy: a complete table replaces the weights and the admission of its classes."""

    def __init__(self, ejected=()):
        self.weights = [{} for _ in range(CLASSES)]
        self.admission = [None] * CLASSES
        self.ejected = set(ejected)

    def apply(self, parts):
        for part in parts:
            for request_class in part.classes or range(CLASSES):
                self.apply_to_class(part, request_class)
            self.ejected |= set(part.ejected)
            self.ejected -= set(part.restored)

    def apply_to_class(self, part, request_class):
        if part.complete:
            self.weights[request_class] = {}
            self.admission[request_class] = None
        for endpoint, weight in part.weights:
            self.weights[request_class][endpoint] = weight
            if not weight:
                del self.weights[request_class][endpoint]
        if part.quota is not None:
            self.admission[request_class] = part.quota, part.retry_policy


def expected_state(tables, proxy):
    """Returns the weights and the admission by class that a proxy should have from its assigned tables."""
    weights, admission = [{} for _ in range(CLASSES)], [None] * CLASSES
    for table, classes in tables.proxies[proxy].assignments.items():
        current = {endpoint: weight for endpoint, weight in tables.tables[table].weights.items() if weight}
        for request_class in bits_of(classes):
            weights[request_class] = current
            admission[request_class] = tables.admission_of(table, request_class)
    return weights, admission


def check_replica(tables, proxy, replica):
    weights, admission = expected_state(tables, proxy)
    for request_class in range(CLASSES):
        wanted = weights[request_class]
        assert not wanted or replica.weights[request_class] == wanted
        limit = admission[request_class]
        assert limit is None or replica.admission[request_class] == limit
        assert all((endpoint in replica.ejected) == (endpoint in tables.ejected) for endpoint in wanted)


integers = st.integers
classes = integers(0, (1 << CLASSES) - 1)
command_steps = st.one_of(
    st.tuples(
        st.just("set_weight"),
        integers(0, TABLES - 1),
        integers(0, ENDPOINTS - 1),
        st.sampled_from([0, 1, 20, 70]),
    ),
    st.tuples(st.just("clear_table"), integers(0, TABLES - 1)),
    st.tuples(st.just("assign_table"), integers(0, TABLES - 1), integers(0, PROXIES - 1), classes),
    st.tuples(st.just("set_ejected"), integers(0, ENDPOINTS - 1), st.booleans()),
    st.tuples(st.just("send_ejections"), integers(0, PROXIES - 1)),
    st.tuples(
        st.just("set_admission"),
        st.sampled_from([*range(TABLES), ALL_TABLES]),
        classes,
        st.sampled_from([0.25, 0.5, 1.0]),
        st.sampled_from([RetryPolicy.NEVER, RetryPolicy.IF_NOT_PROCESSED, RetryPolicy.ON_FAILURE]),
    ),
    st.tuples(st.just("join"), integers(0, PROXIES - 1), st.booleans()),
    st.tuples(st.just("leave"), integers(0, PROXIES - 1)),
    st.tuples(st.just("send")),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(command_steps, min_size=10, max_size=60))
def test_proxies_have_the_state_of_their_tables_after_each_update(commands):
    """Proxies may join several times in a row, streams may end within a round, classes may be reassigned.

    Every proxy that is joined when updates are sent has its assigned tables with their admission, and the
    correct state of each of their endpoints, ejected or not. One that all ejections are sent to has them all.
    """
    tables, replicas = RoutingTables(CLASSES), {}
    for name, *arguments in [*commands, ("send",)]:
        if name == "send":
            tables.request_ack(1, False)
            all_ejections_to = tables.changes.all_ejections_to
            for proxy, parts in tables.updates():
                replicas[proxy].apply(parts)
            assert all(tables.ejected <= replicas[proxy].ejected for proxy in all_ejections_to)
            for proxy, replica in replicas.items():
                check_replica(tables, proxy, replica)
        elif name == "join":
            proxy, unconfigured = arguments
            tables.add_proxy(proxy, unconfigured)
            # other controllers may have ejected any endpoint
            replicas[proxy] = ProxyReplica(() if unconfigured else range(ENDPOINTS))
        elif name == "leave":
            tables.remove_proxy(*arguments)
            replicas.pop(*arguments, None)
        else:
            getattr(tables, name)(*arguments)


events = st.one_of(
    st.builds(ProxyJoined, integers(0, PROXIES - 1), integers(0, 1), st.just(10.0), st.booleans()),
    st.builds(ProxyLeft, integers(0, PROXIES - 1)),
    st.builds(
        EndpointListReceived,
        st.booleans(),
        st.lists(
            st.builds(
                EndpointEntry,
                integers(0, ENDPOINTS - 1),
                integers(0, 1),
                st.sampled_from([0.0, 5.0]),
                st.sampled_from(EndpointState),
                st.just(1.0),
            ),
            max_size=ENDPOINTS,
        ),
    ),
    st.builds(
        EndpointLoadReported,
        integers(0, ENDPOINTS - 1),
        integers(0, 1),
        st.just(1.0),
        st.sampled_from([0.05, 0.9]),
        st.sampled_from([0, 3, 20]),
        st.just(20),
        st.just(LoadReport(None, 0.4, None)),
    ),
    st.builds(
        ProxyLoadReported,
        integers(0, PROXIES - 1),
        integers(0, CLASSES - 1),
        integers(0, 400),
        st.just(0),
        st.just(1.0),
    ),
    st.builds(UpdateAcknowledged, integers(0, PROXIES - 1), integers(0, 30), st.just(0.1)),
)


class Adapter(RoutingTables):
    """A command writer without I/O."""

    schedule_round = check_health = watch_endpoints = log = lambda self, *_: None

    def fetch_endpoints(self):
        pass


def test_all_ejections_are_sent_to_one_proxy_and_only_those_it_lacks():
    tables = RoutingTables(CLASSES)
    tables.set_ejected(2, True)
    assert dict(tables.updates()) == {}
    tables.add_proxy(0, False)
    tables.add_proxy(1, False)
    tables.set_ejected(3, True)
    dict(tables.updates())
    tables.send_ejections(1)
    tables.send_ejections(7)  # has not joined
    assert dict(tables.updates()) == {1: (UpdatePart(ejected=(2,)),)}
    tables.send_ejections(1)
    assert dict(tables.updates()) == {}


def controller_settings(by_rate):
    """One class of each idempotency; the keyed one is served only in the proxy's own zone."""
    return ControllerSettings(
        request_classes=tuple(
            RequestClass(1, 1, idempotency, own_zone_only)
            for idempotency, own_zone_only in zip(IDEMPOTENCY, (False, True, False), strict=True)
        ),
        discovery=DiscoverySettings(),
        channel=ChannelLimits(1000, 4, 2000),
        warm_up=WarmUpLimits(),
        report_period=1.0,
        admission_mode=AdmissionMode.RATE if by_rate else AdmissionMode.SHARE,
        cross_zone_price=0.1,
        health_checks_allowed=True,
    )


def first_events():
    """A complete list of ready endpoints, and a joining proxy."""
    entries = [
        EndpointEntry(number, number % 2, 0.0, EndpointState.READY, 1.0) for number in range(ENDPOINTS)
    ]
    return [EndpointListReceived(True, entries), ProxyJoined(0, 0, 10.0, True)]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.sampled_from([0.25, 0.5, 3.0]), st.lists(events, max_size=6)), max_size=25),
    st.booleans(),
)
def test_only_idempotent_requests_are_retried_after_any_failure(rounds, by_rate):
    """Checked after each part of an update, so also if a proxy applies only some of them.

    This covers complete tables, changed quotas and new assignments. A keyed class counts as not idempotent,
    because only some endpoints know its keys, and only for some time.
    """
    tables, replicas, now = Adapter(CLASSES), {}, 10.0
    controller = Controller(controller_settings(by_rate), seed=1)
    for gap, events_of_round in [(0.0, first_events()), *rounds]:
        now += gap
        for event in events_of_round:  # as on sockets, proxies join and leave before the round
            match event:
                case ProxyJoined():
                    tables.add_proxy(event.proxy, event.unconfigured)
                    replicas[event.proxy] = ProxyReplica()
                case ProxyLeft():
                    tables.remove_proxy(event.proxy)
                    replicas.pop(event.proxy, None)
        controller.round(now, events_of_round, tables)
        for proxy, parts in tables.updates():
            for part in parts:  # also if the rest of the update is not received
                replicas[proxy].apply([part])
                for request_class, admission in enumerate(replicas[proxy].admission):
                    assert (
                        admission is None
                        or admission[1] <= RetryPolicy.IF_NOT_PROCESSED
                        or IDEMPOTENCY[request_class] == Idempotency.IDEMPOTENT
                    )
