"""The settings of the control role. `configuration_file` reads them from a file."""

from typing import NamedTuple

from oatcart.net.stream import Address
from oatcart.views.controllers import ServedController
from oatcart.views.list_guard import ListGuard
from oatcart.views.liveness import LivenessSettings
from oatcart.views.records import ViewLimits

DEFAULT_REGION = "default"


class DiscoverySettings(NamedTuple):
    """The address of discovery and the limits of calls to it. Times in seconds, `max_list_bytes` in bytes.

    `watch_timeout`: how long discovery may wait for changes before it answers a watch; `fetch_timeout`: for
    fetching the complete list; `max_backoff`: the longest wait after a failure; `refetch_interval`: between
    two complete lists while no call fails.
    """

    address: Address = ("127.0.0.1", 8500)
    watch_timeout: float = 20.0
    fetch_timeout: float = 10.0
    max_backoff: float = 5.0
    refetch_interval: float = 600.0
    max_list_bytes: int = 16 * 1024 * 1024


class EndpointFields(NamedTuple):
    """The names of the fields with an entry's service and region, and the regions of zones for entries that
    have no region field."""

    service_field: str = "service"
    region_field: str = "region"
    region_of_zone: dict[str, str] = {}  # never modified

    def region(self, zone: str) -> str:
        """The region configured for a zone."""
        return self.region_of_zone.get(zone, DEFAULT_REGION)


class ServerBounds(NamedTuple):
    """Limits on the resources that clients may use. Times in seconds.

    `batching_delay`: from a change until it is published together with the changes that followed;
    `write_timeout`: for which a client may read nothing of a response; `first_request_timeout`: from the
    accept of a connection to its first request; `idle_timeout`: between two requests; `max_connections`:
    open connections in total; `max_connections_per_view`: open connections that requested the same view;
    `undecided_timeout`: for which a call waits until its view is decided.
    """

    batching_delay: float = 0.2
    write_timeout: float = 10.0
    first_request_timeout: float = 5.0
    idle_timeout: float = 60.0
    max_connections: int = 4096
    max_connections_per_view: int = 4
    undecided_timeout: float = 2.0


class Configuration(NamedTuple):
    """All settings. `seed`: of the assignment, must be the same at all control roles; `leases`: None if
    controllers do not need a lease."""

    listen: Address = ("127.0.0.1", 8600)
    source: DiscoverySettings = DiscoverySettings()
    endpoint_fields: EndpointFields = EndpointFields()
    guard: ListGuard = ListGuard()
    limits: ViewLimits = ViewLimits()
    seed: int = 0
    bounds: ServerBounds = ServerBounds()
    controllers: tuple[ServedController, ...] = ()
    leases: LivenessSettings | None = None
