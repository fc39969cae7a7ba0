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
from oatcart.views.pool import Pool
from oatcart.views.quotas import Quota, least_needed, share_places
from oatcart.views.records import InvalidMember, Member, TooManyServices, UnknownViewer, Viewer, ViewLimits


class Subsets:
    """The views of a fleet's conductors. Changes are cheap to note; the next question works them out."""

    def __init__(self, limits: ViewLimits, seed: int) -> None:
        self._limits = limits
        self._seed = seed
        self._members: dict[str, Member] = {}
        self._viewers: dict[str, Viewer] = {}
        self._viewers_of_all: set[str] = set()
        self._pools: dict[str, Pool] = {}
        self._counts_before: dict[
            str, int
        ] = {}  # nodes of each service whose nodes changed, when last settled
        self._of_other_service: set[str] = set()  # nodes that have changed their service
        self._unsettled: set[str] = set()
        self._unshared: set[str] = set()  # conductors whose quotas are to be worked out
        self._views: dict[str, tuple[str, ...]] = {}
        self._refused: dict[str, int] = {}  # the places that conductors would need whose services do not fit
        self._changed: set[str] = set()

    # Changes.

    def put_member(self, member: Member) -> None:
        """A node comes, or its record changes. InvalidMember where its size is not a finite number above
        zero."""
        if not 0 < member.size < float("inf"):
            raise InvalidMember(member)
        before = self._members.get(member.id)
        if before == member:
            return
        if before is not None and before.service != member.service:
            self.drop_member(member.id)
            self._of_other_service.add(member.id)
        self._note_count(member.service)
        self._members[member.id] = member
        self._pool(member.service).put_member(member)

    def put_members(self, members: Iterable[Member]) -> None:
        """`put_member` for each."""
        for member in members:
            self.put_member(member)

    def drop_member(self, member_id: str) -> None:
        """A node is deleted; nothing happens where it is not known."""
        member = self._members.pop(member_id, None)
        if member is None:
            return
        self._note_count(member.service)
        self._pool(member.service).drop_member(member_id)

    def put_viewer(self, viewer: Viewer) -> None:
        """A conductor is alive, or its record changes."""
        before = self._viewers.get(viewer.name)
        if before == viewer:
            return
        if before is not None and before.services != viewer.services:
            self._forget_viewer(before)
        self._viewers[viewer.name] = viewer
        if not viewer.services:
            self._viewers_of_all.add(viewer.name)
        self._unshared.add(viewer.name)

    def put_viewers(self, viewers: Iterable[Viewer]) -> None:
        """`put_viewer` for each."""
        for viewer in viewers:
            self.put_viewer(viewer)

    def drop_viewer(self, name: str) -> None:
        """A conductor is no longer alive; nothing happens where it is not known."""
        viewer = self._viewers.pop(name, None)
        if viewer is None:
            return
        self._forget_viewer(viewer)
        self._unshared.discard(name)
        self._views.pop(name, None)
        self._refused.pop(name, None)
        self._changed.discard(name)

    # Questions.

    def view(self, name: str) -> tuple[str, ...]:
        """The ids of the nodes that a conductor is told of, sorted; ready and draining ones.

        UnknownViewer where no such conductor is alive, TooManyServices where its services do not fit in a
        view.
        """
        self._settle()
        if name in self._refused:
            raise TooManyServices(name, self._refused[name], self._limits.capacity)
        if name not in self._viewers:
            raise UnknownViewer(name)
        return self._views[name]

    def holders(self, member_id: str) -> frozenset[str]:
        """The conductors that are told of a node; none where the node is not known."""
        self._settle()
        member = self._members.get(member_id)
        return frozenset() if member is None else frozenset(self._pools[member.service].holders_of(member_id))

    def take_changed(self) -> frozenset[str]:
        """The conductors, among those alive, whose view or a record in it changed since the last call."""
        self._settle()
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    # Working changes out.

    def _pool(self, service: str) -> Pool:
        if service not in self._pools:
            self._pools[service] = Pool(self._limits.overload, self._seed)
        return self._pools[service]

    def _note_count(self, service: str) -> None:
        pool = self._pools.get(service)
        self._counts_before.setdefault(service, len(pool.members) if pool else 0)
        self._unsettled.add(service)

    def _forget_viewer(self, viewer: Viewer) -> None:
        for service in self._services_of(viewer):
            if service in self._pools:
                self._pools[service].drop_viewer(viewer.name)
                self._unsettled.add(service)
        self._viewers_of_all.discard(viewer.name)

    def _services_of(self, viewer: Viewer) -> Iterable[str]:
        return viewer.services or self._pools.keys()

    def _settle(self) -> None:
        if not self._unsettled and not self._unshared:
            return
        self._note_shifted_quotas()
        for name in self._unshared:
            self._share(self._viewers[name])
        moved: set[str] = set(self._unshared)
        for service in self._unsettled:
            affected = self._pools[service].settle()
            moved |= affected.moved
            self._changed |= affected.restated & self._viewers.keys()
        self._unshared.clear()
        self._unsettled.clear()
        for name in moved & self._viewers.keys():
            self._renew_view(self._viewers[name])
        for member_id in self._of_other_service & self._members.keys():
            self._changed |= self._pools[self._members[member_id].service].holders_of(member_id)
        self._of_other_service.clear()

    def _note_shifted_quotas(self) -> None:
        """Note the conductors whose shares of their views change with the number of a service's nodes."""
        for service, count_before in self._counts_before.items():
            pool = self._pools[service]
            count = len(pool.members)
            if count == count_before:
                continue
            if not count or not count_before:
                self._unshared |= self._viewers_of_all
            least = min(count, count_before)
            self._unshared.update(name for name, quota in pool.quotas.items() if quota.places >= least)
            self._unshared.update(
                name for name in self._refused if service in self._services_of(self._viewers[name])
            )
        self._counts_before.clear()

    def _share(self, viewer: Viewer) -> None:
        """Work out how many nodes of each service a conductor holds."""
        services = self._in_own_order(viewer)
        counts = {service: len(self._pool(service).members) for service in services}
        needed = least_needed(counts)
        self._refused.pop(viewer.name, None)
        if needed > self._limits.capacity:
            self._refused[viewer.name] = needed
            self._forget_viewer(viewer)
            if not viewer.services:
                self._viewers_of_all.add(viewer.name)
            return
        for service, quota in share_places(counts, self._limits.capacity).items():
            self._set_quota(service, viewer.name, quota)

    def _in_own_order(self, viewer: Viewer) -> list[str]:
        """A conductor's services, in an order of its own: the first get the places that do not divide."""
        return sorted(
            set(self._services_of(viewer)),
            key=lambda service: (unit_hash("order", f"{viewer.name}\0{service}", self._seed), service),
        )

    def _set_quota(self, service: str, name: str, quota: Quota) -> None:
        pool = self._pools[service]
        if pool.quotas.get(name) != quota:
            pool.set_quota(name, quota)
            self._unsettled.add(service)

    def _renew_view(self, viewer: Viewer) -> None:
        held: list[str] = []
        if viewer.name not in self._refused:
            for service in set(self._services_of(viewer)):
                held.extend(self._pools[service].held_by(viewer.name))
        view = tuple(sorted(held))
        if self._views.get(viewer.name) != view or viewer.name in self._refused:
            self._changed.add(viewer.name)
        self._views[viewer.name] = view
