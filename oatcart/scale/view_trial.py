"""A trial whose controllers follow bounded views of the list, served by the control role `python -m
oatcart.views`.

Only the control role follows discovery. Between it and the controllers stands a counting relay
(`view_relay.py`), whose ports the controllers are given as their discovery. Changes are of endpoints that
some view holds. A change counts for the controllers whose view held the endpoint when it was made, and is had
once the relay sees the controller go on after the answer that told of the endpoint.
"""

import json
import time
import urllib.error
import urllib.request
from contextlib import ExitStack, suppress
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson

from oatcart.scale.children import ChildProcess
from oatcart.scale.discovery import (
    LOOPBACK,
    ClientFigures,
    DiscoveryFigures,
    HeldRevision,
    Usage,
)
from oatcart.scale.endpoint_entries import list_entry
from oatcart.scale.fleet import FleetPlan, PlannedController, PlannedEndpoint
from oatcart.scale.peers import PeerSettings
from oatcart.scale.ports import free_ports
from oatcart.scale.real import CONTROLLER_COMMAND, NotReadyError
from oatcart.scale.trial import LOOK_EVERY_S, MadeChange, Ready, Trial
from oatcart.scale.trial_settings import TrialSettings, check_fits
from oatcart.scale.view_relay import ViewRelay

CONTROL_CLIENT = "control"  # the control role's name at discovery
CONTROL_MODULE = "oatcart.views"
CONTROL_READY_WITHIN_S = 60.0  # until it holds the whole list
STATUS_PATH = "/v1/views"
STATUS_WITHIN_S = 5.0
GROWTH_OF_ENTRY = 16  # bytes by which an entry grows when its endpoint drains and restarts: the phase, a time


