"""Connections: each req has one fate, bounds hold, nothing idle before a break is used after it."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.proxy.connection_pool import (
    DIAL,
    MAX_CONCURRENT_DIALS,
    MAX_IDLE_SECONDS,
    MAX_REQUESTS_PER_CONNECTION,
    REFUSE,
    REUSE,
    ConnectionPool,
)

MOST, QUEUE = 3, 4


class Machine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.pool, self.now, self.req = ConnectionPool(MOST, QUEUE), 100.0, 0
        self.waits, self.on, self.fates = {}, {}, {}  # until by req; req by connection; end by req

    def ended(self, req, how):
        assert req not in self.fates, f"{req} was {self.fates[req]}, now {how}"
        self.fates[req] = how
        self.waits.pop(req, None)

    def got(self, found):
        req, place = found
        if req:
            assert self.waits.pop(req) > self.now and place not in self.on
            self.on[place] = req

    @rule(time=st.floats(0.0, 6.0))
    def later(self, time):
        self.now += time
        for req in self.pool.take_timed_out(self.now):
            assert self.waits[req] <= self.now
            self.ended(req, "late")

    @rule(left=st.floats(-1.0, 8.0))
    def comes(self, left):
        self.req += 1
        found = self.pool.acquire(self.now, self.req, self.now + left)
        if found.action == REUSE:
            assert found.connection not in self.on
            self.on[found.connection] = self.req
        elif found.action == REFUSE:
            self.ended(self.req, "refused")
        else:
            assert self.now < found.wait_until <= self.now + left
            self.waits[self.req] = found.wait_until

    @precondition(lambda self: self.pool.dialing)
    @rule(up=st.booleans())
    def dialled(self, up):
        found = self.pool.dial_completed(self.now, up)
        if up:
            self.got(found)
        else:
            for req in found:
                self.ended(req, "unreached")

    @precondition(lambda self: self.on)
    @rule(usable=st.booleans(), which=st.integers(0, 9))
    def answered(self, usable, which):
        place = sorted(self.on)[which % len(self.on)]
        self.ended(self.on.pop(place), "done")
        self.got(self.pool.release(self.now, place, usable))

    @precondition(lambda self: self.on)
    @rule(which=st.integers(0, 9))
    def breaks(self, which):
        place = sorted(self.on)[which % len(self.on)]
        self.ended(self.on.pop(place), "broken")
        idle = {at for at, one in self.pool.connections.items() if one.idle_since is not None}
        self.pool.connection_failed(self.now, place)
        assert set(self.pool.evict_idle(self.now)) == idle  # none of them is believed

    @rule()
    def dials(self):
        waits = len(self.pool.queued)
        while self.pool.dial_for_queued(self.now):
            assert self.pool.dialing <= waits

    @rule()
    def tidies(self):
        for place in self.pool.evict_idle(self.now):
            assert place not in self.on

    @rule()
    def warms(self):
        if self.pool.dial_ahead(self.now):
            assert self.on and not self.pool.draining

    @invariant()
    def bounds(self):
        pool = self.pool
        assert len(pool.connections) + pool.dialing <= MOST and pool.dialing <= MAX_CONCURRENT_DIALS
        assert len(pool.queued) <= QUEUE
        assert {at for at, one in pool.connections.items() if one.idle_since is None} == set(self.on)
        assert set(self.waits) == {req for req, _ in pool.queued} | set(pool.timed_out)

    def teardown(self):
        for req in self.pool.drain():
            self.ended(req, "elsewhere")
        self.later(100.0)
        for place in sorted(self.on):
            self.ended(self.on.pop(place), "done")
            assert self.pool.release(self.now, place, True) == (0, 0)
        self.pool.evict_idle(self.now)
        assert not self.pool.connections and len(self.fates) == self.req  # each req had one fate
        assert self.pool.acquire(self.now, 0, self.now + 9).action == REFUSE


Machine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestMachine = Machine.TestCase


def test_who_waits_for_a_connection_that_breaks_gets_another():
    pool = ConnectionPool(1, 4)
    assert pool.acquire(0.0, 1, 10.0).action == DIAL and pool.dial_completed(0.0, True) == (1, 1)
    assert pool.acquire(0.0, 2, 10.0).action == "wait" and not pool.dial_for_queued(0.0)
    pool.connection_failed(0.1, 1)
    assert pool.dial_for_queued(0.1) and not pool.dial_for_queued(0.1)
    assert pool.dial_completed(0.2, True) == (2, 2)


def test_connections_are_used_again_but_neither_for_ever_nor_after_long():
    pool = ConnectionPool(1, 4)
    assert pool.acquire(0.0, 1, 10.0).action == DIAL and pool.dial_completed(0.0, True) == (1, 1)
    for turn in range(MAX_REQUESTS_PER_CONNECTION - 1):
        assert pool.release(0.1, 1, True) == (0, 1)
        assert pool.acquire(0.1, turn + 2, 10.0) == (REUSE, 1, 0.0)
    assert pool.release(0.2, 1, True) == (0, 0)  # it has served enough
    assert pool.acquire(0.3, 5000, 10.0).action == DIAL
    pool.dial_completed(0.3, True)
    pool.release(0.4, 2, True)
    assert pool.acquire(0.4 + MAX_IDLE_SECONDS, 5001, 99.0).action != REUSE
