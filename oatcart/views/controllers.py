"""The controllers listed in the deploy file: one by one, in groups, or in a file of JSON lines.

JSON lines (one controller a line, with the same keys) are for large, generated lists: YAML with line numbers
takes about a millisecond a controller to read, JSON lines a small fraction of that.
"""

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import orjson
from ruamel.yaml.comments import CommentedMap, CommentedSeq

from oatcart.net.codec import parse_address as ipv4_address
from oatcart.net.stream import Address
from oatcart.views.records import Controller
from oatcart.yaml_files import integer, name, table

PORTS = 65536
MAX_CONTROLLERS = 20_000
NUMBER_FIELD = "{number}"  # in the name of a group; replaced by 0, 1, 2 and so on


class ServedController(NamedTuple):
    """A controller that is served. `address`: its own listening address, None if it requests its view by name
    at the main address only."""

    record: Controller
    address: Address | None


class ControllerGroup(NamedTuple):
    """One entry of the list, not yet checked. `at` is its path in messages; `where` formats a location in its
    file, the line counted from 0."""

    value: object
    at: str
    line: int
    where: Callable[[int], str]


def numeric_address(value: object) -> Address:
    """Parses an IPv4 address and a port; raises ValueError."""
    try:
        return ipv4_address(str(value))
    except ValueError:
        raise ValueError(
            f"expected a numeric IPv4 address and a port such as 127.0.0.1:8600, got {value!r}"
        ) from None


def distinct_names(value: object) -> tuple[str, ...]:
    """Checks a list of distinct names; raises ValueError."""
    if not isinstance(value, list) or len(set(map(str, value))) < len(value):
        raise ValueError(f"expected a list of distinct names, got {value}")
    return tuple(name(item) for item in value)


GROUP_KEYS = {
    "name": name,
    "count": integer(1, MAX_CONTROLLERS),
    "zone": name,
    "region": name,
    "services": distinct_names,
    "address": numeric_address,
}


def groups_of_list(
    value: object, line: int, where: Callable[[int], str], problems: list[str]
) -> Iterator[ControllerGroup]:
    """The entries of `conductors` in the YAML file; `line` is where its value begins."""
    if not isinstance(value, CommentedSeq):
        problems.append(f"{where(line)}: conductors: expected a list")
        return
    for position, group in enumerate(value):
        yield ControllerGroup(group, f"conductors[{position}].", value.lc.item(position)[0], where)


def groups_of_file(path: Path, problems: list[str]) -> Iterator[ControllerGroup]:
    """The entries of a file of JSON lines."""

    def where(line: int) -> str:
        return f"{path}:{line + 1}"

    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        problems.append(f"{path}: {error.strerror}")
        return
    for line, text in enumerate(lines):
        if not text.strip():
            continue
        try:
            value = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            problems.append(f"{where(line)}: {error}")
            continue
        yield ControllerGroup(_map_at_line(value, line), "", line, where)


def _map_at_line(value: object, line: int) -> object:
    """A JSON object as a YAML map whose keys are all at this line; any other value unchanged."""
    if not isinstance(value, dict):
        return value
    mapping = CommentedMap(value)
    for key in value:
        mapping.lc.add_kv_line_col(key, [line, 0, line, 0])
    return mapping


def expand_groups(
    groups: Iterable[ControllerGroup],
    listen: Address,
    base: Address | None,
    region_of: Callable[[str], str],
    problems: list[str],
) -> tuple[ServedController, ...]:
    """All controllers of all groups. If there is a `base`, a controller without an address of its own gets
    the port of `base` plus its position in the list."""
    expanded: list[ServedController] = []
    names: set[str] = set()
    names_by_address = {listen: "listen"}
    for group in groups:
        for served in _expand_group(group, base, len(expanded), region_of, problems):
            _check_distinct(served, names, names_by_address, group.where(group.line), problems)
            expanded.append(served)
    if len(expanded) > MAX_CONTROLLERS:
        problems.append(f"conductors: {len(expanded)} controllers, expected at most {MAX_CONTROLLERS}")
    return tuple(expanded)


def _expand_group(
    group: ControllerGroup,
    base: Address | None,
    position: int,
    region_of: Callable[[str], str],
    problems: list[str],
) -> Iterator[ServedController]:
    """The controllers of one entry: one, or `count` controllers with numbers in their names."""
    problems_before = len(problems)
    fields = table(group.value, GROUP_KEYS, group.at, group.where, problems, group.line)
    _check_fields(group, fields, problems)
    if len(problems) > problems_before:
        return
    region = fields.get("region", region_of(fields["zone"]))
    for number in range(fields.get("count", 1)):
        controller_name = fields["name"]
        if "count" in fields:
            controller_name = controller_name.replace(NUMBER_FIELD, str(number))
        record = Controller(controller_name, region, fields["zone"], fields.get("services", ()))
        yield ServedController(record, fields.get("address") or _address_above(base, position + number))


def _check_fields(group: ControllerGroup, fields: dict, problems: list[str]) -> None:
    location = group.where(group.line)
    if isinstance(group.value, CommentedMap):
        missing = [key for key in ("name", "zone") if key not in group.value]
        problems += [f"{location}: {group.at}{key} is missing" for key in missing]
    if "count" in fields and NUMBER_FIELD not in fields.get("name", NUMBER_FIELD):
        problems.append(f"{location}: {group.at}name: expected {NUMBER_FIELD} in it, as count is set")
    if "count" in fields and "address" in fields:
        problems.append(
            f"{location}: {group.at}address: not allowed with count; the addresses of a group follow base"
        )


def _check_distinct(
    served: ServedController,
    names: set[str],
    names_by_address: dict[Address, str],
    location: str,
    problems: list[str],
) -> None:
    """Checks that a controller's name and address are not in use by those before it; adds them to `names` and
    `names_by_address`."""
    controller_name, address = served.record.name, served.address
    if controller_name in names:
        problems.append(f"{location}: conductors: duplicate name {controller_name}")
    names.add(controller_name)
    if address is None or not address[1]:  # port 0: any free port
        return
    if address[1] >= PORTS:
        problems.append(
            f"{location}: conductors: {controller_name} would get port {address[1]}, "
            "above 65535; set a lower base"
        )
    if address in names_by_address:
        formatted = "{}:{}".format(*address)
        problems.append(
            f"{location}: conductors: {controller_name} and {names_by_address[address]} "
            f"would both have the address {formatted}"
        )
    names_by_address[address] = controller_name


def _address_above(base: Address | None, position: int) -> Address | None:
    return None if base is None else (base[0], base[1] + position)
