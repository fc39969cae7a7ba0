"""Figures and load reports as both hosts are handed them."""

import pytest

from oatcart.handover import AMOUNT_MOST, LOAD_MOST, is_amount, load, start_records


@pytest.mark.parametrize(
    "value, fits",
    [
        (0, True),
        (2.5, True),
        (AMOUNT_MOST, True),
        (-1, False),
        (1e300, False),
        (float("nan"), False),
        (True, False),
        ("7", False),
        (None, False),
        ([7], False),
    ],
)
def test_an_amount(value, fits):
    assert is_amount(value) is fits


@pytest.mark.parametrize(
    "report, told",
    [
        ({"concurrent": 7, "util": -1, "other": 2}, (7, None, None)),
        ({"inflight": 7, "util": 0.5, "queue": 2}, (7, 0.5, 2)),
        ({"queue": float("nan")}, (None, None, None)),
        ({"queue": LOAD_MOST + 1}, (None, None, None)),
        ({"load_share": "0.5", "util": 0.25}, (None, 0.25, None)),
        (None, (None, None, None)),
        ([1], (None, None, None)),
    ],
)
def test_a_load_report(report, told):
    assert load(report) == told


def test_a_count_of_messages_needs_the_span_that_it_is_over():
    """Failure: 10 s stood in for it, some other deployment's; without a count none is needed."""
    plane = {"pushRate": 1000.0, "period": 1000.0}
    assert start_records({"specifics": plane}).channel.max_messages == 0
    with pytest.raises(LookupError, match="specifics.updateWindow"):
        start_records({"specifics": plane | {"messagesMost": 12}})
    assert (
        start_records(
            {"specifics": plane | {"messagesMost": 12, "updateWindow": 5000.0}}
        ).channel.message_window
        == 5.0
    )
