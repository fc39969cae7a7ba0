"""Plays the scenarios: `tests/scenarios` on the decision module, `tests/sockets` on the net code round it.

The notation is in `tests/README.md`.
"""

import errno
import io
import json
import operator
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
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    EndpointState,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.net.acceptor import ACCEPT_PAUSE_S
from oatcart.net.assembly import assemble
from oatcart.net.codec import Codec
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.rounds import Rounds
from oatcart.net.stream import MAX_UNSENT_BYTES, Stream
from oatcart.policy import Controller

HERE = Path(__file__).parent
SCENARIOS = sorted((HERE / "scenarios").glob("*.txt")) + sorted((HERE / "sockets").glob("*.txt"))
REPEATS = {
    "replayable": Idempotency.IDEMPOTENT,
    "uniqued": Idempotency.KEYED,
    "non-replayable": Idempotency.NOT_IDEMPOTENT,
}
PLAIN = {
    "must_watch": 0,
    "line_rate": 1000,
    "message_overhead": 4,
    "max_queue": 2000,
    "max_messages": 0,
    "message_window": 10,
    "duration": 16,
    "initial_fraction": 0.2,
    "overload_multiple": 4,
    "cross_zone_price": 0,
    "health_checks": 1,
    "lists_weights": 0,
    "rate": 0,
    "drain_deadline": 1e9,
}
COMPARE = {"=": operator.eq, "<": operator.lt, ">": operator.gt}


class Orders:
    """Writes orders as words, and keeps the tables as proxies would."""

    def __init__(self):
        self.said, self.tables, self.mark_now = [], {}, 0

    def set_weight(self, table, node, weight):
        self.said.append((f"line t{table} n{node}", weight))
        self.tables[table, node] = weight

    def assign_table(self, table, proxy, kinds):
        self.said.append((f"bind t{table} p{proxy}", kinds))

    def set_ejected(self, node, out):
        self.said.append((f"{'shut' if out else 'lift'} n{node}", 1))

    def set_admission(self, table, kinds, level, tries):
        for kind in range(16):
            if kinds >> kind & 1:
                self.said.append((f"admit t{table} k{kind} w{tries}", level))

    def request_ack(self, mark, everyone):
        self.said.append(("mark", mark))
        self.mark_now = mark

    def forget_endpoint(self, node):
        self.said.append((f"drop n{node}", 1))

    def check_health(self, node):
        self.said.append((f"probe n{node}", 1))

    def watch_endpoints(self, on):
        self.said.append(("follow", 1))

    def fetch_endpoints(self):
        self.said.append(("fetch", 1))

    def schedule_round(self, after):
        self.said.append(("wake", after))

    def log(self, text):
        pass


def conductor(kinds, cfg):
    """A conductor with the plain settings and what a scenario sets."""

    def pick(record):
        return record(**{name: cfg[name] for name in record._fields if name in cfg})

    settings = ControllerSettings(
        request_classes=tuple(kinds or [RequestClass(1, 1, Idempotency.IDEMPOTENT)]),
        discovery=pick(DiscoverySettings),
        channel=pick(ChannelLimits),
        warm_up=pick(WarmUpLimits),
        report_period=1.0,
        admission_mode=AdmissionMode.RATE if cfg["rate"] else AdmissionMode.SHARE,
        cross_zone_price=cfg["cross_zone_price"],
        health_checks_allowed=bool(cfg["health_checks"]),
        drain_deadline=cfg["drain_deadline"],
        expected_proxies=0,
    )
    return Controller(settings, seed=1)


def entry(word):
    """`2:1@12*3~`: node 2 of zone 1, started at 12, nominal 3, draining."""
    state = {"-": EndpointState.GONE, "~": EndpointState.DRAINING}.get(word[-1], EndpointState.READY)
    word, _, nominal = word.rstrip("-~").partition("*")
    word, _, started = word.partition("@")
    node, zone = word.split(":")
    return EndpointEntry(int(node), int(zone), float(started or 0), state, float(nominal or 1))


