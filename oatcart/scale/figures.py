"""Plays a trial and turns its counters into measurements, one for each role."""

import time
from collections.abc import Iterable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import replace
from statistics import fmean
from types import MappingProxyType
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from oatcart.scale.discovery import ClientFigures
from oatcart.scale.hollow import HollowReading
from oatcart.scale.measurement import Measurement
from oatcart.scale.peers import TICK_S
from oatcart.scale.real import NotReadyError
from oatcart.scale.trial import Reading, StartupFigures, Trial, make_changes, running
from oatcart.scale.trial_settings import SizeLimitError, TrialSettings

HOLLOW_ROLE, REAL_ROLE = "hollow_conductor", "conductor"
DISCOVERY_ROLE, CONTROL_ROLE = "discovery", "control"
LATE_MOST_S = (
    TICK_S  # beside a controller's own longest stretch: later, a process has no time for all of them
)
MICROSECONDS = 1e6
DELAY_MOST_US, DELAY_DIGITS = 120_000_000, 3  # of the histogram of delays


class Delays(NamedTuple):
    """Seconds from changes to controllers that have them."""

    median_s: float
    p99_s: float
    last_s: float


class Observed(NamedTuple):
    """What a trial has shown: readings before and after the measured span, and how late changes came.

    `delays` has, by controller, the seconds from each change until it had it.
    """

    before: Reading
    after: Reading
    delays: Mapping[str, list[float]] = MappingProxyType({})

    @property
    def span_s(self) -> float:
        """Seconds between the two readings."""
        return self.after.at - self.before.at


class Specification(NamedTuple):
    """A trial that is played beside others; `role_names` renames its roles."""

    settings: TrialSettings
    kind: type[Trial] = Trial
    role_names: Mapping[str, str] = MappingProxyType({})

    def named(self, measurement: Measurement) -> Measurement:
        """The measurement with the name that its role has in this trial."""
        return replace(measurement, role=self.role_names.get(measurement.role, measurement.role))


class Traffic(NamedTuple):
    """Bytes and messages a second, the mean over some controllers, as they see them."""

    bytes_in_s: float
    bytes_out_s: float
    messages_in_s: float
    messages_out_s: float


def play(
    settings: TrialSettings, dimension: str, size: float, kind: type[Trial] = Trial
) -> list[Measurement]:
    """The measurements of one trial; raises SizeLimitError, NotReadyError, ChildError."""
    with running(settings, kind) as trial:
        trial.start()
        trial.join_peers()
        time.sleep(settings.settle_s)
        (observed,) = observe([trial], settings)
        return measured(trial, observed, dimension, size)


def play_beside(specifications: Sequence[Specification], dimension: str, size: float) -> list[Measurement]:
    """The measurements of several trials in the same span of time; all last as long as the first is to.

    A trial that does not fit is left out and said so. Raises ChildError.
    """
    found: list[Measurement] = []
    made: list[tuple[Specification, Trial]] = []
    started: list[tuple[Specification, Trial]] = []
    with ExitStack() as processes:
        for one in specifications:
            try:
                made.append((one, processes.enter_context(running(one.settings, one.kind))))
            except SizeLimitError as error:
                found += left_out(one, dimension, size, str(error))
        for one, trial in made:  # all processes are on their way by now
            try:
                trial.start()
                trial.join_peers()
                started.append((one, trial))
            except (SizeLimitError, NotReadyError) as error:
                found += left_out(one, dimension, size, str(error))
        first = specifications[0].settings
        if started:
            time.sleep(first.settle_s)
        try:
            observations = observe([trial for _, trial in started], first)
        except SizeLimitError as error:
            return found + [gone for one, _ in started for gone in left_out(one, dimension, size, str(error))]
        for (one, trial), observed in zip(started, observations, strict=True):
            try:
                found += [one.named(role) for role in measured(trial, observed, dimension, size)]
            except NotReadyError as error:
                found += left_out(one, dimension, size, str(error))
    return found


def left_out(one: Specification, dimension: str, size: float, why: str) -> list[Measurement]:
    """The roles of controllers of a trial that did not fit."""
    settings = one.settings
    roles = [role for role, count in ((REAL_ROLE, settings.real), (HOLLOW_ROLE, settings.hollow)) if count]
    return [one.named(Measurement(dimension, size, role, left_out=why)) for role in roles]


def observe(trials: Sequence[Trial], settings: TrialSettings) -> list[Observed]:
    """A quiet span, then a span of changes; or one span in which changes are made. Raises SizeLimitError."""
    if not trials:
        return []
    before = [trial.read() for trial in trials]
    if not settings.measure_under_changes:
        time.sleep(settings.quiet_s)
        after = [trial.read() for trial in trials]
    make_changes(trials, settings.changes, settings.changes_per_s)
    if settings.measure_under_changes:
        time.sleep(max(0.0, before[0].at + settings.quiet_s - time.monotonic()))
        after = [trial.read() for trial in trials]
    return [Observed(*one) for one in zip(before, after, strict=True)]


def measured(trial: Trial, observed: Observed, dimension: str, size: float) -> list[Measurement]:
    """The measurement of each role that the trial had; a role that did not fit is left out and said so.

    Raises NotReadyError where a change never came to some controller.
    """
    delays = trial.wait_for_changes()
    if trial.hollow_controllers and is_late(trial.hollow_controllers.figures()):
        delays |= dict.fromkeys(trial.hollow_names, [])  # they would be the process's, not a controller's
    observed = observed._replace(delays=delays)
    readers = {DISCOVERY_ROLE: discovery_measurement}
    if trial.real:
        readers[REAL_ROLE] = real_measurement
    if trial.hollow_controllers:
        readers[HOLLOW_ROLE] = hollow_measurement
    if trial.control_usage():
        readers[CONTROL_ROLE] = control_measurement
    measurements = []
    for role, reader in readers.items():
        try:
            measurements.append(reader(trial, observed, dimension, size))
        except SizeLimitError as error:
            measurements.append(Measurement(dimension, size, role, left_out=str(error)))
    return measurements


