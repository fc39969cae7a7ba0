"""Sidecars, gRPC's own client and load reports at one conductor, over loopback."""

import asyncio
import json
import sys
import time

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf import duration_pb2
from table import Table, nodes, played
from test_front import subscribed

from oatcart.events import EndpointLoadReported
from oatcart.model import LoadReport, RetryPolicy
from oatcart.xds.server import LOADS
from oatcart.xds.standin.nodes import Node

REPORT = f"/{LOADS}/StreamLoadStats"


class Sidecar:
    """A proxy of the operators' protocol; it keeps what it is told."""

    def __init__(self, table, number):
        self.number, self.lines, self.out = number, {}, set()
        address = table.one.rounds.codec  # names only
        self.kinds = address.request_class_names
        self.port = table.sidecar_port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.say(msg="joined", sidecar=self.number, az="a", share=1, standing=True)

    def say(self, **message):
        self.writer.write(json.dumps(message).encode() + b"\n")

    async def take(self):
        """One message's part."""
        part = json.loads(await self.reader.readline())
        for kind in part.get("routes", self.kinds):
            if part.get("full"):
                self.lines[kind] = {}
            self.lines.setdefault(kind, {}).update(part.get("endpoints", []))
        self.out = (self.out | set(part.get("eject", []))) - set(part.get("restore", []))
        if "nonce_out" in part:
            self.say(msg="applied", sidecar=self.number, version=part["nonce_out"], lag_ms=1.0)

    async def until(self, met):
        async with asyncio.timeout(10):
            while not met():
                await self.take()

    def picks(self, kind):
        return {
            node: weight
            for node, weight in self.lines.get(kind, {}).items()
            if weight and node not in self.out
        }


def test_a_sidecar_and_xds_clients_see_one_table():
    """The same arrivals, the same table: at the start, after a drain, after reports, after a cold return."""

    async def story():
        async with Table(nodes(4)) as table:
            sidecar = Sidecar(table, 3)
            await sidecar.connect()
            clients = [
                await subscribed(table, f"c{at}", delta, shape)
                for at, (delta, shape) in enumerate([(False, "whole"), (True, "each"), (False, "spread")])
            ]

            def picks(client, kind):
                return {
                    name: weight
                    for name, (weight, health) in client.endpoints(kind).items()
                    if health == "HEALTHY"
                }

            async def agree(met):
                await sidecar.until(lambda: met(sidecar.picks("lookup")))
                for client in clients:
                    for kind in "lookup", "fee":
                        await client.until(lambda: picks(client, kind) == sidecar.picks(kind))

            await agree(lambda found: len(found) == 4)
            table.roll(n1=(9001, "b", "DRAINING", 0))
            await agree(lambda found: len(found) == 3)
            places = table.one.rounds.codec.endpoint_numbers
            for _ in range(3):
                for name, took in ("n0", 0.05), ("n2", 0.4), ("n3", 0.1):
                    table.one.rounds.add_event(
                        EndpointLoadReported(places[name], 0, 1.0, took, 0, 50, LoadReport(None, 0.5, None))
                    )
            table.one.nested.kick()
            await agree(lambda found: len(set(found.values())) > 1)
            table.roll(n1=(9001, "b", "SERVING", time.time() * 1000))
            await agree(lambda found: 0 < found.get("n1", 0) < found["n0"])
            sidecar.writer.close()

    played(story())


def report(node, kind, over, **localities):
    """A report as gRPC's own client makes it: one locality a node; by name (good, errored, issued, under
    way).
    """
    message = lrs_pb2.LoadStatsRequest(node=node)
    stats = message.cluster_stats.add(
        cluster_name=kind, load_report_interval=duration_pb2.Duration(nanos=int(over * 1e9))
    )
    for name, (good, errored, issued, under_way) in localities.items():
        stats.upstream_locality_stats.add(
            locality=base_pb2.Locality(zone="a", sub_zone=name),
            total_successful_requests=good,
            total_error_requests=errored,
            total_issued_requests=issued,
            total_requests_in_progress=under_way,
        )
    return message


def test_load_reports_become_evidence_and_odd_ones_cost_themselves_alone():
    async def story():
        async with Table(nodes(6), report_every=0.2) as table:
            client = await subscribed(table, "c", False, "spread")
            call = client.channel.stream_stream(REPORT)()
            node = base_pb2.Node(id="c", locality=base_pb2.Locality(zone="a"))
            await call.write(lrs_pb2.LoadStatsRequest(node=node).SerializeToString())
            answer = lrs_pb2.LoadStatsResponse.FromString(await call.read())
            assert list(answer.clusters) == ["lookup", "fee"] and answer.report_endpoint_granularity
            good = {f"n{at}": (20, 0, 20, 0) for at in range(6)}
            await call.write(report(None, "lookup", 0.2, **good).SerializeToString())
            await call.write(report(None, "nobody", 0.2, **good).SerializeToString())
            await call.write(
                report(None, "lookup", 0.2, **good | {"n1": (9999, 0, 5, 0)}).SerializeToString()
            )
            await call.write(b"\x0a\xff")  # cut in the middle
            while not any("cannot be read" in line for line in table.lines):
                await call.write(report(None, "lookup", 0.2, **good).SerializeToString())
                await asyncio.sleep(0.01)
            assert any("nobody" in line for line in table.lines)
            assert any("9999 requests completed" in line for line in table.lines)
            while client.endpoints("lookup")["n2"][1] != "UNHEALTHY":
                await call.write(
                    report(None, "lookup", 0.2, **good | {"n2": (0, 20, 20, 0)}).SerializeToString()
                )
                await asyncio.sleep(0.05)
            call.cancel()  # a stream that is cut costs nothing but itself
            table.roll(n0=(9000, "a", "DRAINING", 0))
            await client.until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            stranger = client.channel.stream_stream(REPORT)()
            await stranger.write(report(None, "lookup", 0.2, **good).SerializeToString())
            assert await stranger.code() is grpc.StatusCode.INVALID_ARGUMENT

    played(story())


