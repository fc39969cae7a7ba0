"""Waits for a condition, with a timeout that is long enough on a busy machine."""

import time
from collections.abc import Callable

TIMEOUT_S = 10.0  # after which a wait fails
POLL_INTERVAL_S = 0.01  # between two checks of a condition


def wait_until(holds: Callable[[], object], expectation: str, timeout: float = TIMEOUT_S) -> None:
    """Polls until the condition holds; raises AssertionError with the expectation after `timeout` s."""
    deadline = time.monotonic() + timeout
    while not holds():
        assert time.monotonic() < deadline, f"in {timeout} s: {expectation}"
        time.sleep(POLL_INTERVAL_S)
