"""What both hosts are handed in the same form: the settings object and load reports."""

from dataclasses import replace
from math import inf

from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)

# any unit: over all that is told, Unix time in ms the largest; sums of more would overflow
AMOUNT_MOST = 1e13
# reqs held or waiting, cores in use: more than any node has; one such figure would stand for long
LOAD_MOST = 1e6
_REPEATS = {"idempotent": Idempotency.IDEMPOTENT, "deduplicated": Idempotency.KEYED}
_ADMITS = {"fraction": AdmissionMode.SHARE, "per_second": AdmissionMode.RATE}
# In the order of LoadReport: the settings' names, which reports bear on sockets too, and those of the
# protocol's page
_LOADS = (("concurrent", "inflight"), ("load_share", "util"), ("depth", "queue"))


def seconds(table: dict, key: str, default: float = 0.0) -> float:
    """A time of the settings in seconds.

    >>> seconds({"aim": 250.0}, "aim"), seconds({}, "aim", 2.0)
    (0.25, 2.0)
    """
    value = table.get(key)
    return default if value is None else value / 1000


def needed(table: dict, key: str, where: str, least: float = 1e-9) -> float:
    """A figure that nothing can stand in for: any other would be some other deployment's."""
    value = table.get(key)
    if not is_amount(value) or value < least:
        raise LookupError(f"{where}.{key} is {value!r}")
    return value


def _given(record: type, **values):
    """A record with the values that are there; the others keep its defaults."""
    return record(**{key: value for key, value in values.items() if value is not None})


def _req_kind(place: int, grade: dict, home: bool, zones: list[str]) -> RequestClass:
    names = grade.get("onlyZones") or []
    return RequestClass(
        priority_weight=grade.get("worth", 1.0),
        latency_objective=needed(grade, "aim", f"grades[{place}]") / 1000,
        idempotency=_REPEATS.get(grade.get("idempotency"), Idempotency.NOT_IDEMPOTENT),
        own_zone_only=home,
        zones=tuple(
            zones.index(z) if isinstance(z, str) else int(z)
            for z in names
            if z in zones or not isinstance(z, str)
        ),
    )


def start_records(settings: dict) -> ControllerSettings:
    """What a conductor is started with beside its seed, each part in a record of its own."""
    plane, rules = settings.get("specifics") or {}, settings.get("rules") or {}
    home = plane.get("zoneBound") or []
    return ControllerSettings(
        request_classes=tuple(
            _req_kind(place, grade, place < len(home) and home[place], settings.get("zones") or [])
            for place, grade in enumerate(settings.get("grades") or [])
        ),
        discovery=DiscoverySettings(
            must_watch=settings.get("membershipMode") == "subscribe",
            lists_weights=settings.get("weights", "off") != "off",
        ),
        channel=_given(
            ChannelLimits,
            line_rate=needed(plane, "pushRate", "specifics"),
            message_overhead=plane.get("envelope"),
            max_queue=plane.get("queueCap"),
            max_messages=plane.get("messagesMost"),
            message_window=needed(plane, "updateWindow", "specifics") / 1000
            if plane.get("messagesMost")
            else None,
        ),
        warm_up=_given(
            WarmUpLimits,
            duration=seconds(rules, "cold"),
            initial_fraction=rules.get("coldShare"),
            overload_multiple=rules.get("tipMultiple"),
        ),
        report_period=needed(plane, "period", "specifics", 0.0) / 1000,
        admission_mode=_ADMITS.get(plane.get("admit"), AdmissionMode.NONE),
        cross_zone_price=(settings.get("penalties") or {}).get("crossZone", 0.0),
        health_checks_allowed=bool((settings.get("policyLimits") or {}).get("probes")),
        drain_deadline=seconds(rules, "stopSendingWithin", inf),
        expected_proxies=plane.get("proxyCount", 0) / max(1, settings.get("balancers") or 1),
    )


def socket_records(settings: dict) -> ControllerSettings:
    """The same for a conductor on sockets, where nothing comes unasked, whatever the settings tell of the
    list.
    """
    records = start_records(settings)
    return replace(records, discovery=records.discovery._replace(must_watch=True))


def is_amount(value: object) -> bool:
    """Whether it is a figure from 0 to what anything here can be."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= AMOUNT_MOST


def load(report: object) -> LoadReport:
    """A load report by our names; what is missing, negative, no number or no load is not told."""
    told = report if isinstance(report, dict) else {}
    held, busy, waiting = (
        next((value for name in names if is_amount(value := told.get(name)) and value <= LOAD_MOST), None)
        for names in _LOADS
    )
    return LoadReport(held, busy, waiting)
