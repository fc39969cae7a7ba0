"""The xDS front over loopback gRPC: a scripted client, a conductor, a list that changes."""

import pytest
from table import Table, nodes, played

from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

WAYS = [(False, "whole"), (False, "spread"), (True, "whole"), (True, "spread"), (True, "each")]


async def subscribed(table, name, delta, shape, zone="a", **more):
    client = table.client(name, zone, delta=delta, shape=shape, **more)
    client.connect()
    await subscribe(client)
    await client.until(lambda: client.endpoints("lookup") == table.view(zone))
    return client


async def subscribe(client):
    client.ask(CLUSTER)
    client.ask(ENDPOINTS, ["lookup", "fee"])
    if client.node.metadata["oatcart.endpoints"] == "each":
        client.ask(MEMBER, await client.until(client.collections))


def comes_back(client, shape):
    """A new stream; what the client holds goes along."""
    client.connect()
    client.got.clear()
    client.ask(CLUSTER)
    client.ask(ENDPOINTS, ["lookup", "fee"])
    if shape == "each":
        client.ask(MEMBER, client.collections())


@pytest.mark.parametrize("delta, shape", WAYS)
def test_every_way_sees_what_the_conductor_means(delta, shape):
    """Start, drain, and gone: the view follows, and makes come before what builds on them."""

    async def story():
        async with Table(nodes(4)) as table:
            client = await subscribed(table, "c", delta, shape)
            first = [kind for kind, names, *_ in client.got if names]
            assert first.index(CLUSTER) < first.index(ENDPOINTS)
            table.roll(n1=(9001, "b", "DRAINING", 0))
            await client.until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            table.roll(n1=None)
            await client.until(lambda: "n1" not in client.endpoints("lookup"))
            await client.until(lambda: client.endpoints("lookup") == table.view())
            await client.until(lambda: client.endpoints("fee") == table.view("a", "fee"))

    played(story())


def test_a_late_client_gets_drains_and_merges_the_rest():
    """Failure: an endpoint that drains while a push is in flight, at a client that answers nothing."""

    async def story():
        async with Table(nodes(4)) as table:
            client = await subscribed(table, "c", False, "whole")
            client.answers.clear()
            table.roll(n4=(9004, "a", "SERVING", 0))
            await client.until(lambda: "n4" in client.endpoints("lookup"))  # in flight from here on
            table.roll(n5=(9005, "a", "SERVING", 0))  # waits for the answer
            table.roll(n0=(9000, "a", "DRAINING", 0))  # does not
            await client.until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            client.answers.set()
            await client.until(lambda: client.endpoints("lookup") == table.view() and "n5" in table.view())

    played(story())


@pytest.mark.parametrize("delta", [False, True])
def test_a_refused_push_costs_itself_alone(delta):
    """Failure: a client that rejects an update. It stays on what it held, the operator has its words, the
    same is not sent again, others are served on; the next content is tried."""

    async def story():
        async with Table(nodes(3)) as table:

            def bad(kind, message):
                return "I will not have n3" if "n3" in str(message) and "n4" not in str(message) else ""

            client = await subscribed(table, "c", delta, "whole", refuses=bad)
            other = await subscribed(table, "d", delta, "whole")
            before = client.endpoints("lookup")
            table.roll(n3=(9003, "b", "SERVING", 0))
            await other.until(lambda: "n3" in other.endpoints("lookup"))
            await client.until(
                lambda: any(
                    line.startswith("refused: c refuses endpoints") and "I will not have n3" in line
                    for line in table.lines
                )
            )
            sent = len(client.got)
            table.roll(n9=None)  # a list that says the same again
            await other.until(lambda: other.endpoints("lookup") == table.view())
            assert client.endpoints("lookup") == before and len(client.got) <= sent + 2
            table.roll(n4=(9004, "b", "SERVING", 0))
            await client.until(lambda: client.endpoints("lookup") == table.view() and "n4" in table.view())

    played(story())


