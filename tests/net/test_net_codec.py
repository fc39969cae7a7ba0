"""JSON nested as deeply as the parser allows, in place of a name or number, is an invalid value."""

import orjson
import pytest

from oatcart.errors import InvalidMessageError
from oatcart.net.codec import Codec

NESTED = b"[" * 1000 + b"]" * 1000  # too deep for `repr`


@pytest.mark.parametrize(
    "message",
    [
        b'{"msg":%s}',
        b'{"msg":"usage","sidecar":%s,"kind":"lookup","n":1,"bad":0,"window":1000}',
        b'{"msg":"usage","sidecar":1,"kind":%s,"n":1,"bad":0,"window":1000}',
        b'{"msg":"joined","sidecar":1,"az":%s,"share":1}',
        b'{"msg":"joined","sidecar":1,"az":"a","share":%s}',
    ],
)
def test_a_message_with_a_nested_value_is_invalid(message):
    """The log line does not use `repr`, which raises RecursionError on it."""
    with pytest.raises(InvalidMessageError):
        Codec(["lookup"], ["a"], 4).decode_message(memoryview(message % NESTED))


@pytest.mark.parametrize("field", ["locality", "phase", "id", "other"])
def test_only_the_entry_with_a_nested_value_is_left_out(field):
    """The other entries of the list are decoded."""
    entry = {"id": "s-1", "locality": "a", "phase": "SERVING", field: orjson.loads(NESTED)}
    valid = {"id": "s-2", "locality": "a", "phase": "SERVING"}
    if field == "other":
        entry["phase"] = "SLEEPING"
    message = {"revision": 1, "complete": True, "members": [entry, valid]}
    received = Codec(["lookup"], ["a"], 4).decode_endpoint_list(message)
    assert len(received.entries) == 1 and not received.complete and len(received.invalid_entries) == 1
