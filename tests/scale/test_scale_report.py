"""Measurement files; reports as tables, JSON and plots; the commands and their exit codes."""

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcart.scale import __main__ as command
from oatcart.scale.children import ChildError
from oatcart.scale.configuration import Budgets
from oatcart.scale.measurement import (
    DIMENSIONS,
    QUANTITIES,
    Measurement,
    MeasurementError,
    from_json,
    read_json,
    to_json,
    write_json,
)
from oatcart.scale.report import budget_of, json_report, text_report
from oatcart.scale.slopes import analyse

ROOT = Path(__file__).parents[2]
SIZES = (500, 1_500, 4_000, 9_000, 27_000)
COST = st.none() | st.floats(0.0, 1e12)


def measured() -> list[Measurement]:
    """A controller whose costs grow linearly, a size that was left out, and a role of another dimension."""
    controller = [
        Measurement("nodes", size, "conductor", core_share=1e-4 + 2e-6 * size, resident_mb=30.0 + 0.01 * size)
        for size in SIZES
    ]
    left_out = Measurement("nodes", 50_000, "conductor", left_out="needs 9 GiB of 8 GiB")
    control = Measurement("routes", 10, "control", core_share=0.5)
    return [*controller, left_out, control]


@given(
    st.lists(
        st.builds(
            Measurement,
            dimension=st.sampled_from(DIMENSIONS),
            size=st.floats(1e-3, 1e9),
            role=st.text(min_size=1),
            left_out=st.none() | st.text(min_size=1),
            **{quantity.field: COST for quantity in QUANTITIES},
        ),
        max_size=5,
    )
)
def test_measurements_are_unchanged_by_a_json_round_trip(measurements):
    assert from_json(to_json(measurements)) == measurements


def test_measurements_are_unchanged_by_a_file_round_trip(tmp_path):
    write_json(tmp_path / "m.json", measured())
    assert read_json(tmp_path / "m.json") == measured()


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("[", "line 1: "),
        ("{}", "the measurements are not a JSON array"),
        ("[1]", "item 0 is not an object"),
        ('[{"dimension": "nodes", "size": 1, "role": "a", "core": 1}]', "item 0: core is not known"),
        ('[{"dimension": "nodes"}]', "item 0: size is missing, role is missing"),
        (
            '[{"dimension": "node", "size": 1, "role": "a"}]',
            "item 0: dimension: 'node' is not one of conductors, ",
        ),
        (
            '[{"dimension": "nodes", "size": 0, "role": "a"}]',
            "item 0: size: 0 is not a finite number above 0",
        ),
        (
            '[{"dimension": "nodes", "size": 1, "role": ""}]',
            "item 0: role: expected a non-empty text, got ''",
        ),
        (
            '[{"dimension": "nodes", "size": 1, "role": "a", "ready_s": NaN}]',
            "item 0: ready_s: nan is not a finite number of at least 0",
        ),
        (
            '[{"dimension": "nodes", "size": 1, "role": "a", "left_out": ""}]',
            "item 0: left_out: expected a non-empty text with the reason, got ''",
        ),
    ],
)
def test_invalid_measurements_are_reported_with_file_item_and_field(tmp_path, text, error):
    path = tmp_path / "m.json"
    path.write_text(text)
    with pytest.raises(MeasurementError) as raised:
        read_json(path)
    assert str(raised.value).startswith(f"{path}: {error}")


def test_the_table_shows_measured_costs_and_marks_those_over_budget():
    text = text_report(measured(), analyse(measured()), Budgets())
    tables = text.split("\n\n")
    assert len(tables) == 4
    core, memory = tables[0].splitlines()[1:3]
    assert tables[0].splitlines()[0].split() == [
        *("role", "nodes", "500", "1,500", "4,000", "9,000", "27,000", "50,000")
    ]
    assert core.startswith("conductor  Share of a core [core]  ")
    assert core.split()[-6:] == ["0.00110", "0.00310", "0.00810", "0.0181", "0.0541!", "-"]
    assert memory.split()[-6:] == ["35.0", "45.0", "70.0", "120", "300!", "-"]
    assert tables[0].splitlines()[3:] == ["left out: 50,000 nodes, conductor: needs 9 GiB of 8 GiB"]
    assert "Longest round" not in text


def test_a_size_measured_twice_shows_both():
    twice = [*measured()[:2], replace(measured()[0], core_share=0.5)]
    core = text_report(twice, [], Budgets()).splitlines()[1]
    assert core.endswith("0.00110 / 0.500!  0.00310")


def test_only_controllers_have_budgets():
    text = text_report(measured(), [], Budgets())
    (control,) = [line for line in text.splitlines() if line.startswith("control")]
    assert control.split()[-1] == "0.500"


def test_the_slopes_show_form_proof_and_what_is_missing():
    _, endpoints, _, routes = text_report(measured(), analyse(measured()), Budgets()).split("\n\n")
    (core,) = [line for line in endpoints.splitlines() if line.startswith("conductor  Share of a core")]
    assert "a + b n " in core
    assert core.endswith("yes")
    (control,) = [line for line in routes.splitlines() if line.startswith("control  Share of a core")]
    assert control.endswith("1 sizes measured; a fit needs 4")


def test_a_slope_that_fails_its_proof_is_marked():
    nonlinear = [one if one.size < 27_000 else replace(one, core_share=0.5) for one in measured()]
    slopes = text_report(nonlinear, analyse(nonlinear), Budgets()).split("\n\n")[1]
    (core,) = [line for line in slopes.splitlines() if line.startswith("conductor  Share of a core")]
    assert core.endswith("89%  NOT PROVED (over 20%)")


def test_the_report_states_that_nothing_was_measured():
    assert text_report([], [], Budgets()) == "Nothing was measured."


