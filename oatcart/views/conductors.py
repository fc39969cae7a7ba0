"""The conductors that a control role serves, as its file lists them: one by one, in groups, or in a file of
JSON lines.

A large fleet's list is written by a program, and YAML that keeps its lines takes a millisecond a conductor to
read; a file of JSON lines, one conductor a line with the same keys, takes a small part of that.
"""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import orjson
from ruamel.yaml.comments import CommentedMap, CommentedSeq

from oatcart.net.codec import parse_address as ipv4_address
from oatcart.net.stream import Address
from oatcart.views.records import Viewer
from oatcart.yaml_files import name, table, whole

PORTS = 65536
CONDUCTORS_MOST = 20_000
NUMBER_FIELD = "{number}"  # in the name of a group of conductors


class Conductor(NamedTuple):
    """A conductor that is served. `address`: its own, None where it asks by name alone."""

    viewer: Viewer
    address: Address | None


class Group(NamedTuple):
    """One entry of the list as it stands. `at`: how errors name it; `where`: how a line of its file is
    named."""

    told: object
    at: str
    line: int
    where: Callable[[int], str]


def numeric_address(value: object) -> Address:
    """An IPv4 address and a port; raises ValueError."""
    try:
        return ipv4_address(str(value))
    except ValueError:
        raise ValueError(f"{value!r} is not a numeric IPv4 address and a port, as 127.0.0.1:8600") from None


def distinct_names(value: object) -> tuple[str, ...]:
    """A list of names; raises ValueError."""
    if not isinstance(value, list) or len(set(map(str, value))) < len(value):
        raise ValueError(f"{value} is no list of distinct names")
    return tuple(name(one) for one in value)


KEYS = {
    "name": name,
    "count": whole(1, CONDUCTORS_MOST),
    "zone": name,
    "region": name,
    "services": distinct_names,
    "address": numeric_address,
}


def listed_groups(told: object, line: int, where: Callable[[int], str], wrong: list[str]) -> Iterator[Group]:
    """The entries of `conductors` in the YAML file, which stands at that line."""
    if not isinstance(told, CommentedSeq):
        wrong.append(f"{where(line)}: conductors is no list")
        return
    for place, group in enumerate(told):
        yield Group(group, f"conductors[{place}].", told.lc.item(place)[0], where)


def filed_groups(path: Path, wrong: list[str]) -> Iterator[Group]:
    """The entries of a file of JSON lines."""

    def where(line: int) -> str:
        return f"{path}:{line + 1}"

    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        wrong.append(f"{path}: {error.strerror}")
        return
    for number, text in enumerate(lines):
        if not text.strip():
            continue
        try:
            told = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            wrong.append(f"{where(number)}: {error}")
            continue
        yield Group(_with_line(told, number), "", number, where)


def _with_line(told: object, line: int) -> object:
    if not isinstance(told, dict):
        return told
    found = CommentedMap(told)
    for key in told:
        found.lc.add_kv_line_col(key, [line, 0, line, 0])
    return found


def unfold(
    groups: Iterable[Group],
    listen: Address,
    base: Address | None,
    region_of: Callable[[str], str],
    wrong: list[str],
) -> tuple[Conductor, ...]:
    """All conductors of all groups. Each is listened for at its own address or, by its position, above the
    base."""
    found: list[Conductor] = []
    names: set[str] = set()
    taken = {listen: "listen"}
    for group in groups:
        for conductor in _members(group, base, len(found), region_of, wrong):
            _check_distinct(conductor, names, taken, group.where(group.line), wrong)
            found.append(conductor)
    if len(found) > CONDUCTORS_MOST:
        wrong.append(f"conductors: {len(found)}, more than {CONDUCTORS_MOST}")
    return tuple(found)


def _members(
    group: Group, base: Address | None, position: int, region_of: Callable[[str], str], wrong: list[str]
) -> Iterator[Conductor]:
    """The conductors of one entry: one, or `count` of them whose names bear a number."""
    before = len(wrong)
    fields = table(group.told, KEYS, group.at, group.where, wrong, group.line)
    _check_fields(group, fields, wrong)
    if len(wrong) > before:
        return
    region = fields.get("region", region_of(fields["zone"]))
    for number in range(fields.get("count", 1)):
        called = fields["name"].replace(NUMBER_FIELD, str(number)) if "count" in fields else fields["name"]
        viewer = Viewer(called, region, fields["zone"], fields.get("services", ()))
        yield Conductor(viewer, fields.get("address") or _above(base, position + number))


def _check_fields(group: Group, fields: dict, wrong: list[str]) -> None:
    here = group.where(group.line)
    if isinstance(group.told, CommentedMap):
        missing = [key for key in ("name", "zone") if key not in group.told]
        wrong += [f"{here}: {group.at}{key} is missing" for key in missing]
    if "count" in fields and NUMBER_FIELD not in fields.get("name", NUMBER_FIELD):
        wrong.append(f"{here}: {group.at}name: a group's needs {NUMBER_FIELD}")
    if "count" in fields and "address" in fields:
        wrong.append(f"{here}: {group.at}address: a group is listened for above the base")


def _check_distinct(
    conductor: Conductor, names: set[str], taken: dict[Address, str], here: str, wrong: list[str]
) -> None:
    called, address = conductor.viewer.name, conductor.address
    if called in names:
        wrong.append(f"{here}: conductors: the name {called} stands there twice")
    names.add(called)
    if address is None or not address[1]:  # none of its own, or any port that is free
        return
    if address[1] >= PORTS:
        wrong.append(f"{here}: conductors: {called} would have port {address[1]}; set a lower base")
    if address in taken:
        shown = "{}:{}".format(*address)
        wrong.append(f"{here}: conductors: {called} and {taken[address]} would both have {shown}")
    taken[address] = called


def _above(base: Address | None, position: int) -> Address | None:
    return None if base is None else (base[0], base[1] + position)
