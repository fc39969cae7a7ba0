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
from oatcart.tables import Tables

KINDS, NODES, PROXIES, TABLES = 3, 4, 2, 2
REPEATS = [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NOT_IDEMPOTENT]


class HeldByProxy:
    """A proxy as the protocol has it: a full table forgets lines and levels of its kinds, all else changes
    them.
    """

    def __init__(self, shut=()):
        self.lines = [{} for _ in range(KINDS)]
        self.levels = [None] * KINDS
        self.shut = set(shut)

    def take(self, parts):
        for part in parts:
            for kind in part.kinds or range(KINDS):
                if part.whole:
                    self.lines[kind], self.levels[kind] = {}, None
                for node, weight in part.lines:
                    self.lines[kind][node] = weight
                    if not weight:
                        del self.lines[kind][node]
                if part.level is not None:
                    self.levels[kind] = part.level, part.tries
            self.shut |= set(part.out)
            self.shut -= set(part.back)


def standing(tables, proxy):
    """What a proxy is to hold of the tables that it is bound to: lines and levels by kind."""
    lines, levels = [{} for _ in range(KINDS)], [None] * KINDS
    for at, kinds in tables.proxies[proxy].bound.items():
        for kind in (kind for kind in range(KINDS) if kinds >> kind & 1):
            lines[kind] = {node: weight for node, weight in tables.tables[at].lines.items() if weight}
            levels[kind] = tables.standing(at, kind)
    return lines, levels


small = st.integers
kinds = small(0, (1 << KINDS) - 1)
steps = st.one_of(
    st.tuples(
        st.just("set_weight"), small(0, TABLES - 1), small(0, NODES - 1), st.sampled_from([0, 1, 20, 70])
    ),
    st.tuples(st.just("clear_table"), small(0, TABLES - 1)),
    st.tuples(st.just("assign_table"), small(0, TABLES - 1), small(0, PROXIES - 1), kinds),
    st.tuples(st.just("set_ejected"), small(0, NODES - 1), st.booleans()),
    st.tuples(
        st.just("set_admission"),
        st.sampled_from([*range(TABLES), ALL_TABLES]),
        kinds,
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
    tables, held = Tables(KINDS), {}
    for name, *fields in [*done, ("told",)]:
        if name == "told":
            tables.request_ack(1, False)
            for proxy, parts in tables.messages():
                held[proxy].take(parts)
            for proxy, one in held.items():
                lines, levels = standing(tables, proxy)
                for kind in range(KINDS):
                    assert not lines[kind] or one.lines[kind] == lines[kind]
                    assert levels[kind] is None or one.levels[kind] == levels[kind]
                    assert all((node in one.shut) == (node in tables.shut) for node in lines[kind])
        elif name == "joined":
            proxy, blank = fields
            tables.joined(proxy, blank)
            held[proxy] = HeldByProxy(() if blank else range(NODES))  # others may have withdrawn any node
        elif name == "left":
            tables.left(*fields)
            held.pop(*fields, None)
        else:
            getattr(tables, name)(*fields)


arrivals = st.one_of(
    st.builds(ProxyJoined, small(0, PROXIES - 1), small(0, 1), st.just(10.0), st.booleans()),
    st.builds(ProxyLeft, small(0, PROXIES - 1)),
    st.builds(
        EndpointListReceived,
        st.booleans(),
        st.lists(
            st.builds(
                EndpointEntry,
                small(0, NODES - 1),
                small(0, 1),
                st.sampled_from([0.0, 5.0]),
                st.sampled_from(EndpointState),
                st.just(1.0),
            ),
            max_size=NODES,
        ),
    ),
    st.builds(
        EndpointLoadReported,
        small(0, NODES - 1),
        small(0, 1),
        st.just(1.0),
        st.sampled_from([0.05, 0.9]),
        st.sampled_from([0, 3, 20]),
        st.just(20),
        st.just(LoadReport(None, 0.4, None)),
    ),
    st.builds(
        ProxyLoadReported, small(0, PROXIES - 1), small(0, KINDS - 1), small(0, 400), st.just(0), st.just(1.0)
    ),
    st.builds(UpdateAcknowledged, small(0, PROXIES - 1), small(0, 30), st.just(0.1)),
)


class Host(Tables):
    """The order writer on sockets, less the sockets."""

    schedule_round = check_health = watch_endpoints = log = lambda self, *_: None

    def fetch_endpoints(self):
        pass


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.sampled_from([0.25, 0.5, 3.0]), st.lists(arrivals, max_size=6)), max_size=25),
    st.booleans(),
)
def test_only_what_may_run_again_is_tried_after_any_failure(rounds, by_rate):
    """No order, full table, changed level or hand-over opens a moment in which a req runs again that may not:
    a kind that is deduplicated only for a while, or not at all, is tried again on proof alone, so never
    outside its window by us."""
    host, held, now = Host(KINDS), {}, 10.0
    settings = ControllerSettings(
        request_classes=tuple(
            RequestClass(1, 1, repeat, home)
            for repeat, home in zip(REPEATS, (False, True, False), strict=True)
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
            True, [EndpointEntry(node, node % 2, 0.0, EndpointState.READY, 1.0) for node in range(NODES)]
        ),
        ProxyJoined(0, 0, 10.0, True),
    ]
    for gap, came in [(0.0, start), *rounds]:
        now += gap
        for event in came:  # as the net code has it: joins and ends are noted as they come
            match event:
                case ProxyJoined():
                    host.joined(event.proxy, event.unconfigured)
                    held[event.proxy] = HeldByProxy()
                case ProxyLeft():
                    host.left(event.proxy)
                    held.pop(event.proxy, None)
        one.round(now, came, host)
        for proxy, parts in host.messages():
            for part in range(len(parts)):  # also if the rest of the message never comes
                held[proxy].take(parts[part : part + 1])
                for kind, level in enumerate(held[proxy].levels):
                    assert (
                        level is None
                        or level[1] <= RetryPolicy.IF_NOT_PROCESSED
                        or REPEATS[kind] == Idempotency.IDEMPOTENT
                    )
