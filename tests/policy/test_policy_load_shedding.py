"""Admission quotas as a rate, and errors that indicate overload."""

import pytest
from policy_records import make_endpoint

from oatcart.policy.load_shedding import UNLIMITED_RATE, fails_in_every_zone, rate_quota


@pytest.mark.parametrize(
    "rates, share, quota",
    [
        ([5.0, 5.0], 0.8, 6.0),  # 4 each, plus the square root
        ([96.0, 4.0], 0.2, 20.0),  # 20 in all, less the 4 of the small proxy: 16, plus the square root
        ([0.0, 0.0], 0.5, 0.0),
        ([], 0.5, UNLIMITED_RATE + 1000.0),
    ],
)
def test_rate_quota(rates, share, quota):
    assert rate_quota(rates, share) == pytest.approx(quota)


@pytest.mark.parametrize("errors, fails", [((4, 4), True), ((4, 3), False), ((0, 20), False)])
def test_a_zone_without_errors_shows_that_the_pool_is_not_overloaded(errors, fails):
    pool = [make_endpoint(zone=zone, attempts=20, errors=count) for zone, count in enumerate(errors)]
    assert fails_in_every_zone(pool) is fails
