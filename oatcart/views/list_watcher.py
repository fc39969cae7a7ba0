"""Watches the complete endpoint list at discovery, once for all controllers.

The complete list comes first, then watch after watch on one connection. After any failure the complete list
is fetched again, as discovery may have restarted meanwhile; so it is when changes go backwards, to confirm
removals, and from time to time. Whatever comes, the last accepted list stays in force.
"""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import ConnectionClosedError
from oatcart.net.codec import ENDPOINT_LIST_PATH, watch_path
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.views.configuration import DiscoverySettings
from oatcart.views.entries import ListAnswer, MalformedAnswerError, parse_answer
from oatcart.views.list_guard import AcceptedList, ListChanges, RejectedAnswerError
from oatcart.xds.backoff import Backoff

WATCH_ALLOWANCE = 2.0  # s beyond the time that a watch asks discovery to wait
EARLIEST_EMPTY_ANSWER = 0.5  # of that time; an empty answer before it shows a discovery that does not wait
MIN_WATCH = 0.05  # s; a shorter watch is not worth a call


class DiscoveryRestartedError(Exception):
    """Changes that may not continue from the revision held: discovery may count revisions from another
    start."""


class ListWatcher:
    """Keeps `accepted` up to date. `on_changes` is called with each change, and once with the first list.

    `uniform` draws a number between two bounds, for the backoff.
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
        self.last_answer_at = -inf  # s, the last usable answer
        self.last_complete_at = -inf  # s, the last request of a complete list
        self.task: Task | None = None

    @property
    def failed(self) -> bool:
        """Whether its task has ended by an unexpected error."""
        return self.task is not None and self.task.done

    def start(self) -> None:
        """Begins to watch, with the complete list."""
        self.task = self.loop.spawn(self._run())

    def stop(self) -> None:
        """Stops watching; the list stays."""
        if self.task is not None and not self.task.done:
            self.loop.cancel(self.task)
        self.task = None

    def change_source(self, source: DiscoverySettings) -> None:
        """Watches at another address, or with other timeouts, from the complete list on."""
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
                MalformedAnswerError,
                RejectedAnswerError,
                DiscoveryRestartedError,
            ) as error:
                wait = backoff.next()
                self.log.write(
                    "source",
                    f"{self._peer()}: {error}; the last list stays in force, next try in {wait:.2f} s",
                )
                yield Wait(deadline=self.loop.now + wait)

    def _watch_connection(self, backoff: Backoff) -> Generator[Wait, bool, None]:
        """Calls on one connection, from the complete list to the first failure."""
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
            self.last_complete_at = -inf  # after any failure the complete list comes first
            client.close()

    def _complete_list_due(self) -> float:
        """When the next complete list is due, s. A removal may stay unconfirmed after one (its entry was
        malformed), so the next is never sooner than the confirmation delay."""
        earliest = self.last_complete_at + self.accepted.guard.confirmation_delay
        confirmation_due = max(self.accepted.refetch_at(), earliest)
        return min(confirmation_due, self.last_complete_at + self.source.refetch_interval)

    def _fetch_complete_list(self, client: HttpClient) -> Generator[Wait, bool, None]:
        requested_at = self.loop.now
        body = yield from client.get(ENDPOINT_LIST_PATH, requested_at + self.source.fetch_timeout)
        answer = parse_answer(body)
        self._accept(answer)
        self.log.write(
            "source",
            f"{self._peer()}: complete list of {len(answer.entries)} endpoints at revision {answer.revision}",
        )
        self.last_complete_at = requested_at

    def _watch(self, client: HttpClient) -> Generator[Wait, bool, None]:
        requested_at, since = self.loop.now, self.revision
        wait = min(self.source.watch_timeout, self._complete_list_due() - requested_at)
        connection = client.stream
        body = yield from client.get(watch_path(since, wait), requested_at + wait + WATCH_ALLOWANCE)
        if connection is not None and client.stream is not connection:
            raise DiscoveryRestartedError(
                "another connection, so revisions may be those of another incarnation"
            )
        answer = parse_answer(body)
        if answer.is_complete:
            return self._accept(answer)
        if answer.revision < since:
            raise DiscoveryRestartedError(f"changes up to revision {answer.revision} after {since}")
        if answer.revision > since:
            return self._accept(answer)
        if answer.entries or self.loop.now - requested_at < EARLIEST_EMPTY_ANSWER * wait:
            raise DiscoveryRestartedError(f"an empty answer at revision {since} before the watch timeout")
        self.last_answer_at = self.loop.now

    def _accept(self, answer: ListAnswer) -> None:
        is_first = not self.accepted.entries
        changes = self.accepted.accept(self.loop.now, answer)
        self.revision, self.last_answer_at = answer.revision, self.loop.now
        for problem in answer.invalid_entries:
            self.log.write("invalid entry", problem)
        if changes.unconfirmed:
            delay = self.accepted.guard.confirmation_delay
            known = len(self.accepted.entries)
            self.log.write(
                "mass removal",
                f"{self._peer()}: an answer removes {changes.unconfirmed} of {known} endpoints at once; they "
                f"stay, the complete list is fetched again in {delay:g} s",
            )
        if changes.changed or changes.removed or is_first:
            self.on_changes(changes)

    def _peer(self) -> str:
        return "{}:{}".format(*self.source.address)
