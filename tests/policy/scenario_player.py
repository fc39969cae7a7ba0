"""Plays a scenario on the policy: passes its events to a controller and checks the commands.

The notation is in `tests/README.md`.
"""

import operator
from collections.abc import Callable
from dataclasses import replace

from oatcart.events import (
    EndpointEntry,
    EndpointListFailed,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
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
    DiscoveryCall,
    DiscoverySettings,
    EndpointState,
    HealthCheckOutcome,
    Idempotency,
    LoadReport,
    RequestClass,
    RetryPolicy,
    WarmUpLimits,
)
from oatcart.policy import Controller

DEFAULT_CLASS = RequestClass(1, 1, Idempotency.IDEMPOTENT)
DEFAULT_SETTINGS = ControllerSettings(
    request_classes=(DEFAULT_CLASS,),
    discovery=DiscoverySettings(),
    channel=ChannelLimits(line_rate=1000.0, message_overhead=4.0, max_queue=2000.0),
    warm_up=WarmUpLimits(duration=16.0, initial_fraction=0.2, overload_multiple=4.0),
    report_period=1.0,
    admission_mode=AdmissionMode.SHARE,
    cross_zone_price=0.0,
    health_checks_allowed=True,
    drain_deadline=1e9,
)
SEED = 1
USUAL_RATE = 10.0  # requests/s of a proxy that joins
MAX_CLASSES = 16  # bits of a class mask
STATES = {"-": EndpointState.GONE, "~": EndpointState.DRAINING}
COMPARISONS = {"=": operator.eq, "<": operator.lt, ">": operator.gt}

Step = list[str]  # the words of a line


class RecordedCommands:
    """Records each command as words with a value, and keeps the resulting weights of the tables."""

    def __init__(self) -> None:
        self.given: list[tuple[str, float]] = []  # commands since it was last cleared
        self.weights: dict[tuple[int, int], float] = {}  # by table and endpoint
        self.last_nonce = 0

    def _add(self, command: str, value: float = 1) -> None:
        self.given.append((command, value))

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        """Records `weight t0 e2` with the weight."""
        self._add(f"weight t{table} e{endpoint}", weight)
        self.weights[table, endpoint] = weight

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        """Records `assign t0 p5` with the mask of the classes."""
        self._add(f"assign t{table} p{proxy}", classes)

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        """Records `eject e2` or `restore e2`."""
        self._add(f"{'eject' if ejected else 'restore'} e{endpoint}")

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: RetryPolicy) -> None:
        """Records `admission t0 c1 r2` with the quota, for each class."""
        for number in range(MAX_CLASSES):
            if classes >> number & 1:
                self._add(f"admission t{table} c{number} r{int(retry_policy)}", quota)

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        """Records `ack_request` with the nonce, which `ack` then acknowledges."""
        self._add("ack_request", nonce)
        self.last_nonce = nonce

    def forget_endpoint(self, endpoint: int) -> None:
        """Records `forget e2`."""
        self._add(f"forget e{endpoint}")

    def check_health(self, endpoint: int) -> None:
        """Records `check_health e2`."""
        self._add(f"check_health e{endpoint}")

    def watch_endpoints(self, enabled: bool) -> None:
        """Records `watch`."""
        self._add("watch")

    def fetch_endpoints(self) -> None:
        """Records `fetch`."""
        self._add("fetch")

    def schedule_round(self, delay: float) -> None:
        """Records `schedule` with the delay in seconds."""
        self._add("schedule", delay)

    def log(self, text: str) -> None:
        """Ignores the line, as no scenario checks it."""


class ScenarioPlayer:
    """Plays one scenario; a failed check raises AssertionError with its line."""

    def __init__(self) -> None:
        self._settings = DEFAULT_SETTINGS
        self._request_classes: list[RequestClass] = []
        self._commands = RecordedCommands()
        self._controller: Controller | None = None
        self._now = 0.0  # s
        self._events: list[Event] | None = None  # of the round to be played next; None: there is none
        self._checked = False  # whether recorded commands were checked since the last round

    def play(self, text: str) -> None:
        """Plays all steps of a scenario."""
        for step in unrolled(text):
            self._play_step(step)
        self._play_round()

    def _play_step(self, step: Step) -> None:
        match step:
            case ["set", name, value]:
                self._settings = with_setting(self._settings, name, value)
            case ["class", *words]:
                self._request_classes.append(request_class(words))
            case ["at", time]:
                self._begin_round(float(time))
            case ["want" | "deny" | "entry" | "size" | "tables_with", *_]:
                self._play_round()
                self._check(step)
            case ["acks" | "joins" as name, first, last, *words]:
                for proxy in range(int(first), int(last) + 1):
                    self._add_event([name[:-1], str(proxy), *words])
            case _:
                self._add_event(step)

    def _begin_round(self, time: float) -> None:
        """Plays the previous round; commands that were checked are dropped before the next one."""
        self._play_round()
        self._now = time
        self._events = []
        if self._checked:
            self._commands.given = []
            self._checked = False

    def _add_event(self, step: Step) -> None:
        self._events.append(event(step, self._commands.last_nonce))

    def _play_round(self) -> None:
        if self._events is None:
            return
        if self._controller is None:
            classes = tuple(self._request_classes or [DEFAULT_CLASS])
            self._controller = Controller(replace(self._settings, request_classes=classes), SEED)
        self._controller.round(self._now, self._events, self._commands)
        self._events = None

    def _check(self, step: Step) -> None:
        self._checked = True
        words, holds = split_condition(step)
        found = any(holds(value) for value in self._values(words))
        given = self._commands.given
        assert found == (step[0] != "deny"), f"at {self._now}: {' '.join(step)}; commands: {given}"

    def _values(self, words: Step) -> list[float]:
        """Returns the values that a check compares: one of the tables, or one for each matching command."""
        entries = [at for at, weight in self._commands.weights.items() if weight]
        match words:
            case ["entry", table, endpoint]:
                return [self._commands.weights.get((int(table[1:]), int(endpoint[1:])), 0)]
            case ["size", table]:
                return [sum(of == int(table[1:]) for of, _ in entries)]
            case ["tables_with", endpoint]:
                return [sum(at == int(endpoint[1:]) for _, at in entries)]
        command = " ".join(words[1:])
        return [value for given, value in self._commands.given if given == command]


