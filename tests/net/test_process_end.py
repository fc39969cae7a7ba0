"""The end of a controller process by a signal."""

import signal

import pytest
from controller_process import controller


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGINT])
def test_signals_end_with_0(tmp_path, end_signal):
    with controller(tmp_path) as process:
        assert "start: n0 listens" in process.stderr.readline()
        process.send_signal(end_signal)
        assert process.wait(10) == 0
