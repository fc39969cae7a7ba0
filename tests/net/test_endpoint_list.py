"""The endpoint list on sockets: when discovery is asked, and that a call that fails is made again."""

import errno
import json
import socket

import network_stage
import stage
from controller_process import CONFIG, ROOT

from oatcart.net.assembly import assemble


def test_a_list_told_to_come_unasked_is_watched_on_sockets():
    """Failure: where the settings say that changes arrive by themselves nobody asked discovery, and no drain
    was heard.
    """
    cfg = json.loads((ROOT / "examples" / "config.json").read_text())
    woken, waker = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as desk, woken, waker:
        cfg |= {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{desk.getsockname()[1]}"}
        cfg["settings"]["membershipMode"] = "automatic"
        loop, _, acceptor = assemble(cfg, woken)
        desk.settimeout(5)
        call, _ = desk.accept()
        with call, acceptor.listener:
            call.settimeout(5)
            for _ in range(network_stage.SETTLE_TURNS):
                loop.turn(network_stage.TURN_S)
            assert call.recv(4096).startswith(b"GET /v1/servers?since=")


def test_a_call_that_fails_at_once_is_made_again(monkeypatch):
    """Failure: a fetch for which there was no descriptor counted as under way for ever."""
    one = stage.Stage({})

    def full(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", full)
        for line in ("command fetch_endpoints", "expect_event EndpointListFailed") * 2:
            one.play(line)
        for line in ("command watch_endpoints true", "expect_event EndpointListFailed"):
            one.play(line)
        assert one.rounds.watcher.watch_task is None  # Failure: it was noted as standing after it had ended
    for line in ("command fetch_endpoints", "expect_request /v1/servers"):
        one.play(line)
    one.close()


def test_with_no_list_at_hand_discovery_is_asked_for_one():
    """Failure: with no `known` in the configuration nothing asked for a first round until somebody joined."""
    with socket.create_server(("127.0.0.1", 0)) as desk:
        desk.settimeout(5)
        woken, waker = socket.socketpair()
        with woken, waker:
            cfg = {key: value for key, value in CONFIG.items() if key != "known"}
            loop, _, acceptor = assemble(cfg | {"discovery": f"127.0.0.1:{desk.getsockname()[1]}"}, woken)
            with acceptor.listener:
                desk.accept()[0].close()
