"""Reload of the configuration: SIGHUP wakes the event loop, in which a task reads the file again.

The signal handler does nothing; the byte that the interpreter writes to a socket pair wakes the loop. Signals
in quick succession cause one reload; a signal during a reload causes another.
"""

import signal
import socket
from collections.abc import Callable, Generator
from contextlib import suppress
from math import inf

from oatcart.errors import InvalidConfigurationError
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Wait

RETRY_AFTER_S = 0.5  # an invalid file may be incompletely written
MAX_RETRIES = 6
WAKE_BYTES = 64  # read at once; how many there are does not matter


def reload_signal() -> socket.socket:
    """Handle SIGHUP from now on; returns a socket that is readable after each signal."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.detach(), warn_on_full_buffer=False)
    signal.signal(signal.SIGHUP, lambda *_: None)
    return receiver


def reload_on_signal(
    loop: Loop, log: Log, signalled: socket.socket, reload: Callable[[], str]
) -> Generator[Wait, bool, None]:
    """Reload the configuration after each signal, for the lifetime of the process.

    `reload` applies the file and returns the text to log, or raises InvalidConfigurationError and changes
    nothing. An invalid file is read again up to MAX_RETRIES times; the same error is logged once a signal.
    """
    retry_at, failures, logged_problem = inf, 0, ""
    while True:
        if (yield Wait(signalled.fileno(), READABLE, retry_at)):
            failures, logged_problem = 0, ""
            with suppress(BlockingIOError):
                while signalled.recv(WAKE_BYTES):
                    pass
        retry_at = inf
        try:
            log.write("reload", reload())
        except InvalidConfigurationError as error:
            problem = str(error)
            if problem != logged_problem:
                logged_problem = problem
                log.write("reload", f"{problem}; the old configuration stays in force")
            failures += 1
            if failures <= MAX_RETRIES:
                retry_at = loop.now + RETRY_AFTER_S
