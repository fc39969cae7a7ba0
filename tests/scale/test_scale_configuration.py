"""Reads `deploy/scale.yaml`: keys override defaults, and all errors are reported with line and field."""

from dataclasses import replace
from pathlib import Path

import pytest

from oatcart.errors import InvalidConfigurationError
from oatcart.scale.configuration import Budgets, DaySettings, FleetSettings, Settings
from oatcart.scale.configuration_file import read
from oatcart.scale.measurement import DIMENSIONS

ROOT = Path(__file__).parents[2]


def errors_of(folder: Path, text: str) -> list[str]:
    """Returns the errors of a file `s.yaml` with this text, without its folder."""
    path = folder / "s.yaml"
    path.write_text(text)
    with pytest.raises(InvalidConfigurationError) as raised:
        read(path)
    return str(raised.value).replace(f"{folder}/", "").splitlines()


def test_the_shipped_file_contains_the_defaults():
    assert read(ROOT / "deploy" / "scale.yaml") == Settings()


def test_the_defaults_are_those_of_the_planned_fleet():
    fleet, day, budgets = FleetSettings(), DaySettings(), Budgets()
    assert (fleet.conductors, fleet.nodes, fleet.services) == (5_800, 27_000, 720)
    assert (fleet.routes, fleet.tenants, fleet.requests) == (37_000, 280_000, 720_000.0)
    assert (fleet.regions, fleet.zones) == (14, 53)
    assert (day.changes, day.failures, day.restarts) == (22_000, 46, 1_800)
    assert (day.rack_losses, day.zone_losses, day.partition_for) == (1, 1, 3_600.0)
    assert (budgets.core_share, budgets.memory, budgets.traffic) == (0.043, 256 << 20, 4_096.0)
    assert (budgets.change_in_force, budgets.control_machines) == (5.0, 7)


def test_every_dimension_has_sizes_in_a_full_run_and_nodes_in_a_quick_run():
    settings = Settings()
    assert set(settings.full.sizes) == set(DIMENSIONS)
    assert "nodes" in settings.quick.sizes


def test_an_empty_file_gives_the_defaults(tmp_path):
    (tmp_path / "s.yaml").write_text("# nothing\n")
    assert read(tmp_path / "s.yaml") == Settings()


