"""All decisions of an oatcart conductor.

A host calls `Conductor.round` with all that came in: `oatcart/interface.py`; departures: `docs/design.md`.
"""

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from math import ceil, inf
from random import Random
from statistics import median

from oatcart.commands import NONCE_COUNT, CommandWriter
from oatcart.events import (
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    Events,
    HealthCheckCompleted,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    EndpointState,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RetryPolicy,
)
from oatcart.records import LONG_AGO, Node, Proxy, SentRound, Table

# The paper's percentages (AADLB, 3.3); CPU and RAM as one load, bytes sent and received as one
LOAD_PART, TREND_PART, DURATION_PART, BYTES_PART, ERROR_PART = 0.30, 0.20, 0.20, 0.20, 0.10
IDLE_LOAD, QUICK = 10.0, 0.2  # percent, s: the paper's cutoffs
SLOW_COST, ERROR_COST = 200.0, 1000.0  # points a second over, the paper's; for all failing, 10 points for 1%
FLAT, TREND_OVER = 50.0, 30  # points for a flat trend and for bytes nobody reports; s of the trend's window
RESCORE_EVERY, LOOK_EVERY = 1.0, 0.25  # s; the design's pace; for what cannot wait, far within any grace
RESEND_OVER, LEANED_OVER = 5.0, 0.1  # points, the design's threshold; share, the same for weights above 100
SLOW_MOST, DRAINS_LEAST = 3.0, 4  # s of channel for a table, each widens the threshold; lines worth a head
ACK_LATE, SLOWEST = 1.0, 4.0  # s, from leaving the channel to the answer; times slower that a channel may be
ACK_WAIT, DRAIN_WAIT = 2.0, 1.0  # s; the design's, for most proxies; drains share late messages so long
ORDINARY_PART, RETURNS_PART, URGENT_PART, QUEUE_PART = 0.5, 0.6, 0.7, 0.9  # of the caps; the rest for drains
CARRIED_PART, LINES_LEAST, PARTS_OF_NODE, PART_OVER = 0.5, 4, 2, 1.5  # of the grace; else draws meet sick
# nodes too often; that level a node's load; times larger that joiners take
MISSING_PART, LACKING = 0.75, 0.1  # of the messages, once this share of a table's nodes has no line there yet
NEAR, NEAR_PRICE = 20, 0.08  # times that near nodes' scores count, where crossing costs 8 points or more
LEAN_FROM, NEAR_FROM = 0.8, 0.6  # strain from which free kinds leave a zone, and near is no better
LEAN_FALL, LEAN_RISE, LEAN_LEAST = 0.7, 1.06, 0.05  # a second; the part by which a zone is still known
RAMP_FROM, RAMP_OVER, RAMP_COLD, RISE_MOST = 0.25, 5.0, 2.0, 1.35  # share; s, or warm-ups; a score's rise
COLD_MARGIN, COLD_MEETS, COLD_LETS, UNHEARD = 0.25, 2.5, 1.2, 0.05  # of what cold nodes stand: by weight
# (half for two draws, half for others' proxies), as drawn, for a cold pool; where nothing is heard
HEARD_STEP, STEP = 0.02, 0.4  # parts of a new figure taken over: of the interval heard, from all sums; else
FORGET, FORGET_PERIODS = 3.0, 1.5  # s, intervals heard, the longer: time constant of durations and errors
ROOM, ROOM_FALL = 8.0, 0.3  # reqs a node is taken to hold on time until it shows it; step down when late
ON_TIME, FAILING = 0.5, 0.15  # parts of the response target and of tries errored, at the median: full strain
SICK_RATIO, SICK_TRIES = 0.5, 8.0  # share errored beyond the others', and tries: chance won't reach both
SILENT_ANSWERS, SILENT_PERIODS = 10.0, 2.5  # answers due by its share, not given; intervals heard passed
OUT_MOST = 0.5  # share of a pool that evidence may withdraw; beyond it the fault is likely the observer's
HOLD, HOLD_MOST, PASSES = 4.0, 30.0, 2  # s; wait of a withdrawn node, doubled up to; probes answered in a row
CUT_MOST, CUT_EVERY, SHARE_LEAST = 0.6, 3.5, 0.25  # share kept; intervals heard until it shows; least
FULL, SPARE, PLAIN = 80.0, 50.0, 2.0  # percent of load: cut over it, back under it; strain from errors alone
GIVE_BACK, CALM = 0.04, 0.8  # share given back a second, and the strain below which it is; slowly
LEVEL_LEAST, LEVEL_STEP, RATE_OPEN = 0.02, 0.04, 1e6  # share always let in; change sent; reqs/s, open
TRIES_UNDER, TRIES_OVER = 0.45, 0.02  # strain, share errored: else a try cut off for another is just waste
ASK_AGAIN, ASK_MOST, FETCH_EVERY = 0.5, 4.0, 20.0  # s; waits after a failed call; a full list now and then
CLOCK_STEP, KEPT_GONE = 0.001, 30.0  # s; clocks round; beyond any redial


