"""Routing state of a proxy: updates in parts, invalid parts, bounds."""

import pytest

from oatcart.proxy.routing_state import MAX_PARTS_PER_UPDATE, InvalidUpdate, RoutingState

LISTED = {"a", "b", "c"}


def test_an_update_in_parts_takes_effect_as_a_whole():
    one = RoutingState(["lookup", "fee"])
    assert (
        one.receive_part({"full": True, "endpoints": [["a", 2], ["b", 1]], "continued": True}, LISTED) == []
    )
    assert one.usable_weights("lookup") == {}
    assert one.receive_part({"routes": ["fee"], "admit": 0.5, "policy": 0, "nonce_out": 7}, LISTED) == [7]
    assert one.usable_weights("lookup") == {"a": 2.0, "b": 1.0} and one.tables["fee"].quota == 0.5
    one.receive_part({"routes": ["lookup"], "endpoints": [["a", 0], ["c", 3]], "continued": True}, LISTED)
    one.stream_closed()  # its last part never came
    one.receive_part({"eject": ["b"]}, LISTED)
    assert one.usable_weights("lookup") == {"a": 2.0}
    one.receive_part({"full": True, "routes": ["fee"], "endpoints": [["b", 1]]}, LISTED)
    # a whole table forgets levels, not who is out
    assert one.usable_weights("fee") == {} and one.tables["fee"].quota == 1.0
    one.receive_part({"restore": ["b"]}, LISTED)
    assert one.usable_weights("fee") == {"b": 1.0}


@pytest.mark.parametrize(
    "part",
    [
        {"routes": ["nobody"]},
        {"endpoints": [["z", 1]]},
        {"endpoints": [["a", -1]]},
        {"endpoints": [["a"]]},
        {"endpoints": [["a", float("nan")]]},
        {"endpoints": 3},
        {"eject": ["z"]},
        {"admit": 0.5},
        {"policy": 1},
        {"admit": -0.1, "policy": 1},
        {"admit": 1, "policy": 4},
        {"admit": 1, "policy": True},
        {"nonce_out": -1},
        {"nonce_out": "x"},
    ],
)
def test_what_cannot_be_used_takes_no_effect_with_all_its_parts(part):
    one = RoutingState(["lookup"])
    one.receive_part({"full": True, "endpoints": [["a", 1]]}, LISTED)
    one.receive_part({"endpoints": [["b", 5]], "continued": True}, LISTED)
    with pytest.raises(InvalidUpdate):
        one.receive_part(part, LISTED)
    one.receive_part({}, LISTED)
    assert one.usable_weights("lookup") == {"a": 1.0}


def test_parts_are_bounded():
    one = RoutingState(["lookup"])
    with pytest.raises(InvalidUpdate, match="parts"):
        for _ in range(MAX_PARTS_PER_UPDATE + 1):
            one.receive_part({"continued": True}, LISTED)
    assert not one.pending_parts
