"""Discovery: decides when to fetch the endpoint list, and applies received lists to the registry."""

from collections.abc import Callable
from enum import Enum, auto

from oatcart.events import EndpointEntry, EndpointListReceived
from oatcart.model import DiscoveryCall, DiscoverySettings, EndpointState, WarmUpLimits
from oatcart.policy.outlier_detection import OutlierDetection
from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.slow_start import ramp_start
from oatcart.policy.state import LONG_AGO, Endpoint, Round

FIRST_BACKOFF_S = 0.5  # after a failed call; doubles with each consecutive failure
MAX_BACKOFF_S = 4.0
REFRESH_S = 20.0  # between fetches of the complete list, in case a change was missed
JITTER = 0.25  # random part of a wait, up or down, so that controllers do not call at the same time


class WatchState(Enum):
    """The state of the watch on the endpoint list, as far as events show it."""

    CLOSED = auto()  # none was commanded yet, or the last one has failed
    OPENING = auto()  # commanded; no list was received since
    OPEN = auto()


class EndpointDiscovery:
    """Decides when to call discovery; no calls are made if changes are sent without a watch."""

    def __init__(self, settings: DiscoverySettings, uniform: Callable[[float, float], float]) -> None:
        """`uniform(a, b)` draws the seeded random numbers."""
        self._must_watch = settings.must_watch
        self._uniform = uniform
        self._watch = WatchState.CLOSED
        self._backoff = FIRST_BACKOFF_S
        self._next_call_at = LONG_AGO  # LONG_AGO: no call was made yet
        self._next_refresh_at = LONG_AGO

    def poll(self, this_round: Round) -> None:
        """Opens a watch if there is none, or fetches the complete list if that is due."""
        if not self._must_watch:
            return
        now = this_round.now
        is_open = self._watch is WatchState.OPEN
        refresh_at = self._next_refresh_at if is_open else LONG_AGO
        if now < max(self._next_call_at, refresh_at):
            return
        self._next_call_at = now + MAX_BACKOFF_S
        self._next_refresh_at = now + REFRESH_S
        if is_open:
            this_round.commands.fetch_endpoints()
        else:
            this_round.commands.watch_endpoints(True)
            self._watch = WatchState.OPENING

    def record_failure(self, call: DiscoveryCall, now: float) -> None:
        """Schedules the next watch after a failed one, with a longer wait after each failure.

        A failed fetch shows nothing about the watch; the next one is due as after any fetch. A call that is
        not known may have been the watch.
        """
        if call is DiscoveryCall.FETCH:
            return
        self._watch = WatchState.CLOSED
        wait = self._backoff * self._uniform(1.0 - JITTER, 1.0 + JITTER)
        self._next_call_at = now + wait
        self._backoff = min(MAX_BACKOFF_S, self._backoff * 2)

    def record_list(self, now: float) -> None:
        """Records that a list was received; without a watch it shows nothing about one.

        Then it was known at the start, answers a fetch that was open when the watch failed, or is not from
        discovery.
        """
        if self._watch is WatchState.CLOSED:
            return
        self._watch = WatchState.OPEN
        self._backoff = FIRST_BACKOFF_S
        self._next_call_at = now


def apply_endpoint_list(
    received: EndpointListReceived,
    registry: EndpointRegistry,
    outliers: OutlierDetection,
    warm_up: WarmUpLimits,
    now: float,
) -> None:
    """Applies a list to the registry; endpoints that are missing in a complete list are gone."""
    registry.invalidate_pools()
    endpoints = registry.endpoints
    listed = {entry.endpoint for entry in received.entries} if received.complete else endpoints
    gone = [
        EndpointEntry(number, endpoint.zone, 0.0, EndpointState.GONE, 0.0)
        for number, endpoint in endpoints.items()
        if number not in listed
    ]
    for entry in [*gone, *received.entries]:
        endpoint = registry.get_or_create(entry.endpoint)
        _apply_entry(endpoint, entry, now)
        if entry.started_at > endpoint.started_at:
            endpoint.started_at = entry.started_at
            endpoint.answer_share = 0.0  # fewer answers are expected while it warms up
            outliers.restore(endpoint, ramp_start(entry.started_at, warm_up), now)


def _apply_entry(endpoint: Endpoint, entry: EndpointEntry, now: float) -> None:
    was_ready = endpoint.state == EndpointState.READY
    is_ready = entry.state == EndpointState.READY
    if is_ready != was_ready or not endpoint.listed:
        endpoint.state_changed_at = now
    endpoint.zone = entry.zone
    endpoint.state = entry.state
    endpoint.nominal_weight = entry.nominal_weight if entry.nominal_weight > 0 else 1.0
