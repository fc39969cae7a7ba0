"""Operation without a controller: quotas rise, endpoints that refuse connections are excluded."""

from oatcart.proxy.disconnected import REFUSALS_TO_EXCLUDE, DisconnectedOperation


def test_disconnected_proxy_excludes_refusing_endpoints_and_raises_its_quota():
    proxy, weights = DisconnectedOperation(5.0), {"a": 1.0, "b": 1.0}
    for _ in range(REFUSALS_TO_EXCLUDE + 2):
        proxy.connection_refused(0.0, "a")
    assert proxy.usable_weights(0.0, weights) == weights  # with a controller none is excluded
    proxy.controller_lost(1.0)
    proxy.connection_refused(1.0, "a")
    assert proxy.usable_weights(1.5, weights) == {"b": 1.0}
    assert proxy.usable_weights(3.5, weights) == weights
    proxy.connection_refused(3.5, "a")
    assert proxy.usable_weights(7.0, weights) == {"b": 1.0}  # the exclusion has doubled
    proxy.endpoint_answered("a")
    assert proxy.usable_weights(7.0, weights) == weights
    for endpoint in weights:
        for _ in range(REFUSALS_TO_EXCLUDE):
            proxy.connection_refused(8.0, endpoint)
    assert proxy.usable_weights(8.1, weights) == weights  # all are excluded, so all are used
    assert proxy.quota_in_force(5.0, 0.4, 1.0) == 0.4
    assert 0.4 < proxy.quota_in_force(8.0, 0.4, 1.0) < 1.0
    assert proxy.quota_in_force(60.0, 0.4, 1.0) == 1.0
    proxy.controller_restored()
    assert proxy.quota_in_force(60.0, 0.4, 1.0) == 0.4
    assert proxy.usable_weights(60.0, weights) == weights