class ViewTrial(Trial):
    """Hollow and real controllers behind the control role."""

    def __init__(self, settings: TrialSettings, plan: FleetPlan, processes: ExitStack) -> None:
        super().__init__(settings, plan, processes)
        self.relay = processes.enter_context(ViewRelay())
        self.control: ChildProcess | None = None
        self.holders: list[list[str]] = []  # of each change made: whose view held the endpoint

    def check_fits(self) -> None:
        """As for any trial, but for the whole list, which no controller is sent."""
        check_fits(self.settings, 0)

    def open_ports(self) -> dict[str, int]:
        """Starts the control role and waits until it holds the whole list."""
        source_port = self.discovery.open([CONTROL_CLIENT])[CONTROL_CLIENT]
        main_port, *ports = free_ports(1 + len(self.names))
        served = dict(zip(self.names, ports, strict=True))
        directory = self._processes.enter_context(TemporaryDirectory())
        path = Path(directory, "views.yaml")
        path.write_text(json.dumps(self.control_configuration(source_port, main_port, served)))
        self.control = self._processes.enter_context(
            ChildProcess([*CONTROLLER_COMMAND[:2], CONTROL_MODULE, str(path)])
        )
        self._wait_control(main_port)
        return self.relay.open(served)

    def control_configuration(self, source_port: int, main_port: int, served: dict[str, int]) -> dict:
        """The control role's file, which may be JSON as that is YAML."""
        entry_most = (
            max(len(orjson.dumps(list_entry(endpoint))) for endpoint in self.plan.endpoints) + GROWTH_OF_ENTRY
        )
        return {
            "listen": f"{LOOPBACK}:{main_port}",
            "source": {"address": f"{LOOPBACK}:{source_port}"},
            "views": {
                "most_members": self.settings.view.nodes,
                "most_bytes": self.settings.view.size,
                "most_entry_bytes": entry_most,
            },
            "conductors": [
                {
                    "name": name,
                    "zone": self.planned(name).zone,
                    "region": self.planned(name).region,
                    "services": list(self.planned(name).services),
                    "address": f"{LOOPBACK}:{port}",
                }
                for name, port in served.items()
            ],
        }

    def planned(self, name: str) -> PlannedController:
        """Where a controller runs and what it needs; the same for a hollow and a real one of a number."""
        number = int(name.rpartition("-")[2])
        return self.plan.controllers[number % len(self.plan.controllers)]

    def client_figures(self, discovery: DiscoveryFigures) -> dict[str, ClientFigures]:
        """The control traffic of each controller, as the relay counts it."""
        return self.relay.clients()

    def control_usage(self) -> Usage:
        """The control role's processor seconds and memory."""
        return Usage(self.control.core_seconds(), self.control.resident_megabytes())

    def held_revisions(self) -> dict[str, list[HeldRevision]]:
        """Which revisions of its view each controller had when."""
        return self.relay.held().held

    def peer_settings(self, name: str) -> PeerSettings:
        """Peers that meet the endpoints of the controller's view."""
        return PeerSettings(
            seed=self.settings.seed + int(name.rpartition("-")[2]),
            proxies=self.settings.proxies,
            zone=self.planned(name).zone,
            routes=self.routes,
            endpoints=tuple(self.relay.members(name)),
        )

    def changed_endpoints(self) -> list[PlannedEndpoint]:
        """Endpoints that some controller's view holds: others are told to nobody."""
        held = {endpoint for name in self.names for endpoint in self.relay.members(name)}
        return [endpoint for endpoint in self.plan.endpoints if endpoint.id in held]

    def make_change(self, entry: dict) -> None:
        """Changes one endpoint's entry and keeps which controllers hold the endpoint."""
        self.holders.append(self.relay.track(entry["id"]))
        super().make_change(entry)

    def change_delays(self) -> tuple[dict[str, list[float]], int]:
        """By controller the delays of the changes to endpoints of its view, and how many are missing.

        Word of the endpoint after the change counts, be it of that change or of a newer one that overtook it.
        """
        told = self.relay.held().told
        delays: dict[str, list[float]] = {name: [] for name in self.names}
        missing = 0
        for change, holders in zip(self.made, self.holders, strict=True):
            for name in holders:
                at = first_word(told[name], change)
                if at is None:
                    missing += 1
                else:
                    delays[name].append(at - change.at)
        return delays, missing

    def running_processes(self) -> list[ChildProcess]:
        """All processes of the trial, with the relay and the control role."""
        return [*super().running_processes(), self.relay, *([self.control] if self.control else [])]

    def errors(self) -> str:
        """What real controllers and the control role have written to their logs."""
        return f"{super().errors()}\n{self.control.error_text() if self.control else ''}"

    def _wait_control(self, main_port: int) -> None:
        """Waits until the control role holds the whole list; it decides a view when it is asked for."""
        until = time.monotonic() + CONTROL_READY_WITHIN_S
        while self._endpoints_at_control(main_port) < len(self.plan.endpoints):
            if not self.control.running or time.monotonic() > until:
                raise NotReadyError(f"the control role does not hold the list: {self.control.error_text()}")
            time.sleep(LOOK_EVERY_S)

    def _wait_ready(self) -> None:
        """Waits until every controller has its view; then the control role is ready too."""
        super()._wait_ready()
        received = self.discovery.figures().clients[CONTROL_CLIENT].bytes_in
        after_s = time.monotonic() - self.control.started_at
        self.control_ready = Ready(after_s, self.control.core_seconds(), received)

    def _endpoints_at_control(self, main_port: int) -> int:
        """The endpoints that the control role's status tells; 0 while it does not answer."""
        with suppress(urllib.error.URLError, ConnectionError, TimeoutError):
            url = f"http://{LOOPBACK}:{main_port}{STATUS_PATH}"
            with urllib.request.urlopen(url, timeout=STATUS_WITHIN_S) as answer:
                return orjson.loads(answer.read())["nodes"]
        return 0


def first_word(told: list[tuple[float, str]], change: MadeChange) -> float | None:
    """When a controller first had word of a changed endpoint after the change; None where it had none."""
    return next((at for at, endpoint in told if endpoint == change.endpoint and at >= change.at), None)
