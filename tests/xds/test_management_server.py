"""Endpoints from a management server: which answers are accepted, and what follows when it fails."""

import asyncio
from random import Random

import pytest
from test_front import subscribed_client
from xds_harness import ManagementHarness, endpoint_list, management_list, run_async

from oatcart.events import EndpointEntry
from oatcart.model import EndpointState
from oatcart.xds.backoff import Backoff
from oatcart.xds.endpoint_list_merge import EndpointListMerge, ListSource
from oatcart.xds.verified_endpoints import ReportedEndpoint, VerifiedEndpoints

READY = ReportedEndpoint(0, EndpointState.READY, 1.0)
DRAINING = ReportedEndpoint(0, EndpointState.DRAINING, 1.0)


def reported_endpoints(*names, draining=()):
    return dict.fromkeys(names, READY) | dict.fromkeys(draining, DRAINING)


def test_one_list_without_half_of_the_endpoints_removes_none():
    verified = VerifiedEndpoints(10.0)
    assert verified.receive(0.0, 1000.0, reported_endpoints("a", "b", "c", "d"), True) == ""
    assert "2 of 4" in verified.receive(5.0, 1005.0, reported_endpoints("a", "b"), False)
    assert verified.endpoints.keys() == set("abcd") and verified.recheck_at() == 15.0
    assert verified.receive(
        6.0, 1006.0, reported_endpoints("a", "b", "c"), False
    )  # c is back; d is still retained
    assert verified.endpoints.keys() == set("abcd") and verified.retained_since == {"d": 5.0}
    assert verified.receive(
        14.0, 1014.0, reported_endpoints("a", "b", "c"), True
    )  # first on a new stream, but too soon
    assert verified.receive(
        15.0, 1015.0, reported_endpoints("a", "b", "c"), False
    )  # late enough, but the same stream
    assert verified.receive(15.0, 1015.0, reported_endpoints("a", "b", "c"), True) == ""
    assert verified.endpoints.keys() == set("abc") and verified.recheck_at() == float("inf")
    # one of three is less than half
    assert verified.receive(
        16.0, 1016.0, reported_endpoints("a", "b"), False
    ) == "" and verified.endpoints.keys() == set("ab")


def test_an_empty_list_is_never_accepted_but_a_drain_in_it_is():
    verified = VerifiedEndpoints(1.0)
    assert verified.receive(0.0, 1000.0, {}, True) and verified.endpoints == {}
    verified.receive(0.0, 1000.0, reported_endpoints("a", "b"), True)
    for at in range(1, 9):
        assert verified.receive(float(at), 1000.0, reported_endpoints(draining=["a"]), True)
    assert verified.endpoints == {"a": DRAINING, "b": READY}


def test_drains_are_accepted_at_once_however_many():
    verified = VerifiedEndpoints(1.0)
    verified.receive(0.0, 1000.0, reported_endpoints("a", "b", "c", "d"), True)
    assert verified.receive(1.0, 1001.0, reported_endpoints("a", draining=["b", "c", "d"]), False) == ""
    assert verified.endpoints["d"] == DRAINING


def test_endpoints_that_appear_later_or_return_are_warming_up():
    verified = VerifiedEndpoints(1.0)
    verified.receive(0.0, 1000.0, reported_endpoints("a", "b", "c"), True)
    verified.receive(1.0, 1001.0, reported_endpoints("a", "b", "d", draining=["c"]), False)
    verified.receive(2.0, 1002.0, reported_endpoints("a", "b", "d", "c"), False)
    starts = {name: started_at for name, _, started_at, *_ in verified.entries(lambda name: name)}
    assert starts == {"a": 0.0, "b": 0.0, "c": 1002.0, "d": 1001.0}
    verified.receive(
        3.0, 1003.0, reported_endpoints("b", "c", "d") | {"a": READY._replace(started_at=900.0)}, False
    )
    assert ("a", 0, 900.0, EndpointState.READY, 1.0) in verified.entries(lambda name: name)


