"""Hollow controllers count only where they agree with real ones: both are compared, differences are seen."""

from dataclasses import replace

import pytest

from oatcart.scale import agreement
from oatcart.scale.agreement import Agreement, ComparedFigure, compare, none, same, within
from oatcart.scale.configuration import FleetSettings
from oatcart.scale.trial import Trial
from oatcart.scale.trial_settings import TrialSettings

SETTINGS = TrialSettings(
    fleet=FleetSettings().scaled_to(30),
    seed=1,
    hollow=2,
    real=2,
    settle_s=0.5,
    measure_s=5.0,  # long enough that one message more on the way is well under a tenth of all
    warm_up_s=1.0,
    changes=4,
    changes_per_s=4.0,
)
CORE_RATIO = (
    0.5,
    4.0,
)  # real to hollow, where a busy machine spoils short spans; the figure itself is in the report


def figure(found: Agreement, name: str) -> ComparedFigure:
    return next(one for one in found.figures if one.name == name)


def test_hollow_controllers_agree_with_real_ones() -> None:
    found = compare(SETTINGS)
    assert found.agrees, found.text()
    assert CORE_RATIO[0] < found.core_ratio < CORE_RATIO[1]
    assert figure(found, "revision").real == 1 + SETTINGS.changes
    assert figure(found, "nodes ordered").real >= 2 * 26
    assert figure(found, "nodes shut out").real >= 2 * SETTINGS.proxies, (
        "nothing was withdrawn: orders untested"
    )


def test_a_controller_under_another_list_does_not_agree(monkeypatch: pytest.MonkeyPatch) -> None:
    """The real ones follow a list that lacks an endpoint, and the comparison says so."""
    whole = Trial.list_of
    monkeypatch.setattr(
        Trial, "list_of", lambda self, name: "short" if name.startswith("real") else whole(self, name)
    )
    begin = Trial.start

    def start(self: Trial) -> None:
        self.lists["short"] = self.plan.endpoints[:-1]
        begin(self)

    monkeypatch.setattr(Trial, "start", start)
    monkeypatch.setattr(agreement, "COMMANDS_AGREE_WITHIN_S", 1.0)
    found = compare(replace(SETTINGS, hollow=1, real=1, measure_s=0.5, changes=0), failing=0)
    assert not found.agrees
    assert not figure(found, "nodes ordered").agrees
    assert not figure(found, "lines of tables at one of a pair only").agrees


def test_unpaired_controllers_cannot_be_compared() -> None:
    with pytest.raises(ValueError, match="paired"):
        compare(replace(SETTINGS, real=3))


def test_a_tenth_is_the_most_that_bytes_may_differ() -> None:
    assert within("bytes", 109.0, 100.0).agrees and within("bytes", 91.0, 100.0).agrees
    assert not within("bytes", 112.0, 100.0).agrees and not within("bytes", 88.0, 100.0).agrees
    assert within("bytes", 0.0, 0.0).agrees and not within("bytes", 1.0, 0.0).agrees


def test_one_difference_is_no_agreement() -> None:
    found = Agreement([same("revision", 3, 3), none("lines at one only", 1)], 1.2)
    assert not found.agrees
    assert "revision: hollow 3, real 3, ratio 1.000, agrees" in found.text()
    assert "lines at one only: hollow 1, real 0, ratio inf, DIFFERS" in found.text()
