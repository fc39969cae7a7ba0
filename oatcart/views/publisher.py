"""The current views: the entries of all endpoints, the view decided for each controller, and the history of
each view that was requested. Free of I/O.

A change of an endpoint's entry (draining, another address, its removal) is published without waiting for a
decision to the controllers whose view has the endpoint. Which endpoints a view has is decided by `decisions`
and may be published later. A view's history begins with the first request of its controller.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from oatcart.views.configuration import Configuration, EndpointFields, ServedController
from oatcart.views.decisions import RecordChanges, View
from oatcart.views.entries import SERVING, EndpointEntry
from oatcart.views.history import ViewHistory
from oatcart.views.list_guard import ListChanges
from oatcart.views.records import Controller, Endpoint, UnknownControllerError, ViewError, ViewLimits
from oatcart.views.revisions import RevisionSequence

DEFAULT_SERVICE = "default"  # of an entry without a service
DEFAULT_NOMINAL_WEIGHT = 1.0  # of an entry whose size is missing or 0; controllers use the same


class ViewNotDecidedError(ViewError):
    """A view cannot be served yet: no endpoint list was received, or the view is not decided yet."""


class Publisher:
    """Applies changes of the endpoint list and of the views, and keeps the history of each view.

    `decide` is called with changes of the records; the views decided from them are passed to `apply_views`.
    """

    def __init__(
        self,
        configuration: Configuration,
        revisions: RevisionSequence,
        decide: Callable[[RecordChanges], None],
    ) -> None:
        self.configuration, self.revisions, self.decide = configuration, revisions, decide
        self.entries: dict[str, EndpointEntry] = {}
        self.views: dict[str, View] = {}  # as last decided; may have endpoints removed since
        self.histories: dict[str, ViewHistory] = {}
        self.unpublished: set[str] = set()  # views that may differ from their histories
        self.controllers = _records_by_name(configuration.controllers)
        self.expired: set[str] = set()  # controllers without a lease, for which no view is decided

    def configure(self, configuration: Configuration) -> None:
        """Applies another configuration. Views that stay the same get no new revision."""
        old, self.configuration = self.configuration, configuration
        controllers = _records_by_name(configuration.controllers)
        gone = self.controllers.keys() - controllers.keys()
        self.controllers = controllers
        self.expired &= controllers.keys()
        self._drop_views(gone)
        if _decision_inputs(configuration) != _decision_inputs(old):
            self._decide_all()
        elif self.entries:
            self.decide(RecordChanges(controllers=self._live_controllers(), removed_controllers=gone))

    def expire(self, names: Collection[str]) -> None:
        """Drops the views of controllers whose leases have expired, and has the others decided without
        them."""
        self.expired.update(names)
        self._drop_views(names)
        if self.entries:
            self.decide(RecordChanges(removed_controllers=names))

    def restore(self, name: str) -> None:
        """Has the view of an expired controller decided again, as it has a lease again."""
        self.expired.discard(name)
        if self.entries:
            self.decide(RecordChanges(controllers=[self.controllers[name]]))

    def apply_list_changes(self, changes: ListChanges) -> None:
        """Applies changes of the endpoint list, to be published by `publish`.

        No view is decided before the first list: it would be empty, and a controller that receives an empty
        list drops the list it has.
        """
        if not self.entries:
            self.entries.update(changes.changed)
            self._decide_all()
            return
        self.entries.update(changes.changed)
        for endpoint_id in changes.removed:
            self.entries.pop(endpoint_id, None)
        affected_ids = changes.changed.keys() | changes.removed
        self.unpublished.update(
            name for name, history in self.histories.items() if not affected_ids.isdisjoint(history.entries)
        )
        fields = self.configuration.endpoint_fields
        endpoints = [endpoint_record(entry, fields) for entry in changes.changed.values()]
        self.decide(RecordChanges(endpoints=endpoints, removed_endpoints=changes.removed))

    def apply_views(self, views: Mapping[str, View]) -> None:
        """Stores decided views, to be published by `publish`."""
        for name, view in views.items():
            if name in self.controllers and name not in self.expired:
                self.views[name] = view
                self.unpublished.add(name)

    def publish(self, names: Iterable[str]) -> list[str]:
        """Updates the histories of these views and returns the names of those that changed.

        A view that cannot be decided is left as last published. No two views share a revision, so a
        controller that watches from the revision of another view gets the complete list.
        """
        published = []
        for name in names:
            self.unpublished.discard(name)
            history, view = self.histories.get(name), self.views.get(name)
            if history is None or not isinstance(view, tuple):
                continue
            if history.replace(self._entries_of(view), self.revisions.next()):
                published.append(name)
        return published

    def history(self, name: str) -> ViewHistory:
        """The history of a controller's view, created by the first call.

        Raises UnknownControllerError, ViewNotDecidedError, or the ViewError that is the reason why the view
        cannot be decided.
        """
        if name not in self.controllers:
            raise UnknownControllerError(name)
        if name not in self.histories:
            view = self.views.get(name)
            if not self.entries or view is None:
                raise ViewNotDecidedError("no endpoint list was received yet, or the view is not decided yet")
            if isinstance(view, ViewError):
                raise view
            self.histories[name] = ViewHistory(self.revisions.next(), self._entries_of(view))
            self.unpublished.discard(name)
        return self.histories[name]

    def failures(self) -> dict[str, str]:
        """The reasons why views cannot be decided, by the names of controllers."""
        return {name: str(view) for name, view in self.views.items() if isinstance(view, ViewError)}

    def _live_controllers(self) -> list[Controller]:
        return [controller for name, controller in self.controllers.items() if name not in self.expired]

    def _drop_views(self, names: Iterable[str]) -> None:
        for name in names:
            self.views.pop(name, None)
            self.histories.pop(name, None)

    def _entries_of(self, view: tuple[str, ...]) -> dict[str, EndpointEntry]:
        return {endpoint_id: self.entries[endpoint_id] for endpoint_id in view if endpoint_id in self.entries}

    def _decide_all(self) -> None:
        if not self.entries:
            return
        fields = self.configuration.endpoint_fields
        self.decide(
            RecordChanges(
                endpoints=[endpoint_record(entry, fields) for entry in self.entries.values()],
                controllers=self._live_controllers(),
                limits=self.configuration.limits,
                seed=self.configuration.seed,
            )
        )


def endpoint_record(entry: EndpointEntry, fields: EndpointFields) -> Endpoint:
    """The record of an entry, from which views are decided. `fields`: its service and region fields."""
    service, region = entry.fields.get(fields.service_field), entry.fields.get(fields.region_field)
    return Endpoint(
        entry.id,
        region if isinstance(region, str) and region else fields.region(entry.zone),
        entry.zone,
        service if isinstance(service, str) and service else DEFAULT_SERVICE,
        float(entry.fields.get("size") or DEFAULT_NOMINAL_WEIGHT),
        entry.phase == SERVING,
    )


def _decision_inputs(configuration: Configuration) -> tuple[ViewLimits, int, EndpointFields]:
    """The settings that all decisions depend on."""
    return configuration.limits, configuration.seed, configuration.endpoint_fields


def _records_by_name(served: Iterable[ServedController]) -> dict[str, Controller]:
    return {served_controller.record.name: served_controller.record for served_controller in served}
