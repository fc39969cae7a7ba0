"""One service: its nodes, the conductors that need it, and which of the nodes each of them is told of.

A conductor whose quota has a seat for every node holds the service whole. The others share it by the
matching.
"""

from collections import Counter
from typing import NamedTuple

from oatcart.views.cover import Exchange, Needs, Zone, complete_part, exchanges_for_unseen, needs_of, zone_of
from oatcart.views.matching import Matching
from oatcart.views.quotas import Quota
from oatcart.views.records import Member

_CHANGES_MENDED = 4  # this many changes at once, and
_RECORDS_PER_CHANGE = 50  # one more for so many conductors and nodes, are mended; more are matched anew


class Affected(NamedTuple):
    """Conductors that changes concern.

    `moved` may hold other nodes than before, `restated` hold a node that stays with another record.
    """

    moved: set[str]
    restated: set[str]


class Pool:
    """The records of one service. Changes are noted, and worked out together by `settle`."""

    def __init__(self, overload: float, seed: int) -> None:
        self.members: dict[str, Member] = {}
        self.quotas: dict[str, Quota] = {}
        self._ready_members: dict[str, Member] = {}
        self._ready_by_zone: Counter[Zone] = Counter()
        self._matching = Matching(overload, seed)
        self._whole: set[str] = set()
        self._exchanges: dict[str, list[Exchange]] = {}
        self._amended: dict[
            str, list[str]
        ] = {}  # by conductor, what it holds where the matching says otherwise
        self._needs = Needs(0, 0)
        self._members_before: dict[str, Member | None] = {}
        self._viewers_changed: set[str] = set()

    # Changes.

    def put_member(self, member: Member) -> None:
        """A node comes, or its record changes."""
        self._members_before.setdefault(member.id, self.members.get(member.id))
        self.members[member.id] = member
        self._forget_ready(member.id)
        if member.ready:
            self._ready_members[member.id] = member
            self._ready_by_zone[zone_of(member)] += 1

    def drop_member(self, member_id: str) -> None:
        """A node is deleted."""
        self._members_before.setdefault(member_id, self.members.get(member_id))
        del self.members[member_id]
        self._forget_ready(member_id)

    def set_quota(self, name: str, quota: Quota) -> None:
        """A conductor needs the service, or gets another number of places for it."""
        self.quotas[name] = quota
        self._viewers_changed.add(name)

    def drop_viewer(self, name: str) -> None:
        """A conductor needs the service no longer."""
        if self.quotas.pop(name, None) is not None:
            self._viewers_changed.add(name)

    # What holds, once settled.

    def held_by(self, name: str) -> list[str]:
        """The nodes that a conductor is told of; empty where it does not need the service."""
        if name in self._whole:
            return list(self.members)
        if name in self._amended:
            return self._amended[name]
        return self._matching.held_by(name) if name in self._matching.viewers.number_of else []

    def holders_of(self, member_id: str) -> set[str]:
        """The conductors that are told of a node."""
        holders = set(self._whole)
        if member_id in self._matching.members.number_of:
            holders.update(self._matching.holders_of(member_id))
        for name, held in self._amended.items():
            if member_id in held:
                holders.add(name)
            else:
                holders.discard(name)
        return holders

    def settle(self) -> Affected:
        """Work the changes out."""
        if not self._members_before and not self._viewers_changed:
            return Affected(set(), set())
        restated_members = self._change_members()
        moved = self._change_viewers()
        if len(self._members_before) + len(self._viewers_changed) > self._most_mended():
            self._matching.rebuild()
        else:
            self._matching.settle()
        moved |= self._matching.touched
        self._matching.touched.clear()
        if any(self._came_or_went(member_id) for member_id in self._members_before):
            moved |= self._whole
        restated = self._recover(moved, restated_members)
        self._members_before.clear()
        self._viewers_changed.clear()
        return Affected(moved, restated)

    def _forget_ready(self, member_id: str) -> None:
        member = self._ready_members.pop(member_id, None)
        if member is not None:
            self._ready_by_zone[zone_of(member)] -= 1

    def _most_mended(self) -> int:
        return _CHANGES_MENDED + (len(self.members) + len(self.quotas)) // _RECORDS_PER_CHANGE

    def _came_or_went(self, member_id: str) -> bool:
        return (self._members_before[member_id] is None) != (member_id not in self.members)

    def _change_members(self) -> list[str]:
        """Bring the matching's nodes up to date; the nodes that stay with another record."""
        restated = []
        for member_id, before in self._members_before.items():
            member = self.members.get(member_id)
            if before == member:
                continue
            if before is not None and member is not None:
                restated.append(member_id)
                if _draws_alike(before, member):
                    self._matching.turn_member(member_id, member.ready)
                    continue
            if before is not None:
                self._matching.remove_member(member_id)
            if member is not None:
                self._matching.add_member(member)
        return restated

    def _change_viewers(self) -> set[str]:
        """Bring the matching's conductors up to date; those that this concerns."""
        count = len(self.members)
        self._viewers_changed.update(
            name for name, quota in self.quotas.items() if (quota.seats >= count) != (name in self._whole)
        )
        for name in self._viewers_changed:
            quota = self.quotas.get(name)
            self._whole.discard(name)
            is_partial = quota is not None and quota.seats < count
            was_partial = name in self._matching.viewers.number_of
            if is_partial and was_partial:
                self._matching.resize_viewer(name, quota.seats)
            elif is_partial:
                self._matching.add_viewer(name, quota.seats)
            else:
                if was_partial:
                    self._matching.remove_viewer(name)
                if quota is not None:
                    self._whole.add(name)
        return set(self._viewers_changed)

    def _recover(self, moved: set[str], restated_members: list[str]) -> set[str]:
        """Exchanges and stand-ins where they may have changed; the conductors that hold a node of another
        record."""
        exchanges = exchanges_for_unseen(self._matching, self.members)
        for name in exchanges.keys() | self._exchanges.keys():
            if exchanges.get(name) != self._exchanges.get(name):
                moved.add(name)
        self._exchanges = exchanges
        holders = set().union(*(self.holders_of(member_id) for member_id in restated_members))
        concerned = moved | holders | self._amended.keys()
        needs = needs_of(self._ready_by_zone)
        if needs != self._needs:
            concerned |= self._matching.viewers.number_of.keys()
        self._needs = needs
        for name in concerned:
            if self._complete(name):
                moved.add(name)
        return holders.union(*(self.holders_of(member_id) for member_id in restated_members))

    def _complete(self, name: str) -> bool:
        """Note what a conductor holds beside the matching; whether that changed."""
        before = self._amended.pop(name, None)
        if name not in self._matching.viewers.number_of:
            return before is not None
        exchanges = self._exchanges.get(name, [])
        if not exchanges and self._suffices(name):
            return before is not None
        held = complete_part(
            self._matching, name, self.quotas[name], exchanges, self.members, self._ready_members, self._needs
        )
        if set(held) != set(self._matching.held_by(name)):
            self._amended[name] = held
        return before != self._amended.get(name)

    def _suffices(self, name: str) -> bool:
        """Whether the matching alone gives a conductor all that it needs."""
        spread = self._matching.spread_of(name)
        return spread.ready >= self._needs.nodes and spread.zones >= self._needs.zones


def _draws_alike(one: Member, other: Member) -> bool:
    """Whether two records of a node leave every conductor's choice as it is."""
    return one._replace(ready=other.ready) == other
