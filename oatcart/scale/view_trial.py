"""A trial whose controllers watch bounded views of the list, served by the control role (`oatcart.views`).

Only the control role watches discovery. Between it and the controllers is a counting relay (`view_relay.py`),
whose ports the controllers use as their discovery. Only endpoints that are in some view are changed. A change
counts for the controllers whose view had the endpoint when it was made; it is delivered once the relay sees
the controller acknowledge an answer with the endpoint.
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
    AcknowledgedRevision,
    ClientFigures,
    DiscoveryFigures,
    Usage,
)
from oatcart.scale.endpoint_entries import list_entry
from oatcart.scale.fleet import FleetPlan, PlannedController, PlannedEndpoint
from oatcart.scale.interrupts import sleep
from oatcart.scale.peers import PeerSettings
from oatcart.scale.ports import free_ports
from oatcart.scale.real import CONTROLLER_COMMAND, NotReadyError
from oatcart.scale.trial import POLL_INTERVAL_S, MadeChange, StartupFigures, Trial
from oatcart.scale.trial_settings import TrialSettings, check_fits
from oatcart.scale.view_relay import ViewRelay

CONTROL_CLIENT = "control"  # the control role's name as a client of discovery
CONTROL_MODULE = "oatcart.views"
CONTROL_READY_TIMEOUT_S = 60.0  # until the control role has the complete list
STATUS_PATH = "/v1/views"
STATUS_TIMEOUT_S = 5.0
# An entry grows by a longer phase and a start time when its endpoint drains and restarts.
ENTRY_GROWTH_BYTES = 16


class ViewTrial(Trial):
    """Hollow and real controllers behind the control role."""

    def __init__(self, settings: TrialSettings, plan: FleetPlan, processes: ExitStack) -> None:
        super().__init__(settings, plan, processes)
        self.relay = processes.enter_context(ViewRelay())
        self.control: ChildProcess | None = None
        # For each change made: the controllers whose view had the endpoint.
        self.holders: list[list[str]] = []

    def check_fits(self) -> None:
        """Checks the limits of any trial, except that of the complete list, which no controller is sent."""
        check_fits(self.settings, 0)

    def open_ports(self) -> dict[str, int]:
        """Starts the control role, waits until it has the complete list, and returns the relay's ports."""
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
        """Returns the control role's configuration; it is written as JSON, which is also YAML."""
        max_entry_bytes = (
            max(len(orjson.dumps(list_entry(endpoint))) for endpoint in self.plan.endpoints)
            + ENTRY_GROWTH_BYTES
        )
        return {
            "listen": f"{LOOPBACK}:{main_port}",
            "source": {"address": f"{LOOPBACK}:{source_port}"},
            "views": {
                "most_members": self.settings.view.nodes,
                "most_bytes": self.settings.view.size,
                "most_entry_bytes": max_entry_bytes,
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
        """Returns where a controller runs and its services; hollow and real ones of a number share them."""
        number = int(name.rpartition("-")[2])
        return self.plan.controllers[number % len(self.plan.controllers)]

    def client_figures(self, discovery: DiscoveryFigures) -> dict[str, ClientFigures]:
        """Returns the control traffic of each controller, as the relay counts it."""
        return self.relay.clients()

    def control_usage(self) -> Usage:
        """Returns the control role's processor seconds and memory."""
        return Usage(self.control.core_seconds(), self.control.resident_megabytes())

    def acknowledged_revisions(self) -> dict[str, list[AcknowledgedRevision]]:
        """Returns the revisions of its view that each controller acknowledged."""
        return self.relay.acknowledgements().revisions

    def peer_settings(self, name: str) -> PeerSettings:
        """Returns the settings of a controller's peers, which report the endpoints of its view."""
        return PeerSettings(
            seed=self.settings.seed + int(name.rpartition("-")[2]),
            proxies=self.settings.proxies,
            zone=self.planned(name).zone,
            routes=self.routes,
            endpoints=tuple(self.relay.members(name)),
        )

    def changed_endpoints(self) -> list[PlannedEndpoint]:
        """Returns the endpoints that are in some controller's view; changes of others reach no controller."""
        viewed = {endpoint for name in self.names for endpoint in self.relay.members(name)}
        return [endpoint for endpoint in self.plan.endpoints if endpoint.id in viewed]

    def make_change(self, entry: dict) -> None:
        """Changes one endpoint's entry and records the controllers whose view has the endpoint."""
        self.holders.append(self.relay.track(entry["id"]))
        super().make_change(entry)

    def change_delays(self) -> tuple[dict[str, list[float]], int]:
        """Returns for each controller the delays (s) of changes in its view, and the count of missing ones.

        The first answer with the endpoint that is acknowledged after the change counts, even if the answer
        already has a newer change.
        """
        received = self.relay.acknowledgements().endpoints
        delays: dict[str, list[float]] = {name: [] for name in self.names}
        missing = 0
        for change, holders in zip(self.made_changes, self.holders, strict=True):
            for name in holders:
                at = first_received_at(received[name], change)
                if at is None:
                    missing += 1
                else:
                    delays[name].append(at - change.at)
        return delays, missing

    def running_processes(self) -> list[ChildProcess]:
        """Returns all processes of the trial, including the relay and the control role."""
        return [*super().running_processes(), self.relay, *([self.control] if self.control else [])]

    def errors(self) -> str:
        """Returns what real controllers and the control role have written to standard error."""
        return f"{super().errors()}\n{self.control.error_text() if self.control else ''}"

    def _wait_control(self, main_port: int) -> None:
        """Waits until the control role has the complete list; it computes a view on its first request."""
        until = time.monotonic() + CONTROL_READY_TIMEOUT_S
        while self._endpoints_at_control(main_port) < len(self.plan.endpoints):
            if not self.control.running or time.monotonic() > until:
                raise NotReadyError(f"the control role did not get the list: {self.control.error_text()}")
            sleep(POLL_INTERVAL_S)

    def _wait_ready(self) -> None:
        """Waits until every controller has its view; then the control role is ready too."""
        super()._wait_ready()
        received = self.discovery.figures().clients[CONTROL_CLIENT].bytes_in
        after_s = time.monotonic() - self.control.started_at
        self.control_ready = StartupFigures(after_s, self.control.core_seconds(), received)

    def _endpoints_at_control(self, main_port: int) -> int:
        """Returns the count of endpoints in the control role's status; 0 while it does not answer."""
        with suppress(urllib.error.URLError, ConnectionError, TimeoutError):
            url = f"http://{LOOPBACK}:{main_port}{STATUS_PATH}"
            with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
                return orjson.loads(answer.read())["nodes"]
        return 0


def first_received_at(received: list[tuple[float, str]], change: MadeChange) -> float | None:
    """Returns when a controller first acknowledged a changed endpoint after the change, or None."""
    return next((at for at, endpoint in received if endpoint == change.endpoint and at >= change.at), None)
