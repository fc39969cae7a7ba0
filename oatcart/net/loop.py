"""The event loop: select.epoll, timers, and generators as coroutines.

A task yields a `Wait` and is resumed with True once its descriptor is ready, False once the time is over.
"""

import select
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

IN, OUT = select.EPOLLIN, select.EPOLLOUT
EVENTS_MOST = 256  # events taken in one turn, so that no turn gets long
GONE_WRONG = select.EPOLLERR | select.EPOLLHUP
NOTHING = -1  # no descriptor: a wait for time alone


class Wait(NamedTuple):
    fd: int = NOTHING
    event: int = IN
    until: float = inf  # by the loop's clock


Steps = Generator[Wait, bool, object]


class Task:
    __slots__ = ("steps", "wait", "turn")

    def __init__(self, steps: Steps) -> None:
        self.steps, self.wait, self.turn = steps, Wait(), 0

    @property
    def over(self) -> bool:
        return self.steps.gi_frame is None


class Loop:
    def __init__(self, clock: Callable[[], float], failed: Callable[[BaseException], None]) -> None:
        self.clock, self.failed = clock, failed
        self.poll = select.epoll()
        self.masks: dict[int, int] = {}  # as registered, by descriptor
        self.waiting: dict[tuple[int, int], Task] = {}  # by descriptor and event
        self.timers: list[tuple] = []  # (when, number, task or call, the task's turn)
        self.timed = 0
        self.closed: set[int] = set()  # descriptors since the last poll
        self.open, self.open_most = 0, inf  # connections, whoever dialled; for how many there are descriptors
        self.now = clock()

    def spawn(self, steps: Steps) -> Task:
        """Start a task; it runs up to its first wait at once."""
        task = Task(steps)
        self._resume(task, True)
        return task

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._time(when, call, 0)

    def end(self, task: Task) -> None:
        """End another task where it waits; its `finally` parts run."""
        self._forget(task)
        task.steps.close()

    def expire(self, task: Task) -> None:
        """Have the time be over that a task waits for."""
        self._resume(task, False)

    def close(self, fd: int) -> None:
        """Forget a descriptor that its owner is about to close."""
        self.closed.add(fd)
        if self.masks.pop(fd, 0):
            self.poll.unregister(fd)
        for event in (IN, OUT):
            self.waiting.pop((fd, event), None)

    def due_in(self) -> float:
        """Seconds until the next timer; below 0 where it is late."""
        return self.timers[0][0] - self.clock() if self.timers else inf

    def turn(self, longest: float = inf) -> None:
        """Wait for what comes next, `longest` at most, and run all that is due."""
        self.closed.clear()
        wait = max(0.0, min(self.due_in(), longest))
        events = self.poll.poll(None if wait == inf else wait, EVENTS_MOST)
        self.now = self.clock()
        for fd, mask in events:
            for event in (IN, OUT):
                # Closed in this turn, its number may be another's: what came was for the owner that is gone.
                # A new connection would be taken as up before it is.
                if fd in self.closed:
                    break
                if mask & (event | GONE_WRONG) and (task := self.waiting.get((fd, event))):
                    self._resume(task, True)
        while self.timers and self.timers[0][0] <= self.now:
            _, _, due, turn = heappop(self.timers)
            if not isinstance(due, Task):
                due()
            elif due.turn == turn:
                self._resume(due, False)

    def _time(self, when: float, due: Task | Callable[[], None], turn: int) -> None:
        self.timed += 1
        heappush(self.timers, (when, self.timed, due, turn))

    def _resume(self, task: Task, ready: bool) -> None:
        before = self._forget(task)
        try:
            wait = task.steps.send(ready if task.turn > 1 else None)
        except StopIteration:
            wait = None
        except Exception as error:  # a task that fails ends alone
            self.failed(error)
            wait = None
        if wait is not None:
            task.wait = wait
            if wait.fd != NOTHING:
                self.waiting[wait.fd, wait.event] = task
                self._register(wait.fd)
            if wait.until < inf:
                self._time(wait.until, task, task.turn)
        if before != NOTHING and (wait is None or wait.fd != before):
            self._register(before)

    def _forget(self, task: Task) -> int:
        """Take a task out of what it waits for; its timer, if any, is void."""
        task.turn += 1
        fd, event, _ = task.wait
        if self.waiting.get((fd, event)) is task:
            del self.waiting[fd, event]
            return fd
        return NOTHING

    def _register(self, fd: int) -> None:
        """Ask for the events that tasks wait for at a descriptor, and for no others."""
        mask = sum(event for event in (IN, OUT) if (fd, event) in self.waiting)
        old = self.masks.get(fd, 0)
        if mask == old:
            return
        if not old:
            self.poll.register(fd, mask)
        elif mask:
            self.poll.modify(fd, mask)
        else:
            self.poll.unregister(fd)
        self.masks[fd] = mask
        if not mask:
            del self.masks[fd]
