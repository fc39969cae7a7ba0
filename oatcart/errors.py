"""The errors that oatcart raises, all derived from `OatcartError`.

A message names the field and the value that is invalid; the caller may put the peer or the file in front of
it. `oatcart.simhost.frames` defines a separate error for the simulator's frames.
"""

import errno
from enum import Enum
from typing import Self


class OatcartError(Exception):
    """Base class of the errors that oatcart raises itself."""


class InvalidConfigurationError(OatcartError):
    """A configuration is invalid; no part of it takes effect."""

    @classmethod
    def of_field(cls, field: str, problem: object) -> Self:
        """Returns the error for a field, or for the environment variable that names the file.

        >>> str(InvalidConfigurationError.of_field("seed", "'?' is not a hexadecimal number"))
        "seed is invalid: '?' is not a hexadecimal number"
        """
        return cls(f"{field} is invalid: {problem}")


class InvalidSettingError(InvalidConfigurationError, LookupError):
    """A required setting is missing, not a number or out of range; the message has its name and value."""


class InvalidMessageError(OatcartError):
    """A message was parsed but has an invalid field; its connection stays open."""


class CloseReason(Enum):
    """Why a connection, or a call on one, has ended. The values appear in the log."""

    COMPLETED = "completed"
    CLOSED_BY_PEER = "closed by the peer"
    RESET_BY_PEER = "reset by the peer"
    REFUSED = "connection refused"
    UNREACHABLE = "could not connect"
    TIMED_OUT = "timed out"
    MALFORMED = "malformed data"
    MESSAGE_TOO_LONG = "message too long"
    SEND_BUFFER_FULL = "the peer left too much unread"
    ERROR_RESPONSE = "error response"
    OUT_OF_RESOURCES = "no capacity for it here"


_REASONS_BY_ERRNO = {
    errno.ECONNREFUSED: CloseReason.REFUSED,
    errno.ECONNRESET: CloseReason.RESET_BY_PEER,
    errno.EPIPE: CloseReason.RESET_BY_PEER,
    errno.ECONNABORTED: CloseReason.RESET_BY_PEER,
    errno.ETIMEDOUT: CloseReason.TIMED_OUT,
    errno.EMFILE: CloseReason.OUT_OF_RESOURCES,
    errno.ENFILE: CloseReason.OUT_OF_RESOURCES,
    errno.ENOBUFS: CloseReason.OUT_OF_RESOURCES,
    errno.ENOMEM: CloseReason.OUT_OF_RESOURCES,
}


class ConnectionClosedError(OatcartError):
    """A connection has ended; raised in the task that owns it, where it waits, reads or writes.

    `reason`: why it ended. `detail`: text for the log, such as a status code or the parser's message.
    """

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail

    @classmethod
    def from_os_error(cls, error: OSError) -> Self:
        """Returns the error for a failed socket operation; an unknown errno is mapped to UNREACHABLE.

        >>> ConnectionClosedError.from_os_error(ConnectionResetError(errno.ECONNRESET, "")).reason.name
        'RESET_BY_PEER'
        """
        return cls(_REASONS_BY_ERRNO.get(error.errno, CloseReason.UNREACHABLE), error.strerror or "")
