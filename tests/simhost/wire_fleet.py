"""A made fleet that plays the simulator's part on the wire: endpoints, proxies, discovery, and their faults.

It is no model of a deployment. It only has to bring every event in many orders, in a loop: what proxies
meet follows from the tables sent, acknowledgements from the messages. All chance comes from one seed, and
only sums, products and quotients are used, so that the bytes are the same on any machine.

Times are whole milliseconds from the fleet's start.
"""

import hashlib
import heapq
import json
from random import Random

import wire_faults
import wire_frames as wire
import wire_traffic
from wire_frames import CACHED, DELTA, FAILED, FULL, PROBE_LATE, PROBE_OK
from wire_model import DRAINING, GONE, READY, Controller, Endpoint, Proxy
from wire_scenario import CLOCK_START, Scenario
from wire_settings import settings

STEP = 50  # ms between batches
CHECKPOINT = 250  # replies


class Fleet:
    """Plays one scenario against an adapter and digests all replies."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, Random(scenario.seed)
        self.now, self.order, self.pending = 0, 0, []  # the heap: (time, order of coming, call, arguments)
        self.events: list[bytes] = []  # of this step
        self.windows: dict[str, int] = {}  # fault: when it ends
        self.log: list[Endpoint] = []  # changes of the list, by revision - 1
        self.visible = 0  # so many of them are listed
        self.listed: dict[int, wire.Entry] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.retired: list[int] = []  # ids that may come back
        self.controllers = [Controller(number) for number in range(scenario.controllers)]
        self.proxies = [self.new_proxy(number) for number in range(scenario.proxies)]
        for number in range(scenario.endpoints):
            self.add_endpoint(number % len(scenario.zones), 0.0)
        self.show_list(len(self.log))
        self.calls = {
            "NotifyMe": self.set_timer,
            "AskLoad": self.probe,
            "Follow": self.follow,
            "Pull": self.pull,
            "SetLine": self.set_line,
            "Blank": self.clear_table,
            "Cordon": self.eject,
            "Install": self.install,
            "GateClass": self.set_level,
        }

    # The play

    def play(self, adapter: wire.Adapter) -> dict:
        """The digest of all replies, with a short one of all so far every CHECKPOINT replies."""
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
                self.take(reply)
            self.now += STEP
        return {"replies": count, "sha256": digest.hexdigest(), "checkpoints": checkpoints}

    def clock(self) -> float:
        """The wire's clock, in ms; it never goes back."""
        jitter = self.scenario.clock_jitter
        return CLOCK_START + self.now + (jitter * self.random.random() if jitter else 0.0)

    def later(self, after: int, call, *arguments: object) -> None:
        """Calls back so many ms from now."""
        self.order += 1
        heapq.heappush(self.pending, (self.now + after, self.order, call, arguments))

    def step(self) -> None:
        """All that is due, the list's news, and once a second traffic and faults."""
        while self.pending and self.pending[0][0] <= self.now:
            _, _, call, arguments = heapq.heappop(self.pending)
            call(*arguments)
        if self.now % 1000 == 0:
            wire_faults.draw(self)
            wire_traffic.spread(self)
            for controller in self.controllers if self.now % self.scenario.period == 0 else ():
                late = self.between(300, 1200) + (3000 if self.during("reports_late") else 0)
                self.later(late, wire_traffic.report, self, controller.number)
        for controller in self.controllers:
            if controller.alive and controller.following and controller.revision < self.visible:
                self.send_news(controller)

    def between(self, least: float, most: float) -> int:
        """A whole number of that range."""
        return int(least + (most - least) * self.random.random())

    def during(self, fault: str) -> bool:
        return self.now < self.windows.get(fault, 0)

    # Discovery

    def add_endpoint(self, zone: int, started: float) -> None:
        returns = bool(self.retired) and self.random.random() < 0.3
        number = self.retired.pop() if returns else self.random.randrange(1, 2**32)
        size = self.scenario.sizes[self.random.randrange(4)] if self.scenario.weights != "off" else 1.0
        speed = max(size, 0.5) * (0.7 + 0.6 * self.random.random())
        self.endpoints[number] = Endpoint(
            number, zone, started, size, self.scenario.capacity * speed, self.scenario.idle_ms / speed
        )
        self.note_change(self.endpoints[number])

    def note_change(self, endpoint: Endpoint) -> None:
        """The list shows it some time later."""
        self.log.append(endpoint)
        self.later(self.between(200, 1800), self.show_list, len(self.log))

    def show_list(self, revision: int) -> None:
        for endpoint in self.log[self.visible : revision]:
            if endpoint.condition == GONE:
                self.listed.pop(endpoint.id, None)
            else:
                self.listed[endpoint.id] = endpoint.entry()
        self.visible = max(self.visible, revision)

    def send_news(self, controller: Controller) -> None:
        """The changes missed, or the whole list where they are many."""
        changed = {one.id: one for one in self.log[controller.revision : self.visible]}
        controller.revision = self.visible
        if len(changed) > 12:
            self.send_list(controller.number, FULL)
            return
        entries = [
            self.listed.get(one.id) or (one.id, one.zone, 0.0, GONE, 0, 0.0, 0) for one in changed.values()
        ]
        self.events.append(wire.update(controller.number, DELTA, self.visible, entries))

    def send_list(self, number: int, mode: int) -> None:
        entries = list(self.listed.values())
        if mode == CACHED:
            entries = entries[: int(len(entries) * self.scenario.cached)]
        self.events.append(wire.update(number, mode, self.visible, entries))

    def answer_list(self, number: int, follow: bool) -> None:
        """The answer to a call of discovery; a call may fail."""
        controller = self.controllers[number]
        if not controller.alive:
            return
        fails = self.now < self.scenario.list_after or self.during("discovery_down")
        if fails or self.random.random() < 0.03:
            controller.following = controller.following and not follow
            self.events.append(wire.update(number, FAILED, 0))
        elif follow:
            controller.following = True
            self.send_news(controller)
        else:
            controller.revision = max(controller.revision, self.visible)
            self.send_list(number, FULL)

    def restart(self, number: int) -> None:
        endpoint = self.endpoints.get(number)
        if endpoint and endpoint.condition == READY:
            endpoint.started, endpoint.fault = CLOCK_START + self.now, ""
            self.note_change(endpoint)

    def add_cold(self, zone: int) -> None:
        self.add_endpoint(zone, CLOCK_START + self.now)

    def remove(self, number: int, force: bool = False) -> None:
        endpoint = self.endpoints.get(number)
        if endpoint and (force or endpoint.condition == DRAINING) and len(self.endpoints) > 2:
            endpoint.condition = GONE
            self.note_change(endpoint)
            del self.endpoints[number]
            self.retired.append(number)

    # Controllers and proxies

    def start(self, number: int) -> None:
        controller = self.controllers[number]
        if controller.alive:
            return
        self.controllers[number] = controller = Controller(number, alive=True)
        controller.following = self.scenario.membership == "automatic"
        controller.revision = self.visible
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
                self.later(self.between(300, 3000), self.join, proxy.number)
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
        self.controllers[proxy.controller].installed[number] = {}
        usual = 0.0 if number % 7 == 6 else sum(proxy.rates)
        self.events.append(wire.subscribed(proxy.controller, proxy.unconfigured, number, proxy.zone, usual))

    def leave(self, number: int, back_after: int) -> None:
        proxy = self.proxies[number]
        if proxy.controller is not None:
            self.controllers[proxy.controller].installed.pop(number, None)
            self.events.append(wire.stream_down(proxy.controller, number))
            proxy.controller = None
        self.later(back_after, self.join, number)

    # Actions of the adapter

    def take(self, reply: bytes) -> None:
        """Carries out a reply's actions; a message's acknowledgement is drawn for each proxy concerned."""
        concerned: dict[int, set[int]] = {}
        nonces: list[tuple[int, int, bool]] = []
        for name, number, *fields in wire.actions(reply[8:]):
            controller = self.controllers[number]
            reached = concerned.setdefault(number, set())
            if name == "AskReceipt":
                nonces.append((number, fields[0], bool(fields[1])))
            elif name == "Panic":
                raise AssertionError(f"at {self.now} ms the adapter's code broke: {fields[0].decode()}")
            else:
                reached |= self.calls[name](controller, *fields)
        for number, nonce, everyone in nonces:
            joined = self.controllers[number].installed
            for proxy in sorted(joined if everyone else concerned[number] & joined.keys()):
                self.proxies[proxy].unconfigured = False
                self.acknowledge(number, proxy, nonce)

    def acknowledge(self, number: int, proxy: int, nonce: int) -> None:
        if self.during("acks_silent") or self.random.random() < self.scenario.acks_lost:
            return
        late = self.between(*self.scenario.ack_ms) * (8 if self.during("acks_late") else 1)
        self.later(late, self.send_ack, number, proxy, nonce, late)

    def send_ack(self, number: int, proxy: int, nonce: int, took: int) -> None:
        if self.controllers[number].alive and proxy in self.controllers[number].installed:
            self.events.append(wire.installed(number, proxy, nonce, float(took)))

    def set_timer(self, controller: Controller, key: int, after: float) -> set[int]:
        self.later(max(STEP, int(after)), self.fire, controller.number, key)
        return set()

    def fire(self, number: int, key: int) -> None:
        if self.controllers[number].alive:
            self.events.append(wire.fired(number, key))

    def probe(self, controller: Controller, endpoint: int) -> set[int]:
        took = self.between(2, 60)
        status = wire_traffic.probe_status(self, self.endpoints.get(endpoint))
        after = 250 if status == PROBE_LATE else took
        self.later(after, self.send_echo, controller.number, endpoint, status, took)
        return set()

    def send_echo(self, number: int, endpoint: int, status: int, took: int) -> None:
        if self.controllers[number].alive:
            held = wire_traffic.load_report(self, self.endpoints.get(endpoint))
            held = held if status == PROBE_OK else []
            self.events.append(wire.echo(number, endpoint, status, float(took), held))

    def follow(self, controller: Controller, on: int) -> set[int]:
        self.later(self.between(50, 700), self.answer_list, controller.number, bool(on))
        return set()

    def pull(self, controller: Controller) -> set[int]:
        self.later(self.between(50, 900), self.answer_list, controller.number, False)
        return set()

    def set_line(self, controller: Controller, endpoint: int, weight: float, table: int) -> set[int]:
        lines = controller.tables.setdefault(table, {})
        if weight > 0:
            lines[endpoint] = weight
        else:
            lines.pop(endpoint, None)
        return controller.users(table)

    def clear_table(self, controller: Controller, table: int) -> set[int]:
        controller.tables[table] = {}
        return controller.users(table)

    def eject(self, controller: Controller, endpoint: int, out: int) -> set[int]:
        (controller.ejected.add if out else controller.ejected.discard)(endpoint)
        return set(controller.installed)

    def install(self, controller: Controller, table: int, proxy: int, classes: int) -> set[int]:
        if proxy not in controller.installed:
            return set()
        classes = classes or (1 << len(self.scenario.classes)) - 1
        tables = controller.installed[proxy]
        for other in list(tables):
            tables[other] &= ~classes
        tables[table] = tables.get(table, 0) | classes
        return {proxy}

    def set_level(self, controller: Controller, how: int, quota: float, classes: int, table: int) -> set[int]:
        share = min(1.0, quota) if self.scenario.admit == "fraction" else 1.0
        for place in range(len(self.scenario.classes)):
            if not classes or classes >> place & 1:
                controller.levels[table, place] = share
        return set(controller.installed) if table == wire.ANY_TABLE else controller.users(table)
