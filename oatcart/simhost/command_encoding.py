"""Packs the commands of the decisions as records of a reply; `frames.py` writes the reply."""

import struct
from collections.abc import Sequence
from enum import IntEnum

from oatcart.model import RetryPolicy
from oatcart.simhost.frames import MS_PER_SECOND

MAX_TEXT_BYTES = 0xFFFF  # of a log line or a fault, whose length is a u16
TIMER_TOKEN = 0  # all timers only make a round due


class CommandCode(IntEnum):
    """Codes of the records of a reply; the comment beside each is its name in the protocol."""

    SCHEDULE_ROUND = 1  # NotifyMe
    CHECK_HEALTH = 2  # AskLoad
    LOG = 4  # JournalLine
    FAULT = 5  # Panic
    WATCH_ENDPOINTS = 6  # Follow
    FETCH_ENDPOINTS = 7  # Pull
    SET_WEIGHT = 8  # SetLine
    CLEAR_TABLE = 9  # Blank
    SET_EJECTED = 10  # Cordon
    ASSIGN_TABLE = 11  # Install
    SET_ADMISSION = 12  # GateClass
    REQUEST_ACK = 13  # AskReceipt


# Fields after the code and the instance
_SCHEDULE_ROUND = struct.Struct(">BIQd")  # token, delay in ms
_CHECK_HEALTH = struct.Struct(">BII")  # endpoint
_TEXT = struct.Struct(">BIH")  # bytes of text, which follow
_WATCH_ENDPOINTS = struct.Struct(">BIB")  # enabled
_FETCH_ENDPOINTS = struct.Struct(">BI")
_SET_WEIGHT = struct.Struct(">BIIfH")  # endpoint, weight, table
_CLEAR_TABLE = struct.Struct(">BIH")  # table
_SET_EJECTED = struct.Struct(">BIIB")  # endpoint, ejected
_ASSIGN_TABLE = struct.Struct(">BIHHH")  # table, proxy, classes
_SET_ADMISSION = struct.Struct(">BIBfHH")  # retry policy, quota, classes, table
_REQUEST_ACK = struct.Struct(">BIIB")  # nonce, all proxies


class CommandEncoder:
    """A command writer that appends the packed commands of one instance to `records`.

    `endpoint_ids`: the wire's id by endpoint number.

    >>> records = []
    >>> encoder = CommandEncoder(3, [0x2c9011f2], records)
    >>> encoder.set_weight(table=117, endpoint=0, weight=0.75); records[-1].hex()
    '08000000032c9011f23f4000000075'
    >>> encoder.assign_table(table=117, proxy=41, classes=0); records[-1].hex()
    '0b00000003007500290000'
    >>> encoder.set_admission(117, 2, 0.75, RetryPolicy.IF_NOT_PROCESSED); records[-1].hex()
    '0c00000003013f40000000020075'
    >>> encoder.schedule_round(0.5); records[-1].hex()
    '01000000030000000000000000407f400000000000'
    """

    def __init__(self, instance: int, endpoint_ids: Sequence[int], records: list[bytes]) -> None:
        self._instance = instance
        self._endpoint_ids = endpoint_ids
        self._append = records.append

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Set the weight of an endpoint in a routing table; 0 removes it."""
        endpoint_id = self._endpoint_ids[endpoint]
        self._append(_SET_WEIGHT.pack(CommandCode.SET_WEIGHT, self._instance, endpoint_id, weight, table))

    def clear_table(self, table: int) -> None:
        """Remove all endpoints and quotas from a routing table."""
        self._append(_CLEAR_TABLE.pack(CommandCode.CLEAR_TABLE, self._instance, table))

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Eject or restore an endpoint at all proxies."""
        self._append(
            _SET_EJECTED.pack(CommandCode.SET_EJECTED, self._instance, self._endpoint_ids[endpoint], ejected)
        )

    def forget_endpoint(self, endpoint: int) -> None:
        """Restore an endpoint that is gone; its number stays, as an instance lasts one simulation run."""
        self.set_ejected(endpoint, False)

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Assign a routing table to a proxy for request classes (bits; 0: all)."""
        self._append(_ASSIGN_TABLE.pack(CommandCode.ASSIGN_TABLE, self._instance, table, proxy, classes))

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Set the quota (a share, or requests/s a proxy) and the retry policy of classes (bits; 0: all)."""
        self._append(
            _SET_ADMISSION.pack(
                CommandCode.SET_ADMISSION, self._instance, retry_policy, quota, classes, table
            )
        )

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Request acknowledgement of this reply's updates, from all proxies or those that get one."""
        self._append(_REQUEST_ACK.pack(CommandCode.REQUEST_ACK, self._instance, nonce, all_proxies))

    def check_health(self, endpoint: int) -> None:
        """Start a health check."""
        self._append(
            _CHECK_HEALTH.pack(CommandCode.CHECK_HEALTH, self._instance, self._endpoint_ids[endpoint])
        )

    def watch_endpoints(self, enabled: bool) -> None:
        """Open a watch on the endpoint list, or close it."""
        self._append(_WATCH_ENDPOINTS.pack(CommandCode.WATCH_ENDPOINTS, self._instance, enabled))

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list."""
        self._append(_FETCH_ENDPOINTS.pack(CommandCode.FETCH_ENDPOINTS, self._instance))

    def schedule_round(self, delay: float) -> None:
        """Schedule a round after `delay` (s)."""
        self._append(
            _SCHEDULE_ROUND.pack(
                CommandCode.SCHEDULE_ROUND, self._instance, TIMER_TOKEN, delay * MS_PER_SECOND
            )
        )

    def log(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self._append(_encode_text(CommandCode.LOG, self._instance, text))


def encode_fault(instance: int, text: str) -> bytes:
    """Pack a record that ends the simulation run, as the decisions of an instance have failed."""
    return _encode_text(CommandCode.FAULT, instance, text)


def _encode_text(code: CommandCode, instance: int, text: str) -> bytes:
    """Pack a log line or a fault, truncated to MAX_TEXT_BYTES.

    >>> _encode_text(CommandCode.LOG, 5, "two servers known").hex()
    '0400000005001174776f2073657276657273206b6e6f776e'
    """
    encoded = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(encoded)) + encoded
