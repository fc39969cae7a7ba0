"""Follows the whole list of nodes at discovery, once for all conductors.

The whole list first, then watch after watch on one connection. After any failure the whole list is asked for
again, as discovery may have started over meanwhile; so it is where changes go backwards, at the end of a
hold, and from time to time. Whatever comes, the last list that was believed stays in force.
"""

from collections.abc import Callable, Generator
from math import inf

from oatcart.net.codec import ROLL_PATH, watch_path
from oatcart.net.ending import Ended
from oatcart.net.http import Client
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.views.configuration import DiscoverySettings
from oatcart.views.entries import ListAnswer, MalformedAnswerError, parse_answer
from oatcart.views.list_guard import AcceptedList, ListChanges, RejectedAnswerError
from oatcart.xds.source import Backoff

WATCH_ALLOWANCE = 2.0  # s beyond the wait that a watch asks for
EARLIEST_SHARE = 0.5  # of that wait: an answer that brings nothing comes at its end, give or take
MIN_WATCH = 0.05  # s; a shorter watch is not worth a call


class DiscoveryRestartedError(Exception):
    """Changes that may not follow on the revision in hand: discovery counts anew, or counts in nonsense."""


class ListWatcher:
    """`take` is told of every change that is believed, and once of the first list."""

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
        self.last_answer_at = -inf  # when discovery last answered with something that could be used
        self.last_complete_at = -inf  # when the whole list was last asked for
        self.task: Task | None = None

    @property
    def failed(self) -> bool:
        """Whether its task has ended by an error that nobody foresaw."""
        return self.task is not None and self.task.over

    def start(self) -> None:
        """Follow from now on."""
        self.task = self.loop.spawn(self._run())

    def stop(self) -> None:
        """Follow no more; the list stays."""
        if self.task is not None and not self.task.over:
            self.loop.end(self.task)
        self.task = None

    def move(self, source: DiscoverySettings) -> None:
        """Follow at another source, or in another manner, from its whole list on."""
        if source != self.source:
            self.stop()
            self.source = source
            self.start()

    def _run(self) -> Generator[Wait, bool, None]:
        backoff = Backoff(self.source.max_backoff, self.uniform)
        while True:
            try:
                yield from self._watch_connection(backoff)
            except (Ended, MalformedAnswerError, RejectedAnswerError, DiscoveryRestartedError) as error:
                wait = backoff.next()
                self.log.say(
                    "source",
                    f"{self._peer()}: {error}; the last list stands, asked anew in {wait:.2f} s",
                )
                yield Wait(until=self.loop.now + wait)

    def _watch_connection(self, backoff: Backoff) -> Generator[Wait, bool, None]:
        """One connection's life, from the whole list to the first failure."""
        client = Client(self.loop, self.source.address, self.source.max_list_bytes)
        try:
            while True:
                due = self._complete_list_due()
                if self.loop.now >= due:
                    yield from self._fetch_complete_list(client)
                elif self.loop.now + MIN_WATCH >= due:
                    yield Wait(until=due)
                else:
                    yield from self._watch(client)
                    backoff.answered()
        finally:
            self.last_complete_at = -inf  # whatever failed, the next call is for the whole list
            client.close()

    def _complete_list_due(self) -> float:
        """Never within a hold of the last one, as a doubt may outlast a list that cannot settle it."""
        confirmation_due = max(
            self.accepted.refetch_at(), self.last_complete_at + self.accepted.guard.confirmation_delay
        )
        return min(confirmation_due, self.last_complete_at + self.source.refetch_interval)

    def _fetch_complete_list(self, client: Client) -> Generator[Wait, bool, None]:
        requested_at = self.loop.now
        body = yield from client.get(ROLL_PATH, requested_at + self.source.fetch_timeout)
        answer = parse_answer(body)
        self._accept(answer)
        self.log.say(
            "source",
            f"{self._peer()}: whole list of {len(answer.entries)} nodes at revision {answer.revision}",
        )
        self.last_complete_at = requested_at

    def _watch(self, client: Client) -> Generator[Wait, bool, None]:
        requested_at, since = self.loop.now, self.revision
        wait = min(self.source.watch_timeout, self._complete_list_due() - requested_at)
        connection = client.stream
        body = yield from client.get(watch_path(since, wait), requested_at + wait + WATCH_ALLOWANCE)
        if connection is not None and client.stream is not connection:
            raise DiscoveryRestartedError("another connection, on which revisions may be another life's")
        answer = parse_answer(body)
        if answer.is_complete:
            return self._accept(answer)
        if answer.revision < since:
            raise DiscoveryRestartedError(f"changes up to revision {answer.revision} after {since}")
        if answer.revision > since:
            return self._accept(answer)
        if answer.entries or self.loop.now - requested_at < EARLIEST_SHARE * wait:
            raise DiscoveryRestartedError(f"an answer before its time that leaves revision {since}")
        self.last_answer_at = self.loop.now

    def _accept(self, answer: ListAnswer) -> None:
        first = not self.accepted.entries
        changes = self.accepted.accept(self.loop.now, answer)
        self.revision, self.last_answer_at = answer.revision, self.loop.now
        for invalid_entry in answer.invalid_entries:
            self.log.say("odd", invalid_entry)
        if changes.unconfirmed:
            delay = self.accepted.guard.confirmation_delay
            self.log.say(
                "doubt",
                f"{self._peer()}: an answer drops {changes.unconfirmed} of {len(self.accepted.entries)} "
                f"nodes at once; they stay, the list is asked for again in {delay:g} s",
            )
        if changes.changed or changes.removed or first:
            self.on_changes(changes)

    def _peer(self) -> str:
        return "{}:{}".format(*self.source.address)
