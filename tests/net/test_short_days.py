"""Short runs of complete systems over loopback, most with real processes."""

import signal
import socket
import time
from contextlib import ExitStack
from pathlib import Path
from statistics import median

import network_stage
import pytest
import stage
from live.connections import READ_BYTES, Connection, Proxy
from live.discovery import DiscoveryService, ListedEndpoint, endpoint_list
from live.process import SETTINGS, ControllerProcess
from live.waiting import wait_until

from oatcart.net.stream import MAX_UNSENT_BYTES

NAMES = {f"n{number}" for number in range(5)}


def members() -> list[ListedEndpoint]:
    """Returns the usual endpoints."""
    return [ListedEndpoint(name) for name in sorted(NAMES)]


def configured_controller(folder: Path, **settings: object) -> ControllerProcess:
    """Returns a controller with the usual endpoints configured; it starts when its context is entered."""
    return ControllerProcess(folder, known=endpoint_list(members()), **settings)


def assert_responsive(*connections: Connection) -> None:
    """Expects each connection to be open and to answer a ping."""
    for end in connections:
        before = end.count_messages("pong")
        end.send("ping")
        wait_until(lambda: end.count_messages("pong") > before, "no pong on a stream in use")
        assert not end.is_closed


@pytest.mark.parametrize("order", ["drain, reload", "reload, drain", "reload, drain, reload"])
def test_drains_during_a_reload_are_sent_on_open_streams(tmp_path: Path, order: str) -> None:
    """A reload changes the discovery service while endpoints drain: both report n1, only the new one n2."""
    with ExitStack() as stack:
        old, new = (stack.enter_context(DiscoveryService(members())) for _ in range(2))
        one = stack.enter_context(configured_controller(tmp_path, discovery=old.address))
        proxies = [stack.enter_context(Proxy(one.port, number)) for number in range(2)]
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        one.discovery = new.address
        one.write_configuration()
        new.change("n1", "DRAINING")
        for step in order.split(", "):
            if step == "reload":
                one.send_signal(signal.SIGHUP)
            else:
                old.change("n1", "DRAINING")
                new.change("n2", "DRAINING")
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES - {"n1", "n2"}, "a drain was not sent")
        new.change("n2", "SERVING")
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES - {"n1"}, "a return was not sent")
        assert_responsive(*proxies)
        assert [proxy.complete_tables for proxy in proxies] == [1, 1]


@pytest.mark.parametrize("piece_bytes", [READ_BYTES, 1])
def test_complete_lists_in_place_of_changes_bring_drains_removals_and_returns(
    tmp_path: Path, piece_bytes: int
) -> None:
    """Every response is the complete list; also with each byte of discovery and proxy in its own piece."""
    with ExitStack() as stack:
        discovery = stack.enter_context(
            DiscoveryService(members(), complete_lists=True, piece_bytes=piece_bytes)
        )
        one = stack.enter_context(configured_controller(tmp_path, discovery=discovery.address))
        proxy = stack.enter_context(Proxy(one.port, 3, piece_bytes))
        wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        discovery.change("n1", "DRAINING")
        discovery.change("n2", "DELETED")
        wait_until(
            lambda: proxy.usable_endpoints() == NAMES - {"n1", "n2"}, "a drain or removal was not sent"
        )
        discovery.change("n3", "DELETED")
        discovery.change("n2", "SERVING", time.time() * 1000)
        wait_until(
            lambda: proxy.usable_endpoints() == NAMES - {"n1", "n3"},
            "a removal or return was not sent",
        )
        requests, started = discovery.requests, time.monotonic()
        time.sleep(0.5)
        assert discovery.requests - requests <= 3 + (time.monotonic() - started), (
            "too many requests without changes"
        )
        assert_responsive(proxy)
        assert proxy.complete_tables == 1, "an unchanged list was sent again"


def test_process_killed_after_its_start_restarts_at_its_address_with_its_list(
    tmp_path: Path,
) -> None:
    """Killed after each delay; the next one gets the port, even with a connection in TIME_WAIT, and sends
    proxies the configured list while discovery is down."""
    one = configured_controller(tmp_path)
    for delay in 0.0, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3:
        one.start()
        time.sleep(delay)
        one.stop()
        with one, Proxy(one.port, 1) as proxy, Connection(one.port) as invalid:
            invalid.send_bytes(b"what?\n")
            wait_until(
                lambda: invalid.count_messages("pong") or invalid.is_closed,
                "malformed data was not refused",
            )
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"no table after a kill at {delay} s")
            assert_responsive(proxy)


JOINING = b'{"msg":"joined","sidecar":5,"az":"a","share":2.5,"standing":true}\n'
USAGE = b'{"msg":"usage","sidecar":5,"kind":"order","n":19,"bad":1,"window":1000.0,"x":"\xc3\xa4"}\n'
PING = b'{"msg":"ping"}\n'


