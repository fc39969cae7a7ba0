"""Short runs of complete systems over loopback, most of them with controller processes."""

import signal
import socket
import time
from contextlib import ExitStack
from pathlib import Path
from statistics import median

import network_harness
import pytest
import scenario_harness
from live.connections import READ_BYTES, Connection, Proxy
from live.discovery import DiscoveryService, ListedEndpoint, endpoint_list
from live.process import SETTINGS, ControllerProcess
from live.waiting import wait_until

from oatcart.net.stream import MAX_UNSENT_BYTES
from oatcart.scale.ports import free_ports

NAMES = {f"n{number}" for number in range(5)}


def members() -> list[ListedEndpoint]:
    """Returns the endpoints that most tests use."""
    return [ListedEndpoint(name) for name in sorted(NAMES)]


def configured_controller(folder: Path, **settings: object) -> ControllerProcess:
    """Returns a controller with these endpoints configured; it starts when its context is entered."""
    return ControllerProcess(folder, known=endpoint_list(members()), **settings)


def assert_responsive(*connections: Connection) -> None:
    """Expects each connection to be open and to answer a ping."""
    for connection in connections:
        before = connection.count_messages("pong")
        connection.send("ping")
        wait_until(lambda: connection.count_messages("pong") > before, "no pong on a stream in use")
        assert not connection.is_closed


@pytest.mark.parametrize("order", ["drain, reload", "reload, drain", "reload, drain, reload"])
def test_drains_during_a_reload_are_sent_on_open_streams(tmp_path: Path, order: str) -> None:
    """A reload changes the discovery service while endpoints drain: both report n1, only the new one n2."""
    with ExitStack() as stack:
        old, new = (stack.enter_context(DiscoveryService(members())) for _ in range(2))
        controller = stack.enter_context(configured_controller(tmp_path, discovery=old.address))
        proxies = [stack.enter_context(Proxy(controller.port, number)) for number in range(2)]
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        controller.discovery = new.address
        controller.write_configuration()
        new.change("n1", "DRAINING")
        for step in order.split(", "):
            if step == "reload":
                controller.send_signal(signal.SIGHUP)
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
        controller = stack.enter_context(configured_controller(tmp_path, discovery=discovery.address))
        proxy = stack.enter_context(Proxy(controller.port, 3, piece_bytes))
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
    """Killed after each delay, the process starts again at its port, even with a connection in TIME_WAIT, and
    sends proxies the configured list while discovery is down."""
    controller = configured_controller(tmp_path)
    for delay in 0.0, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3:
        controller.start()
        time.sleep(delay)
        controller.stop()
        with controller, Proxy(controller.port, 1) as proxy, Connection(controller.port) as invalid:
            invalid.send_bytes(b"what?\n")
            wait_until(
                lambda: invalid.count_messages("pong") or invalid.is_closed,
                "malformed data was not rejected",
            )
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"no table after a kill at {delay} s")
            assert_responsive(proxy)


JOINING = b'{"msg":"joined","sidecar":5,"az":"a","share":2.5,"standing":true}\n'
USAGE = b'{"msg":"usage","sidecar":5,"kind":"order","n":19,"bad":1,"window":1000.0,"x":"\xc3\xa4"}\n'
PING = b'{"msg":"ping"}\n'


def test_messages_cut_at_any_byte_are_decoded_as_if_complete() -> None:
    """`joined`, `usage` with a two-byte character and `ping`, in two pieces that are read separately."""
    data, harness = JOINING + USAGE + PING, scenario_harness.ScenarioHarness({})
    try:
        for cut in range(len(data) + 1):
            harness.events_seen.clear()
            harness.play("connect_at_once p")
            harness.connections["p"].sendall(data[:cut])
            harness.turn(network_harness.MAX_TURN_WAIT_S)
            harness.connections["p"].sendall(data[cut:])
            assert harness.wait_until(lambda: harness.next_message("p"), f"no pong, cut at {cut}") == {
                "msg": "pong"
            }
            harness.wait_until(lambda: len(harness.events_seen) == 2, f"cut at {cut}")
            assert harness.events_seen == ["ProxyJoined 5 0 2.5 True", "ProxyLoadReported 5 1 19 1 1.0"], cut
            harness.play("close p")
            harness.play("expect_event ProxyLeft 5")
    finally:
        harness.close()


