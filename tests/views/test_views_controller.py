"""Real controllers, `python -m oatcart` as it stands, started with their view's address as discovery's."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from views_stage import Stage, controller, endpoint_entry

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
    """A controller's process, and a proxy's stream to it that notes the table it is ordered."""

    def __init__(self, stage, folder, discovery):
        self.stage, self.table, self.folder = stage, {}, folder
        self.write(discovery)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oatcart"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env=os.environ | {"EDGE_CONFIG": str(folder / "conductor.json")},
        )
        os.set_blocking(self.process.stderr.fileno(), False)
        self.said = ""
        stage.until(lambda: "listens at" in self.log(), "the conductor's start")
        port = int(self.said.partition("listens at 127.0.0.1:")[2].partition(",")[0])
        stage.loop.spawn(self._stream(("127.0.0.1", port)))

    def write(self, discovery):
        told = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "{}:{}".format(*discovery), "seed": "5f"}
        told |= {"limits": {"sockets": 200}, "settings": SETTINGS}
        (self.folder / "conductor.json").write_text(json.dumps(told))

    def log(self):
        self.said += (self.process.stderr.read() or b"").decode()
        return self.said

    def _stream(self, address):
        stream = yield from connect(self.stage.loop, address, self.stage.loop.clock() + 5.0)
        stream.write(b'{"msg":"joined","sidecar":0,"az":"a","share":10,"standing":true}\n')
        try:
            while True:
                self._order(json.loads(bytes((yield from stream.read_line()))))
        except ConnectionClosedError:
            stream.close()

    def _order(self, told):
        if told.get("full"):
            self.table = {}
        for name, weight in told.get("endpoints", ()):
            self.table[name] = weight
            if not weight:
                del self.table[name]

    def holds(self, *names):
        """Wait until the table has lines for just these endpoints."""
        self.stage.until(lambda: set(self.table) == set(names), f"{names}; has {self.table}; {self.log()}")

    def end(self):
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(5) == 0
        self.process.stderr.close()


@pytest.fixture
def stage():
    one = Stage([controller("c0", ["x"]), controller("c1", ["y"])])
    one.discovery.put(
        *(endpoint_entry(name, "ab"[number % 2], service=name[0]) for number, name in enumerate(FLEET))
    )
    one.ready()
    yield one
    one.close()


FLEET = "x0", "x1", "x2", "y0", "y1"


def test_a_controller_knows_just_its_view_and_sees_drain_deletion_and_return(stage, tmp_path):
    one = ControllerProcess(stage, tmp_path, stage.role.address_of("c0"))
    one.holds("x0", "x1", "x2")
    stage.discovery.drain("x1")
    one.holds("x0", "x2")
    stage.discovery.drop("x1", "y1")
    stage.discovery.put(endpoint_entry("x3", service="x"))
    one.holds("x0", "x2", "x3")
    stage.discovery.put(endpoint_entry("x1", "b", service="x"), endpoint_entry("y2", service="y"))
    one.holds("x0", "x1", "x2", "x3")
    assert "invalid:" not in one.log() and "discovery:" not in one.log()
    one.end()


def test_a_controller_that_cannot_be_served_yet_starts_with_nobody_and_gets_its_view_later(stage, tmp_path):
    """A view that is not in the file: rejected, nothing of it is kept, and the controller goes on asking."""
    address = stage.role.address_of("c0")
    stage.role.publisher.configure(stage.role.configuration._replace(controllers=()))
    one = ControllerProcess(stage, tmp_path, address)
    stage.until(lambda: "status 404" in one.log(), "the rejection")
    assert stage.role.publisher.histories == {}
    stage.role.publisher.configure(stage.role.configuration)
    one.holds("x0", "x1", "x2")
    one.end()


def test_a_controller_that_is_rejected_keeps_its_list_and_is_served_what_it_missed(stage, tmp_path):
    one = ControllerProcess(stage, tmp_path, stage.role.address_of("c0"))
    one.holds("x0", "x1", "x2")
    stage.role.publisher.configure(stage.role.configuration._replace(controllers=()))
    stage.role.server.wake_watches(["c0"])
    stage.until(lambda: "status 404" in one.log(), "the rejection")
    stage.discovery.drain("x0")
    stage.for_(0.3)
    assert set(one.table) == {"x0", "x1", "x2"}, "its list stands"
    stage.role.publisher.configure(stage.role.configuration)
    one.holds("x1", "x2")
    one.end()


def test_a_control_role_that_dies_and_comes_back_costs_nothing_and_what_has_changed_is_served(
    stage, tmp_path
):
    address = stage.role.address_of("c0")
    one = ControllerProcess(stage, tmp_path, address)
    one.holds("x0", "x1", "x2")
    stage.role.stop()
    stage.until(lambda: "the watch ended" in one.log(), "the conductor notices")
    stage.discovery.drain("x0")
    stage.for_(0.3)
    assert set(one.table) == {"x0", "x1", "x2"}, "its list stands"
    stage.role = stage.start(
        stage.configuration._replace(controllers=(controller("c0", ["x"], address=address),))
    )
    one.holds("x1", "x2")
    one.end()


def test_a_controller_moves_to_another_control_role_and_back_at_a_reload(stage, tmp_path):
    """Revisions of two control roles have nothing to do with one another; what went meanwhile is gone at
    both."""
    one = ControllerProcess(stage, tmp_path, stage.role.address_of("c0"))
    one.holds("x0", "x1", "x2")
    other = stage.start(stage.configuration)
    stage.discovery.drop("x0")
    one.write(other.address_of("c0"))
    one.process.send_signal(signal.SIGHUP)
    one.holds("x1", "x2")
    stage.until(lambda: other.server.watching.get("c0"), "the watch at the other one")
    stage.discovery.put(endpoint_entry("x0", service="x"))
    one.holds("x0", "x1", "x2")
    stage.discovery.drop("x2")
    one.write(stage.role.address_of("c0"))
    one.process.send_signal(signal.SIGHUP)
    one.holds("x0", "x1")
    one.end()
    other.stop()