def test_messages_cut_at_any_byte_are_decoded_as_if_complete() -> None:
    """`joined`, `usage` with a two-byte character and `ping`, in two pieces that are read separately."""
    data, one = JOINING + USAGE + PING, stage.Stage({})
    try:
        for cut in range(len(data) + 1):
            one.events_seen.clear()
            one.play("connect_at_once p")
            one.connections["p"].sendall(data[:cut])
            one.turn(network_stage.TURN_S)
            one.connections["p"].sendall(data[cut:])
            assert one.wait_until(lambda: one.next_message("p"), f"no pong, cut at {cut}") == {"msg": "pong"}
            one.wait_until(lambda: len(one.events_seen) == 2, f"cut at {cut}")
            assert one.events_seen == ["ProxyJoined 5 0 2.5 True", "ProxyLoadReported 5 1 19 1 1.0"], cut
            one.play("close p")
            one.play("expect_event ProxyLeft 5")
    finally:
        one.close()


SMALL_BUFFER_BYTES = 4096  # of the slow connection's sockets, about
TABLE_ENTRIES = 2000  # about 40 KB
PIECE_BYTES = 9999  # read at a time by the slow connection; no message ends there
MAX_PIECES = 2000  # until the rest counts as missing
MAX_ROUNDS = 100  # with such tables: far more than MAX_UNSENT_BYTES


def stage_with_large_table(stack: ExitStack) -> tuple[stage.Stage, socket.socket, socket.socket]:
    """Returns a stage with a large table and two joined proxies, of which the first has small buffers."""
    one = stage.Stage({})
    stack.callback(one.close)
    ends = [stack.enter_context(socket.socket()) for _ in range(2)]
    ends[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    for number, end in enumerate(ends):
        end.connect(one.listener.getsockname())
        end.setblocking(False)
        end.sendall(JOINING.replace(b"5", b"%d" % number, 1))
    one.settle()
    one.rounds.streams[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    for endpoint in range(TABLE_ENTRIES):
        one.codec.number_of(f"s-{endpoint:08x}")
        one.play(f"command set_weight 0 {endpoint} {endpoint % 90 + 1}")
    return one, *ends


def read_available(end: socket.socket, max_bytes: int) -> bytes:
    """Returns what can be read now; empty if nothing."""
    try:
        return end.recv(max_bytes)
    except BlockingIOError:
        return b""


def test_updates_read_in_pieces_arrive_complete_and_in_order() -> None:
    """More than the sockets buffer, read in pieces: the slow connection receives what the fast one does."""
    with ExitStack() as stack:
        one, slow, fast = stage_with_large_table(stack)
        read = {slow: b"", fast: b""}
        stream = one.rounds.streams[0]
        nonce = 0
        while len(stream.unsent) < MAX_UNSENT_BYTES // 2:
            nonce += 1
            assert nonce < MAX_ROUNDS
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {nonce} true",
            ):
                one.play(line)
            one.turn()
            read[fast] += read_available(fast, 1 << 22)
        for end in slow, fast:
            for _ in range(MAX_PIECES):
                if read[end].count(b"\n") == nonce:
                    break
                one.turn()
                read[end] += read_available(end, PIECE_BYTES)
        assert not stream.unsent and read[slow].count(b'"nonce_out":') == nonce
        assert read[slow] == read[fast]


def test_proxy_that_stops_reading_is_closed_and_others_get_all_updates() -> None:
    """It joins, and an hour later reads no more; the unsent bytes for it are bounded."""
    with ExitStack() as stack:
        one, _, other = stage_with_large_table(stack)
        one.now += 3600.0
        stream = one.rounds.streams[0]
        received = 0
        for nonce in range(MAX_ROUNDS):
            if 0 not in one.rounds.streams:
                break
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {nonce} true",
            ):
                one.play(line)
            one.turn()
            assert len(stream.unsent) <= MAX_UNSENT_BYTES
            received += read_available(other, 1 << 22).count(b"\n")
        one.settle()
        received += read_available(other, 1 << 22).count(b"\n")
        assert [*one.rounds.streams] == [1] and one.events_seen[-1] == "ProxyLeft 0" and received == nonce
        assert "left too much unread" in one.log_output.getvalue()


CONTROLLERS = 24
INITIAL_FRACTION = 0.2  # of an endpoint's capacity at its start
WARM_UP_S = 16.0  # until it has its full capacity
WARM_UP_SETTINGS = SETTINGS | {
    "balancers": CONTROLLERS,
    "rules": SETTINGS["rules"]
    | {"cold": WARM_UP_S * 1000, "coldShare": INITIAL_FRACTION, "tipMultiple": 4.0},
    "specifics": SETTINGS["specifics"] | {"admit": "fraction"},
}