def new_node() -> Node:
    """A node of which nothing is known yet."""
    return Node(room=ROOM, score=FLAT, hold=HOLD, loads=deque(maxlen=TREND_OVER))


def unusable(node: Node) -> bool:  # withdrawn, draining or gone
    return node.out or node.state != EndpointState.READY


def clamp(points: float) -> float:
    return min(100.0, max(0.0, points))


def weighted_sum(load: float, rise: float, took: float, ratio: float) -> float:
    """The design's sum of scores, from percent, points, seconds and the share errored."""
    return (
        LOAD_PART * (100.0 if load < IDLE_LOAD else clamp(100.0 - load))
        + TREND_PART * clamp(FLAT - rise)
        + DURATION_PART * clamp(100.0 - max(0.0, took - QUICK) * SLOW_COST)
        + BYTES_PART * FLAT
        + ERROR_PART * clamp(100.0 - ratio * ERROR_COST)
    )


def ramp(since: float) -> float:  # share of its weight that a node gets so long after its start or way back
    return min(1.0, RAMP_FROM + (1.0 - RAMP_FROM) * max(0.0, since) / RAMP_OVER)


def errors(nodes: list[Node], unheard: float = 0.0) -> float:
    """The share of tries at some nodes that errored; what is assumed where nothing is heard."""
    tried = sum(node.tried for node in nodes)
    return sum(node.errored for node in nodes) / tried if tried >= 1.0 else unheard


def strain(nodes: list[Node], target: float) -> float:
    """How far the median node is from on time or fails; errors beside quick answers are no overload."""
    used = [node for node in nodes if not node.out and node.tried >= 1]
    late = median([n.took / n.good if n.good else target for n in used] or [0.0]) / (ON_TIME * target)
    return max(late, min(1.0, late) * median([node.errored / node.tried for node in used] or [0.0]) / FAILING)


@dataclass(slots=True)
class Channel:  # counts lines and messages on their way, so that queue and message cap are kept
    limits: ChannelLimits
    queued: float = 0.0
    at: float = 0.0
    booked: float = 0.0  # of all time; before this round; what has left by the answers
    began: float = 0.0
    left: float = 0.0
    heard: float = 0.0  # the last sign of life from those who have something to answer
    pace: float = 0.0  # lines a second that answers show; when, what had left, what was unanswered
    paced: tuple = (LONG_AGO, 0.0, 0.0)
    heads: int = 0  # of this round
    rounds: list[SentRound] = field(default_factory=list)  # not answered in full

    def claim(
        self, proxies: dict[int, Proxy], lines: int, part: float, least: int = 0, told: Sequence[int] = ()
    ) -> int:
        """Book so many lines to each proxy, or as many from the least on as this part of the caps allows.

        `told`: for each line, how many proxies are told with it whether its node is withdrawn; else none.
        """
        limits = self.limits
        fresh = [proxy for proxy in proxies.values() if not proxy.sent or proxy.sent[-1] < self.at]
        for proxy in fresh:
            while proxy.sent and proxy.sent[0] < self.at - limits.message_window:
                proxy.sent.popleft()
            if limits.max_messages and len(proxy.sent) + 1 >= limits.max_messages * part:  # one is spare
                return 0
        heads = len(fresh) * (limits.message_overhead + 1)
        costs = list(accumulate(len(proxies) + more for more in told or [0] * lines))
        if limits.max_queue and proxies:  # all that no answer proves gone may wait still, however slow it is
            queue = limits.max_queue * QUEUE_PART - (self.booked - self.left)
            if part not in (URGENT_PART, 1.0):  # what waits delays drains too
                part = part if part < URGENT_PART else QUEUE_PART
                queue = min(queue, part * min(limits.max_queue, self.pace * ACK_WAIT) - self.queued)
            fitting = sum(cost <= queue - heads for cost in costs)
            if fitting < (least or lines):
                return 0
            lines = fitting
        self.queued += (cost := heads + max(costs[:lines]))
        self.booked, self.heads = self.booked + cost, self.heads + len(fresh)
        for proxy in fresh:
            proxy.sent.append(self.at)
        return lines

    def turn(self, now: float) -> None:  # by the line rate; where answers show a slower channel, by those
        rate, (then, left, waited) = self.limits.line_rate, self.paced
        self.began, self.heads = self.booked, 0
        if now - self.heard > ACK_LATE + SLOWEST * self.limits.max_queue / rate:
            self.rounds, self.left = [], self.booked  # nobody is left to tell
        unproved = self.booked - self.left
        if now - then >= ACK_LATE:  # all of what waited, or little, shows nothing
            slow = self.left - left < waited > rate / SLOWEST * ACK_LATE
            shown = (self.left - left) / (now - then) if slow else rate
            self.pace, self.paced = min(rate, max(rate / SLOWEST, shown)), (now, self.left, unproved)
        self.queued = max(0.0, self.queued - (now - self.at) * rate, unproved - self.pace * ACK_LATE)
        self.at = now

    def end_round(self, mark: int) -> None:  # all that was sent in it bears the mark
        self.heard = self.heard if self.left < self.began else self.at
        self.rounds.append(SentRound(mark, self.began, (self.booked - self.began) / self.heads, self.booked))

    def answered(self, mark: int) -> None:  # what was sent before has left, of this round what is answered
        at = (mark - self.rounds[0].mark) % NONCE_COUNT if self.rounds else 0
        if at < len(self.rounds):
            del self.rounds[:at]
            first = self.rounds[0]
            first.left = self.left = min(first.most, first.left + first.per_answer)
            self.heard = self.at


