"""Decodes and encodes the messages of the socket protocol.

The protocol's message and field names are used in no other module of `oatcart/net`. Names on the wire become
small integers, milliseconds become seconds.
"""

from collections.abc import Iterable, Mapping, Sequence
from ipaddress import IPv4Address
from typing import NamedTuple

import orjson

from oatcart.errors import CloseReason, ConnectionClosedError, InvalidMessageError
from oatcart.events import (
    EndpointEntry,
    EndpointLoadReported,
    ProxyJoined,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.load_reports import MAX_AMOUNT, is_amount, read_load_report
from oatcart.model import EndpointState
from oatcart.net.stream import Address
from oatcart.routing_tables import UpdatePart

ENDPOINT_LIST_PATH, HEALTH_PATH, LOAD_PATH = "/v1/servers", "/healthz", "/load"
PONG = b'{"msg":"pong"}\n'
MAX_COUNT = 10**7  # requests in a report or per second, proxies, nonces: more than a fleet has in any window
MAX_DURATION_MS = 3.6e6  # an hour: longer than any window or request
MAX_ID_LENGTH = 256  # characters of an endpoint's id
MAX_LOGGED_VALUE_LENGTH = 80  # characters of an invalid value in an error
MAX_LOGGED_ENTRY_LENGTH = 300  # characters of an invalid entry of the endpoint list in the log

_ENDPOINT_STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
# Raised when a parsed object is decoded and a field is missing, has the wrong type or an impossible value.
_DECODING_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class Ping(NamedTuple):
    """A request for a pong."""


class CollectorConnected(NamedTuple):
    """A collector has identified itself."""

    zone: str


Message = (
    Ping | CollectorConnected | ProxyJoined | UpdateAcknowledged | EndpointLoadReported | ProxyLoadReported
)
"""A decoded message of a proxy or a collector."""


class EndpointList(NamedTuple):
    """The endpoint list from discovery, or the changes to it up to a revision."""

    revision: int
    complete: bool  # endpoints that are not in it are gone
    entries: list[EndpointEntry]
    addresses: list[tuple[int, Address]]  # of the endpoints that have one
    invalid_entries: list[str]  # entries left out and why, for the log


class _InvalidFieldError(ValueError):
    """The value of a field is invalid; `expected` describes valid values."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field}: expected {expected}, got {_shown(value)}")


def watch_path(revision: int, wait: float) -> str:
    """Return the path of a watch: answered once the list is newer than `revision`, or after `wait` seconds.

    >>> watch_path(41, 2.5)
    '/v1/servers?since=41&timeout_ms=2500'
    """
    return f"{ENDPOINT_LIST_PATH}?since={revision}&timeout_ms={wait * 1000:.0f}"


def parse_address(host_port: str) -> Address:
    """Return the address and port of `host:port`; raises ValueError.

    Only IPv4 addresses are valid: resolving a host name would block the loop.

    >>> parse_address("127.0.0.1:5000")
    ('127.0.0.1', 5000)
    """
    host, _, port = host_port.rpartition(":")
    if not 0 <= int(port) < 65536:
        raise ValueError(f"expected host:port with a port below 65536, got {host_port!r}")
    return str(IPv4Address(host)), int(port)


def parse_object(data: memoryview) -> dict:
    """Parse a JSON object; raises ConnectionClosedError (MALFORMED) for anything else."""
    try:
        message = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None
    if not isinstance(message, dict):
        raise ConnectionClosedError(CloseReason.MALFORMED, "expected a JSON object")
    return message


class Codec:
    """Decodes and encodes messages; assigns numbers to endpoint ids.

    `request_classes` and `zones` are the names in the settings, in their order; proxies are numbered from 0
    to `proxy_count` - 1. An endpoint has a number from its first entry in a list until `release`.
    """

    def __init__(self, request_classes: Sequence[str], zones: Sequence[str], proxy_count: int) -> None:
        self.request_class_names = list(request_classes)
        self.request_classes = {name: number for number, name in enumerate(request_classes)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.proxy_count = proxy_count
        self.endpoint_numbers: dict[str, int] = {}
        self.endpoint_ids: list[str] = []  # by number; a released number keeps its last id
        self.released: list[int] = []  # numbers to be reused

    def number_of(self, endpoint_id: str) -> int:
        """Return the number of an endpoint, a new one if it has none; raises TypeError for an invalid id."""
        if not isinstance(endpoint_id, str) or not 0 < len(endpoint_id) <= MAX_ID_LENGTH:
            raise TypeError(
                f"id: expected a string of 1 to {MAX_ID_LENGTH} characters, got {_shown(endpoint_id)}"
            )
        number = self.endpoint_numbers.get(endpoint_id)
        if number is None:
            if self.released:
                number = self.released.pop()
                self.endpoint_ids[number] = endpoint_id
            else:
                number = len(self.endpoint_ids)
                self.endpoint_ids.append(endpoint_id)
            self.endpoint_numbers[endpoint_id] = number
        return number

    def release(self, number: int) -> None:
        """Make a number available again; otherwise memory would grow with every endpoint ever listed."""
        del self.endpoint_numbers[self.endpoint_ids[number]]
        self.released.append(number)

    def decode_message(self, line: memoryview) -> Message:
        """Decode a message of a peer; assigns no endpoint numbers.

        Raises InvalidMessageError, with message type and field, for an object that is no valid message, and
        ConnectionClosedError (MALFORMED) for anything but a JSON object.
        """
        message = parse_object(line)
        try:
            return _DECODERS[message["msg"]](self, message)
        except _DECODING_ERRORS as error:
            name = message.get("msg")
            shown = name[:MAX_LOGGED_VALUE_LENGTH] if isinstance(name, str) else _shown(name)
            raise InvalidMessageError(f"{shown}: {_describe(error)}") from None

    def _decode_collector(self, message: dict) -> CollectorConnected:
        self._zone(message)
        return CollectorConnected(message["az"])

    def _decode_joined(self, message: dict) -> ProxyJoined:
        unconfigured = message.get("standing", False)
        if not isinstance(unconfigured, bool):
            raise _InvalidFieldError("standing", unconfigured, "true or false")
        return ProxyJoined(
            self._proxy(message),
            self._zone(message),
            _amount("share", message.get("share", 0.0), MAX_COUNT),
            unconfigured,
        )

    def _decode_applied(self, message: dict) -> UpdateAcknowledged:
        return UpdateAcknowledged(
            self._proxy(message), _count(message, "version"), _milliseconds(message, "lag_ms")
        )

    def _decode_heard(self, message: dict) -> EndpointLoadReported:
        attempts, errors = _count(message, "n"), _count(message, "bad")
        if errors > attempts:
            raise _InvalidFieldError("bad", errors, f"at most n, {attempts}")
        # If every attempt failed there is no mean duration; the field is ignored.
        mean_duration = _milliseconds(message, "avg") if attempts > errors else 0.0
        return EndpointLoadReported(
            _number("host", self.endpoint_numbers, message["host"]),
            self._zone(message),
            _window(message),
            mean_duration,
            errors,
            attempts,
            read_load_report(message.get("report")),
        )

    def _decode_usage(self, message: dict) -> ProxyLoadReported:
        """Decode a proxy's load report; errors may exceed requests, which may be of an earlier window."""
        return ProxyLoadReported(
            self._proxy(message),
            _number("kind", self.request_classes, message["kind"]),
            _count(message, "n"),
            _count(message, "bad"),
            _window(message),
        )

    def _proxy(self, message: dict) -> int:
        proxy = _count(message, "sidecar")
        if proxy >= self.proxy_count:
            raise _InvalidFieldError("sidecar", proxy, f"a number below {self.proxy_count}")
        return proxy

    def _zone(self, message: dict) -> int:
        return _number("az", self.zones, message["az"])

    def decode_endpoint_list(self, message: dict) -> EndpointList:
        """Decode an endpoint list; raises ConnectionClosedError (MALFORMED) for any other message.

        Invalid entries are left out. As such an entry may describe any endpoint, the list then counts as
        changes: endpoints that are not in it are not removed.
        """
        if not is_amount(message.get("revision")) or not isinstance(message.get("members"), list):
            raise ConnectionClosedError(CloseReason.MALFORMED, "expected an endpoint list")
        entries, addresses, invalid_entries = [], [], []
        for member in message["members"]:
            try:
                entry, address = self._decode_entry(member)
            except _DECODING_ERRORS as error:
                shown = _shown(member, MAX_LOGGED_ENTRY_LENGTH)
                invalid_entries.append(f"endpoint entry {shown}: {_describe(error)}")
                continue
            entries.append(entry)
            if address:
                addresses.append((entry.endpoint, address))
        complete = bool(message.get("complete")) and not invalid_entries
        return EndpointList(int(message["revision"]), complete, entries, addresses, invalid_entries)

    def _decode_entry(self, member: dict) -> tuple[EndpointEntry, Address | None]:
        zone = _number("locality", self.zones, member["locality"])
        started_at = _amount("up_since_ms", member.get("up_since_ms") or 0) / 1000
        state = _number("phase", _ENDPOINT_STATES, member["phase"])
        nominal_weight = _amount("size", member.get("size") or 1.0)
        address = member.get("host_port") and parse_address(member["host_port"])
        endpoint = self.number_of(member["id"])  # last, so that an invalid entry gets no number
        return EndpointEntry(endpoint, zone, started_at, state, nominal_weight), address or None

    def encode_update(self, parts: tuple[UpdatePart, ...]) -> bytes:
        """Encode an update to a proxy, one line for each part."""
        last = len(parts) - 1
        return b"".join(orjson.dumps(self._update(part, at < last)) + b"\n" for at, part in enumerate(parts))

    def _update(self, part: UpdatePart, continued: bool) -> dict:
        message: dict = {"msg": "update"}
        if part.classes:
            message["routes"] = [self.request_class_names[number] for number in part.classes]
        if part.complete:
            message["full"] = True
        if part.complete or part.weights:
            message["endpoints"] = [[self.endpoint_ids[number], weight] for number, weight in part.weights]
        if part.quota is not None:
            message |= {"admit": part.quota, "policy": part.retry_policy}
        if part.ejected:
            message["eject"] = self._ids(part.ejected)
        if part.restored:
            message["restore"] = self._ids(part.restored)
        if part.nonce is not None:
            message["nonce_out"] = part.nonce
        if continued:
            message["continued"] = True
        return message

    def _ids(self, endpoints: Iterable[int]) -> list[str]:
        return [self.endpoint_ids[number] for number in endpoints]


_PING = Ping()
_DECODERS = {
    "ping": lambda codec, message: _PING,
    "collector": Codec._decode_collector,
    "joined": Codec._decode_joined,
    "applied": Codec._decode_applied,
    "heard": Codec._decode_heard,
    "usage": Codec._decode_usage,
}


def _shown(value: object, max_length: int = MAX_LOGGED_VALUE_LENGTH) -> str:
    """Return a value as shown in errors; only its type if it is nested too deeply for `repr`."""
    try:
        return repr(value)[:max_length]
    except RecursionError:
        return type(value).__name__


def _describe(error: Exception) -> str:
    """Describe a decoding error for the log: the field and its value, as far as they are known."""
    if isinstance(error, KeyError):
        return f"{str(error)[:MAX_LOGGED_VALUE_LENGTH]} is missing or unknown"
    return str(error)[: 2 * MAX_LOGGED_VALUE_LENGTH]


def _number(field: str, numbers: Mapping[str, int], name: object) -> int:
    try:
        return numbers[name]
    except (KeyError, TypeError):  # TypeError: a list or an object
        raise _InvalidFieldError(field, name, "a known name") from None


def _amount(field: str, value: object, maximum: float = MAX_AMOUNT) -> float:
    if not is_amount(value) or value > maximum:
        raise _InvalidFieldError(field, value, f"a number from 0 to {maximum:g}")
    return float(value)


def _milliseconds(message: dict, field: str) -> float:
    """Return the value in seconds of a field in milliseconds."""
    return _amount(field, message[field], MAX_DURATION_MS) / 1000


def _window(message: dict) -> float:
    """Return the window of a report in seconds."""
    if window := _milliseconds(message, "window"):
        return window
    raise _InvalidFieldError("window", 0, "a number above 0")


def _count(message: dict, field: str) -> int:
    value = message[field]
    if not isinstance(value, int):  # a fraction would be rounded down
        raise _InvalidFieldError(field, value, "an integer")
    return int(_amount(field, value, MAX_COUNT))
