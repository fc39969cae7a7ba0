"""The exact bytes of each message on sockets, in both directions and with all fields set."""

from contextlib import suppress

import pytest
import scenario_harness as scenarios

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
from oatcart.model import DiscoveryCall, EndpointState, HealthCheckOutcome, LoadReport
from oatcart.net.codec import Codec
from oatcart.routing_tables import UpdatePart

KNOWN_LIST = (
    'known_list revision=41 complete=true members=[["s-1f","a","SERVING",0],["s-2e","a","SERVING",0],'
    '["s-3d","b","SERVING",0]]'
)


class RecordingHarness(scenarios.ScenarioHarness):
    """The harness of the socket scenarios, which also records the events passed to the decisions."""

    def __init__(self, settings):
        self.events = []
        super().__init__(settings)

    def decide(self, now, events, commands):
        """Records the events, then runs the scripted decisions."""
        recorded = list(events)
        self.events += recorded
        super().decide(now, recorded, commands)

    def events_after(self, send, data):
        """Sends bytes and returns the events that follow."""
        self.events = []
        send(data)
        self.wait_until(lambda: self.events, data)
        return self.events


@pytest.fixture
def harness():
    """Yields a harness whose endpoint list has three endpoints."""
    new_harness = RecordingHarness({})
    new_harness.play(KNOWN_LIST)
    yield new_harness
    new_harness.close()


def sent_to(harness, connection, size):
    """Returns the bytes that the controller sent to a connection, at least `size` of them."""
    found = bytearray()

    def read():
        with suppress(BlockingIOError):
            found.extend(harness.connections[connection].recv(65536))
        return len(found) >= size

    harness.wait_until(read, f"{size} bytes to {connection}, {bytes(found)}")
    harness.settle()
    read()
    return bytes(found)


def request_head(harness, command):
    """Plays a command and returns the bytes of the HTTP request to discovery or an endpoint that follows."""
    harness.play(f"command {command}")
    found = bytearray()

    def read():
        if not harness.requests:
            try:
                harness.requests.append(harness.discovery_server.accept()[0])
                harness.requests[0].setblocking(False)
            except BlockingIOError:
                return False
        with suppress(BlockingIOError):
            found.extend(harness.requests[0].recv(65536))
        return found.endswith(b"\r\n\r\n")

    harness.wait_until(read, command)
    return bytes(found)


def respond(harness, head, body):
    """Sends a response to the open request."""
    harness.requests[0].sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def join(harness, connection, unconfigured):
    harness.play(f"connect {connection}")
    harness.connections[connection].sendall(
        b'{"msg":"joined","sidecar":5,"az":"b","share":6.5,"standing":%s}\n' % unconfigured
    )
    harness.settle()


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


def test_updates_on_a_stream_are_these_bytes(harness):
    """A proxy that was configured before gets two routing tables, then a change of each field."""
    join(harness, "p", b"false")
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
        harness.play(f"command {command}")
    expected = (
        b'{"msg":"update","routes":["lookup"],"full":true,"endpoints":[["s-1f",20.5],["s-2e",30]],'
        b'"eject":["s-2e"],"restore":["s-1f","s-3d"],"continued":true}\n'
        b'{"msg":"update","routes":["lookup"],"admit":0.25,"policy":3,"continued":true}\n'
        b'{"msg":"update","routes":["order"],"full":true,"endpoints":[["s-3d",100]],"continued":true}\n'
        b'{"msg":"update","routes":["order"],"admit":1000000.0,"policy":1,"nonce_out":65535}\n'
    )
    assert sent_to(harness, "p", len(expected)) == expected
    for command in (
        "set_weight 0 0 0",
        "set_ejected 1 false",
        "set_ejected 2 true",
        "set_admission 65535 3 0.125 0",
        "request_ack 0 true",
    ):
        harness.play(f"command {command}")
    expected = (
        b'{"msg":"update","routes":["lookup"],"endpoints":[["s-1f",0]],"eject":["s-3d"],"restore":["s-2e"],'
        b'"continued":true}\n'
        b'{"msg":"update","routes":["lookup"],"admit":0.125,"policy":3,"continued":true}\n'
        b'{"msg":"update","routes":["order"],"admit":0.125,"policy":1,"nonce_out":0}\n'
    )
    assert sent_to(harness, "p", len(expected)) == expected


def test_a_ping_is_answered_with_these_bytes(harness):
    join(harness, "p", b"true")
    harness.connections["p"].sendall(b'{"msg":"ping"}\n')
    assert sent_to(harness, "p", 15) == b'{"msg":"pong"}\n'


