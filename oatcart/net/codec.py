"""The protocol's messages and our arrivals and parts. The wire's names stand here and nowhere else."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import orjson

from oatcart import interface as our
from oatcart.handover import is_amount, load
from oatcart.net.ending import Ended, Ending
from oatcart.net.stream import Address
from oatcart.tables import Part

_STATES = {"SERVING": our.READY, "DRAINING": our.DRAINING, "DELETED": our.GONE}
_UNFIT = (KeyError, TypeError, ValueError, AttributeError, OverflowError)  # raised over what does not fit
PING, PONG = ("ping",), b'{"msg":"pong"}\n'
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
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"{host_port!r} is not host:port")
    return host, int(port)


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

    def place(self, node: str) -> int:
        if not isinstance(node, str):
            raise TypeError(f"{node!r} is no node")
        if node not in self.places:
            self.places[node] = len(self.nodes)
            self.nodes.append(node)
        return self.places[node]

    def arrival(self, line: memoryview) -> tuple | None:
        """A message as the module is told of it, PING, or ("collector", its zone); None for unknown kinds."""
        table = parsed(line)
        try:
            read = _READERS.get(table.get("msg"))
            return read and read(self, table)
        except _UNFIT as error:
            raise Odd(f"{table.get('msg')}: {error!r}") from None

    def _joined(self, table: dict) -> tuple:
        return ("joined", self._proxy(table), self.zones[table["az"]], _amount(table.get("share", 0.0)),
                bool(table.get("standing")))

    def _applied(self, table: dict) -> tuple:
        return ("applied", self._proxy(table), _count(table["version"]),
                _amount(table.get("lag_ms", 0.0)) / 1000)

    def _met(self, table: dict) -> tuple:
        tried = _count(table["n"])
        return ("met", self.place(table["host"]), self.zones[table["az"]], _amount(table["window"]) / 1000,
                _amount(table.get("avg") or 0.0) / 1000, min(tried, _count(table.get("bad", 0))), tried,
                load(table.get("report")))

    def _came(self, table: dict) -> tuple:
        return ("came", self._proxy(table), self.kinds[table["kind"]], _count(table["n"]),
                _count(table.get("bad", 0)), _amount(table["window"]) / 1000)

    def _proxy(self, table: dict) -> int:
        proxy = _count(table["sidecar"])
        if proxy >= self.proxies:
            raise ValueError(f"sidecar {proxy} of {self.proxies}")
        return proxy

    def roll(self, table: dict) -> Roll:
        """A list of nodes, whole or changed entries only; an entry that cannot be used is left out."""
        if not is_amount(table.get("revision")) or not isinstance(table.get("members"), list):
            raise Ended(Ending.UNREADABLE, "no list of nodes")
        roll = Roll(int(table["revision"]), bool(table.get("complete")), [], [], [])
        for one in table["members"]:
            try:
                place = self.place(one["id"])
                entry = (place, self.zones[one["locality"]], _amount(one.get("up_since_ms") or 0) / 1000,
                         _STATES[one["phase"]], _amount(one.get("size") or 1.0))
                if one.get("host_port"):
                    roll.addresses.append((place, address(one["host_port"])))
                roll.entries.append(entry)
            except _UNFIT as error:
                roll.odd.append(f"{one}: {error!r}")
        return roll

    def message(self, parts: tuple[Part, ...]) -> bytes:
        """One message to a proxy, a line a part."""
        last = len(parts) - 1
        return b"".join(orjson.dumps(self._update(part, at < last)) + b"\n" for at, part in enumerate(parts))

    def _update(self, part: Part, continued: bool) -> dict:
        table: dict = {"msg": "update"}
        if part.kinds:
            table["routes"] = [self.kind_names[kind] for kind in part.kinds]
        if part.whole:
            table["full"] = True
        if part.whole or part.lines:
            table["endpoints"] = [[self.nodes[node], weight] for node, weight in part.lines]
        if part.level is not None:
            table |= {"admit": part.level, "policy": part.tries}
        if part.out:
            table["eject"] = self._ids(part.out)
        if part.back:
            table["restore"] = self._ids(part.back)
        if part.mark is not None:
            table["nonce_out"] = part.mark
        if continued:
            table["continued"] = True
        return table

    def _ids(self, nodes: Iterable[int]) -> list[str]:
        return [self.nodes[node] for node in nodes]


_READERS = {
    "ping": lambda codec, table: PING,
    "collector": lambda codec, table: ("collector", str(table.get("az"))),
    "joined": Codec._joined,
    "applied": Codec._applied,
    "heard": Codec._met,
    "usage": Codec._came,
}


def _amount(value: object) -> float:
    if not is_amount(value):
        raise ValueError(f"{value!r} is no amount")
    return float(value)


def _count(value: object) -> int:
    return int(_amount(value))