def test_set_keys_are_read_and_other_keys_keep_their_defaults(tmp_path):
    (tmp_path / "s.yaml").write_text(
        "seed: 5\n"
        "fleet:\n  nodes: 9000\n  requests: 10.5/s\n"
        "day:\n  partition_for: 5m\n  burst_share: 0\n"
        "budgets:\n  memory: 1GiB\n  traffic: 2 KiB/s\n"
        "quick:\n  settle_for: 250ms\n  sizes:\n    tenants: [1, 2, 3, 4, 5]\n"
    )
    found = read(tmp_path / "s.yaml")
    defaults = Settings()
    assert found.seed == 5
    assert found.fleet == replace(defaults.fleet, nodes=9_000, requests=10.5)
    assert found.day == replace(defaults.day, partition_for=300.0, burst_share=0.0)
    assert found.budgets == replace(defaults.budgets, memory=1 << 30, traffic=2_048.0)
    assert found.quick == replace(defaults.quick, settle_for=0.25, sizes={"tenants": (1, 2, 3, 4, 5)})
    assert found.full == defaults.full


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("flet:\n  nodes: 5\n", "s.yaml:1: flet is not known; did you mean fleet?"),
        ("fleet:\n  nods: 5\n", "s.yaml:2: fleet.nods is not known; did you mean nodes?"),
        ("fleet: 5\n", "s.yaml:1: fleet. is not a map of keys"),
        ("- 1\n", "s.yaml:1: the file is not a map of keys"),
        ("seed: -1\n", "s.yaml:1: seed: -1 is not a whole number from 0 to 4294967295"),
        ("fleet:\n  nodes: 2.5\n", "s.yaml:2: fleet.nodes: 2.5 is not a whole number from 1 to 100000000"),
        ("fleet:\n  nodes: true\n", "s.yaml:2: fleet.nodes: True is not a whole number from 1 to 100000000"),
        ("fleet:\n  requests: 5\n", "s.yaml:2: fleet.requests: 5 is not a rate; write it as 720000/s"),
        ("fleet:\n  service_skew: -1\n", "s.yaml:2: fleet.service_skew: -1 is not a number from 0 to 5"),
        ("day:\n  lost_for: 5\n", "s.yaml:2: day.lost_for: 5 has no unit; write it as 250ms, 2s or 1m"),
        ("day:\n  burst_share: 1.5\n", "s.yaml:2: day.burst_share: 1.5 is not a number from 0 to 1"),
        ("day:\n  burst_share: .nan\n", "s.yaml:2: day.burst_share: nan is not a number from 0 to 1"),
        (
            "budgets:\n  traffic: 4KiB\n",
            "s.yaml:2: budgets.traffic: 4KiB is not a traffic rate; write it as 4KiB/s or 1MiB/s",
        ),
        (
            "budgets:\n  memory: 256\n",
            "s.yaml:2: budgets.memory: 256 has no unit; write it as 64KiB, 64MiB or 1GiB",
        ),
        (
            "full:\n  sizes:\n    node: [1, 2, 3, 4, 5]\n",
            "s.yaml:3: full.sizes.node is not known; did you mean nodes?",
        ),
        ("full:\n  sizes: {}\n", "s.yaml:2: full.sizes: expected at least one dimension"),
        ("full:\n  sizes:\n    nodes: 5\n", "s.yaml:3: full.sizes.nodes: expected a list of sizes"),
        (
            "full:\n  sizes:\n    nodes:\n      - 1\n      - 2\n      - 3\n      - 4\n      - many\n",
            "s.yaml:8: full.sizes.nodes[4]: many is not a whole number from 1 to 100000000",
        ),
        (
            "full:\n  sizes:\n    nodes: [1, 2, 3, 3, 5]\n",
            "s.yaml:3: full.sizes.nodes[3]: 3 is not above 3; sizes must ascend",
        ),
        (
            "quick:\n  sizes:\n    nodes: [1, 2, 3, 4]\n",
            "s.yaml:3: quick.sizes.nodes: 4 sizes are too few, 5 are needed: "
            "4 to fit and the largest to prove the fit",
        ),
    ],
)
def test_an_error_names_file_line_and_field(tmp_path, text, error):
    assert errors_of(tmp_path, text) == [error]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("fleet:\n  regions: 60\n", "s.yaml:2: fleet.regions: 60 regions are more than the 53 zones"),
        ("fleet:\n  zones: 5\n", "s.yaml:2: fleet.zones: 14 regions are more than the 5 zones"),
        (
            "fleet:\n  services: 2\n  services_per_conductor: 1\n  nodes: 40\nday:\n  failures: 1\n"
            "  rack_losses: 0\n",
            "s.yaml:4: fleet.nodes: 53 zones are more than the 40 endpoints",
        ),
        (
            "fleet:\n  services: 20000\n",
            "s.yaml:2: fleet.services: 20000 services need 40000 endpoints, the fleet has 27000",
        ),
        (
            "fleet:\n  services_per_conductor: 721\n",
            "s.yaml:2: fleet.services_per_conductor: 721 services per controller are more than all 720",
        ),
        (
            "day:\n  failures: 27001\n",
            "s.yaml:2: day.failures: 27001 failures are more than the 27000 endpoints",
        ),
        (
            "day:\n  rack_losses: 1126\n",
            "s.yaml:2: day.rack_losses: 1126 lost racks are more than the 1125 that the endpoints fill",
        ),
        (
            "day:\n  zone_losses: 54\n",
            "s.yaml:2: day.zone_losses: 54 lost zones are more than the 53 zones",
        ),
        (
            "fleet:\n  regions: 1\n",
            "s.yaml:2: fleet.regions: a partition needs at least two regions, there is one",
        ),
        (
            "limits:\n  memory: 1MiB\n",
            "s.yaml:2: limits.memory: 1048576 bytes are less than budgets.memory of one controller "
            "(268435456 bytes)",
        ),
    ],
)
def test_an_impossible_combination_is_reported_at_its_first_field(tmp_path, text, error):
    assert errors_of(tmp_path, text) == [error]


def test_all_errors_are_reported_together_in_the_order_of_lines(tmp_path):
    text = (
        "fleet:\n  zones: 3\n  nodes: some\nday:\n  failed_for: 5\n"
        "full:\n  sizes:\n    nodes: [2, 1]\nsede: 1\n"
    )
    assert errors_of(tmp_path, text) == [
        "s.yaml:2: fleet.zones: 14 regions are more than the 3 zones",
        "s.yaml:3: fleet.nodes: some is not a whole number from 1 to 100000000",
        "s.yaml:5: day.failed_for: 5 has no unit; write it as 250ms, 2s or 1m",
        "s.yaml:8: full.sizes.nodes[1]: 1 is not above 2; sizes must ascend",
        "s.yaml:8: full.sizes.nodes: 2 sizes are too few, 5 are needed: "
        "4 to fit and the largest to prove the fit",
        "s.yaml:9: sede is not known; did you mean seed?",
    ]


def test_a_combination_with_an_unreadable_field_is_not_reported(tmp_path):
    assert errors_of(tmp_path, "fleet:\n  zones: 3\n  regions: x\n") == [
        "s.yaml:3: fleet.regions: x is not a whole number from 1 to 100000000"
    ]


@pytest.mark.parametrize("text", ["fleet: [1\n", "seed: 1\nseed: 2\n"])
def test_invalid_yaml_is_reported_with_its_line(tmp_path, text):
    (error,) = errors_of(tmp_path, text)
    assert error.startswith("s.yaml:2: ")


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(InvalidConfigurationError, match="No such file"):
        read(tmp_path / "absent.yaml")
