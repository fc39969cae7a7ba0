"""The bytes of each message on sockets, in both directions and with all fields set, as they are today."""

from contextlib import suppress

import pytest
import scenario_harness as sockets

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
from oatcart.model import EndpointState, HealthCheckOutcome, LoadReport
from oatcart.net.codec import Codec
from oatcart.routing_tables import UpdatePart

LIST = (
    'known_list revision=41 complete=true members=[["s-1f","a","SERVING",0],["s-2e","a","SERVING",0],'
    '["s-3d","b","SERVING",0]]'
)


class Stage(sockets.ScenarioHarness):
    """The stage of the socket scenarios, which also keeps the events that the decisions get."""

    def __init__(self, settings):
        self.events = []
        super().__init__(settings)

    def decide(self, now, events, commands):
        """Keeps the events."""
        kept = list(events)
        self.events += kept
        super().decide(now, kept, commands)

    def events_after(self, send, data):
        """Sends bytes and returns the events that follow."""
        self.events = []
        send(data)
        self.wait_until(lambda: self.events, data)
        return self.events


@pytest.fixture
def stage():
    """A stage with three endpoints known."""
    one = Stage({})
    one.play(LIST)
    yield one
    one.close()


def sent_to(stage, end, size):
    """Returns the bytes that the controller sent to a connection, at least `size` of them."""
    found = bytearray()

    def read():
        with suppress(BlockingIOError):
            found.extend(stage.connections[end].recv(65536))
        return len(found) >= size

    stage.wait_until(read, f"{size} bytes to {end}, {bytes(found)}")
    stage.settle()
    read()
    return bytes(found)


def request_head(stage, command):
    """Returns the bytes of the request that a command makes at discovery or at an endpoint."""
    stage.play(f"command {command}")
    found = bytearray()

    def read():
        if not stage.requests:
            try:
                stage.requests.append(stage.discovery_server.accept()[0])
                stage.requests[0].setblocking(False)
            except BlockingIOError:
                return False
        with suppress(BlockingIOError):
            found.extend(stage.requests[0].recv(65536))
        return found.endswith(b"\r\n\r\n")

    stage.wait_until(read, command)
    return bytes(found)


def answer(stage, head, body):
    """Answers the open call."""
    stage.requests[0].sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def join(stage, end, standing):
    stage.play(f"connect {end}")
    stage.connections[end].sendall(
        b'{"msg":"joined","sidecar":5,"az":"b","share":6.5,"standing":%s}\n' % standing
    )
    stage.settle()


def test_an_update_has_all_its_fields_in_this_order():
    codec = Codec(["lookup", "order"], ["a", "b"], 64)
    numbers = [codec.number_of(name) for name in ("s-1f", "s-2e", "s-3d")]
    part = UpdatePart(
        classes=(0, 1),
        complete=True,
        weights=((numbers[0], 20.5), (numbers[1], 0)),
        quota=0.25,
        retry_policy=3,
        ejected=(numbers[1],),
        restored=(numbers[2], numbers[0]),
        nonce=65535,
    )
    assert codec.encode_update((part, part._replace(nonce=None), UpdatePart())) == (
        b'{"msg":"update","routes":["lookup","order"],"full":true,"endpoints":[["s-1f",20.5],["s-2e",0]],'
        b'"admit":0.25,"policy":3,"eject":["s-2e"],"restore":["s-3d","s-1f"],"nonce_out":65535,'
        b'"continued":true}\n'
        b'{"msg":"update","routes":["lookup","order"],"full":true,"endpoints":[["s-1f",20.5],["s-2e",0]],'
        b'"admit":0.25,"policy":3,"eject":["s-2e"],"restore":["s-3d","s-1f"],"continued":true}\n'
        b'{"msg":"update"}\n'
    )


