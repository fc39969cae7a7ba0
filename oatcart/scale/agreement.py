"""Checks that hollow controllers behave like real ones under the same list, changes and peer messages.

The checks compare bytes and messages exchanged with discovery and with the peers, which may differ by a
tenth; the cached revisions; the known endpoints; and the tables of the proxies. For each route, the tables of
both must contain the same endpoints, and the same endpoints must be ejected. Weights depend on load reports,
which the two process at different times; so nine tenths of a table's weight must be on the same endpoints,
and the tables have some seconds to reach this.

If there are more endpoints than the update channel can carry, each table gets a subset of them. The subset is
drawn at random and depends on timing, so tables should be compared only with fewer endpoints.

Processor time may differ: its ratio is measured, and a hollow controller's time has to be multiplied by it.
"""

import time
from collections.abc import Iterator, Mapping
from statistics import fmean
from typing import NamedTuple

from oatcart.scale.discovery import ClientFigures
from oatcart.scale.hollow import ControllerTables
from oatcart.scale.interrupts import sleep
from oatcart.scale.peers import PeerTraffic
from oatcart.scale.trial import Reading, Trial, make_changes, running
from oatcart.scale.trial_settings import TrialSettings

MAX_RELATIVE_DIFFERENCE = 0.1  # of bytes and messages, as a share of the real controller's
MIN_COMMON_WEIGHT = 0.9  # share of a table's weight that is on the same endpoints
COMMANDS_AGREE_WITHIN_S = 4.0  # after the warm-up of the endpoint that restarted last
POLL_INTERVAL_S = 0.5  # of the tables of the proxies
# The controllers eject failing endpoints only after several load reports that show the failures.
EJECTED_WITHIN_S = 10.0


class ComparedFigure(NamedTuple):
    """One figure of a hollow and a real controller, each the mean over all controllers of its type."""

    name: str
    hollow: float
    real: float
    agrees: bool

    @property
    def ratio(self) -> float:
        """The hollow controller's figure divided by the real one's; 1 if both are 0."""
        if self.real:
            return self.hollow / self.real
        return 1.0 if not self.hollow else float("inf")


class Agreement(NamedTuple):
    """The result; `core_ratio` is the processor time of a real controller divided by a hollow one's."""

    figures: list[ComparedFigure]
    core_ratio: float

    @property
    def agrees(self) -> bool:
        """Whether all figures agree, so that measurements of hollow controllers are valid."""
        return all(figure.agrees for figure in self.figures)

    def text(self) -> str:
        """Returns one line of text for each figure."""
        return "\n".join(
            f"{one.name}: hollow {one.hollow:.4g}, real {one.real:.4g}, ratio {one.ratio:.3f}, "
            f"{'agrees' if one.agrees else 'DIFFERS'}"
            for one in self.figures
        )


def compare(settings: TrialSettings, failing_count: int = 1) -> Agreement:
    """Runs one trial with equally many hollow and real controllers and `failing_count` failing endpoints.

    Raises ValueError unless both numbers are equal and above 0.
    """
    if not settings.hollow == settings.real > 0:
        raise ValueError(
            f"expected equally many hollow and real controllers to be paired, "
            f"got {settings.hollow} and {settings.real}"
        )
    with running(settings) as trial:
        trial.start()
        trial.join_peers(keep_tables=True)
        sleep(settings.settle_s)
        before = trial.read()
        sleep(settings.measure_s)
        after = trial.read()
        make_changes([trial], settings.changes, settings.changes_per_s)
        trial.wait_for_changes()
        fail_endpoints(trial, failing_count)
        command_figures = wait_for_equal_commands(trial)
        figures = [*compare_traffic(trial, trial.read()), *command_figures]
        return Agreement(figures, core_ratio(before, after))


def fail_endpoints(trial: Trial, count: int) -> None:
    """Makes `count` endpoints fail every request, and waits until each real controller has ejected one."""
    if count:
        endpoints = [endpoint.id for endpoint in trial.plan.endpoints[:count]]
        trial.hollow_controllers.fail(endpoints)
        trial.peers.fail(endpoints)
        until = time.monotonic() + EJECTED_WITHIN_S
        while not all(map(ejected_endpoints, trial.peers.tables())) and time.monotonic() < until:
            sleep(POLL_INTERVAL_S)


def core_ratio(before: Reading, after: Reading) -> float:
    """Returns the mean processor time of real controllers divided by that of hollow ones."""
    hollow = [
        now.core_s - then.core_s
        for then, now in zip(before.hollow.controllers, after.hollow.controllers, strict=True)
    ]
    real = [now.core_s - then.core_s for then, now in zip(before.real, after.real, strict=True)]
    return fmean(real) / fmean(hollow)


