"""`deploy/views.yaml`: reading it, and errors, which name file, line and field and are all reported at
once."""

import subprocess
import sys
from pathlib import Path

import pytest

from oatcart.errors import InvalidConfigurationError
from oatcart.views.configuration import Configuration, DiscoverySettings, ServerBounds
from oatcart.views.configuration_file import read
from oatcart.views.descriptors import check_descriptors, required_descriptors
from oatcart.views.list_guard import ListGuard
from oatcart.views.records import Controller, ViewLimits

ROOT = Path(__file__).parents[2]
SHIPPED = ROOT / "deploy" / "views.yaml"


def write_file(folder, text):
    path = folder / "views.yaml"
    path.write_text(text)
    return path


def test_the_shipped_file_holds_the_defaults_and_two_controllers():
    loaded = read(SHIPPED)
    assert loaded._replace(controllers=()) == Configuration()
    assert [(served.record.name, served.address[1]) for served in loaded.controllers] == [
        ("example-0", 21000),
        ("example-1", 21001),
    ]


def test_all_settings_are_read(tmp_path):
    loaded = read(
        write_file(
            tmp_path,
            """
listen: 127.0.0.1:1
service_field: svc
region_field: geo
source:
  {address: 127.0.0.1:2, wait: 30s, answer_within: 3s, retry_most: 2s, reconcile_every: 5m, list_most: 8MiB}
guard: {drop_share: 10%, drop_least: 3, hold: 4s, least_nodes: 20}
views: {most_members: 50, most_bytes: 9000, most_entry_bytes: 180, overload: 1.5, seed: 7}
bounds:
  {gather: 100ms, unread_for: 1s, request_within: 2s, idle_most: 3s, connections: 9, connections_each: 2}
regions: {north: [n1, n2], south: [s1]}
""",
        )
    )
    assert loaded.listen == ("127.0.0.1", 1)
    assert loaded.endpoint_fields.service_field == "svc" and loaded.endpoint_fields.region_field == "geo"
    assert loaded.source == DiscoverySettings(("127.0.0.1", 2), 30.0, 3.0, 2.0, 300.0, 8 << 20)
    assert loaded.guard == ListGuard(0.1, 3, 4.0, 20)
    assert loaded.limits == ViewLimits(50, 9000, 180, 1.5) and loaded.seed == 7
    assert loaded.bounds == ServerBounds(0.1, 1.0, 2.0, 3.0, 9, 2)
    assert [loaded.endpoint_fields.region(zone) for zone in ("n2", "s1", "x")] == [
        "north",
        "south",
        "default",
    ]


def test_ports_follow_the_position_in_the_list_and_an_own_address_takes_up_a_position(tmp_path):
    loaded = read(
        write_file(
            tmp_path,
            """
base: 127.0.0.1:3000
regions: {north: [a]}
conductors:
  - {name: "edge-{number}", count: 2, zone: a, services: [x, y]}
  - {name: own, zone: b, region: south, address: 127.0.0.2:9}
  - {name: last, zone: a}
""",
        )
    )
    assert [(served.record, served.address) for served in loaded.controllers] == [
        (Controller("edge-0", "north", "a", ("x", "y")), ("127.0.0.1", 3000)),
        (Controller("edge-1", "north", "a", ("x", "y")), ("127.0.0.1", 3001)),
        (Controller("own", "south", "b", ()), ("127.0.0.2", 9)),
        (Controller("last", "north", "a", ()), ("127.0.0.1", 3003)),
    ]


def test_without_a_base_controllers_have_no_address_of_their_own(tmp_path):
    loaded = read(write_file(tmp_path, "conductors: [{name: c, zone: a}]"))
    assert loaded.controllers[0].address is None


GROUP_OF_TWO = "{name: 'c{number}', count: 2, zone: a}"


def test_controllers_of_a_json_lines_file_follow_the_listed_ones(tmp_path):
    (tmp_path / "more.jsonl").write_text(
        '{"name":"d","zone":"b","services":["x"]}\n\n{"name":"e","zone":"a","region":"r"}\n'
    )
    text = "base: 127.0.0.1:3000\nconductors_file: more.jsonl\nconductors: [{name: c, zone: a}]\n"
    assert [
        (served.record, served.address[1]) for served in read(write_file(tmp_path, text)).controllers
    ] == [
        (Controller("c", "default", "a", ()), 3000),
        (Controller("d", "default", "b", ("x",)), 3001),
        (Controller("e", "r", "a", ()), 3002),
    ]


def test_errors_in_json_lines_name_the_line(tmp_path):
    (tmp_path / "more.jsonl").write_text(
        '{"name":"c","zone":"a"}\n{"name":\n7\n{"name":"d"}\n{"name":"c","zone":"a"}\n{"name":"e","zne":"a"}\n'
    )
    with pytest.raises(InvalidConfigurationError) as raised:
        read(write_file(tmp_path, "conductors_file: more.jsonl"))
    message = str(raised.value)
    assert "more.jsonl:2: unexpected" in message and "more.jsonl:3: the file is not a map of keys" in message
    assert (
        "more.jsonl:4: zone is missing" in message and "more.jsonl:5: conductors: duplicate name c" in message
    )
    assert "more.jsonl:6: zne is not known; did you mean zone?" in message
    with pytest.raises(InvalidConfigurationError, match="none.jsonl: No such file"):
        read(write_file(tmp_path, "conductors_file: none.jsonl"))


