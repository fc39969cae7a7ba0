"""A controller with the xDS front on loopback, whose endpoint list is set by the test."""

import asyncio
import socket

from oatcart.xds.configuration import Source, Xds
from oatcart.xds.serve import XdsController
from oatcart.xds.standin.client import Client
from oatcart.xds.standin.management import ScriptedManagementServer

REQUEST_CLASSES = ["lookup", "fee"]


def config(known, **changes):
    """`known`: (port, zone, phase, started) by endpoint id."""
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


class XdsHarness:
    """`async with XdsHarness({...}) as harness`: a controller and its clients, all closed at the end."""

    def __init__(self, known, settings=None, **xds):
        self.known, self.settings = dict(known), settings or {}
        self.xds = Xds(**({"listen": "127.0.0.1:0"} | xds))
        self.revision, self.clients, self.log_lines = 1, [], []

    async def __aenter__(self):
        await self.start()
        return self

    async def start(self, port=0):
        ours, self.waker = socket.socketpair()
        ours.setblocking(False)
        xds = self.xds._replace(listen=f"127.0.0.1:{port}")
        self.controller = XdsController(config(self.known, **self.settings), xds, ours)
        self.controller.rounds.logger.write = lambda kind, text: self.log_lines.append(f"{kind}: {text}")
        self.controller.front.log = self.controller.server.log = self.controller.rounds.logger.write
        if self.controller.management_client is not None:
            self.controller.management_client.log = self.controller.rounds.logger.write
        self.proxy_port = self.controller.acceptor.listener.getsockname()[1]
        self.port = await self.controller.start()

    async def restart(self):
        """Stop the controller and start another one at its address, which knows nothing of the first."""
        await self.controller.stop()
        await self.start(self.port)

    def update_list(self, complete=True, **changes):
        """Change the endpoint list: the entry of an endpoint by name, None if it is gone."""
        self.known |= changes
        self.known = {name: entry for name, entry in self.known.items() if entry}
        self.revision += 1
        rounds = self.controller.rounds
        endpoint_list = rounds.codec.decode_endpoint_list(
            config(self.known)["known"] | {"revision": self.revision}
        )
        rounds.watcher.receive(endpoint_list)
        self.controller.nested_loop.wake()

    def client(self, name, zone="a", **more):
        client = Client(f"127.0.0.1:{self.port}", name, zone, **more)
        self.clients.append(client)
        return client

    def view(self, zone="a", request_class="lookup"):
        """The endpoints that the controller publishes to clients of a zone; None before the first."""
        front = self.controller.front
        if front.zones[zone] not in front.tables_by_zone:
            return None
        table = front.tables_by_zone[front.zones[zone]][REQUEST_CLASSES.index(request_class)]
        return {entry.name: (entry.weight, entry.health) for entry in front.published_endpoints[table]}

    async def __aexit__(self, *_):
        for client in self.clients:
            await client.close()
        await self.controller.stop()


class ManagementHarness(XdsHarness):
    """A controller with a scripted management server."""

    async def __aenter__(self):
        self.management_server = ScriptedManagementServer("servers")
        port = await self.management_server.start()
        self.xds = self.xds._replace(source=Source(f"127.0.0.1:{port}", "servers", **self.source_settings))
        return await super().__aenter__()

    def __init__(self, known=(), hold=0.3, with_roll=False, **settings):
        super().__init__(known or {}, **settings)
        self.source_settings = {"hold": hold, "dial_most": 0.3, "with_roll": with_roll}

    async def __aexit__(self, *_):
        await super().__aexit__()
        await self.management_server.stop()


def management_list(*names, **states):
    """Endpoints as the management server lists them: `names` are healthy, `states` gives health by name."""
    return [
        (name, "127.0.0.1", 9000 + int(name[1:]), "ab"[int(name[1:]) % 2], states.get(name, "HEALTHY"), 1)
        for name in dict.fromkeys([*names, *states])
    ]


def endpoint_list(count, **changes):
    return {f"n{at}": (9000 + at, "ab"[at % 2], "SERVING", 0) for at in range(count)} | changes


def run_async(coroutine):
    """Run a coroutine within 60 s."""
    return asyncio.run(asyncio.wait_for(coroutine, 60))
