"""The endpoint list on sockets: when it is requested, and that a request is repeated after a failure."""

import errno
import json
import socket

import network_harness
from controller_process import CONFIG, ROOT
from scenario_harness import ScenarioHarness

from oatcart.net.assembly import assemble


def test_endpoints_are_watched_if_membership_is_automatic():
    """On sockets, changes arrive only if requested, whatever the settings say."""
    configuration = json.loads((ROOT / "examples" / "config.json").read_text())
    signal_reader, signal_writer = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as discovery, signal_reader, signal_writer:
        configuration |= {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}
        configuration["settings"]["membershipMode"] = "automatic"
        loop, _, acceptor = assemble(configuration, signal_reader)
        discovery.settimeout(5)
        request, _ = discovery.accept()
        with request, acceptor.listener:
            request.settimeout(5)
            for _ in range(network_harness.SETTLE_TURNS):
                loop.turn(network_harness.MAX_TURN_WAIT_S)
            assert request.recv(4096).startswith(b"GET /v1/servers?since=")


def test_request_is_made_again_after_it_failed_at_once(monkeypatch):
    """A request without a descriptor does not count as open."""
    harness = ScenarioHarness({})

    def raise_no_descriptors(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", raise_no_descriptors)
        for step in ("command fetch_endpoints", "expect_event EndpointListFailed 2") * 2:
            harness.play(step)
        for step in ("command watch_endpoints true", "expect_event EndpointListFailed 1"):
            harness.play(step)
        assert harness.rounds.watcher.watch_task is None
    for step in ("command fetch_endpoints", "expect_request /v1/servers"):
        harness.play(step)
    harness.close()


def test_discovery_is_requested_without_a_known_list():
    """Without `known` in the configuration the first round is due at the start."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        discovery.settimeout(5)
        signal_reader, signal_writer = socket.socketpair()
        with signal_reader, signal_writer:
            configuration = {key: value for key, value in CONFIG.items() if key != "known"}
            loop, _, acceptor = assemble(
                configuration | {"discovery": f"127.0.0.1:{discovery.getsockname()[1]}"}, signal_reader
            )
            with acceptor.listener:
                discovery.accept()[0].close()
