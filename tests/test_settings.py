"""Required settings of a controller, and the errors for missing or invalid ones."""

import pytest

from oatcart.errors import InvalidSettingError
from oatcart.settings import read_controller_settings, read_socket_controller_settings


def test_a_message_cap_requires_its_window():
    specifics = {"pushRate": 1000.0, "period": 1000.0}
    assert read_controller_settings({"specifics": specifics}).channel.max_messages == 0
    capped = specifics | {"messagesMost": 12}
    with pytest.raises(InvalidSettingError, match="specifics.updateWindow"):
        read_controller_settings({"specifics": capped})
    controller = read_controller_settings({"specifics": capped | {"updateWindow": 5000.0}})
    assert controller.channel.message_window == 5.0


def test_on_sockets_the_list_is_watched_and_ejections_can_be_sent_to_one_proxy():
    settings = {"specifics": {"pushRate": 1000.0, "period": 1000.0}, "membershipMode": "automatic"}
    simulated, on_sockets = read_controller_settings(settings), read_socket_controller_settings(settings)
    assert not simulated.discovery.must_watch and not simulated.single_proxy_ejections
    assert on_sockets.discovery.must_watch and on_sockets.single_proxy_ejections


@pytest.mark.parametrize(
    "specifics, message",
    [
        ({"period": 1000.0}, "specifics.pushRate: missing, not a number or out of range: None"),
        ({"pushRate": 0, "period": 1000.0}, "specifics.pushRate: missing, not a number or out of range: 0"),
        (
            {"pushRate": "fast", "period": 1000.0},
            "specifics.pushRate: missing, not a number or out of range: 'fast'",
        ),
        ({"pushRate": 1000.0}, "specifics.period: missing, not a number or out of range: None"),
        (
            {"pushRate": 1000.0, "period": -1.0},
            "specifics.period: missing, not a number or out of range: -1.0",
        ),
    ],
)
def test_an_invalid_required_number_is_reported_with_its_name_and_value(specifics, message):
    with pytest.raises(InvalidSettingError) as raised:
        read_controller_settings({"specifics": specifics})
    assert raised.value.args == (message,)
