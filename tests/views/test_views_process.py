"""The control role as a process: its start and end, signals, and what a kill costs its callers."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from views_stage import Call, Stage, endpoint_entry, ids

from oatcart.scale.ports import free_ports

ROOT = Path(__file__).parents[2]


class Process:
    """A control role that follows a stage's discovery; `ports`: of the main address and of c0."""

    def __init__(self, stage, folder):
        self.stage, self.path, self.ports = stage, folder / "views.yaml", free_ports(2)
        self.said = ""
        self.write()
        self.start()

    def write(self, more=""):
        self.path.write_text(
            f"listen: 127.0.0.1:{self.ports[0]}\nbounds: {{gather: 20ms}}\n"
            f"source: {{address: 127.0.0.1:{self.stage.discovery.address[1]}, retry_most: 100ms}}\n"
            f"conductors:\n- {{name: c0, zone: a, address: 127.0.0.1:{self.ports[1]}}}\n{more}"
        )

    def start(self):
        command = [sys.executable, "-m", "oatcart.views", str(self.path)]
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE)
        os.set_blocking(self.process.stderr.fileno(), False)

    def logged(self, text):
        self.said += (self.process.stderr.read() or b"").decode()
        return text in self.said

    def call(self, query=""):
        return Call(self.stage.loop, ("127.0.0.1", self.ports[1]), "/v1/servers" + query, 3.0)

    def served(self):
        """The complete view, once it is served."""
        answers = [self.call()]

        def answered():
            if answers[-1].ended is not None:
                answers.append(self.call())
            return answers[-1].body

        return self.stage.until(answered, "the view")

    def end(self, number=signal.SIGTERM):
        self.process.send_signal(number)
        code = self.process.wait(5)
        self.process.stderr.close()
        return code


@pytest.fixture
def stage():
    one = Stage([])
    one.discovery.put(*(endpoint_entry(f"s-{number}") for number in range(4)))
    yield one
    one.close()


@pytest.fixture
def process(stage, tmp_path):
    one = Process(stage, tmp_path)
    yield one
    if one.process.poll() is None:
        one.end()


def test_told_to_end_it_ends_with_0(stage, process):
    assert len(process.served()["members"]) == 4 and process.logged("control role listens at")
    assert process.end() == 0


def test_killed_and_started_again_what_changed_meanwhile_is_served(stage, process):
    held = process.served()
    process.end(signal.SIGKILL)
    stage.discovery.drop("s-1")
    process.start()
    process.served()
    told = process.call(f"?since={held['revision']}&timeout_ms=2000").result(stage)
    assert told["complete"] is True and ids(told) == ["s-0", "s-2", "s-3"]


def test_a_reload_takes_a_good_file_and_no_bad_one(stage, process):
    held = process.served()
    process.write("- {name: c1, zne: a}\n")
    process.process.send_signal(signal.SIGHUP)
    stage.until(lambda: process.logged("the old configuration stays in force"), "the rejection")
    assert process.logged("conductors[1].zne is not known; did you mean zone?") and process.served() == held
    process.write("- {name: c1, zone: a}\n")
    process.process.send_signal(signal.SIGHUP)
    stage.until(lambda: process.logged("reload: 2 controllers, 0 addresses added, 0 removed"), "the reload")
    assert process.served() == held


def test_an_address_that_is_taken_ends_the_start_with_2(stage, process):
    process.served()
    second = subprocess.run(
        [sys.executable, "-m", "oatcart.views", str(process.path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert second.returncode == 2 and "in use" in second.stderr
