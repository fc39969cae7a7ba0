"""Compares hollow with real controllers, and checks that the comparison detects differences."""

from dataclasses import replace

import pytest

from oatcart.scale import agreement
from oatcart.scale.agreement import Agreement, ComparedFigure, compare, equal, no_difference, within_tolerance
from oatcart.scale.configuration import FleetSettings
from oatcart.scale.trial import Trial
from oatcart.scale.trial_settings import TrialSettings

SETTINGS = TrialSettings(
    fleet=FleetSettings().scaled_to(30),
    seed=1,
    hollow=2,
    real=2,
    settle_s=0.5,
    measure_s=5.0,  # long enough that one extra message in transit is well under a tenth of all messages
    warm_up_s=1.0,
    changes=4,
    changes_per_s=4.0,
)
# Real to hollow; wide, as load from other programs distorts short spans. The ratio itself is in the report.
CORE_RATIO = (0.5, 4.0)


def figure(found: Agreement, name: str) -> ComparedFigure:
    return next(one for one in found.figures if one.name == name)


def test_hollow_controllers_agree_with_real_ones() -> None:
    found = compare(SETTINGS)
    assert found.agrees, found.text()
    assert CORE_RATIO[0] < found.core_ratio < CORE_RATIO[1]
    assert figure(found, "revision").real == 1 + SETTINGS.changes
    assert figure(found, "endpoints in commands").real >= 2 * 26
    assert figure(found, "endpoints ejected").real >= 2 * SETTINGS.proxies, (
        "nothing was ejected, so ejection commands were not compared"
    )


def test_a_controller_with_a_different_list_does_not_agree(monkeypatch: pytest.MonkeyPatch) -> None:
    """The real controllers watch a list that lacks one endpoint; the comparison reports the difference."""
    list_of = Trial.list_of
    monkeypatch.setattr(
        Trial, "list_of", lambda self, name: "short" if name.startswith("real") else list_of(self, name)
    )
    original_start = Trial.start

    def start(self: Trial) -> None:
        self.lists["short"] = self.plan.endpoints[:-1]
        original_start(self)

    monkeypatch.setattr(Trial, "start", start)
    monkeypatch.setattr(agreement, "COMMANDS_AGREE_WITHIN_S", 1.0)
    found = compare(replace(SETTINGS, hollow=1, real=1, measure_s=0.5, changes=0), failing_count=0)
    assert not found.agrees
    assert not figure(found, "endpoints in commands").agrees
    assert not figure(found, "table entries at one of a pair only").agrees


def test_unpaired_controllers_cannot_be_compared() -> None:
    with pytest.raises(ValueError, match="paired"):
        compare(replace(SETTINGS, real=3))


def test_bytes_may_differ_by_at_most_a_tenth() -> None:
    assert within_tolerance("bytes", 109.0, 100.0).agrees and within_tolerance("bytes", 91.0, 100.0).agrees
    assert (
        not within_tolerance("bytes", 112.0, 100.0).agrees
        and not within_tolerance("bytes", 88.0, 100.0).agrees
    )
    assert within_tolerance("bytes", 0.0, 0.0).agrees and not within_tolerance("bytes", 1.0, 0.0).agrees


def test_a_single_difference_prevents_agreement() -> None:
    found = Agreement([equal("revision", 3, 3), no_difference("entries at one only", 1)], 1.2)
    assert not found.agrees
    assert "revision: hollow 3, real 3, ratio 1.000, agrees" in found.text()
    assert "entries at one only: hollow 1, real 0, ratio inf, DIFFERS" in found.text()
