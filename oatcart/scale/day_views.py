"""Which views controllers ought to have, worked out from the changes made, beside the control role.

Views are a function of the list alone, so a second `FleetViews` that is told the same changes has the same
views as the control role. Where controllers follow the whole list, their views have no bound.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from oatcart.scale.day_relay import EntryState, entry_state
from oatcart.scale.day_schedule import Change, Kind
from oatcart.scale.discovery import DELETED
from oatcart.views.configuration import EndpointFields
from oatcart.views.entries import SERVING, parse_entry
from oatcart.views.fleet_views import FleetViews
from oatcart.views.publisher import endpoint_record
from oatcart.views.records import Controller, ViewLimits

UNBOUNDED = ViewLimits(max_endpoints=10**9, max_bytes=10**9, max_entry_bytes=1)
ZONES_LEAST = 2  # of each service in a view, where the service has endpoints ready in as many


class ViewAt(NamedTuple):
    """The view that a controller ought to have after a change, by the change's number."""

    change: int
    endpoints: frozenset[str]


class ExpectedViews:
    """The views after each change made so far."""

    def __init__(
        self, viewers: Sequence[Controller], limits: ViewLimits, seed: int, entries: Collection[dict]
    ) -> None:
        self.viewers = {viewer.name: viewer for viewer in viewers}
        self.entries: dict[str, dict] = {}
        self.taken = 0  # changes
        self.returned: dict[
            tuple[int, str], frozenset[str]
        ] = {}  # holders of endpoints that changes brought back
        self._fleet_views = FleetViews(limits, seed)
        self._fleet_views.put_controllers(viewers)
        self._set(entries)
        self._history = {name: [ViewAt(-1, frozenset(self._fleet_views.view(name)))] for name in self.viewers}
        self._fleet_views.pop_changed()

    def take(self, changes: Sequence[Change]) -> None:
        """Works out the views after those of all changes that were not taken yet."""
        for number in range(self.taken, len(changes)):
            change = changes[number]
            self._set(change.entries)
            for name in self._fleet_views.pop_changed():
                endpoints = frozenset(self._fleet_views.view(name))
                if endpoints != self._history[name][-1].endpoints:
                    self._history[name].append(ViewAt(number, endpoints))
            if change.kind is Kind.RETURN:
                for entry in change.entries:
                    self.returned[number, entry["id"]] = self._fleet_views.holders(entry["id"])
        self.taken = len(changes)

    def view(self, name: str) -> frozenset[str]:
        """The endpoints that a controller ought to hold now."""
        return self._history[name][-1].endpoints

    def states(self, name: str) -> dict[str, EntryState]:
        """The list that a controller ought to have been told."""
        return {endpoint: entry_state(self.entries[endpoint]) for endpoint in self.view(name)}

    def is_dropped_after(self, name: str, endpoint: str, change: int) -> int | None:
        """The number of the first later change by which an endpoint left a controller's view, or None."""
        return next(
            (
                one.change
                for one in self._history[name]
                if one.change > change and endpoint not in one.endpoints
            ),
            None,
        )

    def unusable(self, name: str, held: Collection[str]) -> list[str]:
        """The services for which a controller holds ready endpoints in too few zones."""
        there, here = self._ready_zones(self.entries), self._ready_zones(held)
        needed = self.viewers[name].services or there.keys()
        return [
            service
            for service in needed
            if len(here.get(service, ())) < min(ZONES_LEAST, len(there.get(service, ())))
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
