"""The xDS front over loopback gRPC, with scripted clients and a changing endpoint list."""

import pytest
from xds_harness import XdsHarness, endpoint_list, run_async

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

PROTOCOLS_AND_SHAPES = [
    (False, "whole"),
    (False, "spread"),
    (True, "whole"),
    (True, "spread"),
    (True, "each"),
]


async def subscribed_client(harness, name, delta, shape, zone="a", **more):
    client = harness.client(name, zone, delta=delta, shape=shape, **more)
    client.connect()
    await subscribe(client)
    await client.wait_until(lambda: client.endpoints("lookup") == harness.view(zone))
    return client


async def subscribe(client):
    client.request(CLUSTER)
    client.request(ENDPOINTS, ["lookup", "fee"])
    if client.node.metadata["oatcart.endpoints"] == "each":
        client.request(MEMBER, await client.wait_until(client.collections))


def reconnect(client, shape):
    """Open a new stream; its first requests carry the versions that the client has."""
    client.connect()
    client.received.clear()
    client.request(CLUSTER)
    client.request(ENDPOINTS, ["lookup", "fee"])
    if shape == "each":
        client.request(MEMBER, client.collections())


@pytest.mark.parametrize("delta, shape", PROTOCOLS_AND_SHAPES)
def test_every_protocol_and_shape_shows_the_published_endpoints(delta, shape):
    """The view follows a drain and a removal, and clusters are sent before their endpoints."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            client = await subscribed_client(harness, "c", delta, shape)
            first = [resource_type for resource_type, names, *_ in client.received if names]
            assert first.index(CLUSTER) < first.index(ENDPOINTS)
            harness.update_list(n1=(9001, "b", "DRAINING", 0))
            await client.wait_until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            harness.update_list(n1=None)
            await client.wait_until(lambda: "n1" not in client.endpoints("lookup"))
            await client.wait_until(lambda: client.endpoints("lookup") == harness.view())
            await client.wait_until(lambda: client.endpoints("fee") == harness.view("a", "fee"))

    run_async(scenario())


def test_a_client_that_answers_late_gets_drains_at_once_and_the_rest_merged():
    """Guards against a drain that waits for the answer to a push in flight."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            client = await subscribed_client(harness, "c", False, "whole")
            client.answering.clear()
            harness.update_list(n4=(9004, "a", "SERVING", 0))
            await client.wait_until(lambda: "n4" in client.endpoints("lookup"))  # in flight from here on
            harness.update_list(n5=(9005, "a", "SERVING", 0))  # waits for the answer
            harness.update_list(n0=(9000, "a", "DRAINING", 0))  # does not
            await client.wait_until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            client.answering.set()
            await client.wait_until(
                lambda: client.endpoints("lookup") == harness.view() and "n5" in harness.view()
            )

    run_async(scenario())


@pytest.mark.parametrize("delta", [False, True])
def test_a_rejected_push_affects_only_the_client_that_rejects_it(delta):
    """The client keeps its resources, its message is logged, the content is not sent again until it changes,
    and other clients are served."""

    async def scenario():
        async with XdsHarness(endpoint_list(3)) as harness:

            def reason(resource_type, message):
                return "I will not have n3" if "n3" in str(message) and "n4" not in str(message) else ""

            client = await subscribed_client(harness, "c", delta, "whole", reject_reason=reason)
            other = await subscribed_client(harness, "d", delta, "whole")
            before = client.endpoints("lookup")
            harness.update_list(n3=(9003, "b", "SERVING", 0))
            await other.wait_until(lambda: "n3" in other.endpoints("lookup"))
            await client.wait_until(
                lambda: any(
                    line.startswith("refused: c rejects endpoints") and "I will not have n3" in line
                    for line in harness.log_lines
                )
            )
            sent = len(client.received)
            harness.update_list(n9=None)  # the list without a change
            await other.wait_until(lambda: other.endpoints("lookup") == harness.view())
            assert client.endpoints("lookup") == before and len(client.received) <= sent + 2
            harness.update_list(n4=(9004, "b", "SERVING", 0))
            await client.wait_until(
                lambda: client.endpoints("lookup") == harness.view() and "n4" in harness.view()
            )

    run_async(scenario())


