"""A conductor with the xDS front on loopback, its list handed in; for the tests of the transport."""

import asyncio
import socket

from oatcart.xds.configuration import Source, Xds
from oatcart.xds.serve import Conductor
from oatcart.xds.standin.client import Client
from oatcart.xds.standin.management import Management

KINDS = ["lookup", "fee"]


def config(known, **changes):
    """`known`: by node's id its (port, zone, phase, started)."""
    members = [
        {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "phase": phase, "up_since_ms": up}
        for name, (port, zone, phase, up) in known.items()
    ]
    settings = {
        "quantum": 2.0,
        "zones": ["a", "b"],
        "membershipMode": "push",
        "grades": [
            {"name": "lookup", "aim": 500.0, "idempotency": "idempotent"},
            {"name": "fee", "worth": 3.0, "aim": 1000.0, "idempotency": "at_most_once"},
        ],
        "rules": {"cold": 200.0, "coldShare": 0.2, "tipMultiple": 4.0},
        "specifics": {
            "proxyCount": 8,
            "pushRate": 1e6,
            "envelope": 4.0,
            "queueCap": 1e6,
            "admit": "fraction",
            "period": 1000.0,
        },
    } | changes
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": settings,
    }


class Table:
    """`async with Table({...}) as table`: one conductor and its clients, all closed at the end."""

    def __init__(self, known, settings=None, **xds):
        self.known, self.settings = dict(known), settings or {}
        self.xds = Xds(**({"listen": "127.0.0.1:0"} | xds))
        self.revision, self.clients, self.lines = 1, [], []

    async def __aenter__(self):
        await self.start()
        return self

    async def start(self, port=0):
        ours, self.waker = socket.socketpair()
        ours.setblocking(False)
        xds = self.xds._replace(listen=f"127.0.0.1:{port}")
        self.one = Conductor(config(self.known, **self.settings), xds, ours)
        self.one.rounds.logger.write = lambda kind, text: self.lines.append(f"{kind}: {text}")
        self.one.front.say = self.one.server.say = self.one.rounds.logger.write
        if self.one.follower is not None:
            self.one.follower.say = self.one.rounds.logger.write
        self.sidecar_port = self.one.acceptor.listener.getsockname()[1]
        self.port = await self.one.start()

    async def restart(self):
        """The conductor dies and another takes its address; it knows nothing of the former."""
        await self.one.stop()
        await self.start(self.port)

    def roll(self, whole=True, **changes):
        """The list has changed: a node's tuple, or None where it is gone."""
        self.known |= changes
        self.known = {name: one for name, one in self.known.items() if one}
        self.revision += 1
        rounds = self.one.rounds
        roll = rounds.codec.decode_endpoint_list(config(self.known)["known"] | {"revision": self.revision})
        rounds.watcher.receive(roll)
        self.one.nested.kick()

    def client(self, name, zone="a", **more):
        client = Client(f"127.0.0.1:{self.port}", name, zone, **more)
        self.clients.append(client)
        return client

    def view(self, zone="a", kind="lookup"):
        """What the conductor means clients of a zone to see."""
        front = self.one.front
        if front.zones[zone] not in front.maps:
            return None
        table = front.maps[front.zones[zone]][KINDS.index(kind)]
        return {one.name: (one.weight, one.health) for one in front.shown[table]}

    async def __aexit__(self, *_):
        for client in self.clients:
            await client.close()
        await self.one.stop()


class Following(Table):
    """A conductor that takes its nodes from a scripted management server."""

    async def __aenter__(self):
        self.server = Management("servers")
        at = await self.server.start()
        self.xds = self.xds._replace(source=Source(f"127.0.0.1:{at}", "servers", **self.more))
        return await super().__aenter__()

    def __init__(self, known=(), hold=0.3, with_roll=False, **more):
        super().__init__(known or {}, **more)
        self.more = {"hold": hold, "dial_most": 0.3, "with_roll": with_roll}

    async def __aexit__(self, *_):
        await super().__aexit__()
        await self.server.stop()


def served(*names, **others):
    """Endpoints as the management server tells them; others by health."""
    return [
        (name, "127.0.0.1", 9000 + int(name[1:]), "ab"[int(name[1:]) % 2], others.get(name, "HEALTHY"), 1)
        for name in dict.fromkeys([*names, *others])
    ]


def nodes(count, **changes):
    return {f"n{at}": (9000 + at, "ab"[at % 2], "SERVING", 0) for at in range(count)} | changes


def played(story):
    """Run a test that is a coroutine."""
    return asyncio.run(asyncio.wait_for(story, 60))
