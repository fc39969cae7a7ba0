"""Retries: when proxies may send a failed request to another endpoint.

A retry is always allowed if the first attempt is known not to have run, as it then repeats no effect. A retry
after any failure is allowed for idempotent requests only, and only while some endpoints fail quickly and the
others have spare capacity, because an attempt that may be retried gets only a part of the request's time.
"""

from oatcart.model import Idempotency, RetryPolicy

MAX_STRAIN = 0.45  # of the pool; above it retries only add load
MIN_EXCESS_ERROR_RATIO = 0.02  # above twice the median endpoint's error ratio


def retries_worthwhile(
    admitted_share: float, strain: float, error_ratio: float, median_error_ratio: float
) -> bool:
    """Whether retries after any failure help in a pool: some endpoints fail, and the others have capacity.

    `admitted_share` from 0 to 1; `strain`: 1 is the limit; `error_ratio`: failed part of all attempts at the
    pool; `median_error_ratio`: that of its median endpoint, which also contains client cancellations and lost
    answers.
    """
    return (
        admitted_share >= 1.0
        and strain < MAX_STRAIN
        and error_ratio > MIN_EXCESS_ERROR_RATIO + 2 * median_error_ratio
    )


def retry_policy(idempotency: Idempotency, worthwhile: bool, admitted_share: float) -> RetryPolicy:
    """Returns the retry policy of a request class; `admitted_share`: of the pool's work, from 0 to 1."""
    if worthwhile and admitted_share >= 1.0 and idempotency == Idempotency.IDEMPOTENT:
        return RetryPolicy.ON_FAILURE
    return RetryPolicy.IF_NOT_PROCESSED
