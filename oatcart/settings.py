"""Converts the settings object of a controller into the records of `oatcart.model`.

The names of settings are the documented ones. Times are milliseconds in the settings and seconds in the
records.
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
SMALLEST_POSITIVE = 1e-9  # smallest value that is accepted for a setting that must be above 0
_IDEMPOTENCY = {"idempotent": Idempotency.IDEMPOTENT, "deduplicated": Idempotency.KEYED}
_ADMISSION_MODES = {"fraction": AdmissionMode.SHARE, "per_second": AdmissionMode.RATE}

Limits = TypeVar("Limits", ChannelLimits, WarmUpLimits)


def read_seconds(table: dict, name: str, default: float = 0.0) -> float:
    """Return a setting in milliseconds as seconds, or `default` (s) if it is not set.

    >>> read_seconds({"aim": 250.0}, "aim"), read_seconds({}, "aim", 2.0)
    (0.25, 2.0)
    """
    value = table.get(name)
    return default if value is None else value / MS_PER_SECOND


def require_amount(table: dict, name: str, where: str, minimum: float = SMALLEST_POSITIVE) -> float:
    """Return a required number; it has no default because it differs between deployments.

    `where` is the path of `table` in the settings, for messages. Raises InvalidSettingError with the full
    name and the value of the setting if it is missing, not a number, or out of range.
    """
    value = table.get(name)
    if not is_amount(value) or value < minimum:
        raise InvalidSettingError(f"{where}.{name}: missing, not a number or out of range: {value!r}")
    return value


def read_controller_settings(settings: dict) -> ControllerSettings:
    """Return the settings of a controller; its seed is passed separately.

    Raises InvalidSettingError if a required number is missing or invalid, and AttributeError, TypeError or
    ValueError if another value has the wrong type.
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
        warm_up=_with_overrides(
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
    """Return the settings of a controller on sockets.

    Discovery over sockets sends changes only to a watch, so `must_watch` is always set, and each proxy has a
    stream of its own, so ejections can be sent to one alone. Raises the same errors as
    `read_controller_settings`.
    """
    controller = read_controller_settings(settings)
    return replace(
        controller,
        discovery=controller.discovery._replace(must_watch=True),
        single_proxy_ejections=True,
    )


def _read_request_classes(settings: dict, specifics: dict) -> tuple[RequestClass, ...]:
    zones = settings.get("zones") or []
    own_zone_only = specifics.get("zoneBound") or []
    return tuple(
        RequestClass(
            priority_weight=request_class.get("worth", 1.0),
            latency_objective=require_amount(request_class, "aim", f"grades[{index}]") / MS_PER_SECOND,
            idempotency=_IDEMPOTENCY.get(request_class.get("idempotency"), Idempotency.NOT_IDEMPOTENT),
            own_zone_only=index < len(own_zone_only) and own_zone_only[index],
            zones=_read_zones(request_class.get("onlyZones") or [], zones),
        )
        for index, request_class in enumerate(settings.get("grades") or [])
    )


def _read_zones(listed: list, zones: list[str]) -> tuple[int, ...]:
    """Return the zone numbers for a list of zone names or numbers; unknown names are left out."""
    known = (zone for zone in listed if not isinstance(zone, str) or zone in zones)
    return tuple(zones.index(zone) if isinstance(zone, str) else int(zone) for zone in known)


def _read_channel_limits(specifics: dict) -> ChannelLimits:
    line_rate = require_amount(specifics, "pushRate", "specifics")
    message_window = None  # required only if there is a message cap
    if specifics.get("messagesMost"):
        message_window = require_amount(specifics, "updateWindow", "specifics") / MS_PER_SECOND
    return _with_overrides(
        ChannelLimits(),
        line_rate=line_rate,
        message_overhead=specifics.get("envelope"),
        max_queue=specifics.get("queueCap"),
        max_messages=specifics.get("messagesMost"),
        message_window=message_window,
    )


def _with_overrides(defaults: Limits, **values: float | None) -> Limits:
    """Return `defaults` with each value replaced that is not None."""
    return defaults._replace(**{name: value for name, value in values.items() if value is not None})
