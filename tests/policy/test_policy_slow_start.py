"""The ramp of slow start, and the share of work that a warming-up pool admits."""

import pytest
from policy_records import make_endpoint

from oatcart.model import WarmUpLimits
from oatcart.policy.slow_start import admissible_share, ramp, ramp_start, success_ratio, warm_fraction

LIMITS = WarmUpLimits(duration=16.0, initial_fraction=0.2, overload_multiple=4.0)


@pytest.mark.parametrize("elapsed, share", [(-3, 0.25), (0, 0.25), (2.5, 0.625), (5, 1.0), (60, 1.0)])
def test_ramp_rises_from_a_quarter_in_five_seconds(elapsed, share):
    assert ramp(elapsed) == share


@pytest.mark.parametrize("duration, start", [(0.0, 100.0), (1.0, 97.0), (2.5, 100.0), (16.0, 100.0)])
def test_a_short_warm_up_shortens_the_ramp(duration, start):
    assert ramp_start(100.0, WarmUpLimits(duration=duration)) == start


@pytest.mark.parametrize("now, fraction", [(90, 0.2), (100, 0.2), (108, 0.6), (116, 1.0), (200, 1.0)])
def test_warm_fraction(now, fraction):
    assert warm_fraction(make_endpoint(started_at=100.0), LIMITS, now) == pytest.approx(fraction)


def test_endpoints_are_warm_that_started_long_ago_or_need_no_warm_up():
    assert warm_fraction(make_endpoint(started_at=0.0), LIMITS, 1.0) == 1.0
    assert warm_fraction(make_endpoint(started_at=100.0), WarmUpLimits(), 100.0) == 1.0


@pytest.mark.parametrize("attempts, errors, ratio", [(0, 0, 0.05), (20, 5, 0.75), (20, 20, 0.05)])
def test_success_ratio_has_a_floor(attempts, errors, ratio):
    assert success_ratio([make_endpoint(attempts=attempts, errors=errors)]) == ratio


@pytest.mark.parametrize(
    "warm_fractions, success, filled, share, expected",
    [
        ([0.2] * 4, 1.0, 4.0, 1.0, 0.24),  # 1.2 * 0.8 of 4 endpoints
        ([1.0, 0.2, 0.2, 0.2], 0.5, 3.0, 1.0, 0.32),  # 1.2 * 1.6 * 0.5 of 3
        ([1.0, 0.2, 0.2, 0.2], 0.5, 3.0, 0.1, 0.1),
        ([1.0, 0.2, 0.2, 0.2], 0.5, 2.0, 0.9, 0.9),  # half of what the work fills is warm
        ([1.0, 1.0, 0.2, 0.2], 0.5, 9.0, 0.9, 0.9),
    ],
)
def test_admissible_share_of_a_pool_that_is_mostly_warming_up(
    warm_fractions, success, filled, share, expected
):
    assert admissible_share(warm_fractions, success, filled, share) == pytest.approx(expected)
