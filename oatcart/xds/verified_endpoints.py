"""Which endpoints of a management server's answers count. Free of I/O and clock.

A server may be wrong in one answer, unresponsive, or gone; until a valid answer is received the last accepted
list is used. Draining counts at once. An answer that drops half of the ready endpoints or more is suspect:
those that it drops are retained, and the server is asked again, on a new stream, after the retention time; if
they are missing then too, they are gone. A list without a ready endpoint is never accepted: it cannot be told
from a fault, and endpoints that are really gone show as unreachable.
"""

from collections.abc import Callable, Iterable, Mapping
from math import inf
from typing import NamedTuple

from oatcart.events import EndpointEntry
from oatcart.model import EndpointState

SUSPECT_SHARE = 0.5  # of the ready endpoints; an answer that drops so many is suspect
SUSPECT_COUNT = 2  # endpoints; an answer that drops fewer is not suspect for their number


class ReportedEndpoint(NamedTuple):
    """An endpoint as a server reports it."""

    zone: int
    state: EndpointState
    nominal_weight: float  # relative
    started_at: float | None = None  # s of Unix time; None if the server reports none


class VerifiedEndpoints:
    """The endpoint list that counts. `retention`: s until a server is asked again for what it drops."""

    def __init__(self, retention: float) -> None:
        self.retention = retention
        self.endpoints: dict[str, ReportedEndpoint] = {}  # by name
        self.started_at: dict[str, float] = {}  # by name, s of Unix time; 0: long ago
        self.retained_since: dict[str, float] = {}  # by name, s: endpoints that an answer dropped
        self.has_answered = False
        self.suspect_answers = 0

    def restore(self, known: Mapping[str, ReportedEndpoint]) -> None:
        """Set the list as it was known before any answer."""
        self.endpoints = dict(known)
        self.started_at = {name: endpoint.started_at or 0.0 for name, endpoint in known.items()}

    def receive(
        self, now: float, unix_time: float, reported: Mapping[str, ReportedEndpoint], first_on_stream: bool
    ) -> str:
        """Take over a complete answer; returns why it is suspect, or an empty string.

        `now`: s of the controller's clock; `first_on_stream`: only a stream's first answer can confirm what
        an earlier one dropped.
        """
        ready_before = _ready(self.endpoints)
        if not _ready(reported) and (ready_before or not self.has_answered):
            return self._receive_without_ready(now, reported, bool(ready_before), first_on_stream)
        dropped = ready_before - reported.keys()
        retained = self._to_retain(now, dropped, len(ready_before), first_on_stream)
        self._note_starts(unix_time, reported)
        self.endpoints = dict(reported) | {name: self.endpoints[name] for name in retained}
        self.has_answered = True
        self.retained_since = {name: at for name, at in self.retained_since.items() if name in retained}
        self._retain(now, retained)
        for name in self.started_at.keys() - self.endpoints.keys():
            del self.started_at[name]
        if not retained:
            return ""
        self.suspect_answers += 1
        return f"{len(retained)} of {len(ready_before)} endpoints are missing at once"

    def _receive_without_ready(
        self, now: float, reported: Mapping[str, ReportedEndpoint], had_ready: bool, first_on_stream: bool
    ) -> str:
        """An answer without a ready endpoint: only draining counts."""
        if had_ready:
            missing = self.endpoints.keys() - reported.keys()
            if first_on_stream:  # the next retention time begins
                self.retained_since = dict.fromkeys(missing, now)
            self._retain(now, missing)
            self._note_draining(reported)
        self.suspect_answers += 1
        return "no endpoint in it is ready"

    def _to_retain(self, now: float, dropped: set[str], ready_before: int, first_on_stream: bool) -> set[str]:
        """The dropped endpoints to retain: none if they are few and none of them was retained before."""
        many = len(dropped) >= max(SUSPECT_COUNT, SUSPECT_SHARE * ready_before)
        if not many and not dropped & self.retained_since.keys():
            return set()
        if not first_on_stream:
            return dropped
        return {name for name in dropped if now - self.retained_since.get(name, inf) < self.retention}

    def _retain(self, now: float, names: Iterable[str]) -> None:
        for name in names:
            self.retained_since.setdefault(name, now)

    def _note_draining(self, reported: Mapping[str, ReportedEndpoint]) -> None:
        for name, endpoint in reported.items():
            if endpoint.state == EndpointState.DRAINING and name in self.endpoints:
                self.endpoints[name] = self.endpoints[name]._replace(state=EndpointState.DRAINING)

    def _note_starts(self, unix_time: float, reported: Mapping[str, ReportedEndpoint]) -> None:
        """Note when endpoints started, if the server does not report it.

        xDS has no start time: those in the first list started long ago. One that appears later, or is ready
        again after draining, has just started and is warming up.
        """
        for name, endpoint in reported.items():
            previous = self.endpoints.get(name)
            if endpoint.started_at is not None:
                self.started_at[name] = endpoint.started_at
            elif not self.has_answered:
                self.started_at.setdefault(name, 0.0)
            elif previous is None or _is_ready_again(previous, endpoint):
                self.started_at[name] = unix_time

    def recheck_at(self) -> float:
        """When the server is to be asked again, s of the controller's clock; inf if nothing is retained."""
        return min(self.retained_since.values(), default=inf) + self.retention

    def entries(self, number_of: Callable[[str], int]) -> list[EndpointEntry]:
        """The list as events have it. `number_of`: an endpoint's number by its name."""
        return [
            EndpointEntry(
                number_of(name),
                endpoint.zone,
                self.started_at.get(name, 0.0),
                endpoint.state,
                endpoint.nominal_weight,
            )
            for name, endpoint in self.endpoints.items()
        ]


def _ready(endpoints: Mapping[str, ReportedEndpoint]) -> set[str]:
    return {name for name, endpoint in endpoints.items() if endpoint.state == EndpointState.READY}


def _is_ready_again(previous: ReportedEndpoint, endpoint: ReportedEndpoint) -> bool:
    return previous.state != EndpointState.READY and endpoint.state == EndpointState.READY
