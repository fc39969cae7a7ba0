"""A complete control role on one event loop: list watcher, decisions, publisher, server, leases and
reloads."""

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
from oatcart.views.configuration import Configuration, ServedController
from oatcart.views.configuration_file import read
from oatcart.views.decisions import DecisionThread, View
from oatcart.views.leases import LeaseCheck, LeaseTable
from oatcart.views.list_guard import AcceptedList, ListChanges
from oatcart.views.list_watcher import ListWatcher
from oatcart.views.listener import Listener
from oatcart.views.publisher import Publisher
from oatcart.views.revisions import RevisionSequence
from oatcart.views.server import Server

VIEWS_PER_TURN = 32  # published in one turn of the loop
TURNS_LOG_INTERVAL = 30.0  # s between log lines with the longest turn
MAX_LOGGED_NAMES = 5  # of controllers in a log line
RESTART_ONLY_SETTINGS = "listen", "bounds", "leases"  # settings that only take effect at a restart


class ListenKey(NamedTuple):
    """An address in the deploy file. `name`: the controller if the port is 0 (any free port), as several
    controllers may request that; else empty."""

    address: Address
    name: str


def _served_by_key(configuration: Configuration) -> dict[ListenKey, ServedController]:
    """The controllers with an address of their own."""
    return {
        ListenKey(served.address, "" if served.address[1] else served.record.name): served
        for served in configuration.controllers
        if served.address is not None
    }


def _format_names(names: Iterable[str]) -> str:
    """
    >>> _format_names(["a", "b"]), _format_names("abcdefg")
    ('2 controllers (a, b)', '7 controllers (a, b, c, d, e, ...)')
    """
    names = sorted(names)
    more = ", ..." if len(names) > MAX_LOGGED_NAMES else ""
    return f"{len(names)} controllers ({', '.join(names[:MAX_LOGGED_NAMES])}{more})"


