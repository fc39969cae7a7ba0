"""Measures the cost of the epoll loop inside asyncio: `python -m benchmarks.nested` (some seconds).

A proxy joins a controller and pings it, one ping at a time; the plain process and the one with the xDS front
alternate. Prints a table in microseconds; the last line is one JSON object.
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

PINGS, WARM_UP_PINGS, TURNS = 4000, 500, 3
WAYS = {"plain": ["oatcart"], "nested": ["oatcart.xds", "xds.yaml"]}
CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "1",
    "limits": {"sockets": 64},
    "known": {"revision": 1, "complete": True, "members": []},
    "settings": {
        "quantum": 2.0,
        "zones": ["a"],
        "membershipMode": "push",
        "grades": [{"name": "lookup", "aim": 500.0}],
        "specifics": {"proxyCount": 4, "pushRate": 1000.0, "period": 1000.0},
    },
}


def measure_pings(way: str, folder: Path) -> list[float]:
    """Return the round-trip times of pings after the warm-up, s."""
    arguments = [str(folder / word) if word.endswith(".yaml") else word for word in WAYS[way]]
    with subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(folder / "cfg")},
    ) as process:
        port = int(process.stderr.readline().split(" listens at ")[1].split(",")[0].rpartition(":")[2])
        times = []
        with socket.create_connection(("127.0.0.1", port)) as connection, connection.makefile("rb") as lines:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(b'{"msg":"joined","sidecar":1,"az":"a","share":1,"standing":true}\n')
            for _ in range(PINGS):
                started = time.perf_counter()
                connection.sendall(b'{"msg":"ping"}\n')
                while b"pong" not in lines.readline():
                    pass
                times.append(time.perf_counter() - started)
        process.kill()
    return times[WARM_UP_PINGS:]


def main() -> int:
    """Measure and print the figures; returns an exit code."""
    durations = {way: [] for way in WAYS}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "cfg").write_text(json.dumps(CONFIG))
        (folder / "xds.yaml").write_text("listen: 127.0.0.1:0\n")
        for _ in range(TURNS):
            for way, times in durations.items():
                times += measure_pings(way, folder)
    percentiles = {
        way: {
            "p50_us": round(statistics.median(times) * 1e6, 1),
            "p99_us": round(statistics.quantiles(times, n=100)[98] * 1e6, 1),
        }
        for way, times in durations.items()
    }
    for way, figures in percentiles.items():
        print(f"{way:8} p50 {figures['p50_us']:8.1f} us   p99 {figures['p99_us']:8.1f} us")
    print(
        json.dumps(
            percentiles
            | {"p50_ratio": round(percentiles["nested"]["p50_us"] / percentiles["plain"]["p50_us"], 3)}
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
