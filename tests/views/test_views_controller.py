"""Controller processes (`python -m oatcart`) that use the address of their view as that of discovery."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from views_harness import Harness, endpoint_entry, served_controller

from oatcart.errors import ConnectionClosedError
from oatcart.net.stream import connect

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "membershipMode": "subscribe",
    "quantum": 2.0,
    "zones": ["a", "b"],
    "grades": [{"name": "lookup", "worth": 1.0, "aim": 500.0, "idempotency": "idempotent"}],
    "rules": {"askWithin": 4000.0, "cold": 0.0},
    "specifics": {"proxyCount": 4, "period": 1000.0, "pushRate": 3000.0, "envelope": 4.0, "queueCap": 4500.0},
}


class ControllerProcess:
    """A controller's process, and a proxy's connection to it that records the routing table it receives."""

    def __init__(self, harness, folder, discovery):
        self.harness, self.table, self.folder = harness, {}, folder
        self.write(discovery)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oatcart"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=os.environ | {"EDGE_CONFIG": str(folder / "controller.json")},
        )
        os.set_blocking(self.process.stderr.fileno(), False)
        self.log_text = ""
        harness.wait_until(lambda: "listens at" in self.log(), "the controller's start")
        port = int(self.log_text.partition("listens at 127.0.0.1:")[2].partition(",")[0])
        harness.loop.spawn(self._stream(("127.0.0.1", port)))

    def write(self, discovery):
        configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "{}:{}".format(*discovery),
            "seed": "5f",
        }
        configuration |= {"limits": {"sockets": 200}, "settings": SETTINGS}
        (self.folder / "controller.json").write_text(json.dumps(configuration))

    def log(self):
        self.log_text += (self.process.stderr.read() or b"").decode()
        return self.log_text

    def _stream(self, address):
        stream = yield from connect(self.harness.loop, address, self.harness.loop.clock() + 5.0)
        stream.write(b'{"msg":"joined","sidecar":0,"az":"a","share":10,"standing":true}\n')
        try:
            while True:
                self._apply_update(json.loads(bytes((yield from stream.read_line()))))
        except ConnectionClosedError:
            stream.close()

    def _apply_update(self, update):
        if update.get("full"):
            self.table = {}
        for name, weight in update.get("endpoints", ()):
            self.table[name] = weight
            if not weight:
                del self.table[name]

    def wait_for_table(self, *names):
        """Waits until the table has entries for exactly these endpoints."""
        self.harness.wait_until(
            lambda: set(self.table) == set(names), f"{names}; has {self.table}; {self.log()}"
        )

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(5) == 0
        self.process.stderr.close()


@pytest.fixture
def harness():
    instance = Harness([served_controller("c0", ["x"]), served_controller("c1", ["y"])])
    instance.discovery.put(
        *(endpoint_entry(name, "ab"[number % 2], service=name[0]) for number, name in enumerate(FLEET))
    )
    instance.wait_ready()
    yield instance
    instance.close()


FLEET = "x0", "x1", "x2", "y0", "y1"


def test_a_controller_gets_exactly_its_view_with_drains_removals_and_returns(harness, tmp_path):
    process = ControllerProcess(harness, tmp_path, harness.role.address_of("c0"))
    process.wait_for_table("x0", "x1", "x2")
    harness.discovery.drain("x1")
    process.wait_for_table("x0", "x2")
    harness.discovery.remove("x1", "y1")
    harness.discovery.put(endpoint_entry("x3", service="x"))
    process.wait_for_table("x0", "x2", "x3")
    harness.discovery.put(endpoint_entry("x1", "b", service="x"), endpoint_entry("y2", service="y"))
    process.wait_for_table("x0", "x1", "x2", "x3")
    assert "invalid:" not in process.log() and "discovery:" not in process.log()
    process.stop()


def test_a_controller_that_is_not_configured_yet_starts_without_endpoints_and_gets_its_view_later(
    harness, tmp_path
):
    """Requests for a view that is not in the file are rejected and create no state; the controller keeps
    trying."""
    address = harness.role.address_of("c0")
    harness.role.publisher.configure(harness.role.configuration._replace(controllers=()))
    process = ControllerProcess(harness, tmp_path, address)
    harness.wait_until(lambda: "status 404" in process.log(), "the rejection")
    assert harness.role.publisher.histories == {}
    harness.role.publisher.configure(harness.role.configuration)
    process.wait_for_table("x0", "x1", "x2")
    process.stop()


def test_a_controller_that_is_rejected_keeps_its_list_and_gets_the_missed_changes_later(harness, tmp_path):
    process = ControllerProcess(harness, tmp_path, harness.role.address_of("c0"))
    process.wait_for_table("x0", "x1", "x2")
    harness.role.publisher.configure(harness.role.configuration._replace(controllers=()))
    harness.role.server.wake_watches(["c0"])
    harness.wait_until(lambda: "status 404" in process.log(), "the rejection")
    harness.discovery.drain("x0")
    harness.run_for(0.3)
    assert set(process.table) == {"x0", "x1", "x2"}, "its list is kept"
    harness.role.publisher.configure(harness.role.configuration)
    process.wait_for_table("x1", "x2")
    process.stop()


def test_a_controller_keeps_its_list_while_the_control_role_is_down_and_gets_the_changes_later(
    harness, tmp_path
):
    address = harness.role.address_of("c0")
    process = ControllerProcess(harness, tmp_path, address)
    process.wait_for_table("x0", "x1", "x2")
    harness.role.stop()
    harness.wait_until(lambda: "the watch ended" in process.log(), "the controller notices")
    harness.discovery.drain("x0")
    harness.run_for(0.3)
    assert set(process.table) == {"x0", "x1", "x2"}, "its list is kept"
    harness.role = harness.start_role(
        harness.configuration._replace(controllers=(served_controller("c0", ["x"], address=address),))
    )
    process.wait_for_table("x1", "x2")
    process.stop()


def test_a_controller_moves_to_another_control_role_and_back_at_a_reload(harness, tmp_path):
    """Revisions of two control roles are unrelated, and a removal meanwhile must reach a controller that
    moves between them."""
    process = ControllerProcess(harness, tmp_path, harness.role.address_of("c0"))
    process.wait_for_table("x0", "x1", "x2")
    other = harness.start_role(harness.configuration)
    harness.discovery.remove("x0")
    process.write(other.address_of("c0"))
    process.process.send_signal(signal.SIGHUP)
    process.wait_for_table("x1", "x2")
    harness.wait_until(lambda: other.server.watching.get("c0"), "the watch at the other control role")
    harness.discovery.put(endpoint_entry("x0", service="x"))
    process.wait_for_table("x0", "x1", "x2")
    harness.discovery.remove("x2")
    process.write(harness.role.address_of("c0"))
    process.process.send_signal(signal.SIGHUP)
    process.wait_for_table("x0", "x1")
    process.stop()
    other.stop()