@pytest.mark.parametrize("delta, shape", WAYS)
def test_a_drain_while_the_client_is_away(delta, shape):
    """Failure: it returns with old versions; it never sees a list without a node to pick."""

    async def story():
        async with Table(nodes(4)) as table:
            client = await subscribed(table, "c", delta, shape)
            await client.drop()
            table.roll(n2=(9002, "a", "DRAINING", 0))
            comes_back(client, shape)
            await client.until(lambda: client.endpoints("lookup")["n2"][1] == "DRAINING")
            await client.until(lambda: client.endpoints("lookup") == table.view())
            if delta:  # what had not changed was not sent again
                assert not any(names and kind == CLUSTER for kind, names, *_ in client.got)

    played(story())


@pytest.mark.parametrize("delta, shape", WAYS)
def test_a_drain_is_seen_by_a_client_that_returns_and_answers_nothing(delta, shape):
    """Failure: the client holds endpoints of an earlier stream and accepts its clusters late."""

    async def story():
        async with Table(nodes(4)) as table:
            client = await subscribed(table, "c", delta, shape)
            await client.drop()
            client.answers.clear()
            table.roll(n2=(9002, "a", "DRAINING", 0))
            comes_back(client, shape)
            await client.until(lambda: client.endpoints("lookup")["n2"][1] == "DRAINING")
            assert not client.answers.is_set()

    played(story())


@pytest.mark.parametrize("delta, shape", WAYS)
def test_a_restart_of_the_conductor(delta, shape):
    """Failure: clients hold versions of its former life. Equal contents bear equal versions, others never."""

    async def story():
        async with Table(nodes(4)) as table:
            client = await subscribed(table, "c", delta, shape)
            held = client.endpoints("lookup")
            table.known["n3"] = (9003, "b", "DRAINING", 0)
            await table.restart()
            await client.until(lambda: client.status is not None)
            assert client.endpoints("lookup") == held  # nothing took it away
            await client.drop()
            comes_back(client, shape)
            await client.until(lambda: client.endpoints("lookup") == table.view())
            assert client.endpoints("lookup").get("n3", (0, "gone"))[1] != "HEALTHY"
            if delta:
                assert not any(names and kind == CLUSTER for kind, names, *_ in client.got)

    played(story())


def test_two_streams_of_one_client_overlap():
    """Failure: a connection whose end nobody saw. Both are served; past the limit the oldest ends for the
    newest, and the module keeps one proxy throughout."""

    async def story():
        async with Table(nodes(3), streams=2) as table:
            one = await subscribed(table, "c", False, "whole")
            two = await subscribed(table, "c", False, "whole")
            three = await subscribed(table, "c", False, "whole")
            await one.until(lambda: one.status is not None)
            assert one.status[0] == "ABORTED"
            table.roll(n0=(9000, "a", "DRAINING", 0))
            for client in two, three:
                await client.until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")
            assert [client["streams"] for client in table.one.front.status(0.0)] == [2]

    played(story())


def test_subscriptions_come_and_go():
    """Names asked for, left and asked for anew; wildcards; what does not exist is told as far as each
    protocol can.
    """

    async def story():
        async with Table(nodes(3)) as table:
            client = table.client("c", delta=True)
            client.connect()
            client.ask(ENDPOINTS, ["lookup", "nonesuch"])
            await client.until(
                lambda: client.endpoints("lookup") and any("nonesuch" in gone for _, _, gone, _ in client.got)
            )
            client.ask(ENDPOINTS, ["fee"])
            await client.until(lambda: client.endpoints("fee"))
            client.ask(ENDPOINTS, unsubscribe=["lookup"])
            client.got.clear()
            client.ask(ENDPOINTS, ["lookup"])
            await client.until(lambda: client.endpoints("lookup"))
            client.ask(LISTENER, ["lookup"])
            client.ask(ROUTE, ["lookup", "fee"])
            await client.until(
                lambda: {"lookup", "fee"} <= client.held[ROUTE].keys() and client.held[LISTENER]
            )
            retried = {
                name: message.virtual_hosts[0].routes[0].route.retry_policy.num_retries.value
                for name, (_, message) in client.held[ROUTE].items()
            }
            assert retried == {"lookup": 1, "fee": 0}  # a fee is never offered another try
            wild = table.client("w", "b")
            wild.connect()
            wild.ask(CLUSTER)
            await wild.until(lambda: wild.held[CLUSTER].keys() == {"lookup", "fee"})
            wild.ask(CLUSTER, ["fee"])
            await wild.until(lambda: wild.held[CLUSTER].keys() == {"fee"})
            wild.ask(ENDPOINTS, ["nonesuch", "fee"])
            await wild.until(lambda: wild.held[ENDPOINTS].keys() == {"fee"})

    played(story())