def test_a_list_known_at_the_start_is_compared_with_the_first_answer():
    verified = VerifiedEndpoints(1.0)
    verified.restore(reported_endpoints("a", "b", "c") | {"d": READY._replace(started_at=500.0)})
    assert "3 of 4" in verified.receive(0.0, 1000.0, reported_endpoints("d"), True)
    assert verified.endpoints.keys() == set("abcd") and verified.started_at["d"] == 500.0


def test_two_lists_are_merged():
    merge = EndpointListMerge()
    merge.update(
        ListSource.DISCOVERY,
        True,
        [
            EndpointEntry(0, 0, 5.0, EndpointState.READY, 2.0),
            EndpointEntry(1, 0, 0.0, EndpointState.READY, 1.0),
        ],
    )
    assert merge.update(
        ListSource.MANAGEMENT_SERVER,
        True,
        [
            EndpointEntry(0, 1, 9.0, EndpointState.READY, 7.0),
            EndpointEntry(2, 1, 0.0, EndpointState.READY, 1.0),
        ],
    ) == [
        EndpointEntry(0, 0, 9.0, EndpointState.READY, 2.0),
        EndpointEntry(2, 1, 0.0, EndpointState.READY, 1.0),
    ]
    assert (
        merge.update(
            ListSource.MANAGEMENT_SERVER, True, [EndpointEntry(0, 1, 9.0, EndpointState.DRAINING, 7.0)]
        )[0][3]
        == EndpointState.DRAINING
    )
    assert merge.update(ListSource.DISCOVERY, True, []) == [
        EndpointEntry(0, 1, 9.0, EndpointState.DRAINING, 7.0),
        EndpointEntry(1, 0, 0.0, EndpointState.GONE, 1.0),
    ]
    assert [entry[3] for entry in merge.update(ListSource.MANAGEMENT_SERVER, True, [])] == [
        EndpointState.GONE,
        EndpointState.GONE,
    ]
    merge.forget(0)
    assert 0 not in merge.lists[ListSource.DISCOVERY] and 0 not in merge.lists[ListSource.MANAGEMENT_SERVER]


def test_waits_grow_are_capped_and_jittered():
    backoff = Backoff(2.0, Random(1).uniform)
    waits = [backoff.next() for _ in range(12)]
    assert waits[0] < 0.32 and max(waits) <= 2.0 and all(wait > 1.4 for wait in waits[6:])
    assert len({round(wait, 6) for wait in waits[:4]}) == 4
    backoff.answered()
    assert backoff.next() < 0.32


def test_a_controller_follows_a_management_server():
    """Start, drain and return; half of the list missing once; no answer; a closed stream."""

    async def scenario():
        async with ManagementHarness(hold=0.4) as harness:
            harness.management_server.publish(management_list("n0", "n1", "n2", "n3"))
            client = await subscribed_client(harness, "c", False, "whole")
            await client.wait_until(lambda: len(client.endpoints("lookup")) == 4)
            harness.management_server.publish(management_list("n0", "n2", "n3", n1="DRAINING"))
            await client.wait_until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            harness.management_server.publish(management_list("n0"))  # once, then complete again
            harness.management_server.publish(management_list("n0", "n1", "n2", "n3"))
            await client.wait_until(lambda: client.endpoints("lookup").get("n1", (0, ""))[1] == "HEALTHY")
            assert any("suspect list" in line for line in harness.log_lines)
            healthy = [len([1 for _, health in client.endpoints("lookup").values() if health == "HEALTHY"])]
            assert healthy == [4]
            harness.management_server.silent = True
            harness.management_server.close_streams()
            while not any("the last list stays in use" in line for line in harness.log_lines):
                await asyncio.sleep(0.01)
            assert len(client.endpoints("lookup")) == 4
            harness.management_server.silent = False
            harness.management_server.endpoints = management_list(
                "n0", "n3"
            )  # confirmed after the retention time
            harness.management_server.close_streams()
            await client.wait_until(lambda: client.endpoints("lookup").keys() == {"n0", "n3"})
            before = harness.management_server.opened_streams
            harness.management_server.publish([])
            while harness.management_server.opened_streams < before + 2:
                await asyncio.sleep(0.01)
            assert client.endpoints("lookup").keys() == {"n0", "n3"}

    run_async(scenario())