def is_late(reading: HollowReading) -> bool:
    """Whether the process of hollow controllers had no time for all of them since the reading before."""
    return reading.late_s > LATE_MOST_S + max(one.longest_s for one in reading.controllers)


def hollow_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The mean hollow controller; raises SizeLimitError where their process was late."""
    before, after = observed.before.hollow, observed.after.hollow
    if is_late(after):
        raise SizeLimitError(
            f"the process of {trial.settings.hollow} hollow conductors was {after.late_s:.2f} s late"
        )
    spent = [
        now.core_s - then.core_s for then, now in zip(before.controllers, after.controllers, strict=True)
    ]
    empty = Measurement(
        dimension,
        size,
        HOLLOW_ROLE,
        core_share=fmean(spent) / observed.span_s,
        longest_round_s=max(one.longest_s for one in after.controllers),
        resident_mb=(after.usage.resident_mb - trial.hollow_before_mb) / trial.settings.hollow,
    )
    return with_common(empty, trial.hollow_names, trial.ready, observed)


def real_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The mean real controller; its longest round cannot be read from outside."""
    spent = [
        now.core_s - then.core_s for then, now in zip(observed.before.real, observed.after.real, strict=True)
    ]
    empty = Measurement(
        dimension,
        size,
        REAL_ROLE,
        core_share=fmean(spent) / observed.span_s,
        resident_mb=fmean(one.resident_mb for one in observed.after.real),
    )
    return with_common(empty, trial.real_names, trial.ready, observed)


def with_common(
    measurement: Measurement, names: Sequence[str], ready: dict[str, StartupFigures], observed: Observed
) -> Measurement:
    """Adds what is read alike for hollow and real controllers: traffic, delays, readiness."""
    traffic = mean_traffic(observed, names)
    summary = summarised([delay for name in names for delay in observed.delays[name]])
    starts = [ready[name] for name in names]
    return replace(
        measurement,
        **traffic._asdict(),
        change_median_s=summary and summary.median_s,
        change_p99_s=summary and summary.p99_s,
        change_last_s=summary and summary.last_s,
        ready_s=max(one.after_s for one in starts),
        ready_core_s=fmean(one.core_s for one in starts),
        ready_bytes=fmean(one.bytes_received for one in starts),
    )


def discovery_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The stand-in discovery: its process, and its traffic with all clients together."""
    before, after = observed.before.discovery, observed.after.discovery
    sums = summed(before.clients, after.clients)
    return Measurement(
        dimension,
        size,
        DISCOVERY_ROLE,
        core_share=(after.usage.core_s - before.usage.core_s) / observed.span_s,
        resident_mb=after.usage.resident_mb,
        bytes_in_s=sums.bytes_out / observed.span_s,
        bytes_out_s=sums.bytes_in / observed.span_s,
        messages_in_s=sums.messages_out / observed.span_s,
        messages_out_s=sums.messages_in / observed.span_s,
    )


def control_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The control role: its process, and its traffic with discovery and all controllers together."""
    before, after = observed.before, observed.after
    served = summed(before.clients, after.clients)
    followed = summed(before.discovery.clients, after.discovery.clients)
    return Measurement(
        dimension,
        size,
        CONTROL_ROLE,
        core_share=(after.control.core_s - before.control.core_s) / observed.span_s,
        resident_mb=after.control.resident_mb,
        bytes_in_s=(served.bytes_out + followed.bytes_in) / observed.span_s,
        bytes_out_s=(served.bytes_in + followed.bytes_out) / observed.span_s,
        messages_in_s=(served.messages_out + followed.messages_in) / observed.span_s,
        messages_out_s=(served.messages_in + followed.messages_out) / observed.span_s,
        ready_s=trial.control_ready.after_s,
        ready_core_s=trial.control_ready.core_s,
        ready_bytes=trial.control_ready.bytes_received,
    )


def summed(before: Mapping[str, ClientFigures], after: Mapping[str, ClientFigures]) -> ClientFigures:
    """The traffic of all clients together between two readings, as they see it."""
    return ClientFigures(
        *(
            sum(getattr(after[name], field) - getattr(before[name], field) for name in after)
            for field in ClientFigures._fields
        )
    )


def mean_traffic(observed: Observed, names: Iterable[str]) -> Traffic:
    """The mean control traffic of some controllers in the measured span."""
    before, after = observed.before.clients, observed.after.clients
    means = {
        field: fmean(getattr(after[name], field) - getattr(before[name], field) for name in names)
        / observed.span_s
        for field in ClientFigures._fields
    }
    return Traffic(means["bytes_in"], means["bytes_out"], means["messages_in"], means["messages_out"])


def summarised(delays: Sequence[float]) -> Delays | None:
    """Median, 99th percentile and maximum of some delays; None of none."""
    if not delays:
        return None
    histogram = HdrHistogram(1, DELAY_MOST_US, DELAY_DIGITS)
    for delay in delays:
        histogram.record_value(max(1, min(DELAY_MOST_US, round(delay * MICROSECONDS))))
    median, p99 = (histogram.get_value_at_percentile(percent) / MICROSECONDS for percent in (50.0, 99.0))
    return Delays(median, p99, max(delays))