def test_a_watch_is_requested_with_these_bytes(harness):
    """The first watch does not wait for changes; the next one waits at most the configured time."""
    host = "{}:{}".format(*harness.discovery_server.getsockname()).encode()
    head = b"GET /v1/servers?since=41&timeout_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n"
    assert request_head(harness, "watch_endpoints true") == head % (0, host)
    respond(harness, b"HTTP/1.1 200 OK\r\n", b'{"revision":41,"complete":false,"members":[]}')
    assert request_head(harness, "log x") == head % (5000, host)


def test_the_complete_list_is_requested_with_these_bytes(harness):
    host = "{}:{}".format(*harness.discovery_server.getsockname()).encode()
    assert request_head(harness, "fetch_endpoints") == b"GET /v1/servers HTTP/1.1\r\nHost: %s\r\n\r\n" % host


@pytest.mark.parametrize(("reports", "path"), [(1, b"/load"), (0, b"/healthz")])
def test_a_health_check_is_requested_with_these_bytes(reports, path):
    new_harness = RecordingHarness({"load_reports": reports})
    try:
        new_harness.play(KNOWN_LIST)
        host = "{}:{}".format(*new_harness.discovery_server.getsockname()).encode()
        assert request_head(new_harness, "check_health 1") == b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (
            path,
            host,
        )
    finally:
        new_harness.close()


def test_the_messages_of_a_proxy_are_received_with_all_fields(harness):
    harness.play("connect p")
    send = harness.connections["p"].sendall
    joined = b'{"msg":"joined","sidecar":5,"az":"b","share":6.5,"standing":true}\n'
    assert harness.events_after(send, joined) == [ProxyJoined(5, 1, 6.5, True)]
    harness.play("command request_ack 700 true")
    assert sent_to(harness, "p", 1) == b'{"msg":"update","nonce_out":700}\n'
    applied = b'{"msg":"applied","sidecar":5,"version":700,"lag_ms":250.5}\n'
    assert harness.events_after(send, applied) == [UpdateAcknowledged(5, 700, 0.2505)]
    usage = b'{"msg":"usage","sidecar":5,"kind":"order","n":40,"bad":3,"window":1500}\n'
    assert harness.events_after(send, usage) == [ProxyLoadReported(5, 1, 40, 3, 1.5)]
    harness.events = []
    harness.play("close p")
    harness.wait_until(lambda: harness.events, "the end of the stream")
    assert harness.events == [ProxyLeft(5)]


@pytest.mark.parametrize(
    "report",
    [b'{"concurrent":7,"load_share":0.5,"depth":2}', b'{"inflight":7,"util":0.5,"queue":2,"lag":9}'],
    ids=["names of the settings", "names of the protocol"],
)
def test_the_messages_of_a_collector_are_received_with_all_fields(harness, report):
    harness.play("connect c")
    send = harness.connections["c"].sendall
    send(b'{"msg":"collector","az":"b"}\n')
    heard = b'{"msg":"heard","host":"s-3d","az":"b","window":2000.0,"avg":125,"bad":4,"n":20,"report":%s}\n'
    load = LoadReport(in_flight=7, utilization=0.5, queued=2)
    assert harness.events_after(send, heard % report) == [EndpointLoadReported(2, 1, 2.0, 0.125, 4, 20, load)]
    usage = b'{"msg":"usage","sidecar":63,"kind":"lookup","n":4,"bad":0,"window":1000}\n'
    assert harness.events_after(send, usage) == [ProxyLoadReported(63, 0, 4, 0, 1.0)]
    send(b'{"msg":"ping"}\n')
    assert sent_to(harness, "c", 15) == b'{"msg":"pong"}\n'


def test_a_list_of_endpoints_is_received_with_all_fields(harness):
    """The list has an endpoint in each state; the last one has only the required fields."""
    request_head(harness, "watch_endpoints true")
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
        found = harness.events_after(lambda data: respond(harness, b"HTTP/1.1 200 OK\r\n", data), body)
        assert found == [EndpointListReceived(complete == b"true", entries)]
        harness.settle()
    found = harness.events_after(
        lambda data: respond(harness, b"HTTP/1.1 503 Service Unavailable\r\n", data), b""
    )
    assert found == [EndpointListFailed(DiscoveryCall.WATCH)]


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
def test_a_health_check_is_received_with_all_fields(harness, head, body, outcome, load):
    request_head(harness, "check_health 1")
    found = harness.events_after(lambda data: respond(harness, b"HTTP/1.1 %s\r\n" % head, data), body)
    assert found == [HealthCheckCompleted(1, outcome, 0.0, load)]
