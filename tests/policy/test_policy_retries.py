"""When retries are worthwhile, and which policy a request class gets."""

import pytest

from oatcart.model import Idempotency, RetryPolicy
from oatcart.policy.retries import retries_worthwhile, retry_policy


@pytest.mark.parametrize(
    "admitted_share, strain, errors, median_errors, worthwhile",
    [
        (1.0, 0.44, 0.05, 0.01, True),  # over 0.02 + 2 * 0.01
        (1.0, 0.44, 0.04, 0.01, False),
        (1.0, 0.44, 0.21, 0.10, False),  # most endpoints fail alike
        (1.0, 0.45, 0.05, 0.01, False),
        (0.99, 0.44, 0.05, 0.01, False),
    ],
)
def test_retries_are_worthwhile_while_few_endpoints_fail_and_capacity_is_left(
    admitted_share, strain, errors, median_errors, worthwhile
):
    assert retries_worthwhile(admitted_share, strain, errors, median_errors) is worthwhile


@pytest.mark.parametrize("idempotency", Idempotency)
@pytest.mark.parametrize("worthwhile, admitted_share", [(True, 1.0), (True, 0.99), (False, 1.0)])
def test_only_idempotent_requests_are_retried_on_any_failure(idempotency, worthwhile, admitted_share):
    on_failure = idempotency == Idempotency.IDEMPOTENT and (worthwhile, admitted_share) == (True, 1.0)
    expected = RetryPolicy.ON_FAILURE if on_failure else RetryPolicy.IF_NOT_PROCESSED
    assert retry_policy(idempotency, worthwhile, admitted_share) == expected
