"""Nodes taken from a management server: what is believed of it, and what a conductor does when it is wrong or
gone.
"""

import asyncio
from random import Random

import pytest
from table import Following, nodes, played, served
from test_front import subscribed

from oatcart.events import EndpointEntry
from oatcart.model import EndpointState
from oatcart.xds.backoff import Backoff
from oatcart.xds.endpoint_list_merge import EndpointListMerge, ListSource
from oatcart.xds.verified_endpoints import ReportedEndpoint, VerifiedEndpoints

READY = ReportedEndpoint(0, EndpointState.READY, 1.0)
DRAINS = ReportedEndpoint(0, EndpointState.DRAINING, 1.0)


def told(*names, drains=()):
    return dict.fromkeys(names, READY) | dict.fromkeys(drains, DRAINS)


def test_half_a_list_once_takes_nobody_away():
    one = VerifiedEndpoints(10.0)
    assert one.receive(0.0, 1000.0, told("a", "b", "c", "d"), True) == ""
    assert "2 of 4" in one.receive(5.0, 1005.0, told("a", "b"), False)
    assert one.endpoints.keys() == set("abcd") and one.recheck_at() == 15.0
    assert one.receive(6.0, 1006.0, told("a", "b", "c"), False)  # c is back; d is still in doubt
    assert one.endpoints.keys() == set("abcd") and one.retained_since == {"d": 5.0}
    assert one.receive(14.0, 1014.0, told("a", "b", "c"), True)  # fresh, but too soon
    assert one.receive(15.0, 1015.0, told("a", "b", "c"), False)  # late enough, but the same stream
    assert one.receive(15.0, 1015.0, told("a", "b", "c"), True) == ""
    assert one.endpoints.keys() == set("abc") and one.recheck_at() == float("inf")
    # one is no half
    assert one.receive(16.0, 1016.0, told("a", "b"), False) == "" and one.endpoints.keys() == set("ab")


def test_an_empty_list_is_never_believed_and_a_drain_in_it_is():
    one = VerifiedEndpoints(1.0)
    assert one.receive(0.0, 1000.0, {}, True) and one.endpoints == {}
    one.receive(0.0, 1000.0, told("a", "b"), True)
    for at in range(1, 9):
        assert one.receive(float(at), 1000.0, told(drains=["a"]), True)
    assert one.endpoints == {"a": DRAINS, "b": READY}


def test_drains_are_believed_at_once_however_many():
    one = VerifiedEndpoints(1.0)
    one.receive(0.0, 1000.0, told("a", "b", "c", "d"), True)
    assert one.receive(1.0, 1001.0, told("a", drains=["b", "c", "d"]), False) == ""
    assert one.endpoints["d"] == DRAINS


def test_who_comes_later_or_comes_back_is_cold():
    one = VerifiedEndpoints(1.0)
    one.receive(0.0, 1000.0, told("a", "b", "c"), True)
    one.receive(1.0, 1001.0, told("a", "b", "d", drains=["c"]), False)
    one.receive(2.0, 1002.0, told("a", "b", "d", "c"), False)
    starts = {place: started for place, _, started, *_ in one.entries(lambda name: name)}
    assert starts == {"a": 0.0, "b": 0.0, "c": 1002.0, "d": 1001.0}
    one.receive(3.0, 1003.0, told("b", "c", "d") | {"a": READY._replace(started_at=900.0)}, False)
    assert ("a", 0, 900.0, EndpointState.READY, 1.0) in one.entries(lambda name: name)


def test_a_list_known_at_the_start_is_held_against_the_first_answer():
    one = VerifiedEndpoints(1.0)
    one.restore(told("a", "b", "c") | {"d": READY._replace(started_at=500.0)})
    assert "3 of 4" in one.receive(0.0, 1000.0, told("d"), True)
    assert one.endpoints.keys() == set("abcd") and one.started_at["d"] == 500.0


