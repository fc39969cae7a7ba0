"""Random changes and faults, drawn by hypothesis: the rules hold, drains are in time, and views end equal.

`XDS_EXAMPLES=2000` runs more examples than CI does, `XDS_SEED=7` different ones.
"""

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from sim import REQUEST_CLASSES, Harness

from oatcart.events import EndpointLoadReported
from oatcart.model import EndpointState, LoadReport
from oatcart.xds import view

ENDPOINTS = st.integers(0, 7)
PEERS = st.integers(0, 3)
SHAPES = [(False, view.WHOLE), (True, view.WHOLE), (True, view.EACH), (False, view.SPREAD)]


class Machine(RuleBasedStateMachine):
    clients = 4

    @initialize(slow=st.booleans())
    def start(self, slow):
        self.harness = Harness(pushes=8.0 if slow else 1000.0)
        self.slow = slow
        self.harness.endpoint_list = {place: (place % 2, 0.0, EndpointState.READY) for place in range(6)}
        self.harness.publish_list()
        for at in range(self.clients):
            self.connect(at)
        self.elapse(8)

    def teardown(self):
        if hasattr(self, "harness"):
            self.quiesce()

    def peer(self, at):
        from sim import Peer

        if at not in self.harness.peers:
            self.harness.peers[at] = Peer(self.harness, f"p{at}", at % 2, *SHAPES[at % 4])
            self.harness.peers[at].subscribed["endpoints"] = {name: None for name, _ in REQUEST_CLASSES}
            self.harness.peers[at].subscribed["route"] = {name: None for name, _ in REQUEST_CLASSES}
        return self.harness.peers[at]

    @rule(at=PEERS)
    def connect(self, at):
        peer = self.peer(at)
        if peer.stream is None:
            peer.connect_if_admitted()
            assert peer.stream is not None or self.slow, "rejected while the push budget suffices"

    @rule(at=PEERS)
    def lose_connection(self, at):
        self.peer(at).disconnect()

    @rule(at=PEERS)
    def overlap(self, at):
        """A client opens a second stream and reads only that one; the first is closed later."""
        peer = self.peer(at)
        if peer.stream is not None:
            old = peer.stream
            self.harness.peers_by_stream.pop(old)
            peer.connect_if_admitted()
            self.harness.front.close_stream(self.harness.now, old)

    @rule(at=PEERS, late=st.sampled_from([True, True, False]))
    def answers(self, at, late):
        self.peer(at).late = late

    @rule(at=PEERS, stalled=st.booleans())
    def reads(self, at, stalled):
        peer = self.peer(at)
        if peer.stalled and not stalled:
            peer.connected_since = self.harness.now
        peer.stalled = stalled

    @rule(at=PEERS, endpoint=st.none() | ENDPOINTS)
    def rejects(self, at, endpoint):
        self.peer(at).rejected_endpoint = None if endpoint is None else f"n{endpoint}"
        self.peer(at).connected_since = self.harness.now

    @rule(at=PEERS, name=st.sampled_from([name for name, _ in REQUEST_CLASSES]), on=st.booleans())
    def subscribes(self, at, name, on):
        peer = self.peer(at)
        if peer.stream is not None:
            peer.request("endpoints", [name] if on else (), () if on else [name])

    @rule(
        endpoint=ENDPOINTS,
        state=st.sampled_from([EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]),
    )
    def update_state(self, endpoint, state):
        zone, started, previous = self.harness.endpoint_list.get(
            endpoint, (endpoint % 2, 0.0, EndpointState.GONE)
        )
        ready = sum(other == EndpointState.READY for _, _, other in self.harness.endpoint_list.values())
        if state != EndpointState.READY and previous == EndpointState.READY and ready <= 2:
            return  # the list keeps a ready endpoint
        if state == EndpointState.READY and previous != EndpointState.READY:
            started = self.harness.now  # a new incarnation, warming up
            self.harness.drained.pop(endpoint, None)
        if state != EndpointState.READY and previous == EndpointState.READY:
            self.harness.drained[endpoint] = self.harness.now
        self.harness.endpoint_list[endpoint] = (zone, started, state)
        self.harness.publish_list()

    @rule(endpoint=ENDPOINTS)
    def restarts(self, endpoint):
        zone, _, state = self.harness.endpoint_list.get(endpoint, (0, 0.0, EndpointState.GONE))
        if state == EndpointState.READY:
            self.harness.endpoint_list[endpoint] = (zone, self.harness.now, state)
            self.harness.publish_list()

    @rule(outlier=ENDPOINTS, failing=st.booleans())
    def reports(self, outlier, failing):
        """Load reports in which one endpoint fails if `failing` is set, which ejects it."""
        for number, (zone, _, state) in self.harness.endpoint_list.items():
            if state == EndpointState.READY:
                failed = 20 if failing and number == outlier else 0
                self.harness.rounds.add_event(
                    EndpointLoadReported(
                        number, zone, 1.0, 0.05, failed, 20, LoadReport(None, 0.3 + number / 20, None)
                    )
                )

    @rule()
    def controller_restarts(self):
        self.harness.restart()
        for peer in self.harness.peers.values():
            peer.unseen_withdrawals, peer.connected_since = {}, self.harness.now

    @rule(turns=st.integers(2, 16))
    def elapse(self, turns):
        for _ in range(turns):
            self.harness.turn()

    @rule()
    def quiesce(self):
        """Without further changes, when all clients read and answer, all views become equal."""
        harness = self.harness
        for peer in harness.peers.values():
            if peer.stalled or peer.late:
                peer.connected_since = harness.now
            peer.late, peer.stalled, peer.rejected_endpoint = False, False, None
            if peer.has_rejected:  # rejected content is not sent again, so the client reconnects
                peer.disconnect()
            if peer.stream is None:
                peer.connect_if_admitted()
        unchanged_turns, last, turns = 0, None, 0
        while unchanged_turns < 32:  # turns without a change; scores rise for a while
            harness.turn()
            turns += 1
            assert turns < 800, "a client is rejected for ever, or resources never stop changing"
            now = sum(cache.sequence for cache in harness.front.caches.values())
            all_here = all(peer.stream is not None for peer in harness.peers.values())
            unchanged_turns, last = (unchanged_turns + 1 if now == last and all_here else 0), now
        for peer in harness.peers.values():
            for request_class, (name, _) in enumerate(REQUEST_CLASSES):
                if name in peer.subscribed["endpoints"]:
                    assert peer.view(name) == harness.view(peer.zone, request_class), peer.id
                    pickable = {
                        endpoint: weight
                        for endpoint, (weight, health) in peer.view(name).items()
                        if health == "HEALTHY"
                    }
                    assert pickable == harness.proxy_view(request_class), peer.id
            assert not peer.stream.client.pending_acks, "a nonce was never acknowledged"
        harness.check_tables_agree()

    @invariant()
    def turn(self):
        if hasattr(self, "harness"):
            self.harness.turn()
            assert len(self.harness.front.clients) <= self.clients


Machine.TestCase.settings = settings(
    max_examples=int(os.environ.get("XDS_EXAMPLES", 80)),
    stateful_step_count=40,
    deadline=None,
    derandomize="XDS_SEED" not in os.environ,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
if "XDS_SEED" in os.environ:
    Machine = seed(int(os.environ["XDS_SEED"]))(Machine)
TestMachine = Machine.TestCase
