"""The load of each role over a played day: the mean, the worst second, and the seconds after a zone loss."""

from collections.abc import Callable, Sequence
from itertools import pairwise
from statistics import fmean
from typing import NamedTuple

from oatcart.scale.day_schedule import ChangeKind
from oatcart.scale.day_trial import DayPlayer, Sample
from oatcart.scale.figures import CONTROL_ROLE, HOLLOW_ROLE, REAL_ROLE, total_traffic
from oatcart.scale.trial import POLL_INTERVAL_S, Reading


class Rates(NamedTuple):
    """The load of a role: share of a core, bytes and messages a second; for controllers their mean."""

    core_share: float
    bytes_in_s: float
    bytes_out_s: float
    messages_in_s: float
    messages_out_s: float


class RoleLoad(NamedTuple):
    """The load of a role over the day.

    `worst` has the largest figure of any second; `zone_lost` that of the seconds after the loss of a zone.
    """

    role: str
    mean: Rates
    worst: Rates
    zone_lost: Rates | None


def metered_core_share(before: Reading, after: Reading) -> float:
    """Returns the share of a core of the mean hollow controller by its own meter, without its proxies.

    0 if there are no hollow controllers.
    """
    if not before.hollow or not after.hollow:
        return 0.0
    pairs = zip(before.hollow.controllers, after.hollow.controllers, strict=True)
    return fmean(now.core_s - then.core_s for then, now in pairs) / (after.at - before.at)


def role_loads(player: DayPlayer) -> list[RoleLoad]:
    """Returns the load of each role from the samples of the day."""
    trial, samples = player.trial, player.samples
    readers: dict[str, Callable[[Sample, Sample], Rates]] = {}
    if trial.control:
        readers[CONTROL_ROLE] = control_rates
    if trial.hollow_names:
        readers[HOLLOW_ROLE] = lambda then, now: controller_rates(
            then, now, trial.hollow_names, now.hollow_core_s - then.hollow_core_s
        )
    if trial.real_names:
        readers[REAL_ROLE] = lambda then, now: controller_rates(
            then, now, trial.real_names, sum(now.real_core_s) - sum(then.real_core_s)
        )
    zone_losses = [change.at for change in player.changes if change.kind is ChangeKind.ZONE_LOSS]
    return [role_load(role, reader, samples, zone_losses) for role, reader in readers.items()]


def role_load(
    role: str,
    reader: Callable[[Sample, Sample], Rates],
    samples: Sequence[Sample],
    zone_losses: Sequence[float],
) -> RoleLoad:
    """Returns the mean and the worst seconds of one role."""
    seconds = [(then, now) for then, now in pairwise(samples) if now.at - then.at >= POLL_INTERVAL_S]
    after_loss = [
        reader(then, now)
        for then, now in seconds
        if any(then.at <= at + 1.0 and now.at >= at for at in zone_losses)
    ]
    return RoleLoad(
        role,
        reader(samples[0], samples[-1]),
        worst([reader(then, now) for then, now in seconds]),
        worst(after_loss) if after_loss else None,
    )


def worst(rates: Sequence[Rates]) -> Rates:
    """Returns the largest value of each figure."""
    return Rates(*(max(figures) for figures in zip(*rates, strict=True)))


def controller_rates(then: Sample, now: Sample, names: Sequence[str], core_s: float) -> Rates:
    """Returns the mean load of the named controllers, which took `core_s` core seconds in all."""
    shared = (now.at - then.at) * len(names)
    traffic = total_traffic(*({name: one.clients[name] for name in names} for one in (then, now)))
    return Rates(
        core_s / shared,
        traffic.bytes_in / shared,
        traffic.bytes_out / shared,
        traffic.messages_in / shared,
        traffic.messages_out / shared,
    )


def control_rates(then: Sample, now: Sample) -> Rates:
    """Returns the load of the control role, whose traffic is that with discovery and all controllers."""
    span_s = now.at - then.at
    served, watched = total_traffic(then.clients, now.clients), total_traffic(then.source, now.source)
    return Rates(
        (now.control_core_s - then.control_core_s) / span_s,
        (served.bytes_out + watched.bytes_in) / span_s,
        (served.bytes_in + watched.bytes_out) / span_s,
        (served.messages_out + watched.messages_in) / span_s,
        (served.messages_in + watched.messages_out) / span_s,
    )