class Controller:
    def __init__(
        self,
        settings: ControllerSettings,
        seed: int,
    ) -> None:
        kinds = settings.request_classes
        self.uniform, self.kinds = Random(seed).uniform, kinds
        self.roll, self.cold = settings.discovery, settings.warm_up
        self.period = self.heard_over = settings.report_period  # as set, and as sums in fact cover it
        self.admitting, self.crossing_price = settings.admission_mode, settings.cross_zone_price
        self.may_probe = settings.health_checks_allowed
        self.channel, self.nodes, self.proxies = Channel(settings.channel), {}, {}  # by number
        self.grace, self.usual_proxies = settings.drain_deadline, settings.expected_proxies
        self.parted, self.meant = False, set()
        self._handlers = {
            EndpointListReceived: self.take_listed,
            EndpointListFailed: self.take_unlisted,
            HealthCheckCompleted: self.take_probed,
            ProxyJoined: self.take_joined,
            ProxyLeft: self.take_left,
            UpdateAcknowledged: self.take_applied,
            EndpointLoadReported: self.take_met,
            ProxyLoadReported: self.take_came,
        }
        self.pools, self.works, self.alike = {}, {}, {}  # ready nodes by zones; work, kindred by table
        self.lean, self.bound = {}, set()  # by zone: its part in open tables; zones kinds can't leave
        self.target = min((req.latency_objective for req in kinds), default=1.0)  # the mean of what comes
        self.tables, self.answers, self.mark = {}, 0.0, 0  # by kinds and nodes; heard of all; the last mark
        self.look_at = self.rescore_at = self.ask_at = self.fetch_at = LONG_AGO
        self.following, self.ask_wait = not settings.discovery.must_watch, ASK_AGAIN

    def round(self, now: float, arrivals: Events, orders: CommandWriter) -> None:
        self.now, self.orders = now, orders
        self.channel.turn(now)
        for event in arrivals:
            self._handlers[type(event)](*event)
        self.ask_roll()
        if now >= self.look_at:
            self.look_at = now + LOOK_EVERY - CLOCK_STEP
            orders.schedule_round(LOOK_EVERY)
            self.look()
        if self.channel.heads:
            self.mark = (self.mark + 1) % NONCE_COUNT
            orders.request_ack(self.mark, False)
            self.channel.end_round(self.mark)

    def look(self) -> None:  # health at each; scores, levels once a second; tables as their pace allows
        self.judge()
        self.weigh()
        if scored := self.now >= self.rescore_at:
            self.rescore_at = self.now + RESCORE_EVERY - CLOCK_STEP
            for place in (at for at, node in self.pool().items() if node.out and self.may_probe):
                self.orders.check_health(place)
            come = [(rate, kind) for proxy in self.proxies.values() for kind, rate in enumerate(proxy.rates)]
            targets = sum(rate * self.kinds[kind].latency_objective for rate, kind in come)
            self.target = targets / sum(rate for rate, _ in come) if targets else self.target
            self.rescore()
            self.lean_zones()
            for table in filter(self.used, self.tables.values()):
                self.steer(table)
                self.set_levels(table)
        self.deal()
        for table in filter(self.used, self.tables.values()) if self.parted else ():
            self.take_down(table)
        self.turn_nodes(True)  # drains first, returns after the lines that they need
        self.bind_joined()
        all_bound = all(proxy.bound for proxy in self.proxies.values())  # the others go on with other lines
        for table in filter(self.used, self.tables.values()):
            self.publish(table, scored, not self.parted or all_bound)
        self.turn_nodes(False)
        self.drop_gone(all_bound)  # else tables of others may hold them

    def ask_roll(self) -> None:  # follow it, asking again with growing waits; now and then fetch it whole
        if self.roll.must_watch and self.now >= max(
            self.ask_at, self.fetch_at if self.following else LONG_AGO
        ):
            self.ask_at, self.fetch_at = self.now + ASK_MOST, self.now + FETCH_EVERY
            self.orders.fetch_endpoints() if self.following else self.orders.watch_endpoints(True)

    def take_unlisted(self) -> None:
        self.following = not self.roll.must_watch
        self.ask_at = self.now + self.ask_wait * self.uniform(0.75, 1.25)
        self.ask_wait = min(ASK_MOST, self.ask_wait * 2)

    def take_listed(self, whole: bool, entries: list[tuple]) -> None:
        if self.ask_at > LONG_AGO:  # an answer, not the list held at the start
            self.following, self.ask_wait, self.ask_at = True, ASK_AGAIN, self.now
        self.look_at, self.rescore_at, self.pools = LONG_AGO, LONG_AGO, {}  # a pool gone cold must not wait
        told = {entry[0] for entry in entries} if whole else self.nodes
        gone = [
            (at, node.zone, 0.0, EndpointState.GONE, 0.0) for at, node in self.nodes.items() if at not in told
        ]
        for place, zone, started, state, nominal in [*gone, *entries]:
            node = self.nodes.setdefault(place, new_node())
            if (state == EndpointState.READY) != (
                node.state == EndpointState.READY
            ) or node.turned_at == LONG_AGO:
                node.turned_at = self.now
            node.zone, node.state, node.nominal = zone, state, nominal if nominal > 0 else 1.0
            if started > node.started:
                node.started, node.share = started, 0.0  # cold it gets less, so owes less
                self.forget(node, started - max(0.0, RAMP_OVER - RAMP_COLD * (self.cold.duration or inf)))

    def forget(self, node: Node, eased_at: float) -> None:  # old evidence is of another life
        node.good = node.took = node.tried = node.errored = 0.0
        node.load, node.eased_at, node.out = None, eased_at, False
        node.loads.clear()
        node.answers_then, node.answered_at, node.answered = self.answers, self.now, 0

    def pool(self, zones: tuple[int, ...] = ()) -> dict[int, Node]:  # ready, of some zones or of all
        if zones not in self.pools:
            ready = ((at, node) for at, node in self.nodes.items() if node.state == EndpointState.READY)
            self.pools[zones] = {at: node for at, node in ready if not zones or node.zone in zones}
        return self.pools[zones]

    def take_joined(self, proxy: int, zone: int, usual: float, blank: bool) -> None:
        self.take_left(proxy)
        rates = [usual / max(1, len(self.kinds))] * len(self.kinds)
        self.proxies[proxy] = Proxy(zone, not blank, self.now, rates)

    def groups(self, zone: int) -> dict[tuple, dict[int, Node]]:
        """The nodes open to a zone's proxies, by their kinds, their zones and the preferred one."""
        groups: dict[tuple, tuple[int, ...]] = {}
        for kind, req in enumerate(self.kinds):
            near = zone if self.crossing_price >= NEAR_PRICE and not req.zones else -1
            open_to = ((zone,), -1) if req.own_zone_only else (req.zones, near)
            groups[open_to] = (*groups.get(open_to, ()), kind)
        return {(kinds, zones, near): self.pool(zones) for (zones, near), kinds in groups.items()}

    def tables_of(self, zone: int, held: bool) -> list[tuple[float, deque]]:  # size, choice by set of nodes
        pools, tables = self.groups(zone), []
        carried = CARRIED_PART * self.grace * self.channel.limits.line_rate  # the rest is for change
        whole, proxies = sum(map(len, pools.values())), max(1.0, self.usual_proxies, len(self.proxies))
        other = self.channel.limits.message_overhead + 1 + len(pools) + len(self.kinds)
        room = (carried / proxies - other) / (whole * (1 + held) or 1)  # told twice
        for key, pool in pools.items():
            size = inf if proxies * (whole + other) <= carried else max(LINES_LEAST, int(room * len(pool)))
            fit = [one for one in self.alike.setdefault(key, []) if one.size <= PART_OVER * size]
            for _ in range(len(fit), max(1, ceil(PARTS_OF_NODE * len(pool) / size))):
                fit.append(Table(len(self.tables), *key, size))
                self.tables[len(self.tables)] = fit[-1]
                self.alike[key].append(fit[-1])
            tables.append((PART_OVER * size, deque(sorted(fit, key=lambda one: len(one.proxies)))))
        return tables

    def deal(self) -> None:  # to each part its number of nodes, half of them near, from those in few
        self.parted = any(table.size < inf for table in self.tables.values())
        for (_, zones, near), tables in self.alike.items() if self.parted else ():
            pool = {at: node for at, node in self.pool(zones).items() if not node.out}
            parts = [table for table in tables if table.size < inf and self.used(table)]
            for table in parts:
                table.dealt &= pool.keys()
            cover = Counter(at for table in parts for at in table.dealt)
            fresh = len(pool.keys() - cover.keys()) / max(1, len(pool))  # in none: parts make room for them
            for table in parts:
                size = int(min(table.size, len(pool)))
                over = int(len(table.dealt) + fresh * size + self.uniform(0, 1)) - size if fresh else 0
                if over > 0:  # far ones go first, of them those in most parts
                    out = sorted(table.dealt, key=lambda at: (pool[at].zone == near, -cover[at], at))[:over]
                    table.dealt.difference_update(out)
                    cover.subtract(out)
                if (missing := size - len(table.dealt)) > 0:
                    rest = sorted(pool.keys() - table.dealt, key=lambda at: (cover[at], self.uniform(0, 1)))
                    half = int(table.size) // 2 - sum(pool[at].zone == near for at in table.dealt)
                    close = [at for at in rest if pool[at].zone == near][: max(0, half)]
                    rest = [*close, *(at for at in rest if at not in close)][:missing]
                    table.dealt.update(rest)
                    cover.update(rest)
            for at in [at for at in pool if not cover[at]] if parts else ():
                min(parts, key=lambda table: len(table.dealt) - table.size).dealt.add(at)

    def open_to(self, table: Table) -> dict[int, Node]:  # the ready nodes of a table, or those dealt to it
        pool = self.pool(table.zones)
        places = pool if table.size == inf else sorted(table.dealt & pool.keys())
        return {at: pool[at] for at in places if not pool[at].out} if self.parted else pool  # no withdrawals

    def used(self, table: Table) -> bool:  # parts that nobody has or will have count nowhere
        return table.size == inf or bool(table.proxies) or table.place in self.meant

    def bind_joined(self) -> None:  # as there is room, short tables first, as who is bound learns of drains
        listed = any(node.turned_at > LONG_AGO for node in self.nodes.values())  # else their own are better
        joiners = {number: proxy for number, proxy in self.proxies.items() if listed and not proxy.bound}
        fitting = {one: self.tables_of(*one) for one in sorted({(p.zone, p.held) for p in joiners.values()})}
        for number, proxy in joiners.items():
            fits = fitting[proxy.zone, proxy.held]
            over = any(table.size > most for table, (most, _) in zip(proxy.tables, fits, strict=False))
            if not proxy.tables or over and not any(number in table.proxies for table in proxy.tables):
                proxy.tables = [fit[0] for _, fit in fits]
                for _, fit in fits:  # by turns, from the one with the fewest
                    fit.rotate(-1)
        pairs = [(number, table) for number, proxy in joiners.items() for table in proxy.tables]
        self.meant = {table.place for _, table in pairs}
        self.deal()
        for table in [self.tables[at] for at in sorted(self.meant) if not self.tables[at].proxies]:
            self.publish(table)
        known = any(node.shut for node in self.nodes.values())
        pairs.sort(key=lambda pair: (known and len(pair[1].lines), -sum(joiners[pair[0]].rates)))
        for at, table in pairs:
            told = (joiners[at].held or self.nodes[node].shut for node in table.lines)
            lines = 1 + len(table.lines) + len(table.kinds) + sum(told)
            if at not in table.proxies and self.channel.claim({at: joiners[at]}, lines, RETURNS_PART):
                self.orders.assign_table(table.place, at, sum(1 << kind for kind in table.kinds))
                table.proxies[at] = joiners[at]
        self.weigh()
        for number, proxy in joiners.items():
            proxy.bound = all(number in table.proxies for table in proxy.tables)
        for at in sorted(self.meant):
            self.set_levels(self.tables[at])

    def take_left(self, proxy: int) -> None:
        for table in self.proxies.pop(proxy).tables if proxy in self.proxies else ():
            table.proxies.pop(proxy, None)
            table.waiting.discard(proxy)

    def take_applied(self, proxy: int, mark: int, took: float) -> None:
        self.channel.answered(mark)
        for table in self.proxies[proxy].tables if proxy in self.proxies else ():
            if (mark - table.mark) % NONCE_COUNT < NONCE_COUNT // 2:
                table.waiting.discard(proxy)

    def take_came(self, proxy: int, kind: int, count: int, errored: int, over: float) -> None:
        if proxy in self.proxies and kind < len(self.kinds) and over > 0:
            self.proxies[proxy].rates[kind] += (count / over - self.proxies[proxy].rates[kind]) / 2

    def take_met(
        self, place: int, zone: int, over: float, took: float, errored: int, tried: int, load: LoadReport
    ) -> None:
        node = self.nodes.setdefault(place, new_node())
        self.heard_over += HEARD_STEP * (max(over, self.period) - self.heard_over)
        node.tried, node.errored, good = node.tried + tried, node.errored + errored, max(0, tried - errored)
        self.answers, node.answered = self.answers + good, node.answered + good
        node.good, node.took = node.good + good, node.took + good * took
        held, busy, _ = load
        if busy is None and held is not None:  # against what was held while answering on time
            late = node.good and node.took / node.good > ON_TIME * self.target
            fall = ROOM_FALL * min(0.0, held - node.room)
            node.room = max(ROOM / 2, node.room + fall) if late else max(node.room, held)
            busy = held / node.room
        if busy is not None:
            node.load = 100.0 * busy if node.load is None else node.load + STEP * (100.0 * busy - node.load)

    def take_probed(self, place: int, outcome: int, took: float, load: LoadReport) -> None:
        if outcome != HealthCheckOutcome.REJECTED and (node := self.nodes.get(place)):
            node.passes = node.passes + 1 if outcome == HealthCheckOutcome.PASSED else 0

    def judge(self) -> None:  # withdraw on evidence beside the rest; let back after a wait and good probes
        ready = self.pool()
        for place, node in ready.items():
            if node.answered:
                node.share += STEP * (node.answered / (self.answers - node.answers_then) - node.share)
                node.answers_then, node.answered_at, node.answered = self.answers, self.now, 0
            if node.out:
                node.eased_at = self.now
                if self.now - node.out_at >= node.hold and (node.passes >= PASSES or not self.may_probe):
                    self.forget(node, self.now)
            elif (
                self.silent(node)
                or node.tried >= SICK_TRIES
                and node.errored > SICK_RATIO * node.tried
                and self.sick(node, list(ready.values()))
            ):
                self.take_out(place, node)
        keep = 1.0 - LOOK_EVERY / max(FORGET, FORGET_PERIODS * self.heard_over)
        for node in self.nodes.values():
            node.good, node.took = node.good * keep, node.took * keep
            node.tried, node.errored = node.tried * keep, node.errored * keep
        for pool in [self.pool(zones).values() for zones in {one.zones for one in self.tables.values()}]:
            for node in () if any(not node.out for node in pool) else pool:
                node.out = False  # no proxy is left without a line by evidence alone

    def sick(self, node: Node, ready: list[Node]) -> bool:  # errs far beyond fleet and zone; no zone drowns
        rest = [other for other in ready if other is not node and not other.out]
        usual = max(errors(rest), errors([other for other in rest if other.zone == node.zone]))
        return node.errored > (SICK_RATIO + usual) * node.tried

    def silent(self, node: Node) -> bool:  # while the rest answer: hang, dead machine, cut, not late reports
        missed = (self.answers - node.answers_then) * node.share * ramp(self.now - node.eased_at)
        return missed > SILENT_ANSWERS and self.now - node.answered_at > SILENT_PERIODS * self.heard_over

    def take_out(self, place: int, node: Node) -> None:
        pools = [pool for at in {t.zones for t in self.tables.values()} if place in (pool := self.pool(at))]
        if any(sum(one.out for one in pool.values()) + 1 > OUT_MOST * len(pool) for pool in pools):
            return
        node.hold = min(HOLD_MOST, node.hold * 2) if self.now - node.out_at < HOLD_MOST + node.hold else HOLD
        node.out, node.out_at, node.passes = True, self.now, 0

    def turn_nodes(self, out: bool) -> None:  # out of all tables that proxies hold, and back; none only met
        nodes = {} if out and self.parted else self.nodes
        listed = {at: node for at, node in nodes.items() if node.turned_at > LONG_AGO}
        due = {at: node for at, node in listed.items() if unusable(node) == out != node.shut}
        for one in self.tables.values() if not out else ():  # none is let in on a line of its former life
            due = {at: node for at, node in due.items() if one.lines.get(at, 0) <= one.pending.get(at, inf)}
        part = self.drain_part(due.values(), URGENT_PART if out else RETURNS_PART)
        room = self.channel.claim(self.proxies, len(due), part, min(len(due), DRAINS_LEAST)) if due else 0
        for place in sorted(due, key=lambda at: (due[at].state == EndpointState.READY, due[at].turned_at))[
            :room
        ]:
            due[place].shut_at = self.now if out else inf
            self.orders.set_ejected(place, out)

    def drain_part(self, nodes: Iterable[Node], usual: float) -> float:  # drains share late messages
        told = min([node.turned_at for node in nodes if node.state != EndpointState.READY], default=self.now)
        return 1.0 if self.now - told >= DRAIN_WAIT else usual

    def drop_gone(self, all_bound: bool) -> None:  # nodes long gone, in nobody's lines; each costs a message
        gone = [
            at
            for at, node in self.nodes.items()
            if node.state == EndpointState.GONE and node.turned_at > LONG_AGO
        ]
        over = [
            at
            for at in gone
            if self.nodes[at].turned_at < self.now - KEPT_GONE
            and not any(at in one.lines for one in self.tables.values())
        ]
        due = any(self.nodes[at].turned_at < self.now - 2 * KEPT_GONE for at in over) and all_bound
        for at in over[: self.channel.claim(self.proxies, len(over), RETURNS_PART, 1) if due else 0]:
            self.orders.forget_endpoint(at)
            del self.nodes[at]

    def rescore(self) -> None:  # the design's; no reports get the average, listed weights scale by ratio
        ready, sums = self.pool().values(), {}
        for node in ready:
            if node.load is not None and node.good:
                rise = node.load - node.loads[0] if node.loads else 0.0
                sums[id(node)] = weighted_sum(node.load, rise, node.took / node.good, errors([node]))
                node.loads.append(node.load)
        average = sum(sums.values()) / len(sums) if sums else FLAT
        nominal = sum(node.nominal for node in ready) / max(1, len(ready))
        for node in ready:
            ratio = node.nominal / nominal if self.roll.lists_weights else 1.0
            node.score = min(sums.get(id(node), average) * ratio, node.score * RISE_MOST + 1.0)

    def lean_zones(self) -> None:  # under more strain than the rest it is not near, and free kinds leave
        ready = self.pool().values()
        self.bound = {zone for table in self.tables.values() for zone in table.zones}
        for zone in sorted((self.bound | {table.near for table in self.tables.values()}) - {-1}):
            here = strain([node for node in ready if node.zone == zone], self.target)
            rest = strain([node for node in ready if node.zone != zone], self.target)
            limit = LEAN_FROM if zone in self.bound else NEAR_FROM
            if here > max(limit, rest):
                self.lean[zone] = max(LEAN_LEAST, self.lean.get(zone, 1.0) * LEAN_FALL)
            elif here < limit:
                self.lean[zone] = min(1.0, self.lean.get(zone, 1.0) * LEAN_RISE)
        if ready and all(node.zone in self.bound for node in ready):  # where all zones lean, none does
            top = max(self.lean.get(node.zone, 1.0) for node in ready)
            self.lean = {zone: lean / top for zone, lean in self.lean.items()}

    def warmth(self, node: Node) -> float:  # the share of its capacity that it surely has, however slow
        climb, least = node.started and self.cold.duration, self.cold.initial_fraction
        return min(1.0, least + (1.0 - least) * max(0.0, self.now - node.started) / climb) if climb else 1.0

    def wanted(self, table: Table) -> dict[int, int]:
        """The table as it should stand: the rounded score of each listed node, eased in after a start."""
        pool, want = self.open_to(table), {}
        close = [node for node in pool.values() if node.zone == table.near and not node.out]
        near = {node.zone for node in close if self.warmth(node) >= 1.0}  # none where all are cold
        for place, node in pool.items():
            lean = 1.0 if table.zones else self.lean.get(node.zone, 1.0)
            part = ramp(self.now - node.eased_at) * (lean if node.zone in self.bound else 1.0)
            if node.zone in near:
                part *= 1.0 + (NEAR - 1) * lean
            want[place] = max(1, round(node.score * part))
        if any(self.warmth(node) < 1.0 for node in pool.values()):
            self.spare_cold(table, near, pool, want)
        return want

    def spare_cold(self, table: Table, near: set[int], pool: dict[int, Node], want: dict[int, int]) -> None:
        """Cold nodes get what they surely stand, or no line where two draws would meet it too often."""
        part = (
            self.cold.overload_multiple * COLD_MARGIN * max(UNHEARD, 1.0 - errors(list(pool.values()), 1.0))
        )
        cold, drop, filled = {}, [], self.filled(table) * self.lets_in(table)
        for close in False, True:  # by warm lines of its like; near ones are met by their own zone's proxies
            like = {at: node for at, node in pool.items() if (node.zone in near) == close}
            warm = [want[at] for at, node in like.items() if not node.out and self.warmth(node) >= 1.0]
            most = median(warm) if warm else 100.0  # heavy lines may be avoided by proxies
            load = max(1, len(warm), filled * len(like) / len(pool) if close else filled)
            for place, node in like.items():
                if (stands := part * self.warmth(node)) < part:
                    want[place] = max(1, min(want[place], round(stands * most)))
                    cold[place] = (COLD_MEETS * stands + 2 / most) / load
            drop += warm
        while drop:  # of two draws the second is from what the first left; each line that goes adds to that
            lines = {at: line for at, line in want.items() if not pool[at].out}
            whole = sum(lines.values())
            odds = {at: line / max(1, whole - line) for at, line in lines.items()}
            draws = 1.0 + sum(odds.values())
            met = {at: lines[at] / whole * (draws - odds[at]) for at in cold if at in lines}
            drop = [at for at, often in met.items() if often > cold[at]]
            for place in drop:
                del want[place]

    def take_down(self, table: Table) -> None:  # of nodes that are out: half of what a withdrawal costs
        due = [at for at in sorted(table.lines) if unusable(self.nodes[at])]
        part = self.drain_part([self.nodes[at] for at in due], URGENT_PART)
        room = self.channel.claim(table.proxies, len(due), part, min(len(due), DRAINS_LEAST)) if due else 0
        for at in sorted(due, key=lambda at: max(self.nodes[at].turned_at, self.nodes[at].out_at))[:room]:
            self.orders.set_weight(table.place, at, 0)
            del table.lines[at]

    def publish(self, table: Table, scored: bool = False, free: bool = True) -> None:
        want = self.wanted(table)
        both = {at: (table.lines.get(at, 0), want.get(at, 0)) for at in sorted({*table.lines, *want})}
        sharing = len(self.proxies if self.parted else table.proxies)
        slow = 1.0 + min(SLOW_MOST, len(want) * sharing / max(1.0, self.channel.limits.line_rate))
        falls = {at: self.nodes[at] for at, (old, new) in both.items() if 0 < new < old / 2}
        fresh = {at for at, node in falls.items() if ramp(self.now - node.eased_at) < 1.0}  # can't wait
        changes = {
            at: new
            for at, (old, new) in both.items()
            if (old > 0) != (new > 0)
            or at in falls
            and self.warmth(falls[at]) < 1.0
            or abs(new - old) > slow * max(RESEND_OVER, LEANED_OVER * old)
        }
        bare = not any(at in want and not self.nodes[at].out for at in table.lines) or not table.proxies
        paced = len(table.waiting) * 2 < len(table.proxies) or self.now - table.changed_at >= ACK_WAIT
        lacks = sum(not both[at][0] for at in changes) > LACKING * len(want)  # weights use up the messages
        usual = paced and (scored or lacks) and not bare and free  # some go alone: all took the others' room
        due = [
            at
            for at in changes
            if usual or bare or at in fresh or fresh and not (both[at][0] and self.channel.queued)
        ]
        part = RETURNS_PART if not usual else MISSING_PART if lacks else ORDINARY_PART
        due.sort(key=lambda at: (self.nodes[at].shut, both[at][0] > 0, -abs(changes[at] - both[at][0])))
        unaware = {since: table.unaware(since) for since in {self.nodes[at].shut_at for at in due}}
        told = [0 if both[at][0] else unaware[self.nodes[at].shut_at] for at in due]
        room = self.channel.claim(table.proxies, len(due), part, 1, told) if due else 0
        sent = {at: changes.pop(at) for at in due[:room]}
        table.pending = changes
        for node, weight in sent.items():
            self.orders.set_weight(table.place, node, weight)
        table.lines = {node: weight for node, weight in (table.lines | sent).items() if weight}
        if sent and table.proxies:
            table.mark, table.waiting, table.changed_at = self.mark + 1, set(table.proxies), self.now

    def steer(self, table: Table) -> None:  # less under strain, once sums show the last cut; slowly back
        pool = [node for node in self.open_to(table).values() if not node.out]
        strained = strain(pool, self.target)
        usual = median([node.errored / node.tried for node in pool if node.tried >= 1] or [0.0])
        zones = [[node for node in pool if node.zone == zone] for zone in {node.zone for node in pool}]
        full = strained > PLAIN and all(errors(nodes, 1.0) > FAILING for nodes in zones)  # no cut network
        held = median([node.load for node in pool if node.load is not None] or [100.0])
        if strained > 1.0 and (held > FULL or full) and self.now > table.cut_at + CUT_EVERY * self.heard_over:
            table.cut_at = self.now
            table.share = max(SHARE_LEAST, table.share * max(CUT_MOST, 1.0 / strained))
        elif strained < CALM or held < SPARE and not full:
            table.share = min(1.0, table.share + GIVE_BACK)
        table.again = table.share >= 1.0 and strained < TRIES_UNDER and errors(pool) > TRIES_OVER + 2 * usual

    def set_levels(self, table: Table) -> None:  # least value for its time first; further tries that pay
        share = self.lets_in(table) if self.admitting != AdmissionMode.NONE else 1.0
        work = self.works[table.place]
        left = share * sum(work.values())
        for kind in sorted(
            work, key=lambda k: -self.kinds[k].priority_weight / self.kinds[k].latency_objective
        ):
            level = max(LEVEL_LEAST, min(1.0, left / work[kind] if work[kind] and share < 1.0 else share))
            left = max(0.0, left - work[kind] * level)
            again = table.again and share >= 1.0 and self.kinds[kind].idempotency == Idempotency.IDEMPOTENT
            tries = RetryPolicy.ON_FAILURE if again else RetryPolicy.IF_NOT_PROCESSED
            old, way = table.levels.get(kind, (-1.0, -1))
            same = tries == way and (level == old or level < 1.0 and abs(level - old) < LEVEL_STEP)
            if not same and self.channel.claim(table.proxies, 1, URGENT_PART):
                table.levels[kind] = (level, tries)
                self.orders.set_admission(table.place, 1 << kind, self.quota(table, kind, level), tries)

    def weigh(self) -> None:  # what comes to each table, and to all of them by what strain lets in
        self.works = {
            at: {kind: self.offered(one, kind) for kind in one.kinds} for at, one in self.tables.items()
        }
        self.whole = sum(sum(self.works[at].values()) * table.share for at, table in self.tables.items())

    def offered(self, table: Table, kind: int) -> float:  # s of work a second
        return self.kinds[kind].latency_objective * sum(proxy.rates[kind] for proxy in table.proxies.values())

    def filled(self, table: Table) -> float:  # so many nodes what comes would fill, by what is let in
        part = sum(self.works.get(table.place, {}).values()) / self.whole if self.whole else 1.0
        return len(self.pool()) * part * (1 if table.size == inf else PARTS_OF_NODE)  # others fill them too

    def lets_in(self, table: Table) -> float:  # by the level, and what a mostly cold pool surely stands
        pool = [node for node in self.open_to(table).values() if not node.out]
        warmths = [self.warmth(node) for node in pool]
        warm, filled = sum(warmth >= 1.0 for warmth in warmths), self.filled(table)
        stands = COLD_LETS * sum(warmths) * max(UNHEARD, 1.0 - errors(pool, 1.0))
        return min(table.share, stands / filled) if 2 * warm < min(filled, len(warmths)) else table.share

    def quota(self, table: Table, kind: int, level: float) -> float:  # as proxies take it: a share or a rate
        if self.admitting != AdmissionMode.RATE or level >= 1.0:
            return RATE_OPEN if self.admitting == AdmissionMode.RATE else level
        rates = sorted(proxy.rates[kind] for proxy in table.proxies.values())
        left = level * sum(rates)
        while rates and rates[0] < left / len(rates):
            left -= rates.pop(0)
        rate = left / len(rates) if rates else RATE_OPEN
        return rate + rate**0.5  # reqs come by chance: at the mean itself a good part is refused for good
