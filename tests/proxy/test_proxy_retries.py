"""Retries: an effect ledger over random histories, proof that nothing ran, time left, the retry budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oatcart import interface as our
from oatcart.net.ending import Ending
from oatcart.proxy.retries import (
    RETRY_BUDGET_WINDOW_SECONDS,
    FailedAttempt,
    Request,
    RetryBudget,
    decide_retry,
    never_processed,
    retry_allowed,
)

ENDINGS = st.builds(
    FailedAttempt,
    st.sampled_from(list(Ending)),
    st.sampled_from([0, 1, 500]),
    st.booleans(),
    st.sampled_from([0, 0, 9]),
    st.sampled_from(["", "east", "west"]),
)


def has_effect(failed, ran):
    """Whether the node took effect, as the truth may be: never where it never ran, else as chance has it."""
    return ran and not never_processed(failed)


@given(
    st.sampled_from([our.REPLAYABLE, our.UNIQUED, our.NON_REPLAYABLE]),
    st.sampled_from(range(4)),
    st.lists(st.tuples(ENDINGS, st.booleans(), st.floats(0.0, 0.5)), min_size=1, max_size=8),
)
@settings(max_examples=600, deadline=None, derandomize=True)
def test_no_effect_twice_over_any_history(idempotency, policy, history):
    """The ledger: a non-replayable req never takes effect twice, a uniqued one only at a site that knows its
    key.
    """
    now, request, budget = 0.0, Request(idempotency, 0.0, 3.0, 1.0), RetryBudget(1.0, 100.0)
    effects, group = [], ""
    for failed, ran, took in history:
        request.attempts += 1
        failed = failed._replace(group=group or failed.group)
        if has_effect(failed, ran):
            effects.append((failed.group, now))
        now += took
        again, group = decide_retry(now, request, failed, policy, 0.1, budget)
        if not again:
            break
        assert not failed.response_bytes  # of an answer that has begun nothing is made anew
    assert request.attempts <= {0: 1, 1: 2, 2: 2, 3: 3}[policy]
    if idempotency == our.NON_REPLAYABLE:
        assert len(effects) <= 1
    if idempotency == our.UNIQUED and len(effects) > 1:
        assert len({at for at, _ in effects}) == 1 and effects[-1][1] - effects[0][1] < request.key_lifetime


def test_proof_is_what_was_never_sent_or_never_begun():
    assert never_processed(FailedAttempt(Ending.SILENT, 0)) and never_processed(
        FailedAttempt(Ending.DONE, 500, not_started=True)
    )
    assert not never_processed(FailedAttempt(Ending.CLOSED, 1)) and not never_processed(
        FailedAttempt(Ending.RESET, 0, response_bytes=1)
    )
    fee = Request(our.NON_REPLAYABLE, 0.0, 9.0, attempts=1)
    assert retry_allowed(fee, FailedAttempt(Ending.REFUSED, 0), our.AFTER_PROOF)
    assert not retry_allowed(fee, FailedAttempt(Ending.REFUSED, 0), our.NO_TRY)
    assert not retry_allowed(fee, FailedAttempt(Ending.RESET, 9), our.TWO_AFTER_ANY)


def test_a_try_without_time_for_it_is_not_made():
    budget, reset = RetryBudget(1.0, 9.0), FailedAttempt(Ending.RESET, 9, group="east")
    request = Request(our.REPLAYABLE, 0.0, 1.0, attempts=1)
    assert decide_retry(0.8, request, reset, our.AFTER_ANY, 0.1, budget) == (True, "")
    assert decide_retry(0.9, request, reset, our.AFTER_ANY, 0.1, budget) == (False, "")
    keyed = Request(our.UNIQUED, 0.0, 9.0, key_lifetime=1.0, attempts=1)
    assert decide_retry(0.5, keyed, reset, our.AFTER_ANY, 0.1, budget) == (True, "east")
    assert decide_retry(0.95, keyed, reset, our.AFTER_ANY, 0.1, budget) == (
        False,
        "",
    )  # it would come too late


def test_tries_never_exceed_their_part_in_a_storm():
    budget, made = RetryBudget(0.2, 3.0), 0
    for at in range(20_000):  # ten seconds, all of them fail
        budget.record_first_attempt(at / 2000)
        made += budget.try_spend(at / 2000)
    assert 0.1 * 20_000 < made <= 0.21 * 20_000
    assert budget.try_spend(10.0 + 2 * RETRY_BUDGET_WINDOW_SECONDS)  # calm again
