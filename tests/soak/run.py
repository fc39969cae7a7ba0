"""Executes the plan of one run among started processes and peers, and checks the rules throughout."""

import asyncio
import gc
import signal
import tempfile
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path

from oatcart.scale.ports import free_ports
from soak.checks import ClientView, Rules
from soak.controller import MAX_DESCRIPTORS, Controller
from soak.discovery import Fault
from soak.fleet import DRAINING, GONE, READY, ZONES, Fleet
from soak.plan import CONTROLLERS, DURATION_S, PROXIES, XDS_CLIENTS, Action, ActionType, Plan, draw_plan
from soak.sidecar import REQUEST_CLASSES, Proxy, collect
from soak.xds_clients import XdsClient

CHECK_PERIOD_S = 0.05
RUN_TIMEOUT_S = 120.0
RELOAD_TIMEOUT_S = 3.0
# Until the clients' connections are closed: longer than an unidentified connection may send nothing.
SETTLE_S = 3.0
# More than at the start, for calls to discovery, health checks and the gRPC library of the xDS server.
MAX_EXTRA_DESCRIPTORS = 6
MAX_EXTRA_RESIDENT_KB = 24 * 1024  # more than at the start
DISCOVERY_FAULTS = {
    ActionType.DISCOVERY_LATE: Fault.LATE,
    ActionType.DISCOVERY_PIECES: Fault.PIECES,
    ActionType.DISCOVERY_MALFORMED: Fault.MALFORMED,
    ActionType.DISCOVERY_CUT: Fault.CUT,
    ActionType.DISCOVERY_RECOVERS: Fault.NONE,
}


