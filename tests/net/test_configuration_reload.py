"""SIGHUP reads the configuration again."""

import json
import signal
import socket

import network_stage
import pytest
from controller_process import CONFIG, controller, reloaded

from oatcart.net.acceptor import RESERVED_DESCRIPTORS
from oatcart.net.assembly import assemble


def test_sighup_reads_the_configuration_again(tmp_path):
    """Failure: SIGHUP ended the process. What cannot be used, or not be changed, is said; it goes on either
    way.
    """
    with controller(tmp_path) as one:
        assert "start: n0 listens" in one.stderr.readline()
        other = CONFIG["settings"] | {"quantum": 3.0}
        for text, said in (
            (
                json.dumps(CONFIG | {"discovery": "127.0.0.1:2", "settings": other}),
                "discovery at 127.0.0.1:2, 256 descriptors; only a restart changes settings",
            ),
            ('{"discovery": ', "EDGE_CONFIG is invalid"),
            (json.dumps(CONFIG | {"listen": "127.0.0.1:1"}), "listen is invalid: '127.0.0.1:1' is not"),
            (json.dumps(CONFIG), "discovery at 127.0.0.1:1, 256 descriptors\n"),
        ):
            assert said in reloaded(one, tmp_path, text)
        one.send_signal(signal.SIGHUP)
        one.send_signal(signal.SIGTERM)
        assert one.wait(10) == 0


@pytest.mark.parametrize("text", ["", "[1]", "[" * 100000])
def test_a_file_that_cannot_be_read_leaves_the_next_one_to_be_taken(tmp_path, text):
    """Failure: nesting without end was an error of another kind; it ended the task that takes files in, for
    good.
    """
    with controller(tmp_path) as one:
        assert "start: n0 listens" in one.stderr.readline()
        assert "EDGE_CONFIG is invalid" in reloaded(one, tmp_path, text)
        assert "256 descriptors" in reloaded(one, tmp_path, json.dumps(CONFIG))
        one.send_signal(signal.SIGTERM)
        assert one.wait(10) == 0


@pytest.mark.parametrize("field", ["name", "listen"])
def test_a_file_of_another_deployment_is_refused_whole(tmp_path, monkeypatch, field):
    """Failure: another conductor's discovery and descriptors were taken in, and its name and address only
    told of.
    """
    woken, waker = socket.socketpair()
    woken.setblocking(False)
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "cfg"))
    with woken, waker:
        loop, rounds, acceptor = assemble(CONFIG, woken)
        with acceptor.listener, loop.epoll:
            before = rounds.watcher.discovery, loop.connection_limit
            other = CONFIG | {"discovery": "127.0.0.1:2", "limits": {"sockets": 300}}
            for text, found in (
                (other | {field: "127.0.0.9:9"}, before),
                (other, (("127.0.0.1", 2), 300 - RESERVED_DESCRIPTORS)),
            ):
                (tmp_path / "cfg").write_text(json.dumps(text))
                waker.send(b"\x01")
                for _ in range(network_stage.SETTLE_TURNS):
                    loop.turn(network_stage.TURN_S)
                assert (rounds.watcher.discovery, loop.connection_limit) == found
