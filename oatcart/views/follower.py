"""Follows the whole list of nodes at discovery, once for all conductors.

The whole list first, then watch after watch on one connection. After any failure the whole list is asked for
again, as discovery may have started over meanwhile; so it is where changes go backwards, at the end of a
hold, and from time to time. Whatever comes, the last list that was believed stays in force.
"""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import ConnectionClosedError
from oatcart.net.codec import ENDPOINT_LIST_PATH, watch_path
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.views.configuration import Source
from oatcart.views.entries import Answer, MalformedAnswer, parse_answer
from oatcart.views.trust import Outcome, RefusedAnswer, TrustedList
from oatcart.xds.source import Backoff

WATCH_OVER = 2.0  # s beyond the wait that a watch asks for
EARLY = 0.5  # of that wait: an answer that brings nothing comes at its end, give or take
LEAST_WAIT = 0.05  # s; a shorter watch is not worth a call


class StartedOver(Exception):
    """Changes that may not follow on the revision in hand: discovery counts anew, or counts in nonsense."""


class Follower:
    """`take` is told of every change that is believed, and once of the first list."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        source: Source,
        trusted: TrustedList,
        uniform: Callable[[float, float], float],
        take: Callable[[Outcome], None],
    ) -> None:
        self.loop, self.log, self.source, self.trusted, self.take = loop, log, source, trusted, take
        self.uniform = uniform
        self.revision = 0
        self.heard = -inf  # when discovery last answered with something that could be used
        self.last_whole = -inf  # when the whole list was last asked for
        self.task: Task | None = None

    @property
    def failed(self) -> bool:
        """Whether its task has ended by an error that nobody foresaw."""
        return self.task is not None and self.task.done

    def start(self) -> None:
        """Follow from now on."""
        self.task = self.loop.spawn(self._life())

    def stop(self) -> None:
        """Follow no more; the list stays."""
        if self.task is not None and not self.task.done:
            self.loop.cancel(self.task)
        self.task = None

    def move(self, source: Source) -> None:
        """Follow at another source, or in another manner, from its whole list on."""
        if source != self.source:
            self.stop()
            self.source = source
            self.start()

    def _life(self) -> Generator[Wait, bool, None]:
        backoff = Backoff(self.source.retry_most, self.uniform)
        while True:
            try:
                yield from self._follow(backoff)
            except (ConnectionClosedError, MalformedAnswer, RefusedAnswer, StartedOver) as error:
                wait = backoff.next()
                self.log.write(
                    "source",
                    f"{self._name()}: {error}; the last list stands, asked anew in {wait:.2f} s",
                )
                yield Wait(deadline=self.loop.now + wait)

    def _follow(self, backoff: Backoff) -> Generator[Wait, bool, None]:
        """One connection's life, from the whole list to the first failure."""
        client = HttpClient(self.loop, self.source.address, self.source.list_most)
        try:
            while True:
                due = self._whole_due()
                if self.loop.now >= due:
                    yield from self._whole(client)
                elif self.loop.now + LEAST_WAIT >= due:
                    yield Wait(deadline=due)
                else:
                    yield from self._watch(client)
                    backoff.answered()
        finally:
            self.last_whole = -inf  # whatever failed, the next call is for the whole list
            client.close()

    def _whole_due(self) -> float:
        """Never within a hold of the last one, as a doubt may outlast a list that cannot settle it."""
        doubt = max(self.trusted.ask_again(), self.last_whole + self.trusted.guard.hold)
        return min(doubt, self.last_whole + self.source.reconcile_every)

    def _whole(self, client: HttpClient) -> Generator[Wait, bool, None]:
        asked = self.loop.now
        body = yield from client.get(ENDPOINT_LIST_PATH, asked + self.source.answer_within)
        answer = parse_answer(body)
        self._believe(answer)
        self.log.write(
            "source",
            f"{self._name()}: whole list of {len(answer.entries)} nodes at revision {answer.revision}",
        )
        self.last_whole = asked

    def _watch(self, client: HttpClient) -> Generator[Wait, bool, None]:
        asked, since = self.loop.now, self.revision
        wait = min(self.source.wait, self._whole_due() - asked)
        connection = client.stream
        body = yield from client.get(watch_path(since, wait), asked + wait + WATCH_OVER)
        if connection is not None and client.stream is not connection:
            raise StartedOver("another connection, on which revisions may be another life's")
        answer = parse_answer(body)
        if answer.whole:
            return self._believe(answer)
        if answer.revision < since:
            raise StartedOver(f"changes up to revision {answer.revision} after {since}")
        if answer.revision > since:
            return self._believe(answer)
        if answer.entries or self.loop.now - asked < EARLY * wait:
            raise StartedOver(f"an answer before its time that leaves revision {since}")
        self.heard = self.loop.now

    def _believe(self, answer: Answer) -> None:
        first = not self.trusted.entries
        outcome = self.trusted.take(self.loop.now, answer)
        self.revision, self.heard = answer.revision, self.loop.now
        for odd in answer.odd:
            self.log.write("odd", odd)
        if outcome.held:
            self.log.write(
                "doubt",
                f"{self._name()}: an answer drops {outcome.held} of {len(self.trusted.entries)} nodes "
                f"at once; they stay, the list is asked for again in {self.trusted.guard.hold:g} s",
            )
        if outcome.changed or outcome.removed or first:
            self.take(outcome)

    def _name(self) -> str:
        return "{}:{}".format(*self.source.address)
