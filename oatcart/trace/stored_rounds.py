"""The stored names of the events and commands of a recorded round.

Both are stored as sequences: the name, then the fields. The names stay as they are for ever, as trace files
of older versions hold them.
"""

from enum import StrEnum


class EventName(StrEnum):
    """The stored name of each event that the decisions are handed."""

    ENDPOINT_LIST_RECEIVED = "listed"
    ENDPOINT_LIST_FAILED = "unlisted"
    HEALTH_CHECK_COMPLETED = "probed"
    PROXY_JOINED = "joined"
    PROXY_LEFT = "left"
    UPDATE_ACKNOWLEDGED = "applied"
    ENDPOINT_LOAD_REPORTED = "met"
    PROXY_LOAD_REPORTED = "came"


class CommandName(StrEnum):
    """The stored name of each command of the decisions."""

    SET_WEIGHT = "line"
    CLEAR_TABLE = "blank"
    ASSIGN_TABLE = "bind"
    SET_EJECTED = "withdraw"
    SET_ADMISSION = "admit"
    FORGET_ENDPOINT = "drop"
    REQUEST_ACK = "ask_ack"
    CHECK_HEALTH = "probe"
    WATCH_ENDPOINTS = "follow"
    FETCH_ENDPOINTS = "fetch_roll"
    SCHEDULE_ROUND = "wake"
    LOG = "note"
