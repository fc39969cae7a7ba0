"""Proxies, gRPC's own xDS client and load reports at one controller, over loopback."""

import asyncio
import json
import sys
import time

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf import duration_pb2
from test_front import subscribed_client
from xds_harness import XdsHarness, endpoint_list, run_async

from oatcart.events import EndpointLoadReported
from oatcart.model import LoadReport, RetryPolicy
from oatcart.xds.server import LOAD_REPORTING_SERVICE
from oatcart.xds.standin.nodes import ScriptedEndpoint

STREAM_METHOD = f"/{LOAD_REPORTING_SERVICE}/StreamLoadStats"


class Proxy:
    """A proxy of the JSON protocol, which keeps its routing tables."""

    def __init__(self, harness, number):
        self.number, self.weights, self.ejected = number, {}, set()
        codec = harness.controller.rounds.codec  # names only
        self.request_classes = codec.request_class_names
        self.port = harness.proxy_port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.send(msg="joined", sidecar=self.number, az="a", share=1, standing=True)

    def send(self, **message):
        self.writer.write(json.dumps(message).encode() + b"\n")

    async def receive(self):
        """Read a message and apply it."""
        part = json.loads(await self.reader.readline())
        for request_class in part.get("routes", self.request_classes):
            if part.get("full"):
                self.weights[request_class] = {}
            self.weights.setdefault(request_class, {}).update(part.get("endpoints", []))
        self.ejected = (self.ejected | set(part.get("eject", []))) - set(part.get("restore", []))
        if "nonce_out" in part:
            self.send(msg="applied", sidecar=self.number, version=part["nonce_out"], lag_ms=1.0)

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await self.receive()

    def pickable(self, request_class):
        return {
            endpoint: weight
            for endpoint, weight in self.weights.get(request_class, {}).items()
            if weight and endpoint not in self.ejected
        }


