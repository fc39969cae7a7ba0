"""All decisions of an oatcart conductor.

A host makes one `Conductor` with the limits it is handed at its start, and calls `round(now, arrivals, orders)`
once a round with all that came in; decisions go straight into `orders`. What arrivals look like, the limits
and the order writer stand in `oatcart/interface.py`. The design and each departure: `docs/design.md`.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from statistics import median

from oatcart import interface as our

# --- The paper's percentages (AADLB, section 3.3); CPU and RAM together, since one load figure is told. ---
LOAD_PART, TREND_PART, DURATION_PART, SENT_PART, RECEIVED_PART, ERROR_PART = 0.30, 0.20, 0.20, 0.10, 0.10, 0.10
IDLE_LOAD = 10.0  # percent; the paper's example: below it a load scores 100
QUICK = 0.2  # s; the paper's cutoff for a duration that scores 100
SLOW_COST = 200.0  # points a second; the paper's 20 points for each 0.1 s beyond the cutoff
ERROR_COST = 1000.0  # points for all failing; the design's 10 points for 1%
FLAT = 50.0  # points; a flat trend, and bytes that nobody reports
TREND_OVER = 30  # s; the design's window for the trend, one figure a second
# --- Publishing ---
RESCORE_EVERY = 1.0  # s; the design's pace, and about the pace of the reports
LOOK_EVERY = 0.25  # s; for what cannot wait: a quarter of a rescore, far within any grace seen in a limit
RESEND_OVER = 5.0  # points; the design's threshold, a move below it is within the noise of the reports
ACK_WAIT = 2.0  # s; the design's longest wait for most of a table's proxies
ORDINARY_PART = 0.5  # share of the queue and message caps for weight changes; the rest is kept for urgent orders
LEVELS_PART = 0.75  # the same for levels: weight changes must not keep a cut from the proxies while the fleet drowns
LEANED_OVER = 0.1  # share of a standing weight; the same threshold for weights far above 100
# --- Zones ---
NEAR, NEAR_PRICE = 20, 1.03  # near nodes' scores count so many times, where crossing all day costs 3 points or more
LEAN_FROM, LEAN_BEYOND = 0.8, 1.2  # strain of a zone, and that many times the others', from which others make room
LEAN_FALL, LEAN_RISE = 0.7, 1.06  # of a zone's part a second: out in three or four seconds, back in half a minute
LEAN_LEAST = 0.05  # smallest lean: a zone still gets enough tries to be known
# --- Ramp ---
RAMP_FROM, RAMP_OVER = 0.25, 10.0  # share and s; the design's quarter weight and climb
COLD_MARGIN = 0.25  # part used of what a cold node stands: half for the two-choice pick, half for others' proxies
# --- What is heard ---
FORGET = 3.0  # s; time constant of durations and errors: about three reports, so one odd report does not decide
LOAD_STEP = 0.4  # share of a new load report taken over: two or three reports make a figure
ROOM_AT_START = 8.0  # reqs; what a node is taken to hold on time until it has shown it, replaced within seconds
ROOM_FALL = 0.3  # share of the way down to what it held when it answered late
ON_TIME = 0.5  # share of the response target: a mean duration above it leaves the tail no room
# --- Health ---
SICK_RATIO, SICK_TRIES = 0.35, 8.0  # share errored beyond the fleet's own, and tries: chance alone won't reach both
SILENT_ANSWERS = 10.0  # answers a node should have given by its share and did not: e**-10 by chance
SILENT_PERIODS = 2.5  # report periods; lines of one period may come in two portions
OUT_MOST = 0.5  # share of a pool that evidence alone may withdraw; beyond it the fault is likely the observer's
HOLD, HOLD_MOST = 4.0, 30.0  # s; first wait of a withdrawn node, doubled each time up to the longest
WELL_FOR = 30.0  # s; after so long in use an earlier withdrawal is forgotten
PASSES = 2  # probes in a row that must be answered before a way back
PROBE_EVERY = 1.0  # s; for withdrawn nodes only, a few probes a second at the worst
# --- Admission ---
CUT_MOST, CUT_EVERY, GIVE_BACK = 0.75, 2.5, 0.04  # share kept at a cut, s between cuts (until reports show the last one), share given back a second
CALM = 0.8  # share of the strain limit below which admission comes back, so that it does not swing
FAILING = 0.15  # share of tries errored at the median node that counts as full strain
LEVEL_LEAST = 0.05  # share of a kind always let in, so that its durations stay known
LEVEL_STEP = 0.04  # smallest change of a level worth a line to every proxy
BEST_PART, BEST_FADES = 0.6, 0.98  # part of the best work done that is always let in, and its fading a second
RATE_OPEN = 1e6  # reqs a second; a rate that holds nothing back
# --- The roll ---
ASK_AGAIN, ASK_MOST = 0.5, 4.0  # s; first and longest wait after a failed call
FETCH_EVERY = 20.0  # s; a full list now and then mends what a lost change left wrong


@dataclass(slots=True)
class Node:
    """All that is known of one node."""

    zone: int = 0
    state: int = our.GONE
    started: float = 0.0
    nominal: float = 1.0
    eased_at: float = -1e9  # when its ramp began
    load: float | None = None
    loads: deque = field(default_factory=lambda: deque(maxlen=TREND_OVER))
    room: float = ROOM_AT_START
    good: float = 0.0
    took: float = 0.0
    tried: float = 0.0
    errored: float = 0.0
    share: float = 0.0  # of the answers heard
    answers_then: float = 0.0  # answers of all nodes when this one last answered
    answered_at: float = 0.0
    score: float = 0.0
    out: bool = False  # withdrawn on evidence
    out_at: float = -1e9
    hold: float = HOLD
    passes: int = 0
    probed_at: float = -1e9
    shut: bool = False  # the standing order at the proxies

    def forget(self) -> None:
        """Start afresh after a restart or a way back: old evidence is of another life."""
        self.good = self.took = self.tried = self.errored = 0.0
        self.load = None
        self.loads.clear()


@dataclass(slots=True)
class Proxy:
    """A joined proxy: where it stands, what comes to it, what was sent to it."""

    zone: int
    sent: deque = field(default_factory=deque)
    due: float = 0.0  # lines of the message now being written
    rates: dict = field(default_factory=dict)  # reqs a second by kind
    lost: dict = field(default_factory=dict)  # of those let in, the ones without an answer


@dataclass(slots=True)
class Table:
    """A table shared by proxies, as it was last ordered."""

    kinds: tuple[int, ...]
    zones: tuple[int, ...]  # empty: nodes of all zones
    near: int  # the zone whose nodes are preferred; -1: none
    lines: dict = field(default_factory=dict)
    proxies: dict = field(default_factory=dict)
    mark: int = 0
    waiting: set = field(default_factory=set)
    changed_at: float = -1e9
    share: float = 1.0  # of the work offered that is let in
    cut_at: float = -1e9
    best: float = 0.0  # the most work done, in reqs a second times their response targets
    levels: dict = field(default_factory=dict)  # by kind: share let in, way of trying again


def load_score(load: float) -> float:
    """Points for a load in percent."""
    return 100.0 if load < IDLE_LOAD else clamp(100.0 - load)


def duration_score(took: float) -> float:
    """Points for a mean duration in seconds."""
    return clamp(100.0 - max(0.0, took - QUICK) * SLOW_COST)


def clamp(points: float) -> float:
    return min(100.0, max(0.0, points))


def ramp(since: float) -> float:
    """Share of its weight that a node gets so long after its start or way back."""
    return min(1.0, RAMP_FROM + (1.0 - RAMP_FROM) * max(0.0, since) / RAMP_OVER)


def weigh(node: Node) -> float | None:
    """The design's weighted sum of scores, before ramp and listed weight; None with no reports."""
    if node.load is None or not node.good:
        return None
    rise = node.load - node.loads[0] if node.loads else 0.0
    ratio = node.errored / max(node.tried, 1e-9)
    return (LOAD_PART * load_score(node.load) + TREND_PART * clamp(FLAT - rise)
            + DURATION_PART * duration_score(node.took / node.good)
            + (SENT_PART + RECEIVED_PART) * FLAT + ERROR_PART * clamp(100.0 - ratio * ERROR_COST))


