"""The front and the real decision module without I/O: a clock that is handed in, peers that keep their view.

A peer is an xDS client as published: it takes what comes in order, and answers at once, late or with a
refusal.
"""

from collections import deque

from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    HealthCheckCompleted,
    ProxyJoined,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.policy import Controller
from oatcart.routing_tables import RoutingTables
from oatcart.xds import view
from oatcart.xds.client_state import Ask, Node
from oatcart.xds.front import Front, new_life
from oatcart.xds.limits import ClientLimits, PushBudget, RequestRejectedError
from oatcart.xds.resource_cache import WITHDRAWAL_RETENTION
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE

KINDS = [
    ("lookup", RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT)),
    ("fee", RequestClass(3.0, 1.0, Idempotency.NOT_IDEMPOTENT)),
]
ZONES = ["a", "b"]
STEP = 0.25  # s of a turn
GRACE = 2.0  # s within which a drain stands in every view that is read
MESSAGES = 40  # a proxy takes in 10 s
SIDECAR = 3  # the number of the one sidecar


class Host(RoutingTables):
    """What the sockets' `Rounds` is, without sockets."""

    def __init__(self, stage):
        super().__init__(len(KINDS))
        self.stage, self.came, self.touched = stage, [], True

    def add_event(self, arrival):
        self.came.append(arrival)

    def check_health(self, node):
        self.came.append(HealthCheckCompleted(node, HealthCheckOutcome.PASSED, 0.01, LoadReport()))

    def watch_endpoints(self, on):
        pass

    fetch_endpoints = schedule_round = log = watch_endpoints


class Peer:
    def __init__(self, stage, id, zone, delta, shape):
        self.stage, self.id, self.zone, self.delta, self.shape = stage, id, zone, delta, shape
        self.held = {kind: {} for kind in (CLUSTER, ENDPOINTS, MEMBER, ROUTE)}
        self.names = {kind: {} for kind in self.held}
        self.versions = {}  # by type: of the last push that was accepted, on whichever stream
        self.late = self.stalled = False
        self.refused = False  # on this stream
        self.refuses = None  # a node whose lists it does not want
        self.stream, self.owed = None, {}
        self.come_back_at = None  # it was turned away with a time to come back at
        self.pushed = deque()
        self.picked = set()  # kinds for which it had a node to pick

    def connect(self):
        """A stream; on its first requests the versions held go along."""
        self.stream = self.stage.front.open(self.delta)
        self.stage.peers_by_stream[self.stream] = self
        self.inbox, self.answers, self.nonces, self.owed = deque(), deque(), {}, {}
        self.asked, self.refused, self.unanswered = set(), False, {}
        for kind in self.held:
            if kind != MEMBER or self.shape == view.EACH:
                self.ask(kind, list(self.names[kind]))

    def come(self):
        """Connect, or come back when the front says so, as a client that follows Retry-After."""
        self.come_back_at = None
        self.since = self.stage.now
        try:
            self.connect()
        except RequestRejectedError as rejected:
            assert rejected.code == "RESOURCE_EXHAUSTED" and rejected.retry_after > 0
            self.drop()
            self.come_back_at = self.stage.now + rejected.retry_after

    def ask(self, kind, names=(), unsubscribe=(), nonce="", refusal=None):
        first = kind not in self.asked
        self.asked.add(kind)
        for name in unsubscribe:
            self.names[kind].pop(name, None)
            self.held[kind].pop(name, None)
        self.names[kind] |= dict.fromkeys(names)
        brought = (
            {name: version for name, (version, _) in self.held[kind].items()} if first and self.delta else {}
        )
        told = names if self.delta else tuple(self.names[kind])
        if not self.delta and not nonce:
            nonce = self.nonces.get(kind, "")
            self.answered_up_to(kind, nonce)  # names asked for bear the last nonce, which answers it
        self.stage.front.ask(
            self.stage.now,
            self.stream,
            Ask(
                kind,
                tuple(told),
                tuple(unsubscribe),
                brought,
                nonce,
                refusal,
                Node(self.id, ZONES[self.zone], self.shape),
                "" if self.delta else self.versions.get(kind, ""),
            ),
        )

    def answered_up_to(self, kind, nonce):
        """Answers come in order: that to a push answers those of its type that were sent before it."""
        if nonce in self.unanswered:
            before = [one for one, (other, _) in self.unanswered.items() if other == kind]
            for one in before[: before.index(nonce) + 1]:
                del self.unanswered[one]

    def drop(self):
        self.come_back_at = None
        if self.stream is not None:
            self.stage.front.close(self.stage.now, self.stream)
            self.stage.peers_by_stream.pop(self.stream, None)
            self.stream = None

    def turn(self):
        """Come back if it is time, read what has come, answer what is to be answered."""
        if self.come_back_at is not None and self.stage.now >= self.come_back_at:
            self.come()
        while self.stream is not None and self.inbox and not self.stalled:
            for kind, push in self.inbox.popleft():
                self.take(kind, push)
            self.stage.front.written(self.stream)
        while self.stream is not None and self.answers and not self.late:
            kind, nonce, refusal = self.answers.popleft()
            self.unanswered.pop(nonce, None)
            self.ask(kind, nonce=nonce, refusal=refusal)

    def take(self, kind, push):
        new = {
            name: (content.version, content.body)
            for name, content in push.items
            if kind in (CLUSTER, MEMBER) or name in self.names[kind]
        }  # else it has let go of it meanwhile
        self.nonces[kind] = push.nonce
        self.pushed.append((self.stage.now, kind))
        refusal = None
        if kind in (ENDPOINTS, MEMBER) and self.refuses and any(self.shows(body) for _, body in new.values()):
            refusal, self.refused = f"no {self.refuses} here", True
        elif kind == CLUSTER and not self.delta:
            self.held[kind] = new
        else:
            self.held[kind] |= new
            for name in push.removed:
                self.held[kind].pop(name, None)
                self.owed.pop((kind, name), None)  # it saw it gone
        for name, content in push.items:
            self.check(kind, name, content)
        if not refusal:
            self.versions[kind] = push.version
            assert all(name in self.held[CLUSTER] for name, _ in push.items if kind in (ENDPOINTS, ROUTE)), (
                "what builds on a cluster came before it"
            )
        self.answers.append((kind, push.nonce, refusal))
        self.unanswered[push.nonce] = kind, push.urgent
        usual = [one for one, urgent in self.unanswered.values() if not urgent]
        assert len(usual) == len(set(usual)), f"{self.id}: two usual pushes in flight"
        if self.shape == view.EACH and kind == ENDPOINTS and not refusal:
            wanted = {
                begins + "*": None
                for _, body in self.held[ENDPOINTS].values()
                for _, begins in body.collections
            }
            if wanted.keys() - self.names[MEMBER].keys():
                self.ask(MEMBER, sorted(wanted))

    def shows(self, body):
        return self.refuses in str(body)

    def check(self, kind, name, content):
        """Nobody who went out is met again before it was seen to be out."""
        for node, (seq, at) in list(self.owed.get((kind, name), {}).items()):
            if content.sequence >= seq:
                kept = self.stage.now - at <= WITHDRAWAL_RETENTION - 2 * STEP
                assert node not in content.pickable or not kept, f"{self.id} never saw {node} out"
                del self.owed[kind, name][node]

    def view(self, kind):
        """Weight and health by node; None where it holds no list yet."""
        if kind not in self.held[ENDPOINTS]:
            return None
        body = self.held[ENDPOINTS][kind][1]
        found = {one.name: (one.weight, one.health) for one in body.endpoints}
        for _, begins in body.collections:
            found |= {
                member.endpoint.name: (member.endpoint.weight, member.endpoint.health)
                for name, (_, member) in self.held[MEMBER].items()
                if name.startswith(begins)
            }
        return found


