"""The control role as a process: start, stop, signals, and what clients see when it is killed."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from views_harness import Call, Harness, endpoint_entry, ids

from oatcart.scale.ports import free_ports

ROOT = Path(__file__).parents[2]


class ControlRoleProcess:
    """A control role's process that watches the harness's discovery; `ports`: of the main address and of
    c0."""

    def __init__(self, harness, folder):
        self.harness, self.path, self.ports = harness, folder / "views.yaml", free_ports(2)
        self.log_text = ""
        self.write()
        self.start()

    def write(self, extra_lines=""):
        self.path.write_text(
            f"listen: 127.0.0.1:{self.ports[0]}\nbounds: {{gather: 20ms}}\n"
            f"source: {{address: 127.0.0.1:{self.harness.discovery.address[1]}, retry_most: 100ms}}\n"
            f"conductors:\n- {{name: c0, zone: a, address: 127.0.0.1:{self.ports[1]}}}\n{extra_lines}"
        )

    def start(self):
        command = [sys.executable, "-m", "oatcart.views", str(self.path)]
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE)
        os.set_blocking(self.process.stderr.fileno(), False)

    def has_logged(self, text):
        self.log_text += (self.process.stderr.read() or b"").decode()
        return text in self.log_text

    def call(self, query=""):
        return Call(self.harness.loop, ("127.0.0.1", self.ports[1]), "/v1/servers" + query, 3.0)

    def served_view(self):
        """Waits until the complete view is served and returns it."""
        calls = [self.call()]

        def response_body():
            if calls[-1].error is not None:
                calls.append(self.call())
            return calls[-1].body

        return self.harness.wait_until(response_body, "the view")

    def stop(self, number=signal.SIGTERM):
        self.process.send_signal(number)
        code = self.process.wait(5)
        self.process.stderr.close()
        return code


@pytest.fixture
def harness():
    instance = Harness([])
    instance.discovery.put(*(endpoint_entry(f"s-{number}") for number in range(4)))
    yield instance
    instance.close()


@pytest.fixture
def process(harness, tmp_path):
    instance = ControlRoleProcess(harness, tmp_path)
    yield instance
    if instance.process.poll() is None:
        instance.stop()


def test_sigterm_ends_the_process_with_exit_code_0(harness, process):
    assert len(process.served_view()["members"]) == 4 and process.has_logged("control role listens at")
    assert process.stop() == 0


def test_changes_between_a_kill_and_the_next_start_are_served(harness, process):
    before = process.served_view()
    process.stop(signal.SIGKILL)
    harness.discovery.remove("s-1")
    process.start()
    process.served_view()
    response = process.call(f"?since={before['revision']}&timeout_ms=2000").result(harness)
    assert response["complete"] is True and ids(response) == ["s-0", "s-2", "s-3"]


def test_a_reload_applies_a_valid_file_and_rejects_an_invalid_one(harness, process):
    before = process.served_view()
    process.write("- {name: c1, zne: a}\n")
    process.process.send_signal(signal.SIGHUP)
    harness.wait_until(lambda: process.has_logged("the old configuration stays in force"), "the rejection")
    assert (
        process.has_logged("conductors[1].zne is not known; did you mean zone?")
        and process.served_view() == before
    )
    process.write("- {name: c1, zone: a}\n")
    process.process.send_signal(signal.SIGHUP)
    harness.wait_until(
        lambda: process.has_logged("reload: 2 controllers, 0 addresses added, 0 removed"), "the reload"
    )
    assert process.served_view() == before


def test_an_address_in_use_ends_the_process_with_exit_code_2(harness, process):
    process.served_view()
    second = subprocess.run(
        [sys.executable, "-m", "oatcart.views", str(process.path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert second.returncode == 2 and "in use" in second.stderr
