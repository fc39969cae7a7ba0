"""What a round costs by the size of the fleet: python -m benchmarks.rounds [--quick] [--profile WHICH]

A conductor's module and tables, with every message encoded and counted but no socket: proxies all join at
once, then quiet rounds with sums of what they met, then a third of the nodes drain. For each size the
processor time of the longest round and the mean a second of the fleet's time, and the memory that the
conductor holds; then by how much each grows from one size to the next (4 is linear).
"""

import argparse
import cProfile
import json
import pstats
import time
import tracemalloc
from random import Random

from oatcart.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointLoadReported,
    Event,
    ProxyJoined,
    ProxyLoadReported,
    UpdateAcknowledged,
)
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    EndpointState,
    Idempotency,
    LoadReport,
    RequestClass,
    WarmUpLimits,
)
from oatcart.net.codec import Codec
from oatcart.policy import Controller
from oatcart.routing_tables import RoutingTables

PROXIES, NODES = (100, 400, 1600), (50, 200, 800)
ZONES, KINDS = 4, 3
LOOK = 0.25  # s between rounds
PHASES = {"join": 4.0, "quiet": 6.0, "drain": 6.0}  # s of the fleet's time
HEARD = 120  # sums a second that a conductor is told


class Writer(RoutingTables):
    """The order writer of the benchmark: messages are encoded as on sockets, and acknowledged at once."""

    def __init__(self, codec: Codec) -> None:
        super().__init__(len(codec.request_class_names))
        self.codec, self.bytes, self.marks = codec, 0, []

    def tell(self) -> None:
        encoded: dict[tuple, bytes] = {}
        for proxy, parts in self.updates():
            if parts not in encoded:
                encoded[parts] = self.codec.encode_update(parts)
            self.bytes += len(encoded[parts])
            if parts[-1].nonce is not None:
                self.marks.append(UpdateAcknowledged(proxy, parts[-1].nonce, 0.3))

    def check_health(self, node: int) -> None: ...

    def watch_endpoints(self, on: bool) -> None: ...

    def fetch_endpoints(self) -> None: ...

    def schedule_round(self, after: float) -> None: ...

    def log(self, text: str) -> None: ...


def sums(random: Random, proxies: int, nodes: int) -> list[Event]:
    """What a look brings: sums of nodes and of proxies, as many as are told."""
    told: list[Event] = []
    for _ in range(int(HEARD * LOOK / 2)):
        tried = random.randrange(1, 40)
        told.append(
            EndpointLoadReported(
                random.randrange(nodes),
                random.randrange(ZONES),
                1.0,
                random.uniform(0.05, 0.3),
                0,
                tried,
                LoadReport(random.randrange(9)),
            )
        )
        told.append(
            ProxyLoadReported(random.randrange(proxies), random.randrange(KINDS), random.randrange(3), 0, 1.0)
        )
    return told


def fleet(proxies: int, nodes: int) -> dict[str, dict[str, float]]:
    """Processor seconds by phase: the longest round, and the mean a second."""
    random, codec = (
        Random(1),
        Codec([f"k{at}" for at in range(KINDS)], [f"z{at}" for at in range(ZONES)], proxies),
    )
    writer = Writer(codec)
    settings = ControllerSettings(
        request_classes=(
            RequestClass(1.0, 0.5, Idempotency.IDEMPOTENT),
            RequestClass(3.0, 1.0),
            RequestClass(5.0, 1.0),
        ),
        discovery=DiscoverySettings(),
        channel=ChannelLimits(3700.0, 4.0, 22.0 * proxies, 12, 10.0),
        warm_up=WarmUpLimits(17.0, 0.19, 4.0),
        report_period=1.0,
        admission_mode=AdmissionMode.SHARE,
        cross_zone_price=0.12,
        health_checks_allowed=True,
        drain_deadline=max(3.4, proxies / 140),
        expected_proxies=proxies,
    )
    module = Controller(settings, seed=1)
    entries = [
        EndpointEntry(codec.number_of(f"s-{at:08x}"), at % ZONES, 0.0, EndpointState.READY, 1.0)
        for at in range(nodes)
    ]
    leaving = [entry._replace(state=EndpointState.DRAINING) for entry in entries[::3]]
    found, now = {}, 100.0
    for phase, lasts in PHASES.items():
        arrivals: list[Event] = []
        if phase == "join":
            arrivals.append(EndpointListReceived(True, entries))
            for proxy in range(proxies):
                writer.add_proxy(proxy, False)
                arrivals.append(ProxyJoined(proxy, proxy % ZONES, 1.4, False))
        elif phase == "drain":
            arrivals.append(EndpointListReceived(False, leaving))
        longest, whole = 0.0, 0.0
        for _ in range(int(lasts / LOOK)):
            now += LOOK
            arrivals += sums(random, proxies, nodes) + writer.marks
            writer.marks = []
            began = time.process_time()
            module.round(now, arrivals, writer)
            writer.tell()
            took = time.process_time() - began
            longest, whole, arrivals = max(longest, took), whole + took, []
        found[phase] = {"longest_ms": 1000 * longest, "share": whole / lasts}
    found["tables"] = {"count": sum(bool(one.proxies) for one in module.routing.tables.values())}
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="without the largest sizes")
    parser.add_argument("--profile", metavar="PROXIESxNODES", help="one size under the profiler")
    told = parser.parse_args()
    if told.profile:
        profile = cProfile.Profile()
        profile.runcall(fleet, *map(int, told.profile.split("x")))
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        return
    sizes = [(p, n) for p in PROXIES[: 2 if told.quick else 3] for n in NODES[: 2 if told.quick else 3]]
    found = {}
    print(
        f"{'proxies x nodes':>16} {'tables':>7} {'MB':>6}  "
        + "  ".join(f"{phase:>8} ms {'core':>6}" for phase in PHASES)
    )
    for size in sizes:
        one = fleet(*size)
        tracemalloc.start()
        fleet(*size)
        one["memory"] = {"peak_mb": tracemalloc.get_traced_memory()[1] / 1e6}
        tracemalloc.stop()
        found[size] = one
        print(
            f"{size[0]:>8} x {size[1]:>5} {one['tables']['count']:>7} {one['memory']['peak_mb']:>6.1f}  "
            + "  ".join(f"{one[phase]['longest_ms']:>11.1f} {one[phase]['share']:>6.3f}" for phase in PHASES),
            flush=True,
        )
    for at, name in enumerate(("proxies", "nodes")):
        for size in sizes:
            wider = tuple(4 * value if place == at else value for place, value in enumerate(size))
            if wider in found:
                print(
                    f"{size[0]} x {size[1]}: four times the {name} cost "
                    + ", ".join(
                        f"{phase} {found[wider][phase]['share'] / max(1e-9, found[size][phase]['share']):.1f}"
                        for phase in PHASES
                    )
                    + " times as much"
                )
    print(json.dumps({f"{p}x{n}": one for (p, n), one in found.items()}))


if __name__ == "__main__":
    main()
