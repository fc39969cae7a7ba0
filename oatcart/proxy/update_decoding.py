"""Decodes one part of an update that a controller sends to a proxy.

Field names are those of the operators' protocol, section "orders on a stream"; only this module uses them.
"""

from collections.abc import Collection
from math import isfinite
from typing import NamedTuple

from oatcart.model import RetryPolicy

RETRY_POLICIES = tuple(policy.value for policy in RetryPolicy)
MAX_SHOWN_CHARACTERS = 80  # of a received name in an error message


class InvalidUpdateError(ValueError):
    """A part of an update has an invalid field; the message names the field and its value."""


class UpdatePart(NamedTuple):
    """One part of an update; the update takes effect once its last part was received."""

    request_classes: tuple[str, ...] | None = None  # None: all
    complete: bool = False  # replaces the tables of these classes
    weights: tuple[tuple[str, float], ...] = ()  # by endpoint, points; 0 removes it
    quota: float | None = None  # share, or requests/s; None: unchanged
    retry_policy: RetryPolicy | None = None  # set together with the quota
    ejected: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()
    nonce: int | None = None  # to be acknowledged once the update has taken effect
    continued: bool = False  # more parts of this update follow


def decode_update_part(
    message: dict, request_classes: Collection[str], known_endpoints: Collection[str]
) -> UpdatePart:
    """Decode a message that is a JSON object.

    `known_endpoints`: all that were ever in the endpoint list. Raises InvalidUpdateError at the first field
    of the wrong type, or with an unknown request class or endpoint.
    """
    for name in _list_of(message, "routes"):
        if name not in request_classes:
            raise InvalidUpdateError(f"routes: expected a known request class, got {_shown(name)}")
    weights = _decode_weights(message, known_endpoints)
    for field in "eject", "restore":
        for endpoint in _list_of(message, field):
            if endpoint not in known_endpoints:
                raise InvalidUpdateError(
                    f"{field}: expected an endpoint that was listed, got {_shown(endpoint)}"
                )
    quota, retry_policy = _decode_quota(message)
    return UpdatePart(
        request_classes=tuple(message["routes"]) if "routes" in message else None,
        complete=bool(message.get("full")),
        weights=weights,
        quota=quota,
        retry_policy=retry_policy,
        ejected=tuple(message.get("eject", ())),
        restored=tuple(message.get("restore", ())),
        nonce=_decode_nonce(message),
        continued=bool(message.get("continued")),
    )


def _decode_weights(message: dict, known_endpoints: Collection[str]) -> tuple[tuple[str, float], ...]:
    weights = []
    for entry in _list_of(message, "endpoints"):
        if not isinstance(entry, list) or len(entry) != 2:
            raise InvalidUpdateError("endpoints: expected pairs of an endpoint and its weight")
        endpoint, weight = entry
        if endpoint not in known_endpoints:
            raise InvalidUpdateError(
                f"endpoints: expected an endpoint that was listed, got {_shown(endpoint)}"
            )
        if not _is_amount(weight):
            raise InvalidUpdateError(
                f"endpoints: {endpoint}: expected a weight of at least 0, got {weight!r}"
            )
        weights.append((endpoint, float(weight)))
    return tuple(weights)


def _decode_quota(message: dict) -> tuple[float | None, RetryPolicy | None]:
    """Return the quota and the retry policy; both or neither are set."""
    if ("admit" in message) != ("policy" in message):
        raise InvalidUpdateError("admit, policy: expected both fields or neither")
    if "admit" not in message:
        return None, None
    quota, retry_policy = message["admit"], message["policy"]
    if not _is_amount(quota):
        raise InvalidUpdateError(f"admit: expected a number of at least 0, got {quota!r}")
    if isinstance(retry_policy, bool) or retry_policy not in RETRY_POLICIES:
        raise InvalidUpdateError(f"policy: expected the number of a retry policy, got {retry_policy!r}")
    return float(quota), RetryPolicy(retry_policy)


def _decode_nonce(message: dict) -> int | None:
    nonce = message.get("nonce_out")
    if nonce is not None and (isinstance(nonce, bool) or not isinstance(nonce, int) or nonce < 0):
        raise InvalidUpdateError(f"nonce_out: expected an integer of at least 0, got {nonce!r}")
    return nonce


def _list_of(message: dict, field: str) -> list:
    value = message.get(field, [])
    if not isinstance(value, list):
        raise InvalidUpdateError(f"{field}: expected a list, got {value!r}")
    return value


def _is_amount(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and isfinite(value) and value >= 0


def _shown(name: object) -> str:
    return repr(str(name)[:MAX_SHOWN_CHARACTERS])
