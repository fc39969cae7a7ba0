"""Operation without a controller: quotas open, endpoints that refuse connections are left out."""

from oatcart.proxy.disconnected import REFUSALS_TO_EXCLUDE, DisconnectedOperation


def test_cut_off_it_goes_on_and_doubts_who_refuses():
    one, weights = DisconnectedOperation(5.0), {"a": 1.0, "b": 1.0}
    for _ in range(REFUSALS_TO_EXCLUDE + 2):
        one.connection_refused(0.0, "a")
    assert one.usable_weights(0.0, weights) == weights  # a conductor is there: its word holds
    one.controller_lost(1.0)
    one.connection_refused(1.0, "a")
    assert one.usable_weights(1.5, weights) == {"b": 1.0} and one.usable_weights(3.5, weights) == weights
    one.connection_refused(3.5, "a")
    assert one.usable_weights(7.0, weights) == {"b": 1.0}  # the wait has doubled
    one.endpoint_answered("a")
    assert one.usable_weights(7.0, weights) == weights
    for endpoint in weights:
        for _ in range(REFUSALS_TO_EXCLUDE):
            one.connection_refused(8.0, endpoint)
    assert one.usable_weights(8.1, weights) == weights  # all in doubt: better all than none
    assert one.quota(5.0, 0.4, 1.0) == 0.4 and 0.4 < one.quota(8.0, 0.4, 1.0) < 1.0
    assert one.quota(60.0, 0.4, 1.0) == 1.0
    one.controller_restored()
    assert one.quota(60.0, 0.4, 1.0) == 0.4 and one.usable_weights(60.0, weights) == weights
