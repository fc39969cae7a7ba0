"""Plays the scenarios of `tests/sockets` on the net code round a scripted module.

The notation is in `tests/README.md`.
"""

import errno
import io
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import stage

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.events import (
    EndpointListReceived,
)
from oatcart.net.acceptor import ACCEPT_PAUSE_S
from oatcart.net.assembly import assemble
from oatcart.net.codec import Codec
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds
from oatcart.net.stream import MAX_UNSENT_BYTES, Stream

HERE = Path(__file__).parent
SCENARIOS = sorted((HERE / "sockets").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    stage.play(path.read_text())


def test_a_list_told_to_come_unasked_is_watched_on_sockets():
    """Failure: where the settings say that changes arrive by themselves nobody asked discovery, and no drain
    was heard.
    """
    cfg = json.loads((HERE.parent / "examples" / "config.json").read_text())
    woken, waker = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as desk, woken, waker:
        cfg |= {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{desk.getsockname()[1]}"}
        cfg["settings"]["membershipMode"] = "automatic"
        loop, _, acceptor = assemble(cfg, woken)
        desk.settimeout(5)
        call, _ = desk.accept()
        with call, acceptor.listener:
            call.settimeout(5)
            for _ in range(stage.QUIET):
                loop.turn(stage.TURN)
            assert call.recv(4096).startswith(b"GET /v1/servers?since=")


@pytest.mark.parametrize("clock", [100.0, 100.001, 615.3, 4096.1])
def test_the_first_round_is_due_at_once(clock):
    """Failure: at most times a clock less the gap, taken from that clock, was under the gap by a rounding,
    and what a conductor decides at its start, to watch the list, waited for something else to happen."""
    loop, came = Loop(lambda: clock, lambda error: None), []
    log = Log(loop.clock, io.StringIO())
    rounds = Rounds(loop, log, Codec(["lookup"], ["a"], 4), 0.002, 1000.0)
    rounds.start(lambda now, arrivals, orders: came.extend(arrivals), None, None)
    rounds.add_event(EndpointListReceived(True, []))
    rounds.run_if_due()
    assert came == [EndpointListReceived(True, [])] and type(came[0]) is EndpointListReceived
    loop.epoll.close()


def test_what_is_left_unread_is_bounded():
    ours, theirs = socket.socketpair()
    loop = Loop(lambda: 0.0, lambda error: None)
    stream, sent = Stream(loop, ours), 0
    with theirs, pytest.raises(ConnectionClosedError) as ended:
        while sent < 100 * MAX_UNSENT_BYTES:
            stream.write(b"x" * 4096)
            sent += 4096
    assert (
        ended.value.reason is CloseReason.SEND_BUFFER_FULL and len(stream.unsent) <= MAX_UNSENT_BYTES + 4096
    )
    stream.close()


def test_no_room_to_accept_neither_spins_nor_ends():
    """EMFILE pauses the acceptor; what waits in the backlog is taken once there is room."""
    one = stage.Stage({})

    class Full:
        tries = 0

        def fileno(self):
            return listener.fileno()

        def accept(self):
            self.tries += 1
            if self.tries == 1:
                raise OSError(errno.EMFILE, "Too many open files")
            return listener.accept()

    full, listener = Full(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    one.loop.spawn(one.acceptor._accept(full))
    with listener, socket.create_connection(listener.getsockname()) as end:
        one.until(lambda: "no capacity" in one.out.getvalue(), "a line in the log")
        one.quiet()
        assert full.tries == 1
        one.now += ACCEPT_PAUSE_S
        end.sendall(b'{"msg":"ping"}\n')
        one.quiet()
        assert end.recv(100) == b'{"msg":"pong"}\n'
        one.close()


def test_a_call_that_fails_at_once_is_made_again(monkeypatch):
    """Failure: a fetch for which there was no descriptor counted as under way for ever."""
    one = stage.Stage({})

    def full(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", full)
        for line in ("order fetch_endpoints", "told unlisted") * 2:
            one.play(line)
        for line in ("order watch_endpoints true", "told unlisted"):
            one.play(line)
        assert one.rounds.watcher.watch_task is None  # Failure: it was noted as standing after it had ended
    for line in ("order fetch_endpoints", "asked /v1/servers"):
        one.play(line)
    one.close()


CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "peers": [],
    "limits": {"sockets": 256},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": {
        "grades": [{"name": "lookup", "aim": 500.0}],
        "zones": ["a"],
        "quantum": 2.0,
        "specifics": {"proxyCount": 4, "pushRate": 1000.0, "period": 1000.0},
        "membershipMode": "subscribe",
    },
}


def start(folder, **changes):
    (folder / "cfg").write_text(
        json.dumps({key: val for key, val in (CONFIG | changes).items() if val is not None})
    )
    return subprocess.Popen(
        [sys.executable, "-m", "oatcart"],
        cwd=HERE.parent,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(folder / "cfg")},
    )


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGINT])
def test_signals_end_with_0(tmp_path, end):
    with start(tmp_path) as one:
        assert "start: n0 listens" in one.stderr.readline()
        one.send_signal(end)
        assert one.wait(10) == 0


