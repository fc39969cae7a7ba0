"""Reads the settings object of a controller into the records that its decisions are started with.

Names of settings are those of the operators' pages; times are milliseconds there and seconds in the records.
"""

from dataclasses import replace
from math import inf
from typing import TypeVar

from oatcart.errors import InvalidSettingError
from oatcart.load_reports import is_amount
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    Idempotency,
    RequestClass,
    WarmUpLimits,
)

MS_PER_SECOND = 1000
SMALLEST_POSITIVE = 1e-9  # the least value of a setting that may not be 0
_IDEMPOTENCY = {"idempotent": Idempotency.IDEMPOTENT, "deduplicated": Idempotency.KEYED}
_ADMISSION_MODES = {"fraction": AdmissionMode.SHARE, "per_second": AdmissionMode.RATE}

Limits = TypeVar("Limits", ChannelLimits, WarmUpLimits)


def read_seconds(table: dict, name: str, default: float = 0.0) -> float:
    """Read a time in milliseconds as seconds; `default` (s) where it is not set.

    >>> read_seconds({"aim": 250.0}, "aim"), read_seconds({}, "aim", 2.0)
    (0.25, 2.0)
    """
    value = table.get(name)
    return default if value is None else value / MS_PER_SECOND


def require_amount(table: dict, name: str, where: str, minimum: float = SMALLEST_POSITIVE) -> float:
    """Read a number that has no default, as it differs by deployment.

    Raises InvalidSettingError with the setting's full name and value where it is missing, no number, or too
    small.
    """
    value = table.get(name)
    if not is_amount(value) or value < minimum:
        raise InvalidSettingError(f"{where}.{name} is {value!r}")
    return value


def read_controller_settings(settings: dict) -> ControllerSettings:
    """Read all that a controller is started with beside its seed.

    Raises InvalidSettingError where a required number is missing, AttributeError, TypeError or ValueError
    where a value has another form.
    """
    specifics = settings.get("specifics") or {}
    rules = settings.get("rules") or {}
    return ControllerSettings(
        request_classes=_read_request_classes(settings, specifics),
        discovery=DiscoverySettings(
            must_watch=settings.get("membershipMode") == "subscribe",
            lists_weights=settings.get("weights", "off") != "off",
        ),
        channel=_read_channel_limits(specifics),
        warm_up=_with_given(
            WarmUpLimits(),
            duration=read_seconds(rules, "cold"),
            initial_fraction=rules.get("coldShare"),
            overload_multiple=rules.get("tipMultiple"),
        ),
        report_period=require_amount(specifics, "period", "specifics", 0.0) / MS_PER_SECOND,
        admission_mode=_ADMISSION_MODES.get(specifics.get("admit"), AdmissionMode.NONE),
        cross_zone_price=(settings.get("penalties") or {}).get("crossZone", 0.0),
        health_checks_allowed=bool((settings.get("policyLimits") or {}).get("probes")),
        drain_deadline=read_seconds(rules, "stopSendingWithin", inf),
        expected_proxies=specifics.get("proxyCount", 0) / max(1, settings.get("balancers") or 1),
    )


def read_socket_controller_settings(settings: dict) -> ControllerSettings:
    """Read the settings of a controller on sockets.

    Discovery tells nothing unasked there, so it is watched whatever the settings say. Raises as
    `read_controller_settings` does.
    """
    controller = read_controller_settings(settings)
    return replace(controller, discovery=controller.discovery._replace(must_watch=True))


def _read_request_classes(settings: dict, specifics: dict) -> tuple[RequestClass, ...]:
    zones = settings.get("zones") or []
    own_zone_only = specifics.get("zoneBound") or []
    return tuple(
        RequestClass(
            priority_weight=grade.get("worth", 1.0),
            latency_objective=require_amount(grade, "aim", f"grades[{place}]") / MS_PER_SECOND,
            idempotency=_IDEMPOTENCY.get(grade.get("idempotency"), Idempotency.NOT_IDEMPOTENT),
            own_zone_only=place < len(own_zone_only) and own_zone_only[place],
            zones=_read_zones(grade.get("onlyZones") or [], zones),
        )
        for place, grade in enumerate(settings.get("grades") or [])
    )


def _read_zones(listed: list, zones: list[str]) -> tuple[int, ...]:
    """Zone numbers of a list of names or numbers; unknown names are left out."""
    known = (zone for zone in listed if not isinstance(zone, str) or zone in zones)
    return tuple(zones.index(zone) if isinstance(zone, str) else int(zone) for zone in known)


def _read_channel_limits(specifics: dict) -> ChannelLimits:
    line_rate = require_amount(specifics, "pushRate", "specifics")
    message_window = None  # required with a message cap alone
    if specifics.get("messagesMost"):
        message_window = require_amount(specifics, "updateWindow", "specifics") / MS_PER_SECOND
    return _with_given(
        ChannelLimits(),
        line_rate=line_rate,
        message_overhead=specifics.get("envelope"),
        max_queue=specifics.get("queueCap"),
        max_messages=specifics.get("messagesMost"),
        message_window=message_window,
    )


def _with_given(defaults: Limits, **values: float | None) -> Limits:
    """Replace the defaults of the values that are set."""
    return defaults._replace(**{name: value for name, value in values.items() if value is not None})
