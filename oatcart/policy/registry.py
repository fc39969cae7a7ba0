"""The endpoints that were listed by discovery or named in load reports, and pools of the ready ones."""

from oatcart.model import EndpointState
from oatcart.policy.outlier_detection import INITIAL_EJECTION_TIME_S
from oatcart.policy.scoring import NEUTRAL_SCORE, new_load_history
from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import INITIAL_CAPACITY


class EndpointRegistry:
    """All endpoints by number; pools are cached until the endpoint list changes."""

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self._pools: dict[tuple[int, ...], dict[int, Endpoint]] = {}

    def get_or_create(self, number: int) -> Endpoint:
        """Returns the record of an endpoint; creates it if there is none."""
        endpoint = self.endpoints.get(number)
        if endpoint is None:
            endpoint = Endpoint(INITIAL_CAPACITY, NEUTRAL_SCORE, INITIAL_EJECTION_TIME_S, new_load_history())
            self.endpoints[number] = endpoint
        return endpoint

    def forget(self, number: int) -> None:
        """Removes an endpoint that is gone; its number may stand for another endpoint from now on."""
        del self.endpoints[number]

    def pool(self, zones: tuple[int, ...] = ()) -> dict[int, Endpoint]:
        """Returns the ready endpoints of some zones, of all zones if none are given, by number."""
        pool = self._pools.get(zones)
        if pool is None:
            pool = {
                number: endpoint
                for number, endpoint in self.endpoints.items()
                if endpoint.state == EndpointState.READY and (not zones or endpoint.zone in zones)
            }
            self._pools[zones] = pool
        return pool

    def invalidate_pools(self) -> None:
        """Clears the cached pools; to be called before the state or zone of an endpoint changes."""
        self._pools = {}