def test_updates_on_a_stream_are_these_bytes(stage):
    """A proxy that was configured before gets two tables, then changes of each kind."""
    join(stage, "p", b"false")
    for command in (
        "set_weight 0 0 20.5",
        "set_weight 0 1 30",
        "set_weight 1 2 100",
        "set_ejected 1 true",
        "set_admission 0 1 0.25 3",
        "set_admission 1 2 1000000.0 1",
        "assign_table 0 5 1",
        "assign_table 1 5 2",
        "request_ack 65535 false",
    ):
        stage.play(f"command {command}")
    expected = (
        b'{"msg":"update","routes":["lookup"],"full":true,"endpoints":[["s-1f",20.5],["s-2e",30]],'
        b'"eject":["s-2e"],"restore":["s-1f","s-3d"],"continued":true}\n'
        b'{"msg":"update","routes":["lookup"],"admit":0.25,"policy":3,"continued":true}\n'
        b'{"msg":"update","routes":["order"],"full":true,"endpoints":[["s-3d",100]],"continued":true}\n'
        b'{"msg":"update","routes":["order"],"admit":1000000.0,"policy":1,"nonce_out":65535}\n'
    )
    assert sent_to(stage, "p", len(expected)) == expected
    for command in (
        "set_weight 0 0 0",
        "set_ejected 1 false",
        "set_ejected 2 true",
        "set_admission 65535 3 0.125 0",
        "request_ack 0 true",
    ):
        stage.play(f"command {command}")
    expected = (
        b'{"msg":"update","routes":["lookup"],"endpoints":[["s-1f",0]],"eject":["s-3d"],"restore":["s-2e"],'
        b'"continued":true}\n'
        b'{"msg":"update","routes":["lookup"],"admit":0.125,"policy":3,"continued":true}\n'
        b'{"msg":"update","routes":["order"],"admit":0.125,"policy":1,"nonce_out":0}\n'
    )
    assert sent_to(stage, "p", len(expected)) == expected


def test_a_ping_is_answered_with_these_bytes(stage):
    join(stage, "p", b"true")
    stage.connections["p"].sendall(b'{"msg":"ping"}\n')
    assert sent_to(stage, "p", 15) == b'{"msg":"pong"}\n'


def test_a_watch_is_requested_with_these_bytes(stage):
    """First without a wait, then with the time that news may take."""
    host = "{}:{}".format(*stage.discovery_server.getsockname()).encode()
    head = b"GET /v1/servers?since=41&timeout_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
    assert request_head(stage, "watch_endpoints true") == head % (0, host)
    answer(stage, b"HTTP/1.1 200 OK\r\n", b'{"revision":41,"complete":false,"members":[]}')
    assert request_head(stage, "log x") == head % (5000, host)


def test_the_complete_list_is_requested_with_these_bytes(stage):
    host = "{}:{}".format(*stage.discovery_server.getsockname()).encode()
    assert request_head(stage, "fetch_endpoints") == b"GET /v1/servers HTTP/1.1\r\nHost: %s\r\n\r\n" % host


@pytest.mark.parametrize(("reports", "path"), [(1, b"/load"), (0, b"/healthz")])
def test_a_health_check_is_requested_with_these_bytes(reports, path):
    one = Stage({"load_reports": reports})
    try:
        one.play(LIST)
        host = "{}:{}".format(*one.discovery_server.getsockname()).encode()
        assert request_head(one, "check_health 1") == b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, host)
    finally:
        one.close()


def test_the_messages_of_a_proxy_are_received_with_all_fields(stage):
    stage.play("connect p")
    send = stage.connections["p"].sendall
    joined = b'{"msg":"joined","sidecar":5,"az":"b","share":6.5,"standing":true}\n'
    assert stage.events_after(send, joined) == [ProxyJoined(5, 1, 6.5, True)]
    stage.play("command request_ack 700 true")
    assert sent_to(stage, "p", 1) == b'{"msg":"update","nonce_out":700}\n'
    applied = b'{"msg":"applied","sidecar":5,"version":700,"lag_ms":250.5}\n'
    assert stage.events_after(send, applied) == [UpdateAcknowledged(5, 700, 0.2505)]
    usage = b'{"msg":"usage","sidecar":5,"kind":"order","n":40,"bad":3,"window":1500}\n'
    assert stage.events_after(send, usage) == [ProxyLoadReported(5, 1, 40, 3, 1.5)]
    stage.events = []
    stage.play("close p")
    stage.wait_until(lambda: stage.events, "the end of the stream")
    assert stage.events == [ProxyLeft(5)]


