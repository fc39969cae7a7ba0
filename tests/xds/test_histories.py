"""Histories that the state machine found, played step by step: they draw nothing."""

from test_machine import Machine

from oatcart.model import EndpointState


def test_a_withdrawal_brings_the_returning_endpoints_that_a_late_client_still_waits_for():
    # Guards against an incremental client that is left without an endpoint (rule 1).
    machine = Machine()
    machine.start(slow=True)
    machine.turns(node=0, state=EndpointState.GONE)
    machine.restarts(node=3)
    machine.restarts(node=4)
    machine.turns(node=5, state=EndpointState.GONE)
    machine.answers(at=2, late=True)
    machine.turns(node=1, state=EndpointState.DRAINING)
    machine.turn()
    machine.turns(node=2, state=EndpointState.DRAINING)
    machine.turn()
