"""The endpoint list: watched and fetched from discovery as the decisions command."""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.events import EndpointListFailed, EndpointListReceived
from oatcart.model import DiscoveryCall
from oatcart.net.codec import ENDPOINT_LIST_PATH, Codec, EndpointList, parse_object, watch_path
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.net.stream import Address

# Of a request that is answered at once. A busy discovery service needs 2 s; the protocol assumes that the
# controller knows all changes 6 s after its last request.
CALL_TIMEOUT_S = 4.0
WATCH_TIMEOUT_S = 2.0  # in addition to the wait that a watch requests
# A watch without changes is answered at the end of its wait. One answered within this fraction of the wait
# has failed: repeated at once it would be answered so again, as fast as the network allows.
EARLY_ANSWER_FRACTION = 0.5


class EndpointListWatcher:
    """Gets the endpoint list from discovery and keeps its revision and the endpoints' addresses.

    `wait`: seconds that a watch asks discovery to wait for changes. The decisions command a watch or a fetch,
    and decide what follows a failure: nothing is retried here.
    """

    def __init__(
        self,
        loop: Loop,
        codec: Codec,
        log: Log,
        discovery: Address,
        wait: float,
        add_event: Callable[[EndpointListReceived | EndpointListFailed], None],
    ) -> None:
        self.loop, self.codec, self.log, self.discovery = loop, codec, log, discovery
        self.wait, self.add_event = wait, add_event
        self.revision = 0
        # Discovery has moved or restarted: revisions received so far are not valid there.
        self.must_start_over = False
        self.watch_enabled = False  # also after a watch has failed, until the decisions command another
        self.addresses: dict[int, Address] = {}  # by endpoint
        self.watch_task: Task | None = None
        self.fetch_task: Task | None = None

    def set_discovery(self, discovery: Address) -> None:
        """Send requests to another address from now on.

        Open requests to the old one are cancelled, and a watch is opened again. Streams, tables and the list
        do not change.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.must_start_over = discovery, True
        if self.fetch_task is not None:
            self.loop.cancel(self.fetch_task)
            self.fetch_task = None
        if self.watch_enabled:
            self.set_watch(True)

    def forget(self, endpoint: int) -> None:
        """Drop the address of an endpoint."""
        self.addresses.pop(endpoint, None)

    def receive(self, received: EndpointList, since: float = 0) -> None:
        """Process a list, or the changes since a revision.

        One that is older than the known revision arrived late and brings no changes. One that is older than
        `since` shows that discovery has restarted, and is accepted.
        """
        for problem in received.invalid_entries:
            self.log.write("invalid", problem)
        if received.revision >= self.revision or received.revision < since:
            self.revision = received.revision
            self.addresses |= received.addresses
            self.add_event(EndpointListReceived(received.complete, received.entries))
        else:
            self.add_event(EndpointListReceived(False, []))

    def set_watch(self, enabled: bool) -> None:
        """Open a watch on the list, in place of an open one, or close it."""
        self.watch_enabled = enabled
        if self.watch_task is not None:
            self.loop.cancel(self.watch_task)
            self.watch_task = None
        if enabled:
            task = self.loop.spawn(self._watch())
            self.watch_task = None if task.done else task  # it may fail before its first wait

    def fetch(self) -> None:
        """Fetch the complete list, unless a fetch is already open."""
        if self.fetch_task is None:
            task = self.loop.spawn(self._fetch())
            self.fetch_task = None if task.done else task

    def _watch(self) -> Generator[Wait, bool, None]:
        """Watch until a request fails. The first is answered at once, later ones when there are changes."""
        client, wait = HttpClient(self.loop, self.discovery), 0.0
        try:
            while True:
                yield from self._watch_once(client, wait)
                wait = self.wait
        except ConnectionClosedError as error:
            self.watch_task = None
            self._report_failure(DiscoveryCall.WATCH, error)
        finally:
            client.close()

    def _watch_once(self, client: HttpClient, wait: float) -> Generator[Wait, bool, None]:
        """Request changes since the known revision, or the complete list if discovery has moved or restarted.

        Changes up to an older revision show that discovery has restarted. They don't tell which endpoints are
        gone, so the next request is for the complete list.
        """
        started_at, since = self.loop.now, self.revision
        path = ENDPOINT_LIST_PATH if self.must_start_over else watch_path(since, wait)
        since = inf if self.must_start_over else since
        deadline = started_at + (wait + WATCH_TIMEOUT_S if wait else CALL_TIMEOUT_S)
        received = self.codec.decode_endpoint_list(parse_object((yield from client.get(path, deadline))))
        self.must_start_over = received.revision < since < inf and not received.complete
        if self.must_start_over:
            detail = f"changes up to revision {received.revision} since {since}"
            raise ConnectionClosedError(CloseReason.MALFORMED, detail)
        if received.revision == since and self.loop.now - started_at < EARLY_ANSWER_FRACTION * wait:
            raise ConnectionClosedError(CloseReason.MALFORMED, "no changes, before the end of the wait")
        if not wait or received.complete or received.entries:
            self.receive(received, since)
        self.revision = max(self.revision, received.revision)

    def _fetch(self) -> Generator[Wait, bool, None]:
        client, deadline = HttpClient(self.loop, self.discovery), self.loop.now + CALL_TIMEOUT_S
        try:
            body = yield from client.get(ENDPOINT_LIST_PATH, deadline)
            self.receive(self.codec.decode_endpoint_list(parse_object(body)))
        except ConnectionClosedError as error:
            self._report_failure(DiscoveryCall.FETCH, error)
        finally:
            self.fetch_task = None
            client.close()

    def _report_failure(self, call: DiscoveryCall, error: ConnectionClosedError) -> None:
        host, port = self.discovery
        self.log.write("discovery", f"the {call.name.lower()} ended: {error}; discovery is at {host}:{port}")
        self.add_event(EndpointListFailed(call))
