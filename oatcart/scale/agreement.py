"""Do hollow controllers agree with real ones? The same list, changes and arrivals are played at both and
compared.

Compared are: bytes and messages exchanged with discovery and with the peers, which may differ by a tenth; the
revisions held; the endpoints known; and what stands at the proxies. Tables must name the same endpoints,
route by route, and the same endpoints must be shut out. Weights follow from reports, which the two fold in at
other moments; so nine tenths of a table's weight must lie on the same endpoints, and they get some seconds to
come to this.

With more endpoints than the channel to the proxies carries, each table gets a part of them; which part is a
draw that depends on the moment, so agreement in tables is to be asked for with fewer.

Processor time is not equal and need not be: its ratio is measured, and a hollow controller's time is to be
multiplied by it.
"""

import time
from collections.abc import Iterator, Mapping
from statistics import fmean
from typing import NamedTuple

from oatcart.scale.discovery import ClientFigures
from oatcart.scale.hollow import ControllerTables
from oatcart.scale.peers import PeerTraffic
from oatcart.scale.trial import Reading, Trial, make_changes, running
from oatcart.scale.trial_settings import TrialSettings

DIFFERENCE_MOST = 0.1  # of bytes and messages, as a part of the real controller's
COMMON_WEIGHT_LEAST = 0.9  # of a table's weight on the same endpoints
ORDERS_AFTER_WARM_S = 4.0  # from when an endpoint restarted last is warm until the same orders stand
LOOK_EVERY_S = 0.5  # at the orders that stand
WITHDRAWN_WITHIN_S = (
    10.0  # from failing endpoints until the module has withdrawn them: several sums must show it
)


class Compared(NamedTuple):
    """One figure of a hollow and a real controller, both means over all controllers of the kind."""

    name: str
    hollow: float
    real: float
    agrees: bool

    @property
    def ratio(self) -> float:
        """The hollow controller's figure as a part of the real one's; 1 where both are 0."""
        if self.real:
            return self.hollow / self.real
        return 1.0 if not self.hollow else float("inf")


class Agreement(NamedTuple):
    """The outcome; `core_ratio` is the processor time of a real controller divided by a hollow one's."""

    figures: list[Compared]
    core_ratio: float

    @property
    def agrees(self) -> bool:
        """Whether hollow controllers count."""
        return all(figure.agrees for figure in self.figures)

    def text(self) -> str:
        """A line for each figure."""
        return "\n".join(
            f"{one.name}: hollow {one.hollow:.4g}, real {one.real:.4g}, ratio {one.ratio:.3f}, "
            f"{'agrees' if one.agrees else 'DIFFERS'}"
            for one in self.figures
        )


def compare(settings: TrialSettings, failing: int = 1) -> Agreement:
    """Plays one trial with as many hollow controllers as real ones, and so many failing endpoints."""
    if not settings.hollow == settings.real > 0:
        raise ValueError(f"{settings.hollow} hollow and {settings.real} real conductors cannot be paired")
    with running(settings) as trial:
        trial.start()
        trial.join_peers(keep_tables=True)
        time.sleep(settings.settle_s)
        quiet_from = trial.read()
        time.sleep(settings.quiet_s)
        quiet_until = trial.read()
        make_changes([trial], settings.changes, settings.changes_per_s)
        trial.wait_for_changes()
        fail_endpoints(trial, failing)
        orders = settled_orders(trial)
        figures = [*compare_traffic(trial, trial.read()), *orders]
        return Agreement(figures, core_ratio(quiet_from, quiet_until))


def fail_endpoints(trial: Trial, failing: int) -> None:
    """Lets some endpoints fail every request, until every real controller's proxies have ejected one."""
    if failing:
        endpoints = [endpoint.id for endpoint in trial.plan.endpoints[:failing]]
        trial.hollow_controllers.fail(endpoints)
        trial.peers.fail(endpoints)
        until = time.monotonic() + WITHDRAWN_WITHIN_S
        while not all(map(shut_out, trial.peers.tables())) and time.monotonic() < until:
            time.sleep(LOOK_EVERY_S)


def core_ratio(before: Reading, after: Reading) -> float:
    """Processor time of the mean real controller divided by the mean hollow one's, in a quiet span."""
    hollow = [
        now.core_s - then.core_s
        for then, now in zip(before.hollow.controllers, after.hollow.controllers, strict=True)
    ]
    real = [now.core_s - then.core_s for then, now in zip(before.real, after.real, strict=True)]
    return fmean(real) / fmean(hollow)


