"""A whole control role: the follower, the publisher, the server and reloads, on one event loop."""

import time
from collections.abc import Generator, Iterable, Mapping
from itertools import islice
from math import inf
from pathlib import Path
from random import SystemRandom
from typing import NamedTuple

import orjson

from oatcart.errors import InvalidConfigurationError
from oatcart.net.log import Log
from oatcart.net.loop import Loop, Wait
from oatcart.net.stream import Address
from oatcart.views.configuration import Conductor, Configuration, Wrong, read
from oatcart.views.deciding import DecidingThread, View
from oatcart.views.follower import Follower
from oatcart.views.leases import Leases, Silence
from oatcart.views.publisher import Publisher
from oatcart.views.revisions import Revisions
from oatcart.views.server import Listener, Server
from oatcart.views.trust import Outcome, TrustedList

SLICE = 32  # views that are brought up to date in one turn of the loop
TELL_EVERY = 30.0  # s between the log's lines on how this process keeps up
NAMES_SHOWN = 5  # of conductors in one line of the log
STARTED_ONCE = "listen", "bounds", "leases"  # what only a restart changes


class ListenKey(NamedTuple):
    """An address of the file. `name`: set where any free port is asked for, as many may ask for that."""

    address: Address
    name: str


def _conductors_by_key(configuration: Configuration) -> dict[ListenKey, Conductor]:
    """The conductors that have an address of their own."""
    return {
        ListenKey(one.address, "" if one.address[1] else one.viewer.name): one
        for one in configuration.conductors
        if one.address is not None
    }


def _shown(names: Iterable[str]) -> str:
    """
    >>> _shown(["a", "b"]), _shown("abcdefg")
    ('2 conductors (a, b)', '7 conductors (a, b, c, d, e, ...)')
    """
    names = sorted(names)
    more = ", ..." if len(names) > NAMES_SHOWN else ""
    return f"{len(names)} conductors ({', '.join(names[:NAMES_SHOWN])}{more})"


