"""The views in force: entries of nodes, what was decided of each view, and a history of each view asked for.
Free of I/O.

What is known of a node is told at once to whoever holds it: a drain, a change, its end. Which nodes a view
has is decided elsewhere (`deciding`) and may come later. A view's history begins when its conductor first
asks.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from oatcart.views.configuration import Configuration, NodeFields, ServedController
from oatcart.views.deciding import Update, View
from oatcart.views.entries import SERVING, Entry
from oatcart.views.history import ViewHistory
from oatcart.views.records import Controller, Endpoint, UnknownController, ViewError, ViewLimits
from oatcart.views.revisions import RevisionSequence
from oatcart.views.trust import Outcome

DEFAULT_SERVICE = "default"  # of an entry that names none


class ViewNotDecided(ViewError):
    """Nothing can be told of a view yet: there is no list of nodes, or the decision is under way."""


class Publisher:
    """Takes what has changed of the list of nodes and hands out histories by the names of conductors.
    `decide` is handed what has to be decided; the views come back to `decided`."""

    def __init__(
        self, configuration: Configuration, revisions: RevisionSequence, decide: Callable[[Update], None]
    ) -> None:
        self.configuration, self.revisions, self.decide = configuration, revisions, decide
        self.entries: dict[str, Entry] = {}
        self.views: dict[str, View] = {}  # as decided last; there may be nodes in them that are gone
        self.histories: dict[str, ViewHistory] = {}
        self.unpublished: set[str] = set()  # views that may be different from their histories
        self.controllers = _controllers(configuration.controllers)
        self.expired: set[str] = set()  # conductors that do not count as alive: nothing is decided for them

    def configure(self, configuration: Configuration) -> None:
        """Another configuration. Views that stay the same get no new revision."""
        old, self.configuration = self.configuration, configuration
        controllers = _controllers(configuration.controllers)
        gone = self.controllers.keys() - controllers.keys()
        self.controllers = controllers
        self.expired &= controllers.keys()
        self._drop_views(gone)
        if _decision_inputs(configuration) != _decision_inputs(old):
            self._decide_all()
        elif self.entries:
            self.decide(Update(controllers=self._live_controllers(), gone=gone))

    def expire(self, names: Collection[str]) -> None:
        """These conductors no longer count as alive: their shares of the nodes go to others."""
        self.expired.update(names)
        self._drop_views(names)
        if self.entries:
            self.decide(Update(gone=names))

    def restore(self, name: str) -> None:
        """A conductor counts as alive again; its view is decided anew."""
        self.expired.discard(name)
        if self.entries:
            self.decide(Update(controllers=[self.controllers[name]]))

    def apply_list_changes(self, outcome: Outcome) -> None:
        """What has changed of the list; `publish` makes it known. Nothing is decided before the first list: a
        view of it would be empty, and a conductor that is told so loses its list."""
        if not self.entries:
            self.entries.update(outcome.changed)
            self._decide_all()
            return
        self.entries.update(outcome.changed)
        for endpoint_id in outcome.removed:
            self.entries.pop(endpoint_id, None)
        touched = outcome.changed.keys() | outcome.removed
        self.unpublished.update(
            name for name, history in self.histories.items() if not touched.isdisjoint(history.entries)
        )
        endpoints = [endpoint_record(entry, self.configuration.nodes) for entry in outcome.changed.values()]
        self.decide(Update(endpoints=endpoints, removed=outcome.removed))

    def apply_views(self, views: Mapping[str, View]) -> None:
        """Views as decided from now on; `publish` makes them known."""
        for name, view in views.items():
            if name in self.controllers and name not in self.expired:
                self.views[name] = view
                self.unpublished.add(name)

    def publish(self, names: Iterable[str]) -> list[str]:
        """Bring the histories of these views up to date; hands back those that have changed. A view that
        cannot be decided stays as it was told last. No two views share a revision, so that a conductor which
        comes with another view's is told the whole list."""
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
        """The history of a conductor's view; raises UnknownController or what else ViewError stands for."""
        if name not in self.controllers:
            raise UnknownController(name)
        if name not in self.histories:
            view = self.views.get(name)
            if not self.entries or view is None:
                raise ViewNotDecided("no list of nodes is known yet, or the view is not decided yet")
            if isinstance(view, ViewError):
                raise view
            self.histories[name] = ViewHistory(self.revisions.next(), self._entries_of(view))
            self.unpublished.discard(name)
        return self.histories[name]

    def failures(self) -> dict[str, str]:
        """The views that cannot be decided, and why."""
        return {name: str(view) for name, view in self.views.items() if isinstance(view, ViewError)}

    def _live_controllers(self) -> list[Controller]:
        return [controller for name, controller in self.controllers.items() if name not in self.expired]

    def _drop_views(self, names: Iterable[str]) -> None:
        for name in names:
            self.views.pop(name, None)
            self.histories.pop(name, None)

    def _entries_of(self, view: tuple[str, ...]) -> dict[str, Entry]:
        return {endpoint_id: self.entries[endpoint_id] for endpoint_id in view if endpoint_id in self.entries}

    def _decide_all(self) -> None:
        if not self.entries:
            return
        self.decide(
            Update(
                endpoints=[
                    endpoint_record(entry, self.configuration.nodes) for entry in self.entries.values()
                ],
                controllers=self._live_controllers(),
                limits=self.configuration.limits,
                seed=self.configuration.seed,
            )
        )


def endpoint_record(entry: Entry, nodes: NodeFields) -> Endpoint:
    """The entry as the decisions see it; a size of 0 or none stands for 1, as at a conductor."""
    service, region = entry.fields.get(nodes.service_field), entry.fields.get(nodes.region_field)
    return Endpoint(
        entry.id,
        region if isinstance(region, str) and region else nodes.region(entry.zone),
        entry.zone,
        service if isinstance(service, str) and service else DEFAULT_SERVICE,
        float(entry.fields.get("size") or 1.0),
        entry.phase == SERVING,
    )


def _decision_inputs(configuration: Configuration) -> tuple[ViewLimits, int, NodeFields]:
    """What all decisions depend on beside nodes and conductors."""
    return configuration.limits, configuration.seed, configuration.nodes


def _controllers(served: Iterable[ServedController]) -> dict[str, Controller]:
    return {one.record.name: one.record for one in served}
