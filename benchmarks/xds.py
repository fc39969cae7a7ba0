"""What the xDS front costs: `python -m benchmarks.xds` (figures on stand-ins; three minutes).

A conductor in a process of its own serves so many clients so many endpoints over loopback, in three ways: the
state of the world (the baseline of this run), incremental with whole clusters, incremental with each endpoint
a resource. For each: bytes and CPU of a whole start, one weight, one drain, a return of all clients, and a
drain while all weights are being pushed. Prints a table; the last line is one JSON object.
"""

import argparse
import asyncio
import json
import os
import resource
import socket
import sys
import time
from collections.abc import Awaitable

from hdrh.histogram import HdrHistogram

from oatcart.events import UpdateAcknowledged
from oatcart.xds.configuration import Xds
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, MEMBER
from oatcart.xds.serve import Conductor
from oatcart.xds.standin.client import Client

KINDS = ["lookup", "order"]  # both on one table, as in most fleets
WAYS = {"sotw": (False, "whole"), "delta": (True, "whole"), "each": (True, "each")}
FIRST_MARK = 40_000  # of the changes made here; the module's own begin at 0
REPEATS = 5  # of each single change; what is shown is their mean, of times all
ZONES = ["a", "b"]
LOADS = 4  # processes that the clients are spread over


def config(nodes: int) -> dict:
    members = [
        {
            "id": f"server-{at:04}",
            "host_port": f"127.0.0.1:{10_000 + at}",
            "locality": ZONES[at % 2],
            "phase": "SERVING",
            "up_since_ms": 0,
        }
        for at in range(nodes)
    ]
    return {
        "name": "bench",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 64},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "quantum": 2.0,
            "zones": ZONES,
            "membershipMode": "push",
            "grades": [{"name": kind, "aim": 500.0, "idempotency": "idempotent"} for kind in KINDS],
            "specifics": {
                "proxyCount": 8,
                "pushRate": 1e9,
                "envelope": 4.0,
                "queueCap": 1e9,
                "admit": "fraction",
                "period": 1000.0,
            },
        },
    }


class Served:
    """The conductor's process: commands on standard input, a line of JSON for each."""

    def __init__(self, nodes: int, clients: int) -> None:
        ours, self.waker = socket.socketpair()
        ours.setblocking(False)
        self.cfg = config(nodes)
        self.one = Conductor(self.cfg, Xds(listen="127.0.0.1:0", clients=clients + 1, pushes=1e6), ours)
        self.orders, self.revision, self.mark = [], 1, FIRST_MARK
        self.took: list[float] = []
        call, arrive = self.one.rounds.decide, self.one.rounds.add_event

        def scripted(now, arrivals, orders):
            call(now, arrivals, orders)
            for name, *args in self.orders:
                getattr(orders, name)(*args)
            self.orders = []

        def noted(arrival):
            if isinstance(arrival, UpdateAcknowledged) and arrival.nonce >= FIRST_MARK:
                self.took.append(arrival.duration)
            arrive(arrival)

        self.one.rounds.decide, self.one.rounds.add_event = scripted, noted

    def weights(self, count: int, weight: int) -> None:
        table = self.one.front.maps[0][0]
        self.mark += 1
        self.orders += [("set_weight", table, place, weight) for place in range(count)] + [
            ("request_ack", self.mark, False)
        ]
        self.one.rounds.is_due = True

    def drain(self, at: int) -> None:
        self.cfg["known"]["members"][at]["phase"] = "DRAINING"
        self.revision += 1
        self.one.rounds.watcher.receive(
            self.one.rounds.codec.decode_endpoint_list(self.cfg["known"] | {"revision": self.revision})
        )

    def told(self) -> dict:
        used = resource.getrusage(resource.RUSAGE_SELF)
        took, self.took = self.took, []
        return {
            "cpu": used.ru_utime + used.ru_stime,
            "bytes": self.one.server.sent_bytes,
            "pushes": self.one.server.sent,
            "encoded": self.one.encoder.made,
            "took": took,
            "memory_mb": used.ru_maxrss / 1024,
            "clients": sum(one["bound"] for one in self.one.front.status(0.0)),
            "now": time.monotonic(),
        }

    async def run(self) -> None:
        port = await self.one.start()
        print(json.dumps({"port": port}), flush=True)
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            name, *args = line.decode().split()
            if name != "told":
                getattr(self, name)(*map(int, args))
                self.one.nested.kick()
            print(json.dumps(self.told()), flush=True)


