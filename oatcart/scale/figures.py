"""Plays a trial and turns its counters into measurements, one for each role."""

import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from statistics import fmean
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from oatcart.scale.conductor_settings import NodeChanges
from oatcart.scale.discovery import ClientFigures, HeldFigures, HeldRevision, change_delays
from oatcart.scale.hollow import HollowFigures
from oatcart.scale.measurement import Measurement
from oatcart.scale.trial import DoesNotFit, Reading, Ready, Trial, TrialSettings, running

HOLLOW_ROLE, REAL_ROLE, DISCOVERY_ROLE = "hollow_conductor", "conductor", "discovery"
FULL_CORE = 0.9  # of a core: hollow conductors whose process needs more are late by its fault, not theirs
MICROSECONDS = 1e6
DELAY_MOST_US, DELAY_DIGITS = 120_000_000, 3  # of the histogram of delays


class ChangesLost(RuntimeError):
    """Changes that some conductor never had, though the trial waited for the last one."""


class Delays(NamedTuple):
    """Seconds from changes to conductors that have them."""

    median_s: float
    p99_s: float
    last_s: float


class Observed(NamedTuple):
    """What a trial has shown: readings before and after the measured span, and who had which change when."""

    before: Reading
    after: Reading
    held: HeldFigures
    hollow: list[HollowFigures]
    changes_from: float
    changes_until: float

    @property
    def span_s(self) -> float:
        """Seconds between the two readings."""
        return self.after.at - self.before.at


class Traffic(NamedTuple):
    """Bytes and messages a second, the mean over some conductors, as they see them."""

    bytes_in_s: float
    bytes_out_s: float
    messages_in_s: float
    messages_out_s: float


def play(settings: TrialSettings, dimension: str, size: float) -> list[Measurement]:
    """The measurements of one trial; raises DoesNotFit, NotReady, ChildError, ChangesLost."""
    with running(settings) as trial:
        trial.start()
        trial.join_peers()
        time.sleep(settings.settle_s)
        observed = observe(trial)
        return measured(trial, observed, dimension, size)


def observe(trial: Trial) -> Observed:
    """A quiet span, then a span of changes; or one span in which changes are made."""
    settings = trial.settings
    changes = NodeChanges(trial.plan.nodes, settings.seed)
    before = trial.read()
    if not settings.measure_under_changes:
        time.sleep(settings.quiet_s)
        after = trial.read()
    changes_from = time.monotonic()
    trial.make_changes(changes, settings.changes, settings.changes_per_s)
    if settings.measure_under_changes:
        time.sleep(max(0.0, before.at + settings.quiet_s - time.monotonic()))
        after = trial.read()
    changes_until = time.monotonic()
    held = trial.wait_for_changes()
    hollow = trial.hollows.figures().conductors if trial.hollows else []
    return Observed(before, after, held, hollow, changes_from, changes_until)


def measured(trial: Trial, observed: Observed, dimension: str, size: float) -> list[Measurement]:
    """The measurement of each role that the trial had; a role that did not fit is left out and said so."""
    readers = {DISCOVERY_ROLE: discovery_measurement}
    if trial.real:
        readers[REAL_ROLE] = real_measurement
    if trial.hollows:
        readers[HOLLOW_ROLE] = hollow_measurement
    measurements = []
    for role, reader in readers.items():
        try:
            measurements.append(reader(trial, observed, dimension, size))
        except (DoesNotFit, ChangesLost) as error:
            measurements.append(Measurement(dimension, size, role, left_out=str(error)))
    return measurements


def hollow_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The mean hollow conductor; raises DoesNotFit where their process was too busy to be on time."""
    before, after = observed.before.hollow, observed.after.hollow
    process_share = (after.usage.core_s - before.usage.core_s) / observed.span_s
    if process_share > FULL_CORE:
        raise DoesNotFit(
            f"the process of {trial.settings.hollow} hollow conductors needs {process_share:.2f} cores"
        )
    spent = [now.core_s - then.core_s for then, now in zip(before.conductors, after.conductors, strict=True)]
    empty = Measurement(
        dimension,
        size,
        HOLLOW_ROLE,
        core_share=fmean(spent) / observed.span_s,
        longest_round_s=max(one.longest_s for one in after.conductors),
        resident_mb=(after.usage.resident_mb - trial.hollow_before_mb) / trial.settings.hollow,
    )
    delays = hollow_delays(trial.hollow_names, observed)
    return with_common(empty, trial.hollow_names, trial.ready, observed, delays)


def real_measurement(trial: Trial, observed: Observed, dimension: str, size: float) -> Measurement:
    """The mean real conductor; its longest round cannot be read from outside."""
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
    delays, missing = change_delays(
        observed.held, trial.real_names, observed.changes_from, observed.changes_until
    )
    if missing:
        raise ChangesLost(f"{missing} changes never came to a real conductor")
    return with_common(empty, trial.real_names, trial.ready, observed, delays)


def with_common(
    measurement: Measurement,
    names: Sequence[str],
    ready: dict[str, Ready],
    observed: Observed,
    delays: Sequence[float],
) -> Measurement:
    """Adds what is read alike for hollow and real conductors: traffic, delays, readiness."""
    traffic, summary = mean_traffic(observed, names), summarised(delays)
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
    """The stand-in discovery: its process, and its traffic with all conductors together."""
    before, after = observed.before.discovery, observed.after.discovery
    sums = [
        sum(
            getattr(after.clients[name], field) - getattr(before.clients[name], field)
            for name in after.clients
        )
        / observed.span_s
        for field in ClientFigures._fields
    ]
    bytes_in, bytes_out, messages_in, messages_out = sums  # what clients send comes in here
    return Measurement(
        dimension,
        size,
        DISCOVERY_ROLE,
        core_share=(after.usage.core_s - before.usage.core_s) / observed.span_s,
        resident_mb=after.usage.resident_mb,
        bytes_in_s=bytes_in,
        bytes_out_s=bytes_out,
        messages_in_s=messages_in,
        messages_out_s=messages_out,
    )


def mean_traffic(observed: Observed, names: Iterable[str]) -> Traffic:
    """The mean traffic of some conductors with discovery in the measured span."""
    before, after = observed.before.discovery.clients, observed.after.discovery.clients
    means = {
        field: fmean(getattr(after[name], field) - getattr(before[name], field) for name in names)
        / observed.span_s
        for field in ClientFigures._fields
    }
    return Traffic(means["bytes_in"], means["bytes_out"], means["messages_in"], means["messages_out"])


def hollow_delays(names: Sequence[str], observed: Observed) -> list[float]:
    """Seconds from each change to the round that ran on it, at every hollow conductor; raises ChangesLost."""
    taken = {
        name: [HeldRevision(at, revision, 0) for at, revision in one.taken]
        for name, one in zip(names, observed.hollow, strict=True)
    }
    figures = observed.held._replace(held=taken)
    delays, missing = change_delays(figures, names, observed.changes_from, observed.changes_until)
    if missing:
        raise ChangesLost(f"{missing} changes never came to a hollow conductor")
    return delays


def summarised(delays: Sequence[float]) -> Delays | None:
    """Median, 99th percentile and maximum of some delays; None of none."""
    if not delays:
        return None
    histogram = HdrHistogram(1, DELAY_MOST_US, DELAY_DIGITS)
    for delay in delays:
        histogram.record_value(max(1, min(DELAY_MOST_US, round(delay * MICROSECONDS))))
    median, p99 = (histogram.get_value_at_percentile(percent) / MICROSECONDS for percent in (50.0, 99.0))
    return Delays(median, p99, max(delays))