def test_a_response_without_the_cluster_is_no_answer_to_a_recheck():
    # Failure: it counted as a new stream's first answer, so the list after it could not confirm a removal,
    # and one stream after the other was opened without a wait.
    async def scenario():
        async with ManagementHarness(hold=0.3) as harness, asyncio.timeout(10.0):
            server = harness.management_server
            server.publish(management_list("n0", "n1", "n2", "n3"))
            client = await subscribed_client(harness, "c", False, "whole")
            await client.wait_until(lambda: len(client.endpoints("lookup")) == 4)
            server.empty_first = True
            server.publish(management_list("n0"))
            await client.wait_until(lambda: client.endpoints("lookup").keys() == {"n0"})
            assert server.opened_streams == 2

    run_async(scenario())


@pytest.mark.parametrize(
    "invalid, field",
    [
        ([("n1", "one.example", 9001, "a", "HEALTHY", 1)], "endpoints[0].lb_endpoints[0].endpoint.address"),
        ([("n1", "127.0.0.1", 0, "a", "HEALTHY", 1)], "endpoints[0].lb_endpoints[0].endpoint.address"),
        ([("n1", "127.0.0.1", 9001, "mars", "HEALTHY", 1)], "endpoints[0].locality.zone"),
        (
            [("n1", "127.0.0.1", 9001, "a", "HEALTHY", 1), ("n2", "127.0.0.1", 9001, "a", "HEALTHY", 1)],
            "endpoints[1]",
        ),
        ([("n\n1", "127.0.0.1", 9001, "a", "HEALTHY", 1)], "endpoints[0].lb_endpoints[0].endpoint.hostname"),
    ],
)
def test_an_invalid_answer_is_rejected_with_its_field(invalid, field):
    async def scenario():
        async with ManagementHarness() as harness:
            harness.management_server.publish(management_list("n0", "n1"))
            client = await subscribed_client(harness, "c", False, "whole")
            harness.management_server.publish(invalid)
            while not harness.management_server.rejections:
                await asyncio.sleep(0.01)
            assert harness.management_server.rejections[0].startswith(field), (
                harness.management_server.rejections
            )
            harness.management_server.publish(management_list("n0", "n1", "n2"))
            await client.wait_until(lambda: client.endpoints("lookup").keys() == {"n0", "n1", "n2"})

    run_async(scenario())


def test_discovery_and_a_management_server_are_merged():
    async def scenario():
        async with ManagementHarness(endpoint_list(2), with_roll=True) as harness:
            harness.management_server.publish(management_list("n1", "n2"))
            client = await subscribed_client(harness, "c", False, "whole")
            await client.wait_until(lambda: client.endpoints("lookup").keys() == {"n0", "n1", "n2"})
            harness.management_server.publish(management_list("n2", n1="DRAINING"))
            await client.wait_until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            harness.update_list(n0=(9000, "a", "DRAINING", 0))
            await client.wait_until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")

    run_async(scenario())


def test_a_list_of_a_management_server_is_no_answer_of_discovery():
    """Discovery is unreachable: each failed watch is followed by another, whatever else is received."""

    async def scenario():
        async with ManagementHarness(endpoint_list(2), with_roll=True) as harness, asyncio.timeout(10.0):
            client = await subscribed_client(harness, "c", False, "whole")
            for attempt in range(1, 4):
                while sum("the watch ended" in line for line in harness.log_lines) < attempt:
                    await asyncio.sleep(0.02)
                name = f"n{attempt + 1}"
                harness.management_server.publish(management_list("n0", "n1", name))
                await client.wait_until(lambda: name in client.endpoints("lookup"))

    run_async(scenario())