class Run:
    """One run; `failures` has its failures once `execute` has returned."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.fleet, self.rules = Fleet(), None
        self.controllers: list[Controller] = []
        self.proxies: list[Proxy] = []
        self.xds_clients: list[XdsClient] = []
        self.background_tasks: list[asyncio.Task] = []
        self.action_tasks: list[asyncio.Task] = []
        self.failures: list[str] = []
        self.flood_size = 0

    async def execute(self) -> None:
        """Execute the whole run and collect the failures of all participants."""
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                await self._start()
                await self._run_actions()
                await self._check_final_state()
        finally:
            await self._stop()
        for participant in [*self.controllers, *self.proxies, *self.xds_clients]:
            self.failures += participant.failures
        self.failures += self.rules.failures

    async def _start(self) -> None:
        await self.fleet.start()
        self.rules = Rules(self.fleet)
        ports = free_ports(CONTROLLERS + 1)
        for number in range(CONTROLLERS):
            controller = Controller(number, self.folder, self.fleet, ports[number])
            if number == CONTROLLERS - 1:
                controller.serve_xds(ports[CONTROLLERS], self.plan.xds_pushes)
            await controller.discovery.start()
            self.controllers.append(controller)
        await asyncio.gather(*(controller.start() for controller in self.controllers))
        self.proxies = [Proxy(number, self.fleet, self.controllers) for number in range(PROXIES)]
        self.xds_clients = [XdsClient(number, self.controllers[1]) for number in range(XDS_CLIENTS)]
        for client in [*self.proxies, *self.xds_clients]:
            self._spawn(client.run())
        for controller in self.controllers:
            for zone in ZONES:
                self._spawn(collect(zone, self.fleet, controller, lambda: False))

    def _spawn(self, work: Coroutine) -> None:
        self.background_tasks.append(asyncio.create_task(work))

    async def _run_actions(self) -> None:
        started_at = time.monotonic()
        actions = list(self.plan.actions)
        due = started_at
        while time.monotonic() - started_at < DURATION_S:
            while actions and time.monotonic() - started_at >= actions[0].at:
                self.action_tasks.append(asyncio.create_task(self._perform_action(actions.pop(0))))
            due += CHECK_PERIOD_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            lateness = max(0.0, time.monotonic() - due)
            self.rules.check(self._client_views(), lateness)
            due = max(due, time.monotonic() - CHECK_PERIOD_S)
        await asyncio.gather(*self.action_tasks)

    def _client_views(self) -> list[ClientView]:
        views = []
        for proxy in self.proxies:
            controller = proxy.controller
            joined = proxy.since is not None and proxy.is_reading.is_set()
            if joined and not controller.is_ending and proxy.incarnation == controller.incarnation:
                usable = {name: proxy.usable(name) for name in REQUEST_CLASSES}
                views.append(ClientView(f"proxy {proxy.number}", controller, proxy.since, usable, True))
        for client in self.xds_clients:
            controller = client.controller
            if client.since is None or controller.is_ending or client.incarnation != controller.incarnation:
                continue
            client.check_routes()
            usable = {name: client.healthy_weights(name) for name in REQUEST_CLASSES}
            views.append(ClientView(client.name, controller, client.since, usable, False))
        return views

    async def _perform_action(self, action: Action) -> None:
        action_type, target = action.action_type, action.target
        if action_type in DISCOVERY_FAULTS:
            self.controllers[target].discovery.fault = DISCOVERY_FAULTS[action_type]
        elif action_type in (
            ActionType.DRAIN,
            ActionType.REMOVE,
            ActionType.RETURN,
            ActionType.RESTART_ENDPOINT,
            ActionType.FAIL_HEALTH,
            ActionType.RECOVER_HEALTH,
        ):
            await self._change_endpoint(action_type, target)
        elif action_type in (
            ActionType.SIGHUP_SERIES,
            ActionType.SIGHUP_AND_TERMINATE,
            ActionType.TERMINATE,
            ActionType.KILL,
        ):
            await self._signal(action_type, self.controllers[target], action.value)
        elif action_type == ActionType.XDS_RECONNECT_ALL:
            await self._reconnect_all_xds_clients(target)
        elif action_type == ActionType.CONNECTION_FLOOD:
            await self._flood_connections(self.controllers[target])
        elif action_type in (
            ActionType.CUT_STREAM,
            ActionType.SEND_MALFORMED_MESSAGE,
            ActionType.STOP_READING,
            ActionType.RESUME_READING,
        ):
            self._disturb_stream(action_type, self.proxies[target])
        else:
            self._disturb_xds(action_type, self.xds_clients[target])

    async def _change_endpoint(self, action_type: ActionType, target: int) -> None:
        endpoint = self.fleet.endpoints[target]
        if action_type == ActionType.RECOVER_HEALTH:
            endpoint.is_healthy = True
        elif action_type == ActionType.RETURN and endpoint.state != READY:
            await self.fleet.change(endpoint, READY, started=True)
        elif endpoint.state == READY and self.fleet.may_leave(endpoint):
            if action_type == ActionType.FAIL_HEALTH:
                endpoint.is_healthy = False
            elif action_type == ActionType.RESTART_ENDPOINT:
                await self.fleet.change(endpoint, READY, started=True)
            elif action_type != ActionType.RETURN:
                await self.fleet.change(endpoint, DRAINING if action_type == ActionType.DRAIN else GONE)
        elif action_type == ActionType.REMOVE and endpoint.state == DRAINING:
            await self.fleet.change(endpoint, GONE)

    async def _signal(self, action_type: ActionType, controller: Controller, count: int) -> None:
        if controller.is_ending or controller.ready_at == float("inf"):
            return
        if action_type == ActionType.SIGHUP_SERIES:
            await controller.reload_repeatedly(count)
        elif action_type == ActionType.SIGHUP_AND_TERMINATE:
            await controller.restart(signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)
        elif action_type == ActionType.TERMINATE:
            await controller.restart(signal.SIGTERM, signal.SIGTERM)
        else:
            await controller.restart(signal.SIGKILL)

    def _disturb_stream(self, action_type: ActionType, proxy: Proxy) -> None:
        if action_type == ActionType.CUT_STREAM:
            proxy.cut()
        elif action_type == ActionType.SEND_MALFORMED_MESSAGE:
            proxy.send_malformed_message()
        elif action_type == ActionType.STOP_READING:
            proxy.is_reading.clear()
        else:
            proxy.is_reading.set()

    def _disturb_xds(self, action_type: ActionType, client: XdsClient) -> None:
        if action_type == ActionType.XDS_RECONNECT:
            client.reconnect()
        elif action_type == ActionType.XDS_WITHHOLD_ACKS:
            client.client.answering.clear()
        else:
            client.client.answering.set()

    async def _reconnect_all_xds_clients(self, target: int) -> None:
        for client in self.xds_clients:
            client.reconnect()
        await self._change_endpoint(ActionType.DRAIN, target)

    async def _flood_connections(self, controller: Controller) -> None:
        """Open as many connections as descriptors allow; they read nothing, and most send nothing."""
        writers = []
        for number in range(MAX_DESCRIPTORS):
            with suppress(OSError, TimeoutError):
                _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", controller.port), 1.0)
                writer.transport.pause_reading()
                if number % 4 == 0:
                    writer.write(b'{"msg":"ping"}\n' * 40)
                writers.append(writer)
        self.flood_size = len(writers)
        await asyncio.sleep(1.0)
        for writer in writers:
            writer.transport.abort()

    async def _check_final_state(self) -> None:
        await self._check_reloads()
        for proxy in self.proxies:
            proxy.is_reading.set()
        await self._close_clients()
        await asyncio.sleep(SETTLE_S)
        for controller in self.controllers:
            if controller.process.returncode is not None:
                self.failures.append(
                    f"n{controller.number} ended unexpectedly with exit code {controller.process.returncode}"
                )
                continue
            extra = controller.descriptor_count() - controller.descriptors_at_start
            if extra > MAX_EXTRA_DESCRIPTORS:
                self.failures.append(
                    f"n{controller.number} has {extra} more descriptors open than at its start"
                )
            extra_kb = controller.resident_kb() - controller.resident_kb_at_start
            if extra_kb > MAX_EXTRA_RESIDENT_KB:
                self.failures.append(
                    f"n{controller.number} has {extra_kb} KB more resident memory than at its start"
                )

    async def _check_reloads(self) -> None:
        """Check that discovery is called at the address in the last configuration."""
        for controller in self.controllers:
            controller.discovery.fault = Fault.NONE
        await asyncio.sleep(RELOAD_TIMEOUT_S)
        for controller in self.controllers:
            request_times = controller.discovery.last_request_at
            if request_times[controller.discovery_address] < max(request_times):
                self.failures.append(f"n{controller.number} calls discovery at its former address")

    async def _close_clients(self) -> None:
        for task in self.background_tasks:
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        self.background_tasks.clear()
        for client in self.xds_clients:
            await client.client.close()
            client.client.call = None  # a referenced call keeps its channel's connection open
        gc.collect()

    async def _stop(self) -> None:
        for task in [*self.background_tasks, *self.action_tasks]:
            task.cancel()
        await asyncio.gather(*self.background_tasks, *self.action_tasks, return_exceptions=True)
        for controller in self.controllers:
            if controller.process is not None and controller.process.returncode is None:
                await controller.stop()
            await controller.discovery.stop()
        await self.fleet.stop()


async def run_seed(seed: int) -> Run:
    """Execute the run of a seed in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(draw_plan(seed), Path(folder))
        await run.execute()
        return run