class Stage:
    def __init__(self, pushes=1000.0):
        self.now, self.life, self.pushes = 100.0, 0, pushes
        self.list = {}  # node: (zone, started, state)
        self.peers, self.said = {}, []
        self.peers_by_stream = {}
        self.drained = {}  # node: when the list said so
        self.errs = None
        self.begin()

    def begin(self):
        """A conductor's life; nothing of a former one is known."""
        self.life += 1
        self.host = Host(self)
        self.module = Controller(
            ControllerSettings(
                request_classes=tuple(req for _, req in KINDS),
                discovery=DiscoverySettings(),
                channel=ChannelLimits(100_000, 4, 100_000, MESSAGES, 10.0),
                warm_up=WarmUpLimits(8.0, 0.2, 4.0),
                report_period=1.0,
                admission_mode=AdmissionMode.SHARE,
                cross_zone_price=0.0,
                health_checks_allowed=True,
            ),
            seed=1,
        )
        self.front = Front(
            self.host,
            KINDS,
            ZONES,
            8,
            new_life(self.life, 1),
            ClientLimits(50, 3, 100, self.pushes),
            PushBudget(self.pushes),
            False,
            say=lambda kind, text: self.said.append(text),
        )
        self.roster, self.picks = view.Roster(), {}
        self.sidecar = {}
        self.host.add_proxy(SIDECAR, True)
        self.host.add_event(ProxyJoined(SIDECAR, 0, 10.0, True))
        if self.list:
            self.listed()

    def restart(self):
        self.peers_by_stream.clear()
        for peer in self.peers.values():
            peer.stream = peer.come_back_at = None
        self.begin()

    def listed(self):
        entries = [
            EndpointEntry(place, zone, started, state, 1.0)
            for place, (zone, started, state) in self.list.items()
        ]
        self.roster.take(True, entries)
        self.host.touched = True
        self.host.add_event(EndpointListReceived(True, entries))

    def name(self, place):
        return f"n{place}", "127.0.0.1", 9000 + place

    def turn(self):
        """A round, what it means to the sidecar and to the front, then every peer's turn."""
        self.now += STEP
        came, self.host.came = self.host.came, []
        self.module.round(self.now, came, self.host)
        for proxy, parts in self.host.updates():
            if proxy == SIDECAR:
                self.tell_sidecar(parts)
            else:
                self.front.told(proxy, parts)
        self.front.publish(self.now, self.host, self.roster, self.name)
        self.note_outs()
        for _ in range(3):
            for stream, pushes in self.front.dispatch(self.now):
                self.peers_by_stream[stream].inbox.append(pushes)
            for peer in self.peers.values():
                peer.turn()
        for peer in self.peers.values():
            self.rules(peer)

    def tell_sidecar(self, parts):
        """The sidecar's tables as its protocol has them, by kind; it acknowledges at once."""
        for part in parts:
            for kind in part.classes or range(len(KINDS)):
                if part.complete:
                    self.sidecar[kind] = {}
                self.sidecar.setdefault(kind, {}).update(part.weights)
            for node in part.ejected:
                self.sidecar.setdefault("out", set()).add(node)
            for node in part.restored:
                self.sidecar.setdefault("out", set()).discard(node)
            if part.nonce is not None:
                self.host.add_event(UpdateAcknowledged(SIDECAR, part.nonce, 0.0))

    def note_outs(self):
        """Each peer owes a look at whoever went out of a list that it was sent."""
        for key, cache in self.front.caches.items():
            if key[0] not in (ENDPOINTS, MEMBER):
                continue
            for name, resource in cache.resources.items():
                before, self.picks[key, name] = (
                    self.picks.get((key, name), frozenset()),
                    resource.current.pickable,
                )
                for node in before - resource.current.pickable:
                    for stream, peer in self.peers_by_stream.items():
                        subscription = stream.subscriptions.get(key[0])
                        if (
                            subscription
                            and stream.client
                            and self.front.cache_for(stream.client, key[0]) is cache
                            and subscription.sent.get(name, -1) >= 0
                        ):
                            peer.owed.setdefault((key[0], name), {})[node] = (
                                resource.current.sequence,
                                self.now,
                            )

    def rules(self, peer):
        for kind, (name, _) in enumerate(KINDS):
            found = peer.view(name)
            if found is not None:  # rule 1: who had a node to pick keeps one while the sidecar has one
                healthy = [node for node, (_, health) in found.items() if health == view.HEALTHY]
                if healthy:
                    peer.picked.add(name)
                elif (
                    name in peer.picked and not peer.stalled and peer.stream is not None and not peer.refused
                ):
                    lines = {node for node, weight in self.sidecar.get(kind, {}).items() if weight > 0}
                    assert not lines - self.sidecar.get("out", set()), f"{peer.id} has no node for {name}"
        fee = peer.held[ROUTE].get("fee")
        assert fee is None or fee[1].retries == 0  # rule 2
        for node, at in self.drained.items():  # rule 3
            if (
                self.now - at > GRACE
                and peer.stream is not None
                and not peer.stalled
                and not peer.refused
                and self.now - getattr(peer, "since", 0.0) > GRACE
            ):
                for name, _ in KINDS:
                    told = (peer.view(name) or {}).get(f"n{node}")
                    assert told is None or told[1] != view.HEALTHY, f"{peer.id} still sends to n{node}"
        while peer.pushed and peer.pushed[0][0] < self.now - 10.0:  # rule 5: the message cap, a type
            peer.pushed.popleft()
        counts = [kind for _, kind in peer.pushed]
        assert all(counts.count(kind) <= MESSAGES for kind in set(counts)), counts
        if peer.stream is not None:
            for subscription in peer.stream.subscriptions.values():
                assert len(subscription.in_flight) <= 8

    def tables_agree(self):
        """The sidecar's tables and the conductor's are one."""
        for kind in range(len(KINDS)):
            at = next(at for at, kinds in self.host.proxies[SIDECAR].assignments.items() if kinds >> kind & 1)
            assert {
                node: weight for node, weight in self.sidecar[kind].items() if weight > 0
            } == self.host.tables[at].weights

    def sidecar_view(self, kind):
        """The weights of the nodes that the sidecar may pick."""
        out = self.sidecar.get("out", set())
        return {
            f"n{node}": weight
            for node, weight in self.sidecar[kind].items()
            if weight > 0 and node not in out
        }

    def view(self, zone, kind):
        table = self.front.maps[zone][kind]
        return {one.name: (one.weight, one.health) for one in self.front.shown[table]}