SMALL_BUFFER_BYTES = 4096  # about the size of the slow connection's socket buffers
TABLE_ENTRIES = 2000  # about 40 KB
PIECE_BYTES = 9999  # read at once by the slow connection; no message ends there
MAX_PIECES = 2000  # read before the rest counts as missing
MAX_ROUNDS = 100  # with such tables: far more than MAX_UNSENT_BYTES


def harness_with_large_table(
    stack: ExitStack,
) -> tuple[scenario_harness.ScenarioHarness, socket.socket, socket.socket]:
    """Returns a harness with a large table and two joined proxies, of which the first has small buffers."""
    harness = scenario_harness.ScenarioHarness({})
    stack.callback(harness.close)
    connections = [stack.enter_context(socket.socket()) for _ in range(2)]
    connections[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    for number, connection in enumerate(connections):
        connection.connect(harness.listener.getsockname())
        connection.setblocking(False)
        connection.sendall(JOINING.replace(b"5", b"%d" % number, 1))
    harness.settle()
    harness.rounds.streams[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    for endpoint in range(TABLE_ENTRIES):
        harness.codec.number_of(f"s-{endpoint:08x}")
        harness.play(f"command set_weight 0 {endpoint} {endpoint % 90 + 1}")
    return harness, *connections


def read_available(connection: socket.socket, max_bytes: int) -> bytes:
    """Returns what can be read now; empty if nothing."""
    try:
        return connection.recv(max_bytes)
    except BlockingIOError:
        return b""


def test_updates_read_in_pieces_arrive_complete_and_in_order() -> None:
    """More than the sockets buffer, read in pieces: the slow connection gets the same as the fast one."""
    with ExitStack() as stack:
        harness, slow, fast = harness_with_large_table(stack)
        read = {slow: b"", fast: b""}
        stream = harness.rounds.streams[0]
        nonce = 0
        while len(stream.unsent) < MAX_UNSENT_BYTES // 2:
            nonce += 1
            assert nonce < MAX_ROUNDS
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {nonce} true",
            ):
                harness.play(line)
            harness.turn()
            read[fast] += read_available(fast, 1 << 22)
        for connection in slow, fast:
            for _ in range(MAX_PIECES):
                if read[connection].count(b"\n") == nonce:
                    break
                harness.turn()
                read[connection] += read_available(connection, PIECE_BYTES)
        assert not stream.unsent and read[slow].count(b'"nonce_out":') == nonce
        assert read[slow] == read[fast]


def test_proxy_that_stops_reading_is_closed_and_others_get_all_updates() -> None:
    """It stops reading an hour after it has joined; the unsent bytes for it are limited."""
    with ExitStack() as stack:
        harness, _, other = harness_with_large_table(stack)
        harness.now += 3600.0
        stream = harness.rounds.streams[0]
        received = 0
        for nonce in range(MAX_ROUNDS):
            if 0 not in harness.rounds.streams:
                break
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {nonce} true",
            ):
                harness.play(line)
            harness.turn()
            assert len(stream.unsent) <= MAX_UNSENT_BYTES
            received += read_available(other, 1 << 22).count(b"\n")
        harness.settle()
        received += read_available(other, 1 << 22).count(b"\n")
        assert (
            [*harness.rounds.streams] == [1]
            and harness.events_seen[-1] == "ProxyLeft 0"
            and received == nonce
        )
        assert "left too much unread" in harness.log_output.getvalue()


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
    """Returns the fraction of its capacity that an endpoint has now."""
    return min(1.0, INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * (time.time() - started) / WARM_UP_S)


