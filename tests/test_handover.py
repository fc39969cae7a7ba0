"""Figures and load reports as both hosts are handed them."""

import pytest

from oatcart.handover import AMOUNT_MOST, LOAD_MOST, is_amount, load


@pytest.mark.parametrize("value, fits", [
    (0, True), (2.5, True), (AMOUNT_MOST, True), (-1, False), (1e300, False), (float("nan"), False), (True, False),
    ("7", False), (None, False), ([7], False)])
def test_an_amount(value, fits):
    assert is_amount(value) is fits


@pytest.mark.parametrize("report, told", [
    ({"concurrent": 7, "util": -1, "other": 2}, (7, None, None)), ({"inflight": 7, "util": 0.5, "queue": 2}, (7, 0.5, 2)),
    ({"queue": float("nan")}, (None, None, None)), ({"queue": LOAD_MOST + 1}, (None, None, None)),
    ({"load_share": "0.5", "util": 0.25}, (None, 0.25, None)), (None, (None, None, None)), ([1], (None, None, None))])
def test_a_load_report(report, told):
    assert load(report) == told
