"""Plays the scenarios of `tests/scenarios` on the decisions; the notation is in `tests/README.md`."""

import operator
from pathlib import Path

import pytest

from oatcart.events import (
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
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
    DiscoverySettings,
    EndpointState,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.policy import Controller

HERE = Path(__file__).parent
SCENARIOS = sorted((HERE / "scenarios").glob("*.txt"))
REPEATS = {
    "replayable": Idempotency.IDEMPOTENT,
    "uniqued": Idempotency.KEYED,
    "non-replayable": Idempotency.NOT_IDEMPOTENT,
}
PLAIN = {
    "must_watch": 0,
    "line_rate": 1000,
    "message_overhead": 4,
    "max_queue": 2000,
    "max_messages": 0,
    "message_window": 10,
    "duration": 16,
    "initial_fraction": 0.2,
    "overload_multiple": 4,
    "cross_zone_price": 0,
    "health_checks": 1,
    "lists_weights": 0,
    "rate": 0,
    "drain_deadline": 1e9,
}
COMPARE = {"=": operator.eq, "<": operator.lt, ">": operator.gt}


class Orders:
    """Writes orders as words, and keeps the tables as proxies would."""

    def __init__(self):
        self.said, self.tables, self.mark_now = [], {}, 0

    def set_weight(self, table, node, weight):
        self.said.append((f"line t{table} n{node}", weight))
        self.tables[table, node] = weight

    def assign_table(self, table, proxy, kinds):
        self.said.append((f"bind t{table} p{proxy}", kinds))

    def set_ejected(self, node, out):
        self.said.append((f"{'shut' if out else 'lift'} n{node}", 1))

    def set_admission(self, table, kinds, level, tries):
        for kind in range(16):
            if kinds >> kind & 1:
                self.said.append((f"admit t{table} k{kind} w{tries}", level))

    def request_ack(self, mark, everyone):
        self.said.append(("mark", mark))
        self.mark_now = mark

    def forget_endpoint(self, node):
        self.said.append((f"drop n{node}", 1))

    def check_health(self, node):
        self.said.append((f"probe n{node}", 1))

    def watch_endpoints(self, on):
        self.said.append(("follow", 1))

    def fetch_endpoints(self):
        self.said.append(("fetch", 1))

    def schedule_round(self, after):
        self.said.append(("wake", after))

    def log(self, text):
        pass


def conductor(kinds, cfg):
    """A conductor with the plain settings and what a scenario sets."""

    def pick(record):
        return record(**{name: cfg[name] for name in record._fields if name in cfg})

    settings = ControllerSettings(
        request_classes=tuple(kinds or [RequestClass(1, 1, Idempotency.IDEMPOTENT)]),
        discovery=pick(DiscoverySettings),
        channel=pick(ChannelLimits),
        warm_up=pick(WarmUpLimits),
        report_period=1.0,
        admission_mode=AdmissionMode.RATE if cfg["rate"] else AdmissionMode.SHARE,
        cross_zone_price=cfg["cross_zone_price"],
        health_checks_allowed=bool(cfg["health_checks"]),
        drain_deadline=cfg["drain_deadline"],
        expected_proxies=0,
    )
    return Controller(settings, seed=1)


def entry(word):
    """`2:1@12*3~`: node 2 of zone 1, started at 12, nominal 3, draining."""
    state = {"-": EndpointState.GONE, "~": EndpointState.DRAINING}.get(word[-1], EndpointState.READY)
    word, _, nominal = word.rstrip("-~").partition("*")
    word, _, started = word.partition("@")
    node, zone = word.split(":")
    return EndpointEntry(int(node), int(zone), float(started or 0), state, float(nominal or 1))


def arrival(words, orders):
    """One line of a scenario as an arrival."""
    match words:
        case ["roll", *rest]:
            return EndpointListReceived(True, [entry(word) for word in rest])
        case ["news", *rest]:
            return EndpointListReceived(False, [entry(word) for word in rest])
        case ["join", proxy, zone, *held]:
            return ProxyJoined(int(proxy), int(zone[1:]), 10.0, not held)
        case ["left", proxy]:
            return ProxyLeft(int(proxy))
        case ["met", node, "took", took, "err", errored, "of", tried, load, value]:
            told = LoadReport(float(value)) if load == "held" else LoadReport(None, float(value))
            return EndpointLoadReported(int(node), 0, 1.0, float(took), int(errored), int(tried), told)
        case ["met", node, "took", took, "err", errored, "of", tried]:
            return EndpointLoadReported(
                int(node), 0, 1.0, float(took), int(errored), int(tried), LoadReport()
            )
        case ["came", proxy, kind, count]:
            return ProxyLoadReported(int(proxy), int(kind[1:]), int(count), 0, 1.0)
        case ["ack", proxy]:
            return UpdateAcknowledged(int(proxy), orders.mark_now, 0.1)
        case ["probe", node, outcome]:
            return HealthCheckCompleted(
                int(node),
                HealthCheckOutcome.PASSED if outcome == "ok" else HealthCheckOutcome.TIMED_OUT,
                0.1,
                LoadReport(),
            )
        case ["unlisted"]:
            return EndpointListFailed()
    raise ValueError(" ".join(words))


def unrolled(text):
    """The lines of a scenario, repeated ones written out."""
    lines = [part.split() for line in text.splitlines() for part in line.split("#")[0].split(";")]
    now, out = 0.0, []
    while lines:
        words = lines.pop(0)
        if words[:1] == ["at"]:
            now = float(words[1])
        if words[:1] == ["until"]:
            end = lines.index(["end"])
            body, lines = lines[:end], lines[end + 1 :]
            while now < float(words[1]):
                now += float(words[3])
                out += [["at", str(now)], *body]
        elif words:
            out.append(words)
    return out


def play(text):
    """Play a scenario; the first line that is not met fails."""
    cfg, kinds, orders, told, one, checked = dict(PLAIN), [], Orders(), None, None, False

    def run():
        nonlocal one, told
        if told is not None:
            one = one or conductor(kinds, cfg)
            one.round(now, told, orders)
            told = None

    for words in unrolled(text):
        match words:
            case ["set", name, value]:
                cfg[name] = float(value)
            case ["kind", value, target, repeat, *rest]:
                zones = tuple(map(int, rest[1].split(","))) if rest[:1] == ["zones"] else ()
                kinds.append(
                    RequestClass(float(value), float(target), REPEATS[repeat], rest == ["home"], zones)
                )
            case ["at", time]:
                run()
                now, told = float(time), []
                if checked:
                    orders.said, checked = [], False
            case ["want" | "deny" | "table" | "size" | "holders", *_]:
                run()
                checked = True
                # standing lines of a table, tables with a line for a node
                if words[0] in ("size", "holders"):
                    standing = [at for at, weight in orders.tables.items() if weight]
                    found = [sum(at[words[0] == "holders"] == int(words[1][1:]) for at in standing)]
                    words = ["want", *words]
                elif words[0] == "table":
                    found = [orders.tables.get((int(words[1][1:]), int(words[2][1:])), 0)]
                    words = ["want", *words]
                else:
                    size = next((at for at, word in enumerate(words) if word in COMPARE), len(words))
                    found = [value for name, value in orders.said if name == " ".join(words[1:size])]
                if words[-2] in COMPARE:
                    found = [value for value in found if COMPARE[words[-2]](value, float(words[-1]))]
                assert bool(found) == (words[0] == "want"), f"at {now}: {' '.join(words)}; said {orders.said}"
            case ["acks", first, last]:
                told += [arrival(["ack", str(proxy)], orders) for proxy in range(int(first), int(last) + 1)]
            case _:
                told.append(arrival(words, orders))
    run()


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    play(path.read_text())


def test_same_events_same_orders():
    said = []
    for _ in range(2):
        one, orders = conductor([], PLAIN), Orders()
        for turn in range(40):
            met = [
                EndpointLoadReported(node, 0, 1.0, 0.1 + node / 50, turn % 3, 10, LoadReport(node + turn % 5))
                for node in range(8)
            ]
            roll = [
                EndpointListReceived(
                    True, [EndpointEntry(node, node % 2, 0.0, EndpointState.READY, 1.0) for node in range(8)]
                )
            ]
            one.round(
                turn / 2,
                [*(roll if turn % 9 == 0 else []), ProxyJoined(turn % 4, 0, 1.0, True), *met],
                orders,
            )
        said.append(orders.said)
    assert said[0] == said[1] and len(said[0]) > 100