def errors(nodes: Iterable[Node]) -> float:
    """The share of tries at some nodes that errored."""
    tried, errored = 0.0, 0.0
    for node in nodes:
        tried, errored = tried + node.tried, errored + node.errored
    return errored / max(1.0, tried)


def pressure(nodes: list[Node]) -> float:
    """Tries for each answer: above 1 where a pool is sent more than it can do."""
    good = sum(node.good for node in nodes)
    return max(1.0, sum(node.tried for node in nodes) / good) if good >= 1.0 else 1.0


def exposure(weight: float, lines: list[int]) -> float:
    """How often a line is one of the two drawn by weight: nearly always where one other line is heavy."""
    whole = sum(lines)
    others = list(lines)
    others.remove(weight)
    return weight / whole + sum(other / whole * weight / (whole - other) for other in others)


def strain(nodes: Iterable[Node], target: float) -> float:
    """How far the median node in use is from answering on time; above 1 it does not, or fails too much."""
    used = [node for node in nodes if not node.out and node.tried >= 1]
    late = median(n.took / n.good if n.good else 0.0 for n in used) if used else 0.0
    failing = median(n.errored / n.tried for n in used) if used else 0.0
    return max(late / (ON_TIME * target), failing / FAILING)


class Channel:
    """Counts lines and messages on their way, so that queue and message cap are kept."""

    def __init__(self, limits: our.ChannelLimits) -> None:
        self.limits = limits
        self.queued = self.at = 0.0

    def fits(self, now: float, proxies: dict[int, Proxy], lines: float, part: float) -> bool:
        """May these proxies each be sent so many lines, within this part of the caps?"""
        most, over = self.limits.messages_most, self.limits.messages_over
        for proxy in proxies.values():
            while proxy.sent and proxy.sent[0] < now - over:
                proxy.sent.popleft()
            if most and not proxy.due and len(proxy.sent) >= most * part:
                return False
        lines = (lines + self.limits.head) * len(proxies)
        return not self.limits.queue_most or self.queued + lines <= self.limits.queue_most * part

    def close(self, now: float, proxies: dict[int, Proxy]) -> None:
        """Book what this round wrote."""
        self.queued = max(0.0, self.queued - (now - self.at) * self.limits.line_rate)
        self.at = now
        for proxy in proxies.values():
            if proxy.due:
                proxy.sent.append(now)
                self.queued += proxy.due + self.limits.head
                proxy.due = 0.0


