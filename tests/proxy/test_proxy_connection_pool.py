"""Connection pool: one outcome for each request, limits, no reuse of connections idle before a failure."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.proxy.connection_pool import (
    MAX_CONCURRENT_DIALS,
    MAX_IDLE_SECONDS,
    MAX_REQUESTS_PER_CONNECTION,
    ConnectionPool,
    PoolAction,
)

MAX_CONNECTIONS = 3
MAX_QUEUED = 4


class PoolMachine(RuleBasedStateMachine):
    """Runs random requests, dials and failures on a pool and keeps its own record of every request."""

    def __init__(self):
        super().__init__()
        self.pool = ConnectionPool(MAX_CONNECTIONS, MAX_QUEUED)
        self.now = 100.0
        self.last_request = 0
        self.waiting = {}  # timeout of the wait, by request
        self.occupied = {}  # request, by connection
        self.outcomes = {}  # by request

    def end(self, request, outcome):
        assert request not in self.outcomes, f"{request} was {self.outcomes[request]}, now {outcome}"
        self.outcomes[request] = outcome
        self.waiting.pop(request, None)

    def accept(self, assignment):
        request, connection = assignment
        if request is not None:
            assert self.waiting.pop(request) > self.now and connection not in self.occupied
            self.occupied[connection] = request

    def pick_occupied(self, index):
        return sorted(self.occupied)[index % len(self.occupied)]

    @rule(seconds=st.floats(0.0, 6.0))
    def time_passes(self, seconds):
        self.now += seconds
        for request in self.pool.take_timed_out(self.now):
            assert self.waiting[request] <= self.now
            self.end(request, "timed out")

    @rule(time_left=st.floats(-1.0, 8.0))
    def request_arrives(self, time_left):
        self.last_request += 1
        decision = self.pool.acquire(self.now, self.last_request, self.now + time_left)
        if decision.action == PoolAction.REUSE:
            assert decision.connection_id not in self.occupied
            self.occupied[decision.connection_id] = self.last_request
        elif decision.action == PoolAction.REJECT:
            self.end(self.last_request, "rejected")
        else:
            assert self.now < decision.wait_until <= self.now + time_left
            self.waiting[self.last_request] = decision.wait_until

    @precondition(lambda self: self.pool.dialing)
    @rule(succeeded=st.booleans())
    def dial_completes(self, succeeded):
        if succeeded:
            self.accept(self.pool.dial_succeeded(self.now))
        else:
            for request in self.pool.dial_failed(self.now):
                self.end(request, "unreachable")

    @precondition(lambda self: self.occupied)
    @rule(usable=st.booleans(), index=st.integers(0, 9))
    def request_completes(self, usable, index):
        connection = self.pick_occupied(index)
        self.end(self.occupied.pop(connection), "completed")
        self.accept(self.pool.release(self.now, connection, usable))

    @precondition(lambda self: self.occupied)
    @rule(index=st.integers(0, 9))
    def connection_fails(self, index):
        connection = self.pick_occupied(index)
        self.end(self.occupied.pop(connection), "failed")
        idle = {number for number, pooled in self.pool.connections.items() if pooled.idle_since is not None}
        self.pool.connection_failed(self.now, connection)
        assert set(self.pool.evict_idle(self.now)) == idle  # none of them is used again

    @rule()
    def dials_for_queued(self):
        queued = len(self.pool.queued)
        while self.pool.dial_for_queued(self.now):
            assert self.pool.dialing <= queued

    @rule()
    def evicts_idle(self):
        for connection in self.pool.evict_idle(self.now):
            assert connection not in self.occupied

    @rule()
    def dials_ahead(self):
        if self.pool.dial_ahead(self.now):
            assert self.occupied and not self.pool.draining

    @invariant()
    def bounds_hold(self):
        pool = self.pool
        assert len(pool.connections) + pool.dialing <= MAX_CONNECTIONS
        assert pool.dialing <= MAX_CONCURRENT_DIALS
        assert len(pool.queued) <= MAX_QUEUED
        busy = {number for number, pooled in pool.connections.items() if pooled.idle_since is None}
        assert busy == set(self.occupied)
        assert set(self.waiting) == {queued.request_id for queued in pool.queued} | set(pool.timed_out)

    def teardown(self):
        for request in self.pool.drain():
            self.end(request, "returned")
        self.time_passes(100.0)
        for connection in sorted(self.occupied):
            self.end(self.occupied.pop(connection), "completed")
            assert self.pool.release(self.now, connection, True) == (None, None)
        self.pool.evict_idle(self.now)
        assert not self.pool.connections
        assert len(self.outcomes) == self.last_request  # each request had one outcome
        assert self.pool.acquire(self.now, 0, self.now + 9).action == PoolAction.REJECT


PoolMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestPoolMachine = PoolMachine.TestCase


def test_queued_request_gets_another_connection_after_a_failure():
    pool = ConnectionPool(1, 4)
    assert pool.acquire(0.0, 1, 10.0).action == PoolAction.DIAL
    assert pool.dial_succeeded(0.0) == (1, 1)
    assert pool.acquire(0.0, 2, 10.0).action == PoolAction.WAIT
    assert not pool.dial_for_queued(0.0)
    pool.connection_failed(0.1, 1)
    assert pool.dial_for_queued(0.1) and not pool.dial_for_queued(0.1)
    assert pool.dial_succeeded(0.2) == (2, 2)


def test_connections_are_reused_for_limited_requests_and_idle_time():
    pool = ConnectionPool(1, 4)
    assert pool.acquire(0.0, 1, 10.0).action == PoolAction.DIAL
    assert pool.dial_succeeded(0.0) == (1, 1)
    for number in range(MAX_REQUESTS_PER_CONNECTION - 1):
        assert pool.release(0.1, 1, True) == (None, 1)
        assert pool.acquire(0.1, number + 2, 10.0) == (PoolAction.REUSE, 1, None)
    assert pool.release(0.2, 1, True) == (None, None)  # it has served MAX_REQUESTS_PER_CONNECTION
    assert pool.acquire(0.3, 5000, 10.0).action == PoolAction.DIAL
    pool.dial_succeeded(0.3)
    pool.release(0.4, 2, True)
    assert pool.acquire(0.4 + MAX_IDLE_SECONDS, 5001, 99.0).action != PoolAction.REUSE
