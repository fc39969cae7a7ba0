"""The configurations that the made fleet is played under; settings have the names of the wire's page."""

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_START = 8412.25  # ms; the wire's clock has no special starting value


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; `share` of the traffic, `aim` in ms."""

    name: str
    share: float = 1.0
    aim: float = 500.0
    worth: float = 1.0
    idempotency: str = "idempotent"
    zone_bound: bool = False
    only_zones: tuple[str, ...] = ()


LOOKUP = RequestClass("lookup", 0.54, 500.0, 1.0, "idempotent")
SLOT = RequestClass("slot", 0.26, 1000.0, 3.0, "deduplicated")
CHARGE = RequestClass("charge", 0.20, 1000.0, 5.0, "at_most_once")
HOME_SLOT = RequestClass("home-slot", 0.35, 800.0, 4.0, "deduplicated", zone_bound=True)
PLACED = RequestClass("placed", 0.38, 1000.0, 5.0, "at_most_once", only_zones=("a",))
QUICK = RequestClass("quick", 0.4, 200.0, 1.0)  # of less worth than LASTING, but of more for its time
LASTING = RequestClass("lasting", 0.4, 2000.0, 4.0, "deduplicated")
FAULTS: Mapping[str, float] = {
    "vanished": 1.0,
    "failing": 1.5,
    "flaky": 1.0,
    "slow": 1.0,
    "restart": 1.5,
    "drain": 1.5,
    "proxies_leave": 0.7,
    "one_rejoins": 1.0,
    "overload": 0.7,
    "reports_late": 0.7,
    "acks_late": 0.7,
    "discovery_down": 0.7,
    "odd_records": 6.0,
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A configuration, the fleet that is played under it and its faults, in events a minute."""

    name: str
    seed: int
    seconds: int = 120
    zones: tuple[str, ...] = ("a", "b", "c")
    classes: tuple[RequestClass, ...] = (LOOKUP, SLOT, CHARGE)
    endpoints: int = 9
    proxies: int = 8
    controllers: int = 2
    capacity: float = 30.0  # requests/s of an endpoint of size 1
    idle_ms: float = 90.0  # its response time without load
    proxy_rate: float = 16.0  # requests/s of a proxy, at the mean
    zone_skew: float = 0.0  # this part of the proxies stands in zone 0 beside its own share
    overload: float = 2.6  # times the usual rate
    admit: str = "fraction"
    weights: str = "off"
    sizes: tuple[float, float, float, float] = (0.5, 1.0, 1.0, 2.0)  # that listed weights are drawn from
    membership: str = "automatic"
    probes: bool = True
    cross_zone: float = 0.12
    fields: tuple[str, ...] = ("concurrent",)
    push_rate: float = 3700.0  # lines/s
    envelope: float = 4.0  # lines
    queue_cap: float = 5600.0  # lines
    messages_most: int = 12
    window_ms: float = 10000.0
    period: int = 1000  # ms
    ingest_rate: float = 120.0  # lines/s
    grace_ms: float = 3400.0
    cold: float = 17000.0  # ms
    cold_share: float = 0.19
    tip_multiple: float = 4.0
    cached: float = 1.0  # part of the list that a started controller holds
    list_after: int = 0  # ms until discovery answers
    ack_ms: tuple[int, int] = (100, 500)
    acks_lost: float = 0.0
    drain_part: float = 0.25
    replaced: float = 1.0  # part of the drained endpoints that get a successor
    calm_ms: int = 4000  # without faults at the start
    join_ms: int = 1500  # over which the proxies join at the start
    told_proxies: int = 0  # proxies that the settings tell of; 0: as many as there are
    clock_jitter: float = 0.0  # ms that a batch's clock is late, at most
    faults: Mapping[str, float] = field(default_factory=lambda: FAULTS)


def _faults(**changed: float) -> dict[str, float]:
    """The usual faults with some rates changed."""
    return {**FAULTS, **changed}


