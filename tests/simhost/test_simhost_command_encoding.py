"""Commands as records of the simulator's wire: the bytes of each, by the layouts on the protocol's page."""

import pytest

from oatcart.model import RetryPolicy
from oatcart.simhost.command_encoding import MAX_TEXT_BYTES, CommandEncoder, encode_fault

INSTANCE = 3
ENDPOINT_IDS = [0x2C9011F2]


@pytest.mark.parametrize(
    "command, arguments, record",
    [
        ("schedule_round", (0.5,), "01 00000003 0000000000000000 407f400000000000"),
        ("check_health", (0,), "02 00000003 2c9011f2"),
        ("log", ("two servers known",), "04 00000003 0011 74776f2073657276657273206b6e6f776e"),
        ("watch_endpoints", (True,), "06 00000003 01"),
        ("watch_endpoints", (False,), "06 00000003 00"),
        ("fetch_endpoints", (), "07 00000003"),
        ("set_weight", (117, 0, 0.75), "08 00000003 2c9011f2 3f400000 0075"),
        ("clear_table", (117,), "09 00000003 0075"),
        ("set_ejected", (0, True), "0a 00000003 2c9011f2 01"),
        ("set_ejected", (0, False), "0a 00000003 2c9011f2 00"),
        ("forget_endpoint", (0,), "0a 00000003 2c9011f2 00"),
        ("assign_table", (117, 41, 0), "0b 00000003 0075 0029 0000"),
        ("set_admission", (117, 2, 0.75, RetryPolicy.IF_NOT_PROCESSED), "0c 00000003 01 3f400000 0002 0075"),
        ("request_ack", (300, True), "0d 00000003 0000012c 01"),
    ],
)
def test_command_is_encoded_as_this_record(command, arguments, record):
    records = []
    getattr(CommandEncoder(INSTANCE, ENDPOINT_IDS, records), command)(*arguments)
    assert [packed.hex() for packed in records] == [bytes.fromhex(record).hex()]


def test_fault_is_encoded_with_its_text():
    assert encode_fault(5, "failed") == bytes.fromhex("05 00000005 0006 6661696c6564")


def test_text_is_truncated_to_the_size_of_a_record():
    packed = encode_fault(5, "x" * (MAX_TEXT_BYTES + 1))
    assert packed == bytes.fromhex("05 00000005 ffff") + b"x" * 0xFFFF
