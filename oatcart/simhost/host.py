"""Instances on the simulator's wire: numbers and units are turned at this door, both ways."""

import json

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
from oatcart.handover import load, start_records
from oatcart.model import EndpointState, HealthCheckOutcome, LoadReport
from oatcart.policy import Controller
from oatcart.simhost import wire

_OUTCOMES = {
    0: HealthCheckOutcome.PASSED,
    5: HealthCheckOutcome.FAILED,
    11: HealthCheckOutcome.REJECTED,
    110: HealthCheckOutcome.TIMED_OUT,
    111: HealthCheckOutcome.UNREACHABLE,
    104: HealthCheckOutcome.UNREACHABLE,
}
# Codes over these are states that the endpoint neither is ready in nor gone
_STATES = {state.value: state for state in EndpointState}
_FULL, _CACHED, _FAILED = 2, 1, 4


class Orders:
    """Writes one instance's orders as records of the reply."""

    def __init__(self, inst: int, nodes: list[int], reply: list[bytes]) -> None:
        self._inst, self._nodes, self._write = inst, nodes, reply.append

    def set_weight(self, table: int, node: int, weight: float) -> None:
        self._write(wire.line(self._inst, table, self._nodes[node], weight))

    def clear_table(self, table: int) -> None:
        self._write(wire.blank(self._inst, table))

    def assign_table(self, table: int, proxy: int, kinds: int) -> None:
        self._write(wire.bind(self._inst, table, proxy, kinds))

    def set_ejected(self, node: int, out: bool) -> None:
        self._write(wire.withdraw(self._inst, self._nodes[node], out))

    def set_admission(self, table: int, kinds: int, level: float, tries: int) -> None:
        self._write(wire.admit(self._inst, table, kinds, level, tries))

    def forget_endpoint(self, node: int) -> None:
        """Its number stays: the wire's own is a number too, and no instance outlives its day."""
        self.set_ejected(node, False)

    def request_ack(self, mark: int, everyone: bool) -> None:
        self._write(wire.ask_ack(self._inst, mark, everyone))

    def check_health(self, node: int) -> None:
        self._write(wire.probe(self._inst, self._nodes[node]))

    def watch_endpoints(self, on: bool) -> None:
        self._write(wire.follow(self._inst, on))

    def fetch_endpoints(self) -> None:
        self._write(wire.fetch(self._inst))

    def schedule_round(self, after: float) -> None:
        self._write(wire.wake(self._inst, 0, after * 1000))

    def log(self, text: str) -> None:
        self._write(wire.note(self._inst, text))


class Instance:
    """One conductor and the numbers that the wire uses for its nodes."""

    def __init__(self, inst: int, seed: int, params: bytes) -> None:
        settings = json.loads(params)
        self.inst = inst
        self.conductor = Controller(start_records(settings), seed)
        self.fields = list((settings.get("report") or {}).get("fields") or [])
        self.nodes: list[int] = []
        self.places: dict[int, int] = {}

    def place(self, node: int) -> int:
        """The small index of a node, given out as nodes are met."""
        if node not in self.places:
            self.places[node] = len(self.nodes)
            self.nodes.append(node)
        return self.places[node]

    def load(self, values: tuple[float, ...]) -> LoadReport:
        return load(dict(zip(self.fields, values, strict=False)))

    def arrival(self, record: tuple) -> Event | None:
        """A wire record as the module is told of it; None for what it has no use for."""
        name, fields = record[0], record[2:]
        if name == "listed":
            mode, _, entries = fields
            if mode == _FAILED:
                return EndpointListFailed()
            return EndpointListReceived(
                mode in (_FULL, _CACHED),
                [
                    EndpointEntry(
                        self.place(node),
                        zone,
                        started / 1000,
                        _STATES.get(state, EndpointState.DRAINING),
                        nominal,
                    )
                    for node, zone, started, state, _, nominal, _ in entries
                ],
            )
        if name == "met":
            over, took, errored, tried, node, zone, values = fields
            return EndpointLoadReported(
                self.place(node), zone, over / 1000, took / 1000, errored, tried, self.load(values)
            )
        if name == "came":
            proxy, kind, count, errored, over = fields
            return ProxyLoadReported(proxy, kind, count, errored, over / 1000)
        if name == "probed":
            node, status, took, values = fields
            return HealthCheckCompleted(
                self.place(node),
                _OUTCOMES.get(status, HealthCheckOutcome.REJECTED),
                took / 1000,
                self.load(values),
            )
        if name == "joined":
            blank, proxy, zone, usual = fields
            return ProxyJoined(proxy, zone, usual, bool(blank))
        if name == "applied":
            proxy, mark, took = fields
            return UpdateAcknowledged(proxy, mark, took / 1000)
        if name == "left":
            return ProxyLeft(*fields)
        return None


class Host:
    """All instances of one adapter process; they share nothing."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def answer(self, clock: float, records: list[tuple]) -> tuple[int, bytes]:
        """The records of the reply to one batch: their number and their bytes."""
        reply: list[bytes] = []
        arrivals: dict[int, list[Event]] = {}
        for record in records:
            name, inst = record[:2]
            if name == "start":
                arrivals[inst] = []
                try:
                    self._instances[inst] = Instance(inst, record[2], record[3])
                except Exception as error:  # told on the wire, see WIRE, Panic
                    self._instances.pop(inst, None)
                    reply.append(wire.fault(inst, f"start: {error!r}"))
            elif name == "stop":
                self._instances.pop(inst, None)
                arrivals.pop(inst, None)
            elif inst in self._instances:
                arrival = self._instances[inst].arrival(record)
                arrivals.setdefault(inst, [])
                if arrival is not None:
                    arrivals[inst].append(arrival)
        for inst, came in arrivals.items():
            if inst not in self._instances:
                continue
            instance = self._instances[inst]
            written: list[bytes] = []
            try:
                instance.conductor.round(clock / 1000, came, Orders(inst, instance.nodes, written))
            except Exception as error:  # told on the wire, see WIRE, Panic
                written.append(wire.fault(inst, f"{type(error).__name__}: {error}"))
            reply += written
        return len(reply), b"".join(reply)
