"""Views: their size, balance, zones, what changes move, draining, and that history does not matter."""

from collections import Counter

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.views.records import InvalidMember, Member, TooManyServices, UnknownViewer, Viewer, ViewLimits
from oatcart.views.subsets import Subsets

SEED = 7
SERVICES = ("api", "cart", "search")
ZONES = (("west", "west-1"), ("west", "west-2"), ("east", "east-1"), ("east", "east-2"))
SMALL = ViewLimits(most_members=12)


def members_of(service: str, count: int, zones=ZONES, size: float = 1.0) -> list[Member]:
    return [
        Member(f"{service}-{number}", *zones[number % len(zones)], service, size, True)
        for number in range(count)
    ]


def viewers_of(count: int, services: tuple[str, ...]) -> list[Viewer]:
    return [Viewer(f"conductor-{number}", *ZONES[number % len(ZONES)], services) for number in range(count)]


def subsets_of(members, viewers, limits: ViewLimits = SMALL) -> Subsets:
    subsets = Subsets(limits, SEED)
    subsets.put_members(members)
    subsets.put_viewers(viewers)
    return subsets


def views_of(subsets: Subsets, viewers) -> dict[str, tuple[str, ...]]:
    return {viewer.name: subsets.view(viewer.name) for viewer in viewers}


