"""Failing histories that the state machine found, replayed step by step without random draws."""

from test_machine import Machine

from oatcart.model import EndpointState


def test_a_withdrawal_brings_the_returning_endpoints_that_a_late_client_still_waits_for():
    # Guards against an incremental client that is left without an endpoint (rule 1).
    machine = Machine()
    machine.start(slow=True)
    machine.update_state(endpoint=0, state=EndpointState.GONE)
    machine.restarts(endpoint=3)
    machine.restarts(endpoint=4)
    machine.update_state(endpoint=5, state=EndpointState.GONE)
    machine.answers(at=2, late=True)
    machine.update_state(endpoint=1, state=EndpointState.DRAINING)
    machine.turn()
    machine.update_state(endpoint=2, state=EndpointState.DRAINING)
    machine.turn()
