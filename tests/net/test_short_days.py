"""Short days over loopback, most on real processes; each was seen to fail with what it forces taken out."""

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
    return [ListedEndpoint(name) for name in sorted(NAMES)]


def configured_controller(folder: Path, **settings: object) -> ControllerProcess:
    """Returns a controller with the usual endpoints configured; it starts when its context is entered."""
    return ControllerProcess(folder, known=endpoint_list(members()), **settings)


def pinged(*ends: Connection) -> None:
    """Each of them is still open, and gets an answer."""
    for end in ends:
        before = end.count_messages("pong")
        end.send("ping")
        wait_until(lambda: end.count_messages("pong") > before, "no pong on a stream in use")
        assert not end.is_closed


@pytest.mark.parametrize("order", ["drain, reload", "reload, drain", "reload, drain, reload"])
def test_drains_that_cross_a_reload_are_told_on_streams_that_stay(tmp_path: Path, order: str) -> None:
    """SIGHUP names another discovery service while nodes drain: both tell of n1, only the new one of n2."""
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
            wait_until(lambda: proxy.usable_endpoints() == NAMES - {"n1", "n2"}, "a drain was not told")
        new.change("n2", "SERVING")
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES - {"n1"}, "a node is back and not told")
        pinged(*proxies)
        assert [proxy.complete_tables for proxy in proxies] == [1, 1]


@pytest.mark.parametrize("piece_bytes", [READ_BYTES, 1])
def test_whole_lists_in_place_of_changes_tell_who_drains_goes_and_returns(
    tmp_path: Path, piece_bytes: int
) -> None:
    """Every answer is the whole list; also with each byte of discovery and proxy in a piece of its own."""
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
        calls, began = discovery.requests, time.monotonic()
        time.sleep(0.5)
        assert discovery.requests - calls <= 3 + (time.monotonic() - began), (
            "asked again and again with nothing new"
        )
        pinged(proxy)
        assert proxy.complete_tables == 1, "a list that repeats what stands is told anew"


def test_a_process_killed_just_after_its_start_starts_again_at_its_address_with_its_list(
    tmp_path: Path,
) -> None:
    """At each delay one is killed outright; the next has the port, though a connection that was closed there
    still lingers, is ready, and tells a proxy the list of the configuration while discovery is down."""
    one = configured_controller(tmp_path)
    for delay in 0.0, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3:
        one.start()
        time.sleep(delay)
        one.stop()
        with one, Proxy(one.port, 1) as proxy, Connection(one.port) as nobody:
            nobody.send_bytes(b"what?\n")
            wait_until(
                lambda: nobody.count_messages("pong") or nobody.is_closed,
                "malformed data was not refused",
            )
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"no table behind a kill after {delay} s")
            pinged(proxy)


JOINING = b'{"msg":"joined","sidecar":5,"az":"a","share":2.5,"standing":true}\n'
USAGE = b'{"msg":"usage","sidecar":5,"kind":"order","n":19,"bad":1,"window":1000.0,"x":"\xc3\xa4"}\n'
PING = b'{"msg":"ping"}\n'


def test_a_conversation_cut_at_any_byte_says_what_it_says_whole() -> None:
    """A joining, a sum with a letter of two bytes and a ping, in two pieces that are read one by one."""
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


NARROW = 4096  # bytes that either side's socket of the slow end holds, give or take
WIDE = 2000  # lines of a table that take up some 40 KB
PIECE = 9999  # bytes that the slow end reads at a time; no line ends with them
PIECES_MOST = 2000  # after which the rest counts as never coming
UNREAD_ROUNDS = 100  # of such tables: far beyond what is kept for who does not read


