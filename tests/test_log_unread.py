"""A conductor whose log nobody reads, or whose reader is gone, starts and serves all the same."""

import fcntl
import os
import signal
from pathlib import Path

import pytest
from live.discovery import listed
from live.ends import End
from live.process import Conductor
from live.waiting import until


def full_pipe() -> tuple[int, int]:
    """A pipe that takes no byte more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    room = fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)
    assert os.write(writer, b"x" * room) == room
    os.set_blocking(writer, True)
    return reader, writer


@pytest.mark.parametrize("reader_is_gone", [False, True])
def test_it_starts_and_answers(tmp_path: Path, reader_is_gone: bool) -> None:
    """Failure: the first line waited until somebody read the log; with no reader it ended the process."""
    reader, writer = full_pipe()
    if reader_is_gone:
        os.close(reader)
    one = Conductor(tmp_path, known=listed([])).start(writer)
    try:
        os.close(writer)
        until(lambda: one.listens(), "it does not listen")
        with End(one.port) as odd, End(one.port) as end:
            odd.write(b"what?\n")  # a line for the log
            end.say("ping")
            until(lambda: end.heard("pong"), "no answer")
        assert one.end(signal.SIGTERM) == 0
    finally:
        one.process.kill()
        if not reader_is_gone:
            os.close(reader)
