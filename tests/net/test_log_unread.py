"""A controller starts and serves if its log is not read, its reader is gone, or standard error is closed."""

import fcntl
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from live.connections import Connection
from live.discovery import endpoint_list
from live.process import ROOT, ControllerProcess
from live.waiting import TIMEOUT_S, wait_until

from oatcart.scale.ports import free_ports


def full_pipe() -> tuple[int, int]:
    """Returns the two ends of a full pipe."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    capacity = fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)
    assert os.write(writer, b"x" * capacity) == capacity
    os.set_blocking(writer, True)
    return reader, writer


def test_controller_answers_with_standard_error_closed(tmp_path: Path) -> None:
    """Guards against a crash at the first log line: `sys.stderr` is None if standard error is closed."""
    controller = ControllerProcess(tmp_path, known=endpoint_list([]))
    controller.port = free_ports(1)[0]
    controller.write_configuration()
    command = f"exec {sys.executable} -m oatcart 2>&-"
    process = subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(controller.configuration_path())},
    )
    try:
        wait_until(lambda: controller.accepts_connections(), "it does not listen")
        with Connection(controller.port) as connection:
            connection.send("ping")
            wait_until(lambda: connection.count_messages("pong"), "no answer")
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()


@pytest.mark.parametrize("reader_is_gone", [False, True])
def test_controller_answers_with_a_full_log_pipe(tmp_path: Path, reader_is_gone: bool) -> None:
    """Guards against a first log line that blocks until it is read, or without a reader ends the process."""
    reader, writer = full_pipe()
    if reader_is_gone:
        os.close(reader)
    controller = ControllerProcess(tmp_path, known=endpoint_list([])).start(writer)
    try:
        os.close(writer)
        wait_until(lambda: controller.accepts_connections(), "it does not listen")
        with Connection(controller.port) as invalid, Connection(controller.port) as connection:
            invalid.send_bytes(b"what?\n")  # a line for the log
            connection.send("ping")
            wait_until(lambda: connection.count_messages("pong"), "no answer")
        assert controller.stop(signal.SIGTERM) == 0
    finally:
        controller.process.kill()
        if not reader_is_gone:
            os.close(reader)
