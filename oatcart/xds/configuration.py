"""Reads and checks the settings of the xDS front, as in `deploy/xds.yaml`. All keys have defaults."""

from pathlib import Path
from typing import NamedTuple

from ruamel.yaml.comments import CommentedMap

from oatcart.errors import InvalidConfigurationError
from oatcart.xds.limits import URGENT_DEBT
from oatcart.yaml_files import address, boolean, duration, integer, load, name, table

__all__ = ["Source", "InvalidConfigurationError", "Xds", "capacity_warning", "read"]


class Source(NamedTuple):
    """A management server of endpoints. `hold`: retention time, s; `dial_most`: longest backoff, s."""

    address: str
    cluster: str
    hold: float = 10.0
    dial_most: float = 30.0
    with_roll: bool = False


class Xds(NamedTuple):
    """Settings of the xDS front. `unread_for`, `report_every`: s; `pushes`: pushes/s."""

    listen: str = "127.0.0.1:18000"
    home_zone: str = ""
    clients: int = 1000
    streams: int = 4
    names: int = 256
    pushes: float = 2000.0
    unread_for: float = 5.0
    report_every: float = 1.0
    source: Source | None = None


SOURCE_PARSERS = {
    "address": address,
    "cluster": name,
    "hold": duration,
    "dial_most": duration,
    "with_roll": boolean,
}
PARSERS = {
    "listen": address,
    "home_zone": name,
    "clients": integer(1, 100_000),
    "streams": integer(1, 64),
    "names": integer(1, 100_000),
    "pushes": integer(1, 1_000_000),
    "unread_for": duration,
    "report_every": duration,
    "source": None,
}


def read(path: str | Path) -> Xds:
    """Returns the settings of a file; raises InvalidConfigurationError that lists all problems in it."""
    problems: list[str] = []
    content, where = load(path)
    if content is None:
        return Xds()
    settings = table(content, PARSERS, "", where, problems, 0)
    if "source" in settings:
        line = content.lc.key("source")[0]
        source = table(settings["source"], SOURCE_PARSERS, "source.", where, problems, line)
        given = settings["source"] if isinstance(settings["source"], CommentedMap) else {}
        problems += [
            f"{where(line)}: source.{key} is missing" for key in ("address", "cluster") if key not in given
        ]
        settings["source"] = Source(**source) if not problems else None
    if problems:
        raise InvalidConfigurationError("\n".join(problems))
    return Xds(**settings)


def capacity_warning(xds: Xds) -> str:
    """Returns a warning if drains cannot reach all clients in time at this push rate, else an empty string.

    >>> capacity_warning(Xds()), capacity_warning(Xds(clients=17, pushes=8.0))
    ('', 'pushes: 8 a second reach 16 clients within the drain deadline of 2 s, and clients is 17')
    """
    reachable = int(xds.pushes * URGENT_DEBT)
    if xds.clients <= reachable:
        return ""
    return (
        f"pushes: {xds.pushes:g} a second reach {reachable} clients within the drain deadline of "
        f"{URGENT_DEBT:g} s, and clients is {xds.clients}"
    )
