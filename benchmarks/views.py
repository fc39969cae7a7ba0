"""Balance, moves and cost of views: python -m benchmarks.views [--quick] [--seed N]

Draws fleets with `oatcart.scale.fleet`, up to the size of the operators' plan, and one with the plan's
endpoints and a quarter of its controllers. Measures the size of views, how evenly endpoints are distributed,
missing zones, the assignments that single changes move beyond the share of the controller or endpoint, and
the processor time of all views and of one change. Then, at the largest size, measures the loss of a zone, a
partition between regions, and control roles with different records. The last line of the output is one JSON
object.
"""

import argparse
import json
import resource
from collections import defaultdict
from dataclasses import asdict, replace
from random import Random

from benchmarks.views_measures import (
    Fleet,
    TrackedViews,
    Views,
    all_views,
    balance,
    controller_moves,
    decided_views,
    drawn_fleet,
    endpoint_moves,
    pairs_moved,
    processor_ms,
    short_of_zones,
)
from oatcart.scale.configuration import FleetSettings
from oatcart.views.fleet_views import FleetViews

PLAN_ENDPOINTS = FleetSettings().nodes
FEWER_CONTROLLERS = 4  # the plan's controllers are divided by this in one fleet
CHANGES = {True: 30, False: 200}  # single changes of each kind, quick and full
SIZES = {True: (PLAN_ENDPOINTS // 8, PLAN_ENDPOINTS // 2, PLAN_ENDPOINTS), False: (3375, 6750, 13500, 27000)}
UNKNOWN = 10  # endpoints, and as many controllers, that one control role does not know


def measure_size(settings: FleetSettings, changes: int, seed: int) -> dict[str, object]:
    """Measures a fleet of one size; returns the figures by their keys in the JSON line."""
    fleet = drawn_fleet(settings, seed)
    decided: list[FleetViews] = []
    all_ms = processor_ms(lambda: decided.append(decided_views(fleet, seed)))
    fleet_views = decided[0]
    views = all_views(fleet_views, fleet.controllers)
    sizes = [len(view) for view in views.values()]
    random = Random(seed)
    tracked = TrackedViews(fleet_views, views)
    return {
        "nodes": len(fleet.endpoints),
        "conductors": len(fleet.controllers),
        "largest_view": max(sizes),
        "mean_view": sum(sizes) / len(sizes),
        "balance": asdict(balance(fleet, views)),
        "short_of_zones": short_of_zones(fleet, views),
        "all_views_s": all_ms / 1000,
        "node_moves": asdict(endpoint_moves(fleet, tracked, changes, random)),
        "conductor_moves": asdict(controller_moves(fleet, tracked, changes, random)),
        "resident_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def measure_faults(settings: FleetSettings, seed: int) -> dict[str, object]:
    """Measures the loss and return of a zone, a partition between regions, and control roles with different
    records."""
    fleet = drawn_fleet(settings, seed)
    fleet_views = decided_views(fleet, seed)
    before = all_views(fleet_views, fleet.controllers)
    return {
        "zone_lost": measure_zone_loss(fleet, fleet_views, before),
        "region_apart": measure_region_partition(fleet, seed),
        "machines_differ": measure_role_differences(fleet, before, seed),
    }


def measure_zone_loss(fleet: Fleet, fleet_views: FleetViews, before: Views) -> dict[str, object]:
    """Removes the zone with most endpoints, with its controllers, and adds it again."""
    counts: dict[str, int] = defaultdict(int)
    for endpoint in fleet.endpoints.values():
        counts[endpoint.zone] += 1
    lost_zone = max(counts, key=counts.__getitem__)
    endpoints = [endpoint for endpoint in fleet.endpoints.values() if endpoint.zone == lost_zone]
    controllers = [controller for controller in fleet.controllers.values() if controller.zone == lost_zone]
    removed = {controller.name for controller in controllers}
    share = sum(len(before[name]) for name in removed)
    share += sum(len(fleet_views.holders(endpoint.id) - removed) for endpoint in endpoints)

    def remove_zone() -> None:
        for endpoint in endpoints:
            fleet_views.remove_endpoint(endpoint.id)
        for controller in controllers:
            fleet_views.remove_controller(controller.name)
        fleet_views.pop_changed()

    def restore_zone() -> None:
        fleet_views.put_endpoints(endpoints)
        fleet_views.put_controllers(controllers)
        fleet_views.pop_changed()

    lose_ms = processor_ms(remove_zone)
    remaining = without_zone(fleet, lost_zone)
    after = all_views(fleet_views, remaining.controllers)
    heal_ms = processor_ms(restore_zone)
    return {
        "nodes": len(endpoints),
        "conductors": len(controllers),
        "share": share,
        "beyond_to_share": (pairs_moved(before, after) - share) / share,
        "short_of_zones": short_of_zones(remaining, after),
        "healed_as_before": all_views(fleet_views, fleet.controllers) == before,
        "lose_s": lose_ms / 1000,
        "heal_s": heal_ms / 1000,
    }


def without_zone(fleet: Fleet, zone: str) -> Fleet:
    """The records outside a zone."""
    return Fleet(
        {one.id: one for one in fleet.endpoints.values() if one.zone != zone},
        {one.name: one for one in fleet.controllers.values() if one.zone != zone},
    )


def measure_region_partition(fleet: Fleet, seed: int) -> dict[str, object]:
    """Decides the views of a control role that knows only the endpoints and controllers of its region."""
    region = min(controller.region for controller in fleet.controllers.values())
    regional = Fleet(
        {one.id: one for one in fleet.endpoints.values() if one.region == region},
        {one.name: one for one in fleet.controllers.values() if one.region == region},
    )
    views = all_views(decided_views(regional, seed), regional.controllers)
    return {
        "nodes": len(regional.endpoints),
        "conductors": len(regional.controllers),
        "largest_view": max(map(len, views.values())),
        "short_of_zones": short_of_zones(regional, views),
    }


def measure_role_differences(fleet: Fleet, views: Views, seed: int) -> dict[str, object]:
    """Compares the views of two control roles, one of which does not know some endpoints and controllers."""
    random = Random(seed)
    endpoints = dict(fleet.endpoints)
    controllers = dict(fleet.controllers)
    for endpoint_id in random.sample(sorted(endpoints), UNKNOWN):
        del endpoints[endpoint_id]
    for name in random.sample(sorted(controllers), UNKNOWN):
        del controllers[name]
    other = all_views(decided_views(Fleet(endpoints, controllers), seed), controllers)
    common = {name: view for name, view in views.items() if name in other}
    known = {name: view & endpoints.keys() for name, view in common.items()}
    return {
        "unknown_nodes": UNKNOWN,
        "unknown_conductors": UNKNOWN,
        "pairs": sum(map(len, common.values())),
        "pairs_that_differ": pairs_moved(known, other),
        "views_that_differ": sum(view != other[name] for name, view in common.items()),
    }


def print_size(figures: dict[str, object]) -> None:
    """Prints the figures of one fleet."""
    evenness = figures["balance"]
    print(
        f"{figures['conductors']} controllers x {figures['nodes']} endpoints: "
        f"views of {figures['largest_view']} endpoints at most, {figures['mean_view']:.0f} in the mean; "
        f"all views {figures['all_views_s']:.2f} s, {figures['resident_mb']:.0f} MB"
    )
    print(
        f"    busiest to mean {evenness['busiest_to_mean']:.3f}, least {evenness['least_to_mean']:.3f}, "
        f"{evenness['over']} over, {evenness['unheld']} unheld, {figures['short_of_zones']} short of zones"
    )
    for kind, key in (("endpoint", "node_moves"), ("controller", "conductor_moves")):
        moves = figures[key]
        print(
            f"    {moves['changes']} {kind}s removed and added: beyond the share "
            f"{moves['beyond_to_share']:.4f} of it, "
            f"at most {moves['most_beyond_to_share']:.4f} and {moves['most_beyond_pairs']} pairs, "
            f"{moves['exceeding']} beyond a twentieth; {moves['median_ms']:.1f} ms, "
            f"longest {moves['longest_ms']:.1f}",
            flush=True,
        )


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="fewer sizes and changes")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    plan = FleetSettings()
    fleets = [plan.scaled_to(nodes) for nodes in SIZES[arguments.quick]]
    fleets.append(replace(plan, conductors=plan.conductors // FEWER_CONTROLLERS))
    sizes = []
    for settings in fleets:
        sizes.append(measure_size(settings, CHANGES[arguments.quick], arguments.seed))
        print_size(sizes[-1])
    fault_figures = measure_faults(plan, arguments.seed)
    for name, figures in fault_figures.items():
        print(f"{name}: " + ", ".join(f"{key} {value}" for key, value in figures.items()), flush=True)
    print(
        json.dumps(
            {"seed": arguments.seed, "quick": arguments.quick, "sizes": sizes, "troubles": fault_figures}
        )
    )


if __name__ == "__main__":
    main()
