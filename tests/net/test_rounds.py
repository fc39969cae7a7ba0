"""The times at which rounds run."""

import io

import pytest

from oatcart.events import EndpointListReceived
from oatcart.net.codec import Codec
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds


@pytest.mark.parametrize("clock", [100.0, 100.001, 615.3, 4096.1])
def test_the_first_round_is_due_at_once(clock):
    """Also at times at which rounding would make the time since the last round less than the interval."""
    loop = Loop(lambda: clock, lambda error: None)
    received = []
    log = Log(loop.clock, io.StringIO())
    rounds = Rounds(loop, log, Codec(["lookup"], ["a"], 4), 0.002, 1000.0)
    rounds.start(lambda now, events, commands: received.extend(events), None, None)
    rounds.add_event(EndpointListReceived(True, []))
    rounds.run_if_due()
    assert received == [EndpointListReceived(True, [])] and type(received[0]) is EndpointListReceived
    loop.epoll.close()
