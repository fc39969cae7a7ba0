"""The entries of discovery's endpoint lists in a measured fleet, and the changes made to them."""

from collections.abc import Collection, Mapping
from random import Random

from oatcart.scale.fleet import PlannedEndpoint

SERVING, DRAINING = "SERVING", "DRAINING"  # the phases of an entry in discovery's protocol
MACHINE_FLAVOR = "m2"
MILLISECONDS = 1000.0  # in a second


def list_entry(endpoint: PlannedEndpoint, phase: str = SERVING, up_since_ms: int = 0) -> dict:
    """Returns an endpoint's entry at discovery; controllers ignore its fields `service` and `region`.

    `up_since_ms`: the Unix time of its start in milliseconds.
    """
    return {
        "id": endpoint.id,
        "host_port": endpoint.address,
        "locality": endpoint.zone,
        "flavor": MACHINE_FLAVOR,
        "cell": 0,
        "phase": phase,
        "size": float(endpoint.size),
        "up_since_ms": up_since_ms,
        "service": endpoint.service,
        "region": endpoint.region,
    }


class EndpointChanges:
    """A sequence of changes of one endpoint each: one change drains an endpoint, the next restarts it.

    A restarted endpoint is warming up. The same endpoints and seed give the same sequence.
    """

    def __init__(self, endpoints: Collection[PlannedEndpoint], seed: int) -> None:
        self._endpoints, self._random = list(endpoints), Random(seed)
        self._draining: PlannedEndpoint | None = None

    def next_entry(self, unix_s: float) -> dict:
        """Returns the entry that the next change sets; `unix_s`: the Unix time in seconds of the change."""
        if self._draining is None:
            self._draining = self._random.choice(self._endpoints)
            return list_entry(self._draining, DRAINING)
        restarted, self._draining = self._draining, None
        return list_entry(restarted, SERVING, round(unix_s * MILLISECONDS))


def endpoints_of_lists(
    endpoints: Collection[PlannedEndpoint], by_service: bool, main_list: str
) -> Mapping[str, list[PlannedEndpoint]]:
    """Returns the endpoints of each list: one list named `main_list`, or one for each service."""
    if not by_service:
        return {main_list: list(endpoints)}
    lists: dict[str, list[PlannedEndpoint]] = {}
    for endpoint in endpoints:
        lists.setdefault(endpoint.service, []).append(endpoint)
    return lists
