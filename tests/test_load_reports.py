"""Load reports and the bounds of received numbers."""

import pytest

from oatcart.load_reports import MAX_AMOUNT, MAX_LOAD, is_amount, read_load_report


@pytest.mark.parametrize(
    "value, accepted",
    [
        (0, True),
        (2.5, True),
        (MAX_AMOUNT, True),
        (-1, False),
        (1e300, False),
        (float("nan"), False),
        (True, False),
        ("7", False),
        (None, False),
        ([7], False),
    ],
)
def test_amounts_are_numbers_from_0_to_max_amount(value, accepted):
    assert is_amount(value) is accepted


@pytest.mark.parametrize(
    "report, expected",
    [
        ({"concurrent": 7, "util": -1, "other": 2}, (7, None, None)),
        ({"inflight": 7, "util": 0.5, "queue": 2}, (7, 0.5, 2)),
        ({"queue": float("nan")}, (None, None, None)),
        ({"queue": MAX_LOAD + 1}, (None, None, None)),
        ({"load_share": "0.5", "util": 0.25}, (None, 0.25, None)),
        (None, (None, None, None)),
        ([1], (None, None, None)),
    ],
)
def test_an_invalid_field_of_a_load_report_is_none(report, expected):
    assert read_load_report(report) == expected
