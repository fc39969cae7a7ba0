"""Retries: when proxies may send a failed request to another endpoint.

A retry after proof that the first attempt never ran repeats no effect and is always allowed. A retry after
any failure is for idempotent requests only, and only while some endpoints fail quickly and the rest has
capacity to spare: an attempt that may be followed by another gets a part of the request's time.
"""

from oatcart.model import Idempotency, RetryPolicy

MAX_STRAIN = 0.45  # of the pool; over it a retry is just more load
MIN_EXCESS_ERROR_RATIO = 0.02  # over twice the median endpoint's


def retries_worthwhile(
    admitted_share: float, strain: float, error_ratio: float, median_error_ratio: float
) -> bool:
    """Whether a retry after any failure pays in a pool.

    `admitted_share` from 0 to 1; `strain`: 1 is the limit; `error_ratio`: failed part of the attempts at
    the pool, `median_error_ratio` at its median endpoint, which client cancellations and lost answers
    raise too.
    """
    return (
        admitted_share >= 1.0
        and strain < MAX_STRAIN
        and error_ratio > MIN_EXCESS_ERROR_RATIO + 2 * median_error_ratio
    )


def retry_policy(idempotency: Idempotency, worthwhile: bool, admitted_share: float) -> RetryPolicy:
    """Returns the policy for a request class; `admitted_share`: of the pool's work, from 0 to 1."""
    if worthwhile and admitted_share >= 1.0 and idempotency == Idempotency.IDEMPOTENT:
        return RetryPolicy.ON_FAILURE
    return RetryPolicy.IF_NOT_PROCESSED