def reloaded(one, folder, text):
    """What the log says to a new text of the configuration."""
    (folder / "cfg").write_text(text)
    one.send_signal(signal.SIGHUP)
    while not (line := one.stderr.readline()).startswith("reload: "):
        assert line and not line.startswith("task: ")
    return line


def test_sighup_reads_the_configuration_again(tmp_path):
    """Failure: SIGHUP ended the process. What cannot be used, or not be changed, is said; it goes on either
    way.
    """
    with start(tmp_path) as one:
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
    with start(tmp_path) as one:
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
        with acceptor.listener:
            before = rounds.watcher.discovery, loop.connection_limit
            other = CONFIG | {"discovery": "127.0.0.1:2", "limits": {"sockets": 300}}
            for text, found in (
                (other | {field: "127.0.0.9:9"}, before),
                (other, (("127.0.0.1", 2), 300 - stage.RESERVED_DESCRIPTORS)),
            ):
                (tmp_path / "cfg").write_text(json.dumps(text))
                waker.send(b"\x01")
                for _ in range(stage.QUIET):
                    loop.turn(stage.TURN)
                assert (rounds.watcher.discovery, loop.connection_limit) == found


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


@pytest.mark.parametrize(
    "field, value",
    [
        ("listen", None),
        ("listen", "nowhere"),
        ("listen", "192.0.2.1:5000"),
        ("seed", "?"),
        ("discovery", "a:b"),
        ("settings", 3),
        ("settings", {"grades": 1}),
        ("known", {}),
        ("limits", {}),
    ],
)
def test_what_cannot_be_used_is_named(tmp_path, field, value):
    with start(tmp_path, **{field: value}) as one:
        said = one.stderr.read()
        assert one.wait(10) == 2 and said.startswith(f"config: {field} ") and said.count("\n") == 1, said


@pytest.mark.parametrize(
    "part, field, named",
    [
        ("specifics", "pushRate", "specifics.pushRate"),
        ("specifics", "period", "specifics.period"),
        ("specifics", "proxyCount", "proxyCount"),
        ("grades", "aim", "grades[0].aim"),
    ],
)
def test_a_figure_that_nothing_can_stand_in_for_is_named(tmp_path, part, field, named):
    """Failure: a channel of 1,000 lines a second, sums each second and a target of 1 s were taken, of some
    other deployment.
    """
    settings = json.loads(json.dumps(CONFIG["settings"]))
    del (settings[part][0] if part == "grades" else settings[part])[field]
    with start(tmp_path, settings=settings) as one:
        said = one.stderr.read()
        assert (
            one.wait(10) == 2
            and said.startswith("config: settings ")
            and named in said
            and said.count("\n") == 1
        )
