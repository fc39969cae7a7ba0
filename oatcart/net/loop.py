"""The event loop: select.epoll, timers, and generators as coroutines.

A coroutine yields a `Wait`. It is resumed with True once its descriptor is ready, with False once the
deadline has passed. Times are seconds of the loop's clock.
"""

import select
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HUNG_UP = select.EPOLLERR | select.EPOLLHUP
MAX_EVENTS_PER_TURN = 256  # the rest is handled in the next turn, so that timers are not late
NO_DESCRIPTOR = -1  # of a wait for a deadline only


class Wait(NamedTuple):
    """What a coroutine waits for: an event of a descriptor, a deadline, or whichever comes first."""

    fd: int = NO_DESCRIPTOR
    event: int = READABLE
    deadline: float = inf


Coroutine = Generator[Wait, bool, object]


class Task:
    """A running coroutine and its current wait. `resumptions` tells which of its timers are outdated."""

    __slots__ = ("coroutine", "wait", "resumptions")

    def __init__(self, coroutine: Coroutine) -> None:
        self.coroutine = coroutine
        self.wait = Wait()
        self.resumptions = 0

    @property
    def done(self) -> bool:
        """Return whether the coroutine has returned, raised or been cancelled."""
        return self.coroutine.gi_frame is None


Timer = tuple[float, int, Task | Callable[[], None], int]
"""Due time, sequence number, what is resumed or called, and the task's `resumptions` when it was set."""


class Loop:
    """Runs tasks and timers in one thread.

    `clock`: seconds, monotonic. `on_error`: called with the exception of a task that raised; that task
    ends, all others continue. `connections` and `connection_limit` are maintained by the code that opens
    connections.
    """

    def __init__(self, clock: Callable[[], float], on_error: Callable[[BaseException], None]) -> None:
        self.clock = clock
        self.on_error = on_error
        self.epoll = select.epoll()
        self.registered: dict[int, int] = {}  # event mask by descriptor
        self.waiting: dict[tuple[int, int], Task] = {}  # by descriptor and event
        self.timers: list[Timer] = []  # a heap
        self.timers_set = 0
        self.closed_this_turn: set[int] = set()
        self.connections = 0
        self.connection_limit: float = inf
        self.now = clock()

    def spawn(self, coroutine: Coroutine) -> Task:
        """Start a task; it runs up to its first wait before this returns."""
        task = Task(coroutine)
        self._resume(task, True)
        return task

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, in the first turn at or after `when`."""
        self._set_timer(when, callback, 0)

    def cancel(self, task: Task) -> None:
        """End a task where it waits; its `finally` clauses run before this returns."""
        self._stop_waiting(task)
        task.coroutine.close()

    def expire(self, task: Task) -> None:
        """Resume a task as if the deadline of its wait had passed."""
        self._resume(task, False)

    def unregister(self, fd: int) -> None:
        """Remove a descriptor that the caller is about to close."""
        self.closed_this_turn.add(fd)
        if self.registered.pop(fd, 0):
            self.epoll.unregister(fd)
        for event in (READABLE, WRITABLE):
            self.waiting.pop((fd, event), None)

    def seconds_to_next_timer(self) -> float:
        """Return seconds until the next timer is due: negative if it is late, infinite if none is set."""
        return self.timers[0][0] - self.clock() if self.timers else inf

    def turn(self, max_wait: float = inf) -> None:
        """Wait for the next event or timer, at most `max_wait` seconds, then run all tasks that are due."""
        self.closed_this_turn.clear()
        timeout = max(0.0, min(self.seconds_to_next_timer(), max_wait))
        events = self.epoll.poll(None if timeout == inf else timeout, MAX_EVENTS_PER_TURN)
        self.now = self.clock()
        for fd, mask in events:
            for event in (READABLE, WRITABLE):
                # The number of a descriptor that was closed in this turn may already belong to a new
                # connection. This event is for the old one and would be taken for a completed connect.
                if fd in self.closed_this_turn:
                    break
                if mask & (event | HUNG_UP) and (task := self.waiting.get((fd, event))):
                    self._resume(task, True)
        self._run_timers()

    def _run_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            _, _, due, resumptions = heappop(self.timers)
            if not isinstance(due, Task):
                due()
            elif due.resumptions == resumptions:
                self._resume(due, False)

    def _set_timer(self, when: float, due: Task | Callable[[], None], resumptions: int) -> None:
        self.timers_set += 1
        heappush(self.timers, (when, self.timers_set, due, resumptions))

    def _resume(self, task: Task, ready: bool) -> None:
        previous_fd = self._stop_waiting(task)
        try:
            wait = task.coroutine.send(ready if task.resumptions > 1 else None)
        except StopIteration:
            wait = None
        except Exception as error:
            self.on_error(error)
            wait = None
        if wait is not None:
            task.wait = wait
            if wait.fd != NO_DESCRIPTOR:
                self.waiting[wait.fd, wait.event] = task
                self._update_mask(wait.fd)
            if wait.deadline < inf:
                self._set_timer(wait.deadline, task, task.resumptions)
        if previous_fd != NO_DESCRIPTOR and (wait is None or wait.fd != previous_fd):
            self._update_mask(previous_fd)

    def _stop_waiting(self, task: Task) -> int:
        """Remove a task from what it waits for and outdate its timer; returns the descriptor, if any."""
        task.resumptions += 1
        fd, event, _ = task.wait
        if self.waiting.get((fd, event)) is task:
            del self.waiting[fd, event]
            return fd
        return NO_DESCRIPTOR

    def _update_mask(self, fd: int) -> None:
        """Register a descriptor for exactly those events that tasks wait for."""
        mask = sum(event for event in (READABLE, WRITABLE) if (fd, event) in self.waiting)
        registered = self.registered.get(fd, 0)
        if mask == registered:
            return
        if not registered:
            self.epoll.register(fd, mask)
        elif mask:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.unregister(fd)
        self.registered[fd] = mask
        if not mask:
            del self.registered[fd]
