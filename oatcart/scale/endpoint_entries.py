"""The entries of discovery's endpoint lists in a measured fleet, and the changes that are made to them."""

from collections.abc import Collection, Mapping
from random import Random

from oatcart.scale.fleet import PlannedEndpoint

SERVING, DRAINING = "SERVING", "DRAINING"  # phases of an entry, as discovery names them
MACHINE_FLAVOR = "m2"
MILLISECONDS = 1000.0  # in a second


def list_entry(endpoint: PlannedEndpoint, phase: str = SERVING, up_since_ms: int = 0) -> dict:
    """An endpoint's entry at discovery; controllers ignore its fields `service` and `region`.

    `up_since_ms`: Unix time of its start in milliseconds.
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
    """Changes of the list, one endpoint each: an endpoint drains, and the next change restarts it.

    A restarted endpoint is warming up. The same endpoints and seed give the same sequence.
    """

    def __init__(self, endpoints: Collection[PlannedEndpoint], seed: int) -> None:
        self._endpoints, self._random = list(endpoints), Random(seed)
        self._draining: PlannedEndpoint | None = None

    def next_entry(self, unix_s: float) -> dict:
        """The entry that the next change sets; `unix_s` is the Unix time (s) at which it is made."""
        if self._draining is None:
            self._draining = self._random.choice(self._endpoints)
            return list_entry(self._draining, DRAINING)
        restarted, self._draining = self._draining, None
        return list_entry(restarted, SERVING, round(unix_s * MILLISECONDS))


def endpoints_of_lists(
    endpoints: Collection[PlannedEndpoint], by_service: bool, main_list: str
) -> Mapping[str, list[PlannedEndpoint]]:
    """The endpoints of each list: one that is named `main_list`, or one for each service."""
    if not by_service:
        return {main_list: list(endpoints)}
    lists: dict[str, list[PlannedEndpoint]] = {}
    for endpoint in endpoints:
        lists.setdefault(endpoint.service, []).append(endpoint)
    return lists
