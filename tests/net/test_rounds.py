"""When rounds run."""

import io

import pytest

from oatcart.events import EndpointListReceived
from oatcart.net.codec import Codec
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds


@pytest.mark.parametrize("clock", [100.0, 100.001, 615.3, 4096.1])
def test_the_first_round_is_due_at_once(clock):
    """Failure: at most times a clock less the gap, taken from that clock, was under the gap by a rounding,
    and what a conductor decides at its start, to watch the list, waited for something else to happen."""
    loop, came = Loop(lambda: clock, lambda error: None), []
    log = Log(loop.clock, io.StringIO())
    rounds = Rounds(loop, log, Codec(["lookup"], ["a"], 4), 0.002, 1000.0)
    rounds.start(lambda now, arrivals, orders: came.extend(arrivals), None, None)
    rounds.add_event(EndpointListReceived(True, []))
    rounds.run_if_due()
    assert came == [EndpointListReceived(True, [])] and type(came[0]) is EndpointListReceived
    loop.epoll.close()