SCENARIOS = (
    Scenario("plain", 101, faults=_faults(odd_records=0.0)),
    Scenario(
        "zone_bound",
        102,
        classes=(LOOKUP, HOME_SLOT),
        zone_skew=0.4,
        weights="rough",
        cross_zone=0.04,
        admit="per_second",
        endpoints=12,
        messages_most=20,
        faults=_faults(zone_loss=1.5, overload=1.5),
    ),
    Scenario(
        "placed_classes",
        103,
        zones=("a", "b"),
        classes=(RequestClass("menu", 0.62, 1500.0, 2.0), PLACED),
        weights="nominal",
        cross_zone=0.01,
        admit="per_second",
        membership="subscribe",
        fields=("load_share", "depth"),
        messages_most=0,
        period=2000,
        ingest_rate=75.0,
        tip_multiple=2.5,
        idle_ms=200.0,
        faults=_faults(discovery_down=2.0, zone_loss=1.0),
    ),
    Scenario(
        "tight_channel",
        104,
        endpoints=16,
        proxies=14,
        push_rate=260.0,
        queue_cap=420.0,
        messages_most=5,
        envelope=6.0,
        grace_ms=9000.0,
        ack_ms=(300, 1800),
        acks_lost=0.15,
        faults=_faults(drain=3.0, acks_late=2.0, vanish_from_list=1.0),
    ),
    Scenario(
        "subsets",
        105,
        seconds=130,
        endpoints=18,
        proxies=36,
        push_rate=700.0,
        queue_cap=1500.0,
        grace_ms=2600.0,
        proxy_rate=7.0,
        ingest_rate=240.0,
        faults=_faults(drain=2.5, controller_restart=1.5, zone_loss=0.8),
    ),
    Scenario(
        "subsets_zone_bound",
        106,
        classes=(LOOKUP, HOME_SLOT, CHARGE),
        endpoints=18,
        proxies=24,
        push_rate=420.0,
        queue_cap=1200.0,
        grace_ms=3000.0,
        proxy_rate=9.0,
        messages_most=9,
        cross_zone=0.1,
        ack_ms=(200, 900),
        faults=_faults(drain=2.5, controller_restart=1.5, vanish_from_list=1.0),
    ),
    Scenario(
        "gone_for_good",
        107,
        seconds=260,
        endpoints=14,
        proxies=6,
        replaced=0.6,
        membership="subscribe",
        faults=_faults(drain=0.6, undrain=0.6, vanish_from_list=0.8, zone_loss=0.0, controller_restart=0.4),
    ),
    Scenario(
        "overloaded",
        108,
        proxy_rate=30.0,
        overload=2.0,
        faults=_faults(overload=3.0, all_failing=1.0, slow=2.0, reports_late=2.0),
    ),
    Scenario(
        "not_admitted",
        109,
        admit="off",
        probes=False,
        fields=(),
        weights="live",
        proxy_rate=24.0,
        cold=1000.0,
        faults=_faults(all_failing=0.7, controller_restart=1.0),
    ),
    Scenario(
        "near_zones",
        110,
        zones=("a", "b", "c", "d"),
        endpoints=12,
        zone_skew=0.45,
        cross_zone=0.2,
        proxy_rate=22.0,
        fields=("mean_ms", "load_share", "tps", "concurrent"),
        faults=_faults(zone_loss=1.5, restart=2.5),
    ),
    Scenario(
        "cold_fleet",
        111,
        endpoints=6,
        zones=("a", "b"),
        cached=0.0,
        cold=30000.0,
        cold_share=0.1,
        tip_multiple=2.0,
        membership="subscribe",
        faults=_faults(restart=6.0, zone_loss=2.0, controller_restart=1.0),
    ),
    Scenario(
        "retries",
        112,
        classes=(LOOKUP, RequestClass("view", 0.5, 700.0, 2.0), CHARGE),
        proxy_rate=10.0,
        idle_ms=40.0,
        probes=False,
        faults=_faults(failing=3.0, flaky=4.0, overload=0.2, slow=0.2),
    ),
    Scenario(
        "one_of_each",
        113,
        zones=("a",),
        classes=(LOOKUP,),
        endpoints=2,
        proxies=2,
        controllers=1,
        cached=0.5,
        push_rate=50.0,
        queue_cap=0.0,
        messages_most=3,
        window_ms=4000.0,
        cold=0.0,
        proxy_rate=20.0,
        faults=_faults(all_failing=1.0, controller_restart=1.0),
    ),
    Scenario(
        "slow_channel",
        1114,
        seconds=200,
        endpoints=19,
        proxies=14,
        controllers=1,
        weights="live",
        cross_zone=0.0,
        push_rate=68.0,
        envelope=1.0,
        queue_cap=180.0,
        messages_most=16,
        grace_ms=60000.0,
        drain_part=0.4,
        ack_ms=(200, 2500),
        faults=_faults(drain=2.0, slow=6.0, restart=0.5, vanish_from_list=3.0),
    ),
    Scenario(
        "smallest_subsets",
        115,
        seconds=90,
        endpoints=12,
        proxies=26,
        cross_zone=0.08,
        push_rate=150.0,
        queue_cap=900.0,
        grace_ms=2000.0,
        proxy_rate=6.0,
        faults=_faults(drain=2.0),
    ),
    Scenario(
        "growing_subsets",
        116,
        seconds=90,
        endpoints=16,
        proxies=20,
        controllers=1,
        classes=(LOOKUP, CHARGE),
        cross_zone=0.0,
        push_rate=400.0,
        queue_cap=1000.0,
        grace_ms=1200.0,
        proxy_rate=8.0,
        join_ms=40000,
        calm_ms=30000,
        told_proxies=4,
        faults=_faults(proxies_leave=2.0),
    ),
    Scenario(
        "half_lost",
        117,
        endpoints=13,
        proxies=6,
        cross_zone=0.0,
        clock_jitter=12.0,
        faults=_faults(half_vanished=4.0, drain=0.3, vanish_from_list=0.3, restart=0.3),
    ),
    Scenario(
        "cold_subsets",
        118,
        seconds=90,
        classes=(QUICK, LOOKUP, LASTING),
        weights="nominal",
        sizes=(0.0, 1.0, 1.0, 2.0),
        endpoints=14,
        proxies=18,
        push_rate=260.0,
        queue_cap=260.0,
        grace_ms=2400.0,
        proxy_rate=9.0,
        cold=30000.0,
        cross_zone=0.0,
        faults=_faults(restart=8.0, zone_loss=3.0, acks_silent=4.0, controller_restart=2.0),
    ),
    Scenario(
        "late_list",
        119,
        seconds=60,
        classes=(QUICK, LASTING),
        endpoints=5,
        proxies=6,
        controllers=1,
        membership="subscribe",
        cached=0.0,
        list_after=15000,
        proxy_rate=40.0,
        faults=_faults(odd_records=40.0, odd_class=6.0, overload=4.0),
    ),
    Scenario(
        "few_subsets",
        120,
        seconds=60,
        classes=(LOOKUP,),
        endpoints=24,
        proxies=3,
        controllers=1,
        cross_zone=0.0,
        push_rate=68.0,
        queue_cap=200.0,
        grace_ms=1000.0,
        told_proxies=2,
        faults=_faults(proxies_leave=3.0),
    ),
    Scenario(
        "hasty_growth",
        121,
        seconds=60,
        zones=("a", "b"),
        classes=(LOOKUP, HOME_SLOT),
        endpoints=16,
        proxies=20,
        controllers=1,
        cross_zone=0.0,
        push_rate=120.0,
        queue_cap=130.0,
        grace_ms=6000.0,
        proxy_rate=6.0,
        join_ms=8000,
        calm_ms=20000,
        told_proxies=4,
        faults=_faults(controller_restart=4.0),
    ),
)