def test_a_proxy_and_xds_clients_see_the_same_table():
    """The tables agree at the start, after a drain, after load reports and while an endpoint warms up."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            proxy = Proxy(harness, 3)
            await proxy.connect()
            clients = [
                await subscribed_client(harness, f"c{at}", delta, shape)
                for at, (delta, shape) in enumerate([(False, "whole"), (True, "each"), (False, "spread")])
            ]

            def pickable(client, request_class):
                return {
                    name: weight
                    for name, (weight, health) in client.endpoints(request_class).items()
                    if health == "HEALTHY"
                }

            async def agree(condition):
                await proxy.wait_until(lambda: condition(proxy.pickable("lookup")))
                for client in clients:
                    for request_class in "lookup", "fee":
                        await client.wait_until(
                            lambda: pickable(client, request_class) == proxy.pickable(request_class)
                        )

            await agree(lambda found: len(found) == 4)
            harness.update_list(n1=(9001, "b", "DRAINING", 0))
            await agree(lambda found: len(found) == 3)
            numbers = harness.controller.rounds.codec.endpoint_numbers
            for _ in range(3):
                for name, duration in ("n0", 0.05), ("n2", 0.4), ("n3", 0.1):
                    harness.controller.rounds.add_event(
                        EndpointLoadReported(
                            numbers[name], 0, 1.0, duration, 0, 50, LoadReport(None, 0.5, None)
                        )
                    )
            harness.controller.nested_loop.wake()
            await agree(lambda found: len(set(found.values())) > 1)
            harness.update_list(n1=(9001, "b", "SERVING", time.time() * 1000))
            await agree(lambda found: 0 < found.get("n1", 0) < found["n0"])
            proxy.writer.close()

    run_async(scenario())


def report(client, request_class, interval, **localities):
    """A load report as gRPC's own client makes it, with a locality for each endpoint.

    `localities`: (succeeded, failed, issued, in flight) by endpoint name.
    """
    message = lrs_pb2.LoadStatsRequest(node=client)
    stats = message.cluster_stats.add(
        cluster_name=request_class, load_report_interval=duration_pb2.Duration(nanos=int(interval * 1e9))
    )
    for name, (succeeded, failed, issued, in_flight) in localities.items():
        stats.upstream_locality_stats.add(
            locality=base_pb2.Locality(zone="a", sub_zone=name),
            total_successful_requests=succeeded,
            total_error_requests=failed,
            total_issued_requests=issued,
            total_requests_in_progress=in_flight,
        )
    return message


def test_load_reports_become_events_and_only_invalid_ones_are_left_out():
    async def scenario():
        async with XdsHarness(endpoint_list(6), report_every=0.2) as harness:
            client = await subscribed_client(harness, "c", False, "spread")
            call = client.channel.stream_stream(STREAM_METHOD)()
            node = base_pb2.Node(id="c", locality=base_pb2.Locality(zone="a"))
            await call.write(lrs_pb2.LoadStatsRequest(node=node).SerializeToString())
            answer = lrs_pb2.LoadStatsResponse.FromString(await call.read())
            assert list(answer.clusters) == ["lookup", "fee"] and answer.report_endpoint_granularity
            counts = {f"n{at}": (20, 0, 20, 0) for at in range(6)}
            await call.write(report(None, "lookup", 0.2, **counts).SerializeToString())
            await call.write(report(None, "nobody", 0.2, **counts).SerializeToString())
            await call.write(
                report(None, "lookup", 0.2, **counts | {"n1": (9999, 0, 5, 0)}).SerializeToString()
            )
            await call.write(b"\x0a\xff")  # a truncated message
            while not any("malformed LoadStatsRequest" in line for line in harness.log_lines):
                await call.write(report(None, "lookup", 0.2, **counts).SerializeToString())
                await asyncio.sleep(0.01)
            assert any("nobody" in line for line in harness.log_lines)
            assert any("9999 requests completed" in line for line in harness.log_lines)
            while client.endpoints("lookup")["n2"][1] != "UNHEALTHY":
                await call.write(
                    report(None, "lookup", 0.2, **counts | {"n2": (0, 20, 20, 0)}).SerializeToString()
                )
                await asyncio.sleep(0.05)
            call.cancel()  # a cancelled stream has no effect on others
            harness.update_list(n0=(9000, "a", "DRAINING", 0))
            await client.wait_until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            unidentified = client.channel.stream_stream(STREAM_METHOD)()
            await unidentified.write(report(None, "lookup", 0.2, **counts).SerializeToString())
            assert await unidentified.code() is grpc.StatusCode.INVALID_ARGUMENT

    run_async(scenario())


class Channel:
    """gRPC's own client, in a process of its own."""

    def __init__(self, harness, id="g", zone="a"):
        self.command = [
            sys.executable,
            "-m",
            "oatcart.xds.standin.channel",
            f"127.0.0.1:{harness.port}",
            id,
            zone,
        ]

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(*self.command, stdin=-1, stdout=-1, stderr=-3)
        return self

    async def call(self, *words):
        self.process.stdin.write((" ".join(map(str, ("call", *words))) + "\n").encode())
        return json.loads(await asyncio.wait_for(self.process.stdout.readline(), 25))

    async def wait_until(self, condition, *words):
        async with asyncio.timeout(20):
            while not condition(found := await self.call(*words)):
                pass
            return found

    async def __aexit__(self, *_):
        self.process.kill()
        await self.process.wait()


async def start_endpoints(count):
    """Start so many loopback endpoints; returns them and their entries in the endpoint list."""
    endpoints = [ScriptedEndpoint(f"n{number}") for number in range(count)]
    for endpoint in endpoints:
        await endpoint.start()
    return endpoints, {
        endpoint.name: (endpoint.port, "ab"[number % 2], "SERVING", 0)
        for number, endpoint in enumerate(endpoints)
    }


