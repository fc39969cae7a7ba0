"""Estimates how the clocks of several instances relate, from the messages between them. Does no I/O.

Each clock is assumed to differ from the reference clock by an offset and a constant drift. A message is sent
before it is received, which gives a linear constraint for each message. A linear program finds the offsets
and drifts that maximize the least slack of all messages. Further linear programs find how large the error of
an instance's time can be while all constraints hold.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog

MAX_DRIFT = 1e-3  # s per s; no working clock drifts faster
MAX_MESSAGES = 4000  # that become constraints, for each sender and receiver


class Message(NamedTuple):
    """A message between two instances; each time is by the clock of its own instance, in seconds."""

    sender: str
    receiver: str
    sent: float
    received: float

    @property
    def delay(self) -> float:
        """The received time minus the sent time, in seconds: the delay plus the difference of the clocks."""
        return self.received - self.sent


MessagesByDirection = Mapping[tuple[str, str], Sequence[Message]]  # by sender and receiver


@dataclass(slots=True)
class ClockEstimate:
    """How an instance's clock relates to the reference clock; its records lie between `first` and `last`.

    All times are in seconds. The reference time is `time + offset + drift * (time - middle)`. `end_bounds`
    are the greatest errors of it at `first` and at `last`; inf where no messages connect the instance to the
    reference.
    """

    offset: float = 0.0
    drift: float = 0.0
    middle: float = 0.0
    first: float = 0.0
    last: float = 0.0
    end_bounds: tuple[float, float] = (0.0, 0.0)

    def to_reference(self, at: float) -> float:
        """Convert a time of this clock to the reference clock, both in seconds."""
        return at + self.offset + self.drift * (at - self.middle)

    def error_bound(self, at: float) -> float:
        """Return the greatest error of `to_reference`, in seconds.

        Between the ends the true bound is convex, so linear interpolation never underestimates it. Beyond the
        ends it grows with the drift that the constraints leave undetermined.
        """
        if self.last <= self.first or inf in self.end_bounds:
            return max(self.end_bounds)
        at_first, at_last = self.end_bounds
        span = self.last - self.first
        fraction = (at - self.first) / span
        if 0.0 <= fraction <= 1.0:
            return at_first + fraction * (at_last - at_first)
        seconds_outside = self.first - at if fraction < 0 else at - self.last
        return max(self.end_bounds) + seconds_outside * (sum(self.end_bounds) / span)


@dataclass(slots=True)
class AlignedClocks:
    """The estimate for each instance.

    `contradictions` describes where no offsets and drifts satisfy all messages, as after a clock step.
    """

    by_instance: dict[str, ClockEstimate] = field(default_factory=dict)
    contradictions: list[str] = field(default_factory=list)


class _LinearProgram(NamedTuple):
    """The constraints `matrix @ x <= limits`.

    `x` holds the offset and the drift of each instance, starting at the instance's column, and ends with the
    least slack of all messages. `ranges` are the allowed ranges of `x` without the slack.
    """

    columns: dict[str, int]
    matrix: np.ndarray
    limits: np.ndarray
    ranges: list[tuple]


def align_clocks(
    spans: Mapping[str, tuple[float, float]], messages: Iterable[Message], reference: str
) -> AlignedClocks:
    """Estimate the clocks of instances; `spans` holds the least and greatest time of each, in seconds."""
    clocks = {
        name: ClockEstimate(middle=(first + last) / 2, first=first, last=last, end_bounds=(inf, inf))
        for name, (first, last) in spans.items()
    }
    clocks[reference].end_bounds = (0.0, 0.0)
    aligned = AlignedClocks(clocks)
    directions: dict[tuple[str, str], list[Message]] = {}
    for message in messages:
        directions.setdefault((message.sender, message.receiver), []).append(message)
    connected = _connected_instances(reference, directions)
    estimated = [name for name in spans if name != reference and name in connected]
    if not estimated:
        return aligned
    columns = {name: 2 * index for index, name in enumerate(estimated)}
    connecting = {pair: found for pair, found in directions.items() if connected.issuperset(pair)}
    program = _constraints(columns, connecting, clocks)
    solution = _maximize_slack(program)
    if solution is None:
        aligned.contradictions.append(
            "no offsets and constant drifts fit all messages: a clock was stepped; the order is not certain"
        )
        return aligned
    for name, column in columns.items():
        clock = clocks[name]
        clock.offset, clock.drift = solution[column], solution[column + 1]
        clock.end_bounds = tuple(
            _greatest_error(program, solution, column, at - clock.middle) for at in (clock.first, clock.last)
        )
    return aligned


def _connected_instances(reference: str, directions: MessagesByDirection) -> set[str]:
    """Return the instances that two-way messages connect to the reference, directly or through others."""
    neighbours: dict[str, list[str]] = {}
    for sender, receiver in directions:
        if (receiver, sender) in directions:
            neighbours.setdefault(sender, []).append(receiver)
    connected, pending = {reference}, [reference]
    while pending:
        for neighbour in neighbours.get(pending.pop(), ()):
            if neighbour not in connected:
                connected.add(neighbour)
                pending.append(neighbour)
    return connected


def _constraints(
    columns: dict[str, int], directions: MessagesByDirection, clocks: Mapping[str, ClockEstimate]
) -> _LinearProgram:
    """Return one row per message: in reference time it was not sent after it was received."""
    rows, limits = [], []
    for (sender, receiver), messages in directions.items():
        for message in _least_delayed(messages):
            row = np.zeros(2 * len(columns) + 1)
            for name, at, sign in ((sender, message.sent, 1.0), (receiver, message.received, -1.0)):
                if name in columns:
                    row[columns[name]] += sign
                    row[columns[name] + 1] += sign * (at - clocks[name].middle)
            row[-1] = 1.0
            rows.append(row)
            limits.append(message.delay)
    ranges = [(None, None), (-MAX_DRIFT, MAX_DRIFT)] * len(columns)
    return _LinearProgram(columns, np.array(rows), np.array(limits), ranges)


def _least_delayed(messages: Sequence[Message]) -> Sequence[Message]:
    """Return the message with the least delay of each of MAX_MESSAGES parts; the others add little."""
    if len(messages) <= MAX_MESSAGES:
        return messages
    ordered = sorted(messages, key=lambda message: message.sent)
    edges = np.linspace(0, len(ordered), MAX_MESSAGES + 1).astype(int)
    parts = (ordered[start:end] for start, end in zip(edges, edges[1:], strict=False) if end > start)
    return [min(part, key=lambda message: message.delay) for part in parts]


def _maximize_slack(program: _LinearProgram) -> np.ndarray | None:
    """Return the offsets and drifts with the greatest least slack; None where none fit all messages."""
    objective = np.array([0.0] * len(program.ranges) + [-1.0])
    ranges = [*program.ranges, (0.0, None)]
    best = linprog(objective, program.matrix, program.limits, bounds=ranges)
    return best.x if best.success else None


def _greatest_error(program: _LinearProgram, solution: np.ndarray, column: int, elapsed: float) -> float:
    """Return the greatest error, in seconds, that the constraints allow `elapsed` seconds from the middle."""
    shift = np.zeros(len(program.ranges) + 1)
    shift[column], shift[column + 1] = 1.0, elapsed
    estimate = solution @ shift
    ranges = [*program.ranges, (0.0, 0.0)]
    errors = []
    for sign in (1.0, -1.0):
        extreme = linprog(sign * shift, program.matrix, program.limits, bounds=ranges)
        errors.append(abs(extreme.x @ shift - estimate) if extreme.success else inf)
    return max(errors)