class ControlRole:
    """Follows the list of nodes and serves each conductor its view. `start` raises OSError."""

    def __init__(self, configuration: Configuration, loop: Loop, log: Log) -> None:
        self.configuration, self.loop, self.log = configuration, loop, log
        chance = SystemRandom()
        self.deciding = DecidingThread(loop, self._decided)
        self.publisher = Publisher(configuration, Revisions(time.time, chance), self.deciding.put)
        self.trusted = TrustedList(configuration.guard)
        self.follower = Follower(
            self.loop, self.log, configuration.source, self.trusted, chance.uniform, self._taken
        )
        self.server = Server(
            self.loop, self.log, self.publisher, configuration.bounds, self.status, self._called
        )
        self.leases: Leases | None = None  # all conductors of the file count as alive
        self.listeners: dict[ListenKey, Listener] = {}  # of conductors
        self.publishing = False  # a task gathers changes or brings views up to date
        self.failure: Exception | None = None  # of bringing views up to date
        self.longest = 0.0  # s that a turn of the loop took, since the last line on it

    def start(self) -> None:
        """Listen everywhere and begin to follow."""
        self.main = self.server.listen(self.configuration.listen)
        self.listeners = self._listen(_conductors_by_key(self.configuration))
        self.log.write(
            "start",
            "control role listens at {}:{}, and at {} conductors' addresses".format(
                *self.main.address, len(self.listeners)
            ),
        )
        if self.configuration.leases is not None:
            self.leases = Leases(self.configuration.leases, self.publisher.viewers, self.loop.now)
            self._check_leases_later()
        self.deciding.start()
        self.follower.start()
        self._keep_telling()

    def turn(self, longest: float = inf) -> None:
        """One turn of the loop, `longest` s of waiting at most.

        Raises RuntimeError where following, deciding or publishing has failed by an error that nobody
        foresaw: whoever supervises the process starts it again, and conductors keep their lists meanwhile.
        """
        self.loop.turn(longest)
        if self.follower.failed:
            raise RuntimeError("the follower has failed; its log line tells why")
        if self.deciding.failure is not None:
            raise RuntimeError("a decision has failed") from self.deciding.failure
        if self.failure is not None:
            raise RuntimeError("views cannot be brought up to date") from self.failure
        self.longest = max(self.longest, self.loop.clock() - self.loop.now)

    def stop(self) -> None:
        """Follow and serve no more; all connections end."""
        self.follower.stop()
        self.deciding.stop()
        for listener in (self.main, *self.listeners.values()):
            self.server.unlisten(listener)
        self.listeners = {}

    def address_of(self, name: str) -> Address:
        """Where a conductor's own address is listened at; raises KeyError."""
        return {listener.view: listener for listener in self.listeners.values()}[name].address

    def reload(self, path: str | Path) -> str:
        """Read the file again; a file that cannot be used changes nothing and raises
        InvalidConfigurationError."""
        try:
            return self.reconfigure(read(path))
        except Wrong as wrong:
            raise InvalidConfigurationError(str(wrong)) from None

    def reconfigure(self, new: Configuration) -> str:
        """Another configuration, all of it or nothing; hands back what is to be logged. Raises
        InvalidConfigurationError."""
        old, wanted = self.configuration, _conductors_by_key(new)
        try:
            fresh = self._listen({key: one for key, one in wanted.items() if key not in self.listeners})
        except OSError as error:
            raise InvalidConfigurationError(error.strerror) from None
        self.publisher.configure(new)
        if self.leases is not None:
            self.leases.configure(self.publisher.viewers, self.loop.now)
        gone = [key for key in self.listeners if key not in wanted]
        for key in gone:
            self.server.unlisten(self.listeners.pop(key))
        for key, listener in self.listeners.items():
            self.server.hand_over(listener, wanted[key].viewer.name)
        self.listeners |= fresh
        self.configuration, self.trusted.guard = new, new.guard
        self.follower.move(new.source)
        self.server.wake([*self.server.waiting])  # a view that is gone is refused at once
        self.server.wake_undecided([*self.server.undecided])
        self._publish_soon()
        kept = [key for key in STARTED_ONCE if getattr(new, key) != getattr(old, key)]
        restart = f"; only a restart changes {', '.join(kept)}" if kept else ""
        return f"{len(new.conductors)} conductors, {len(fresh)} addresses new, {len(gone)} gone{restart}"

    def status(self) -> bytes:
        """How the control role stands, as JSON."""
        heard = self.loop.now - self.follower.heard
        return orjson.dumps(
            {
                "nodes": len(self.publisher.entries),
                "held": len(self.trusted.doubted),
                "source": {
                    "address": "{}:{}".format(*self.follower.source.address),
                    "revision": self.follower.revision,
                    "heard_s_ago": round(heard, 3) if self.publisher.entries else None,
                },
                "conductors": len(self.publisher.viewers),
                "connections": len(self.server.lives),
                "leases": self._lease_status(),
                "undecided_calls": {
                    "held": sum(map(len, self.server.undecided.values())),
                    "answered": self.server.undecided_calls.answered,
                    "refused": self.server.undecided_calls.refused,
                },
                "views": {
                    name: {
                        "nodes": len(history.members),
                        "revision": history.revision,
                        "watches": len(self.server.waiting.get(name, ())),
                    }
                    for name, history in self.publisher.histories.items()
                },
                "failures": self.publisher.failures(),
            }
        )

    def _listen(self, conductors: Mapping[ListenKey, Conductor]) -> dict[ListenKey, Listener]:
        """Listeners for conductors; all or, with OSError, none."""
        listeners: dict[ListenKey, Listener] = {}
        for key, conductor in conductors.items():
            try:
                listeners[key] = self.server.listen(key.address, conductor.viewer.name)
            except OSError as error:
                for listener in listeners.values():
                    self.server.unlisten(listener)
                at = "{}:{}".format(*key.address)
                raise OSError(error.errno, f"{conductor.viewer.name}: {at}: {error.strerror}") from None
        return listeners

    def _taken(self, outcome: Outcome) -> None:
        self._check_sizes(outcome)
        self.publisher.take(outcome)
        self._publish_soon()

    def _check_sizes(self, outcome: Outcome) -> None:
        """The bytes of a view are bounded by its number of nodes and by what the file tells of an entry."""
        longest = max((len(entry.encoded) for entry in outcome.changed.values()), default=0)
        told = self.configuration.limits.most_entry_bytes
        if longest > told:
            self.log.write(
                "size",
                f"an entry takes {longest} bytes, more than views.most_entry_bytes {told}: "
                "a view may take more than views.most_bytes",
            )

    def _decided(self, views: Mapping[str, View]) -> None:
        self.publisher.decided(views)
        self._publish_soon()
        if held := [name for name in views if self.server.undecided.get(name)]:
            self.loop.spawn(self._answer_undecided(held))

    def _answer_undecided(self, names: list[str]) -> Generator[Wait, bool, None]:
        """Answer the calls that are held open for these views, some views in a turn of the loop."""
        for start in range(0, len(names), SLICE):
            self.server.wake_undecided(names[start : start + SLICE])
            yield self._next_turn()

    def _next_turn(self) -> Wait:
        """A time after this turn's: what is due by `loop.now` is run in the same turn."""
        return Wait(deadline=self.loop.clock())

    def _called(self, name: str) -> None:
        if self.leases is not None and self.leases.renew(name, self.loop.now):
            self.publisher.come_back(name)
            self.log.write("leases", f"{name} is back; its view is decided anew")

    def _check_leases_later(self) -> None:
        self.loop.call_at(self.loop.now + self.leases.check_every, self._check_leases)

    def _check_leases(self) -> None:
        """A call that stands renews its lease as well."""
        for calls in self.server.waiting, self.server.undecided:
            for name in [name for name, streams in calls.items() if streams]:
                self._called(name)
        silence = self.leases.check(self.loop.now)
        if silence.left:
            self.publisher.leave(silence.left)
        self._tell_silence(silence)
        self._check_leases_later()

    def _tell_silence(self, silence: Silence) -> None:
        if silence.left:
            self.log.write(
                "leases",
                f"{_shown(silence.left)} silent for longer than lease and grace; "
                "others get their shares of the nodes",
            )
        if silence.is_new_doubt:
            self.log.write(
                "leases",
                f"{_shown(silence.doubted)} silent for longer than lease and grace, "
                "too many at once; they stay for the hold",
            )

    def _lease_status(self) -> dict[str, object] | None:
        if self.leases is None:
            return None
        return {"silent": sorted(self.leases.silent), "doubted": len(self.leases.doubted)}

    def _publish_soon(self) -> None:
        if not self.publishing:
            self.publishing = True
            self.loop.spawn(self._publish())

    def _publish(self) -> Generator[Wait, bool, None]:
        """Gather changes for a while, then bring the views up to date, some in a turn of the loop."""
        try:
            yield Wait(deadline=self.loop.now + self.configuration.bounds.gather)
            while self.publisher.changed:
                self.server.wake(self.publisher.publish([*islice(self.publisher.changed, SLICE)]))
                yield self._next_turn()
        except Exception as error:
            self.failure = error
            raise
        finally:
            self.publishing = False

    def _keep_telling(self) -> None:
        watches = sum(map(len, self.server.waiting.values()))
        self.log.write(
            "turns",
            f"longest {self.longest * 1000:.1f} ms, {len(self.publisher.entries)} nodes, "
            f"{len(self.publisher.histories)} views, {watches} watches, {len(self.server.lives)} connections",
        )
        self.longest = 0.0
        self.loop.call_at(self.loop.now + TELL_EVERY, self._keep_telling)