def test_the_grpc_client_follows_start_drain_ejection_return_and_restart():
    async def scenario():
        endpoints, known = await start_endpoints(4)
        async with XdsHarness(known, report_every=0.5) as harness, Channel(harness) as channel:
            found = await channel.call("lookup", 200)
            assert found.keys() == known.keys()
            harness.update_list(n1=(*known["n1"][:2], "DRAINING", 0))
            await channel.wait_until(lambda found: "n1" not in found, "lookup", 40)
            codec, rounds = harness.controller.rounds.codec, harness.controller.rounds
            for _ in range(3):  # n2 fails all its requests, so it is ejected
                for endpoint in endpoints:
                    failed = 20 if endpoint.name == "n2" else 0
                    rounds.add_event(
                        EndpointLoadReported(
                            codec.endpoint_numbers[endpoint.name],
                            0,
                            1.0,
                            0.05,
                            failed,
                            20,
                            LoadReport(None, 0.3, None),
                        )
                    )
            harness.controller.nested_loop.wake()
            await channel.wait_until(lambda found: found.keys() == {"n0", "n3"}, "lookup", 40)
            await harness.restart()
            await channel.wait_until(
                lambda found: found.keys() >= {"n0", "n2", "n3"} and "n1" not in found, "lookup", 60
            )
            harness.update_list(n0=(*known["n0"][:2], "DRAINING", 0), n2=None)
            await channel.wait_until(
                lambda found: found.keys() == {"n3"}, "lookup", 40
            )  # one endpoint is left
            harness.update_list(n1=known["n1"])
            await channel.wait_until(lambda found: found.keys() == {"n1", "n3"}, "lookup", 60)
            assert not [line for line in harness.log_lines if line.startswith("refused")]
        for endpoint in endpoints:
            await endpoint.stop()

    run_async(scenario())


def test_the_grpc_client_follows_weights():
    """Shares of calls match the weights within five standard deviations."""

    async def scenario():
        endpoints, known = await start_endpoints(3)
        async with XdsHarness(known, report_every=100.0) as harness, Channel(harness) as channel:
            await channel.call("lookup", 20)
            codec, rounds = harness.controller.rounds.codec, harness.controller.rounds
            for endpoint, utilization in zip(endpoints, (0.2, 0.5, 0.9), strict=True):
                rounds.add_event(
                    EndpointLoadReported(
                        codec.endpoint_numbers[endpoint.name],
                        0,
                        1.0,
                        0.05,
                        0,
                        20,
                        LoadReport(None, utilization, None),
                    )
                )
            harness.controller.nested_loop.wake()
            async with asyncio.timeout(10):
                while len({weight for weight, _ in harness.view().values()}) < 3 or any(
                    one["in_flight"] for one in harness.controller.front.status(0.0)
                ):
                    await asyncio.sleep(0.05)
            await channel.call("lookup", 50)
            weights = {name: weight for name, (weight, _) in harness.view().items()}
            found = await channel.call("lookup", 3000)
            assert weights == {name: weight for name, (weight, _) in harness.view().items()}
            for name, weight in weights.items():
                share = weight / sum(weights.values())
                bound = 5 * (3000 * share * (1 - share)) ** 0.5
                assert abs(found[name] - 3000 * share) <= bound, (weights, found)
        for endpoint in endpoints:
            await endpoint.stop()

    run_async(scenario())


def test_the_grpc_client_never_retries_a_class_that_is_not_idempotent():
    """Rule 2: endpoints fail after a call took effect; an idempotent class may be retried, `fee` may not."""

    async def scenario():
        endpoints, known = await start_endpoints(2)
        async with XdsHarness(known) as harness, Channel(harness) as channel:
            await channel.call("fee", 4)
            await channel.call("lookup", 4)
            rounds = harness.controller.rounds
            for at in sorted(
                set(harness.controller.front.tables_by_zone[0])
            ):  # allow a retry after any failure
                rounds.set_admission(at, 0, 1.0, RetryPolicy.ON_FAILURE)
            rounds.is_due = True
            harness.controller.nested_loop.wake()
            for endpoint in endpoints:
                endpoint.fails_after_effect = True

            calls = []  # until a lookup runs more often than it was called: the client has the retry policy
            await channel.wait_until(
                lambda found: (
                    calls.append(found)
                    or sum(endpoint.calls_by_key[b"look"] for endpoint in endpoints) > len(calls)
                ),
                "lookup",
                1,
                "look",
            )
            for at in range(10):
                found = await channel.call("fee", 1, f"fee{at}")
                assert found == {"!UNAVAILABLE": 1}
            ran = [sum(endpoint.calls_by_key[b"fee%d" % at] for endpoint in endpoints) for at in range(10)]
            assert ran == [1] * 10
        for endpoint in endpoints:
            await endpoint.stop()

    run_async(scenario())
