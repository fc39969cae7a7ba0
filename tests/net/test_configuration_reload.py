"""SIGHUP reloads the configuration."""

import json
import signal
import socket

import network_harness
import pytest
from controller_process import CONFIG, controller, reloaded

from oatcart.net.acceptor import RESERVED_DESCRIPTORS
from oatcart.net.assembly import assemble


def test_sighup_reloads_the_configuration(tmp_path):
    """Invalid settings and those that need a restart are logged; the process continues."""
    with controller(tmp_path) as process:
        assert "start: n0 listens" in process.stderr.readline()
        other = CONFIG["settings"] | {"quantum": 3.0}
        for text, logged in (
            (
                json.dumps(CONFIG | {"discovery": "127.0.0.1:2", "settings": other}),
                "discovery at 127.0.0.1:2, 256 descriptors; only a restart changes settings",
            ),
            ('{"discovery": ', "EDGE_CONFIG is invalid"),
            (json.dumps(CONFIG | {"listen": "127.0.0.1:1"}), "listen is invalid: '127.0.0.1:1' is not"),
            (json.dumps(CONFIG), "discovery at 127.0.0.1:1, 256 descriptors\n"),
        ):
            assert logged in reloaded(process, tmp_path, text)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0


@pytest.mark.parametrize("text", ["", "[1]", "[" * 100000])
def test_invalid_file_does_not_prevent_the_next_reload(tmp_path, text):
    """Covers deep nesting too, for which the parser raises RecursionError."""
    with controller(tmp_path) as process:
        assert "start: n0 listens" in process.stderr.readline()
        assert "EDGE_CONFIG is invalid" in reloaded(process, tmp_path, text)
        assert "256 descriptors" in reloaded(process, tmp_path, json.dumps(CONFIG))
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0


@pytest.mark.parametrize("field", ["name", "listen"])
def test_file_of_another_deployment_changes_nothing(tmp_path, monkeypatch, field):
    """A different name or address rejects the whole file, including discovery and descriptors."""
    signal_reader, signal_writer = socket.socketpair()
    signal_reader.setblocking(False)
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "cfg"))
    with signal_reader, signal_writer:
        loop, rounds, acceptor = assemble(CONFIG, signal_reader)
        with acceptor.listener, loop.epoll:
            before = rounds.watcher.discovery, loop.connection_limit
            other = CONFIG | {"discovery": "127.0.0.1:2", "limits": {"sockets": 300}}
            for text, expected in (
                (other | {field: "127.0.0.9:9"}, before),
                (other, (("127.0.0.1", 2), 300 - RESERVED_DESCRIPTORS)),
            ):
                (tmp_path / "cfg").write_text(json.dumps(text))
                signal_writer.send(b"\x01")
                for _ in range(network_harness.SETTLE_TURNS):
                    loop.turn(network_harness.MAX_TURN_WAIT_S)
                assert (rounds.watcher.discovery, loop.connection_limit) == expected
