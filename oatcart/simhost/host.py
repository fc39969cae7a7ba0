"""Instances on the simulator's wire: numbers and units are turned at this door, both ways."""

import json

from oatcart import interface as our
from oatcart.handover import load, start_records
from oatcart.policy import Conductor
from oatcart.simhost import wire

_OUTCOMES = {
    0: our.ANSWERED,
    5: our.ERRORED,
    11: our.TURNED_AWAY,
    110: our.SILENT,
    111: our.UNREACHED,
    104: our.UNREACHED,
}
_FULL, _CACHED, _FAILED = 2, 1, 4


class Orders:
    """Writes one instance's orders as records of the reply."""

    def __init__(self, inst: int, nodes: list[int], reply: list[bytes]) -> None:
        self._inst, self._nodes, self._write = inst, nodes, reply.append

    def line(self, table: int, node: int, weight: float) -> None:
        self._write(wire.line(self._inst, table, self._nodes[node], weight))

    def blank(self, table: int) -> None:
        self._write(wire.blank(self._inst, table))

    def bind(self, table: int, proxy: int, kinds: int) -> None:
        self._write(wire.bind(self._inst, table, proxy, kinds))

    def withdraw(self, node: int, out: bool) -> None:
        self._write(wire.withdraw(self._inst, self._nodes[node], out))

    def admit(self, table: int, kinds: int, level: float, tries: int) -> None:
        self._write(wire.admit(self._inst, table, kinds, level, tries))

    def drop(self, node: int) -> None:
        """Its number stays: the wire's own is a number too, and no instance outlives its day."""
        self.withdraw(node, False)

    def ask_ack(self, mark: int, everyone: bool) -> None:
        self._write(wire.ask_ack(self._inst, mark, everyone))

    def probe(self, node: int) -> None:
        self._write(wire.probe(self._inst, self._nodes[node]))

    def follow(self, on: bool) -> None:
        self._write(wire.follow(self._inst, on))

    def fetch_roll(self) -> None:
        self._write(wire.fetch(self._inst))

    def wake(self, after: float) -> None:
        self._write(wire.wake(self._inst, 0, after * 1000))

    def note(self, text: str) -> None:
        self._write(wire.note(self._inst, text))


class Instance:
    """One conductor and the numbers that the wire uses for its nodes."""

    def __init__(self, inst: int, seed: int, params: bytes) -> None:
        settings = json.loads(params)
        self.inst = inst
        self.conductor = Conductor(seed=seed, **start_records(settings))
        self.fields = list((settings.get("report") or {}).get("fields") or [])
        self.nodes: list[int] = []
        self.places: dict[int, int] = {}

    def place(self, node: int) -> int:
        """The small index of a node, given out as nodes are met."""
        if node not in self.places:
            self.places[node] = len(self.nodes)
            self.nodes.append(node)
        return self.places[node]

    def load(self, values: tuple[float, ...]) -> our.Load:
        return load(dict(zip(self.fields, values, strict=False)))

    def arrival(self, record: tuple) -> tuple | None:
        """A wire record as the module is told of it; None for what it has no use for."""
        name, fields = record[0], record[2:]
        if name == "listed":
            mode, _, entries = fields
            if mode == _FAILED:
                return ("unlisted",)
            return (
                "listed",
                mode in (_FULL, _CACHED),
                [
                    (self.place(node), zone, started / 1000, state, nominal)
                    for node, zone, started, state, _, nominal, _ in entries
                ],
            )
        if name == "met":
            over, took, errored, tried, node, zone, values = fields
            return (name, self.place(node), zone, over / 1000, took / 1000, errored, tried, self.load(values))
        if name == "came":
            proxy, kind, count, errored, over = fields
            return (name, proxy, kind, count, errored, over / 1000)
        if name == "probed":
            node, status, took, values = fields
            return (
                name,
                self.place(node),
                _OUTCOMES.get(status, our.TURNED_AWAY),
                took / 1000,
                self.load(values),
            )
        if name == "joined":
            blank, proxy, zone, usual = fields
            return (name, proxy, zone, usual, bool(blank))
        if name == "applied":
            proxy, mark, took = fields
            return (name, proxy, mark, took / 1000)
        if name == "left":
            return (name, *fields)
        return None


class Host:
    """All instances of one adapter process; they share nothing."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def answer(self, clock: float, records: list[tuple]) -> tuple[int, bytes]:
        """The records of the reply to one batch: their number and their bytes."""
        reply: list[bytes] = []
        arrivals: dict[int, list[tuple]] = {}
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
