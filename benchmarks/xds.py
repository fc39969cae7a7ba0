"""Measures the cost of the xDS front: `python -m benchmarks.xds` (figures on stand-ins; three minutes).

A controller in a process of its own serves clients over loopback in three ways: state of the world (the
baseline of a run), incremental with complete clusters, and incremental with each endpoint as a resource. For
each it measures bytes and CPU of the start of all clients, of one changed weight, of one drain and of the
return of all clients, and the time of a drain while all weights are pushed. Prints a table; the last line is
one JSON object.
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
from oatcart.xds.serve import XdsController
from oatcart.xds.standin.client import Client

REQUEST_CLASSES = ["lookup", "order"]  # both use one routing table, as in most fleets
WAYS = {"sotw": (False, "whole"), "delta": (True, "whole"), "each": (True, "each")}
FIRST_NONCE = 40_000  # of the changes made here; the controller's own nonces begin at 0
REPEATS = 5  # of each change; shows the mean, and percentiles of all times
ZONES = ["a", "b"]
CLIENT_PROCESSES = 4  # processes that the clients are spread over


def config(endpoints: int) -> dict:
    """Return the controller's configuration with so many endpoints."""
    members = [
        {
            "id": f"server-{number:04}",
            "host_port": f"127.0.0.1:{10_000 + number}",
            "locality": ZONES[number % 2],
            "phase": "SERVING",
            "up_since_ms": 0,
        }
        for number in range(endpoints)
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
            "grades": [
                {"name": request_class, "aim": 500.0, "idempotency": "idempotent"}
                for request_class in REQUEST_CLASSES
            ],
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


class ControllerProcess:
    """The controller's process: reads commands from standard input and answers each with a line of JSON."""

    def __init__(self, endpoints: int, clients: int) -> None:
        reload_receiver, self.reload_socket = socket.socketpair()
        reload_receiver.setblocking(False)
        self.cfg = config(endpoints)
        self.controller = XdsController(
            self.cfg, Xds(listen="127.0.0.1:0", clients=clients + 1, pushes=1e6), reload_receiver
        )
        self.commands, self.revision, self.nonce = [], 1, FIRST_NONCE
        self.ack_durations: list[float] = []
        decide, add_event = self.controller.rounds.decide, self.controller.rounds.add_event

        def scripted(now, events, commands):
            decide(now, events, commands)
            for name, *args in self.commands:
                getattr(commands, name)(*args)
            self.commands = []

        def record_acknowledgement(event):
            if isinstance(event, UpdateAcknowledged) and event.nonce >= FIRST_NONCE:
                self.ack_durations.append(event.duration)
            add_event(event)

        self.controller.rounds.decide, self.controller.rounds.add_event = scripted, record_acknowledgement

    def weights(self, count: int, weight: int) -> None:
        """Set the weight of the first `count` endpoints."""
        table = self.controller.front.tables_by_zone[0][0]
        self.nonce += 1
        self.commands += [("set_weight", table, endpoint, weight) for endpoint in range(count)] + [
            ("request_ack", self.nonce, False)
        ]
        self.controller.rounds.is_due = True

    def drain(self, number: int) -> None:
        """Set an endpoint draining in the endpoint list."""
        self.cfg["known"]["members"][number]["phase"] = "DRAINING"
        self.revision += 1
        self.controller.rounds.watcher.receive(
            self.controller.rounds.codec.decode_endpoint_list(self.cfg["known"] | {"revision": self.revision})
        )

    def report(self) -> dict:
        """Return the usage and counts of the process so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        durations, self.ack_durations = self.ack_durations, []
        return {
            "cpu": usage.ru_utime + usage.ru_stime,
            "bytes": self.controller.server.sent_bytes,
            "pushes": self.controller.server.sent_pushes,
            "encoded": self.controller.encoder.encoded_count,
            "took": durations,
            "memory_mb": usage.ru_maxrss / 1024,
            "clients": sum(client["bound"] for client in self.controller.front.status(0.0)),
            "now": time.monotonic(),
        }

    async def run(self) -> None:
        """Serve and carry out commands until standard input ends."""
        port = await self.controller.start()
        print(json.dumps({"port": port}), flush=True)
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            name, *args = line.decode().split()
            if name != "told":
                getattr(self, name)(*map(int, args))
                self.controller.nested_loop.wake()
            print(json.dumps(self.report()), flush=True)


class ClientProcess:
    """A process with some of the clients; reads commands from standard input and answers each with JSON.

    Answers are the times at which each client saw the change, by the clock that all processes share.
    """

    def __init__(self, port: int, first: int, count: int, endpoints: int, way: str) -> None:
        self.endpoints, (self.delta, self.shape) = endpoints, WAYS[way]
        self.port, self.numbers = port, range(first, first + count)

    async def all(self, condition) -> list[float]:
        """Wait for a condition at each client; returns the times."""
        times = []

        async def wait_for(client: Client) -> None:
            await client.wait_until(lambda: condition(client), 60)
            times.append(time.monotonic())

        await asyncio.gather(*(wait_for(client) for client in self.clients))
        return times

    async def start(self) -> list[float]:
        """Subscribe all clients and wait for all endpoints."""

        async def subscribe(client: Client) -> None:
            client.connect()
            client.request(CLUSTER)
            client.request(ENDPOINTS, REQUEST_CLASSES)
            if self.shape == "each":
                client.request(MEMBER, await client.wait_until(client.collections, 60))

        await asyncio.gather(*(subscribe(client) for client in self.clients))
        expected = self.endpoints if self.shape == "each" else self.endpoints * len(REQUEST_CLASSES)
        return await self.all(lambda client: client.endpoint_count() >= expected)

    async def back(self) -> list[float]:
        """Disconnect and reconnect all clients."""
        await asyncio.gather(*(client.disconnect() for client in self.clients))
        for client in self.clients:
            client.connect()
            client.request(CLUSTER)
            client.request(ENDPOINTS, REQUEST_CLASSES)
            if self.shape == "each":
                client.request(MEMBER, client.collections())
        return []

    async def weight(self, name: str, weight: str) -> list[float]:
        """Wait until all clients see a weight."""
        return await self.all(lambda client: client.endpoint(REQUEST_CLASSES[-1], name)[0] == int(weight))

    async def drained(self, name: str) -> list[float]:
        """Wait until all clients see an endpoint draining."""
        return await self.all(lambda client: client.endpoint(REQUEST_CLASSES[-1], name)[1] == "DRAINING")

    async def views(self) -> list[str]:
        """Return the distinct views of the clients."""
        return sorted(
            {
                str([sorted(client.endpoints(request_class).items()) for request_class in REQUEST_CLASSES])
                for client in self.clients
            }
        )

    async def run(self) -> None:
        """Carry out commands until standard input ends."""
        self.clients = [
            Client(f"127.0.0.1:{self.port}", f"client-{number}", ZONES[0], self.delta, self.shape)
            for number in self.numbers
        ]
        reader = asyncio.StreamReader(limit=2**24)
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            name, *args = line.decode().split()
            print(json.dumps(await getattr(self, name)(*args)), flush=True)


async def start_process(*arguments: object) -> asyncio.subprocess.Process:
    """Start this module in a process with pipes."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.xds",
        *map(str, arguments),
        stdin=-1,
        stdout=-1,
        stderr=-3,
        limit=2**24,
        env=os.environ | {"GRPC_VERBOSITY": "NONE"},
    )


