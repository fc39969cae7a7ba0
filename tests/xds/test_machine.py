"""Random changes and faults against the push decisions, by hypothesis: views end equal, drains are in time,
rules hold.

`XDS_EXAMPLES=2000` plays more of them than CI does, `XDS_SEED=7` others.
"""

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from sim import KINDS, Stage

from oatcart.events import EndpointLoadReported
from oatcart.model import EndpointState, LoadReport
from oatcart.xds import view

NODES = st.integers(0, 7)
PEERS = st.integers(0, 3)
SHAPES = [(False, view.WHOLE), (True, view.WHOLE), (True, view.EACH), (False, view.SPREAD)]


class Machine(RuleBasedStateMachine):
    clients = 4

    @initialize(slow=st.booleans())
    def start(self, slow):
        self.stage = Stage(pushes=8.0 if slow else 1000.0)
        self.slow = slow
        self.stage.list = {place: (place % 2, 0.0, EndpointState.READY) for place in range(6)}
        self.stage.listed()
        for at in range(self.clients):
            self.connect(at)
        self.goes_on(8)

    def teardown(self):
        if hasattr(self, "stage"):
            self.quiet()

    def peer(self, at):
        from sim import Peer

        if at not in self.stage.peers:
            self.stage.peers[at] = Peer(self.stage, f"p{at}", at % 2, *SHAPES[at % 4])
            self.stage.peers[at].names["endpoints"] = {name: None for name, _ in KINDS}
            self.stage.peers[at].names["route"] = {name: None for name, _ in KINDS}
        return self.stage.peers[at]

    @rule(at=PEERS)
    def connect(self, at):
        peer = self.peer(at)
        if peer.stream is None:
            peer.come()
            assert peer.stream is not None or self.slow, "turned away with pushes to spare"

    @rule(at=PEERS)
    def lose(self, at):
        self.peer(at).drop()

    @rule(at=PEERS)
    def overlap(self, at):
        """A second stream of one client; the first is never seen to end by the client, which reads the
        second.
        """
        peer = self.peer(at)
        if peer.stream is not None:
            old = peer.stream
            self.stage.peers_by_stream.pop(old)
            peer.come()
            self.stage.front.close(self.stage.now, old)

    @rule(at=PEERS, late=st.sampled_from([True, True, False]))
    def answers(self, at, late):
        self.peer(at).late = late

    @rule(at=PEERS, stalled=st.booleans())
    def reads(self, at, stalled):
        peer = self.peer(at)
        if peer.stalled and not stalled:
            peer.since = self.stage.now
        peer.stalled = stalled

    @rule(at=PEERS, node=st.none() | NODES)
    def refuses(self, at, node):
        self.peer(at).refuses = None if node is None else f"n{node}"
        self.peer(at).since = self.stage.now

    @rule(at=PEERS, name=st.sampled_from([name for name, _ in KINDS]), on=st.booleans())
    def subscribes(self, at, name, on):
        peer = self.peer(at)
        if peer.stream is not None:
            peer.ask("endpoints", [name] if on else (), () if on else [name])

    @rule(
        node=NODES, state=st.sampled_from([EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
    )
    def turns(self, node, state):
        zone, started, old = self.stage.list.get(node, (node % 2, 0.0, EndpointState.GONE))
        ready = sum(one == EndpointState.READY for _, _, one in self.stage.list.values())
        if state != EndpointState.READY and old == EndpointState.READY and ready <= 2:
            return  # the list keeps some: what is to be picked is what is tried here
        if state == EndpointState.READY and old != EndpointState.READY:
            started = self.stage.now  # another life, cold
            self.stage.drained.pop(node, None)
        if state != EndpointState.READY and old == EndpointState.READY:
            self.stage.drained[node] = self.stage.now
        self.stage.list[node] = (zone, started, state)
        self.stage.listed()

    @rule(node=NODES)
    def restarts(self, node):
        zone, _, state = self.stage.list.get(node, (0, 0.0, EndpointState.GONE))
        if state == EndpointState.READY:
            self.stage.list[node] = (zone, self.stage.now, state)
            self.stage.listed()

    @rule(node=NODES, errs=st.booleans())
    def reports(self, node, errs):
        """What is met: one node errs, the others do not; evidence withdraws it."""
        for place, (zone, _, state) in self.stage.list.items():
            if state == EndpointState.READY:
                bad = 20 if errs and place == node else 0
                self.stage.host.add_event(
                    EndpointLoadReported(
                        place, zone, 1.0, 0.05, bad, 20, LoadReport(None, 0.3 + place / 20, None)
                    )
                )

    @rule()
    def dies(self):
        self.stage.restart()
        for peer in self.stage.peers.values():
            peer.owed, peer.since = {}, self.stage.now

    @rule(turns=st.integers(2, 16))
    def goes_on(self, turns):
        for _ in range(turns):
            self.stage.turn()

    @rule()
    def quiet(self):
        """Nothing changes for a while and everybody reads and answers: all views are one."""
        stage = self.stage
        for peer in stage.peers.values():
            if peer.stalled or peer.late:
                peer.since = stage.now
            peer.late, peer.stalled, peer.refuses = False, False, None
            if peer.refused:  # a refused content is not sent again, so whoever refused comes anew
                peer.drop()
            if peer.stream is None:
                peer.come()
        still, last, turns = 0, None, 0
        while still < 32:  # turns in which the module changed nothing; scores go on rising for a while
            stage.turn()
            turns += 1
            assert turns < 800, "somebody is turned away for ever, or the module never rests"
            now = sum(cache.sequence for cache in stage.front.caches.values())
            all_here = all(peer.stream is not None for peer in stage.peers.values())
            still, last = (still + 1 if now == last and all_here else 0), now
        for peer in stage.peers.values():
            for kind, (name, _) in enumerate(KINDS):
                if name in peer.names["endpoints"]:
                    assert peer.view(name) == stage.view(peer.zone, kind), peer.id
                    picks = {
                        node: weight
                        for node, (weight, health) in peer.view(name).items()
                        if health == "HEALTHY"
                    }
                    assert picks == stage.sidecar_view(kind), peer.id
            assert not peer.stream.client.owed, "a mark was never acknowledged"
        stage.tables_agree()

    @invariant()
    def turn(self):
        if hasattr(self, "stage"):
            self.stage.turn()
            assert len(self.stage.front.clients) <= self.clients


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
