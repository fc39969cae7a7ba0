"""Endpoints that fail more than their peers, and pools whose endpoints are all ejected."""

import pytest
from policy_records import make_endpoint

from oatcart.policy.outlier_detection import is_failing, restore_empty_pools


def seen(attempts, errors, zone=0, ejected=False):
    return make_endpoint(attempts=attempts, errors=errors, zone=zone, ejected=ejected)


@pytest.mark.parametrize(
    "endpoint, peers, failing",
    [
        (seen(20, 11), [seen(20, 0)], True),
        (seen(20, 10), [seen(20, 0)], False),  # not over 0.5
        (seen(8, 8), [seen(20, 0)], True),
        (seen(7, 7), [seen(20, 0)], False),  # too few attempts
        (seen(20, 17), [seen(20, 6)], True),  # over 0.5 + 0.3
        (seen(20, 15), [seen(20, 6)], False),
        (seen(20, 15), [seen(20, 6), seen(200, 0, zone=1)], False),  # its own zone fails alike
        (seen(20, 15), [seen(20, 20, ejected=True), seen(20, 0)], True),  # ejected peers are ignored
    ],
)
def test_an_outlier_fails_more_than_its_peers_and_its_zone(endpoint, peers, failing):
    assert is_failing(endpoint, [endpoint, *peers]) is failing


def test_a_pool_is_restored_only_if_all_its_endpoints_are_ejected():
    ejected, also_ejected, used = seen(0, 0, ejected=True), seen(0, 0, ejected=True), seen(0, 0)
    restore_empty_pools([{0: ejected, 1: used}])
    assert ejected.ejected
    restore_empty_pools([{0: ejected, 1: also_ejected}])
    assert not ejected.ejected and not also_ejected.ejected