@pytest.mark.parametrize(
    "text, messages",
    [
        (
            "listen: here",
            ["1: listen: expected a numeric IPv4 address and a port such as 127.0.0.1:8600, got 'here'"],
        ),
        ("lisen: 127.0.0.1:1", ["1: lisen is not known; did you mean listen?"]),
        ("base: 127.0.0.1:0", ["1: base: expected an address with a port above 0, got '127.0.0.1:0'"]),
        (
            "source:\n  wait: 61s\n  list_most: 4MB\n",
            [
                "2: source.wait: expected at most 60s, the longest that a watch may wait, got 61s",
                "3: source.list_most",
            ],
        ),
        ("source: yes", ["1: source. is not a map of keys"]),
        (
            "guard:\n  drop_share: 0.2\n  hold: 5\nviews:\n  most_members: 0\n",
            [
                "2: guard.drop_share: expected a percentage from 1% to 99%, got 0.2",
                "3: guard.hold: 5 has no unit",
                "5: views.most_members: 0 is not a whole number",
            ],
        ),
        ("views: {overload: 0.5}", ["1: views.overload: expected a factor from 1 to 100, got 0.5"]),
        ("regions:\n  n: [a]\n  s: [a]\n", ["3: regions.s: zone a is already in region n"]),
        ("regions: [a]", ["1: regions. is not a map of keys"]),
        ("regions: {n: a}", ["1: regions.n: expected a list of distinct names, got a"]),
        ("conductors: {}", ["1: conductors: expected a list"]),
        ("conductors:\n  - c\n", ["2: conductors[0]. is not a map of keys"]),
        ("conductors:\n  - name: c\n", ["2: conductors[0].zone is missing"]),
        (
            "conductors:\n  - {name: c, zone: a}\n  - {name: d, zone: a, servces: [x]}\n"
            "  - {name: c, zone: a}\n",
            [
                "3: conductors[1].servces is not known; did you mean services?",
                "4: conductors: duplicate name c",
            ],
        ),
        (
            "conductors:\n  - {name: c, count: 2, zone: a}\n",
            ["2: conductors[0].name: expected {number} in it, as count is set"],
        ),
        (
            "conductors:\n  - {name: 'c{number}', count: 2, zone: a, address: 127.0.0.1:7}\n",
            ["2: conductors[0].address: not allowed with count; the addresses of a group follow base"],
        ),
        (
            "conductors:\n  - {name: c, zone: a, services: [x, x]}\n",
            ["2: conductors[0].services: expected a list of distinct names, got ['x', 'x']"],
        ),
        (
            f"base: 127.0.0.1:65535\nconductors:\n  - {GROUP_OF_TWO}\n",
            ["3: conductors: c1 would get port 65536, above 65535; set a lower base"],
        ),
        (
            "listen: 127.0.0.1:9\nconductors:\n  - {name: c, zone: a, address: 127.0.0.1:9}\n",
            ["3: conductors: c and listen would both have the address 127.0.0.1:9"],
        ),
        ("conductors: [1\n", ["2: "]),
        ("- 1\n", ["1: the file is not a map of keys"]),
    ],
)
def test_errors_name_file_line_and_field(tmp_path, text, messages):
    with pytest.raises(InvalidConfigurationError) as raised:
        read(write_file(tmp_path, text))
    for message in messages:
        assert f"views.yaml:{message}" in str(raised.value), str(raised.value)


def test_a_limit_of_descriptors_that_is_too_low_is_rejected(monkeypatch):
    configuration = read(SHIPPED)
    assert required_descriptors(configuration) == 2 + 4096 + 32
    monkeypatch.setattr("resource.getrlimit", lambda _: (4129, 4129))
    with pytest.raises(InvalidConfigurationError, match="4130 descriptors are needed .* 4129 are allowed"):
        check_descriptors(configuration)


def run(*arguments):
    command = [sys.executable, "-m", "oatcart.views", *map(str, arguments)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=20, check=False)


def test_a_check_ends_with_exit_code_0():
    result = run(SHIPPED, "--check")
    assert (result.returncode, result.stderr) == (0, "") and "can be used: 2 controllers" in result.stdout


def test_an_invalid_file_ends_with_exit_code_2_and_all_errors(tmp_path):
    result = run(write_file(tmp_path, "listen: 1\nguard: {hold: 1}\n"), "--check")
    assert result.returncode == 2 and "views.yaml:1: listen" in result.stderr
    assert "views.yaml:2: guard.hold" in result.stderr
    assert run(tmp_path / "none.yaml").returncode == 2


def test_the_controller_imports_no_module_of_the_control_role():
    code = (
        "import sys, oatcart.__main__\n"
        "print([name for name in sys.modules if name.startswith('oatcart.views')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False, timeout=20
    )
    assert result.stdout.strip() == "[]", result.stderr
