"""Decides the view of each controller of a fleet: the endpoints that it is served.

A view has at most `ViewLimits.capacity` endpoints, and at least two of each service that the controller
needs, in two zones if the service has two. The views depend only on the records, the limits and the seed. So
control roles with the same records decide the same views, whatever the order of changes, and undoing a
change restores the views.

How many assignments a change moves beyond its share is defined and measured in `docs/views.md`.
"""

from collections.abc import Iterable

from oatcart.views.keys import unit_hash
from oatcart.views.quotas import Quota, assign_quotas, min_capacity
from oatcart.views.records import (
    Controller,
    Endpoint,
    InvalidEndpointError,
    TooManyServicesError,
    UnknownControllerError,
    ViewLimits,
)
from oatcart.views.service_pool import ServicePool

_ORDER_KIND = "order"  # hashed with a controller's and a service's name


class FleetViews:
    """The views of a fleet's controllers. Changes are recorded when made and applied by the next query."""

    def __init__(self, limits: ViewLimits, seed: int) -> None:
        self._limits = limits
        self._seed = seed
        self._endpoints: dict[str, Endpoint] = {}
        self._controllers: dict[str, Controller] = {}
        self._controllers_of_all_services: set[str] = set()
        self._pools: dict[str, ServicePool] = {}
        self._views: dict[str, tuple[str, ...]] = {}
        # Controllers whose services do not fit in a view, with the capacity that they would need.
        self._too_large: dict[str, int] = {}

        # Changes since the last query: the earlier number of endpoints of services where it may differ;
        # services whose records or quotas changed; endpoints that were removed, also if they moved to another
        # service; controllers whose quotas may change.
        self._counts_before: dict[str, int] = {}
        self._changed_services: set[str] = set()
        self._removed_endpoints: set[str] = set()
        self._stale_quota_controllers: set[str] = set()

        self._changed: set[str] = set()  # controllers to report by `pop_changed`

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Adds an endpoint, or replaces its record. Raises InvalidEndpointError if its nominal weight is not
        a finite number above zero."""
        if not 0 < endpoint.nominal_weight < float("inf"):
            raise InvalidEndpointError(endpoint)
        before = self._endpoints.get(endpoint.id)
        if before == endpoint:
            return
        if before is not None and before.service != endpoint.service:
            self.remove_endpoint(endpoint.id)
        self._note_count(endpoint.service)
        self._endpoints[endpoint.id] = endpoint
        self._pool(endpoint.service).put_endpoint(endpoint)

    def put_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Adds or replaces several endpoints, as `put_endpoint` does."""
        for endpoint in endpoints:
            self.put_endpoint(endpoint)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes an endpoint. Unknown ids are ignored."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        self._removed_endpoints.add(endpoint_id)
        self._note_count(endpoint.service)
        self._pool(endpoint.service).remove_endpoint(endpoint_id)

    def put_controller(self, controller: Controller) -> None:
        """Adds a controller, or replaces its record."""
        before = self._controllers.get(controller.name)
        if before == controller:
            return
        if before is not None and before.services != controller.services:
            self._leave_services(before)
        self._controllers[controller.name] = controller
        if not controller.services:
            self._controllers_of_all_services.add(controller.name)
        self._stale_quota_controllers.add(controller.name)

    def put_controllers(self, controllers: Iterable[Controller]) -> None:
        """Adds or replaces several controllers, as `put_controller` does."""
        for controller in controllers:
            self.put_controller(controller)

    def remove_controller(self, name: str) -> None:
        """Removes a controller. Unknown names are ignored."""
        controller = self._controllers.pop(name, None)
        if controller is None:
            return
        self._leave_services(controller)
        self._stale_quota_controllers.discard(name)
        self._views.pop(name, None)
        self._too_large.pop(name, None)
        self._changed.discard(name)

    def view(self, name: str) -> tuple[str, ...]:
        """The sorted ids of the endpoints in a controller's view, ready and draining ones.

        Raises UnknownControllerError, or TooManyServicesError if its services do not fit in a view.
        """
        self._apply_changes()
        if name in self._too_large:
            raise TooManyServicesError(name, self._too_large[name], self._limits.capacity)
        if name not in self._controllers:
            raise UnknownControllerError(name)
        return self._views[name]

    def holders(self, endpoint_id: str) -> frozenset[str]:
        """The controllers whose views have an endpoint; empty for an unknown id."""
        self._apply_changes()
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return frozenset()
        return frozenset(self._pools[endpoint.service].holders_of(endpoint_id))

    def pop_changed(self) -> frozenset[str]:
        """The controllers for which, since the last call, the view or a record in it has changed, or an
        endpoint in the view was removed and added again."""
        self._apply_changes()
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def _pool(self, service: str) -> ServicePool:
        if service not in self._pools:
            self._pools[service] = ServicePool(self._limits.overload, self._seed)
        return self._pools[service]

    def _note_count(self, service: str) -> None:
        pool = self._pools.get(service)
        self._counts_before.setdefault(service, len(pool.endpoints) if pool else 0)
        self._changed_services.add(service)

    def _leave_services(self, controller: Controller) -> None:
        for service in self._services_of(controller):
            if service in self._pools:
                self._pools[service].remove_controller(controller.name)
                self._changed_services.add(service)
        self._controllers_of_all_services.discard(controller.name)

    def _services_of(self, controller: Controller) -> Iterable[str]:
        return controller.services or self._pools.keys()

    def _apply_changes(self) -> None:
        """Applies all recorded changes: to the quotas, then to the services, then to the affected views."""
        if not self._changed_services and not self._stale_quota_controllers:
            return
        self._note_quota_changes()
        for name in self._stale_quota_controllers:
            self._assign_quotas(self._controllers[name])
        reassigned = set(self._stale_quota_controllers)
        for service in self._changed_services:
            affected = self._pools[service].apply_changes()
            reassigned |= affected.reassigned
            self._changed |= affected.updated & self._controllers.keys()
        self._stale_quota_controllers.clear()
        self._changed_services.clear()
        for name in reassigned & self._controllers.keys():
            self._update_view(self._controllers[name])
        # An endpoint that was removed and added again leaves the views equal, but its holders may have been
        # served the removal.
        for endpoint_id in self._removed_endpoints & self._endpoints.keys():
            self._changed |= self._pools[self._endpoints[endpoint_id].service].holders_of(endpoint_id)
        self._removed_endpoints.clear()

    def _note_quota_changes(self) -> None:
        """Collects the controllers whose quotas change because services have more or fewer endpoints."""
        for service, count_before in self._counts_before.items():
            pool = self._pools[service]
            count = len(pool.endpoints)
            if count == count_before:
                continue
            if not count or not count_before:
                self._stale_quota_controllers |= self._controllers_of_all_services
            # A quota below both counts does not depend on this service.
            lower = min(count, count_before)
            self._stale_quota_controllers.update(
                name for name, quota in pool.quotas.items() if quota.total >= lower
            )
            self._stale_quota_controllers.update(
                name for name in self._too_large if service in self._services_of(self._controllers[name])
            )
        self._counts_before.clear()

    def _assign_quotas(self, controller: Controller) -> None:
        """Computes how many endpoints of each service a controller's view has."""
        services = self._ordered_services(controller)
        counts = {service: len(self._pool(service).endpoints) for service in services}
        needed = min_capacity(counts)
        self._too_large.pop(controller.name, None)
        if needed > self._limits.capacity:
            self._too_large[controller.name] = needed
            self._leave_services(controller)
            if not controller.services:
                self._controllers_of_all_services.add(controller.name)
            return
        for service, quota in assign_quotas(counts, self._limits.capacity).items():
            self._set_quota(service, controller.name, quota)

    def _ordered_services(self, controller: Controller) -> list[str]:
        """A controller's services in a pseudorandom order of its own; the first ones get the remainder of the
        view's capacity."""

        def rank(service: str) -> tuple[float, str]:
            return unit_hash(_ORDER_KIND, f"{controller.name}\0{service}", self._seed), service

        return sorted(set(self._services_of(controller)), key=rank)

    def _set_quota(self, service: str, name: str, quota: Quota) -> None:
        pool = self._pools[service]
        if pool.quotas.get(name) != quota:
            pool.set_quota(name, quota)
            self._changed_services.add(service)

    def _update_view(self, controller: Controller) -> None:
        endpoint_ids: list[str] = []
        if controller.name not in self._too_large:
            for service in set(self._services_of(controller)):
                endpoint_ids.extend(self._pools[service].endpoints_of(controller.name))
        view = tuple(sorted(endpoint_ids))
        if self._views.get(controller.name) != view or controller.name in self._too_large:
            self._changed.add(controller.name)
        self._views[controller.name] = view
