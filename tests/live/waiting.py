"""Waits of the tests: bounded by patience alone, so that a busy machine fails none."""

import time
from collections.abc import Callable

PATIENCE = 10.0  # s until something counts as never coming
LOOK_EVERY = 0.01  # s between two looks at a condition


def until(met: Callable[[], object], what: str, within: float = PATIENCE) -> None:
    """Look again and again until `met` holds; fail with `what` once the time is over."""
    over = time.monotonic() + within
    while not met():
        assert time.monotonic() < over, f"in {within} s: {what}"
        time.sleep(LOOK_EVERY)
