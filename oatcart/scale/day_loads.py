"""What each role took over a played day: the mean, the worst second, and the seconds after a zone's loss."""

from collections.abc import Callable, Sequence
from itertools import pairwise
from statistics import fmean
from typing import NamedTuple

from oatcart.scale.day_schedule import Kind
from oatcart.scale.day_trial import DayPlayer, Sample
from oatcart.scale.figures import CONTROL_ROLE, HOLLOW_ROLE, REAL_ROLE, total_traffic
from oatcart.scale.trial import LOOK_EVERY_S, Reading


class Rates(NamedTuple):
    """What a role takes in a span: share of a core, bytes and messages a second; of a controller the mean."""

    core_share: float
    bytes_in_s: float
    bytes_out_s: float
    messages_in_s: float
    messages_out_s: float


class RoleLoad(NamedTuple):
    """A role over the day; `worst` has of each figure the worst second, `zone_lost` that of a zone's loss."""

    role: str
    mean: Rates
    worst: Rates
    zone_lost: Rates | None


def metered_core_share(before: Reading, after: Reading) -> float:
    """Of the mean hollow controller by its own meter, without its proxies; 0 where there are none."""
    if not before.hollow or not after.hollow:
        return 0.0
    pairs = zip(before.hollow.controllers, after.hollow.controllers, strict=True)
    return fmean(now.core_s - then.core_s for then, now in pairs) / (after.at - before.at)


def role_loads(player: DayPlayer) -> list[RoleLoad]:
    """What each role took, from the samples of the day."""
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
    zone_losses = [change.at for change in player.changes if change.kind is Kind.ZONE_LOSS]
    return [role_load(role, reader, samples, zone_losses) for role, reader in readers.items()]


def role_load(
    role: str,
    reader: Callable[[Sample, Sample], Rates],
    samples: Sequence[Sample],
    zone_losses: Sequence[float],
) -> RoleLoad:
    """The mean and the worst seconds of one role."""
    seconds = [(then, now) for then, now in pairwise(samples) if now.at - then.at >= LOOK_EVERY_S]
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
    """Of each figure the largest."""
    return Rates(*(max(figures) for figures in zip(*rates, strict=True)))


def controller_rates(then: Sample, now: Sample, names: Sequence[str], core_s: float) -> Rates:
    """The mean controller of some, which took so many core seconds together."""
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
    """The control role, with discovery and all controllers together."""
    span_s = now.at - then.at
    served, followed = total_traffic(then.clients, now.clients), total_traffic(then.source, now.source)
    return Rates(
        (now.control_core_s - then.control_core_s) / span_s,
        (served.bytes_out + followed.bytes_in) / span_s,
        (served.bytes_in + followed.bytes_out) / span_s,
        (served.messages_out + followed.messages_in) / span_s,
        (served.messages_in + followed.messages_out) / span_s,
    )
