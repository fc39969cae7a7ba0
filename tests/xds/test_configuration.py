"""`deploy/xds.yaml`: every error names file, line and field; and what the platform's conductor does not
import.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from table import Table, nodes, played

from oatcart.xds.configuration import InvalidConfigurationError, Source, Xds, read

ROOT = Path(__file__).parents[2]


def test_the_file_that_is_shipped_holds_the_defaults():
    assert read(ROOT / "deploy" / "xds.yaml") == Xds()


def test_what_is_set_is_read(tmp_path):
    (tmp_path / "x.yaml").write_text(
        "listen: 127.0.0.1:1\nunread_for: 250ms\nhome_zone: a\n"
        "source:\n  address: 127.0.0.1:2\n  cluster: s\n  hold: 1m\n  with_roll: true\n"
    )
    assert read(tmp_path / "x.yaml") == Xds(
        listen="127.0.0.1:1",
        unread_for=0.25,
        home_zone="a",
        source=Source("127.0.0.1:2", "s", 60.0, 30.0, True),
    )


@pytest.mark.parametrize(
    "text, said",
    [
        ("listen: here", ["x.yaml:1: listen: 'here' is not a numeric address and a port"]),
        ("clients: 10\nlisen: 127.0.0.1:1\n", ["x.yaml:2: lisen is not known; did you mean listen?"]),
        (
            "clients: 0\n\nunread_for: 5\nstreams: true\n",
            [
                "x.yaml:1: clients: 0 is not a whole number from 1",
                "x.yaml:3: unread_for: 5 has no unit",
                "x.yaml:4: streams: True is not",
            ],
        ),
        (
            "source:\n  address: 127.0.0.1:2\n  hodl: 1s\n",
            ["x.yaml:3: source.hodl is not known; did you mean hold?", "x.yaml:1: source.cluster is missing"],
        ),
        ("source: yes\n", ["x.yaml:1: source. is not a map of keys"]),
        ("clients: [1\n", ["x.yaml:2: "]),
        ("clients: 1\nclients: 2\n", ["x.yaml:2: "]),
        ("- 1\n", ["x.yaml:1: the file is not a map of keys"]),
        ("unread_for: 2h\n", ["x.yaml:1: unread_for: 2h has no unit"]),
    ],
)
def test_errors_name_file_line_and_field(tmp_path, text, said):
    (tmp_path / "x.yaml").write_text(text)
    with pytest.raises(InvalidConfigurationError) as wrong:
        read(tmp_path / "x.yaml")
    for one in said:
        assert one in str(wrong.value), str(wrong.value)


def test_a_file_that_is_not_there(tmp_path):
    with pytest.raises(InvalidConfigurationError, match="none.yaml"):
        read(tmp_path / "none.yaml")


def test_the_platforms_conductor_imports_none_of_it():
    found = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, oatcart.__main__, oatcart.simhost.adapter; "
            "print([name for name in ('grpc', 'google.protobuf', 'envoy', 'asyncio', 'ruamel.yaml', "
            "'oatcart.xds', 'oatcart.trace', 'numpy', 'msgpack', 'zstandard') if name in sys.modules])",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert found.stdout.strip() == "[]", found.stderr


@pytest.mark.parametrize("pushes, said", [(8, "pushes: 8 a second reach 16 clients"), (500, "")])
def test_the_check_says_what_the_pushes_cannot_serve(tmp_path, pushes, said):
    # Guards against clients that are told of drains too late by a configuration that was accepted silently.
    (tmp_path / "x.yaml").write_text(f"clients: 1000\npushes: {pushes}\n")
    found = subprocess.run(
        [sys.executable, "-m", "oatcart.xds", str(tmp_path / "x.yaml"), "--check"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": "examples/config.json"},
        capture_output=True,
        text=True,
    )
    assert found.returncode == 0 and "can be used" in found.stdout
    assert said in found.stderr if said else not found.stderr


def test_the_start_says_what_the_pushes_cannot_serve():
    async def story():
        async with Table(nodes(2), clients=100, pushes=8) as table:
            wanted = "pushes: 8 a second reach 16 clients"
            assert any(wanted in line for line in table.lines), table.lines

    played(story())