@pytest.mark.parametrize("delta, shape", PROTOCOLS_AND_SHAPES)
def test_a_drain_while_the_client_is_away_is_sent_on_its_return(delta, shape):
    """Guards against a client that returns with old versions and is not sent the drain."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            client = await subscribed_client(harness, "c", delta, shape)
            await client.disconnect()
            harness.update_list(n2=(9002, "a", "DRAINING", 0))
            reconnect(client, shape)
            await client.wait_until(lambda: client.endpoints("lookup")["n2"][1] == "DRAINING")
            await client.wait_until(lambda: client.endpoints("lookup") == harness.view())
            if delta:  # unchanged clusters are not sent again
                assert not any(
                    names and resource_type == CLUSTER for resource_type, names, *_ in client.received
                )

    run_async(scenario())


@pytest.mark.parametrize("delta, shape", PROTOCOLS_AND_SHAPES)
def test_a_drain_is_seen_by_a_client_that_returns_and_answers_nothing(delta, shape):
    """Guards against a drain that waits until a returning client acknowledges its clusters."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            client = await subscribed_client(harness, "c", delta, shape)
            await client.disconnect()
            client.answering.clear()
            harness.update_list(n2=(9002, "a", "DRAINING", 0))
            reconnect(client, shape)
            await client.wait_until(lambda: client.endpoints("lookup")["n2"][1] == "DRAINING")
            assert not client.answering.is_set()

    run_async(scenario())


@pytest.mark.parametrize("delta, shape", PROTOCOLS_AND_SHAPES)
def test_clients_keep_their_endpoints_over_a_restart_of_the_controller(delta, shape):
    """Clients have versions of an earlier incarnation: equal contents have equal versions, others never."""

    async def scenario():
        async with XdsHarness(endpoint_list(4)) as harness:
            client = await subscribed_client(harness, "c", delta, shape)
            before = client.endpoints("lookup")
            harness.known["n3"] = (9003, "b", "DRAINING", 0)
            await harness.restart()
            await client.wait_until(lambda: client.status is not None)
            assert client.endpoints("lookup") == before  # the end of the stream removes nothing
            await client.disconnect()
            reconnect(client, shape)
            await client.wait_until(lambda: client.endpoints("lookup") == harness.view())
            assert client.endpoints("lookup").get("n3", (0, "gone"))[1] != "HEALTHY"
            if delta:
                assert not any(
                    names and resource_type == CLUSTER for resource_type, names, *_ in client.received
                )

    run_async(scenario())


def test_two_streams_of_one_client_overlap():
    """After a connection whose end was not noticed, both streams are served; over the limit the oldest is
    closed for the newest, and the client stays one proxy."""

    async def scenario():
        async with XdsHarness(endpoint_list(3), streams=2) as harness:
            one = await subscribed_client(harness, "c", False, "whole")
            two = await subscribed_client(harness, "c", False, "whole")
            three = await subscribed_client(harness, "c", False, "whole")
            await one.wait_until(lambda: one.status is not None)
            assert one.status[0] == "ABORTED"
            harness.update_list(n0=(9000, "a", "DRAINING", 0))
            for client in two, three:
                await client.wait_until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            assert [client["streams"] for client in harness.controller.front.status(0.0)] == [2]

    run_async(scenario())


def test_names_are_subscribed_unsubscribed_and_subscribed_again():
    """Also wildcards, and names that do not exist, which only the incremental protocol can report."""

    async def scenario():
        async with XdsHarness(endpoint_list(3)) as harness:
            client = harness.client("c", delta=True)
            client.connect()
            client.request(ENDPOINTS, ["lookup", "nonesuch"])
            await client.wait_until(
                lambda: (
                    client.endpoints("lookup")
                    and any("nonesuch" in gone for _, _, gone, _ in client.received)
                )
            )
            client.request(ENDPOINTS, ["fee"])
            await client.wait_until(lambda: client.endpoints("fee"))
            client.request(ENDPOINTS, unsubscribe=["lookup"])
            client.received.clear()
            client.request(ENDPOINTS, ["lookup"])
            await client.wait_until(lambda: client.endpoints("lookup"))
            client.request(LISTENER, ["lookup"])
            client.request(ROUTE, ["lookup", "fee"])
            await client.wait_until(
                lambda: {"lookup", "fee"} <= client.resources[ROUTE].keys() and client.resources[LISTENER]
            )
            retried = {
                name: message.virtual_hosts[0].routes[0].route.retry_policy.num_retries.value
                for name, (_, message) in client.resources[ROUTE].items()
            }
            assert retried == {"lookup": 1, "fee": 0}  # `fee` is not idempotent
            wild = harness.client("w", "b")
            wild.connect()
            wild.request(CLUSTER)
            await wild.wait_until(lambda: wild.resources[CLUSTER].keys() == {"lookup", "fee"})
            wild.request(CLUSTER, ["fee"])
            await wild.wait_until(lambda: wild.resources[CLUSTER].keys() == {"fee"})
            wild.request(ENDPOINTS, ["nonesuch", "fee"])
            await wild.wait_until(lambda: wild.resources[ENDPOINTS].keys() == {"fee"})

    run_async(scenario())


