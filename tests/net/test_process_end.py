"""The end of a controller process by a signal."""

import signal

import pytest
from controller_process import controller


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGINT])
def test_signals_end_with_0(tmp_path, end):
    with controller(tmp_path) as one:
        assert "start: n0 listens" in one.stderr.readline()
        one.send_signal(end)
        assert one.wait(10) == 0
