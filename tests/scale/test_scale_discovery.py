"""The stand-in discovery: lists, watches, revisions, outages, counters."""

import socket
import time
from contextlib import closing

import orjson
import pytest

from oatcart.scale.children import ChildError
from oatcart.scale.discovery import LOOPBACK, AcknowledgedRevision, Discovery, EndpointList
from oatcart.scale.trial import first_acknowledged_at

ENDPOINT = {"id": "node-1", "host_port": "10.0.0.1:8080", "locality": "a", "phase": "SERVING"}
OTHER = ENDPOINT | {"id": "node-2"}
LONG_WAIT_MS = 20_000


def read(answer: bytes) -> dict:
    return orjson.loads(answer)


def ids(answer: bytes) -> list[str]:
    return [entry["id"] for entry in read(answer)["members"]]


def test_a_complete_list_has_all_endpoints_and_changes_have_the_last_state() -> None:
    endpoints = EndpointList()
    endpoints.change([ENDPOINT, OTHER])
    endpoints.change([ENDPOINT | {"phase": "DRAINING"}])
    endpoints.change([ENDPOINT | {"phase": "DELETED"}])
    assert read(endpoints.complete_list()) == {"revision": 3, "complete": True, "members": [OTHER]}
    assert read(endpoints.changes_since(1)) == {
        "revision": 3,
        "complete": False,
        "members": [ENDPOINT | {"phase": "DELETED"}],
    }
    assert read(endpoints.changes_since(3)) == {"revision": 3, "complete": False, "members": []}
    assert endpoints.changes_since(0) == endpoints.complete_list()


def test_an_endpoint_that_returns_is_listed_again() -> None:
    endpoints = EndpointList()
    endpoints.change([ENDPOINT])
    endpoints.change([ENDPOINT | {"phase": "DELETED"}])
    endpoints.change([ENDPOINT])
    assert ids(endpoints.complete_list()) == ["node-1"]


class Client:
    """A client with one persistent connection."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOOPBACK, port), 5.0)
        self.file = self.socket.makefile("rb")

    def send(self, target: str) -> None:
        self.socket.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def answer(self) -> dict:
        status = self.file.readline()
        if not status:
            raise ConnectionResetError
        length = 0
        while (line := self.file.readline().strip()) != b"":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = self.file.read(length)
        return orjson.loads(body) if b" 200 " in status else {"status": int(status.split()[1])}

    def call(self, target: str) -> dict:
        self.send(target)
        return self.answer()

    def close(self) -> None:
        self.file.close()
        self.socket.close()


@pytest.fixture
def discovery():
    with Discovery() as running:
        running.change([ENDPOINT, OTHER])
        yield running


def test_a_watch_is_answered_by_the_next_change_and_its_delay_is_measured(discovery: Discovery) -> None:
    port = discovery.open(["one"])["one"]
    with closing(Client(port)) as client:
        assert len(client.call("/v1/servers?since=0&timeout_ms=0")["members"]) == 2
        client.send(f"/v1/servers?since=1&timeout_ms={LONG_WAIT_MS}")
        began = time.monotonic()
        discovery.change([ENDPOINT | {"phase": "DRAINING"}])
        answer = client.answer()
        assert answer["revision"] == 2 and answer["members"] == [ENDPOINT | {"phase": "DRAINING"}]
        client.send(f"/v1/servers?since=2&timeout_ms={LONG_WAIT_MS}")
        while (at := first_acknowledged_at(discovery.acknowledged_revisions()["one"], 2)) is None:
            time.sleep(0.01)
        assert 0 < at - began < 5.0
        assert first_acknowledged_at(discovery.acknowledged_revisions()["one"], 3) is None


def test_a_watch_is_answered_empty_at_its_timeout(discovery: Discovery) -> None:
    with closing(Client(discovery.open(["one"])["one"])) as client:
        began = time.monotonic()
        assert client.call("/v1/servers?since=1&timeout_ms=120") == {
            "revision": 1,
            "complete": False,
            "members": [],
        }
        assert time.monotonic() - began >= 0.1


def test_an_unknown_path_is_not_found(discovery: Discovery) -> None:
    with closing(Client(discovery.open(["one"])["one"])) as client:
        assert client.call("/healthz") == {"status": 404}


def test_each_client_is_counted_separately(discovery: Discovery) -> None:
    ports = discovery.open(["one", "two"])
    with closing(Client(ports["one"])) as client:
        answer = client.call("/v1/servers")
        client.call("/v1/servers")
    clients = discovery.figures().clients
    assert clients["two"] == (0, 0, 0, 0)
    assert clients["one"].messages_in == clients["one"].messages_out == 2
    assert clients["one"].bytes_in > 2 * len(orjson.dumps(answer))


def test_lists_are_separate(discovery: Discovery) -> None:
    discovery.change([OTHER], "service-2")
    with closing(Client(discovery.open(["two"], "service-2")["two"])) as client:
        assert [entry["id"] for entry in client.call("/v1/servers")["members"]] == ["node-2"]


def test_an_outage_resets_existing_and_new_connections_until_it_ends(discovery: Discovery) -> None:
    port = discovery.open(["one"])["one"]
    with closing(Client(port)) as client:
        client.call("/v1/servers")
        discovery.outage(True)
        with pytest.raises(ConnectionError):
            client.call("/v1/servers")
    with closing(Client(port)) as client, pytest.raises(ConnectionError):
        client.call("/v1/servers")
    discovery.outage(False)
    with closing(Client(port)) as client:
        assert client.call("/v1/servers")["revision"] == 1


def test_an_unknown_command_is_an_error_and_the_process_continues(discovery: Discovery) -> None:
    with pytest.raises(ChildError, match="KeyError"):
        discovery.ask("nothing")
    assert discovery.figures().usage.core_s > 0


def test_a_process_that_died_is_an_error() -> None:
    with Discovery() as discovery:
        discovery.process.kill()
        discovery.process.wait()
        with pytest.raises(ChildError, match="has ended"):
            discovery.figures()


def test_a_revision_is_acknowledged_by_the_first_that_is_as_new() -> None:
    held = [AcknowledgedRevision(1.1, 1, 0), AcknowledgedRevision(2.5, 3, 0), AcknowledgedRevision(3.5, 4, 0)]
    assert [first_acknowledged_at(held, revision) for revision in (1, 2, 3, 4)] == [1.1, 2.5, 2.5, 3.5]
    assert first_acknowledged_at(held, 5) is None and first_acknowledged_at([], 1) is None
