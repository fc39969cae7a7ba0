"""The protocol's messages and our arrivals and parts. The wire's names stand here and nowhere else."""

from collections.abc import Iterable, Sequence
from ipaddress import IPv4Address
from typing import NamedTuple

import orjson

from oatcart.events import (
    EndpointEntry,
    EndpointLoadReported,
    ProxyJoined,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.handover import AMOUNT_MOST, is_amount, load
from oatcart.model import EndpointState
from oatcart.net.ending import Ended, Ending
from oatcart.net.stream import Address
from oatcart.routing_tables import UpdatePart

_STATES = {"SERVING": EndpointState.READY, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
_UNFIT = (KeyError, TypeError, ValueError, AttributeError, OverflowError)  # raised over what does not fit
PING, PONG = ("ping",), b'{"msg":"pong"}\n'
COUNT_MOST = 10**7  # reqs of one sum or a second, proxies, marks: more than a fleet meets in any window
ID_MOST = 256  # letters of a node's id, as kept
NAME_SHOWN = 80  # letters of what does not fit, in the log
ENTRY_SHOWN = 300  # letters of a node's entry that does not fit
SPAN_MOST = 3.6e6  # ms, an hour: no sum covers so much and no req takes so long
ROLL_PATH, HEALTH_PATH, LOAD_PATH = "/v1/servers", "/healthz", "/load"


def watch_path(revision: int, wait: float) -> str:
    """
    >>> watch_path(41, 2.5)
    '/v1/servers?since=41&timeout_ms=2500'
    """
    return f"{ROLL_PATH}?since={revision}&timeout_ms={wait * 1000:.0f}"


def address(host_port: str) -> Address:
    """
    >>> address("127.0.0.1:5000")
    ('127.0.0.1', 5000)
    """
    host, _, port = host_port.rpartition(":")
    if not 0 <= int(port) < 65536:
        raise ValueError(f"{host_port!r} is not host:port")
    # a name would have to be looked up, and all else would wait for that
    return str(IPv4Address(host)), int(port)


def parsed(message: memoryview) -> dict:
    """A message as it stands; whoever sends what cannot be read loses the connection."""
    try:
        table = orjson.loads(message)
    except orjson.JSONDecodeError as error:
        raise Ended(Ending.UNREADABLE, str(error)) from None
    if not isinstance(table, dict):
        raise Ended(Ending.UNREADABLE, "not an object")
    return table


class Roll(NamedTuple):
    revision: int
    whole: bool
    entries: list[tuple]  # as interface.py has them
    addresses: list[tuple[int, Address]]
    odd: list[str]  # what was left out, and why


class Odd(ValueError):
    """A message that can be read and not used: a kind, a zone or a figure that does not fit."""


class Codec:
    """Names on one side, small whole numbers on the other; nodes are numbered as they are met."""

    def __init__(self, kinds: Sequence[str], zones: Sequence[str], proxies: int) -> None:
        self.kinds = {name: place for place, name in enumerate(kinds)}
        self.kind_names = list(kinds)
        self.zones = {name: place for place, name in enumerate(zones)}
        self.proxies = proxies
        self.places: dict[str, int] = {}
        self.nodes: list[str] = []
        self.freed: list[int] = []  # numbers that are nobody's

    def place(self, node: str) -> int:
        if not isinstance(node, str) or not 0 < len(node) <= ID_MOST:
            raise TypeError(f"{str(node)[:NAME_SHOWN]!r} is no node")
        if node not in self.places:
            if self.freed:
                self.places[node] = self.freed.pop()
                self.nodes[self.places[node]] = node
            else:
                self.places[node] = len(self.nodes)
                self.nodes.append(node)
        return self.places[node]

    def free(self, place: int) -> None:
        """A node's number may be another's: else memory grows with every node ever listed."""
        del self.places[self.nodes[place]]
        self.freed.append(place)

    def arrival(self, line: memoryview) -> tuple:
        """A message as the module is told of it, PING, or ("collector", its zone). All of it is checked here:
        one with a spoilt field costs itself alone, and what only such a message names gets no number."""
        table = parsed(line)
        try:
            return _READERS[table["msg"]](self, table)
        except _UNFIT as error:
            raise Odd(
                f"{str(table.get('msg'))[:NAME_SHOWN]}: {str(error)[:NAME_SHOWN]!r} does not fit"
            ) from None

    def _collector(self, table: dict) -> tuple:
        self.zones[table["az"]]
        return ("collector", table["az"])

    def _joined(self, table: dict) -> tuple:
        blank = table.get("standing", False)
        if not isinstance(blank, bool):
            raise TypeError(f"standing {blank!r}")
        return ProxyJoined(
            self._proxy(table),
            self.zones[table["az"]],
            _amount(table.get("share", 0.0), COUNT_MOST),
            blank,
        )

    def _applied(self, table: dict) -> tuple:
        return UpdateAcknowledged(self._proxy(table), _count(table["version"]), _span(table["lag_ms"]))

    def _met(self, table: dict) -> tuple:
        tried, errored = _count(table["n"]), _count(table["bad"])
        if errored > tried:
            raise ValueError(f"bad {errored} of {tried}")
        took = _span(table["avg"]) if tried > errored else 0.0  # there is no mean of nothing
        return EndpointLoadReported(
            self.places[table["host"]],
            self.zones[table["az"]],
            _window(table),
            took,
            errored,
            tried,
            load(table.get("report")),
        )

    def _came(self, table: dict) -> tuple:
        return ProxyLoadReported(
            self._proxy(table),
            self.kinds[table["kind"]],
            _count(table["n"]),
            _count(table["bad"]),
            _window(table),
        )  # bad ones may have come in an earlier window

    def _proxy(self, table: dict) -> int:
        proxy = _count(table["sidecar"])
        if proxy >= self.proxies:
            raise ValueError(f"sidecar {proxy} of {self.proxies}")
        return proxy

    def roll(self, table: dict) -> Roll:
        """A list of nodes, whole or changed entries only; an entry that cannot be used is left out, and as
        the node it was about may be any, such a list leaves out nobody else: it counts as changes."""
        if not is_amount(table.get("revision")) or not isinstance(table.get("members"), list):
            raise Ended(Ending.UNREADABLE, "no list of nodes")
        roll = Roll(int(table["revision"]), bool(table.get("complete")), [], [], [])
        for one in table["members"]:
            try:
                zone, started = self.zones[one["locality"]], _amount(one.get("up_since_ms") or 0) / 1000
                state, nominal = _STATES[one["phase"]], _amount(one.get("size") or 1.0)
                at = one.get("host_port") and address(one["host_port"])
                place = self.place(one["id"])  # last: an entry that is left out gets no number
                roll.addresses.extend([(place, at)] if at else [])
                roll.entries.append(EndpointEntry(place, zone, started, state, nominal))
            except _UNFIT as error:
                roll.odd.append(f"{one}: {error!r}"[:ENTRY_SHOWN])
        return roll._replace(whole=roll.whole and not roll.odd)

    def message(self, parts: tuple[UpdatePart, ...]) -> bytes:
        """One message to a proxy, a line a part."""
        last = len(parts) - 1
        return b"".join(orjson.dumps(self._update(part, at < last)) + b"\n" for at, part in enumerate(parts))

    def _update(self, part: UpdatePart, continued: bool) -> dict:
        table: dict = {"msg": "update"}
        if part.classes:
            table["routes"] = [self.kind_names[kind] for kind in part.classes]
        if part.complete:
            table["full"] = True
        if part.complete or part.weights:
            table["endpoints"] = [[self.nodes[node], weight] for node, weight in part.weights]
        if part.quota is not None:
            table |= {"admit": part.quota, "policy": part.retry_policy}
        if part.ejected:
            table["eject"] = self._ids(part.ejected)
        if part.restored:
            table["restore"] = self._ids(part.restored)
        if part.nonce is not None:
            table["nonce_out"] = part.nonce
        if continued:
            table["continued"] = True
        return table

    def _ids(self, nodes: Iterable[int]) -> list[str]:
        return [self.nodes[node] for node in nodes]


_READERS = {
    "ping": lambda codec, table: PING,
    "collector": Codec._collector,
    "joined": Codec._joined,
    "applied": Codec._applied,
    "heard": Codec._met,
    "usage": Codec._came,
}


def _amount(value: object, most: float = AMOUNT_MOST) -> float:
    if not is_amount(value) or value > most:
        raise ValueError(f"{value!r} is no amount")
    return float(value)


def _span(value: object) -> float:
    """Milliseconds of the wire in seconds."""
    return _amount(value, SPAN_MOST) / 1000


def _window(table: dict) -> float:
    if span := _span(table["window"]):
        return span
    raise ValueError("a window of 0")


def _count(value: object) -> int:
    if not isinstance(value, int):  # 1.5 would speak for 1
        raise TypeError(f"{value!r} is no count")
    return int(_amount(value, COUNT_MOST))
