"""Rounds on sockets: all events since the last round go to the decisions, their commands to the proxies."""

import traceback
from collections import deque
from collections.abc import Callable, Iterator
from math import inf

from oatcart.commands import CommandWriter
from oatcart.errors import ConnectionClosedError
from oatcart.events import Event, Events
from oatcart.net.codec import Codec
from oatcart.net.endpoint_list import EndpointListWatcher
from oatcart.net.health_checks import HealthChecker
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.stream import Stream
from oatcart.routing_tables import RoutingTables, UpdatePart

RETRY_AFTER_S = 0.25  # until the next round, as one that failed may not have scheduled another
STATISTICS_PERIOD_S = 30.0  # between two `loop` log lines

Decide = Callable[[float, Events, CommandWriter], None]
"""Runs the decisions of a round; takes Unix time in seconds, the events, and the writer of commands."""


class Rounds(RoutingTables):
    """Runs rounds and carries out their commands; the base class keeps the state of the routing tables.

    `min_gap`: least seconds between the starts of two rounds. `unix_time`: Unix time at `loop.now`; read
    once, so that a step of the system clock does not affect the decisions.
    """

    def __init__(self, loop: Loop, log: Log, codec: Codec, min_gap: float, unix_time: float) -> None:
        super().__init__(len(codec.request_class_names))
        self.loop, self.logger, self.codec, self.min_gap = loop, log, codec, min_gap
        self.unix_offset = unix_time - loop.now
        self.events: deque[Event] = deque()  # since the last round
        self.streams: dict[int, Stream] = {}  # of joined proxies
        self.failed_streams: list[Stream] = []  # that could not be written to in this round
        self.is_due = self.gap_timer_set = False
        self.last_round_at = -inf  # now - min_gap may be rounded to a later time
        self.rounds_since_log_line, self.max_turn_duration = 0, 0.0  # since the last `loop` log line; s
        self._log_statistics()

    def start(self, decide: Decide, watcher: EndpointListWatcher, health_checker: HealthChecker) -> None:
        """Set the decisions and what carries out their commands; called before the first round."""
        self.decide, self.watcher, self.health_checker = decide, watcher, health_checker

    def set_close_stream(self, close: Callable[[Stream], None]) -> None:
        """Set the function that closes a stream; the stream's task then calls `leave`."""
        self.close_stream = close

    def add_event(self, event: Event) -> None:
        """Pass an event to the next round, which becomes due."""
        self.events.append(event)
        self.is_due = True

    def join(self, proxy: int, unconfigured: bool, stream: Stream) -> None:
        """Write the updates of a proxy to this stream from now on."""
        self.streams[proxy] = stream
        self.add_proxy(proxy, unconfigured)

    def leave(self, proxy: int, stream: Stream) -> bool:
        """Handle the end of a stream; return False if the proxy has joined on another stream since."""
        if self.streams.get(proxy) is not stream:
            return False
        del self.streams[proxy]
        self.remove_proxy(proxy)
        return True

    def check_health(self, endpoint: int) -> None:
        """Start a health check of an endpoint."""
        self.health_checker.check(endpoint)

    def watch_endpoints(self, enabled: bool) -> None:
        """Open a watch on the endpoint list, or close it."""
        self.watcher.set_watch(enabled)

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list."""
        self.watcher.fetch()

    def schedule_round(self, delay: float) -> None:
        """Make a round due after `delay` (s)."""
        self.loop.call_at(self.loop.now + delay, self._on_scheduled)

    def _on_scheduled(self) -> None:
        self.is_due = True

    def log(self, text: str) -> None:
        """Write a line of the kind `note` to the log."""
        self.logger.write("note", text)

    def run_if_due(self) -> None:
        """Run a round if one is due and the last one began long enough ago; called after each loop turn."""
        if self.is_due and self.loop.now - self.last_round_at >= self.min_gap:
            self.is_due, self.last_round_at = False, self.loop.now
            self.rounds_since_log_line += 1
            self._run(self.loop.now + self.unix_offset)
        elif self.is_due and not self.gap_timer_set:
            self.gap_timer_set = True
            self.loop.call_at(self.last_round_at + self.min_gap, self._on_gap_over)
        self.max_turn_duration = max(self.max_turn_duration, self.loop.clock() - self.loop.now)

    def _on_gap_over(self) -> None:
        self.gap_timer_set = False

    def _run(self, unix_time: float) -> None:
        self._decide(unix_time)
        forgotten = self.changes.forgotten
        try:
            self._send_updates()
        except Exception:
            self.logger.write("round", f"updates cannot be sent\n{traceback.format_exc()}")
        for endpoint in forgotten:  # after the updates, which contain its id
            self.codec.release(endpoint)
            self.watcher.forget(endpoint)

    def _decide(self, unix_time: float) -> None:
        """Run the decisions; if they raise, they are called again with the events that are left."""
        while True:
            try:
                return self.decide(unix_time, self._take_events(), self)
            except Exception:
                problem = f"failed, {len(self.events)} events left\n{traceback.format_exc()}"
                self.logger.write("round", problem)
                if not self.events:
                    return self.schedule_round(RETRY_AFTER_S)

    def _take_events(self) -> Iterator[Event]:
        while self.events:
            yield self.events.popleft()

    def _send_updates(self) -> None:
        encoded: dict[tuple[UpdatePart, ...], bytes] = {}
        for proxy, parts in self.updates():
            self._send_update(proxy, parts, encoded)
        while self.failed_streams:  # before the next round, which would treat these updates as sent
            self.close_stream(self.failed_streams.pop())

    def _send_update(
        self, proxy: int, parts: tuple[UpdatePart, ...], encoded: dict[tuple[UpdatePart, ...], bytes]
    ) -> None:
        """Write an update to a proxy. `encoded`: the updates of this round, as many proxies get the same."""
        if parts not in encoded:
            encoded[parts] = self.codec.encode_update(parts)
        try:
            self.streams[proxy].write(encoded[parts])
        except ConnectionClosedError as error:
            self.logger.write("stream", f"update to proxy {proxy} failed: {error}")
            self.failed_streams.append(self.streams[proxy])

    def _log_statistics(self) -> None:
        if self.rounds_since_log_line:
            self.logger.write(
                "loop",
                f"longest turn {self.max_turn_duration * 1000:.1f} ms, {self.rounds_since_log_line} rounds, "
                f"{len(self.streams)} proxies joined, {len(self.loop.registered)} descriptors waited for",
            )
        self.rounds_since_log_line, self.max_turn_duration = 0, 0.0
        self.loop.call_at(self.loop.now + STATISTICS_PERIOD_S, self._log_statistics)