class Conductor:
    """One conductor; see the head of this module."""

    def __init__(self, *, seed: int, kinds: list[our.ReqKind], zones: int, roll: our.RollManners,
                 channel: our.ChannelLimits, cold: our.ColdLimits, report_period: float, admitting: str,
                 crossing_price: float, may_probe: bool) -> None:
        self.uniform = Random(seed).uniform
        self.kinds, self.roll, self.cold = kinds, roll, cold
        self.crossing_price = crossing_price
        self.lean: dict[int, float] = {}  # by zone: the part of its scores that open tables give it
        self.period, self.admitting, self.may_probe = report_period, admitting, may_probe
        self.channel = Channel(channel)
        self.nodes: list[Node] = []
        self.proxies: dict[int, Proxy] = {}
        self.tables: list[Table] = []
        self.views: dict[int, list[int]] = {}  # the tables of a zone's proxies
        self.now = self.answers = 0.0
        self.mark = 0
        self.marked = False
        self.look_at = self.rescore_at = -1e9
        self.woken = True
        self.following, self.ask_at, self.ask_wait, self.fetch_at = not roll.must_ask, -1e9, ASK_AGAIN, -1e9

    # --- The round ---

    def round(self, now: float, arrivals: our.Arrivals, orders: our.OrderWriter) -> None:
        """Take in all that came, then decide what is due."""
        self.now, self.orders = now, orders
        for name, *fields in arrivals:
            getattr(self, "take_" + name)(*fields)
        self.ask_roll()
        if now >= self.look_at:
            self.look_at = now + LOOK_EVERY
            self.look()
        if self.marked:
            orders.ask_ack(self.mark, False)
            self.marked = False
        self.channel.close(now, self.proxies)
        if self.woken:
            self.woken = False
            orders.wake(LOOK_EVERY)

    def look(self) -> None:
        """What cannot wait at each look; scores, levels and weights once a second."""
        self.judge()
        self.shut_out()
        full = self.now >= self.rescore_at
        if full:
            self.rescore_at = self.now + RESCORE_EVERY
            self.rescore()
        for place, table in enumerate(self.tables):
            if full:
                self.set_levels(place, table)
            self.publish(place, table)

    def take_woke(self) -> None:
        self.woken = True

    # --- The roll ---

    def ask_roll(self) -> None:
        """Follow the roll, asking again with growing waits; now and then fetch it whole."""
        if not self.roll.must_ask or self.now < self.ask_at:
            return
        if not self.following:
            self.orders.follow(True)
            self.ask_at = self.now + ASK_MOST
            self.fetch_at = self.now + FETCH_EVERY
        elif self.now >= self.fetch_at:
            self.orders.fetch_roll()
            self.fetch_at = self.now + FETCH_EVERY

    def take_unlisted(self) -> None:
        self.following = False
        self.ask_at = self.now + self.ask_wait * self.uniform(0.75, 1.25)
        self.ask_wait = min(ASK_MOST, self.ask_wait * 2)

    def take_listed(self, whole: bool, entries: list[tuple]) -> None:
        if self.ask_at > -1e9 and self.roll.must_ask:
            self.following, self.ask_wait, self.ask_at = True, ASK_AGAIN, self.now
        if whole:
            seen = {entry[0] for entry in entries}
            for place, node in enumerate(self.nodes):
                if place not in seen:
                    node.state = our.GONE
        for place, zone, started, state, nominal in entries:
            node = self.node(place)
            node.zone, node.nominal = zone, nominal if nominal > 0 else 1.0
            if started > node.started:
                node.started = node.eased_at = started
                node.forget()
                node.answers_then, node.answered_at = self.answers, self.now
            node.state = state

    def node(self, place: int) -> Node:
        while len(self.nodes) <= place:
            self.nodes.append(Node())
        return self.nodes[place]

    # --- Proxies ---

    def take_joined(self, proxy: int, zone: int, usual: float, blank: bool) -> None:
        self.take_left(proxy)
        self.proxies[proxy] = Proxy(zone)
        for place in self.view(zone):
            table = self.tables[place]
            if not table.proxies:
                self.publish(place, table)
            self.orders.bind(place, proxy, sum(1 << kind for kind in table.kinds))
            table.proxies[proxy] = self.proxies[proxy]
            self.proxies[proxy].due += 1 + len(table.lines) + len(table.levels) + sum(n.shut for n in self.nodes)

    def take_left(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        for table in self.tables:
            table.proxies.pop(proxy, None)
            table.waiting.discard(proxy)

    def view(self, zone: int) -> list[int]:
        """The tables that serve the proxies of a zone, one for each set of nodes open to some kinds."""
        if zone not in self.views:
            groups: dict[tuple, tuple] = {}
            for kind, req in enumerate(self.kinds):
                open_to = ((zone,), -1) if req.home_zone else (req.zones, -1 if req.zones else self.near(zone))
                groups[open_to] = (*groups.get(open_to, ()), kind)
            self.views[zone] = [self.table(kinds, *open_to) for open_to, kinds in groups.items()]
        return self.views[zone]

    def near(self, zone: int) -> int:
        """Proxies of a zone share a table of their own only where crossing zones is dear."""
        return zone if self.crossing_price >= NEAR_PRICE else -1

    def table(self, kinds: tuple[int, ...], zones: tuple[int, ...], near: int) -> int:
        for place, table in enumerate(self.tables):
            if (table.kinds, table.zones, table.near) == (kinds, zones, near):
                return place
        self.tables.append(Table(kinds, zones, near))
        return len(self.tables) - 1

    def take_applied(self, proxy: int, mark: int, took: float) -> None:
        for table in self.tables:
            if (mark - table.mark) % 0x10000 < 0x8000:
                table.waiting.discard(proxy)

    def take_came(self, proxy: int, kind: int, count: int, errored: int, over: float) -> None:
        if proxy in self.proxies and over > 0:
            for seen, figure in ((self.proxies[proxy].rates, count), (self.proxies[proxy].lost, errored)):
                seen[kind] = seen.get(kind, figure / over) * 0.5 + figure / over * 0.5

    # --- What is heard of nodes ---

    def take_met(self, place: int, zone: int, over: float, took: float, errored: int, tried: int,
                 load: our.Load) -> None:
        node = self.node(place)
        good = max(0, tried - errored)
        node.tried += tried
        node.errored += errored
        if good and took >= 0:
            self.answers += good
            node.good += good
            node.took += good * took
            node.share += 0.3 * (min(1.0, good / max(good, self.answers - node.answers_then)) - node.share)
            node.answers_then, node.answered_at = self.answers, self.now
        self.take_load(node, load)

    def take_load(self, node: Node, load: our.Load) -> None:
        """The reported share of the cores, or what is held against what is held while answering on time."""
        held, busy, _ = load
        if busy is not None:
            percent = 100.0 * busy
        elif held is not None:
            if node.good and node.took / node.good > ON_TIME * self.target():
                node.room = max(1.0, node.room + ROOM_FALL * min(0.0, held - node.room))
            else:
                node.room = max(node.room, held)
            percent = 100.0 * held / node.room
        else:
            return
        node.load = percent if node.load is None else node.load + LOAD_STEP * (percent - node.load)

    def target(self) -> float:
        """The mean response target of what comes, in seconds."""
        come = [sum(p.rates.get(kind, 0.0) for p in self.proxies.values()) for kind in range(len(self.kinds))]
        whole = sum(come)
        if not whole:
            return min((req.response_target for req in self.kinds), default=1.0)
        return sum(rate * req.response_target for rate, req in zip(come, self.kinds)) / whole

    def take_probed(self, place: int, outcome: int, took: float, load: our.Load) -> None:
        node = self.node(place)
        if outcome != our.TURNED_AWAY:
            node.passes = node.passes + 1 if outcome == our.ANSWERED else 0

    # --- Health ---

    def pool(self, table: Table) -> dict[int, Node]:
        """The ready nodes open to a table's kinds."""
        return {place: node for place, node in enumerate(self.nodes)
                if node.state == our.READY and (not table.zones or node.zone in table.zones)}

    def ready(self) -> list[Node]:
        return [node for node in self.nodes if node.state == our.READY]

    def judge(self) -> None:
        """Withdraw on evidence, by comparison with the fleet; let back after a wait and good probes."""
        keep = 1.0 - min(1.0, LOOK_EVERY / FORGET)
        ready = self.ready()
        for place, node in enumerate(self.nodes):
            if node.state == our.READY:
                if node.out:
                    self.let_back(place, node)
                elif self.sick(node, ready) or self.silent(node):
                    self.take_out(place, node)
            node.good *= keep
            node.took *= keep
            node.tried *= keep
            node.errored *= keep
        for table in self.tables:
            pool = self.pool(table).values()
            if all(node.out for node in pool):
                for node in pool:
                    node.out = False

    def sick(self, node: Node, ready: list[Node]) -> bool:
        """Errors far above the rest's, of the fleet and of its zone: quick failure, refusal, not a zone that drowns."""
        if node.tried < SICK_TRIES:
            return False
        rest = [n for n in ready if n is not node and not n.out]
        return node.errored / node.tried > SICK_RATIO + max(errors(rest), errors(n for n in rest if n.zone == node.zone))

    def silent(self, node: Node) -> bool:
        """No answer while the rest gave many: a hang, a dead machine, a cut. Late reports alone never show so."""
        missed = (self.answers - node.answers_then) * node.share * ramp(self.now - node.eased_at)
        return missed > SILENT_ANSWERS and self.now - node.answered_at > SILENT_PERIODS * self.period

    def take_out(self, place: int, node: Node) -> None:
        for table in self.tables:
            pool = self.pool(table)
            if place in pool and sum(n.out for n in pool.values()) + 1 > OUT_MOST * len(pool):
                return
        node.hold = min(HOLD_MOST, node.hold * 2) if self.now - node.out_at < WELL_FOR + node.hold else HOLD
        node.out, node.out_at, node.passes = True, self.now, 0
        self.orders.note(f"out {place}: {node.errored:.1f} of {node.tried:.1f} errored")

    def let_back(self, place: int, node: Node) -> None:
        node.eased_at = self.now
        if self.now - node.out_at >= node.hold and (node.passes >= PASSES or not self.may_probe):
            node.out = False
            node.forget()
            node.answers_then, node.answered_at = self.answers, self.now
        elif self.may_probe and self.now - node.probed_at >= PROBE_EVERY:
            node.probed_at = self.now
            self.orders.probe(place)

    def shut_out(self) -> None:
        """Keep drained, gone and withdrawn nodes out of all tables that proxies hold, standing ones too."""
        for place, node in enumerate(self.nodes):
            shut = node.out or node.state != our.READY
            if shut == node.shut or not self.channel.fits(self.now, self.proxies, 1, 1.0):
                continue
            if not shut:
                for at, table in enumerate(self.tables):  # its lines come down to the ramp before it is let in
                    self.publish(at, table, hurry=True)
            node.shut = shut
            self.orders.withdraw(place, shut)
            self.book(self.proxies, 1)

    # --- The ordinary path: scores and tables ---

    def rescore(self) -> None:
        ready = self.ready()
        sums = [weigh(node) for node in ready]
        known = [points for points in sums if points is not None]
        average = sum(known) / len(known) if known else FLAT
        nominal = sum(node.nominal for node in ready) / len(ready) if ready else 1.0
        for node, points in zip(ready, sums):
            ratio = node.nominal / nominal if self.roll.nominal_told else 1.0
            node.score = (average if points is None else points) * ratio
            if node.load is not None:
                node.loads.append(node.load)
        self.lean_zones()

    def lean_zones(self) -> None:
        """Open tables leave a zone that is under more strain than the rest: what may go elsewhere makes room."""
        target = self.target()
        for zone in sorted({zone for table in self.tables for zone in table.zones}):
            here = strain([n for n in self.ready() if n.zone == zone], target)
            rest = strain([n for n in self.ready() if n.zone != zone], target)
            lean = self.lean.get(zone, 1.0)
            if here > LEAN_FROM and here > LEAN_BEYOND * rest:
                self.lean[zone] = max(LEAN_LEAST, lean * LEAN_FALL)
            elif here < LEAN_FROM:
                self.lean[zone] = min(1.0, lean * LEAN_RISE)

    def wanted(self, table: Table) -> dict[int, int]:
        """The table as it should stand: the rounded score of each listed node, eased in after a start."""
        pool = self.pool(table)
        want = {place: max(1, round((node.score or FLAT) * ramp(self.now - node.eased_at)))
                for place, node in pool.items()}
        warm = [want[place] for place, node in pool.items() if not node.out and self.warmth(node) >= 1.0]
        if len(warm) < len(pool):
            part = self.cold.fall_multiple * COLD_MARGIN / pressure(list(pool.values()))
            most = sum(warm) / len(warm) if warm else 100.0
            cold = [place for place, node in pool.items() if self.warmth(node) < 1.0]
            for place in cold:
                want[place] = max(1, min(want[place], round(part * self.warmth(pool[place]) * most)))
            for place in cold if warm else ():
                open_lines = [want[at] for at, node in pool.items() if at in want and not node.out]
                if not pool[place].out and exposure(want[place], open_lines) * len(warm) \
                        > 2 * part * self.warmth(pool[place]) + 2 / most:
                    del want[place]
        for place in want if not table.zones else ():
            node = pool[place]
            near = NEAR if node.zone == table.near and self.warmth(node) >= 1.0 else 1
            want[place] = max(1, round(want[place] * near * self.lean.get(node.zone, 1.0)))
        return want

    def warmth(self, node: Node) -> float:
        """The share of its capacity that a node surely has by now, however slowly it climbs."""
        if not node.started or not self.cold.warm_after:
            return 1.0
        since = max(0.0, self.now - node.started) / self.cold.warm_after
        return min(1.0, self.cold.share_at_start + (1.0 - self.cold.share_at_start) * since)

    def publish(self, place: int, table: Table, hurry: bool = False) -> None:
        """Send what changed, once most proxies have the last change or the wait is over."""
        want = self.wanted(table)
        changes = {node: want.get(node, 0) for node in sorted(table.lines.keys() | want.keys())
                   if abs(want.get(node, 0) - table.lines.get(node, 0))
                   > max(RESEND_OVER, LEANED_OVER * table.lines.get(node, 0))
                   or (node in want) != (node in table.lines)}
        hurry = hurry or not any(node in want for node in table.lines) \
            or any(0 < weight < table.lines.get(node, 0) / 2 for node, weight in changes.items())
        paced = len(table.waiting) * 2 < len(table.proxies) or self.now - table.changed_at >= ACK_WAIT
        if not changes or not (paced or hurry or not table.proxies) \
                or not self.channel.fits(self.now, table.proxies, len(changes), 1.0 if hurry else ORDINARY_PART):
            return
        for node, weight in changes.items():
            self.orders.line(place, node, weight)
            if weight:
                table.lines[node] = weight
            else:
                table.lines.pop(node, None)
        self.book(table.proxies, len(changes))
        if table.proxies:
            if not self.marked:
                self.mark = (self.mark + 1) % 0x10000
                self.marked = True
            table.mark, table.waiting, table.changed_at = self.mark, set(table.proxies), self.now

    def book(self, proxies: dict[int, Proxy], lines: int) -> None:
        for proxy in proxies.values():
            proxy.due += lines

    # --- Admission and further tries ---

    def set_levels(self, place: int, table: Table) -> None:
        """Under strain let in less, least value for its response target first; further tries stop before."""
        pool = self.pool(table)
        strained = strain(pool.values(), self.target())
        offered = {kind: sum(p.rates.get(kind, 0.0) for p in table.proxies.values()) for kind in table.kinds}
        work = {kind: rate * self.kinds[kind].response_target for kind, rate in offered.items()}
        done = sum(max(0.0, work[kind] * table.levels.get(kind, (1.0, 0))[0] - self.kinds[kind].response_target
                       * sum(p.lost.get(kind, 0.0) for p in table.proxies.values())) for kind in work)
        table.best = max(table.best * BEST_FADES, done)
        least = min(1.0, LEVEL_LEAST + BEST_PART * table.best / max(1e-9, sum(work.values())))
        room = table.zones and any(self.lean.get(zone, 1.0) > LEAN_LEAST for zone in table.zones)
        if strained > 1.0 and not room:
            if self.now - table.cut_at >= CUT_EVERY:
                table.cut_at = self.now
                table.share = max(min(table.share, least), table.share * max(CUT_MOST, 1.0 / strained))
        elif strained < CALM:
            table.share = min(1.0, table.share + GIVE_BACK)
        left = table.share * sum(work.values())
        for kind in sorted(work, key=lambda k: -self.kinds[k].value / self.kinds[k].response_target):
            cut = table.share < 1.0 and work[kind] and self.admitting != our.NOT_AT_ALL
            level = max(LEVEL_LEAST, min(1.0, left / work[kind])) if cut else 1.0
            left = max(0.0, left - work[kind] * level)
            calm = table.share >= 1.0 and strained < 1.0 and self.kinds[kind].repeat == our.REPLAYABLE
            tries = our.AFTER_ANY if calm else our.AFTER_PROOF
            old = table.levels.get(kind, (-1.0, -1))
            if tries == old[1] and (level == old[0] or level < 1.0 and abs(level - old[0]) < LEVEL_STEP):
                continue
            if self.channel.fits(self.now, table.proxies, 1, LEVELS_PART):
                table.levels[kind] = (level, tries)
                self.orders.admit(place, 1 << kind, self.quota(table, kind, level), tries)
                self.book(table.proxies, 1)

    def quota(self, table: Table, kind: int, level: float) -> float:
        """A level as the proxies take it: a share, or a rate that lets in that share over all proxies."""
        if self.admitting != our.BY_RATE:
            return level
        if level >= 1.0:
            return RATE_OPEN
        rates = sorted(proxy.rates.get(kind, 0.0) for proxy in table.proxies.values())
        left = level * sum(rates)
        for place, rate in enumerate(rates):
            even = left / (len(rates) - place)
            if rate >= even:
                return even
            left -= rate
        return RATE_OPEN
