"""The paper's weighted sum (AADLB, 3.3), and the growth of scores."""

import pytest
from policy_records import make_endpoint

from oatcart.policy.scoring import rescore, weighted_sum


@pytest.mark.parametrize(
    "load, load_rise, duration, errors, points",
    [
        (9.0, 0.0, 0.2, 0.0, 80.0),  # 30 + 10 + 20 + 10 + 10
        (10.0, 0.0, 0.2, 0.0, 77.0),  # at the cutoff the load counts: 27
        (50.0, 0.0, 0.4, 0.0, 57.0),  # 15 + 10 + 12 + 10 + 10
        (9.0, -50.0, 0.2, 0.0, 90.0),  # a falling load: 20 for the trend
        (9.0, 0.0, 0.2, 0.05, 75.0),  # 5 for errors
        (100.0, 60.0, 0.7, 0.1, 10.0),  # only the neutral score for bytes is left
    ],
)
def test_weighted_sum(load, load_rise, duration, errors, points):
    assert weighted_sum(load, load_rise, duration, errors) == pytest.approx(points)


def test_scores_grow_by_a_factor_and_fall_at_once():
    rising, falling = make_endpoint(score=20.0), make_endpoint(score=90.0)
    rescore([rising, falling], lists_weights=False)
    assert (rising.score, falling.score) == (pytest.approx(28.0), 50.0)
