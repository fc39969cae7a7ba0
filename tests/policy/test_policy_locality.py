"""The routing tables that a proxy needs."""

import pytest

from oatcart.model import NO_ZONE, RequestClass
from oatcart.policy.locality import TableKey, table_keys

CLASSES = [RequestClass(), RequestClass(own_zone_only=True), RequestClass(zones=(0,)), RequestClass()]


@pytest.mark.parametrize("price, local_zone", [(0.0, NO_ZONE), (0.079, NO_ZONE), (0.08, 1)])
def test_classes_with_the_same_endpoints_share_a_table(price, local_zone):
    assert table_keys(CLASSES, 1, price) == [
        TableKey((0, 3), (), local_zone),
        TableKey((1,), (1,), NO_ZONE),
        TableKey((2,), (0,), NO_ZONE),
    ]


def test_an_own_zone_class_shares_the_table_of_a_class_bound_to_that_zone():
    assert table_keys(CLASSES, 0, 0.0)[1:] == [TableKey((1, 2), (0,), NO_ZONE)]