def test_two_lists_become_one():
    one = EndpointListMerge()
    one.update(
        ListSource.DISCOVERY,
        True,
        [
            EndpointEntry(0, 0, 5.0, EndpointState.READY, 2.0),
            EndpointEntry(1, 0, 0.0, EndpointState.READY, 1.0),
        ],
    )
    assert one.update(
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
        one.update(
            ListSource.MANAGEMENT_SERVER, True, [EndpointEntry(0, 1, 9.0, EndpointState.DRAINING, 7.0)]
        )[0][3]
        == EndpointState.DRAINING
    )
    assert one.update(ListSource.DISCOVERY, True, []) == [
        EndpointEntry(0, 1, 9.0, EndpointState.DRAINING, 7.0),
        EndpointEntry(1, 0, 0.0, EndpointState.GONE, 1.0),
    ]
    assert [entry[3] for entry in one.update(ListSource.MANAGEMENT_SERVER, True, [])] == [
        EndpointState.GONE,
        EndpointState.GONE,
    ]
    one.forget(0)
    assert 0 not in one.lists[ListSource.DISCOVERY] and 0 not in one.lists[ListSource.MANAGEMENT_SERVER]


def test_waits_grow_are_capped_and_jittered():
    one = Backoff(2.0, Random(1).uniform)
    waits = [one.next() for _ in range(12)]
    assert waits[0] < 0.32 and max(waits) <= 2.0 and all(wait > 1.4 for wait in waits[6:])
    assert len({round(wait, 6) for wait in waits[:4]}) == 4
    one.answered()
    assert one.next() < 0.32


def test_a_conductor_follows_a_management_server():
    """Start, drain and return; half a list once; silence; a cut; each while a client watches."""

    async def story():
        async with Following(hold=0.4) as table:
            table.server.says(served("n0", "n1", "n2", "n3"))
            client = await subscribed(table, "c", False, "whole")
            await client.until(lambda: len(client.endpoints("lookup")) == 4)
            table.server.says(served("n0", "n2", "n3", n1="DRAINING"))
            await client.until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            table.server.says(served("n0"))  # once, and then whole again
            table.server.says(served("n0", "n1", "n2", "n3"))
            await client.until(lambda: client.endpoints("lookup").get("n1", (0, ""))[1] == "HEALTHY")
            assert any("doubted" in line for line in table.lines)
            healthy = [len([1 for _, health in client.endpoints("lookup").values() if health == "HEALTHY"])]
            assert healthy == [4]
            table.server.silent = True
            table.server.cut()
            while not any("the last list stands" in line for line in table.lines):
                await asyncio.sleep(0.01)
            assert len(client.endpoints("lookup")) == 4
            table.server.silent = False
            table.server.now = served("n0", "n3")  # and so it stays: after the hold it is believed
            table.server.cut()
            await client.until(lambda: client.endpoints("lookup").keys() == {"n0", "n3"})
            before = table.server.opened
            table.server.says([])
            while table.server.opened < before + 2:
                await asyncio.sleep(0.01)
            assert client.endpoints("lookup").keys() == {"n0", "n3"}

    played(story())


@pytest.mark.parametrize(
    "bad, field",
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
def test_an_answer_that_cannot_be_used_is_refused_by_its_field(bad, field):
    async def story():
        async with Following() as table:
            table.server.says(served("n0", "n1"))
            client = await subscribed(table, "c", False, "whole")
            table.server.says(bad)
            while not table.server.refused:
                await asyncio.sleep(0.01)
            assert table.server.refused[0].startswith(field), table.server.refused
            table.server.says(served("n0", "n1", "n2"))
            await client.until(lambda: client.endpoints("lookup").keys() == {"n0", "n1", "n2"})

    played(story())


def test_a_roll_and_a_server_are_merged():
    async def story():
        async with Following(nodes(2), with_roll=True) as table:
            table.server.says(served("n1", "n2"))
            client = await subscribed(table, "c", False, "whole")
            await client.until(lambda: client.endpoints("lookup").keys() == {"n0", "n1", "n2"})
            table.server.says(served("n2", n1="DRAINING"))
            await client.until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")
            table.roll(n0=(9000, "a", "DRAINING", 0))
            await client.until(lambda: client.endpoints("lookup")["n0"][1] == "DRAINING")

    played(story())
