"""Records the requests of a proxy; used by proxies and simulated proxies. Does no I/O."""

from collections.abc import Callable
from dataclasses import dataclass

from oatcart.trace.records import RecordKind, RequestOutcome, make_record


@dataclass(slots=True)
class _OpenRequest:
    """A request that has not ended, and its latest attempt."""

    request_class: str
    key: bytes
    priority_weight: float
    attempts: int = 0
    endpoint: str = ""
    attempt_started_at: float = 0.0  # s


class RequestRecorder:
    """Records the requests of one proxy and numbers them; all times are seconds of the proxy's clock.

    `put` takes records like `Writer.put`.
    """

    def __init__(self, proxy: str, zone: str, put: Callable[[tuple], None]) -> None:
        self.proxy = proxy
        self.zone = zone
        self.open: dict[int, _OpenRequest] = {}
        self._put = put
        self._count = 0

    def request_received(self, request_class: str, key: bytes = b"", priority_weight: float = 1.0) -> int:
        """Register a request and return its number; `key` is its idempotency key, if it has one."""
        self._count += 1
        self.open[self._count] = _OpenRequest(request_class, key, priority_weight)
        return self._count

    def attempt_started(self, number: int, endpoint: str, at: float) -> None:
        """Register that a request is forwarded to an endpoint, the first time or after `attempt_failed`."""
        request = self.open[number]
        request.attempts += 1
        request.endpoint = endpoint
        request.attempt_started_at = at

    def attempt_failed(self, number: int, error: str, at: float) -> None:
        """Record an attempt that another one will follow; the last attempt ends with `request_ended`."""
        request = self.open[number]
        self._put(
            make_record(
                RecordKind.ATTEMPT,
                at=request.attempt_started_at,
                id=number,
                key=request.key,
                proxy=self.proxy,
                kind=request.request_class,
                number=request.attempts,
                node=request.endpoint,
                ending=error,
                took=at - request.attempt_started_at,
            )
        )

    def request_ended(self, number: int, outcome: RequestOutcome, at: float) -> None:
        """Record a request that has ended; one without an attempt was answered by the proxy itself."""
        request = self.open.pop(number)
        started_at = request.attempt_started_at if request.attempts else at
        self._put(
            make_record(
                RecordKind.REQUEST,
                at=started_at,
                id=number,
                key=request.key,
                proxy=self.proxy,
                kind=request.request_class,
                zone=self.zone,
                node=request.endpoint,
                outcome=outcome,
                took=at - started_at,
                tries=request.attempts,
                value=request.priority_weight,
            )
        )
