"""What one trial runs, and whether it fits into the limits of the machine and of the protocol."""

import resource
from dataclasses import dataclass

from oatcart.errors import OatcartError
from oatcart.net.stream import MAX_MESSAGE_BYTES
from oatcart.scale.configuration import FleetSettings, LimitSettings, ViewSettings
from oatcart.scale.controller_settings import WARM_UP_S

STAND_IN_PROCESSES = 3  # processes beside controllers: discovery, the hollow fleet, the peers' sockets
DESCRIPTORS_PER_CONTROLLER = 4  # at discovery: a port, a watch, a fetch, a spare
SPARE_DESCRIPTORS = 64


class SizeLimitError(OatcartError):
    """A size that exceeds a limit of this machine or of the protocol; the message says which."""


@dataclass(frozen=True)
class TrialSettings:
    """One trial; times in seconds. `tenants` go into the settings of controllers."""

    fleet: FleetSettings
    seed: int
    hollow: int
    real: int
    routes: int = 2
    proxies: int = 8
    tenants: int = 0
    warm_up_s: float = WARM_UP_S
    settle_s: float = 3.0
    measure_s: float = 15.0
    changes: int = 20
    changes_per_s: float = 10.0
    measure_under_changes: bool = False
    lists_by_service: bool = False
    limits: LimitSettings = LimitSettings()
    view: ViewSettings = ViewSettings()


def raise_descriptor_limit() -> int:
    """Raises this process's limit of open files as far as allowed; children inherit it. Returns the limit."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return most


def check_fits(settings: TrialSettings, list_bytes: int) -> None:
    """Raises SizeLimitError where a limit is known to be exceeded before anything is started."""
    processes = settings.real + STAND_IN_PROCESSES
    if processes > settings.limits.processes:
        raise SizeLimitError(f"{processes} processes are over the limit of {settings.limits.processes}")
    if list_bytes > MAX_MESSAGE_BYTES:
        raise SizeLimitError(
            f"a list of {list_bytes} bytes is over the protocol's {MAX_MESSAGE_BYTES}: refused"
        )
    descriptors = DESCRIPTORS_PER_CONTROLLER * (settings.hollow + settings.real) + SPARE_DESCRIPTORS
    if descriptors > (most := raise_descriptor_limit()):
        raise SizeLimitError(f"{descriptors} descriptors are over the limit of {most}")
