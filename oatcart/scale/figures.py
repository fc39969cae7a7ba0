"""Runs trials and computes a measurement of each role from their counters."""

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
from oatcart.scale.interrupts import sleep
from oatcart.scale.measurement import Measurement
from oatcart.scale.peers import TICK_S
from oatcart.scale.real import NotReadyError
from oatcart.scale.trial import Reading, StartupFigures, Trial, make_changes, running
from oatcart.scale.trial_settings import SizeLimitError, TrialSettings

HOLLOW_ROLE, REAL_ROLE = "hollow_conductor", "conductor"
DISCOVERY_ROLE, CONTROL_ROLE = "discovery", "control"
# Beyond the longest step of one controller: with more lag, a process has no time for all its controllers.
MAX_LAG_S = TICK_S
MICROSECONDS = 1e6
MAX_DELAY_US, DELAY_SIGNIFICANT_DIGITS = 120_000_000, 3  # range and precision of the histogram of delays


class DelaySummary(NamedTuple):
    """Seconds from a change of the endpoint list until a controller has applied it, over several changes."""

    median_s: float
    p99_s: float
    last_s: float


class Observation(NamedTuple):
    """Readings before and after the measured span of a trial, and the delays of changes.

    `delays` are, by controller, the seconds from each change until the controller had applied it.
    """

    before: Reading
    after: Reading
    delays: Mapping[str, list[float]] = MappingProxyType({})

    @property
    def span_s(self) -> float:
        """Seconds between the two readings."""
        return self.after.at - self.before.at


class TrialSpecification(NamedTuple):
    """A trial to run at the same time as others; `role_names` replaces names of its roles."""

    settings: TrialSettings
    trial_class: type[Trial] = Trial
    role_names: Mapping[str, str] = MappingProxyType({})

    def with_role_name(self, measurement: Measurement) -> Measurement:
        """Returns the measurement with the name that its role has in this trial."""
        return replace(measurement, role=self.role_names.get(measurement.role, measurement.role))


class Traffic(NamedTuple):
    """Bytes and messages per second that a controller received and sent, the mean over some controllers."""

    bytes_in_s: float
    bytes_out_s: float
    messages_in_s: float
    messages_out_s: float


def run_trial(
    settings: TrialSettings, dimension: str, size: float, trial_class: type[Trial] = Trial
) -> list[Measurement]:
    """Runs one trial and returns its measurements; raises SizeLimitError, NotReadyError or ChildError."""
    with running(settings, trial_class) as trial:
        trial.start()
        trial.join_peers()
        sleep(settings.settle_s)
        (observed,) = observe([trial], settings)
        return measure_roles(trial, observed, dimension, size)


def run_trials(
    specifications: Sequence[TrialSpecification], dimension: str, size: float
) -> list[Measurement]:
    """Runs several trials at the same time and returns their measurements; the times are those of the first.

    A trial that exceeds a limit or is not ready is left out, with a measurement that gives the reason.
    Raises ChildError.
    """
    found: list[Measurement] = []
    created: list[tuple[TrialSpecification, Trial]] = []
    started: list[tuple[TrialSpecification, Trial]] = []
    with ExitStack() as processes:
        for one in specifications:
            try:
                created.append((one, processes.enter_context(running(one.settings, one.trial_class))))
            except SizeLimitError as error:
                found += left_out_measurements(one, dimension, size, str(error))
        for one, trial in created:  # by now all processes have been launched
            try:
                trial.start()
                trial.join_peers()
                started.append((one, trial))
            except (SizeLimitError, NotReadyError) as error:
                found += left_out_measurements(one, dimension, size, str(error))
        first = specifications[0].settings
        if started:
            sleep(first.settle_s)
        try:
            observations = observe([trial for _, trial in started], first)
        except SizeLimitError as error:
            return found + [
                measurement
                for one, _ in started
                for measurement in left_out_measurements(one, dimension, size, str(error))
            ]
        for (one, trial), observed in zip(started, observations, strict=True):
            try:
                found += [
                    one.with_role_name(role) for role in measure_roles(trial, observed, dimension, size)
                ]
            except NotReadyError as error:
                found += left_out_measurements(one, dimension, size, str(error))
    return found


def left_out_measurements(
    one: TrialSpecification, dimension: str, size: float, reason: str
) -> list[Measurement]:
    """Returns measurements without figures for the controller roles of a trial that was left out."""
    settings = one.settings
    roles = [role for role, count in ((REAL_ROLE, settings.real), (HOLLOW_ROLE, settings.hollow)) if count]
    return [one.with_role_name(Measurement(dimension, size, role, left_out=reason)) for role in roles]


def observe(trials: Sequence[Trial], settings: TrialSettings) -> list[Observation]:
    """Reads all counters before and after the measured span, and makes the changes.

    The changes are made after the span, or within it with `measure_under_changes`. Raises SizeLimitError.
    """
    if not trials:
        return []
    before = [trial.read() for trial in trials]
    if not settings.measure_under_changes:
        sleep(settings.measure_s)
        after = [trial.read() for trial in trials]
    make_changes(trials, settings.changes, settings.changes_per_s)
    if settings.measure_under_changes:
        sleep(max(0.0, before[0].at + settings.measure_s - time.monotonic()))
        after = [trial.read() for trial in trials]
    return [Observation(*one) for one in zip(before, after, strict=True)]


