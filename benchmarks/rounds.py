"""Measures what a round costs by the size of the fleet.

    python -m benchmarks.rounds [--quick] [--profile PROXIESxNODES]

Runs the decisions and routing tables of one controller, with every message encoded and counted but no
sockets. All proxies join at once, then rounds bring only load reports, then a third of the endpoints drain.
Prints for each size the processor time of the longest round, the mean processor time for each second of the
fleet's time, and the controller's peak memory; then by how much the processor time grows when the fleet has
four times the proxies or endpoints (4 is linear).
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

PROXIES, ENDPOINTS = (100, 400, 1600), (50, 200, 800)  # sizes of the fleet
ZONES, REQUEST_CLASSES = 4, 3
ROUND_INTERVAL_S = 0.25
PHASE_DURATIONS_S = {"join": 4.0, "quiet": 6.0, "drain": 6.0}  # of the fleet's time
REPORTS_PER_S = 120  # load reports, of proxies and collectors together


class EncodingWriter(RoutingTables):
    """The benchmark's command writer: encodes updates as on sockets and acknowledges them at once."""

    def __init__(self, codec: Codec) -> None:
        super().__init__(len(codec.request_class_names))
        self.codec, self.bytes, self.acknowledgements = codec, 0, []

    def encode_updates(self) -> None:
        """Encodes the round's updates, counts their bytes and notes the acknowledgements that follow."""
        encoded: dict[tuple, bytes] = {}
        for proxy, parts in self.updates():
            if parts not in encoded:
                encoded[parts] = self.codec.encode_update(parts)
            self.bytes += len(encoded[parts])
            if parts[-1].nonce is not None:
                self.acknowledgements.append(UpdateAcknowledged(proxy, parts[-1].nonce, 0.3))

    def check_health(self, endpoint: int) -> None:
        """Makes no health check."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Opens no watch: the benchmark brings the endpoint lists."""

    def fetch_endpoints(self) -> None:
        """Fetches no endpoint list: the benchmark brings them."""

    def schedule_round(self, delay: float) -> None:
        """Schedules no round: they are at a fixed interval."""

    def log(self, text: str) -> None:
        """Drops the line."""


def load_reports(random: Random, proxies: int, endpoints: int) -> list[Event]:
    """Returns the load reports of one round, half of them about endpoints and half from proxies."""
    reports: list[Event] = []
    for _ in range(int(REPORTS_PER_S * ROUND_INTERVAL_S / 2)):
        attempts = random.randrange(1, 40)
        reports.append(
            EndpointLoadReported(
                random.randrange(endpoints),
                random.randrange(ZONES),
                1.0,
                random.uniform(0.05, 0.3),
                0,
                attempts,
                LoadReport(random.randrange(9)),
            )
        )
        reports.append(
            ProxyLoadReported(
                random.randrange(proxies), random.randrange(REQUEST_CLASSES), random.randrange(3), 0, 1.0
            )
        )
    return reports


def measure_fleet(proxies: int, endpoints: int) -> dict[str, dict[str, float]]:
    """Returns figures by phase, and the number of routing tables in use.

    `longest_ms` is the processor time of the longest round, `share` the mean processor time in seconds for
    each second of the fleet's time.
    """
    random, codec = (
        Random(1),
        Codec(
            [f"k{number}" for number in range(REQUEST_CLASSES)],
            [f"z{number}" for number in range(ZONES)],
            proxies,
        ),
    )
    writer = EncodingWriter(codec)
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
    controller = Controller(settings, seed=1)
    entries = [
        EndpointEntry(codec.number_of(f"s-{number:08x}"), number % ZONES, 0.0, EndpointState.READY, 1.0)
        for number in range(endpoints)
    ]
    draining = [entry._replace(state=EndpointState.DRAINING) for entry in entries[::3]]
    results, now = {}, 100.0
    for phase, duration in PHASE_DURATIONS_S.items():
        events: list[Event] = []
        if phase == "join":
            events.append(EndpointListReceived(True, entries))
            for proxy in range(proxies):
                writer.add_proxy(proxy, False)
                events.append(ProxyJoined(proxy, proxy % ZONES, 1.4, False))
        elif phase == "drain":
            events.append(EndpointListReceived(False, draining))
        longest, total = 0.0, 0.0
        for _ in range(int(duration / ROUND_INTERVAL_S)):
            now += ROUND_INTERVAL_S
            events += load_reports(random, proxies, endpoints) + writer.acknowledgements
            writer.acknowledgements = []
            started = time.process_time()
            controller.round(now, events, writer)
            writer.encode_updates()
            elapsed = time.process_time() - started
            longest, total, events = max(longest, elapsed), total + elapsed, []
        results[phase] = {"longest_ms": 1000 * longest, "share": total / duration}
    results["tables"] = {"count": sum(bool(table.proxies) for table in controller.routing.tables.values())}
    return results


def main() -> None:
    """Measures all sizes and prints tables and a line of JSON, or profiles one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="without the largest sizes")
    parser.add_argument(
        "--profile", metavar="PROXIESxNODES", help="profile one size, such as 400x200, and print no tables"
    )
    options = parser.parse_args()
    if options.profile:
        profile = cProfile.Profile()
        profile.runcall(measure_fleet, *map(int, options.profile.split("x")))
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        return
    sizes = [
        (proxies, endpoints)
        for proxies in PROXIES[: 2 if options.quick else 3]
        for endpoints in ENDPOINTS[: 2 if options.quick else 3]
    ]
    results = {}
    print(
        f"{'proxies x nodes':>16} {'tables':>7} {'MB':>6}  "
        + "  ".join(f"{phase:>8} ms {'core':>6}" for phase in PHASE_DURATIONS_S)
    )
    for size in sizes:
        result = measure_fleet(*size)
        tracemalloc.start()
        measure_fleet(*size)
        result["memory"] = {"peak_mb": tracemalloc.get_traced_memory()[1] / 1e6}
        tracemalloc.stop()
        results[size] = result
        print(
            f"{size[0]:>8} x {size[1]:>5} {result['tables']['count']:>7} "
            f"{result['memory']['peak_mb']:>6.1f}  "
            + "  ".join(
                f"{result[phase]['longest_ms']:>11.1f} {result[phase]['share']:>6.3f}"
                for phase in PHASE_DURATIONS_S
            ),
            flush=True,
        )
    for axis, name in enumerate(("proxies", "nodes")):
        for size in sizes:
            larger = tuple(4 * value if place == axis else value for place, value in enumerate(size))
            if larger in results:
                print(
                    f"{size[0]} x {size[1]}: four times the {name} cost "
                    + ", ".join(
                        f"{phase} "
                        f"{results[larger][phase]['share'] / max(1e-9, results[size][phase]['share']):.1f}"
                        for phase in PHASE_DURATIONS_S
                    )
                    + " times as much"
                )
    print(json.dumps({f"{proxies}x{endpoints}": result for (proxies, endpoints), result in results.items()}))


if __name__ == "__main__":
    main()