def compare_traffic(trial: Trial, reading: Reading) -> Iterator[Compared]:
    """All bytes and messages since the start, and the revisions held."""
    clients = reading.discovery.clients
    for field in ClientFigures._fields:
        yield within(
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
        yield within(
            f"peers {field}", *(fmean(getattr(one, field) for one in some) for some in (hollow, real))
        )
    held = trial.acknowledged_revisions()
    yield same(
        "revision",
        *(
            fmean(held[name][-1].revision for name in names)
            for names in (trial.hollow_names, trial.real_names)
        ),
    )


def settled_orders(trial: Trial) -> list[Compared]:
    """The orders compared once they agree, or as they stand after the time that they are given.

    An endpoint that was restarted gets its lines back as it warms up, at each controller in a round of its
    own.
    """
    until = time.monotonic() + trial.settings.warm_up_s + ORDERS_AFTER_WARM_S
    while True:
        figures = list(compare_orders(trial))
        if all(figure.agrees for figure in figures) or time.monotonic() > until:
            return figures
        time.sleep(LOOK_EVERY_S)


def compare_orders(trial: Trial) -> Iterator[Compared]:
    """What stands at the proxies of each pair of controllers, summed up over all pairs.

    Which endpoints a real controller knows cannot be read from outside: those that its orders name can.
    """
    pairs = list(zip(trial.hollow_controllers.tables(), trial.peers.tables(), strict=True))
    ordered = [named_endpoints(one) for one, _ in pairs]
    yield same(
        "nodes ordered", sum(map(len, ordered)), sum(len(named_endpoints(other)) for _, other in pairs)
    )
    yield none(
        "nodes ordered by one of a pair only",
        sum(
            len(endpoints ^ named_endpoints(other))
            for endpoints, (_, other) in zip(ordered, pairs, strict=True)
        ),
    )
    yield none(
        "nodes ordered that a hollow one does not know",
        sum(len(named_endpoints(other) - set(one.known)) for one, other in pairs),
    )
    yield none(
        "lines of tables at one of a pair only",
        sum(len(table_lines(one) ^ table_lines(other)) for one, other in pairs),
    )
    yield same("nodes shut out", *(sum(len(shut_out(pair[side])) for pair in pairs) for side in (0, 1)))
    yield none(
        "nodes shut out at one of a pair only",
        sum(len(shut_out(one) ^ shut_out(other)) for one, other in pairs),
    )
    common = min(
        common_weight(table, other.tables[proxy]["weights"][route])
        for one, other in pairs
        for proxy, held in one.tables.items()
        for route, table in held["weights"].items()
        if route in other.tables[proxy]["weights"]
    )
    yield Compared("least weight in common of a table", common, 1.0, common >= COMMON_WEIGHT_LEAST)


def within(name: str, hollow: float, real: float) -> Compared:
    """A figure that may differ by a tenth."""
    return Compared(name, hollow, real, abs(hollow - real) <= DIFFERENCE_MOST * real)


def same(name: str, hollow: float, real: float) -> Compared:
    """A figure that must be the same."""
    return Compared(name, hollow, real, hollow == real)


def none(name: str, differing: int) -> Compared:
    """A count of differences, of which there must be none."""
    return Compared(name, differing, 0, differing == 0)


def named_endpoints(held: ControllerTables) -> set[str]:
    """All endpoints that some table of a controller's proxies names."""
    return {endpoint for _, _, endpoint in table_lines(held)}


def table_lines(held: ControllerTables) -> set[tuple[str, str, str]]:
    """Proxy, route and endpoint of each line with a weight."""
    return {
        (proxy, route, endpoint)
        for proxy, one in held.tables.items()
        for route, table in one["weights"].items()
        for endpoint in table
    }


def shut_out(held: ControllerTables) -> set[tuple[str, str]]:
    """Proxy and endpoint of each withdrawal that stands."""
    return {(proxy, endpoint) for proxy, one in held.tables.items() for endpoint in one["shut_out"]}


def common_weight(one: Mapping[str, float], other: Mapping[str, float]) -> float:
    """The part of two tables' weight that lies on the same endpoints, from 0 to 1.

    >>> common_weight({"a": 1.0, "b": 1.0}, {"a": 3.0, "b": 1.0})
    0.75
    """
    whole, other_whole = sum(one.values()), sum(other.values())
    if not whole or not other_whole:
        return float(whole == other_whole)
    return sum(
        min(weight / whole, other.get(endpoint, 0.0) / other_whole) for endpoint, weight in one.items()
    )
