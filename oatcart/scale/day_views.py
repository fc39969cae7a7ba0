"""The views that controllers are expected to have, computed from the changes made.

Views are a function of the list alone, so a second `FleetViews` that is given the same changes has the same
views as the control role. If controllers watch the complete list, their views are unbounded.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from oatcart.scale.day_relay import EntryState, entry_state
from oatcart.scale.day_schedule import Change, ChangeKind
from oatcart.scale.discovery import DELETED
from oatcart.views.configuration import EndpointFields
from oatcart.views.entries import SERVING, parse_entry
from oatcart.views.fleet_views import FleetViews
from oatcart.views.publisher import endpoint_record
from oatcart.views.records import Controller, ViewLimits

UNBOUNDED = ViewLimits(max_endpoints=10**9, max_bytes=10**9, max_entry_bytes=1)
MIN_ZONES = 2  # with ready endpoints of a service in each view, if the service has them in as many


class ViewAt(NamedTuple):
    """The expected view of a controller after the change of this number."""

    change: int
    endpoints: frozenset[str]


class ExpectedViews:
    """The expected views of all controllers after each change made so far."""

    def __init__(
        self, controllers: Sequence[Controller], limits: ViewLimits, seed: int, entries: Collection[dict]
    ) -> None:
        self.controllers = {controller.name: controller for controller in controllers}
        self.entries: dict[str, dict] = {}
        self.applied_changes = 0
        # By change and returned endpoint: the controllers whose view has the endpoint after the change.
        self.holders_of_returned: dict[tuple[int, str], frozenset[str]] = {}
        self._fleet_views = FleetViews(limits, seed)
        self._fleet_views.put_controllers(controllers)
        self._set(entries)
        self._history = {
            name: [ViewAt(-1, frozenset(self._fleet_views.view(name)))] for name in self.controllers
        }
        self._fleet_views.pop_changed()

    def apply(self, changes: Sequence[Change]) -> None:
        """Computes the views after each of the changes that were not applied yet; `changes` are all."""
        for number in range(self.applied_changes, len(changes)):
            change = changes[number]
            self._set(change.entries)
            for name in self._fleet_views.pop_changed():
                endpoints = frozenset(self._fleet_views.view(name))
                if endpoints != self._history[name][-1].endpoints:
                    self._history[name].append(ViewAt(number, endpoints))
            if change.kind is ChangeKind.RETURN:
                for entry in change.entries:
                    self.holders_of_returned[number, entry["id"]] = self._fleet_views.holders(entry["id"])
        self.applied_changes = len(changes)

    def view(self, name: str) -> frozenset[str]:
        """Returns the endpoints that a controller's view is expected to have now."""
        return self._history[name][-1].endpoints

    def states(self, name: str) -> dict[str, EntryState]:
        """Returns the list that a controller is expected to have been sent."""
        return {endpoint: entry_state(self.entries[endpoint]) for endpoint in self.view(name)}

    def change_dropping(self, name: str, endpoint: str, change: int) -> int | None:
        """Returns the first later change that removed an endpoint from a controller's view, or None."""
        return next(
            (
                one.change
                for one in self._history[name]
                if one.change > change and endpoint not in one.endpoints
            ),
            None,
        )

    def unusable(self, name: str, held: Collection[str]) -> list[str]:
        """Returns the services for which the endpoints held are ready in too few zones."""
        listed_zones, held_zones = self._ready_zones(self.entries), self._ready_zones(held)
        needed = self.controllers[name].services or listed_zones.keys()
        return [
            service
            for service in needed
            if len(held_zones.get(service, ())) < min(MIN_ZONES, len(listed_zones.get(service, ())))
        ]

    def _ready_zones(self, endpoints: Iterable[str]) -> dict[str, set[tuple[str, str]]]:
        zones: dict[str, set[tuple[str, str]]] = {}
        for endpoint in endpoints:
            entry = self.entries.get(endpoint)
            if entry and entry["phase"] == SERVING:
                zones.setdefault(entry["service"], set()).add((entry["region"], entry["locality"]))
        return zones

    def _set(self, entries: Iterable[dict]) -> None:
        for entry in entries:
            if entry["phase"] == DELETED:
                self._fleet_views.remove_endpoint(entry["id"])
                self.entries.pop(entry["id"], None)
            else:
                self._fleet_views.put_endpoint(endpoint_record(parse_entry(entry), EndpointFields()))
                self.entries[entry["id"]] = entry