def unrolled(text: str) -> list[Step]:
    """Returns the steps of a scenario, with those of `until` repeated for each time."""
    lines = [words for line in text.splitlines() if (words := line.split("#")[0].split())]
    now = 0.0
    steps: list[Step] = []
    while lines:
        step = lines.pop(0)
        if step[0] == "until":
            end = lines.index(["end"])
            body, lines = lines[:end], lines[end + 1 :]
            _, last, _, period = step
            while now < float(last):
                now += float(period)
                steps += [["at", str(now)], *body]
            continue
        if step[0] == "at":
            now = float(step[1])
        steps.append(step)
    return steps


def split_condition(step: Step) -> tuple[Step, Callable[[float], bool]]:
    """Splits a check into its words and the condition on the value; without one any value passes."""
    *words, sign, limit = step
    if sign not in COMPARISONS:
        return step, lambda value: True
    return words, lambda value: COMPARISONS[sign](value, float(limit))


def with_setting(settings: ControllerSettings, name: str, value: str) -> ControllerSettings:
    """Returns the settings with one changed; `name`: a field, or as `channel.max_queue` that of a record."""
    record_name, _, field = name.rpartition(".")
    if record_name:
        record = getattr(settings, record_name)
        return replace(
            settings, **{record_name: record._replace(**{field: parsed(value, getattr(record, field))})}
        )
    return replace(settings, **{field: parsed(value, getattr(settings, field))})


def parsed(text: str, example: AdmissionMode | float) -> AdmissionMode | float:
    """Returns a setting converted to the type of an example value."""
    return type(example)(text if isinstance(example, str) else float(text))


def request_class(words: Step) -> RequestClass:
    """Reads `1 0.5 idempotent`: priority weight, latency objective, idempotency; then zones if limited."""
    priority_weight, objective, idempotency, *where = words
    zones = tuple(map(int, where[1].split(","))) if where[:1] == ["zones"] else ()
    own_zone_only = where == ["own_zone_only"]
    return RequestClass(
        float(priority_weight), float(objective), Idempotency[idempotency.upper()], own_zone_only, zones
    )


def endpoint_entry(word: str) -> EndpointEntry:
    """Reads `2:1@12*3~`: endpoint 2 of zone 1, started at 12, nominal weight 3, draining."""
    state = STATES.get(word[-1], EndpointState.READY)
    word, _, nominal_weight = word.rstrip("-~").partition("*")
    word, _, started_at = word.partition("@")
    endpoint, zone = word.split(":")
    return EndpointEntry(int(endpoint), int(zone), float(started_at or 0), state, float(nominal_weight or 1))


def event(step: Step, last_nonce: int) -> Event:
    """Reads an event; `ack` acknowledges the last nonce."""
    match step:
        case ["list" | "changes" as name, *entries]:
            return EndpointListReceived(name == "list", [endpoint_entry(word) for word in entries])
        case ["list_failed", *call]:
            return EndpointListFailed(DiscoveryCall[call[0].upper()] if call else DiscoveryCall.UNKNOWN)
        case ["join", proxy, zone, *configured]:
            return ProxyJoined(int(proxy), int(zone[1:]), USUAL_RATE, not configured)
        case ["left", proxy]:
            return ProxyLeft(int(proxy))
        case ["endpoint_load", endpoint, "duration", duration, "errors", errors, "of", attempts, *load]:
            figures = float(duration), int(errors), int(attempts)
            return EndpointLoadReported(int(endpoint), 0, 1.0, *figures, load_report(load))
        case ["proxy_load", proxy, number, requests]:
            return ProxyLoadReported(int(proxy), int(number[1:]), int(requests), 0, 1.0)
        case ["ack", proxy]:
            return UpdateAcknowledged(int(proxy), last_nonce, 0.1)
        case ["health_check", endpoint, outcome]:
            return HealthCheckCompleted(int(endpoint), HealthCheckOutcome[outcome.upper()], 0.1, LoadReport())
    raise ValueError(f"unknown step of a scenario: {' '.join(step)}")


def load_report(words: Step) -> LoadReport:
    """Reads `in_flight 3`, `utilization 0.4` or nothing."""
    return LoadReport(**{words[0]: float(words[1])}) if words else LoadReport()