def test_a_rejected_client_gets_the_reason():
    async def scenario():
        async with XdsHarness(endpoint_list(3), clients=1, names=4) as harness:

            async def ended(client, *request, **more):
                client.connect(**more)
                client.request(*request)
                await client.wait_until(lambda: client.status is not None)
                return client.status

            code, details, _ = await ended(harness.client("c", "mars"), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "got 'mars', expected one of a, b" in details
            code, details, _ = await ended(harness.client(""), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "node.id" in details
            code, details, _ = await ended(harness.client("c"), ENDPOINTS, ["a\nb"])
            assert code == "INVALID_ARGUMENT" and "expected a resource name" in details
            code, details, _ = await ended(harness.client("c"), ENDPOINTS, ["x" * 600])
            assert code == "INVALID_ARGUMENT"
            code, details, _ = await ended(harness.client("c"), ENDPOINTS, list("abcdef"))
            assert code == "RESOURCE_EXHAUSTED" and "6 names" in details
            code, details, _ = await ended(harness.client("c"), CLUSTER, [], only_type=ENDPOINTS)
            assert code == "INVALID_ARGUMENT" and "stream for one type" in details
            code, details, _ = await ended(harness.client("c", shape="odd"), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "oatcart.endpoints" in details
            unknown = harness.client("c")
            unknown.connect()
            from envoy.service.discovery.v3 import discovery_pb2

            unknown.send_raw(
                discovery_pb2.DiscoveryRequest(node=unknown.node, type_url="type.googleapis.com/odd.Thing")
            )
            await unknown.wait_until(lambda: unknown.status is not None)
            assert unknown.status[0] == "UNIMPLEMENTED" and "supported are" in unknown.status[1]
            assert not harness.controller.front.clients  # no record of any of them
            client = await subscribed_client(harness, "c", False, "whole")
            code, details, metadata = await ended(harness.client("d"), CLUSTER)
            assert code == "RESOURCE_EXHAUSTED" and int(metadata["grpc-retry-pushback-ms"]) > 0
            assert client.status is None

    run_async(scenario())


def test_a_request_over_the_limit_ends_only_its_stream():
    async def scenario():
        async with XdsHarness(endpoint_list(3)) as harness:
            client = await subscribed_client(harness, "c", False, "whole")
            big = harness.client("d")
            big.connect()
            big.request(ENDPOINTS, [f"{at:0500}" for at in range(4000)])
            await big.wait_until(lambda: big.status is not None)
            assert big.status[0] == "RESOURCE_EXHAUSTED"
            harness.update_list(n0=(9000, "a", "DRAINING", 0))
            await client.wait_until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")

    run_async(scenario())


def test_a_client_that_never_reads_loses_its_stream_and_delays_no_other():
    async def scenario():
        async with XdsHarness(endpoint_list(400), unread_for=0.3) as harness:
            stuck = harness.client("s", shape="spread")
            stuck.connect()
            stuck.reading.clear()
            stuck.request(ENDPOINTS, ["lookup", "fee"])
            client = await subscribed_client(harness, "c", True, "whole")
            for number in range(60):
                harness.update_list(**{f"n{number}": (9000 + number, "ab"[number % 2], "DRAINING", 0)})
                await client.wait_until(lambda: client.endpoints("lookup")[f"n{number}"][1] == "DRAINING")
                if not any(one["id"] == "s" for one in harness.controller.front.status(0.0)):
                    break
            await client.wait_until(
                lambda: all(one["id"] != "s" for one in harness.controller.front.status(0.0))
            )
            assert any("left unread" in line for line in harness.log_lines)

    run_async(scenario())


def test_endpoint_discovery_works_without_the_aggregated_service():
    async def scenario():
        async with XdsHarness(endpoint_list(3)) as harness:
            for delta in False, True:
                client = harness.client(f"c{delta}", delta=delta)
                client.connect(only_type=ENDPOINTS)
                client.request(ENDPOINTS, ["lookup"])
                await client.wait_until(lambda: client.endpoints("lookup") == harness.view())

    run_async(scenario())
