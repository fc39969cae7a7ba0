"""Plays one run: starts everything, carries out the plan, checks the rules all the time, ends everything."""

import asyncio
import gc
import signal
import tempfile
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path

from oatcart.scale.ports import free_ports
from soak.checks import Holder, Rules
from soak.controller import DESCRIPTORS, Controller
from soak.discovery import Fault
from soak.fleet import DRAINING, GONE, READY, ZONES, Fleet
from soak.plan import CONTROLLERS, DURATION_S, SIDECARS, XDS_CLIENTS, Act, Action, Plan, draw
from soak.sidecar import CLASSES, Sidecar, collect
from soak.xds_clients import XdsClient

CHECK_S = 0.05
RUN_TIMEOUT_S = 120.0
RELOAD_WITHIN_S = 3.0
SETTLE_S = 3.0  # until what the clients held is closed: more than an unidentified connection may say nothing
DESCRIPTORS_MORE_MAX = 6  # calls to discovery, health checks, the library of the xDS front
RESIDENT_MORE_KB_MAX = 24 * 1024
FAULTS = {
    Act.DISCOVERY_LATE: Fault.LATE,
    Act.DISCOVERY_PIECES: Fault.PIECES,
    Act.DISCOVERY_GARBLED: Fault.GARBLED,
    Act.DISCOVERY_CUT: Fault.CUT,
    Act.DISCOVERY_HEALS: Fault.NONE,
}