class Load:
    """Some of the clients, in a process of their own; the same manner of commands. Times are by the clock
    that processes share, when each client's view held what was waited for."""

    def __init__(self, port: int, first: int, count: int, nodes: int, way: str) -> None:
        self.nodes, (self.delta, self.shape) = nodes, WAYS[way]
        self.port, self.numbers = port, range(first, first + count)

    async def all(self, met) -> list[float]:
        times = []

        async def one(client: Client) -> None:
            await client.until(lambda: met(client), 60)
            times.append(time.monotonic())

        await asyncio.gather(*(one(client) for client in self.clients))
        return times

    async def start(self) -> list[float]:
        async def subscribe(client: Client) -> None:
            client.connect()
            client.ask(CLUSTER)
            client.ask(ENDPOINTS, KINDS)
            if self.shape == "each":
                client.ask(MEMBER, await client.until(client.collections, 60))

        await asyncio.gather(*(subscribe(client) for client in self.clients))
        whole = self.nodes if self.shape == "each" else self.nodes * len(KINDS)
        return await self.all(lambda client: client.count() >= whole)

    async def back(self) -> list[float]:
        await asyncio.gather(*(client.drop() for client in self.clients))
        for client in self.clients:
            client.connect()
            client.ask(CLUSTER)
            client.ask(ENDPOINTS, KINDS)
            if self.shape == "each":
                client.ask(MEMBER, client.collections())
        return []

    async def weight(self, name: str, weight: str) -> list[float]:
        return await self.all(lambda client: client.endpoint(KINDS[-1], name)[0] == int(weight))

    async def drained(self, name: str) -> list[float]:
        return await self.all(lambda client: client.endpoint(KINDS[-1], name)[1] == "DRAINING")

    async def views(self) -> list[str]:
        return sorted(
            {str([sorted(client.endpoints(kind).items()) for kind in KINDS]) for client in self.clients}
        )

    async def run(self) -> None:
        self.clients = [
            Client(f"127.0.0.1:{self.port}", f"client-{at}", ZONES[0], self.delta, self.shape)
            for at in self.numbers
        ]
        reader = asyncio.StreamReader(limit=2**24)
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            name, *args = line.decode().split()
            print(json.dumps(await getattr(self, name)(*args)), flush=True)


async def process(*words: object) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.xds",
        *map(str, words),
        stdin=-1,
        stdout=-1,
        stderr=-3,
        limit=2**24,
        env=os.environ | {"GRPC_VERBOSITY": "NONE"},
    )


