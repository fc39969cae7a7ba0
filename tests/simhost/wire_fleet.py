"""A simulated fleet in place of the simulator on the wire: endpoints, proxies, discovery, and their faults.

It is not a model of a deployment. It only has to send every event in many orders, and to react to commands:
the results of attempts follow from the tables sent, acknowledgements from the updates. All random numbers
come from one seed, and only sums, products and quotients are used, so that the bytes are the same on any
machine.

Times are whole milliseconds since the fleet's start.
"""

import hashlib
import heapq
import json
from random import Random

import wire_faults
import wire_frames as wire
import wire_traffic
from wire_frames import CACHED, CHECK_OK, CHECK_TIMED_OUT, DELTA, FAILED, FULL
from wire_model import DRAINING, GONE, READY, Controller, Endpoint, Proxy
from wire_scenario import CLOCK_START, Scenario
from wire_settings import settings

STEP = 50  # ms between batches
CHECKPOINT = 250  # replies


class Fleet:
    """Runs one scenario against an adapter and digests all replies."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, Random(scenario.seed)
        self.now, self.calls_scheduled, self.pending = 0, 0, []  # a heap: (time, number, call, arguments)
        self.events: list[bytes] = []  # of this step
        self.window_ends: dict[str, int] = {}  # fault: when it ends
        self.list_changes: list[Endpoint] = []  # changes of the list, by revision - 1
        self.visible_revision = 0  # of the list that discovery shows
        self.listed: dict[int, wire.Entry] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.released_ids: list[int] = []  # ids that may be reused
        self.controllers = [Controller(number) for number in range(scenario.controllers)]
        self.proxies = [self.new_proxy(number) for number in range(scenario.proxies)]
        for number in range(scenario.endpoints):
            self.add_endpoint(number % len(scenario.zones), 0.0)
        self.publish_list(len(self.list_changes))
        self.command_handlers = {
            "NotifyMe": self.set_timer,
            "AskLoad": self.check_health,
            "Follow": self.set_watch,
            "Pull": self.fetch_list,
            "SetLine": self.set_weight,
            "Blank": self.clear_table,
            "Cordon": self.set_ejected,
            "Install": self.assign_table,
            "GateClass": self.set_admission,
            "JournalLine": lambda controller, text: set(),  # affects no proxy
        }

    # The run of a scenario

    def play(self, adapter: wire.Adapter) -> dict:
        """Returns the digest of all replies, and every CHECKPOINT replies a short one of all so far."""
        digest, count, checkpoints = hashlib.sha256(), 0, []
        for controller in self.controllers:
            self.start(controller.number)
        for proxy in self.proxies:
            self.later(self.random.randrange(self.scenario.join_ms), self.join, proxy.number)
        while self.now < self.scenario.seconds * 1000:
            self.step()
            if self.events:
                frame = wire.batch(self.clock(), self.events)
                self.events = []
                reply = adapter.answer(frame)
                digest.update(reply)
                count += 1
                if count % CHECKPOINT == 0:
                    checkpoints.append(digest.hexdigest()[:8])
                self.apply_reply(reply)
            self.now += STEP
        return {"replies": count, "sha256": digest.hexdigest(), "checkpoints": checkpoints}

    def clock(self) -> float:
        """Returns the wire's clock, in ms; it never goes back."""
        jitter = self.scenario.clock_jitter
        return CLOCK_START + self.now + (jitter * self.random.random() if jitter else 0.0)

    def later(self, after: int, call, *arguments: object) -> None:
        """Schedules a call `after` ms from now."""
        self.calls_scheduled += 1
        heapq.heappush(self.pending, (self.now + after, self.calls_scheduled, call, arguments))

    def step(self) -> None:
        """Makes the calls that are due, sends list changes, and once a second runs traffic and faults."""
        while self.pending and self.pending[0][0] <= self.now:
            _, _, call, arguments = heapq.heappop(self.pending)
            call(*arguments)
        if self.now % 1000 == 0:
            wire_faults.update_faults(self)
            wire_traffic.distribute_requests(self)
            for controller in self.controllers if self.now % self.scenario.period == 0 else ():
                delay_ms = self.random_between(300, 1200) + (3000 if self.is_active("reports_late") else 0)
                self.later(delay_ms, wire_traffic.send_reports, self, controller.number)
        for controller in self.controllers:
            if controller.alive and controller.watching and controller.revision < self.visible_revision:
                self.send_changes(controller)

    def random_between(self, least: float, most: float) -> int:
        """Returns a random integer of that range."""
        return int(least + (most - least) * self.random.random())

    def is_active(self, fault: str) -> bool:
        return self.now < self.window_ends.get(fault, 0)

    # Discovery

    def add_endpoint(self, zone: int, started: float) -> None:
        returns = bool(self.released_ids) and self.random.random() < 0.3
        number = self.released_ids.pop() if returns else self.random.randrange(1, 2**32)
        size = self.scenario.sizes[self.random.randrange(4)] if self.scenario.weights != "off" else 1.0
        speed = max(size, 0.5) * (0.7 + 0.6 * self.random.random())
        self.endpoints[number] = Endpoint(
            number, zone, started, size, self.scenario.capacity * speed, self.scenario.idle_ms / speed
        )
        self.record_change(self.endpoints[number])

    def record_change(self, endpoint: Endpoint) -> None:
        """Records a change of an endpoint, which the list shows after a delay."""
        self.list_changes.append(endpoint)
        self.later(self.random_between(200, 1800), self.publish_list, len(self.list_changes))

    def publish_list(self, revision: int) -> None:
        for endpoint in self.list_changes[self.visible_revision : revision]:
            if endpoint.state == GONE:
                self.listed.pop(endpoint.id, None)
            else:
                self.listed[endpoint.id] = endpoint.entry()
        self.visible_revision = max(self.visible_revision, revision)

    def send_changes(self, controller: Controller) -> None:
        """Sends the changes since the controller's revision, or the complete list if there are many."""
        changed = {one.id: one for one in self.list_changes[controller.revision : self.visible_revision]}
        controller.revision = self.visible_revision
        if len(changed) > 12:
            self.send_list(controller.number, FULL)
            return
        entries = [
            self.listed.get(one.id) or (one.id, one.zone, 0.0, GONE, 0, 0.0, 0) for one in changed.values()
        ]
        self.events.append(wire.update(controller.number, DELTA, self.visible_revision, entries))

    def send_list(self, number: int, mode: int) -> None:
        entries = list(self.listed.values())
        if mode == CACHED:
            entries = entries[: int(len(entries) * self.scenario.cached)]
        self.events.append(wire.update(number, mode, self.visible_revision, entries))

    def answer_list_request(self, number: int, watch: bool) -> None:
        """Answers a request for a watch or the complete list; it may fail."""
        controller = self.controllers[number]
        if not controller.alive:
            return
        fails = self.now < self.scenario.list_after or self.is_active("discovery_down")
        if fails or self.random.random() < 0.03:
            controller.watching = controller.watching and not watch
            self.events.append(wire.update(number, FAILED, 0))
        elif watch:
            controller.watching = True
            self.send_changes(controller)
        else:
            controller.revision = max(controller.revision, self.visible_revision)
            self.send_list(number, FULL)

    def restart(self, number: int) -> None:
        endpoint = self.endpoints.get(number)
        if endpoint and endpoint.state == READY:
            endpoint.started, endpoint.fault = CLOCK_START + self.now, ""
            self.record_change(endpoint)

    def add_cold(self, zone: int) -> None:
        self.add_endpoint(zone, CLOCK_START + self.now)

    def remove(self, number: int, force: bool = False) -> None:
        endpoint = self.endpoints.get(number)
        if endpoint and (force or endpoint.state == DRAINING) and len(self.endpoints) > 2:
            endpoint.state = GONE
            self.record_change(endpoint)
            del self.endpoints[number]
            self.released_ids.append(number)

    # Controllers and proxies

    def start(self, number: int) -> None:
        controller = self.controllers[number]
        if controller.alive:
            return
        self.controllers[number] = controller = Controller(number, alive=True)
        controller.watching = self.scenario.membership == "automatic"
        controller.revision = self.visible_revision
        text = json.dumps(settings(self.scenario, number)).encode()
        self.events.append(wire.provision(number, self.random.randrange(2**64), text))
        self.send_list(number, CACHED)

    def stop(self, number: int, restart_after: int) -> None:
        controller = self.controllers[number]
        if not controller.alive:
            return
        controller.alive = False
        self.events.append(wire.down(number))
        for proxy in self.proxies:
            if proxy.controller == number:
                proxy.controller = None
                self.later(self.random_between(300, 3000), self.join, proxy.number)
        if restart_after:
            self.later(restart_after, self.start, number)
        else:
            self.start(number)  # in the same batch

    def new_proxy(self, number: int) -> Proxy:
        zone = int(len(self.scenario.zones) * self.random.random())
        if self.random.random() < self.scenario.zone_skew:
            zone = 0
        size = 0.3 + 1.4 * self.random.random()
        total = sum(one.share for one in self.scenario.classes)
        rates = [self.scenario.proxy_rate * size * one.share / total for one in self.scenario.classes]
        return Proxy(number, zone, rates)

    def join(self, number: int) -> None:
        proxy = self.proxies[number]
        alive = [one.number for one in self.controllers if one.alive]
        if proxy.controller is not None:
            return
        if not alive:
            self.later(500, self.join, number)
            return
        proxy.controller = alive[(proxy.number + self.random.randrange(2)) % len(alive)]
        self.controllers[proxy.controller].assigned_tables[number] = {}
        usual_rate = 0.0 if number % 7 == 6 else sum(proxy.rates)
        self.events.append(
            wire.subscribed(proxy.controller, proxy.unconfigured, number, proxy.zone, usual_rate)
        )

    def leave(self, number: int, rejoin_after: int) -> None:
        proxy = self.proxies[number]
        if proxy.controller is not None:
            self.controllers[proxy.controller].assigned_tables.pop(number, None)
            self.events.append(wire.stream_down(proxy.controller, number))
            proxy.controller = None
        self.later(rejoin_after, self.join, number)

    # Commands of the adapter

    def apply_reply(self, reply: bytes) -> None:
        """Carries out a reply's commands; acknowledgements are drawn for each proxy that gets an update."""
        affected: dict[int, set[int]] = {}
        nonces: list[tuple[int, int, bool]] = []
        for name, number, *fields in wire.actions(reply[8:]):
            controller = self.controllers[number]
            affected_proxies = affected.setdefault(number, set())
            if name == "AskReceipt":
                nonces.append((number, fields[0], bool(fields[1])))
            elif name == "Panic":
                raise AssertionError(f"at {self.now} ms the adapter reported a fault: {fields[0].decode()}")
            else:
                affected_proxies |= self.command_handlers[name](controller, *fields)
        for number, nonce, all_proxies in nonces:
            joined = self.controllers[number].assigned_tables
            for proxy in sorted(joined if all_proxies else affected[number] & joined.keys()):
                self.proxies[proxy].unconfigured = False
                self.schedule_ack(number, proxy, nonce)

    def schedule_ack(self, number: int, proxy: int, nonce: int) -> None:
        if self.is_active("acks_silent") or self.random.random() < self.scenario.acks_lost:
            return
        delay_ms = self.random_between(*self.scenario.ack_ms) * (8 if self.is_active("acks_late") else 1)
        self.later(delay_ms, self.send_ack, number, proxy, nonce, delay_ms)

    def send_ack(self, number: int, proxy: int, nonce: int, duration_ms: int) -> None:
        if self.controllers[number].alive and proxy in self.controllers[number].assigned_tables:
            self.events.append(wire.installed(number, proxy, nonce, float(duration_ms)))

    def set_timer(self, controller: Controller, token: int, after: float) -> set[int]:
        self.later(max(STEP, int(after)), self.fire_timer, controller.number, token)
        return set()

    def fire_timer(self, number: int, token: int) -> None:
        if self.controllers[number].alive:
            self.events.append(wire.fired(number, token))

    def check_health(self, controller: Controller, endpoint: int) -> set[int]:
        duration_ms = self.random_between(2, 60)
        status = wire_traffic.health_check_status(self, self.endpoints.get(endpoint))
        after = 250 if status == CHECK_TIMED_OUT else duration_ms
        self.later(after, self.send_health_check_result, controller.number, endpoint, status, duration_ms)
        return set()

    def send_health_check_result(self, number: int, endpoint: int, status: int, duration_ms: int) -> None:
        if self.controllers[number].alive:
            load = wire_traffic.load_report(self, self.endpoints.get(endpoint))
            load = load if status == CHECK_OK else []
            self.events.append(wire.echo(number, endpoint, status, float(duration_ms), load))

    def set_watch(self, controller: Controller, enabled: int) -> set[int]:
        self.later(self.random_between(50, 700), self.answer_list_request, controller.number, bool(enabled))
        return set()

    def fetch_list(self, controller: Controller) -> set[int]:
        self.later(self.random_between(50, 900), self.answer_list_request, controller.number, False)
        return set()

    def set_weight(self, controller: Controller, endpoint: int, weight: float, table: int) -> set[int]:
        weights = controller.tables.setdefault(table, {})
        if weight > 0:
            weights[endpoint] = weight
        else:
            weights.pop(endpoint, None)
        return controller.users(table)

    def clear_table(self, controller: Controller, table: int) -> set[int]:
        controller.tables[table] = {}
        return controller.users(table)

    def set_ejected(self, controller: Controller, endpoint: int, ejected: int) -> set[int]:
        (controller.ejected.add if ejected else controller.ejected.discard)(endpoint)
        return set(controller.assigned_tables)

    def assign_table(self, controller: Controller, table: int, proxy: int, classes: int) -> set[int]:
        if proxy not in controller.assigned_tables:
            return set()
        classes = classes or (1 << len(self.scenario.classes)) - 1
        tables = controller.assigned_tables[proxy]
        for other in list(tables):
            tables[other] &= ~classes
        tables[table] = tables.get(table, 0) | classes
        return {proxy}

    def set_admission(
        self, controller: Controller, retry_policy: int, quota: float, classes: int, table: int
    ) -> set[int]:
        share = min(1.0, quota) if self.scenario.admit == "fraction" else 1.0
        for class_number in range(len(self.scenario.classes)):
            if not classes or classes >> class_number & 1:
                controller.quotas[table, class_number] = share
        return set(controller.assigned_tables) if table == wire.ANY_TABLE else controller.users(table)
