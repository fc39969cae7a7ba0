"""`deploy/xds.yaml`: errors name file, line and field; without xDS nothing of it is imported."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from xds_harness import XdsHarness, endpoint_list, run_async

from oatcart.xds.configuration import InvalidConfigurationError, Source, Xds, read

ROOT = Path(__file__).parents[2]


def test_the_shipped_file_holds_the_defaults():
    assert read(ROOT / "deploy" / "xds.yaml") == Xds()


def test_settings_are_read(tmp_path):
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
    "text, messages",
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
def test_errors_name_file_line_and_field(tmp_path, text, messages):
    (tmp_path / "x.yaml").write_text(text)
    with pytest.raises(InvalidConfigurationError) as error:
        read(tmp_path / "x.yaml")
    for message in messages:
        assert message in str(error.value), str(error.value)


def test_an_error_names_a_missing_file(tmp_path):
    with pytest.raises(InvalidConfigurationError, match="none.yaml"):
        read(tmp_path / "none.yaml")


def test_the_controller_without_xds_imports_none_of_its_packages():
    result = subprocess.run(
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
    assert result.stdout.strip() == "[]", result.stderr


@pytest.mark.parametrize("pushes, message", [(8, "pushes: 8 a second reach 16 clients"), (500, "")])
def test_the_check_warns_if_the_push_rate_is_too_low(tmp_path, pushes, message):
    # Guards against a push rate that is accepted silently and too low to send drains to all clients in time.
    (tmp_path / "x.yaml").write_text(f"clients: 1000\npushes: {pushes}\n")
    result = subprocess.run(
        [sys.executable, "-m", "oatcart.xds", str(tmp_path / "x.yaml"), "--check"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": "examples/config.json"},
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0 and "can be used" in result.stdout
    assert message in result.stderr if message else not result.stderr


def test_the_start_warns_if_the_push_rate_is_too_low():
    async def scenario():
        async with XdsHarness(endpoint_list(2), clients=100, pushes=8) as harness:
            wanted = "pushes: 8 a second reach 16 clients"
            assert any(wanted in line for line in harness.log_lines), harness.log_lines

    run_async(scenario())
