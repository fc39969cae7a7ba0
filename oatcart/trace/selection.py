"""Selects the part of a trace that concerns a span of time and some endpoints, proxies or classes."""

from collections.abc import Iterable, Iterator, Set
from math import inf
from typing import NamedTuple

from oatcart.trace.records import Record, RecordKind


class Selection(NamedTuple):
    """What is kept: from `first` up to but not at `last`, in seconds; an empty set keeps all."""

    first: float = -inf
    last: float = inf
    endpoints: Set[str] = frozenset()
    proxies: Set[str] = frozenset()
    classes: Set[str] = frozenset()


def select(records: Iterable[Record], selection: Selection) -> Iterator[Record]:
    """The records of a selection.

    Rounds are kept complete, as half of one cannot be replayed; starts and names are kept of any time.
    """
    for record in records:
        if record.kind in (RecordKind.START, RecordKind.ENDPOINT_NAME) or _is_selected(record, selection):
            yield record


def _is_selected(record: Record, selection: Selection) -> bool:
    """Whether a record is of the span and, if a request or attempt, of the names selected."""
    fields = record.fields
    if not selection.first <= fields["at"] < selection.last:
        return False
    if record.kind not in (RecordKind.REQUEST, RecordKind.ATTEMPT):
        return True
    wanted_by_field = {
        "node": selection.endpoints,
        "proxy": selection.proxies,
        "kind": selection.classes,
    }
    return all(not wanted or fields[name] in wanted for name, wanted in wanted_by_field.items())
