"""The settings object of a controller: what is required, and when."""

import pytest

from oatcart.errors import InvalidSettingError
from oatcart.settings import read_controller_settings


def test_a_message_cap_requires_the_window_that_it_counts_over():
    plane = {"pushRate": 1000.0, "period": 1000.0}
    assert read_controller_settings({"specifics": plane}).channel.max_messages == 0
    capped = plane | {"messagesMost": 12}
    with pytest.raises(InvalidSettingError, match="specifics.updateWindow"):
        read_controller_settings({"specifics": capped})
    controller = read_controller_settings({"specifics": capped | {"updateWindow": 5000.0}})
    assert controller.channel.message_window == 5.0


@pytest.mark.parametrize(
    "specifics, message",
    [
        ({"period": 1000.0}, "specifics.pushRate is None"),
        ({"pushRate": 0, "period": 1000.0}, "specifics.pushRate is 0"),
        ({"pushRate": "fast", "period": 1000.0}, "specifics.pushRate is 'fast'"),
        ({"pushRate": 1000.0}, "specifics.period is None"),
        ({"pushRate": 1000.0, "period": -1.0}, "specifics.period is -1.0"),
    ],
)
def test_a_required_number_is_named_with_its_value(specifics, message):
    with pytest.raises(InvalidSettingError) as raised:
        read_controller_settings({"specifics": specifics})
    assert raised.value.args == (message,)