class Run:
    """One run; `faults` after `play`."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.fleet, self.rules = Fleet(), None
        self.controllers: list[Controller] = []
        self.sidecars: list[Sidecar] = []
        self.xds_clients: list[XdsClient] = []
        self.background: list[asyncio.Task] = []
        self.acts: list[asyncio.Task] = []
        self.faults: list[str] = []
        self.crowded = 0

    async def play(self) -> None:
        """The whole run."""
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                await self._start()
                await self._carry_out()
                await self._check_the_end()
        finally:
            await self._stop()
        for holder in [*self.controllers, *self.sidecars, *self.xds_clients]:
            self.faults += holder.faults
        self.faults += self.rules.faults

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
        self.sidecars = [Sidecar(number, self.fleet, self.controllers) for number in range(SIDECARS)]
        self.xds_clients = [XdsClient(number, self.controllers[1]) for number in range(XDS_CLIENTS)]
        for client in [*self.sidecars, *self.xds_clients]:
            self._spawn(client.run())
        for controller in self.controllers:
            for zone in ZONES:
                self._spawn(collect(zone, self.fleet, controller, lambda: False))

    def _spawn(self, work: Coroutine) -> None:
        self.background.append(asyncio.create_task(work))

    async def _carry_out(self) -> None:
        began = time.monotonic()
        actions = list(self.plan.actions)
        due = began
        while time.monotonic() - began < DURATION_S:
            while actions and time.monotonic() - began >= actions[0].at:
                self.acts.append(asyncio.create_task(self._act(actions.pop(0))))
            due += CHECK_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            lateness = max(0.0, time.monotonic() - due)
            self.rules.check(self._holders(), lateness)
            due = max(due, time.monotonic() - CHECK_S)
        await asyncio.gather(*self.acts)

    def _holders(self) -> list[Holder]:
        found = []
        for sidecar in self.sidecars:
            controller = sidecar.controller
            joined = sidecar.since is not None and sidecar.is_reading.is_set()
            if joined and not controller.is_ending and sidecar.incarnation == controller.incarnation:
                usable = {name: sidecar.usable(name) for name in CLASSES}
                found.append(Holder(f"proxy {sidecar.number}", controller, sidecar.since, usable, True))
        for client in self.xds_clients:
            controller = client.controller
            if client.since is None or controller.is_ending or client.incarnation != controller.incarnation:
                continue
            client.check_routes()
            usable = {name: client.healthy(name) for name in CLASSES}
            found.append(Holder(client.name, controller, client.since, usable, False))
        return found

    async def _act(self, action: Action) -> None:
        act, target = action.act, action.target
        if act in FAULTS:
            self.controllers[target].discovery.fault = FAULTS[act]
        elif act in (Act.DRAIN, Act.REMOVE, Act.RETURN, Act.RESTART_ENDPOINT, Act.FAIL_HEALTH, Act.HEAL):
            await self._change_endpoint(act, target)
        elif act in (Act.HANGUPS, Act.HANGUP_AND_TERMINATE, Act.TERMINATE, Act.KILL):
            await self._signal(act, self.controllers[target], action.value)
        elif act == Act.XDS_HERD:
            await self._xds_herd(target)
        elif act == Act.CROWD:
            await self._crowd(self.controllers[target])
        elif act in (Act.CUT_STREAM, Act.GARBLE_STREAM, Act.STOP_READING, Act.READ_AGAIN):
            self._disturb_stream(act, self.sidecars[target])
        else:
            self._disturb_xds(act, self.xds_clients[target])

    async def _change_endpoint(self, act: Act, target: int) -> None:
        endpoint = self.fleet.endpoints[target]
        if act == Act.HEAL:
            endpoint.is_healthy = True
        elif act == Act.RETURN and endpoint.state != READY:
            await self.fleet.change(endpoint, READY, started=True)
        elif endpoint.state == READY and self.fleet.may_leave(endpoint):
            if act == Act.FAIL_HEALTH:
                endpoint.is_healthy = False
            elif act == Act.RESTART_ENDPOINT:
                await self.fleet.change(endpoint, READY, started=True)
            elif act != Act.RETURN:
                await self.fleet.change(endpoint, DRAINING if act == Act.DRAIN else GONE)
        elif act == Act.REMOVE and endpoint.state == DRAINING:
            await self.fleet.change(endpoint, GONE)

    async def _signal(self, act: Act, controller: Controller, count: int) -> None:
        if controller.is_ending or controller.ready_at == float("inf"):
            return
        if act == Act.HANGUPS:
            await controller.hang_ups(count)
        elif act == Act.HANGUP_AND_TERMINATE:
            await controller.restart(signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)
        elif act == Act.TERMINATE:
            await controller.restart(signal.SIGTERM, signal.SIGTERM)
        else:
            await controller.restart(signal.SIGKILL)

    def _disturb_stream(self, act: Act, sidecar: Sidecar) -> None:
        if act == Act.CUT_STREAM:
            sidecar.cut()
        elif act == Act.GARBLE_STREAM:
            sidecar.garble()
        elif act == Act.STOP_READING:
            sidecar.is_reading.clear()
        else:
            sidecar.is_reading.set()

    def _disturb_xds(self, act: Act, client: XdsClient) -> None:
        if act == Act.XDS_RECONNECT:
            client.reconnect()
        elif act == Act.XDS_ANSWERS_LATE:
            client.client.answers.clear()
        else:
            client.client.answers.set()

    async def _xds_herd(self, target: int) -> None:
        for client in self.xds_clients:
            client.reconnect()
        await self._change_endpoint(Act.DRAIN, target)

    async def _crowd(self, controller: Controller) -> None:
        """As many connections as descriptors allow, most of which say nothing and read nothing."""
        writers = []
        for number in range(DESCRIPTORS):
            with suppress(OSError, TimeoutError):
                _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", controller.port), 1.0)
                writer.transport.pause_reading()
                if number % 4 == 0:
                    writer.write(b'{"msg":"ping"}\n' * 40)
                writers.append(writer)
        self.crowded = len(writers)
        await asyncio.sleep(1.0)
        for writer in writers:
            writer.transport.abort()

    async def _check_the_end(self) -> None:
        await self._check_reloads()
        for sidecar in self.sidecars:
            sidecar.is_reading.set()
        await self._end_clients()
        await asyncio.sleep(SETTLE_S)
        for controller in self.controllers:
            if controller.process.returncode is not None:
                self.faults.append(
                    f"n{controller.number} ended by itself with {controller.process.returncode}"
                )
                continue
            more = controller.descriptors() - controller.descriptors_at_start
            if more > DESCRIPTORS_MORE_MAX:
                self.faults.append(f"n{controller.number} holds {more} descriptors more than at its start")
            more_kb = controller.resident_kb() - controller.resident_kb_at_start
            if more_kb > RESIDENT_MORE_KB_MAX:
                self.faults.append(f"n{controller.number} holds {more_kb} KB more than at its start")

    async def _check_reloads(self) -> None:
        """Discovery is asked at the address that the last configuration names."""
        for controller in self.controllers:
            controller.discovery.fault = Fault.NONE
        await asyncio.sleep(RELOAD_WITHIN_S)
        for controller in self.controllers:
            asked_at = controller.discovery.last_asked_at
            if asked_at[controller.discovery_address] < max(asked_at):
                self.faults.append(f"n{controller.number} asks discovery at its former address")

    async def _end_clients(self) -> None:
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        self.background.clear()
        for client in self.xds_clients:
            await client.client.close()
            client.client.call = None  # a call that is still referred to keeps its channel's connection open
        gc.collect()

    async def _stop(self) -> None:
        for task in [*self.background, *self.acts]:
            task.cancel()
        await asyncio.gather(*self.background, *self.acts, return_exceptions=True)
        for controller in self.controllers:
            if controller.process is not None and controller.process.returncode is None:
                await controller.end()
            await controller.discovery.stop()
        await self.fleet.stop()


async def play(seed: int) -> Run:
    """Play the run of a seed."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(draw(seed), Path(folder))
        await run.play()
        return run
