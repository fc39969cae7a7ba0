"""A whole control role: the follower, the publisher, the server and reloads, on one event loop."""

from collections.abc import Generator, Iterable, Mapping
from itertools import islice
from math import inf
from pathlib import Path
from random import SystemRandom
from typing import NamedTuple

import orjson

from oatcart.net.log import Log
from oatcart.net.loop import Loop, Wait
from oatcart.net.reload import Unusable
from oatcart.net.stream import Address
from oatcart.views.configuration import Configuration, ServedController
from oatcart.views.configuration_file import read
from oatcart.views.decisions import DecisionThread, View
from oatcart.views.leases import LeaseCheck, LeaseTable
from oatcart.views.list_guard import AcceptedList, ListChanges
from oatcart.views.list_watcher import ListWatcher
from oatcart.views.publisher import Publisher
from oatcart.views.revisions import RevisionSequence
from oatcart.views.server import Listener, Server
from oatcart.yaml_files import Wrong

VIEWS_PER_TURN = 32  # views that are brought up to date in one turn of the loop
TURNS_LOG_INTERVAL = 30.0  # s between the log's lines on how this process keeps up
MAX_NAMES_SHOWN = 5  # of conductors in one line of the log
RESTART_ONLY = "listen", "bounds", "leases"  # what only a restart changes


class ListenKey(NamedTuple):
    """An address of the file. `name`: set where any free port is asked for, as many may ask for that."""

    address: Address
    name: str


def _controllers_by_key(configuration: Configuration) -> dict[ListenKey, ServedController]:
    """The conductors that have an address of their own."""
    return {
        ListenKey(one.address, "" if one.address[1] else one.record.name): one
        for one in configuration.controllers
        if one.address is not None
    }


def _named(names: Iterable[str]) -> str:
    """
    >>> _named(["a", "b"]), _named("abcdefg")
    ('2 conductors (a, b)', '7 conductors (a, b, c, d, e, ...)')
    """
    names = sorted(names)
    more = ", ..." if len(names) > MAX_NAMES_SHOWN else ""
    return f"{len(names)} conductors ({', '.join(names[:MAX_NAMES_SHOWN])}{more})"


