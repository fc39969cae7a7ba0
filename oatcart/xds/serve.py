"""A controller with the xDS front, which serves proxies and xDS clients by the same decisions."""

import asyncio
import socket
import sys
import time
from collections.abc import Callable
from random import Random

from oatcart.errors import InvalidConfigurationError
from oatcart.model import AdmissionMode
from oatcart.net.assembly import assemble
from oatcart.net.configuration_reload import reload_signal
from oatcart.net.loop import Loop
from oatcart.settings import read_controller_settings
from oatcart.xds.backoff import Backoff
from oatcart.xds.configuration import Xds, capacity_warning
from oatcart.xds.encode import Encoder
from oatcart.xds.endpoint_list_merge import EndpointListMerge
from oatcart.xds.follow import ManagementServerClient
from oatcart.xds.front import Front, new_incarnation
from oatcart.xds.limits import ClientLimits, PushBudget
from oatcart.xds.nested import NestedLoop
from oatcart.xds.rounds import XdsRounds
from oatcart.xds.server import Server
from oatcart.xds.verified_endpoints import ReportedEndpoint, VerifiedEndpoints

EXIT_INVALID_CONFIGURATION = 2  # exit code


class XdsController:
    """A controller with its sockets, the xDS front and the client of a management server, if one is set.

    `cfg`: the content of the file that `EDGE_CONFIG` names; `reload_socket`: readable once that file has to
    be read again; `with_tracing`: wraps the maker of the rounds, so that they are recorded.
    """

    def __init__(
        self,
        cfg: dict,
        xds: Xds,
        reload_socket: socket.socket,
        with_tracing: Callable[[Callable], Callable] = lambda make: make,
    ) -> None:
        self.xds = xds
        self.loop, self.rounds, self.acceptor = assemble(cfg, reload_socket, with_tracing(self._make_rounds))
        records, codec = read_controller_settings(cfg["settings"]), self.rounds.codec
        zones = sorted(codec.zones, key=codec.zones.get)
        self.front = Front(
            self.rounds,
            list(zip(codec.request_class_names, records.request_classes, strict=True)),
            zones,
            codec.proxy_count,
            new_incarnation(time.time_ns(), int(cfg["seed"], 16)),
            ClientLimits(xds.clients, xds.streams, xds.names, xds.pushes),
            PushBudget(xds.pushes),
            records.admission_mode == AdmissionMode.RATE,
            xds.home_zone,
            self.rounds.logger.write,
        )
        self.nested_loop = NestedLoop(self.loop, self.rounds)
        self.encoder = Encoder()
        self.server = Server(
            self.front,
            self.encoder,
            self.loop.clock,
            xds.unread_for,
            xds.report_every,
            xds.clients * xds.streams,
            self.endpoint_number,
            self.rounds.logger.write,
            self.nested_loop.wake,
        )

        self.management_client = None
        if xds.source is not None:
            verified = VerifiedEndpoints(xds.source.hold)
            if not xds.source.with_roll:  # the list known at the start is compared with the first answer
                known = self.rounds.list_merge.discovery_to_management()
                verified.restore(
                    {
                        codec.endpoint_ids[number]: ReportedEndpoint(zone, state, nominal, started)
                        for number, zone, started, state, nominal in known
                    }
                )
            self.management_client = ManagementServerClient(
                xds.source.address,
                xds.source.cluster,
                cfg.get("name", ""),
                codec,
                self.rounds.watcher.addresses,
                verified,
                Backoff(xds.source.dial_most, Random(int(cfg["seed"], 16)).uniform),
                self.loop.clock,
                time.time,
                self._on_management_list,
                self.rounds.logger.write,
            )

    def _make_rounds(self, *args: object) -> XdsRounds:
        rounds = XdsRounds(*args)
        if self.xds.source is not None:
            rounds.list_merge, rounds.uses_discovery = EndpointListMerge(), self.xds.source.with_roll
        return rounds

    def _on_management_list(self, entries: list[tuple]) -> None:
        self.rounds.add_management_list(entries)
        self.nested_loop.wake()

    def endpoint_number(self, address: object) -> int | None:
        """Return the number of an endpoint by its id or its (host, port); None if it is not listed."""
        if isinstance(address, str):
            return self.rounds.codec.endpoint_numbers.get(address)
        return next(
            (number for number, listed in self.rounds.watcher.addresses.items() if listed == address),
            None,
        )

    async def start(self) -> int:
        """Start serving; returns the port of the xDS front."""
        self.port = await self.server.start(self.xds.listen)
        self.rounds.attach_front(self.front, self.server.schedule_dispatch)
        self.rounds.logger.write("start", f"xDS at port {self.port}")
        if warning := capacity_warning(self.xds):
            self.rounds.logger.write("config", warning)
        self.nested_loop.start()
        if self.management_client is not None:
            self.management_client.start()
        return self.port

    async def stop(self) -> None:
        """Stop serving and close all sockets."""
        if self.management_client is not None:
            await self.management_client.stop()
        await self.server.stop()
        self.nested_loop.stop()
        self.acceptor.listener.close()
        close_loop(self.loop)


def close_loop(loop: Loop) -> None:
    """Cancel the tasks of an epoll loop and close it."""
    for task in set(loop.waiting.values()):
        loop.cancel(task)
    loop.epoll.close()


async def run(cfg: dict, xds: Xds, with_tracing: Callable[[Callable], Callable] = lambda make: make) -> int:
    """Serve until a signal ends the process; returns an exit code if the configuration cannot be used.

    `with_tracing`: see `XdsController`.
    """
    try:
        await XdsController(cfg, xds, reload_signal(), with_tracing).start()
    except (InvalidConfigurationError, RuntimeError) as error:
        print(f"config: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return await asyncio.get_running_loop().create_future()  # a signal ends the process