class Fleet(RuleBasedStateMachine):
    """Nodes and conductors come, change and go; the views are those of a fresh start, within bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.subsets = Subsets(SMALL, SEED)
        self.members: dict[str, Member] = {}
        self.viewers: dict[str, Viewer] = {}
        self.told: dict[str, tuple[tuple[str, ...], tuple[Member, ...]]] = {}

    @rule(
        number=st.integers(0, 30),
        place=st.sampled_from(ZONES),
        service=st.sampled_from(SERVICES),
        size=st.sampled_from((1.0, 2.0, 4.0)),
        ready=st.booleans(),
    )
    def put_member(self, number, place, service, size, ready):
        member = Member(f"node-{number}", *place, service, size, ready)
        self.members[member.id] = member
        self.subsets.put_member(member)

    @precondition(lambda self: self.members)
    @rule(data=st.data())
    def turn_member(self, data):
        member_id = data.draw(st.sampled_from(sorted(self.members)))
        member = self.members[member_id]
        self.members[member_id] = member._replace(ready=not member.ready)
        holders = self.subsets.holders(member_id)
        self.subsets.put_member(self.members[member_id])
        if member.ready:
            lost = holders - self.subsets.holders(member_id)
            assert all(len(self.subsets.view(name)) == SMALL.capacity for name in lost)

    @precondition(lambda self: self.members)
    @rule(data=st.data())
    def drop_member(self, data):
        member_id = data.draw(st.sampled_from(sorted(self.members)))
        del self.members[member_id]
        self.subsets.drop_member(member_id)

    @rule(
        number=st.integers(0, 15), place=st.sampled_from(ZONES), services=st.sets(st.sampled_from(SERVICES))
    )
    def put_viewer(self, number, place, services):
        viewer = Viewer(f"conductor-{number}", *place, tuple(sorted(services)))
        self.viewers[viewer.name] = viewer
        self.subsets.put_viewer(viewer)

    @precondition(lambda self: self.viewers)
    @rule(data=st.data())
    def drop_viewer(self, data):
        name = data.draw(st.sampled_from(sorted(self.viewers)))
        del self.viewers[name]
        self.told.pop(name, None)
        self.subsets.drop_viewer(name)

    @invariant()
    def history_does_not_matter(self):
        fresh = subsets_of(reversed(list(self.members.values())), reversed(list(self.viewers.values())))
        viewers = self.viewers.values()
        assert views_of(self.subsets, viewers) == views_of(fresh, viewers)

    @invariant()
    def views_are_small_and_hold_what_is_needed(self):
        for viewer in self.viewers.values():
            view = self.subsets.view(viewer.name)
            assert len(set(view)) == len(view) <= SMALL.capacity
            held = [self.members[member_id] for member_id in view]
            assert {member.service for member in held} <= set(viewer.services or SERVICES)
            for service in viewer.services or SERVICES:
                there = [member for member in self.members.values() if member.service == service]
                assert_enough(there, [member for member in held if member.service == service])

    @invariant()
    def holders_are_those_that_hold(self):
        for member_id in self.members:
            holding = {name for name in self.viewers if member_id in self.subsets.view(name)}
            assert self.subsets.holders(member_id) == holding

    @invariant()
    def changes_are_told(self):
        changed = self.subsets.take_changed()
        assert changed <= self.viewers.keys()
        for name in self.viewers:
            view = self.subsets.view(name)
            now = (view, tuple(self.members[member_id] for member_id in view))
            assert name in changed or self.told.get(name) == now
            self.told[name] = now


def assert_enough(there: list[Member], held: list[Member]) -> None:
    """Two ready nodes, in two zones, wherever the service has them."""
    ready_there = [member for member in there if member.ready]
    ready_held = [member for member in held if member.ready]
    assert len(ready_held) >= min(2, len(ready_there))
    zones_there = {(member.region, member.zone) for member in ready_there}
    zones_held = {(member.region, member.zone) for member in ready_held}
    assert len(zones_held) >= min(2, len(zones_there))


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_conductor_that_can_hold_a_service_holds_it_whole():
    members = members_of("api", 5)
    subsets = subsets_of(members, viewers_of(3, ("api",)))
    assert subsets.view("conductor-1") == tuple(sorted(member.id for member in members))


def test_the_bound_in_bytes_bounds_the_number_of_nodes():
    assert ViewLimits().capacity == 70_000 // 145
    limits = ViewLimits(most_members=500, most_bytes=1450, most_entry_bytes=145)
    subsets = subsets_of(members_of("api", 100), viewers_of(20, ("api",)), limits)
    assert max(len(view) for view in views_of(subsets, viewers_of(20, ("api",))).values()) <= 10


def test_unknown_conductors_and_unusable_sizes_are_refused():
    subsets = subsets_of(members_of("api", 5), viewers_of(1, ("api",)))
    with pytest.raises(UnknownViewer):
        subsets.view("nobody")
    for size in (0.0, -1.0, float("inf"), float("nan")):
        with pytest.raises(InvalidMember):
            subsets.put_member(Member("odd", *ZONES[0], "api", size, True))
    assert subsets.holders("odd") == frozenset()


def test_more_services_than_fit_at_two_nodes_each_are_refused_until_they_fit():
    services = tuple(f"service-{number}" for number in range(7))
    members = [member for service in services for member in members_of(service, 4)]
    subsets = subsets_of(members, [Viewer("greedy", *ZONES[0], services), Viewer("all", *ZONES[0], ())])
    for name in ("greedy", "all"):
        with pytest.raises(TooManyServices) as refused:
            subsets.view(name)
        assert (refused.value.needed, refused.value.capacity) == (14, 12)
    for member in members_of(services[0], 4):
        subsets.drop_member(member.id)
    assert subsets.take_changed() == {"greedy", "all"}
    assert len(subsets.view("greedy")) == len(subsets.view("all")) == 12


@pytest.mark.parametrize("conductors", [40, 80, 300])
def test_busiest_to_mean_is_within_the_overload_and_none_is_unseen(conductors):
    sizes = (1.0, 2.0, 4.0)
    members = [
        member._replace(size=sizes[number % len(sizes)])
        for number, member in enumerate(members_of("api", 150))
    ]
    subsets = subsets_of(members, viewers_of(conductors, ("api",)), ViewLimits(most_members=50))
    seats = sum(len(subsets.view(viewer.name)) for viewer in viewers_of(conductors, ("api",)))
    by_size = seats / sum(member.size for member in members)
    for member in members:
        expected = by_size * member.size
        holders = len(subsets.holders(member.id))
        assert 0 < holders <= min(conductors, max(1.25 * expected, expected + 1))


@pytest.mark.parametrize("conductors", range(10, 41, 5))
def test_none_is_unseen_where_seats_just_suffice(conductors):
    members = members_of("api", 95)
    subsets = subsets_of(members, viewers_of(conductors, ("api",)))
    seen = Counter(
        member_id for viewer in viewers_of(conductors, ("api",)) for member_id in subsets.view(viewer.name)
    )
    assert len(seen) == len(members)
    mean = sum(seen.values()) / len(members)
    assert max(seen.values()) <= max(1.25 * mean, mean + 1)


def test_with_fewer_seats_than_nodes_no_node_is_held_twice():
    viewers = viewers_of(4, ("api",))
    subsets = subsets_of(members_of("api", 300), viewers)
    seen = Counter(member_id for viewer in viewers for member_id in subsets.view(viewer.name))
    assert max(seen.values()) == 1
    assert sum(seen.values()) == 4 * 10