class ControlRole:
    """Follows the list of nodes and serves each conductor its view. `start` raises OSError."""

    def __init__(self, configuration: Configuration, loop: Loop, log: Log) -> None:
        self.configuration, self.loop, self.log = configuration, loop, log
        random = SystemRandom()
        self.decisions = DecisionThread(loop, self._apply_views)
        self.publisher = Publisher(configuration, RevisionSequence(random), self.decisions.submit)
        self.accepted = AcceptedList(configuration.guard)
        self.watcher = ListWatcher(
            self.loop, self.log, configuration.source, self.accepted, random.uniform, self._apply_list_changes
        )
        self.server = Server(
            self.loop, self.log, self.publisher, configuration.bounds, self.status, self._renew_lease
        )
        self.leases: LeaseTable | None = None  # all conductors of the file count as alive
        self.listeners: dict[ListenKey, Listener] = {}  # of conductors
        self.publishing = False  # a task gathers changes or brings views up to date
        self.failure: Exception | None = None  # of bringing views up to date
        self.longest_turn = 0.0  # s that a turn of the loop took, since the last line on it

    def start(self) -> None:
        """Listen everywhere and begin to follow."""
        self.main = self.server.listen(self.configuration.listen)
        self.listeners = self._listen(_controllers_by_key(self.configuration))
        self.log.say(
            "start",
            "control role listens at {}:{}, and at {} conductors' addresses".format(
                *self.main.address, len(self.listeners)
            ),
        )
        if self.configuration.leases is not None:
            self.leases = LeaseTable(self.configuration.leases, self.publisher.controllers, self.loop.now)
            self._schedule_lease_check()
        self.decisions.start()
        self.watcher.start()
        self._log_turns()

    def turn(self, max_wait: float = inf) -> None:
        """One turn of the loop, `max_wait` s of waiting at most.

        Raises RuntimeError where following, deciding or publishing has failed by an error that nobody
        foresaw: whoever supervises the process starts it again, and conductors keep their lists meanwhile.
        """
        self.loop.turn(max_wait)
        if self.watcher.failed:
            raise RuntimeError("the follower has failed; its log line tells why")
        if self.decisions.failure is not None:
            raise RuntimeError("a decision has failed") from self.decisions.failure
        if self.failure is not None:
            raise RuntimeError("views cannot be brought up to date") from self.failure
        self.longest_turn = max(self.longest_turn, self.loop.clock() - self.loop.now)

    def stop(self) -> None:
        """Follow and serve no more; all connections end."""
        self.watcher.stop()
        self.decisions.stop()
        for listener in (self.main, *self.listeners.values()):
            self.server.unlisten(listener)
        self.listeners = {}

    def address_of(self, name: str) -> Address:
        """Where a conductor's own address is listened at; raises KeyError."""
        return {listener.view: listener for listener in self.listeners.values()}[name].address

    def reload(self, path: str | Path) -> str:
        """Read the file again; a file that cannot be used changes nothing and raises Unusable."""
        try:
            return self.reconfigure(read(path))
        except Wrong as wrong:
            raise Unusable(str(wrong)) from None

    def reconfigure(self, new: Configuration) -> str:
        """Another configuration, all of it or nothing; hands back what is to be logged. Raises Unusable."""
        old, served_by_key = self.configuration, _controllers_by_key(new)
        try:
            new_listeners = self._listen(
                {key: one for key, one in served_by_key.items() if key not in self.listeners}
            )
        except OSError as error:
            raise Unusable(error.strerror) from None
        self.publisher.configure(new)
        if self.leases is not None:
            self.leases.configure(self.publisher.controllers, self.loop.now)
        gone = [key for key in self.listeners if key not in served_by_key]
        for key in gone:
            self.server.unlisten(self.listeners.pop(key))
        for key, listener in self.listeners.items():
            self.server.reassign(listener, served_by_key[key].record.name)
        self.listeners |= new_listeners
        self.configuration, self.accepted.guard = new, new.guard
        self.watcher.move(new.source)
        self.server.wake_watches([*self.server.watching])  # a view that is gone is refused at once
        self.server.wake_undecided([*self.server.undecided])
        self._schedule_publication()
        unchanged = [key for key in RESTART_ONLY if getattr(new, key) != getattr(old, key)]
        restart = f"; only a restart changes {', '.join(unchanged)}" if unchanged else ""
        addresses = f"{len(new_listeners)} addresses new, {len(gone)} gone"
        return f"{len(new.controllers)} conductors, {addresses}{restart}"

    def status(self) -> bytes:
        """How the control role stands, as JSON."""
        heard = self.loop.now - self.watcher.last_answer_at
        return orjson.dumps(
            {
                "nodes": len(self.publisher.entries),
                "held": len(self.accepted.unconfirmed_since),
                "source": {
                    "address": "{}:{}".format(*self.watcher.source.address),
                    "revision": self.watcher.revision,
                    "heard_s_ago": round(heard, 3) if self.publisher.entries else None,
                },
                "conductors": len(self.publisher.controllers),
                "connections": len(self.server.tasks),
                "leases": self._lease_status(),
                "undecided_calls": {
                    "held": sum(map(len, self.server.undecided.values())),
                    "answered": self.server.undecided_calls.answered,
                    "refused": self.server.undecided_calls.rejected,
                },
                "views": {
                    name: {
                        "nodes": len(history.entries),
                        "revision": history.revision,
                        "watches": len(self.server.watching.get(name, ())),
                    }
                    for name, history in self.publisher.histories.items()
                },
                "failures": self.publisher.failures(),
            }
        )

    def _listen(self, controllers: Mapping[ListenKey, ServedController]) -> dict[ListenKey, Listener]:
        """Listeners for conductors; all or, with OSError, none."""
        listeners: dict[ListenKey, Listener] = {}
        for key, served in controllers.items():
            try:
                listeners[key] = self.server.listen(key.address, served.record.name)
            except OSError as error:
                for listener in listeners.values():
                    self.server.unlisten(listener)
                at = "{}:{}".format(*key.address)
                raise OSError(error.errno, f"{served.record.name}: {at}: {error.strerror}") from None
        return listeners

    def _apply_list_changes(self, changes: ListChanges) -> None:
        self._check_sizes(changes)
        self.publisher.apply_list_changes(changes)
        self._schedule_publication()

    def _check_sizes(self, changes: ListChanges) -> None:
        """The bytes of a view are bounded by its number of nodes and by what the file tells of an entry."""
        longest = max((len(entry.encoded) for entry in changes.changed.values()), default=0)
        allowed = self.configuration.limits.max_entry_bytes
        if longest > allowed:
            self.log.say(
                "size",
                f"an entry takes {longest} bytes, more than views.most_entry_bytes {allowed}: "
                "a view may take more than views.most_bytes",
            )

    def _apply_views(self, views: Mapping[str, View]) -> None:
        self.publisher.apply_views(views)
        self._schedule_publication()
        if waiting := [name for name in views if self.server.undecided.get(name)]:
            self.loop.spawn(self._answer_undecided(waiting))

    def _answer_undecided(self, names: list[str]) -> Generator[Wait, bool, None]:
        """Answer the calls that are held open for these views, some views in a turn of the loop."""
        for start in range(0, len(names), VIEWS_PER_TURN):
            self.server.wake_undecided(names[start : start + VIEWS_PER_TURN])
            yield self._next_turn()

    def _next_turn(self) -> Wait:
        """A time after this turn's: what is due by `loop.now` is run in the same turn."""
        return Wait(until=self.loop.clock())

    def _renew_lease(self, name: str) -> None:
        if self.leases is not None and self.leases.renew(name, self.loop.now):
            self.publisher.restore(name)
            self.log.say("leases", f"{name} is back; its view is decided anew")

    def _schedule_lease_check(self) -> None:
        self.loop.at(self.loop.now + self.leases.check_interval, self._check_leases)

    def _check_leases(self) -> None:
        """A call that stands renews its lease as well."""
        for calls in self.server.watching, self.server.undecided:
            for name in [name for name, streams in calls.items() if streams]:
                self._renew_lease(name)
        lease_check = self.leases.check(self.loop.now)
        if lease_check.expired:
            self.publisher.expire(lease_check.expired)
        self._log_lease_check(lease_check)
        self._schedule_lease_check()

    def _log_lease_check(self, lease_check: LeaseCheck) -> None:
        if lease_check.expired:
            self.log.say(
                "leases",
                f"{_named(lease_check.expired)} silent for longer than lease and grace; "
                "others get their shares of the nodes",
            )
        if lease_check.is_retention_new:
            self.log.say(
                "leases",
                f"{_named(lease_check.retained)} silent for longer than lease and grace, "
                "too many at once; they stay for the hold",
            )

    def _lease_status(self) -> dict[str, object] | None:
        if self.leases is None:
            return None
        return {"silent": sorted(self.leases.expired), "doubted": len(self.leases.retained)}

    def _schedule_publication(self) -> None:
        if not self.publishing:
            self.publishing = True
            self.loop.spawn(self._publish())

    def _publish(self) -> Generator[Wait, bool, None]:
        """Gather changes for a while, then bring the views up to date, some in a turn of the loop."""
        try:
            yield Wait(until=self.loop.now + self.configuration.bounds.batching_delay)
            while self.publisher.unpublished:
                self.server.wake_watches(
                    self.publisher.publish([*islice(self.publisher.unpublished, VIEWS_PER_TURN)])
                )
                yield self._next_turn()
        except Exception as error:
            self.failure = error
            raise
        finally:
            self.publishing = False

    def _log_turns(self) -> None:
        watches = sum(map(len, self.server.watching.values()))
        self.log.say(
            "turns",
            f"longest {self.longest_turn * 1000:.1f} ms, {len(self.publisher.entries)} nodes, "
            f"{len(self.publisher.histories)} views, {watches} watches, {len(self.server.tasks)} connections",
        )
        self.longest_turn = 0.0
        self.loop.at(self.loop.now + TURNS_LOG_INTERVAL, self._log_turns)