def compare_traffic(trial: Trial, reading: Reading) -> Iterator[ComparedFigure]:
    """Compares all bytes and messages since the start, and the cached revisions."""
    clients = reading.discovery.clients
    for field in ClientFigures._fields:
        yield within_tolerance(
            f"discovery {field}",
            *(
                fmean(getattr(clients[name], field) for name in names)
                for names in (trial.hollow_names, trial.real_names)
            ),
        )
    _, real = trial.peers.figures()
    hollow = [
        PeerTraffic(one.peer_bytes_in, one.peer_bytes_out, one.peer_messages_in, one.peer_messages_out)
        for one in reading.hollow.controllers
    ]
    for field in "bytes_in", "bytes_out", "messages_in", "messages_out":
        yield within_tolerance(
            f"peers {field}", *(fmean(getattr(one, field) for one in some) for some in (hollow, real))
        )
    revisions = trial.acknowledged_revisions()
    yield equal(
        "revision",
        *(
            fmean(revisions[name][-1].revision for name in names)
            for names in (trial.hollow_names, trial.real_names)
        ),
    )


def wait_for_equal_commands(trial: Trial) -> list[ComparedFigure]:
    """Compares the commands until they agree or the time for this is over; returns the last comparison.

    A restarted endpoint returns to the tables as it warms up, in a different round at each controller.
    """
    until = time.monotonic() + trial.settings.warm_up_s + COMMANDS_AGREE_WITHIN_S
    while True:
        figures = list(compare_commands(trial))
        if all(figure.agrees for figure in figures) or time.monotonic() > until:
            return figures
        sleep(POLL_INTERVAL_S)


def compare_commands(trial: Trial) -> Iterator[ComparedFigure]:
    """Compares the tables of the proxies of each pair of controllers, summed over all pairs.

    The endpoints that a real controller knows cannot be read from outside; those in its commands can.
    """
    pairs = list(zip(trial.hollow_controllers.tables(), trial.peers.tables(), strict=True))
    in_hollow_tables = [endpoints_in_tables(one) for one, _ in pairs]
    yield equal(
        "endpoints in commands",
        sum(map(len, in_hollow_tables)),
        sum(len(endpoints_in_tables(other)) for _, other in pairs),
    )
    yield no_difference(
        "endpoints in commands of one of a pair only",
        sum(
            len(endpoints ^ endpoints_in_tables(other))
            for endpoints, (_, other) in zip(in_hollow_tables, pairs, strict=True)
        ),
    )
    yield no_difference(
        "endpoints in commands that the hollow controller does not know",
        sum(len(endpoints_in_tables(other) - set(one.known)) for one, other in pairs),
    )
    yield no_difference(
        "table entries at one of a pair only",
        sum(len(table_entries(one) ^ table_entries(other)) for one, other in pairs),
    )
    yield equal(
        "endpoints ejected", *(sum(len(ejected_endpoints(pair[side])) for pair in pairs) for side in (0, 1))
    )
    yield no_difference(
        "endpoints ejected at one of a pair only",
        sum(len(ejected_endpoints(one) ^ ejected_endpoints(other)) for one, other in pairs),
    )
    common = min(
        common_weight(table, other.tables[proxy]["weights"][route])
        for one, other in pairs
        for proxy, proxy_tables in one.tables.items()
        for route, table in proxy_tables["weights"].items()
        if route in other.tables[proxy]["weights"]
    )
    yield ComparedFigure("smallest common weight of a table", common, 1.0, common >= MIN_COMMON_WEIGHT)


def within_tolerance(name: str, hollow: float, real: float) -> ComparedFigure:
    """Compares a figure that may differ by a tenth."""
    return ComparedFigure(name, hollow, real, abs(hollow - real) <= MAX_RELATIVE_DIFFERENCE * real)


def equal(name: str, hollow: float, real: float) -> ComparedFigure:
    """Compares a figure that must be the same."""
    return ComparedFigure(name, hollow, real, hollow == real)


def no_difference(name: str, differing: int) -> ComparedFigure:
    """Checks that a count of differences is 0."""
    return ComparedFigure(name, differing, 0, differing == 0)


def endpoints_in_tables(controller_tables: ControllerTables) -> set[str]:
    """Returns all endpoints in the tables of a controller's proxies."""
    return {endpoint for _, _, endpoint in table_entries(controller_tables)}


def table_entries(controller_tables: ControllerTables) -> set[tuple[str, str, str]]:
    """Returns proxy, route and endpoint of each table entry that has a weight."""
    return {
        (proxy, route, endpoint)
        for proxy, one in controller_tables.tables.items()
        for route, table in one["weights"].items()
        for endpoint in table
    }


def ejected_endpoints(controller_tables: ControllerTables) -> set[tuple[str, str]]:
    """Returns proxy and endpoint of each endpoint that is ejected at a proxy."""
    return {
        (proxy, endpoint) for proxy, one in controller_tables.tables.items() for endpoint in one["shut_out"]
    }


def common_weight(one: Mapping[str, float], other: Mapping[str, float]) -> float:
    """Returns the share of two tables' weight that is on the same endpoints, from 0 to 1.

    >>> common_weight({"a": 1.0, "b": 1.0}, {"a": 3.0, "b": 1.0})
    0.75
    """
    total, other_total = sum(one.values()), sum(other.values())
    if not total or not other_total:
        return float(total == other_total)
    return sum(
        min(weight / total, other.get(endpoint, 0.0) / other_total) for endpoint, weight in one.items()
    )