def arrival(words, orders):
    """One line of a scenario as an arrival."""
    match words:
        case ["roll", *rest]:
            return EndpointListReceived(True, [entry(word) for word in rest])
        case ["news", *rest]:
            return EndpointListReceived(False, [entry(word) for word in rest])
        case ["join", proxy, zone, *held]:
            return ProxyJoined(int(proxy), int(zone[1:]), 10.0, not held)
        case ["left", proxy]:
            return ProxyLeft(int(proxy))
        case ["met", node, "took", took, "err", errored, "of", tried, load, value]:
            told = LoadReport(float(value)) if load == "held" else LoadReport(None, float(value))
            return EndpointLoadReported(int(node), 0, 1.0, float(took), int(errored), int(tried), told)
        case ["met", node, "took", took, "err", errored, "of", tried]:
            return EndpointLoadReported(
                int(node), 0, 1.0, float(took), int(errored), int(tried), LoadReport()
            )
        case ["came", proxy, kind, count]:
            return ProxyLoadReported(int(proxy), int(kind[1:]), int(count), 0, 1.0)
        case ["ack", proxy]:
            return UpdateAcknowledged(int(proxy), orders.mark_now, 0.1)
        case ["probe", node, outcome]:
            return HealthCheckCompleted(
                int(node),
                HealthCheckOutcome.PASSED if outcome == "ok" else HealthCheckOutcome.TIMED_OUT,
                0.1,
                LoadReport(),
            )
        case ["unlisted"]:
            return EndpointListFailed()
    raise ValueError(" ".join(words))


def unrolled(text):
    """The lines of a scenario, repeated ones written out."""
    lines = [part.split() for line in text.splitlines() for part in line.split("#")[0].split(";")]
    now, out = 0.0, []
    while lines:
        words = lines.pop(0)
        if words[:1] == ["at"]:
            now = float(words[1])
        if words[:1] == ["until"]:
            end = lines.index(["end"])
            body, lines = lines[:end], lines[end + 1 :]
            while now < float(words[1]):
                now += float(words[3])
                out += [["at", str(now)], *body]
        elif words:
            out.append(words)
    return out


def play(text):
    """Play a scenario; the first line that is not met fails."""
    cfg, kinds, orders, told, one, checked = dict(PLAIN), [], Orders(), None, None, False

    def run():
        nonlocal one, told
        if told is not None:
            one = one or conductor(kinds, cfg)
            one.round(now, told, orders)
            told = None

    for words in unrolled(text):
        match words:
            case ["set", name, value]:
                cfg[name] = float(value)
            case ["kind", value, target, repeat, *rest]:
                zones = tuple(map(int, rest[1].split(","))) if rest[:1] == ["zones"] else ()
                kinds.append(
                    RequestClass(float(value), float(target), REPEATS[repeat], rest == ["home"], zones)
                )
            case ["at", time]:
                run()
                now, told = float(time), []
                if checked:
                    orders.said, checked = [], False
            case ["want" | "deny" | "table" | "size" | "holders", *_]:
                run()
                checked = True
                # standing lines of a table, tables with a line for a node
                if words[0] in ("size", "holders"):
                    standing = [at for at, weight in orders.tables.items() if weight]
                    found = [sum(at[words[0] == "holders"] == int(words[1][1:]) for at in standing)]
                    words = ["want", *words]
                elif words[0] == "table":
                    found = [orders.tables.get((int(words[1][1:]), int(words[2][1:])), 0)]
                    words = ["want", *words]
                else:
                    size = next((at for at, word in enumerate(words) if word in COMPARE), len(words))
                    found = [value for name, value in orders.said if name == " ".join(words[1:size])]
                if words[-2] in COMPARE:
                    found = [value for value in found if COMPARE[words[-2]](value, float(words[-1]))]
                assert bool(found) == (words[0] == "want"), f"at {now}: {' '.join(words)}; said {orders.said}"
            case ["acks", first, last]:
                told += [arrival(["ack", str(proxy)], orders) for proxy in range(int(first), int(last) + 1)]
            case _:
                told.append(arrival(words, orders))
    run()


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    (stage.play if path.parent.name == "sockets" else play)(path.read_text())


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


def test_same_events_same_orders():
    said = []
    for _ in range(2):
        one, orders = conductor([], PLAIN), Orders()
        for turn in range(40):
            met = [
                EndpointLoadReported(node, 0, 1.0, 0.1 + node / 50, turn % 3, 10, LoadReport(node + turn % 5))
                for node in range(8)
            ]
            roll = [
                EndpointListReceived(
                    True, [EndpointEntry(node, node % 2, 0.0, EndpointState.READY, 1.0) for node in range(8)]
                )
            ]
            one.round(
                turn / 2,
                [*(roll if turn % 9 == 0 else []), ProxyJoined(turn % 4, 0, 1.0, True), *met],
                orders,
            )
        said.append(orders.said)
    assert said[0] == said[1] and len(said[0]) > 100
