"""A modelled fleet for the decisions: proxies apply updates and acknowledge them, endpoints come and drain.

The model notes for how long a proxy may have used an endpoint after its drain was told, and how many messages
it was sent within the window of the message cap. Updates are applied at once, unless the model has a channel,
which they leave at its line rate.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    ProxyJoined,
    ProxyLeft,
    UpdateAcknowledged,
)
from oatcart.model import ChannelLimits, ControllerSettings, EndpointState, LoadReport
from oatcart.policy import Controller
from oatcart.routing_tables import RoutingTables, UpdatePart

STEP_S = 0.05
ACK_DELAY_S = 0.3
REPORT_PERIOD_S = 1.0
ZONES = 4
CLOCK_ERROR_S = 1e-6


class Commands(RoutingTables):
    """Keeps the routing tables and the log lines; other commands that concern no proxy have no effect."""

    def __init__(self, class_count: int) -> None:
        super().__init__(class_count)
        self.lines: list[str] = []

    def check_health(self, endpoint: int) -> None:
        """Health checks are not modelled."""

    def watch_endpoints(self, enabled: bool) -> None:
        """The model sends changes without a watch."""

    def fetch_endpoints(self) -> None:
        """The model sends changes without a call."""

    def schedule_round(self, delay: float) -> None:
        """Rounds run in every step."""

    def log(self, text: str) -> None:
        """Keeps the line."""
        self.lines.append(text)


@dataclass
class ModelProxy:
    """A joined proxy: its tables by request class, and the endpoints that are ejected at it."""

    joined_at: float
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    ejected: set[int] = field(default_factory=set)
    message_times: deque[float] = field(default_factory=deque)

    def apply(self, parts: tuple[UpdatePart, ...], classes: range) -> None:
        """Applies an update."""
        for part in parts:
            for number in part.classes or classes:
                table = self.tables.setdefault(number, {})
                if part.complete:
                    table.clear()
                table |= part.weights
            self.ejected |= set(part.ejected)
            self.ejected -= set(part.restored)

    def used(self) -> set[int]:
        """Returns the endpoints that it may send requests to."""
        entries = {number for table in self.tables.values() for number, weight in table.items() if weight > 0}
        return entries - self.ejected


class ModelChannel:
    """The channel to the proxies: messages leave it one by one, and each travels for the same time."""

    def __init__(self, limits: ChannelLimits, travel_time: float) -> None:
        """`travel_time`: s from leaving the channel to the proxy."""
        self._limits = limits
        self._travel_time = travel_time
        self._free_at = 0.0  # when all messages have left
        self._messages: deque[tuple[float, ModelProxy, int, tuple[UpdatePart, ...]]] = deque()

    def send(self, now: float, number: int, proxy: ModelProxy, parts: tuple[UpdatePart, ...]) -> None:
        """Takes in a message."""
        lines = self._limits.message_overhead + sum(map(line_count, parts))
        self._free_at = max(self._free_at, now) + lines / self._limits.line_rate
        self._messages.append((self._free_at + self._travel_time, proxy, number, parts))

    def arrived(self, now: float) -> Iterator[tuple[int, ModelProxy, tuple[UpdatePart, ...]]]:
        """Yields the messages that have arrived since the last call."""
        while self._messages and self._messages[0][0] <= now:
            _, proxy, number, parts = self._messages.popleft()
            yield number, proxy, parts


def line_count(part: UpdatePart) -> int:
    """Returns the lines that the channel counts for a part of a message."""
    entries = len(part.weights) + len(part.ejected) + len(part.restored)
    return entries + part.complete + (part.quota is not None) + (part.nonce is not None)


class FleetModel:
    """Plays events on a controller. Times are seconds; the model starts at 100 s with all endpoints ready."""

    def __init__(
        self, settings: ControllerSettings, endpoints: int, seed: int, travel_time: float | None = None
    ) -> None:
        """`travel_time` (s) of a message; None: there is no channel."""
        self.settings = settings
        self.channel = None if travel_time is None else ModelChannel(settings.channel, travel_time)
        self.random = Random(seed)
        self.now = 100.0
        self.controller = Controller(settings, seed)
        self.commands = Commands(len(settings.request_classes))
        self.proxies: dict[int, ModelProxy] = {}
        self.ready: set[int] = set()
        self.drained_at: dict[int, float] = {}  # when the controller was told
        self.longest_use: float = 0.0  # s that a proxy used an endpoint after its drain was told
        self.most_messages = 0  # to one proxy within the window
        self._events: list[Event] = []
        self._joins: deque[tuple[float, int]] = deque()
        self._acks: deque[tuple[float, UpdateAcknowledged]] = deque()
        self._next_report_at = self.now
        self.load_varies = True
        self.failing: set[int] = set()  # endpoints that fail all requests
        self.list_ready(range(endpoints))

    def list_ready(self, numbers: range, started_at: float = 0.0) -> None:
        """Lists new endpoints as ready."""
        entries = [
            EndpointEntry(number, number % ZONES, started_at, EndpointState.READY, 1.0) for number in numbers
        ]
        self.ready |= set(numbers)
        self._events.append(EndpointListReceived(False, entries))

    def replace(self, old: int, new: int) -> None:
        """Lists a new endpoint as ready and an old one as draining, in one change of the list."""
        self.ready.discard(old)
        self.ready.add(new)
        self.drained_at[old] = self.now
        entries = [
            EndpointEntry(new, old % ZONES, self.now, EndpointState.READY, 1.0),
            EndpointEntry(old, old % ZONES, 0.0, EndpointState.DRAINING, 1.0),
        ]
        self._events.append(EndpointListReceived(False, entries))

    def join(self, number: int) -> None:
        """A proxy without tables opens a stream."""
        self.proxies[number] = ModelProxy(self.now)
        self.commands.add_proxy(number, True)
        self._events.append(ProxyJoined(number, number % ZONES, 10.0, True))

    def join_configured(self, number: int) -> None:
        """A proxy opens a stream that has tables of another controller, with drained endpoints too."""
        tables = {
            request_class: dict.fromkeys(self.ready | self.drained_at.keys(), 1.0)
            for request_class in range(len(self.settings.request_classes))
        }
        self.proxies[number] = ModelProxy(self.now, tables)
        self.commands.add_proxy(number, False)
        self._events.append(ProxyJoined(number, number % ZONES, 10.0, False))

    def join_at(self, joins: list[tuple[float, int]]) -> None:
        """Lets proxies join later on; `joins`: s from now and number of each, the earliest first."""
        self._joins.extend((self.now + delay, number) for delay, number in joins)

    def leave(self, number: int) -> None:
        """A proxy's stream ends."""
        del self.proxies[number]
        self.commands.remove_proxy(number)
        self._events.append(ProxyLeft(number))

    def run(self, seconds: float) -> None:
        """Plays some time, a round in each step."""
        end = self.now + seconds - CLOCK_ERROR_S
        while self.now < end:
            self._add_reports()
            while self._joins and self._joins[0][0] <= self.now:
                self.join(self._joins.popleft()[1])
            while self._acks and self._acks[0][0] <= self.now:
                self._events.append(self._acks.popleft()[1])
            events, self._events = self._events, []
            self.controller.round(self.now, events, self.commands)
            for number, parts in self.commands.updates():
                self._send(number, parts)
            if self.channel is not None:
                for number, proxy, parts in self.channel.arrived(self.now):
                    if self.proxies.get(number) is proxy:  # otherwise it was lost with the stream
                        self._apply(number, proxy, parts)
            self._check()
            self.now += STEP_S

    def _send(self, number: int, parts: tuple[UpdatePart, ...]) -> None:
        proxy = self.proxies[number]
        proxy.message_times.append(self.now)
        while proxy.message_times[0] <= self.now - self.settings.channel.message_window:
            proxy.message_times.popleft()
        self.most_messages = max(self.most_messages, len(proxy.message_times))
        if self.channel is None:
            self._apply(number, proxy, parts)
        else:
            self.channel.send(self.now, number, proxy, parts)

    def _apply(self, number: int, proxy: ModelProxy, parts: tuple[UpdatePart, ...]) -> None:
        proxy.apply(parts, range(len(self.settings.request_classes)))
        if parts[-1].nonce is not None:
            ack = UpdateAcknowledged(number, parts[-1].nonce, ACK_DELAY_S)
            self._acks.append((self.now + ACK_DELAY_S, ack))

    def _add_reports(self) -> None:
        """Adds a load report of each ready endpoint once a second; loads vary, so weights do too."""
        if self.now < self._next_report_at or not self.load_varies:
            return
        self._next_report_at += REPORT_PERIOD_S
        for number in sorted(self.ready):
            load = LoadReport(utilization=self.random.uniform(0.05, 0.7))
            duration = self.random.uniform(0.05, 0.4)
            self._events.append(
                EndpointLoadReported(
                    number, number % ZONES, REPORT_PERIOD_S, duration, 20 * (number in self.failing), 20, load
                )
            )

    def _check(self) -> None:
        for proxy in self.proxies.values():
            for number in proxy.used() & self.drained_at.keys():
                waited = self.now - max(self.drained_at[number], proxy.joined_at)
                self.longest_use = max(self.longest_use, waited)
