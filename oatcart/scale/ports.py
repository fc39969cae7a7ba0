"""Finds free loopback ports for listeners that a trial or a test starts a moment later."""

import socket
from contextlib import ExitStack, suppress
from pathlib import Path
from random import SystemRandom

from oatcart.scale.discovery import LOOPBACK

OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 10_000  # well-known services use ports below it
MAX_ATTEMPTS = 10_000


def free_ports(count: int) -> list[int]:
    """Returns `count` distinct ports on which no process listens at the moment.

    The ports are below the range that the system uses for outgoing connections: a port in that range could
    be taken between this call and the listener's start. Raises OSError if there are not enough free ports.
    """
    outgoing_start = int(OUTGOING_RANGE.read_text().split()[0])
    random = SystemRandom()
    with ExitStack() as opened:
        ports: list[int] = []
        for _ in range(MAX_ATTEMPTS):
            if len(ports) == count:
                return ports
            port = random.randrange(FIRST_PORT, outgoing_start)
            with suppress(OSError):  # the port is in use
                opened.enter_context(socket.create_server((LOOPBACK, port)))
                ports.append(port)
    raise OSError(f"could not find {count} free ports from {FIRST_PORT} to {outgoing_start - 1}")