class ControlRole:
    """Watches the endpoint list and serves each controller its view."""

    def __init__(self, configuration: Configuration, loop: Loop, log: Log) -> None:
        self.configuration, self.loop, self.log = configuration, loop, log
        random = SystemRandom()
        self.decisions = DecisionThread(loop, self._apply_views)
        self.publisher = Publisher(configuration, RevisionSequence(random), self.decisions.submit)
        self.accepted = AcceptedList(configuration.guard)
        self.watcher = ListWatcher(
            loop, log, configuration.source, self.accepted, random.uniform, self._apply_list_changes
        )
        self.server = Server(loop, log, self.publisher, configuration.bounds, self.status, self._renew_lease)
        self.leases: LeaseTable | None = None  # None: no controller needs a lease
        self.listeners: dict[ListenKey, Listener] = {}  # at controllers' own addresses
        self.is_publishing = False
        self.failure: Exception | None = None  # why publishing failed
        self.longest_turn = 0.0  # s, since it was last logged

    def start(self) -> None:
        """Listens at all addresses and starts to watch the endpoint list. Raises OSError."""
        self.main_listener = self.server.listen(self.configuration.listen)
        self.listeners = self._listen(_served_by_key(self.configuration))
        address = "{}:{}".format(*self.main_listener.address)
        self.log.write(
            "start",
            f"control role listens at {address}, and at {len(self.listeners)} addresses of controllers",
        )
        if self.configuration.leases is not None:
            self.leases = LeaseTable(self.configuration.leases, self.publisher.controllers, self.loop.now)
            self._schedule_lease_check()
        self.decisions.start()
        self.watcher.start()
        self._log_turns()

    def turn(self, max_wait: float = inf) -> None:
        """Runs one turn of the loop, which waits at most `max_wait` s.

        Raises RuntimeError if watching, deciding or publishing failed with an unexpected error. The process
        then has to be restarted by its supervisor; controllers keep their lists meanwhile.
        """
        self.loop.turn(max_wait)
        if self.watcher.failed:
            raise RuntimeError("the list watcher has failed; see its log line")
        if self.decisions.failure is not None:
            raise RuntimeError("a decision has failed") from self.decisions.failure
        if self.failure is not None:
            raise RuntimeError("views cannot be published") from self.failure
        self.longest_turn = max(self.longest_turn, self.loop.clock() - self.loop.now)

    def stop(self) -> None:
        """Stops watching, deciding and serving, and closes all connections."""
        self.watcher.stop()
        self.decisions.stop()
        for listener in (self.main_listener, *self.listeners.values()):
            self.server.close_listener(listener)
        self.listeners = {}

    def address_of(self, name: str) -> Address:
        """A controller's own listening address. Raises KeyError if it has none."""
        return {listener.view: listener for listener in self.listeners.values()}[name].address

    def reload(self, path: str | Path) -> str:
        """Reads the deploy file again, applies it and returns the text to log. An invalid file changes
        nothing and raises InvalidConfigurationError."""
        return self.reconfigure(read(path))

    def reconfigure(self, new: Configuration) -> str:
        """Applies another configuration and returns the text to log. Raises InvalidConfigurationError, and
        changes nothing, if listening at an address fails."""
        old, served_by_key = self.configuration, _served_by_key(new)
        added_keys = served_by_key.keys() - self.listeners.keys()
        try:
            added = self._listen({key: served_by_key[key] for key in served_by_key if key in added_keys})
        except OSError as error:
            raise InvalidConfigurationError(error.strerror) from None
        self.publisher.configure(new)
        if self.leases is not None:
            self.leases.configure(self.publisher.controllers, self.loop.now)
        removed = self._replace_listeners(added, served_by_key)
        self.configuration, self.accepted.guard = new, new.guard
        self.watcher.change_source(new.source)
        self.server.wake_watches([*self.server.watching])  # watches of removed views are rejected at once
        self.server.wake_undecided([*self.server.undecided])
        self._schedule_publication()
        unapplied = [key for key in RESTART_ONLY_SETTINGS if getattr(new, key) != getattr(old, key)]
        restart = f"; only a restart changes {', '.join(unapplied)}" if unapplied else ""
        return f"{len(new.controllers)} controllers, {len(added)} addresses added, {removed} removed{restart}"

    def status(self) -> bytes:
        """The state of the control role, as JSON for `GET /v1/views`."""
        source_age = self.loop.now - self.watcher.last_response_at
        calls = self.server.undecided_calls
        return orjson.dumps(
            {
                "nodes": len(self.publisher.entries),
                "held": len(self.accepted.unconfirmed_since),
                "source": {
                    "address": "{}:{}".format(*self.watcher.source.address),
                    "revision": self.watcher.revision,
                    "heard_s_ago": round(source_age, 3) if self.publisher.entries else None,
                },
                "conductors": len(self.publisher.controllers),
                "connections": len(self.server.tasks),
                "leases": self._lease_status(),
                "undecided_calls": {
                    "held": sum(map(len, self.server.undecided.values())),
                    "answered": calls.answered,
                    "refused": calls.rejected,
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

    def _lease_status(self) -> dict[str, object] | None:
        if self.leases is None:
            return None
        return {"silent": sorted(self.leases.expired), "doubted": len(self.leases.retained)}

    def _listen(self, served_by_key: Mapping[ListenKey, ServedController]) -> dict[ListenKey, Listener]:
        """Opens listeners for controllers. Raises OSError, and opens none, if one of them fails."""
        listeners: dict[ListenKey, Listener] = {}
        for key, served in served_by_key.items():
            try:
                listeners[key] = self.server.listen(key.address, served.record.name)
            except OSError as error:
                for listener in listeners.values():
                    self.server.close_listener(listener)
                address = "{}:{}".format(*key.address)
                raise OSError(error.errno, f"{served.record.name}: {address}: {error.strerror}") from None
        return listeners

    def _replace_listeners(
        self, added: dict[ListenKey, Listener], served_by_key: Mapping[ListenKey, ServedController]
    ) -> int:
        """Adds the new listeners, closes those no longer configured and returns the number of closed ones."""
        removed = [key for key in self.listeners if key not in served_by_key]
        for key in removed:
            self.server.close_listener(self.listeners.pop(key))
        for key, listener in self.listeners.items():
            self.server.reassign(listener, served_by_key[key].record.name)
        self.listeners |= added
        return len(removed)

    def _apply_list_changes(self, changes: ListChanges) -> None:
        self._check_entry_sizes(changes)
        self.publisher.apply_list_changes(changes)
        self._schedule_publication()

    def _check_entry_sizes(self, changes: ListChanges) -> None:
        """Logs if an entry is longer than configured: the size of a view in bytes is limited by its number of
        endpoints times the configured maximum size of an entry."""
        longest = max((len(entry.encoded) for entry in changes.changed.values()), default=0)
        limit = self.configuration.limits.max_entry_bytes
        if longest > limit:
            self.log.write(
                "size",
                f"an entry takes {longest} bytes, more than views.most_entry_bytes {limit}: "
                "a view may take more than views.most_bytes",
            )

    def _apply_views(self, views: Mapping[str, View]) -> None:
        self.publisher.apply_views(views)
        self._schedule_publication()
        if awaited := [name for name in views if self.server.undecided.get(name)]:
            self.loop.spawn(self._answer_undecided(awaited))

    def _answer_undecided(self, names: list[str]) -> Generator[Wait, bool, None]:
        """Wakes the calls that wait for these views, `VIEWS_PER_TURN` views in a turn of the loop."""
        for start in range(0, len(names), VIEWS_PER_TURN):
            self.server.wake_undecided(names[start : start + VIEWS_PER_TURN])
            yield self._next_turn()

    def _next_turn(self) -> Wait:
        """A wait for the next turn of the loop. Its deadline is the current clock time, later than
        `loop.now`, as a wait until `loop.now` would end in the current turn."""
        return Wait(deadline=self.loop.clock())

    def _renew_lease(self, name: str) -> None:
        if self.leases is not None and self.leases.renew(name, self.loop.now):
            self.publisher.restore(name)
            self.log.write("leases", f"{name} called after its lease had expired; its view is decided again")

    def _schedule_lease_check(self) -> None:
        self.loop.call_at(self.loop.now + self.leases.check_interval, self._check_leases)

    def _check_leases(self) -> None:
        """Expires overdue leases. Calls that wait for a response renew their leases first, so that a stall of
        this process expires no controller with a watch."""
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
            self.log.write(
                "leases",
                f"{_format_names(lease_check.expired)} expired; their endpoints are assigned to others",
            )
        if lease_check.is_retention_new:
            self.log.write(
                "leases",
                f"{_format_names(lease_check.retained)} overdue, a mass expiry: their leases are retained",
            )

    def _schedule_publication(self) -> None:
        if not self.is_publishing:
            self.is_publishing = True
            self.loop.spawn(self._publish())

    def _publish(self) -> Generator[Wait, bool, None]:
        """Waits for the batching delay, then publishes all changes, `VIEWS_PER_TURN` views in a turn of the
        loop."""
        try:
            yield Wait(deadline=self.loop.now + self.configuration.bounds.batching_delay)
            while self.publisher.unpublished:
                names = [*islice(self.publisher.unpublished, VIEWS_PER_TURN)]
                self.server.wake_watches(self.publisher.publish(names))
                yield self._next_turn()
        except Exception as error:
            self.failure = error
            raise
        finally:
            self.is_publishing = False

    def _log_turns(self) -> None:
        watches = sum(map(len, self.server.watching.values()))
        self.log.write(
            "turns",
            f"longest {self.longest_turn * 1000:.1f} ms, {len(self.publisher.entries)} endpoints, "
            f"{len(self.publisher.histories)} views, {watches} watches, {len(self.server.tasks)} connections",
        )
        self.longest_turn = 0.0
        self.loop.call_at(self.loop.now + TURNS_LOG_INTERVAL, self._log_turns)
