"""Routing state of a proxy: updates in parts, invalid parts, the limit on parts."""

import pytest

from oatcart.proxy.routing_state import MAX_PARTS_PER_UPDATE, RoutingState
from oatcart.proxy.update_decoding import InvalidUpdateError

KNOWN = {"a", "b", "c"}


def test_an_update_in_parts_takes_effect_once_complete():
    state = RoutingState(["lookup", "fee"])
    first_part = {"full": True, "endpoints": [["a", 2], ["b", 1]], "continued": True}
    assert state.receive_part(first_part, KNOWN) == []
    assert state.usable_weights("lookup") == {}
    assert state.receive_part({"routes": ["fee"], "admit": 0.5, "policy": 0, "nonce_out": 7}, KNOWN) == [7]
    assert state.usable_weights("lookup") == {"a": 2.0, "b": 1.0}
    assert state.tables["fee"].quota == 0.5
    state.receive_part({"routes": ["lookup"], "endpoints": [["a", 0], ["c", 3]], "continued": True}, KNOWN)
    state.stream_closed()  # the last part was not received
    state.receive_part({"eject": ["b"]}, KNOWN)
    assert state.usable_weights("lookup") == {"a": 2.0}
    state.receive_part({"full": True, "routes": ["fee"], "endpoints": [["b", 1]]}, KNOWN)
    # a complete table resets the quota, not the ejections
    assert state.usable_weights("fee") == {}
    assert state.tables["fee"].quota == 1.0
    state.receive_part({"restore": ["b"]}, KNOWN)
    assert state.usable_weights("fee") == {"b": 1.0}


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
def test_update_with_an_invalid_part_has_no_effect(part):
    state = RoutingState(["lookup"])
    state.receive_part({"full": True, "endpoints": [["a", 1]]}, KNOWN)
    state.receive_part({"endpoints": [["b", 5]], "continued": True}, KNOWN)
    with pytest.raises(InvalidUpdateError):
        state.receive_part(part, KNOWN)
    state.receive_part({}, KNOWN)
    assert state.usable_weights("lookup") == {"a": 1.0}


def test_number_of_parts_is_limited():
    state = RoutingState(["lookup"])
    with pytest.raises(InvalidUpdateError, match="parts"):
        for _ in range(MAX_PARTS_PER_UPDATE + 1):
            state.receive_part({"continued": True}, KNOWN)
    assert not state.pending_parts
