"""What operators are told of the push budget."""

from test_decisions import peer_of, stage_of, turned, turns

from oatcart.model import EndpointState


def test_withdrawals_that_wait_for_the_budget_are_counted_and_logged():
    stage = stage_of(4, pushes=2.0)
    for at in range(3):
        peer_of(stage, f"p{at}")
    turns(stage, 10)
    front = stage.front
    while front.budget.take(True):
        pass
    turned(stage, 0, EndpointState.DRAINING)
    stage.turn()
    stage.turn()
    status = front.push_metrics.status(stage.now, front.budget)
    assert status.kept_back >= 2 and status.oldest > 0 and status.borrowed > 3
    assert status.sent["urgent", "endpoints"] == 1 and status.sent["new", "cluster"] == 3
    assert any(line.startswith("withdrawals to 3 streams wait for the push budget") for line in stage.said)
    turns(stage, 2)
    assert front.push_metrics.status(stage.now, front.budget).kept_back == 0