@pytest.mark.parametrize(
    "report",
    [b'{"concurrent":7,"load_share":0.5,"depth":2}', b'{"inflight":7,"util":0.5,"queue":2,"lag":9}'],
    ids=["names of the settings", "names of the protocol"],
)
def test_the_messages_of_a_collector_are_received_with_all_fields(stage, report):
    stage.play("connect c")
    send = stage.connections["c"].sendall
    send(b'{"msg":"collector","az":"b"}\n')
    heard = b'{"msg":"heard","host":"s-3d","az":"b","window":2000.0,"avg":125,"bad":4,"n":20,"report":%s}\n'
    load = LoadReport(in_flight=7, utilization=0.5, queued=2)
    assert stage.events_after(send, heard % report) == [EndpointLoadReported(2, 1, 2.0, 0.125, 4, 20, load)]
    usage = b'{"msg":"usage","sidecar":63,"kind":"lookup","n":4,"bad":0,"window":1000}\n'
    assert stage.events_after(send, usage) == [ProxyLoadReported(63, 0, 4, 0, 1.0)]
    send(b'{"msg":"ping"}\n')
    assert sent_to(stage, "c", 15) == b'{"msg":"pong"}\n'


def test_a_list_of_endpoints_is_received_with_all_fields(stage):
    """An endpoint in each state; of the last only the fields that may not be missing."""
    request_head(stage, "watch_endpoints true")
    members = (
        b'{"id":"s-1f","host_port":"127.0.0.1:7001","locality":"a","phase":"DRAINING","size":2.5,'
        b'"up_since_ms":0},'
        b'{"id":"s-4c","host_port":"127.0.0.1:7004","locality":"b","phase":"SERVING","size":0.5,'
        b'"up_since_ms":1764720000250.5},'
        b'{"id":"s-2e","locality":"b","phase":"DELETED"}'
    )
    entries = [
        EndpointEntry(0, 0, 0.0, EndpointState.DRAINING, 2.5),
        EndpointEntry(3, 1, 1764720000.2505, EndpointState.READY, 0.5),
        EndpointEntry(1, 1, 0.0, EndpointState.GONE, 1.0),
    ]
    for complete in (b"false", b"true"):
        body = b'{"revision":%d,"complete":%s,"members":[%s]}' % (
            42 + (complete == b"true"),
            complete,
            members,
        )
        found = stage.events_after(lambda data: answer(stage, b"HTTP/1.1 200 OK\r\n", data), body)
        assert found == [EndpointListReceived(complete == b"true", entries)]
        stage.settle()
    found = stage.events_after(lambda data: answer(stage, b"HTTP/1.1 503 Service Unavailable\r\n", data), b"")
    assert found == [EndpointListFailed()]


@pytest.mark.parametrize(
    ("head", "body", "outcome", "load"),
    [
        (
            b"200 OK",
            b'{"inflight":3,"util":0.25,"queue":1}',
            HealthCheckOutcome.PASSED,
            LoadReport(3, 0.25, 1),
        ),
        (b"503 X", b"", HealthCheckOutcome.FAILED, LoadReport(None, None, None)),
    ],
)
def test_a_health_check_is_received_with_all_fields(stage, head, body, outcome, load):
    request_head(stage, "check_health 1")
    found = stage.events_after(lambda data: answer(stage, b"HTTP/1.1 %s\r\n" % head, data), body)
    assert found == [HealthCheckCompleted(1, outcome, 0.0, load)]
