"""The roll: the list of nodes, watched and fetched at discovery."""

from collections.abc import Callable, Generator
from math import inf

from oatcart.errors import CloseReason, ConnectionClosedError
from oatcart.events import EndpointListFailed, EndpointListReceived
from oatcart.net.codec import ROLL_PATH, Codec, Roll, parsed, watch_path
from oatcart.net.http_client import HttpClient
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Task, Wait
from oatcart.net.stream import Address

# s for a call that doesn't wait: its news counts as told after 6, and a busy discovery needs 2
CALL_MOST = 4.0
WATCH_OVER = 2.0  # s beyond the wait that a call asks for; from then on its news counts as told
# of the wait that a call asks for: an answer that says nothing new comes at its end, give or take
EARLY = 0.5


class Watcher:
    def __init__(
        self,
        loop: Loop,
        codec: Codec,
        log: Log,
        discovery: Address,
        wait: float,
        arrive: Callable[[tuple], None],
    ) -> None:
        self.loop, self.codec, self.log, self.discovery = loop, codec, log, discovery
        self.wait, self.arrive = wait, arrive
        self.revision = 0
        # the revisions may be others from the next answer on: another address, another life
        self.anew = False
        self.wanted = False  # the module follows the list, whether a watch stands or it waits to ask again
        self.addresses: dict[int, Address] = {}
        self.watching: Task | None = None
        self.fetching = False

    def move(self, discovery: Address) -> None:
        """From now on all is asked at another address; what is under way at the old one, which may be closed
        or answer with what is out of date, is asked anew. Streams, tables and the list stay as they are."""
        if discovery == self.discovery:
            return
        self.discovery, self.anew = discovery, True
        if self.fetching:
            self.loop.cancel(self.fetcher)
        if self.wanted:  # at once, also where the module waits after a failure at the old address
            self.follow(True)

    def take(self, roll: Roll, since: float = 0) -> None:
        """What came late says nothing new; older than what was asked for, discovery has started over."""
        for odd in roll.odd:
            self.log.write("odd", odd)
        if roll.revision >= self.revision or roll.revision < since:
            self.revision = roll.revision
            self.addresses |= roll.addresses  # of an older list they may be of a node's former life
            self.arrive(EndpointListReceived(roll.whole, roll.entries))
        else:
            self.arrive(EndpointListReceived(False, []))

    def follow(self, on: bool) -> None:
        self.wanted = on
        if self.watching is not None:
            self.loop.cancel(self.watching)
            self.watching = None
        if on:
            watching = self.loop.spawn(self._watch())
            self.watching = None if watching.done else watching  # it may fail at once, as it is started

    def fetch(self) -> None:
        if not self.fetching:
            self.fetcher = self.loop.spawn(self._fetch())

    def _watch(self) -> Generator[Wait, bool, None]:
        """The life of a watch: the first answer at once, then each as it comes, until a call fails. The first
        answer of another address is its whole list, whatever its revision; so is the next one where discovery
        has started over, as its changes do not tell what has gone. An answer before its time that says
        nothing new fails too: asked again at once it would be again, as fast as the network goes."""
        client, wait = HttpClient(self.loop, self.discovery), 0.0
        try:
            while True:
                asked, since = self.loop.now, self.revision
                path, since = (ROLL_PATH, inf) if self.anew else (watch_path(since, wait), since)
                until = asked + (wait + WATCH_OVER if wait else CALL_MOST)
                roll = self.codec.roll(parsed((yield from client.get(path, until))))
                self.anew = roll.revision < since < inf and not roll.whole
                if self.anew:
                    raise ConnectionClosedError(
                        CloseReason.MALFORMED, f"changes up to {roll.revision} since {since}"
                    )
                if roll.revision == since and self.loop.now - asked < EARLY * wait:
                    raise ConnectionClosedError(CloseReason.MALFORMED, "nothing, before its time")
                if not wait or roll.whole or roll.entries:  # a wait that brought nothing is no news
                    self.take(roll, since)
                self.revision = max(self.revision, roll.revision)  # also where nobody has changed
                wait = self.wait
        except ConnectionClosedError as ended:
            self.watching = None
            self._failed("watch", ended)
        finally:
            client.close()

    def _fetch(self) -> Generator[Wait, bool, None]:
        client, self.fetching = HttpClient(self.loop, self.discovery), True
        try:
            self.take(self.codec.roll(parsed((yield from client.get(ROLL_PATH, self.loop.now + CALL_MOST)))))
        except ConnectionClosedError as ended:
            self._failed("fetch", ended)
        finally:
            self.fetching = False
            client.close()

    def _failed(self, what: str, ended: ConnectionClosedError) -> None:
        self.log.write("roll", f"the {what} ended: {ended}")
        self.arrive(EndpointListFailed())