def test_who_cannot_be_served_is_told_why():
    async def story():
        async with Table(nodes(3), clients=1, names=4) as table:

            async def ended(client, *ask, **more):
                client.connect(**more)
                client.ask(*ask)
                await client.until(lambda: client.status is not None)
                return client.status

            code, words, _ = await ended(table.client("c", "mars"), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "'mars' is none of a, b" in words
            code, words, _ = await ended(table.client(""), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "node.id" in words
            code, words, _ = await ended(table.client("c"), ENDPOINTS, ["a\nb"])
            assert code == "INVALID_ARGUMENT" and "no resource's name" in words
            code, words, _ = await ended(table.client("c"), ENDPOINTS, ["x" * 600])
            assert code == "INVALID_ARGUMENT"
            code, words, _ = await ended(table.client("c"), ENDPOINTS, list("abcdef"))
            assert code == "RESOURCE_EXHAUSTED" and "6 names" in words
            code, words, _ = await ended(table.client("c"), CLUSTER, [], only=ENDPOINTS)
            assert code == "INVALID_ARGUMENT" and "alone" in words
            code, words, _ = await ended(table.client("c", shape="odd"), CLUSTER)
            assert code == "INVALID_ARGUMENT" and "oatcart.endpoints" in words
            odd = table.client("c")
            odd.connect()
            from envoy.service.discovery.v3 import discovery_pb2

            odd.say(discovery_pb2.DiscoveryRequest(node=odd.node, type_url="type.googleapis.com/odd.Thing"))
            await odd.until(lambda: odd.status is not None)
            assert odd.status[0] == "UNIMPLEMENTED" and "served are" in odd.status[1]
            assert not table.one.front.clients  # no record of any of them
            client = await subscribed(table, "c", False, "whole")
            code, words, hints = await ended(table.client("d"), CLUSTER)
            assert code == "RESOURCE_EXHAUSTED" and int(hints["grpc-retry-pushback-ms"]) > 0
            assert client.status is None

    played(story())


def test_a_request_over_the_limit_ends_its_stream_alone():
    async def story():
        async with Table(nodes(3)) as table:
            client = await subscribed(table, "c", False, "whole")
            big = table.client("d")
            big.connect()
            big.ask(ENDPOINTS, [f"{at:0500}" for at in range(4000)])
            await big.until(lambda: big.status is not None)
            assert big.status[0] == "RESOURCE_EXHAUSTED"
            table.roll(n0=(9000, "a", "DRAINING", 0))
            await client.until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")

    played(story())


def test_a_client_that_never_reads_loses_its_stream_and_holds_up_nobody():
    async def story():
        async with Table(nodes(400), unread_for=0.3) as table:
            stuck = table.client("s", shape="spread")
            stuck.connect()
            stuck.reads.clear()
            stuck.ask(ENDPOINTS, ["lookup", "fee"])
            client = await subscribed(table, "c", True, "whole")
            for turn in range(60):
                table.roll(**{f"n{turn}": (9000 + turn, "ab"[turn % 2], "DRAINING", 0)})
                await client.until(lambda: client.endpoints("lookup")[f"n{turn}"][1] == "DRAINING")
                if not any(one["id"] == "s" for one in table.one.front.status(0.0)):
                    break
            await client.until(lambda: all(one["id"] != "s" for one in table.one.front.status(0.0)))
            assert any("left unread" in line for line in table.lines)

    played(story())


def test_endpoints_alone_without_an_aggregate():
    async def story():
        async with Table(nodes(3)) as table:
            for delta in False, True:
                client = table.client(f"c{delta}", delta=delta)
                client.connect(only=ENDPOINTS)
                client.ask(ENDPOINTS, ["lookup"])
                await client.until(lambda: client.endpoints("lookup") == table.view())

    played(story())
