"""The settings of one trial, and checks against the limits of the machine and the protocol."""

import resource
from dataclasses import dataclass

from oatcart.errors import OatcartError
from oatcart.net.stream import MAX_MESSAGE_BYTES
from oatcart.scale.configuration import FleetSettings, LimitSettings, ViewSettings
from oatcart.scale.controller_settings import WARM_UP_S

STAND_IN_PROCESSES = 3  # discovery, the process of hollow controllers and that of the peers' sockets
DESCRIPTORS_PER_CONTROLLER = 4  # at discovery: a port, a watch, a fetch, one in reserve
SPARE_DESCRIPTORS = 64


class SizeLimitError(OatcartError):
    """A size exceeds a limit of this machine or of the protocol; the message names the limit."""


@dataclass(frozen=True)
class TrialSettings:
    """The settings of one trial; times in seconds.

    `hollow` and `real` are numbers of controllers; `proxies` is the number of proxies of each. `tenants` is
    the number of tenants in the settings of each controller. Once all controllers are ready, the trial waits
    `settle_s` and then measures for `measure_s`. With `measure_under_changes` the `changes` of the endpoint
    list are made during the measured span, otherwise after it.
    """

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
    """Raises this process's limit of open files to its hard limit, which is returned; children inherit it."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit


def check_fits(settings: TrialSettings, list_bytes: int) -> None:
    """Raises SizeLimitError if a trial would exceed a limit; called before anything is started."""
    processes = settings.real + STAND_IN_PROCESSES
    if processes > settings.limits.processes:
        raise SizeLimitError(f"{processes} processes exceed the limit of {settings.limits.processes}")
    if list_bytes > MAX_MESSAGE_BYTES:
        raise SizeLimitError(
            f"a list of {list_bytes} bytes exceeds the protocol's limit of {MAX_MESSAGE_BYTES}: rejected"
        )
    descriptors = DESCRIPTORS_PER_CONTROLLER * (settings.hollow + settings.real) + SPARE_DESCRIPTORS
    if descriptors > (limit := raise_descriptor_limit()):
        raise SizeLimitError(f"{descriptors} descriptors exceed the limit of {limit}")