def wide_stage(stack: ExitStack) -> tuple[stage.Stage, socket.socket, socket.socket]:
    """A stage with a wide table and two joined proxies, of which the first takes in little unread."""
    one = stage.Stage({})
    stack.callback(one.close)
    ends = [stack.enter_context(socket.socket()) for _ in range(2)]
    ends[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW)
    for number, end in enumerate(ends):
        end.connect(one.listener.getsockname())
        end.setblocking(False)
        end.sendall(JOINING.replace(b"5", b"%d" % number, 1))
    one.settle()
    one.rounds.streams[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW)
    for node in range(WIDE):
        one.codec.number_of(f"s-{node:08x}")
        one.play(f"command set_weight 0 {node} {node % 90 + 1}")
    return one, *ends


def taken(end: socket.socket, most: int) -> bytes:
    try:
        return end.recv(most)
    except BlockingIOError:
        return b""


def test_orders_that_are_read_in_pieces_come_whole_and_in_order() -> None:
    """More than the sockets hold, read a little at a time: the slow end hears what the quick one does."""
    with ExitStack() as stack:
        one, slow, quick = wide_stage(stack)
        read = {slow: b"", quick: b""}
        stream = one.rounds.streams[0]
        mark = 0
        while len(stream.unsent) < MAX_UNSENT_BYTES // 2:
            mark += 1
            assert mark < UNREAD_ROUNDS
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {mark} true",
            ):
                one.play(line)
            one.turn()
            read[quick] += taken(quick, 1 << 22)
        for end in slow, quick:
            for _ in range(PIECES_MOST):
                if read[end].count(b"\n") == mark:
                    break
                one.turn()
                read[end] += taken(end, PIECE)
        assert not stream.unsent and read[slow].count(b'"nonce_out":') == mark
        assert read[slow] == read[quick]


def test_a_proxy_that_stops_reading_late_is_let_go_and_costs_the_others_nothing() -> None:
    """It joined and was told; then it reads no more and says nothing. What waits for it is bounded."""
    with ExitStack() as stack:
        one, _, other = wide_stage(stack)
        one.now += 3600.0
        stream, heard = one.rounds.streams[0], 0
        for mark in range(UNREAD_ROUNDS):
            if 0 not in one.rounds.streams:
                break
            for line in (
                "command assign_table 0 0 0",
                "command assign_table 0 1 0",
                f"command request_ack {mark} true",
            ):
                one.play(line)
            one.turn()
            assert len(stream.unsent) <= MAX_UNSENT_BYTES
            heard += taken(other, 1 << 22).count(b"\n")
        one.settle()
        heard += taken(other, 1 << 22).count(b"\n")
        assert [*one.rounds.streams] == [1] and one.events_seen[-1] == "ProxyLeft 0" and heard == mark
        assert "left too much unread" in one.log_output.getvalue()


DOZENS = 24
COLD_SHARE, WARM_AFTER = 0.2, 16.0  # of its capacity that a node has at its start; s until it has all of it
COLD_SETTINGS = SETTINGS | {
    "balancers": DOZENS,
    "rules": SETTINGS["rules"] | {"cold": WARM_AFTER * 1000, "coldShare": COLD_SHARE, "tipMultiple": 4.0},
    "specifics": SETTINGS["specifics"] | {"admit": "fraction"},
}


def stands(started: float) -> float:
    """The share of its capacity that a node surely has now."""
    return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * (time.time() - started) / WARM_AFTER)


