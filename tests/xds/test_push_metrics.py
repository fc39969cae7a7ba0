"""The log lines and counts of the push budget."""

from test_decisions import add_peer, make_harness, run_for, set_state

from oatcart.model import EndpointState


def test_withdrawals_that_wait_for_the_budget_are_counted_and_logged():
    harness = make_harness(4, pushes=2.0)
    for at in range(3):
        add_peer(harness, f"p{at}")
    run_for(harness, 10)
    front = harness.front
    while front.budget.take(True):
        pass
    set_state(harness, 0, EndpointState.DRAINING)
    harness.turn()
    harness.turn()
    status = front.push_metrics.status(harness.now, front.budget)
    assert status.kept_back >= 2 and status.oldest > 0 and status.borrowed > 3
    assert status.sent["urgent", "endpoints"] == 1 and status.sent["new", "cluster"] == 3
    assert any(
        line.startswith("withdrawals to 3 streams wait for the push budget") for line in harness.log_lines
    )
    run_for(harness, 2)
    assert front.push_metrics.status(harness.now, front.budget).kept_back == 0
