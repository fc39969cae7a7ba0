"""Rounds: all that came in since the last one goes to the module in one call, its orders to the proxies."""

import traceback
from collections import deque
from collections.abc import Callable, Iterator
from math import inf

from oatcart.events import Event
from oatcart.net.codec import Codec
from oatcart.net.ending import Ended
from oatcart.net.log import Log
from oatcart.net.loop import Loop
from oatcart.net.probe import Prober
from oatcart.net.roll import Watcher
from oatcart.net.stream import Stream
from oatcart.routing_tables import RoutingTables, UpdatePart

FAILED_WAKE = 0.25  # s until the next round after one that failed and may not have asked for a wake
TELL_EVERY = 30.0  # s between the log's lines on how this process keeps up


class Rounds(RoutingTables):
    """The order writer on sockets."""

    def __init__(self, loop: Loop, log: Log, codec: Codec, least_gap: float, unix: float) -> None:
        super().__init__(len(codec.kind_names))
        self.loop, self.log, self.codec, self.least_gap = loop, log, codec, least_gap
        self.offset = unix - loop.now  # the roll tells starts by Unix time; it is read once, so never jumps
        self.came: deque[Event] = deque()
        self.streams: dict[int, Stream] = {}
        self.lost: list[Stream] = []  # that could not be written to this round
        self.due = self.set_off = False
        self.last = -inf  # the first round is due at once; a clock less the gap may round to later
        self.rounds, self.longest = 0, 0.0  # since the last line on how this process keeps up; s
        self._keep_telling()

    def start(self, call: Callable, watcher: Watcher, prober: Prober) -> None:
        self.call, self.watcher, self.prober = call, watcher, prober

    def ends_by(self, end: Callable[[Stream], None]) -> None:
        """`end` ends the life of a stream, which tells that its proxy has left."""
        self.end = end

    def arrive(self, arrival: Event) -> None:
        self.came.append(arrival)
        self.due = True

    def join(self, proxy: int, blank: bool, stream: Stream) -> None:
        self.streams[proxy] = stream
        self.add_proxy(proxy, blank)

    def leave(self, proxy: int, stream: Stream) -> bool:
        """Whether the proxy has left with this stream; an old one that ends late says nothing."""
        if self.streams.get(proxy) is not stream:
            return False
        del self.streams[proxy]
        self.remove_proxy(proxy)
        return True

    def check_health(self, node: int) -> None:
        self.prober.probe(node)

    def watch_endpoints(self, on: bool) -> None:
        self.watcher.follow(on)

    def fetch_endpoints(self) -> None:
        self.watcher.fetch()

    def schedule_round(self, after: float) -> None:
        self.loop.at(self.loop.now + after, self._woken)

    def _woken(self) -> None:
        self.due = True

    def log(self, text: str) -> None:
        self.log.say("note", text)

    def turn(self) -> None:
        """After each turn of the loop: a round, if one is due and the last is far enough back."""
        if self.due and self.loop.now - self.last >= self.least_gap:
            self.due, self.last = False, self.loop.now
            self.rounds += 1
            self._round(self.loop.now + self.offset)
            dropped = self.changes.forgotten
            try:
                self._tell()
            except Exception:
                self.log.say("round", f"its orders cannot be told\n{traceback.format_exc()}")
            for node in dropped:  # told, and nothing that is still to be read names it by its number
                self.codec.free(node)
                self.watcher.addresses.pop(node, None)
        elif self.due and not self.set_off:
            self.set_off = True
            self.loop.at(self.last + self.least_gap, self._gap_over)
        self.longest = max(self.longest, self.loop.clock() - self.loop.now)

    def _gap_over(self) -> None:
        self.set_off = False

    def _keep_telling(self) -> None:
        if self.rounds:
            self.log.say(
                "turns",
                f"longest {self.longest * 1000:.1f} ms, {self.rounds} rounds, "
                f"{len(self.streams)} proxies, {len(self.loop.masks)} connections",
            )
        self.rounds, self.longest = 0, 0.0
        self.loop.at(self.loop.now + TELL_EVERY, self._keep_telling)

    def _round(self, now: float) -> None:
        """A mistake in one arrival costs that arrival alone: the module goes on behind it."""
        while True:
            try:
                return self.call(now, self._drain(), self)
            except Exception:
                self.log.say("round", f"failed, {len(self.came)} arrivals left\n{traceback.format_exc()}")
                if not self.came:
                    return self.schedule_round(FAILED_WAKE)

    def _drain(self) -> Iterator[Event]:
        while self.came:
            yield self.came.popleft()

    def _tell(self) -> None:
        encoded: dict[tuple, bytes] = {}
        for proxy, parts in self.updates():
            self._tell_one(proxy, parts, encoded)
        while self.lost:  # before another round, which would count its orders as told
            self.end(self.lost.pop())

    def _tell_one(self, proxy: int, parts: tuple[UpdatePart, ...], encoded: dict[tuple, bytes]) -> None:
        if parts not in encoded:
            encoded[parts] = self.codec.message(parts)
        try:
            self.streams[proxy].write(encoded[parts])
        except Ended as ended:
            self.log.say("stream", f"proxy {proxy} cannot be told: {ended}")
            self.lost.append(self.streams[proxy])