def warm_fraction(started: float) -> float:
    """Returns the part of its capacity that an endpoint has now."""
    return min(1.0, INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * (time.time() - started) / WARM_UP_S)


@pytest.mark.parametrize("warm", [4, 0])
def test_many_controllers_do_not_overload_endpoints_that_warm_up(tmp_path: Path, warm: int) -> None:
    """All start at once. Beside warm endpoints one that warms up has at most its warm fraction of their
    median weight; where all warm up, the admitted share is at most 1.2 times that fraction."""
    started = time.time()
    nodes = [ListedEndpoint(f"w{number}") for number in range(warm)]
    nodes += [ListedEndpoint(f"c{number}", started_ms=started * 1000) for number in range(4)]
    with ExitStack() as stack:
        controllers = [
            ControllerProcess(tmp_path, f"n{number}", known=endpoint_list(nodes), settings=WARM_UP_SETTINGS)
            for number in range(CONTROLLERS)
        ]
        for one in controllers:
            stack.push(one)
            one.start()
        proxies = [
            stack.enter_context(Proxy(one.wait_until_ready().port, at)) for at, one in enumerate(controllers)
        ]
        for proxy in proxies:
            wait_until(
                lambda: proxy.usable_endpoints() and (warm or proxy.admitted_share < 1.0),
                f"controller {proxy.number} serves no proxy",
            )
        for proxy in proxies:
            assert proxy.weights.keys() <= {node.name for node in nodes}
            weights = {
                warmth: [w for node, w in proxy.weights.items() if node[0] == warmth] for warmth in "wc"
            }
            if warm:
                assert len(weights["w"]) == warm, "a warm endpoint is left out"
                assert all(
                    weight <= max(1.0, warm_fraction(started) * median(weights["w"]))
                    for weight in weights["c"]
                )
            else:
                assert len(weights["c"]) == 4 and 0.0 < proxy.admitted_share <= 1.2 * warm_fraction(started)
        assert_responsive(*proxies)


def connection_with(port: int, data: bytes, half_closed: bool = False) -> Connection:
    """Returns a connection on which data was sent."""
    end = Connection(port)
    end.send_bytes(data)
    if half_closed:
        end.sock.shutdown(socket.SHUT_WR)
    return end


def test_every_connection_is_answered_or_closed(tmp_path: Path) -> None:
    """Complete, incomplete, repeated and invalid messages, half of them while the process is stopped and its
    backlog fills: each connection is answered or closed, a proxy's stays, none outlives the process."""
    with ExitStack() as stack:
        one = stack.enter_context(configured_controller(tmp_path, max_descriptors=400))
        proxy = stack.enter_context(Proxy(one.port, 1))
        wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        valid, invalid = [], []
        for stopped in False, True:
            if stopped:
                one.send_signal(signal.SIGSTOP)
            for _ in range(12):
                valid += [
                    connection_with(one.port, PING),
                    connection_with(one.port, 3 * PING, half_closed=True),
                    connection_with(one.port, PING + PING[:5]),
                    connection_with(one.port, b'{"msg":"collector","az":"a"}\n' + PING),
                ]
                invalid += [
                    connection_with(one.port, b""),
                    connection_with(one.port, b"", half_closed=True),
                    connection_with(one.port, PING[:5]),
                    connection_with(one.port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
                    connection_with(one.port, b'{"msg":"joined","sidecar":99,"az":"a","share":1}\n'),
                ]
        one.send_signal(signal.SIGCONT)
        for end in valid + invalid:
            stack.enter_context(end)
        for end in valid:
            wait_until(lambda: end.count_messages("pong") or end.is_closed, "a ping was not answered")
        for end in invalid:
            wait_until(lambda: end.count_messages("pong") or end.is_closed, "an invalid connection is open")
            assert not end.messages
        assert sum(end.count_messages("pong") > 0 for end in valid) == len(valid), (
            "a complete ping was not answered"
        )
        assert_responsive(proxy)
        assert one.stop(signal.SIGTERM) == 0
        for end in [*valid, proxy]:
            wait_until(lambda: end.count_messages("") or end.is_closed, "a connection outlived its process")


def test_process_without_list_or_discovery_serves_once_there_is_one(tmp_path: Path) -> None:
    """Until there is a list proxies are sent nothing; then all of them get a table."""
    discovery = DiscoveryService(members())  # refuses all connections until it serves
    with ControllerProcess(tmp_path, discovery=discovery.address, known=None) as one, ExitStack() as stack:
        proxies = [stack.enter_context(Proxy(one.port, number)) for number in range(3)]
        assert_responsive(*proxies)
        time.sleep(0.6)  # longer than the first retry takes
        assert not any(proxy.usable_endpoints() or proxy.complete_tables for proxy in proxies)
        stack.enter_context(discovery)
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"proxy {proxy.number} has no table")