def measure_roles(trial: Trial, observed: Observation, dimension: str, size: float) -> list[Measurement]:
    """Returns the measurement of each role in the trial; a role over a limit has only the reason for that.

    Raises NotReadyError if a controller did not apply a change in time.
    """
    delays = trial.wait_for_changes()
    if trial.hollow_controllers and fell_behind(trial.hollow_controllers.figures()):
        delays |= dict.fromkeys(trial.hollow_names, [])  # the process caused them, not its controllers
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


def fell_behind(reading: HollowReading) -> bool:
    """Whether the process of hollow controllers lacked time for all of them since the previous reading."""
    return reading.late_s > MAX_LAG_S + max(one.longest_s for one in reading.controllers)


def hollow_measurement(trial: Trial, observed: Observation, dimension: str, size: float) -> Measurement:
    """Returns the mean of the hollow controllers; raises SizeLimitError if their process fell behind."""
    before, after = observed.before.hollow, observed.after.hollow
    if fell_behind(after):
        raise SizeLimitError(
            f"the process of {trial.settings.hollow} hollow controllers was {after.late_s:.2f} s late"
        )
    core_s = [
        now.core_s - then.core_s for then, now in zip(before.controllers, after.controllers, strict=True)
    ]
    measurement = Measurement(
        dimension,
        size,
        HOLLOW_ROLE,
        core_share=fmean(core_s) / observed.span_s,
        longest_round_s=max(one.longest_s for one in after.controllers),
        resident_mb=(after.usage.resident_mb - trial.hollow_before_mb) / trial.settings.hollow,
    )
    return with_common_quantities(measurement, trial.hollow_names, trial.ready, observed)


def real_measurement(trial: Trial, observed: Observation, dimension: str, size: float) -> Measurement:
    """Returns the mean of the real controllers; their longest round cannot be read from outside."""
    core_s = [
        now.core_s - then.core_s for then, now in zip(observed.before.real, observed.after.real, strict=True)
    ]
    measurement = Measurement(
        dimension,
        size,
        REAL_ROLE,
        core_share=fmean(core_s) / observed.span_s,
        resident_mb=fmean(one.resident_mb for one in observed.after.real),
    )
    return with_common_quantities(measurement, trial.real_names, trial.ready, observed)


def with_common_quantities(
    measurement: Measurement, names: Sequence[str], ready: dict[str, StartupFigures], observed: Observation
) -> Measurement:
    """Adds the quantities that hollow and real controllers have in common: traffic, delays, time to ready."""
    traffic = mean_traffic(observed, names)
    summary = summarize_delays([delay for name in names for delay in observed.delays[name]])
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


def discovery_measurement(trial: Trial, observed: Observation, dimension: str, size: float) -> Measurement:
    """Returns the costs of the stand-in discovery: its process, and its traffic with all clients."""
    before, after = observed.before.discovery, observed.after.discovery
    sums = total_traffic(before.clients, after.clients)
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


def control_measurement(trial: Trial, observed: Observation, dimension: str, size: float) -> Measurement:
    """Returns the costs of the control role: its process, and its traffic with discovery and controllers."""
    before, after = observed.before, observed.after
    served = total_traffic(before.clients, after.clients)
    watched = total_traffic(before.discovery.clients, after.discovery.clients)
    return Measurement(
        dimension,
        size,
        CONTROL_ROLE,
        core_share=(after.control.core_s - before.control.core_s) / observed.span_s,
        resident_mb=after.control.resident_mb,
        bytes_in_s=(served.bytes_out + watched.bytes_in) / observed.span_s,
        bytes_out_s=(served.bytes_in + watched.bytes_out) / observed.span_s,
        messages_in_s=(served.messages_out + watched.messages_in) / observed.span_s,
        messages_out_s=(served.messages_in + watched.messages_out) / observed.span_s,
        ready_s=trial.control_ready.after_s,
        ready_core_s=trial.control_ready.core_s,
        ready_bytes=trial.control_ready.bytes_received,
    )


def total_traffic(before: Mapping[str, ClientFigures], after: Mapping[str, ClientFigures]) -> ClientFigures:
    """Returns the traffic of all clients between two readings; `in` and `out` are from the clients' side."""
    return ClientFigures(
        *(
            sum(getattr(after[name], field) - getattr(before[name], field) for name in after)
            for field in ClientFigures._fields
        )
    )


def mean_traffic(observed: Observation, names: Iterable[str]) -> Traffic:
    """Returns the mean traffic of some controllers with discovery in the measured span."""
    before, after = observed.before.clients, observed.after.clients
    means = {
        field: fmean(getattr(after[name], field) - getattr(before[name], field) for name in names)
        / observed.span_s
        for field in ClientFigures._fields
    }
    return Traffic(means["bytes_in"], means["bytes_out"], means["messages_in"], means["messages_out"])


def summarize_delays(delays: Sequence[float]) -> DelaySummary | None:
    """Returns median, 99th percentile and maximum of some delays; None if there are none."""
    if not delays:
        return None
    histogram = HdrHistogram(1, MAX_DELAY_US, DELAY_SIGNIFICANT_DIGITS)
    for delay in delays:
        histogram.record_value(max(1, min(MAX_DELAY_US, round(delay * MICROSECONDS))))
    median, p99 = (histogram.get_value_at_percentile(percent) / MICROSECONDS for percent in (50.0, 99.0))
    return DelaySummary(median, p99, max(delays))