class Channel:
    """gRPC's own client, in a process of its own."""

    def __init__(self, table, id="g", zone="a"):
        self.words = [
            sys.executable,
            "-m",
            "oatcart.xds.standin.channel",
            f"127.0.0.1:{table.port}",
            id,
            zone,
        ]

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(*self.words, stdin=-1, stdout=-1, stderr=-3)
        return self

    async def call(self, *words):
        self.process.stdin.write((" ".join(map(str, ("call", *words))) + "\n").encode())
        return json.loads(await asyncio.wait_for(self.process.stdout.readline(), 25))

    async def until(self, met, *words):
        async with asyncio.timeout(20):
            while not met(found := await self.call(*words)):
                pass
            return found

    async def __aexit__(self, *_):
        self.process.kill()
        await self.process.wait()


async def raised(count):
    """So many loopback nodes, and their entries in the list."""
    standing = [Node(f"n{at}") for at in range(count)]
    for node in standing:
        await node.start()
    return standing, {node.name: (node.port, "ab"[at % 2], "SERVING", 0) for at, node in enumerate(standing)}


def test_grpcs_own_client_follows_start_drain_withdrawal_return_and_restart():
    async def story():
        standing, known = await raised(4)
        async with Table(known, report_every=0.5) as table, Channel(table) as channel:
            found = await channel.call("lookup", 200)
            assert found.keys() == known.keys()
            table.roll(n1=(*known["n1"][:2], "DRAINING", 0))
            await channel.until(lambda found: "n1" not in found, "lookup", 40)
            codec, rounds = table.one.rounds.codec, table.one.rounds
            for _ in range(3):  # evidence against n2: it is withdrawn
                for node in standing:
                    bad = 20 if node.name == "n2" else 0
                    rounds.add_event(
                        EndpointLoadReported(
                            codec.endpoint_numbers[node.name],
                            0,
                            1.0,
                            0.05,
                            bad,
                            20,
                            LoadReport(None, 0.3, None),
                        )
                    )
            table.one.nested.kick()
            await channel.until(lambda found: found.keys() == {"n0", "n3"}, "lookup", 40)
            await table.restart()
            await channel.until(
                lambda found: found.keys() >= {"n0", "n2", "n3"} and "n1" not in found, "lookup", 60
            )
            table.roll(n0=(*known["n0"][:2], "DRAINING", 0), n2=None)
            await channel.until(lambda found: found.keys() == {"n3"}, "lookup", 40)  # all gone but one
            table.roll(n1=known["n1"])
            await channel.until(lambda found: found.keys() == {"n1", "n3"}, "lookup", 60)
            assert not [line for line in table.lines if line.startswith("refused")]
        for node in standing:
            await node.stop()

    played(story())


def test_grpcs_own_client_follows_weights():
    """Weights that differ, over enough calls that chance stays within five standard deviations."""

    async def story():
        standing, known = await raised(3)
        async with Table(known, report_every=100.0) as table, Channel(table) as channel:
            await channel.call("lookup", 20)
            codec, rounds = table.one.rounds.codec, table.one.rounds
            for node, busy in zip(standing, (0.2, 0.5, 0.9), strict=True):
                rounds.add_event(
                    EndpointLoadReported(
                        codec.endpoint_numbers[node.name], 0, 1.0, 0.05, 0, 20, LoadReport(None, busy, None)
                    )
                )
            table.one.nested.kick()
            async with asyncio.timeout(10):
                while len({weight for weight, _ in table.view().values()}) < 3 or any(
                    one["in_flight"] for one in table.one.front.status(0.0)
                ):
                    await asyncio.sleep(0.05)
            await channel.call("lookup", 50)
            weights = {name: weight for name, (weight, _) in table.view().items()}
            found = await channel.call("lookup", 3000)
            assert weights == {name: weight for name, (weight, _) in table.view().items()}
            for name, weight in weights.items():
                share = weight / sum(weights.values())
                bound = 5 * (3000 * share * (1 - share)) ** 0.5
                assert abs(found[name] - 3000 * share) <= bound, (weights, found)
        for node in standing:
            await node.stop()

    played(story())


def test_a_fee_is_never_tried_twice_by_grpcs_own_client():
    """Rule 2: nodes that fail after the effect; a replayable kind may be tried again, a fee may not."""

    async def story():
        standing, known = await raised(2)
        async with Table(known) as table, Channel(table) as channel:
            await channel.call("fee", 4)
            await channel.call("lookup", 4)
            rounds = table.one.rounds
            for at in sorted(set(table.one.front.maps[0])):  # the module allows another try after anything
                rounds.set_admission(at, 0, 1.0, RetryPolicy.ON_FAILURE)
            rounds.is_due = True
            table.one.nested.kick()
            for node in standing:
                node.fails = True

            calls = []  # until a lookup runs more often than it was called: the order has come to the client
            await channel.until(
                lambda found: (
                    calls.append(found) or sum(node.effects[b"look"] for node in standing) > len(calls)
                ),
                "lookup",
                1,
                "look",
            )
            for at in range(10):
                found = await channel.call("fee", 1, f"fee{at}")
                assert found == {"!UNAVAILABLE": 1}
            ran = [sum(node.effects[b"fee%d" % at] for node in standing) for at in range(10)]
            assert ran == [1] * 10
        for node in standing:
            await node.stop()

    played(story())
