"""A new configuration: SIGHUP wakes the loop, and one task reads the file named at the start again.

The handler does nothing: the signal's byte on the wake pair is the message. Signals in quick succession are
one reading; a signal that comes while the file is read is another.
"""

import signal
import socket
from collections.abc import Callable, Generator
from contextlib import suppress
from math import inf

from oatcart.errors import InvalidConfiguration
from oatcart.net.log import Log
from oatcart.net.loop import READABLE, Loop, Wait

AGAIN_AFTER, AGAIN_MOST = 0.5, 6  # s, times: a file that cannot be used may still be on its way


def wake_pair() -> socket.socket:
    """From now on SIGHUP ends nothing: it makes the socket that is handed back readable."""
    woken, waker = socket.socketpair()
    woken.setblocking(False)
    waker.setblocking(False)
    signal.set_wakeup_fd(waker.detach(), warn_on_full_buffer=False)
    signal.signal(signal.SIGHUP, lambda *_: None)
    return woken


def reloads(
    loop: Loop, log: Log, woken: socket.socket, take: Callable[[], str]
) -> Generator[Wait, bool, None]:
    """The life of all reloads: `take` reads the file, hands on what may change, and says what it did."""
    again, tries, said = inf, 0, ""
    while True:
        if (yield Wait(woken.fileno(), READABLE, again)):
            tries, said = 0, ""
            with suppress(BlockingIOError):
                while woken.recv(64):
                    pass
        again = inf
        try:
            log.say("reload", take())
        except InvalidConfiguration as error:  # the old one stays in force, as a whole; said once
            if said != (said := str(error)):
                log.say("reload", f"{error}; the old configuration stays in force")
            tries += 1
            if tries <= AGAIN_MOST:
                again = loop.now + AGAIN_AFTER