@pytest.mark.parametrize("warm", [4, 0])
def test_many_controllers_do_not_overload_endpoints_that_warm_up(tmp_path: Path, warm: int) -> None:
    """All start at once. An endpoint that warms up has at most its warm fraction of the median weight of warm
    endpoints; if all warm up, the admitted share is at most 1.2 times that fraction."""
    started = time.time()
    endpoints = [ListedEndpoint(f"w{number}") for number in range(warm)]
    endpoints += [ListedEndpoint(f"c{number}", started_ms=started * 1000) for number in range(4)]
    with ExitStack() as stack:
        controllers = [
            ControllerProcess(
                tmp_path, f"n{number}", known=endpoint_list(endpoints), settings=WARM_UP_SETTINGS, port=port
            )
            # drawn at once: one drawn alone may be that of a controller that doesn't listen yet
            for number, port in enumerate(free_ports(CONTROLLERS))
        ]
        for controller in controllers:
            stack.push(controller)
            controller.start()
        proxies = [
            stack.enter_context(Proxy(controller.wait_until_ready().port, number))
            for number, controller in enumerate(controllers)
        ]
        for proxy in proxies:
            wait_until(
                lambda: proxy.usable_endpoints() and (warm or proxy.admitted_share < 1.0),
                f"controller {proxy.number} serves no proxy",
            )
        for proxy in proxies:
            assert proxy.weights.keys() <= {endpoint.name for endpoint in endpoints}
            weights = {
                warmth: [weight for endpoint, weight in proxy.weights.items() if endpoint[0] == warmth]
                for warmth in "wc"
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
    connection = Connection(port)
    connection.send_bytes(data)
    if half_closed:
        connection.sock.shutdown(socket.SHUT_WR)
    return connection


def test_every_connection_is_answered_or_closed(tmp_path: Path) -> None:
    """Complete, incomplete, repeated and invalid messages, half of them while the process is stopped and its
    backlog fills: each connection is answered or closed, a proxy's stays, none outlives the process."""
    with ExitStack() as stack:
        controller = stack.enter_context(configured_controller(tmp_path, max_descriptors=400))
        proxy = stack.enter_context(Proxy(controller.port, 1))
        wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        valid, invalid = [], []
        for stopped in False, True:
            if stopped:
                controller.send_signal(signal.SIGSTOP)
            for _ in range(12):
                valid += [
                    connection_with(controller.port, PING),
                    connection_with(controller.port, 3 * PING, half_closed=True),
                    connection_with(controller.port, PING + PING[:5]),
                    connection_with(controller.port, b'{"msg":"collector","az":"a"}\n' + PING),
                ]
                invalid += [
                    connection_with(controller.port, b""),
                    connection_with(controller.port, b"", half_closed=True),
                    connection_with(controller.port, PING[:5]),
                    connection_with(controller.port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
                    connection_with(controller.port, b'{"msg":"joined","sidecar":99,"az":"a","share":1}\n'),
                ]
        controller.send_signal(signal.SIGCONT)
        for connection in valid + invalid:
            stack.enter_context(connection)
        for connection in valid:
            wait_until(
                lambda: connection.count_messages("pong") or connection.is_closed, "a ping was not answered"
            )
        for connection in invalid:
            wait_until(
                lambda: connection.count_messages("pong") or connection.is_closed,
                "an invalid connection is open",
            )
            assert not connection.messages
        assert sum(connection.count_messages("pong") > 0 for connection in valid) == len(valid), (
            "a complete ping was not answered"
        )
        assert_responsive(proxy)
        assert controller.stop(signal.SIGTERM) == 0
        for connection in [*valid, proxy]:
            wait_until(
                lambda: connection.count_messages("") or connection.is_closed,
                "a connection outlived its process",
            )


def test_process_without_list_or_discovery_serves_once_there_is_one(tmp_path: Path) -> None:
    """Until there is a list, proxies are sent nothing; then all of them get a table."""
    discovery = DiscoveryService(members())  # refuses all connections until it serves
    with (
        ControllerProcess(tmp_path, discovery=discovery.address, known=None) as controller,
        ExitStack() as stack,
    ):
        proxies = [stack.enter_context(Proxy(controller.port, number)) for number in range(3)]
        assert_responsive(*proxies)
        time.sleep(0.6)  # longer than the first retry takes
        assert not any(proxy.usable_endpoints() or proxy.complete_tables for proxy in proxies)
        stack.enter_context(discovery)
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"proxy {proxy.number} has no table")
