"""Retries: effects of requests in random histories, unprocessed attempts, time left, the retry budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart.errors import CloseReason
from oatcart.model import Idempotency, RetryPolicy
from oatcart.proxy.retries import (
    RETRY_BUDGET_WINDOW_SECONDS,
    FailedAttempt,
    Request,
    RetryBudget,
    decide_retry,
    never_processed,
    retry_permitted,
)

FAILED_ATTEMPTS = st.builds(
    FailedAttempt,
    st.sampled_from(list(CloseReason)),
    st.sampled_from([0, 1, 500]),
    st.booleans(),
    st.sampled_from([0, 0, 9]),
    st.sampled_from(["", "east", "west"]),
)


def takes_effect(failed, processed):
    """Whether the attempt took effect: never if it was certainly not processed, otherwise as drawn."""
    return processed and not never_processed(failed)


@given(
    st.sampled_from(Idempotency),
    st.sampled_from(RetryPolicy),
    st.lists(st.tuples(FAILED_ATTEMPTS, st.booleans(), st.floats(0.0, 0.5)), min_size=1, max_size=8),
)
@settings(max_examples=600, deadline=None, derandomize=True)
def test_requests_do_not_take_effect_twice_in_any_history(idempotency, policy, history):
    """A non-idempotent request never takes effect twice; a keyed one does only if its key is kept there."""
    now = 0.0
    request = Request(idempotency, started_at=0.0, deadline=3.0, key_lifetime=1.0)
    budget = RetryBudget(ratio=1.0, minimum=100.0)
    effects, group = [], ""  # (deduplication group, time)
    for failed, processed, duration in history:
        request.attempts += 1
        failed = failed._replace(deduplication_group=group or failed.deduplication_group)
        if takes_effect(failed, processed):
            effects.append((failed.deduplication_group, now))
        now += duration
        retry, group = decide_retry(now, request, failed, policy, 0.1, budget)
        if not retry:
            break
        assert not failed.response_bytes  # no retry after a response has begun
    assert request.attempts <= {0: 1, 1: 2, 2: 2, 3: 3}[policy]
    if idempotency == Idempotency.NOT_IDEMPOTENT:
        assert len(effects) <= 1
    if idempotency == Idempotency.KEYED and len(effects) > 1:
        assert len({group for group, _ in effects}) == 1
        assert effects[-1][1] - effects[0][1] < request.key_lifetime


def test_attempts_not_sent_or_not_started_are_not_processed():
    assert never_processed(FailedAttempt(CloseReason.TIMED_OUT, 0))
    assert never_processed(FailedAttempt(CloseReason.COMPLETED, 500, not_started=True))
    assert not never_processed(FailedAttempt(CloseReason.CLOSED_BY_PEER, 1))
    assert not never_processed(FailedAttempt(CloseReason.RESET_BY_PEER, 0, response_bytes=1))
    request = Request(Idempotency.NOT_IDEMPOTENT, started_at=0.0, deadline=9.0, attempts=1)
    assert retry_permitted(request, FailedAttempt(CloseReason.REFUSED, 0), RetryPolicy.IF_NOT_PROCESSED)
    assert not retry_permitted(request, FailedAttempt(CloseReason.REFUSED, 0), RetryPolicy.NEVER)
    assert not retry_permitted(
        request, FailedAttempt(CloseReason.RESET_BY_PEER, 9), RetryPolicy.TWICE_ON_FAILURE
    )


def test_no_retry_without_enough_time():
    budget = RetryBudget(ratio=1.0, minimum=9.0)
    reset = FailedAttempt(CloseReason.RESET_BY_PEER, 9, deduplication_group="east")
    request = Request(Idempotency.IDEMPOTENT, started_at=0.0, deadline=1.0, attempts=1)
    assert decide_retry(0.8, request, reset, RetryPolicy.ON_FAILURE, 0.1, budget) == (True, "")
    assert decide_retry(0.9, request, reset, RetryPolicy.ON_FAILURE, 0.1, budget) == (False, "")
    keyed = Request(Idempotency.KEYED, started_at=0.0, deadline=9.0, key_lifetime=1.0, attempts=1)
    assert decide_retry(0.5, keyed, reset, RetryPolicy.ON_FAILURE, 0.1, budget) == (True, "east")
    # the retry would end after the key has expired
    assert decide_retry(0.95, keyed, reset, RetryPolicy.ON_FAILURE, 0.1, budget) == (False, "")


def test_retries_stay_within_their_ratio_if_all_requests_fail():
    budget, retries = RetryBudget(ratio=0.2, minimum=3.0), 0
    for index in range(20_000):  # 10 s in which all requests fail
        budget.record_first_attempt(index / 2000)
        retries += budget.try_spend(index / 2000)
    assert 0.1 * 20_000 < retries <= 0.21 * 20_000
    assert budget.try_spend(
        10.0 + 2 * RETRY_BUDGET_WINDOW_SECONDS
    )  # without recent retries the minimum applies
