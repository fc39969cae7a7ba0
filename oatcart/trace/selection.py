"""Selects the records of a time span and of some endpoints, proxies or request classes."""

from collections.abc import Iterable, Iterator, Set
from math import inf
from typing import NamedTuple

from oatcart.trace.records import Record, RecordKind


class Selection(NamedTuple):
    """What to keep: times from `first` up to, but not including, `last` in seconds; empty sets keep all."""

    first: float = -inf
    last: float = inf
    endpoints: Set[str] = frozenset()
    proxies: Set[str] = frozenset()
    classes: Set[str] = frozenset()


def select(records: Iterable[Record], selection: Selection) -> Iterator[Record]:
    """Return the records of a selection.

    Rounds are kept complete, as part of a round cannot be replayed. Start records and endpoint names are kept
    whatever their time.
    """
    for record in records:
        if record.kind in (RecordKind.START, RecordKind.ENDPOINT_NAME) or _is_selected(record, selection):
            yield record


def _is_selected(record: Record, selection: Selection) -> bool:
    """Return whether a record is in the time span and, for requests and attempts, has selected names."""
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
