"""Ports of loopback for listeners that processes of a trial or a test open a moment later."""

import socket
from contextlib import ExitStack, suppress
from pathlib import Path
from random import SystemRandom

from oatcart.scale.discovery import LOOPBACK

OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 10_000  # below it are ports of well-known services
MAX_ATTEMPTS = 10_000


def free_ports(count: int) -> list[int]:
    """So many distinct ports at which nothing listens now.

    They lie below the range from which the system gives ports to outgoing connections: one from within it
    may be given away between this call and the listener's start. Raises OSError where none is found.
    """
    below = int(OUTGOING_RANGE.read_text().split()[0])
    random = SystemRandom()
    with ExitStack() as opened:
        ports: list[int] = []
        for _ in range(MAX_ATTEMPTS):
            if len(ports) == count:
                return ports
            port = random.randrange(FIRST_PORT, below)
            with suppress(OSError):  # somebody listens there
                opened.enter_context(socket.create_server((LOOPBACK, port)))
                ports.append(port)
    raise OSError(f"no {count} free ports from {FIRST_PORT} to {below - 1}")
