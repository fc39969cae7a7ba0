"""Watches the endpoint list at discovery, once for all controllers.

First fetches the complete list, then watches for changes on the same connection. The complete list is fetched
again after any failure, as discovery may have restarted meanwhile, also if the revision decreases, to confirm
removals, and periodically. The last accepted list stays in force throughout.
"""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import ConnectionClosedError
from oatcart.net.codec import ENDPOINT_LIST_PATH, watch_path
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.views.configuration import DiscoverySettings
from oatcart.views.entries import ListResponse, MalformedResponseError, parse_response
from oatcart.views.list_guard import AcceptedList, ListChanges, RejectedResponseError
from oatcart.xds.backoff import Backoff

WATCH_ALLOWANCE = 2.0  # s that a watch may take beyond its timeout
EARLIEST_EMPTY_RESPONSE = 0.5  # share of the watch timeout; before it, discovery did not wait
MIN_WATCH = 0.05  # s; no watch is started for less


class DiscoveryRestartedError(Exception):
    """The changes received may not follow the last revision: discovery may have restarted its revisions."""


class ListWatcher:
    """Keeps `accepted` up to date. `on_changes` is called with the first list and with all later changes.

    `uniform` returns a random number between two bounds, for the backoff.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        source: DiscoverySettings,
        accepted: AcceptedList,
        uniform: Callable[[float, float], float],
        on_changes: Callable[[ListChanges], None],
    ) -> None:
        self.loop, self.log, self.source = loop, log, source
        self.accepted, self.on_changes = accepted, on_changes
        self.uniform = uniform
        self.revision = 0
        self.last_response_at = -inf  # s, when the last valid response was received
        self.last_complete_at = -inf  # s, when the last complete list was requested
        self.task: Task | None = None

    @property
    def failed(self) -> bool:
        """Whether the watching task ended with an unexpected error."""
        return self.task is not None and self.task.done

    def start(self) -> None:
        """Starts watching, with the complete list first."""
        self.task = self.loop.spawn(self._run())

    def stop(self) -> None:
        """Stops watching; the list is kept."""
        if self.task is not None and not self.task.done:
            self.loop.cancel(self.task)
        self.task = None

    def change_source(self, source: DiscoverySettings) -> None:
        """Watches with other settings, starting with the complete list, if `source` differs."""
        if source != self.source:
            self.stop()
            self.source = source
            self.start()

    def _run(self) -> Generator[Wait, bool, None]:
        backoff = Backoff(self.source.max_backoff, self.uniform)
        while True:
            try:
                yield from self._watch_connection(backoff)
            except (
                ConnectionClosedError,
                MalformedResponseError,
                RejectedResponseError,
                DiscoveryRestartedError,
            ) as error:
                wait = backoff.next()
                self.log.write(
                    "source",
                    f"{self._peer()}: {error}; the last list stays in force, next attempt in {wait:.2f} s",
                )
                yield Wait(deadline=self.loop.now + wait)

    def _watch_connection(self, backoff: Backoff) -> Generator[Wait, bool, None]:
        """Fetches and watches the list on one connection until a call fails."""
        client = HttpClient(self.loop, self.source.address, self.source.max_list_bytes)
        try:
            while True:
                due = self._complete_list_due()
                if self.loop.now >= due:
                    yield from self._fetch_complete_list(client)
                elif self.loop.now + MIN_WATCH >= due:
                    yield Wait(deadline=due)
                else:
                    yield from self._watch(client)
                    backoff.answered()
        finally:
            self.last_complete_at = -inf  # after any failure the complete list is fetched first
            client.close()

    def _complete_list_due(self) -> float:
        """The time (s) when the next complete list is due. Removals can stay unconfirmed after a list (if
        their entries were malformed), so two lists are at least the confirmation delay apart."""
        earliest = self.last_complete_at + self.accepted.guard.confirmation_delay
        confirmation_due = max(self.accepted.refetch_at(), earliest)
        return min(confirmation_due, self.last_complete_at + self.source.refetch_interval)

    def _fetch_complete_list(self, client: HttpClient) -> Generator[Wait, bool, None]:
        requested_at = self.loop.now
        body = yield from client.get(ENDPOINT_LIST_PATH, requested_at + self.source.fetch_timeout)
        response = parse_response(body)
        self._accept(response)
        self.log.write(
            "source",
            f"{self._peer()}: complete list of {len(response.entries)} endpoints at revision "
            f"{response.revision}",
        )
        self.last_complete_at = requested_at

    def _watch(self, client: HttpClient) -> Generator[Wait, bool, None]:
        requested_at, since = self.loop.now, self.revision
        wait = min(self.source.watch_timeout, self._complete_list_due() - requested_at)
        connection = client.stream
        body = yield from client.get(watch_path(since, wait), requested_at + wait + WATCH_ALLOWANCE)
        if connection is not None and client.stream is not connection:
            raise DiscoveryRestartedError(
                "the watch used a new connection, so its revisions may be those of another incarnation"
            )
        response = parse_response(body)
        if response.is_complete:
            return self._accept(response)
        if response.revision < since:
            raise DiscoveryRestartedError(
                f"changes up to revision {response.revision}, below the last revision {since}"
            )
        if response.revision > since:
            return self._accept(response)
        if response.entries or self.loop.now - requested_at < EARLIEST_EMPTY_RESPONSE * wait:
            raise DiscoveryRestartedError(f"an empty response at revision {since} before the watch timeout")
        self.last_response_at = self.loop.now

    def _accept(self, response: ListResponse) -> None:
        is_first = not self.accepted.entries
        changes = self.accepted.accept(self.loop.now, response)
        self.revision, self.last_response_at = response.revision, self.loop.now
        for problem in response.invalid_entries:
            self.log.write("invalid entry", problem)
        if changes.unconfirmed:
            delay = self.accepted.guard.confirmation_delay
            known = len(self.accepted.entries)
            self.log.write(
                "mass removal",
                f"{self._peer()}: a response removes {changes.unconfirmed} of {known} endpoints at once; "
                f"they are kept, the complete list is fetched again in {delay:g} s",
            )
        if changes.changed or changes.removed or is_first:
            self.on_changes(changes)

    def _peer(self) -> str:
        return "{}:{}".format(*self.source.address)