class Bench:
    """A controller and its clients, in processes of their own."""

    def __init__(self, clients: int, endpoints: int, way: str) -> None:
        self.client_count, self.endpoints, self.way = clients, endpoints, way
        self.ack_durations: list[float] = []  # s from the request of an acknowledgement to its receipt

    async def __aenter__(self) -> "Bench":
        self.controller = await start_process("--serve", self.endpoints, "--clients", self.client_count)
        port = json.loads(await self.controller.stdout.readline())["port"]
        share = -(-self.client_count // CLIENT_PROCESSES)
        self.client_processes = [
            await start_process(
                "--load", port, first, min(share, self.client_count - first), self.endpoints, self.way
            )
            for first in range(0, self.client_count, share)
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in (self.controller, *self.client_processes):
            process.kill()
            await process.wait()

    async def command(self, *words: object) -> dict:
        """Send a command to the controller; returns its report."""
        self.controller.stdin.write((" ".join(map(str, words)) + "\n").encode())
        report = json.loads(await self.controller.stdout.readline())
        self.ack_durations += report["took"]
        return report

    def command_clients(self, *words: object) -> None:
        """Send a command to all client processes."""
        for process in self.client_processes:
            process.stdin.write((" ".join(map(str, words)) + "\n").encode())

    async def client_answers(self) -> list:
        """Return the answers of all client processes."""
        return sum([json.loads(await process.stdout.readline()) for process in self.client_processes], [])

    async def start(self) -> float:
        """Start all clients; returns the time until all have their endpoints, s."""
        began = time.monotonic()
        self.command_clients("start")
        return max(await self.client_answers()) - began

    async def weight(self, name: str, weight: int) -> float:
        """Change one weight; returns the time until all clients see it, s."""
        self.command_clients("weight", name, weight)
        began = (await self.command("weights", 1, weight))["now"]
        return max(await self.client_answers()) - began

    async def drain(self, number: int) -> list[float]:
        """Drain one endpoint; returns the times until the clients see it, s."""
        self.command_clients("drained", f"server-{number:04}")
        began = (await self.command("drain", number))["now"]
        return [received_at - began for received_at in await self.client_answers()]

    async def back(self) -> float:
        """Reconnect all clients; returns the time until all have tables, s."""
        self.command_clients("back")
        await self.client_answers()
        began = time.monotonic()
        while (await self.command("told"))["clients"] < self.client_count:
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    async def settle(self) -> dict:
        """Wait until nothing more is sent and all clients are connected; returns the controller's report."""
        before = await self.command("told")
        while True:
            await asyncio.sleep(0.4)
            now = await self.command("told")
            if now["pushes"] == before["pushes"] and now["clients"] == self.client_count:
                return now
            before = now

    async def cost(self, change: Awaitable) -> tuple[dict, object]:
        """Return the result of a change and its cost: bytes, pushes, encoded resources and CPU above idle."""
        first = await self.settle()
        second = await self.settle()
        idle_rate = (second["cpu"] - first["cpu"]) / (second["now"] - first["now"])
        result = await change
        after = await self.settle()
        costs = {name: after[name] - second[name] for name in ("bytes", "pushes", "encoded")}
        costs["cpu"] = max(0.0, after["cpu"] - second["cpu"] - idle_rate * (after["now"] - second["now"]))
        return costs, result

    async def equal(self) -> bool:
        """Whether the views of all clients are equal."""
        self.command_clients("views")
        return len(set(await self.client_answers())) == 1


def mean(costs: list[tuple[dict, float]]) -> dict:
    """Return the mean of costs and times."""
    means = {name: sum(cost[name] for cost, _ in costs) / len(costs) for name in costs[0][0]}
    return means | {"s": sum(took for _, took in costs) / len(costs)}


async def measure(clients: int, endpoints: int, way: str, acks: HdrHistogram, drains: HdrHistogram) -> dict:
    """Measure all changes in one way; records acknowledgement and drain times in us."""
    results = {}
    async with Bench(clients, endpoints, way) as bench:
        before = await bench.command("told")
        took = await bench.start()
        now = await bench.settle()
        results["start"] = {
            "bytes": now["bytes"] - before["bytes"],
            "cpu": now["cpu"] - before["cpu"],
            "s": took,
            "encoded": now["encoded"],
        }
        results["weight"] = mean(
            [await bench.cost(bench.weight("server-0000", 60 + number)) for number in range(REPEATS)]
        )
        for duration in bench.ack_durations:
            acks.record_value(max(1, duration * 1e6))
        costs = [await bench.cost(bench.drain(number)) for number in range(1, 1 + REPEATS)]
        results["drain"] = mean([(cost, max(times)) for cost, times in costs])
        results["return"] = mean([await bench.cost(bench.back())])
        worst = []
        for number in range(10, 10 + REPEATS):
            await bench.settle()
            bench.command_clients("drained", f"server-{number:04}")
            bench.controller.stdin.write(f"weights {endpoints} {70 + number}\ndrain {number}\n".encode())
            await bench.controller.stdout.readline()
            began = json.loads(await bench.controller.stdout.readline())["now"]
            times = [received_at - began for received_at in await bench.client_answers()]
            worst.append(max(times))
            for duration in times:
                drains.record_value(max(1, duration * 1e6))
        results["drain in push"] = {"s": max(worst)}
        await bench.settle()
        results["equal"], results["memory_mb"] = (
            await bench.equal(),
            (await bench.command("told"))["memory_mb"],
        )
    return results


async def run(clients: int, endpoints: int) -> int:
    """Measure all ways and print the figures; returns 1 if the views differ."""
    results, acks, drains = {}, {}, {}
    for way in WAYS:
        acks[way], drains[way] = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        results[way] = await measure(clients, endpoints, way, acks[way], drains[way])
    few = await measure(
        max(1, clients // 8),
        endpoints,
        "each",
        HdrHistogram(1, 60_000_000, 3),
        HdrHistogram(1, 60_000_000, 3),
    )
    print(
        f"{clients} clients, {endpoints} endpoints, {len(REQUEST_CLASSES)} clusters; "
        "bytes over all clients; figures on stand-ins"
    )
    print(f"{'way':6} {'what':14} {'bytes':>12} {'to sotw':>8} {'CPU ms':>8} {'encoded':>8} {'s to all':>9}")
    for way, measured in results.items():
        for what in "start", "weight", "drain", "return":
            costs = measured[what]
            ratio = costs["bytes"] / max(1, results["sotw"][what]["bytes"])
            print(
                f"{way:6} {what:14} {costs['bytes']:12.0f} {ratio:8.4f} {costs['cpu'] * 1e3:8.1f} "
                f"{costs['encoded']:8.0f} "
                f"{costs['s']:9.3f}"
            )
        print(
            f"{way:6} {'drain in push':14} {'':12} {'':8} {'':8} {'':8} {measured['drain in push']['s']:9.3f}"
        )
    print(
        "CPU a client, ms: "
        + "; ".join(
            f"{what} {few[what]['cpu'] * 1e3 / max(1, clients // 8):.2f} "
            f"with {max(1, clients // 8)} clients, "
            f"{results['each'][what]['cpu'] * 1e3 / clients:.2f} with {clients}"
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
                "endpoints": endpoints,
                "kinds": len(REQUEST_CLASSES),
                "delta_bytes_ratio": round(
                    results["each"]["weight"]["bytes"] / results["sotw"]["weight"]["bytes"], 5
                ),
                "delta_whole_bytes_ratio": round(
                    results["delta"]["weight"]["bytes"] / results["sotw"]["weight"]["bytes"], 5
                ),
                "return_bytes_ratio": round(
                    results["each"]["return"]["bytes"] / results["sotw"]["return"]["bytes"], 5
                ),
                "drain_p50_s": round(at(drains["each"], 50), 4),
                "drain_p99_s": round(at(drains["each"], 99), 4),
                "drain_p99_s_sotw": round(at(drains["sotw"], 99), 4),
                "ack_p50_s": round(at(acks["each"], 50), 4),
                "ack_p99_s": round(at(acks["each"], 99), 4),
                "cpu_ms_a_client_few": round(few["weight"]["cpu"] * 1e3 / max(1, clients // 8), 3),
                "cpu_ms_a_client": round(results["each"]["weight"]["cpu"] * 1e3 / clients, 3),
                "encoded_a_change": results["each"]["weight"]["encoded"],
                "memory_mb": round(results["each"]["memory_mb"], 1),
                "views_equal": all(measured["equal"] for measured in results.values()),
            }
        )
    )
    return 0 if all(measured["equal"] for measured in results.values()) else 1


def main() -> int:
    """Run the command line; returns an exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.xds", description=__doc__)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--endpoints", type=int, default=500)
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--load", nargs=5, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        *numbers, way = options.load
        asyncio.run(ClientProcess(*map(int, numbers), way).run())
        return 0
    if options.serve:
        asyncio.run(ControllerProcess(options.serve, options.clients).run())
        return 0
    return asyncio.run(run(options.clients, options.endpoints))


if __name__ == "__main__":
    sys.exit(main())
