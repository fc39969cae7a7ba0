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

from oatcart.net.codec import address as ipv4_address
from oatcart.net.stream import Address
from oatcart.views.records import Controller
from oatcart.yaml_files import name, table, whole

PORTS = 65536
CONTROLLERS_MOST = 20_000
NUMBER_FIELD = "{number}"  # in the name of a group of conductors


class ServedController(NamedTuple):
    """A conductor that is served. `address`: its own, None where it asks by name alone."""

    record: Controller
    address: Address | None


class ControllerGroup(NamedTuple):
    """One entry of the list as it stands. `at`: how errors name it; `where`: how a line of its file is
    named."""

    value: object
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


GROUP_KEYS = {
    "name": name,
    "count": whole(1, CONTROLLERS_MOST),
    "zone": name,
    "region": name,
    "services": distinct_names,
    "address": numeric_address,
}


def groups_of_list(
    value: object, line: int, where: Callable[[int], str], problems: list[str]
) -> Iterator[ControllerGroup]:
    """The entries of `conductors` in the YAML file, which stands at that line."""
    if not isinstance(value, CommentedSeq):
        problems.append(f"{where(line)}: conductors is no list")
        return
    for place, group in enumerate(value):
        yield ControllerGroup(group, f"conductors[{place}].", value.lc.item(place)[0], where)


def groups_of_file(path: Path, problems: list[str]) -> Iterator[ControllerGroup]:
    """The entries of a file of JSON lines."""

    def where(line: int) -> str:
        return f"{path}:{line + 1}"

    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        problems.append(f"{path}: {error.strerror}")
        return
    for number, text in enumerate(lines):
        if not text.strip():
            continue
        try:
            value = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            problems.append(f"{where(number)}: {error}")
            continue
        yield ControllerGroup(_with_line(value, number), "", number, where)


def _with_line(value: object, line: int) -> object:
    if not isinstance(value, dict):
        return value
    found = CommentedMap(value)
    for key in value:
        found.lc.add_kv_line_col(key, [line, 0, line, 0])
    return found


def expand_groups(
    groups: Iterable[ControllerGroup],
    listen: Address,
    base: Address | None,
    region_of: Callable[[str], str],
    problems: list[str],
) -> tuple[ServedController, ...]:
    """All conductors of all groups. Each is listened for at its own address or, by its position, above the
    base."""
    found: list[ServedController] = []
    names: set[str] = set()
    taken = {listen: "listen"}
    for group in groups:
        for served in _expanded(group, base, len(found), region_of, problems):
            _check_distinct(served, names, taken, group.where(group.line), problems)
            found.append(served)
    if len(found) > CONTROLLERS_MOST:
        problems.append(f"conductors: {len(found)}, more than {CONTROLLERS_MOST}")
    return tuple(found)


def _expanded(
    group: ControllerGroup,
    base: Address | None,
    position: int,
    region_of: Callable[[str], str],
    problems: list[str],
) -> Iterator[ServedController]:
    """The conductors of one entry: one, or `count` of them whose names bear a number."""
    before = len(problems)
    fields = table(group.value, GROUP_KEYS, group.at, group.where, problems, group.line)
    _check_fields(group, fields, problems)
    if len(problems) > before:
        return
    region = fields.get("region", region_of(fields["zone"]))
    for number in range(fields.get("count", 1)):
        name_here = fields["name"].replace(NUMBER_FIELD, str(number)) if "count" in fields else fields["name"]
        record = Controller(name_here, region, fields["zone"], fields.get("services", ()))
        yield ServedController(record, fields.get("address") or _above(base, position + number))


def _check_fields(group: ControllerGroup, fields: dict, problems: list[str]) -> None:
    here = group.where(group.line)
    if isinstance(group.value, CommentedMap):
        missing = [key for key in ("name", "zone") if key not in group.value]
        problems += [f"{here}: {group.at}{key} is missing" for key in missing]
    if "count" in fields and NUMBER_FIELD not in fields.get("name", NUMBER_FIELD):
        problems.append(f"{here}: {group.at}name: a group's needs {NUMBER_FIELD}")
    if "count" in fields and "address" in fields:
        problems.append(f"{here}: {group.at}address: a group is listened for above the base")


def _check_distinct(
    served: ServedController, names: set[str], taken: dict[Address, str], here: str, problems: list[str]
) -> None:
    name_here, address = served.record.name, served.address
    if name_here in names:
        problems.append(f"{here}: conductors: the name {name_here} stands there twice")
    names.add(name_here)
    if address is None or not address[1]:  # none of its own, or any port that is free
        return
    if address[1] >= PORTS:
        problems.append(f"{here}: conductors: {name_here} would have port {address[1]}; set a lower base")
    if address in taken:
        shown = "{}:{}".format(*address)
        problems.append(f"{here}: conductors: {name_here} and {taken[address]} would both have {shown}")
    taken[address] = name_here


def _above(base: Address | None, position: int) -> Address | None:
    return None if base is None else (base[0], base[1] + position)