@pytest.mark.parametrize("warm", [4, 0])
def test_a_few_dozen_processes_before_cold_nodes_all_serve_and_none_pushes_them_over(
    tmp_path: Path, warm: int
) -> None:
    """All start at once. Beside warm nodes a cold one has at most the part of a warm one's weight that it
    surely stands; where all are cold, as much is let in as they stand, and a fifth at most beyond it."""
    started = time.time()
    nodes = [ListedEndpoint(f"w{number}") for number in range(warm)]
    nodes += [ListedEndpoint(f"c{number}", started_ms=started * 1000) for number in range(4)]
    with ExitStack() as stack:
        all_of_them = [
            ControllerProcess(tmp_path, f"n{number}", known=endpoint_list(nodes), settings=COLD_SETTINGS)
            for number in range(DOZENS)
        ]
        for one in all_of_them:
            stack.push(one)
            one.start()
        proxies = [
            stack.enter_context(Proxy(one.wait_until_ready().port, at)) for at, one in enumerate(all_of_them)
        ]
        for proxy in proxies:
            wait_until(
                lambda: proxy.usable_endpoints() and (warm or proxy.admitted_share < 1.0),
                f"controller {proxy.number} serves nobody",
            )
        for proxy in proxies:
            assert proxy.weights.keys() <= {node.name for node in nodes}
            weights = {
                warmth: [w for node, w in proxy.weights.items() if node[0] == warmth] for warmth in "wc"
            }
            if warm:
                assert len(weights["w"]) == warm, "a warm node is left out"
                assert all(
                    weight <= max(1.0, stands(started) * median(weights["w"])) for weight in weights["c"]
                )
            else:
                assert len(weights["c"]) == 4 and 0.0 < proxy.admitted_share <= 1.2 * stands(started)
        pinged(*proxies)


def said_at_once(port: int, data: bytes, half_closed: bool = False) -> Connection:
    end = Connection(port)
    end.send_bytes(data)
    if half_closed:
        end.sock.shutdown(socket.SHUT_WR)
    return end


def test_whoever_asks_is_answered_or_its_connection_ended(tmp_path: Path) -> None:
    """Whole, cut, repeated and useless requests by the dozen, half of them while the process stands still and
    its backlog fills: none is left open without an answer, who is in use stays, none outlives the process."""
    with ExitStack() as stack:
        one = stack.enter_context(configured_controller(tmp_path, max_descriptors=400))
        proxy = stack.enter_context(Proxy(one.port, 1))
        wait_until(lambda: proxy.usable_endpoints() == NAMES, "no first table")
        asked, useless = [], []
        for stopped in False, True:
            if stopped:
                one.send_signal(signal.SIGSTOP)
            for _ in range(12):
                asked += [
                    said_at_once(one.port, PING),
                    said_at_once(one.port, 3 * PING, half_closed=True),
                    said_at_once(one.port, PING + PING[:5]),
                    said_at_once(one.port, b'{"msg":"collector","az":"a"}\n' + PING),
                ]
                useless += [
                    said_at_once(one.port, b""),
                    said_at_once(one.port, b"", half_closed=True),
                    said_at_once(one.port, PING[:5]),
                    said_at_once(one.port, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
                    said_at_once(one.port, b'{"msg":"joined","sidecar":99,"az":"a","share":1}\n'),
                ]
        one.send_signal(signal.SIGCONT)
        for end in asked + useless:
            stack.enter_context(end)
        for end in asked:
            wait_until(lambda: end.count_messages("pong") or end.is_closed, "a ping was left unanswered")
        for end in useless:
            wait_until(lambda: end.count_messages("pong") or end.is_closed, "a useless connection is open")
            assert not end.messages
        assert sum(end.count_messages("pong") > 0 for end in asked) == len(asked), (
            "a ping that came whole was not answered"
        )
        pinged(proxy)
        assert one.stop(signal.SIGTERM) == 0
        for end in [*asked, proxy]:
            wait_until(lambda: end.count_messages("") or end.is_closed, "a connection outlived its process")


def test_a_process_started_with_no_list_and_no_discovery_serves_once_there_is_one(tmp_path: Path) -> None:
    """While there is nothing to tell proxies keep what they hold; then all of them get a table."""
    discovery = DiscoveryService(members())  # refuses all connections until it serves
    with ControllerProcess(tmp_path, discovery=discovery.address, known=None) as one, ExitStack() as stack:
        proxies = [stack.enter_context(Proxy(one.port, number)) for number in range(3)]
        pinged(*proxies)
        time.sleep(0.6)  # beyond the first call that is made again
        assert not any(proxy.usable_endpoints() or proxy.complete_tables for proxy in proxies)
        stack.enter_context(discovery)
        for proxy in proxies:
            wait_until(lambda: proxy.usable_endpoints() == NAMES, f"proxy {proxy.number} is served by nobody")
