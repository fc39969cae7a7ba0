"""Decodes records of the simulator's wire to events of the decisions.

The wire's endpoint ids become small numbers and its milliseconds become seconds.
"""

from collections.abc import Callable, Sequence

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
from oatcart.simhost.frames import MS_PER_SECOND, EntryFields, Record, RecordCode

# Modes of an endpoint list; 0 is a list of changes
LIST_CACHED, LIST_FULL, LIST_FAILED = 1, 2, 4
# Outcome codes of a health check; any other code counts as a check that was not made
_OUTCOMES = {
    0: HealthCheckOutcome.PASSED,
    5: HealthCheckOutcome.FAILED,
    11: HealthCheckOutcome.REJECTED,
    104: HealthCheckOutcome.UNREACHABLE,  # the connection broke
    110: HealthCheckOutcome.TIMED_OUT,
    111: HealthCheckOutcome.UNREACHABLE,
}
# An endpoint in a state of any other code is neither ready nor gone
_STATES = {state.value: state for state in EndpointState}


class EventDecoder:
    """Decodes the records of one instance.

    `load_fields`: the names of a load report's numbers in the settings, in their order. Endpoints are
    numbered in the order in which they first appear; `endpoint_ids` has the wire's id of each.
    """

    def __init__(self, load_fields: Sequence[str]) -> None:
        self.endpoint_ids: list[int] = []
        self._load_fields = load_fields
        self._endpoints: dict[int, int] = {}  # number by id

    def decode(self, record: Record) -> Event | None:
        """Return the event of a record; None if the decisions do not use it."""
        decode = _DECODERS.get(record.code)
        return decode(self, *record.fields) if decode else None

    def _endpoint(self, endpoint_id: int) -> int:
        if endpoint_id not in self._endpoints:
            self._endpoints[endpoint_id] = len(self.endpoint_ids)
            self.endpoint_ids.append(endpoint_id)
        return self._endpoints[endpoint_id]

    def _load(self, values: tuple[float, ...]) -> LoadReport:
        return read_load_report(dict(zip(self._load_fields, values, strict=False)))

    def _endpoint_list(
        self, mode: int, _version: int, entries: list[EntryFields]
    ) -> EndpointListReceived | EndpointListFailed:
        if mode == LIST_FAILED:
            return EndpointListFailed()
        return EndpointListReceived(
            mode in (LIST_FULL, LIST_CACHED),
            [
                EndpointEntry(
                    self._endpoint(endpoint_id),
                    zone,
                    started_ms / MS_PER_SECOND,
                    _STATES.get(state, EndpointState.DRAINING),
                    nominal_weight,
                )
                for endpoint_id, zone, started_ms, state, _, nominal_weight, _ in entries
            ],
        )

    def _health_check(
        self, endpoint_id: int, outcome: int, duration_ms: float, load: tuple[float, ...]
    ) -> HealthCheckCompleted:
        return HealthCheckCompleted(
            self._endpoint(endpoint_id),
            _OUTCOMES.get(outcome, HealthCheckOutcome.REJECTED),
            duration_ms / MS_PER_SECOND,
            self._load(load),
        )

    def _proxy_joined(self, unconfigured: int, proxy: int, zone: int, usual_rate: float) -> ProxyJoined:
        return ProxyJoined(proxy, zone, usual_rate, bool(unconfigured))

    def _proxy_left(self, proxy: int) -> ProxyLeft:
        return ProxyLeft(proxy)

    def _update_acknowledged(self, proxy: int, nonce: int, duration_ms: float) -> UpdateAcknowledged:
        return UpdateAcknowledged(proxy, nonce, duration_ms / MS_PER_SECOND)

    def _endpoint_load(
        self,
        window_ms: float,
        mean_duration_ms: float,
        errors: int,
        attempts: int,
        endpoint_id: int,
        zone: int,
        load: tuple[float, ...],
    ) -> EndpointLoadReported:
        return EndpointLoadReported(
            self._endpoint(endpoint_id),
            zone,
            window_ms / MS_PER_SECOND,
            mean_duration_ms / MS_PER_SECOND,
            errors,
            attempts,
            self._load(load),
        )

    def _proxy_load(
        self, proxy: int, request_class: int, requests: int, errors: int, window_ms: float
    ) -> ProxyLoadReported:
        return ProxyLoadReported(proxy, request_class, requests, errors, window_ms / MS_PER_SECOND)


# Timers only make a round due; messages of peers and slices are not used
_DECODERS: dict[RecordCode, Callable[..., Event]] = {
    RecordCode.ENDPOINT_LIST: EventDecoder._endpoint_list,
    RecordCode.HEALTH_CHECK: EventDecoder._health_check,
    RecordCode.PROXY_JOINED: EventDecoder._proxy_joined,
    RecordCode.PROXY_LEFT: EventDecoder._proxy_left,
    RecordCode.UPDATE_ACKNOWLEDGED: EventDecoder._update_acknowledged,
    RecordCode.ENDPOINT_LOAD: EventDecoder._endpoint_load,
    RecordCode.PROXY_LOAD: EventDecoder._proxy_load,
}
