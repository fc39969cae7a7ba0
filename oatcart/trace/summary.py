"""Summarises a trace: outcomes of requests, decisions by reason, rules that were broken."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import inf

from hdrh.histogram import HdrHistogram

from oatcart.model import Idempotency
from oatcart.trace.decision_reasons import EndpointStates, decisions
from oatcart.trace.records import Record, RecordKind, RequestOutcome
from oatcart.trace.round_codec import decode_request_class

MICROSECONDS = 1e6  # per s
MAX_DURATION = 3_600_000_000  # us; longer durations are counted as this one
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 99)
GROUPED_BY = ("kind", "zone", "node")
RUN_ONCE_RULE = 2  # number of the rule for operators: a request that is not idempotent runs once


def idempotent_classes(start: dict) -> dict[str, bool]:
    """Return by request class whether it is idempotent, from the fields of a start record."""
    names = start["names"].get("kinds", ())
    classes = map(decode_request_class, start["records"]["kinds"])
    return {
        name: request_class.idempotency == Idempotency.IDEMPOTENT
        for name, request_class in zip(names, classes, strict=False)
    }


def summarize(records: Iterable[Record], idempotent: Mapping[str, bool] | None = None) -> dict:
    """Return a summary in the form that the command prints as JSON.

    `idempotent` tells by request class whether its requests may run more than once. Requests of other classes
    that carry an idempotency key must run once. Of their keys `breaches` lists those for which several
    requests succeeded, and `doubts` those that were sent to endpoints more than once, whatever the outcome.
    """
    summary = _Summary(idempotent or {})
    for record in records:
        summary.add(record)
    return summary.result()


class _Group:
    """The requests of one class, zone or endpoint."""

    def __init__(self) -> None:
        self.counts: Counter[str] = (
            Counter()
        )  # by outcome; `value` is the sum of the priority weights of those that succeeded
        self.durations: HdrHistogram | None = None  # us

    def add(self, fields: dict) -> None:
        """Count a request, with its duration if it succeeded."""
        self.counts[fields["outcome"]] += 1
        if fields["outcome"] != RequestOutcome.SUCCEEDED:
            self.counts["value"] += 0.0
            return
        self.counts["value"] += fields["value"]
        if self.durations is None:
            self.durations = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
        duration = round(fields["took"] * MICROSECONDS)
        self.durations.record_value(max(1, min(MAX_DURATION, duration)))

    def figures(self) -> dict:
        """Return counts by outcome, the sum of priority weights, and percentiles of the duration in ms."""
        figures = dict(self.counts)
        if self.durations is not None:
            for percent in PERCENTILES:
                figures[f"p{percent}_ms"] = self.durations.get_value_at_percentile(percent) / 1000
        return figures


class _Summary:
    """The totals of the records added so far."""

    def __init__(self, idempotent: Mapping[str, bool]) -> None:
        self.idempotent = idempotent
        self.first = inf
        self.last = -inf
        self.kinds: Counter[str] = Counter()
        self.groups = {field: defaultdict(_Group) for field in GROUPED_BY}
        self.decisions: Counter = Counter()
        self.states = EndpointStates()
        self.shed: Counter[str] = Counter()
        self.clock_steps: list[dict] = []
        self.attempts: dict[tuple, list[str]] = defaultdict(list)  # by class and key
        self.answered: dict[tuple, list[dict]] = defaultdict(list)  # by class and key

    def add(self, record: Record) -> None:
        """Add a record to the totals of its kind."""
        kind, fields = record
        self.kinds[kind] += 1
        if kind in (RecordKind.REQUEST, RecordKind.ATTEMPT, RecordKind.ROUND):
            self.first = min(self.first, fields["at"])
            self.last = max(self.last, fields["at"])
        if kind in (RecordKind.REQUEST, RecordKind.ATTEMPT):
            self._add_attempt(fields)
        if kind == RecordKind.REQUEST:
            self._add_request(fields)
        elif kind == RecordKind.ROUND:
            self.decisions.update(decisions(record, self.states))
        elif kind == RecordKind.SHED:
            self.shed[fields["kind"]] += fields["count"]
        elif kind == RecordKind.CLOCK and fields["stepped"]:
            self.clock_steps.append({"at": fields["at"], "stepped": fields["stepped"]})

    def _must_run_once(self, fields: dict) -> bool:
        """Return whether a request or attempt has an idempotency key and must not run twice."""
        return bool(fields["key"]) and not self.idempotent.get(fields["kind"], False)

    def _add_attempt(self, fields: dict) -> None:
        """Add an attempt to those of its key; a request record stands for the last attempt."""
        if not fields["node"] or not self._must_run_once(fields):
            return
        ended = fields.get("ending") or fields.get("outcome")
        attempt = f"{fields['proxy']}:{fields['id']} at {fields['node']} {ended}"
        self.attempts[fields["kind"], fields["key"]].append(attempt)

    def _add_request(self, fields: dict) -> None:
        """Count a request by class, zone and endpoint."""
        for field, groups in self.groups.items():
            groups[fields[field]].add(fields)
        if fields["outcome"] == RequestOutcome.SUCCEEDED and self._must_run_once(fields):
            self.answered[fields["kind"], fields["key"]].append(fields)

    def _breaches(self) -> list[dict]:
        """Return the keys for which more than one request succeeded."""
        breaches = []
        for (request_class, key), requests in self.answered.items():
            if len({(request["proxy"], request["id"]) for request in requests}) > 1:
                what = f"{request_class} {key.hex()} was done {len(requests)} times"
                times = [request["at"] for request in requests]
                breaches.append({"rule": RUN_ONCE_RULE, "what": what, "at": times})
        return breaches

    def result(self) -> dict:
        """Return the summary; its keys are those of the JSON output."""
        return {
            "first": self.first,
            "last": self.last,
            "records": dict(self.kinds),
            "shed": dict(self.shed),
            "clock_steps": self.clock_steps,
            "reqs": {
                field: {name: group.figures() for name, group in sorted(groups.items())}
                for field, groups in self.groups.items()
            },
            "decisions": [
                {"decision": name, "reason": reason, "count": count}
                for (name, reason), count in self.decisions.most_common()
            ],
            "breaches": self._breaches(),
            "doubts": [
                {"kind": request_class, "key": key.hex(), "ran": attempts}
                for (request_class, key), attempts in self.attempts.items()
                if len(attempts) > 1
            ],
        }
