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
from oatcart.load_reports import read_load_report
from oatcart.model import EndpointState, HealthCheckOutcome, LoadReport
from oatcart.policy import Controller
from oatcart.settings import read_controller_settings
from oatcart.simhost import frames

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


class CommandEncoder:
    """Writes one instance's orders as records of the reply."""

    def __init__(self, instance: int, endpoint_ids: list[int], reply: list[bytes]) -> None:
        self._instance, self._endpoint_ids, self._write = instance, endpoint_ids, reply.append

    def set_weight(self, table: int, endpoint: int, weight: float) -> None:
        self._write(frames.set_weight(self._instance, table, self._endpoint_ids[endpoint], weight))

    def clear_table(self, table: int) -> None:
        self._write(frames.clear_table(self._instance, table))

    def assign_table(self, table: int, proxy: int, classes: int) -> None:
        self._write(frames.assign_table(self._instance, table, proxy, classes))

    def set_ejected(self, endpoint: int, ejected: bool) -> None:
        self._write(frames.set_ejected(self._instance, self._endpoint_ids[endpoint], ejected))

    def set_admission(self, table: int, classes: int, quota: float, retry_policy: int) -> None:
        self._write(frames.set_admission(self._instance, table, classes, quota, retry_policy))

    def forget_endpoint(self, endpoint: int) -> None:
        """Its number stays: the wire's own is a number too, and no instance outlives its day."""
        self.set_ejected(endpoint, False)

    def request_ack(self, nonce: int, all_proxies: bool) -> None:
        self._write(frames.request_ack(self._instance, nonce, all_proxies))

    def check_health(self, endpoint: int) -> None:
        self._write(frames.check_health(self._instance, self._endpoint_ids[endpoint]))

    def watch_endpoints(self, enabled: bool) -> None:
        self._write(frames.watch_endpoints(self._instance, enabled))

    def fetch_endpoints(self) -> None:
        self._write(frames.fetch_endpoints(self._instance))

    def schedule_round(self, delay: float) -> None:
        self._write(frames.schedule_round(self._instance, 0, delay * 1000))

    def log(self, text: str) -> None:
        self._write(frames.log(self._instance, text))


class ControllerInstance:
    """One conductor and the numbers that the wire uses for its nodes."""

    def __init__(self, instance: int, seed: int, params: bytes) -> None:
        settings = json.loads(params)
        self.instance = instance
        self.controller = Controller(read_controller_settings(settings), seed)
        self.fields = list((settings.get("report") or {}).get("fields") or [])
        self.endpoint_ids: list[int] = []
        self.endpoints: dict[int, int] = {}

    def endpoint(self, endpoint: int) -> int:
        """The small index of a node, given out as nodes are met."""
        if endpoint not in self.endpoints:
            self.endpoints[endpoint] = len(self.endpoint_ids)
            self.endpoint_ids.append(endpoint)
        return self.endpoints[endpoint]

    def load(self, values: tuple[float, ...]) -> LoadReport:
        return read_load_report(dict(zip(self.fields, values, strict=False)))

    def decode(self, record: tuple) -> Event | None:
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
                        self.endpoint(endpoint),
                        zone,
                        started / 1000,
                        _STATES.get(state, EndpointState.DRAINING),
                        nominal,
                    )
                    for endpoint, zone, started, state, _, nominal, _ in entries
                ],
            )
        if name == "met":
            over, took, errored, tried, endpoint, zone, values = fields
            return EndpointLoadReported(
                self.endpoint(endpoint), zone, over / 1000, took / 1000, errored, tried, self.load(values)
            )
        if name == "came":
            proxy, kind, count, errored, over = fields
            return ProxyLoadReported(proxy, kind, count, errored, over / 1000)
        if name == "probed":
            endpoint, status, took, values = fields
            return HealthCheckCompleted(
                self.endpoint(endpoint),
                _OUTCOMES.get(status, HealthCheckOutcome.REJECTED),
                took / 1000,
                self.load(values),
            )
        if name == "joined":
            unconfigured, proxy, zone, usual = fields
            return ProxyJoined(proxy, zone, usual, bool(unconfigured))
        if name == "applied":
            proxy, nonce, took = fields
            return UpdateAcknowledged(proxy, nonce, took / 1000)
        if name == "left":
            return ProxyLeft(*fields)
        return None


class Adapter:
    """All instances of one adapter process; they share nothing."""

    def __init__(self) -> None:
        self._instances: dict[int, ControllerInstance] = {}

    def answer(self, clock: float, records: list[tuple]) -> tuple[int, bytes]:
        """The records of the reply to one batch: their number and their bytes."""
        reply: list[bytes] = []
        events: dict[int, list[Event]] = {}
        for record in records:
            name, instance = record[:2]
            if name == "start":
                events[instance] = []
                try:
                    self._instances[instance] = ControllerInstance(instance, record[2], record[3])
                except Exception as error:  # told on the wire, see WIRE, Panic
                    self._instances.pop(instance, None)
                    reply.append(frames.fault(instance, f"start: {error!r}"))
            elif name == "stop":
                self._instances.pop(instance, None)
                events.pop(instance, None)
            elif instance in self._instances:
                event = self._instances[instance].decode(record)
                events.setdefault(instance, [])
                if event is not None:
                    events[instance].append(event)
        for number, its_events in events.items():
            if number not in self._instances:
                continue
            instance = self._instances[number]
            written: list[bytes] = []
            try:
                instance.controller.round(
                    clock / 1000, its_events, CommandEncoder(number, instance.endpoint_ids, written)
                )
            except Exception as error:  # told on the wire, see WIRE, Panic
                written.append(frames.fault(number, f"{type(error).__name__}: {error}"))
            reply += written
        return len(reply), b"".join(reply)