class Bench:
    """A conductor and its clients, in processes of their own."""

    def __init__(self, clients: int, nodes: int, way: str) -> None:
        self.count, self.nodes, self.way = clients, nodes, way
        self.took: list[float] = []  # s from a mark's order to its acknowledgement, all clients

    async def __aenter__(self) -> "Bench":
        self.served = await process("--serve", self.nodes, "--clients", self.count)
        port = json.loads(await self.served.stdout.readline())["port"]
        share = -(-self.count // LOADS)
        self.loads = [
            await process("--load", port, first, min(share, self.count - first), self.nodes, self.way)
            for first in range(0, self.count, share)
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        for one in (self.served, *self.loads):
            one.kill()
            await one.wait()

    async def say(self, *words: object) -> dict:
        self.served.stdin.write((" ".join(map(str, words)) + "\n").encode())
        told = json.loads(await self.served.stdout.readline())
        self.took += told["took"]
        return told

    def ask(self, *words: object) -> None:
        for one in self.loads:
            one.stdin.write((" ".join(map(str, words)) + "\n").encode())

    async def answers(self) -> list:
        return sum([json.loads(await one.stdout.readline()) for one in self.loads], [])

    async def start(self) -> float:
        began = time.monotonic()
        self.ask("start")
        return max(await self.answers()) - began

    async def weight(self, name: str, weight: int) -> float:
        self.ask("weight", name, weight)
        began = (await self.say("weights", 1, weight))["now"]
        return max(await self.answers()) - began

    async def drain(self, at: int) -> list[float]:
        self.ask("drained", f"server-{at:04}")
        began = (await self.say("drain", at))["now"]
        return [one - began for one in await self.answers()]

    async def back(self) -> float:
        self.ask("back")
        await self.answers()
        began = time.monotonic()
        while (await self.say("told"))["clients"] < self.count:
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def settled(self) -> dict:
        """Until nothing more is sent."""
        before = await self.say("told")
        while True:
            await asyncio.sleep(0.4)
            now = await self.say("told")
            if now["pushes"] == before["pushes"] and now["clients"] == self.count:
                return now
            before = now

    async def cost(self, change: Awaitable) -> tuple[dict, object]:
        """What a change costs the conductor: bytes, CPU less what it uses at rest, encoded resources."""
        rest = await self.settled()
        idle = await self.settled()
        idle_rate = (idle["cpu"] - rest["cpu"]) / (idle["now"] - rest["now"])
        took = await change
        now = await self.settled()
        found = {name: now[name] - idle[name] for name in ("bytes", "pushes", "encoded")}
        found["cpu"] = max(0.0, now["cpu"] - idle["cpu"] - idle_rate * (now["now"] - idle["now"]))
        return found, took

    async def equal(self) -> bool:
        self.ask("views")
        return len(set(await self.answers())) == 1


def mean(costs: list[tuple[dict, float]]) -> dict:
    found = {name: sum(one[name] for one, _ in costs) / len(costs) for name in costs[0][0]}
    return found | {"s": sum(took for _, took in costs) / len(costs)}


async def measure(clients: int, nodes: int, way: str, acks: HdrHistogram, drains: HdrHistogram) -> dict:
    out = {}
    async with Bench(clients, nodes, way) as bench:
        before = await bench.say("told")
        took = await bench.start()
        now = await bench.settled()
        out["start"] = {
            "bytes": now["bytes"] - before["bytes"],
            "cpu": now["cpu"] - before["cpu"],
            "s": took,
            "encoded": now["encoded"],
        }
        out["weight"] = mean(
            [await bench.cost(bench.weight("server-0000", 60 + at)) for at in range(REPEATS)]
        )
        for one in bench.took:
            acks.record_value(max(1, one * 1e6))
        costs = [await bench.cost(bench.drain(at)) for at in range(1, 1 + REPEATS)]
        out["drain"] = mean([(cost, max(times)) for cost, times in costs])
        out["return"] = mean([await bench.cost(bench.back())])
        worst = []
        for at in range(10, 10 + REPEATS):
            await bench.settled()
            bench.ask("drained", f"server-{at:04}")
            bench.served.stdin.write(f"weights {nodes} {70 + at}\ndrain {at}\n".encode())
            await bench.served.stdout.readline()
            began = json.loads(await bench.served.stdout.readline())["now"]
            times = [one - began for one in await bench.answers()]
            worst.append(max(times))
            for one in times:
                drains.record_value(max(1, one * 1e6))
        out["drain in push"] = {"s": max(worst)}
        await bench.settled()
        out["equal"], out["memory_mb"] = await bench.equal(), (await bench.say("told"))["memory_mb"]
    return out


async def run(clients: int, nodes: int) -> int:
    found, acks, drains = {}, {}, {}
    for way in WAYS:
        acks[way], drains[way] = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        found[way] = await measure(clients, nodes, way, acks[way], drains[way])
    few = await measure(
        max(1, clients // 8), nodes, "each", HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    )
    print(
        f"{clients} clients, {nodes} endpoints, {len(KINDS)} clusters; "
        "bytes over all clients; figures on stand-ins"
    )
    print(f"{'way':6} {'what':14} {'bytes':>12} {'to sotw':>8} {'CPU ms':>8} {'encoded':>8} {'s to all':>9}")
    for way, told in found.items():
        for what in "start", "weight", "drain", "return":
            one = told[what]
            ratio = one["bytes"] / max(1, found["sotw"][what]["bytes"])
            print(
                f"{way:6} {what:14} {one['bytes']:12.0f} {ratio:8.4f} {one['cpu'] * 1e3:8.1f} "
                f"{one['encoded']:8.0f} "
                f"{one['s']:9.3f}"
            )
        print(f"{way:6} {'drain in push':14} {'':12} {'':8} {'':8} {'':8} {told['drain in push']['s']:9.3f}")
    print(
        "CPU a client, ms: "
        + "; ".join(
            f"{what} {few[what]['cpu'] * 1e3 / max(1, clients // 8):.2f} "
            f"with {max(1, clients // 8)} clients, "
            f"{found['each'][what]['cpu'] * 1e3 / clients:.2f} with {clients}"
            for what in ("start", "weight", "drain")
        )
    )

    def at(histogram: HdrHistogram, percent: float) -> float:
        return histogram.get_value_at_percentile(percent) / 1e6

    for way in WAYS:
        print(
            f"{way:6} weight to ACK p50 {at(acks[way], 50):.3f} s p99 {at(acks[way], 99):.3f} s; "
            "drain in a push "
            f"p50 {at(drains[way], 50):.3f} s p99 {at(drains[way], 99):.3f} s"
        )
    print(
        json.dumps(
            {
                "clients": clients,
                "endpoints": nodes,
                "kinds": len(KINDS),
                "delta_bytes_ratio": round(
                    found["each"]["weight"]["bytes"] / found["sotw"]["weight"]["bytes"], 5
                ),
                "delta_whole_bytes_ratio": round(
                    found["delta"]["weight"]["bytes"] / found["sotw"]["weight"]["bytes"], 5
                ),
                "return_bytes_ratio": round(
                    found["each"]["return"]["bytes"] / found["sotw"]["return"]["bytes"], 5
                ),
                "drain_p50_s": round(at(drains["each"], 50), 4),
                "drain_p99_s": round(at(drains["each"], 99), 4),
                "drain_p99_s_sotw": round(at(drains["sotw"], 99), 4),
                "ack_p50_s": round(at(acks["each"], 50), 4),
                "ack_p99_s": round(at(acks["each"], 99), 4),
                "cpu_ms_a_client_few": round(few["weight"]["cpu"] * 1e3 / max(1, clients // 8), 3),
                "cpu_ms_a_client": round(found["each"]["weight"]["cpu"] * 1e3 / clients, 3),
                "encoded_a_change": found["each"]["weight"]["encoded"],
                "memory_mb": round(found["each"]["memory_mb"], 1),
                "views_equal": all(told["equal"] for told in found.values()),
            }
        )
    )
    return 0 if all(told["equal"] for told in found.values()) else 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.xds", description=__doc__)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--endpoints", type=int, default=500)
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--load", nargs=5, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.load:
        *numbers, way = told.load
        asyncio.run(Load(*map(int, numbers), way).run())
        return 0
    if told.serve:
        asyncio.run(Served(told.serve, told.clients).run())
        return 0
    return asyncio.run(run(told.clients, told.endpoints))


if __name__ == "__main__":
    sys.exit(main())
