"""`deploy/xds.yaml`: what an operator sets of the xDS front, checked. All keys have defaults."""

from pathlib import Path
from typing import NamedTuple

from ruamel.yaml.comments import CommentedMap

from oatcart.errors import InvalidConfigurationError
from oatcart.xds.limits import URGENT_DEBT
from oatcart.yaml_files import address, boolean, duration, integer, load, name, table

__all__ = ["Source", "InvalidConfigurationError", "Xds", "capacity_warning", "read"]


class Source(NamedTuple):
    """A management server that nodes are taken from; times in seconds."""

    address: str
    cluster: str
    hold: float = 10.0
    dial_most: float = 30.0
    with_roll: bool = False


class Xds(NamedTuple):
    """What the front is started with; times in seconds, pushes a second."""

    listen: str = "127.0.0.1:18000"
    home_zone: str = ""
    clients: int = 1000
    streams: int = 4
    names: int = 256
    pushes: float = 2000.0
    unread_for: float = 5.0
    report_every: float = 1.0
    source: Source | None = None


SOURCE = {"address": address, "cluster": name, "hold": duration, "dial_most": duration, "with_roll": boolean}
FIELDS = {
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
    """The file's settings; raises InvalidConfigurationError with all that is wrong in it."""
    wrong: list[str] = []
    told, where = load(path)
    if told is None:
        return Xds()
    found = table(told, FIELDS, "", where, wrong, 0)
    if "source" in found:
        line = told.lc.key("source")[0]
        source = table(found["source"], SOURCE, "source.", where, wrong, line)
        asked = found["source"] if isinstance(found["source"], CommentedMap) else {}
        wrong += [
            f"{where(line)}: source.{key} is missing" for key in ("address", "cluster") if key not in asked
        ]
        found["source"] = Source(**source) if not wrong else None
    if wrong:
        raise InvalidConfigurationError("\n".join(wrong))
    return Xds(**found)


def capacity_warning(xds: Xds) -> str:
    """What the front cannot keep as it is configured; empty if there is nothing.

    >>> capacity_warning(Xds()), capacity_warning(Xds(clients=17, pushes=8.0))
    ('', 'pushes: 8 a second reach 16 clients within the drain deadline of 2 s, and clients is 17')
    """
    reached = int(xds.pushes * URGENT_DEBT)
    if xds.clients <= reached:
        return ""
    return (
        f"pushes: {xds.pushes:g} a second reach {reached} clients within the drain deadline of "
        f"{URGENT_DEBT:g} s, and clients is {xds.clients}"
    )
