"""Balance, moves and cost of views: python -m benchmarks.views [--quick] [--seed N]

For fleets drawn as `oatcart.scale.fleet` draws them, up to the operators' plan, and for the plan's nodes with
a quarter of its conductors: how large views are, how evenly nodes are held, what is missing, what single
changes move beyond the share of the conductor or node, and the processor time of all views and of one change.
Then, at the largest size, a lost zone, regions cut apart, and control machines that differ in what they know.
The last line is one JSON object.
"""

import argparse
import json
import math
import resource
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from random import Random

import numpy

from oatcart.scale.configuration import FleetSettings
from oatcart.scale.fleet import plan_fleet
from oatcart.views.holder_limits import expected_holders
from oatcart.views.records import Controller, Endpoint, ViewLimits
from oatcart.views.subsets import Subsets

PLAN_NODES = FleetSettings().nodes
FEWER_CONDUCTORS = 4  # the plan's conductors are divided by this in one fleet
CHANGES = {True: 30, False: 200}  # single changes of each kind, quick and full
SIZES = {True: (PLAN_NODES // 8, PLAN_NODES // 2, PLAN_NODES), False: (3375, 6750, 13500, 27000)}
ALLOWED_PART = 0.05  # of the share, that a change may move beyond it
UNKNOWN = 10  # nodes and conductors of which one control machine has not heard
LEAST_EXPECTED = 4.0  # holders; below, whole numbers alone exceed the overload

Views = dict[str, frozenset[str]]


@dataclass(frozen=True)
class Fleet:
    """The records of a drawn fleet."""

    endpoints: dict[str, Endpoint]
    controllers: dict[str, Controller]


@dataclass
class Balance:
    """How evenly the nodes are held, by conductors that do not hold their service whole.

    `busiest_to_mean` and `least_to_mean`: holders over the proportional number, of nodes with
    `LEAST_EXPECTED` or more that are not meant for every conductor. `over`: nodes beyond the overload.
    `unseen`: nodes without holder though their service has conductors with as many seats as nodes.
    """

    busiest_to_mean: float
    least_to_mean: float
    over: int
    unseen: int


@dataclass
class Moves:
    """Pairs that single changes move.

    `beyond_to_share`: what is moved beyond the share, over the share, of all changes; `most_`: of one change.
    `exceeding`: changes that move more than the share and a twentieth of it, rounded up to a whole pair.
    """

    changes: int
    beyond_to_share: float
    most_beyond_to_share: float
    most_beyond_pairs: int
    exceeding: int
    median_ms: float
    longest_ms: float


def drawn_fleet(settings: FleetSettings, seed: int) -> Fleet:
    """A fleet as records of the views."""
    plan = plan_fleet(settings, seed)
    endpoints = {
        node.id: Endpoint(node.id, node.region, node.zone, node.service, float(node.size), True)
        for node in plan.nodes
    }
    controllers = {
        one.name: Controller(one.name, one.region, one.zone, one.services) for one in plan.conductors
    }
    return Fleet(endpoints, controllers)


def settled(fleet: Fleet, seed: int) -> Subsets:
    """The views of a fleet, decided."""
    subsets = Subsets(ViewLimits(), seed)
    subsets.put_endpoints(fleet.endpoints.values())
    subsets.put_controllers(fleet.controllers.values())
    subsets.pop_changed()
    return subsets


def all_views(subsets: Subsets, names: "dict[str, Controller]") -> Views:
    """Every conductor's view."""
    return {name: frozenset(subsets.view(name)) for name in names}


def pairs_moved(before: Views, after: Views) -> int:
    """The larger of the pairs lost and the pairs gained."""
    nobody: frozenset[str] = frozenset()
    lost = sum(len(view - after.get(name, nobody)) for name, view in before.items())
    gained = sum(len(view - before.get(name, nobody)) for name, view in after.items())
    return max(lost, gained)


def processor_ms(action: Callable[[], object]) -> float:
    """The processor time that an action takes, in ms."""
    started = time.process_time()
    action()
    return 1000 * (time.process_time() - started)


def balance(fleet: Fleet, views: Views) -> Balance:
    """How evenly nodes are held, service by service."""
    endpoints_of = by_service(fleet)
    held_of: dict[str, dict[str, set[str]]] = {service: {} for service in endpoints_of}
    for name, view in views.items():
        for service in fleet.controllers[name].services:
            held_of[service][name] = {
                endpoint.id for endpoint in endpoints_of[service] if endpoint.id in view
            }
    ratios: list[float] = []
    over = unseen = 0
    for service, endpoints in endpoints_of.items():
        partial = [held for held in held_of[service].values() if len(held) < len(endpoints)]
        if not partial:
            continue
        seats = sum(map(len, partial))
        sizes = numpy.array([endpoint.nominal_weight for endpoint in endpoints])
        holders = numpy.array([sum(endpoint.id in held for held in partial) for endpoint in endpoints])
        expected = expected_holders(sizes, seats, len(partial))
        counted = (expected >= LEAST_EXPECTED) & (expected < len(partial))
        ratios.extend((holders[counted] / expected[counted]).tolist())
        over += int((holders > numpy.maximum(ViewLimits().overload * expected, numpy.ceil(expected))).sum())
        if seats >= len(endpoints) and len(partial) == len(held_of[service]):
            unseen += int((holders == 0).sum())
    return Balance(max(ratios, default=1.0), min(ratios, default=1.0), over, unseen)


def by_service(fleet: Fleet) -> dict[str, list[Endpoint]]:
    """The nodes of each service."""
    groups: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in fleet.endpoints.values():
        groups[endpoint.service].append(endpoint)
    return groups


def short_of_zones(fleet: Fleet, views: Views) -> int:
    """Services of conductors without ready nodes in two zones, or in one where the service has no two."""
    zones_there = {
        service: len({(endpoint.region, endpoint.zone) for endpoint in endpoints if endpoint.ready})
        for service, endpoints in by_service(fleet).items()
    }
    short = 0
    for name, view in views.items():
        zones: dict[str, set[tuple[str, str]]] = defaultdict(set)
        for endpoint in (fleet.endpoints[endpoint_id] for endpoint_id in view):
            if endpoint.ready:
                zones[endpoint.service].add((endpoint.region, endpoint.zone))
        short += sum(
            len(zones[service]) < min(2, zones_there.get(service, 0))
            for service in fleet.controllers[name].services
        )
    return short


class Watched:
    """Views kept up to date by the changes that `Subsets` tells."""

    def __init__(self, subsets: Subsets, views: Views) -> None:
        self.subsets = subsets
        self.views = dict(views)

    def after(self, change: Callable[[], None], gone: str | None = None) -> float:
        """Make a change and take its views in; the processor time that it took to decide, in ms."""
        changed: list[frozenset[str]] = []

        def decide() -> None:
            change()
            changed.append(self.subsets.pop_changed())

        took = processor_ms(decide)
        self.views.pop(gone, None)
        for name in changed[0]:
            self.views[name] = frozenset(self.subsets.view(name))
        return took


def endpoint_moves(fleet: Fleet, watched: Watched, changes: int, random: Random) -> Moves:
    """Nodes, drawn at random, go and come back."""
    subsets = watched.subsets
    tally = Tally()
    for endpoint_id in random.sample(sorted(fleet.endpoints), min(changes, len(fleet.endpoints))):
        before = dict(watched.views)
        share = len(subsets.holders(endpoint_id))
        went = watched.after(lambda endpoint_id=endpoint_id: subsets.remove_endpoint(endpoint_id))
        tally.add(share, pairs_moved(before, watched.views))
        came = watched.after(
            lambda endpoint_id=endpoint_id: subsets.put_endpoint(fleet.endpoints[endpoint_id])
        )
        tally.durations += [went, came]
        assert_back(before, watched.views, endpoint_id)
    return tally.moves()


def controller_moves(fleet: Fleet, watched: Watched, changes: int, random: Random) -> Moves:
    """Conductors, drawn at random, go and come back."""
    subsets = watched.subsets
    tally = Tally()
    for name in random.sample(sorted(fleet.controllers), min(changes, len(fleet.controllers))):
        before = dict(watched.views)
        went = watched.after(lambda name=name: subsets.remove_controller(name), gone=name)
        tally.add(len(before[name]), pairs_moved(before, watched.views))
        came = watched.after(lambda name=name: subsets.put_controller(fleet.controllers[name]))
        tally.durations += [went, came]
        assert_back(before, watched.views, name)
    return tally.moves()


def assert_back(before: Views, after: Views, name: str) -> None:
    """A change undone leaves the views as they were."""
    if after != before:
        raise AssertionError(f"{name} came back and the views are others")


class Tally:
    """Shares and moves of single changes."""

    def __init__(self) -> None:
        self.shares: list[int] = []
        self.beyond: list[int] = []
        self.durations: list[float] = []

    def add(self, share: int, moved: int) -> None:
        """One change."""
        self.shares.append(share)
        self.beyond.append(moved - share)

    def moves(self) -> Moves:
        """The figures of all changes."""
        changes = list(zip(self.beyond, self.shares, strict=True))
        return Moves(
            len(changes),
            sum(self.beyond) / max(1, sum(self.shares)),
            max(beyond / max(1, share) for beyond, share in changes),
            max(self.beyond),
            sum(beyond > math.ceil(ALLOWED_PART * share) for beyond, share in changes),
            float(numpy.median(self.durations)),
            max(self.durations),
        )


def at_one_size(settings: FleetSettings, changes: int, seed: int) -> dict[str, object]:
    """All that is measured at one size of the fleet."""
    fleet = drawn_fleet(settings, seed)
    decided: list[Subsets] = []
    all_ms = processor_ms(lambda: decided.append(settled(fleet, seed)))
    subsets = decided[0]
    views = all_views(subsets, fleet.controllers)
    sizes = [len(view) for view in views.values()]
    random = Random(seed)
    watched = Watched(subsets, views)
    return {
        "nodes": len(fleet.endpoints),
        "conductors": len(fleet.controllers),
        "largest_view": max(sizes),
        "mean_view": sum(sizes) / len(sizes),
        "balance": asdict(balance(fleet, views)),
        "short_of_zones": short_of_zones(fleet, views),
        "all_views_s": all_ms / 1000,
        "node_moves": asdict(endpoint_moves(fleet, watched, changes, random)),
        "conductor_moves": asdict(controller_moves(fleet, watched, changes, random)),
        "resident_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def troubles(settings: FleetSettings, seed: int) -> dict[str, object]:
    """A zone lost and back, regions cut apart, and a control machine that has not heard of some records."""
    fleet = drawn_fleet(settings, seed)
    subsets = settled(fleet, seed)
    before = all_views(subsets, fleet.controllers)
    return {
        "zone_lost": zone_lost(fleet, subsets, before),
        "region_apart": region_apart(fleet, seed),
        "machines_differ": machines_differ(fleet, before, seed),
    }


def zone_lost(fleet: Fleet, subsets: Subsets, before: Views) -> dict[str, object]:
    """The zone with most nodes goes, conductors and all, and comes back."""
    counts: dict[str, int] = defaultdict(int)
    for endpoint in fleet.endpoints.values():
        counts[endpoint.zone] += 1
    lost_zone = max(counts, key=counts.__getitem__)
    endpoints = [endpoint for endpoint in fleet.endpoints.values() if endpoint.zone == lost_zone]
    controllers = [controller for controller in fleet.controllers.values() if controller.zone == lost_zone]
    gone = {controller.name for controller in controllers}
    share = sum(len(before[name]) for name in gone)
    share += sum(len(subsets.holders(endpoint.id) - gone) for endpoint in endpoints)

    def lose() -> None:
        for endpoint in endpoints:
            subsets.remove_endpoint(endpoint.id)
        for controller in controllers:
            subsets.remove_controller(controller.name)
        subsets.pop_changed()

    def heal() -> None:
        subsets.put_endpoints(endpoints)
        subsets.put_controllers(controllers)
        subsets.pop_changed()

    lose_ms = processor_ms(lose)
    left = Fleet(
        {one.id: one for one in fleet.endpoints.values() if one.zone != lost_zone},
        {one.name: one for one in fleet.controllers.values() if one.zone != lost_zone},
    )
    after = all_views(subsets, left.controllers)
    heal_ms = processor_ms(heal)
    return {
        "nodes": len(endpoints),
        "conductors": len(controllers),
        "share": share,
        "beyond_to_share": (pairs_moved(before, after) - share) / share,
        "short_of_zones": short_of_zones(left, after),
        "healed_as_before": all_views(subsets, fleet.controllers) == before,
        "lose_s": lose_ms / 1000,
        "heal_s": heal_ms / 1000,
    }


def region_apart(fleet: Fleet, seed: int) -> dict[str, object]:
    """One region's control machine knows the nodes and conductors of its own region alone."""
    region = min(controller.region for controller in fleet.controllers.values())
    apart = Fleet(
        {one.id: one for one in fleet.endpoints.values() if one.region == region},
        {one.name: one for one in fleet.controllers.values() if one.region == region},
    )
    views = all_views(settled(apart, seed), apart.controllers)
    return {
        "nodes": len(apart.endpoints),
        "conductors": len(apart.controllers),
        "largest_view": max(map(len, views.values())),
        "short_of_zones": short_of_zones(apart, views),
    }


def machines_differ(fleet: Fleet, views: Views, seed: int) -> dict[str, object]:
    """Two control machines of which one has not heard of some nodes and conductors."""
    random = Random(seed)
    endpoints = dict(fleet.endpoints)
    controllers = dict(fleet.controllers)
    for endpoint_id in random.sample(sorted(endpoints), UNKNOWN):
        del endpoints[endpoint_id]
    for name in random.sample(sorted(controllers), UNKNOWN):
        del controllers[name]
    other = all_views(settled(Fleet(endpoints, controllers), seed), controllers)
    common = {name: view for name, view in views.items() if name in other}
    known = {name: view & endpoints.keys() for name, view in common.items()}
    return {
        "unknown_nodes": UNKNOWN,
        "unknown_conductors": UNKNOWN,
        "pairs": sum(map(len, common.values())),
        "pairs_that_differ": pairs_moved(known, other),
        "views_that_differ": sum(view != other[name] for name, view in common.items()),
    }


def show(found: dict[str, object]) -> None:
    """One size's figures in a few lines."""
    even = found["balance"]
    print(
        f"{found['conductors']} conductors x {found['nodes']} nodes: views of {found['largest_view']} nodes "
        f"at most, {found['mean_view']:.0f} in the mean; all views {found['all_views_s']:.2f} s, "
        f"{found['resident_mb']:.0f} MB"
    )
    print(
        f"    busiest to mean {even['busiest_to_mean']:.3f}, least {even['least_to_mean']:.3f}, "
        f"{even['over']} over, {even['unseen']} unseen, {found['short_of_zones']} short of zones"
    )
    for kind in ("node", "conductor"):
        moves = found[f"{kind}_moves"]
        print(
            f"    {moves['changes']} {kind}s go and come: beyond the share "
            f"{moves['beyond_to_share']:.4f} of it, "
            f"at most {moves['most_beyond_to_share']:.4f} and {moves['most_beyond_pairs']} pairs, "
            f"{moves['exceeding']} beyond a twentieth; {moves['median_ms']:.1f} ms, "
            f"longest {moves['longest_ms']:.1f}",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer sizes and changes")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    plan = FleetSettings()
    fleets = [plan.scaled_to(nodes) for nodes in SIZES[told.quick]]
    fleets.append(replace(plan, conductors=plan.conductors // FEWER_CONDUCTORS))
    sizes = []
    for settings in fleets:
        sizes.append(at_one_size(settings, CHANGES[told.quick], told.seed))
        show(sizes[-1])
    in_trouble = troubles(plan, told.seed)
    for name, found in in_trouble.items():
        print(f"{name}: " + ", ".join(f"{key} {value}" for key, value in found.items()), flush=True)
    print(json.dumps({"seed": told.seed, "quick": told.quick, "sizes": sizes, "troubles": in_trouble}))


if __name__ == "__main__":
    main()
