"""Summarises a trace: outcomes of requests, decisions by reason, rules that were seen broken."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import inf

from hdrh.histogram import HdrHistogram

from oatcart.model import Idempotency
from oatcart.trace.decision_reasons import EndpointStates, decisions
from oatcart.trace.records import Record, RecordKind, RequestOutcome
from oatcart.trace.round_codec import decode_request_class

MICROSECONDS = 1e6  # in a second
MAX_DURATION = 3_600_000_000  # us; longer ones count as that
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 99)
GROUPED_BY = ("kind", "zone", "node")
RUN_ONCE_RULE = 2  # the number of the operators' rule that a request not safe to repeat runs once


def idempotent_classes(start: dict) -> dict[str, bool]:
    """By request class, whether its requests may run more than once; from a start record's fields."""
    names = start["names"].get("kinds", ())
    classes = map(decode_request_class, start["records"]["kinds"])
    return {
        name: request_class.idempotency == Idempotency.IDEMPOTENT
        for name, request_class in zip(names, classes, strict=False)
    }


def summarize(records: Iterable[Record], idempotent: Mapping[str, bool] | None = None) -> dict:
    """A summary in the form that the command prints as JSON.

    `idempotent` says by request class whether its requests may run more than once; those of other classes
    may not if they carry an idempotency key. Of these `breaches` lists the keys that several requests were
    answered for, `doubts` those that were sent to endpoints more than once, whatever came of it.
    """
    summary = _Summary(idempotent or {})
    for record in records:
        summary.add(record)
    return summary.result()


class _Group:
    """The requests of one class, zone or endpoint."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()  # by outcome; `value`: the priority weight of those answered
        self.durations: HdrHistogram | None = None  # us

    def add(self, fields: dict) -> None:
        """Count a request; durations of those that succeeded alone."""
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
        """Counts by outcome, the priority weight earned, and percentiles of the duration in ms."""
        figures = dict(self.counts)
        if self.durations is not None:
            for percent in PERCENTILES:
                figures[f"p{percent}_ms"] = self.durations.get_value_at_percentile(percent) / 1000
        return figures


class _Summary:
    """The sums over the records added so far."""

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
        """Take a record into the sums of its kind."""
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
        """Whether a request or attempt carries a key under which nothing may run twice."""
        return bool(fields["key"]) and not self.idempotent.get(fields["kind"], False)

    def _add_attempt(self, fields: dict) -> None:
        """Note under its key that an endpoint was sent it; a request's record is its last attempt."""
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
        """The keys for which more than one request was answered."""
        breaches = []
        for (request_class, key), requests in self.answered.items():
            if len({(request["proxy"], request["id"]) for request in requests}) > 1:
                what = f"{request_class} {key.hex()} was done {len(requests)} times"
                times = [request["at"] for request in requests]
                breaches.append({"rule": RUN_ONCE_RULE, "what": what, "at": times})
        return breaches

    def result(self) -> dict:
        """The summary; its keys are those of the JSON output."""
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
