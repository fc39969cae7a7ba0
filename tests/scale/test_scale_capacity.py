"""How `python -m benchmarks.capacity` computes its result; a figure that was not measured must be null."""

import multiprocessing
import time

import pytest

from benchmarks.capacity import Outcome, result, result_of
from oatcart.scale.configuration import Settings
from oatcart.scale.measurement import Measurement
from oatcart.scale.real import NotReadyError

SIZES = (1_000, 2_000, 3_000, 4_000, 5_000)


class Job:
    """Stands in for a job of the pool."""

    def __init__(self, outcome: object) -> None:
        self.outcome = outcome

    def get(self, timeout: float) -> object:
        assert timeout >= 0.0
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def complete_lists(last_change_s: float = 0.51) -> list[Measurement]:
    """Measurements of a controller whose costs grow linearly with the endpoints, and of discovery."""
    controllers = [
        Measurement(
            "nodes",
            size,
            "conductor",
            core_share=0.01 + 6e-5 * size,
            resident_mb=20.0 + 0.004 * size,
            bytes_in_s=9.0 * size,
            bytes_out_s=17.0,
            change_last_s=last_change_s if size == 5_000 else 0.01 + 1e-4 * size,
            ready_s=0.25,
        )
        for size in SIZES
    ]
    return [*controllers, *(Measurement("nodes", size, "discovery", core_share=9.0) for size in SIZES)]


def viewed() -> Measurement:
    """The measurement of a controller with a view, at the planned size."""
    return Measurement(
        "nodes",
        27_000,
        "conductor",
        core_share=0.0135,
        resident_mb=20.0,
        bytes_in_s=2_700.0,
        bytes_out_s=20.0,
    )


def test_costs_before_views_are_predicted_and_costs_with_views_are_measured():
    found = result(Settings(), Outcome(complete_lists(), viewed(), None, True))
    assert found["core_at_plan_before"] == pytest.approx(0.01 + 6e-5 * 27_000)
    assert found["core_per_node_before"] == pytest.approx(found["core_at_plan_before"] / 27_000)
    assert found["bytes_s_at_plan_before"] == pytest.approx(9.0 * 27_000 + 17.0)
    assert found["mb_at_plan_before"] == pytest.approx(128.0)
    assert found["ready_s_before"] == pytest.approx(0.25)
    assert found["core_at_plan"] == 0.0135
    assert found["core_per_node"] == pytest.approx(5e-7)
    assert found["bytes_s_at_plan"] == 2_720.0
    assert found["hollow_agrees"] is True


def test_figures_that_were_not_measured_are_null():
    found = result(Settings(), Outcome(complete_lists(), viewed(), None, None))
    assert found["change_last_s"] is None
    assert found["ready_s"] is None
    assert found["control_core_at_plan"] is None
    assert found["hollow_agrees"] is None


def test_without_any_trial_every_figure_is_null_or_empty():
    found = result(Settings(), Outcome([], None, None, None))
    assert {name for name, value in found.items() if value is not None} == {"not_proved"}


def test_too_few_sizes_give_no_prediction():
    found = result(Settings(), Outcome(complete_lists()[:3], viewed(), None, True))
    assert found["core_at_plan_before"] is None
    assert found["predicted_off"] is None
    assert "core_share" in found["not_proved"]


def test_a_slope_that_is_not_proved_is_listed_and_counted_separately():
    linear = result(Settings(), Outcome(complete_lists(), viewed(), None, True))
    assert linear["not_proved"] == []
    assert linear["predicted_off"] == linear["predicted_off_all"] < 1e-6
    nonlinear = result(Settings(), Outcome(complete_lists(last_change_s=1.02), viewed(), None, True))
    assert nonlinear["not_proved"] == ["change_last_s"]
    assert nonlinear["predicted_off"] < 1e-6
    assert nonlinear["predicted_off_all"] == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("outcome", "expected", "line"),
    [
        (7, 7, "a trial: measured"),
        (NotReadyError("no pong"), None, "a trial: not measured: no pong"),
        (multiprocessing.TimeoutError(), None, "a trial: not measured: no result in time"),
    ],
)
def test_a_job_that_fails_or_times_out_is_reported(capsys, outcome, expected, line):
    assert result_of("a trial", Job(outcome), time.monotonic()) == expected
    assert capsys.readouterr().err == f"{line}\n"


def test_an_unexpected_error_of_a_job_is_not_hidden():
    with pytest.raises(KeyError):
        result_of("a trial", Job(KeyError("x")), time.monotonic())
