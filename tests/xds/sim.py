"""A simulation of the xDS front, the real controller and xDS clients: no I/O, and a clock of its own.

A peer is an xDS client as the protocol has it: it handles pushes in order, and acknowledges at once or late,
or rejects them.
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
from oatcart.xds.client_state import ClientIdentity, ClientRequest
from oatcart.xds.front import Front, new_incarnation
from oatcart.xds.limits import ClientLimits, PushBudget, RequestRejectedError
from oatcart.xds.resource_cache import WITHDRAWAL_RETENTION
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER, ROUTE

REQUEST_CLASSES = [
    ("lookup", RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT)),
    ("fee", RequestClass(3.0, 1.0, Idempotency.NOT_IDEMPOTENT)),
]
ZONES = ["a", "b"]
TURN_DURATION = 0.25  # s of a turn
DRAIN_DEADLINE = 2.0  # s until every client that reads has to see a drain
MESSAGE_CAP = 40  # pushes of one type to one client within 10 s
PROXY = 3  # number of the one proxy that is no xDS client


class SimulatedRounds(RoutingTables):
    """Takes the place of `net.rounds.Rounds`, without sockets."""

    def __init__(self, harness):
        super().__init__(len(REQUEST_CLASSES))
        self.harness, self.events, self.tables_changed = harness, [], True

    def add_event(self, event):
        self.events.append(event)

    def check_health(self, endpoint):
        self.events.append(HealthCheckCompleted(endpoint, HealthCheckOutcome.PASSED, 0.01, LoadReport()))

    def watch_endpoints(self, enabled):
        pass

    fetch_endpoints = schedule_round = log = watch_endpoints


class Peer:
    def __init__(self, harness, id, zone, delta, shape):
        self.harness, self.id, self.zone, self.delta, self.shape = harness, id, zone, delta, shape
        self.resources = {resource_type: {} for resource_type in (CLUSTER, ENDPOINTS, MEMBER, ROUTE)}
        self.subscribed = {resource_type: {} for resource_type in self.resources}
        self.versions = {}  # by type: of the last push that was accepted, on any stream
        self.late = self.stalled = False
        self.has_rejected = False  # on this stream
        self.rejected_endpoint = None  # it rejects all pushes with this endpoint
        self.stream, self.unseen_withdrawals = None, {}
        self.retry_at = None  # s; when it may connect again after it was rejected
        self.recent_pushes = deque()
        self.had_endpoint = set()  # request classes for which it had a pickable endpoint

    def connect(self):
        """Open a stream; the first requests carry the versions of the resources it has."""
        self.stream = self.harness.front.open_stream(self.delta)
        self.harness.peers_by_stream[self.stream] = self
        self.inbox, self.answers, self.nonces, self.unseen_withdrawals = deque(), deque(), {}, {}
        self.requested_types, self.has_rejected, self.unanswered = set(), False, {}
        for resource_type in self.resources:
            if resource_type != MEMBER or self.shape == view.EACH:
                self.request(resource_type, list(self.subscribed[resource_type]))

    def connect_if_admitted(self):
        """Connect, or note when to retry if rejected, like a client that follows Retry-After."""
        self.retry_at = None
        self.connected_since = self.harness.now
        try:
            self.connect()
        except RequestRejectedError as rejected:
            assert rejected.code == "RESOURCE_EXHAUSTED" and rejected.retry_after > 0
            self.disconnect()
            self.retry_at = self.harness.now + rejected.retry_after

    def request(self, resource_type, names=(), unsubscribe=(), nonce="", error_message=None):
        first = resource_type not in self.requested_types
        self.requested_types.add(resource_type)
        for name in unsubscribe:
            self.subscribed[resource_type].pop(name, None)
            self.resources[resource_type].pop(name, None)
        self.subscribed[resource_type] |= dict.fromkeys(names)
        initial_versions = (
            {name: version for name, (version, _) in self.resources[resource_type].items()}
            if first and self.delta
            else {}
        )
        requested_names = names if self.delta else tuple(self.subscribed[resource_type])
        if not self.delta and not nonce:
            nonce = self.nonces.get(resource_type, "")
            self.answered_up_to(
                resource_type, nonce
            )  # a request for names carries the last nonce, which acknowledges it
        self.harness.front.handle_request(
            self.harness.now,
            self.stream,
            ClientRequest(
                resource_type,
                tuple(requested_names),
                tuple(unsubscribe),
                initial_versions,
                nonce,
                error_message,
                ClientIdentity(self.id, ZONES[self.zone], self.shape),
                "" if self.delta else self.versions.get(resource_type, ""),
            ),
        )

    def answered_up_to(self, resource_type, nonce):
        """An answer to a push also answers earlier pushes of its type."""
        if nonce in self.unanswered:
            before = [one for one, (other, _) in self.unanswered.items() if other == resource_type]
            for one in before[: before.index(nonce) + 1]:
                del self.unanswered[one]

    def disconnect(self):
        self.retry_at = None
        if self.stream is not None:
            self.harness.front.close_stream(self.harness.now, self.stream)
            self.harness.peers_by_stream.pop(self.stream, None)
            self.stream = None

    def turn(self):
        """Reconnect if it is time, read pushes, and answer them."""
        if self.retry_at is not None and self.harness.now >= self.retry_at:
            self.connect_if_admitted()
        while self.stream is not None and self.inbox and not self.stalled:
            for resource_type, push in self.inbox.popleft():
                self.receive(resource_type, push)
            self.harness.front.on_written(self.stream)
        while self.stream is not None and self.answers and not self.late:
            resource_type, nonce, error_message = self.answers.popleft()
            self.unanswered.pop(nonce, None)
            self.request(resource_type, nonce=nonce, error_message=error_message)

    def receive(self, resource_type, push):
        new = {
            name: (content.version, content.body)
            for name, content in push.items
            if resource_type in (CLUSTER, MEMBER) or name in self.subscribed[resource_type]
        }  # others were unsubscribed meanwhile
        self.nonces[resource_type] = push.nonce
        self.recent_pushes.append((self.harness.now, resource_type))
        error_message = None
        if (
            resource_type in (ENDPOINTS, MEMBER)
            and self.rejected_endpoint
            and any(self.contains_rejected(body) for _, body in new.values())
        ):
            error_message, self.has_rejected = f"no {self.rejected_endpoint} here", True
        elif resource_type == CLUSTER and not self.delta:
            self.resources[resource_type] = new
        else:
            self.resources[resource_type] |= new
            for name in push.removed:
                self.resources[resource_type].pop(name, None)
                self.unseen_withdrawals.pop((resource_type, name), None)  # it saw the removal
        for name, content in push.items:
            self.check_withdrawals_seen(resource_type, name, content)
        if not error_message:
            self.versions[resource_type] = push.version
            assert all(
                name in self.resources[CLUSTER]
                for name, _ in push.items
                if resource_type in (ENDPOINTS, ROUTE)
            ), "a resource was sent before the cluster that it refers to"
        self.answers.append((resource_type, push.nonce, error_message))
        self.unanswered[push.nonce] = resource_type, push.urgent
        not_urgent = [one for one, urgent in self.unanswered.values() if not urgent]
        assert len(not_urgent) == len(set(not_urgent)), (
            f"{self.id}: two pushes of a type in flight that are not urgent"
        )
        if self.shape == view.EACH and resource_type == ENDPOINTS and not error_message:
            wanted = {
                prefix + "*": None
                for _, body in self.resources[ENDPOINTS].values()
                for _, prefix in body.collections
            }
            if wanted.keys() - self.subscribed[MEMBER].keys():
                self.request(MEMBER, sorted(wanted))

    def contains_rejected(self, body):
        return self.rejected_endpoint in str(body)

    def check_withdrawals_seen(self, resource_type, name, content):
        """Check that a withdrawn endpoint is not pickable again before the client saw the withdrawal."""
        for endpoint, (sequence, at) in list(self.unseen_withdrawals.get((resource_type, name), {}).items()):
            if content.sequence >= sequence:
                retained = self.harness.now - at <= WITHDRAWAL_RETENTION - 2 * TURN_DURATION
                assert endpoint not in content.pickable or not retained, (
                    f"{self.id} missed the withdrawal of {endpoint}"
                )
                del self.unseen_withdrawals[resource_type, name][endpoint]

    def view(self, request_class):
        """Weight and health by endpoint; None if it has no endpoints resource yet."""
        if request_class not in self.resources[ENDPOINTS]:
            return None
        body = self.resources[ENDPOINTS][request_class][1]
        found = {endpoint.name: (endpoint.weight, endpoint.health) for endpoint in body.endpoints}
        for _, prefix in body.collections:
            found |= {
                member.endpoint.name: (member.endpoint.weight, member.endpoint.health)
                for name, (_, member) in self.resources[MEMBER].items()
                if name.startswith(prefix)
            }
        return found


class Harness:
    def __init__(self, pushes=1000.0):
        self.now, self.incarnation, self.pushes_per_second = 100.0, 0, pushes
        self.endpoint_list = {}  # by endpoint: (zone, started, state)
        self.peers, self.log_lines = {}, []
        self.peers_by_stream = {}
        self.drained = {}  # by endpoint: when the list had it draining
        self.failing = None
        self.start_controller()

    def start_controller(self):
        """Start an incarnation of the controller, which knows nothing of earlier ones."""
        self.incarnation += 1
        self.rounds = SimulatedRounds(self)
        self.controller = Controller(
            ControllerSettings(
                request_classes=tuple(request_class for _, request_class in REQUEST_CLASSES),
                discovery=DiscoverySettings(),
                channel=ChannelLimits(100_000, 4, 100_000, MESSAGE_CAP, 10.0),
                warm_up=WarmUpLimits(8.0, 0.2, 4.0),
                report_period=1.0,
                admission_mode=AdmissionMode.SHARE,
                cross_zone_price=0.0,
                health_checks_allowed=True,
            ),
            seed=1,
        )
        self.front = Front(
            self.rounds,
            REQUEST_CLASSES,
            ZONES,
            8,
            new_incarnation(self.incarnation, 1),
            ClientLimits(50, 3, 100, self.pushes_per_second),
            PushBudget(self.pushes_per_second),
            False,
            log=lambda kind, text: self.log_lines.append(text),
        )
        self.listed_endpoints, self.pickable = view.ListedEndpoints(), {}
        self.proxy_tables = {}
        self.rounds.add_proxy(PROXY, True)
        self.rounds.add_event(ProxyJoined(PROXY, 0, 10.0, True))
        if self.endpoint_list:
            self.publish_list()

    def restart(self):
        self.peers_by_stream.clear()
        for peer in self.peers.values():
            peer.stream = peer.retry_at = None
        self.start_controller()

    def publish_list(self):
        entries = [
            EndpointEntry(number, zone, started, state, 1.0)
            for number, (zone, started, state) in self.endpoint_list.items()
        ]
        self.listed_endpoints.update(True, entries)
        self.rounds.tables_changed = True
        self.rounds.add_event(EndpointListReceived(True, entries))

    def endpoint_address(self, number):
        return f"n{number}", "127.0.0.1", 9000 + number

    def turn(self):
        """Run a round, apply its updates at the proxy and the front, then run every peer's turn."""
        self.now += TURN_DURATION
        events, self.rounds.events = self.rounds.events, []
        self.controller.round(self.now, events, self.rounds)
        for proxy, parts in self.rounds.updates():
            if proxy == PROXY:
                self.update_proxy(parts)
            else:
                self.front.note_update(proxy, parts)
        self.front.publish(self.now, self.rounds, self.listed_endpoints, self.endpoint_address)
        self.note_withdrawals()
        for _ in range(3):
            for stream, pushes in self.front.dispatch(self.now):
                self.peers_by_stream[stream].inbox.append(pushes)
            for peer in self.peers.values():
                peer.turn()
        for peer in self.peers.values():
            self.check_rules(peer)

    def update_proxy(self, parts):
        """Apply an update to the proxy's tables, by request class; it acknowledges at once."""
        for part in parts:
            for request_class in part.classes or range(len(REQUEST_CLASSES)):
                if part.complete:
                    self.proxy_tables[request_class] = {}
                self.proxy_tables.setdefault(request_class, {}).update(part.weights)
            for endpoint in part.ejected:
                self.proxy_tables.setdefault("out", set()).add(endpoint)
            for endpoint in part.restored:
                self.proxy_tables.setdefault("out", set()).discard(endpoint)
            if part.nonce is not None:
                self.rounds.add_event(UpdateAcknowledged(PROXY, part.nonce, 0.0))

    def note_withdrawals(self):
        """Note for each peer the endpoints that were withdrawn from resources that it was sent."""
        for key, cache in self.front.caches.items():
            if key[0] not in (ENDPOINTS, MEMBER):
                continue
            for name, resource in cache.resources.items():
                previous, self.pickable[key, name] = (
                    self.pickable.get((key, name), frozenset()),
                    resource.current.pickable,
                )
                for endpoint in previous - resource.current.pickable:
                    for stream, peer in self.peers_by_stream.items():
                        subscription = stream.subscriptions.get(key[0])
                        if (
                            subscription
                            and stream.client
                            and self.front.cache_for(stream.client, key[0]) is cache
                            and subscription.sent.get(name, -1) >= 0
                        ):
                            peer.unseen_withdrawals.setdefault((key[0], name), {})[endpoint] = (
                                resource.current.sequence,
                                self.now,
                            )

    def check_rules(self, peer):
        for request_class, (name, _) in enumerate(REQUEST_CLASSES):
            seen = peer.view(name)
            if seen is not None:  # rule 1: a client that had an endpoint keeps one while the proxy has one
                healthy = [endpoint for endpoint, (_, health) in seen.items() if health == view.HEALTHY]
                if healthy:
                    peer.had_endpoint.add(name)
                elif (
                    name in peer.had_endpoint
                    and not peer.stalled
                    and peer.stream is not None
                    and not peer.has_rejected
                ):
                    weights = {
                        endpoint
                        for endpoint, weight in self.proxy_tables.get(request_class, {}).items()
                        if weight > 0
                    }
                    assert not weights - self.proxy_tables.get("out", set()), (
                        f"{peer.id} has no endpoint for {name}"
                    )
        fee = peer.resources[ROUTE].get("fee")
        assert fee is None or fee[1].retries == 0  # rule 2
        for endpoint, at in self.drained.items():  # rule 3
            if (
                self.now - at > DRAIN_DEADLINE
                and peer.stream is not None
                and not peer.stalled
                and not peer.has_rejected
                and self.now - getattr(peer, "connected_since", 0.0) > DRAIN_DEADLINE
            ):
                for name, _ in REQUEST_CLASSES:
                    known = (peer.view(name) or {}).get(f"n{endpoint}")
                    assert known is None or known[1] != view.HEALTHY, f"{peer.id} still sends to n{endpoint}"
        while (
            peer.recent_pushes and peer.recent_pushes[0][0] < self.now - 10.0
        ):  # rule 5: the message cap, a type
            peer.recent_pushes.popleft()
        types = [request_class for _, request_class in peer.recent_pushes]
        assert all(types.count(request_class) <= MESSAGE_CAP for request_class in set(types)), types
        if peer.stream is not None:
            for subscription in peer.stream.subscriptions.values():
                assert len(subscription.in_flight) <= 8

    def check_tables_agree(self):
        """Check that the proxy's tables equal the controller's."""
        for request_class in range(len(REQUEST_CLASSES)):
            table = next(
                table
                for table, classes in self.rounds.proxies[PROXY].assignments.items()
                if classes >> request_class & 1
            )
            assert {
                endpoint: weight
                for endpoint, weight in self.proxy_tables[request_class].items()
                if weight > 0
            } == self.rounds.tables[table].weights

    def proxy_view(self, request_class):
        """The weights of the endpoints that the proxy may pick."""
        ejected = self.proxy_tables.get("out", set())
        return {
            f"n{endpoint}": weight
            for endpoint, weight in self.proxy_tables[request_class].items()
            if weight > 0 and endpoint not in ejected
        }

    def view(self, zone, request_class):
        table = self.front.tables_by_zone[zone][request_class]
        return {
            endpoint.name: (endpoint.weight, endpoint.health)
            for endpoint in self.front.published_endpoints[table]
        }
