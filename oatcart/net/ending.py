"""Every way in which a connection can end, and what each means to the decision module."""

import errno
from enum import Enum

from oatcart.model import HealthCheckOutcome


class Ending(Enum):
    DONE = "its work was done"
    CLOSED = "the other side closed it"
    RESET = "the other side reset it"
    REFUSED = "nobody took it"
    UNREACHED = "it never came up"
    SILENT = "nothing came in time"
    UNREADABLE = "what came cannot be read"
    TOO_LONG = "a message was too long"
    UNREAD = "the other side left too much unread"
    DENIED = "the other side answered that it can't"
    CROWDED = "there was no room for it here"


class Ended(Exception):
    """Raised in the task that owns a connection, at the point where the connection ended."""

    def __init__(self, ending: Ending, what: str = "") -> None:
        super().__init__(f"{ending.value}{what and ': ' + what}")
        self.ending = ending


# What a probe that ended so has shown of its node; no room here is not the node's fault
PROBE_OUTCOMES = {
    Ending.DONE: HealthCheckOutcome.PASSED,
    Ending.DENIED: HealthCheckOutcome.FAILED,
    Ending.UNREADABLE: HealthCheckOutcome.FAILED,
    Ending.TOO_LONG: HealthCheckOutcome.FAILED,
    Ending.CLOSED: HealthCheckOutcome.UNREACHABLE,
    Ending.RESET: HealthCheckOutcome.UNREACHABLE,
    Ending.REFUSED: HealthCheckOutcome.UNREACHABLE,
    Ending.UNREACHED: HealthCheckOutcome.UNREACHABLE,
    Ending.SILENT: HealthCheckOutcome.TIMED_OUT,
    Ending.UNREAD: HealthCheckOutcome.TIMED_OUT,
    Ending.CROWDED: HealthCheckOutcome.REJECTED,
}

_ERRORS = {
    errno.ECONNREFUSED: Ending.REFUSED,
    errno.ECONNRESET: Ending.RESET,
    errno.EPIPE: Ending.RESET,
    errno.ECONNABORTED: Ending.RESET,
    errno.ETIMEDOUT: Ending.SILENT,
    errno.EMFILE: Ending.CROWDED,
    errno.ENFILE: Ending.CROWDED,
    errno.ENOBUFS: Ending.CROWDED,
    errno.ENOMEM: Ending.CROWDED,
}


def ended_by(error: OSError) -> Ended:
    """The ending that an error of a socket stands for; unknown ones mean that it never came up.

    >>> ended_by(ConnectionResetError(errno.ECONNRESET, "")).ending.name
    'RESET'
    """
    return Ended(_ERRORS.get(error.errno, Ending.UNREACHED), error.strerror or "")
