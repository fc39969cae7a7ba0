"""The settings of the control role, by the terms of the code. `configuration_file` reads them."""

from typing import NamedTuple

from oatcart.net.stream import Address
from oatcart.views.controllers import ServedController
from oatcart.views.list_guard import ListGuard
from oatcart.views.liveness import LivenessSettings
from oatcart.views.records import ViewLimits

DEFAULT_REGION = "default"


class DiscoverySettings(NamedTuple):
    """Where and how discovery is called. Times in seconds, `max_list_bytes` in bytes.

    `watch_timeout`: that a watch asks discovery to wait; `fetch_timeout`: for the complete list;
    `max_backoff`: the longest wait after a failure; `refetch_interval`: between two complete lists without
    any failure.
    """

    address: Address = ("127.0.0.1", 8500)
    watch_timeout: float = 20.0
    fetch_timeout: float = 10.0
    max_backoff: float = 5.0
    refetch_interval: float = 600.0
    max_list_bytes: int = 16 * 1024 * 1024


class EndpointFields(NamedTuple):
    """Which fields of an entry have its service and region; the regions of zones whose entries have none."""

    service_field: str = "service"
    region_field: str = "region"
    region_of_zone: dict[str, str] = {}  # never changed

    def region(self, zone: str) -> str:
        """The region of a zone by the deploy file."""
        return self.region_of_zone.get(zone, DEFAULT_REGION)


class ServerBounds(NamedTuple):
    """Bounds of what clients may cost. Times in seconds.

    `batching_delay`: from a change until watches are woken with it and what followed; `write_timeout`: that
    an answer may stay unread without progress; `first_request_timeout`: from the accept of a connection;
    `idle_timeout`: between two requests; `max_connections`: open at once in all; `max_connections_per_view`:
    of those that requested one view; `undecided_timeout`: that a call waits for the decision of its view.
    """

    batching_delay: float = 0.2
    write_timeout: float = 10.0
    first_request_timeout: float = 5.0
    idle_timeout: float = 60.0
    max_connections: int = 4096
    max_connections_per_view: int = 4
    undecided_timeout: float = 2.0


class Configuration(NamedTuple):
    """All settings. `seed`: of the decisions, the same at all control roles; `leases`: None if the
    controllers need no lease."""

    listen: Address = ("127.0.0.1", 8600)
    source: DiscoverySettings = DiscoverySettings()
    endpoint_fields: EndpointFields = EndpointFields()
    guard: ListGuard = ListGuard()
    limits: ViewLimits = ViewLimits()
    seed: int = 0
    bounds: ServerBounds = ServerBounds()
    controllers: tuple[ServedController, ...] = ()
    leases: LivenessSettings | None = None