def test_the_json_report_holds_measurements_and_slopes():
    document = json.loads(json_report(measured(), analyse(measured())))
    assert from_json(json.dumps(document["measurements"])) == measured()
    core, memory, control = document["slopes"]
    assert (core["quantity"], core["unit"]) == ("core_share", "core")
    assert core["fit"]["form"] == "a + b n"
    assert core["fit"]["growth"]["value"] == pytest.approx(2e-6)
    assert core["proof"]["size"] == 27_000
    assert core["proof"]["proved"] is True
    assert memory["fit"]["constant"]["value"] == pytest.approx(30.0)
    assert (control["fit"], control["proof"]) == (None, None)
    assert control["missing"] == "1 sizes measured; a fit needs 4"


def test_budgets_are_in_the_units_of_their_quantities():
    assert budget_of("core_share", Budgets()) == 0.043
    assert budget_of("resident_mb", Budgets()) == pytest.approx(268.4, abs=0.1)
    assert budget_of("bytes_in_s", Budgets()) == 4_096.0
    assert budget_of("change_last_s", Budgets()) == 5.0
    assert budget_of("ready_s", Budgets()) is None


def test_each_slope_is_drawn_into_a_png(tmp_path):
    from oatcart.scale.plots import draw_slopes

    files = draw_slopes(analyse(measured()), tmp_path / "new", Budgets())
    assert [path.name for path in files] == [
        "nodes-conductor-core_share.png",
        "nodes-conductor-resident_mb.png",
        "routes-control-core_share.png",
    ]
    for path in files:
        assert path.read_bytes().startswith(b"\x89PNG")


def test_a_run_prints_tables_and_writes_json(tmp_path, monkeypatch, capsys):
    calls = []

    class Runs:
        """Stands in for oatcart.scale.runs."""

        @staticmethod
        def measure(settings, quick, dimensions, progress):
            calls.append((settings.seed, quick, dimensions))
            progress("nodes: 500")
            return measured()

    monkeypatch.setitem(sys.modules, "oatcart.scale.runs", Runs)
    path = tmp_path / "out.json"
    arguments = ["run", str(ROOT / "deploy" / "scale.yaml"), "--quick", "--dimension", "nodes"]
    assert command.main([*arguments, "--json", str(path)]) == 0
    assert calls == [(1, True, ["nodes"])]
    printed = capsys.readouterr()
    assert "27,000" in printed.out
    assert printed.err == "nodes: 500\n"
    assert from_json(json.dumps(json.loads(path.read_text())["measurements"])) == measured()


def test_a_run_that_fails_ends_with_1(monkeypatch, capsys):
    class Runs:
        """Stands in for oatcart.scale.runs."""

        @staticmethod
        def measure(settings, quick, dimensions, progress):
            raise ChildError("discovery has ended")

    monkeypatch.setitem(sys.modules, "oatcart.scale.runs", Runs)
    assert command.main(["run", str(ROOT / "deploy" / "scale.yaml"), "--quick"]) == 1
    printed = capsys.readouterr()
    assert (printed.out, printed.err) == ("", "the run failed: discovery has ended\n")


def test_a_missing_folder_for_json_is_reported_before_the_run(tmp_path, capsys):
    path = tmp_path / "absent" / "out.json"
    assert command.main(["run", str(ROOT / "deploy" / "scale.yaml"), "--json", str(path)]) == 2
    assert capsys.readouterr().err == f"{path}: the folder does not exist\n"


def test_an_invalid_file_ends_with_2_and_all_errors(tmp_path, capsys):
    (tmp_path / "s.yaml").write_text("seed: x\nfleet:\n  zones: 3\n")
    assert command.main(["run", str(tmp_path / "s.yaml")]) == 2
    errors = capsys.readouterr().err.splitlines()
    assert [line.partition("s.yaml")[2][:3] for line in errors] == [":1:", ":3:"]


def test_a_dimension_without_sizes_ends_with_2(tmp_path, capsys):
    (tmp_path / "s.yaml").write_text("quick:\n  sizes:\n    nodes: [10, 20, 30, 40, 50]\n")
    assert command.main(["run", str(tmp_path / "s.yaml"), "--quick", "--dimension", "tenants"]) == 2
    assert "quick.sizes has no tenants; it has nodes" in capsys.readouterr().err


def test_plan_prints_a_summary_of_the_fleet_and_its_day(tmp_path, capsys):
    (tmp_path / "s.yaml").write_text(
        "fleet:\n  nodes: 200\n  services: 20\n  zones: 4\n  regions: 2\n"
        "day:\n  failures: 3\n  restarts: 10\n  changes: 70\n"
    )
    assert command.main(["plan", str(tmp_path / "s.yaml")]) == 0
    printed = capsys.readouterr().out
    assert "endpoints: 200 in 20 services, 4 zones" in printed
    assert "ConfigurationChanged: 70" in printed
    assert "NodeDraining: 10" in printed


def test_a_day_that_does_not_fit_the_fleet_ends_with_2(tmp_path, capsys):
    (tmp_path / "s.yaml").write_text(
        "fleet:\n  nodes: 20\n  services: 6\n  zones: 2\n  regions: 2\n"
        "day:\n  failures: 0\n  restarts: 500\n  restart_for: 60m\n  rack_losses: 0\n"
    )
    assert command.main(["plan", str(tmp_path / "s.yaml")]) == 2
    assert "day: 500 restarts do not fit on 20 endpoints" in capsys.readouterr().err


def test_matplotlib_and_runs_are_loaded_only_when_needed():
    code = (
        "import sys, oatcart.scale.__main__\n"
        "print([name for name in ('matplotlib', 'oatcart.scale.runs', 'oatcart.net') if name in sys.modules])"
    )
    ran = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert ran.stdout == "[]\n"
