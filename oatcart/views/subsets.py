"""Which nodes of which services each conductor is told of.

`Subsets` holds the nodes as discovery lists them and the conductors alive, and gives each conductor a view:
at most `ViewLimits.capacity` nodes, of each service it needs at least two in two zones where there are two.
The views are a function of the records, the limits and the seed alone, so several control machines that know
the same decide the same, whatever order the changes came in, and a change undone leaves the views as they
were.

What a change moves: let P be the pairs (conductor, node held) before, Q those after. The change moves the
larger of the number of pairs lost, |P - Q|, and of pairs gained, |Q - P|; the pairs of whatever came or went
count among them. The share of a conductor or node that comes or goes is the number of its own pairs. What a
change moves beyond the share is counted in parts of the share; the aim is a twentieth. `docs/views.md` tells
where it is kept.
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


class Subsets:
    """The views of a fleet's conductors. Changes are cheap to note; the next question works them out."""

    def __init__(self, limits: ViewLimits, seed: int) -> None:
        self._limits = limits
        self._seed = seed
        self._endpoints: dict[str, Endpoint] = {}
        self._controllers: dict[str, Controller] = {}
        self._controllers_of_all: set[str] = set()
        self._pools: dict[str, ServicePool] = {}
        self._counts_before: dict[
            str, int
        ] = {}  # nodes of each service whose nodes changed, when last settled
        self._changed_service: set[str] = set()  # nodes that have changed their service
        self._changed_services: set[str] = set()
        self._quota_changes: set[str] = set()  # conductors whose quotas are to be worked out
        self._views: dict[str, tuple[str, ...]] = {}
        # the places that conductors would need whose services do not fit
        self._too_large: dict[str, int] = {}
        self._changed: set[str] = set()

    # Changes.

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """A node comes, or its record changes. InvalidEndpointError where its size is not a finite number
        above zero."""
        if not 0 < endpoint.nominal_weight < float("inf"):
            raise InvalidEndpointError(endpoint)
        before = self._endpoints.get(endpoint.id)
        if before == endpoint:
            return
        if before is not None and before.service != endpoint.service:
            self.remove_endpoint(endpoint.id)
            self._changed_service.add(endpoint.id)
        self._note_count(endpoint.service)
        self._endpoints[endpoint.id] = endpoint
        self._pool(endpoint.service).put_endpoint(endpoint)

    def put_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """`put_endpoint` for each."""
        for endpoint in endpoints:
            self.put_endpoint(endpoint)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """A node is deleted; nothing happens where it is not known."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        self._note_count(endpoint.service)
        self._pool(endpoint.service).remove_endpoint(endpoint_id)

    def put_controller(self, controller: Controller) -> None:
        """A conductor is alive, or its record changes."""
        before = self._controllers.get(controller.name)
        if before == controller:
            return
        if before is not None and before.services != controller.services:
            self._forget_controller(before)
        self._controllers[controller.name] = controller
        if not controller.services:
            self._controllers_of_all.add(controller.name)
        self._quota_changes.add(controller.name)

    def put_controllers(self, controllers: Iterable[Controller]) -> None:
        """`put_controller` for each."""
        for controller in controllers:
            self.put_controller(controller)

    def remove_controller(self, name: str) -> None:
        """A conductor is no longer alive; nothing happens where it is not known."""
        controller = self._controllers.pop(name, None)
        if controller is None:
            return
        self._forget_controller(controller)
        self._quota_changes.discard(name)
        self._views.pop(name, None)
        self._too_large.pop(name, None)
        self._changed.discard(name)

    # Questions.

    def view(self, name: str) -> tuple[str, ...]:
        """The ids of the nodes that a conductor is told of, sorted; ready and draining ones.

        UnknownControllerError where no such conductor is alive, TooManyServicesError where its services
        do not fit in a view.
        """
        self._update()
        if name in self._too_large:
            raise TooManyServicesError(name, self._too_large[name], self._limits.capacity)
        if name not in self._controllers:
            raise UnknownControllerError(name)
        return self._views[name]

    def holders(self, endpoint_id: str) -> frozenset[str]:
        """The conductors that are told of a node; none where the node is not known."""
        self._update()
        endpoint = self._endpoints.get(endpoint_id)
        return (
            frozenset()
            if endpoint is None
            else frozenset(self._pools[endpoint.service].holders_of(endpoint_id))
        )

    def pop_changed(self) -> frozenset[str]:
        """The conductors, among those alive, whose view or a record in it changed since the last call."""
        self._update()
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    # Working changes out.

    def _pool(self, service: str) -> ServicePool:
        if service not in self._pools:
            self._pools[service] = ServicePool(self._limits.overload, self._seed)
        return self._pools[service]

    def _note_count(self, service: str) -> None:
        pool = self._pools.get(service)
        self._counts_before.setdefault(service, len(pool.endpoints) if pool else 0)
        self._changed_services.add(service)

    def _forget_controller(self, controller: Controller) -> None:
        for service in self._services_of(controller):
            if service in self._pools:
                self._pools[service].remove_controller(controller.name)
                self._changed_services.add(service)
        self._controllers_of_all.discard(controller.name)

    def _services_of(self, controller: Controller) -> Iterable[str]:
        return controller.services or self._pools.keys()

    def _update(self) -> None:
        if not self._changed_services and not self._quota_changes:
            return
        self._note_quota_changes()
        for name in self._quota_changes:
            self._assign_quotas(self._controllers[name])
        reassigned: set[str] = set(self._quota_changes)
        for service in self._changed_services:
            affected = self._pools[service].settle()
            reassigned |= affected.reassigned
            self._changed |= affected.updated & self._controllers.keys()
        self._quota_changes.clear()
        self._changed_services.clear()
        for name in reassigned & self._controllers.keys():
            self._update_view(self._controllers[name])
        for endpoint_id in self._changed_service & self._endpoints.keys():
            self._changed |= self._pools[self._endpoints[endpoint_id].service].holders_of(endpoint_id)
        self._changed_service.clear()

    def _note_quota_changes(self) -> None:
        """Note the conductors whose shares of their views change with the number of a service's nodes."""
        for service, count_before in self._counts_before.items():
            pool = self._pools[service]
            count = len(pool.endpoints)
            if count == count_before:
                continue
            if not count or not count_before:
                self._quota_changes |= self._controllers_of_all
            least = min(count, count_before)
            self._quota_changes.update(name for name, quota in pool.quotas.items() if quota.total >= least)
            self._quota_changes.update(
                name for name in self._too_large if service in self._services_of(self._controllers[name])
            )
        self._counts_before.clear()

    def _assign_quotas(self, controller: Controller) -> None:
        """Work out how many nodes of each service a conductor holds."""
        services = self._ordered_services(controller)
        counts = {service: len(self._pool(service).endpoints) for service in services}
        needed = min_capacity(counts)
        self._too_large.pop(controller.name, None)
        if needed > self._limits.capacity:
            self._too_large[controller.name] = needed
            self._forget_controller(controller)
            if not controller.services:
                self._controllers_of_all.add(controller.name)
            return
        for service, quota in assign_quotas(counts, self._limits.capacity).items():
            self._set_quota(service, controller.name, quota)

    def _ordered_services(self, controller: Controller) -> list[str]:
        """A conductor's services, in an order of its own: the first get the places that do not divide."""
        return sorted(
            set(self._services_of(controller)),
            key=lambda service: (unit_hash("order", f"{controller.name}\0{service}", self._seed), service),
        )

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
